/*
 * Poolers in paused time of which the store serves some and not others: calls to it through a
 * peer, and permission among those that it does not serve.
 */
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "exchange.h"
#include "fleet_codec.h"
#include "permit.h"
#include "pool_check.h"
#include "relay.h"
#include "sync.h"

static change_step_t step_of(const pool_world_t *world, size_t node)
{
	return service_get(world->nodes[node].pooler, WORLD_SERVICE)->change.step;
}

/* How long it takes until every proxy may use another primary than core-0. */
static usec_t time_to_change(pool_world_t *world)
{
	usec_t start = clock_now(&world->clock.base);

	for (int i = 0; i < 2000; i++) {
		const fake_member_t *leader = fake_leader(world->db);

		world_run(world, 10 * MSEC);
		if (leader != NULL && leader != &world->db->members[0] &&
		    world_count_permitted(world, leader->id) == world->node_count)
			return clock_now(&world->clock.base) - start;
	}
	g_assert_not_reached();
}

/*
 * What callers see: writes are refused for eight seconds around a planned change of primary. What
 * happens: the store turns the holder of the duty away right after it has marked the change; it
 * can neither write down that the new primary leads, nor prolong its hold, and whoever follows
 * waits for what it may have done. Why a peer is enough: it reaches the store, and makes the same
 * calls under the same conditions.
 */
static void test_holder_is_turned_away(void)
{
	pool_world_t *world = world_create(5, NULL);
	size_t holder;
	uint64_t fence;

	world_wait_until_ready(world);
	holder = find_leader(world);
	fence = world->nodes[holder].pooler->sync.own_fence;
	world->db->members[0].leaving = true;
	while (step_of(world, holder) != CHANGE_RELEASING)
		world_run(world, MSEC);
	world->nodes[holder].kv.unreachable = true;
	g_assert_cmpuint(time_to_change(world), <, 2 * SEC);
	world_run(world, 10 * SEC);
	g_assert_true(is_leader(world, holder));
	g_assert_cmpuint(world->nodes[holder].pooler->sync.own_fence, ==, fence);
	world_destroy(world);
}

/*
 * The same when the peer that was asked dies with the call: another one is asked, the hold lives.
 */
static void test_helper_dies(void)
{
	pool_world_t *world = world_create(5, NULL);
	size_t holder;

	world_wait_until_ready(world);
	holder = find_leader(world);
	world->nodes[holder].kv.unreachable = true;
	for (int i = 0; i < 3; i++) {
		size_t victim = (holder + 1 + (size_t)i) % 5;

		world_run(world, 1 * SEC);
		world_freeze(world, victim);
		world_run(world, 3 * SEC);
		g_assert_true(is_leader(world, holder));
		world_thaw(world, victim);
	}
	world_destroy(world);
}

typedef struct outcome {
	bool ended;
	kv_status_t status;
} outcome_t;

static void on_outcome(void *data, const kv_result_t *result)
{
	outcome_t *outcome = data;

	g_assert_false(outcome->ended);
	outcome->ended = true;
	outcome->status = result->status;
}

static outcome_t commit(pool_world_t *world, size_t node)
{
	kv_t *kv = pooler_store(world->nodes[node].pooler);
	kv_write_t write = {.key = "fleet/test", .value = "a"};
	outcome_t outcome = {0};

	kv->ops->commit(kv, &write, 1, on_outcome, &outcome);
	for (int i = 0; i < 6000 && !outcome.ended; i++)
		world_run(world, MSEC);
	g_assert_true(outcome.ended);
	return outcome;
}

/*
 * What the maker of a commit must not hear: a conflict, when it was its own commit that was carried
 * out. What happens: the store does it and loses the answer. A second try by a peer would meet the
 * first one; so it ends without an answer, and who made it reads what holds.
 */
static void test_commit_is_made_once(void)
{
	pool_world_t *world = world_create(3, NULL);
	size_t node;

	world_wait_until_ready(world);
	node = find_non_leader(world);
	world->kv->lose_commit_answers = 1;
	g_assert_cmpint(commit(world, node).status, ==, KV_LOST);
	world_run(world, 1 * SEC);
	g_assert_cmpstr(fake_kv_get(world->kv, "fleet/test"), ==, "a");
	world_destroy(world);
}

/* A commit of a proxy that is known to be cut off goes to a peer at once, and its answer back. */
static void test_commit_through_a_peer(void)
{
	pool_world_t *world = world_create(3, NULL);
	size_t node;

	world_wait_until_ready(world);
	node = find_non_leader(world);
	world->nodes[node].kv.unreachable = true;
	/* The first one is lost, and tells that the store does not answer. */
	g_assert_cmpint(commit(world, node).status, ==, KV_LOST);
	g_assert_true(relay_is_cut_off(world->nodes[node].pooler->relay));
	g_assert_cmpint(commit(world, node).status, ==, KV_OK);
	g_assert_cmpint(commit(world, node).status, ==, KV_CONFLICT);
	world_destroy(world);
}

static void on_range(void *data, const kv_result_t *result)
{
	*(kv_status_t *)data = result->status;
}

/* A reading waits for a peer that is silent though the store answers again. */
static void test_taken_back(void)
{
	pool_world_t *world = world_create(3, NULL);
	kv_status_t status = KV_CONFLICT;
	size_t node;
	kv_t *kv;

	world_wait_until_ready(world);
	node = find_non_leader(world);
	kv = pooler_store(world->nodes[node].pooler);
	world->nodes[node].kv.unreachable = true;
	g_assert_cmpint(commit(world, node).status, ==, KV_LOST);
	for (size_t i = 0; i < 3; i++)
		world->nodes[i].cut_from_peers = true;
	/* Its own access is tried again a second after it was lost. */
	world_run(world, 700 * MSEC);
	kv->ops->range(kv, "fleet/", "", on_range, &status);
	world->nodes[node].kv.unreachable = false;
	world_run(world, 400 * MSEC);
	g_assert_false(relay_is_cut_off(world->nodes[node].pooler->relay));
	g_assert_cmpint(status, ==, KV_OK);
	world_destroy(world);
}

/* With the store away for all, nobody asks a peer in vain, and every call ends. */
static void test_store_away_for_all(void)
{
	pool_world_t *world = world_create(3, NULL);

	world_wait_until_ready(world);
	world->kv->down = true;
	world_run(world, 2 * SEC);
	g_assert_cmpint(commit(world, find_non_leader(world)).status, ==, KV_LOST);
	world->kv->down = false;
	world_run(world, 3 * SEC);
	for (size_t i = 0; i < 3; i++)
		g_assert_false(relay_is_cut_off(world->nodes[i].pooler->relay));
	world_destroy(world);
}

/*
 * What callers see: those of four proxies of seven are refused for as long as a partition lasts.
 * What happens: it leaves them without the store and without the three others, so that they can
 * prolong their permission only together, and were too few. Why more than half is enough: who
 * makes a change waits as long as the permission may last unless more than half know of it.
 */
static void test_half_of_the_fleet_goes_on(void)
{
	pool_world_t *world = world_create(7, NULL);
	world_caller_t *caller;

	world_wait_until_ready(world);
	for (size_t i = 0; i < 4; i++) {
		world->nodes[i].kv.unreachable = true;
		world->nodes[i].partition = 1;
	}
	caller = world_open_session(world, 0);
	for (int i = 0; i < 90; i++) {
		assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
		world_run(world, 90 * MSEC);
	}
	world_destroy(world);
}

/*
 * What no caller may see: a success at a primary that was replaced. What happens: the partition
 * leaves the larger half with the old primary, and the smaller one, with the store, replaces it.
 */
static void test_half_of_the_fleet_is_waited_for(void)
{
	pool_world_t *world = world_create(7, NULL);
	world_caller_t *caller;
	bool stopped = false;

	world_wait_until_ready(world);
	for (size_t i = 0; i < 4; i++) {
		world->nodes[i].kv.unreachable = true;
		world->nodes[i].partition = 1;
	}
	world->db->members[0].leaving = true;
	caller = world_open_session(world, 0);
	for (int i = 0; i < 400; i++) {
		const char *reply = world_send_and_wait(caller, "WRITE job-1 a");

		if (g_str_has_prefix(reply, "DONE"))
			g_assert_cmpuint(world->db->promoted_at, ==, 0);
		else
			stopped = true;
		world_run(world, 40 * MSEC);
	}
	g_assert_true(stopped);
	g_assert_cmpuint(world->db->promoted_at, !=, 0);
	world_destroy(world);
}

/* What the messages say arrives as it was, also values that are no text, and deletions. */
static void test_messages(void)
{
	static const kv_write_t writes[] = {
		{.key = "a", .value = "x\"y", .expected = 7, .lease = 9},
		{.key = "b", .expected = 3}};
	static const kv_item_t items[] = {
		{.key = "c", .value = "\xff\0z", .len = 3, .revision = 5, .created = 4}};
	store_request_t request = {
		.number = 1, .op = STORE_COMMIT, .writes = writes, .count = G_N_ELEMENTS(writes)};
	store_answer_t answer = {
		.number = 2,
		.result = {.status = KV_CONFLICT, .as_of = 8, .items = items, .count = 1}};
	peer_message_t message = {.kind = PEER_STORE,
				  .from = "p",
				  .address = "q",
				  .cut_off = true,
				  .store = &request};
	void *parent = talloc_new(NULL);
	char *text = peer_message_encode(&message);
	const peer_message_t *back = peer_message_decode(parent, text, strlen(text));

	g_assert_true(back->cut_off);
	g_assert_cmpuint(back->store->count, ==, 2);
	g_assert_cmpstr(back->store->writes[0].value, ==, "x\"y");
	g_assert_cmpint(back->store->writes[0].expected, ==, 7);
	g_assert_cmpuint(back->store->writes[0].lease, ==, 9);
	g_assert_null(back->store->writes[1].value);
	free(text);
	message = (peer_message_t){
		.kind = PEER_STORED, .from = "p", .address = "q", .stored = &answer};
	text = peer_message_encode(&message);
	back = peer_message_decode(parent, text, strlen(text));
	g_assert_cmpint(back->stored->result.status, ==, KV_CONFLICT);
	g_assert_cmpint(back->stored->result.as_of, ==, 8);
	g_assert_cmpmem(back->stored->result.items[0].value, back->stored->result.items[0].len,
			"\xff\0z", 3);
	g_assert_cmpint(back->stored->result.items[0].created, ==, 4);
	free(text);
	talloc_free(parent);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/relay/holder-turned-away", test_holder_is_turned_away);
	g_test_add_func("/relay/helper-dies", test_helper_dies);
	g_test_add_func("/relay/commit-once", test_commit_is_made_once);
	g_test_add_func("/relay/commit", test_commit_through_a_peer);
	g_test_add_func("/relay/taken-back", test_taken_back);
	g_test_add_func("/relay/store-away", test_store_away_for_all);
	g_test_add_func("/relay/messages", test_messages);
	g_test_add_func("/permission/half-goes-on", test_half_of_the_fleet_goes_on);
	g_test_add_func("/permission/half-is-waited-for", test_half_of_the_fleet_is_waited_for);
	return g_test_run();
}
