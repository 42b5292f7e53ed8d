/* Messages of the PostgreSQL protocol to a client; sent when its socket takes them. */
#pragma once

#include "pg_state.h"

void pg_put_u32(GByteArray *out, guint32 value);

/* With its end. */
void pg_put_text(GByteArray *out, const char *text);

void pg_send_message(conn_t *conn, char type, const GByteArray *body);

void pg_send_empty(conn_t *conn, char type);

void pg_send_text(conn_t *conn, char type, const char *text);

void pg_send_ready(conn_t *conn);

/* What the client sends until it synchronises is skipped; an open transaction has failed. */
void pg_send_error(conn_t *conn, const char *state, const char *text);

/* Names, separated by commas. */
void pg_send_columns(conn_t *conn, const char *columns);

void pg_send_row(conn_t *conn, int count, const char *const *values);
