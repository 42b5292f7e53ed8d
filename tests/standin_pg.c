/*
 * Stand-in for a backend server: one member of a database group that speaks the
 * PostgreSQL protocol over a small keyed record store, with asynchronous
 * replication, and obeys seal, promote and follow. Started by tests only.
 *
 * Test controls are SQL too: standin_cut($1), standin_lag($1), standin_stats().
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <getopt.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>

#include "sql.h"

#define CODE_PROTOCOL	196608
#define CODE_SSL	80877103
#define CODE_GSS	80877104
#define CODE_REPLICA	12648430 /* our own: the peer wants our log */
#define MAX_PARAMS	8
#define RETRY_FOLLOW_MS 50

/* One committed transaction: its writes, as key and value in turn. */
typedef struct entry {
	guint64 term;
	GPtrArray *writes;
} entry_t;

typedef enum { PEER_NEW, PEER_SQL, PEER_REPLICA } peer_kind_t;

typedef struct conn {
	int fd;
	peer_kind_t kind;
	GByteArray *in;
	GByteArray *out;
	gint64 ready_at; /* when a new connection is let in */
	gboolean dead;
	gboolean blocked;  /* waits for a lock of another transaction */
	gboolean skipping; /* after an error, until sync */
	char state;	   /* 'I' idle, 'T' in transaction, 'E' failed */
	gboolean read_only;
	char *sql;
	GHashTable *prepared; /* name to text */
	char *params[MAX_PARAMS];
	gint64 last_active;
	gint64 idle_limit; /* microseconds; 0 none */
	gint64 idle_tx_limit;
	gint64 sleep_until;
	gboolean in_slot;  /* its statement has taken a slot and its service time */
	GPtrArray *writes; /* of the open transaction */
	char *claim;	   /* "row/slot" */
	guint64 sent_lsn;  /* to a replica */
} conn_t;

/* An entry received from upstream, applied when its lag is over. */
typedef struct pending {
	gint64 at;
	entry_t entry;
} pending_t;

static struct {
	const char *name;
	int listener;
	guint64 sealed;
	gboolean primary;
	char *upstream; /* host:port we follow */
	int up_fd;
	GByteArray *up_in;
	gint64 up_retry;
	GQueue pending;
	GPtrArray *log;
	GHashTable *records;
	GPtrArray *conns;
	gint64 lag_us;
	gint64 connect_us;
	int slots; /* statements at once; matters when they take time */
	int busy_slots;
	gint64 service_us;
	int max_conns;
	int peak_conns;
	gboolean cut;
	guint64 bytes;	    /* to and from SQL clients */
	gboolean unblocked; /* somebody can go on at once */
} me = {.up_fd = -1, .connect_us = 10000, .max_conns = 15, .slots = 2};

static gint64 now_us(void)
{
	return g_get_monotonic_time();
}

/* --- the log and the records made from it --- */

static void entry_free(void *ptr)
{
	entry_t *entry = ptr;

	g_ptr_array_unref(entry->writes);
	g_free(entry);
}

static void apply_writes(const GPtrArray *writes)
{
	for (guint i = 0; i + 1 < writes->len; i += 2)
		g_hash_table_replace(me.records, g_strdup(writes->pdata[i]),
				     g_strdup(writes->pdata[i + 1]));
}

static void append_entry(guint64 term, GPtrArray *writes)
{
	entry_t *entry = g_new0(entry_t, 1);

	entry->term = term;
	entry->writes = writes;
	g_ptr_array_add(me.log, entry);
	apply_writes(writes);
}

static guint64 last_term(void)
{
	return me.log->len > 0 ? ((entry_t *)me.log->pdata[me.log->len - 1])->term : 0;
}

static void truncate_log(guint64 lsn)
{
	if (lsn >= me.log->len)
		return;
	g_ptr_array_set_size(me.log, (gint)lsn);
	g_hash_table_remove_all(me.records);
	for (guint i = 0; i < me.log->len; i++)
		apply_writes(((entry_t *)me.log->pdata[i])->writes);
}

/* --- protocol out --- */

static void put_u32(GByteArray *out, guint32 value)
{
	guint32 net = htonl(value);

	g_byte_array_append(out, (guint8 *)&net, 4);
}

static void put_u16(GByteArray *out, guint16 value)
{
	guint16 net = htons(value);

	g_byte_array_append(out, (guint8 *)&net, 2);
}

static void put_text(GByteArray *out, const char *text)
{
	g_byte_array_append(out, (const guint8 *)text, (guint)strlen(text) + 1);
}

static void send_message(conn_t *conn, char type, const GByteArray *body)
{
	g_byte_array_append(conn->out, (guint8 *)&type, 1);
	put_u32(conn->out, body->len + 4);
	g_byte_array_append(conn->out, body->data, body->len);
}

static void send_empty(conn_t *conn, char type)
{
	GByteArray *body = g_byte_array_new();

	send_message(conn, type, body);
	g_byte_array_unref(body);
}

static void send_text(conn_t *conn, char type, const char *text)
{
	GByteArray *body = g_byte_array_new();

	put_text(body, text);
	send_message(conn, type, body);
	g_byte_array_unref(body);
}

static void send_ready(conn_t *conn)
{
	GByteArray *body = g_byte_array_new();

	g_byte_array_append(body, (guint8 *)&conn->state, 1);
	send_message(conn, 'Z', body);
	g_byte_array_unref(body);
}

static void send_error(conn_t *conn, const char *state, const char *text)
{
	GByteArray *body = g_byte_array_new();
	const char *const fields[] = {"SERROR", "VERROR", NULL};

	for (int i = 0; fields[i] != NULL; i++)
		put_text(body, fields[i]);
	g_byte_array_append(body, (const guint8 *)"C", 1);
	put_text(body, state);
	g_byte_array_append(body, (const guint8 *)"M", 1);
	put_text(body, text);
	g_byte_array_append(body, (const guint8 *)"", 1);
	send_message(conn, 'E', body);
	g_byte_array_unref(body);
	conn->skipping = TRUE;
	if (conn->state == 'T')
		conn->state = 'E';
}

static void send_columns(conn_t *conn, const char *columns)
{
	GByteArray *body = g_byte_array_new();
	gchar **names = g_strsplit(columns, ",", -1);

	put_u16(body, (guint16)g_strv_length(names));
	for (int i = 0; names[i] != NULL; i++) {
		put_text(body, names[i]);
		put_u32(body, 0);
		put_u16(body, 0);
		put_u32(body, 25); /* text */
		put_u16(body, 0xffff);
		put_u32(body, 0xffffffff);
		put_u16(body, 0);
	}
	send_message(conn, 'T', body);
	g_strfreev(names);
	g_byte_array_unref(body);
}

static void send_row(conn_t *conn, int count, const char *const *values)
{
	GByteArray *body = g_byte_array_new();

	put_u16(body, (guint16)count);
	for (int i = 0; i < count; i++) {
		put_u32(body, (guint32)strlen(values[i]));
		g_byte_array_append(body, (const guint8 *)values[i], (guint)strlen(values[i]));
	}
	send_message(conn, 'D', body);
	g_byte_array_unref(body);
}

/* --- transactions --- */

/* Whoever waits for a lock or a slot may try again. */
static void unblock_all(void)
{
	for (guint i = 0; i < me.conns->len; i++) {
		conn_t *other = me.conns->pdata[i];

		me.unblocked |= other->blocked;
		other->blocked = FALSE;
	}
}

static void clear_tx(conn_t *conn)
{
	g_ptr_array_set_size(conn->writes, 0);
	conn->read_only = FALSE;
	unblock_all();
}

/* Statements take time and so many run at once; FALSE while this one waits or runs. */
static gboolean pass_slot(conn_t *conn)
{
	if (me.service_us == 0 || conn->in_slot)
		return TRUE;
	conn->blocked = TRUE;
	if (me.busy_slots < me.slots) {
		me.busy_slots++;
		conn->in_slot = TRUE;
		conn->sleep_until = now_us() + me.service_us;
	}
	return FALSE;
}

static void leave_slot(conn_t *conn)
{
	if (!conn->in_slot)
		return;
	conn->in_slot = FALSE;
	conn->sleep_until = 0;
	me.busy_slots--;
	unblock_all();
}

static const char *find_write(const GPtrArray *writes, const char *key)
{
	for (guint i = writes->len; i >= 2; i -= 2) {
		if (strcmp(writes->pdata[i - 2], key) == 0)
			return writes->pdata[i - 1];
	}
	return NULL;
}

/* As the transaction sees it: its own writes first. */
static const char *read_key(conn_t *conn, const char *key)
{
	const char *own = find_write(conn->writes, key);

	return own != NULL ? own : g_hash_table_lookup(me.records, key);
}

/* Another open transaction has written the key: wait for its end, as for a row lock. */
static gboolean is_locked(conn_t *conn, const char *key)
{
	for (guint i = 0; i < me.conns->len; i++) {
		conn_t *other = me.conns->pdata[i];

		if (other != conn && !other->dead && find_write(other->writes, key) != NULL) {
			conn->blocked = TRUE;
			return TRUE;
		}
	}
	return FALSE;
}

static gboolean commit(conn_t *conn)
{
	GPtrArray *writes = conn->writes;

	conn->state = 'I';
	if (writes->len == 0) {
		clear_tx(conn);
		return TRUE;
	}
	if (!me.primary) {
		clear_tx(conn);
		send_error(conn, "25006", "this member is no longer primary");
		return FALSE;
	}
	conn->writes = g_ptr_array_new_with_free_func(g_free);
	append_entry(me.sealed, writes);
	clear_tx(conn);
	return TRUE;
}

/* Note a write; outside a transaction it commits at once. FALSE after an error or a lock. */
static gboolean write_key(conn_t *conn, const char *key, const char *value)
{
	if (!me.primary || conn->read_only) {
		send_error(conn, "25006", "cannot write in a read-only transaction");
		return FALSE;
	}
	if (is_locked(conn, key))
		return FALSE;
	g_ptr_array_add(conn->writes, g_strdup(key));
	g_ptr_array_add(conn->writes, g_strdup(value));
	return conn->state == 'T' || commit(conn);
}

/* --- statements --- */

static void complete(conn_t *conn, const char *tag)
{
	send_text(conn, 'C', tag);
}

static void do_begin(conn_t *conn)
{
	conn->state = 'T';
	conn->read_only = strcmp(conn->sql, "BEGIN READ ONLY") == 0;
	complete(conn, "BEGIN");
}

static void do_commit(conn_t *conn)
{
	if (conn->state == 'E') {
		conn->state = 'I';
		clear_tx(conn);
		complete(conn, "ROLLBACK");
	} else if (commit(conn)) {
		complete(conn, "COMMIT");
	}
}

static void do_rollback(conn_t *conn)
{
	conn->state = 'I';
	clear_tx(conn);
	complete(conn, "ROLLBACK");
}

static void send_report(conn_t *conn, gboolean accepted)
{
	char *text = g_strdup_printf("%d %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %u %d",
				     accepted, me.sealed, last_term(), me.log->len, me.primary);
	const char *row = text;

	send_row(conn, 1, &row);
	complete(conn, "SELECT 1");
	g_free(text);
}

static void drop_upstream(void)
{
	if (me.up_fd >= 0)
		close(me.up_fd);
	me.up_fd = -1;
	g_byte_array_set_size(me.up_in, 0);
	while (!g_queue_is_empty(&me.pending)) {
		pending_t *pending = g_queue_pop_head(&me.pending);

		g_ptr_array_unref(pending->entry.writes);
		g_free(pending);
	}
}

static void drop_replicas(void)
{
	for (guint i = 0; i < me.conns->len; i++) {
		conn_t *conn = me.conns->pdata[i];

		conn->dead |= conn->kind == PEER_REPLICA;
	}
}

static guint64 param_number(const conn_t *conn, int i)
{
	return conn->params[i] != NULL ? g_ascii_strtoull(conn->params[i], NULL, 10) : 0;
}

static void seal(guint64 term)
{
	me.sealed = term;
	me.primary = FALSE;
	drop_upstream();
	drop_replicas();
}

static void do_report(conn_t *conn)
{
	send_report(conn, TRUE);
}

static void do_seal(conn_t *conn)
{
	guint64 term = param_number(conn, 0);
	gboolean ok = term > me.sealed;

	if (ok) {
		seal(term);
		g_free(me.upstream);
		me.upstream = NULL;
	}
	send_report(conn, ok);
}

static void do_promote(conn_t *conn)
{
	gboolean ok = param_number(conn, 0) == me.sealed;

	if (ok && !me.primary) {
		me.primary = TRUE;
		append_entry(me.sealed, g_ptr_array_new_with_free_func(g_free));
	}
	send_report(conn, ok);
}

static void do_follow(conn_t *conn)
{
	guint64 term = param_number(conn, 0);
	gboolean ok = term >= me.sealed && !(me.primary && term == me.sealed);
	gboolean already = term == me.sealed && g_strcmp0(me.upstream, conn->params[1]) == 0;

	if (ok && !already) {
		seal(term);
		g_free(me.upstream);
		me.upstream = g_strdup(conn->params[1]);
		me.up_retry = 0;
	}
	send_report(conn, ok);
}

static void send_value(conn_t *conn, const char *value);

static gboolean claim_taken(const char *claim)
{
	for (guint i = 0; i < me.conns->len; i++) {
		const conn_t *other = me.conns->pdata[i];

		if (!other->dead && g_strcmp0(other->claim, claim) == 0)
			return TRUE;
	}
	return FALSE;
}

static void do_claim(conn_t *conn)
{
	guint64 limit = param_number(conn, 1);

	for (guint64 slot = 0; slot < limit; slot++) {
		char *claim = g_strdup_printf("%s/%" G_GUINT64_FORMAT, conn->params[0], slot);
		char text[24];
		const char *row[] = {text};

		if (claim_taken(claim)) {
			g_free(claim);
			continue;
		}
		conn->claim = claim;
		snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, slot);
		send_row(conn, 1, row);
		complete(conn, "SELECT 1");
		return;
	}
	complete(conn, "SELECT 0");
}

static void do_evict(conn_t *conn)
{
	char *prefix = g_strdup_printf("%s/", conn->params[0]);
	gboolean ended = FALSE;

	for (guint i = 0; i < me.conns->len && !ended; i++) {
		conn_t *other = me.conns->pdata[i];

		if (other == conn || other->dead || other->claim == NULL ||
		    !g_str_has_prefix(other->claim, prefix))
			continue;
		other->dead = TRUE;
		ended = TRUE;
	}
	g_free(prefix);
	send_value(conn, ended ? "t" : NULL);
}

static void do_insert_id(conn_t *conn)
{
	char *key = g_strdup_printf("request:%s", conn->params[0]);

	if (!is_locked(conn, key)) {
		if (read_key(conn, key) != NULL)
			send_error(conn, "23505", "duplicate request id");
		else if (write_key(conn, key, ""))
			complete(conn, "INSERT 0 1");
	}
	g_free(key);
}

static void do_store_answer(conn_t *conn)
{
	char *key = g_strdup_printf("request:%s", conn->params[0]);

	if (write_key(conn, key, conn->params[1]))
		complete(conn, "UPDATE 1");
	g_free(key);
}

static void send_value(conn_t *conn, const char *value)
{
	if (value != NULL)
		send_row(conn, 1, &value);
	complete(conn, value != NULL ? "SELECT 1" : "SELECT 0");
}

static void do_find_answer(conn_t *conn)
{
	char *key = g_strdup_printf("request:%s", conn->params[0]);

	send_value(conn, read_key(conn, key));
	g_free(key);
}

static void do_select(conn_t *conn)
{
	send_value(conn, read_key(conn, conn->params[0]));
}

static void do_put(conn_t *conn)
{
	if (write_key(conn, conn->params[0], conn->params[1]))
		complete(conn, "INSERT 0 1");
}

static void do_insert(conn_t *conn)
{
	if (is_locked(conn, conn->params[0]))
		return;
	if (read_key(conn, conn->params[0]) != NULL)
		send_error(conn, "23505", "duplicate key");
	else
		do_put(conn);
}

static void do_increment(conn_t *conn)
{
	const char *old;
	char text[24];

	if (is_locked(conn, conn->params[0]))
		return;
	old = read_key(conn, conn->params[0]);
	snprintf(text, sizeof(text), "%d", (old != NULL ? atoi(old) : 0) + 1);
	if (!write_key(conn, conn->params[0], text))
		return;
	send_value(conn, text);
}

static void do_sleep(conn_t *conn)
{
	if (conn->sleep_until == 0) {
		conn->sleep_until = now_us() + (gint64)(g_strtod(conn->params[0], NULL) * 1e6);
		conn->blocked = TRUE;
		return;
	}
	conn->sleep_until = 0;
	send_value(conn, "");
}

static void do_cut(conn_t *conn)
{
	me.cut = g_strcmp0(conn->params[0], "true") == 0;
	if (me.cut) {
		drop_upstream();
		drop_replicas();
	}
	send_report(conn, TRUE);
}

static void do_lag(conn_t *conn)
{
	me.lag_us = (gint64)param_number(conn, 0) * 1000;
	send_report(conn, TRUE);
}

static void do_stats(conn_t *conn)
{
	char conns[24];
	char peak[24];
	char bytes[24];
	const char *row[] = {bytes, conns, peak};

	snprintf(conns, sizeof(conns), "%u", me.conns->len);
	snprintf(peak, sizeof(peak), "%d", me.peak_conns);
	snprintf(bytes, sizeof(bytes), "%" G_GUINT64_FORMAT, me.bytes);
	send_row(conn, 3, row);
	complete(conn, "SELECT 1");
}

#define REPORT_COLUMNS "report"

typedef struct statement {
	const char *sql;
	const char *columns; /* NULL: returns no rows */
	void (*run)(conn_t *conn);
	gboolean is_records; /* works on the record store, so it takes a slot */
} statement_t;

static const statement_t statements[] = {
	{"BEGIN", NULL, do_begin, FALSE},
	{"BEGIN READ ONLY", NULL, do_begin, FALSE},
	{"COMMIT", NULL, do_commit, FALSE},
	{"ROLLBACK", NULL, do_rollback, FALSE},
	{SQL_REPORT, REPORT_COLUMNS, do_report, FALSE},
	{SQL_SEAL, REPORT_COLUMNS, do_seal, FALSE},
	{SQL_PROMOTE, REPORT_COLUMNS, do_promote, FALSE},
	{SQL_FOLLOW, REPORT_COLUMNS, do_follow, FALSE},
	{SQL_CLAIM, "slot", do_claim, FALSE},
	{SQL_EVICT, "pg_terminate_backend", do_evict, FALSE},
	{SQL_INSERT_ID, NULL, do_insert_id, FALSE},
	{SQL_STORE_ANSWER, NULL, do_store_answer, FALSE},
	{SQL_FIND_ANSWER, "answer", do_find_answer, FALSE},
	{"SELECT value FROM records WHERE key = $1", "value", do_select, TRUE},
	{"INSERT INTO records (key, value) VALUES ($1, $2)", NULL, do_insert, TRUE},
	{"INSERT INTO records (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = $2",
	 NULL, do_put, TRUE},
	{"UPDATE records SET value = value + 1 WHERE key = $1 RETURNING value", "value",
	 do_increment, TRUE},
	{"SELECT pg_sleep($1)", "pg_sleep", do_sleep, FALSE},
	{"SELECT standin_cut($1)", REPORT_COLUMNS, do_cut, FALSE},
	{"SELECT standin_lag($1)", REPORT_COLUMNS, do_lag, FALSE},
	{"SELECT standin_stats()", "bytes,connections,peak", do_stats, FALSE},
};

static const statement_t *find_statement(const char *sql)
{
	for (guint i = 0; i < G_N_ELEMENTS(statements); i++) {
		if (g_strcmp0(statements[i].sql, sql) == 0)
			return &statements[i];
	}
	return NULL;
}

/* FALSE when it has to be tried again later. */
static gboolean execute(conn_t *conn)
{
	const statement_t *statement = find_statement(conn->sql);

	if (statement == NULL) {
		send_error(conn, "42601", "syntax error");
		return TRUE;
	}
	if (conn->state == 'E' && statement->run != do_commit && statement->run != do_rollback) {
		send_error(conn, "25P02", "current transaction is aborted");
		return TRUE;
	}
	conn->blocked = FALSE;
	if (statement->is_records && !pass_slot(conn))
		return FALSE;
	if (statement->is_records)
		conn->sleep_until = 0;
	statement->run(conn);
	if (!conn->blocked)
		leave_slot(conn);
	return !conn->blocked;
}

/* --- protocol in --- */

static void set_sql(conn_t *conn, const char *sql)
{
	g_free(conn->sql);
	conn->sql = g_strdup(sql);
}

static guint16 get_u16(const guint8 *at)
{
	return (guint16)(at[0] << 8 | at[1]);
}

static guint32 get_u32(const guint8 *at)
{
	return (guint32)at[0] << 24 | (guint32)at[1] << 16 | (guint32)at[2] << 8 | at[3];
}

static void take_bind(conn_t *conn, const guint8 *at)
{
	guint16 count;

	at += strlen((const char *)at) + 1; /* portal */
	set_sql(conn, g_hash_table_lookup(conn->prepared, at));
	at += strlen((const char *)at) + 1; /* statement */
	at += 2 + 2 * get_u16(at);	    /* formats */
	count = get_u16(at);
	at += 2;
	for (int i = 0; i < MAX_PARAMS; i++) {
		g_clear_pointer(&conn->params[i], g_free);
		if (i >= count)
			continue;
		gint32 len = (gint32)get_u32(at);

		at += 4;
		if (len < 0)
			continue;
		conn->params[i] = g_strndup((const char *)at, (gsize)len);
		at += len;
	}
	send_empty(conn, '2');
}

static void describe(conn_t *conn)
{
	const statement_t *statement = find_statement(conn->sql);

	if (statement == NULL)
		send_error(conn, "42601", "syntax error");
	else if (statement->columns != NULL)
		send_columns(conn, statement->columns);
	else
		send_empty(conn, 'n');
}

static void simple_query(conn_t *conn, const char *sql)
{
	const statement_t *statement = find_statement(sql);

	set_sql(conn, sql);
	if (statement != NULL && statement->columns != NULL)
		send_columns(conn, statement->columns);
	execute(conn);
	conn->skipping = FALSE;
	send_ready(conn);
}

/* FALSE when the message has to be tried again later. */
static gboolean take_message(conn_t *conn, char type, const guint8 *body)
{
	if (type == 'S') {
		conn->skipping = FALSE;
		send_ready(conn);
		return TRUE;
	}
	if (type == 'X') {
		conn->dead = TRUE;
		return TRUE;
	}
	if (conn->skipping)
		return TRUE;
	switch (type) {
	case 'P':
		g_hash_table_replace(conn->prepared, g_strdup((const char *)body),
				     g_strdup((const char *)body + strlen((const char *)body) + 1));
		send_empty(conn, '1');
		return TRUE;
	case 'B':
		take_bind(conn, body);
		return TRUE;
	case 'D':
		describe(conn);
		return TRUE;
	case 'E':
		return execute(conn);
	case 'Q':
		simple_query(conn, (const char *)body);
		return TRUE;
	case 'C':
		send_empty(conn, '3');
		return TRUE;
	default:
		return TRUE;
	}
}

static int count_sql_conns(void)
{
	int n = 0;

	for (guint i = 0; i < me.conns->len; i++) {
		const conn_t *conn = me.conns->pdata[i];

		n += !conn->dead && conn->kind == PEER_SQL;
	}
	return n;
}

static void let_in(conn_t *conn)
{
	GByteArray *body = g_byte_array_new();
	int count;

	conn->kind = PEER_SQL;
	count = count_sql_conns();
	if (count > me.max_conns) {
		send_error(conn, "53300", "too many connections");
		conn->dead = TRUE;
		g_byte_array_unref(body);
		return;
	}
	me.peak_conns = MAX(me.peak_conns, count);
	put_u32(body, 0);
	send_message(conn, 'R', body);
	g_byte_array_set_size(body, 0);
	put_text(body, "server_version");
	put_text(body, "15.0");
	send_message(conn, 'S', body);
	g_byte_array_set_size(body, 0);
	put_text(body, "client_encoding");
	put_text(body, "UTF8");
	send_message(conn, 'S', body);
	g_byte_array_unref(body);
	send_ready(conn);
}

/* Lines of a replica's greeting: its sealed term, then TERM:LSN of each term's end. */
static void welcome_replica(conn_t *conn, char *text)
{
	gchar **words = g_strsplit(text, " ", -1);
	guint64 term = g_ascii_strtoull(words[0], NULL, 10);
	guint64 common = 0;
	char *line;

	if (!me.primary || term != me.sealed || me.cut) {
		conn->dead = TRUE;
		g_strfreev(words);
		return;
	}
	for (int i = 1; words[i] != NULL; i++) {
		char *colon = strchr(words[i], ':');
		guint64 their_term = g_ascii_strtoull(words[i], NULL, 10);
		guint64 end = colon != NULL ? g_ascii_strtoull(colon + 1, NULL, 10) : 0;

		for (guint64 lsn = common; lsn < end && lsn < me.log->len; lsn++) {
			if (((entry_t *)me.log->pdata[lsn])->term != their_term)
				break;
			common = lsn + 1;
		}
		if (common < end)
			break;
	}
	conn->kind = PEER_REPLICA;
	conn->sent_lsn = common;
	line = g_strdup_printf("T %" G_GUINT64_FORMAT "\n", common);
	g_byte_array_append(conn->out, (guint8 *)line, (guint)strlen(line));
	g_free(line);
	g_strfreev(words);
}

/* A number of milliseconds that the client asked for in its startup options. */
static gint64 startup_option(const guint8 *data, guint32 len, const char *name)
{
	const char *at = memmem(data, len, name, strlen(name));

	return at != NULL ? g_ascii_strtoll(at + strlen(name), NULL, 10) * 1000 : 0;
}

/* The first message has no type. FALSE if it is not whole yet. */
static gboolean take_startup(conn_t *conn)
{
	guint32 len;
	guint32 code;
	char *text;

	if (conn->in->len < 8)
		return FALSE;
	len = get_u32(conn->in->data);
	if (conn->in->len < len)
		return FALSE;
	code = get_u32(conn->in->data + 4);
	text = g_strndup((const char *)conn->in->data + 8, len - 8);
	conn->idle_limit = startup_option(conn->in->data, len, " idle_session_timeout=");
	conn->idle_tx_limit =
		startup_option(conn->in->data, len, " idle_in_transaction_session_timeout=");
	g_byte_array_remove_range(conn->in, 0, len);
	if (code == CODE_SSL || code == CODE_GSS)
		g_byte_array_append(conn->out, (const guint8 *)"N", 1);
	else if (code == CODE_REPLICA)
		welcome_replica(conn, text);
	else if (code == CODE_PROTOCOL)
		let_in(conn);
	else
		conn->dead = TRUE;
	g_free(text);
	return TRUE;
}

static void take_input(conn_t *conn)
{
	while (!conn->dead && conn->kind == PEER_NEW && now_us() >= conn->ready_at) {
		if (!take_startup(conn))
			return;
	}
	while (!conn->dead && conn->kind == PEER_SQL && conn->in->len >= 5) {
		guint32 len = get_u32(conn->in->data + 1);

		if (conn->in->len < len + 1)
			return;
		if (conn->blocked ||
		    !take_message(conn, (char)conn->in->data[0], conn->in->data + 5))
			return;
		g_byte_array_remove_range(conn->in, 0, len + 1);
	}
}

/* --- replication --- */

static void feed_replica(conn_t *conn)
{
	while (conn->sent_lsn < me.log->len) {
		const entry_t *entry = me.log->pdata[conn->sent_lsn++];
		GString *line = g_string_new(NULL);

		g_string_printf(line, "E %" G_GUINT64_FORMAT " %u", entry->term,
				entry->writes->len);
		for (guint i = 0; i < entry->writes->len; i++) {
			gchar *safe = g_base64_encode(entry->writes->pdata[i],
						      strlen(entry->writes->pdata[i]));

			g_string_append_printf(line, " .%s", safe);
			g_free(safe);
		}
		g_string_append_c(line, '\n');
		g_byte_array_append(conn->out, (guint8 *)line->str, (guint)line->len);
		g_string_free(line, TRUE);
	}
}

static void take_up_line(const char *line)
{
	gchar **words = g_strsplit(line, " ", -1);
	pending_t *pending;

	if (strcmp(words[0], "T") == 0) {
		truncate_log(g_ascii_strtoull(words[1], NULL, 10));
		g_strfreev(words);
		return;
	}
	pending = g_new0(pending_t, 1);
	pending->at = now_us() + me.lag_us;
	pending->entry.term = g_ascii_strtoull(words[1], NULL, 10);
	pending->entry.writes = g_ptr_array_new_with_free_func(g_free);
	for (int i = 3; words[i] != NULL; i++) {
		gsize len;
		guchar *raw = g_base64_decode(words[i] + 1, &len);

		g_ptr_array_add(pending->entry.writes, g_strndup((char *)raw, len));
		g_free(raw);
	}
	g_queue_push_tail(&me.pending, pending);
	g_strfreev(words);
}

static void take_upstream(void)
{
	guint8 *end;

	while ((end = memchr(me.up_in->data, '\n', me.up_in->len)) != NULL) {
		guint len = (guint)(end - me.up_in->data);
		char *line = g_strndup((char *)me.up_in->data, len);

		g_byte_array_remove_range(me.up_in, 0, len + 1);
		take_up_line(line);
		g_free(line);
	}
}

static void apply_due(void)
{
	while (!g_queue_is_empty(&me.pending)) {
		pending_t *pending = g_queue_peek_head(&me.pending);

		if (pending->at > now_us())
			return;
		g_queue_pop_head(&me.pending);
		append_entry(pending->entry.term, pending->entry.writes);
		g_free(pending);
	}
}

static void greet_upstream(void)
{
	GString *text = g_string_new(NULL);
	GByteArray *out = g_byte_array_new();

	g_string_printf(text, "%" G_GUINT64_FORMAT, me.sealed);
	for (guint i = 0; i < me.log->len; i++) {
		guint64 term = ((entry_t *)me.log->pdata[i])->term;

		if (i + 1 == me.log->len || ((entry_t *)me.log->pdata[i + 1])->term != term)
			g_string_append_printf(text, " %" G_GUINT64_FORMAT ":%u", term, i + 1);
	}
	put_u32(out, 8 + (guint32)text->len);
	put_u32(out, CODE_REPLICA);
	g_byte_array_append(out, (guint8 *)text->str, (guint)text->len);
	if (write(me.up_fd, out->data, out->len) != (ssize_t)out->len)
		drop_upstream();
	g_byte_array_unref(out);
	g_string_free(text, TRUE);
}

static void connect_upstream(void)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	gchar **parts;

	if (me.upstream == NULL || me.up_fd >= 0 || me.cut || now_us() < me.up_retry)
		return;
	me.up_retry = now_us() + RETRY_FOLLOW_MS * 1000;
	parts = g_strsplit(me.upstream, ":", 2);
	inet_pton(AF_INET, parts[0], &sin.sin_addr);
	sin.sin_port = htons((guint16)atoi(parts[1]));
	g_strfreev(parts);
	me.up_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(me.up_fd, (struct sockaddr *)&sin, sizeof(sin)) < 0) {
		drop_upstream();
		return;
	}
	greet_upstream();
}

/* --- sockets --- */

static void conn_free(void *ptr)
{
	conn_t *conn = ptr;

	leave_slot(conn);
	close(conn->fd);
	g_byte_array_unref(conn->in);
	g_byte_array_unref(conn->out);
	g_ptr_array_unref(conn->writes);
	g_hash_table_unref(conn->prepared);
	for (int i = 0; i < MAX_PARAMS; i++)
		g_free(conn->params[i]);
	g_free(conn->sql);
	g_free(conn->claim);
	g_free(conn);
}

static void accept_conn(void)
{
	int fd = accept4(me.listener, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
	conn_t *conn;
	int on = 1;

	if (fd < 0)
		return;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	conn = g_new0(conn_t, 1);
	conn->fd = fd;
	conn->state = 'I';
	conn->ready_at = now_us() + me.connect_us;
	conn->in = g_byte_array_new();
	conn->out = g_byte_array_new();
	conn->writes = g_ptr_array_new_with_free_func(g_free);
	conn->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_ptr_array_add(me.conns, conn);
}

/* Append what fd has; FALSE at its end. */
static gboolean receive(int fd, GByteArray *in)
{
	guint8 buffer[65536];
	ssize_t n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);

	if (n < 0)
		return errno == EAGAIN || errno == EINTR;
	if (n == 0)
		return FALSE;
	g_byte_array_append(in, buffer, (guint)n);
	return TRUE;
}

static void flush(conn_t *conn)
{
	ssize_t n;

	if (conn->out->len == 0)
		return;
	n = send(conn->fd, conn->out->data, conn->out->len, MSG_DONTWAIT | MSG_NOSIGNAL);
	if (n > 0 && conn->kind == PEER_SQL)
		me.bytes += (guint64)n;
	if (n > 0)
		g_byte_array_remove_range(conn->out, 0, (guint)n);
	else if (n < 0 && errno != EAGAIN)
		conn->dead = TRUE;
}

/* A connection that ends takes its transaction with it: nothing half done stays. */
static void bury_dead(void)
{
	for (guint i = 0; i < me.conns->len;) {
		conn_t *conn = me.conns->pdata[i];

		if (!conn->dead) {
			i++;
			continue;
		}
		flush(conn);
		clear_tx(conn);
		g_ptr_array_remove_index(me.conns, i);
	}
}

static void wake_sleepers(void)
{
	for (guint i = 0; i < me.conns->len; i++) {
		conn_t *conn = me.conns->pdata[i];

		if (conn->sleep_until != 0)
			conn->blocked = now_us() < conn->sleep_until;
	}
}

static void end_idle_sessions(void)
{
	for (guint i = 0; i < me.conns->len; i++) {
		conn_t *conn = me.conns->pdata[i];
		gint64 limit = conn->state == 'I' ? conn->idle_limit : conn->idle_tx_limit;

		if (conn->kind == PEER_SQL && limit != 0 && !conn->blocked &&
		    conn->last_active != 0 && now_us() - conn->last_active > limit)
			conn->dead = TRUE;
	}
}

static void work(void)
{
	me.unblocked = FALSE;
	connect_upstream();
	apply_due();
	wake_sleepers();
	end_idle_sessions();
	for (guint i = 0; i < me.conns->len; i++) {
		conn_t *conn = me.conns->pdata[i];

		take_input(conn);
		if (conn->kind == PEER_REPLICA)
			feed_replica(conn);
		flush(conn);
	}
	bury_dead();
}

static int wait_ms(void)
{
	if (me.unblocked)
		return 0;
	for (guint i = 0; i < me.conns->len; i++) {
		const conn_t *conn = me.conns->pdata[i];

		if (conn->sleep_until != 0 || (conn->kind == PEER_NEW && conn->in->len > 0))
			return 1;
	}
	if (!g_queue_is_empty(&me.pending))
		return 1;
	return me.upstream != NULL && me.up_fd < 0 ? RETRY_FOLLOW_MS : 200;
}

static void poll_once(void)
{
	guint count = me.conns->len;
	struct pollfd *fds = g_new0(struct pollfd, count + 2);

	for (guint i = 0; i < count; i++) {
		const conn_t *conn = me.conns->pdata[i];

		fds[i].fd = conn->fd;
		fds[i].events = (short)(POLLIN | (conn->out->len > 0 ? POLLOUT : 0));
	}
	fds[count].fd = me.listener;
	fds[count].events = POLLIN;
	fds[count + 1].fd = me.up_fd;
	fds[count + 1].events = POLLIN;
	poll(fds, count + 2, wait_ms());
	for (guint i = 0; i < count; i++) {
		conn_t *conn = me.conns->pdata[i];

		guint before = conn->in->len;

		if (fds[i].revents != 0 && !receive(conn->fd, conn->in))
			conn->dead = TRUE;
		if (conn->kind == PEER_SQL)
			me.bytes += conn->in->len - before;
	}
	if (fds[count].revents != 0)
		accept_conn();
	if (fds[count + 1].revents != 0) {
		if (receive(me.up_fd, me.up_in))
			take_upstream();
		else
			drop_upstream();
	}
	g_free(fds);
}

static int listen_on(int port)
{
	struct sockaddr_in sin = {
		.sin_family = AF_INET,
		.sin_port = htons((guint16)port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 || listen(fd, 256) < 0)
		g_error("can't listen on port %d", port);
	return fd;
}

int main(int argc, char **argv)
{
	static const struct option longopts[] = {
		{"name", required_argument, NULL, 'n'},
		{"port", required_argument, NULL, 'p'},
		{"primary", no_argument, NULL, 'P'},
		{"follow", required_argument, NULL, 'f'},
		{"lag-ms", required_argument, NULL, 'l'},
		{"max-conns", required_argument, NULL, 'm'},
		{"slots", required_argument, NULL, 's'},
		{"service-us", required_argument, NULL, 'S'},
		{"connect-ms", required_argument, NULL, 'c'},
		{NULL, 0, NULL, 0},
	};
	int port = 0;
	int opt;

	signal(SIGPIPE, SIG_IGN);
	while ((opt = getopt_long(argc, argv, "", longopts, NULL)) != -1) {
		switch (opt) {
		case 'n':
			me.name = optarg;
			break;
		case 'p':
			port = atoi(optarg);
			break;
		case 'P':
			me.primary = TRUE;
			break;
		case 'f':
			me.upstream = g_strdup(optarg);
			break;
		case 'l':
			me.lag_us = (gint64)atoi(optarg) * 1000;
			break;
		case 's':
			me.slots = atoi(optarg);
			break;
		case 'S':
			me.service_us = atoi(optarg);
			break;
		case 'm':
			me.max_conns = atoi(optarg);
			break;
		case 'c':
			me.connect_us = (gint64)atoi(optarg) * 1000;
			break;
		default:
			return 2;
		}
	}
	me.sealed = 1;
	me.log = g_ptr_array_new_with_free_func(entry_free);
	me.records = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	me.conns = g_ptr_array_new_with_free_func(conn_free);
	me.up_in = g_byte_array_new();
	g_queue_init(&me.pending);
	if (me.primary)
		append_entry(1, g_ptr_array_new_with_free_func(g_free));
	me.listener = listen_on(port);
	for (;;) {
		poll_once();
		work();
	}
}
