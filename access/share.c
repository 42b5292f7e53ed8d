#include "share.h"

/*
 * Part of the slack that is used: what is counted when a statement is let through reaches the
 * member a little later, so windows that are measured there differ by some statements.
 */
#define SLACK_USED 0.8
/*
 * Part of the slack in operations that a process that has just started may hand out, so that
 * callers need not wait for the first tokens; its earlier life may just have used up everything
 * else.
 */
#define SLACK_AT_START 0.4

limit_share_t limit_share(const customer_t *customer, const limit_slack_t *slack)
{
	double more = 1 + slack->part * SLACK_USED;
	double operations = slack->operations * SLACK_USED;
	double initial = operations * SLACK_AT_START;

	return (limit_share_t){
		.rate = customer->rate * more / LIMIT_SEATS,
		.burst = (customer->burst * more + operations - initial) / LIMIT_SEATS,
		.initial = initial / LIMIT_SEATS,
	};
}
