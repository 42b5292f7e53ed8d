#include "fake_db.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <talloc.h>

/* Time after a promotion until a superseded primary becomes a replica of the new one. */
#define DEMOTE_DELAY (1 * USEC_PER_SEC)
#define REPLY_MAX    512
/* Queued by an accepted START; the session is confirmed when its connect time is over. */
#define CONNECT_LINE "START"

typedef struct write {
	char item[40];
	char data[64];
	char id[40];
} write_t;

typedef struct prepared {
	list_t node;
	char name[40];
	char shape[40];
	bool writes;
} prepared_t;

typedef enum { SESSION_NEW, SESSION_IDLE, SESSION_TX, SESSION_FAILED } session_state_t;

/* Size of the values that a session has set, bytes; larger than the limit that a proxy enforces. */
#define VALUES_MAX 1024

struct fake_session {
	fake_member_t *member;
	fake_reply_t reply;
	void *data;
	session_state_t state;
	char customer[40]; /* from START */
	bool tx_read_only;
	uint64_t tx;
	write_t *writes;
	size_t write_count;
	char values[VALUES_MAX];
	char min_position[24]; /* of the running statement, "" for none */
	char shape[40];	       /* of the prepared statement that runs, "" for none */
	list_t prepared;
	list_t queue; /* of line_t, in order of arrival */
	run_timer_t timer;
	bool busy;		/* the timer runs for the first line of the queue */
	bool peer_closed;	/* the client closed while a statement ran */
	const char *told_state; /* transaction state in replies; NULL: the true one */
	fake_fault_t fault;	/* that the first line of the queue meets */
	bool reset_pending;	/* the connection is closed in place of the reply */
	list_t node;
};

typedef struct line {
	list_t node;
	char *text;
} line_t;

static usec_t db_now(const fake_db_t *db)
{
	return clock_now(db->clock);
}

/* --- logs --- */

fake_member_t *fake_db_primary(fake_db_t *db)
{
	fake_member_t *primary = NULL;

	for (size_t i = 0; i < db->config.members; i++) {
		fake_member_t *member = &db->members[i];

		if (member->primary && (primary == NULL || member->term > primary->term))
			primary = member;
	}
	return primary;
}

/* True if an array of len items, allocated in powers of two, must grow for one more. */
static bool is_full(size_t len)
{
	return (len & (len - 1)) == 0;
}

static void append_entry(fake_member_t *member, const fake_entry_t *entry)
{
	/* The log also shrinks, so its length does not tell how much is allocated. */
	if (member->log_len >= talloc_array_length(member->log))
		member->log = talloc_realloc(member->db, member->log, fake_entry_t,
					     2 * member->log_len + 64);
	member->log[member->log_len++] = *entry;
}

/*
 * Number of equal entries at the start of both logs. Logs with an entry of the same number and term
 * agree on all entries before it, so the search goes backwards from the shorter end.
 */
static size_t common_prefix_len(const fake_member_t *a, const fake_member_t *b)
{
	size_t n = a->log_len < b->log_len ? a->log_len : b->log_len;

	while (n > 0 && a->log[n - 1].term != b->log[n - 1].term)
		n--;
	return n;
}

/*
 * Brings a member up to date: a superseded primary becomes a replica when its time has come, and a
 * replica truncates its log where it differs from the primary's and receives the entries that are
 * older than the receive delay.
 */
static void catch_up(fake_member_t *member)
{
	fake_db_t *db = member->db;
	fake_member_t *primary = fake_db_primary(db);
	usec_t now = db_now(db);

	if (member->primary && member != primary && !member->isolated && !member->stopped &&
	    now >= member->demote_at)
		member->primary = false;
	if (primary == NULL || member->primary || member->isolated || member->stopped ||
	    primary->stopped)
		return;
	member->log_len = common_prefix_len(member, primary);
	member->term = primary->term;
	while (member->log_len < primary->log_len &&
	       primary->log[member->log_len].at + db->config.receive_delay <= now)
		append_entry(member, &primary->log[member->log_len]);
}

/*
 * Number of entries that reads on the member see. An increase of the lag of a replica delays later
 * entries but never hides those that the replica has already applied.
 */
static size_t applied_len(fake_member_t *member)
{
	usec_t now = db_now(member->db);
	size_t len = member->log_len;

	if (member->primary)
		return len;
	if (member->applied > len)
		member->applied = len;
	while (len > member->applied &&
	       member->log[len - 1].at + member->db->config.lag + member->extra_lag > now)
		len--;
	member->applied = len;
	return len;
}

size_t fake_member_count_commits(fake_member_t *member, const char *id)
{
	size_t count = 0;

	for (size_t i = 0; i < member->log_len; i++)
		count += strcmp(member->log[i].id, id) == 0;
	return count;
}

static const char *find_value(const fake_member_t *member, size_t len, const char *item)
{
	for (size_t i = len; i > 0; i--) {
		if (strcmp(member->log[i - 1].item, item) == 0)
			return member->log[i - 1].data;
	}
	return NULL;
}

const char *fake_member_last_value(fake_member_t *member, const char *item)
{
	return find_value(member, member->log_len, item);
}

fake_member_t *fake_db_find_member(fake_db_t *db, const char *id)
{
	for (size_t i = 0; i < db->config.members; i++) {
		if (strcmp(db->members[i].id, id) == 0)
			return &db->members[i];
	}
	return NULL;
}

/* --- replies --- */

static const char *session_state_text(const fake_session_t *session)
{
	if (session->told_state != NULL)
		return session->told_state;
	if (session->state == SESSION_TX)
		return "T";
	return session->state == SESSION_FAILED ? "E" : "I";
}

static void send_reply(fake_session_t *session, const char *result)
{
	fake_member_t *member = session->member;
	size_t len = applied_len(member);
	char text[REPLY_MAX];
	char position[48];

	if (member->hides_position)
		snprintf(position, sizeof(position), "-");
	else if (len != 0)
		snprintf(position, sizeof(position), "%" PRIu64 ".%" PRIu64,
			 member->log[len - 1].term, member->log[len - 1].number);
	else
		snprintf(position, sizeof(position), "%" PRIu64 ".0", member->term);
	snprintf(text, sizeof(text), "%sREADY %s %s\r\n", result, session_state_text(session),
		 position);
	session->reply(session->data, text, strlen(text));
}

static void reply_error(fake_session_t *session, const char *code)
{
	char text[64];

	if (session->state == SESSION_TX)
		session->state = SESSION_FAILED;
	snprintf(text, sizeof(text), "ERR %s %s\r\n", code, session->member->id);
	send_reply(session, text);
}

static void format_signature(const fake_member_t *member, char *text, size_t size)
{
	if (member->db->config.numbered_signatures)
		snprintf(text, size, "%s.%" PRIu64, member->id, member->db->run_number);
	else
		snprintf(text, size, "%s", member->id);
}

static void reply_done(fake_session_t *session, const char *row, bool is_signed)
{
	char text[REPLY_MAX / 2];
	char name[80] = "-";

	if (is_signed)
		format_signature(session->member, name, sizeof(name));
	snprintf(text, sizeof(text), "%s%s%sDONE %s\r\n", row != NULL ? "ROW " : "",
		 row != NULL ? row : "", row != NULL ? "\r\n" : "", name);
	send_reply(session, text);
}

/* --- statements --- */

static void append_run(fake_db_t *db, const fake_run_t *run)
{
	if (is_full(db->run_count))
		db->runs = talloc_realloc(db, db->runs, fake_run_t, 2 * db->run_count + 1);
	db->runs[db->run_count++] = *run;
}

static void record_run(fake_session_t *session, const char *id, const char *text, const char *row)
{
	fake_member_t *member = session->member;
	fake_db_t *db = member->db;
	fake_run_t run = {
		.at = db_now(db), .tx_number = session->tx, .run_number = ++db->run_number};
	size_t len = applied_len(member);

	snprintf(run.id, sizeof(run.id), "%s", id);
	snprintf(run.text, sizeof(run.text), "%s", text);
	snprintf(run.member, sizeof(run.member), "%s", member->id);
	snprintf(run.customer, sizeof(run.customer), "%s", session->customer);
	snprintf(run.values, sizeof(run.values), "%.95s", session->values);
	snprintf(run.min_position, sizeof(run.min_position), "%s", session->min_position);
	snprintf(run.shape, sizeof(run.shape), "%s", session->shape);
	snprintf(run.row, sizeof(run.row), "%s", row);
	if (len != 0) {
		run.log_term = member->log[len - 1].term;
		run.log_number = member->log[len - 1].number;
	}
	if (db->events != NULL)
		db->events->ops->ran(db->events, &run);
	else
		append_run(db, &run);
}

static void add_write(fake_session_t *session, const char *id, const char *item, const char *data)
{
	write_t *write;

	session->writes =
		talloc_realloc(session, session->writes, write_t, session->write_count + 1);
	write = &session->writes[session->write_count++];
	snprintf(write->item, sizeof(write->item), "%s", item);
	snprintf(write->data, sizeof(write->data), "%s", data);
	snprintf(write->id, sizeof(write->id), "%s", id);
}

static void discard_transaction(fake_session_t *session)
{
	session->write_count = 0;
	session->tx = 0;
	session->tx_read_only = false;
	session->state = SESSION_IDLE;
}

static void commit_writes(fake_session_t *session)
{
	fake_member_t *member = session->member;

	for (size_t i = 0; i < session->write_count; i++) {
		fake_entry_t entry = {.term = member->term,
				      .number = member->log_len + 1,
				      .at = db_now(member->db)};

		snprintf(entry.id, sizeof(entry.id), "%s", session->writes[i].id);
		snprintf(entry.item, sizeof(entry.item), "%s", session->writes[i].item);
		snprintf(entry.data, sizeof(entry.data), "%s", session->writes[i].data);
		append_entry(member, &entry);
		if (member->db->events != NULL)
			member->db->events->ops->committed(member->db->events, member, &entry);
	}
	discard_transaction(session);
}

static const char *read_value(const fake_session_t *session, const char *item)
{
	const char *value;

	for (size_t i = session->write_count; i > 0; i--) {
		if (strcmp(session->writes[i - 1].item, item) == 0)
			return session->writes[i - 1].data;
	}
	value = find_value(session->member, applied_len(session->member), item);
	return value != NULL ? value : "none";
}

/* True if the position, "TERM.NUMBER", is in the applied part of the log. */
static bool has_applied(fake_member_t *member, const char *position)
{
	uint64_t term = strtoull(position, NULL, 10);
	const char *dot = strchr(position, '.');
	uint64_t number = dot != NULL ? strtoull(dot + 1, NULL, 10) : 0;

	if (number == 0)
		return member->term >= term;
	return number <= applied_len(member) && member->log[number - 1].term == term;
}

static void run_read(fake_session_t *session, const char *id, const char *text, const char *item)
{
	const char *value = read_value(session, item);

	record_run(session, id, text, value);
	reply_done(session, value, true);
}

static void run_write(fake_session_t *session, const char *id, const char *text, char *item)
{
	char *data = strchr(item, ' ');

	if (!session->member->primary || session->tx_read_only) {
		reply_error(session, "READONLY");
		return;
	}
	if (data != NULL)
		*data++ = '\0';
	record_run(session, id, text, "");
	add_write(session, id, item, data != NULL ? data : "");
	if (session->state == SESSION_IDLE)
		commit_writes(session);
	reply_done(session, NULL, true);
}

static prepared_t *find_prepared(const fake_session_t *session, const char *name)
{
	list_for_each (it, &session->prepared) {
		prepared_t *prepared = list_entry(it, prepared_t, node);

		if (strcmp(prepared->name, name) == 0)
			return prepared;
	}
	return NULL;
}

static void run_prepared(fake_session_t *session, const char *id, const char *text, char *rest)
{
	char *args = strchr(rest, ' ');
	const prepared_t *prepared;

	if (args != NULL)
		*args++ = '\0';
	prepared = find_prepared(session, rest);
	if (prepared != NULL)
		snprintf(session->shape, sizeof(session->shape), "%s", prepared->shape);
	if (prepared == NULL || args == NULL)
		reply_error(session, "NOSTMT");
	else if (prepared->writes)
		run_write(session, id, text, args);
	else
		run_read(session, id, text, args);
}

static void run_prepare(fake_session_t *session, char *rest)
{
	char *mode = strchr(rest, ' ');
	const char *words = mode != NULL ? strchr(mode + 1, ' ') : NULL;
	prepared_t *prepared = talloc_zero(session, prepared_t);

	if (words != NULL)
		snprintf(prepared->shape, sizeof(prepared->shape), "%s", words + 1);
	if (mode != NULL)
		*mode++ = '\0';
	snprintf(prepared->name, sizeof(prepared->name), "%s", rest);
	prepared->writes = mode != NULL && strncmp(mode, "WRITE", 5) == 0;
	list_add_before(session->prepared.next, &prepared->node);
	reply_done(session, NULL, false);
}

/* Removes the entry of this name from a text of the form "name value;name value;". */
static void remove_value(char *values, const char *name, size_t len)
{
	char *at = values;

	while (*at != '\0') {
		char *end = strchr(at, ';') + 1;

		if (strncmp(at, name, len) == 0 && at[len] == ' ')
			memmove(at, end, strlen(end) + 1);
		else
			at = end;
	}
}

static void run_set(fake_session_t *session, const char *rest)
{
	size_t len;

	remove_value(session->values, rest, strcspn(rest, " "));
	len = strlen(session->values);
	if (len + strlen(rest) + 2 > sizeof(session->values)) {
		reply_error(session, "MALFORMED");
		return;
	}
	snprintf(session->values + len, sizeof(session->values) - len, "%s;", rest);
	reply_done(session, NULL, false);
}

static void run_begin(fake_session_t *session, bool read_only)
{
	if (!read_only && !session->member->primary) {
		reply_error(session, "READONLY");
		return;
	}
	session->state = SESSION_TX;
	session->tx_read_only = read_only;
	session->tx = ++session->member->db->next_tx;
	reply_done(session, NULL, false);
}

static void run_commit(fake_session_t *session, const char *id)
{
	if (session->state == SESSION_FAILED) {
		discard_transaction(session);
		reply_error(session, "ABORTED");
		return;
	}
	if (session->write_count != 0 && !session->member->primary) {
		discard_transaction(session);
		reply_error(session, "READONLY");
		return;
	}
	record_run(session, id, "COMMIT", "");
	commit_writes(session);
	reply_done(session, NULL, true);
}

static void reply_status(fake_session_t *session)
{
	fake_member_t *member = session->member;
	char row[128];
	uint64_t term = member->log_len != 0 ? member->log[member->log_len - 1].term : member->term;

	snprintf(row, sizeof(row), "%s %" PRIu64 " %" PRIu64 ".%zu 0 0 0 %zu",
		 member->primary ? "primary" : "replica", member->term, term, member->log_len,
		 member->sessions);
	reply_done(session, row, false);
}

static const char *skip_prefix(const char *text, const char *word)
{
	size_t len = strlen(word);

	if (strncmp(text, word, len) != 0)
		return NULL;
	return text + len;
}

/* True for the statements that a failed transaction accepts. */
static bool ends_transaction(const char *text)
{
	return strcmp(text, "COMMIT") == 0 || strcmp(text, "ROLLBACK") == 0;
}

static void run_statement(fake_session_t *session, const char *id, char *text)
{
	const char *whole = text;
	char *rest;

	session->min_position[0] = '\0';
	session->shape[0] = '\0';
	if ((rest = (char *)skip_prefix(text, "AFTER ")) != NULL) {
		text = strchr(rest, ' ');
		*text++ = '\0';
		snprintf(session->min_position, sizeof(session->min_position), "%s", rest);
		if (!has_applied(session->member, rest)) {
			reply_error(session, "LAGGING");
			return;
		}
		whole = text;
	}
	if (session->state == SESSION_FAILED && !ends_transaction(text)) {
		reply_error(session, "MALFORMED");
		return;
	}
	if (strcmp(text, "BEGIN READ") == 0)
		run_begin(session, true);
	else if (strcmp(text, "BEGIN") == 0)
		run_begin(session, false);
	else if (strcmp(text, "COMMIT") == 0)
		run_commit(session, id);
	else if (strcmp(text, "ROLLBACK") == 0)
		discard_transaction(session), reply_done(session, NULL, false);
	else if (strcmp(text, "RESET") == 0)
		session->values[0] = '\0', list_init(&session->prepared),
		reply_done(session, NULL, false);
	else if (strcmp(text, "STATUS") == 0)
		reply_status(session);
	else if ((rest = (char *)skip_prefix(text, "READ ")) != NULL)
		run_read(session, id, whole, rest);
	else if ((rest = (char *)skip_prefix(text, "WRITE ")) != NULL)
		run_write(session, id, talloc_strdup(session, whole), rest);
	else if ((rest = (char *)skip_prefix(text, "EXEC ")) != NULL)
		run_prepared(session, id, talloc_strdup(session, whole), rest);
	else if ((rest = (char *)skip_prefix(text, "PREPARE ")) != NULL)
		run_prepare(session, rest);
	else if ((rest = (char *)skip_prefix(text, "SET ")) != NULL)
		run_set(session, rest);
	else
		reply_error(session, "MALFORMED");
}

/* --- scheduling of lines --- */

/* The statement in a request "QUERY id [AFTER position] statement"; "" if there is none. */
static const char *statement_of(const char *line)
{
	const char *text = strchr(line, ' ');

	text = text != NULL ? strchr(text + 1, ' ') : NULL;
	if (text != NULL && strncmp(text, " AFTER ", 7) == 0)
		text = strchr(text + 7, ' ');
	return text != NULL ? text + 1 : "";
}

/* True for reads, writes and commits. line is "QUERY id [AFTER position] text". */
static bool takes_slot(const char *line)
{
	static const char *const words[] = {"READ ", "WRITE ", "EXEC ", "COMMIT"};
	const char *text = statement_of(line);

	for (size_t i = 0; i < sizeof(words) / sizeof(words[0]); i++) {
		if (strncmp(text, words[i], strlen(words[i])) == 0)
			return true;
	}
	return false;
}

static void schedule_next_line(fake_session_t *session);

static void ignore_reply(void *data, const char *text, size_t len)
{
	(void)data;
	(void)text;
	(void)len;
}

/* Spreads the failures evenly: true in fail_percent of 100 calls. */
static bool should_fail_next(fake_member_t *member)
{
	member->fail_accumulator += member->fail_percent;
	if (member->fail_accumulator < 100)
		return false;
	member->fail_accumulator -= 100;
	return true;
}

/* Takes the fault that the request meets; its word is NULL if there is none. */
static fake_fault_t take_fault(fake_member_t *member, const char *line)
{
	const char *statement = statement_of(line);

	for (size_t i = 0; i < FAKE_FAULTS_MAX; i++) {
		fake_fault_t *fault = &member->faults[i];

		if (fault->count != 0 &&
		    strncmp(statement, fault->word, strlen(fault->word)) == 0) {
			fault->count--;
			return *fault;
		}
	}
	return (fake_fault_t){0};
}

/* Runs the request, or not, as its fault tells. */
static void run_with_fault(fake_session_t *session, const char *id, char *body)
{
	const fake_fault_t *fault = &session->fault;
	fake_reply_t reply = session->reply;

	session->told_state = fault->state;
	if (fault->lost)
		session->reply = ignore_reply;
	if (fault->code != NULL)
		reply_error(session, fault->code);
	else
		run_statement(session, id, body);
	session->reply = reply;
	session->told_state = NULL;
}

static void run_query(fake_session_t *session, char *text)
{
	fake_member_t *member = session->member;
	char *id = text + strlen("QUERY ");
	char *body = strchr(id, ' ');
	fake_reply_t reply = session->reply;
	bool uses_slot = takes_slot(text);
	bool from_caller; /* id "-": of the proxy itself, only refuse_begins applies */

	if (body == NULL) {
		reply_error(session, "MALFORMED");
		return;
	}
	*body++ = '\0';
	catch_up(member);
	from_caller = strcmp(id, "-") != 0;
	if (session->fault.word != NULL) {
		run_with_fault(session, id, body);
		return;
	}
	if (member->refuse_begins != 0 && strncmp(body, "BEGIN", strlen("BEGIN")) == 0) {
		member->refuse_begins--;
		reply_error(session, "BUSY");
		return;
	}
	if (from_caller && uses_slot && member->refuse_runs != 0) {
		member->refuse_runs--;
		reply_error(session, "BUSY");
		return;
	}
	if (from_caller && should_fail_next(member)) {
		if (member->fail_code == NULL)
			record_run(session, id, body, "");
		reply_error(session, member->fail_code != NULL ? member->fail_code : "FAILED");
		return;
	}
	if (from_caller && member->reset_answers != 0) {
		member->reset_answers--;
		session->reply = ignore_reply;
		run_statement(session, id, body);
		session->reply = reply;
		session->reset_pending = true;
		return;
	}
	if (from_caller && member->lose_answers != 0) {
		member->lose_answers--;
		session->reply = ignore_reply;
		run_statement(session, id, body);
		session->reply = reply;
		return;
	}
	run_statement(session, id, body);
}

static void free_session(fake_session_t *session)
{
	timers_cancel(session->member->db->timers, &session->timer);
	session->member->sessions--;
	talloc_free(session);
}

static void on_line_due(run_timer_t *timer, usec_t now)
{
	fake_session_t *session = list_entry(timer, fake_session_t, timer);
	line_t *line = list_entry(session->queue.next, line_t, node);

	(void)now;
	session->busy = false;
	list_del(&line->node);
	if (session->peer_closed)
		session->reply = ignore_reply;
	if (session->member->stopped) {
		session->reply(session->data, NULL, 0);
		free_session(session);
		return;
	}
	if (strcmp(line->text, CONNECT_LINE) == 0)
		send_reply(session, "");
	else
		run_query(session, line->text);
	talloc_free(line);
	if (session->reset_pending && !session->peer_closed)
		session->reply(session->data, NULL, 0);
	if (session->peer_closed || session->reset_pending)
		free_session(session);
	else
		schedule_next_line(session);
}

/*
 * Occupies the slot that is free first for the line. Returns the time at which the line is done,
 * the current time if it needs no slot.
 */
static usec_t reserve_slot(fake_member_t *member, const char *text)
{
	const fake_db_config_t *config = &member->db->config;
	usec_t work = strcmp(text, CONNECT_LINE) == 0
			      ? config->connect_time
			      : config->service_time + member->extra_service_time;
	usec_t now = db_now(member->db);
	size_t best = 0;

	if (work == 0 || (strcmp(text, CONNECT_LINE) != 0 && !takes_slot(text)))
		return now;
	for (size_t i = 1; i < member->db->config.slots; i++) {
		if (member->busy_until[i] < member->busy_until[best])
			best = i;
	}
	if (member->busy_until[best] < now)
		member->busy_until[best] = now;
	member->busy_until[best] += work;
	return member->busy_until[best];
}

static void schedule_next_line(fake_session_t *session)
{
	const char *text;

	if (session->busy || list_empty(&session->queue))
		return;
	session->busy = true;
	text = list_entry(session->queue.next, line_t, node)->text;
	session->fault = take_fault(session->member, text);
	timers_arm(session->member->db->timers, &session->timer,
		   reserve_slot(session->member, text) + session->fault.delay, on_line_due);
}

static void enqueue(fake_session_t *session, const char *text, size_t len)
{
	line_t *line = talloc_zero(session, line_t);

	line->text = talloc_strndup(line, text, len);
	list_add_tail(&session->queue, &line->node);
	schedule_next_line(session);
}

static void handle_start(fake_session_t *session, const char *line)
{
	fake_member_t *member = session->member;
	char service[40] = "";
	char who[40] = "";
	char id[40] = "";
	const char *error = NULL;

	sscanf(line, "START %39s %39s %39s", service, who, id);
	if (strcmp(service, member->db->config.service) != 0 ||
	    (id[0] != '\0' && strcmp(id, member->id) != 0))
		error = "ERR MISROUTED other\r\n";
	else if (member->sessions > member->db->config.max_connections)
		error = "ERR TOOMANY full\r\n";
	if (error != NULL) {
		session->reply(session->data, error, strlen(error));
		return;
	}
	session->state = SESSION_IDLE;
	snprintf(session->customer, sizeof(session->customer), "%s", who);
	catch_up(member);
	member->sessions_opened++;
	enqueue(session, CONNECT_LINE, strlen(CONNECT_LINE));
}

void fake_session_receive_line(fake_session_t *session, const char *text, size_t len)
{
	if (session->state == SESSION_NEW) {
		char *copy = talloc_strndup(NULL, text, len);

		handle_start(session, copy);
		talloc_free(copy);
		return;
	}
	enqueue(session, text, len);
}

fake_session_t *fake_session_open(fake_member_t *member, fake_reply_t reply, void *data)
{
	fake_session_t *session;

	if (member->stopped)
		return NULL;
	session = talloc_zero(member->db, fake_session_t);
	session->member = member;
	session->reply = reply;
	session->data = data;
	list_init(&session->prepared);
	list_init(&session->queue);
	member->sessions++;
	return session;
}

bool fake_session_in_transaction(const fake_session_t *session)
{
	return session->state == SESSION_TX || session->state == SESSION_FAILED;
}

void fake_session_close(fake_session_t *session)
{
	session->reply = ignore_reply;
	/* A running statement is completed first. An open transaction ends with the session. */
	if (session->busy)
		session->peer_closed = true;
	else
		free_session(session);
}

/* --- stops, restarts, promotions --- */

void fake_member_stop(fake_member_t *member)
{
	/* The replicas first receive what the member has sent; only later entries are lost. */
	for (size_t i = 0; i < member->db->config.members; i++)
		catch_up(&member->db->members[i]);
	member->stopped = true;
}

void fake_member_start(fake_member_t *member)
{
	fake_member_t *primary;

	member->stopped = false;
	primary = fake_db_primary(member->db);
	/* The member keeps its log; it is a replica if another member has been promoted. */
	if (primary != member)
		member->primary = false;
	for (size_t i = 0; i < member->db->config.slots; i++)
		member->busy_until[i] = 0;
}

void fake_member_replace(fake_member_t *member, const char *id)
{
	fake_member_stop(member);
	member->leaving = false;
	member->unlisted = false;
	snprintf(member->id, sizeof(member->id), "%s", id);
}

static void on_promote(run_timer_t *timer, usec_t now)
{
	fake_db_t *db = list_entry(timer, fake_db_t, promote_timer);
	fake_member_t *member = db->promote_target;

	db->promote_target = NULL;
	if (member->stopped)
		return;
	catch_up(member);
	for (size_t i = 0; i < db->config.members; i++)
		db->members[i].demote_at = now + DEMOTE_DELAY;
	db->term++;
	db->promoted_at = now;
	member->term = db->term;
	member->primary = true;
	if (db->events != NULL)
		db->events->ops->promoted(db->events, member);
}

bool fake_db_promote(fake_db_t *db, fake_member_t *member)
{
	if (member->stopped)
		return false;
	if (fake_db_primary(db) == member)
		return true;
	db->promote_target = member;
	timers_arm(db->timers, &db->promote_timer, db_now(db) + db->config.promote_delay,
		   on_promote);
	return true;
}

static int fake_db_destroy(fake_db_t *db)
{
	timers_cancel(db->timers, &db->promote_timer);
	return 0;
}

fake_db_t *fake_db_create(void *parent, const fake_db_config_t *config, const run_clock_t *clock,
			  timer_set_t *timers)
{
	fake_db_t *db = talloc_zero(parent, fake_db_t);

	db->config = *config;
	db->clock = clock;
	db->timers = timers;
	db->term = 1;
	for (size_t i = 0; i < config->members; i++) {
		fake_member_t *member = &db->members[i];

		member->db = db;
		member->term = 1;
		member->primary = i == 0;
		member->busy_until = talloc_zero_array(db, usec_t, config->slots);
		snprintf(member->id, sizeof(member->id), "%.16s-%zu", config->service, i);
	}
	talloc_set_destructor(db, fake_db_destroy);
	return db;
}
