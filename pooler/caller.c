#include "caller.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "admission.h"
#include "conn.h"
#include "dispatch.h"
#include "expect.h"
#include "forward.h"
#include "hangup.h"
#include "job.h"
#include "liveness.h"
#include "member.h"
#include "permit.h"
#include "quota.h"
#include "report.h"

#define LOG_MODULE "caller"
#include "counter.h"
#include "log.h"

/* Maximum number of retries of one statement. Writes are retried only if they did not run. */
#define RETRIES_MAX 6
/* Retries up to which a lone read may be sent again though its first attempt may have run. */
#define READ_RETRIES_MAX 2
/* Delay before a retry after a refusal, times the number of attempts so far. */
#define RETRY_BACKOFF (4 * USEC_PER_MSEC)
/* Retry-after if the cached keys are too old; a query to peers for newer ones takes half of it. */
#define KEYS_RETRY_AFTER (500 * USEC_PER_MSEC)
/* How long after its deadline a forwarded write still waits for a refusal of the other proxy. */
#define REFUSAL_TIMEOUT (150 * USEC_PER_MSEC)
/* Maximum size of the text of an error answer, in bytes. */
#define ANSWER_TEXT_MAX 160

COUNTER_DEFINE(retried_total, "statements_retried_total", COUNTER_SUM,
	       "Retries of statements that callers did not notice.");
COUNTER_DEFINE(retries_denied_total, "statements_retries_denied_total", COUNTER_SUM,
	       "Retries that were not made since the service's budget for them was used up.");
COUNTER_DEFINE(transactions_total, "transactions_total", COUNTER_SUM, "Transactions begun.");
COUNTER_DEFINE(open_callers, "callers_open", COUNTER_GAUGE, "Open sessions of callers.");

static bool is_write(const caller_t *caller)
{
	return caller->statement.writes;
}

static bool is_commit(const caller_t *caller)
{
	return caller->statement.kind == STATEMENT_COMMIT;
}

bool caller_may_commit(const caller_t *caller)
{
	if (caller->tx == TX_NONE)
		return is_write(caller);
	return is_commit(caller) && caller->tx_wrote;
}

/* --- answering --- */

/* from: the member's reply if it is passed on unchanged, else NULL. */
static void send_answer(caller_t *caller, const caller_reply_t *reply, const reply_t *from)
{
	pooler_t *pooler = caller->pooler;

	caller->busy = false;
	/* SET and PREPARE only prepare a later operation, so they don't count as served. */
	caller->served_while_draining = pooler->draining && caller->target != TARGET_NONE;
	caller->exec = NULL;
	caller->target = TARGET_NONE;
	caller->idle_since = now_of(pooler);
	timers_cancel(pooler->timers, &caller->timer);
	if (caller->job == NULL && from != NULL)
		startup_on_answer(&pooler->startup,
				  caller->idle_since > caller->received_at + caller->objective,
				  caller->idle_since);
	if (caller->job != NULL)
		job_send_result(caller, reply, from);
	else if (caller->link != NULL)
		pooler->env->ops->caller_reply(pooler->env, caller->link, reply);
	if (caller->tx == TX_NONE) {
		caller->service = NULL;
		caller->remote_tx = 0;
	}
}

static void answer_done(caller_t *caller)
{
	caller_reply_t reply = {.kind = REPLY_DONE, .tx = caller->tx};

	send_answer(caller, &reply, NULL);
}

/* Passes a member's reply on unchanged. */
static void answer_with_reply(caller_t *caller, const reply_t *from)
{
	caller_reply_t reply = {.kind = REPLY_RAW, .raw = from->raw};

	if (from->ok) {
		retry_budget_on_success(&caller->service->retry_budget);
		report_success(caller);
	} else {
		report_failure(caller, from->code, REASON_MEMBER_FAILED, code_name(from->code));
	}
	send_answer(caller, &reply, from);
}

/* detail: additional text for the log, or NULL. */
static void answer_error(caller_t *caller, code_t code, reason_t reason, const char *detail)
{
	caller_reply_t reply = {
		.kind = REPLY_ERROR, .code = code, .text = reason_text(reason), .tx = caller->tx};

	report_failure(caller, code, reason, detail);
	send_answer(caller, &reply, NULL);
}

/* Takes the statement out of all queues and marks its transaction, if any, as failed. */
static void abort_statement(caller_t *caller)
{
	quota_cancel(caller);
	dispatch_dequeue(caller);
	forward_cancel(caller);
	if (caller->tx == TX_OPEN)
		caller->tx = is_commit(caller) ? TX_NONE : TX_FAILED;
	if (caller->conn != NULL)
		conn_orphan(caller->conn);
	forward_end_tx(caller);
}

static void fail_statement(caller_t *caller, code_t code, reason_t reason, const char *detail)
{
	abort_statement(caller);
	answer_error(caller, code, reason, detail);
}

void caller_refuse(caller_t *caller, code_t code, reason_t reason, usec_t retry_after)
{
	char text[ANSWER_TEXT_MAX];
	caller_reply_t reply = {.kind = REPLY_ERROR, .code = code, .text = text};

	/* The protocol has no field for the retry time, so the text carries it. */
	snprintf(text, sizeof(text), "%s; retry-after-ms=%" PRIu64, reason_text(reason),
		 retry_after / USEC_PER_MSEC);
	abort_statement(caller);
	reply.tx = caller->tx;
	report_failure(caller, code, reason, text);
	send_answer(caller, &reply, NULL);
}

/*
 * True if the statement is at a member, or was forwarded to its home: it may still run there after
 * this process has exited.
 */
static bool is_in_flight(const caller_t *caller)
{
	return caller->conn != NULL || caller->forward_number != 0;
}

void caller_end_at_shutdown(caller_t *caller)
{
	code_t code =
		is_in_flight(caller) && caller_may_commit(caller) ? CODE_IN_DOUBT : CODE_ABORTED;

	caller_refuse(caller, code, REASON_SHUTTING_DOWN, 0);
}

/* --- retries --- */

static void requeue(caller_t *caller, usec_t pause)
{
	usec_t now = now_of(caller->pooler);

	counter_add(&retried_total, 1);
	caller->attempts++;
	caller->next_attempt_at = now + pause;
	dispatch_enqueue(caller);
}

/* Takes a retry from the service's budget; returns false, with a log line once a statement, if none
 * is left. */
static bool take_retry(caller_t *caller)
{
	if (retry_budget_take(&caller->service->retry_budget, now_of(caller->pooler)))
		return true;
	if (caller->retry_denied)
		return false;
	caller->retry_denied = true;
	counter_add(&retries_denied_total, 1);
	LOG_EVENT(LOG_INFO, "retry budget used up",
		  LOG_SLICE("request", caller->statement.id.at, caller->statement.id.len),
		  LOG_STR("service", caller->service->name), LOG_INT("attempts", caller->attempts));
	return false;
}

/* The statement certainly did not run: retries it, or refuses it with a code that says so. */
static void retry_or_refuse(caller_t *caller, code_t code, reason_t reason, const char *detail)
{
	if (code == CODE_LAGGING)
		caller->primary_only = true;
	if (caller->tx == TX_OPEN && caller->tx_has_run) {
		fail_statement(caller, CODE_ABORTED, reason, detail);
		return;
	}
	/* A replica that lags refuses at once, and the primary serves the read. */
	if (caller->attempts >= RETRIES_MAX || (code != CODE_LAGGING && !take_retry(caller))) {
		caller_refuse(caller, CODE_BUSY, reason, RETRY_BACKOFF * RETRIES_MAX);
		return;
	}
	requeue(caller, code == CODE_LAGGING ? 0 : RETRY_BACKOFF * caller->attempts);
}

void caller_on_setup_refused(caller_t *caller, code_t code)
{
	caller->conn = NULL;
	wait_queue_on_refused(caller->service->queue, &caller->waiter);
	if (caller->link == NULL) {
		caller_on_session_end(caller);
		return;
	}
	retry_or_refuse(caller, code, REASON_MEMBER_REFUSED, code_name(code));
}

bool caller_retry_read(caller_t *caller)
{
	if (caller->tx != TX_NONE || is_write(caller) || caller->attempts >= READ_RETRIES_MAX ||
	    !take_retry(caller))
		return false;
	conn_orphan(caller->conn);
	requeue(caller, 0);
	return true;
}

bool caller_may_move(const caller_t *caller)
{
	return caller->attempts < READ_RETRIES_MAX &&
	       !(caller->tx == TX_OPEN && caller->tx_has_run);
}

static void on_lost_while_running(caller_t *caller, const char *detail)
{
	if (caller_may_commit(caller)) {
		if (caller->tx == TX_OPEN)
			caller->tx = TX_NONE;
		answer_error(caller, CODE_IN_DOUBT, REASON_CONNECTION_LOST, detail);
	} else if (caller->tx == TX_NONE) {
		/* A read changes nothing, so it may run twice. */
		retry_or_refuse(caller, CODE_OTHER, REASON_CONNECTION_LOST, detail);
	} else {
		/* The member rolls back the open transaction when the connection ends. */
		fail_statement(caller, CODE_ABORTED, REASON_CONNECTION_LOST, detail);
	}
}

void caller_on_conn_lost(caller_t *caller, bool sent, const char *detail)
{
	caller->conn = NULL;
	if (!caller->busy) {
		caller->tx_lost = true;
		return;
	}
	if (sent) {
		on_lost_while_running(caller, detail);
		return;
	}
	wait_queue_on_refused(caller->service->queue, &caller->waiter);
	retry_or_refuse(caller, CODE_OTHER, REASON_CONNECTION_LOST, detail);
}

/* --- replies of members --- */

/*
 * Records the position of a commit for the service of the member that ran it. The caller's route
 * may have moved, and another proxy may have followed a newer configuration than this one.
 */
static void record_commit(caller_t *caller, const member_t *member, const reply_t *reply)
{
	own_commits_record(&caller->own_commits, caller, member->service,
			   reply->has_position ? &reply->position : NULL, now_of(caller->pooler));
}

/*
 * True if the statement may have committed at a member that this proxy has no permission to use any
 * more: another primary may have replaced it meanwhile.
 */
static bool is_permission_lost(const caller_t *caller, const member_t *member)
{
	return caller_may_commit(caller) && !permit_allows(member, now_of(caller->pooler));
}

static void on_success(caller_t *caller, conn_t *conn, const reply_t *reply)
{
	bool ends = caller->tx == TX_NONE || is_commit(caller);

	if (!reply->is_signed) {
		conn->caller = NULL;
		conn_close(conn, "unsigned reply");
		caller_on_conn_lost(caller, true, "unsigned reply");
		return;
	}
	if (is_permission_lost(caller, conn->member)) {
		/*
		 * The primary that committed the statement may have been replaced meanwhile. Then
		 * the commit is rolled back, and the caller must not see it as a success.
		 */
		if (caller->tx == TX_OPEN)
			caller->tx = TX_NONE;
		answer_error(caller, CODE_IN_DOUBT, REASON_PERMISSION_ENDED, NULL);
		conn_release(conn);
		return;
	}
	if (caller_may_commit(caller))
		record_commit(caller, conn->member, reply);
	if (caller->tx == TX_OPEN) {
		caller->tx_has_run = true;
		caller->tx_wrote = caller->tx_wrote || is_write(caller);
		caller->tx = is_commit(caller) ? TX_NONE : reply->tx;
	}
	conn->state = CONN_HELD;
	conn->state_since = now_of(caller->pooler);
	answer_with_reply(caller, reply);
	if (ends)
		conn_release(conn);
}

/* Passes on an error inside a transaction, or of a lone statement that ran. */
static void answer_member_error(caller_t *caller, conn_t *conn, const reply_t *reply)
{
	caller->tx = reply->tx;
	conn->state = CONN_HELD;
	conn->state_since = now_of(caller->pooler);
	answer_with_reply(caller, reply);
	if (caller->tx == TX_NONE)
		conn_release(conn);
}

/*
 * True if the EXEC did not run since the member lacks its prepared statement, for which the caller
 * is not to blame. Once the PREPARE ahead of it has failed a transaction, EXEC gets MALFORMED.
 */
static bool lacks_prepared(const conn_t *conn, const reply_t *reply)
{
	return reply->code == CODE_NO_STATEMENT ||
	       (reply->code == CODE_MALFORMED && conn->setup.failed != 0);
}

static void on_error(caller_t *caller, conn_t *conn, const reply_t *reply)
{
	bool untouched = caller->tx == TX_NONE || (!caller->tx_has_run && !is_commit(caller));

	if (lacks_prepared(conn, reply)) {
		conn_forget_prepared(conn);
	} else if (!code_means_not_run(reply->code) || !untouched) {
		answer_member_error(caller, conn, reply);
		return;
	}
	wait_queue_on_refused(caller->service->queue, &caller->waiter);
	conn_release(conn);
	retry_or_refuse(caller, reply->code, REASON_MEMBER_REFUSED, code_name(reply->code));
}

void caller_on_reply(caller_t *caller, conn_t *conn, const reply_t *reply)
{
	if (reply->ok) {
		expect_record(caller, conn);
		on_success(caller, conn, reply);
	} else {
		on_error(caller, conn, reply);
	}
	hangup_after_answer(caller);
}

/* --- results of another proxy --- */

static void on_forwarded_success(caller_t *caller, const forward_result_t *result)
{
	const member_t *member = member_find(caller->pooler, result->member);
	reply_t reply = {
		.ok = true,
		.has_position = result->has_position,
		.position = result->position,
		.raw = result->raw,
	};

	/*
	 * The helper ran the statement by its own permission, which may outlast the one of this
	 * proxy. A success is passed on only if the permission of this proxy still holds.
	 */
	if (caller_may_commit(caller) && (member == NULL || is_permission_lost(caller, member))) {
		answer_error(caller, CODE_IN_DOUBT, REASON_PERMISSION_ENDED, NULL);
		return;
	}
	if (caller_may_commit(caller))
		record_commit(caller, member, &reply);
	if (caller->tx == TX_OPEN) {
		caller->tx_has_run = true;
		caller->tx_wrote = caller->tx_wrote || is_write(caller);
		caller->tx = result->tx;
	}
	answer_with_reply(caller, &reply);
}

/* Passes on the refusal of the proxy that was to run the statement, with its retry-after time. */
static void answer_remote_refusal(caller_t *caller, const forward_result_t *result)
{
	caller_reply_t reply = {.kind = REPLY_ERROR, .code = result->code, .text = result->text};

	abort_statement(caller);
	reply.tx = caller->tx;
	report_failure(caller, result->code, REASON_NOT_SERVED_ELSEWHERE, result->text);
	send_answer(caller, &reply, NULL);
}

static void on_forwarded_error(caller_t *caller, const forward_result_t *result)
{
	reply_t reply = {.code = result->code, .raw = result->raw};

	if (result->is_raw) {
		caller->tx = result->tx;
		answer_with_reply(caller, &reply);
	} else {
		answer_remote_refusal(caller, result);
	}
}

void caller_on_forward_result(caller_t *caller, const forward_result_t *result)
{
	if (result->declined) {
		caller->remote_tx = 0;
		retry_or_refuse(caller, result->code, REASON_MEMBER_REFUSED, result->text);
	} else if (result->ok) {
		on_forwarded_success(caller, result);
	} else {
		on_forwarded_error(caller, result);
	}
	hangup_after_answer(caller);
}

/* --- statements that the proxy answers itself --- */

static void on_prepare(caller_t *caller)
{
	const statement_t *statement = &caller->statement;

	prepared_put(&caller->prepared, caller, statement->name, statement->value,
		     statement->writes);
	answer_done(caller);
}

static void on_forget(caller_t *caller)
{
	prepared_t *prepared = prepared_find(&caller->prepared, caller->statement.name);

	if (prepared == NULL) {
		answer_error(caller, CODE_NO_STATEMENT, REASON_UNKNOWN_NAME, NULL);
		return;
	}
	prepared_remove(prepared);
	answer_done(caller);
}

/*
 * Copies the route of the caller's database into the caller; returns NULL if there is no route. A
 * statement of another proxy runs at the service for which it was begun there: the route may have
 * moved since, and the origin's position of the session is one of that service's log.
 */
static const route_t *copy_route(caller_t *caller)
{
	const route_t *route = routes_find(caller->pooler->routes, caller->database);

	if (route == NULL)
		return NULL;
	caller->service = caller->job != NULL && caller->job->service != NULL
				  ? caller->job->service
				  : service_get(caller->pooler, route->service);
	if (caller->customer != NULL)
		caller->customer_pool = service_customer_pool(caller->service, caller->customer);
	caller->reads = route->reads;
	caller->max_age = route->max_age;
	caller->timeout = route->statement_timeout;
	caller->objective = route->objective;
	caller->priority = route->priority;
	return route;
}

void caller_begin_tx(caller_t *caller, bool read_only)
{
	caller->tx = TX_OPEN;
	caller->tx_read_only = read_only;
	caller->tx_has_run = false;
	caller->tx_wrote = false;
	caller->tx_lost = false;
	caller->primary_only = false;
	copy_route(caller);
}

static void on_begin(caller_t *caller)
{
	counter_add(&transactions_total, 1);
	caller_begin_tx(caller, caller->statement.kind == STATEMENT_BEGIN_READ);
	/* BEGIN goes to a member with the first statement: a pause before takes no connection. */
	answer_done(caller);
}

static void on_rollback(caller_t *caller)
{
	caller->tx = TX_NONE;
	if (caller->conn != NULL)
		conn_release(caller->conn);
	forward_end_tx(caller);
	answer_done(caller);
}

/* --- statements that a member runs --- */

static void on_deadline(run_timer_t *timer, usec_t now);

/*
 * Extends the wait for a forwarded write at its deadline and returns true, so that the home's
 * refusal may still arrive. The home refuses before the deadline what has not run, but a busy VM
 * may read the refusal late. Without the refusal, a write that reached no member would end in doubt
 * and not be retried.
 */
static bool await_late_refusal(caller_t *caller, usec_t now)
{
	if (caller->forward_number == 0 || !caller_may_commit(caller) ||
	    now >= caller->deadline + REFUSAL_TIMEOUT ||
	    liveness_is_suspect(caller->pooler, caller->helper, now))
		return false;
	timers_arm(caller->pooler->timers, &caller->timer, caller->deadline + REFUSAL_TIMEOUT,
		   on_deadline);
	return true;
}

static void on_deadline(run_timer_t *timer, usec_t now)
{
	caller_t *caller = list_entry(timer, caller_t, timer);
	conn_t *conn = caller->conn;

	if (await_late_refusal(caller, now))
		return;
	if (caller->forward_number == 0 && (conn == NULL || conn->state != CONN_RUNNING)) {
		caller_refuse(caller,
			      caller->tx == TX_OPEN && caller->tx_has_run ? CODE_ABORTED
									  : CODE_BUSY,
			      REASON_NO_CONNECTION, RETRY_BACKOFF);
		return;
	}
	if (caller_may_commit(caller)) {
		fail_statement(caller, CODE_IN_DOUBT, REASON_NO_ANSWER, NULL);
	} else if (caller->tx == TX_OPEN) {
		fail_statement(caller, CODE_ABORTED, REASON_NO_ANSWER, NULL);
	} else {
		fail_statement(caller, CODE_TIMEOUT, REASON_NO_ANSWER, NULL);
	}
}

static statement_target_t target_of(const caller_t *caller)
{
	if (caller->reads == READS_PRIMARY)
		return TARGET_PRIMARY;
	if (caller->tx == TX_OPEN)
		return caller->tx_read_only ? TARGET_ANY : TARGET_PRIMARY;
	return is_write(caller) ? TARGET_PRIMARY : TARGET_ANY;
}

static void run_at_member(caller_t *caller)
{
	pooler_t *pooler = caller->pooler;

	caller->target = target_of(caller);
	caller->attempts = 0;
	caller->next_attempt_at = 0;
	if (caller->job != NULL && caller->job->time_left < caller->timeout)
		caller->timeout = caller->job->time_left;
	caller->deadline = caller->received_at + caller->timeout;
	timers_arm(pooler->timers, &caller->timer, caller->deadline, on_deadline);
	if (caller->conn != NULL) {
		caller->waiter.charged = false;
		caller->placed_at = caller->received_at;
		conn_run_in_tx(caller->conn);
		return;
	}
	if (caller->remote_tx != 0) {
		if (!forward_next_statement(caller, caller->received_at))
			fail_statement(caller, CODE_ABORTED, REASON_CONNECTION_LOST,
				       "home can't be reached");
		return;
	}
	if (caller->tx == TX_NONE)
		caller->primary_only = false;
	dispatch_enqueue(caller);
}

/* Returns false, with the statement answered, if no prepared statement has this name. */
static bool find_prepared(caller_t *caller)
{
	caller->exec = prepared_find(&caller->prepared, caller->statement.name);
	if (caller->exec == NULL) {
		answer_error(caller, CODE_NO_STATEMENT, REASON_UNKNOWN_NAME, NULL);
		return false;
	}
	caller->statement.writes = caller->exec->writes;
	return true;
}

/* Answers a statement in a failed transaction, which accepts only COMMIT and ROLLBACK. */
static void answer_in_failed_tx(caller_t *caller)
{
	if (is_commit(caller)) {
		caller->tx = TX_NONE;
		if (caller->conn != NULL)
			conn_release(caller->conn);
		answer_error(caller, CODE_ABORTED, REASON_ROLLED_BACK, NULL);
	} else if (caller->tx_lost) {
		caller->tx_lost = false;
		answer_error(caller, CODE_ABORTED, REASON_ROLLED_BACK, NULL);
	} else {
		answer_error(caller, CODE_MALFORMED, REASON_TRANSACTION_FAILED, NULL);
	}
}

static void answer_locally(caller_t *caller)
{
	switch (caller->statement.kind) {
	case STATEMENT_SET:
		if (caller->variables.count >= VARIABLES_MAX) {
			answer_error(caller, CODE_FAILED, REASON_TOO_MANY_VALUES, NULL);
			break;
		}
		variables_set(&caller->variables, caller, caller->statement.name,
			      caller->statement.value);
		answer_done(caller);
		break;
	case STATEMENT_PREPARE:
		on_prepare(caller);
		break;
	case STATEMENT_FORGET:
		on_forget(caller);
		break;
	default:
		answer_error(caller, CODE_MALFORMED, REASON_UNKNOWN_STATEMENT, NULL);
	}
}

void caller_on_admitted(caller_t *caller)
{
	if (caller->statement.kind == STATEMENT_BEGIN ||
	    caller->statement.kind == STATEMENT_BEGIN_READ)
		on_begin(caller);
	else
		run_at_member(caller);
}

static code_t refusal_code(reason_t reason)
{
	return reason == REASON_KEY_REVOKED ? CODE_NO_AUTH : CODE_BUSY;
}

/*
 * Starts a lone statement or a transaction. An operation that is not allowed is refused here,
 * before any part of it has run.
 */
static void begin_operation(caller_t *caller)
{
	const route_t *route = copy_route(caller);
	reason_t reason;
	code_t code;

	if (route == NULL) {
		code = admission_unknown_database(caller->pooler, &reason);
		if (code == CODE_BUSY)
			caller_refuse(caller, code, reason, KEYS_RETRY_AFTER);
		else
			answer_error(caller, code, reason, NULL);
		return;
	}
	if (caller->job != NULL) {
		caller_on_admitted(caller);
		return;
	}
	if (!admission_check_operation(caller, route, &reason)) {
		caller_refuse(caller, refusal_code(reason), reason, KEYS_RETRY_AFTER);
		return;
	}
	if (quota_admit(caller))
		caller_on_admitted(caller);
}

static void on_outside_tx(caller_t *caller)
{
	switch (caller->statement.kind) {
	case STATEMENT_EXEC:
		if (find_prepared(caller))
			begin_operation(caller);
		break;
	case STATEMENT_BEGIN:
	case STATEMENT_BEGIN_READ:
	case STATEMENT_READ:
	case STATEMENT_WRITE:
		begin_operation(caller);
		break;
	case STATEMENT_COMMIT:
	case STATEMENT_ROLLBACK:
		answer_error(caller, CODE_MALFORMED, REASON_NO_TRANSACTION, NULL);
		break;
	default:
		answer_locally(caller);
	}
}

static void on_inside_tx(caller_t *caller)
{
	reason_t reason;

	if (caller->tx_lost)
		caller->tx = TX_FAILED;
	if (caller->statement.kind == STATEMENT_ROLLBACK) {
		on_rollback(caller);
		return;
	}
	if (caller->tx == TX_FAILED) {
		answer_in_failed_tx(caller);
		return;
	}
	if (!admission_check_transaction(caller, &reason)) {
		fail_statement(caller, CODE_ABORTED, reason, NULL);
		return;
	}
	switch (caller->statement.kind) {
	case STATEMENT_READ:
	case STATEMENT_WRITE:
	case STATEMENT_COMMIT:
		run_at_member(caller);
		break;
	case STATEMENT_EXEC:
		if (find_prepared(caller))
			run_at_member(caller);
		break;
	default:
		answer_locally(caller);
	}
}

static slice_t rebase_slice(slice_t slice, const char *from, const char *to)
{
	return slice_of(slice.at != NULL ? to + (slice.at - from) : to, slice.len);
}

/* Copies the statement, since its input buffer is reused before the statement is answered. */
static void copy_statement(caller_t *caller, const statement_t *statement)
{
	const char *start = statement->id.at;
	size_t len = (size_t)(statement->text.at + statement->text.len - start);

	if (talloc_get_size(caller->text) < len || caller->text == NULL) {
		talloc_free(caller->text);
		caller->text = talloc_size(caller, len + 1);
	}
	memcpy(caller->text, start, len);
	caller->statement = *statement;
	caller->statement.id = rebase_slice(statement->id, start, caller->text);
	caller->statement.text = rebase_slice(statement->text, start, caller->text);
	caller->statement.name = rebase_slice(statement->name, start, caller->text);
	caller->statement.value = rebase_slice(statement->value, start, caller->text);
}

void caller_on_statement(caller_t *caller, const statement_t *statement)
{
	caller->busy = true;
	caller->received_at = now_of(caller->pooler);
	caller->attempts = 0;
	caller->retry_denied = false;
	caller->exec = NULL;
	copy_statement(caller, statement);
	if (caller->tx == TX_NONE)
		on_outside_tx(caller);
	else
		on_inside_tx(caller);
	hangup_after_answer(caller);
}

bool caller_is_busy(const caller_t *caller)
{
	return caller->busy;
}

/* --- open and close --- */

caller_t *caller_create(pooler_t *pooler, const char *database, void *link)
{
	caller_t *caller = talloc_zero(pooler, caller_t);

	caller->pooler = pooler;
	caller->link = link;
	caller->database = talloc_strdup(caller, database);
	caller->idle_since = now_of(pooler);
	caller->closing = pooler->draining;
	variables_init(&caller->variables);
	own_commits_init(&caller->own_commits);
	list_init(&caller->prepared);
	list_init(&caller->queue_node);
	list_init(&caller->quota_node);
	list_add_tail(&pooler->callers, &caller->node);
	counter_add(&open_callers, 1);
	return caller;
}

caller_t *pooler_caller_open(pooler_t *pooler, const char *database, slice_t key, void *link,
			     code_t *code)
{
	key_digest_t digest = key_digest(key.at, key.len);
	caller_t *caller;

	/* The process is about to exit and would cut off a session that begins now. */
	if (pooler->routes == NULL || pooler->drained_reported) {
		*code = CODE_BUSY;
		return NULL;
	}
	if (!admission_check_session(pooler, database, &digest, code))
		return NULL;
	caller = caller_create(pooler, database, link);
	caller->key = digest;
	return caller;
}

void caller_on_sent(caller_t *caller)
{
	hangup_after_answer(caller);
}

void caller_on_session_end(caller_t *caller)
{
	pooler_t *pooler = caller->pooler;

	quota_cancel(caller);
	dispatch_dequeue(caller);
	forward_cancel(caller);
	timers_cancel(pooler->timers, &caller->timer);
	/* A running commit or lone write may complete; an open transaction is rolled back. */
	if (caller->conn != NULL)
		conn_orphan(caller->conn);
	forward_end_tx(caller);
	list_del(&caller->node);
	counter_add(&open_callers, -1);
	talloc_free(caller);
}

bool caller_may_write(const caller_t *caller)
{
	if (caller->tx == TX_OPEN)
		return !caller->tx_read_only;
	return caller->busy && is_write(caller);
}

void caller_tick(caller_t *caller, usec_t now)
{
	const routes_t *routes = caller->pooler->routes;

	if (caller->busy || caller->tx == TX_NONE || caller->conn == NULL)
		return;
	if (routes == NULL || now < caller->idle_since + routes->tx_idle_timeout)
		return;
	LOG_EVENT(LOG_INFO, "idle transaction timed out", LOG_STR("database", caller->database),
		  LOG_INT("idle_ms", (int64_t)((now - caller->idle_since) / USEC_PER_MSEC)));
	conn_close(caller->conn, "idle transaction time-out");
}
