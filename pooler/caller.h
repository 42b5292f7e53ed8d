/*
 * A caller's session: its values, its prepared statements, its transaction, and the one statement
 * in progress. Decides what each outcome at a member means for the caller: the reply is passed on,
 * the statement is retried where the caller can't notice that, or it is refused with a code that
 * promises no more than is certain.
 */
#pragma once

#include "state.h"

/*
 * Creates a session for the link. The caller has been admitted by admission_check_session(), or
 * serves a statement that another proxy has forwarded (job.h).
 */
caller_t *caller_create(pooler_t *pooler, const char *database, void *link);

/* Starts the caller's operation, which is within the customer's limit. */
void caller_on_admitted(caller_t *caller);

/*
 * Handles the loss of the caller's connection to a member. sent: the statement in progress had been
 * sent and was not answered.
 */
void caller_on_conn_lost(caller_t *caller, bool sent, const char *detail);

/*
 * Runs the read in progress once more, on another connection; a late reply to the first attempt is
 * discarded. Returns false if the statement is no lone read or has used up its attempts.
 */
bool caller_retry_read(caller_t *caller);

/*
 * True if the caller's statement, which was not sent yet, may be tried again on another connection.
 */
bool caller_may_move(const caller_t *caller);

/* Handles a set-up request that the member refused, so that the statement itself did not run. */
void caller_on_setup_refused(caller_t *caller, code_t code);

void caller_on_reply(caller_t *caller, conn_t *conn, const reply_t *reply);

/* Begins a transaction; its first statement takes a connection. */
void caller_begin_tx(caller_t *caller, bool read_only);

/* Handles the result from the proxy that the statement was forwarded to. */
void caller_on_forward_result(caller_t *caller, const forward_result_t *result);

/* Refuses the waiting statement, which can't get a connection before its deadline. */
void caller_refuse(caller_t *caller, code_t code, reason_t reason, usec_t retry_after);

/* Answers the statement in progress with an error, since the process is about to exit. */
void caller_end_at_shutdown(caller_t *caller);

/* True if the statement in progress may leave a committed change behind once it has been sent. */
bool caller_may_commit(const caller_t *caller);

/* True if the caller has a write in progress, or may send one in its transaction. */
bool caller_may_write(const caller_t *caller);

void caller_tick(caller_t *caller, usec_t now);
