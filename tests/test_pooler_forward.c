/*
 * Poolers with a manual clock whose members accept fewer connections than there are proxies:
 * statements and transactions that a home runs for other proxies.
 */
#include <string.h>

#include <glib.h>

#include "adopt.h"
#include "forward.h"
#include "home.h"
#include "pool_check.h"
#include "sync.h"

#define NODES 6
/* Size of a fleet in which only homes connect to members. */
#define FLEET 24

/* One member that accepts two connections, behind six proxies. */
static const fake_db_config_t two_connections = {
	.service = WORLD_SERVICE,
	.members = 1,
	.slots = 2,
	.max_connections = 2,
	.service_time = 4 * MSEC,
	.connect_time = 12 * MSEC,
	.promote_delay = 1000 * MSEC,
};

/* Returns the home that this proxy forwards to, which may be the proxy itself. */
static const char *home_of(pool_world_t *world, size_t node)
{
	pooler_t *pooler = world->nodes[node].pooler;

	return home_find(service_get(pooler, WORLD_SERVICE), now_of(pooler))->name;
}

/* Returns a proxy that forwards to another one. */
static size_t find_forwarding_proxy(pool_world_t *world)
{
	for (size_t i = 0; i < NODES; i++) {
		if (strcmp(home_of(world, i), world->nodes[i].name) != 0)
			return i;
	}
	g_assert_not_reached();
}

static pool_world_t *create_world(void)
{
	pool_world_t *world = world_create(NODES, &two_connections);

	world_wait_until_ready(world);
	return world;
}

/* True if the pooler is running the named proxy's request of that number. */
static bool runs_for(const pooler_t *pooler, const char *name, uint64_t number)
{
	list_for_each (it, &pooler->callers) {
		const caller_t *caller = list_entry(it, caller_t, node);

		if (caller->job != NULL && caller->job->request_number == number &&
		    strcmp(caller->job->origin, name) == 0)
			return true;
	}
	return false;
}

/* Returns the proxy that the caller's statement was forwarded to. */
static world_node_t *helper_of(pool_world_t *world, const world_caller_t *caller)
{
	for (size_t i = 0; i < NODES; i++) {
		if (g_strcmp0(world->nodes[i].name, caller->caller->helper) == 0)
			return &world->nodes[i];
	}
	g_assert_not_reached();
}

/*
 * Guards against refusals at four of six proxies while the member is idle, as it accepts only two
 * connections. The two connected proxies must run the statements of the others, with the session
 * values, prepared statements and commit positions of each caller.
 */
static void test_statements_of_all_are_served(void)
{
	pool_world_t *world = create_world();
	world_caller_t *callers[NODES];

	for (size_t i = 0; i < NODES; i++) {
		char item[16];
		char text[32];

		g_snprintf(item, sizeof(item), "job-%zu", i);
		callers[i] = world_open_session_on(world, i, "session");
		g_snprintf(text, sizeof(text), "SET who caller-%zu", i);
		assert_has_prefix(world_send_and_wait(callers[i], text), "DONE -");
		assert_has_prefix(world_send_and_wait(callers[i], "PREPARE s WRITE q2"), "DONE -");
		g_snprintf(text, sizeof(text), "EXEC s %s v%zu", item, i);
		world_send(callers[i], text);
	}
	world_run(world, 400 * MSEC);
	for (size_t i = 0; i < NODES; i++) {
		char values[32];
		char text[32];

		assert_has_prefix(callers[i]->reply, "DONE core-0");
		g_assert_cmpuint(count_runs(world, callers[i]->id), ==, 1);
		g_snprintf(values, sizeof(values), "who caller-%zu;", i);
		g_assert_true(
			g_str_has_suffix(find_last_run(world, callers[i]->id)->values, values));
		g_snprintf(text, sizeof(text), "READ job-%zu", i);
		world_send(callers[i], text);
	}
	world_run(world, 400 * MSEC);
	for (size_t i = 0; i < NODES; i++) {
		char row[16];

		g_snprintf(row, sizeof(row), "ROW v%zu", i);
		assert_has_prefix(callers[i]->reply, row);
	}
	world_destroy(world);
}

/*
 * The helper dies while it runs a write and a read. The write may be committed, so it must end in
 * doubt and not be sent again; the read must be answered.
 */
static void test_helper_dies(void)
{
	pool_world_t *world = create_world();
	size_t origin = find_forwarding_proxy(world);
	world_caller_t *writer = world_open_session_on(world, origin, "strict");
	world_caller_t *reader = world_open_session_on(world, origin, "strict");
	world_node_t *helper;

	world_send(writer, "WRITE job-1 a");
	world_run(world, 2 * MSEC);
	g_assert_cmpuint(writer->caller->forward_number, !=, 0);
	helper = helper_of(world, writer);
	world_run(world, 3 * MSEC);
	world_kill(world, (size_t)(helper - world->nodes));
	world_send(reader, "READ job-1");
	world_run(world, 1200 * MSEC);
	assert_has_prefix(writer->reply, "ERR INDOUBT");
	g_assert_cmpuint(count_runs(world, writer->id), <=, 1);
	assert_has_prefix(reader->reply, "ROW");
	world_destroy(world);
}

/*
 * Guards against the success of a write that the next primary does not have: the result arrives
 * when the proxy resumes after a freeze, and its permission has ended meanwhile.
 */
static void test_result_after_a_freeze(void)
{
	pool_world_t *world = create_world();
	size_t origin = find_forwarding_proxy(world);
	world_caller_t *writer = world_open_session_on(world, origin, "strict");

	world_send(writer, "WRITE job-1 a");
	world_run(world, 2 * MSEC);
	g_assert_cmpuint(writer->caller->forward_number, !=, 0);
	world_freeze(world, origin);
	world_run(world, 14 * SEC);
	world_thaw(world, origin);
	world_run(world, 100 * MSEC);
	assert_has_prefix(writer->reply, "ERR INDOUBT");
	world_destroy(world);
}

/*
 * The same if the proxy has received a roster that announces a change of primary, and the helper
 * that ran the write has not.
 */
static void test_result_after_the_permission(void)
{
	pool_world_t *world = create_world();
	size_t origin = find_forwarding_proxy(world);
	pooler_t *pooler = world->nodes[origin].pooler;
	world_caller_t *writer = world_open_session_on(world, origin, "strict");
	roster_t *roster;

	world_send(writer, "WRITE job-1 a");
	world_run(world, 2 * MSEC);
	g_assert_cmpuint(writer->caller->forward_number, !=, 0);
	roster = roster_copy(NULL, pooler->sync.roster);
	roster->revision++;
	roster_put_group(roster, WORLD_SERVICE, "core-0", true, 1, 1);
	adopt_roster(pooler, roster);
	world_run(world, 400 * MSEC);
	assert_has_prefix(writer->reply, "ERR INDOUBT permission");
	world_destroy(world);
}

/*
 * Guards against a statement that runs under an older configuration than the caller's previous
 * statement: a helper that has not received the newest configuration yet must decline.
 */
static void test_helper_has_another_configuration(void)
{
	pool_world_t *world = create_world();
	size_t origin = find_forwarding_proxy(world);
	world_caller_t *reader = world_open_session_on(world, origin, "strict");
	uint64_t number;

	world->nodes[origin].pooler->routes->version++;
	world_send(reader, "READ job-1");
	number = reader->caller->forward_number;
	g_assert_cmpuint(number, !=, 0);
	for (size_t step = 0; step < 40; step++) {
		world_run(world, MSEC / 2);
		for (size_t i = 0; i < NODES; i++)
			g_assert_false(runs_for(world->nodes[i].pooler, world->nodes[origin].name,
						number));
	}
	world_destroy(world);
}

/*
 * Guards against transactions that are refused at five of six proxies, since the member accepts two
 * connections. The home must hold one of them for the whole transaction.
 */
static void test_transactions(void)
{
	pool_world_t *world = create_world();

	for (size_t i = 0; i < NODES; i++) {
		world_caller_t *caller = world_open_session_on(world, i, "strict");
		bool done = false;

		for (size_t attempt = 0; attempt < 5 && !done; attempt++) {
			assert_has_prefix(world_send_and_wait(caller, "BEGIN"), "DONE -");
			done = g_str_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"),
						"DONE");
			world_send_and_wait(caller, done ? "COMMIT" : "ROLLBACK");
		}
		g_assert_true(done);
	}
	world_destroy(world);
}

static size_t index_of(const pool_world_t *world, const world_node_t *node)
{
	return (size_t)(node - world->nodes);
}

/* Begins a transaction at a proxy that forwards it, and makes one write. */
static world_caller_t *begin_forwarded_tx(pool_world_t *world, size_t origin)
{
	world_caller_t *caller = world_open_session_on(world, origin, "strict");

	assert_has_prefix(world_send_and_wait(caller, "BEGIN"), "DONE -");
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	g_assert_true(world_reply_has_state(caller, "READY T"));
	return caller;
}

/*
 * The home dies inside a transaction. The caller must get "aborted", which promises that nothing is
 * kept. That is true: the home's connection to the member ended before any COMMIT was sent.
 */
static void test_home_dies_in_a_transaction(void)
{
	pool_world_t *world = create_world();
	world_caller_t *caller = begin_forwarded_tx(world, find_forwarding_proxy(world));
	char id[40];

	g_strlcpy(id, caller->id, sizeof(id));
	world_kill(world, index_of(world, helper_of(world, caller)));
	world_send(caller, "WRITE job-2 a");
	world_run(world, 900 * MSEC);
	assert_has_prefix(caller->reply, "ERR ABORTED");
	assert_has_prefix(world_send_and_wait(caller, "COMMIT"), "ERR ABORTED");
	g_assert_true(world_reply_has_state(caller, "READY I"));
	world_run(world, SEC);
	g_assert_cmpuint(fake_member_count_commits(fake_db_primary(world->db), id), ==, 0);
	world_destroy(world);
}

/* The same with a COMMIT in flight: its outcome is unknown, so it must end in doubt. */
static void test_home_dies_with_a_commit(void)
{
	pool_world_t *world = create_world();
	world_caller_t *caller = begin_forwarded_tx(world, find_forwarding_proxy(world));

	world_send(caller, "COMMIT");
	world_run(world, 2 * MSEC);
	world_kill(world, index_of(world, helper_of(world, caller)));
	world_run(world, 900 * MSEC);
	assert_has_prefix(caller->reply, "ERR INDOUBT");
	g_assert_true(world_reply_has_state(caller, "READY I"));
	world_destroy(world);
}

/*
 * Guards against a transaction of which only the second write is kept: the home has restarted
 * between the two statements and has no record of the transaction.
 */
static void test_home_restarts_in_a_transaction(void)
{
	pool_world_t *world = create_world();
	world_caller_t *caller = begin_forwarded_tx(world, find_forwarding_proxy(world));
	size_t home = index_of(world, helper_of(world, caller));

	world_kill(world, home);
	world_start_proxy(world, home);
	world_run(world, SEC);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-2 a"), "ERR ABORTED");
	g_assert_cmpuint(count_runs(world, caller->id), ==, 0);
	world_destroy(world);
}

/* A caller that disconnects inside its transaction must free the home's connection at once. */
static void test_caller_disconnects_in_forwarded_tx(void)
{
	pool_world_t *world = create_world();
	world_caller_t *caller = begin_forwarded_tx(world, find_forwarding_proxy(world));

	g_assert_true(world_has_transaction(world));
	world_leave(caller);
	world_run(world, 20 * MSEC);
	g_assert_false(world_has_transaction(world));
	world_destroy(world);
}

/* If the caller's proxy dies, the idle time-out of transactions must free that connection. */
static void test_proxy_dies_in_forwarded_tx(void)
{
	pool_world_t *world = create_world();
	size_t origin = find_forwarding_proxy(world);

	begin_forwarded_tx(world, origin);
	world_kill(world, origin);
	world_run(world, 4 * SEC);
	g_assert_false(world_has_transaction(world));
	world_destroy(world);
}

/*
 * The home of a zone is frozen. Statements of the zone must be served by another home, once the
 * frozen one has sent nothing for 250 ms. When it resumes, its late results must be ignored.
 */
static void test_home_is_frozen(void)
{
	pool_world_t *world = world_create(FLEET, NULL);
	size_t origin = 0;
	world_caller_t *caller;
	size_t home = 0;

	world_wait_until_ready(world);
	while (strcmp(home_of(world, origin), world->nodes[origin].name) == 0)
		origin++;
	while (strcmp(home_of(world, origin), world->nodes[home].name) != 0)
		home++;
	caller = world_open_session_on(world, origin, "session");
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	world_freeze(world, home);
	assert_has_prefix(world_send_and_wait(caller, "READ job-1"), "ROW a");
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 b"), "DONE core-0");
	assert_has_prefix(world_send_and_wait(caller, "BEGIN"), "DONE -");
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 c"), "DONE core-0");
	assert_has_prefix(world_send_and_wait(caller, "COMMIT"), "DONE core-0");
	world_run(world, 3 * SEC);
	world_thaw(world, home);
	world_run(world, SEC);
	assert_has_prefix(world_send_and_wait(caller, "READ job-1"), "ROW c");
	g_assert_cmpstr(home_of(world, origin), ==, world->nodes[home].name);
	world_destroy(world);
}

/*
 * Guards against callers that are refused for as long as their proxy is cut off from the store and
 * from all other proxies, since they keep their sessions. The proxy must close idle sessions; their
 * clients reconnect through the load balancer, which sends them to a proxy that is ready.
 */
static void test_idle_sessions_are_closed(void)
{
	pool_world_t *world = world_create(3, NULL);
	world_caller_t *callers[3];

	world_wait_until_ready(world);
	for (size_t i = 0; i < 3; i++)
		callers[i] = world_open_session_on(world, i, "strict");
	world->nodes[0].kv.unreachable = true;
	world->nodes[0].cut_from_peers = true;
	world_run(world, 3 * SEC);
	g_assert_null(callers[0]->caller);
	g_assert_nonnull(callers[1]->caller);
	g_assert_nonnull(callers[2]->caller);
	world_destroy(world);
}

/* A proxy that shuts down must decline statements of others at once, not leave them unanswered. */
static void test_helper_shuts_down(void)
{
	pool_world_t *world = create_world();
	size_t origin = find_forwarding_proxy(world);
	world_caller_t *writer = world_open_session_on(world, origin, "strict");

	for (size_t i = 0; i < NODES; i++) {
		if (i != origin)
			pooler_drain(world->nodes[i].pooler);
	}
	world_send(writer, "WRITE job-1 a");
	world_run(world, 900 * MSEC);
	g_assert_cmpuint(writer->reply_count, ==, 1);
	g_assert_false(g_str_has_prefix(writer->reply, "ERR INDOUBT"));
	world_destroy(world);
}

/*
 * Guards against a delay of 250 ms at each proxy's next statement after a planned restart of the
 * home: the home declines statements during its shutdown, then exits, and each proxy has to detect
 * that by a time-out. The home must announce its shutdown in every message that it sends.
 */
static void test_home_shuts_down(void)
{
	pool_world_t *world = create_world();
	size_t origin = find_forwarding_proxy(world);
	world_caller_t *caller = world_open_session(world, origin);
	world_node_t *home;
	size_t at;

	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	home = helper_of(world, caller);
	at = (size_t)(home - world->nodes);
	pooler_drain(home->pooler);
	for (int i = 0; i < 30; i++) {
		world_send_and_wait(caller, "READ job-1");
		world_run(world, 100 * MSEC);
	}
	world_kill(world, at);
	world_run(world, 200 * MSEC);
	world_send(caller, "READ job-1");
	world_run(world, 60 * MSEC);
	assert_has_prefix(caller->reply, "ROW a");
	/* The restarted home must be used again. */
	world_start_proxy(world, at);
	world_run(world, 800 * MSEC);
	assert_has_prefix(world_send_and_wait(caller, "READ job-1"), "ROW a");
	g_assert_true(helper_of(world, caller) == home);
	world_destroy(world);
}

/*
 * Guards against refusals for lack of a connection during a rolling restart: a home that shuts down
 * keeps its connections for 2.4 s although no statements are forwarded to it any more, and the
 * member accepts none from the next home. The home must close its connections when they have been
 * idle briefly.
 */
static void test_leaving_home_closes_connections(void)
{
	pool_world_t *world = create_world();
	size_t origin = find_forwarding_proxy(world);
	world_caller_t *caller = world_open_session_on(world, origin, "strict");
	world_node_t *home;

	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	home = helper_of(world, caller);
	pooler_drain(home->pooler);
	world_send_and_wait(caller, "READ job-1");
	world_run(world, 400 * MSEC);
	g_assert_cmpuint(list_length(&home->links), ==, 0);
	world_send(caller, "READ job-1");
	world_run(world, 60 * MSEC);
	assert_has_prefix(caller->reply, "ROW a");
	world_destroy(world);
}

/*
 * Guards against a write that is refused as aborted and is committed all the same, so that a retry
 * takes effect twice. The write is in progress at the home when the caller's proxy reaches the end
 * of its grace time. The home goes on with the write, so its outcome is in doubt.
 */
static void test_shutdown_with_a_write_at_home(void)
{
	pool_world_t *world = create_world();
	size_t origin = find_forwarding_proxy(world);
	world_caller_t *caller = world_open_session_on(world, origin, "strict");

	fake_db_primary(world->db)->extra_service_time = 600 * MSEC;
	world->nodes[origin].pooler->config.grace = 500 * MSEC;
	world_send(caller, "WRITE job-1 a");
	world_run(world, 2 * MSEC);
	g_assert_cmpuint(caller->caller->forward_number, !=, 0);
	pooler_drain(world->nodes[origin].pooler);
	world_run(world, SEC);
	g_assert_cmpuint(fake_member_count_commits(fake_db_primary(world->db), caller->id), ==, 1);
	assert_has_prefix(caller->reply, "ERR INDOUBT");
	world_destroy(world);
}

/*
 * Guards against late statements when many homes shut down together. When 29 of 100 proxies did,
 * half of all statements were late for three seconds, since each other proxy detected each of these
 * homes by a statement that waited 250 ms. A proxy must announce its shutdown in every message;
 * for 2.3 s it still declines statements.
 */
static void test_home_leaves(void)
{
	pool_world_t *world = world_create(FLEET, NULL);
	size_t origin = 0;
	size_t home = 0;
	world_caller_t *caller;

	world_wait_until_ready(world);
	while (strcmp(home_of(world, origin), world->nodes[origin].name) == 0)
		origin++;
	while (strcmp(home_of(world, origin), world->nodes[home].name) != 0)
		home++;
	caller = world_open_session_on(world, origin, "session");
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	pooler_drain(world->nodes[home].pooler);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 b"), "DONE core-0");
	world_run(world, 2500 * MSEC);
	world_kill(world, home);
	world_send(caller, "WRITE job-1 c");
	world_run(world, 60 * MSEC);
	g_assert_cmpuint(caller->reply_count, ==, 3);
	assert_has_prefix(caller->reply, "DONE core-0");
	/* The process that replaces the stopped one must be a home again. */
	world_start_proxy(world, home);
	world_run(world, 2 * SEC);
	g_assert_cmpstr(home_of(world, origin), ==, world->nodes[home].name);
	world_destroy(world);
}

/*
 * Guards against the loss of a home's first result for a proxy: the home has no link to that proxy
 * yet, and the first attempt to send only makes the link. The caller would wait for the whole
 * time-out although the member has answered. The home must keep the result until the link is up.
 */
static void test_first_result_waits_for_its_link(void)
{
	pool_world_t *world = create_world();
	size_t origin = find_forwarding_proxy(world);
	world_caller_t *caller = world_open_session(world, origin);
	world_node_t *home;

	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	home = helper_of(world, caller);
	world->links_need_setup = true;
	for (size_t i = 0; i < NODES; i++) {
		for (size_t j = 0; j < NODES; j++)
			world->nodes[i].link_ready_at[j] = 1;
	}
	home->link_ready_at[origin] = 0;
	world_send(caller, "WRITE job-1 b");
	world_run(world, 60 * MSEC);
	g_assert_cmpuint(caller->reply_count, ==, 2);
	assert_has_prefix(caller->reply, "DONE core-0");
	world_destroy(world);
}

/*
 * Guards against a write that ends in doubt, and can't be retried, although it reached no member:
 * the home refuses the write in time, and the caller's proxy reads the refusal late.
 */
static void test_refusal_is_read_late(void)
{
	pool_world_t *world = create_world();
	size_t origin = find_forwarding_proxy(world);
	world_caller_t *writer = world_open_session_on(world, origin, "strict");
	const world_node_t *home;

	assert_has_prefix(world_send_and_wait(writer, "WRITE job-1 a"), "DONE");
	home = helper_of(world, writer);
	world->db->members[0].extra_service_time = 2 * SEC;
	for (int i = 0; i < 4; i++) {
		world_caller_t *other =
			world_open_session_on(world, (size_t)(home - world->nodes), "strict");

		world_send(other, "WRITE job-2 b");
	}
	world_run(world, 10 * MSEC);
	world_send(writer, "WRITE job-1 c");
	world_run(world, 700 * MSEC);
	world->nodes[origin].peer_delay = 100 * MSEC;
	world_run(world, 200 * MSEC);
	assert_has_prefix(writer->reply, "ERR BUSY");
	g_assert_cmpuint(count_runs(world, writer->id), ==, 0);
	world_destroy(world);
}

/*
 * Guards against a late result for an earlier process of the proxy that is taken as the answer to
 * another statement of the present process.
 */
static void test_result_for_an_earlier_process(void)
{
	pool_world_t *world = create_world();
	size_t origin = find_forwarding_proxy(world);
	world_caller_t *caller = world_open_session_on(world, origin, "strict");
	forward_result_t late = {
		.raw = {.at = "DONE core-0", .len = 11},
		.is_raw = true,
		.ok = true,
		.member = "core-0",
	};
	peer_message_t message = {.kind = PEER_FORWARD_RESULT, .result = &late};
	const world_node_t *home;

	world->db->members[0].extra_service_time = 1 * SEC;
	world_send(caller, "WRITE job-1 a");
	world_run(world, 10 * MSEC);
	late.number = caller->caller->forward_number;
	g_assert_cmpuint(late.number, !=, 0);
	world_kill(world, origin);
	world_start_proxy(world, origin);
	world_run(world, 2 * SEC);
	caller = world_open_session_on(world, origin, "strict");
	world_send(caller, "WRITE job-2 b");
	world_run(world, 10 * MSEC);
	home = helper_of(world, caller);
	message.from = home->name;
	message.address = home->address;
	message.incarnation = home->incarnation;
	pooler_on_message(world->nodes[origin].pooler, &message);
	g_assert_cmpuint(caller->reply_count, ==, 0);
	world_destroy(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/all-are-served", test_statements_of_all_are_served);
	g_test_add_func("/forward/helper-dies", test_helper_dies);
	g_test_add_func("/forward/answer-after-freeze", test_result_after_a_freeze);
	g_test_add_func("/forward/answer-after-permission", test_result_after_the_permission);
	g_test_add_func("/forward/other-configuration", test_helper_has_another_configuration);
	g_test_add_func("/forward/transactions", test_transactions);
	g_test_add_func("/forward/helper-shuts-down", test_helper_shuts_down);
	g_test_add_func("/forward/shutdown-with-a-write", test_shutdown_with_a_write_at_home);
	g_test_add_func("/home/dies-in-transaction", test_home_dies_in_a_transaction);
	g_test_add_func("/home/dies-with-commit", test_home_dies_with_a_commit);
	g_test_add_func("/home/restarts-in-transaction", test_home_restarts_in_a_transaction);
	g_test_add_func("/home/caller-leaves", test_caller_disconnects_in_forwarded_tx);
	g_test_add_func("/home/proxy-dies", test_proxy_dies_in_forwarded_tx);
	g_test_add_func("/home/shuts-down", test_home_shuts_down);
	g_test_add_func("/home/gives-back", test_leaving_home_closes_connections);
	g_test_add_func("/forward/refusal-is-read-late", test_refusal_is_read_late);
	g_test_add_func("/forward/result-for-the-process-before",
			test_result_for_an_earlier_process);
	g_test_add_func("/forward/first-result", test_first_result_waits_for_its_link);
	g_test_add_func("/home/leaves", test_home_leaves);
	g_test_add_func("/home/frozen", test_home_is_frozen);
	g_test_add_func("/home/sessions-let-go", test_idle_sessions_are_closed);
	return g_test_run();
}
