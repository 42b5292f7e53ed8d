#include "shard_limit.h"

/*
 * Part of the slack that is used: what is counted when a statement is let through reaches the
 * member a little later, so windows that are measured there differ by some statements.
 */
#define SLACK_USED 0.8
/*
 * Part of what may be let through at once that a process which has just started may hand out. Its
 * earlier life may just have used up the rest; without any, callers that come back after a restart
 * of the fleet would be refused until the first tokens are there.
 */
#define AT_START 0.4

shard_limit_t shard_limit_compute(const customer_t *customer, const limit_slack_t *slack)
{
	double more = 1 + slack->fraction * SLACK_USED;
	double at_once = customer->burst * more + slack->operations * SLACK_USED;

	return (shard_limit_t){
		.rate = customer->rate * more / LIMIT_SHARDS,
		.burst = at_once * (1 - AT_START) / LIMIT_SHARDS,
		.initial = at_once * AT_START / LIMIT_SHARDS,
	};
}
