/*
 * Ends sessions of callers from our side: at shutdown, and while this proxy can serve nobody. A
 * session is closed only while nothing of the caller is under way, which the link sees.
 */
#pragma once

#include "state.h"

/* How far a shutdown has come; each phase ends more than the one before. */
typedef enum {
	DRAIN_IDLE,	    /* sessions that rest outside a transaction */
	DRAIN_TRANSACTIONS, /* and inside of one */
	DRAIN_ALL, /* and whose caller does not read its answer or stops within a statement */
} drain_phase_t;

/*
 * For the shutdown: close the session unless it has a statement in progress. True if it is closed,
 * and the caller freed.
 */
bool hangup_drain(caller_t *caller, drain_phase_t phase);

/*
 * While shutting down: close the session if its last statement has just been answered. The caller
 * may be freed.
 */
void hangup_after_answer(caller_t *caller);

/*
 * While this proxy has no permission: close the session if it rests outside a transaction, so that
 * its client goes elsewhere. True if it is closed, and the caller freed.
 */
bool hangup_without_permission(caller_t *caller, usec_t now);

/* Close the session of a caller whose key was taken, unless something of it is under way. */
bool hangup_key_revoked(caller_t *caller);
