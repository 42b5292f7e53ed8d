#include "shard_limit.h"

/*
 * Fraction of the slack that the shards use up. A statement is counted when it is admitted and
 * reaches the database member a little later, so a time window measured at the member differs from
 * the count by some statements.
 */
#define SLACK_USED_FRACTION 0.8
/*
 * Fraction of the burst that a process may grant right after its start. The process that it
 * replaces may just have granted the rest. With no initial tokens, callers that reconnect after a
 * restart of all proxies would be refused until the first tokens have accumulated.
 */
#define INITIAL_FRACTION 0.4

shard_limit_t shard_limit_compute(const customer_t *customer, const limit_slack_t *slack)
{
	double factor = 1 + slack->fraction * SLACK_USED_FRACTION;
	double burst = customer->burst * factor + slack->operations * SLACK_USED_FRACTION;

	return (shard_limit_t){
		.rate = customer->rate * factor / LIMIT_SHARDS,
		.burst = burst * (1 - INITIAL_FRACTION) / LIMIT_SHARDS,
		.initial = burst * INITIAL_FRACTION / LIMIT_SHARDS,
	};
}
