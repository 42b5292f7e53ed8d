/*
 * Which member serves a statement, over which connection, and who goes first
 * when there are too few. Refuses at once what can't be served in time.
 */
#pragma once

#include "state.h"

/* Wait for a connection, or take one at once. */
void dispatch_enqueue(caller_t *caller);

/* No longer wait. */
void dispatch_dequeue(caller_t *caller);

/* Something changed: serve whoever can be served now. */
void dispatch_run(service_t *service);

/* Refuse those whose deadline will pass before the service is usable again. */
void dispatch_tick(service_t *service, usec_t now);
