#include "conn.h"

#include <string.h>

#include <talloc.h>

#include "active.h"
#include "caller.h"
#include "dispatch.h"
#include "failover.h"
#include "member.h"
#include "permit.h"

#define LOG_MODULE "conn"
#include "counter.h"
#include "log.h"

/* Back-off after a connection that failed to open, without jitter. */
#define REOPEN_BACKOFF (100 * USEC_PER_MSEC)
/* How long this proxy stays within its share at a member that refused a connection as full. */
#define FULL_BACKOFF (1 * USEC_PER_SEC)
/* After such a refusal, how long no connection is opened at all, without jitter. */
#define FULL_RETRY_INTERVAL (60 * USEC_PER_MSEC)
/* Connections lost within this time have one cause: the resets arrive some ms apart. */
#define LOSS_MERGE_WINDOW (50 * USEC_PER_MSEC)
/* A connection that is opened within this time after another one was closed could have been it. */
#define RECENT_END (1 * USEC_PER_SEC)
/* Maximum number of statements prepared on a connection; more need a reset first. */
#define PREPARED_MAX 256

COUNTER_DEFINE(opened_total, "member_connections_total", COUNTER_SUM,
	       "Attempts to open a connection to a member.");
static const char *const open_counts[] = {"recent", "earlier", "never"};

COUNTER_GRID_DEFINE(opened_causes, "member_connections_opened_total", "cause", conn_cause_names,
		    "closed", open_counts,
		    "Connections opened to a member, by why, and by when the last one of the same "
		    "customer to the same member was closed: within a second, earlier or never.");
COUNTER_DEFINE(full_total, "member_full_total", COUNTER_SUM,
	       "Connections refused by a member at its connection limit.");
COUNTER_DEFINE(setups_total, "member_setups_total", COUNTER_SUM,
	       "Statements that were sent only after a round trip for their set-up.");
COUNTER_DEFINE(reclaimed_total, "transactions_reclaimed_total", COUNTER_SUM,
	       "Idle transactions rolled back for callers that waited for their connection.");
COUNTER_DEFINE(resets_total, "member_resets_total", COUNTER_SUM,
	       "Connections reset before serving a caller with other session values.");

static void set_state(conn_t *conn, conn_state_t state)
{
	conn->state = state;
	conn->state_since = now_of(conn->member->pooler);
}

static void send_requests(conn_t *conn, const member_request_t *requests, size_t count)
{
	env_t *env = conn->member->pooler->env;

	conn->sent_at = now_of(conn->member->pooler);
	env->ops->member_send(env, conn->link, requests, count);
}

/* Records a failure of the caller's statement, or of its set-up, at the member. */
static void record_failure(conn_t *conn, statement_outcome_t outcome)
{
	if (conn->caller != NULL)
		conn->caller->failed_member = conn->member;
	member_record_outcome(conn->member, outcome);
}

/*
 * Records a connection lost under a statement. The end of a network path or of a process breaks
 * many connections at once. Counted one by one, these losses would look like a member that fails
 * every statement, and all homes would report a primary as failing.
 */
static void record_loss(conn_t *conn)
{
	member_t *member = conn->member;
	usec_t now = now_of(member->pooler);

	conn->caller->failed_member = member;
	if (now < member->conn_lost_at + LOSS_MERGE_WINDOW)
		return;
	member->conn_lost_at = now;
	member_record_outcome(member, STATEMENT_FAILED);
}

/* --- open and close --- */

/* Counts the opening of a connection for a customer by its cause. */
static void record_opening(conn_t *conn)
{
	conn_use_t *use = conn_use_get(conn->member, &conn->member->conn_uses, conn->customer_pool);
	usec_t now = now_of(conn->member->pooler);
	conn_cause_t cause = conn_use_on_open(use);
	size_t when = use->ended_at == 0 ? 2 : now >= use->ended_at + RECENT_END ? 1 : 0;

	conn->use = use;
	counter_grid_increment(&opened_causes, cause, when);
	LOG_EVENT(LOG_DBG, "connection opened", LOG_STR("member", conn->member->id),
		  LOG_INT("connection", conn->number),
		  LOG_STR("customer", conn->customer_pool->customer),
		  LOG_STR("cause", conn_cause_names[cause]),
		  LOG_INT("of_customer", (int64_t)use->count),
		  LOG_INT("of_member", (int64_t)conn->member->conn_count));
}

/* Customer name that a probe's connection sends; a probe runs no customer's statements. */
#define PROBE_CUSTOMER "cyclamenspan"

conn_t *conn_open(member_t *member, customer_pool_t *customer_pool)
{
	const char *customer = customer_pool != NULL ? customer_pool->customer : PROBE_CUSTOMER;
	bool probe = customer_pool == NULL;
	pooler_t *pooler = member->pooler;
	conn_t *conn = talloc_zero(member, conn_t);

	conn->member = member;
	conn->number = ++member->last_conn_number;
	conn->customer_pool = customer_pool;
	conn->probe = probe;
	variables_init(&conn->variables);
	conn->link = pooler->env->ops->member_connect(
		pooler->env, member->address, member->service->name, customer, member->id, conn);
	if (conn->link == NULL) {
		member->connect_not_before = now_of(pooler) + REOPEN_BACKOFF;
		talloc_free(conn);
		return NULL;
	}
	list_add_tail(&member->conns, &conn->node);
	active_add_member(member);
	counter_add(&opened_total, 1);
	set_state(conn, CONN_OPENING);
	if (!probe) {
		member->conn_count++;
		record_opening(conn);
	}
	return conn;
}

/* Removes the connection from its member and frees it; the caller must be detached before. */
static void unlink_and_free(conn_t *conn)
{
	member_t *member = conn->member;

	list_del(&conn->node);
	if (conn->probe) {
		member->probe_conn = NULL;
	} else {
		member->conn_count--;
		conn_use_on_closed(conn->use,
				   conn->end != CONN_END_NONE ? conn->end : CONN_END_LOST,
				   now_of(member->pooler));
	}
	talloc_free(conn);
}

static void terminate(conn_t *conn, const char *reason)
{
	caller_t *caller = conn->caller;
	service_t *service = conn->member->service;
	bool sent = conn->state == CONN_RUNNING;

	conn->caller = NULL;
	unlink_and_free(conn);
	if (caller != NULL)
		caller_on_conn_lost(caller, sent, reason);
	dispatch_run(service);
}

void conn_close(conn_t *conn, const char *reason)
{
	env_t *env = conn->member->pooler->env;
	member_t *member = conn->member;
	bool failed_probe = conn->probe && conn->state != CONN_IDLE;

	env->ops->member_close(env, conn->link);
	if (failed_probe) {
		member->connect_not_before = now_of(member->pooler) + PROBE_INTERVAL;
		member_mark_down(member, reason);
	}
	terminate(conn, reason);
}

static conn_t *find_marked(const member_t *member)
{
	list_for_each (it, &member->conns) {
		conn_t *conn = list_entry(it, conn_t, node);

		if (conn->marked)
			return conn;
	}
	return NULL;
}

void conn_close_marked(member_t *member, const char *reason)
{
	conn_t *conn;

	while ((conn = find_marked(member)) != NULL)
		conn_close(conn, reason);
}

void conn_query_status(conn_t *conn)
{
	member_request_t request = {.kind = REQUEST_STATUS};

	set_state(conn, CONN_PROBING);
	send_requests(conn, &request, 1);
}

void conn_on_ready(conn_t *conn)
{
	member_t *member = conn->member;

	member_on_accepted(member);
	if (conn->probe) {
		conn_query_status(conn);
		return;
	}
	conn->ready_at = now_of(member->pooler);
	set_state(conn, CONN_IDLE);
	dispatch_run(member->service);
}

/* The member has refused the connection. */
static void on_refused(conn_t *conn, code_t code)
{
	member_t *member = conn->member;
	usec_t now = now_of(member->pooler);

	if (code == CODE_MISROUTED) {
		/* Another process has the address now; the directory will show the new address. */
		member->connect_not_before = now + FULL_BACKOFF;
		return;
	}
	counter_add(&full_total, 1);
	member_on_reply(member);
	member->no_borrow_until = now + FULL_BACKOFF;
	member->connect_not_before =
		now + FULL_RETRY_INTERVAL + pooler_random(member->pooler, FULL_RETRY_INTERVAL);
}

void conn_on_down(conn_t *conn, code_t code, const char *reason)
{
	member_t *member = conn->member;
	pooler_t *pooler = member->pooler;
	bool opening = conn->state == CONN_OPENING;

	LOG_EVENT(LOG_DBG, "connection closed", LOG_STR("member", member->id),
		  LOG_INT("connection", conn->number), LOG_STR("reason", reason),
		  LOG_STR("code", code_name(code)), LOG_INT("state", conn->state));
	if (opening && code != CODE_NONE) {
		on_refused(conn, code);
	} else if (conn->probe) {
		member->connect_not_before = now_of(pooler) + PROBE_INTERVAL;
		member_mark_down(member, reason);
	} else {
		member->connect_not_before = now_of(pooler) + (opening ? REOPEN_BACKOFF : 0) +
					     pooler_random(pooler, 20000);
		if (conn->state == CONN_RUNNING)
			record_loss(conn);
		terminate(conn, reason);
		member_suspect(member, reason);
		return;
	}
	terminate(conn, reason);
}

/* --- set-up --- */

static bool has_prepared(const conn_t *conn, const char *alias)
{
	for (size_t i = 0; i < conn->prepared_count; i++) {
		if (strcmp(conn->prepared[i], alias) == 0)
			return true;
	}
	return false;
}

static void add_prepared(conn_t *conn, const char *alias)
{
	conn->prepared = talloc_realloc(conn, conn->prepared, char *, conn->prepared_count + 1);
	conn->prepared[conn->prepared_count++] = talloc_strdup(conn->prepared, alias);
}

void conn_forget_prepared(conn_t *conn)
{
	talloc_free(conn->prepared);
	conn->prepared = NULL;
	conn->prepared_count = 0;
}

static void clear_session_state(conn_t *conn)
{
	variables_clear(&conn->variables);
	conn_forget_prepared(conn);
}

/* Requests that are sent to the member together. */
typedef struct batch {
	conn_t *conn;
	member_request_t requests[SETUP_MAX + 1];
	size_t len;
} batch_t;

static void add_setup_request(batch_t *batch, member_request_t request)
{
	batch->requests[batch->len++] = request;
	setup_add(&batch->conn->setup, request.kind);
}

static slice_t slice_of_string(const char *text)
{
	return slice_of(text, strlen(text));
}

static void add_variables(batch_t *batch, const caller_t *caller)
{
	conn_t *conn = batch->conn;

	if (variables_equal(&conn->variables, &caller->variables))
		return;
	list_for_each (it, &caller->variables.list) {
		const variable_t *want = list_entry(it, variable_t, node);
		const variable_t *have =
			variables_find(&conn->variables, slice_of_string(want->name));

		if (have != NULL && strcmp(have->value, want->value) == 0)
			continue;
		add_setup_request(batch, (member_request_t){.kind = REQUEST_SET,
							    .name = slice_of_string(want->name),
							    .value = slice_of_string(want->value)});
		variables_set(&conn->variables, conn, slice_of_string(want->name),
			      slice_of_string(want->value));
	}
}

static void add_prepare(batch_t *batch, const prepared_t *prepared)
{
	conn_t *conn = batch->conn;

	if (prepared == NULL || has_prepared(conn, prepared->alias))
		return;
	add_setup_request(batch, (member_request_t){.kind = REQUEST_PREPARE,
						    .name = slice_of_string(prepared->alias),
						    .value = slice_of_string(prepared->shape),
						    .writes = prepared->writes});
	add_prepared(conn, prepared->alias);
}

/* Adds the position that a replica must have applied, and logs what it was chosen by. */
static void set_after(member_request_t *request, const caller_t *caller, const conn_t *conn)
{
	own_commit_t commit = {0};

	request->has_after = caller->has_after;
	request->after = caller->after;
	if (!caller->has_after)
		return;
	own_commits_find(&caller->own_commits, caller->service, &commit);
	LOG_EVENT(LOG_DBG, "read sent to a replica",
		  LOG_SLICE("request", caller->statement.id.at, caller->statement.id.len),
		  LOG_STR("database", caller->database), LOG_STR("service", caller->service->name),
		  LOG_STR("member", conn->member->id), LOG_INT("after_term", caller->after.term),
		  LOG_INT("after", caller->after.lsn),
		  LOG_INT("applied", conn->member->applied.lsn),
		  LOG_INT("commit_term", commit.position.term),
		  LOG_INT("commit", commit.position.lsn),
		  LOG_INT("config", caller->pooler->routes->version));
}

static void add_begin(batch_t *batch, const caller_t *caller)
{
	member_request_t request = {.kind = caller->tx_read_only ? REQUEST_BEGIN_READ
								 : REQUEST_BEGIN};

	if (caller->tx != TX_OPEN || batch->conn->in_tx)
		return;
	if (caller->tx_read_only)
		set_after(&request, caller, batch->conn);
	add_setup_request(batch, request);
}

static void add_statement(batch_t *batch, const caller_t *caller)
{
	member_request_t request = {.kind = REQUEST_FORWARD, .statement = &caller->statement};

	if (caller->exec != NULL) {
		request.kind = REQUEST_EXEC;
		request.name = slice_of_string(caller->exec->alias);
	}
	if (caller->tx == TX_NONE && caller->target == TARGET_ANY)
		set_after(&request, caller, batch->conn);
	batch->requests[batch->len++] = request;
}

static void send_batch(batch_t *batch, conn_state_t state)
{
	set_state(batch->conn, state);
	send_requests(batch->conn, batch->requests, batch->len);
}

static void send_statement(conn_t *conn)
{
	batch_t batch = {.conn = conn};

	setup_start(&conn->setup, conn->in_tx ? TX_OPEN : TX_NONE);
	add_statement(&batch, conn->caller);
	send_batch(&batch, CONN_RUNNING);
}

/*
 * Puts into the batch the set-up requests that the connection needs for its caller's statement:
 * RESET, values, PREPARE and BEGIN.
 */
static void build_setup(batch_t *batch)
{
	conn_t *conn = batch->conn;
	caller_t *caller = conn->caller;

	setup_start(&conn->setup, conn->in_tx ? TX_OPEN : TX_NONE);
	/* A value that the caller has not set can only be removed by a reset. */
	if (!conn->in_tx && (!variables_is_subset(&conn->variables, &caller->variables) ||
			     conn->prepared_count >= PREPARED_MAX)) {
		counter_add(&resets_total, 1);
		clear_session_state(conn);
		add_setup_request(batch, (member_request_t){.kind = REQUEST_RESET});
	}
	add_variables(batch, caller);
	add_prepare(batch, caller->exec);
	add_begin(batch, caller);
}

void conn_run(conn_t *conn, caller_t *caller)
{
	conn->caller = caller;
	conn->has_served = true;
	conn->taken_at = now_of(caller->pooler);
	conn_use_on_taken(conn->use, conn->taken_at);
	caller->conn = conn;
	caller->placed_at = now_of(caller->pooler);
	conn_run_in_tx(conn);
}

void conn_run_in_tx(conn_t *conn)
{
	batch_t batch = {.conn = conn};
	bool only_prepare;

	build_setup(&batch);
	only_prepare = conn->setup.len == 1 && conn->setup.requests[0] == REQUEST_PREPARE;
	/*
	 * The statement is sent only after the replies to its set-up. If it were sent together with
	 * BEGIN and that failed, a write would run and commit outside its transaction. Only a
	 * PREPARE may be sent together with its EXEC, which does not run if the PREPARE fails.
	 */
	if (conn->setup.len != 0 && !only_prepare) {
		counter_add(&setups_total, 1);
		send_batch(&batch, CONN_PREPARING);
		return;
	}
	add_statement(&batch, conn->caller);
	send_batch(&batch, CONN_RUNNING);
}

/* --- replies --- */

static void log_setup_failure(const conn_t *conn, bool kept)
{
	const caller_t *caller = conn->caller;
	const setup_t *setup = &conn->setup;

	LOG_EVENT(LOG_WARN, "set-up failed",
		  LOG_SLICE("request", caller->statement.id.at, caller->statement.id.len),
		  LOG_STR("member", conn->member->id), LOG_INT("connection", conn->number),
		  LOG_INT("requests", setup->len), LOG_INT("failed", setup->failed),
		  LOG_STR("first_failed",
			  setup->failed != 0 ? request_name(setup->first_failed) : ""),
		  LOG_STR("code", code_name(setup->code)),
		  LOG_INT("begins", setup_begins_tx(setup)),
		  LOG_STR("transaction", tx_state_name(setup->tx)), LOG_INT("kept", kept));
}

static void log_begin_refused(const conn_t *conn)
{
	const caller_t *caller = conn->caller;

	LOG_EVENT(LOG_INFO, "transaction refused",
		  LOG_SLICE("request", caller->statement.id.at, caller->statement.id.len),
		  LOG_STR("member", conn->member->id), LOG_INT("connection", conn->number),
		  LOG_STR("code", code_name(conn->setup.code)));
}

/* Hands the connection back, or closes it if its session at the member is not known. */
static void on_setup_failed(conn_t *conn, setup_outcome_t outcome)
{
	caller_t *caller = conn->caller;
	code_t code = conn->setup.failed != 0 ? conn->setup.code : CODE_OTHER;

	if (code == CODE_BUSY)
		record_failure(conn, STATEMENT_REFUSED);
	if (outcome == SETUP_BEGIN_REFUSED) {
		log_begin_refused(conn);
		conn_release(conn);
	} else {
		log_setup_failure(conn, false);
		conn->caller = NULL;
		caller->conn = NULL;
		conn_close(conn, "set-up failed");
	}
	caller_on_setup_refused(caller, code);
}

static void on_setup_reply(conn_t *conn, const reply_t *reply)
{
	setup_outcome_t outcome;

	setup_on_reply(&conn->setup, reply);
	if (!setup_is_answered(&conn->setup))
		return;
	conn->in_tx = reply->tx != TX_NONE;
	outcome = setup_outcome(&conn->setup);
	if (outcome == SETUP_COMPLETE)
		send_statement(conn);
	else
		on_setup_failed(conn, outcome);
}

/* Handles the reply to a PREPARE that was sent together with its EXEC, whose reply is next. */
static void on_prepare_reply(conn_t *conn, const reply_t *reply)
{
	setup_on_reply(&conn->setup, reply);
	if (reply->ok)
		return;
	conn_forget_prepared(conn);
	if (conn->caller != NULL)
		log_setup_failure(conn, true);
}

static void record_position(conn_t *conn, const reply_t *reply, usec_t now)
{
	member_t *member = conn->member;
	service_t *service = member->service;

	if (!reply->has_position)
		return;
	member->applied = reply->position;
	member->applied_at = now;
	if (!permit_allows(member, now))
		return;
	if (service->freshness_primary == NULL ||
	    strcmp(service->freshness_primary, member->id) != 0) {
		freshness_reset(service->freshness);
		talloc_free(service->freshness_primary);
		service->freshness_primary = talloc_strdup(service, member->id);
	}
	if (service->freshness == NULL)
		service->freshness = talloc_zero(service, freshness_t);
	freshness_add(service->freshness, conn->sent_at, reply->position);
}

static void on_status(conn_t *conn, const reply_t *reply, const member_status_t *status)
{
	member_t *member = conn->member;

	if (reply->ok && status != NULL) {
		member->status = *status;
		member->survey_answered = true;
	}
	set_state(conn, CONN_IDLE);
	if (conn->probe)
		conn_close(conn, "probe done");
	else
		conn_release(conn);
	failover_tick(member->pooler, now_of(member->pooler));
}

/* Handles a reply that no caller waits for: to an abandoned statement or to a ROLLBACK. */
static void on_late_reply(conn_t *conn, const reply_t *reply)
{
	if (!setup_is_answered(&conn->setup)) {
		on_prepare_reply(conn, reply);
		return;
	}
	conn->in_tx = reply->tx != TX_NONE;
	if (conn->state == CONN_ROLLING_BACK && conn->in_tx) {
		conn_close(conn, "rollback failed");
		return;
	}
	conn_release(conn);
}

/*
 * Records the outcome of a statement for outlier detection. A refusal because of the log position
 * or the role is not a fault of the member.
 */
static void record_outcome(conn_t *conn, const reply_t *reply)
{
	if (reply->ok && reply->is_signed)
		member_record_outcome(conn->member, STATEMENT_GOOD);
	else if (reply->ok || reply->code == CODE_FAILED || reply->code == CODE_TIMEOUT)
		record_failure(conn, STATEMENT_FAILED);
	else if (reply->code == CODE_BUSY)
		record_failure(conn, STATEMENT_REFUSED);
}

/*
 * Runs a failed read again, on another member if possible, since one faulty member must not fail
 * reads that others would serve. A read changes nothing, so that is safe. caller_retry_read()
 * allows two retries: a read that is itself faulty fails everywhere.
 */
static bool retry_failed_read(conn_t *conn, const reply_t *reply)
{
	if (reply->ok || reply->code != CODE_FAILED || !caller_retry_read(conn->caller))
		return false;
	conn_release(conn);
	return true;
}

static void log_tx_mismatch(const conn_t *conn, const reply_t *reply)
{
	const caller_t *caller = conn->caller;

	LOG_EVENT(LOG_WARN, "transaction state of the member differs",
		  LOG_SLICE("request", caller->statement.id.at, caller->statement.id.len),
		  LOG_STR("member", conn->member->id), LOG_INT("connection", conn->number),
		  LOG_STR("transaction", tx_state_name(reply->tx)),
		  LOG_STR("caller_transaction", tx_state_name(caller->tx)),
		  LOG_STR("outcome", reply->ok ? "done" : code_name(reply->code)));
}

/* Handles the reply to the caller's statement, after those to its set-up. */
static void on_statement_reply(conn_t *conn, const reply_t *reply, usec_t now)
{
	/* Errors are not measured: a quick refusal says nothing about the response time. */
	if (reply->ok)
		member_record_response_time(conn->member, now - conn->sent_at);
	else if (reply->code == CODE_LAGGING)
		conn->member->lagged_at = now;
	conn->in_tx = reply->tx != TX_NONE;
	record_outcome(conn, reply);
	/* Closing the connection rolls the transaction back, whoever has begun it. */
	if (conn->caller->tx == TX_NONE && conn->in_tx) {
		log_tx_mismatch(conn, reply);
		conn_close(conn, "transaction state of the member differs");
		return;
	}
	if (!retry_failed_read(conn, reply))
		caller_on_reply(conn->caller, conn, reply);
}

void conn_on_reply(conn_t *conn, const reply_t *reply, const member_status_t *status)
{
	usec_t now = now_of(conn->member->pooler);

	member_on_reply(conn->member);
	if (conn->state == CONN_PROBING) {
		on_status(conn, reply, status);
		return;
	}
	record_position(conn, reply, now);
	switch (conn->state) {
	case CONN_PREPARING:
		if (conn->caller == NULL) {
			/* The caller has left; the remaining set-up replies still arrive. */
			setup_on_reply(&conn->setup, reply);
			if (setup_is_answered(&conn->setup))
				conn_close(conn, "caller left during set-up");
			return;
		}
		on_setup_reply(conn, reply);
		break;
	case CONN_RUNNING:
		if (!setup_is_answered(&conn->setup)) {
			on_prepare_reply(conn, reply);
			return;
		}
		on_statement_reply(conn, reply, now);
		break;
	case CONN_ROLLING_BACK:
	case CONN_ORPHANED:
		on_late_reply(conn, reply);
		break;
	default:
		conn_close(conn, "reply without a request");
	}
}

/* --- release --- */

/* Counts the time for which a caller had the connection. */
static void record_return(conn_t *conn)
{
	if (conn->taken_at != 0)
		conn_use_on_returned(conn->use, now_of(conn->member->pooler) - conn->taken_at);
	conn->taken_at = 0;
}

void conn_release(conn_t *conn)
{
	member_request_t rollback = {.kind = REQUEST_ROLLBACK};

	if (conn->caller != NULL)
		conn->caller->conn = NULL;
	conn->caller = NULL;
	if (conn->in_tx) {
		setup_start(&conn->setup, TX_OPEN);
		set_state(conn, CONN_ROLLING_BACK);
		send_requests(conn, &rollback, 1);
		return;
	}
	record_return(conn);
	set_state(conn, CONN_IDLE);
	if (!member_is_usable(conn->member))
		conn_close(conn, "member is leaving");
	else
		dispatch_run(conn->member->service);
}

void conn_reclaim(conn_t *conn, const char *reason)
{
	caller_t *caller = conn->caller;

	LOG_EVENT(LOG_INFO, "transaction reclaimed", LOG_STR("member", conn->member->id),
		  LOG_STR("reason", reason), LOG_STR("database", caller->database),
		  LOG_INT("idle_ms", (int64_t)((now_of(conn->member->pooler) - conn->state_since) /
					       USEC_PER_MSEC)));
	counter_add(&reclaimed_total, 1);
	conn->caller = NULL;
	caller_on_conn_lost(caller, false, reason);
	conn_release(conn);
}

void conn_orphan(conn_t *conn)
{
	conn->caller->conn = NULL;
	conn->caller = NULL;
	if (conn->state == CONN_HELD)
		conn_release(conn);
	else if (conn->state == CONN_RUNNING)
		set_state(conn, CONN_ORPHANED);
}

conn_t *conn_find_idle(const member_t *member, const caller_t *caller)
{
	conn_t *best = NULL;

	list_for_each (it, &member->conns) {
		conn_t *conn = list_entry(it, conn_t, node);

		if (conn->state != CONN_IDLE || conn->marked ||
		    conn->customer_pool != caller->customer_pool)
			continue;
		if (variables_equal(&conn->variables, &caller->variables))
			return conn;
		if (best == NULL || variables_is_subset(&conn->variables, &caller->variables))
			best = conn;
	}
	return best;
}
