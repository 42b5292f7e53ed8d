/*
 * Changes of primary, with poolers under a manual clock. One failure per test; its comment says
 * which failure it guards against and how that comes about.
 */
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "leader.h"
#include "permit.h"
#include "pool_check.h"
#include "sync.h"

/* Step of the change of primary at this proxy. */
static change_step_t change_step_of(const pool_world_t *world, size_t node)
{
	pooler_t *pooler = world->nodes[node].pooler;

	return pooler != NULL ? service_get(pooler, WORLD_SERVICE)->change.step : CHANGE_NONE;
}

/*
 * The primary crashes. Callers are refused at once or wait, and are served by another member about
 * 1.5 s later; only one proxy has a member promoted.
 */
static void test_primary_crashes(void)
{
	pool_world_t *world = world_create(3, NULL);
	world_caller_t *caller;
	usec_t start;

	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	world_run(world, 200 * MSEC);
	start = clock_now(&world->clock.base);
	world_crash_member(world, 0);
	while (!g_str_has_prefix(world_send_and_wait(caller, "WRITE job-1 b"), "DONE")) {
		world_run(world, 10 * MSEC);
		g_assert_cmpuint(clock_now(&world->clock.base) - start, <, 4 * SEC);
	}
	g_assert_cmpuint(clock_now(&world->clock.base) - start, <, 2 * SEC);
	g_assert_cmpuint(world->promote_count, ==, 1);
	assert_has_prefix(world_send_and_wait(caller, "READ job-1"), "ROW b");
	world_destroy(world);
}

/*
 * Every proxy has reported the old primary as down. These reports must not count against its
 * successor, or the primary is changed a second time, and callers that were just served again have
 * to wait once more.
 */
static void test_reports_of_the_old_primary(void)
{
	pool_world_t *world = world_create(3, NULL);
	world_caller_t *callers[3];
	const char *promoted;

	world_wait_until_ready(world);
	for (size_t i = 0; i < 3; i++) {
		callers[i] = world_open_session(world, i);
		world_send_and_wait(callers[i], "WRITE job-1 a");
	}
	world_crash_member(world, 0);
	for (size_t i = 0; i < 3; i++)
		world_send(callers[i], "WRITE job-1 b");
	while (world->db->promoted_at == 0)
		world_run(world, MSEC);
	promoted = fake_db_primary(world->db)->id;
	while (world_count_permitted(world, promoted) != 3)
		world_run(world, MSEC);
	for (int i = 0; i < 1500; i++) {
		world_run(world, MSEC);
		g_assert_cmpuint(world_count_permitted(world, promoted), ==, 3);
	}
	world_destroy(world);
}

/*
 * The primary is leaving and is replaced while it still answers. No committed write is lost, and
 * the old primary gets no new statements.
 */
static void test_primary_is_leaving(void)
{
	pool_world_t *world = world_create(3, NULL);
	world_caller_t *caller;
	char id[40];

	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	snprintf(id, sizeof(id), "%s", caller->id);
	world->db->members[0].leaving = true;
	world_publish_directory(world);
	world_run(world, 3 * SEC);
	g_assert_cmpuint(world->promote_count, ==, 1);
	g_assert_cmpuint(fake_member_count_commits(fake_db_primary(world->db), id), ==, 1);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 b"), "DONE core-");
	g_assert_cmpstr(find_last_run(world, caller->id)->member, !=, "core-0");
	world_destroy(world);
}

/*
 * The member that received the most must be promoted: another one would lose acknowledged commits.
 */
static void test_longest_log_is_promoted(void)
{
	pool_world_t *world = world_create(3, NULL);
	world_caller_t *caller;
	char id[40];

	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	world->db->members[1].isolated = true;
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	snprintf(id, sizeof(id), "%s", caller->id);
	world_run(world, 100 * MSEC);
	assert_has_prefix(world_send_and_wait(caller, "READ job-1"), "ROW a");
	world_crash_member(world, 0);
	world_run(world, 4 * SEC);
	g_assert_cmpstr(fake_db_primary(world->db)->id, ==, "core-2");
	g_assert_cmpuint(fake_member_count_commits(fake_db_primary(world->db), id), ==, 1);
	world_destroy(world);
}

/*
 * Guards against the loss of acknowledged commits in a service with synchronous replicas: the
 * primary crashes while one replica is unreachable and the other has received nothing recently. The
 * leader must not promote the reachable one, since only the unreachable one may have the last
 * commits.
 */
static void test_sync_replica_is_away(void)
{
	pool_world_t *world = world_create(3, NULL);
	world_caller_t *caller;
	char id[40];

	world->sync_replicas = true;
	world->config_version++;
	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	world->db->members[2].isolated = true;
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	snprintf(id, sizeof(id), "%s", caller->id);
	world_run(world, 200 * MSEC);
	world_crash_member(world, 1);
	world->db->members[1].unlisted = true;
	world_run(world, SEC);
	for (size_t i = 0; i < world->node_count; i++)
		pooler_on_member_gone(world->nodes[i].pooler, "core-1");
	world_crash_member(world, 0);
	world_run(world, 8 * SEC);
	g_assert_cmpuint(world->promote_count, ==, 0);
	fake_member_start(&world->db->members[1]);
	world->db->members[1].unlisted = false;
	world_run(world, 3 * SEC);
	g_assert_cmpstr(fake_db_primary(world->db)->id, ==, "core-1");
	g_assert_cmpuint(fake_member_count_commits(fake_db_primary(world->db), id), ==, 1);
	world_destroy(world);
}

/*
 * Guards against seconds without writes although the primary is healthy: the leader and another
 * proxy lose the path to it for a second, and the change that they begin has to wait for a dead
 * proxy. The path comes back during that wait. The change may end at once: no member was promoted,
 * so the primary in the roster is still the only one.
 */
static void test_primary_recovers_before_the_promote(void)
{
	pool_world_t *world = world_create(3, NULL);
	world_caller_t *caller;
	size_t leader;
	size_t other;

	world_wait_until_ready(world);
	leader = find_leader(world);
	other = find_non_leader(world);
	for (size_t i = 0; i < 3; i++) {
		if (i != leader && i != other)
			world_power_off(world, i);
	}
	caller = world_open_session(world, other);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	world_set_members_unreachable(world, leader, true);
	world_set_members_unreachable(world, other, true);
	for (int i = 0; i < 40 && world_count_permitted(world, "core-0") != 0; i++)
		world_run(world, 50 * MSEC);
	g_assert_cmpuint(world_count_permitted(world, "core-0"), ==, 0);
	world_set_members_unreachable(world, leader, false);
	world_set_members_unreachable(world, other, false);
	world_run(world, 600 * MSEC);
	caller = world_open_session(world, other);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 b"), "DONE core-0");
	g_assert_cmpuint(world->promote_count, ==, 0);
	world_destroy(world);
}

/*
 * One proxy is cut off from the store and from the other proxies, but still reaches the old
 * primary, which is alive. It must not acknowledge writes there once the other member is the
 * primary, since they will be rolled back.
 */
static void test_cut_off_proxy_stops_before_the_promote(void)
{
	pool_world_t *world = world_create(3, NULL);
	world_caller_t *caller;
	size_t stopped = 0;

	world_wait_until_ready(world);
	caller = world_open_session(world, 2);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	world->nodes[2].kv.unreachable = true;
	world->nodes[2].cut_from_peers = true;
	world->db->members[0].leaving = true;
	/*
	 * The other proxies see the primary as leaving and replace it; this proxy does not receive
	 * the change.
	 */
	world_publish_directory(world);
	for (int i = 0; i < 150; i++) {
		const char *reply = world_send_and_wait(caller, "WRITE job-1 b");

		if (g_str_has_prefix(reply, "DONE core-0"))
			g_assert_cmpuint(world->db->promoted_at, ==, 0);
		else
			stopped++;
		world_run(world, 50 * MSEC);
	}
	g_assert_cmpuint(stopped, >, 0);
	g_assert_cmpuint(world->db->promoted_at, !=, 0);
	world_destroy(world);
}

/*
 * A proxy is frozen with the reply to a commit in its buffers, and another member is promoted
 * meanwhile. After it resumes it must not report a success that the new primary does not have.
 */
static void test_frozen_proxy_with_an_answer(void)
{
	pool_world_t *world = world_create(3, NULL);
	world_caller_t *caller;

	world_wait_until_ready(world);
	caller = world_open_session(world, 2);
	world_send_and_wait(caller, "WRITE job-1 a");
	world->db->members[1].isolated = true;
	world->db->members[2].isolated = true;
	world_send(caller, "WRITE job-1 b");
	world_run(world,
		  5 * MSEC); /* the statement is at the member, its reply has not arrived yet */
	world_freeze(world, 2);
	world_run(world, 20 * MSEC);
	world_crash_member(world, 0);
	world_run(world, 12 * SEC);
	g_assert_cmpuint(world->db->promoted_at, !=, 0);
	world_thaw(world, 2);
	world_run(world, 100 * MSEC);
	assert_has_prefix(caller->reply, "ERR INDOUBT");
	world_destroy(world);
}

/*
 * A superseded primary is cut off and still claims to be the primary when the new one crashes. It
 * must not be accepted: it lacks all writes since the change, though a replica has them.
 */
static void test_superseded_primary_is_not_accepted(void)
{
	pool_world_t *world = world_create(3, NULL);
	world_caller_t *caller;
	const char *second;
	char id[40];

	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	world_send_and_wait(caller, "WRITE job-1 a");
	world->db->members[0].leaving = true;
	world_run(world, 200 * MSEC);
	world->db->members[0].isolated = true;
	world_run(world, 4 * SEC);
	second = fake_db_primary(world->db)->id;
	g_assert_cmpstr(second, !=, "core-0");
	world->db->members[0].leaving = false;
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 b"), "DONE");
	snprintf(id, sizeof(id), "%s", caller->id);
	world_run(world, SEC);
	world_crash_member(world,
			   (size_t)(fake_db_find_member(world->db, second) - world->db->members));
	world_send_and_wait(caller, "WRITE job-1 c");
	world_run(world, 5 * SEC);
	g_assert_true(world->db->members[0].primary);
	assert_has_prefix(world_send_and_wait(caller, "READ job-1"), "ROW b");
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 d"), "DONE");
	g_assert_cmpstr(find_last_run(world, caller->id)->member, !=, "core-0");
	g_assert_cmpuint(
		fake_member_count_commits(
			fake_db_find_member(world->db, find_last_run(world, caller->id)->member),
			id),
		==, 1);
	world_destroy(world);
}

/*
 * Guards against acknowledged writes that are lost: two promotions took effect that no leader saw
 * through, the member of the first one is cut off from the second, and both claim to be the
 * primary.
 */
static void test_newest_of_two_primaries_is_accepted(void)
{
	pool_world_t *world = world_create(3, NULL);
	fake_member_t *members = world->db->members;
	world_caller_t *caller;

	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	world_run(world, SEC);
	members[1].isolated = true;
	for (size_t i = 1; i < 3; i++) {
		members[i].primary = true;
		members[i].term = i + 1;
	}
	world->db->term = 3;
	world_crash_member(world, 0);
	world_run(world, 5 * SEC);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 b"), "DONE core-2");
	world_destroy(world);
}

/*
 * The leader is frozen when the primary crashes. The next leader need not wait for promote calls of
 * one that had begun no change.
 */
static void test_leader_frozen_when_the_primary_crashes(void)
{
	pool_world_t *world = world_create(5, NULL);
	world_caller_t *caller;
	size_t leader;

	world_wait_until_ready(world);
	leader = find_leader(world);
	caller = world_open_session(world, (leader + 1) % 5);
	world_send_and_wait(caller, "WRITE job-1 a");
	world_freeze(world, leader);
	world_crash_member(world, 0);
	world_run(world, 5600 * MSEC);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 b"), "DONE core-");
	world_thaw(world, leader);
	world_run(world, 3 * SEC);
	g_assert_cmpuint(world->promote_count, ==, 1);
	world_destroy(world);
}

static void on_late_write(void *data, const kv_result_t *result)
{
	*(kv_status_t *)data = result->status;
}

/*
 * Guards against the loss of an acknowledged commit: a leader has a member promoted, and its write
 * that ends the change is delayed on the way to the store. The next leader takes the change over.
 * If the late write succeeded then, callers would use the first leader's member, and the second
 * leader would promote another one. So a takeover begins with a write of its own, with which the
 * late one conflicts.
 */
static void test_late_write_of_an_earlier_leader(void)
{
	pool_world_t *world = world_create(3, NULL);
	kv_status_t status = KV_OK;
	size_t leader;
	size_t next = 0;
	char *text;
	kv_write_t write = {.key = "fleet/roster"};

	world_wait_until_ready(world);
	leader = find_leader(world);
	world_crash_member(world, 0);
	while (change_step_of(world, leader) != CHANGE_COMMITTING)
		world_run(world, MSEC);
	write.expected = world->nodes[leader].pooler->sync.roster->revision;
	text = talloc_strdup(NULL, roster_encode(world->nodes[leader].pooler->sync.roster));
	write.value = text;
	world->nodes[leader].kv.unreachable = true;
	world_kill(world, leader);
	while (change_step_of(world, next) != CHANGE_SURVEYING) {
		next = (next + 1) % world->node_count;
		world_run(world, MSEC);
	}
	world->nodes[next].kv.kv.ops->commit(&world->nodes[next].kv.kv, &write, 1, on_late_write,
					     &status);
	world_run(world, 100 * MSEC);
	g_assert_cmpint(status, ==, KV_CONFLICT);
	talloc_free(text);
	world_destroy(world);
}

/*
 * A member is promoted and crashes before any proxy notices, while the old primary has no reason to
 * be replaced any more. The old primary can't simply stay, since the other member has a newer term
 * and will come back: the old one must be promoted to a newer term than that.
 */
static void test_promoted_member_crashes_unnoticed(void)
{
	pool_world_t *world = world_create(3, NULL);
	world_caller_t *caller;
	fake_member_t *target;
	char id[40];

	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	world_send_and_wait(caller, "WRITE job-1 a");
	world->db->members[0].leaving = true;
	while (world->db->promoted_at == 0)
		world_run(world, MSEC);
	target = fake_db_primary(world->db);
	world_crash_member(world, (size_t)(target - world->db->members));
	world->db->members[0].leaving = false;
	world->db->members[0].isolated = true; /* cut off from the member that is down anyway */
	for (int i = 0;
	     i < 100 && !g_str_has_prefix(world_send_and_wait(caller, "WRITE job-1 b"), "DONE");
	     i++)
		world_run(world, 100 * MSEC);
	assert_has_prefix(caller->reply, "DONE");
	snprintf(id, sizeof(id), "%s", caller->id);
	fake_member_start(target);
	world->db->members[0].isolated = false;
	world_run(world, 5 * SEC);
	g_assert_cmpuint(fake_member_count_commits(fake_db_primary(world->db), id), ==, 1);
	world_destroy(world);
}

/* The leader dies together with the primary; the next leader replaces the primary. */
static void test_leader_dies_with_the_primary(void)
{
	pool_world_t *world = world_create(3, NULL);
	world_caller_t *caller;
	size_t leader;

	world_wait_until_ready(world);
	leader = find_leader(world);
	world_kill(world, leader);
	world_crash_member(world, 0);
	world_run(world, 8 * SEC);
	g_assert_cmpuint(world->promote_count, >=, 1);
	caller = world_open_session(world, (leader + 1) % 3);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 b"), "DONE core-");
	for (size_t i = 1; i < world->promote_count; i++)
		g_assert_cmpuint(world->promotes[i].fencing_token, >=,
				 world->promotes[i - 1].fencing_token);
	world_destroy(world);
}

/*
 * One of nine proxies is dead when the primary crashes, so it can't report that it released the
 * primary. The others wait only as long as its permission can last.
 */
static void test_proxy_is_dead_when_the_primary_crashes(void)
{
	pool_world_t *world = world_create(9, NULL);
	world_caller_t *caller;
	size_t dead;

	world_wait_until_ready(world);
	dead = find_non_leader(world);
	world_kill(world, dead);
	world_run(world, SEC);
	caller = world_open_session(world, 8);
	world_crash_member(world, 0);
	world_send_and_wait(caller, "WRITE job-1 a");
	world_run(world, 4500 * MSEC);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 b"), "DONE core-");
	world_destroy(world);
}

/*
 * Guards against writes that wait 2 s longer for a new primary: the leader loses its lease in the
 * middle of a change and acquires it again. It need not wait for promote calls of another leader,
 * since it made none itself and no other proxy has written to the roster since.
 */
static void test_leader_resumes_its_own_change(void)
{
	pool_world_t *world = world_create(3, NULL);
	world_caller_t *caller;
	size_t leader;
	usec_t lost_at;

	world_wait_until_ready(world);
	leader = find_leader(world);
	caller = world_open_session(world, (leader + 1) % 3);
	world_crash_member(world, 0);
	while (change_step_of(world, leader) != CHANGE_RELEASING)
		world_run(world, MSEC);
	for (size_t i = 0; i < world->node_count; i++)
		world->nodes[i].kv.unreachable = i != leader;
	fake_kv_delete_key(world->kv, "fleet/holder");
	leader_step_down(world->nodes[leader].pooler, "test");
	lost_at = clock_now(&world->clock.base);
	while (world->promote_count == 0)
		world_run(world, MSEC);
	g_assert_cmpuint(clock_now(&world->clock.base) - lost_at, <, 1500 * MSEC);
	for (size_t i = 0; i < world->node_count; i++)
		world->nodes[i].kv.unreachable = false;
	world_run(world, 2 * SEC);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-");
	world_destroy(world);
}

/*
 * Guards against writes to a superseded primary, which are lost once the new primary is noticed: a
 * leader has a member promoted and is frozen. The next leader takes the change over, loses its
 * lease and acquires it again, so that the mark in the roster is its own. It finds the old primary
 * healthy, and nothing shows the promote call. It must remember that the change was not its own,
 * since the call may have taken effect.
 */
static void test_change_taken_over_twice(void)
{
	pool_world_t *world = world_create(3, NULL);
	size_t first;
	size_t second;

	world_wait_until_ready(world);
	first = find_leader(world);
	world->db->members[0].leaving = true;
	while (world->promote_count == 0)
		world_run(world, MSEC);
	world_freeze(world, first);
	world->db->members[0].leaving = false;
	second = first;
	while (second == first || change_step_of(world, second) != CHANGE_RELEASING) {
		world_run(world, MSEC);
		second = (second + 1) % 3;
	}
	for (size_t i = 0; i < world->node_count; i++)
		world->nodes[i].kv.unreachable = i != second;
	fake_kv_delete_key(world->kv, "fleet/holder");
	leader_step_down(world->nodes[second].pooler, "test");
	while (!is_leader(world, second))
		world_run(world, MSEC);
	for (size_t i = 0; i < world->node_count; i++)
		world->nodes[i].kv.unreachable = false;
	for (int i = 0; i < 100; i++) {
		world_run(world, 30 * MSEC);
		if (world->db->promoted_at != 0)
			g_assert_cmpuint(world_count_permitted(world, "core-0"), ==, 0);
	}
	world_thaw(world, first);
	world_run(world, 4 * SEC);
	g_assert_cmpstr(fake_db_primary(world->db)->id, !=, "core-0");
	g_assert_cmpuint(world_count_permitted(world, fake_db_primary(world->db)->id), ==, 3);
	world_destroy(world);
}

/*
 * Guards against writes that wait 2 s longer than necessary: the leader has a member promoted and
 * dies. If the roster lacks the term of the first primary, the next leader does not recognize
 * that member as the new primary, and promotes it again without effect. So the first primary's term
 * must be queried before that primary is written to the roster.
 */
static void test_leader_dies_after_the_first_promote(void)
{
	pool_world_t *world = world_create(3, NULL);
	world_caller_t *caller;
	size_t leader;

	world_wait_until_ready(world);
	leader = find_leader(world);
	caller = world_open_session(world, find_non_leader(world));
	world_crash_member(world, 0);
	while (world->promote_count == 0)
		world_run(world, MSEC);
	world_kill(world, leader);
	world_run(world, 8 * SEC);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-");
	g_assert_cmpuint(world->promote_count, ==, 1);
	world_destroy(world);
}

/* Restarts the proxy and makes it the leader. */
static void make_newcomer_leader(pool_world_t *world, size_t newcomer)
{
	world_kill(world, newcomer);
	world_start_proxy(world, newcomer);
	world_run(world, 300 * MSEC);
	for (size_t i = 0; i < world->node_count; i++)
		world->nodes[i].kv.unreachable = i != newcomer;
	fake_kv_delete_key(world->kv, "fleet/holder");
	while (!is_leader(world, newcomer))
		world_run(world, MSEC);
	for (size_t i = 0; i < world->node_count; i++)
		world->nodes[i].kv.unreachable = false;
}

/*
 * Guards against refusals for 12 s at a change of primary: a proxy that has just started is the
 * leader, and another proxy is dead. The newcomer has not seen the former size of the fleet. It
 * must use the size that the others report, instead of waiting as if the dead proxy were two thirds
 * of the fleet.
 */
static void test_newcomer_leads_beside_a_dead_proxy(void)
{
	pool_world_t *world = world_create(5, NULL);
	world_caller_t *caller;

	world_wait_until_ready(world);
	world_run(world, 15 * SEC);
	world_kill(world, 4);
	make_newcomer_leader(world, 1);
	caller = world_open_session(world, 2);
	world->db->members[0].leaving = true;
	world_publish_directory(world);
	world_run(world, 3500 * MSEC);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-");
	g_assert_cmpstr(find_last_run(world, caller->id)->member, !=, "core-0");
	world_destroy(world);
}

/*
 * Guards against the replacement of a healthy primary: members' entries expire while the store is
 * unavailable. Proxies that have cached the members keep using them, but one that starts at that
 * time has never received the primary's entry. When it becomes the leader, it must not take the
 * primary for unlisted, since the entries are back a moment later.
 */
static void test_newcomer_leads_with_an_expired_list(void)
{
	pool_world_t *world = world_create(5, NULL);
	world_caller_t *caller;

	world_wait_until_ready(world);
	world->db->members[0].unlisted = true;
	make_newcomer_leader(world, 1);
	world_run(world, 2 * SEC);
	world->db->members[0].unlisted = false;
	world_run(world, 3 * SEC);
	g_assert_cmpuint(world->promote_count, ==, 0);
	caller = world_open_session(world, 2);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	world_destroy(world);
}

/*
 * Guards against the loss of commits: a proxy that has just started is not on the older roster that
 * others may still use by agreement. The new proxy must not count itself as part of that fleet:
 * with it, three of four proxies would seem too few to keep their permission.
 */
static void test_newcomer_does_not_count(void)
{
	pool_world_t *world = world_create(4, NULL);

	world_wait_until_ready(world);
	world_run(world, 15 * SEC);
	g_assert_cmpuint(permit_count_listed(world->nodes[1].pooler), ==, 4);
	world_kill(world, 1);
	world_start_proxy(world, 1);
	world_run(world, 2 * SEC);
	g_assert_cmpuint(permit_count_listed(world->nodes[1].pooler), ==, 0);
	world_run(world, 15 * SEC);
	g_assert_cmpuint(permit_count_listed(world->nodes[1].pooler), ==, 4);
	world_destroy(world);
}

/*
 * Guards against planned changes of primary that take 2.6 s long after a proxy was lost: its VM is
 * replaced under another name, so the lost proxy never answers, and each change waits for the
 * permission that it might still have. Once the rest of the fleet has the roster that marks it as
 * gone, nobody extends that permission.
 */
static void test_gone_proxy_is_not_waited_for(void)
{
	pool_world_t *world = world_create(6, NULL);
	world_caller_t *caller;
	size_t dead;

	world_wait_until_ready(world);
	dead = find_non_leader(world);
	world_kill(world, dead);
	world_run(world, 9 * SEC);
	caller = world_open_session(world, 5);
	world->db->members[0].leaving = true;
	world_publish_directory(world);
	world_run(world, 1500 * MSEC);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-");
	g_assert_cmpstr(find_last_run(world, caller->id)->member, !=, "core-0");
	world_destroy(world);
}

/*
 * The reply to the promote call is lost, but the call took effect: the leader notices that and does
 * not repeat the call.
 */
static void test_promote_answer_is_lost(void)
{
	pool_world_t *world = world_create(3, NULL);
	world_caller_t *caller;

	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	world_send_and_wait(caller, "WRITE job-1 a");
	world->lose_promote_answers = 1;
	world_crash_member(world, 0);
	world_run(world, 4 * SEC);
	g_assert_cmpuint(world->promote_count, ==, 1);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 b"), "DONE core-");
	world_destroy(world);
}

/*
 * After a change of primary the list of members lags behind, as with a slow store: the old primary
 * still claims to be the primary there. That is no reason for another change.
 */
static void test_member_list_lags(void)
{
	pool_world_t *world = world_create(3, NULL);

	world_wait_until_ready(world);
	world->directory_is_frozen = true;
	world_crash_member(world, 0);
	/* No proxy has used the member since, so none has noticed the crash yet. */
	world_send_and_wait(world_open_session(world, 0), "WRITE job-1 a");
	world_run(world, 3 * SEC);
	g_assert_cmpuint(world->promote_count, ==, 1);
	world_run(world, 10 * SEC);
	g_assert_cmpuint(world->promote_count, ==, 1);
	world_destroy(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/primary/crash", test_primary_crashes);
	g_test_add_func("/primary/old-reports", test_reports_of_the_old_primary);
	g_test_add_func("/primary/leaving", test_primary_is_leaving);
	g_test_add_func("/primary/longest-log", test_longest_log_is_promoted);
	g_test_add_func("/primary/sync-replica-away", test_sync_replica_is_away);
	g_test_add_func("/primary/back-before-promote", test_primary_recovers_before_the_promote);
	g_test_add_func("/primary/cut-off-proxy", test_cut_off_proxy_stops_before_the_promote);
	g_test_add_func("/primary/frozen-proxy", test_frozen_proxy_with_an_answer);
	g_test_add_func("/primary/holder-dies", test_leader_dies_with_the_primary);
	g_test_add_func("/primary/dead-proxy", test_proxy_is_dead_when_the_primary_crashes);
	g_test_add_func("/primary/gone-proxy", test_gone_proxy_is_not_waited_for);
	g_test_add_func("/primary/newcomer-and-dead", test_newcomer_leads_beside_a_dead_proxy);
	g_test_add_func("/primary/newcomer-and-list", test_newcomer_leads_with_an_expired_list);
	g_test_add_func("/primary/newcomer-alone", test_newcomer_does_not_count);
	g_test_add_func("/primary/taken-up-twice", test_change_taken_over_twice);
	g_test_add_func("/primary/holder-dies-after-promote",
			test_leader_dies_after_the_first_promote);
	g_test_add_func("/primary/own-change", test_leader_resumes_its_own_change);
	g_test_add_func("/primary/superseded", test_superseded_primary_is_not_accepted);
	g_test_add_func("/primary/two-promoted", test_newest_of_two_primaries_is_accepted);
	g_test_add_func("/primary/holder-frozen", test_leader_frozen_when_the_primary_crashes);
	g_test_add_func("/primary/late-write", test_late_write_of_an_earlier_leader);
	g_test_add_func("/primary/promoted-crashes", test_promoted_member_crashes_unnoticed);
	g_test_add_func("/primary/promote-lost", test_promote_answer_is_lost);
	g_test_add_func("/primary/list-is-behind", test_member_list_lags);
	return g_test_run();
}
