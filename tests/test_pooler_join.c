/* Getting on the roster, in a fleet in which not everybody can ask the holder of the duty. */
#include <glib.h>

#include "permit.h"
#include "pool_check.h"
#include "state.h"

/* Proxies; the roster that they make has some 16 KB. */
#define LARGE 150
/* Hubs that they have: one for 16 of a zone, and one more a zone for what is left. */
#define HUBS_MOST (LARGE / 16 + 3)

/* Proxies that have made a link to this one. */
static size_t count_links_to(const pool_world_t *world, size_t node)
{
	size_t count = 0;

	for (size_t i = 0; i < world->node_count; i++)
		count += world->nodes[i].link_ready_at[node] != 0;
	return count;
}

/* A fleet that has just lost power; *holder: who held the duty. */
static pool_world_t *make_dark(size_t *holder)
{
	pool_world_t *world = world_create(LARGE, NULL);

	world_wait_until_ready(world);
	world_run(world, 2 * SEC);
	*holder = find_leader(world);
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
 * Guards against a holder that runs out of memory and bandwidth after a loss of power: each proxy
 * asked it to be added, was answered over a link of its own, and was told of all the others.
 */
static void test_large_fleet_joins_by_hubs(void)
{
	size_t holder;
	pool_world_t *world = make_dark(&holder);

	for (size_t i = 0; i < LARGE; i++)
		world_start_proxy(world, i);
	world_run(world, 1500 * MSEC);
	g_test_message("links to the holder %zu, bytes that it sent %zu",
		       count_links_to(world, holder), world->nodes[holder].bytes_sent);
	g_assert_cmpuint(count_registered_proxies(world), ==, LARGE);
	g_assert_cmpuint(count_links_to(world, holder), <=, 2 * HUBS_MOST);
	g_assert_cmpuint(world->nodes[holder].bytes_sent, <=, 400 * 1000);
	world_destroy(world);
}

/* Guards against proxies that never join, since the holder that the roster names is gone. */
static void test_large_fleet_without_its_holder(void)
{
	size_t holder;
	pool_world_t *world = make_dark(&holder);

	for (size_t i = 0; i < LARGE; i++) {
		if (i != holder)
			world_start_proxy(world, i);
	}
	world_run(world, 4 * SEC);
	g_assert_cmpuint(count_registered_proxies(world), ==, LARGE - 1);
	world_destroy(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/join/by-hubs", test_large_fleet_joins_by_hubs);
	g_test_add_func("/join/without-the-holder", test_large_fleet_without_its_holder);
	return g_test_run();
}
