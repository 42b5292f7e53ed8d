#include "pg_input.h"

#include <string.h>

#include "pg_out.h"
#include "pg_replica.h"
#include "pg_statement.h"

#define CODE_PROTOCOL 196608
#define CODE_SSL      80877103
#define CODE_GSS      80877104

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

static void handle_bind(conn_t *conn, const guint8 *at)
{
	guint16 count;

	at += strlen((const char *)at) + 1; /* portal */
	set_sql(conn, g_hash_table_lookup(conn->prepared, at));
	at += strlen((const char *)at) + 1; /* statement */
	at += 2 + 2 * get_u16(at);	    /* formats */
	count = get_u16(at);
	at += 2;
	for (int i = 0; i < PG_MAX_PARAMS; i++) {
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
	pg_send_empty(conn, '2');
}

static void handle_describe(conn_t *conn)
{
	const pg_statement_t *statement = pg_statement_find(conn->sql);

	if (statement == NULL)
		pg_send_error(conn, "42601", "syntax error");
	else if (statement->columns != NULL)
		pg_send_columns(conn, statement->columns);
	else
		pg_send_empty(conn, 'n');
}

static void handle_simple_query(conn_t *conn, const char *sql)
{
	const pg_statement_t *statement = pg_statement_find(sql);

	set_sql(conn, sql);
	if (statement != NULL && statement->columns != NULL)
		pg_send_columns(conn, statement->columns);
	pg_statement_execute(conn);
	conn->skipping = FALSE;
	pg_send_ready(conn);
}

/* Returns FALSE if the message is blocked and must be handled again later. */
static gboolean handle_message(conn_t *conn, char type, const guint8 *body)
{
	if (type == 'S') {
		conn->skipping = FALSE;
		pg_send_ready(conn);
		return TRUE;
	}
	if (type == 'X') {
		conn->closing = TRUE;
		return TRUE;
	}
	if (conn->skipping)
		return TRUE;
	switch (type) {
	case 'P':
		g_hash_table_replace(conn->prepared, g_strdup((const char *)body),
				     g_strdup((const char *)body + strlen((const char *)body) + 1));
		pg_send_empty(conn, '1');
		return TRUE;
	case 'B':
		handle_bind(conn, body);
		return TRUE;
	case 'D':
		handle_describe(conn);
		return TRUE;
	case 'E':
		return pg_statement_execute(conn);
	case 'Q':
		handle_simple_query(conn, (const char *)body);
		return TRUE;
	case 'C':
		pg_send_empty(conn, '3');
		return TRUE;
	default:
		return TRUE;
	}
}

static int count_sql_conns(void)
{
	int n = 0;

	for (guint i = 0; i < self.conns->len; i++) {
		const conn_t *conn = self.conns->pdata[i];

		n += !conn->closing && conn->kind == CONN_SQL;
	}
	return n;
}

static void accept_session(conn_t *conn)
{
	GByteArray *body = g_byte_array_new();
	int count;

	conn->kind = CONN_SQL;
	count = count_sql_conns();
	if (count > self.max_conns) {
		pg_send_error(conn, "53300", "too many connections");
		conn->closing = TRUE;
		g_byte_array_unref(body);
		return;
	}
	self.peak_conns = MAX(self.peak_conns, count);
	pg_put_u32(body, 0);
	pg_send_message(conn, 'R', body);
	g_byte_array_set_size(body, 0);
	pg_put_text(body, "server_version");
	pg_put_text(body, "15.0");
	pg_send_message(conn, 'S', body);
	g_byte_array_set_size(body, 0);
	pg_put_text(body, "client_encoding");
	pg_put_text(body, "UTF8");
	pg_send_message(conn, 'S', body);
	g_byte_array_unref(body);
	pg_send_ready(conn);
}

/* A time-out that the startup options of the client set, in microseconds; 0 for none. */
static gint64 get_timeout_option_us(const guint8 *data, guint32 len, const char *name)
{
	const char *at = memmem(data, len, name, strlen(name));

	return at != NULL ? g_ascii_strtoll(at + strlen(name), NULL, 10) * 1000 : 0;
}

/* Handles a startup message, which has no type byte. Returns FALSE while it is incomplete. */
static gboolean handle_startup(conn_t *conn)
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
	conn->idle_timeout_us =
		get_timeout_option_us(conn->in->data, len, " idle_session_timeout=");
	conn->idle_tx_timeout_us =
		get_timeout_option_us(conn->in->data, len, " idle_in_transaction_session_timeout=");
	g_byte_array_remove_range(conn->in, 0, len);
	if (code == CODE_SSL || code == CODE_GSS)
		g_byte_array_append(conn->out, (const guint8 *)"N", 1);
	else if (code == PG_CODE_REPLICATION)
		pg_replica_accept(conn, text);
	else if (code == CODE_PROTOCOL)
		accept_session(conn);
	else
		conn->closing = TRUE;
	g_free(text);
	return TRUE;
}

void pg_input_process(conn_t *conn)
{
	while (!conn->closing && conn->kind == CONN_NEW && pg_now_us() >= conn->accept_at) {
		if (!handle_startup(conn))
			return;
	}
	while (!conn->closing && conn->kind == CONN_SQL && conn->in->len >= 5) {
		guint32 len = get_u32(conn->in->data + 1);

		if (conn->in->len < len + 1)
			return;
		if (conn->blocked ||
		    !handle_message(conn, (char)conn->in->data[0], conn->in->data + 5))
			return;
		g_byte_array_remove_range(conn->in, 0, len + 1);
	}
}
