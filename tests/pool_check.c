#include "pool_check.h"

#include <string.h>

#include <glib.h>

#include "leader.h"
#include "permit.h"

void assert_has_prefix(const char *text, const char *prefix)
{
	if (!g_str_has_prefix(text, prefix))
		g_error("expected \"%s...\", got \"%s\"", prefix, text);
}

const fake_run_t *find_last_run(const pool_world_t *world, const char *id)
{
	for (size_t i = world->db->run_count; i > 0; i--) {
		if (strcmp(world->db->runs[i - 1].id, id) == 0)
			return &world->db->runs[i - 1];
	}
	return NULL;
}

bool is_leader(const pool_world_t *world, size_t node)
{
	return leader_is_self(world->nodes[node].pooler, clock_now(&world->clock.base));
}

static size_t find_node(const pool_world_t *world, bool leader)
{
	size_t node = 0;

	while (is_leader(world, node) != leader)
		node++;
	return node;
}

size_t find_leader(const pool_world_t *world)
{
	return find_node(world, true);
}

size_t find_non_leader(const pool_world_t *world)
{
	return find_node(world, false);
}

size_t count_runs(const pool_world_t *world, const char *id)
{
	size_t count = 0;

	for (size_t i = 0; i < world->db->run_count; i++)
		count += strcmp(world->db->runs[i].id, id) == 0;
	return count;
}

size_t count_registered_proxies(const pool_world_t *world)
{
	size_t count = 0;

	for (size_t i = 0; i < world->node_count; i++)
		count += world->nodes[i].pooler != NULL &&
			 permit_is_registered(world->nodes[i].pooler);
	return count;
}
