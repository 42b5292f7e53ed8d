/*
 * A caller's session: its values, its prepared names, its transaction, and the
 * one statement in progress. Decides what each outcome at a member means for
 * the caller: passed on, tried again where that can't be seen, or refused with
 * a code that promises no more than is known.
 */
#pragma once

#include "state.h"

/* A caller at link, which stands for another proxy's or is checked before. */
caller_t *caller_create(pooler_t *pooler, const char *database, void *link);

/* Its operation may begin. */
void caller_on_admitted(caller_t *caller);

/* The connection broke. sent: its statement was at the member, unanswered. */
void caller_on_conn_lost(caller_t *caller, bool sent, const char *detail);

/*
 * Ask for a read that is overdue once more, leaving the first answer to come or not.
 * Returns false if that can't be done unseen.
 */
bool caller_retry_read(caller_t *caller);

/* The member refused what had to come before the statement, which did not run. */
void caller_on_setup_refused(caller_t *caller, code_t code);

void caller_on_reply(caller_t *caller, conn_t *conn, const reply_t *reply);

/* Begin a transaction; its first statement takes it to a member. */
void caller_begin_tx(caller_t *caller, bool read_only);

/* What came of the statement at another proxy. */
void caller_on_forward_result(caller_t *caller, const forward_result_t *result);

/* The statement waits for a connection and can't have one in time: refuse it now. */
void caller_refuse(caller_t *caller, code_t code, reason_t reason, usec_t retry_after);

/* The process ends before the statement in progress can be answered. */
void caller_end_at_shutdown(caller_t *caller);

/* True if the statement in progress, once sent, may leave something behind. */
bool caller_may_commit(const caller_t *caller);

/* True if a write may still follow on the caller's connection, or is under way. */
bool caller_may_write(const caller_t *caller);

void caller_tick(caller_t *caller, usec_t now);
