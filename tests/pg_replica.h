/* Replication of a stand-in: its log to those that follow it, and that of whom it follows. */
#pragma once

#include "pg_state.h"

/* Stop following, and forget what is not applied yet. */
void pg_replica_drop_upstream(void);

/* End the connections of all that follow us. */
void pg_replica_drop_all(void);

/* text: a replica's greeting, its sealed term, then TERM:LSN of each term's end. */
void pg_replica_welcome(conn_t *conn, char *text);

void pg_replica_feed(conn_t *conn);

/* Take up what whom we follow has sent. */
void pg_replica_take(void);

/* Apply what has waited for the lag. */
void pg_replica_apply_due(void);

/* Connect to whom we follow if that is due. */
void pg_replica_connect(void);
