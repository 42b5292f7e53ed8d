/*
 * Customers at a fleet of proxies: under which customer's name statements run, which keys are
 * accepted, and how many operations the limits allow.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "caller.h"
#include "conn.h"
#include "fleet_codec.h"
#include "limit_shards.h"
#include "pool_world.h"
#include "quota.h"

#define MSEC USEC_PER_MSEC
#define SEC  USEC_PER_SEC

static const world_customer_t two_customers[] = {{.name = "ada"}, {.name = "ben"}};

/* So few connections that six proxies need homes to hold them. */
static const fake_db_config_t few_connections = {
	.service = WORLD_SERVICE,
	.members = 3,
	.slots = 2,
	.max_connections = 8,
	.service_time = 4 * MSEC,
	.receive_delay = 2 * MSEC,
	.lag = 20 * MSEC,
	.promote_delay = 1000 * MSEC,
	.connect_time = 12 * MSEC,
};

static usec_t current_time(const pool_world_t *world)
{
	return clock_now(&world->clock.base);
}

static pool_world_t *start_fleet(size_t nodes, const fake_db_config_t *config)
{
	pool_world_t *world = world_create_with_customers(nodes, config, two_customers,
							  G_N_ELEMENTS(two_customers));

	world_wait_until_ready(world);
	return world;
}

/* The customer under whose name a member ran the statement; NULL: none did. */
static const char *customer_of_run(const pool_world_t *world, const char *id)
{
	const fake_db_t *db = world->db;

	for (size_t i = db->run_count; i > 0; i--) {
		if (strcmp(db->runs[i - 1].id, id) == 0)
			return db->runs[i - 1].customer;
	}
	return NULL;
}

static void expect_run(world_caller_t *caller, const char *text, const char *customer)
{
	const char *reply = world_send_and_wait(caller, text);

	g_assert_false(g_str_has_prefix(reply, "ERR"));
	g_assert_cmpstr(customer_of_run(caller->proxy->world, caller->id), ==, customer);
}

static void expect_refused(world_caller_t *caller, const char *text, const char *error)
{
	const char *reply = world_send_and_wait(caller, text);

	if (!g_str_has_prefix(reply, error))
		g_error("%s: %s, expected %s", text, reply, error);
	g_assert_null(customer_of_run(caller->proxy->world, caller->id));
}

static void publish_new_version(pool_world_t *world)
{
	world->config_version++;
	world_publish_directory(world);
}

/* --- the customer of a statement --- */

/*
 * Guards against statements that run under another customer's name, with its rights and on its
 * bill: the statements of all customers go through the same homes and the same few connections.
 * Each connection belongs to one customer from its start on.
 */
static void check_customers(size_t nodes, const fake_db_config_t *config)
{
	pool_world_t *world = start_fleet(nodes, config);

	for (size_t i = 0; i < nodes; i++) {
		world_caller_t *ada = world_open_session_with_key(world, i, "session", "key-ada");
		world_caller_t *ben = world_open_session_with_key(world, i, "strict", "key-ben");
		world_caller_t *keyless = world_open_session_with_key(world, i, "open", "");

		expect_run(ada, "READ a", "ada");
		expect_run(ben, "WRITE a 1", "ben");
		world_send_and_wait(ada, "BEGIN");
		expect_run(ada, "WRITE a 2", "ada");
		expect_run(keyless, "READ a", "public");
		expect_run(ben, "READ a", "ben");
		expect_run(ada, "COMMIT", "ada");
		world_send_and_wait(ben, "PREPARE p READ shape");
		expect_run(ben, "EXEC p a", "ben");
	}
	world_destroy(world);
}

static void test_customers(void)
{
	check_customers(3, NULL);
}

static void test_customers_at_homes(void)
{
	check_customers(6, &few_connections);
}

/*
 * Guards against a customer that gets no connection because another one holds all of them: an idle
 * connection is closed for it, even if the other customer's callers are always waiting.
 */
static void test_idle_connection_is_replaced(void)
{
	static const fake_db_config_t one_member = {
		.service = WORLD_SERVICE,
		.members = 1,
		.slots = 2,
		.max_connections = 2,
		.service_time = 4 * MSEC,
		.receive_delay = 2 * MSEC,
		.lag = 20 * MSEC,
		.promote_delay = 1000 * MSEC,
		.connect_time = 12 * MSEC,
	};
	pool_world_t *world = start_fleet(1, &one_member);
	world_caller_t *flooding[6];
	world_caller_t *ben = world_open_session_with_key(world, 0, "strict", "key-ben");
	size_t replies = ben->reply_count;
	usec_t began;

	for (size_t i = 0; i < G_N_ELEMENTS(flooding); i++)
		flooding[i] = world_open_session_with_key(world, 0, "strict", "key-ada");
	for (int step = 0; step < 500; step++) {
		for (size_t i = 0; i < G_N_ELEMENTS(flooding); i++) {
			if (!caller_is_busy(flooding[i]->caller))
				world_send(flooding[i], "READ a");
		}
		if (step == 200) {
			began = current_time(world);
			world_send(ben, "READ a");
		}
		world_run(world, MSEC);
		if (ben->reply_count != replies)
			break;
	}
	g_assert_cmpuint(ben->reply_count, ==, replies + 1);
	g_assert_cmpstr(customer_of_run(world, ben->id), ==, "ben");
	g_assert_cmpuint(current_time(world) - began, <, 150 * MSEC);
	world_destroy(world);
}

/* --- keys --- */

static void test_unknown_key(void)
{
	pool_world_t *world = start_fleet(2, NULL);

	g_assert_cmpint(world_open_session_with_key(world, 0, "strict", "key-eve")->refusal_code,
			==, CODE_NO_AUTH);
	g_assert_cmpint(world_open_session_with_key(world, 0, "strict", "")->refusal_code, ==,
			CODE_NO_AUTH);
	g_assert_cmpint(world_open_session_with_key(world, 0, "nowhere", "key-ada")->refusal_code,
			==, CODE_NO_DATABASE);
	g_assert_nonnull(world_open_session_with_key(world, 0, "open", "key-eve")->caller);
	world_destroy(world);
}

/*
 * Guards against a revoked key that keeps working in open sessions, one of them in a transaction:
 * the key is looked up for each statement, and transactions under a revoked key are rolled back.
 */
static void test_key_revoked(void)
{
	pool_world_t *world = start_fleet(2, NULL);
	world_caller_t *single = world_open_session_with_key(world, 0, "strict", "key-ada");
	world_caller_t *in_transaction = world_open_session_with_key(world, 0, "strict", "key-ada");
	world_caller_t *other = world_open_session_with_key(world, 0, "strict", "key-ben");

	expect_run(single, "WRITE a 1", "ada");
	world_send_and_wait(in_transaction, "BEGIN");
	expect_run(in_transaction, "WRITE a 2", "ada");
	world->customers[0].key[0] = '\0';
	publish_new_version(world);
	world_run(world, 10 * MSEC);
	g_assert_false(world_has_transaction(world));
	expect_refused(in_transaction, "WRITE a 3", "ERR ABORTED");
	expect_refused(single, "READ a", "ERR NOAUTH");
	expect_run(other, "READ a", "ben");
	g_assert_cmpstr(fake_member_last_value(fake_db_primary(world->db), "a"), ==, "1");
	/* The sessions of the revoked key are closed. */
	world_run(world, SEC);
	g_assert_null(single->caller);
	g_assert_nonnull(other->caller);
	g_assert_cmpint(world_open_session_with_key(world, 1, "strict", "key-ada")->refusal_code,
			==, CODE_NO_AUTH);
	world_destroy(world);
}

/*
 * The same while a statement runs: its reply is forwarded to the caller, and no further statement
 * runs.
 */
static void test_key_revoked_while_busy(void)
{
	pool_world_t *world = start_fleet(2, NULL);
	world_caller_t *caller = world_open_session_with_key(world, 0, "strict", "key-ada");

	world_send_and_wait(caller, "BEGIN");
	world_send(caller, "WRITE a 1");
	world_run(world, MSEC);
	world->customers[0].key[0] = '\0';
	publish_new_version(world);
	world_run(world, 50 * MSEC);
	g_assert_true(g_str_has_prefix(caller->reply, "DONE"));
	expect_refused(caller, "COMMIT", "ERR ABORTED");
	g_assert_null(fake_member_last_value(fake_db_primary(world->db), "a"));
	world_destroy(world);
}

/*
 * Guards against statements that are counted and run under the wrong customer's name after a key
 * was reassigned to another customer: an open transaction is aborted, and later statements run
 * under the new name.
 */
static void test_key_reassigned(void)
{
	pool_world_t *world = start_fleet(2, NULL);
	world_caller_t *single = world_open_session_with_key(world, 0, "strict", "key-ada");
	world_caller_t *in_transaction = world_open_session_with_key(world, 0, "strict", "key-ada");

	expect_run(single, "READ a", "ada");
	world_send_and_wait(in_transaction, "BEGIN");
	expect_run(in_transaction, "WRITE a 1", "ada");
	snprintf(world->customers[0].key, WORLD_KEY_MAX, "key-new");
	snprintf(world->customers[1].key, WORLD_KEY_MAX, "key-ada");
	publish_new_version(world);
	expect_refused(in_transaction, "COMMIT", "ERR ABORTED");
	expect_run(single, "READ a", "ben");
	world_destroy(world);
}

/* --- expiry of cached keys --- */

static void set_cut_off(pool_world_t *world, size_t node, bool cut)
{
	world->nodes[node].kv.unreachable = cut;
	world->nodes[node].cut_from_peers = cut;
}

/*
 * Guards against a revoked key that works as long as a proxy is cut off: the proxy receives nothing
 * from the store or a peer, while its callers keep sending statements. Cached keys are valid for a
 * stated time after they were last confirmed.
 */
static void test_cut_off_proxy_expires(void)
{
	pool_world_t *world = start_fleet(3, NULL);
	world_caller_t *caller = world_open_session_with_key(world, 2, "bounded", "key-ada");
	usec_t cut_at = current_time(world);

	set_cut_off(world, 2, true);
	while (current_time(world) < cut_at + 8 * SEC) {
		const char *reply = world_send_and_wait(caller, "READ a");

		if (current_time(world) > cut_at + WORLD_REVOKE_BOUND)
			g_assert_true(g_str_has_prefix(reply, "ERR"));
		else if (current_time(world) < cut_at + SEC)
			g_assert_false(g_str_has_prefix(reply, "ERR"));
		world_run(world, 20 * MSEC);
	}
	/* The proxy is not ready and closes idle sessions. */
	g_assert_false(pooler_is_ready(world->nodes[2].pooler));
	world_run(world, SEC);
	g_assert_null(caller->caller);
	g_assert_cmpint(world_open_session_with_key(world, 2, "bounded", "key-ada")->refusal_code,
			==, CODE_BUSY);
	set_cut_off(world, 2, false);
	world_run(world, 3 * SEC);
	expect_run(world_open_session_with_key(world, 2, "bounded", "key-ada"), "READ a", "ada");
	world_destroy(world);
}

/*
 * Guards against a key that works long after it was revoked: a proxy is stopped for longer than its
 * cache is valid, the key is revoked meanwhile, and a statement waits at the proxy's socket when it
 * resumes. The statement is refused, since the time for which the process was stopped counts
 * towards the age of its cache.
 */
static void test_frozen_proxy_expires(void)
{
	pool_world_t *world = start_fleet(3, NULL);
	world_caller_t *caller = world_open_session_with_key(world, 2, "bounded", "key-ada");

	expect_run(caller, "READ a", "ada");
	world_freeze(world, 2);
	world->customers[0].key[0] = '\0';
	publish_new_version(world);
	world_run(world, 6 * SEC);
	/* The statement is read before all other messages that arrived meanwhile. */
	world_send(caller, "READ a");
	g_assert_true(g_str_has_prefix(caller->reply, "ERR BUSY"));
	g_assert_null(customer_of_run(world, caller->id));
	world_thaw(world, 2);
	world_destroy(world);
}

/*
 * Callers notice nothing when the store refuses one proxy for far longer than its cache is valid:
 * its peers confirm the cache, each adding the age of its own confirmation.
 */
static void test_confirmed_by_peers(void)
{
	pool_world_t *world = start_fleet(3, NULL);
	world_caller_t *caller = world_open_session_with_key(world, 2, "bounded", "key-ada");
	usec_t end = current_time(world) + 12 * SEC;

	world->nodes[2].kv.unreachable = true;
	while (current_time(world) < end) {
		expect_run(caller, "READ a", "ada");
		world_run(world, 100 * MSEC);
	}
	world_destroy(world);
}

/*
 * Guards against a revoked key that works as long as the store is unavailable although all proxies
 * reach each other: each proxy reports the age of its confirmation, and none has a newer one. An
 * answer confirms the cache as of its sender's own confirmation, not as of its arrival.
 */
static void test_confirmed_by_nobody(void)
{
	pool_world_t *world = start_fleet(3, NULL);
	world_caller_t *caller = world_open_session_with_key(world, 2, "bounded", "key-ada");
	usec_t cut_at = current_time(world);

	for (size_t i = 0; i < world->node_count; i++)
		world->nodes[i].kv.unreachable = true;
	while (current_time(world) < cut_at + 8 * SEC) {
		bool served = !g_str_has_prefix(world_send_and_wait(caller, "READ a"), "ERR");

		g_assert_false(served && current_time(world) > cut_at + WORLD_REVOKE_BOUND);
		g_assert_true(served || current_time(world) > cut_at + 4 * SEC);
		world_run(world, 100 * MSEC);
	}
	world_destroy(world);
}

/* --- limits --- */

#define LIMIT_RATE  20
#define LIMIT_BURST 20
/*
 * The window in which runs are counted, and the most runs in it: the limit and by how much it may
 * be exceeded.
 */
#define WINDOW		(5 * SEC)
#define WINDOW_MAX_RUNS ((LIMIT_RATE * 5 + LIMIT_BURST) * 1.1 + 20)

static const world_customer_t limited[] = {
	{.name = "ada", .rate = LIMIT_RATE, .burst = LIMIT_BURST}, {.name = "ben"}};

/* The largest number of the customer's runs in any window. */
static size_t max_runs_in_window(const pool_world_t *world, const char *customer)
{
	const fake_db_t *db = world->db;
	size_t max = 0;

	for (size_t i = 0; i < db->run_count; i++) {
		size_t count = 0;

		for (size_t j = i; j < db->run_count && db->runs[j].at < db->runs[i].at + WINDOW;
		     j++)
			count += strcmp(db->runs[j].customer, customer) == 0;
		if (count > max)
			max = count;
	}
	return max;
}

typedef struct flood {
	world_caller_t *callers[24];
	size_t count;
	size_t sent;
	size_t served;
	bool waiting[24];
} flood_t;

static void open_flood(pool_world_t *world, flood_t *flood, const char *key, size_t each)
{
	for (size_t i = 0; i < world->node_count * each; i++)
		flood->callers[flood->count++] =
			world_open_session_with_key(world, i % world->node_count, "bounded", key);
}

/* Each idle caller sends another statement with a probability of 1/pause per millisecond. */
static void step_flood(flood_t *flood, GRand *rand, int pause)
{
	for (size_t i = 0; i < flood->count; i++) {
		world_caller_t *caller = flood->callers[i];

		if (caller->caller == NULL || caller_is_busy(caller->caller))
			continue;
		if (flood->waiting[i])
			flood->served += !g_str_has_prefix(caller->reply, "ERR");
		flood->waiting[i] = g_rand_int_range(rand, 0, pause) == 0;
		if (!flood->waiting[i])
			continue;
		flood->sent++;
		world_send(caller, "READ a");
	}
}

static void run_flood(pool_world_t *world, flood_t *flood, GRand *rand, int pause, usec_t time)
{
	usec_t end = current_time(world) + time;

	while (current_time(world) < end) {
		step_flood(flood, rand, pause);
		world_run(world, MSEC);
	}
}

static pool_world_t *start_limited(size_t nodes)
{
	pool_world_t *world =
		world_create_with_customers(nodes, NULL, limited, G_N_ELEMENTS(limited));

	world_wait_until_ready(world);
	return world;
}

/*
 * A customer that keeps to its limit is not refused, wherever its callers connect; one that sends
 * ten times as much is held to the limit, and other customers are not affected.
 */
static void test_below_limit(void)
{
	pool_world_t *world = start_limited(6);
	GRand *rand = g_rand_new_with_seed(1);
	flood_t flood = {0};

	open_flood(world, &flood, "key-ada", 2);
	/* 12 callers with 1.25 statements a second each: three quarters of the limit. */
	run_flood(world, &flood, rand, 800, 20 * SEC);
	g_assert_cmpuint(flood.sent, >, 250);
	g_assert_cmpuint(flood.served * 100, >=, flood.sent * 98);
	world_destroy(world);
	g_rand_free(rand);
}

static void test_flood(void)
{
	pool_world_t *world = start_limited(6);
	GRand *rand = g_rand_new_with_seed(2);
	flood_t flood = {0};
	flood_t other = {0};
	usec_t end = current_time(world) + 12 * SEC;

	open_flood(world, &flood, "key-ada", 3);
	open_flood(world, &other, "key-ben", 1);
	while (current_time(world) < end) {
		step_flood(&flood, rand, 50);
		step_flood(&other, rand, 100);
		world_run(world, MSEC);
	}
	g_assert_cmpuint(flood.sent, >, 12 * LIMIT_RATE * 5);
	g_assert_cmpuint(max_runs_in_window(world, "ada"), <=, (size_t)WINDOW_MAX_RUNS);
	g_assert_cmpuint(flood.served, >=, 12 * LIMIT_RATE);
	g_assert_cmpuint(other.served * 100, >=, other.sent * 97);
	world_destroy(world);
	g_rand_free(rand);
}

/*
 * Guards against twice the limit during a partition: the fleet falls into two parts without
 * messages between them, and a customer floods both. Each part can use only the limit shards whose
 * owners it reaches.
 */
static void test_flood_during_partition(void)
{
	pool_world_t *world = start_limited(6);
	GRand *rand = g_rand_new_with_seed(3);
	flood_t flood = {0};

	open_flood(world, &flood, "key-ada", 3);
	run_flood(world, &flood, rand, 50, 2 * SEC);
	for (size_t i = 0; i < 3; i++)
		world->nodes[i].partition = 1;
	run_flood(world, &flood, rand, 50, 8 * SEC);
	for (size_t i = 0; i < 3; i++)
		world->nodes[i].partition = 0;
	run_flood(world, &flood, rand, 50, 8 * SEC);
	g_assert_cmpuint(max_runs_in_window(world, "ada"), <=, (size_t)WINDOW_MAX_RUNS);
	g_assert_cmpuint(flood.served, >=, 10 * LIMIT_RATE);
	world_destroy(world);
	g_rand_free(rand);
}

/*
 * The same while proxies, among them shard owners, are killed and restarted: the new process does
 * not have the record of what the earlier one granted, and those operations still count.
 */
static void test_flood_during_restarts(void)
{
	pool_world_t *world = start_limited(6);
	GRand *rand = g_rand_new_with_seed(4);
	flood_t flood = {0};

	open_flood(world, &flood, "key-ada", 3);
	run_flood(world, &flood, rand, 50, 2 * SEC);
	for (size_t i = 1; i < 6; i++)
		world_kill(world, i);
	run_flood(world, &flood, rand, 50, SEC);
	for (size_t i = 1; i < 6; i++)
		world_start_proxy(world, i);
	world_run(world, 500 * MSEC);
	flood = (flood_t){0};
	open_flood(world, &flood, "key-ada", 3);
	run_flood(world, &flood, rand, 50, 8 * SEC);
	g_assert_cmpuint(max_runs_in_window(world, "ada"), <=, (size_t)WINDOW_MAX_RUNS);
	g_assert_cmpuint(flood.served, >=, 6 * LIMIT_RATE);
	world_destroy(world);
	g_rand_free(rand);
}

/* A lowered limit is in force one window after it arrived; an open transaction continues. */
static void test_lower_limit(void)
{
	pool_world_t *world = start_limited(3);
	GRand *rand = g_rand_new_with_seed(5);
	world_caller_t *in_transaction = world_open_session_with_key(world, 0, "strict", "key-ada");
	flood_t flood = {0};
	size_t served;

	open_flood(world, &flood, "key-ada", 3);
	run_flood(world, &flood, rand, 50, SEC);
	while (!g_str_has_prefix(world_send_and_wait(in_transaction, "BEGIN"), "DONE"))
		world_run(world, 20 * MSEC);
	world->customers[0].rate = 2;
	world->customers[0].burst = 2;
	publish_new_version(world);
	run_flood(world, &flood, rand, 50, 5 * SEC);
	served = flood.served;
	run_flood(world, &flood, rand, 50, 5 * SEC);
	g_assert_cmpuint(flood.served - served, <=, (size_t)((2 * 5 + 2) * 1.1 + 20));
	g_assert_cmpuint(flood.served - served, >=, 8);
	expect_run(in_transaction, "WRITE a 1", "ada");
	expect_run(in_transaction, "COMMIT", "ada");
	world_destroy(world);
	g_rand_free(rand);
}

/* A limit shard of customer ada that proxy 0 owns. */
static unsigned shard_of_first_proxy(const pool_world_t *world)
{
	for (unsigned shard = 0; shard < LIMIT_SHARDS; shard++) {
		if (strcmp(shard_owners_find(world->nodes[0].pooler->shard_owners, "ada", shard),
			   "p0") == 0)
			return shard;
	}
	g_assert_not_reached();
}

/*
 * Guards against the permanent loss of a third of a customer's limit: a proxy becomes the owner of
 * a limit shard and soon leaves the fleet, and its predecessor, which released the shard, receives
 * only the rosters before and after. Once the predecessor has a roster no older than the
 * successor's, it takes the shard over like a new one.
 */
static void test_short_lived_successor(void)
{
	pool_world_t *world = start_limited(3);
	pooler_t *pooler = world->nodes[0].pooler;
	limit_shards_t *shards = limit_shards_create(NULL, pooler);
	quota_request_t request = {.number = 1, .customer = "ada", .wanted = 1};
	int64_t successor = pooler->sync.roster->revision + 5;

	request.shard = shard_of_first_proxy(world);
	g_assert_cmpuint(limit_shards_take(shards, &request, current_time(world)).granted, ==, 1);
	g_assert_true(limit_shards_release(shards, &request, successor).released);
	g_assert_true(limit_shards_take(shards, &request, current_time(world)).not_owner);
	world_run(world, 5 * SEC);
	g_assert_true(limit_shards_take(shards, &request, current_time(world)).not_owner);
	pooler->sync.roster->revision = successor + 1;
	g_assert_true(limit_shards_take(shards, &request, current_time(world)).not_owner);
	world_run(world, 100 * MSEC);
	pooler->sync.roster->revision = successor + 1;
	pooler->sync.confirmed_at = current_time(world) + 3 * SEC;
	g_assert_cmpuint(limit_shards_take(shards, &request, current_time(world) + 3 * SEC).granted,
			 ==, 1);
	talloc_free(shards);
	world_destroy(world);
}

/*
 * Guards against callers that are sent away for some milliseconds, over and over, while one shard
 * owner is silent: a shard that has told no time does not count as one with a token.
 */
static void test_told_times_with_silent_owner(void)
{
	pool_world_t *world = start_limited(6);
	GRand *rand = g_rand_new_with_seed(5);
	flood_t flood = {0};
	size_t refused = 0;
	size_t vain = 0;
	const char *owner = shard_owners_find(world->nodes[0].pooler->shard_owners, "ada", 0);

	for (size_t i = 1; i < world->node_count; i++) {
		if (strcmp(world->nodes[i].name, owner) == 0)
			world_freeze(world, i);
	}
	for (size_t i = 0; i < 12; i++)
		flood.callers[flood.count++] =
			world_open_session_with_key(world, 0, "bounded", "key-ada");
	run_flood(world, &flood, rand, 20, SEC);
	for (int step = 0; step < 100; step++) {
		run_flood(world, &flood, rand, 20, 10 * MSEC);
		for (size_t i = 0; i < flood.count; i++) {
			const char *told = strstr(flood.callers[i]->reply, "retry-after-ms=");

			refused += told != NULL;
			vain += told != NULL && atoi(told + strlen("retry-after-ms=")) <= 20;
		}
	}
	g_test_message("%zu refused, %zu for 20 ms or less; %zu of %zu served", refused, vain,
		       flood.served, flood.sent);
	g_assert_cmpuint(refused, >, 100);
	g_assert_cmpuint(vain * 4, <, refused);
	world_destroy(world);
	g_rand_free(rand);
}

/*
 * Guards against a fleet of two versions in which limits fail: priorities and their times pass
 * between proxies of this version, and messages without them are what earlier ones send and expect.
 */
static void test_priorities_on_the_wire(void)
{
	quota_request_t request = {.number = 1, .customer = "ada", .wanted = 3};
	quota_answer_t answer = {.number = 1, .customer = "ada", .retry_after = 70 * MSEC};
	peer_message_t message = {.kind = PEER_QUOTA_REQUEST, .from = "p", .address = "q"};
	void *parent = talloc_new(NULL);
	const peer_message_t *back;
	char *text;

	request.by_priority.by_priority[1] = 3;
	message.quota_request = &request;
	text = peer_message_encode(&message);
	back = peer_message_decode(parent, text, strlen(text));
	g_assert_cmpuint(back->quota_request->wanted, ==, 3);
	g_assert_cmpuint(back->quota_request->by_priority.by_priority[1], ==, 3);
	g_assert_cmpuint(back->quota_request->by_priority.by_priority[0], ==, 0);
	free(text);
	message = (peer_message_t){
		.kind = PEER_QUOTA_ANSWER, .from = "p", .address = "q", .quota_answer = &answer};
	text = peer_message_encode(&message);
	g_assert_null(strstr(text, "waits"));
	back = peer_message_decode(parent, text, strlen(text));
	g_assert_false(back->quota_answer->has_waits);
	g_assert_cmpuint(back->quota_answer->retry_after, ==, 70 * MSEC);
	g_assert_cmpuint(back->quota_answer->granted_to.by_priority[3], ==, 0);
	free(text);
	answer.granted = 1;
	answer.granted_to.by_priority[3] = 1;
	answer.has_waits = true;
	answer.waits[2] = 90 * MSEC;
	text = peer_message_encode(&message);
	back = peer_message_decode(parent, text, strlen(text));
	g_assert_cmpuint(back->quota_answer->waits[2], ==, 90 * MSEC);
	g_assert_cmpuint(back->quota_answer->waits[1], ==, 0);
	g_assert_cmpuint(back->quota_answer->granted_to.by_priority[3], ==, 1);
	g_assert_cmpuint(back->quota_answer->granted_to.by_priority[0], ==, 0);
	free(text);
	talloc_free(parent);
}

/*
 * Guards against an owner that gives a token to a low priority before a high one: with few left a
 * request of a low priority gets none after one of the highest has asked, which still does.
 */
static void test_owner_keeps_order(void)
{
	pool_world_t *world = start_limited(3);
	limit_shards_t *shards = limit_shards_create(NULL, world->nodes[0].pooler);
	quota_request_t urgent = {.number = 1, .customer = "ada", .wanted = 1};
	quota_request_t casual = {.number = 2, .customer = "ada", .wanted = 1};
	quota_answer_t answer;
	usec_t now = current_time(world);

	urgent.shard = casual.shard = shard_of_first_proxy(world);
	urgent.by_priority.by_priority[0] = 1;
	casual.by_priority.by_priority[2] = 1;
	g_assert_cmpuint(limit_shards_take(shards, &urgent, now).granted, ==, 1);
	do
		answer = limit_shards_take(shards, &casual, now);
	while (answer.granted == 1);
	g_assert_true(answer.has_waits);
	g_assert_cmpuint(answer.waits[2], >, 0);
	g_assert_cmpuint(answer.waits[0], ==, 0);
	g_assert_cmpuint(limit_shards_take(shards, &urgent, now).granted, ==, 1);
	talloc_free(shards);
	world_destroy(world);
}

/* Guards against clients that are told to stay away for longer than promised in a flood. */
static void test_told_times_are_bounded(void)
{
	pool_world_t *world = start_limited(3);
	limit_shards_t *shards = limit_shards_create(NULL, world->nodes[0].pooler);
	quota_request_t request = {.number = 1, .customer = "ada", .wanted = 1};
	quota_answer_t answer;

	request.shard = shard_of_first_proxy(world);
	for (int i = 0; i < 100; i++)
		answer = limit_shards_take(shards, &request, current_time(world));
	g_assert_cmpuint(answer.granted, ==, 0);
	g_assert_cmpuint(answer.waits[TOKEN_PRIORITIES - 1], <=, SEC);
	g_assert_cmpuint(answer.retry_after, <=, SEC);
	talloc_free(shards);
	world_destroy(world);
}

/* Guards against tokens for operations that a request does not want, by counts that are wrong. */
static void test_no_more_than_wanted(void)
{
	pool_world_t *world = start_limited(3);
	limit_shards_t *shards = limit_shards_create(NULL, world->nodes[0].pooler);
	quota_request_t request = {.number = 1, .customer = "ada", .wanted = 1};
	quota_answer_t answer;

	request.shard = shard_of_first_proxy(world);
	request.by_priority.by_priority[1] = 2;
	request.by_priority.by_priority[2] = 1;
	answer = limit_shards_take(shards, &request, current_time(world));
	g_assert_cmpuint(answer.granted, ==, 1);
	g_assert_cmpuint(answer.granted_to.by_priority[1], ==, 1);
	talloc_free(shards);
	world_destroy(world);
}

static const env_ops_t *usual_ops;
static uint64_t last_request; /* number of the last request for tokens that was not sent */

static bool keep_quota_requests(env_t *env, const char *name, const char *address,
				const peer_message_t *message)
{
	if (message->kind != PEER_QUOTA_REQUEST)
		return usual_ops->peer_send(env, name, address, message);
	last_request = message->quota_request->number;
	return true;
}

/* A proxy that owns no limit shard of customer ada. */
static size_t find_proxy_without_shard(const pool_world_t *world)
{
	const shard_owners_t *owners = world->nodes[0].pooler->shard_owners;

	for (size_t i = 0; i < world->node_count; i++) {
		bool is_owner = false;

		for (unsigned shard = 0; shard < LIMIT_SHARDS; shard++)
			is_owner = is_owner || strcmp(shard_owners_find(owners, "ada", shard),
						      world->nodes[i].name) == 0;
		if (!is_owner)
			return i;
	}
	g_assert_not_reached();
}

/* The owner answers the last request of the proxy with one token for a priority, or none. */
static void answer_last(pool_world_t *world, size_t node, unsigned granted, unsigned priority)
{
	quota_answer_t answer = {.number = last_request, .customer = "ada", .granted = granted};
	peer_message_t message = {.kind = PEER_QUOTA_ANSWER, .quota_answer = &answer};

	if (priority < TOKEN_PRIORITIES)
		answer.granted_to.by_priority[priority] = granted;
	quota_on_answer(world->nodes[node].pooler, &message);
}

/*
 * Guards against a low priority without service: its token of the floor goes to a caller of a
 * higher one that waits at the same proxy and whose own request was denied. An answer that names no
 * priority is one of an earlier version; its token goes to the first caller.
 */
static void check_token_goes_to(unsigned granted_priority, bool lower_is_served)
{
	pool_world_t *world = start_limited(6);
	size_t node = find_proxy_without_shard(world);
	world_caller_t *lower = world_open_session_with_key(world, node, "bounded", "key-ada");
	world_caller_t *higher = world_open_session_with_key(world, node, "strict", "key-ada");
	env_ops_t keeping;

	world->bounded_priority = 3;
	publish_new_version(world);
	world_run(world, SEC);
	usual_ops = world->nodes[node].env.ops;
	keeping = *usual_ops;
	keeping.peer_send = keep_quota_requests;
	world->nodes[node].env.ops = &keeping;
	world_send(lower, "READ a");
	world_send(higher, "READ a");
	answer_last(world, node, 0, TOKEN_PRIORITIES);
	answer_last(world, node, 1, granted_priority);
	world_run(world, 40 * MSEC);
	g_assert_cmpint(customer_of_run(world, lower->id) != NULL, ==, lower_is_served);
	g_assert_cmpint(customer_of_run(world, higher->id) != NULL, ==, !lower_is_served);
	world->nodes[node].env.ops = usual_ops;
	world_destroy(world);
}

static void test_token_of_floor(void)
{
	check_token_goes_to(3, true);
	check_token_goes_to(0, false);
	check_token_goes_to(TOKEN_PRIORITIES, false);
}

/*
 * Guards against callers that are refused for up to a second by an answer that is no longer true:
 * the demand has ended, but the proxy does not ask the owners again.
 */
static void test_owner_is_asked_again(void)
{
	pool_world_t *world = start_limited(6);
	size_t node = find_proxy_without_shard(world);
	world_caller_t *caller = world_open_session_with_key(world, node, "strict", "key-ada");
	quota_answer_t answer = {.customer = "ada", .retry_after = 800 * MSEC};
	peer_message_t message = {.kind = PEER_QUOTA_ANSWER, .quota_answer = &answer};
	env_ops_t keeping;

	usual_ops = world->nodes[node].env.ops;
	keeping = *usual_ops;
	keeping.peer_send = keep_quota_requests;
	world->nodes[node].env.ops = &keeping;
	world_send(caller, "READ a");
	for (unsigned i = 0; i < LIMIT_SHARDS; i++) {
		answer.number = last_request;
		quota_on_answer(world->nodes[node].pooler, &message);
	}
	world_run(world, 10 * MSEC);
	g_assert_nonnull(strstr(caller->reply, "retry-after-ms="));
	g_assert_cmpint(atoi(strstr(caller->reply, "retry-after-ms=") + strlen("retry-after-ms=")),
			>=, 700);
	world_send(caller, "READ a");
	g_assert_cmpuint(last_request, ==, answer.number);
	world_run(world, 110 * MSEC);
	if (!caller_is_busy(caller->caller))
		world_send(caller, "READ a");
	g_assert_cmpuint(last_request, !=, answer.number);
	world->nodes[node].env.ops = usual_ops;
	world_destroy(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/access/names", test_customers);
	g_test_add_func("/access/names-at-homes", test_customers_at_homes);
	g_test_add_func("/access/connection-gives-way", test_idle_connection_is_replaced);
	g_test_add_func("/access/unknown-key", test_unknown_key);
	g_test_add_func("/access/key-taken", test_key_revoked);
	g_test_add_func("/access/key-taken-while-busy", test_key_revoked_while_busy);
	g_test_add_func("/access/key-passed-on", test_key_reassigned);
	g_test_add_func("/access/cut-off", test_cut_off_proxy_expires);
	g_test_add_func("/access/frozen", test_frozen_proxy_expires);
	g_test_add_func("/access/proved-by-peers", test_confirmed_by_peers);
	g_test_add_func("/access/nobody-proves", test_confirmed_by_nobody);
	g_test_add_func("/access/below-limit", test_below_limit);
	g_test_add_func("/access/flood", test_flood);
	g_test_add_func("/access/flood-of-two-islands", test_flood_during_partition);
	g_test_add_func("/access/flood-of-restarts", test_flood_during_restarts);
	g_test_add_func("/access/lower-limit", test_lower_limit);
	g_test_add_func("/access/successor-for-a-moment", test_short_lived_successor);
	g_test_add_func("/access/priorities-on-the-wire", test_priorities_on_the_wire);
	g_test_add_func("/access/owner-keeps-order", test_owner_keeps_order);
	g_test_add_func("/access/told-times-are-bounded", test_told_times_are_bounded);
	g_test_add_func("/access/no-more-than-wanted", test_no_more_than_wanted);
	g_test_add_func("/access/token-of-floor", test_token_of_floor);
	g_test_add_func("/access/owner-is-asked-again", test_owner_is_asked_again);
	g_test_add_func("/access/told-times-with-silent-owner", test_told_times_with_silent_owner);
	return g_test_run();
}
