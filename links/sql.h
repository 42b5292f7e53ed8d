/*
 * The statements that the proxy itself sends to backend servers, and functions that read results.
 * These statements are the whole interface to a group's members; PROTOCOLS.md lists them.
 */
#pragma once

#include <libpq-fe.h>

#include "types.h"

/*
 * Each statement returns one string, "ACCEPTED SEALED LOG_TERM LSN PRIMARY", with flags as 0 or 1.
 * One column is used since the description of several columns has more bytes than the report.
 */
#define SQL_REPORT  "SELECT cyclamenspan_report()"
#define SQL_SEAL    "SELECT cyclamenspan_seal($1)"
#define SQL_PROMOTE "SELECT cyclamenspan_promote($1)"
#define SQL_FOLLOW  "SELECT cyclamenspan_follow($1, $2)"

/*
 * Claims one of the connection slots that the table row's limit allows at this member, with an
 * advisory lock. The server releases the lock when the session ends, so that the slot becomes free
 * even if the proxy crashes.
 */
#define SQL_CLAIM_SLOT                                                                             \
	"SELECT slot FROM generate_series(0, $2::int - 1) AS slot "                                \
	"WHERE pg_try_advisory_lock(hashtext($1), slot) LIMIT 1"

/* Ends a session that holds a slot of the row; the server rolls its transaction back. */
#define SQL_EVICT_SESSION                                                                          \
	"SELECT pg_terminate_backend(pid) FROM pg_locks WHERE locktype = 'advisory' "              \
	"AND classid = hashtext($1)::oid AND pid <> pg_backend_pid() AND granted LIMIT 1"

/*
 * Stores the request id, which is unique in the group, in the transaction of the request. A second
 * attempt with the same id fails to insert it, and reads the answer of the first one instead.
 */
#define SQL_INSERT_ID	 "INSERT INTO cyclamenspan_requests (id, answer) VALUES ($1, '')"
#define SQL_STORE_ANSWER "UPDATE cyclamenspan_requests SET answer = $2 WHERE id = $1"
#define SQL_FIND_ANSWER	 "SELECT answer FROM cyclamenspan_requests WHERE id = $1"

#define SQLSTATE_UNIQUE_VIOLATION "23505"
#define SQLSTATE_READ_ONLY	  "25006"

/* Read a member's report. Returns 0, or -EBADMSG if the result is malformed. */
int sql_read_report(const PGresult *result, bool *accepted, report_t *report);

/* Columns, rows and the number of affected rows as JSON text, a child of parent. */
char *sql_rows_to_json(void *parent, const PGresult *result);

bool sql_is_error(const PGresult *result);

/* True if the error ended the session, not only the statement. */
bool sql_is_fatal(const PGresult *result);

/* SQLSTATE and primary message of the error, as a child of parent. */
char *sql_error_text(void *parent, const PGresult *result);

bool sql_has_sqlstate(const PGresult *result, const char *state);
