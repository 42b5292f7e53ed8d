/* The statements that a stand-in knows, and what they do. */
#pragma once

#include "pg_state.h"

typedef struct pg_statement {
	const char *sql;
	const char *columns; /* NULL: returns no rows */
	void (*run)(conn_t *conn);
	gboolean is_records; /* works on the record store, so it takes a slot */
} pg_statement_t;

/* NULL if it is none. */
const pg_statement_t *pg_statement_find(const char *sql);

/* Run what the connection was told to; FALSE when it has to be tried again later. */
gboolean pg_statement_execute(conn_t *conn);
