/*
 * Closes sessions of callers from the side of the proxy: at shutdown, when their key was revoked,
 * and while this proxy has no permission and can serve no caller. A session is closed only if no
 * request or answer of the caller is in flight, which the link (env_t) checks.
 */
#pragma once

#include "state.h"

/* Phases of a shutdown; each closes more sessions than the one before. */
typedef enum {
	DRAIN_IDLE,	    /* idle sessions outside a transaction */
	DRAIN_TRANSACTIONS, /* also idle sessions inside a transaction */
	DRAIN_ALL, /* also sessions whose caller does not read its answer or finish its request */
} drain_phase_t;

/*
 * During the shutdown: closes the session unless it has a statement in progress or the phase spares
 * it. Returns true if the session was closed and the caller freed.
 */
bool hangup_drain(caller_t *caller, drain_phase_t phase);

/*
 * During the shutdown: closes the session if its last statement has been answered. The caller may
 * be freed.
 */
void hangup_after_answer(caller_t *caller);

/*
 * While this proxy has no permission: closes the session if it is idle outside a transaction, so
 * that its client connects to another proxy. Returns true if it was closed and the caller freed.
 */
bool hangup_without_permission(caller_t *caller, usec_t now);

/*
 * Closes the session of a caller whose key was revoked, unless a statement or a transaction is
 * open. Returns true if it was closed and the caller freed.
 */
bool hangup_key_revoked(caller_t *caller);
