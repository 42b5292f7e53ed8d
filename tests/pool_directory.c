#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "pool_parts.h"
#include "state.h"

#define CONFIG_KEY     "op/config"
#define CONFIG_PREFIX  "op/"
#define MEMBERS_PREFIX "servers/"

/*
 * The documents in the store stand for a configuration and a list of members: each consists of its
 * version and random letters up to the wanted size.
 */

static void on_config_changed(follow_t *follow, const kv_item_t *item)
{
	world_node_t *node = list_entry(follow, world_node_t, config);

	pooler_on_routes(node->pooler,
			 world_create_routes(node->world, strtoll(item->value, NULL, 10)));
}

static void on_config_read_complete(follow_t *follow, usec_t asked_at)
{
	pooler_on_config_confirmed(list_entry(follow, world_node_t, config)->pooler, asked_at);
}

static void on_members_changed(follow_t *follow, const kv_item_t *item)
{
	world_node_t *node = list_entry(follow, world_node_t, members);

	node->members_version = strtoll(item->value, NULL, 10);
}

static void on_key_removed(follow_t *follow, const char *key)
{
	(void)follow;
	(void)key;
}

static const follow_ops_t config_ops = {.on_changed = on_config_changed,
					.on_removed = on_key_removed,
					.on_read = on_config_read_complete};
static const follow_ops_t member_ops = {.on_changed = on_members_changed,
					.on_removed = on_key_removed};

static void start_following(world_node_t *node, follow_t *follow, const char *prefix,
			    const follow_ops_t *ops)
{
	*follow = (follow_t){
		.ops = ops,
		.kv = pooler_store(node->pooler),
		.clock = &node->world->clock.base,
		.timers = &node->timers,
		.prefix = prefix,
		.from_peer = true,
		.read_deferred = true,
		.random_state = (uint64_t)(node - node->world->nodes) + 1,
	};
	follow_start(follow, NULL);
}

void directory_start_followers(world_node_t *node)
{
	node->members_version = 0;
	start_following(node, &node->config, CONFIG_PREFIX, &config_ops);
	start_following(node, &node->members, MEMBERS_PREFIX, &member_ops);
	pooler_set_directory(node->pooler, &node->config, &node->members);
}

void directory_stop_followers(world_node_t *node)
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

static void write_document(const pool_world_t *world, const char *key, int64_t version,
			   size_t bytes)
{
	char *text = talloc_asprintf(NULL, "%lld ", (long long)version);
	size_t len = strlen(text);
	GRand *rand = g_rand_new_with_seed((guint32)version);

	text = talloc_realloc_size(NULL, text, len + bytes + 1);
	/* Random letters, so that compression hardly shortens the text. */
	for (size_t i = 0; i < bytes; i++)
		text[len + i] = (char)g_rand_int_range(rand, 'a', 'z' + 1);
	g_rand_free(rand);
	text[len + bytes] = '\0';
	fake_kv_put(world->kv, key, text);
	talloc_free(text);
}

void world_write_config(pool_world_t *world)
{
	write_document(world, CONFIG_KEY, ++world->config_version, world->config_bytes);
}

void world_write_members(pool_world_t *world, size_t bytes)
{
	write_document(world, MEMBERS_PREFIX "versioned", ++world->members_version, bytes);
}

int64_t world_config_version_at(const pool_world_t *world, size_t node)
{
	const pooler_t *pooler = world->nodes[node].pooler;

	return pooler != NULL && pooler->routes != NULL ? pooler->routes->version : 0;
}
