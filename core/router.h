/*
 * Routing: a caller's request is forwarded to the home of its group, the
 * first-ranked proxy (fleet.h), which runs it; that may be this proxy. If the home
 * does not accept the request in time, it goes to the next rank, provided that
 * running it twice does no harm.
 */
#pragma once

#include "state.h"

/* A caller's query. */
void router_query(core_t *core, uint64_t id, const query_event_t *event);

/* Messages from peers: execute, accepted, answer. */
void router_execute(core_t *core, proxy_t *from, const message_t *message);
void router_accepted(core_t *core, const message_t *message);
void router_answer(core_t *core, const message_t *message);

/* The forwarded request has certainly not been sent (EVENT_UNSENT). */
void router_unsent(core_t *core, uint64_t id);

/* Route requests anew whose home has become suspect, or refuse them. */
void router_check_homes(core_t *core);

/*
 * After a pause of this process: a home may have accepted a request meanwhile, so the
 * time-out for its acceptance starts anew.
 */
void router_after_pause(core_t *core);

/* The deadline of a forwarded request has passed: refuse it. */
void router_deadline(request_t *request);

/* Send the answer to the peer that forwarded the request. */
void router_answer_peer(request_t *request, const answer_t *answer);
