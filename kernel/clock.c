#include "clock.h"

#include <time.h>

static usec_t system_now(const run_clock_t *clock)
{
	struct timespec ts;

	(void)clock;
	/*
	 * Unlike CLOCK_MONOTONIC, this clock includes the time that the VM was suspended. Without
	 * that time, leases and cached data would seem younger than they are.
	 */
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (usec_t)ts.tv_sec * USEC_PER_SEC + (usec_t)ts.tv_nsec / 1000;
}

static usec_t paused_now(const run_clock_t *clock)
{
	return ((const manual_clock_t *)clock)->now;
}

static const clock_ops_t system_ops = {.now = system_now};
static const clock_ops_t paused_ops = {.now = paused_now};
static const run_clock_t system_clock = {.ops = &system_ops};

const run_clock_t *clock_system(void)
{
	return &system_clock;
}

void manual_clock_init(manual_clock_t *clock, usec_t now)
{
	clock->base.ops = &paused_ops;
	clock->now = now;
}

void manual_clock_advance(manual_clock_t *clock, usec_t duration)
{
	clock->now += duration;
}
