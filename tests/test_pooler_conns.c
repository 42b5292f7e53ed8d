/*
 * Connections among customers: which one gives way (conn_evict.h), whether one is opened
 * (opening_rule.h), what a customer uses (conn_use.h), and a proxy with more customers than
 * connections.
 */
#include <stdio.h>

#include <glib.h>
#include <talloc.h>

#include "caller.h"
#include "conn_evict.h"
#include "opening_rule.h"
#include "pool_world.h"

#define MSEC USEC_PER_MSEC
#define SEC  USEC_PER_SEC

/* --- which one gives way --- */

/*
 * Guards against closing the only connection of a customer that needs it every second while a
 * large customer has one more than it uses.
 */
static void test_spare_gives_way(void)
{
	evict_candidate_t only = {.rate = 1, .hold = 0.02, .count = 1, .idle = 900 * MSEC};
	evict_candidate_t spare = {.rate = 20, .hold = 0.02, .count = 4, .idle = 40 * MSEC};
	evict_candidate_t needed = {.rate = 20, .hold = 0.02, .count = 1, .idle = 40 * MSEC};

	g_assert_true(conn_evict_before(&spare, &only));
	g_assert_false(conn_evict_before(&only, &spare));
	g_assert_true(conn_evict_before(&only, &needed));
}

/* Guards against an order that depends on the list: of equal ones the longer idle gives way. */
static void test_longer_idle_gives_way(void)
{
	evict_candidate_t old = {.rate = 1, .hold = 0.02, .count = 1, .idle = 2 * SEC};
	evict_candidate_t new = {.rate = 1, .hold = 0.02, .count = 1, .idle = 1 * SEC};

	g_assert_true(conn_evict_before(&old, &new));
	g_assert_false(conn_evict_before(&new, &old));
}

/* Guards against a worth that grows without bound or is negative at the edges. */
static void test_worth_is_bounded(void)
{
	evict_candidate_t c = {.rate = 5, .hold = 0.02, .count = 0};
	double last = conn_evict_worth(&c);

	for (c.count = 1; c.count < 20; c.count++) {
		double worth = conn_evict_worth(&c);

		g_assert_cmpfloat(worth, >=, 0);
		g_assert_cmpfloat(worth, <=, last);
		last = worth;
	}
	c = (evict_candidate_t){.rate = 0, .hold = 0.02, .count = 1};
	g_assert_cmpfloat(conn_evict_worth(&c), ==, 0);
}

/* --- what a customer uses --- */

/* Guards against a rate that keeps a customer's connections long after its demand has ended. */
static void test_rate_follows_demand(void)
{
	conn_use_t *table = NULL;
	void *parent = talloc_new(NULL);
	conn_use_t *use = conn_use_get(parent, &table, &table);
	usec_t now = 0;

	g_assert_true(conn_use_get(parent, &table, &table) == use);
	for (int i = 0; i < 300; i++) {
		now += 100 * MSEC;
		conn_use_on_taken(use, now);
	}
	g_assert_cmpfloat(conn_use_rate(use, now), >, 8);
	g_assert_cmpfloat(conn_use_rate(use, now), <, 12);
	g_assert_cmpfloat(conn_use_rate(use, now + 20 * SEC), <, 0.1);
	HASH_CLEAR(hh, table);
	talloc_free(parent);
}

/* Guards against openings that are counted for the wrong cause. */
static void test_causes(void)
{
	conn_use_t use = {0};

	g_assert_cmpint(conn_use_on_open(&use), ==, CONN_CAUSE_FIRST);
	g_assert_cmpint(conn_use_on_open(&use), ==, CONN_CAUSE_BUSY);
	conn_use_on_closed(&use, CONN_END_EVICTED, SEC);
	g_assert_cmpint(conn_use_on_open(&use), ==, CONN_CAUSE_EVICTED);
	conn_use_on_closed(&use, CONN_END_IDLE, SEC);
	conn_use_on_closed(&use, CONN_END_LOST, SEC);
	g_assert_cmpuint(use.count, ==, 0);
	g_assert_cmpint(conn_use_on_open(&use), ==, CONN_CAUSE_LOST);
}

/* --- whether one is opened --- */

/* A caller that has just come to a member with free slots and has no connection. */
static opening_case_t usual_case(void)
{
	return (opening_case_t){
		.objective = 200 * MSEC,
		.time_left = 1000 * MSEC,
		.response_time = 20 * MSEC,
		.own_waiting = 1,
		.slots = 2,
	};
}

/* Guards against a connection for each member and each look while one caller waits. */
static void test_one_for_each_caller(void)
{
	opening_case_t c = usual_case();

	g_assert_cmpint(opening_decide(&c), ==, OPENING_NOW);
	c.own_opening = 1;
	g_assert_cmpint(opening_decide(&c), ==, OPENING_UNDER_WAY);
	c.own_waiting = 2;
	g_assert_cmpint(opening_decide(&c), ==, OPENING_NOW);
}

/* Guards against slot time spent for a caller that is gone when the connection is ready. */
static void test_none_in_vain(void)
{
	opening_case_t c = usual_case();

	c.waited = 975 * MSEC;
	c.time_left = 25 * MSEC;
	g_assert_cmpint(opening_decide(&c), ==, OPENING_IN_VAIN);
	c.waited = 0;
	c.time_left = 10 * MSEC;
	g_assert_cmpint(opening_decide(&c), ==, OPENING_IN_VAIN);
}

/*
 * Guards against a member that is never measured again: it was slow and has lost its connections,
 * and only replies on new ones change its usual response time.
 */
static void test_stale_response_time(void)
{
	opening_case_t c = usual_case();

	c.response_time = 2000 * MSEC;
	g_assert_cmpint(opening_decide(&c), ==, OPENING_NOW);
	c.waited = 600 * MSEC;
	c.time_left = 400 * MSEC;
	g_assert_cmpint(opening_decide(&c), ==, OPENING_IN_VAIN);
}

/* Guards against openings that take all slots of a member while statements wait for them. */
static void test_paced(void)
{
	opening_case_t c = usual_case();

	c.running = 2;
	g_assert_cmpint(opening_decide(&c), ==, OPENING_NOW);
	c.opening = 1;
	g_assert_cmpint(opening_decide(&c), ==, OPENING_PACED);
	c.running = 0;
	g_assert_cmpint(opening_decide(&c), ==, OPENING_NOW);
	c.running = 4;
	c.slots = 0;
	g_assert_cmpint(opening_decide(&c), ==, OPENING_NOW);
	/* With a small part of a slot one at a time goes on. */
	c.slots = 0.2;
	g_assert_cmpint(opening_decide(&c), ==, OPENING_PACED);
	c.opening = 0;
	g_assert_cmpint(opening_decide(&c), ==, OPENING_NOW);
}

/*
 * Guards against openings that multiply at an overloaded member, since overdue ones were counted no
 * more; and against a member that is never opened a connection to, since lost ones are counted.
 */
static void test_overdue_are_paced(void)
{
	opening_case_t c = usual_case();

	c.slots = 4;
	c.running = 4;
	c.overdue = 2;
	g_assert_cmpint(opening_decide(&c), ==, OPENING_NOW);
	c.opening = 1;
	g_assert_cmpint(opening_decide(&c), ==, OPENING_PACED);
	c.overdue = 0;
	g_assert_cmpint(opening_decide(&c), ==, OPENING_NOW);
}

/* Guards against a read with much time that opens a connection beside those of its customer. */
static void test_long_objective_waits(void)
{
	opening_case_t c = usual_case();

	c.running = 2;
	c.own_in_use = 1;
	c.objective = 1500 * MSEC;
	c.waited = 20 * MSEC;
	g_assert_cmpint(opening_decide(&c), ==, OPENING_CAN_WAIT);
	c.waited = opening_patience(c.objective);
	g_assert_cmpint(opening_decide(&c), ==, OPENING_NOW);
	c.objective = 200 * MSEC;
	c.waited = 20 * MSEC;
	g_assert_cmpint(opening_decide(&c), ==, OPENING_NOW);
}

/* --- a proxy with more customers than connections --- */

#define CUSTOMERS 12

static size_t sessions_opened(const pool_world_t *world)
{
	size_t sum = 0;

	for (size_t i = 0; i < world->db->config.members; i++)
		sum += world->db->members[i].sessions_opened;
	return sum;
}

/*
 * Guards against connections that are opened and closed in turns under load: twelve customers of
 * uneven demand, six connections of a member. All are answered, and a connection serves several
 * statements on the average. All go to the primary.
 */
static void test_uneven_customers(void)
{
	static const fake_db_config_t few = {
		.service = WORLD_SERVICE,
		.members = 3,
		.slots = 4,
		.max_connections = 12,
		.service_time = 4 * MSEC,
		.receive_delay = 2 * MSEC,
		.lag = 20 * MSEC,
		.promote_delay = 1000 * MSEC,
		.connect_time = 12 * MSEC,
	};
	world_customer_t customers[CUSTOMERS] = {0};
	world_caller_t *callers[CUSTOMERS];
	size_t sent = 0;
	size_t replies = 0;
	pool_world_t *world;
	size_t opened;
	GRand *rand = g_rand_new_with_seed(11);

	for (size_t i = 0; i < CUSTOMERS; i++)
		snprintf(customers[i].name, sizeof(customers[i].name), "c%zu", i);
	world = world_create_with_customers(1, &few, customers, CUSTOMERS);
	world_wait_until_ready(world);
	for (size_t i = 0; i < CUSTOMERS; i++) {
		char key[WORLD_KEY_MAX];

		snprintf(key, sizeof(key), "key-c%zu", i);
		callers[i] = world_open_session_with_key(world, 0, "strict", key);
		replies -= callers[i]->reply_count;
	}
	opened = sessions_opened(world);
	for (usec_t t = 0; t < 10 * SEC; t += MSEC) {
		for (size_t i = 0; i < CUSTOMERS; i++) {
			/* Customer i sends 1 / (i + 1) of the statements of the first. */
			if (caller_is_busy(callers[i]->caller) ||
			    g_rand_double(rand) >= 0.04 / (double)(i + 1))
				continue;
			world_send(callers[i], "READ a");
			sent++;
		}
		world_run(world, MSEC);
	}
	world_run(world, 500 * MSEC);
	opened = sessions_opened(world) - opened;
	for (size_t i = 0; i < CUSTOMERS; i++)
		replies += callers[i]->reply_count;
	g_test_message("%zu statements, %zu connections", sent, opened);
	g_assert_cmpuint(replies, ==, sent);
	g_assert_cmpuint(opened * 3, <=, sent);
	world_destroy(world);
	g_rand_free(rand);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/conns/spare-gives-way", test_spare_gives_way);
	g_test_add_func("/conns/longer-idle-gives-way", test_longer_idle_gives_way);
	g_test_add_func("/conns/worth-is-bounded", test_worth_is_bounded);
	g_test_add_func("/conns/rate-follows-demand", test_rate_follows_demand);
	g_test_add_func("/conns/causes", test_causes);
	g_test_add_func("/conns/one-for-each-caller", test_one_for_each_caller);
	g_test_add_func("/conns/none-in-vain", test_none_in_vain);
	g_test_add_func("/conns/stale-response-time", test_stale_response_time);
	g_test_add_func("/conns/paced", test_paced);
	g_test_add_func("/conns/overdue-are-paced", test_overdue_are_paced);
	g_test_add_func("/conns/long-objective-waits", test_long_objective_waits);
	g_test_add_func("/conns/uneven-customers", test_uneven_customers);
	return g_test_run();
}
