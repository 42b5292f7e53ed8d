/*
 * Opening of connections for waiting callers: which connection of another customer is closed for
 * them, and when a connection is taken from an idle transaction. A connection takes slot time of
 * the member, and a member accepts few of them.
 */
#pragma once

#include "state.h"

/* True if a connection to the member may be opened for the caller now. */
bool opening_is_possible(const member_t *member, const caller_t *caller, usec_t now);

/*
 * Opens a connection for the caller's customer, unless one is being opened already for each of its
 * waiting callers.
 */
void opening_open(member_t *member, const caller_t *caller, usec_t now);

/*
 * When opening_is_possible() may become true for the waiting caller merely because time passes;
 * USEC_NEVER: no longer.
 */
usec_t opening_next_change(const caller_t *caller, usec_t now);

/* Rolls back one idle transaction whose connection callers of the service wait for. */
void opening_reclaim_idle_tx(service_t *service, usec_t now);
