/*
 * A store that is restored from a backup some seconds old, which starts its next era.
 */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "permit.h"
#include "pool_check.h"
#include "state.h"

/* Time within which a fleet has the roster of the new era, and its primaries. */
#define SETTLED (8 * SEC)

static void run_until_promoted(pool_world_t *world, size_t count)
{
	for (int i = 0; i < 6000 && world->promote_count < count; i++)
		world_run(world, MSEC);
	g_assert_cmpuint(world->promote_count, ==, count);
	world_run(world, 2 * SEC);
}

/* Takes a backup, then kills member 0, so that another one becomes primary. */
static pool_world_t *make_failed_over(size_t nodes)
{
	pool_world_t *world = world_create(nodes, NULL);

	world_wait_until_ready(world);
	world_run(world, 2 * SEC);
	fake_kv_make_backup(world->kv);
	world_crash_member(world, 0);
	run_until_promoted(world, 1);
	return world;
}

/* True if the member answers a write within that time, after some attempts. */
static bool is_served_by(pool_world_t *world, size_t node, const char *member, usec_t within)
{
	g_autofree char *done = g_strdup_printf("DONE %s", member);
	usec_t end = clock_now(&world->clock.base) + within;
	bool served = false;

	while (!served && clock_now(&world->clock.base) < end) {
		world_caller_t *caller = world_open_session(world, node);

		served = g_str_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), done);
		world_leave(caller);
		world_run(world, 20 * MSEC);
	}
	return served;
}

static const char *last_promoted_member(const pool_world_t *world)
{
	return world->promotes[world->promote_count - 1].member;
}

/*
 * Guards against a primary that was replaced after the backup, and is used again since the restored
 * store names it; and against a second without writes, which is needless where the leader has the
 * newest groups.
 */
static void test_primary_stays_replaced(void)
{
	pool_world_t *world = make_failed_over(5);
	g_autofree char *leader = g_strdup(last_promoted_member(world));

	fake_kv_restore_backup(world->kv);
	for (int i = 0; i < 40; i++) {
		g_assert_true(is_served_by(world, find_non_leader(world), leader, 10 * MSEC));
		world_run(world, 50 * MSEC);
	}
	world_run(world, SETTLED);
	g_assert_cmpuint(world->promote_count, ==, 1);
	for (size_t i = 0; i < world->node_count; i++) {
		const roster_t *roster = world->nodes[i].pooler->sync.roster;

		g_assert_cmpint(kv_era(roster->revision), ==, 1);
		g_assert_cmpint(roster->era, ==, 1);
		g_assert_cmpstr(roster_find_group(roster, WORLD_SERVICE)->primary, ==, leader);
	}
	g_assert_cmpuint(world_count_permitted(world, leader), ==, world->node_count);
	world_destroy(world);
}

/* Guards against the same if the only proxy that wrote the change dies at that moment. */
static void test_leader_dies_with_the_store(void)
{
	pool_world_t *world = make_failed_over(5);
	g_autofree char *leader = g_strdup(last_promoted_member(world));
	size_t holder = find_leader(world);

	world_kill(world, holder);
	fake_kv_restore_backup(world->kv);
	g_assert_true(is_served_by(world, (holder + 1) % world->node_count, leader,
				   PERMIT_LEASE_MAX + SETTLED));
	world_run(world, SETTLED);
	g_assert_cmpuint(world_count_permitted(world, leader), ==, world->node_count - 1);
	world_destroy(world);
}

/* The old primary is cut off from the new one, and still reports itself as primary. */
static pool_world_t *make_split(void)
{
	pool_world_t *world = world_create(3, NULL);

	world_wait_until_ready(world);
	world_run(world, 2 * SEC);
	fake_kv_make_backup(world->kv);
	world->db->members[0].isolated = true;
	world->db->members[0].leaving = true;
	run_until_promoted(world, 1);
	world->db->members[0].leaving = false;
	return world;
}

/* Fails the test if the primary that the backup names acknowledges a write. */
static void check_backup_unused(pool_world_t *world, size_t node)
{
	for (int i = 0; i < 60; i++) {
		world_caller_t *caller = world_open_session(world, node);

		if (caller->caller != NULL) {
			const char *reply = world_send_and_wait(caller, "WRITE job-1 a");

			g_assert_false(g_str_has_prefix(reply, "DONE core-0"));
		}
		world_leave(caller);
		world_run(world, 100 * MSEC);
	}
}

/*
 * Guards against a lost write: a process that starts with the backup can query only the members,
 * and the primary that the backup names still answers as one.
 */
static void test_new_process_queries_members(void)
{
	pool_world_t *world = make_split();
	g_autofree char *leader = g_strdup(last_promoted_member(world));

	for (size_t i = 0; i < world->node_count; i++)
		world_kill(world, i);
	world_run(world, SEC);
	fake_kv_restore_backup(world->kv);
	world_start_proxy(world, 1);
	check_backup_unused(world, 1);
	/* The other proxies, which do not come back, may have used it for this long. */
	g_assert_true(is_served_by(world, 1, leader, PERMIT_LEASE_MAX + SETTLED));
	world_destroy(world);
}

/*
 * Guards against the same by a proxy that has not restarted, but was cut off while the primary was
 * replaced: its roster is no newer than the backup.
 */
static void test_stale_proxy_queries_members(void)
{
	pool_world_t *world = world_create(3, NULL);
	size_t behind;

	world_wait_until_ready(world);
	world_run(world, 2 * SEC);
	fake_kv_make_backup(world->kv);
	behind = find_non_leader(world);
	world->nodes[behind].kv.unreachable = true;
	world->nodes[behind].cut_from_peers = true;
	world->db->members[0].isolated = true;
	world->db->members[0].leaving = true;
	run_until_promoted(world, 1);
	world->db->members[0].leaving = false;
	for (size_t i = 0; i < world->node_count; i++) {
		if (i != behind)
			world_kill(world, i);
	}
	fake_kv_restore_backup(world->kv);
	world->nodes[behind].kv.unreachable = false;
	world->nodes[behind].cut_from_peers = false;
	check_backup_unused(world, behind);
	world_destroy(world);
}

/*
 * Guards against calls to promote that look older than earlier ones: the store's own revisions
 * start again below those that it has assigned.
 */
static void test_fencing_tokens_rise(void)
{
	pool_world_t *world = make_failed_over(5);

	world_run(world, 3 * SEC);
	fake_kv_restore_backup(world->kv);
	world_run(world, SETTLED);
	world_crash_member(world, last_promoted_member(world)[strlen("core-")] - '0');
	run_until_promoted(world, 2);
	g_assert_cmpuint(world->promotes[1].fencing_token, >, world->promotes[0].fencing_token);
	world_destroy(world);
}

/* Guards against old rosters that pass for the newest forever: the store is restored twice. */
static void test_restored_twice(void)
{
	pool_world_t *world = make_failed_over(5);
	g_autofree char *leader = g_strdup(last_promoted_member(world));

	fake_kv_restore_backup(world->kv);
	world_run(world, SEC / 2);
	fake_kv_restore_backup(world->kv);
	world_run(world, SETTLED);
	g_assert_cmpuint(world_count_permitted(world, leader), ==, world->node_count);
	g_assert_cmpint(kv_era(world->nodes[0].pooler->sync.roster->revision), ==, 2);
	world_destroy(world);
}

/*
 * Guards against a key that was revoked after the backup and opens sessions again: the backup's
 * configuration confirms nothing while another proxy has a newer one in force.
 */
static void test_old_configuration_confirms_no_keys(void)
{
	pool_world_t *world = world_create(3, NULL);
	pooler_t *pooler;
	usec_t age_before;
	peer_message_t message = {.kind = PEER_PING, .from = "p9", .address = "10.0.0.9:1"};

	world_wait_until_ready(world);
	pooler = world->nodes[0].pooler;
	pooler_on_config_confirmed(pooler, now_of(pooler));
	age_before = cache_validity_age(&pooler->config_validity, now_of(pooler));
	message.config_version = pooler->routes->version + 1;
	pooler_on_message(pooler, &message);
	world_run(world, SEC);
	pooler_on_config_confirmed(pooler, now_of(pooler));
	g_assert_cmpuint(cache_validity_age(&pooler->config_validity, now_of(pooler)), >=,
			 age_before + SEC);
	world_destroy(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/restore/primary-stays-replaced", test_primary_stays_replaced);
	g_test_add_func("/restore/holder-dies", test_leader_dies_with_the_store);
	g_test_add_func("/restore/fresh-process", test_new_process_queries_members);
	g_test_add_func("/restore/proxy-is-behind", test_stale_proxy_queries_members);
	g_test_add_func("/restore/fences-rise", test_fencing_tokens_rise);
	g_test_add_func("/restore/twice", test_restored_twice);
	g_test_add_func("/restore/old-configuration", test_old_configuration_confirms_no_keys);
	return g_test_run();
}
