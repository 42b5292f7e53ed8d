#include "conn_use.h"

#include <math.h>

#include <talloc.h>

/*
 * Time in which the weight of a use falls to 1/e. Long enough to tell customers apart that use a
 * connection once in some seconds, short enough to follow a customer whose demand changes.
 */
#define RATE_TIME_S 4.0
/* Each use counts for this part of the average time that a use lasts. */
#define HOLD_WEIGHT 0.1
/* Time that a use is assumed to last before one was measured: a statement and its round trip. */
#define HOLD_INITIAL_S 0.02

const char *const conn_cause_names[CONN_CAUSE_COUNT] = {
	[CONN_CAUSE_FIRST] = "first", [CONN_CAUSE_BUSY] = "busy", [CONN_CAUSE_EVICTED] = "evicted",
	[CONN_CAUSE_IDLE] = "idle",   [CONN_CAUSE_LOST] = "lost",
};

static const conn_cause_t cause_of_end[] = {
	[CONN_END_EVICTED] = CONN_CAUSE_EVICTED,
	[CONN_END_IDLE] = CONN_CAUSE_IDLE,
	[CONN_END_LOST] = CONN_CAUSE_LOST,
};

conn_use_t *conn_use_get(void *parent, conn_use_t **table, const void *owner)
{
	conn_use_t *use;

	HASH_FIND_PTR(*table, &owner, use);
	if (use != NULL)
		return use;
	use = talloc_zero(parent, conn_use_t);
	use->owner = owner;
	use->hold = HOLD_INITIAL_S;
	HASH_ADD_PTR(*table, owner, use);
	return use;
}

conn_cause_t conn_use_on_open(conn_use_t *use)
{
	conn_end_t end = use->last_end;

	use->last_end = CONN_END_NONE;
	if (use->count++ != 0 && end == CONN_END_NONE)
		return CONN_CAUSE_BUSY;
	return end == CONN_END_NONE ? CONN_CAUSE_FIRST : cause_of_end[end];
}

void conn_use_on_closed(conn_use_t *use, conn_end_t end, usec_t now)
{
	use->count--;
	use->last_end = end;
	use->ended_at = now;
}

double conn_use_rate(const conn_use_t *use, usec_t now)
{
	double passed = (double)(now - use->rated_at) / (double)USEC_PER_SEC;

	return use->rate * exp(-passed / RATE_TIME_S);
}

void conn_use_on_taken(conn_use_t *use, usec_t now)
{
	use->rate = conn_use_rate(use, now) + 1 / RATE_TIME_S;
	use->rated_at = now;
}

void conn_use_on_returned(conn_use_t *use, usec_t held)
{
	use->hold += ((double)held / (double)USEC_PER_SEC - use->hold) * HOLD_WEIGHT;
}
