/*
 * The permission: a lease under which a proxy may use the primary that its roster names. A
 * superseded primary that is cut off keeps serving, so callers would read stale rows and write rows
 * that are rolled back later. Therefore a change of primary is first written to the roster, and a
 * proxy's permission ends at the later of
 *
 * - PERMIT_LEASE_TIME after the store was last confirmed to hold that roster, queried by the proxy
 * itself or by another one, and
 * - PERMIT_LEASE_TIME after more than half of the fleet, this proxy included, were confirmed to
 * have no newer roster, but at most PERMIT_LEASE_MAX after the first confirmation: in this case the
 * store is unavailable to all, so nobody can have written a change.
 *
 * The leader makes a change only after every proxy has reported that it released the old primary.
 * For proxies that do not report it waits PERMIT_LEASE_TIME from when they are too few to be more
 * than half of the fleet, and otherwise PERMIT_LEASE_MAX.
 */
#pragma once

#include "state.h"

/*
 * Longer than the usual age of the roster's confirmation (0.9 s behind hubs: the leader renews its
 * lease every 0.4 s, hubs and other proxies query every 0.25 s), and than the time in which a proxy
 * that misses the answers has read the store itself (1.5 s and a call to a store that answers in
 * 240 ms).
 */
#define PERMIT_LEASE_TIME (1800 * USEC_PER_MSEC)
/* Bridges outages of the store of up to 9 s. */
#define PERMIT_LEASE_MAX (12 * USEC_PER_SEC)

/*
 * Proxies needed for an agreement: more than half of the nodes. The leader makes a change before
 * PERMIT_LEASE_MAX only when fewer proxies than this do not have the marked roster, so that these
 * can't extend their permission. Any value is safe that both sides use. With more than two thirds,
 * four of seven proxies that a partition cut off from the store stopped serving after 1.8 s of a
 * partition of 7 s; the price of one half is that a change waits for PERMIT_LEASE_MAX if half of
 * the fleet is silent, instead of two thirds.
 */
static inline size_t permit_quorum(size_t nodes)
{
	return nodes / 2 + 1;
}

/* When the permission ends unless it is extended; 0: there is none. */
usec_t permit_expires_at(const pooler_t *pooler);

/*
 * The time of the last agreement: when more than half of the fleet, this proxy included, were last
 * confirmed to have no newer roster; 0: never.
 */
usec_t permit_quorum_confirmed_at(const pooler_t *pooler);

/*
 * Computes the time of the last agreement anew; to be called when another proxy was confirmed to
 * have no newer roster. The result is cached, since every statement needs it.
 */
void permit_update_quorum_confirmed(pooler_t *pooler);

/* True if the roster lists this process and has not marked it as gone. */
bool permit_is_registered(const pooler_t *pooler);

/* The service's primary if this proxy may use it now, or NULL. */
member_t *permit_primary(const service_t *service, usec_t now);

/* True if the member is the primary and this proxy may use it now. */
bool permit_allows(const member_t *member, usec_t now);

/* Number of proxies that this process has seen on the roster for at least PERMIT_LEASE_MAX. */
size_t permit_count_listed(const pooler_t *pooler);

/*
 * Size of the fleet for an agreement: the proxies that are listed in every roster, older than that
 * revision, under which a proxy may still have a permission. Newcomers don't count, or two old
 * proxies that still have the roster of a smaller fleet could be a majority of that fleet. A proxy
 * that has just started uses the sizes reported by proxies that have the revision.
 */
size_t permit_fleet_size(const pooler_t *pooler, int64_t revision);

/*
 * True if the proxies that have not reported this revision of the roster or a newer one are too few
 * for an agreement.
 */
bool permit_quorum_has_revision(const pooler_t *pooler, int64_t revision);

/*
 * True if this proxy runs a statement that may commit at a member of the service, so that a change
 * of primary must wait for it.
 */
bool permit_is_in_use(const service_t *service);
