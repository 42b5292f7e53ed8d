#include "token_order.h"

#include <math.h>
#include <stdbool.h>

/*
 * Time in which the weight of an operation asked for falls to 1/e: some tens of operations of a
 * customer at its limit, and short beside the time for which a customer exceeds it.
 */
#define DEMAND_TIME_S 1.0
/*
 * Part of the tokens given to a higher priority that those below it get in any case, divided by
 * what they ask for: callers of a low priority wait longer, but none is without service as long as
 * its customer has any.
 */
#define FLOOR_PART 0.2
/* Tokens that a priority may have due; with more, one that asks seldom would get a burst. */
#define FLOOR_MAX 2.0
/* Largest part of the bucket that is reserved for higher priorities. */
#define RESERVE_PART_MAX 0.5
/* A priority without this demand, one operation in some seconds, has no reserve and no floor. */
#define DEMAND_MIN_PER_S 0.05

unsigned token_order_index(int64_t priority)
{
	if (priority < 0)
		return 0;
	return priority < TOKEN_PRIORITIES ? (unsigned)priority : TOKEN_PRIORITIES - 1;
}

static void age_demand(token_order_t *order, usec_t now)
{
	double factor;

	if (now <= order->updated_at)
		return;
	factor = exp(-(double)(now - order->updated_at) / (double)USEC_PER_SEC / DEMAND_TIME_S);
	for (unsigned i = 0; i < TOKEN_PRIORITIES; i++)
		order->demand[i] *= factor;
	order->updated_at = now;
}

/* Tokens per second that the priorities above this one ask for. */
static double demand_above(const token_order_t *order, unsigned priority)
{
	double sum = 0;

	for (unsigned i = 0; i < priority; i++)
		sum += order->demand[i];
	return sum;
}

/*
 * Tokens that are left to higher priorities: as many as their operations take on the average until
 * the bucket has made up for one, which grows with the part of the rate that they use.
 */
static double reserve_for_higher(const token_order_t *order, const bucket_t *bucket,
				 unsigned priority)
{
	double above = demand_above(order, priority);
	double most = bucket->burst * RESERVE_PART_MAX;
	double reserve;

	if (above < DEMAND_MIN_PER_S)
		return 0;
	if (above >= bucket->rate)
		return most;
	reserve = bucket->rate / (bucket->rate - above);
	return reserve < most ? reserve : most;
}

/* Tokens that lower priorities are to get before this one. */
static double floor_of_lower(const token_order_t *order, unsigned priority)
{
	double sum = 0;

	for (unsigned i = priority + 1; i < TOKEN_PRIORITIES; i++) {
		if (order->floor[i] >= 1 && order->demand[i] >= DEMAND_MIN_PER_S)
			sum += 1;
	}
	return sum;
}

/* Tokens that must be left when the priority has taken one. */
static double left_after(const token_order_t *order, const bucket_t *bucket, unsigned priority)
{
	double left = floor_of_lower(order, priority);

	if (order->floor[priority] < 1)
		left += reserve_for_higher(order, bucket, priority);
	/* The bucket must be able to hold what is asked of it. */
	return left < bucket->burst - 1 ? left : bucket->burst - 1;
}

/* Notes what is due to the priorities below this one for a token that it takes. */
static void raise_floors(token_order_t *order, unsigned priority)
{
	double below = 0;

	for (unsigned i = priority + 1; i < TOKEN_PRIORITIES; i++)
		below += order->demand[i];
	for (unsigned i = priority + 1; i < TOKEN_PRIORITIES && below > 0; i++) {
		order->floor[i] += FLOOR_PART * order->demand[i] / below;
		if (order->floor[i] > FLOOR_MAX)
			order->floor[i] = FLOOR_MAX;
	}
}

/* Takes one token for the priority, unless too few are left for others. */
static bool take_one(token_order_t *order, bucket_t *bucket, unsigned priority, usec_t now)
{
	if (bucket->tokens < 1 || bucket->tokens < 1 + left_after(order, bucket, priority) ||
	    bucket_take(bucket, 1, now) == 0)
		return false;
	if (order->floor[priority] >= 1)
		order->floor[priority] -= 1;
	raise_floors(order, priority);
	return true;
}

unsigned token_order_take(token_order_t *order, bucket_t *bucket, const token_counts_t *wanted,
			  token_counts_t *granted, usec_t now)
{
	unsigned sum = 0;

	age_demand(order, now);
	bucket_take(bucket, 0, now);
	for (unsigned i = 0; i < TOKEN_PRIORITIES; i++)
		order->demand[i] += wanted->by_priority[i] / DEMAND_TIME_S;
	*granted = (token_counts_t){0};
	for (unsigned i = 0; i < TOKEN_PRIORITIES; i++) {
		while (granted->by_priority[i] < wanted->by_priority[i] &&
		       take_one(order, bucket, i, now))
			granted->by_priority[i]++;
		sum += granted->by_priority[i];
	}
	return sum;
}

/* Tokens per second that are left for the priority. */
static double rate_left(const token_order_t *order, const bucket_t *bucket, unsigned priority)
{
	double left = bucket->rate - demand_above(order, priority);
	double least = bucket->rate * FLOOR_PART;

	return left > least ? left : least;
}

usec_t token_order_place(token_order_t *order, bucket_t *bucket, unsigned priority, double count,
			 usec_t now)
{
	double rate = rate_left(order, bucket, priority);
	double lacking = 1 + left_after(order, bucket, priority) - bucket->tokens;
	usec_t latest = now + PLACE_TIME_MAX;
	usec_t first;

	if (rate <= 0)
		return PLACE_TIME_MAX;
	first = now + (usec_t)((lacking > 0 ? lacking / rate : 0) * (double)USEC_PER_SEC) + 1;
	if (first < order->next_place[priority])
		first = order->next_place[priority];
	if (first > latest)
		first = latest;
	order->next_place[priority] = first + (usec_t)(count / rate * (double)USEC_PER_SEC);
	if (order->next_place[priority] > latest)
		order->next_place[priority] = latest;
	return first - now;
}
