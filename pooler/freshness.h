/*
 * Freshness of replicas. If a statement was sent to the primary at time t of this process's clock,
 * and the reply carried log position p, then p covers every commit that was acknowledged before t.
 * So a replica whose log contains p is at most now - t behind. Only this process's own clock is
 * used, and a sample counts only if the primary was permitted when the statement was sent.
 */
#pragma once

#include <stddef.h>

#include "clock.h"
#include "position.h"

/* Minimum time between two stored samples. */
#define FRESHNESS_SPACING (40 * USEC_PER_MSEC)
/*
 * Samples stored: 5 s of them at that spacing, which is longer than the usual max_age of a route.
 */
#define FRESHNESS_SAMPLES 128

typedef struct sample {
	usec_t sent_at;
	position_t position;
} sample_t;

typedef struct freshness {
	sample_t ring[FRESHNESS_SAMPLES];
	size_t next;
	size_t len;
} freshness_t;

/* NULL is accepted as an empty set by all functions except freshness_add(). */

/* Drops all samples, since their primary is no longer the primary. */
void freshness_reset(freshness_t *freshness);

void freshness_add(freshness_t *freshness, usec_t sent_at, position_t position);

/*
 * The latest time at which the primary certainly had no commit beyond position; 0: no such time is
 * recorded.
 */
usec_t freshness_position_time(const freshness_t *freshness, position_t position);

/*
 * The oldest position that makes a read at most max_age old at the time now; a replica is most
 * likely to have that one. False if no sample is recent enough.
 */
bool freshness_min_position(const freshness_t *freshness, usec_t now, usec_t max_age,
			    sample_t *sample);
