/*
 * Ends sessions of callers from our side: at shutdown, and while this proxy can serve nobody. A
 * session is closed only while nothing of the caller is under way, which the link sees.
 */
#pragma once

#include "state.h"

/* How far a shutdown has come; each phase ends more than the one before. */
typedef enum {
	DRAIN_RESTING,	    /* sessions that rest outside a transaction */
	DRAIN_TRANSACTIONS, /* and inside of one */
	DRAIN_ALL,	    /* and those that do not read their last answer */
} drain_phase_t;

/*
 * For the shutdown: close the session unless it has a statement in progress. True if it is closed,
 * and the caller freed.
 */
bool hangup_drain(caller_t *caller, drain_phase_t phase);

/* While shutting down: close the session if its last statement has just been answered. */
void hangup_if_done(caller_t *caller);

/* Without permission: the same if it rests, so that its client goes elsewhere. */
bool hangup_let_go(caller_t *caller, usec_t now);
