#include "pg_out.h"

#include <arpa/inet.h>
#include <string.h>

void pg_put_u32(GByteArray *out, guint32 value)
{
	guint32 net = htonl(value);

	g_byte_array_append(out, (guint8 *)&net, 4);
}

static void put_u16(GByteArray *out, guint16 value)
{
	guint16 net = htons(value);

	g_byte_array_append(out, (guint8 *)&net, 2);
}

void pg_put_text(GByteArray *out, const char *text)
{
	g_byte_array_append(out, (const guint8 *)text, (guint)strlen(text) + 1);
}

void pg_send_message(conn_t *conn, char type, const GByteArray *body)
{
	g_byte_array_append(conn->out, (guint8 *)&type, 1);
	pg_put_u32(conn->out, body->len + 4);
	g_byte_array_append(conn->out, body->data, body->len);
}

void pg_send_empty(conn_t *conn, char type)
{
	GByteArray *body = g_byte_array_new();

	pg_send_message(conn, type, body);
	g_byte_array_unref(body);
}

void pg_send_text(conn_t *conn, char type, const char *text)
{
	GByteArray *body = g_byte_array_new();

	pg_put_text(body, text);
	pg_send_message(conn, type, body);
	g_byte_array_unref(body);
}

void pg_send_ready(conn_t *conn)
{
	GByteArray *body = g_byte_array_new();

	g_byte_array_append(body, (guint8 *)&conn->tx_status, 1);
	pg_send_message(conn, 'Z', body);
	g_byte_array_unref(body);
}

void pg_send_error(conn_t *conn, const char *sqlstate, const char *text)
{
	GByteArray *body = g_byte_array_new();
	const char *const fields[] = {"SERROR", "VERROR", NULL};

	for (int i = 0; fields[i] != NULL; i++)
		pg_put_text(body, fields[i]);
	g_byte_array_append(body, (const guint8 *)"C", 1);
	pg_put_text(body, sqlstate);
	g_byte_array_append(body, (const guint8 *)"M", 1);
	pg_put_text(body, text);
	g_byte_array_append(body, (const guint8 *)"", 1);
	pg_send_message(conn, 'E', body);
	g_byte_array_unref(body);
	conn->skipping = TRUE;
	if (conn->tx_status == 'T')
		conn->tx_status = 'E';
}

void pg_send_columns(conn_t *conn, const char *columns)
{
	GByteArray *body = g_byte_array_new();
	gchar **names = g_strsplit(columns, ",", -1);

	put_u16(body, (guint16)g_strv_length(names));
	for (int i = 0; names[i] != NULL; i++) {
		pg_put_text(body, names[i]);
		pg_put_u32(body, 0);
		put_u16(body, 0);
		pg_put_u32(body, 25); /* text */
		put_u16(body, 0xffff);
		pg_put_u32(body, 0xffffffff);
		put_u16(body, 0);
	}
	pg_send_message(conn, 'T', body);
	g_strfreev(names);
	g_byte_array_unref(body);
}

void pg_send_row(conn_t *conn, int count, const char *const *values)
{
	GByteArray *body = g_byte_array_new();

	put_u16(body, (guint16)count);
	for (int i = 0; i < count; i++) {
		pg_put_u32(body, (guint32)strlen(values[i]));
		g_byte_array_append(body, (const guint8 *)values[i], (guint)strlen(values[i]));
	}
	pg_send_message(conn, 'D', body);
	g_byte_array_unref(body);
}
