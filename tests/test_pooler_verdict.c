/* When a primary counts as lost, given what several proxies report of it. */
#include <glib.h>
#include <talloc.h>

#include "pool_check.h"
#include "state.h"

/*
 * Guards against an outage of eight seconds at the first start: the leader can't reach any member,
 * since its own link is full, no other proxy has used the primaries yet, and the leader alone has
 * all of them replaced. A second report must be required: a failing link affects one proxy, and
 * proxies with connections probe a primary that the leader suspects.
 */
static void test_unreachable_for_leader_only(void)
{
	pool_world_t *world = world_create(4, NULL);

	world_wait_until_ready(world);
	world_set_members_unreachable(world, find_leader(world), true);
	world_run(world, 6 * SEC);
	g_assert_cmpuint(world->promote_count, ==, 0);
	assert_has_prefix(world_send_and_wait(world_open_session(world, find_non_leader(world)),
					      "WRITE job-1 a"),
			  "DONE core-0");
	world_destroy(world);
}

/* A primary without traffic that crashes is replaced before a caller needs it. */
static void test_unused_primary_crashes(void)
{
	pool_world_t *world = world_create(4, NULL);

	world_wait_until_ready(world);
	world_run(world, 2 * SEC);
	world->directory_is_frozen = true;
	world_crash_member(world, 0);
	world_run(world, 4 * SEC);
	g_assert_cmpuint(world->promote_count, ==, 1);
	world_destroy(world);
}

/*
 * Guards against writes being refused for as long as the primary is down: of two proxies only the
 * leader has connections to the members, as the home of the service, so the other one reports
 * nothing. The next home candidate must probe a suspected primary too.
 */
static void test_leader_is_the_only_home(void)
{
	static const fake_db_config_t config = {
		.service = WORLD_SERVICE,
		.members = 3,
		.slots = 2,
		.max_connections = 3,
		.service_time = 4 * MSEC,
		.connect_time = 12 * MSEC,
		.promote_delay = 1000 * MSEC,
	};
	pool_world_t *world = world_create(2, &config);
	world_caller_t *caller;

	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	world->directory_is_frozen = true;
	world_crash_member(world, 0);
	world_send_and_wait(caller, "WRITE job-1 b");
	world_run(world, 4 * SEC);
	g_assert_cmpuint(world->promote_count, ==, 1);
	world_destroy(world);
}

/* When all other proxies are gone, the last one's own finding is enough to replace a primary. */
static void test_last_proxy_decides_alone(void)
{
	pool_world_t *world = world_create(3, NULL);
	size_t leader;

	world_wait_until_ready(world);
	leader = find_leader(world);
	for (size_t i = 0; i < 3; i++) {
		if (i != leader)
			world_kill(world, i);
	}
	world->directory_is_frozen = true;
	world_crash_member(world, 0);
	world_run(world, 20 * SEC);
	g_assert_cmpuint(world->promote_count, ==, 1);
	assert_has_prefix(world_send_and_wait(world_open_session(world, leader), "WRITE job-1 a"),
			  "DONE core-");
	world_destroy(world);
}

#define EXTRA_SERVICES 30

/* Adds services, each with a member that claims to be the primary but doesn't answer. */
static void add_services(pool_world_t *world, size_t node)
{
	pooler_t *pooler = world->nodes[node].pooler;
	routes_t *routes = routes_create(NULL);

	routes->version = 1000;
	for (int i = 0; i < EXTRA_SERVICES; i++) {
		g_autofree char *name = g_strdup_printf("more-%d", i);
		g_autofree char *id = g_strdup_printf("more-%d-0", i);
		service_limits_t *limits = routes_add_service(routes, name);

		limits->max_connections = 4;
		pooler_on_member(pooler, &(member_entry_t){.id = id,
							   .service = limits->name,
							   .address = "10.9.9.9:1",
							   .zone = "a",
							   .slots = 2,
							   .primary = true});
	}
	pooler_on_routes(pooler, routes);
}

/*
 * Guards against a fleet with 100 databases that serves nobody for many seconds or ever: if each
 * first primary is written to the roster by a write of its own, each write makes all others
 * conflict. One write with all of them is enough; a few more follow for members that report their
 * term late.
 */
static void test_many_first_primaries(void)
{
	pool_world_t *world = world_create(3, NULL);
	size_t leader;
	size_t calls;

	world_wait_until_ready(world);
	world->directory_is_frozen = true;
	leader = find_leader(world);
	calls = world->kv->call_count;
	for (size_t i = 0; i < 3; i++)
		add_services(world, i);
	world_run(world, 2 * SEC);
	g_assert_cmpuint(list_length(&world->nodes[leader].pooler->sync.roster->groups), ==,
			 EXTRA_SERVICES + 1);
	g_test_message("%zu calls to the store", world->kv->call_count - calls);
	g_assert_cmpuint(world->kv->call_count - calls, <, EXTRA_SERVICES);
	world_destroy(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/verdict/holder-alone", test_unreachable_for_leader_only);
	g_test_add_func("/verdict/unused-primary", test_unused_primary_crashes);
	g_test_add_func("/verdict/only-home", test_leader_is_the_only_home);
	g_test_add_func("/verdict/last-proxy", test_last_proxy_decides_alone);
	g_test_add_func("/verdict/many-first-primaries", test_many_first_primaries);
	return g_test_run();
}
