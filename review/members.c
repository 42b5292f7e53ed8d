/* The members of one service: a primary and its replicas, over the platform's wire. */
#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define PREPARED_MAX 300
#define WRITES_MAX   16
/* Time until a commit has arrived at a replica, which applies it later. */
#define RECEIVE_MS 3.0

typedef struct entry {
	char item[24];
	char data[24];
	double at;
} entry_t;

/* A connection to a member. */
typedef struct session {
	struct session *next;
	member_t *member;
	conn_t *conn; /* NULL once it is closed */
	bool started;
	bool busy;	   /* a statement waits for a slot or uses one */
	double arrived_at; /* of that statement */
	char tx;	   /* I, T or E */
	bool tx_read;
	bool tx_term_lost; /* the member has lost the lead in this transaction */
	unsigned tx_statements;
	int tx_caller; /* whose first statement the transaction ran; -1: none yet */
	unsigned tx_serial;
	char writes[WRITES_MAX][2][24];
	int write_count;
	char values[VALUES_MAX * 4][2][24];
	int value_count;
	char prepared[PREPARED_MAX][2][24];
	bool prepared_writes[PREPARED_MAX];
	int prepared_count;
	int users; /* work that refers to it */
} session_t;

typedef struct work {
	struct work *next;
	session_t *session;
	char id[24];
	char text[200];
} work_t;

member_t members[MEMBERS];

static member_config_t config;
static entry_t *log_entries;
static size_t log_len;
static size_t log_size;
static entry_t *lost_entries; /* rolled back by a promote */
static size_t lost_len;
static unsigned term = 3;
static unsigned promotes;
static unsigned pinned_broken;
static unsigned signature;
static unsigned late_runs;
static bool promote_pending;
static session_t *sessions;
static unsigned id_serial;

static void on_accept(conn_t *conn, void *arg);
static void on_input(conn_t *conn);

unsigned members_promotes(void)
{
	return promotes;
}

unsigned members_pinned_broken(void)
{
	return pinned_broken;
}

unsigned members_late_runs(void)
{
	return late_runs;
}

member_t *members_primary(void)
{
	for (int i = 0; i < MEMBERS; i++) {
		if (members[i].primary)
			return &members[i];
	}
	return NULL;
}

static void session_free(session_t *s)
{
	session_t **at = &sessions;

	while (*at != s)
		at = &(*at)->next;
	*at = s->next;
	free(s);
}

/* --- the log --- */

static size_t received(const member_t *member)
{
	size_t len = log_len;
	double limit = now_ms() - RECEIVE_MS;

	if (member->primary)
		return log_len;
	while (len > 0 && log_entries[len - 1].at > limit)
		len--;
	return len;
}

static size_t applied(const member_t *member)
{
	size_t len = log_len;
	double limit = now_ms() - config.lag_ms;

	if (member->primary)
		return log_len;
	while (len > 0 && log_entries[len - 1].at > limit)
		len--;
	return len;
}

static void commit(const char *item, const char *data)
{
	if (log_len == log_size) {
		log_size = log_size != 0 ? log_size * 2 : 1024;
		log_entries = realloc(log_entries, log_size * sizeof(*log_entries));
	}
	log_entries[log_len] = (entry_t){.at = now_ms()};
	snprintf(log_entries[log_len].item, sizeof(log_entries[0].item), "%s", item);
	snprintf(log_entries[log_len].data, sizeof(log_entries[0].data), "%s", data);
	log_len++;
}

static bool has_entry(const entry_t *list, size_t len, const char *item, const char *data)
{
	for (size_t i = len; i > 0; i--) {
		if (strcmp(list[i - 1].data, data) == 0 && strcmp(list[i - 1].item, item) == 0)
			return true;
	}
	return false;
}

bool members_have(const char *item, const char *data, bool *rolled_back)
{
	*rolled_back = has_entry(lost_entries, lost_len, item, data);
	return has_entry(log_entries, log_len, item, data);
}

/* --- entries in the store --- */

static void list_member(member_t *member)
{
	char key[40];
	char text[400];

	snprintf(key, sizeof(key), "servers/%s", member->id);
	snprintf(
		text, sizeof(text),
		"{\"service\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"zone-%d\",\"version\":\"v1\","
		"\"slots\":%d,\"state\":\"%s\",\"coldLeftMs\":0,\"seq\":%u,\"dbRole\":\"%s\","
		"\"born\":%lld}",
		config.service, member->port, member->index, config.slots,
		member->draining ? "draining" : "ready", ++member->seq,
		member->primary ? "primary" : "replica", member->born);
	store_put(key, text);
}

/* --- promote --- */

static void on_promoted(void *arg)
{
	member_t *target = arg;
	size_t kept = received(target);

	promote_pending = false;
	if (!target->running || target->primary)
		return;
	lost_entries =
		realloc(lost_entries, (lost_len + log_len - kept + 1) * sizeof(*log_entries));
	for (size_t i = kept; i < log_len; i++)
		lost_entries[lost_len++] = log_entries[i];
	log_len = kept;
	term++;
	promotes++;
	for (int i = 0; i < MEMBERS; i++) {
		bool was = members[i].primary;

		members[i].primary = &members[i] == target;
		if (was != members[i].primary)
			list_member(&members[i]);
	}
	record("member %s leads term %u from %zu on", target->id, term, kept);
}

bool members_promote(const char *id)
{
	for (int i = 0; i < MEMBERS; i++) {
		if (strcmp(members[i].id, id) != 0)
			continue;
		if (!members[i].running)
			return false;
		if (!members[i].primary && !promote_pending) {
			promote_pending = true;
			after_ms(config.promote_ms, on_promoted, &members[i]);
		}
		return true;
	}
	return false;
}

/* --- replies --- */

static void reply_ready(session_t *s)
{
	conn_printf(s->conn, "READY %c %u.%zu\r\n", s->tx, term, applied(s->member));
}

static void reply_done(session_t *s, const char *row, bool is_signed)
{
	if (s->conn == NULL)
		return;
	if (row != NULL)
		conn_printf(s->conn, "ROW %s\r\n", row);
	if (is_signed)
		conn_printf(s->conn, "DONE %d.%x.signed\r\n", s->member->index, ++signature);
	else
		conn_printf(s->conn, "DONE -\r\n");
	reply_ready(s);
}

static void reply_error(session_t *s, const char *code)
{
	if (s->conn == NULL)
		return;
	if (s->tx == 'T' && strcmp(code, "MALFORMED") != 0)
		s->tx = 'E';
	conn_printf(s->conn, "ERR %s %s\r\n", code, s->member->id);
	reply_ready(s);
}

/* --- what the rules say of a statement that runs --- */

static bool values_match(const session_t *s, const caller_t *caller)
{
	int matching = 0;

	for (int i = 0; i < caller->value_count; i++) {
		for (int k = 0; k < s->value_count; k++) {
			if (strcmp(s->values[k][0], caller->values[i][0]) == 0 &&
			    strcmp(s->values[k][1], caller->values[i][1]) == 0)
				matching++;
		}
	}
	return matching == caller->value_count && s->value_count == caller->value_count;
}

static void note_broken(const session_t *s, const char *id, const char *text, const char *what)
{
	pinned_broken++;
	record("PINNED broken at %s: %s %s: %s", s->member->id, id, text, what);
}

static void check_pinned(session_t *s, const char *id, const char *text)
{
	unsigned seq;
	const caller_t *caller = caller_of_id(id, &seq);

	/* Of a statement that its caller has given up nothing is said. */
	if (caller == NULL || caller->seq != seq || !caller->busy)
		return;
	if (!caller->in_tx && s->tx != 'I') {
		note_broken(s, id, text, "runs inside a transaction that its caller has not begun");
		return;
	}
	if (caller->in_tx && s->tx == 'T') {
		if (s->tx_caller < 0 && s->tx_statements == 0) {
			s->tx_caller = caller->index;
			s->tx_serial = caller->tx_serial;
		}
		if (s->tx_caller != caller->index || s->tx_serial != caller->tx_serial) {
			note_broken(s, id, text, "runs inside the transaction of another caller");
			return;
		}
	}
	if (caller->in_tx && s->tx == 'I') {
		note_broken(s, id, text, "runs outside its transaction");
		return;
	}
	if (!values_match(s, caller))
		note_broken(s, id, text, "the values of its session differ");
}

/* --- statements --- */

static void end_tx(session_t *s)
{
	s->tx = 'I';
	s->write_count = 0;
	s->tx_caller = -1;
	s->tx_statements = 0;
}

static bool is_grey(const member_t *member)
{
	return now_ms() < member->grey_until && random_unit() < member->grey_part;
}

static const char *read_item(const session_t *s, const char *item)
{
	for (size_t i = applied(s->member); i > 0; i--) {
		if (strcmp(log_entries[i - 1].item, item) == 0)
			return log_entries[i - 1].data;
	}
	return "none";
}

/* A read, write or commit whose time in the slot is over. */
static void finish_statement(session_t *s, const char *id, const char *text)
{
	char word[24] = "";
	char name[24] = "";
	char data[24] = "";
	bool writes;

	sscanf(text, "%23s %23s %23s", word, name, data);
	s->member->runs++;
	if (s->member->draining && s->arrived_at > s->member->draining_at + config.drain_ms) {
		late_runs++;
		record("DRAIN broken: %s %s reaches %s %.0f ms after its draining was accepted", id,
		       text, s->member->id, s->arrived_at - s->member->draining_at);
	}
	check_pinned(s, id, text);
	record("%s runs %s %s in state %c", s->member->id, id, text, s->tx);
	s->tx_statements++;
	if (is_grey(s->member)) {
		reply_error(s, "FAILED");
		return;
	}
	if (strcmp(word, "COMMIT") == 0) {
		if (s->write_count != 0 && !s->member->primary) {
			end_tx(s);
			reply_error(s, "READONLY");
			return;
		}
		for (int i = 0; i < s->write_count; i++)
			commit(s->writes[i][0], s->writes[i][1]);
		end_tx(s);
		reply_done(s, NULL, true);
		return;
	}
	writes = strcmp(word, "WRITE") == 0;
	if (!writes) {
		reply_done(s, read_item(s, name), true);
	} else if (s->tx == 'T' && s->write_count < WRITES_MAX) {
		snprintf(s->writes[s->write_count][0], sizeof(s->writes[0][0]), "%s", name);
		snprintf(s->writes[s->write_count++][1], sizeof(s->writes[0][1]), "%s", data);
		reply_done(s, NULL, true);
	} else {
		commit(name, data);
		reply_done(s, NULL, true);
	}
}

static void start_work(member_t *member);

static void on_work_done(void *arg)
{
	work_t *work = arg;
	session_t *s = work->session;
	member_t *member = s->member;

	member->slots_used--;
	s->users--;
	s->busy = false;
	/* A closed connection rolls back; a lone statement that began still runs. */
	if (s->conn != NULL || s->tx == 'I')
		finish_statement(s, work->id, work->text);
	free(work);
	start_work(member);
	if (s->conn != NULL)
		on_input(s->conn);
	else if (s->users == 0)
		session_free(s);
}

static void start_work(member_t *member)
{
	while (member->queue != NULL && member->slots_used < config.slots) {
		work_t *work = member->queue;
		double ms = random_exponential(config.work_ms);

		member->queue = work->next;
		if (work->session->conn == NULL) {
			if (--work->session->users == 0)
				session_free(work->session);
			free(work);
			continue;
		}
		member->slots_used++;
		after_ms(ms > 0.2 ? ms : 0.2, on_work_done, work);
	}
}

static void queue_work(session_t *s, const char *id, const char *text)
{
	work_t *work = calloc(1, sizeof(*work));
	work_t **at = &s->member->queue;

	work->session = s;
	snprintf(work->id, sizeof(work->id), "%s", id);
	snprintf(work->text, sizeof(work->text), "%s", text);
	while (*at != NULL)
		at = &(*at)->next;
	*at = work;
	s->users++;
	s->busy = true;
	s->arrived_at = now_ms();
	start_work(s->member);
}

static int find_prepared(const session_t *s, const char *name)
{
	for (int i = 0; i < s->prepared_count; i++) {
		if (strcmp(s->prepared[i][0], name) == 0)
			return i;
	}
	return -1;
}

static void set_value(session_t *s, const char *name, const char *value)
{
	int at = 0;

	while (at < s->value_count && strcmp(s->values[at][0], name) != 0)
		at++;
	if (at == VALUES_MAX * 4)
		return;
	if (at == s->value_count)
		s->value_count++;
	snprintf(s->values[at][0], sizeof(s->values[0][0]), "%s", name);
	snprintf(s->values[at][1], sizeof(s->values[0][1]), "%s", value);
}

static void prepare(session_t *s, const char *name, bool writes)
{
	int at = find_prepared(s, name);

	if (at < 0 && s->prepared_count < PREPARED_MAX)
		at = s->prepared_count++;
	if (at < 0)
		return;
	snprintf(s->prepared[at][0], sizeof(s->prepared[0][0]), "%s", name);
	s->prepared_writes[at] = writes;
}

static void begin(session_t *s, bool reads)
{
	end_tx(s);
	s->tx = 'T';
	s->tx_read = reads;
}

static void reply_status(session_t *s)
{
	char row[120];
	member_t *member = s->member;

	snprintf(row, sizeof(row), "%s %u %u.%zu 0 %.0f %d %d",
		 member->primary ? "primary" : "replica", term, term, received(member),
		 member->primary ? 0 : config.lag_ms, member->slots_used, member->conns);
	reply_done(s, row, false);
}

/* True if the log lacks the position of an AFTER; *text then begins behind it. */
static bool lacks_position(const session_t *s, const char **text)
{
	unsigned wanted_term;
	size_t wanted;
	int len = 0;

	if (sscanf(*text, "AFTER %u.%zu %n", &wanted_term, &wanted, &len) != 2 || len == 0)
		return false;
	*text += len;
	return wanted_term > term || wanted > applied(s->member);
}

static void run_query(session_t *s, const char *id, const char *text)
{
	char word[24] = "";
	char name[24] = "";
	char third[24] = "";
	char plain[200];
	bool lacks = lacks_position(s, &text);
	bool writes;
	int at;

	sscanf(text, "%23s %23s %23s", word, name, third);
	if (strcmp(word, "STATUS") == 0) {
		reply_status(s);
		return;
	}
	if (strcmp(word, "ROLLBACK") == 0) {
		end_tx(s);
		reply_done(s, NULL, false);
		return;
	}
	if (s->tx == 'E') {
		if (strcmp(word, "COMMIT") == 0) {
			end_tx(s);
			reply_error(s, "ABORTED");
		} else {
			reply_error(s, "MALFORMED");
		}
		return;
	}
	if (lacks) {
		reply_error(s, "LAGGING");
		return;
	}
	if (strcmp(word, "RESET") == 0 || strcmp(word, "SET") == 0 ||
	    strcmp(word, "PREPARE") == 0 || strcmp(word, "BEGIN") == 0) {
		/* A grey member fails a part of all that it is asked, with a good health check. */
		if (is_grey(s->member)) {
			record("%s fails %s", s->member->id, text);
			reply_error(s, "FAILED");
			return;
		}
		if (strcmp(word, "RESET") == 0) {
			s->value_count = 0;
			s->prepared_count = 0;
		} else if (strcmp(word, "SET") == 0) {
			set_value(s, name, third);
		} else if (strcmp(word, "PREPARE") == 0) {
			prepare(s, name, strcmp(third, "WRITE") == 0);
		} else if (strcmp(name, "READ") != 0 && !s->member->primary) {
			reply_error(s, "READONLY");
			return;
		} else {
			begin(s, strcmp(name, "READ") == 0);
		}
		reply_done(s, NULL, false);
		return;
	}
	snprintf(plain, sizeof(plain), "%s", text);
	writes = strcmp(word, "WRITE") == 0;
	if (strcmp(word, "EXEC") == 0) {
		at = find_prepared(s, name);
		if (at < 0) {
			reply_error(s, "NOSTMT");
			return;
		}
		writes = s->prepared_writes[at];
		snprintf(plain, sizeof(plain), "%s %s", writes ? "WRITE" : "READ",
			 text + strlen("EXEC ") + strlen(name) + 1);
	} else if (!writes && strcmp(word, "READ") != 0 && strcmp(word, "COMMIT") != 0) {
		reply_error(s, "MALFORMED");
		return;
	}
	if (!s->member->primary &&
	    (writes || (s->tx == 'T' && !s->tx_read && strcmp(word, "COMMIT") != 0))) {
		reply_error(s, "READONLY");
		return;
	}
	queue_work(s, id, plain);
}

/* --- connections --- */

static void on_handshake_done(void *arg)
{
	session_t *s = arg;

	s->users--;
	if (s->conn == NULL) {
		if (s->users == 0)
			session_free(s);
		return;
	}
	s->started = true;
	s->busy = false;
	reply_ready(s);
	on_input(s->conn);
}

static void refuse(session_t *s, const char *code)
{
	conn_printf(s->conn, "ERR %s %s\r\n", code, s->member->id);
	s->member->conns--;
	conn_close(s->conn);
	s->conn = NULL;
	if (s->users == 0)
		session_free(s);
}

static void on_start(session_t *s, const char *line)
{
	char service[24] = "";
	char who[40] = "";
	char id[24] = "";

	sscanf(line, "START %23s %39s %23s", service, who, id);
	if (strcmp(service, config.service) != 0 || strcmp(id, s->member->id) != 0) {
		refuse(s, "MISROUTED");
		return;
	}
	if (s->member->conns > config.max_conns) {
		refuse(s, "TOOMANY");
		return;
	}
	s->busy = true;
	s->users++;
	after_ms(config.handshake_ms, on_handshake_done, s);
}

static void on_input(conn_t *conn)
{
	session_t *s = conn->owner;
	char line[400];

	while (s->conn != NULL && !s->busy && conn_line(conn, line, sizeof(line))) {
		char id[24] = "";
		int at = 0;

		if (!s->started) {
			on_start(s, line);
			return;
		}
		if (sscanf(line, "QUERY %23s %n", id, &at) == 1 && at != 0) {
			run_query(s, id, line + at);
		} else {
			refuse(s, "MALFORMED");
			return;
		}
	}
}

static void on_closed(conn_t *conn)
{
	session_t *s = conn->owner;

	s->conn = NULL;
	s->member->conns--;
	if (s->tx != 'I' && s->users == 0)
		end_tx(s);
	if (s->users == 0)
		session_free(s);
}

static const conn_ops_t ops = {.on_input = on_input, .on_closed = on_closed};

static void on_accept(conn_t *conn, void *arg)
{
	session_t *s = calloc(1, sizeof(*s));

	s->next = sessions;
	sessions = s;
	s->member = arg;
	s->conn = conn;
	s->tx = 'I';
	s->tx_caller = -1;
	s->member->conns++;
	s->member->accepts++;
	conn->ops = &ops;
	conn->owner = s;
}

/* --- planned replacement --- */

static void close_sessions(const member_t *member)
{
	session_t *next;

	for (session_t *s = sessions; s != NULL; s = next) {
		next = s->next;
		if (s->member != member || s->conn == NULL)
			continue;
		conn_close(s->conn);
		s->conn = NULL;
		if (s->users == 0)
			session_free(s);
	}
}

static void name_member(member_t *member)
{
	snprintf(member->id, sizeof(member->id), "i-%d%04x", member->index, 0x3a91 + id_serial++);
}

static long long wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return ts.tv_sec * 1000LL + ts.tv_nsec / 1000000;
}

/* --- a crash, after which the member starts again under its id, with its log --- */

static void on_registered(void *arg)
{
	member_t *member = arg;

	record("member %s writes its entry, accepted %u connections since its start", member->id,
	       member->accepts);
	list_member(member);
}

static void on_restart(void *arg)
{
	member_t *member = arg;

	member->running = true;
	member->conns = 0;
	member->seq = 0;
	member->accepts = 0;
	member->born = wall_ms() + member->clock_ms;
	record("member %s starts again, born %lld", member->id, member->born);
	listen_again(member->port, on_accept, member, &member->listen_fd);
	after_ms(member->register_ms, on_registered, member);
}

void members_crash(member_t *member, double down_ms, double register_ms)
{
	record("member %s crashes", member->id);
	member->running = false;
	member->register_ms = register_ms;
	listen_stop(member->listen_fd);
	close_sessions(member);
	after_ms(down_ms, on_restart, member);
}

static void on_new_member(void *arg)
{
	member_t *member = arg;

	name_member(member);
	member->born = wall_ms() + member->clock_ms;
	member->running = true;
	member->draining = false;
	member->conns = 0;
	listen_again(member->port, on_accept, member, &member->listen_fd);
	list_member(member);
	record("member %s begins, with the log of the one before", member->id);
}

static void on_drained(void *arg)
{
	member_t *member = arg;
	char key[40];

	snprintf(key, sizeof(key), "servers/%s", member->id);
	record("member %s ends", member->id);
	member->running = false;
	listen_stop(member->listen_fd);
	close_sessions(member);
	store_put(key, NULL);
	after_ms(1000, on_new_member, member);
}

void members_release(member_t *member, double drain_ms)
{
	record("member %s reports draining", member->id);
	member->draining = true;
	member->draining_at = now_ms();
	list_member(member);
	after_ms(drain_ms, on_drained, member);
}

void members_start(const member_config_t *new_config)
{
	config = *new_config;
	for (int i = 0; i < MEMBERS; i++) {
		member_t *member = &members[i];

		member->index = i;
		name_member(member);
		member->born = wall_ms() + member->clock_ms;
		member->port = listen_any(on_accept, member, &member->listen_fd);
		member->running = true;
		member->primary = i == 0;
		list_member(member);
	}
}
