#include "client.h"

#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "finding.h"

#define MSEC USEC_PER_MSEC
/* As callers of the platform do. */
#define START_TIMEOUT (2 * USEC_PER_SEC)
/* Longer than any timeout of a route together with a pause of the proxy. */
#define ANSWER_TIMEOUT (9 * USEC_PER_SEC)
/* Sent data unacknowledged for so long ends a connection; longer than any fault. */
#define SILENCE_MS 60000
/* Before a session connects again, and between the statements of a transaction; milliseconds. */
#define RECONNECT_LEAST 20
#define RECONNECT_MOST	150
#define TX_PAUSE_MOST	30
/* Statements of a transaction between BEGIN and its end. */
#define TX_STEPS_MOST 5
/* Operations of a connection before the session goes elsewhere. */
#define OPERATIONS_MOST 60
/* Keys of each service: few, so that sessions meet at them. */
#define ITEMS 16
/* A whole request unanswered for so long is not one that crossed the close. */
#define CROSSING (200 * MSEC)
/* Nothing worse than the SIGTERM may have come so long before the request. */
#define CONTACT (4 * USEC_PER_SEC)
/*
 * A statement sent within the first time after SIGTERM may still be at work in the last sixth of
 * the grace if a member was harmed, and is broken off then. That is no finding.
 */
#define SENT_IN_TIME	(3 * USEC_PER_SEC)
#define LAST_SIXTH_FROM (FLEET_GRACE * 5 / 6)

typedef enum { SESSION_CLOSED, SESSION_STARTS, SESSION_RESTS, SESSION_WAITS } session_state_t;

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
	unsigned left; /* operations in this connection */
	unsigned next_setup;
	char values[TEXT_MAX];
	attempt_t *attempt; /* under way */
	statement_t *asked; /* waits for its answer */
	const statement_t *own_commit;
	kind_t steps[TX_STEPS_MOST + 2];
	size_t step_count;
	size_t step;
} session_t;

typedef struct answer {
	bool ok;
	char code[16];
	char row[64];
	char signature[80];
	char state;
} answer_t;

static const char *const databases[] = {"jobs", "lookups", "updates"};
static const usec_t max_ages[] = {0, 1500 * MSEC, 2500 * MSEC};

static usec_t now_of(const session_t *session)
{
	return clock_now(session->clients->fleet->loop->clock);
}

static unsigned between(session_t *session, unsigned least, unsigned most)
{
	return (unsigned)g_rand_int_range(session->rand, (gint32)least, (gint32)most + 1);
}

static void arm(session_t *session, usec_t delay, timer_cb_t cb)
{
	timers_arm(&session->clients->fleet->loop->timers, &session->timer, now_of(session) + delay,
		   cb);
}

/* --- answers --- */

static bool is_promise(const char *code)
{
	static const char *const promises[] = {"BUSY",	   "ABORTED",	"LAGGING",
					       "READONLY", "MISROUTED", "TOOMANY"};

	for (size_t i = 0; i < G_N_ELEMENTS(promises); i++) {
		if (strcmp(code, promises[i]) == 0)
			return true;
	}
	return false;
}

static void copy_word(char *to, size_t size, const char *from, size_t len)
{
	snprintf(to, size, "%.*s", (int)len, from);
}

static void parse_line(answer_t *answer, const char *line, size_t len)
{
	if (len > 4 && strncmp(line, "ROW ", 4) == 0) {
		copy_word(answer->row, sizeof(answer->row), line + 4, len - 4);
	} else if (len > 5 && strncmp(line, "DONE ", 5) == 0) {
		answer->ok = true;
		copy_word(answer->signature, sizeof(answer->signature), line + 5, len - 5);
	} else if (len > 4 && strncmp(line, "ERR ", 4) == 0) {
		size_t word = strcspn(line + 4, " \r");

		copy_word(answer->code, sizeof(answer->code), line + 4,
			  word < len - 4 ? word : len - 4);
	} else if (len > 6 && strncmp(line, "READY ", 6) == 0) {
		answer->state = line[6];
	}
}

/*
 * Length of the first answer with its READY, 0 if it has not come whole. Written apart from the
 * proxy's own decoder, whose faults would else go unseen.
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

static fate_t fate_of(const answer_t *answer)
{
	if (answer->ok)
		return FATE_DONE;
	return is_promise(answer->code) ? FATE_REFUSED : FATE_UNSURE;
}

/* --- a session's end --- */

static void reconnect(run_timer_t *timer, usec_t now);

static void note_end(session_t *session, fate_t fate)
{
	clients_t *clients = session->clients;

	ledger_answered(session->clients->ledger, session->asked, fate, now_of(session));
	clients->fates[fate]++;
	if (fate == FATE_DONE)
		g_ptr_array_add(clients->answered, session->asked);
	session->asked = NULL;
}

static void check_served(session_t *session, const char *what)
{
	if (session->clients->counting)
		finding_add(PROMISE_RECOVERY, session->asked->id, "%s at p%u, \"%s\"", what,
			    session->proxy, session->asked->text);
}

/* The same for a session that was not opened. */
static void check_opened(const session_t *session, const char *what)
{
	if (session->clients->counting &&
	    (session->state == SESSION_CLOSED || session->state == SESSION_STARTS))
		finding_add(PROMISE_RECOVERY, databases[session->reads], "p%u opens no session: %s",
			    session->proxy, what);
}

/* A proxy that was asked to end, and nothing worse, has closed on a whole request. */
static void check_shutdown(const session_t *session)
{
	const fleet_t *fleet = session->clients->fleet;
	const proxy_t *proxy = &fleet->proxies[session->proxy];
	usec_t now = now_of(session);
	usec_t sent = session->asked->sent_at;
	bool member_works =
		sent <= proxy->term_at + SENT_IN_TIME && now >= proxy->term_at + LAST_SIXTH_FROM &&
		fleet_overlaps(fleet->member_trouble[session->service], sent - CONTACT, now);

	if (proxy->term_at == 0 || proxy->killed || now - sent <= CROSSING || member_works)
		return;
	if (fleet_overlaps(proxy->disturbed, sent - CONTACT, now) ||
	    now < session->clients->late_until)
		return;
	finding_add(
		PROMISE_SHUTDOWN, session->asked->id,
		"\"%s\" sent %.0f ms before %s closed, which got SIGTERM %.0f ms before the close",
		session->asked->text, (double)(now - sent) / MSEC, proxy->name,
		(double)(now - proxy->term_at) / MSEC);
}

static void close_session(session_t *session, usec_t delay)
{
	stream_close(&session->stream);
	if (session->asked != NULL)
		note_end(session, FATE_UNSURE);
	session->state = SESSION_CLOSED;
	session->attempt = NULL;
	session->own_commit = NULL;
	session->values[0] = '\0';
	arm(session, delay, reconnect);
}

static void go_elsewhere(session_t *session)
{
	close_session(session, between(session, RECONNECT_LEAST, RECONNECT_MOST) * MSEC);
}

static void on_down(stream_t *stream, const char *reason)
{
	session_t *session = list_entry(stream, session_t, stream);

	check_opened(session, reason);
	if (session->asked != NULL) {
		check_shutdown(session);
		check_served(session, "connection closed");
	}
	go_elsewhere(session);
}

static void on_no_answer(run_timer_t *timer, usec_t now)
{
	session_t *session = list_entry(timer, session_t, timer);

	(void)now;
	check_opened(session, "no answer");
	if (session->asked != NULL)
		check_served(session, "no answer");
	go_elsewhere(session);
}

/* --- statements --- */

static void send_statement(session_t *session, statement_t *statement)
{
	char line[TEXT_MAX + 64];
	int len = snprintf(line, sizeof(line), "QUERY %s %s\r\n", statement->id, statement->text);

	statement->proxy = session->proxy;
	statement->sent_at = now_of(session);
	if (statement->attempt->began_at == 0) {
		statement->attempt->began_at = statement->sent_at;
		statement->attempt->own_commit = session->own_commit;
	}
	snprintf(statement->values, sizeof(statement->values), "%s", session->values);
	session->asked = statement;
	session->state = SESSION_WAITS;
	session->clients->statements++;
	session->clients->fleet->proxies[session->proxy].asked++;
	arm(session, ANSWER_TIMEOUT, on_no_answer);
	stream_send(&session->stream, line, (size_t)len);
}

static attempt_t *begin_attempt(session_t *session, bool in_tx)
{
	session->attempt = ledger_begin(session->clients->ledger, session->service, session->reads,
					max_ages[session->reads]);
	session->attempt->in_tx = in_tx;
	return session->attempt;
}

static void fill_data(session_t *session, statement_t *statement)
{
	unsigned item = between(session, 0, ITEMS - 1);
	bool prepared = between(session, 0, 3) == 0;
	bool writes = statement->kind == KIND_WRITE;
	const char *verb = writes ? "WRITE" : "READ";
	const char *data = writes ? statement->id : "";

	if (prepared) {
		/* Every session calls its statements the same; their shapes differ. */
		verb = writes ? "EXEC put" : "EXEC get";
		snprintf(statement->shape, sizeof(statement->shape), "%s%u", writes ? "w" : "r",
			 session->index);
	}
	snprintf(statement->text, sizeof(statement->text), "%s i%u%s%s", verb, item,
		 writes ? " " : "", data);
}

static void ask(session_t *session, kind_t kind)
{
	statement_t *statement = ledger_add(session->clients->ledger, session->attempt, kind);

	if (kind == KIND_READ || kind == KIND_WRITE)
		fill_data(session, statement);
	else if (kind == KIND_BEGIN)
		snprintf(statement->text, TEXT_MAX, "%s",
			 session->attempt->in_tx && session->steps[1] == KIND_READ &&
					 session->reads != READS_ANY_PRIMARY
				 ? "BEGIN READ"
				 : "BEGIN");
	else
		snprintf(statement->text, TEXT_MAX, "%s",
			 kind == KIND_COMMIT ? "COMMIT" : "ROLLBACK");
	send_statement(session, statement);
}

static void on_step(run_timer_t *timer, usec_t now);
static void on_rested(run_timer_t *timer, usec_t now);

static void rest(session_t *session)
{
	unsigned mean_ms = (unsigned)(session->clients->options.rest / MSEC);

	session->state = SESSION_RESTS;
	session->attempt = NULL;
	arm(session, between(session, 1, 2 * mean_ms) * MSEC, on_rested);
}

/* A transaction whose first statement after BEGIN is a read only reads. */
static void choose_transaction(session_t *session)
{
	unsigned count = between(session, 1, TX_STEPS_MOST);
	bool reads_only = between(session, 0, 2) == 0;

	session->steps[session->step_count++] = KIND_BEGIN;
	for (unsigned i = 0; i < count; i++) {
		bool reads = reads_only || (i != 0 && between(session, 0, 1) == 0);

		session->steps[session->step_count++] = reads ? KIND_READ : KIND_WRITE;
	}
	session->steps[session->step_count++] =
		between(session, 0, 9) == 0 ? KIND_ROLLBACK : KIND_COMMIT;
}

static void choose_operation(session_t *session)
{
	bool in_tx = between(session, 0, 9) < 3;

	session->step = 0;
	session->step_count = 0;
	begin_attempt(session, in_tx);
	if (in_tx)
		choose_transaction(session);
	else
		session->steps[session->step_count++] =
			between(session, 0, 9) < 6 ? KIND_READ : KIND_WRITE;
}

static void on_step(run_timer_t *timer, usec_t now)
{
	session_t *session = list_entry(timer, session_t, timer);

	(void)now;
	/* Some callers leave in the middle of a transaction. */
	if (session->step > 1 && between(session, 0, 39) == 0) {
		go_elsewhere(session);
		return;
	}
	ask(session, session->steps[session->step++]);
}

/* --- the values and prepared statements of a session --- */

static void ask_setup(session_t *session)
{
	statement_t *statement;

	begin_attempt(session, false);
	statement = ledger_add(session->clients->ledger, session->attempt, KIND_SETUP);
	switch (session->next_setup) {
	case 0:
		snprintf(statement->text, TEXT_MAX, "SET tz z%u", between(session, 0, 5));
		break;
	case 1:
		snprintf(statement->text, TEXT_MAX, "PREPARE put WRITE w%u", session->index);
		break;
	case 2:
		snprintf(statement->text, TEXT_MAX, "PREPARE get READ r%u", session->index);
		break;
	default:
		snprintf(statement->text, TEXT_MAX, "SET lang l%u", between(session, 0, 5));
		break;
	}
	session->next_setup++;
	send_statement(session, statement);
}

static void note_setup(session_t *session, const statement_t *statement)
{
	size_t len = strlen(session->values);

	if (strncmp(statement->text, "SET ", 4) != 0)
		return;
	/* Only the last value of a name counts; there is room for some dozens. */
	if (len + 16 > sizeof(session->values)) {
		go_elsewhere(session);
		return;
	}
	snprintf(session->values + len, sizeof(session->values) - len, "%s;", statement->text + 4);
}

static void on_rested(run_timer_t *timer, usec_t now)
{
	session_t *session = list_entry(timer, session_t, timer);

	(void)now;
	if (session->left-- == 0) {
		stream_send(&session->stream, "BYE\r\n", 5);
		go_elsewhere(session);
	} else if (session->next_setup < 3 || between(session, 0, 29) == 0) {
		ask_setup(session);
	} else {
		session->phase = PHASE_OPERATIONS;
		choose_operation(session);
		ask(session, session->steps[session->step++]);
	}
}

/* --- what an answer leads to --- */

static void after_success(session_t *session, const statement_t *statement)
{
	if (statement->kind == KIND_SETUP) {
		note_setup(session, statement);
		if (session->state != SESSION_CLOSED)
			rest(session);
		return;
	}
	if (session->step < session->step_count) {
		session->state = SESSION_RESTS;
		arm(session, between(session, 0, TX_PAUSE_MOST) * MSEC, on_step);
		return;
	}
	session->clients->fleet->proxies[session->proxy].served++;
	if (statement->kind == KIND_COMMIT || statement->kind == KIND_WRITE)
		session->own_commit = statement;
	rest(session);
}

static void after_failure(session_t *session, const statement_t *statement, char state)
{
	if (statement->kind == KIND_SETUP || statement->kind == KIND_ROLLBACK) {
		go_elsewhere(session);
	} else if (state != 'I') {
		session->phase = PHASE_ABANDON;
		session->step = session->step_count;
		ask(session, KIND_ROLLBACK);
	} else {
		rest(session);
	}
}

static void on_answer(session_t *session, const answer_t *answer)
{
	statement_t *statement = session->asked;

	memcpy(statement->row, answer->row, sizeof(statement->row));
	memcpy(statement->signature, answer->signature, sizeof(statement->signature));
	memcpy(statement->code, answer->code, sizeof(statement->code));
	if (!answer->ok)
		check_served(session, answer->code);
	note_end(session, fate_of(answer));
	if (session->phase == PHASE_ABANDON)
		/* A transaction that has failed is over. */
		answer->ok && answer->state == 'I' ? rest(session) : go_elsewhere(session);
	else if (answer->ok)
		after_success(session, statement);
	else
		after_failure(session, statement, answer->state);
	if (session->phase == PHASE_ABANDON && session->state == SESSION_RESTS)
		session->phase = PHASE_OPERATIONS;
}

static void on_started(session_t *session, const answer_t *answer)
{
	(void)answer;
	session->phase = PHASE_SETUP;
	session->next_setup = 0;
	session->left = between(session, 1, OPERATIONS_MOST);
	session->clients->opened++;
	ask_setup(session);
}

/* START may be refused; no READY follows then, only the close. */
static size_t on_data(stream_t *stream, const char *data, size_t len)
{
	session_t *session = list_entry(stream, session_t, stream);
	answer_t answer;
	size_t used = parse_answer(&answer, data, len);

	if (used == 0)
		return 0;
	if (session->state == SESSION_STARTS)
		on_started(session, &answer);
	else if (session->asked != NULL)
		on_answer(session, &answer);
	else
		finding_add(PROMISE_MIXED, databases[session->reads],
			    "p%u sent an answer to nothing", session->proxy);
	return used;
}

static void on_up(stream_t *stream)
{
	session_t *session = list_entry(stream, session_t, stream);
	char line[64];
	int len = snprintf(line, sizeof(line), "START %s%u caller%u\r\n", databases[session->reads],
			   session->service, session->index);

	session->state = SESSION_STARTS;
	arm(session, START_TIMEOUT, on_no_answer);
	stream_send(stream, line, (size_t)len);
}

static const stream_ops_t session_ops = {
	.on_connect = on_up, .on_data = on_data, .on_close = on_down};

static void reconnect(run_timer_t *timer, usec_t now)
{
	session_t *session = list_entry(timer, session_t, timer);
	const fleet_t *fleet = session->clients->fleet;
	char address[32];
	err_t err = {0};

	(void)now;
	session->state = SESSION_CLOSED;
	session->proxy = between(session, 0, fleet->options.proxies - 1);
	session->service = between(session, 0, fleet->options.services - 1);
	session->reads = (read_kind_t)between(session, 0, 2);
	session->step = 0;
	session->step_count = 0;
	snprintf(address, sizeof(address), "127.0.0.1:%d",
		 fleet_caller_port(fleet, session->proxy));
	arm(session, START_TIMEOUT, on_no_answer);
	if (stream_connect(&session->stream, fleet->loop, address, SILENCE_MS, &err) < 0)
		go_elsewhere(session);
}

/* --- the whole --- */

static int destructor(clients_t *clients)
{
	for (unsigned i = 0; i < clients->options.sessions; i++)
		g_rand_free(clients->sessions[i].rand);
	g_ptr_array_unref(clients->answered);
	return 0;
}

clients_t *clients_create(void *parent, fleet_t *fleet, ledger_t *ledger,
			  const clients_options_t *options)
{
	clients_t *clients = talloc_zero(parent, clients_t);

	clients->options = *options;
	clients->fleet = fleet;
	clients->ledger = ledger;
	clients->answered = g_ptr_array_new();
	clients->sessions = talloc_zero_array(clients, session_t, options->sessions);
	for (unsigned i = 0; i < options->sessions; i++) {
		session_t *session = &clients->sessions[i];

		session->clients = clients;
		session->index = i;
		session->stream.ops = &session_ops;
		session->rand = g_rand_new_with_seed(options->seed * 100003u + i);
		arm(session, between(session, 0, 500) * MSEC, reconnect);
	}
	talloc_set_destructor(clients, destructor);
	return clients;
}

void clients_mark(clients_t *clients)
{
	for (unsigned i = 0; i < clients->fleet->options.proxies; i++) {
		proxy_t *proxy = &clients->fleet->proxies[i];

		proxy->asked = 0;
		proxy->served = 0;
	}
}

bool clients_all_served(const clients_t *clients)
{
	for (unsigned i = 0; i < clients->fleet->options.proxies; i++) {
		if (clients->fleet->proxies[i].served == 0)
			return false;
	}
	return true;
}

void clients_stop(clients_t *clients)
{
	for (unsigned i = 0; i < clients->options.sessions; i++) {
		session_t *session = &clients->sessions[i];

		stream_close(&session->stream);
		if (session->asked != NULL)
			note_end(session, FATE_UNSURE);
		timers_cancel(&clients->fleet->loop->timers, &session->timer);
	}
}
