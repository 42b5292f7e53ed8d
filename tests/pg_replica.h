/*
 * Asynchronous replication between stand-in members: a primary sends its log to its followers, a
 * follower receives it from its upstream and applies each entry after the configured lag.
 */
#pragma once

#include "pg_state.h"

/* Closes the connection to the upstream; entries that are not applied yet are lost. */
void pg_replica_close_upstream(void);

/* Closes the connections of all followers. */
void pg_replica_close_followers(void);

/*
 * Accepts a connection as that of a follower and answers with the log position from which on it
 * gets entries. text is the greeting: the term that the follower has sealed, then TERM:LSN for the
 * last entry of each term in its log. Refused unless this member is the primary of the same term
 * and not isolated.
 */
void pg_replica_accept(conn_t *conn, char *text);

/* Sends the entries that the follower has not been sent yet. */
void pg_replica_send_entries(conn_t *conn);

/* Handles the complete lines received from the upstream. */
void pg_replica_receive(void);

/* Applies received entries whose lag has passed. */
void pg_replica_apply_due(void);

/* Connects to the upstream if there is one, no connection is open and the retry time has come. */
void pg_replica_connect(void);
