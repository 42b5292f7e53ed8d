/*
 * Poolers in paused time under more load than their members can serve: the order of the queue and
 * the connections. Each plays a load and checks what callers get.
 */
#include <glib.h>
#include <talloc.h>

#include "pool_check.h"

/* A hundred statements a second. */
static const fake_db_config_t one_slow_member = {
	.service = WORLD_SERVICE,
	.members = 1,
	.slots = 2,
	.max_connections = 16,
	.work = 20 * MSEC,
};

/* A statement of its own session. */
typedef struct sent {
	world_caller_t *caller;
	usec_t sent_at;
	usec_t took; /* 0: not answered yet */
} sent_t;

typedef struct load {
	pool_world_t *world;
	sent_t *sent; /* talloc array */
	size_t count;
	size_t done; /* answered with success */
	size_t unsure;
	size_t in_time;
} load_t;

static usec_t now_in(const load_t *load)
{
	return clock_now(&load->world->clock.base);
}

static void send_one(load_t *load, size_t node, const char *text)
{
	sent_t *sent;

	load->sent = talloc_realloc(load->world, load->sent, sent_t, load->count + 1);
	sent = &load->sent[load->count++];
	*sent = (sent_t){.caller = world_open_session_on(load->world, node, "strict"),
			 .sent_at = now_in(load)};
	world_send(sent->caller, text);
}

static void look(load_t *load)
{
	for (size_t i = 0; i < load->count; i++) {
		sent_t *sent = &load->sent[i];

		if (sent->took != 0 || sent->caller->reply_count == 0)
			continue;
		sent->took = now_in(load) - sent->sent_at;
		load->unsure += g_str_has_prefix(sent->caller->reply, "ERR INDOUBT");
		if (!g_str_has_prefix(sent->caller->reply, "DONE") &&
		    !g_str_has_prefix(sent->caller->reply, "ROW"))
			continue;
		load->done++;
		load->in_time += sent->took <= WORLD_OBJECTIVE;
	}
}

/* One statement each interval for so long, at one proxy after the other. */
static void play(load_t *load, const char *text, usec_t interval, usec_t length)
{
	usec_t end = now_in(load) + length;

	for (size_t i = 0; now_in(load) < end; i++) {
		send_one(load, i % load->world->node_count, text);
		world_run(load->world, interval);
		look(load);
	}
}

static size_t opened(const pool_world_t *world)
{
	size_t count = 0;

	for (size_t i = 0; i < world->db->config.members; i++)
		count += world->db->members[i].opened;
	return count;
}

/*
 * What callers see: for as long as a primary has a third more to do than it can, all are served
 * late. What happens: in order of arrival each waits as long as the whole queue is. Why it is
 * enough to put the late ones last: the primary can serve three quarters of them in time.
 */
static void test_late_ones_wait(void)
{
	load_t load = {.world = world_create(1, &one_slow_member)};

	world_wait_until_ready(load.world);
	play(&load, "READ job-1", 7500, 4 * SEC);
	world_run(load.world, SEC);
	look(&load);
	g_test_message("%zu sent, %zu done, %zu in time", load.count, load.done, load.in_time);
	for (size_t i = 0; i < load.count; i++)
		g_assert_cmpuint(load.sent[i].took, !=, 0);
	g_assert_cmpuint(load.in_time * 10, >=, load.count * 6);
	world_destroy(load.world);
}

/*
 * What callers see: while a primary has three times as much to do as it can, many of their writes
 * are in doubt. What happens: they wait at the member, one for each connection, and their time
 * runs out there. Why it suffices that few are at the member at a time: those that wait here are
 * refused with a promise.
 */
static void test_few_in_doubt(void)
{
	load_t load = {.world = world_create(1, &one_slow_member)};

	world_wait_until_ready(load.world);
	play(&load, "WRITE job-1 a", 3300, 3 * SEC);
	world_run(load.world, SEC);
	look(&load);
	g_test_message("%zu sent, %zu done, %zu in time, %zu in doubt", load.count, load.done,
		       load.in_time, load.unsure);
	g_assert_cmpuint(load.unsure * 100, <, load.count * 2);
	world_destroy(load.world);
}

/*
 * What callers see: for 3 s after all proxies were killed many are served late. What happens:
 * all proxies come back at once and borrow connections for the callers that waited, so one is
 * refused its first; all then use every connection by turns, and making the next one takes 12 ms
 * of a slot each time. Why it suffices that they give back what is borrowed: there is one for each.
 */
static void test_kill_of_all(void)
{
	static const fake_db_config_t config = {
		.service = WORLD_SERVICE,
		.members = 1,
		.slots = 2,
		.max_connections = 16,
		.work = 6 * MSEC,
		.open = 12 * MSEC,
	};
	load_t load = {.world = world_create(9, &config)};
	pool_world_t *world = load.world;
	size_t before;

	world_wait_until_ready(world);
	play(&load, "READ job-1", 10 * MSEC, SEC);
	for (size_t i = 0; i < world->node_count; i++)
		world_kill(world, i);
	world_run(world, SEC);
	for (size_t i = 0; i < world->node_count; i++)
		world_start_proxy(world, i);
	world_run(world, 100 * MSEC);
	before = opened(world);
	load.count = 0;
	load.done = 0;
	load.in_time = 0;
	for (size_t i = 0; i < 6 * 8; i++)
		send_one(&load, i % 6, "READ job-1");
	world_run(world, 60 * MSEC);
	play(&load, "READ job-1", 5 * MSEC, 2 * SEC);
	world_run(world, SEC);
	look(&load);
	g_test_message("%zu sent, %zu done, %zu in time, %zu connections made", load.count,
		       load.done, load.in_time, opened(world) - before);
	g_assert_cmpuint(load.in_time * 100, >=, load.count * 85);
	g_assert_cmpuint(opened(world) - before, <, 60);
	world_destroy(world);
}

/* Two connections for the only proxy. */
static const fake_db_config_t two_connections = {
	.service = WORLD_SERVICE,
	.members = 1,
	.slots = 2,
	.max_connections = 4,
	.work = 4 * MSEC,
	.open = 12 * MSEC,
};

static world_caller_t *begin_and_rest(pool_world_t *world, const char *text)
{
	world_caller_t *caller = world_open_session_on(world, 0, "strict");

	assert_has_prefix(world_send_and_wait(caller, "BEGIN"), "DONE");
	assert_has_prefix(world_send_and_wait(caller, text), "DONE");
	return caller;
}

/*
 * What callers see: nobody at a proxy is served until transactions that rest reach their limit of
 * 3 s. What happens: clients begin, write and rest, and hold all of the proxy's connections to the
 * primary. Why it suffices to roll back the one that has rested longest: its client is told that
 * nothing is kept, and a connection serves many statements in the time that one rests.
 */
static void test_resting_gives_way(void)
{
	load_t load = {.world = world_create(1, &two_connections)};
	pool_world_t *world = load.world;
	world_caller_t *first;
	world_caller_t *second;

	world_wait_until_ready(world);
	first = begin_and_rest(world, "WRITE job-1 a");
	second = begin_and_rest(world, "WRITE job-2 b");
	play(&load, "READ job-1", 20 * MSEC, SEC);
	look(&load);
	g_test_message("%zu sent, %zu done, %zu in time", load.count, load.done, load.in_time);
	g_assert_cmpuint(load.in_time * 100, >=, load.count * 95);
	assert_has_prefix(world_send_and_wait(first, "COMMIT"), "ERR ABORTED");
	g_assert_cmpuint(fake_count(&world->db->members[0], first->id), ==, 0);
	/* One connection is enough for those that waited. */
	assert_has_prefix(world_send_and_wait(second, "COMMIT"), "DONE");
	assert_has_prefix(world_send_and_wait(first, "READ job-1"), "ROW none");
	assert_has_prefix(world_send_and_wait(first, "READ job-2"), "ROW b");
	world_destroy(world);
}

/* While nobody waits for its connection, a transaction may rest up to its limit. */
static void test_resting_is_left(void)
{
	pool_world_t *world = world_create(1, &two_connections);
	world_caller_t *resting;
	world_caller_t *other;

	world_wait_until_ready(world);
	resting = begin_and_rest(world, "WRITE job-1 a");
	other = world_open_session_on(world, 0, "strict");
	for (int i = 0; i < 100; i++) {
		assert_has_prefix(world_send_and_wait(other, "READ job-1"), "ROW none");
		world_run(world, 20 * MSEC);
	}
	assert_has_prefix(world_send_and_wait(resting, "COMMIT"), "DONE");
	assert_has_prefix(world_send_and_wait(other, "READ job-1"), "ROW a");
	world_destroy(world);
}

/* The pauses of a client that goes on with its transaction are no rest, whoever waits. */
static void test_pauses_are_left(void)
{
	pool_world_t *world = world_create(1, &two_connections);
	world_caller_t *first;
	world_caller_t *second;
	world_caller_t *other;

	world_wait_until_ready(world);
	first = begin_and_rest(world, "WRITE job-1 a");
	second = begin_and_rest(world, "WRITE job-2 b");
	other = world_open_session_on(world, 0, "strict");
	world_send(other, "READ job-1");
	for (int i = 0; i < 10; i++) {
		assert_has_prefix(world_send_and_wait(first, "READ job-1"), "ROW a");
		assert_has_prefix(world_send_and_wait(second, "READ job-2"), "ROW b");
		world_run(world, 50 * MSEC);
	}
	assert_has_prefix(world_send_and_wait(first, "COMMIT"), "DONE");
	assert_has_prefix(world_send_and_wait(second, "COMMIT"), "DONE");
	world_run(world, 50 * MSEC);
	assert_has_prefix(other->reply, "ROW ");
	world_destroy(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/load/resting-gives-way", test_resting_gives_way);
	g_test_add_func("/load/resting-is-left", test_resting_is_left);
	g_test_add_func("/load/pauses-are-left", test_pauses_are_left);
	g_test_add_func("/load/late-last", test_late_ones_wait);
	g_test_add_func("/load/few-in-doubt", test_few_in_doubt);
	g_test_add_func("/load/kill-of-all", test_kill_of_all);
	return g_test_run();
}
