/*
 * Fleets of which the store serves some proxies and not others, under a manual clock: store calls
 * that are relayed through a peer, and the permission of proxies that the store does not serve.
 * Each test guards against the failure that its comment describes.
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

static change_step_t change_step(const pool_world_t *world, size_t node)
{
	return service_get(world->nodes[node].pooler, WORLD_SERVICE)->change.step;
}

/* Returns the time until every proxy may use another primary than core-0. */
static usec_t time_to_change(pool_world_t *world)
{
	usec_t start = clock_now(&world->clock.base);

	for (int i = 0; i < 2000; i++) {
		const fake_member_t *primary = fake_db_primary(world->db);

		world_run(world, 10 * MSEC);
		if (primary != NULL && primary != &world->db->members[0] &&
		    world_count_permitted(world, primary->id) == world->node_count)
			return clock_now(&world->clock.base) - start;
	}
	g_assert_not_reached();
}

/*
 * Writes were refused for eight seconds around a planned change of primary: the store refused the
 * leader right after the leader had marked the change. So the leader could neither write the new
 * primary to the roster nor renew its lease, and its successor waited for calls that the leader
 * might have made. A peer that reaches the store makes the same calls under the same conditions.
 */
static void test_leader_is_refused(void)
{
	pool_world_t *world = world_create(5, NULL);
	size_t leader;
	uint64_t token;

	world_wait_until_ready(world);
	leader = find_leader(world);
	token = world->nodes[leader].pooler->sync.own_token;
	world->db->members[0].leaving = true;
	while (change_step(world, leader) != CHANGE_RELEASING)
		world_run(world, MSEC);
	world->nodes[leader].kv.unreachable = true;
	g_assert_cmpuint(time_to_change(world), <, 2 * SEC);
	world_run(world, 10 * SEC);
	g_assert_true(is_leader(world, leader));
	g_assert_cmpuint(world->nodes[leader].pooler->sync.own_token, ==, token);
	world_destroy(world);
}

/*
 * The same when the peer that was asked dies with the call: another one must be asked, so that the
 * lease does not end.
 */
static void test_helper_dies(void)
{
	pool_world_t *world = world_create(5, NULL);
	size_t leader;

	world_wait_until_ready(world);
	leader = find_leader(world);
	world->nodes[leader].kv.unreachable = true;
	for (int i = 0; i < 3; i++) {
		size_t victim = (leader + 1 + (size_t)i) % 5;

		world_run(world, 1 * SEC);
		world_freeze(world, victim);
		world_run(world, 3 * SEC);
		g_assert_true(is_leader(world, leader));
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
 * A proxy must not receive a conflict for a commit of its own that took effect. The store makes the
 * commit and loses the answer; a second attempt through a peer would conflict with the first. So
 * the call ends with an unknown outcome, and its caller reads the store.
 */
static void test_commit_is_made_once(void)
{
	pool_world_t *world = world_create(3, NULL);
	size_t node;

	world_wait_until_ready(world);
	node = find_non_leader(world);
	world->kv->lose_commit_answers = 1;
	g_assert_cmpint(commit(world, node).status, ==, KV_OUTCOME_UNKNOWN);
	world_run(world, 1 * SEC);
	g_assert_cmpstr(fake_kv_get(world->kv, "fleet/test"), ==, "a");
	world_destroy(world);
}

/*
 * A commit of a proxy that is cut off from the store goes to a peer at once, and the answer comes
 * back.
 */
static void test_commit_through_a_peer(void)
{
	pool_world_t *world = world_create(3, NULL);
	size_t node;

	world_wait_until_ready(world);
	node = find_non_leader(world);
	world->nodes[node].kv.unreachable = true;
	/*
	 * The first commit gets no answer, by which the proxy detects that the store does not serve
	 * it.
	 */
	g_assert_cmpint(commit(world, node).status, ==, KV_OUTCOME_UNKNOWN);
	g_assert_true(relay_is_cut_off(world->nodes[node].pooler->relay));
	g_assert_cmpint(commit(world, node).status, ==, KV_OK);
	g_assert_cmpint(commit(world, node).status, ==, KV_CONFLICT);
	world_destroy(world);
}

static void on_range(void *data, const kv_result_t *result)
{
	*(kv_status_t *)data = result->status;
}

/* A read waited for a silent peer though the store served this proxy again. */
static void test_direct_calls_resume(void)
{
	pool_world_t *world = world_create(3, NULL);
	kv_status_t status = KV_CONFLICT;
	size_t node;
	kv_t *kv;

	world_wait_until_ready(world);
	node = find_non_leader(world);
	kv = pooler_store(world->nodes[node].pooler);
	world->nodes[node].kv.unreachable = true;
	g_assert_cmpint(commit(world, node).status, ==, KV_OUTCOME_UNKNOWN);
	for (size_t i = 0; i < 3; i++)
		world->nodes[i].cut_from_peers = true;
	/* The proxy probes its own access a second after it was lost. */
	world_run(world, 700 * MSEC);
	kv->ops->range(kv, "fleet/", "", on_range, &status);
	world->nodes[node].kv.unreachable = false;
	world_run(world, 400 * MSEC);
	g_assert_false(relay_is_cut_off(world->nodes[node].pooler->relay));
	g_assert_cmpint(status, ==, KV_OK);
	world_destroy(world);
}

/*
 * While the store is unreachable for all proxies, none sends a call to a peer without result, and
 * every call ends.
 */
static void test_store_unreachable_for_all(void)
{
	pool_world_t *world = world_create(3, NULL);

	world_wait_until_ready(world);
	world->kv->down = true;
	world_run(world, 2 * SEC);
	g_assert_cmpint(commit(world, find_non_leader(world)).status, ==, KV_OUTCOME_UNKNOWN);
	world->kv->down = false;
	world_run(world, 3 * SEC);
	for (size_t i = 0; i < 3; i++)
		g_assert_false(relay_is_cut_off(world->nodes[i].pooler->relay));
	world_destroy(world);
}

/*
 * Callers of four proxies of seven were refused for as long as a partition lasted. It left these
 * four without the store and without the other three, so that they could extend their permission
 * only by agreement, and were too few for that. More than half of the fleet is enough: the leader
 * waits with a change as long as the permission may last unless more than half have received it.
 */
static void test_half_of_the_fleet_continues(void)
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
 * No caller may get a success from a primary that was replaced. A partition leaves the larger half
 * of the fleet with the old primary, and the smaller one, which has the store, replaces it.
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

/* The proxy has heard of no peer that reaches the store, as right after its start. */
static void forget_access_reports(const pool_world_t *world, size_t node)
{
	list_for_each (it, &world->nodes[node].pooler->sync.reports)
		list_entry(it, peer_report_t, node)->access_reported_at = 0;
}

/*
 * Guards against a read that fails although a peer could make it: the store refuses this proxy, and
 * no peer has told it yet that it reaches the store. Any peer is asked then.
 */
static void test_read_without_known_helper(void)
{
	pool_world_t *world = world_create(5, NULL);
	outcome_t outcome = {0};
	size_t node;
	kv_t *kv;

	world_wait_until_ready(world);
	node = find_non_leader(world);
	kv = pooler_store(world->nodes[node].pooler);
	world->nodes[node].kv.unreachable = true;
	kv->ops->range(kv, "fleet/", "", on_outcome, &outcome);
	for (int i = 0; i < 1000 && !outcome.ended; i++) {
		forget_access_reports(world, node);
		world_run(world, MSEC);
	}
	g_assert_true(outcome.ended);
	g_assert_cmpint(outcome.status, ==, KV_OK);
	world_destroy(world);
}

/* Messages arrive unchanged, also with values that are not text, and deletions. */
static void test_messages(void)
{
	static const kv_write_t writes[] = {
		{.key = "a", .value = "x\"y", .expected = 7, .lease = 9},
		{.key = "b", .expected = 3}};
	static const kv_item_t items[] = {
		{.key = "c", .value = "\xff\0z", .len = 3, .revision = 5, .create_revision = 4}};
	store_request_t request = {
		.number = 1, .op = STORE_COMMIT, .writes = writes, .count = G_N_ELEMENTS(writes)};
	store_answer_t answer = {
		.number = 2,
		.result = {.status = KV_CONFLICT, .as_of = 8, .items = items, .count = 1}};
	peer_message_t message = {.kind = PEER_STORE_REQUEST,
				  .from = "p",
				  .address = "q",
				  .cut_off = true,
				  .store_request = &request};
	void *parent = talloc_new(NULL);
	char *text = peer_message_encode(&message);
	const peer_message_t *back = peer_message_decode(parent, text, strlen(text));

	g_assert_true(back->cut_off);
	g_assert_cmpuint(back->store_request->count, ==, 2);
	g_assert_cmpstr(back->store_request->writes[0].value, ==, "x\"y");
	g_assert_cmpint(back->store_request->writes[0].expected, ==, 7);
	g_assert_cmpuint(back->store_request->writes[0].lease, ==, 9);
	g_assert_null(back->store_request->writes[1].value);
	free(text);
	message = (peer_message_t){
		.kind = PEER_STORE_ANSWER, .from = "p", .address = "q", .store_answer = &answer};
	text = peer_message_encode(&message);
	back = peer_message_decode(parent, text, strlen(text));
	g_assert_cmpint(back->store_answer->result.status, ==, KV_CONFLICT);
	g_assert_cmpint(back->store_answer->result.as_of, ==, 8);
	g_assert_cmpmem(back->store_answer->result.items[0].value,
			back->store_answer->result.items[0].len, "\xff\0z", 3);
	g_assert_cmpint(back->store_answer->result.items[0].create_revision, ==, 4);
	free(text);
	talloc_free(parent);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/relay/holder-turned-away", test_leader_is_refused);
	g_test_add_func("/relay/helper-dies", test_helper_dies);
	g_test_add_func("/relay/commit-once", test_commit_is_made_once);
	g_test_add_func("/relay/commit", test_commit_through_a_peer);
	g_test_add_func("/relay/taken-back", test_direct_calls_resume);
	g_test_add_func("/relay/store-away", test_store_unreachable_for_all);
	g_test_add_func("/relay/no-known-helper", test_read_without_known_helper);
	g_test_add_func("/relay/messages", test_messages);
	g_test_add_func("/permission/half-goes-on", test_half_of_the_fleet_continues);
	g_test_add_func("/permission/half-is-waited-for", test_half_of_the_fleet_is_waited_for);
	return g_test_run();
}
