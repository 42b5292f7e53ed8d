/*
 * Which operations the tokens of a limit shard go to while there are too few: those of the higher
 * priorities first, with a floor for each lower one. The owner of the shard keeps, per priority,
 * the rate at which tokens were asked for of late. An operation of a lower priority takes a token
 * only if enough are left for the higher ones that are likely to come; what they don't use is not
 * lost, since the tokens above that reserve are for everybody.
 *
 * An operation that gets none is told when one is likely free for it: each further one of its
 * priority gets a later place, at the rate at which tokens are left for that priority. Those that
 * are told to return count as demand, so lower priorities don't get their tokens meanwhile. The
 * places are kept as one time per priority, so they take no memory; they end with the process, or
 * PLACE_TIME_MAX after the last one was given. Within a priority an operation that returns has no
 * precedence over a new one, since the attempts of a client have no name in common.
 */
#pragma once

#include "bucket.h"

/* Priorities that are told apart: 0 is the highest, the last one stands for all lower ones. */
#define TOKEN_PRIORITIES 4
/*
 * Latest place that is promised; clients that are told more have given up by then, and the demand
 * has changed.
 */
#define PLACE_TIME_MAX (1 * USEC_PER_SEC)

/* Operations by priority. */
typedef struct token_counts {
	unsigned by_priority[TOKEN_PRIORITIES];
} token_counts_t;

typedef struct token_order {
	double demand[TOKEN_PRIORITIES]; /* tokens asked for per second, as of updated_at */
	double floor[TOKEN_PRIORITIES];	 /* tokens due to the priority whatever higher ones ask */
	usec_t next_place[TOKEN_PRIORITIES]; /* when the next token without a place is likely free
					      */
	usec_t updated_at;
} token_order_t;

/* The index of a route's priority in token_counts_t. */
unsigned token_order_index(int64_t priority);

/* Takes tokens for the wanted operations, in order; *granted: how many by priority. */
unsigned token_order_take(token_order_t *order, bucket_t *bucket, const token_counts_t *wanted,
			  token_counts_t *granted, usec_t now);

/*
 * Gives count operations of the priority a place and returns the time until the first of them is
 * likely to get a token; at most PLACE_TIME_MAX. An operation that asks several shards counts for
 * its part at each.
 */
usec_t token_order_place(token_order_t *order, bucket_t *bucket, unsigned priority, double count,
			 usec_t now);
