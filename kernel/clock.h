/*
 * Clocks. All times in the project are usec_t values read from a run_clock_t: microseconds,
 * monotonic, and advancing also while the process is stopped.
 */
#pragma once

#include <stdint.h>

typedef uint64_t usec_t;

#define USEC_PER_MSEC ((usec_t)1000)
#define USEC_PER_SEC  ((usec_t)1000000)
#define USEC_NEVER    UINT64_MAX

struct run_clock;

typedef struct clock_ops {
	usec_t (*now)(const struct run_clock *clock);
} clock_ops_t;

typedef struct run_clock {
	const clock_ops_t *ops;
} run_clock_t;

/* A clock for tests and simulations, which changes only by manual_clock_advance(). */
typedef struct manual_clock {
	run_clock_t base;
	usec_t now;
} manual_clock_t;

static inline usec_t clock_now(const run_clock_t *clock)
{
	return clock->ops->now(clock);
}

static inline usec_t usec_clamp(usec_t value, usec_t min, usec_t max)
{
	if (value < min)
		return min;
	return value < max ? value : max;
}

/* Converts an age to milliseconds for logs; USEC_NEVER (unknown) becomes -1. */
static inline int64_t usec_age_ms(usec_t age)
{
	return age != USEC_NEVER ? (int64_t)(age / USEC_PER_MSEC) : -1;
}

/* The time since then in milliseconds for logs; -1 if then is later than now, as USEC_NEVER is. */
static inline int64_t usec_since_ms(usec_t then, usec_t now)
{
	return then <= now ? (int64_t)((now - then) / USEC_PER_MSEC) : -1;
}

/* The VM's monotonic clock. It includes the time that the VM was suspended (CLOCK_BOOTTIME). */
const run_clock_t *clock_system(void);

void manual_clock_init(manual_clock_t *clock, usec_t now);
void manual_clock_advance(manual_clock_t *clock, usec_t duration);
