/*
 * Transactions over several requests. Each is pinned to one connection of the
 * proxy that opened it; its handle names that proxy, so that any proxy can
 * forward to it. When the connection or the proxy goes, the server rolls back.
 */
#pragma once

#include "state.h"

/* A statement, commit or rollback of an open transaction. */
void tx_submit(request_t *request);

/* A run for a transaction's request ended; usable tells whether the connection still works. */
void tx_run_done(request_t *request, conn_t *conn, bool usable);

/* The transaction's primary was superseded while request waited for a majority. */
void tx_superseded(request_t *request);

/* Its connection broke: forget it. */
void tx_lost(tx_t *tx);

/* Roll back transactions that were left idle. */
void tx_close_idle(core_t *core);

/* The proxy that opened the transaction, as a child of parent; NULL if the handle is malformed. */
char *tx_home(void *parent, const char *handle);
