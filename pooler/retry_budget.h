/*
 * The budget of a service's own retries, which callers don't notice: a part of its successes and a
 * small constant rate. When members or homes fail one statement after another, retries end early
 * instead of adding their load to an overload.
 */
#pragma once

#include <stdbool.h>

#include "clock.h"

typedef struct retry_budget {
	double spent; /* of RETRY_BUDGET_MAX; 0 at the start */
	usec_t updated_at;
} retry_budget_t;

/* Retries that may follow each other when the budget is full. */
#define RETRY_BUDGET_MAX 100
/* Successes that earn one retry. */
#define RETRY_BUDGET_SUCCESSES 10
/* Retries per second that need no success. */
#define RETRY_BUDGET_RATE 20

void retry_budget_on_success(retry_budget_t *budget);

/* Takes one retry from the budget; returns false if none is left. */
bool retry_budget_take(retry_budget_t *budget, usec_t now);
