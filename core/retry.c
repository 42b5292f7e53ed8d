#include "retry.h"

#define TOKENS_PER_SUCCESS 0.1
#define TOKENS_MAX	   20.0

void retry_budget_init(group_t *group)
{
	group->retry_tokens = TOKENS_MAX;
}

void retry_budget_credit(group_t *group)
{
	group->retry_tokens += TOKENS_PER_SUCCESS;
	if (group->retry_tokens > TOKENS_MAX)
		group->retry_tokens = TOKENS_MAX;
}

bool retry_budget_spend(group_t *group)
{
	if (group->retry_tokens < 1.0)
		return false;
	group->retry_tokens -= 1.0;
	return true;
}
