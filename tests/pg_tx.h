/* Transactions of the stand-in for a backend server: buffered writes, row locks and slots. */
#pragma once

#include "pg_state.h"

/* Drops the writes of the transaction and unblocks the connections that wait for its locks. */
void pg_tx_reset(conn_t *conn);

/*
 * With a service time set, a statement waits for one of the slots and occupies it for that time.
 * Returns FALSE while the statement waits or its time runs, TRUE when it may be executed.
 */
gboolean pg_slot_acquire(conn_t *conn);

/* Frees the slot of the connection, if it holds one. */
void pg_slot_release(conn_t *conn);

/* Value of the key as the transaction sees it, with its own writes; NULL if there is none. */
const char *pg_tx_read(conn_t *conn, const char *key);

/*
 * Returns TRUE and blocks the connection if another open transaction has written the key, as a row
 * lock does.
 */
gboolean pg_tx_is_locked(conn_t *conn, const char *key);

/* Returns FALSE if an error was sent. */
gboolean pg_tx_commit(conn_t *conn);

/*
 * Adds a write to the transaction; outside one it is committed at once. Returns FALSE if an error
 * was sent or the key is locked.
 */
gboolean pg_tx_write(conn_t *conn, const char *key, const char *value);
