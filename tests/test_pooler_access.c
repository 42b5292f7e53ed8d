/* Customers at a fleet of proxies: whose statements run, by which keys, and how many. */
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "caller.h"
#include "conn.h"
#include "pool_world.h"
#include "seat.h"

#define MSEC USEC_PER_MSEC
#define SEC  USEC_PER_SEC

static const world_customer_t two[] = {{.name = "ada"}, {.name = "ben"}};

/* Eight connections: homes hold them for six proxies. */
static const fake_db_config_t few_connections = {
	.service = WORLD_SERVICE,
	.members = 3,
	.slots = 2,
	.max_connections = 8,
	.work = 4 * MSEC,
	.receive = 2 * MSEC,
	.lag = 20 * MSEC,
	.promote = 1000 * MSEC,
	.open = 12 * MSEC,
};

static usec_t now_in(const pool_world_t *world)
{
	return clock_now(&world->clock.base);
}

static pool_world_t *start(size_t nodes, const fake_db_config_t *config)
{
	pool_world_t *world = world_create_with_customers(nodes, config, two, G_N_ELEMENTS(two));

	world_wait_until_ready(world);
	return world;
}

/* The customer for whom members ran the statement; NULL: none did. */
static const char *who_ran(const pool_world_t *world, const char *id)
{
	const fake_db_t *db = world->db;

	for (size_t i = db->run_count; i > 0; i--) {
		if (strcmp(db->runs[i - 1].id, id) == 0)
			return db->runs[i - 1].who;
	}
	return NULL;
}

static void expect_run(world_caller_t *caller, const char *text, const char *customer)
{
	const char *reply = world_send_and_wait(caller, text);

	g_assert_false(g_str_has_prefix(reply, "ERR"));
	g_assert_cmpstr(who_ran(caller->proxy->world, caller->id), ==, customer);
}

static void expect_refused(world_caller_t *caller, const char *text, const char *error)
{
	const char *reply = world_send_and_wait(caller, text);

	if (!g_str_has_prefix(reply, error))
		g_error("%s: %s, expected %s", text, reply, error);
	g_assert_null(who_ran(caller->proxy->world, caller->id));
}

static void new_version(pool_world_t *world)
{
	world->config_version++;
	world_publish_directory(world);
}

/* --- whose statements --- */

/*
 * What a caller would see: rows that another customer may read, or a bill for somebody else's
 * statements. What happens: all customers' statements go through the same homes and the same few
 * connections. Why it does not: a connection is of one customer from its start on.
 */
static void check_names(size_t nodes, const fake_db_config_t *config)
{
	pool_world_t *world = start(nodes, config);

	for (size_t i = 0; i < nodes; i++) {
		world_caller_t *ada = world_open_session_with_key(world, i, "session", "key-ada");
		world_caller_t *ben = world_open_session_with_key(world, i, "strict", "key-ben");
		world_caller_t *any = world_open_session_with_key(world, i, "open", "");

		expect_run(ada, "READ a", "ada");
		expect_run(ben, "WRITE a 1", "ben");
		world_send_and_wait(ada, "BEGIN");
		expect_run(ada, "WRITE a 2", "ada");
		expect_run(any, "READ a", "public");
		expect_run(ben, "READ a", "ben");
		expect_run(ada, "COMMIT", "ada");
		world_send_and_wait(ben, "PREPARE p READ shape");
		expect_run(ben, "EXEC p a", "ben");
	}
	world_destroy(world);
}

static void test_names(void)
{
	check_names(3, NULL);
}

static void test_names_at_homes(void)
{
	check_names(6, &few_connections);
}

/*
 * What the caller sees: its statement is served though all connections are taken. What happens:
 * they are of another customer, unused. Why that suffices: an unused one gives way, and a customer
 * whose callers wait all the time does not keep its connections for ever.
 */
static void test_connection_gives_way(void)
{
	static const fake_db_config_t one = {
		.service = WORLD_SERVICE,
		.members = 1,
		.slots = 2,
		.max_connections = 2,
		.work = 4 * MSEC,
		.receive = 2 * MSEC,
		.lag = 20 * MSEC,
		.promote = 1000 * MSEC,
		.open = 12 * MSEC,
	};
	pool_world_t *world = start(1, &one);
	world_caller_t *busy[6];
	world_caller_t *ben = world_open_session_with_key(world, 0, "strict", "key-ben");
	size_t replies = ben->reply_count;
	usec_t began;

	for (size_t i = 0; i < G_N_ELEMENTS(busy); i++)
		busy[i] = world_open_session_with_key(world, 0, "strict", "key-ada");
	for (int step = 0; step < 500; step++) {
		for (size_t i = 0; i < G_N_ELEMENTS(busy); i++) {
			if (!caller_is_busy(busy[i]->caller))
				world_send(busy[i], "READ a");
		}
		if (step == 200) {
			began = now_in(world);
			world_send(ben, "READ a");
		}
		world_run(world, MSEC);
		if (ben->reply_count != replies)
			break;
	}
	g_assert_cmpuint(ben->reply_count, ==, replies + 1);
	g_assert_cmpstr(who_ran(world, ben->id), ==, "ben");
	g_assert_cmpuint(now_in(world) - began, <, 150 * MSEC);
	world_destroy(world);
}

/* --- keys --- */

static void test_unknown_key(void)
{
	pool_world_t *world = start(2, NULL);

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
 * What a caller with a stolen key would get: everything, as long as it keeps its session. What
 * happens: the operators take the key away while sessions are open, one of them in a transaction.
 * Why it ends: the key is looked up for each statement, and what rests on it is rolled back.
 */
static void test_key_taken(void)
{
	pool_world_t *world = start(2, NULL);
	world_caller_t *lone = world_open_session_with_key(world, 0, "strict", "key-ada");
	world_caller_t *within = world_open_session_with_key(world, 0, "strict", "key-ada");
	world_caller_t *other = world_open_session_with_key(world, 0, "strict", "key-ben");

	expect_run(lone, "WRITE a 1", "ada");
	world_send_and_wait(within, "BEGIN");
	expect_run(within, "WRITE a 2", "ada");
	world->customers[0].key[0] = '\0';
	new_version(world);
	world_run(world, 10 * MSEC);
	g_assert_false(world_has_transaction(world));
	expect_refused(within, "WRITE a 3", "ERR ABORTED");
	expect_refused(lone, "READ a", "ERR NOAUTH");
	expect_run(other, "READ a", "ben");
	g_assert_cmpstr(fake_value(fake_leader(world->db), "a"), ==, "1");
	/* Its sessions end. */
	world_run(world, SEC);
	g_assert_null(lone->caller);
	g_assert_nonnull(other->caller);
	g_assert_cmpint(world_open_session_with_key(world, 1, "strict", "key-ada")->refusal_code,
			==, CODE_NO_AUTH);
	world_destroy(world);
}

/*
 * The same with the answer to its statement under way: it is passed on, and nothing more runs.
 */
static void test_key_taken_while_busy(void)
{
	pool_world_t *world = start(2, NULL);
	world_caller_t *caller = world_open_session_with_key(world, 0, "strict", "key-ada");

	world_send_and_wait(caller, "BEGIN");
	world_send(caller, "WRITE a 1");
	world_run(world, MSEC);
	world->customers[0].key[0] = '\0';
	new_version(world);
	world_run(world, 50 * MSEC);
	g_assert_true(g_str_has_prefix(caller->reply, "DONE"));
	expect_refused(caller, "COMMIT", "ERR ABORTED");
	g_assert_null(fake_value(fake_leader(world->db), "a"));
	world_destroy(world);
}

/*
 * What callers would see: statements of one customer counted and run as another's. What happens: a
 * key is passed on to another customer. Why it does not: a transaction ends with the name under
 * which it began, and what follows runs under the new one.
 */
static void test_key_passed_on(void)
{
	pool_world_t *world = start(2, NULL);
	world_caller_t *lone = world_open_session_with_key(world, 0, "strict", "key-ada");
	world_caller_t *within = world_open_session_with_key(world, 0, "strict", "key-ada");

	expect_run(lone, "READ a", "ada");
	world_send_and_wait(within, "BEGIN");
	expect_run(within, "WRITE a 1", "ada");
	snprintf(world->customers[0].key, WORLD_KEY_MAX, "key-new");
	snprintf(world->customers[1].key, WORLD_KEY_MAX, "key-ada");
	new_version(world);
	expect_refused(within, "COMMIT", "ERR ABORTED");
	expect_run(lone, "READ a", "ben");
	world_destroy(world);
}

/* --- what is known of the keys grows old --- */

static void cut_off(pool_world_t *world, size_t node, bool cut)
{
	world->nodes[node].kv.unreachable = cut;
	world->nodes[node].cut_from_peers = cut;
}

/*
 * What the operators would see: a key that they took away is served for as long as a proxy is cut
 * off. What happens: a proxy hears neither the store nor a peer, and its callers go on. Why it
 * ends: what it knows counts for a stated time from when it was proved.
 */
static void test_cut_off(void)
{
	pool_world_t *world = start(3, NULL);
	world_caller_t *caller = world_open_session_with_key(world, 2, "bounded", "key-ada");
	usec_t cut_at = now_in(world);

	cut_off(world, 2, true);
	while (now_in(world) < cut_at + 8 * SEC) {
		const char *reply = world_send_and_wait(caller, "READ a");

		if (now_in(world) > cut_at + WORLD_REVOKE_BOUND)
			g_assert_true(g_str_has_prefix(reply, "ERR"));
		else if (now_in(world) < cut_at + SEC)
			g_assert_false(g_str_has_prefix(reply, "ERR"));
		world_run(world, 20 * MSEC);
	}
	/* It is out of rotation, and lets sessions go that rest. */
	g_assert_false(pooler_is_ready(world->nodes[2].pooler));
	world_run(world, SEC);
	g_assert_null(caller->caller);
	g_assert_cmpint(world_open_session_with_key(world, 2, "bounded", "key-ada")->refusal_code,
			==, CODE_BUSY);
	cut_off(world, 2, false);
	world_run(world, 3 * SEC);
	expect_run(world_open_session_with_key(world, 2, "bounded", "key-ada"), "READ a", "ada");
	world_destroy(world);
}

/*
 * What the operators would see: a key is served long after it was taken. What happens: a proxy is
 * stopped for longer than its knowledge may count, the key is taken meanwhile, and a statement
 * waits at its socket when it wakes. Why it is refused: the time of the stop counts as age.
 */
static void test_frozen(void)
{
	pool_world_t *world = start(3, NULL);
	world_caller_t *caller = world_open_session_with_key(world, 2, "bounded", "key-ada");

	expect_run(caller, "READ a", "ada");
	world_freeze(world, 2);
	world->customers[0].key[0] = '\0';
	new_version(world);
	world_run(world, 6 * SEC);
	/* It is read before anything else that came meanwhile. */
	world_send(caller, "READ a");
	g_assert_true(g_str_has_prefix(caller->reply, "ERR BUSY"));
	g_assert_null(who_ran(world, caller->id));
	world_thaw(world, 2);
	world_destroy(world);
}

/*
 * What callers see: nothing. What happens: the store turns one proxy away for far longer than what
 * it knows of the keys counts. Why it serves: its peers prove it, each adding the age of its own
 * proof.
 */
static void test_proved_by_peers(void)
{
	pool_world_t *world = start(3, NULL);
	world_caller_t *caller = world_open_session_with_key(world, 2, "bounded", "key-ada");
	usec_t end = now_in(world) + 12 * SEC;

	world->nodes[2].kv.unreachable = true;
	while (now_in(world) < end) {
		expect_run(caller, "READ a", "ada");
		world_run(world, 100 * MSEC);
	}
	world_destroy(world);
}

/*
 * What the operators would see: a key is served for as long as the store is away, though all
 * proxies hear each other. What happens: each tells the others how old its proof is, and nobody has
 * a newer one. Why it ends: an answer proves what its sender has proved, not the time at which it
 * comes.
 */
static void test_nobody_proves(void)
{
	pool_world_t *world = start(3, NULL);
	world_caller_t *caller = world_open_session_with_key(world, 2, "bounded", "key-ada");
	usec_t cut_at = now_in(world);

	for (size_t i = 0; i < world->node_count; i++)
		world->nodes[i].kv.unreachable = true;
	while (now_in(world) < cut_at + 8 * SEC) {
		bool served = !g_str_has_prefix(world_send_and_wait(caller, "READ a"), "ERR");

		g_assert_false(served && now_in(world) > cut_at + WORLD_REVOKE_BOUND);
		g_assert_true(served || now_in(world) > cut_at + 4 * SEC);
		world_run(world, 100 * MSEC);
	}
	world_destroy(world);
}

/* --- limits --- */

#define LIMIT_RATE  20
#define LIMIT_BURST 20
/* Within which the limit is judged, and by how much it may be exceeded. */
#define WINDOW	    (5 * SEC)
#define MOST_WITHIN ((LIMIT_RATE * 5 + LIMIT_BURST) * 1.1 + 20)

static const world_customer_t limited[] = {
	{.name = "ada", .rate = LIMIT_RATE, .burst = LIMIT_BURST}, {.name = "ben"}};

/* The most runs of the customer within any window. */
static size_t most_within(const pool_world_t *world, const char *customer)
{
	const fake_db_t *db = world->db;
	size_t most = 0;

	for (size_t i = 0; i < db->run_count; i++) {
		size_t count = 0;

		for (size_t j = i; j < db->run_count && db->runs[j].at < db->runs[i].at + WINDOW;
		     j++)
			count += strcmp(db->runs[j].who, customer) == 0;
		if (count > most)
			most = count;
	}
	return most;
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

/* Each that may send another statement does so, with a chance of one in pause each millisecond. */
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
	usec_t end = now_in(world) + time;

	while (now_in(world) < end) {
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
 * What callers see: a customer that keeps to its limit is not refused, wherever its callers are;
 * one that sends ten times as much is held to it, and others don't notice.
 */
static void test_below_limit(void)
{
	pool_world_t *world = start_limited(6);
	GRand *rand = g_rand_new_with_seed(1);
	flood_t flood = {0};

	open_flood(world, &flood, "key-ada", 2);
	/* 12 callers, each 1.25 a second: three quarters of the limit. */
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
	usec_t end = now_in(world) + 12 * SEC;

	open_flood(world, &flood, "key-ada", 3);
	open_flood(world, &other, "key-ben", 1);
	while (now_in(world) < end) {
		step_flood(&flood, rand, 50);
		step_flood(&other, rand, 100);
		world_run(world, MSEC);
	}
	g_assert_cmpuint(flood.sent, >, 12 * LIMIT_RATE * 5);
	g_assert_cmpuint(most_within(world, "ada"), <=, (size_t)MOST_WITHIN);
	g_assert_cmpuint(flood.served, >=, 12 * LIMIT_RATE);
	g_assert_cmpuint(other.served * 100, >=, other.sent * 97);
	world_destroy(world);
	g_rand_free(rand);
}

/*
 * What the operators would see: twice the limit. What happens: the fleet falls into two parts that
 * don't hear each other, and a customer floods both. Why it holds: each part has only the seats
 * whose keepers it reaches.
 */
static void test_flood_of_two_islands(void)
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
	g_assert_cmpuint(most_within(world, "ada"), <=, (size_t)MOST_WITHIN);
	g_assert_cmpuint(flood.served, >=, 10 * LIMIT_RATE);
	world_destroy(world);
	g_rand_free(rand);
}

/*
 * The same while proxies, and with them keepers, are killed and start again: what an earlier life
 * has let through is not known to the next one, and counts all the same.
 */
static void test_flood_of_restarts(void)
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
	g_assert_cmpuint(most_within(world, "ada"), <=, (size_t)MOST_WITHIN);
	g_assert_cmpuint(flood.served, >=, 6 * LIMIT_RATE);
	world_destroy(world);
	g_rand_free(rand);
}

/* A lower limit holds a window after it came; a transaction that has begun goes on. */
static void test_lower_limit(void)
{
	pool_world_t *world = start_limited(3);
	GRand *rand = g_rand_new_with_seed(5);
	world_caller_t *within = world_open_session_with_key(world, 0, "strict", "key-ada");
	flood_t flood = {0};
	size_t served;

	open_flood(world, &flood, "key-ada", 3);
	run_flood(world, &flood, rand, 50, SEC);
	while (!g_str_has_prefix(world_send_and_wait(within, "BEGIN"), "DONE"))
		world_run(world, 20 * MSEC);
	world->customers[0].rate = 2;
	world->customers[0].burst = 2;
	new_version(world);
	run_flood(world, &flood, rand, 50, 5 * SEC);
	served = flood.served;
	run_flood(world, &flood, rand, 50, 5 * SEC);
	g_assert_cmpuint(flood.served - served, <=, (size_t)((2 * 5 + 2) * 1.1 + 20));
	g_assert_cmpuint(flood.served - served, >=, 8);
	expect_run(within, "WRITE a 1", "ada");
	expect_run(within, "COMMIT", "ada");
	world_destroy(world);
	g_rand_free(rand);
}

/* A seat of ada's that proxy 0 keeps. */
static unsigned seat_of_first(const pool_world_t *world)
{
	for (unsigned seat = 0; seat < LIMIT_SEATS; seat++) {
		if (strcmp(keepers_find(world->nodes[0].pooler->keepers, "ada", seat), "p0") == 0)
			return seat;
	}
	g_assert_not_reached();
}

/*
 * What callers would see: a third of a customer's limit is gone for good. What happens: a proxy
 * becomes the keeper of a seat and is gone again, and its predecessor, which gave the seat up, sees
 * only the rosters before and after. Why it is not: with a roster no older than the successor's the
 * seat is taken over anew.
 */
static void test_successor_for_a_moment(void)
{
	pool_world_t *world = start_limited(3);
	pooler_t *pooler = world->nodes[0].pooler;
	seats_t *seats = seats_create(NULL, pooler);
	quota_request_t request = {.number = 1, .customer = "ada", .wanted = 1};
	int64_t successor = pooler->sync.roster->revision + 5;

	request.seat = seat_of_first(world);
	g_assert_cmpuint(seats_take(seats, &request, now_in(world)).granted, ==, 1);
	g_assert_true(seats_release(seats, &request, successor).released);
	g_assert_true(seats_take(seats, &request, now_in(world)).vacant);
	world_run(world, 5 * SEC);
	g_assert_true(seats_take(seats, &request, now_in(world)).vacant);
	pooler->sync.roster->revision = successor + 1;
	g_assert_true(seats_take(seats, &request, now_in(world)).vacant);
	world_run(world, 100 * MSEC);
	pooler->sync.roster->revision = successor + 1;
	pooler->sync.confirmed_at = now_in(world) + 3 * SEC;
	g_assert_cmpuint(seats_take(seats, &request, now_in(world) + 3 * SEC).granted, ==, 1);
	talloc_free(seats);
	world_destroy(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/access/names", test_names);
	g_test_add_func("/access/names-at-homes", test_names_at_homes);
	g_test_add_func("/access/connection-gives-way", test_connection_gives_way);
	g_test_add_func("/access/unknown-key", test_unknown_key);
	g_test_add_func("/access/key-taken", test_key_taken);
	g_test_add_func("/access/key-taken-while-busy", test_key_taken_while_busy);
	g_test_add_func("/access/key-passed-on", test_key_passed_on);
	g_test_add_func("/access/cut-off", test_cut_off);
	g_test_add_func("/access/frozen", test_frozen);
	g_test_add_func("/access/proved-by-peers", test_proved_by_peers);
	g_test_add_func("/access/nobody-proves", test_nobody_proves);
	g_test_add_func("/access/below-limit", test_below_limit);
	g_test_add_func("/access/flood", test_flood);
	g_test_add_func("/access/flood-of-two-islands", test_flood_of_two_islands);
	g_test_add_func("/access/flood-of-restarts", test_flood_of_restarts);
	g_test_add_func("/access/lower-limit", test_lower_limit);
	g_test_add_func("/access/successor-for-a-moment", test_successor_for_a_moment);
	return g_test_run();
}
