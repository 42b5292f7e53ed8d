/*
 * Ends sessions of callers from our side: at shutdown, and while this proxy can serve nobody. A
 * session is closed only while nothing of the caller is under way, which the link sees.
 */
#pragma once

#include "state.h"

/* For the shutdown: close the session if it rests. cut: also if it rests inside a transaction. */
void hangup_drain(caller_t *caller, bool cut);

/* While shutting down: close the session if its last statement has just been answered. */
void hangup_if_done(caller_t *caller);

/* Without permission: close the session if it rests, so that its client goes elsewhere. */
void hangup_let_go(caller_t *caller, usec_t now);
