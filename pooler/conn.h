/*
 * A connection to a member. It serves one caller at a time, for a statement or
 * for a transaction, with exactly that caller's values; what is unsure about it
 * closes it.
 */
#pragma once

#include "state.h"

/*
 * For a customer's callers; line NULL: a probe, which only asks for the status. NULL if the member
 * can't be reached at once.
 */
conn_t *conn_open(member_t *member, customer_pool_t *line);

/* Close it; a caller on it learns what became of its statement. */
void conn_close(conn_t *conn, const char *reason);

/* Ask an idle connection's member for its status. */
void conn_query_status(conn_t *conn);

/* Set the connection up for its caller's statement and send it. */
void conn_run(conn_t *conn, caller_t *caller);

/* Send the statement of the caller whose transaction the connection holds. */
void conn_run_in_tx(conn_t *conn);

/* The caller is done with it: roll back what is open, then serve others. */
void conn_release(conn_t *conn);

/* End the transaction of a caller that sends nothing; its next statement learns of it. */
void conn_reclaim(conn_t *conn, const char *reason);

/* The caller no longer waits for the reply to what is running. */
void conn_orphan(conn_t *conn);

/*
 * An idle connection of another customer that may be closed to make room for one of the caller's:
 * the one unused for longest, or NULL. waited: the caller goes before those that would use it.
 */
conn_t *conn_find_evictable(const member_t *member, const caller_t *caller, bool waited);

/* An idle connection of member for the caller's customer, whose values fit best; or NULL. */
conn_t *conn_find_idle(const member_t *member, const caller_t *caller);
