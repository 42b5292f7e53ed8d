#include "conn.h"

#include <string.h>

#include <talloc.h>

#include "active.h"
#include "caller.h"
#include "dispatch.h"
#include "duty.h"
#include "member.h"
#include "permit.h"

#define LOG_MODULE "conn"
#include "counter.h"
#include "log.h"

/* Back-off after a failed connection, before its jitter. */
#define REOPEN_AFTER (100 * USEC_PER_MSEC)
/* How long a member that refused a connection for its limit is not asked for more than our share.
 */
#define FULL_FOR (1 * USEC_PER_SEC)
/* The same for a connection inside our share. */
#define FULL_RETRY (60 * USEC_PER_MSEC)
/* Connections that break within this time have one cause: resets arrive some ms apart. */
#define SAME_LOSS (50 * USEC_PER_MSEC)
/* Names prepared on one connection before it is reset. */
#define PREPARED_MAX 256

COUNTER_DEFINE(opened_total, "member_connections_total", COUNTER_SUM,
	       "Connections to members that were begun.");
COUNTER_DEFINE(full_total, "member_full_total", COUNTER_SUM,
	       "Connections that a member refused for its limit.");
COUNTER_DEFINE(setups_total, "member_setups_total", COUNTER_SUM,
	       "Statements that needed a round trip before they could be sent.");
COUNTER_DEFINE(reclaimed_total, "transactions_reclaimed_total", COUNTER_SUM,
	       "Transactions that were ended since others waited for their connection.");
COUNTER_DEFINE(resets_total, "member_resets_total", COUNTER_SUM,
	       "Connections reset to serve a caller with other values.");

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

/* The statement that is at the member did not go well there. */
static void note_failure(conn_t *conn, evidence_t evidence)
{
	if (conn->caller != NULL)
		conn->caller->failed_member = conn->member;
	member_note(conn->member, evidence);
}

/*
 * A link or a process that ends breaks many connections at once. Counted one by one they look like
 * a member that fails whatever it is sent, and all homes would see a primary as failing.
 */
static void note_loss(conn_t *conn)
{
	member_t *member = conn->member;
	usec_t now = now_of(member->pooler);

	conn->caller->failed_member = member;
	if (now < member->lost_at + SAME_LOSS)
		return;
	member->lost_at = now;
	member_note(member, EVIDENCE_FAILED);
}

/* --- open and close --- */

/* As whom a probe's connection introduces itself; it runs no statement of a customer. */
#define PROBE_CUSTOMER "cyclamenspan"

conn_t *conn_open(member_t *member, customer_pool_t *line)
{
	const char *customer = line != NULL ? line->customer : PROBE_CUSTOMER;
	bool probe = line == NULL;
	pooler_t *pooler = member->pooler;
	conn_t *conn = talloc_zero(member, conn_t);

	conn->member = member;
	conn->customer_pool = line;
	conn->probe = probe;
	variables_init(&conn->variables);
	conn->link = pooler->env->ops->member_connect(
		pooler->env, member->address, member->service->name, customer, member->id, conn);
	if (conn->link == NULL) {
		member->open_after = now_of(pooler) + REOPEN_AFTER;
		talloc_free(conn);
		return NULL;
	}
	list_add_tail(&member->conns, &conn->node);
	active_add_member(member);
	counter_add(&opened_total, 1);
	set_state(conn, CONN_OPENING);
	if (!probe)
		member->conn_count++;
	return conn;
}

/* Unlink conn from everything but its caller, and free it. */
static void dispose(conn_t *conn)
{
	member_t *member = conn->member;

	list_del(&conn->node);
	if (conn->probe)
		member->probe_conn = NULL;
	else
		member->conn_count--;
	talloc_free(conn);
}

static void end(conn_t *conn, const char *reason)
{
	caller_t *caller = conn->caller;
	service_t *service = conn->member->service;
	bool sent = conn->state == CONN_RUNNING;

	conn->caller = NULL;
	dispose(conn);
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
		member->open_after = now_of(member->pooler) + PROBE_INTERVAL;
		member_found_down(member, reason);
	}
	end(conn, reason);
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

	member_heard(member);
	if (conn->probe) {
		conn_query_status(conn);
		return;
	}
	conn->ready_at = now_of(member->pooler);
	set_state(conn, CONN_IDLE);
	dispatch_run(member->service);
}

/* The member answered, but does not take this connection. */
static void on_refused(conn_t *conn, code_t code)
{
	member_t *member = conn->member;
	usec_t now = now_of(member->pooler);

	if (code == CODE_MISROUTED) {
		/* Another process has the address now; the list of members will say so. */
		member->open_after = now + FULL_FOR;
		return;
	}
	counter_add(&full_total, 1);
	member_heard(member);
	member->full_until = now + FULL_FOR;
	member->open_after = now + FULL_RETRY + pooler_random(member->pooler, FULL_RETRY);
}

void conn_on_down(conn_t *conn, code_t code, const char *reason)
{
	member_t *member = conn->member;
	pooler_t *pooler = member->pooler;
	bool opening = conn->state == CONN_OPENING;

	LOG_EVENT(LOG_DBG, "connection ended", LOG_STR("member", member->id),
		  LOG_STR("reason", reason), LOG_STR("code", code_name(code)),
		  LOG_INT("state", conn->state));
	if (opening && code != CODE_NONE) {
		on_refused(conn, code);
	} else if (conn->probe) {
		member->open_after = now_of(pooler) + PROBE_INTERVAL;
		member_found_down(member, reason);
	} else {
		member->open_after = now_of(pooler) + (opening ? REOPEN_AFTER : 0) +
				     pooler_random(pooler, 20000);
		if (conn->state == CONN_RUNNING)
			note_loss(conn);
		end(conn, reason);
		member_suspect(member, reason);
		return;
	}
	end(conn, reason);
}

/* --- setting up --- */

static bool knows(const conn_t *conn, const char *alias)
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

static void forget_all(conn_t *conn)
{
	variables_clear(&conn->variables);
	talloc_free(conn->prepared);
	conn->prepared = NULL;
	conn->prepared_count = 0;
}

/* What goes to the member in one packet. */
typedef struct flight {
	conn_t *conn;
	member_request_t requests[CONN_SETUP_MAX + 1];
	size_t len;
} flight_t;

static void add(flight_t *flight, member_request_t request)
{
	conn_t *conn = flight->conn;

	flight->requests[flight->len++] = request;
	conn->setup[conn->setup_len++] = request.kind;
}

static slice_t slice_from(const char *text)
{
	return slice_of(text, strlen(text));
}

static void add_variables(flight_t *flight, const caller_t *caller)
{
	conn_t *conn = flight->conn;

	if (variables_equal(&conn->variables, &caller->variables))
		return;
	list_for_each (it, &caller->variables.list) {
		const variable_t *want = list_entry(it, variable_t, node);
		const variable_t *have = variables_find(&conn->variables, slice_from(want->name));

		if (have != NULL && strcmp(have->value, want->value) == 0)
			continue;
		add(flight, (member_request_t){.kind = REQUEST_SET,
					       .name = slice_from(want->name),
					       .value = slice_from(want->value)});
		variables_set(&conn->variables, conn, slice_from(want->name),
			      slice_from(want->value));
	}
}

static void add_name(flight_t *flight, const prepared_t *prepared)
{
	conn_t *conn = flight->conn;

	if (prepared == NULL || knows(conn, prepared->alias))
		return;
	add(flight, (member_request_t){.kind = REQUEST_PREPARE,
				       .name = slice_from(prepared->alias),
				       .value = slice_from(prepared->shape),
				       .writes = prepared->writes});
	add_prepared(conn, prepared->alias);
}

static void add_begin(flight_t *flight, const caller_t *caller)
{
	member_request_t request = {.kind = caller->tx_read_only ? REQUEST_BEGIN_READ
								 : REQUEST_BEGIN};

	if (caller->tx != TX_OPEN || flight->conn->in_tx)
		return;
	if (caller->tx_read_only) {
		request.has_after = caller->has_after;
		request.after = caller->after;
	}
	add(flight, request);
}

static void add_statement(flight_t *flight, const caller_t *caller)
{
	member_request_t request = {.kind = REQUEST_FORWARD, .statement = &caller->statement};

	if (caller->exec != NULL) {
		request.kind = REQUEST_EXEC;
		request.name = slice_from(caller->exec->alias);
	}
	if (caller->tx == TX_NONE && caller->target == TARGET_ANY) {
		request.has_after = caller->has_after;
		request.after = caller->after;
	}
	flight->requests[flight->len++] = request;
}

static void send_flight(flight_t *flight, conn_state_t state)
{
	set_state(flight->conn, state);
	send_requests(flight->conn, flight->requests, flight->len);
}

static void send_statement(conn_t *conn)
{
	flight_t flight = {.conn = conn};

	conn->setup_len = 0;
	conn->setup_done = 0;
	add_statement(&flight, conn->caller);
	send_flight(&flight, CONN_RUNNING);
}

/* Set up what the statement needs; flight holds what must be sent for that. */
static void prepare(flight_t *flight)
{
	conn_t *conn = flight->conn;
	caller_t *caller = conn->caller;

	conn->setup_len = 0;
	conn->setup_done = 0;
	conn->setup_code = CODE_NONE;
	/* A value that the caller does not have can only be taken away by a reset. */
	if (!conn->in_tx && (!variables_is_subset(&conn->variables, &caller->variables) ||
			     conn->prepared_count >= PREPARED_MAX)) {
		counter_add(&resets_total, 1);
		forget_all(conn);
		add(flight, (member_request_t){.kind = REQUEST_RESET});
	}
	add_variables(flight, caller);
	add_name(flight, caller->exec);
	add_begin(flight, caller);
}

void conn_run(conn_t *conn, caller_t *caller)
{
	conn->caller = caller;
	conn->has_served = true;
	caller->conn = conn;
	caller->placed_at = now_of(caller->pooler);
	conn_run_in_tx(conn);
}

void conn_run_in_tx(conn_t *conn)
{
	flight_t flight = {.conn = conn};
	bool only_name;

	prepare(&flight);
	only_name = conn->setup_len == 1 && conn->setup[0] == REQUEST_PREPARE;
	/*
	 * The statement waits for the replies to what it rests on: in one flight a failed BEGIN
	 * would let a write of a transaction run and commit by itself. Only a name may go along:
	 * without it the statement does not run.
	 */
	if (conn->setup_len != 0 && !only_name) {
		counter_add(&setups_total, 1);
		send_flight(&flight, CONN_PREPARING);
		return;
	}
	add_statement(&flight, conn->caller);
	send_flight(&flight, CONN_RUNNING);
}

/* --- replies --- */

static void on_setup_reply(conn_t *conn, const reply_t *reply)
{
	caller_t *caller = conn->caller;
	request_kind_t kind = conn->setup[conn->setup_done++];
	code_t code;

	if (!reply->ok && conn->setup_code == CODE_NONE)
		conn->setup_code = reply->code;
	if (reply->ok && (kind == REQUEST_BEGIN || kind == REQUEST_BEGIN_READ))
		conn->in_tx = true;
	if (conn->setup_done < conn->setup_len)
		return;
	if (conn->setup_code == CODE_NONE) {
		send_statement(conn);
		return;
	}
	if (conn->setup_code == CODE_BUSY)
		note_failure(conn, EVIDENCE_REFUSED);
	/* Only BEGIN can be refused without leaving the connection in an unknown state. */
	conn->caller = NULL;
	code = conn->setup_code;
	if (kind == REQUEST_BEGIN || kind == REQUEST_BEGIN_READ)
		set_state(conn, CONN_IDLE);
	else
		conn_close(conn, "setting up failed");
	caller_on_setup_refused(caller, code);
}

/* The reply to a name that went along with its statement, whose own reply is next. */
static void on_name_reply(conn_t *conn, const reply_t *reply)
{
	conn->setup_done++;
	if (!reply->ok)
		conn->prepared_count = 0;
}

static void take_sample(conn_t *conn, const reply_t *reply, usec_t now)
{
	member_t *member = conn->member;
	service_t *service = member->service;

	if (!reply->has_position)
		return;
	member->applied = reply->position;
	member->applied_at = now;
	if (!permit_covers(member, now))
		return;
	if (service->fresh_primary == NULL || strcmp(service->fresh_primary, member->id) != 0) {
		freshness_reset(service->freshness);
		talloc_free(service->fresh_primary);
		service->fresh_primary = talloc_strdup(service, member->id);
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
		member->survey_done = true;
	}
	set_state(conn, CONN_IDLE);
	if (conn->probe)
		conn_close(conn, "probe done");
	else
		conn_release(conn);
	duty_tick(member->pooler, now_of(member->pooler));
}

/* The member is done with what nobody waits for. */
static void on_late_reply(conn_t *conn, const reply_t *reply)
{
	if (conn->setup_done < conn->setup_len) {
		on_name_reply(conn, reply);
		return;
	}
	conn->in_tx = reply->tx != TX_NONE;
	if (conn->state == CONN_ROLLING_BACK && conn->in_tx) {
		conn_close(conn, "rollback failed");
		return;
	}
	conn_release(conn);
}

/* What the reply to a statement tells of the member; a refusal by position or role is no fault. */
static void note_outcome(conn_t *conn, const reply_t *reply)
{
	if (reply->ok && reply->is_signed)
		member_note(conn->member, EVIDENCE_GOOD);
	else if (reply->ok || reply->code == CODE_FAILED || reply->code == CODE_TIMEOUT)
		note_failure(conn, EVIDENCE_FAILED);
	else if (reply->code == CODE_BUSY)
		note_failure(conn, EVIDENCE_REFUSED);
}

/*
 * Callers would see a read fail that any other member would serve. It changes nothing, so it is run
 * again, elsewhere if possible; not more than twice, since a read that is itself at fault fails
 * everywhere.
 */
static bool read_again(conn_t *conn, const reply_t *reply)
{
	if (reply->ok || reply->code != CODE_FAILED || !caller_retry_read(conn->caller))
		return false;
	conn_release(conn);
	return true;
}

/* The reply to the caller's statement itself. */
static void on_statement_reply(conn_t *conn, const reply_t *reply, usec_t now)
{
	/* A refusal is quick and says nothing of how long work takes. */
	if (reply->ok)
		member_measure(conn->member, now - conn->sent_at);
	else if (reply->code == CODE_LAGGING)
		conn->member->lagged_at = now;
	conn->in_tx = reply->tx != TX_NONE;
	note_outcome(conn, reply);
	if (!read_again(conn, reply))
		caller_on_reply(conn->caller, conn, reply);
}

void conn_on_reply(conn_t *conn, const reply_t *reply, const member_status_t *status)
{
	usec_t now = now_of(conn->member->pooler);

	member_heard(conn->member);
	if (conn->state == CONN_PROBING) {
		on_status(conn, reply, status);
		return;
	}
	take_sample(conn, reply, now);
	switch (conn->state) {
	case CONN_PREPARING:
		if (conn->caller == NULL) {
			/* Its caller left; replies to the rest of the flight are still to come. */
			if (++conn->setup_done == conn->setup_len)
				conn_close(conn, "caller left while setting up");
			return;
		}
		on_setup_reply(conn, reply);
		break;
	case CONN_RUNNING:
		if (conn->setup_done < conn->setup_len) {
			on_name_reply(conn, reply);
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

/* --- giving back --- */

void conn_release(conn_t *conn)
{
	member_request_t rollback = {.kind = REQUEST_ROLLBACK};

	if (conn->caller != NULL)
		conn->caller->conn = NULL;
	conn->caller = NULL;
	if (conn->in_tx) {
		conn->setup_done = conn->setup_len;
		set_state(conn, CONN_ROLLING_BACK);
		send_requests(conn, &rollback, 1);
		return;
	}
	set_state(conn, CONN_IDLE);
	if (!member_is_usable(conn->member))
		conn_close(conn, "member is leaving");
	else
		dispatch_run(conn->member->service);
}

void conn_reclaim(conn_t *conn, const char *reason)
{
	caller_t *caller = conn->caller;

	LOG_EVENT(LOG_INFO, "transaction ended", LOG_STR("member", conn->member->id),
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

		if (conn->state != CONN_IDLE || conn->customer_pool != caller->customer_pool)
			continue;
		if (variables_equal(&conn->variables, &caller->variables))
			return conn;
		if (best == NULL || variables_is_subset(&conn->variables, &caller->variables))
			best = conn;
	}
	return best;
}

/*
 * True if its own customer's callers can do without it, or have to. One that has served nobody yet
 * was made for a caller that waits for it: taken now it would be made again, and taken again, and
 * under load nobody would be served.
 */
static bool is_spare(const conn_t *conn, bool waited)
{
	return conn->customer_pool->waiting == 0 || (waited && conn->has_served);
}

conn_t *conn_find_evictable(const member_t *member, const caller_t *caller, bool waited)
{
	conn_t *longest = NULL;

	list_for_each (it, &member->conns) {
		conn_t *conn = list_entry(it, conn_t, node);

		if (conn->state != CONN_IDLE || conn->probe ||
		    conn->customer_pool == caller->customer_pool || !is_spare(conn, waited))
			continue;
		if (longest == NULL || conn->state_since < longest->state_since)
			longest = conn;
	}
	return longest;
}
