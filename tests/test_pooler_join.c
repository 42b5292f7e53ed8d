/*
 * Joining the roster in a fleet that is too large for all proxies to ask the leader.
 */
#include <glib.h>

#include "permit.h"
#include "pool_check.h"
#include "state.h"

/* Number of proxies; their roster has some 16 KB. */
#define LARGE 150
/* Number of their hubs: one for 16 proxies of a zone, and one more in a zone for the rest. */
#define HUBS_MAX (LARGE / 16 + 3)

/* Counts the proxies that have established a link to this one. */
static size_t count_links_to(const pool_world_t *world, size_t node)
{
	size_t count = 0;

	for (size_t i = 0; i < world->node_count; i++)
		count += world->nodes[i].link_ready_at[node] != 0;
	return count;
}

/* Makes a fleet that has just lost power; sets *leader to its leader. */
static pool_world_t *make_powered_off(size_t *leader)
{
	pool_world_t *world = world_create(LARGE, NULL);

	world_wait_until_ready(world);
	world_run(world, 2 * SEC);
	*leader = find_leader(world);
	for (size_t i = 0; i < world->node_count; i++)
		world_power_off(world, i);
	world_run(world, 500 * MSEC);
	world->links_need_setup = true;
	for (size_t i = 0; i < world->node_count; i++) {
		world->nodes[i].messages_sent = 0;
		world->nodes[i].bytes_sent = 0;
	}
	return world;
}

/*
 * Guards against a leader that runs out of memory and bandwidth after a power failure: each proxy
 * asked the leader to be added, was answered over a link of its own, and was sent the entries of
 * all others.
 */
static void test_large_fleet_joins_through_hubs(void)
{
	size_t leader;
	pool_world_t *world = make_powered_off(&leader);

	for (size_t i = 0; i < LARGE; i++)
		world_start_proxy(world, i);
	world_run(world, 1500 * MSEC);
	g_test_message("links to the leader: %zu, bytes that it sent: %zu",
		       count_links_to(world, leader), world->nodes[leader].bytes_sent);
	g_assert_cmpuint(count_registered_proxies(world), ==, LARGE);
	g_assert_cmpuint(count_links_to(world, leader), <=, 2 * HUBS_MAX);
	g_assert_cmpuint(world->nodes[leader].bytes_sent, <=, 400 * 1000);
	world_destroy(world);
}

/* Guards against proxies that never join because the previous leader does not come back. */
static void test_large_fleet_without_its_leader(void)
{
	size_t leader;
	pool_world_t *world = make_powered_off(&leader);

	for (size_t i = 0; i < LARGE; i++) {
		if (i != leader)
			world_start_proxy(world, i);
	}
	world_run(world, 4 * SEC);
	g_assert_cmpuint(count_registered_proxies(world), ==, LARGE - 1);
	world_destroy(world);
}

/*
 * Guards against a process that ends when the first write of its own entry conflicts with another
 * write: a previous leader asks no proxy before, so none is avoided.
 */
static void test_first_write_conflicts(void)
{
	size_t leader;
	pool_world_t *world = make_powered_off(&leader);
	const char *key = "fleet/roster";
	char *roster = g_strdup(fake_kv_get(world->kv, key));

	g_assert_nonnull(roster);
	world_start_proxy(world, leader);
	for (int i = 0; i < 1000 && !world->nodes[leader].pooler->sync.registering; i++)
		world_run(world, MSEC);
	g_assert_true(world->nodes[leader].pooler->sync.registering);
	fake_kv_put(world->kv, key, roster);
	world_run(world, 4 * SEC);
	g_assert_cmpuint(count_registered_proxies(world), ==, 1);
	g_free(roster);
	world_destroy(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/join/by-hubs", test_large_fleet_joins_through_hubs);
	g_test_add_func("/join/without-the-holder", test_large_fleet_without_its_leader);
	g_test_add_func("/join/first-write-conflicts", test_first_write_conflicts);
	return g_test_run();
}
