/*
 * Fleets that are large enough to have hubs, under a manual clock. Each test guards against the
 * failure that its comment describes.
 */
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "adopt.h"
#include "ask.h"
#include "exchange.h"
#include "permit.h"
#include "pool_check.h"
#include "push.h"
#include "refresh.h"
#include "sync.h"
#include "upstream.h"

#define FLEET	   20
#define WIDE_FLEET 80

static pool_world_t *make_fleet(void)
{
	pool_world_t *world = world_create(FLEET, NULL);

	world_wait_until_ready(world);
	world_run(world, 2 * SEC);
	return world;
}

/* Counts the downstream proxies of a proxy. */
static size_t count_downstream(const pool_world_t *world, size_t node)
{
	const pooler_t *pooler = world->nodes[node].pooler;
	size_t count = 0;

	list_for_each (it, &pooler->sync.reports)
		count += upstream_has_recent_query(list_entry(it, peer_report_t, node),
						   now_of(pooler));
	return count;
}

/*
 * Returns a proxy that is neither a hub nor the leader, in the zone of beside unless beside is
 * FLEET.
 */
static size_t find_ordinary_proxy(const pool_world_t *world, size_t beside)
{
	for (size_t i = 0; i < FLEET; i++) {
		if (i != beside && !is_leader(world, i) &&
		    !upstream_is_hub(world->nodes[i].pooler) &&
		    (beside == FLEET ||
		     strcmp(world->nodes[i].zone, world->nodes[beside].zone) == 0))
			return i;
	}
	g_assert_not_reached();
}

static size_t find_hub(const pool_world_t *world)
{
	for (size_t i = 0; i < FLEET; i++) {
		if (!is_leader(world, i) && upstream_is_hub(world->nodes[i].pooler))
			return i;
	}
	g_assert_not_reached();
}

/*
 * The leader of a large fleet spent all its time on queries, four a second from each proxy. Only
 * the hubs query it now, here one of each zone: 3 proxies instead of 19.
 */
static void test_only_hubs_query_leader(void)
{
	pool_world_t *world = make_fleet();
	size_t hubs = 0;

	for (size_t i = 0; i < FLEET; i++)
		hubs += upstream_is_hub(world->nodes[i].pooler);
	g_assert_cmpuint(hubs, ==, 3);
	world_run(world, 2 * SEC);
	g_assert_cmpuint(count_downstream(world, find_leader(world)), <=, hubs + FLEET / 3 + 1);
	g_assert_cmpuint(world_count_permitted(world, "core-0"), ==, FLEET);
	world_destroy(world);
}

/*
 * A hub dies. Its downstream proxies must query the leader or the next hub before their permission
 * ends, so that no caller is refused.
 */
static void test_hub_dies(void)
{
	pool_world_t *world = make_fleet();
	size_t hub = find_hub(world);
	world_caller_t *caller = world_open_session(world, find_ordinary_proxy(world, hub));

	world_kill(world, hub);
	for (int i = 0; i < 100; i++) {
		assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
		world_run(world, 46 * MSEC);
	}
	world_destroy(world);
}

/* The same with a hub that is frozen, and continues while its successor serves. */
static void test_hub_freezes(void)
{
	pool_world_t *world = make_fleet();
	size_t hub = find_hub(world);
	world_caller_t *caller = world_open_session(world, find_ordinary_proxy(world, hub));

	world_freeze(world, hub);
	for (int i = 0; i < 100; i++) {
		if (i == 60)
			world_thaw(world, hub);
		assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
		world_run(world, 46 * MSEC);
	}
	world_destroy(world);
}

/*
 * A proxy whose silent hub is also the leader, by the last state that it received, went on querying
 * only that hub.
 */
static void test_leader_is_hub(void)
{
	pool_world_t *world = make_fleet();
	size_t hub = find_hub(world);
	size_t proxy = find_ordinary_proxy(world, hub);
	pooler_t *pooler = world->nodes[proxy].pooler;

	g_assert_cmpstr(pooler->sync.upstream, ==, world->nodes[hub].name);
	world->nodes[proxy].kv.unreachable = true;
	sync_set_leader(pooler, world->nodes[hub].name, world->nodes[hub].address,
			pooler->sync.fencing_token + 1);
	world_freeze(world, hub);
	world_run(world, 1 * SEC);
	g_assert_cmpstr(pooler->sync.upstream, !=, world->nodes[hub].name);
	world_destroy(world);
}

/*
 * A proxy that received no answers made links to all proxies of a large fleet, for which a small VM
 * lacks the memory.
 */
static void test_few_others_are_queried(void)
{
	pool_world_t *world = world_create(WIDE_FLEET, NULL);
	size_t proxy;
	size_t links = 0;

	world_wait_until_ready(world);
	world_run(world, 2 * SEC);
	proxy = find_ordinary_proxy(world, FLEET);
	world->kv->down = true;
	for (size_t i = 0; i < WIDE_FLEET; i++) {
		if (i != proxy)
			world_freeze(world, i);
	}
	world->links_need_setup = true;
	world_run(world, WIDE_FLEET * ASK_QUERY_INTERVAL);
	for (size_t i = 0; i < WIDE_FLEET; i++)
		links += world->nodes[proxy].link_ready_at[i] != 0;
	g_assert_cmpuint(links, >=, 10);
	g_assert_cmpuint(links, <=, 32);
	world_destroy(world);
}

/*
 * The store is unreachable for 9 s, and no caller may be refused. Hubs query their downstream
 * proxies, add up the agreements on the roster, and exchange them.
 */
static void test_store_down(void)
{
	pool_world_t *world = make_fleet();
	world_caller_t *caller = world_open_session(world, find_ordinary_proxy(world, FLEET));

	world->kv->down = true;
	for (int i = 0; i < 90; i++) {
		assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
		g_assert_cmpuint(world_count_permitted(world, "core-0"), ==, FLEET);
		world_run(world, 94 * MSEC);
	}
	world->kv->down = false;
	world_run(world, 4 * SEC);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 b"), "DONE core-0");
	g_assert_cmpuint(world->promote_count, ==, 0);
	world_destroy(world);
}

/* Adopts the current roster with a change that change() makes. */
static void adopt_changed(pooler_t *pooler, void (*change)(roster_t *roster))
{
	roster_t *roster = roster_copy(NULL, pooler->sync.roster);

	change(roster);
	roster->revision++;
	adopt_roster(pooler, roster);
}

static void add_proxy(roster_t *roster)
{
	roster_put_node(roster, "one-more", "10.9.9.9:2", "a", 1);
}

static void begin_change(roster_t *roster)
{
	roster_put_group(roster, WORLD_SERVICE, "core-0", true, 1, 1);
}

/*
 * Of 100 proxies that restarted after a power failure most refused their callers for five seconds.
 * Each proxy that joined made a new roster, and all others reported at once that they held it. The
 * leader received 150 queries a second, each from a hub for 16 proxies; they took all of its
 * processor, so that it could not add the joiners. Only a change of primary waits for such a
 * report, so it is sent at once only then.
 */
static void test_proxies_join_quietly(void)
{
	pool_world_t *world = make_fleet();
	pooler_t *pooler = world->nodes[find_ordinary_proxy(world, FLEET)].pooler;
	usec_t next = pooler->sync.query_next;

	g_assert_cmpuint(next, >, now_of(pooler));
	adopt_changed(pooler, add_proxy);
	g_assert_cmpuint(pooler->sync.query_next, ==, next);
	adopt_changed(pooler, begin_change);
	g_assert_cmpuint(pooler->sync.query_next, ==, 0);
	world_destroy(world);
}

/*
 * After a power failure the previous leader, which the store names to all others, does not come
 * back. The others must join within half a second: a proxy waits longer only for a leader that has
 * answered, and writes its own entry when it has no answer within 150 ms.
 */
static void test_leader_stays_away(void)
{
	pool_world_t *world = world_create(WORLD_LARGE_FLEET, NULL);
	size_t leader;

	world_wait_until_ready(world);
	world_run(world, 2 * SEC);
	leader = find_leader(world);
	for (size_t i = 0; i < WORLD_LARGE_FLEET; i++)
		world_power_off(world, i);
	world_run(world, 100 * MSEC);
	for (size_t i = 0; i < WORLD_LARGE_FLEET; i++) {
		if (i != leader)
			world_start_proxy(world, i);
	}
	world_run(world, 500 * MSEC);
	g_assert_cmpuint(count_registered_proxies(world), ==, WORLD_LARGE_FLEET - 1);
	world_destroy(world);
}

/*
 * The primary crashes. All proxies must release it, though most of them report to the leader
 * through hubs. A caller is served again within 2 s, of which the platform's promotion takes one.
 */
static void test_primary_crashes(void)
{
	pool_world_t *world = make_fleet();
	world_caller_t *caller = world_open_session(world, find_ordinary_proxy(world, FLEET));

	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	world_crash_member(world, 0);
	world_run(world, 2 * SEC);
	caller = world_open_session(world, find_ordinary_proxy(world, FLEET));
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 b"), "DONE core-");
	g_assert_cmpuint(world->promote_count, ==, 1);
	world_destroy(world);
}

/*
 * A proxy that is cut off from the store and from all other proxies, hubs included, must stop using
 * the primary before another one is promoted: writes that it acknowledged later would be rolled
 * back.
 */
static void test_cut_off_proxy_stops(void)
{
	pool_world_t *world = make_fleet();
	size_t cut = find_ordinary_proxy(world, FLEET);

	world->nodes[cut].kv.unreachable = true;
	world->nodes[cut].cut_from_peers = true;
	world->db->members[0].leaving = true;
	world_publish_directory(world);
	for (int i = 0; i < 400 && world->promote_count == 0; i++)
		world_run(world, 50 * MSEC);
	g_assert_cmpuint(world->promote_count, ==, 1);
	g_assert_cmpuint(world_count_permitted(world, "core-0"), ==, 0);
	world_destroy(world);
}

static void ignore_item(follow_t *follow, const kv_item_t *item)
{
	(void)follow;
	(void)item;
}

static void ignore_removal(follow_t *follow, const char *key)
{
	(void)follow;
	(void)key;
}

/* True if a state for a proxy without a configuration holds one. */
static bool gets_config(pooler_t *pooler, const char *name)
{
	peer_message_t query = {.kind = PEER_QUERY, .config_as_of = 1};
	peer_message_t state = {.kind = PEER_STATE};
	void *parent = talloc_new(NULL);

	refresh_fill_state(pooler, name, &query, &state, parent);
	talloc_free(parent);
	return state.config_changes != NULL;
}

/*
 * Callers were refused for ten seconds while operators made many edits. Each configuration was sent
 * to all proxies at once, which filled the links, so that probes timed out and healthy primaries
 * were replaced. With 24 proxies on links of 2 Mbit/s, 86% of a day's requests were answered in
 * time in the worst run (one of three); with an interval between configurations 97% in each of
 * three runs.
 */
static void test_configurations_are_spaced(void)
{
	static const follow_ops_t ops = {.on_changed = ignore_item, .on_removed = ignore_removal};
	pool_world_t *world = world_create(3, NULL);
	pooler_t *pooler;
	follow_t config = {.ops = &ops,
			   .kv = &world->nodes[0].kv.kv,
			   .clock = &world->clock.base,
			   .timers = &world->timers,
			   .prefix = "op/"};
	follow_t members = config;

	world_wait_until_ready(world);
	pooler = world->nodes[0].pooler;
	fake_kv_put(world->kv, "op/config", "{}");
	members.prefix = "servers/";
	follow_start(&config, world);
	follow_start(&members, world);
	world_run(world, 100 * MSEC);
	pooler_set_directory(pooler, &config, &members);
	g_assert_true(gets_config(pooler, "p1"));
	g_assert_false(gets_config(pooler, "p1"));
	g_assert_true(gets_config(pooler, "p2"));
	world_run(world, refresh_config_send_interval(pooler));
	g_assert_true(gets_config(pooler, "p1"));
	pooler_set_directory(pooler, NULL, NULL);
	follow_stop(&config);
	follow_stop(&members);
	world_destroy(world);
}

/* A fleet of this size pushes ten times a second. */
#define LARGE_FLEET 1000

/*
 * The fleet was busy only with sending the first primaries: each write of a group was pushed to
 * every proxy at once, a hundred times a second.
 */
static void test_pushes_are_spaced(void)
{
	pool_world_t *world = make_fleet();
	world_node_t *leader = &world->nodes[find_leader(world)];
	size_t before;
	size_t each;

	leader->pooler->sync.proxy_count = LARGE_FLEET;
	before = leader->messages_sent;
	push_fleet(leader->pooler);
	each = leader->messages_sent - before;
	g_assert_cmpuint(each, >, 0);
	push_fleet(leader->pooler);
	push_fleet(leader->pooler);
	g_assert_cmpuint(leader->messages_sent - before, ==, each);
	g_assert_cmpuint(push_interval(leader->pooler), ==, 100 * MSEC);
	world_run(world, 160 * MSEC);
	g_assert_cmpint(leader->pooler->sync.push_pending, ==, PUSH_NONE);
	g_assert_cmpuint(leader->messages_sent - before, >=, 2 * each);
	world_destroy(world);
}

/* Each of the 985 processes of an idle fleet woke up 20 times a second with nothing to do. */
static void test_idle_proxy_ticks_less_often(void)
{
	pool_world_t *world = make_fleet();
	size_t proxy = find_ordinary_proxy(world, FLEET);
	const pooler_t *pooler = world->nodes[proxy].pooler;
	world_caller_t *caller;

	world_run(world, 5 * SEC);
	g_assert_cmpuint(pooler->tick_due - pooler->last_tick, ==, 250 * MSEC);
	g_assert_cmpuint(world->nodes[find_leader(world)].pooler->tick_due -
				 world->nodes[find_leader(world)].pooler->last_tick,
			 ==, 50 * MSEC);
	caller = world_open_session(world, proxy);
	world_send(caller, "WRITE job-1 a");
	g_assert_cmpuint(pooler->tick_due, <=, now_of(pooler) + 50 * MSEC);
	world_run(world, SEC);
	assert_has_prefix(caller->reply, "DONE core-0");
	world_destroy(world);
}

/* A proxy that has several cores must be a hub of its zone, for as many proxies as it can serve. */
static void test_strong_proxies_are_hubs(void)
{
	pool_world_t *world = make_fleet();
	pooler_t *pooler = world->nodes[find_ordinary_proxy(world, FLEET)].pooler;
	roster_t *roster = roster_copy(NULL, pooler->sync.roster);
	const char *strong = pooler->config.name;

	g_assert_false(upstream_is_hub(pooler));
	roster_find_node(roster, strong)->capacity = 100;
	roster->revision++;
	adopt_roster(pooler, roster);
	g_assert_true(upstream_is_hub(pooler));
	g_assert_cmpuint(upstream_weight(roster_find_node(pooler->sync.roster, strong)), ==, 4);
	world_destroy(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/upstream/few-others-are-asked", test_few_others_are_queried);
	g_test_add_func("/upstream/holder-hears-hubs", test_only_hubs_query_leader);
	g_test_add_func("/upstream/hub-dies", test_hub_dies);
	g_test_add_func("/upstream/hub-freezes", test_hub_freezes);
	g_test_add_func("/upstream/holder-is-hub", test_leader_is_hub);
	g_test_add_func("/upstream/store-down", test_store_down);
	g_test_add_func("/upstream/primary-crashes", test_primary_crashes);
	g_test_add_func("/upstream/join-quietly", test_proxies_join_quietly);
	g_test_add_func("/upstream/holder-stays-away", test_leader_stays_away);
	g_test_add_func("/upstream/cut-off", test_cut_off_proxy_stops);
	g_test_add_func("/upstream/pushes-spaced", test_pushes_are_spaced);
	g_test_add_func("/upstream/idle-ticks", test_idle_proxy_ticks_less_often);
	g_test_add_func("/upstream/strong-hubs", test_strong_proxies_are_hubs);
	g_test_add_func("/upstream/configurations-spaced", test_configurations_are_spaced);
	return g_test_run();
}
