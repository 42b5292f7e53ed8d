/*
 * Reads the roster (roster.h) from the store and writes it; adopt.h replaces our roster by a newer
 * one.
 */
#pragma once

#include "state.h"

void sync_init(pooler_t *pooler);
void sync_destroy(pooler_t *pooler);
void sync_tick(pooler_t *pooler, usec_t now);

/* Returns the full store key of name under the configured prefix, as a child of parent. */
char *sync_make_key(void *parent, const pooler_t *pooler, const char *name);

/* Records that the store held our roster's revision when a read sent at this time arrived. */
void sync_confirm_roster(pooler_t *pooler, usec_t asked_at);

/* Records the leader, unless the leader recorded so far has the same fencing token or a newer one.
 */
void sync_set_leader(pooler_t *pooler, const char *name, const char *address, uint64_t token);

/* Dispatches waiting statements that can be served now. */
void sync_dispatch_waiting(pooler_t *pooler);

/*
 * Writes a changed copy of our roster, if the store still holds the revision that was copied. done
 * is called with the result after our roster was updated.
 */
void sync_commit_roster(pooler_t *pooler, const roster_t *roster, kv_done_t done, void *data);
