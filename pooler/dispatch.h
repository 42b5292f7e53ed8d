/*
 * Scheduling of statements: chooses the member and the connection that serve a statement, and the
 * order in which callers are served when connections are short. Refuses at once what can't be
 * served before its deadline.
 */
#pragma once

#include "state.h"

/* Puts the caller into its service's queue and serves it at once if a connection is available. */
void dispatch_enqueue(caller_t *caller);

/* Takes the caller out of the queue, if it waits there. */
void dispatch_dequeue(caller_t *caller);

/* Serves all waiting callers that can be served; to be called when the service's state changes. */
void dispatch_run(service_t *service);

/*
 * With each tick: rolls back an idle transaction whose connection others wait for, and refuses
 * waiting callers whose deadline will pass before the service can serve them.
 */
void dispatch_tick(service_t *service, usec_t now);
