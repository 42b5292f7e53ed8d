/*
 * One request from its arrival to its one final answer, at the proxy that
 * received it from a caller and at the proxy that runs it for a peer.
 */
#pragma once

#include "state.h"

/* Both copy the query. The peer's request number goes back with the answer. */
request_t *request_from_caller(core_t *core, uint64_t caller, const query_t *query);
request_t *request_from_peer(core_t *core, const char *peer, uint64_t peer_request,
			     const query_t *query);

request_t *request_find(const core_t *core, uint64_t id);

/* Running it a second time does no harm, or finds the first one by its request id. */
bool request_is_repeatable(const request_t *request);

/* Send the final answer and free the request. */
void request_finish(request_t *request, const answer_t *answer);

/*
 * Refuse. The outcome is "not run" only if nothing of it can have taken effect;
 * for a resend an earlier attempt can have, so that is "unknown" as well.
 */
void request_refuse(request_t *request, refusal_t refusal, usec_t retry_after, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

/* The caller went away: drop what has not started. */
void request_caller_gone(core_t *core, uint64_t caller);
