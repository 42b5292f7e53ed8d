/*
 * Messages between proxies: sends states, which hold the roster, its age and updates of the
 * directory, and handles received states and queries (ask.h).
 */
#pragma once

#include "state.h"

/* A primary that has answered a proxy within this time counts as alive in the proxy's report. */
#define ALIVE_WITHIN (300 * USEC_PER_MSEC)
/* A leader without an answer for this time is not the only proxy queried. */
#define LEADER_SILENT_AFTER (600 * USEC_PER_MSEC)

void exchange_on_message(pooler_t *pooler, const peer_message_t *message);

/* Fills in the fields that describe the sender of any message. */
void exchange_fill_sender(const pooler_t *pooler, peer_message_t *message);

/*
 * Sends a message to another proxy. False if it was certainly not sent, since there is no link to
 * that proxy yet.
 */
bool exchange_send(const pooler_t *pooler, const char *name, const char *address,
		   const peer_message_t *message);

/* Sends our state to a proxy that has not queried for it; false if there is no link to it yet. */
bool exchange_send_state(pooler_t *pooler, const char *name, const char *address);

/* Pings a proxy; false if there is no link to it yet. */
bool exchange_send_ping(const pooler_t *pooler, const roster_node_t *peer);

/* Returns the record of a proxy's reports, created if there is none. */
peer_report_t *exchange_get_report(pooler_t *pooler, const char *name);

/* Returns the record of a proxy's reports, or NULL. */
const peer_report_t *exchange_find_report(const pooler_t *pooler, const char *name);

/*
 * Returns the next word of a list of words separated by spaces, not terminated, and moves *list
 * past it; NULL: the list is at its end.
 */
const char *exchange_next_word(const char **list, size_t *len);

/* True if a list of words separated by spaces contains word. */
bool exchange_list_contains(const char *list, const char *word);

void exchange_tick(pooler_t *pooler, usec_t now);
