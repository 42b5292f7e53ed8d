/*
 * Permission to use a primary. A superseded primary that is cut off goes on
 * serving: callers would read stale rows and write what is rolled back later.
 * So a proxy uses the primary in its roster only for PERMIT_TTL after the store
 * was last known to hold that roster (asked by itself or by a peer), and a
 * member is promoted only after the coming change was written to the roster and
 * every proxy has let go of the old primary or PERMIT_TTL has passed.
 */
#pragma once

#include "state.h"

/*
 * How long the roster holds without news from the store. Bridges the store's
 * usual outages (4.5 s on the users' sites) and is the longest a change of
 * primary waits for a proxy that does not answer.
 */
#define PERMIT_TTL (7 * USEC_PER_SEC)

/* True if the roster names this process as a member of the fleet. */
bool permit_is_registered(const pooler_t *pooler);

/* The primary that may be used at now, or NULL. */
member_t *permit_primary(const service_t *service, usec_t now);

/* True if member is the primary and may be used at now. */
bool permit_covers(const member_t *member, usec_t now);

/* True if this proxy has work at the primary that a change must wait for. */
bool permit_in_use(const service_t *service);
