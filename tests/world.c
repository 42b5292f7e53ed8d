#include "world_parts.h"

#include <string.h>

#include <talloc.h>

world_config_t world_config_default(void)
{
	return (world_config_t){
		.proxies = 3,
		.members = 3,
		.zones = 3,
		.zone_latency = 1500,
		.replication_lag = 2 * USEC_PER_MSEC,
		.service_time = 2 * USEC_PER_MSEC,
		.connect_time = 10 * USEC_PER_MSEC,
		.slots = 2,
		.max_conns = 15,
		.row_conns = 3,
		.seed = 1,
		.replica_share = 100,
		.max_age = USEC_PER_SEC,
		.row_queue = 200,
		.row_timeout = 5 * USEC_PER_SEC,
	};
}

static void store_put_row(world_t *world, const char *class_name, const char *kind, int weight,
			  const char *more)
{
	const world_config_t *config = &world->config;
	char *key = g_strdup_printf("row/dispatch/%s", class_name);
	char *row = g_strdup_printf("{\"group\":\"callout-1\",\"kind\":\"%s\",\"connections\":%d,"
				    "\"weight\":%d,\"queue\":%d,\"timeout_ms\":%d%s}",
				    kind, config->row_conns, weight, config->row_queue,
				    (int)(config->row_timeout / USEC_PER_MSEC), more);

	store_put(world, key, row);
	g_free(row);
	g_free(key);
}

static void fill_store(world_t *world)
{
	const world_config_t *config = &world->config;
	GString *members = g_string_new("{\"members\":[");
	char *aged;

	for (int i = 0; i < config->members; i++)
		g_string_append_printf(members,
				       "%s{\"name\":\"m%d\",\"zone\":\"z%d\",\"address\":\"m:%d\","
				       "\"slots\":%d,\"connections\":%d}",
				       i > 0 ? "," : "", i, i % config->zones, i, config->slots,
				       config->max_conns);
	g_string_append(members, "]}");
	world->store_version = 1;
	store_put(world, "group/callout-1", members->str);
	g_string_free(members, TRUE);
	store_put_row(world, "assign", "write", 90, "");
	store_put_row(world, "assignment", "read", 80, "");
	aged = g_strdup_printf(",\"max_age_ms\":%d,\"replica_lean\":%d",
			       (int)(config->max_age / USEC_PER_MSEC), config->replica_share);
	store_put_row(world, "status", "read", 50, aged);
	g_free(aged);
}

static void create_member(world_t *world, int i)
{
	fake_member_t *member = &world->members[i];

	member->sealed = 1;
	member->primary = i == 0;
	member->upstream = i == 0 ? -1 : 0;
	member->log = g_ptr_array_new_with_free_func(log_entry_free);
	member->claims = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	member->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	member->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	member->slot_free_at = g_array_new(FALSE, TRUE, sizeof(usec_t));
	g_array_set_size(member->slot_free_at, (guint)world->config.slots);
	g_ptr_array_add(member->log, log_entry_new(1, NULL, NULL, NULL));
	world_schedule(world, 50 * USEC_PER_MSEC, -1, fake_member_on_catch_up, GINT_TO_POINTER(i));
}

static void on_proxy_start(world_t *world, void *data)
{
	world_on_tick(world, data);
}

static void create_proxy(world_t *world, int i)
{
	char name[24];
	char zone[24];
	char address[24];
	core_config_t config = {
		.name = name,
		.zone = zone,
		.address = address,
		.incarnation = 1,
		.seed = world->config.seed * 1000 + (uint64_t)i,
		.fixed_detection = world->config.fixed_detection,
		.fixed_timeout = 3 * USEC_PER_SEC,
		.equal_shares = world->config.equal_shares,
		.ignore_zones = world->config.ignore_zones,
		.small_fleet = (size_t)world->config.small_fleet,
		.timings = core_timings_default(),
	};

	snprintf(name, sizeof(name), "p%d", i);
	snprintf(zone, sizeof(zone), "z%d", i % world->config.zones);
	snprintf(address, sizeof(address), "p:%d", i);
	world->proxies[i].core = core_create(NULL, &config);
	world->proxies[i].next_tick = USEC_NEVER;
	for (int j = 0; j < world->config.proxies; j++) {
		vm_t vm = {.name = name, .zone = zone, .address = address};

		snprintf(name, sizeof(name), "p%d", j);
		snprintf(zone, sizeof(zone), "z%d", j % world->config.zones);
		snprintf(address, sizeof(address), "p:%d", j);
		core_add_configured_proxy(world->proxies[i].core, &vm);
	}
	world_schedule(world, 1000 + world_random(world, 20000), i, on_proxy_start,
		       GINT_TO_POINTER(i));
}

world_t *world_create(const world_config_t *config)
{
	world_t *world = g_new0(world_t, 1);

	world->config = *config;
	world->rng = config->seed;
	world->events = g_sequence_new(NULL);
	world->conns = g_hash_table_new(g_str_hash, g_str_equal);
	world->results = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, result_free);
	world->caller_names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	world->edit_outcomes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	world->edit_names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	world->acknowledged = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	world->floors = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	world->store = g_tree_new_full(store_compare_keys, NULL, g_free, store_item_free);
	world->store_edits = g_ptr_array_new_with_free_func(g_free);
	world->timeline = g_string_new(NULL);
	world->violations = g_string_new(NULL);
	fill_store(world);
	for (int i = 0; i < config->members; i++)
		create_member(world, i);
	for (int i = 0; i < config->proxies; i++)
		create_proxy(world, i);
	return world;
}

/* Run the scheduled events with all nodes vanished, so that they only free their memory. */
static void drain_events(world_t *world)
{
	world->ending = true;
	world->config.quiet = true;
	memset(world->frozen_until, 0, sizeof(world->frozen_until));
	memset(world->vanished, true, sizeof(world->vanished));
	for (int i = 0; i < world->config.proxies; i++)
		world_for_each_conn(world, i, fake_conn_abandon);
	world_run(world, USEC_NEVER - 1);
}

static void free_conns(world_t *world)
{
	GList *all = g_hash_table_get_values(world->conns);

	g_hash_table_steal_all(world->conns);
	g_list_free_full(all, (GDestroyNotify)fake_conn_unref);
}

void world_destroy(world_t *world)
{
	drain_events(world);
	free_conns(world);
	g_hash_table_unref(world->conns);
	g_sequence_free(world->events);
	for (int i = 0; i < world->config.proxies; i++)
		talloc_free(world->proxies[i].core);
	for (int i = 0; i < world->config.members; i++) {
		g_ptr_array_unref(world->members[i].log);
		g_hash_table_unref(world->members[i].claims);
		g_array_unref(world->members[i].slot_free_at);
		g_hash_table_unref(world->members[i].by_key);
		g_hash_table_unref(world->members[i].by_id);
	}
	g_hash_table_unref(world->results);
	g_hash_table_unref(world->caller_names);
	g_hash_table_unref(world->edit_outcomes);
	g_hash_table_unref(world->edit_names);
	g_hash_table_unref(world->acknowledged);
	g_hash_table_unref(world->floors);
	g_tree_unref(world->store);
	g_ptr_array_unref(world->store_edits);
	g_string_free(world->timeline, TRUE);
	g_string_free(world->violations, TRUE);
	g_free(world);
}
