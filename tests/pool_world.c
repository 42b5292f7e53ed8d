#include "pool_world.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "permit.h"
#include "pool_parts.h"

/* --- the platform --- */

typedef struct promote_answer {
	run_timer_t timer;
	world_node_t *node;
	char service[32];
	promote_status_t status;
} promote_answer_t;

static bool lend_room;

void world_set_lending(bool lend)
{
	lend_room = lend;
}

static void on_promote_answer(run_timer_t *timer, usec_t now)
{
	promote_answer_t *answer = list_entry(timer, promote_answer_t, timer);

	(void)now;
	if (answer->node->pooler != NULL)
		pooler_on_promoted(answer->node->pooler, answer->service, answer->status);
	talloc_free(answer);
}

static void promote(env_t *env, const char *service, const char *member, const char *holder,
		    uint64_t fence)
{
	world_node_t *node = (world_node_t *)env;
	pool_world_t *world = node->world;
	promote_answer_t *answer = talloc_zero(world, promote_answer_t);
	fake_member_t *target = world_find_member(world, member);
	promote_call_t *call;

	world->promotes =
		talloc_realloc(world, world->promotes, promote_call_t, world->promote_count + 1);
	call = &world->promotes[world->promote_count++];
	call->called_at = world_now(world);
	call->fencing_token = fence;
	snprintf(call->member, sizeof(call->member), "%s", member);
	snprintf(call->leader, sizeof(call->leader), "%s", holder);
	answer->node = node;
	snprintf(answer->service, sizeof(answer->service), "%s", service);
	answer->status = fake_db_promote(target != NULL ? target->db : world->db, target)
				 ? PROMOTE_OK
				 : PROMOTE_REFUSED;
	if (world->lose_promote_answers != 0) {
		world->lose_promote_answers--;
		answer->status = PROMOTE_OUTCOME_UNKNOWN;
	}
	timers_arm(&node->timers, &answer->timer, world_now(world) + 2 * LINK_DELAY,
		   on_promote_answer);
}

static void refresh_config(env_t *env)
{
	world_node_t *node = (world_node_t *)env;

	node->refresh_requests++;
	directory_refresh(node, &node->config);
}

static void refresh_members(env_t *env)
{
	world_node_t *node = (world_node_t *)env;

	node->refresh_requests++;
	directory_refresh(node, &node->members);
}

static void stop_accepting(env_t *env)
{
	(void)env;
}

static void record_drained(env_t *env)
{
	((world_node_t *)env)->drained = true;
}

static const env_ops_t ops = {
	.caller_reply = callers_reply,
	.caller_close = callers_close,
	.caller_abort = callers_abort,
	.member_connect = links_connect,
	.member_send = links_send,
	.member_close = links_close,
	.peer_send = peers_send,
	.promote = promote,
	.refresh_config = refresh_config,
	.refresh_members = refresh_members,
	.stop_accepting = stop_accepting,
	.drained = record_drained,
};

static route_t *add_route_to(routes_t *routes, const pool_world_t *world, const char *database,
			     const char *service, reads_t reads)
{
	route_t *route = routes_add(routes, database, service);

	route->reads = reads;
	route->max_age = world->max_age;
	route->statement_timeout = 800 * USEC_PER_MSEC;
	route->objective = WORLD_OBJECTIVE;
	route->keyless = world->customer_count == 0 || strcmp(database, "open") == 0 ||
			 strcmp(database, WORLD_ADDED_DATABASE) == 0;
	return route;
}

static route_t *add_route(routes_t *routes, const pool_world_t *world, const char *database,
			  reads_t reads)
{
	return add_route_to(routes, world, database, WORLD_SERVICE, reads);
}

/* Adds the second service with the route that moves. */
static void add_moved_route(routes_t *routes, const pool_world_t *world)
{
	add_route_to(routes, world, WORLD_MOVED_DATABASE, world->moved_route, READS_SESSION);
	routes_add_service(routes, WORLD_SECOND_SERVICE)->max_connections =
		(int64_t)world->second_db->config.max_connections;
}

static void add_bounded_route(routes_t *routes, const pool_world_t *world)
{
	route_t *route = add_route(routes, world, "bounded", READS_BOUNDED);

	route->priority = world->bounded_priority;
	if (world->bounded_objective != 0) {
		route->objective = world->bounded_objective;
		route->statement_timeout = 2 * world->bounded_objective;
	}
}

static void add_customers(routes_t *routes, const pool_world_t *world)
{
	for (size_t i = 0; i < world->customer_count; i++) {
		const world_customer_t *from = &world->customers[i];
		const customer_t *customer =
			customers_add(routes->customers, from->name, from->rate, from->burst);
		key_digest_t digest = key_digest(from->key, strlen(from->key));

		if (from->key[0] != '\0')
			customers_add_key(routes->customers, customer, &digest);
	}
}

routes_t *world_create_routes(const pool_world_t *world, int64_t version)
{
	routes_t *routes = routes_create(NULL);
	service_limits_t *limits = routes_add_service(routes, WORLD_SERVICE);

	routes->version = version;
	routes->tx_idle_timeout = 3 * USEC_PER_SEC;
	add_route(routes, world, WORLD_DATABASE, world->reads);
	add_route(routes, world, "strict", READS_PRIMARY);
	add_bounded_route(routes, world);
	add_route(routes, world, "session", READS_SESSION);
	add_route(routes, world, "open", READS_BOUNDED);
	if (world->added_in_version != 0 && version >= world->added_in_version)
		add_route(routes, world, WORLD_ADDED_DATABASE, READS_BOUNDED);
	if (world->moved_route != NULL)
		add_moved_route(routes, world);
	add_customers(routes, world);
	limits->max_connections = (int64_t)world->db->config.max_connections;
	limits->sync_replicas = world->sync_replicas;
	return routes;
}

static void publish_service(const fake_db_t *db, const char *const *addresses, world_node_t *node)
{
	static const char *const zones[] = {"a", "b", "c"};

	for (size_t i = 0; i < db->config.members; i++) {
		const fake_member_t *member = &db->members[i];
		member_entry_t entry = {
			.id = member->id,
			.service = db->config.service,
			.address = addresses[i],
			.zone = zones[i % 3],
			.slots = (int64_t)db->config.slots,
			.leaving = member->leaving,
			.primary = member->primary,
		};

		if (!member->unlisted)
			pooler_on_member(node->pooler, &entry);
	}
}

static void publish_members(const pool_world_t *world, world_node_t *node)
{
	static const char *const addresses[FAKE_MEMBERS_MAX] = {
		"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1"};
	static const char *const second_addresses[FAKE_MEMBERS_MAX] = {
		"10.0.2.1:1", "10.0.2.2:1", "10.0.2.3:1", "10.0.2.4:1", "10.0.2.5:1"};

	publish_service(world->db, addresses, node);
	if (world->second_db != NULL)
		publish_service(world->second_db, second_addresses, node);
}

void world_publish_directory(pool_world_t *world)
{
	for (size_t i = 0; i < world->node_count; i++) {
		world_node_t *node = &world->nodes[i];

		if (node->pooler == NULL || node->kv.unreachable || node->frozen)
			continue;
		if (world->config_bytes == 0) {
			pooler_on_routes(node->pooler,
					 world_create_routes(world, world->config_version));
			pooler_on_config_confirmed(node->pooler, world_now(world));
		}
		publish_members(world, node);
	}
}

void world_add_second_service(pool_world_t *world)
{
	fake_db_config_t config = world->db->config;

	config.service = WORLD_SECOND_SERVICE;
	world->second_db = fake_db_create(world, &config, &world->clock.base, &world->timers);
	world_move_route(world, WORLD_SERVICE);
}

void world_move_route(pool_world_t *world, const char *service)
{
	world->moved_route = service;
	world->config_version++;
	world_publish_directory(world);
}

fake_member_t *world_find_member(const pool_world_t *world, const char *id)
{
	fake_member_t *member = fake_db_find_member(world->db, id);

	if (member == NULL && world->second_db != NULL)
		member = fake_db_find_member(world->second_db, id);
	return member;
}

/* --- time --- */

static usec_t next_due_time(const pool_world_t *world)
{
	usec_t next = timers_next_due(&world->timers);

	for (size_t i = 0; i < world->node_count; i++) {
		const world_node_t *node = &world->nodes[i];

		if (!node->frozen && timers_next_due(&node->timers) < next)
			next = timers_next_due(&node->timers);
	}
	return next;
}

/* Sends the list of members to the proxies every 50 ms, which stands for the delay of a watch. */
static void publish_periodically(pool_world_t *world)
{
	if (world->directory_is_frozen || world->kv->down ||
	    world_now(world) < world->published_at + 50 * USEC_PER_MSEC)
		return;
	world->published_at = world_now(world);
	world_publish_directory(world);
}

void world_run(pool_world_t *world, usec_t by)
{
	usec_t end = world_now(world) + by;

	for (;;) {
		usec_t next = next_due_time(world);

		if (next > end)
			break;
		if (next > world_now(world))
			manual_clock_advance(&world->clock, next - world_now(world));
		timers_expire(&world->timers, world_now(world));
		publish_periodically(world);
		for (size_t i = 0; i < world->node_count; i++) {
			if (!world->nodes[i].frozen)
				timers_expire(&world->nodes[i].timers, world_now(world));
		}
	}
	manual_clock_advance(&world->clock, end - world_now(world));
}

size_t world_count_permitted(pool_world_t *world, const char *member)
{
	size_t count = 0;

	for (size_t i = 0; i < world->node_count; i++) {
		pooler_t *pooler = world->nodes[i].pooler;
		const member_t *known = pooler != NULL ? member_find(pooler, member) : NULL;

		count += known != NULL && permit_primary(known->service, world_now(world)) == known;
	}
	return count;
}

void world_wait_until_ready(pool_world_t *world)
{
	size_t running_count = 0;

	for (size_t i = 0; i < world->node_count; i++)
		running_count += world->nodes[i].pooler != NULL;
	for (int i = 0; i < 200; i++) {
		const fake_member_t *leader = fake_db_primary(world->db);

		world_run(world, 50 * USEC_PER_MSEC);
		if (leader != NULL && world_count_permitted(world, leader->id) == running_count) {
			/*
			 * A new leader waits for calls of former leaders to end, and only counts
			 * proxies that have been on its roster for 12 s.
			 */
			world_run(world, 13 * USEC_PER_SEC);
			return;
		}
	}
	g_assert_not_reached();
}

/* --- faults --- */

void world_start_proxy(pool_world_t *world, size_t at)
{
	world_node_t *node = &world->nodes[at];
	pooler_config_t config = {
		.name = node->name,
		.zone = node->zone,
		.capacity = node->capacity,
		.address = node->address,
		.prefix = "fleet/",
		.incarnation = ++node->incarnation,
		.seed = at + 1,
		.grace = 6 * USEC_PER_SEC,
		.config_bound = 3 * USEC_PER_SEC,
		.leaving_bound = 7 * USEC_PER_SEC,
		.min_lease = 1 * USEC_PER_SEC,
		.revoke_bound = world->revoke_bound,
		.slack = world->slack,
		.serve_in_arrival_order = node->world->baseline,
		.no_homes = node->world->baseline,
		.lend_room = lend_room,
	};

	node->drained = false;
	node->pooler = pooler_create(NULL, &config, &node->env, &world->clock.base, &node->timers);
	if (world->config_bytes != 0)
		directory_start_followers(node);
	else
		pooler_on_routes(node->pooler, world_create_routes(world, world->config_version));
	publish_members(world, node);
	pooler_start(node->pooler);
}

void world_kill(pool_world_t *world, size_t at)
{
	world_node_t *node = &world->nodes[at];

	links_close_all(node);
	list_for_each (it, &node->callers)
		list_entry(it, world_caller_t, node)->caller = NULL;
	fake_kv_client_abandon(&node->kv);
	directory_stop_followers(node);
	talloc_free(node->pooler);
	node->pooler = NULL;
}

void world_power_off(pool_world_t *world, size_t at)
{
	links_delay_delivery(&world->nodes[at], DEAD_CONN_TIMEOUT);
	world_kill(world, at);
}

void world_freeze(pool_world_t *world, size_t at)
{
	world->nodes[at].frozen = true;
}

void world_thaw(pool_world_t *world, size_t at)
{
	world->nodes[at].frozen = false;
}

void world_set_members_unreachable(pool_world_t *world, size_t at, bool cut)
{
	world->nodes[at].cut_from_members = cut;
}

/* --- start and end --- */

static pool_world_t *allocate_world(size_t nodes, const fake_db_config_t *config)
{
	static const fake_db_config_t default_config = {
		.service = WORLD_SERVICE,
		.members = 3,
		.slots = 2,
		.max_connections = 16,
		.service_time = 4 * USEC_PER_MSEC,
		.receive_delay = 2 * USEC_PER_MSEC,
		.lag = 60 * USEC_PER_MSEC,
		.promote_delay = 1000 * USEC_PER_MSEC,
	};
	pool_world_t *world = talloc_zero(NULL, pool_world_t);

	manual_clock_init(&world->clock, 100 * USEC_PER_SEC);
	timers_init(&world->timers);
	world->kv = fake_kv_create(world, &world->clock.base, &world->timers);
	world->db = fake_db_create(world, config != NULL ? config : &default_config,
				   &world->clock.base, &world->timers);
	world->node_count = nodes;
	world->config_version = 1;
	world->max_age = 1500 * USEC_PER_MSEC;
	return world;
}

static pool_world_t *start_all_proxies(pool_world_t *world)
{
	static const char *const zones[] = {"a", "b", "c"};

	for (size_t i = 0; i < world->node_count; i++) {
		world_node_t *node = &world->nodes[i];

		node->env.ops = &ops;
		node->world = world;
		timers_init(&node->timers);
		list_init(&node->links);
		list_init(&node->callers);
		fake_kv_client_init(&node->kv, world->kv);
		node->env.kv = &node->kv.kv;
		snprintf(node->name, sizeof(node->name), "p%zu", i);
		snprintf(node->zone, sizeof(node->zone), "%s", zones[i % 3]);
		snprintf(node->address, sizeof(node->address), "10.0.1.%zu:1", i);
		world_start_proxy(world, i);
	}
	return world;
}

pool_world_t *world_create(size_t nodes, const fake_db_config_t *config)
{
	return start_all_proxies(allocate_world(nodes, config));
}

static void set_customers(pool_world_t *world, const world_customer_t *customers, size_t count)
{
	g_assert_cmpuint(count, <=, WORLD_CUSTOMERS_MAX);
	memcpy(world->customers, customers, count * sizeof(*customers));
	world->customer_count = count;
	world->revoke_bound = WORLD_REVOKE_BOUND;
	world->slack = (limit_slack_t){.fraction = 0.1, .operations = 20};
	for (size_t i = 0; i < count; i++)
		snprintf(world->customers[i].key, WORLD_KEY_MAX, "key-%s", customers[i].name);
}

pool_world_t *world_create_with_customers(size_t nodes, const fake_db_config_t *config,
					  const world_customer_t *customers, size_t count)
{
	pool_world_t *world = allocate_world(nodes, config);

	set_customers(world, customers, count);
	return start_all_proxies(world);
}

pool_world_t *world_create_with_store_config(size_t nodes, const world_customer_t *customers,
					     size_t count, size_t bytes)
{
	pool_world_t *world = allocate_world(nodes, NULL);

	if (count != 0)
		set_customers(world, customers, count);
	world->config_bytes = bytes;
	world->config_version = 0;
	world_write_config(world);
	return start_all_proxies(world);
}

void world_destroy(pool_world_t *world)
{
	for (size_t i = 0; i < world->node_count; i++) {
		if (world->nodes[i].pooler != NULL)
			world_kill(world, i);
	}
	for (size_t i = 0; i < world->node_count; i++)
		timers_destroy(&world->nodes[i].timers);
	timers_destroy(&world->timers);
	/* The destructors would use timers and clocks that are freed before them. */
	talloc_set_destructor(world->kv, NULL);
	talloc_set_destructor(world->db, NULL);
	if (world->second_db != NULL)
		talloc_set_destructor(world->second_db, NULL);
	talloc_free(world);
}
