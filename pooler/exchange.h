/*
 * What proxies tell each other: states that bring the roster and how old the news of it is, and
 * what is made of them and of questions (ask.h).
 */
#pragma once

#include "state.h"

/* A primary that answered a proxy within this time is alive in the proxy's report. */
#define ALIVE_WITHIN (300 * USEC_PER_MSEC)
/* A holder silent for so long is not the only one asked. */
#define LEADER_SILENT_AFTER (600 * USEC_PER_MSEC)

void exchange_on_message(pooler_t *pooler, const peer_message_t *message);

/* What every message says of its sender. */
void exchange_fill_sender(const pooler_t *pooler, peer_message_t *message);

/* False if it was certainly not sent: there is no link to that proxy yet. */
bool exchange_send(const pooler_t *pooler, const char *name, const char *address,
		   const peer_message_t *message);

/* Tell one proxy the roster, though it has not asked; false if there is no link to it yet. */
bool exchange_send_state(pooler_t *pooler, const char *name, const char *address);

/* Ask one proxy whether it lives; false if there is no link to it yet. */
bool exchange_send_ping(const pooler_t *pooler, const roster_node_t *peer);

/* The record of a proxy's reports, made if there is none. */
peer_report_t *exchange_get_report(pooler_t *pooler, const char *name);

/* The last report of a proxy, or NULL. */
const peer_report_t *exchange_find_report(const pooler_t *pooler, const char *name);

/* The next word of a list of words joined by blanks, not terminated; NULL: there is none. */
const char *exchange_next_word(const char **list, size_t *len);

/* True if word is in a list of words joined by blanks. */
bool exchange_list_contains(const char *list, const char *word);

void exchange_tick(pooler_t *pooler, usec_t now);
