/*
 * Questions to other proxies: what this one sees of the primaries, and what it lacks. The answers
 * are in exchange.h.
 */
#pragma once

#include "state.h"

/* Between two questions for news. */
#define ASK_QUERY_INTERVAL (250 * USEC_PER_MSEC)

/* Ask one proxy for its state; false if there is no link to it yet. */
bool ask_send_query(const pooler_t *pooler, const char *name, const char *address);

/* With news so old the permission is prolonged only by agreement with the other proxies. */
bool ask_roster_is_unconfirmed(const pooler_t *pooler, usec_t now);

/*
 * True if others must hear at once that this proxy holds a new roster: a change of primary waits
 * for it, or the roster is agreed on without the store. Else it is heard with the next question, so
 * that proxies that join a large fleet don't make everybody report each time.
 */
bool ask_must_report_revision(const pooler_t *pooler);

/* Ask whom it is time to ask. */
void ask_tick(pooler_t *pooler, usec_t now);
