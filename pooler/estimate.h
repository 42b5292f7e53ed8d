/*
 * Running estimates of durations: the mean and the mean deviation, as those of round-trip times in
 * TCP. Kept for each database of a service, since the statements of routes differ several times in
 * the work that they are for a member.
 */
#pragma once

#include "clock.h"
#include "list.h"

typedef struct estimate {
	usec_t mean;
	usec_t deviation;
	usec_t updated_at; /* 0: no sample yet */
} estimate_t;

/* Estimates for the statements of one database. */
typedef struct route_estimate {
	list_t node; /* in service_t.estimates */
	const char *database;
	estimate_t response; /* from sending a statement until its answer */
	estimate_t work;     /* time of a slot of the member */
} route_estimate_t;

/* Work done lately: that of the last half-life counts fully, older work half, and so on. */
typedef struct usage {
	usec_t work;
	usec_t halved_at;
} usage_t;

void usage_add(usage_t *usage, usec_t work, usec_t now);
usec_t usage_at(usage_t *usage, usec_t now);

void estimate_add(estimate_t *estimate, usec_t sample, usec_t now);

/*
 * The estimate at that time: without new samples it is halved again and again. A member that was
 * slow for a while would otherwise get no statements, and never be measured as fast again.
 */
estimate_t estimate_at(const estimate_t *estimate, usec_t now);

/* Returns the estimates for the database from the list, creating them if needed. */
route_estimate_t *route_estimate_get(list_t *estimates, void *parent, const char *database);
