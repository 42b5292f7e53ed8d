/*
 * Timers with arbitrary due times, in a binary heap. A timeout of h2o has one fixed interval for
 * all of its entries, which does not suit deadlines.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "clock.h"

struct run_timer;

typedef void (*timer_cb_t)(struct run_timer *timer, usec_t now);

typedef struct run_timer {
	timer_cb_t cb;
	usec_t due_at;
	size_t index; /* in the heap, plus one; 0: not armed */
} run_timer_t;

typedef struct timer_set {
	run_timer_t **heap;
	size_t len;
	size_t size;
} timer_set_t;

void timers_init(timer_set_t *set);
void timers_destroy(timer_set_t *set);

/* Arms or re-arms timer. Returns 0 or -ENOMEM. */
int timers_arm(timer_set_t *set, run_timer_t *timer, usec_t due_at, timer_cb_t cb);
void timers_cancel(timer_set_t *set, run_timer_t *timer);

static inline bool timer_is_armed(const run_timer_t *timer)
{
	return timer->index != 0;
}

/* The time at which the next timer is due; USEC_NEVER if none is armed. */
usec_t timers_next_due(const timer_set_t *set);

/* Runs every timer that is due at now, in the order of due times. */
void timers_expire(timer_set_t *set, usec_t now);
