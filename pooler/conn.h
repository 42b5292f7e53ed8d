/*
 * A connection to a member. It serves one caller at a time, for one statement or one transaction,
 * with exactly the session values of that caller. A connection whose state at the member is
 * uncertain is closed.
 */
#pragma once

#include "state.h"

/*
 * Opens a connection for a customer's callers. customer_pool NULL: a probe, which only queries the
 * member's status. Returns NULL if the connection fails at once.
 */
conn_t *conn_open(member_t *member, customer_pool_t *customer_pool);

/* Closes the connection; its caller, if any, is notified with caller_on_conn_lost(). */
void conn_close(conn_t *conn, const char *reason);

/*
 * Closes the member's connections that are marked. Closing one may open, close and free others for
 * the callers that wait, so a walk over connections marks those that it is to close; to close them
 * in the walk would follow a freed node, or never come to an end.
 */
void conn_close_marked(member_t *member, const char *reason);

/* Queries the member's status over an idle connection. */
void conn_query_status(conn_t *conn);

/* Assigns the connection to the caller, sets it up for the caller's statement and sends that. */
void conn_run(conn_t *conn, caller_t *caller);

/* Sends the next statement of the caller whose transaction holds the connection. */
void conn_run_in_tx(conn_t *conn);

/* Takes the connection from its caller, rolls back an open transaction and serves other callers. */
void conn_release(conn_t *conn);

/* Notes that the member may have none of the statements that were prepared on the connection. */
void conn_forget_prepared(conn_t *conn);

/* Rolls back the caller's idle transaction; the caller is informed at its next statement. */
void conn_reclaim(conn_t *conn, const char *reason);

/* Detaches the caller, which no longer waits for the reply to the running statement. */
void conn_orphan(conn_t *conn);

/*
 * Returns an idle connection of the caller's customer to the member, preferably one whose session
 * values need no reset; NULL if there is none.
 */
conn_t *conn_find_idle(const member_t *member, const caller_t *caller);
