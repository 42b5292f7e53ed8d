#include "fake_db.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <talloc.h>

/* Until an old primary that reaches the new one becomes its replica. */
#define DEMOTE_AFTER (1 * USEC_PER_SEC)
#define REPLY_MAX    512
/* In the queue of a session whose connection has been taken. */
#define OPENED "START"

typedef struct write {
	char item[40];
	char data[64];
	char id[40];
} write_t;

typedef struct shape {
	list_t node;
	char name[40];
	char shape[40];
	bool writes;
} shape_t;

typedef enum { SESSION_NEW, SESSION_IDLE, SESSION_TX, SESSION_FAILED } session_state_t;

/* Longest values of a session, bytes: more than a proxy lets one have. */
#define VALUES_MAX 1024

struct fake_session {
	fake_member_t *member;
	fake_reply_t reply;
	void *data;
	session_state_t state;
	char who[40]; /* the customer that it is for */
	bool tx_read_only;
	uint64_t tx;
	write_t *writes;
	size_t write_count;
	char values[VALUES_MAX];
	char after[24]; /* of the statement that runs */
	char shape[40]; /* the same */
	list_t shapes;
	list_t queue; /* line_t that wait for their turn */
	run_timer_t timer;
	bool busy;
	bool closed; /* the other side has gone while a statement ran */
	bool broken; /* the connection breaks before the answer is sent */
	list_t node;
};

typedef struct line {
	list_t node;
	char *text;
} line_t;

static usec_t now_of(const fake_db_t *db)
{
	return clock_now(db->clock);
}

/* --- logs --- */

fake_member_t *fake_db_primary(fake_db_t *db)
{
	fake_member_t *leader = NULL;

	for (size_t i = 0; i < db->config.members; i++) {
		fake_member_t *member = &db->members[i];

		if (member->primary && (leader == NULL || member->term > leader->term))
			leader = member;
	}
	return leader;
}

/* Room for one more in an array of len items that grows by doubling. */
static bool is_full(size_t len)
{
	return (len & (len - 1)) == 0;
}

static void append(fake_member_t *member, const fake_entry_t *entry)
{
	/* The log shrinks and grows again, so its room is asked for, not computed. */
	if (member->log_len >= talloc_array_length(member->log))
		member->log = talloc_realloc(member->db, member->log, fake_entry_t,
					     2 * member->log_len + 64);
	member->log[member->log_len++] = *entry;
}

/* Logs that agree on an entry agree on all before it, so the search goes back from the end. */
static size_t common_prefix(const fake_member_t *a, const fake_member_t *b)
{
	size_t n = a->log_len < b->log_len ? a->log_len : b->log_len;

	while (n > 0 && a->log[n - 1].term != b->log[n - 1].term)
		n--;
	return n;
}

/* Receive what the leader has sent long enough ago; rolled back where the logs differ. */
static void catch_up(fake_member_t *member)
{
	fake_db_t *db = member->db;
	fake_member_t *leader = fake_db_primary(db);
	usec_t now = now_of(db);

	if (member->primary && member != leader && !member->isolated && !member->stopped &&
	    now >= member->demote_at)
		member->primary = false;
	if (leader == NULL || member->primary || member->isolated || member->stopped ||
	    leader->stopped)
		return;
	member->log_len = common_prefix(member, leader);
	member->term = leader->term;
	while (member->log_len < leader->log_len &&
	       leader->log[member->log_len].at + db->config.receive_delay <= now)
		append(member, &leader->log[member->log_len]);
}

/* A replica that falls behind stays where it is; it never takes back what it has applied. */
static size_t applied_len(fake_member_t *member)
{
	usec_t now = now_of(member->db);
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

static const char *value_in(const fake_member_t *member, size_t len, const char *item)
{
	for (size_t i = len; i > 0; i--) {
		if (strcmp(member->log[i - 1].item, item) == 0)
			return member->log[i - 1].data;
	}
	return NULL;
}

const char *fake_member_last_value(fake_member_t *member, const char *item)
{
	return value_in(member, member->log_len, item);
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

static const char *state_word(const fake_session_t *session)
{
	if (session->state == SESSION_TX)
		return "T";
	return session->state == SESSION_FAILED ? "E" : "I";
}

static void send_reply(fake_session_t *session, const char *result)
{
	fake_member_t *member = session->member;
	size_t len = applied_len(member);
	char text[REPLY_MAX];
	char position[48] = "-";

	if (len != 0)
		snprintf(position, sizeof(position), "%" PRIu64 ".%" PRIu64,
			 member->log[len - 1].term, member->log[len - 1].number);
	else
		snprintf(position, sizeof(position), "%" PRIu64 ".0", member->term);
	snprintf(text, sizeof(text), "%sREADY %s %s\r\n", result, state_word(session), position);
	session->reply(session->data, text, strlen(text));
}

static void fail(fake_session_t *session, const char *code)
{
	char text[64];

	if (session->state == SESSION_TX)
		session->state = SESSION_FAILED;
	snprintf(text, sizeof(text), "ERR %s %s\r\n", code, session->member->id);
	send_reply(session, text);
}

static void signature(const fake_member_t *member, char *text, size_t size)
{
	if (member->db->config.numbered_signatures)
		snprintf(text, size, "%s.%" PRIu64, member->id, member->db->run_number);
	else
		snprintf(text, size, "%s", member->id);
}

static void done(fake_session_t *session, const char *row, bool is_signed)
{
	char text[REPLY_MAX / 2];
	char name[80] = "-";

	if (is_signed)
		signature(session->member, name, sizeof(name));
	snprintf(text, sizeof(text), "%s%s%sDONE %s\r\n", row != NULL ? "ROW " : "",
		 row != NULL ? row : "", row != NULL ? "\r\n" : "", name);
	send_reply(session, text);
}

/* --- statements --- */

static void keep_run(fake_db_t *db, const fake_run_t *run)
{
	if (is_full(db->run_count))
		db->runs = talloc_realloc(db, db->runs, fake_run_t, 2 * db->run_count + 1);
	db->runs[db->run_count++] = *run;
}

static void record(fake_session_t *session, const char *id, const char *text, const char *row)
{
	fake_member_t *member = session->member;
	fake_db_t *db = member->db;
	fake_run_t run = {
		.at = now_of(db), .tx_number = session->tx, .run_number = ++db->run_number};
	size_t len = applied_len(member);

	snprintf(run.id, sizeof(run.id), "%s", id);
	snprintf(run.text, sizeof(run.text), "%s", text);
	snprintf(run.member, sizeof(run.member), "%s", member->id);
	snprintf(run.customer, sizeof(run.customer), "%s", session->who);
	snprintf(run.values, sizeof(run.values), "%.95s", session->values);
	snprintf(run.min_position, sizeof(run.min_position), "%s", session->after);
	snprintf(run.shape, sizeof(run.shape), "%s", session->shape);
	snprintf(run.row, sizeof(run.row), "%s", row);
	if (len != 0) {
		run.log_term = member->log[len - 1].term;
		run.log_number = member->log[len - 1].number;
	}
	if (db->events != NULL)
		db->events->ops->ran(db->events, &run);
	else
		keep_run(db, &run);
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

static void rollback(fake_session_t *session)
{
	session->write_count = 0;
	session->tx = 0;
	session->tx_read_only = false;
	session->state = SESSION_IDLE;
}

static void commit(fake_session_t *session)
{
	fake_member_t *member = session->member;

	for (size_t i = 0; i < session->write_count; i++) {
		fake_entry_t entry = {.term = member->term,
				      .number = member->log_len + 1,
				      .at = now_of(member->db)};

		snprintf(entry.id, sizeof(entry.id), "%s", session->writes[i].id);
		snprintf(entry.item, sizeof(entry.item), "%s", session->writes[i].item);
		snprintf(entry.data, sizeof(entry.data), "%s", session->writes[i].data);
		append(member, &entry);
		if (member->db->events != NULL)
			member->db->events->ops->committed(member->db->events, member, &entry);
	}
	rollback(session);
}

static const char *read_value(const fake_session_t *session, const char *item)
{
	const char *value;

	for (size_t i = session->write_count; i > 0; i--) {
		if (strcmp(session->writes[i - 1].item, item) == 0)
			return session->writes[i - 1].data;
	}
	value = value_in(session->member, applied_len(session->member), item);
	return value != NULL ? value : "none";
}

/* Returns true if the log that has been applied holds the position. */
static bool holds(fake_member_t *member, const char *position)
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

	record(session, id, text, value);
	done(session, value, true);
}

static void run_write(fake_session_t *session, const char *id, const char *text, char *item)
{
	char *data = strchr(item, ' ');

	if (!session->member->primary || session->tx_read_only) {
		fail(session, "READONLY");
		return;
	}
	if (data != NULL)
		*data++ = '\0';
	record(session, id, text, "");
	add_write(session, id, item, data != NULL ? data : "");
	if (session->state == SESSION_IDLE)
		commit(session);
	done(session, NULL, true);
}

static shape_t *find_shape(const fake_session_t *session, const char *name)
{
	list_for_each (it, &session->shapes) {
		shape_t *shape = list_entry(it, shape_t, node);

		if (strcmp(shape->name, name) == 0)
			return shape;
	}
	return NULL;
}

static void run_exec(fake_session_t *session, const char *id, const char *text, char *rest)
{
	char *args = strchr(rest, ' ');
	const shape_t *shape;

	if (args != NULL)
		*args++ = '\0';
	shape = find_shape(session, rest);
	if (shape != NULL)
		snprintf(session->shape, sizeof(session->shape), "%s", shape->shape);
	if (shape == NULL || args == NULL)
		fail(session, "NOSTMT");
	else if (shape->writes)
		run_write(session, id, text, args);
	else
		run_read(session, id, text, args);
}

static void prepare(fake_session_t *session, char *rest)
{
	char *mode = strchr(rest, ' ');
	const char *words = mode != NULL ? strchr(mode + 1, ' ') : NULL;
	shape_t *shape = talloc_zero(session, shape_t);

	if (words != NULL)
		snprintf(shape->shape, sizeof(shape->shape), "%s", words + 1);
	if (mode != NULL)
		*mode++ = '\0';
	snprintf(shape->name, sizeof(shape->name), "%s", rest);
	shape->writes = mode != NULL && strncmp(mode, "WRITE", 5) == 0;
	list_add_before(session->shapes.next, &shape->node);
	done(session, NULL, false);
}

/* Take the entry of this name out of "name value;name value;". */
static void unset_value(char *values, const char *name, size_t len)
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

static void set_value(fake_session_t *session, const char *rest)
{
	size_t len;

	unset_value(session->values, rest, strcspn(rest, " "));
	len = strlen(session->values);
	if (len + strlen(rest) + 2 > sizeof(session->values)) {
		fail(session, "MALFORMED");
		return;
	}
	snprintf(session->values + len, sizeof(session->values) - len, "%s;", rest);
	done(session, NULL, false);
}

static void begin(fake_session_t *session, bool read_only)
{
	if (!read_only && !session->member->primary) {
		fail(session, "READONLY");
		return;
	}
	session->state = SESSION_TX;
	session->tx_read_only = read_only;
	session->tx = ++session->member->db->next_tx;
	done(session, NULL, false);
}

static void run_commit(fake_session_t *session, const char *id)
{
	if (session->write_count != 0 && !session->member->primary) {
		rollback(session);
		fail(session, "READONLY");
		return;
	}
	record(session, id, "COMMIT", "");
	commit(session);
	done(session, NULL, true);
}

static void status(fake_session_t *session)
{
	fake_member_t *member = session->member;
	char row[128];
	uint64_t term = member->log_len != 0 ? member->log[member->log_len - 1].term : member->term;

	snprintf(row, sizeof(row), "%s %" PRIu64 " %" PRIu64 ".%zu 0 0 0 %zu",
		 member->primary ? "primary" : "replica", member->term, term, member->log_len,
		 member->sessions);
	done(session, row, false);
}

static const char *after(const char *text, const char *word)
{
	size_t len = strlen(word);

	if (strncmp(text, word, len) != 0)
		return NULL;
	return text + len;
}

static void run_text(fake_session_t *session, const char *id, char *text)
{
	const char *whole = text;
	char *rest;

	session->after[0] = '\0';
	session->shape[0] = '\0';
	if ((rest = (char *)after(text, "AFTER ")) != NULL) {
		text = strchr(rest, ' ');
		*text++ = '\0';
		snprintf(session->after, sizeof(session->after), "%s", rest);
		if (!holds(session->member, rest)) {
			fail(session, "LAGGING");
			return;
		}
		whole = text;
	}
	if (strcmp(text, "BEGIN READ") == 0)
		begin(session, true);
	else if (strcmp(text, "BEGIN") == 0)
		begin(session, false);
	else if (strcmp(text, "COMMIT") == 0)
		run_commit(session, id);
	else if (strcmp(text, "ROLLBACK") == 0)
		rollback(session), done(session, NULL, false);
	else if (strcmp(text, "RESET") == 0)
		session->values[0] = '\0', list_init(&session->shapes), done(session, NULL, false);
	else if (strcmp(text, "STATUS") == 0)
		status(session);
	else if ((rest = (char *)after(text, "READ ")) != NULL)
		run_read(session, id, whole, rest);
	else if ((rest = (char *)after(text, "WRITE ")) != NULL)
		run_write(session, id, talloc_strdup(session, whole), rest);
	else if ((rest = (char *)after(text, "EXEC ")) != NULL)
		run_exec(session, id, talloc_strdup(session, whole), rest);
	else if ((rest = (char *)after(text, "PREPARE ")) != NULL)
		prepare(session, rest);
	else if ((rest = (char *)after(text, "SET ")) != NULL)
		set_value(session, rest);
	else
		fail(session, "MALFORMED");
}

/* --- the turn of a line --- */

/* Reads, writes and commits occupy a slot; line is "QUERY id [AFTER position] text". */
static bool takes_slot(const char *line)
{
	static const char *const words[] = {"READ ", "WRITE ", "EXEC ", "COMMIT"};
	const char *text = strchr(line, ' ');

	text = text != NULL ? strchr(text + 1, ' ') : NULL;
	if (text != NULL && strncmp(text, " AFTER ", 7) == 0)
		text = strchr(text + 7, ' ');
	for (size_t i = 0; text != NULL && i < sizeof(words) / sizeof(words[0]); i++) {
		if (strncmp(text + 1, words[i], strlen(words[i])) == 0)
			return true;
	}
	return false;
}

static void next_line(fake_session_t *session);

static void ignore_reply(void *data, const char *text, size_t len)
{
	(void)data;
	(void)text;
	(void)len;
}

static bool fails_now(fake_member_t *member)
{
	member->fail_accumulator += member->fail_percent;
	if (member->fail_accumulator < 100)
		return false;
	member->fail_accumulator -= 100;
	return true;
}

static void run_line(fake_session_t *session, char *text)
{
	fake_member_t *member = session->member;
	char *id = text + strlen("QUERY ");
	char *body = strchr(id, ' ');
	fake_reply_t reply = session->reply;
	bool uses_slot = takes_slot(text);
	bool counts;

	if (body == NULL) {
		fail(session, "MALFORMED");
		return;
	}
	*body++ = '\0';
	catch_up(member);
	counts = strcmp(id, "-") != 0;
	if (member->refuse_begins != 0 && strncmp(body, "BEGIN", strlen("BEGIN")) == 0) {
		member->refuse_begins--;
		fail(session, "BUSY");
		return;
	}
	if (counts && uses_slot && member->refuse_runs != 0) {
		member->refuse_runs--;
		fail(session, "BUSY");
		return;
	}
	if (counts && fails_now(member)) {
		if (member->fail_code == NULL)
			record(session, id, body, "");
		fail(session, member->fail_code != NULL ? member->fail_code : "FAILED");
		return;
	}
	if (counts && member->reset_answers != 0) {
		member->reset_answers--;
		session->reply = ignore_reply;
		run_text(session, id, body);
		session->reply = reply;
		session->broken = true;
		return;
	}
	if (counts && member->lose_answers != 0) {
		member->lose_answers--;
		session->reply = ignore_reply;
		run_text(session, id, body);
		session->reply = reply;
		return;
	}
	run_text(session, id, body);
}

static void release(fake_session_t *session)
{
	timers_cancel(session->member->db->timers, &session->timer);
	session->member->sessions--;
	talloc_free(session);
}

static void on_turn(run_timer_t *timer, usec_t now)
{
	fake_session_t *session = list_entry(timer, fake_session_t, timer);
	line_t *line = list_entry(session->queue.next, line_t, node);

	(void)now;
	session->busy = false;
	list_del(&line->node);
	if (session->closed)
		session->reply = ignore_reply;
	if (session->member->stopped) {
		session->reply(session->data, NULL, 0);
		release(session);
		return;
	}
	if (strcmp(line->text, OPENED) == 0)
		send_reply(session, "");
	else
		run_line(session, line->text);
	talloc_free(line);
	if (session->broken && !session->closed)
		session->reply(session->data, NULL, 0);
	if (session->closed || session->broken)
		release(session);
	else
		next_line(session);
}

/* When a slot is free for text, which then occupies it. */
static usec_t take_slot(fake_member_t *member, const char *text)
{
	const fake_db_config_t *config = &member->db->config;
	usec_t work = strcmp(text, OPENED) == 0 ? config->connect_time
						: config->service_time + member->extra_service_time;
	usec_t now = now_of(member->db);
	size_t best = 0;

	if (work == 0 || (strcmp(text, OPENED) != 0 && !takes_slot(text)))
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

static void next_line(fake_session_t *session)
{
	if (session->busy || list_empty(&session->queue))
		return;
	session->busy = true;
	timers_arm(session->member->db->timers, &session->timer,
		   take_slot(session->member, list_entry(session->queue.next, line_t, node)->text),
		   on_turn);
}

static void enqueue(fake_session_t *session, const char *text, size_t len)
{
	line_t *line = talloc_zero(session, line_t);

	line->text = talloc_strndup(line, text, len);
	list_add_tail(&session->queue, &line->node);
	next_line(session);
}

static void start(fake_session_t *session, const char *line)
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
	snprintf(session->who, sizeof(session->who), "%s", who);
	catch_up(member);
	member->sessions_opened++;
	enqueue(session, OPENED, strlen(OPENED));
}

void fake_session_receive_line(fake_session_t *session, const char *text, size_t len)
{
	if (session->state == SESSION_NEW) {
		char *copy = talloc_strndup(NULL, text, len);

		start(session, copy);
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
	list_init(&session->shapes);
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
	/* What runs now is finished; a transaction is rolled back. */
	if (session->busy)
		session->closed = true;
	else
		release(session);
}

/* --- trouble and change --- */

void fake_member_stop(fake_member_t *member)
{
	/* What it has sent by now arrives. */
	for (size_t i = 0; i < member->db->config.members; i++)
		catch_up(&member->db->members[i]);
	member->stopped = true;
}

void fake_member_start(fake_member_t *member)
{
	fake_member_t *leader;

	member->stopped = false;
	leader = fake_db_primary(member->db);
	/* Back with its log, as a replica if another member was promoted. */
	if (leader != member)
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
		db->members[i].demote_at = now + DEMOTE_AFTER;
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
	timers_arm(db->timers, &db->promote_timer, now_of(db) + db->config.promote_delay,
		   on_promote);
	return true;
}

static int destructor(fake_db_t *db)
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
	talloc_set_destructor(db, destructor);
	return db;
}
