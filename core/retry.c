#include "retry.h"

#define RETRY_TOKENS_PER_SUCCESS 0.1
#define RETRY_TOKENS_MAX	 20.0

void retry_budget_init(group_t *group)
{
	group->retry_tokens = RETRY_TOKENS_MAX;
}

void retry_budget_credit(group_t *group)
{
	group->retry_tokens += RETRY_TOKENS_PER_SUCCESS;
	if (group->retry_tokens > RETRY_TOKENS_MAX)
		group->retry_tokens = RETRY_TOKENS_MAX;
}

bool retry_budget_spend(group_t *group)
{
	if (group->retry_tokens < 1.0)
		return false;
	group->retry_tokens -= 1.0;
	return true;
}
