/*
 * Transactions over several requests. A transaction is pinned to one connection of
 * the proxy that opened it. Its handle names that proxy, so that any proxy can
 * forward to it. If the connection or the proxy is lost, the server rolls back.
 */
#pragma once

#include "state.h"

/* A statement, commit or rollback of an open transaction. */
void tx_submit(request_t *request);

/* A run for a transaction's request has ended; usable: the connection still works. */
void tx_run_done(request_t *request, conn_t *conn, bool usable);

/* The transaction's primary was superseded while the request waited for a majority. */
void tx_superseded(request_t *request);

/* The transaction's connection broke: free the transaction. */
void tx_lost(tx_t *tx);

/* Roll back transactions that were idle for longer than tx_idle. */
void tx_close_idle(core_t *core);

/* Name of the proxy that opened the transaction, a talloc child of parent; NULL if malformed. */
char *tx_home(void *parent, const char *handle);
