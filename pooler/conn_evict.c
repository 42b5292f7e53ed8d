#include "conn_evict.h"

/*
 * Part of the uses of a customer with the offered load (uses per second times their duration) that
 * find all of count connections in use: the Erlang B formula, by its recursion.
 */
static double blocked_part(double load, size_t count)
{
	double blocked = 1;

	for (size_t i = 1; i <= count; i++)
		blocked = load * blocked / ((double)i + load * blocked);
	return blocked;
}

double conn_evict_worth(const evict_candidate_t *candidate)
{
	double load = candidate->rate * candidate->hold;
	size_t count = candidate->count;

	if (count == 0)
		return candidate->rate;
	return candidate->rate * (blocked_part(load, count - 1) - blocked_part(load, count));
}

bool conn_evict_before(const evict_candidate_t *a, const evict_candidate_t *b)
{
	double worth_a = conn_evict_worth(a);
	double worth_b = conn_evict_worth(b);

	return worth_a < worth_b || (worth_a == worth_b && a->idle > b->idle);
}
