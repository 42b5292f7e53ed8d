#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "pool_parts.h"
#include "state.h"

#define CONFIG_KEY     "op/config"
#define CONFIG_PREFIX  "op/"
#define MEMBERS_PREFIX "servers/"

/* A configuration in the store is its version, and letters up to its size. */

static void on_config(follow_t *follow, const kv_item_t *item)
{
	world_node_t *node = list_entry(follow, world_node_t, config);

	pooler_on_routes(node->pooler, world_routes(node->world, strtoll(item->value, NULL, 10)));
}

static void on_config_read(follow_t *follow, usec_t asked_at)
{
	pooler_on_keys_proved(list_entry(follow, world_node_t, config)->pooler, asked_at);
}

static void on_member(follow_t *follow, const kv_item_t *item)
{
	(void)follow;
	(void)item;
}

static void on_gone(follow_t *follow, const char *key)
{
	(void)follow;
	(void)key;
}

static const follow_ops_t config_ops = {
	.changed = on_config, .gone = on_gone, .read = on_config_read};
static const follow_ops_t member_ops = {.changed = on_member, .gone = on_gone};

static void start(world_node_t *node, follow_t *follow, const char *prefix, const follow_ops_t *ops)
{
	*follow = (follow_t){
		.ops = ops,
		.kv = pooler_store(node->pooler),
		.clock = &node->world->clock.base,
		.timers = &node->timers,
		.prefix = prefix,
		.fed = true,
		.held = true,
		.random = (uint64_t)(node - node->world->nodes) + 1,
	};
	follow_start(follow, NULL);
}

void directory_start(world_node_t *node)
{
	start(node, &node->config, CONFIG_PREFIX, &config_ops);
	start(node, &node->members, MEMBERS_PREFIX, &member_ops);
	pooler_set_directory(node->pooler, &node->config, &node->members);
}

void directory_stop(world_node_t *node)
{
	if (node->config.ops == NULL)
		return;
	follow_stop(&node->config);
	follow_stop(&node->members);
}

void directory_refresh(world_node_t *node, follow_t *follow)
{
	if (node->world->config_bytes != 0)
		follow_refresh(follow);
}

void world_write_config(pool_world_t *world)
{
	char *text = talloc_asprintf(NULL, "%lld ", (long long)++world->config_version);
	size_t len = strlen(text);
	GRand *rand = g_rand_new_with_seed((guint32)world->config_version);

	text = talloc_realloc_size(NULL, text, len + world->config_bytes + 1);
	/* Random letters, which can't be compressed much. */
	for (size_t i = 0; i < world->config_bytes; i++)
		text[len + i] = (char)g_rand_int_range(rand, 'a', 'z' + 1);
	g_rand_free(rand);
	text[len + world->config_bytes] = '\0';
	fake_kv_put(world->kv, CONFIG_KEY, text);
	talloc_free(text);
}

int64_t world_version_at(const pool_world_t *world, size_t node)
{
	const pooler_t *pooler = world->nodes[node].pooler;

	return pooler != NULL && pooler->routes != NULL ? pooler->routes->version : 0;
}
