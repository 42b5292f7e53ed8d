/*
 * The life of a request, from its arrival to its single final answer. A forwarded
 * request exists twice: at the proxy of the caller and at the home that runs it.
 */
#pragma once

#include "state.h"

/* Both copy the query. peer_request is the peer's id of the request, returned with the answer. */
request_t *request_from_caller(core_t *core, uint64_t caller, const query_t *query);
request_t *request_from_peer(core_t *core, const char *peer, uint64_t peer_request,
			     const query_t *query);

request_t *request_find(const core_t *core, uint64_t id);

/* True if a second run does no harm, or is detected by the request id. */
bool request_is_repeatable(const request_t *request);

/* Send the final answer and free the request. */
void request_finish(request_t *request, const answer_t *answer);

/*
 * Refuse the request and free it. The outcome is "not run" only if no attempt can
 * have taken effect, else "unknown"; a resend is always "unknown", since the
 * caller's earlier attempt may have taken effect.
 */
void request_refuse(request_t *request, refusal_t refusal, usec_t retry_after, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

/* The caller has disconnected: drop its request if it is still queued. */
void request_caller_gone(core_t *core, uint64_t caller);
