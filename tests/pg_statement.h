/* The SQL statements that the stand-in for a backend server supports, matched by their exact text.
 */
#pragma once

#include "pg_state.h"

typedef struct pg_statement {
	const char *sql;
	const char *columns; /* NULL: returns no rows */
	void (*run)(conn_t *conn);
	gboolean needs_slot; /* reads or writes records, so a slot runs it */
} pg_statement_t;

/* Returns NULL for an unsupported statement. */
const pg_statement_t *pg_statement_find(const char *sql);

/* Runs conn->sql. Returns FALSE if the statement is blocked and must be executed again later. */
gboolean pg_statement_execute(conn_t *conn);
