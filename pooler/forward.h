/*
 * Statements that another proxy runs for one of our callers: the home of the service in a fleet
 * that is larger than the members' connections (home.h).
 *
 * The home gets the statement with all that it needs of its session, and serves it as if its own
 * caller had sent it (job.h), by its own permission and its own queue. It hands the answer back,
 * which is passed on only if our permission for that member still holds.
 *
 * A statement is handed on once. Without an answer a read is tried again, a write is in doubt.
 * A transaction stays where its first statement was taken, and is over if that proxy loses it:
 * its connection to the member is gone then, and what was not committed with it.
 */
#pragma once

#include "state.h"

typedef enum {
	FORWARD_LOCAL, /* it is ours to serve: we are the home, or none answers */
	FORWARD_SENT,  /* the home has it */
	FORWARD_WAIT,  /* the home can't be reached yet */
} forward_status_t;

/* Hand the waiting caller's statement to its service's home. */
forward_status_t forward_to_home(caller_t *caller, usec_t now);

/* The next statement of a transaction that another proxy has; false if that is out of reach. */
bool forward_next_statement(caller_t *caller, usec_t now);

/* The caller's transaction is not needed any more where it is. */
void forward_end_tx(caller_t *caller);

/* The caller's statement is not waited for any more. */
void forward_cancel(caller_t *caller);

/* The answer to one of our statements. */
void forward_on_result(pooler_t *pooler, const peer_message_t *message);

/* Any message of that peer has come. */
void forward_on_peer_message(pooler_t *pooler, const char *peer);

void forward_tick(pooler_t *pooler, usec_t now);
