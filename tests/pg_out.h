/*
 * Messages of the PostgreSQL protocol to a client. They are appended to the output buffer of the
 * connection, which the main loop writes to the socket.
 */
#pragma once

#include "pg_state.h"

void pg_put_u32(GByteArray *out, guint32 value);

/* Appends text with its terminating zero byte. */
void pg_put_text(GByteArray *out, const char *text);

/* Sends a message of this type; the length is added. */
void pg_send_message(conn_t *conn, char type, const GByteArray *body);

void pg_send_empty(conn_t *conn, char type);

void pg_send_text(conn_t *conn, char type, const char *text);

/* ReadyForQuery, with the state of the transaction. */
void pg_send_ready(conn_t *conn);

/*
 * ErrorResponse with this SQLSTATE. An open transaction fails, and messages are skipped up to the
 * next Sync.
 */
void pg_send_error(conn_t *conn, const char *sqlstate, const char *text);

/* RowDescription of text columns; columns: their names, separated by commas. */
void pg_send_columns(conn_t *conn, const char *columns);

void pg_send_row(conn_t *conn, int count, const char *const *values);
