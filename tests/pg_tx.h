/* Transactions of a stand-in: own writes, locks, and slots for statements that take time. */
#pragma once

#include "pg_state.h"

/* Forget its writes; others may go on. */
void pg_tx_clear(conn_t *conn);

/* Statements take time and so many run at once; FALSE while this one waits or runs. */
gboolean pg_slot_pass(conn_t *conn);

void pg_slot_leave(conn_t *conn);

/* As the transaction sees it: its own writes first. */
const char *pg_tx_read(conn_t *conn, const char *key);

/* Another open transaction has written the key: wait for its end, as for a row lock. */
gboolean pg_tx_is_locked(conn_t *conn, const char *key);

/* FALSE after an error. */
gboolean pg_tx_commit(conn_t *conn);

/* Note a write; outside a transaction it commits at once. FALSE after an error or a lock. */
gboolean pg_tx_write(conn_t *conn, const char *key, const char *value);
