/*
 * Which customer's connection gives way to another customer's: the one whose loss is expected to
 * cost least. A connection is worth the openings that it saves: its owner needs a new one each time
 * that a statement comes while all the other connections of the owner are in use.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "clock.h"

/* One idle connection that may be closed. */
typedef struct evict_candidate {
	double rate;  /* uses per second of late, of the owner at this member */
	double hold;  /* seconds that a use lasts on the average */
	size_t count; /* connections of the owner to this member, with this one */
	usec_t idle;  /* time since this connection was last used */
} evict_candidate_t;

/*
 * Openings per second that the owner is expected to need if the connection is closed, beyond those
 * that it needs anyhow.
 */
double conn_evict_worth(const evict_candidate_t *candidate);

/*
 * True if a is to be closed rather than b: it is worth less, or as much and has been idle for
 * longer.
 */
bool conn_evict_before(const evict_candidate_t *a, const evict_candidate_t *b);
