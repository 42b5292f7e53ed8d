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

/* Declines the statement, which has not run: the origin may run it elsewhere. */
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
 * Answers a statement of a transaction that this proxy does not have. The transaction's connection
 * was closed, by a restart or by the time-out of idle transactions, so the member has rolled back.
 */
static void answer_lost_tx(pooler_t *pooler, const peer_message_t *message)
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

/* Sets up the parts of the origin's session that the statement needs. */
static void restore_session(caller_t *caller, const service_t *service,
			    const forward_request_t *request)
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
	/*
	 * An unknown position counts from now on, since the origin's clock can't be compared: only
	 * a sample of the primary that is taken later covers it.
	 */
	if (request->has_commit)
		own_commits_record(&caller->own_commits, caller, service,
				   request->has_commit_position ? &request->commit : NULL,
				   now_of(caller->pooler));
}

static caller_t *find_tx(const pooler_t *pooler, const peer_message_t *message)
{
	list_for_each (it, &pooler->callers) {
		caller_t *caller = list_entry(it, caller_t, node);
		const job_t *job = caller->job;

		if (job != NULL && job->tx_number != 0 &&
		    job->tx_number == message->request->transaction &&
		    job->origin_incarnation == message->incarnation &&
		    strcmp(job->origin, message->from) == 0)
			return caller;
	}
	return NULL;
}

/* Creates a caller for the request; returns NULL if this proxy can't run it. */
static caller_t *open_job(pooler_t *pooler, const peer_message_t *message)
{
	const forward_request_t *request = message->request;
	caller_t *caller;
	job_t *job;

	/* The origin's callers must not be served by an older configuration than its own. */
	if (pooler->draining || pooler->routes == NULL ||
	    pooler->routes->version != message->config_version ||
	    routes_find(pooler->routes, request->database) == NULL)
		return NULL;
	job = talloc_zero(pooler, job_t);
	caller = caller_create(pooler, request->database, job);
	caller->job = talloc_steal(caller, job);
	/* The origin has checked the caller's key. */
	caller->customer = talloc_strdup(caller, request->customer);
	job->origin = talloc_strdup(job, message->from);
	job->origin_address = talloc_strdup(job, message->address);
	job->origin_incarnation = message->incarnation;
	job->tx_number = request->transaction;
	if (request->service != NULL)
		job->service = service_get(pooler, request->service);
	if (request->transaction != 0)
		caller_begin_tx(caller, request->read_only);
	return caller;
}

/* The service at which the caller's statement runs; NULL: its database has no route any more. */
static service_t *service_of(const caller_t *caller)
{
	const route_t *route;

	if (caller->service != NULL)
		return caller->service;
	if (caller->job->service != NULL)
		return caller->job->service;
	route = routes_find(caller->pooler->routes, caller->database);
	return route != NULL ? service_get(caller->pooler, route->service) : NULL;
}

static void run_job(caller_t *caller, const forward_request_t *request)
{
	service_t *service = service_of(caller);

	counter_add(&jobs_total, 1);
	caller->job->request_number = request->number;
	caller->job->time_left = request->time_left;
	restore_session(caller, service, request);
	/* A home in use keeps its connections. */
	if (service != NULL)
		service->last_forward_at = now_of(caller->pooler);
	caller_on_statement(caller, request->statement);
}

void job_on_request(pooler_t *pooler, const peer_message_t *message)
{
	const forward_request_t *request = message->request;
	caller_t *caller = request->transaction != 0 ? find_tx(pooler, message) : NULL;

	if (request->statement->kind == STATEMENT_ROLLBACK) {
		if (caller != NULL)
			caller_on_session_end(caller);
		return;
	}
	if (caller == NULL && (request->transaction == 0 || request->begins_transaction)) {
		caller = open_job(pooler, message);
		if (caller == NULL)
			decline(pooler, message);
	} else if (caller == NULL || caller->busy) {
		answer_lost_tx(pooler, message);
		return;
	}
	if (caller != NULL)
		run_job(caller, request);
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

/* True if the origin of the transaction has left the fleet or was restarted. */
static bool is_abandoned(const caller_t *caller)
{
	const job_t *job = caller->job;
	const roster_node_t *node = roster_find_node(caller->pooler->sync.roster, job->origin);

	return job->tx_number != 0 &&
	       (node == NULL || node->gone || node->incarnation > job->origin_incarnation);
}

bool job_is_done(const caller_t *caller)
{
	return caller->job != NULL &&
	       (caller->job->done || (!caller->busy && is_abandoned(caller)));
}
