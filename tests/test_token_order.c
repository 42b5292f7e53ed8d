/*
 * Which operations the tokens of a customer's limit go to (access/token_order.h): one customer, the
 * shards of its limit, clients that return twice at the time they are told.
 */
#include <string.h>

#include <glib.h>

#include "shard_limit.h"
#include "token_order.h"

#define MSEC USEC_PER_MSEC
#define SEC  USEC_PER_SEC

/* Tokens per second of the customer, and its bucket at each shard. */
#define RATE	    60.0
#define SHARD_BURST 10.0
/* How long clients send. */
#define LENGTH (20 * SEC)
#define STEP   (1 * MSEC)
/* Attempts of a client. */
#define ATTEMPTS 3
/* Parts of the operations by priority: few of the highest, most of the second. */
static const double mix[TOKEN_PRIORITIES] = {0.15, 0.6, 0.25, 0};

typedef struct client {
	unsigned priority;
	unsigned attempts;
	usec_t next_at;
} client_t;

typedef struct outcome {
	unsigned asked[TOKEN_PRIORITIES];
	unsigned served[TOKEN_PRIORITIES];
	unsigned spent;	  /* tokens */
	unsigned refused; /* answers that a client has to return later */
	unsigned gave_up; /* clients that were refused at each attempt */
} outcome_t;

typedef struct play {
	token_order_t orders[LIMIT_SHARDS];
	bucket_t buckets[LIMIT_SHARDS];
	GArray *clients; /* client_t that are to send */
	GRand *rand;
	bool ordered; /* false: all operations have the same priority */
	outcome_t outcome;
} play_t;

/* Asks one shard after the other; returns true, or sets *wait to the least time to return. */
static bool ask_shards(play_t *play, unsigned priority, usec_t now, usec_t *wait)
{
	unsigned first = g_rand_int_range(play->rand, 0, LIMIT_SHARDS);
	unsigned index = play->ordered ? priority : TOKEN_PRIORITIES - 1;

	*wait = USEC_NEVER;
	for (unsigned i = 0; i < LIMIT_SHARDS; i++) {
		unsigned shard = (first + i) % LIMIT_SHARDS;
		token_counts_t wanted = {0};
		token_counts_t granted;
		usec_t told;

		wanted.by_priority[index] = 1;
		if (token_order_take(&play->orders[shard], &play->buckets[shard], &wanted, &granted,
				     now) == 1)
			return true;
		told = token_order_place(&play->orders[shard], &play->buckets[shard], index,
					 1.0 / LIMIT_SHARDS, now);
		*wait = told < *wait ? told : *wait;
	}
	return false;
}

static void add_clients(play_t *play, double per_step)
{
	for (unsigned i = 0; i < TOKEN_PRIORITIES; i++) {
		client_t client = {.priority = i};

		if (g_rand_double(play->rand) >= per_step * mix[i])
			continue;
		play->outcome.asked[i]++;
		g_array_append_val(play->clients, client);
	}
}

/* Sends an attempt; true if the client is done. */
static bool send_attempt(play_t *play, client_t *client, usec_t now)
{
	usec_t wait;

	if (ask_shards(play, client->priority, now, &wait)) {
		play->outcome.served[client->priority]++;
		play->outcome.spent++;
		return true;
	}
	play->outcome.refused++;
	client->next_at = now + wait;
	if (++client->attempts < ATTEMPTS)
		return false;
	play->outcome.gave_up++;
	return true;
}

/* Plays the customer at factor times its limit. */
static outcome_t play_load(double factor, bool ordered)
{
	play_t play = {.ordered = ordered};

	play.clients = g_array_new(FALSE, FALSE, sizeof(client_t));
	play.rand = g_rand_new_with_seed(7);
	for (unsigned i = 0; i < LIMIT_SHARDS; i++)
		bucket_init(&play.buckets[i], RATE / LIMIT_SHARDS, SHARD_BURST, SHARD_BURST, 0);
	for (usec_t now = 0; now < LENGTH; now += STEP) {
		add_clients(&play, factor * RATE * (double)STEP / (double)SEC);
		for (guint i = 0; i < play.clients->len;) {
			client_t *client = &g_array_index(play.clients, client_t, i);

			if (client->next_at <= now && send_attempt(&play, client, now))
				g_array_remove_index_fast(play.clients, i);
			else
				i++;
		}
	}
	g_test_message(
		"%.1f times the limit, %s: spent %u; served %u/%u, %u/%u, %u/%u; refused %u, "
		"gave up %u",
		factor, ordered ? "by priority" : "as they come", play.outcome.spent,
		play.outcome.served[0], play.outcome.asked[0], play.outcome.served[1],
		play.outcome.asked[1], play.outcome.served[2], play.outcome.asked[2],
		play.outcome.refused, play.outcome.gave_up);
	g_array_free(play.clients, TRUE);
	g_rand_free(play.rand);
	return play.outcome;
}

/* Tokens that the limit allows in the play. */
static unsigned allowed(void)
{
	return (unsigned)(RATE * (double)LENGTH / (double)SEC + LIMIT_SHARDS * SHARD_BURST);
}

static double part_served(const outcome_t *outcome, unsigned priority)
{
	return (double)outcome->served[priority] / (double)outcome->asked[priority];
}

/* Guards against a limit that is not used up while callers are refused, or that is exceeded. */
static void test_limit_is_used_up(void)
{
	static const double factors[] = {1.2, 2, 7.5};

	for (size_t i = 0; i < G_N_ELEMENTS(factors); i++) {
		outcome_t outcome = play_load(factors[i], true);

		g_assert_cmpuint(outcome.spent, <=, allowed());
		g_assert_cmpuint(outcome.spent, >=, allowed() * 95 / 100);
	}
}

/*
 * Guards against low priorities that take the tokens of high ones: while those need less
 * than the limit, nearly all of them are served, and more than as they come.
 */
static void test_higher_first(void)
{
	outcome_t some = play_load(1.2, true);
	outcome_t twice = play_load(2, true);
	outcome_t even = play_load(2, false);

	g_assert_cmpfloat(part_served(&some, 0), >=, 0.99);
	g_assert_cmpfloat(part_served(&some, 1), >=, 0.95);
	g_assert_cmpfloat(part_served(&twice, 0), >=, 0.99);
	g_assert_cmpfloat(part_served(&twice, 0), >, part_served(&even, 0));
}

/* Guards against low priorities that get nothing while a flood of higher ones lasts. */
static void test_floor(void)
{
	outcome_t flood = play_load(7.5, true);

	g_assert_cmpuint(flood.served[1], >=, flood.spent / 20);
	g_assert_cmpuint(flood.served[2], >=, flood.spent / 20);
	g_assert_cmpuint(flood.served[0], >=, flood.spent * 3 / 4);
}

/* Guards against clients that are told times at which they are refused again and again. */
static void test_told_times(void)
{
	outcome_t some = play_load(1.2, true);

	g_assert_cmpuint(some.refused, <=, ATTEMPTS * some.gave_up * 2);
	g_assert_cmpuint(some.gave_up, <=,
			 (some.asked[0] + some.asked[1] + some.asked[2]) * 20 / 100);
}

/* Guards against a reserve that refuses a customer below its limit. */
static void test_below_limit(void)
{
	outcome_t outcome = play_load(0.5, true);

	g_assert_cmpuint(outcome.refused, ==, 0);
}

/* Guards against a priority beyond the last one that is counted outside the table. */
static void test_index(void)
{
	g_assert_cmpuint(token_order_index(-1), ==, 0);
	g_assert_cmpuint(token_order_index(2), ==, 2);
	g_assert_cmpuint(token_order_index(1000), ==, TOKEN_PRIORITIES - 1);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/token-order/used-up", test_limit_is_used_up);
	g_test_add_func("/token-order/higher-first", test_higher_first);
	g_test_add_func("/token-order/floor", test_floor);
	g_test_add_func("/token-order/told-times", test_told_times);
	g_test_add_func("/token-order/below-limit", test_below_limit);
	g_test_add_func("/token-order/index", test_index);
	return g_test_run();
}
