/*
 * Getting on the roster. It changes by one write after another, each on top of the last one: of a
 * fleet that starts at once, all but one fail each time. So whoever fails asks the proxy that
 * wrote last, and that one adds all that have asked it meanwhile with its next write. Twelve
 * proxies that start together: 156 calls to the store and 96 ms, this way 91 and 52.
 */
#pragma once

#include "state.h"

/*
 * A question of a proxy that may not be on the roster yet. In a large fleet that is a hub's task,
 * which passes it on with its next question to the holder of the duty.
 */
void join_on_query(pooler_t *pooler, const peer_message_t *message);

/* False if the question of this proxy is not answered: it reads the store again. */
bool join_can_answer(const pooler_t *pooler, const char *name);

/* Whoever answers is alive, and may add us still. */
void join_on_state(pooler_t *pooler, const char *from);

/* A hub has passed on that the proxy of this report wants to be added. */
void join_on_report(pooler_t *pooler, const peer_message_t *report);

/* What a hub passes on: a report each, into reports, which has room for join_pending_count(). */
size_t join_fill_reports(const pooler_t *pooler, peer_message_t *reports);
size_t join_pending_count(const pooler_t *pooler);

/* Put ourselves on the roster, and those that have asked us for it. */
void join_run(pooler_t *pooler, usec_t now);
