#include "client.h"

#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "finding.h"

#define MSEC USEC_PER_MSEC
/* Time-out of connect and START, the same as that of the platform's callers. */
#define START_TIMEOUT (2 * USEC_PER_SEC)
/* Longer than the time-out of any route and a pause of the proxy together. */
#define ANSWER_TIMEOUT (9 * USEC_PER_SEC)
/* A connection ends if sent data stays unacknowledged for this time; longer than any fault. */
#define TCP_USER_TIMEOUT_MS 60000
/* Delay before a session connects again, and between the statements of a transaction. */
#define RECONNECT_MIN_MS 20
#define RECONNECT_MAX_MS 150
#define TX_PAUSE_MAX_MS	 30
/* Greatest number of statements between BEGIN and COMMIT or ROLLBACK. */
#define TX_STEPS_MAX 5
/* Greatest number of operations on a connection before the session connects to another proxy. */
#define OPERATIONS_MAX 60
/* Keys of each service; few, so that sessions access the same keys. */
#define ITEM_COUNT 16
/* A request that was sent no longer than this before the close may have crossed it. */
#define CLOSE_CROSSING_TIME (200 * MSEC)
/*
 * A close after SIGTERM is a finding only if no other fault affected the proxy from this time
 * before the request on.
 */
#define DISTURBANCE_LOOKBACK (4 * USEC_PER_SEC)
/*
 * A statement sent within EARLY_STATEMENT_TIME after SIGTERM may still run in the last sixth of the
 * shutdown grace if a fault affected a member; the proxy then breaks it off. That is no finding.
 */
#define EARLY_STATEMENT_TIME (3 * USEC_PER_SEC)
#define FORCED_CLOSE_AFTER   (FLEET_SHUTDOWN_GRACE * 5 / 6)

typedef enum { SESSION_CLOSED, SESSION_STARTING, SESSION_IDLE, SESSION_WAITING } session_state_t;

typedef enum { PHASE_SETUP, PHASE_OPERATIONS, PHASE_ABANDON } phase_t;

typedef struct session {
	stream_t stream;
	clients_t *clients;
	unsigned index;
	GRand *rand;
	session_state_t state;
	phase_t phase;
	unsigned proxy;
	unsigned service;
	read_kind_t reads;
	run_timer_t timer;
	unsigned operations_left; /* operations before the session closes its connection */
	unsigned next_setup;
	char values[TEXT_MAX];
	attempt_t *attempt;   /* attempt in progress */
	statement_t *pending; /* statement that waits for its answer */
	const statement_t *last_commit;
	statement_kind_t steps[TX_STEPS_MAX + 2];
	size_t step_count;
	size_t step;
} session_t;

typedef struct answer {
	bool ok;
	char error_code[16];
	char row[64];
	char signature[80];
	char state;
} answer_t;

static const char *const databases[] = {"jobs", "lookups", "updates"};
static const usec_t max_ages[] = {0, 1500 * MSEC, 2500 * MSEC};

static usec_t session_now(const session_t *session)
{
	return clock_now(session->clients->fleet->loop->clock);
}

static unsigned random_between(session_t *session, unsigned min, unsigned max)
{
	return (unsigned)g_rand_int_range(session->rand, (gint32)min, (gint32)max + 1);
}

static void arm_timer(session_t *session, usec_t delay, timer_cb_t cb)
{
	timers_arm(&session->clients->fleet->loop->timers, &session->timer,
		   session_now(session) + delay, cb);
}

/* --- answers --- */

static bool is_refusal_code(const char *code)
{
	static const char *const refusal_codes[] = {"BUSY",	"ABORTED",   "LAGGING",
						    "READONLY", "MISROUTED", "TOOMANY"};

	for (size_t i = 0; i < G_N_ELEMENTS(refusal_codes); i++) {
		if (strcmp(code, refusal_codes[i]) == 0)
			return true;
	}
	return false;
}

static void copy_text(char *to, size_t size, const char *from, size_t len)
{
	snprintf(to, size, "%.*s", (int)len, from);
}

static void parse_line(answer_t *answer, const char *line, size_t len)
{
	if (len > 4 && strncmp(line, "ROW ", 4) == 0) {
		copy_text(answer->row, sizeof(answer->row), line + 4, len - 4);
	} else if (len > 5 && strncmp(line, "DONE ", 5) == 0) {
		answer->ok = true;
		copy_text(answer->signature, sizeof(answer->signature), line + 5, len - 5);
	} else if (len > 4 && strncmp(line, "ERR ", 4) == 0) {
		size_t word = strcspn(line + 4, " \r");

		copy_text(answer->error_code, sizeof(answer->error_code), line + 4,
			  word < len - 4 ? word : len - 4);
	} else if (len > 6 && strncmp(line, "READY ", 6) == 0) {
		answer->state = line[6];
	}
}

/*
 * Returns the length of the first answer including its READY line, 0 if the answer is incomplete.
 * This parser is written apart from the proxy's own decoder, so that it does not share the
 * decoder's faults.
 */
static size_t parse_answer(answer_t *answer, const char *data, size_t len)
{
	const char *at = data;
	const char *lf;

	*answer = (answer_t){0};
	while ((lf = memchr(at, '\n', len - (size_t)(at - data))) != NULL) {
		size_t line = (size_t)(lf - at);

		parse_line(answer, at, line != 0 && lf[-1] == '\r' ? line - 1 : line);
		at = lf + 1;
		if (answer->state != 0)
			return (size_t)(at - data);
	}
	return 0;
}

static statement_status_t answer_status(const answer_t *answer)
{
	if (answer->ok)
		return STATUS_DONE;
	return is_refusal_code(answer->error_code) ? STATUS_REFUSED : STATUS_UNKNOWN;
}

/* --- the end of a session --- */

static void connect_session(run_timer_t *timer, usec_t now);

static void finish_statement(session_t *session, statement_status_t status)
{
	clients_t *clients = session->clients;

	ledger_record_answer(session->clients->ledger, session->pending, status,
			     session_now(session));
	clients->status_counts[status]++;
	if (status == STATUS_DONE)
		g_ptr_array_add(clients->unchecked, session->pending);
	session->pending = NULL;
}

static void report_not_served(session_t *session, const char *what)
{
	if (session->clients->failures_are_findings)
		finding_add(PROMISE_RECOVERY, session->pending->id, "%s at p%u, \"%s\"", what,
			    session->proxy, session->pending->text);
}

/* Adds a finding if the session could not be opened while failures are findings. */
static void report_not_opened(const session_t *session, const char *what)
{
	if (session->clients->failures_are_findings &&
	    (session->state == SESSION_CLOSED || session->state == SESSION_STARTING))
		finding_add(PROMISE_RECOVERY, databases[session->reads],
			    "p%u did not open a session: %s", session->proxy, what);
}

/*
 * Adds a finding if a proxy closed on a complete request after SIGTERM although no other fault
 * affected it.
 */
static void check_shutdown(const session_t *session)
{
	const fleet_t *fleet = session->clients->fleet;
	const proxy_t *proxy = &fleet->proxies[session->proxy];
	usec_t now = session_now(session);
	usec_t sent = session->pending->sent_at;
	bool member_is_slow = sent <= proxy->sigterm_at + EARLY_STATEMENT_TIME &&
			      now >= proxy->sigterm_at + FORCED_CLOSE_AFTER &&
			      fleet_spans_overlap(fleet->member_faults[session->service],
						  sent - DISTURBANCE_LOOKBACK, now);

	if (proxy->sigterm_at == 0 || proxy->killed || now - sent <= CLOSE_CROSSING_TIME ||
	    member_is_slow)
		return;
	if (fleet_spans_overlap(proxy->disturbances, sent - DISTURBANCE_LOOKBACK, now) ||
	    now < session->clients->clock_unreliable_until)
		return;
	finding_add(
		PROMISE_SHUTDOWN, session->pending->id,
		"\"%s\" sent %.0f ms before %s closed, which received SIGTERM %.0f ms before the close",
		session->pending->text, (double)(now - sent) / MSEC, proxy->name,
		(double)(now - proxy->sigterm_at) / MSEC);
}

static void close_session(session_t *session, usec_t delay)
{
	stream_close(&session->stream);
	if (session->pending != NULL)
		finish_statement(session, STATUS_UNKNOWN);
	session->state = SESSION_CLOSED;
	session->attempt = NULL;
	session->last_commit = NULL;
	session->values[0] = '\0';
	arm_timer(session, delay, connect_session);
}

static void reconnect_elsewhere(session_t *session)
{
	close_session(session, random_between(session, RECONNECT_MIN_MS, RECONNECT_MAX_MS) * MSEC);
}

static void on_session_close(stream_t *stream, const char *reason)
{
	session_t *session = list_entry(stream, session_t, stream);

	report_not_opened(session, reason);
	if (session->pending != NULL) {
		check_shutdown(session);
		report_not_served(session, "connection closed");
	}
	reconnect_elsewhere(session);
}

static void on_answer_timeout(run_timer_t *timer, usec_t now)
{
	session_t *session = list_entry(timer, session_t, timer);

	(void)now;
	report_not_opened(session, "no answer");
	if (session->pending != NULL)
		report_not_served(session, "no answer");
	reconnect_elsewhere(session);
}

/* --- statements --- */

static void count_sent(clients_t *clients, const statement_t *statement)
{
	proxy_t *proxy = &clients->fleet->proxies[statement->proxy];

	clients->statements_sent++;
	proxy->statements_sent++;
	proxy->setups_sent += statement->kind == KIND_SETUP;
	if (proxy->first_sent_at == 0)
		proxy->first_sent_at = statement->sent_at;
}

static void send_statement(session_t *session, statement_t *statement)
{
	char line[TEXT_MAX + 64];
	int len = snprintf(line, sizeof(line), "QUERY %s %s\r\n", statement->id, statement->text);

	statement->proxy = session->proxy;
	statement->sent_at = session_now(session);
	if (statement->attempt->began_at == 0) {
		statement->attempt->began_at = statement->sent_at;
		statement->attempt->previous_commit = session->last_commit;
	}
	snprintf(statement->session_values, sizeof(statement->session_values), "%s",
		 session->values);
	session->pending = statement;
	session->state = SESSION_WAITING;
	count_sent(session->clients, statement);
	arm_timer(session, ANSWER_TIMEOUT, on_answer_timeout);
	stream_send(&session->stream, line, (size_t)len);
}

static attempt_t *start_attempt(session_t *session, bool in_tx)
{
	session->attempt = ledger_add_attempt(session->clients->ledger, session->service,
					      session->reads, max_ages[session->reads]);
	session->attempt->in_tx = in_tx;
	return session->attempt;
}

static void fill_read_or_write(session_t *session, statement_t *statement)
{
	unsigned item = random_between(session, 0, ITEM_COUNT - 1);
	bool prepared = random_between(session, 0, 3) == 0;
	bool writes = statement->kind == KIND_WRITE;
	const char *verb = writes ? "WRITE" : "READ";
	const char *data = writes ? statement->id : "";

	if (prepared) {
		/*
		 * All sessions use the same names for their prepared statements, with different
		 * shapes, so that a mix-up between sessions shows.
		 */
		verb = writes ? "EXEC put" : "EXEC get";
		snprintf(statement->prepared_shape, sizeof(statement->prepared_shape), "%s%u",
			 writes ? "w" : "r", session->index);
	}
	snprintf(statement->text, sizeof(statement->text), "%s i%u%s%s", verb, item,
		 writes ? " " : "", data);
}

static void send_new_statement(session_t *session, statement_kind_t kind)
{
	statement_t *statement =
		ledger_add_statement(session->clients->ledger, session->attempt, kind);

	if (kind == KIND_READ || kind == KIND_WRITE)
		fill_read_or_write(session, statement);
	else if (kind == KIND_BEGIN)
		snprintf(statement->text, TEXT_MAX, "%s",
			 session->attempt->in_tx && session->steps[1] == KIND_READ &&
					 session->reads != READS_PRIMARY
				 ? "BEGIN READ"
				 : "BEGIN");
	else
		snprintf(statement->text, TEXT_MAX, "%s",
			 kind == KIND_COMMIT ? "COMMIT" : "ROLLBACK");
	send_statement(session, statement);
}

static void on_next_statement_due(run_timer_t *timer, usec_t now);
static void on_operation_due(run_timer_t *timer, usec_t now);

static void wait_for_next_operation(session_t *session)
{
	unsigned mean_ms = (unsigned)(session->clients->options.mean_idle_time / MSEC);

	session->state = SESSION_IDLE;
	session->attempt = NULL;
	arm_timer(session, random_between(session, 1, 2 * mean_ms) * MSEC, on_operation_due);
}

/*
 * Chooses the statements of a transaction. If the first one after BEGIN is a read, the transaction
 * only reads.
 */
static void choose_transaction(session_t *session)
{
	unsigned count = random_between(session, 1, TX_STEPS_MAX);
	bool reads_only = random_between(session, 0, 2) == 0;

	session->steps[session->step_count++] = KIND_BEGIN;
	for (unsigned i = 0; i < count; i++) {
		bool reads = reads_only || (i != 0 && random_between(session, 0, 1) == 0);

		session->steps[session->step_count++] = reads ? KIND_READ : KIND_WRITE;
	}
	session->steps[session->step_count++] =
		random_between(session, 0, 9) == 0 ? KIND_ROLLBACK : KIND_COMMIT;
}

static void choose_operation(session_t *session)
{
	bool in_tx = random_between(session, 0, 9) < 3;

	session->step = 0;
	session->step_count = 0;
	start_attempt(session, in_tx);
	if (in_tx)
		choose_transaction(session);
	else
		session->steps[session->step_count++] =
			random_between(session, 0, 9) < 6 ? KIND_READ : KIND_WRITE;
}

static void on_next_statement_due(run_timer_t *timer, usec_t now)
{
	session_t *session = list_entry(timer, session_t, timer);

	(void)now;
	/* Some callers disconnect in the middle of a transaction. */
	if (session->step > 1 && random_between(session, 0, 39) == 0) {
		reconnect_elsewhere(session);
		return;
	}
	send_new_statement(session, session->steps[session->step++]);
}

/* --- setup: the values and prepared statements of a session --- */

static void send_setup(session_t *session)
{
	statement_t *statement;

	start_attempt(session, false);
	statement = ledger_add_statement(session->clients->ledger, session->attempt, KIND_SETUP);
	switch (session->next_setup) {
	case 0:
		snprintf(statement->text, TEXT_MAX, "SET tz z%u", random_between(session, 0, 5));
		break;
	case 1:
		snprintf(statement->text, TEXT_MAX, "PREPARE put WRITE w%u", session->index);
		break;
	case 2:
		snprintf(statement->text, TEXT_MAX, "PREPARE get READ r%u", session->index);
		break;
	default:
		snprintf(statement->text, TEXT_MAX, "SET lang l%u", random_between(session, 0, 5));
		break;
	}
	session->next_setup++;
	send_statement(session, statement);
}

static void record_setting(session_t *session, const statement_t *statement)
{
	size_t len = strlen(session->values);

	if (strncmp(statement->text, "SET ", 4) != 0)
		return;
	/*
	 * All settings are appended; a session whose buffer is full, after some dozens, reconnects.
	 */
	if (len + 16 > sizeof(session->values)) {
		reconnect_elsewhere(session);
		return;
	}
	snprintf(session->values + len, sizeof(session->values) - len, "%s;", statement->text + 4);
}

static void on_operation_due(run_timer_t *timer, usec_t now)
{
	session_t *session = list_entry(timer, session_t, timer);

	(void)now;
	if (session->operations_left-- == 0) {
		stream_send(&session->stream, "BYE\r\n", 5);
		reconnect_elsewhere(session);
	} else if (session->next_setup < 3 || random_between(session, 0, 29) == 0) {
		send_setup(session);
	} else {
		session->phase = PHASE_OPERATIONS;
		choose_operation(session);
		send_new_statement(session, session->steps[session->step++]);
	}
}

/* --- actions after an answer --- */

static void continue_after_success(session_t *session, const statement_t *statement)
{
	if (statement->kind == KIND_SETUP) {
		record_setting(session, statement);
		if (session->state != SESSION_CLOSED)
			wait_for_next_operation(session);
		return;
	}
	if (session->step < session->step_count) {
		session->state = SESSION_IDLE;
		arm_timer(session, random_between(session, 0, TX_PAUSE_MAX_MS) * MSEC,
			  on_next_statement_due);
		return;
	}
	session->clients->fleet->proxies[session->proxy].operations_done++;
	if (statement->kind == KIND_COMMIT || statement->kind == KIND_WRITE)
		session->last_commit = statement;
	wait_for_next_operation(session);
}

static void continue_after_failure(session_t *session, const statement_t *statement, char state)
{
	if (statement->kind == KIND_SETUP || statement->kind == KIND_ROLLBACK) {
		reconnect_elsewhere(session);
	} else if (state != 'I') {
		session->phase = PHASE_ABANDON;
		session->step = session->step_count;
		send_new_statement(session, KIND_ROLLBACK);
	} else {
		wait_for_next_operation(session);
	}
}

static void on_answer(session_t *session, const answer_t *answer)
{
	statement_t *statement = session->pending;

	memcpy(statement->row, answer->row, sizeof(statement->row));
	memcpy(statement->signature, answer->signature, sizeof(statement->signature));
	memcpy(statement->error_code, answer->error_code, sizeof(statement->error_code));
	if (!answer->ok)
		report_not_served(session, answer->error_code);
	finish_statement(session, answer_status(answer));
	if (session->phase == PHASE_ABANDON)
		/* ROLLBACK must succeed and end the failed transaction. */
		answer->ok && answer->state == 'I' ? wait_for_next_operation(session)
						   : reconnect_elsewhere(session);
	else if (answer->ok)
		continue_after_success(session, statement);
	else
		continue_after_failure(session, statement, answer->state);
	if (session->phase == PHASE_ABANDON && session->state == SESSION_IDLE)
		session->phase = PHASE_OPERATIONS;
}

static void on_session_started(session_t *session, const answer_t *answer)
{
	(void)answer;
	session->phase = PHASE_SETUP;
	session->next_setup = 0;
	session->operations_left = random_between(session, 1, OPERATIONS_MAX);
	session->clients->sessions_opened++;
	send_setup(session);
}

/* If START is refused, the proxy closes the connection without sending READY. */
static size_t on_session_data(stream_t *stream, const char *data, size_t len)
{
	session_t *session = list_entry(stream, session_t, stream);
	answer_t answer;
	size_t used = parse_answer(&answer, data, len);

	if (used == 0)
		return 0;
	if (session->state == SESSION_STARTING)
		on_session_started(session, &answer);
	else if (session->pending != NULL)
		on_answer(session, &answer);
	else
		finding_add(PROMISE_MIXED, databases[session->reads],
			    "p%u sent an answer without a request", session->proxy);
	return used;
}

static void on_session_connect(stream_t *stream)
{
	session_t *session = list_entry(stream, session_t, stream);
	char line[64];
	int len = snprintf(line, sizeof(line), "START %s%u caller%u\r\n", databases[session->reads],
			   session->service, session->index);

	session->state = SESSION_STARTING;
	arm_timer(session, START_TIMEOUT, on_answer_timeout);
	stream_send(stream, line, (size_t)len);
}

static const stream_ops_t session_ops = {
	.on_connect = on_session_connect, .on_data = on_session_data, .on_close = on_session_close};

static void connect_session(run_timer_t *timer, usec_t now)
{
	session_t *session = list_entry(timer, session_t, timer);
	const fleet_t *fleet = session->clients->fleet;
	char address[32];
	err_t err = {0};

	(void)now;
	session->state = SESSION_CLOSED;
	session->proxy = random_between(session, 0, fleet->options.proxies - 1);
	session->service = random_between(session, 0, fleet->options.services - 1);
	session->reads = (read_kind_t)random_between(session, 0, 2);
	session->step = 0;
	session->step_count = 0;
	snprintf(address, sizeof(address), "127.0.0.1:%d",
		 fleet_caller_port(fleet, session->proxy));
	arm_timer(session, START_TIMEOUT, on_answer_timeout);
	if (stream_connect(&session->stream, fleet->loop, address, TCP_USER_TIMEOUT_MS, &err) < 0)
		reconnect_elsewhere(session);
}

/* --- start and stop --- */

static int destructor(clients_t *clients)
{
	for (unsigned i = 0; i < clients->options.sessions; i++)
		g_rand_free(clients->sessions[i].rand);
	g_ptr_array_unref(clients->unchecked);
	return 0;
}

clients_t *clients_create(void *parent, fleet_t *fleet, ledger_t *ledger,
			  const clients_options_t *options)
{
	clients_t *clients = talloc_zero(parent, clients_t);

	clients->options = *options;
	clients->fleet = fleet;
	clients->ledger = ledger;
	clients->unchecked = g_ptr_array_new();
	clients->sessions = talloc_zero_array(clients, session_t, options->sessions);
	for (unsigned i = 0; i < options->sessions; i++) {
		session_t *session = &clients->sessions[i];

		session->clients = clients;
		session->index = i;
		session->stream.ops = &session_ops;
		session->rand = g_rand_new_with_seed(options->seed * 100003u + i);
		arm_timer(session, random_between(session, 0, 500) * MSEC, connect_session);
	}
	talloc_set_destructor(clients, destructor);
	return clients;
}

void clients_reset_counts(clients_t *clients)
{
	for (unsigned i = 0; i < clients->fleet->options.proxies; i++) {
		proxy_t *proxy = &clients->fleet->proxies[i];

		proxy->statements_sent = 0;
		proxy->setups_sent = 0;
		proxy->first_sent_at = 0;
		proxy->operations_done = 0;
	}
}

bool clients_served_by_all(const clients_t *clients)
{
	for (unsigned i = 0; i < clients->fleet->options.proxies; i++) {
		if (clients->fleet->proxies[i].operations_done == 0)
			return false;
	}
	return true;
}

void clients_stop(clients_t *clients)
{
	for (unsigned i = 0; i < clients->options.sessions; i++) {
		session_t *session = &clients->sessions[i];

		stream_close(&session->stream);
		if (session->pending != NULL)
			finish_statement(session, STATUS_UNKNOWN);
		timers_cancel(&clients->fleet->loop->timers, &session->timer);
	}
}
