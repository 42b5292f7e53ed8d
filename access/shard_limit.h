/*
 * How a customer's limit is divided among those who count. One process that counts everything would
 * be missed by all whenever it is gone; so there are LIMIT_SHARDS of them, each with an equal share
 * that no other one may use. A caller who finds one share used up, or nobody there, asks the next.
 */
#pragma once

#include <stddef.h>

#include "customers.h"

/* Shares of each limit: two thirds of it are left while one of those who count is gone. */
#define LIMIT_SHARDS 3

/* How far the operators let a limit be exceeded, since nobody can count exactly at once. */
typedef struct limit_slack {
	double fraction;   /* of what a window allows */
	double operations; /* and so many */
} limit_slack_t;

/* What one seat may let through, as a token bucket. */
typedef struct shard_limit {
	double rate;
	double burst;
	double initial; /* of a process that does not know what was let through before it started */
} shard_limit_t;

shard_limit_t shard_limit_compute(const customer_t *customer, const limit_slack_t *slack);
