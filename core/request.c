#include "request.h"

#include <stdarg.h>

#include <talloc.h>

#include "exec.h"
#include "router.h"

static void on_deadline(run_timer_t *timer, usec_t now)
{
	request_t *request = list_entry(timer, request_t, timer);

	(void)now;
	if (request->state == REQUEST_FORWARDED)
		router_deadline(request);
	else
		exec_deadline(request);
}

static request_t *request_create(core_t *core, const query_t *query)
{
	request_t *request = talloc_zero(core, request_t);

	request->core = core;
	request->id = core_next_id(core);
	request->query = query_copy(request, query);
	request->arrived = core->now;
	request->deadline = core->now + query->time_left;
	request->state = REQUEST_FORWARDED;
	list_init(&request->node);
	HASH_ADD(hh, core->requests, id, sizeof(request->id), request);
	timers_arm(&core->timers, &request->timer, request->deadline, on_deadline);
	return request;
}

request_t *request_from_caller(core_t *core, uint64_t caller, const query_t *query)
{
	request_t *request = request_create(core, query);

	request->caller = caller;
	request->session = talloc_zero(request, session_t);
	return request;
}

request_t *request_from_peer(core_t *core, const char *peer, uint64_t peer_request,
			     const query_t *query)
{
	request_t *request = request_create(core, query);

	request->peer = talloc_strdup(request, peer);
	request->peer_request = peer_request;
	return request;
}

request_t *request_find(const core_t *core, uint64_t id)
{
	request_t *request;

	HASH_FIND(hh, core->requests, &id, sizeof(id), request);
	return request;
}

bool request_is_repeatable(const request_t *request)
{
	/* A transaction opened by a lost BEGIN changes nothing and is rolled back after tx_idle. */
	return request->kind == ROW_READ || request->query->repeatable ||
	       request->query->request_id != NULL || request->query->verb == VERB_BEGIN;
}

static void answer_caller(request_t *request, const answer_t *answer)
{
	core_t *core = request->core;
	action_t *action = core_add_action(core, ACTION_ANSWER);

	action->id = request->caller;
	action->answer.answer = answer_copy(action, answer);
	if (answer->outcome == OUTCOME_DONE && answer->group != NULL)
		session_merge(request->session, answer->group, answer->position);
	action->answer.token = session_encode(action, core->config.token_key, request->session);
}

static void free_request(request_t *request)
{
	core_t *core = request->core;

	timers_cancel(&core->timers, &request->timer);
	timers_cancel(&core->timers, &request->ack_timer);
	if (request->tx != NULL && request->tx->current == request)
		request->tx->current = NULL;
	list_del(&request->node);
	HASH_DEL(core->requests, request);
	talloc_free(request);
}

void request_finish(request_t *request, const answer_t *answer)
{
	core_t *core = request->core;

	core->answered++;
	if (answer->refusal != REFUSAL_NONE)
		core->refusals[answer->refusal]++;
	if (request->peer != NULL)
		router_answer_peer(request, answer);
	else
		answer_caller(request, answer);
	free_request(request);
}

void request_refuse(request_t *request, refusal_t refusal, usec_t retry_after, const char *fmt, ...)
{
	bool unsure = request->maybe_ran || request->query->resend;
	answer_t answer = {
		.outcome = unsure ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
		.refusal = refusal,
		.retry_after = retry_after,
		.group = request->group_name,
	};
	va_list ap;

	va_start(ap, fmt);
	answer.detail = talloc_vasprintf(request, fmt, ap);
	va_end(ap);
	core_log(request->core, false, "refused request=%llu row=%s outcome=%s reason=%s: %s",
		 (unsigned long long)request->id, request->row != NULL ? request->row : "none",
		 outcome_name(answer.outcome), refusal_name(refusal), answer.detail);
	request_finish(request, &answer);
}

void request_caller_gone(core_t *core, uint64_t caller)
{
	request_t *request;
	request_t *next;

	HASH_ITER (hh, core->requests, request, next) {
		if (request->peer == NULL && request->caller == caller) {
			if (request->state == REQUEST_QUEUED)
				free_request(request);
			return;
		}
	}
}
