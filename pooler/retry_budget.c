#include "retry_budget.h"

static void earn(retry_budget_t *budget, double retries)
{
	budget->spent = budget->spent > retries ? budget->spent - retries : 0;
}

void retry_budget_on_success(retry_budget_t *budget)
{
	earn(budget, 1.0 / RETRY_BUDGET_SUCCESSES);
}

bool retry_budget_take(retry_budget_t *budget, usec_t now)
{
	usec_t elapsed = now > budget->updated_at ? now - budget->updated_at : 0;

	budget->updated_at = now;
	earn(budget, (double)elapsed * RETRY_BUDGET_RATE / (double)USEC_PER_SEC);
	if (budget->spent + 1 > RETRY_BUDGET_MAX)
		return false;
	budget->spent++;
	return true;
}
