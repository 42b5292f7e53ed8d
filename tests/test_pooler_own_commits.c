/*
 * Poolers with a manual clock: a session reads its own commits, also where its route moves between
 * two services and where a reply tells no position.
 */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "home.h"
#include "pool_check.h"

/* Lag of the replicas, within max_age of the routes, so that they may serve reads all the while. */
#define LONG_LAG     SEC
#define SLOW_PRIMARY (40 * MSEC)
/* Size of a fleet in which only homes connect to members. */
#define FLEET 24
/* Commits at the first service before a test, so that its log is ahead of the second one's. */
#define COMMITS_AHEAD 40

static bool second_service_is_ready(pool_world_t *world)
{
	return world_count_permitted(world, WORLD_SECOND_SERVICE "-0") == world->node_count;
}

/* Sends the same write again and again, so that the proxies have samples of the primary. */
static void write_often(pool_world_t *world, world_caller_t *writer, usec_t by)
{
	usec_t end = clock_now(&world->clock.base) + by;

	while (clock_now(&world->clock.base) < end) {
		assert_has_prefix(world_send_and_wait(writer, "WRITE other x"), "DONE");
		world_run(world, 30 * MSEC);
	}
}

/* Has the replicas lag, and the primary answer so late that reads prefer them. */
static void prefer_lagging_replicas(fake_db_t *db)
{
	db->members[0].extra_service_time = SLOW_PRIMARY;
	for (size_t i = 1; i < db->config.members; i++)
		db->members[i].extra_lag = LONG_LAG;
}

/* Starts two services whose replicas lag. */
static pool_world_t *create_world(size_t nodes)
{
	pool_world_t *world = world_create(nodes, NULL);

	world_add_second_service(world);
	world_wait_until_ready(world);
	for (int i = 0; i < 100 && !second_service_is_ready(world); i++)
		world_run(world, 100 * MSEC);
	g_assert_true(second_service_is_ready(world));
	prefer_lagging_replicas(world->db);
	prefer_lagging_replicas(world->second_db);
	return world;
}

/* As create_world(), with a session on the route that moves and writers on both services. */
typedef struct setting {
	pool_world_t *world;
	world_caller_t *caller;
	world_caller_t *writer; /* on the first service, at the caller's proxy */
} setting_t;

static setting_t create_setting(size_t nodes, size_t node)
{
	setting_t setting = {.world = create_world(nodes)};

	setting.writer = world_open_session_on(setting.world, node, "strict");
	setting.caller = world_open_session_on(setting.world, node, WORLD_MOVED_DATABASE);
	write_often(setting.world, setting.writer, COMMITS_AHEAD * 40 * MSEC);
	return setting;
}

/* Writes at the first service, then at the second one, and moves the route back. */
static void write_at_both_services(const setting_t *setting)
{
	assert_has_prefix(world_send_and_wait(setting->caller, "WRITE mine first"),
			  "DONE " WORLD_SERVICE "-0");
	world_move_route(setting->world, WORLD_SECOND_SERVICE);
	assert_has_prefix(world_send_and_wait(setting->caller, "WRITE mine second"),
			  "DONE " WORLD_SECOND_SERVICE "-0");
	/* The replicas get older positions, and a sample of the primary comes before the read. */
	write_often(setting->world, setting->writer, 300 * MSEC);
	world_move_route(setting->world, WORLD_SERVICE);
}

/* Guards against a session that misses its own write once its route went elsewhere and back. */
static void test_route_moves_and_returns(void)
{
	setting_t setting = create_setting(3, 0);

	write_at_both_services(&setting);
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ROW first\r\n");
	world_move_route(setting.world, WORLD_SECOND_SERVICE);
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ROW second\r\n");
	world_destroy(setting.world);
}

/* The same for the reads of a transaction, whose member is chosen at its first statement. */
static void test_transaction_after_return(void)
{
	setting_t setting = create_setting(3, 0);

	write_at_both_services(&setting);
	assert_has_prefix(world_send_and_wait(setting.caller, "BEGIN READ"), "DONE");
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ROW first\r\n");
	assert_has_prefix(world_send_and_wait(setting.caller, "COMMIT"), "DONE");
	world_destroy(setting.world);
}

/* Guards against a commit of a transaction whose position is lost when the route moves in it. */
static void test_route_moves_in_transaction(void)
{
	setting_t setting = create_setting(3, 0);

	assert_has_prefix(world_send_and_wait(setting.caller, "BEGIN"), "DONE");
	assert_has_prefix(world_send_and_wait(setting.caller, "WRITE mine first"),
			  "DONE " WORLD_SERVICE "-0");
	world_move_route(setting.world, WORLD_SECOND_SERVICE);
	assert_has_prefix(world_send_and_wait(setting.caller, "COMMIT"),
			  "DONE " WORLD_SERVICE "-0");
	assert_has_prefix(world_send_and_wait(setting.caller, "WRITE mine second"),
			  "DONE " WORLD_SECOND_SERVICE "-0");
	write_often(setting.world, setting.writer, 300 * MSEC);
	world_move_route(setting.world, WORLD_SERVICE);
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ROW first\r\n");
	world_destroy(setting.world);
}

/* Guards against a session that misses its own write once its service was removed and is back. */
static void test_service_is_removed_and_returns(void)
{
	setting_t setting = create_setting(3, 0);

	assert_has_prefix(world_send_and_wait(setting.caller, "WRITE mine first"),
			  "DONE " WORLD_SERVICE "-0");
	world_move_route(setting.world, NULL);
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ERR NODB");
	world_move_route(setting.world, WORLD_SECOND_SERVICE);
	assert_has_prefix(world_send_and_wait(setting.caller, "WRITE mine second"),
			  "DONE " WORLD_SECOND_SERVICE "-0");
	world_move_route(setting.world, NULL);
	write_often(setting.world, setting.writer, 300 * MSEC);
	world_move_route(setting.world, WORLD_SERVICE);
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ROW first\r\n");
	world_destroy(setting.world);
}

/* Returns a proxy that is home of neither service. */
static size_t find_forwarding_proxy(pool_world_t *world)
{
	for (size_t i = 0; i < world->node_count; i++) {
		pooler_t *pooler = world->nodes[i].pooler;
		usec_t now = now_of(pooler);
		const char *first = home_find(service_get(pooler, WORLD_SERVICE), now)->name;
		const char *second =
			home_find(service_get(pooler, WORLD_SECOND_SERVICE), now)->name;

		if (strcmp(first, world->nodes[i].name) != 0 &&
		    strcmp(second, world->nodes[i].name) != 0)
			return i;
	}
	g_assert_not_reached();
}

static setting_t create_setting_with_homes(void)
{
	setting_t setting = {.world = create_world(FLEET)};
	size_t origin = find_forwarding_proxy(setting.world);

	setting.writer = world_open_session_on(setting.world, origin, "strict");
	setting.caller = world_open_session_on(setting.world, origin, WORLD_MOVED_DATABASE);
	write_often(setting.world, setting.writer, COMMITS_AHEAD * 40 * MSEC);
	return setting;
}

/* Guards against a home that compares its replicas with the commit at another service. */
static void test_home_after_return(void)
{
	setting_t setting = create_setting_with_homes();

	write_at_both_services(&setting);
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ROW first\r\n");
	g_assert_nonnull(setting.caller->caller->helper);
	world_move_route(setting.world, WORLD_SECOND_SERVICE);
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ROW second\r\n");
	world_destroy(setting.world);
}

/*
 * Guards against a transaction that its home runs at another service than the one for which it was
 * begun: its commit would count for the log of the wrong service.
 */
static void test_route_moves_before_home_is_asked(void)
{
	setting_t setting = create_setting_with_homes();

	assert_has_prefix(world_send_and_wait(setting.caller, "BEGIN"), "DONE");
	world_move_route(setting.world, WORLD_SECOND_SERVICE);
	assert_has_prefix(world_send_and_wait(setting.caller, "WRITE mine first"),
			  "DONE " WORLD_SERVICE "-0");
	assert_has_prefix(world_send_and_wait(setting.caller, "COMMIT"),
			  "DONE " WORLD_SERVICE "-0");
	assert_has_prefix(world_send_and_wait(setting.caller, "WRITE mine second"),
			  "DONE " WORLD_SECOND_SERVICE "-0");
	write_often(setting.world, setting.writer, 300 * MSEC);
	world_move_route(setting.world, WORLD_SERVICE);
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ROW first\r\n");
	world_destroy(setting.world);
}

/* Guards against a session that misses its own write since the reply to it told no position. */
static void test_commit_without_position(void)
{
	setting_t setting = create_setting(3, 0);
	fake_member_t *primary = &setting.world->db->members[0];

	primary->hides_position = true;
	assert_has_prefix(world_send_and_wait(setting.caller, "WRITE mine first"),
			  "DONE " WORLD_SERVICE "-0");
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ROW first\r\n");
	primary->hides_position = false;
	/* Samples of the primary that are taken now cover the commit. */
	write_often(setting.world, setting.writer, 300 * MSEC);
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ROW first\r\n");
	world_destroy(setting.world);
}

/* The same where a home runs the read. */
static void test_commit_without_position_at_home(void)
{
	setting_t setting = create_setting_with_homes();

	setting.world->db->members[0].hides_position = true;
	assert_has_prefix(world_send_and_wait(setting.caller, "WRITE mine first"),
			  "DONE " WORLD_SERVICE "-0");
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ROW first\r\n");
	g_assert_nonnull(setting.caller->caller->helper);
	world_destroy(setting.world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/moved-route/returns", test_route_moves_and_returns);
	g_test_add_func("/moved-route/transaction", test_transaction_after_return);
	g_test_add_func("/moved-route/moves-in-transaction", test_route_moves_in_transaction);
	g_test_add_func("/moved-route/service-returns", test_service_is_removed_and_returns);
	g_test_add_func("/moved-route/home", test_home_after_return);
	g_test_add_func("/moved-route/moves-before-home-is-asked",
			test_route_moves_before_home_is_asked);
	g_test_add_func("/no-position/member", test_commit_without_position);
	g_test_add_func("/no-position/home", test_commit_without_position_at_home);
	return g_test_run();
}
