/*
 * Routing: a caller's request goes to the proxy that serves its group (its
 * home), which may be this one. When a home does not accept in time the next
 * rank is tried, if the request can bear having been run there unseen.
 */
#pragma once

#include "state.h"

/* A caller's query. */
void router_query(core_t *core, uint64_t id, const query_event_t *event);

/* Messages from peers: execute, accepted, answer. */
void router_execute(core_t *core, proxy_t *from, const message_t *message);
void router_accepted(core_t *core, const message_t *message);
void router_answer(core_t *core, const message_t *message);

/* A message of this request was certainly not sent. */
void router_unsent(core_t *core, uint64_t id);

/* Give up on forwards whose home has become suspect. */
void router_check_homes(core_t *core);

/* Our own pause ended: whether a home accepted in time is not known, so it gets the time anew. */
void router_after_pause(core_t *core);

void router_deadline(request_t *request);
void router_answer_peer(request_t *request, const answer_t *answer);
