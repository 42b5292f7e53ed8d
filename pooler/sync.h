/*
 * Keeping the roster: reading it from the store and writing it; adopt.h takes over what is newer.
 */
#pragma once

#include "state.h"

void sync_init(pooler_t *pooler);
void sync_destroy(pooler_t *pooler);
void sync_tick(pooler_t *pooler, usec_t now);

/* A key of ours in the store, as a child of parent. */
char *sync_make_key(void *parent, const pooler_t *pooler, const char *name);

/* The store held the revision of our roster when asked at this time, or later. */
void sync_confirm_roster(pooler_t *pooler, usec_t asked_at);

/* Who holds the duty, if fence is newer than what is known. */
void sync_set_leader(pooler_t *pooler, const char *name, const char *address, uint64_t fence);

/* Look whether waiting statements can be served now. */
void sync_dispatch_waiting(pooler_t *pooler);

/*
 * Write roster if the store still holds the revision that it was copied from.
 * done is called with the result after the local copy was renewed.
 */
void sync_commit_roster(pooler_t *pooler, const roster_t *roster, kv_done_t done, void *data);
