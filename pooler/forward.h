/*
 * Statements of this proxy's callers that another proxy, the helper, runs: the home of the
 * service. In a fleet with more proxies than a member accepts connections, only homes connect to
 * members (home.h).
 *
 * The home receives the statement with all that it needs of its session, and serves it like one of
 * its own callers (job.h), by its own permission and in its own queue. It sends back the result,
 * which is passed on only if this proxy's permission for that member still holds.
 *
 * A statement is forwarded once. If no result comes, a read is retried and a write ends in doubt.
 * A transaction stays at the proxy that its first statement was sent to. If that proxy loses it,
 * the transaction has failed: its connection to the member is closed, and the member has rolled
 * back.
 */
#pragma once

#include "state.h"

typedef enum {
	FORWARD_LOCAL, /* this proxy serves the statement itself: it is the home, or none answers */
	FORWARD_SENT,  /* the statement was sent to the home */
	FORWARD_WAIT,  /* the link to the home is not up yet */
} forward_status_t;

/* Forwards the waiting caller's statement to the home of its service. */
forward_status_t forward_to_home(caller_t *caller, usec_t now);

/*
 * Forwards the next statement of a transaction to the proxy that runs it. Returns false if that
 * proxy can't be reached.
 */
bool forward_next_statement(caller_t *caller, usec_t now);

/* Rolls back the caller's transaction at the proxy that runs it, if there is one. */
void forward_end_tx(caller_t *caller);

/* Stops waiting for the result of the caller's forwarded statement, if there is one. */
void forward_cancel(caller_t *caller);

/* Handles the result of a forwarded statement. */
void forward_on_result(pooler_t *pooler, const peer_message_t *message);

/* Records a message of any kind from that proxy, which shows that the proxy is alive. */
void forward_on_peer_message(pooler_t *pooler, const char *peer);

/* Stops waiting for homes that do not answer, and retries the reads forwarded to them. */
void forward_tick(pooler_t *pooler, usec_t now);
