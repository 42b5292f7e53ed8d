/*
 * Keeping the roster: reading it from the store, hearing of it from peers,
 * being on it, and holding the duty to promote under a lease.
 */
#pragma once

#include "state.h"

/* A primary that answered a proxy within this time is alive in the proxy's report. */
#define ALIVE_WITHIN (300 * USEC_PER_MSEC)

void sync_init(pooler_t *pooler);
void sync_destroy(pooler_t *pooler);
void sync_tick(pooler_t *pooler, usec_t now);
void sync_on_message(pooler_t *pooler, const peer_message_t *message);

/* True while this proxy certainly holds the duty. */
bool sync_is_holder(const pooler_t *pooler, usec_t now);

/*
 * Write roster if the store still holds the revision that it was copied from.
 * done is called with the result after the local copy was renewed.
 */
void sync_commit(pooler_t *pooler, const roster_t *roster, kv_done_t done, void *data);

/* The record of a proxy's reports, made if there is none. */
peer_report_t *sync_get_report(pooler_t *pooler, const char *name);

/* The last report of a proxy, or NULL. */
const peer_report_t *sync_report(const pooler_t *pooler, const char *name);

/* Give the duty back. */
void sync_release(pooler_t *pooler);

/* True if word is in a list of words joined by blanks. */
bool sync_lists(const char *list, const char *word);
