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
 * Handles a read of the store that found the leader key with this proxy's name, written by the
 * process with that incarnation under that fencing token.
 */
void leader_on_own_key(pooler_t *pooler, uint64_t incarnation, uint64_t fencing_token);

/* Ends the leadership of this proxy, if it has it. */
void leader_step_down(pooler_t *pooler, const char *reason);

/* Ends the leadership and its lease at the store. */
void leader_release(pooler_t *pooler);

/*
 * Ends the lease of a leader key that an earlier process of this proxy has written. Otherwise there
 * would be no leader until that lease expires, for up to 2 s.
 */
void leader_end_former_lease(pooler_t *pooler, uint64_t lease);

/* Renews the leader lease, or requests a vacant leadership. */
void leader_tick(pooler_t *pooler, usec_t now);
