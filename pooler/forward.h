/*
 * Statements that another proxy runs for one of our callers.
 *
 * A member takes few connections, and keeps those of machines that lost power for 3 s. A proxy that
 * gets none meanwhile would refuse its callers although the member has time for them. So it hands a
 * lone statement to a proxy that has a connection, with all that it needs of its session. That one
 * serves it as if its own caller had sent it, by its own permission and its own queue, and hands
 * the answer back, which is passed on only if our permission for that member still holds.
 *
 * A statement is handed on once. Without an answer a read is tried again, a write is in doubt.
 * Transactions are not handed on: a connection would have to be kept for them over two proxies.
 */
#pragma once

#include "state.h"

/* Hand the waiting caller's statement to a proxy that can serve it; false if there is none. */
bool forward_try(caller_t *caller, usec_t now);

/* The caller's statement is not waited for any more. */
void forward_forget(caller_t *caller);

/* Ids of those of the members that this proxy has a connection to, as a child of parent. */
char *forward_spare(const pooler_t *pooler, const char *members, void *parent);

/* Another proxy's statement, and the answer to one of ours. */
void forward_on_request(pooler_t *pooler, const peer_message_t *message);
void forward_on_result(pooler_t *pooler, const peer_message_t *message);

/* What came of a job; from is the member's reply if it is passed on as it is, else NULL. */
void forward_answer(caller_t *job, const caller_reply_t *reply, const reply_t *from);

void forward_tick(pooler_t *pooler, usec_t now);
