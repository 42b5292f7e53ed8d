/* Whether a primary is lost, judged from what several proxies see. */
#include <glib.h>
#include <talloc.h>

#include "pool_check.h"
#include "state.h"

/*
 * What callers saw: nobody was served for the first eight seconds of a day. The holder of the
 * duty could not reach any member, since its own link was full; no other proxy had used the
 * primaries yet, so its word alone replaced them all. Why a second witness is enough: a link that
 * fails is one proxy's, and those that have connections ask when the holder doubts.
 */
static void test_holder_alone_sees_it_down(void)
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

/* A primary that nobody uses crashes: it is replaced all the same, before a caller needs it. */
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
 * What callers saw: writes refused for as long as the primary was down. Of two proxies only the
 * holder has connections to the members, as the home of the service, and the other was no witness.
 * Why it is enough to ask who comes next: it would serve if the holder did not.
 */
static void test_only_home_is_the_holder(void)
{
	static const fake_db_config_t config = {
		.service = WORLD_SERVICE,
		.members = 3,
		.slots = 2,
		.max_connections = 3,
		.work = 4 * MSEC,
		.open = 12 * MSEC,
		.promote = 1000 * MSEC,
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

/* All others are gone for good: the last proxy's word must do. */
static void test_last_proxy_judges_alone(void)
{
	pool_world_t *world = world_create(3, NULL);
	size_t holder;

	world_wait_until_ready(world);
	holder = find_leader(world);
	for (size_t i = 0; i < 3; i++) {
		if (i != holder)
			world_kill(world, i);
	}
	world->directory_is_frozen = true;
	world_crash_member(world, 0);
	world_run(world, 20 * SEC);
	g_assert_cmpuint(world->promote_count, ==, 1);
	assert_has_prefix(world_send_and_wait(world_open_session(world, holder), "WRITE job-1 a"),
			  "DONE core-");
	world_destroy(world);
}

#define MANY 30

/* More services, each with a member that says it is the primary; nobody answers there. */
static void add_services(pool_world_t *world, size_t node)
{
	pooler_t *pooler = world->nodes[node].pooler;
	routes_t *routes = routes_create(NULL);

	routes->version = 1000;
	for (int i = 0; i < MANY; i++) {
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
 * What callers saw: nobody was served, or not for many seconds, before 100 databases. Each first
 * primary was written down by a write of its own, and each write made all others fail. One write
 * with all of them is enough; some more come from members that tell their term late.
 */
static void test_many_first_primaries(void)
{
	pool_world_t *world = world_create(3, NULL);
	size_t holder;
	size_t calls;

	world_wait_until_ready(world);
	world->directory_is_frozen = true;
	holder = find_leader(world);
	calls = world->kv->call_count;
	for (size_t i = 0; i < 3; i++)
		add_services(world, i);
	world_run(world, 2 * SEC);
	g_assert_cmpuint(list_length(&world->nodes[holder].pooler->sync.roster->groups), ==,
			 MANY + 1);
	g_test_message("%zu calls to the store", world->kv->call_count - calls);
	g_assert_cmpuint(world->kv->call_count - calls, <, MANY);
	world_destroy(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/verdict/holder-alone", test_holder_alone_sees_it_down);
	g_test_add_func("/verdict/unused-primary", test_unused_primary_crashes);
	g_test_add_func("/verdict/only-home", test_only_home_is_the_holder);
	g_test_add_func("/verdict/last-proxy", test_last_proxy_judges_alone);
	g_test_add_func("/verdict/many-first-primaries", test_many_first_primaries);
	return g_test_run();
}
