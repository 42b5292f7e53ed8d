#include "pg_statement.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pg_log.h"
#include "pg_out.h"
#include "pg_replica.h"
#include "pg_tx.h"
#include "sql.h"

static void send_complete(conn_t *conn, const char *tag)
{
	pg_send_text(conn, 'C', tag);
}

static void run_begin(conn_t *conn)
{
	conn->tx_status = 'T';
	conn->read_only = strcmp(conn->sql, "BEGIN READ ONLY") == 0;
	send_complete(conn, "BEGIN");
}

static void run_commit(conn_t *conn)
{
	if (conn->tx_status == 'E') {
		conn->tx_status = 'I';
		pg_tx_reset(conn);
		send_complete(conn, "ROLLBACK");
	} else if (pg_tx_commit(conn)) {
		send_complete(conn, "COMMIT");
	}
}

static void run_rollback(conn_t *conn)
{
	conn->tx_status = 'I';
	pg_tx_reset(conn);
	send_complete(conn, "ROLLBACK");
}

static void send_report(conn_t *conn, gboolean accepted)
{
	char *text =
		g_strdup_printf("%d %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %u %d", accepted,
				self.sealed_term, pg_log_last_term(), self.log->len, self.primary);
	const char *row = text;

	pg_send_row(conn, 1, &row);
	send_complete(conn, "SELECT 1");
	g_free(text);
}

static guint64 get_param_number(const conn_t *conn, int i)
{
	return conn->params[i] != NULL ? g_ascii_strtoull(conn->params[i], NULL, 10) : 0;
}

/* Adopts the term: the member is no primary any more, and replication in both directions ends. */
static void seal(guint64 term)
{
	self.sealed_term = term;
	self.primary = FALSE;
	pg_replica_close_upstream();
	pg_replica_close_followers();
}

static void run_report(conn_t *conn)
{
	send_report(conn, TRUE);
}

static void run_seal(conn_t *conn)
{
	guint64 term = get_param_number(conn, 0);
	gboolean ok = term > self.sealed_term;

	if (ok) {
		seal(term);
		g_free(self.upstream);
		self.upstream = NULL;
	}
	send_report(conn, ok);
}

static void run_promote(conn_t *conn)
{
	gboolean ok = get_param_number(conn, 0) == self.sealed_term;

	if (ok && !self.primary) {
		self.primary = TRUE;
		pg_log_append(self.sealed_term, g_ptr_array_new_with_free_func(g_free));
	}
	send_report(conn, ok);
}

static void run_follow(conn_t *conn)
{
	guint64 term = get_param_number(conn, 0);
	gboolean ok = term >= self.sealed_term && !(self.primary && term == self.sealed_term);
	gboolean already =
		term == self.sealed_term && g_strcmp0(self.upstream, conn->params[1]) == 0;

	if (ok && !already) {
		seal(term);
		g_free(self.upstream);
		self.upstream = g_strdup(conn->params[1]);
		self.upstream_retry_at = 0;
	}
	send_report(conn, ok);
}

static void send_value(conn_t *conn, const char *value);

static gboolean is_slot_claimed(const char *slot_claim)
{
	for (guint i = 0; i < self.conns->len; i++) {
		const conn_t *other = self.conns->pdata[i];

		if (!other->closing && g_strcmp0(other->slot_claim, slot_claim) == 0)
			return TRUE;
	}
	return FALSE;
}

static void run_claim(conn_t *conn)
{
	guint64 limit = get_param_number(conn, 1);

	for (guint64 slot = 0; slot < limit; slot++) {
		char *slot_claim = g_strdup_printf("%s/%" G_GUINT64_FORMAT, conn->params[0], slot);
		char text[24];
		const char *row[] = {text};

		if (is_slot_claimed(slot_claim)) {
			g_free(slot_claim);
			continue;
		}
		conn->slot_claim = slot_claim;
		snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, slot);
		pg_send_row(conn, 1, row);
		send_complete(conn, "SELECT 1");
		return;
	}
	send_complete(conn, "SELECT 0");
}

static void run_evict(conn_t *conn)
{
	char *prefix = g_strdup_printf("%s/", conn->params[0]);
	gboolean ended = FALSE;

	for (guint i = 0; i < self.conns->len && !ended; i++) {
		conn_t *other = self.conns->pdata[i];

		if (other == conn || other->closing || other->slot_claim == NULL ||
		    !g_str_has_prefix(other->slot_claim, prefix))
			continue;
		other->closing = TRUE;
		ended = TRUE;
	}
	g_free(prefix);
	send_value(conn, ended ? "t" : NULL);
}

static void run_insert_id(conn_t *conn)
{
	char *key = g_strdup_printf("request:%s", conn->params[0]);

	if (!pg_tx_is_locked(conn, key)) {
		if (pg_tx_read(conn, key) != NULL)
			pg_send_error(conn, "23505", "duplicate request id");
		else if (pg_tx_write(conn, key, ""))
			send_complete(conn, "INSERT 0 1");
	}
	g_free(key);
}

static void run_store_answer(conn_t *conn)
{
	char *key = g_strdup_printf("request:%s", conn->params[0]);

	if (pg_tx_write(conn, key, conn->params[1]))
		send_complete(conn, "UPDATE 1");
	g_free(key);
}

static void send_value(conn_t *conn, const char *value)
{
	if (value != NULL)
		pg_send_row(conn, 1, &value);
	send_complete(conn, value != NULL ? "SELECT 1" : "SELECT 0");
}

static void run_find_answer(conn_t *conn)
{
	char *key = g_strdup_printf("request:%s", conn->params[0]);

	send_value(conn, pg_tx_read(conn, key));
	g_free(key);
}

static void run_select(conn_t *conn)
{
	send_value(conn, pg_tx_read(conn, conn->params[0]));
}

static void run_put(conn_t *conn)
{
	if (pg_tx_write(conn, conn->params[0], conn->params[1]))
		send_complete(conn, "INSERT 0 1");
}

static void run_insert(conn_t *conn)
{
	if (pg_tx_is_locked(conn, conn->params[0]))
		return;
	if (pg_tx_read(conn, conn->params[0]) != NULL)
		pg_send_error(conn, "23505", "duplicate key");
	else
		run_put(conn);
}

static void run_increment(conn_t *conn)
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

static void run_sleep(conn_t *conn)
{
	if (conn->busy_until == 0) {
		conn->busy_until = pg_now_us() + (gint64)(g_strtod(conn->params[0], NULL) * 1e6);
		conn->blocked = TRUE;
		return;
	}
	conn->busy_until = 0;
	send_value(conn, "");
}

static void run_isolate(conn_t *conn)
{
	self.isolated = g_strcmp0(conn->params[0], "true") == 0;
	if (self.isolated) {
		pg_replica_close_upstream();
		pg_replica_close_followers();
	}
	send_report(conn, TRUE);
}

static void run_set_lag(conn_t *conn)
{
	self.lag_us = (gint64)get_param_number(conn, 0) * 1000;
	send_report(conn, TRUE);
}

static void run_stats(conn_t *conn)
{
	char conns[24];
	char peak[24];
	char bytes[24];
	const char *row[] = {bytes, conns, peak};

	snprintf(conns, sizeof(conns), "%u", self.conns->len);
	snprintf(peak, sizeof(peak), "%d", self.peak_conns);
	snprintf(bytes, sizeof(bytes), "%" G_GUINT64_FORMAT, self.bytes);
	pg_send_row(conn, 3, row);
	send_complete(conn, "SELECT 1");
}

#define REPORT_COLUMNS "report"

static const pg_statement_t statements[] = {
	{"BEGIN", NULL, run_begin, FALSE},
	{"BEGIN READ ONLY", NULL, run_begin, FALSE},
	{"COMMIT", NULL, run_commit, FALSE},
	{"ROLLBACK", NULL, run_rollback, FALSE},
	{SQL_REPORT, REPORT_COLUMNS, run_report, FALSE},
	{SQL_SEAL, REPORT_COLUMNS, run_seal, FALSE},
	{SQL_PROMOTE, REPORT_COLUMNS, run_promote, FALSE},
	{SQL_FOLLOW, REPORT_COLUMNS, run_follow, FALSE},
	{SQL_CLAIM_SLOT, "slot", run_claim, FALSE},
	{SQL_EVICT_SESSION, "pg_terminate_backend", run_evict, FALSE},
	{SQL_INSERT_ID, NULL, run_insert_id, FALSE},
	{SQL_STORE_ANSWER, NULL, run_store_answer, FALSE},
	{SQL_FIND_ANSWER, "answer", run_find_answer, FALSE},
	{"SELECT value FROM records WHERE key = $1", "value", run_select, TRUE},
	{"INSERT INTO records (key, value) VALUES ($1, $2)", NULL, run_insert, TRUE},
	{"INSERT INTO records (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = $2",
	 NULL, run_put, TRUE},
	{"UPDATE records SET value = value + 1 WHERE key = $1 RETURNING value", "value",
	 run_increment, TRUE},
	{"SELECT pg_sleep($1)", "pg_sleep", run_sleep, FALSE},
	{"SELECT standin_cut($1)", REPORT_COLUMNS, run_isolate, FALSE},
	{"SELECT standin_lag($1)", REPORT_COLUMNS, run_set_lag, FALSE},
	{"SELECT standin_stats()", "bytes,connections,peak", run_stats, FALSE},
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
	if (conn->tx_status == 'E' && statement->run != run_commit &&
	    statement->run != run_rollback) {
		pg_send_error(conn, "25P02", "current transaction is aborted");
		return TRUE;
	}
	conn->blocked = FALSE;
	if (statement->needs_slot && !pg_slot_acquire(conn))
		return FALSE;
	if (statement->needs_slot)
		conn->busy_until = 0;
	statement->run(conn);
	if (!conn->blocked)
		pg_slot_release(conn);
	return !conn->blocked;
}
