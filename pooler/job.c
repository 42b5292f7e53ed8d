#include "job.h"

#include <string.h>

#include <talloc.h>

#include "caller.h"
#include "exchange.h"

#define LOG_MODULE "job"
#include "counter.h"
#include "log.h"

COUNTER_DEFINE(jobs_total, "statements_run_for_others_total", COUNTER_SUM,
	       "Statements run for another proxy.");

/* The statement is not taken: its proxy may do otherwise with it. */
static void decline(pooler_t *pooler, const peer_message_t *message)
{
	forward_result_t result = {
		.number = message->request->number,
		.declined = true,
		.member = "",
		.code = CODE_BUSY,
		.text = "the proxy that helps can't",
	};

	outbox_send_result(&pooler->outbox, message->from, message->address, &result);
}

/*
 * Its transaction is not known here: the connection that it had is gone, by a restart or since it
 * rested too long, and with it all that was not committed.
 */
static void tell_lost(pooler_t *pooler, const peer_message_t *message)
{
	forward_result_t result = {
		.number = message->request->number,
		.member = "",
		.code = CODE_ABORTED,
		.text = reason_text(REASON_ROLLED_BACK),
		.tx = TX_FAILED,
	};

	outbox_send_result(&pooler->outbox, message->from, message->address, &result);
}

/* The session as far as its statement needs it. */
static void give_session(caller_t *caller, const forward_request_t *request)
{
	const statement_t *statement = request->statement;

	list_for_each (it, &request->variables->list) {
		const variable_t *variable = list_entry(it, variable_t, node);

		variables_set(&caller->variables, caller,
			      slice_of(variable->name, strlen(variable->name)),
			      slice_of(variable->value, strlen(variable->value)));
	}
	if (statement->kind == STATEMENT_EXEC)
		prepared_put(&caller->prepared, caller, statement->name, request->shape,
			     statement->writes);
	caller->has_commit = request->has_commit;
	caller->commit = request->commit;
	caller->committed_at = now_of(caller->pooler);
}

static caller_t *find(const pooler_t *pooler, const peer_message_t *message)
{
	list_for_each (it, &pooler->callers) {
		caller_t *caller = list_entry(it, caller_t, node);
		const job_t *job = caller->job;

		if (job != NULL && job->tx_number != 0 &&
		    job->tx_number == message->request->session &&
		    job->origin_incarnation == message->incarnation &&
		    strcmp(job->origin, message->from) == 0)
			return caller;
	}
	return NULL;
}

/* NULL if it can't be taken. */
static caller_t *open(pooler_t *pooler, const peer_message_t *message)
{
	const forward_request_t *request = message->request;
	caller_t *caller;
	job_t *job;

	/* By an older configuration the sender would fall back behind what it has shown. */
	if (pooler->draining || pooler->routes == NULL ||
	    pooler->routes->version != message->config_version ||
	    routes_find(pooler->routes, request->database) == NULL)
		return NULL;
	job = talloc_zero(pooler, job_t);
	caller = caller_create(pooler, request->database, job);
	caller->job = talloc_steal(caller, job);
	/* Whoever took the statement has looked at its key. */
	caller->customer = talloc_strdup(caller, request->customer);
	job->origin = talloc_strdup(job, message->from);
	job->origin_address = talloc_strdup(job, message->address);
	job->origin_incarnation = message->incarnation;
	job->tx_number = request->session;
	if (request->session != 0)
		caller_begin_tx(caller, request->read_only);
	return caller;
}

/* Who is asked to serve keeps connections for it. */
static void mark_served(const caller_t *caller)
{
	const route_t *route = routes_find(caller->pooler->routes, caller->database);

	if (route != NULL)
		service_get(caller->pooler, route->service)->served_others = now_of(caller->pooler);
}

static void run(caller_t *caller, const forward_request_t *request)
{
	counter_add(&jobs_total, 1);
	caller->job->request_number = request->number;
	caller->job->time_left = request->left;
	give_session(caller, request);
	mark_served(caller);
	caller_on_statement(caller, request->statement);
}

void job_on_request(pooler_t *pooler, const peer_message_t *message)
{
	const forward_request_t *request = message->request;
	caller_t *caller = request->session != 0 ? find(pooler, message) : NULL;

	if (request->statement->kind == STATEMENT_ROLLBACK) {
		if (caller != NULL)
			caller_on_session_end(caller);
		return;
	}
	if (caller == NULL && (request->session == 0 || request->begins)) {
		caller = open(pooler, message);
		if (caller == NULL)
			decline(pooler, message);
	} else if (caller == NULL || caller->busy) {
		tell_lost(pooler, message);
		return;
	}
	if (caller != NULL)
		run(caller, request);
}

void job_send_result(caller_t *caller, const caller_reply_t *reply, const reply_t *from)
{
	job_t *job = caller->job;
	forward_result_t result = {
		.number = job->request_number,
		.is_raw = from != NULL,
		.member = caller->conn != NULL ? caller->conn->member->id : "",
		.code = reply->code,
		.text = reply->text != NULL ? reply->text : "",
		.tx = caller->tx,
	};

	if (from != NULL) {
		result.raw = from->raw;
		result.ok = from->ok;
		result.code = from->code;
		result.has_position = from->has_position;
		result.position = from->position;
	}
	job->done = caller->tx == TX_NONE;
	outbox_send_result(&caller->pooler->outbox, job->origin, job->origin_address, &result);
}

/* The proxy that it stands for has left the fleet, or is another process now. */
static bool is_abandoned(const caller_t *caller)
{
	const job_t *job = caller->job;
	const roster_node_t *node = roster_node(caller->pooler->sync.roster, job->origin);

	return job->tx_number != 0 &&
	       (node == NULL || node->gone || node->incarnation > job->origin_incarnation);
}

bool job_is_done(const caller_t *caller)
{
	return caller->job != NULL &&
	       (caller->job->done || (!caller->busy && is_abandoned(caller)));
}
