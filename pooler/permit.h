/*
 * Permission to use a primary. A superseded primary that is cut off goes on
 * serving: callers would read stale rows and write what is rolled back later.
 * So a change of primary is first written to the roster, and a proxy may use
 * the primary of its roster only until
 *
 * - PERMIT_LEASE_TIME after the store was last known to hold that roster, asked by
 *   the proxy itself or by a peer, or
 * - PERMIT_LEASE_TIME after more than half of the fleet, itself included, knew
 *   no newer roster, but at most PERMIT_LEASE_MAX after the first point in time:
 *   the store is away for all, so nobody can have written a change.
 *
 * Who makes the change waits until every proxy has said that it let go. For
 * those that do not answer it waits PERMIT_LEASE_TIME, from when they are too few to
 * be more than half; else PERMIT_LEASE_MAX.
 */
#pragma once

#include "state.h"

/*
 * Above the usual age of the roster (0.9 s where hubs are between: the holder renews its hold every
 * 0.4 s, hubs and others ask every 0.25 s), and the time until a proxy that misses them has read
 * for itself (1.5 s and a call to a slow store, 240 ms).
 */
#define PERMIT_LEASE_TIME (1800 * USEC_PER_MSEC)
/* Bridges the outages of the store on the users' sites (up to 9 s). */
#define PERMIT_LEASE_MAX (12 * USEC_PER_SEC)

/*
 * More than half of nodes. Whoever makes a change goes on before PERMIT_LEASE_MAX only when fewer
 * than this do not know of it, so that those can't prolong; any number is safe that both sides use.
 * With more than two thirds four of seven that a partition left without the store stopped after 1.8
 * s of a split for 7 s; the price is that a
 * change waits for PERMIT_LEASE_MAX if half of the fleet is silent instead of two thirds.
 */
static inline size_t permit_quorum(size_t nodes)
{
	return nodes / 2 + 1;
}

/* When the permission ends, as things are known now; 0: there is none. */
usec_t permit_expires_at(const pooler_t *pooler);

/* When more than half of the fleet were last known to know no newer roster; 0: never. */
usec_t permit_quorum_confirmed_at(const pooler_t *pooler);

/* A proxy was heard to know no newer roster than ours; kept, since every statement asks. */
void permit_update_quorum_confirmed(pooler_t *pooler);

/* True if the roster names this process as a member of the fleet. */
bool permit_is_registered(const pooler_t *pooler);

/* The primary that may be used at now, or NULL. */
member_t *permit_primary(const service_t *service, usec_t now);

/* True if member is the primary and may be used at now. */
bool permit_covers(const member_t *member, usec_t now);

/* Proxies that this process has seen on the roster for PERMIT_LEASE_MAX. */
size_t permit_count_listed(const pooler_t *pooler);

/*
 * Proxies that are on the roster of everybody who may still be permitted something by a roster
 * older than that revision. Newcomers don't count, or two old ones could be more than half of a
 * fleet that they remember as smaller. A proxy that has just started asks those that hold the
 * revision.
 */
size_t permit_fleet_size(const pooler_t *pooler, int64_t revision);

/*
 * True if the proxies that are not known to hold the roster of that revision or a newer one
 * are too few to be more than half.
 */
bool permit_quorum_has_revision(const pooler_t *pooler, int64_t revision);

/* True if this proxy has work at the primary that a change must wait for. */
bool permit_is_in_use(const service_t *service);
