/*
 * Retry budget of a group (a token bucket): each success adds a fraction of a token
 * and each retry takes one. So retries stay a small share of the load and can't keep
 * an overloaded group down after a failover.
 */
#pragma once

#include "state.h"

/* A new group starts with a full budget. */
void retry_budget_init(group_t *group);

void retry_budget_credit(group_t *group);

/* Take one token; false if there is none. */
bool retry_budget_spend(group_t *group);
