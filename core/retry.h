/*
 * Retry budget of a group: first attempts earn a fraction of a retry, so that
 * retries stay a small share of the load and can't keep a struggling group
 * down after a failover.
 */
#pragma once

#include "state.h"

/* A new group starts with a full budget. */
void retry_budget_init(group_t *group);

void retry_budget_credit(group_t *group);

/* True if the budget had room; one retry is taken from it. */
bool retry_budget_spend(group_t *group);
