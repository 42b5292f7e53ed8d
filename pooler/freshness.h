/*
 * How fresh a replica must be. A statement that was sent to the primary at our
 * time t and came back with log position p proves that p covers every commit
 * acknowledged before t. A replica whose log holds p is then at most now - t
 * behind. Only our own clock is used, and only while the primary was permitted
 * when the statement was sent.
 */
#pragma once

#include <stddef.h>

#include "clock.h"
#include "position.h"

/* Between two kept samples. */
#define FRESHNESS_SPACING (40 * USEC_PER_MSEC)
/* Samples kept: 5 s of them at that spacing, longer than the usual bound of a route. */
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

/* NULL stands for no samples wherever they are read or forgotten. */

/* Forget everything: the samples' primary is no longer the primary. */
void freshness_reset(freshness_t *freshness);

void freshness_add(freshness_t *freshness, usec_t sent_at, position_t position);

/* When the primary was last known to have no more than position; 0 if that is not known. */
usec_t freshness_position_time(const freshness_t *freshness, position_t position);

/*
 * The oldest position that makes a read at most max_age old at now; replicas
 * are most likely to hold that one. Returns false if no sample is young enough.
 */
bool freshness_min_position(const freshness_t *freshness, usec_t now, usec_t max_age,
			    sample_t *sample);
