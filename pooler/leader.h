/*
 * Our own hold on the duty to promote: a key of the store under a lease. It
 * ends by our clock before it ends at the store, and at once when the key is
 * seen to be gone or another's.
 */
#pragma once

#include "state.h"

/* True while this proxy certainly holds the duty. */
bool hold_is_ours(const pooler_t *pooler, usec_t now);

/* The store has our name under the key of the duty, written by the process of that incarnation. */
void hold_on_own_key(pooler_t *pooler, uint64_t incarnation, uint64_t fence);

void hold_lose(pooler_t *pooler, const char *reason);

/* Give the duty back. */
void hold_release(pooler_t *pooler);

/* Renew the hold, or take a vacant one. */
/*
 * The key is that of an earlier life of this process, which can't do anything any more: its lease
 * is ended, instead of keeping the duty vacant for up to 2 s.
 */
void hold_end_former(pooler_t *pooler, uint64_t lease);

void hold_tick(pooler_t *pooler, usec_t now);
