/*
 * What proxies tell each other: questions that report what the sender sees, and
 * states that bring the roster and how old the news of it is.
 */
#pragma once

#include "state.h"

/* A primary that answered a proxy within this time is alive in the proxy's report. */
#define ALIVE_WITHIN (300 * USEC_PER_MSEC)
/* A holder silent for so long is not the only one asked. */
#define HOLDER_SILENT (600 * USEC_PER_MSEC)

void exchange_on_message(pooler_t *pooler, const peer_message_t *message);

/* What every message says of its sender. */
void exchange_fill(const pooler_t *pooler, peer_message_t *message);

/*
 * Tell the fleet what is new at once: all of a small one, the hubs of a large one and those that
 * ask this proxy. Who misses it hears it with the next answer.
 */
void exchange_push(pooler_t *pooler);

/* Between two pushes to a large fleet; 0: none. */
usec_t exchange_spacing(const pooler_t *pooler);

/* Tell those only that ask this proxy. */
void exchange_push_listeners(pooler_t *pooler);

/* Tell one proxy the roster, though it has not asked; false if there is no link to it yet. */
bool exchange_tell(pooler_t *pooler, const char *name, const char *address);

/* Ask one proxy whether it lives; false if there is no link to it yet. */
bool exchange_ping(const pooler_t *pooler, const roster_node_t *peer);

/* Ask one proxy for its state; false if there is no link to it yet. */
bool exchange_ask(const pooler_t *pooler, const char *name, const char *address);

/*
 * True if others must hear at once that this proxy holds a new roster: a change of primary waits
 * for it, or the roster is agreed on without the store. Else it is heard with the next question, so
 * that proxies that join a large fleet don't make everybody report each time.
 */
bool exchange_tells_revision(const pooler_t *pooler);

/* The record of a proxy's reports, made if there is none. */
peer_report_t *exchange_get_report(pooler_t *pooler, const char *name);

/* The last report of a proxy, or NULL. */
const peer_report_t *exchange_report(const pooler_t *pooler, const char *name);

/* The next word of a list of words joined by blanks, not terminated; NULL: there is none. */
const char *exchange_next_word(const char **list, size_t *len);

/* True if word is in a list of words joined by blanks. */
bool exchange_lists(const char *list, const char *word);

void exchange_tick(pooler_t *pooler, usec_t now);
