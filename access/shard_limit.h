/*
 * How a customer's limit is divided into limit shards. If a single proxy counted all operations of
 * a customer, its failure would stop all of them. So the limit is split into LIMIT_SHARDS equal
 * shards, each counted by a proxy of its own, the shard owner (shard_owners.h), which alone may use
 * that part of the limit. A proxy that finds a shard used up, or its owner unreachable, requests
 * tokens from the owner of the next shard.
 */
#pragma once

#include <stddef.h>

#include "customers.h"

/* Shards of each limit. While one owner is down, two thirds of the limit remain available. */
#define LIMIT_SHARDS 3

/*
 * The tolerance, set by the operators, by which a limit may be exceeded, since a distributed count
 * is never exact at every moment.
 */
typedef struct limit_slack {
	double fraction;   /* of the operations that the limit allows in a time window */
	double operations; /* allowed in a window in addition */
} limit_slack_t;

/* The operations that one limit shard may admit, as parameters of a token bucket. */
typedef struct shard_limit {
	double rate;	/* operations per second */
	double burst;	/* operations at once */
	double initial; /* tokens of a process at its start, when it has counted nothing yet */
} shard_limit_t;

/* The parameters of each of the customer's shards. */
shard_limit_t shard_limit_compute(const customer_t *customer, const limit_slack_t *slack);
