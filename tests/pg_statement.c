#include "pg_statement.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pg_log.h"
#include "pg_out.h"
#include "pg_replica.h"
#include "pg_tx.h"
#include "sql.h"

static void complete(conn_t *conn, const char *tag)
{
	pg_send_text(conn, 'C', tag);
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
		pg_tx_clear(conn);
		complete(conn, "ROLLBACK");
	} else if (pg_tx_commit(conn)) {
		complete(conn, "COMMIT");
	}
}

static void do_rollback(conn_t *conn)
{
	conn->state = 'I';
	pg_tx_clear(conn);
	complete(conn, "ROLLBACK");
}

static void send_report(conn_t *conn, gboolean accepted)
{
	char *text =
		g_strdup_printf("%d %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %u %d", accepted,
				me.sealed, pg_log_last_term(), me.log->len, me.primary);
	const char *row = text;

	pg_send_row(conn, 1, &row);
	complete(conn, "SELECT 1");
	g_free(text);
}

static guint64 param_number(const conn_t *conn, int i)
{
	return conn->params[i] != NULL ? g_ascii_strtoull(conn->params[i], NULL, 10) : 0;
}

static void seal(guint64 term)
{
	me.sealed = term;
	me.primary = FALSE;
	pg_replica_drop_upstream();
	pg_replica_drop_all();
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
		pg_log_append(me.sealed, g_ptr_array_new_with_free_func(g_free));
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
		pg_send_row(conn, 1, row);
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

	if (!pg_tx_is_locked(conn, key)) {
		if (pg_tx_read(conn, key) != NULL)
			pg_send_error(conn, "23505", "duplicate request id");
		else if (pg_tx_write(conn, key, ""))
			complete(conn, "INSERT 0 1");
	}
	g_free(key);
}

static void do_store_answer(conn_t *conn)
{
	char *key = g_strdup_printf("request:%s", conn->params[0]);

	if (pg_tx_write(conn, key, conn->params[1]))
		complete(conn, "UPDATE 1");
	g_free(key);
}

static void send_value(conn_t *conn, const char *value)
{
	if (value != NULL)
		pg_send_row(conn, 1, &value);
	complete(conn, value != NULL ? "SELECT 1" : "SELECT 0");
}

static void do_find_answer(conn_t *conn)
{
	char *key = g_strdup_printf("request:%s", conn->params[0]);

	send_value(conn, pg_tx_read(conn, key));
	g_free(key);
}

static void do_select(conn_t *conn)
{
	send_value(conn, pg_tx_read(conn, conn->params[0]));
}

static void do_put(conn_t *conn)
{
	if (pg_tx_write(conn, conn->params[0], conn->params[1]))
		complete(conn, "INSERT 0 1");
}

static void do_insert(conn_t *conn)
{
	if (pg_tx_is_locked(conn, conn->params[0]))
		return;
	if (pg_tx_read(conn, conn->params[0]) != NULL)
		pg_send_error(conn, "23505", "duplicate key");
	else
		do_put(conn);
}

static void do_increment(conn_t *conn)
{
	const char *old;
	char text[24];

	if (pg_tx_is_locked(conn, conn->params[0]))
		return;
	old = pg_tx_read(conn, conn->params[0]);
	snprintf(text, sizeof(text), "%d", (old != NULL ? atoi(old) : 0) + 1);
	if (!pg_tx_write(conn, conn->params[0], text))
		return;
	send_value(conn, text);
}

static void do_sleep(conn_t *conn)
{
	if (conn->sleep_until == 0) {
		conn->sleep_until = pg_now_us() + (gint64)(g_strtod(conn->params[0], NULL) * 1e6);
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
		pg_replica_drop_upstream();
		pg_replica_drop_all();
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
	pg_send_row(conn, 3, row);
	complete(conn, "SELECT 1");
}

#define REPORT_COLUMNS "report"

static const pg_statement_t statements[] = {
	{"BEGIN", NULL, do_begin, FALSE},
	{"BEGIN READ ONLY", NULL, do_begin, FALSE},
	{"COMMIT", NULL, do_commit, FALSE},
	{"ROLLBACK", NULL, do_rollback, FALSE},
	{SQL_REPORT, REPORT_COLUMNS, do_report, FALSE},
	{SQL_SEAL, REPORT_COLUMNS, do_seal, FALSE},
	{SQL_PROMOTE, REPORT_COLUMNS, do_promote, FALSE},
	{SQL_FOLLOW, REPORT_COLUMNS, do_follow, FALSE},
	{SQL_CLAIM_SLOT, "slot", do_claim, FALSE},
	{SQL_EVICT_SESSION, "pg_terminate_backend", do_evict, FALSE},
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

const pg_statement_t *pg_statement_find(const char *sql)
{
	for (guint i = 0; i < G_N_ELEMENTS(statements); i++) {
		if (g_strcmp0(statements[i].sql, sql) == 0)
			return &statements[i];
	}
	return NULL;
}

gboolean pg_statement_execute(conn_t *conn)
{
	const pg_statement_t *statement = pg_statement_find(conn->sql);

	if (statement == NULL) {
		pg_send_error(conn, "42601", "syntax error");
		return TRUE;
	}
	if (conn->state == 'E' && statement->run != do_commit && statement->run != do_rollback) {
		pg_send_error(conn, "25P02", "current transaction is aborted");
		return TRUE;
	}
	conn->blocked = FALSE;
	if (statement->is_records && !pg_slot_pass(conn))
		return FALSE;
	if (statement->is_records)
		conn->sleep_until = 0;
	statement->run(conn);
	if (!conn->blocked)
		pg_slot_leave(conn);
	return !conn->blocked;
}
