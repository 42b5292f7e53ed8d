/*
 * Round-trip time of a peer or a backend server: its smoothed mean and mean deviation, and the time
 * after which an answer is overdue (RFC 6298). Pure.
 */
#pragma once

#include "clock.h"

typedef struct rtt {
	usec_t smoothed;  /* 0: nothing was measured yet */
	usec_t deviation; /* smoothed mean deviation from it */
} rtt_t;

/* Adds a measured round trip. */
void rtt_add(rtt_t *rtt, usec_t sample);

/* Time after which an answer is overdue, the mean and four deviations; 0: nothing was measured. */
usec_t rtt_timeout(const rtt_t *rtt);
