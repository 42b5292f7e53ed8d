/*
 * Pushes updates to other proxies before they query for them. A proxy that misses a push gets the
 * update with the next state.
 */
#pragma once

#include "state.h"

/*
 * Pushes our state to all proxies of a small fleet, or to the hubs and our downstream proxies in a
 * large one.
 */
void push_fleet(pooler_t *pooler);

/* Pushes our state to our downstream proxies only. */
void push_downstream(pooler_t *pooler);

/* Least time between two pushes; 0 in a small fleet. */
usec_t push_interval(const pooler_t *pooler);

/* Makes a push that was delayed by push_interval(), and pushes a new configuration. */
void push_tick(pooler_t *pooler, usec_t now);
