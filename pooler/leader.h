/*
 * The leader lease. One proxy at a time is the leader: only the leader may change primaries. The
 * leader is the proxy whose key is in the store, bound to a lease that the proxy renews. This
 * proxy's leadership ends by its own clock before the lease ends at the store, and at once when the
 * key is found missing or replaced by another proxy's.
 */
#pragma once

#include "state.h"

/* True while this proxy is certain to be the leader. */
bool leader_is_self(const pooler_t *pooler, usec_t now);

/*
 * The store's leader key names this proxy, written by the process with that incarnation; fence is
 * its fencing token.
 */
void leader_on_own_key(pooler_t *pooler, uint64_t incarnation, uint64_t fence);

void leader_step_down(pooler_t *pooler, const char *reason);

/* Ends the leadership and its lease at the store. */
void leader_release(pooler_t *pooler);

/*
 * The leader key was written by an earlier process of this proxy, which has ended. Its lease is
 * ended now, or there would be no leader until it expires, for up to 2 s.
 */
void leader_end_former_lease(pooler_t *pooler, uint64_t lease);

/* Renews the leader lease, or requests a vacant leadership. */
void leader_tick(pooler_t *pooler, usec_t now);
