#include "estimate.h"

#include <string.h>

#include <talloc.h>

/* Each sample counts for an eighth of the mean and a quarter of the deviation. */
#define MEAN_SMOOTHING	    8
#define DEVIATION_SMOOTHING 4
/*
 * Time without a sample after which an estimate is halved, and again each such time. Longer than
 * most objectives, and short beside an overload.
 */
#define HALF_LIFE (500 * USEC_PER_MSEC)
/*
 * Time without a sample after which the next one starts the estimate anew: else it would bring back
 * what has been halved.
 */
#define FORGOTTEN_AFTER (4 * HALF_LIFE)
/* Halvings after which nothing is left of any estimate. */
#define HALVINGS_MAX 32

/* Moves value towards sample by that part of the distance. */
static usec_t approach(usec_t value, usec_t sample, unsigned part)
{
	return sample > value ? value + (sample - value) / part : value - (value - sample) / part;
}

void estimate_add(estimate_t *estimate, usec_t sample, usec_t now)
{
	usec_t error;

	if (estimate->updated_at == 0 || now - estimate->updated_at >= FORGOTTEN_AFTER) {
		*estimate = (estimate_t){sample, sample / 2, now};
		return;
	}
	error = sample > estimate->mean ? sample - estimate->mean : estimate->mean - sample;
	estimate->deviation = approach(estimate->deviation, error, DEVIATION_SMOOTHING);
	estimate->mean = approach(estimate->mean, sample, MEAN_SMOOTHING);
	estimate->updated_at = now;
}

estimate_t estimate_at(const estimate_t *estimate, usec_t now)
{
	estimate_t aged = *estimate;
	usec_t halvings = (now - estimate->updated_at) / HALF_LIFE;

	if (halvings > HALVINGS_MAX)
		halvings = HALVINGS_MAX;
	aged.mean >>= halvings;
	aged.deviation >>= halvings;
	return aged;
}

usec_t usage_at(usage_t *usage, usec_t now)
{
	usec_t halvings = (now - usage->halved_at) / HALF_LIFE;

	usage->work >>= halvings < HALVINGS_MAX ? halvings : HALVINGS_MAX;
	usage->halved_at += halvings * HALF_LIFE;
	return usage->work;
}

void usage_add(usage_t *usage, usec_t work, usec_t now)
{
	usage->work = usage_at(usage, now) + work;
}

route_estimate_t *route_estimate_get(list_t *estimates, void *parent, const char *database)
{
	route_estimate_t *estimate;

	list_for_each (it, estimates) {
		estimate = list_entry(it, route_estimate_t, node);
		if (strcmp(estimate->database, database) == 0)
			return estimate;
	}
	estimate = talloc_zero(parent, route_estimate_t);
	estimate->database = talloc_strdup(estimate, database);
	list_add_tail(estimates, &estimate->node);
	return estimate;
}
