/*
 * The statements that we ourselves send to backend servers, and their results.
 * They are the whole interface to a group; PROTOCOLS.md lists them.
 */
#pragma once

#include <libpq-fe.h>

#include "types.h"

/*
 * Each returns one text, "ACCEPTED SEALED LOG_TERM LSN PRIMARY", flags as 0 or 1: a
 * single column, since a row description costs more bytes than the report.
 */
#define SQL_REPORT  "SELECT cyclamenspan_report()"
#define SQL_SEAL    "SELECT cyclamenspan_seal($1)"
#define SQL_PROMOTE "SELECT cyclamenspan_promote($1)"
#define SQL_FOLLOW  "SELECT cyclamenspan_follow($1, $2)"

/*
 * Claims one of the row's slots for this connection. An advisory lock belongs
 * to its connection, so the server frees the slot however the proxy ends.
 */
#define SQL_CLAIM_SLOT                                                                             \
	"SELECT slot FROM generate_series(0, $2::int - 1) AS slot "                                \
	"WHERE pg_try_advisory_lock(hashtext($1), slot) LIMIT 1"

/* Ends one session that holds a slot of the row; what it had open is rolled back. */
#define SQL_EVICT_SESSION                                                                          \
	"SELECT pg_terminate_backend(pid) FROM pg_locks WHERE locktype = 'advisory' "              \
	"AND classid = hashtext($1)::oid AND pid <> pg_backend_pid() AND granted LIMIT 1"

/* A request id is unique in the group's history: a second attempt finds the first. */
#define SQL_INSERT_ID	 "INSERT INTO cyclamenspan_requests (id, answer) VALUES ($1, '')"
#define SQL_STORE_ANSWER "UPDATE cyclamenspan_requests SET answer = $2 WHERE id = $1"
#define SQL_FIND_ANSWER	 "SELECT answer FROM cyclamenspan_requests WHERE id = $1"

#define SQLSTATE_UNIQUE_VIOLATION "23505"
#define SQLSTATE_READ_ONLY	  "25006"

/* Read a report row. Returns 0, or -EBADMSG if it is none. */
int sql_read_report(const PGresult *result, bool *accepted, report_t *report);

/* Columns, rows and affected count as a JSON object, a child of parent. */
char *sql_rows_to_json(void *parent, const PGresult *result);

bool sql_is_error(const PGresult *result);

/* The error ended the session, not only the statement. */
bool sql_is_fatal(const PGresult *result);

/* The first line of the error, with its SQLSTATE, as a child of parent. */
char *sql_error_text(void *parent, const PGresult *result);

bool sql_has_sqlstate(const PGresult *result, const char *state);
