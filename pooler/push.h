/*
 * Telling others what is new before they ask. Who misses it hears it with the next answer.
 */
#pragma once

#include "state.h"

/* All of a small fleet; the hubs of a large one, and those that ask this proxy. */
void push_fleet(pooler_t *pooler);

/* Those only that ask this proxy. */
void push_downstream(pooler_t *pooler);

/* Between two pushes to a large fleet; 0: none. */
usec_t push_interval(const pooler_t *pooler);

/* What waited for that, and a new configuration. */
void push_tick(pooler_t *pooler, usec_t now);
