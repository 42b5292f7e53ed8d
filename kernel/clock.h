/*
 * The run-time's clock. All time in the project is a usec_t read from such a
 * clock: microseconds, monotonic, going on while the process is stopped.
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

/* A clock that stands still until it is advanced. */
typedef struct manual_clock {
	run_clock_t base;
	usec_t now;
} manual_clock_t;

static inline usec_t clock_now(const run_clock_t *clock)
{
	return clock->ops->now(clock);
}

static inline usec_t usec_clamp(usec_t value, usec_t least, usec_t most)
{
	if (value < least)
		return least;
	return value < most ? value : most;
}

/* An age for logs, in milliseconds; -1: unknown (USEC_NEVER). */
static inline int64_t usec_age_ms(usec_t age)
{
	return age != USEC_NEVER ? (int64_t)(age / USEC_PER_MSEC) : -1;
}

/* The VM's clock. It counts suspended time too (CLOCK_BOOTTIME). */
const run_clock_t *clock_system(void);

void manual_clock_init(manual_clock_t *clock, usec_t now);
void manual_clock_advance(manual_clock_t *clock, usec_t by);
