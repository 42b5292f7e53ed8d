/*
 * Poolers with a manual clock: connections that a member never accepts, or late. A request for a
 * connection can be lost while the connection stays up, as at a member or a path that is silent for
 * a moment; nothing arrives then, neither an acceptance nor an end.
 */
#include <string.h>

#include <glib.h>

#include "pool_check.h"
#include "state.h"

#define CALLERS 6
/* What docs/PROMISES.md states: a member's time for accepting a connection, and the new one. */
#define SERVED_AGAIN (550 * MSEC)

/* All requests for a connection that this proxy sends for its callers now are lost. */
static void lose_requests(pool_world_t *world, size_t node, const char *text)
{
	world_set_members_unreachable(world, node, true);
	for (size_t i = 0; i < CALLERS; i++)
		world_send(world_open_session_on(world, node, "strict"), text);
	world_run(world, 20 * MSEC);
	world_set_members_unreachable(world, node, false);
}

static size_t count_opening(const pool_world_t *world, size_t node, const char *id)
{
	const member_t *member = member_find(world->nodes[node].pooler, id);
	size_t count = 0;

	list_for_each (it, &member->conns)
		count += list_entry(it, conn_t, node)->state == CONN_OPENING;
	return count;
}

/*
 * Guards against a proxy that stops serving a service for good: all connections that it may have to
 * the primary were lost while they were being opened, and nothing ended them.
 */
static void test_lost_requests(void)
{
	pool_world_t *world = world_create(3, NULL);
	size_t node;

	world_wait_until_ready(world);
	node = find_non_leader(world);
	lose_requests(world, node, "WRITE job-1 a");
	g_assert_cmpuint(count_opening(world, node, "core-0"), >, 0);
	world_run(world, SERVED_AGAIN);
	assert_has_prefix(
		world_send_and_wait(world_open_session_on(world, node, "strict"), "WRITE job-1 b"),
		"DONE core-0");
	g_assert_cmpuint(count_opening(world, node, "core-0"), ==, 0);
	world_destroy(world);
}

/*
 * Guards against the same at a proxy that lacks processor time: all of its ticks are late, each
 * looks like the end of a pause, and nothing would ever be given up.
 */
static void test_lost_requests_while_ticks_are_late(void)
{
	pool_world_t *world = world_create(3, NULL);
	size_t node;

	world_wait_until_ready(world);
	node = find_non_leader(world);
	lose_requests(world, node, "WRITE job-1 a");
	for (int i = 0; i < 30; i++) {
		world_freeze(world, node);
		world_run(world, 115 * MSEC);
		world_thaw(world, node);
		world_run(world, 10 * MSEC);
	}
	g_assert_cmpuint(count_opening(world, node, "core-0"), ==, 0);
	world_destroy(world);
}

/* The same for the callers that wait meanwhile: they are served within their time-out of 800 ms. */
static void test_waiting_callers_are_served(void)
{
	pool_world_t *world = world_create(3, NULL);
	world_caller_t *caller;
	size_t node;

	world_wait_until_ready(world);
	node = find_non_leader(world);
	lose_requests(world, node, "READ job-1");
	caller = world_open_session_on(world, node, "strict");
	world_send(caller, "WRITE job-1 a");
	world_run(world, SERVED_AGAIN);
	assert_has_prefix(caller->reply, "DONE core-0");
	world_destroy(world);
}

/*
 * Guards against a member that answers, but accepts connections late: each would be given up before
 * it is ready, the next one would take as long, and callers without a connection would never be
 * served.
 */
static void test_late_acceptance(void)
{
	static const fake_db_config_t config = {
		.service = WORLD_SERVICE,
		.members = 1,
		.slots = 8,
		.max_connections = 16,
		.service_time = 4 * MSEC,
	};
	pool_world_t *world = world_create(1, &config);
	world_caller_t *busy;
	world_caller_t *caller;
	bool served = false;

	world_wait_until_ready(world);
	busy = world_open_session_on(world, 0, "strict");
	world_send_and_wait(busy, "BEGIN");
	assert_has_prefix(world_send_and_wait(busy, "READ job-1"), "ROW none");
	world->db->config.connect_time = 700 * MSEC;
	caller = world_open_session_on(world, 0, "strict");
	for (int i = 0; i < 20 && !served; i++) {
		if (!caller_is_busy(caller->caller))
			world_send(caller, "WRITE job-1 a");
		world_send(busy, "READ job-1");
		world_run(world, 100 * MSEC);
		served = g_str_has_prefix(caller->reply, "DONE core-0");
	}
	g_assert_true(served);
	world_destroy(world);
}

/*
 * Guards against openings that multiply at an overloaded member: it answers, but accepts
 * connections late, and each 150 ms as many were opened again as its slots allow.
 */
static void test_overdue_openings_are_paced(void)
{
	static const fake_db_config_t config = {
		.service = WORLD_SERVICE,
		.members = 1,
		.slots = 4,
		.max_connections = 24,
		.service_time = 4 * MSEC,
	};
	pool_world_t *world = world_create(1, &config);
	world_caller_t *busy;
	size_t opening = 0;

	world_wait_until_ready(world);
	busy = world_open_session_on(world, 0, "strict");
	world_send_and_wait(busy, "BEGIN");
	assert_has_prefix(world_send_and_wait(busy, "READ job-1"), "ROW none");
	world->db->config.connect_time = 700 * MSEC;
	for (size_t i = 0; i < 3 * CALLERS; i++)
		world_send(world_open_session_on(world, 0, "strict"), "WRITE job-1 a");
	for (int i = 0; i < 8; i++) {
		if (!caller_is_busy(busy->caller))
			world_send(busy, "READ job-1");
		world_run(world, 50 * MSEC);
	}
	list_for_each (it, &member_find(world->nodes[0].pooler, "core-0")->conns) {
		const conn_t *conn = list_entry(it, conn_t, node);

		opening += conn->state == CONN_OPENING && !conn->probe;
	}
	/* All slots at once, and one more after each 150 ms. */
	g_test_message("%zu being opened", opening);
	g_assert_cmpuint(opening, >=, 1);
	g_assert_cmpuint(opening, <=, 4 + 2);
	world_destroy(world);
}

/* --- connections that are silent when they are used --- */

/* Sends the statement on an idle connection with other values; the request for its set-up is lost.
 */
static const char *lose_setup(world_caller_t *caller, const char *text)
{
	pool_world_t *world = caller->proxy->world;
	size_t node = (size_t)(caller->proxy - world->nodes);

	world_set_members_unreachable(world, node, true);
	world_send(caller, text);
	world_run(world, 5 * MSEC);
	world_set_members_unreachable(world, node, false);
	world_run(world, 300 * MSEC);
	return caller->reply;
}

/*
 * Guards against a statement that is refused although members could serve it: an idle connection
 * has gone silent, and the statement waits for the reply to its set-up until its own time is over.
 */
static void test_silent_setup(void)
{
	pool_world_t *world = world_create(1, NULL);
	world_caller_t *other;
	world_caller_t *caller;

	world_wait_until_ready(world);
	other = world_open_session_on(world, 0, "strict");
	assert_has_prefix(world_send_and_wait(other, "WRITE job-1 a"), "DONE core-0");
	caller = world_open_session_on(world, 0, "strict");
	world_send_and_wait(caller, "SET zone b");
	assert_has_prefix(lose_setup(caller, "WRITE job-1 b"), "DONE core-0");
	g_assert_cmpuint(count_runs(world, caller->id), ==, 1);
	world_send_and_wait(caller, "BEGIN");
	assert_has_prefix(lose_setup(caller, "WRITE job-1 c"), "DONE core-0");
	assert_has_prefix(world_send_and_wait(caller, "COMMIT"), "DONE core-0");
	assert_has_prefix(world_send_and_wait(other, "READ job-1"), "ROW c");
	world_destroy(world);
}

/* --- connections that can't be begun --- */

static unsigned connects;

static void *fail_to_connect(env_t *env, const char *address, const char *service,
			     const char *customer, const char *member, struct conn *conn)
{
	(void)env;
	(void)address;
	(void)service;
	(void)customer;
	(void)member;
	(void)conn;
	connects++;
	return NULL;
}

/*
 * Guards against a member that is never asked again whether it lives: a connection to it broke, and
 * the probe could not even be begun. Callers would wait for it as if it lived.
 */
static void test_probe_cannot_begin(void)
{
	pool_world_t *world = world_create(1, NULL);
	world_node_t *node = &world->nodes[0];
	const env_ops_t *ops;
	env_ops_t failing;
	world_caller_t *caller;

	world_wait_until_ready(world);
	caller = world_open_session_on(world, 0, "strict");
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	ops = node->env.ops;
	failing = *ops;
	failing.member_connect = fail_to_connect;
	node->env.ops = &failing;
	connects = 0;
	world_crash_member(world, 0);
	world_run(world, 300 * MSEC);
	g_assert_true(member_find(node->pooler, "core-0")->down);
	world_run(world, 2 * SEC);
	g_assert_cmpuint(connects, >, 4);
	fake_member_start(&world->db->members[0]);
	node->env.ops = ops;
	world_run(world, SEC);
	g_assert_false(member_find(node->pooler, "core-0")->down);
	world_destroy(world);
}

/* --- what operators see --- */

static json_int_t dumped(const json_t *dump, const char *member, const char *key)
{
	const json_t *service = json_array_get(json_object_get(dump, "services"), 0);
	const json_t *members = json_object_get(service, "members");

	for (size_t i = 0; i < json_array_size(members); i++) {
		const json_t *item = json_array_get(members, i);

		if (strcmp(json_string_value(json_object_get(item, "id")), member) == 0)
			return json_integer_value(json_object_get(item, key));
	}
	return -1;
}

/*
 * Guards against refusals that nothing explains: the dump tells connections that are being opened
 * and since when, and the share that they use up.
 */
static void test_dump_tells_the_state(void)
{
	pool_world_t *world = world_create(3, NULL);
	json_t *dump;
	size_t node;

	world_wait_until_ready(world);
	node = find_non_leader(world);
	lose_requests(world, node, "WRITE job-1 a");
	world_run(world, 200 * MSEC);
	dump = pooler_dump(world->nodes[node].pooler);
	g_assert_cmpint(dumped(dump, "core-0", "opening"), >, 0);
	g_assert_cmpint(dumped(dump, "core-0", "opening"), ==,
			(json_int_t)count_opening(world, node, "core-0"));
	g_assert_cmpint(dumped(dump, "core-0", "share"), ==, 2);
	g_assert_cmpint(dumped(dump, "core-0", "opening_ms"), >=, 200);
	g_assert_cmpint(dumped(dump, "core-0", "running"), ==, 0);
	json_decref(dump);
	world_destroy(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/opening/lost-requests", test_lost_requests);
	g_test_add_func("/opening/late-ticks", test_lost_requests_while_ticks_are_late);
	g_test_add_func("/opening/waiting-callers", test_waiting_callers_are_served);
	g_test_add_func("/opening/late-acceptance", test_late_acceptance);
	g_test_add_func("/opening/overdue-are-paced", test_overdue_openings_are_paced);
	g_test_add_func("/opening/silent-set-up", test_silent_setup);
	g_test_add_func("/opening/probe-cannot-begin", test_probe_cannot_begin);
	g_test_add_func("/opening/dump", test_dump_tells_the_state);
	return g_test_run();
}
