/*
 * Statements that another proxy runs for one of our callers: the home of the service in a large
 * fleet (home.h), or any proxy that has a connection when we can't get one.
 *
 * A member takes few connections, and keeps those of machines that lost power for 3 s. A proxy that
 * gets none would refuse its callers although the member has time for them. So it hands the
 * statement to a proxy that has a connection, with all that it needs of its session. That one
 * serves it as if its own caller had sent it (job.h), by its own permission and its own queue, and
 * hands the answer back, which is passed on only if our permission for that member still holds.
 *
 * A statement is handed on once. Without an answer a read is tried again, a write is in doubt.
 * A transaction stays where its first statement was taken, and is over if that proxy loses it:
 * its connection to the member is gone then, and what was not committed with it.
 */
#pragma once

#include "state.h"

/* Hand the waiting caller's statement to its service's home; false if that is this proxy. */
bool forward_to_home(caller_t *caller, usec_t now);

/* The next statement of a transaction that another proxy has; false if that is out of reach. */
bool forward_go_on(caller_t *caller, usec_t now);

/* The caller's transaction is not needed any more where it is. */
void forward_end(caller_t *caller);

/* Hand it to a proxy that has the connection that we lack; false if there is none. */
bool forward_try(caller_t *caller, usec_t now);

/* The caller's statement is not waited for any more. */
void forward_forget(caller_t *caller);

/* Ids of those of the members that this proxy has a connection to, as a child of parent. */
char *forward_spare(const pooler_t *pooler, const char *members, void *parent);

/* The answer to one of our statements. */
void forward_on_result(pooler_t *pooler, const peer_message_t *message);

/* Any message of that peer has come. */
void forward_on_heard(pooler_t *pooler, const char *peer);

void forward_tick(pooler_t *pooler, usec_t now);
