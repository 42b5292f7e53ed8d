/*
 * Our own hold on the duty to promote: a key of the store under a lease. It
 * ends by our clock before it ends at the store, and at once when the key is
 * seen to be gone or another's.
 */
#pragma once

#include "state.h"

/* True while this proxy certainly holds the duty. */
bool leader_is_self(const pooler_t *pooler, usec_t now);

/* The store has our name under the key of the duty, written by the process of that incarnation. */
void leader_on_own_key(pooler_t *pooler, uint64_t incarnation, uint64_t fence);

void leader_step_down(pooler_t *pooler, const char *reason);

/* Give the duty back. */
void leader_release(pooler_t *pooler);

/* Renew the hold, or take a vacant one. */
/*
 * The key is that of an earlier life of this process, which can't do anything any more: its lease
 * is ended, instead of keeping the duty vacant for up to 2 s.
 */
void leader_end_former_lease(pooler_t *pooler, uint64_t lease);

void leader_tick(pooler_t *pooler, usec_t now);
