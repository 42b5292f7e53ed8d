/*
 * Poolers in paused time whose members take fewer connections than there are proxies: statements
 * and transactions that a home runs for others. Each test opens with what the caller sees, what
 * happens, and why.
 */
#include <string.h>

#include <glib.h>

#include "adopt.h"
#include "forward.h"
#include "home.h"
#include "pool_check.h"
#include "sync.h"

#define NODES 6
/* A fleet whose members take connections of homes only. */
#define FLEET 24

/* One member that takes two connections, before six proxies. */
static const fake_db_config_t scarce = {
	.service = WORLD_SERVICE,
	.members = 1,
	.slots = 2,
	.max_connections = 2,
	.work = 4 * MSEC,
	.open = 12 * MSEC,
	.promote = 1000 * MSEC,
};

/* The proxy that holds the connections for this one; itself, if it is the home. */
static const char *home_of(pool_world_t *world, size_t node)
{
	pooler_t *pooler = world->nodes[node].pooler;

	return home_find(service_get(pooler, WORLD_SERVICE), now_of(pooler))->name;
}

/* A proxy that is not its own home. */
static size_t find_away(pool_world_t *world)
{
	for (size_t i = 0; i < NODES; i++) {
		if (strcmp(home_of(world, i), world->nodes[i].name) != 0)
			return i;
	}
	g_assert_not_reached();
}

static pool_world_t *make_scarce(void)
{
	pool_world_t *world = world_create(NODES, &scarce);

	world_wait_until_ready(world);
	return world;
}

/* True if that statement of the proxy of that name is in progress at this one. */
static bool runs_for(const pooler_t *pooler, const char *name, uint64_t number)
{
	list_for_each (it, &pooler->callers) {
		const caller_t *caller = list_entry(it, caller_t, node);

		if (caller->job != NULL && caller->job->number == number &&
		    strcmp(caller->job->from, name) == 0)
			return true;
	}
	return false;
}

/* The proxy that the caller's statement was handed to. */
static world_node_t *helper_of(pool_world_t *world, const world_caller_t *caller)
{
	for (size_t i = 0; i < NODES; i++) {
		if (g_strcmp0(world->nodes[i].name, caller->caller->helper) == 0)
			return &world->nodes[i];
	}
	g_assert_not_reached();
}

/*
 * What callers see: those of four proxies of six are refused, though the member is idle. What
 * happens: it takes two connections. Why it suffices that the two proxies that have one run the
 * statements of the others: they do so with the caller's own values, names and commits.
 */
static void test_statements_of_all_are_served(void)
{
	pool_world_t *world = make_scarce();
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
 * What the caller sees: its write is in doubt, its read is answered. What happens: the proxy that
 * runs them dies. Why the write is not sent again: it may have been committed.
 */
static void test_helper_dies(void)
{
	pool_world_t *world = make_scarce();
	size_t away = find_away(world);
	world_caller_t *writer = world_open_session_on(world, away, "strict");
	world_caller_t *reader = world_open_session_on(world, away, "strict");
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
 * What the caller must not see: a success of a write that the next primary does not have. What
 * happens: the answer comes after our proxy was frozen, while the permission it knew has ended.
 */
static void test_answer_after_a_freeze(void)
{
	pool_world_t *world = make_scarce();
	size_t away = find_away(world);
	world_caller_t *writer = world_open_session_on(world, away, "strict");

	world_send(writer, "WRITE job-1 a");
	world_run(world, 2 * MSEC);
	g_assert_cmpuint(writer->caller->forward_number, !=, 0);
	world_freeze(world, away);
	world_run(world, 14 * SEC);
	world_thaw(world, away);
	world_run(world, 100 * MSEC);
	assert_has_prefix(writer->reply, "ERR INDOUBT");
	world_destroy(world);
}

/*
 * The same when our proxy has only heard that the primary is about to change: the proxy that ran
 * the write had not, but our caller would find out too late.
 */
static void test_answer_after_the_permission(void)
{
	pool_world_t *world = make_scarce();
	size_t away = find_away(world);
	pooler_t *pooler = world->nodes[away].pooler;
	world_caller_t *writer = world_open_session_on(world, away, "strict");
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
 * What the caller must not see: its statement handled by an older configuration than the one
 * before. What happens: the proxy that could help has not heard of the newest one yet.
 */
static void test_helper_has_another_configuration(void)
{
	pool_world_t *world = make_scarce();
	size_t away = find_away(world);
	world_caller_t *reader = world_open_session_on(world, away, "strict");
	uint64_t number;

	world->nodes[away].pooler->routes->version++;
	world_send(reader, "READ job-1");
	number = reader->caller->forward_number;
	g_assert_cmpuint(number, !=, 0);
	for (size_t step = 0; step < 40; step++) {
		world_run(world, MSEC / 2);
		for (size_t i = 0; i < NODES; i++)
			g_assert_false(
				runs_for(world->nodes[i].pooler, world->nodes[away].name, number));
	}
	world_destroy(world);
}

/*
 * What callers see: transactions at five proxies of six are refused for as long as the fleet is
 * that large. What happens: the member takes two connections. Why it suffices that the home keeps
 * one for the whole transaction: its pauses are short.
 */
static void test_transactions(void)
{
	pool_world_t *world = make_scarce();

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

/* A transaction of a proxy that is not its own home, with one write made. */
static world_caller_t *begin_away(pool_world_t *world, size_t away)
{
	world_caller_t *caller = world_open_session_on(world, away, "strict");

	assert_has_prefix(world_send_and_wait(caller, "BEGIN"), "DONE -");
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	g_assert_true(world_reply_has_state(caller, "READY T"));
	return caller;
}

/*
 * What the caller sees: its transaction is aborted, with the promise that nothing is kept. What
 * happens: the home that has it dies. Why the promise is true: the home's connection to the member
 * ended with it, and nobody has asked for a commit.
 */
static void test_home_dies_in_a_transaction(void)
{
	pool_world_t *world = make_scarce();
	world_caller_t *caller = begin_away(world, find_away(world));
	char id[40];

	g_strlcpy(id, caller->id, sizeof(id));
	world_kill(world, index_of(world, helper_of(world, caller)));
	world_send(caller, "WRITE job-2 a");
	world_run(world, 900 * MSEC);
	assert_has_prefix(caller->reply, "ERR ABORTED");
	assert_has_prefix(world_send_and_wait(caller, "COMMIT"), "ERR ABORTED");
	g_assert_true(world_reply_has_state(caller, "READY I"));
	world_run(world, SEC);
	g_assert_cmpuint(fake_count(fake_leader(world->db), id), ==, 0);
	world_destroy(world);
}

/* The same with the commit under way: whether it was carried out is not known. */
static void test_home_dies_with_a_commit(void)
{
	pool_world_t *world = make_scarce();
	world_caller_t *caller = begin_away(world, find_away(world));

	world_send(caller, "COMMIT");
	world_run(world, 2 * MSEC);
	world_kill(world, index_of(world, helper_of(world, caller)));
	world_run(world, 900 * MSEC);
	assert_has_prefix(caller->reply, "ERR INDOUBT");
	g_assert_true(world_reply_has_state(caller, "READY I"));
	world_destroy(world);
}

/*
 * What the caller must not see: its second write alone in the database. What happens: the home has
 * started anew between two statements of the transaction, and knows nothing of the first.
 */
static void test_home_restarts_in_a_transaction(void)
{
	pool_world_t *world = make_scarce();
	world_caller_t *caller = begin_away(world, find_away(world));
	size_t home = index_of(world, helper_of(world, caller));

	world_kill(world, home);
	world_start_proxy(world, home);
	world_run(world, SEC);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-2 a"), "ERR ABORTED");
	g_assert_cmpuint(count_runs(world, caller->id), ==, 0);
	world_destroy(world);
}

/* A caller that leaves in the middle of its transaction frees the home's connection at once. */
static void test_caller_leaves_its_home(void)
{
	pool_world_t *world = make_scarce();
	world_caller_t *caller = begin_away(world, find_away(world));

	g_assert_true(world_has_transaction(world));
	world_leave(caller);
	world_run(world, 20 * MSEC);
	g_assert_false(world_has_transaction(world));
	world_destroy(world);
}

/* So does the death of its proxy, within the limit for idle transactions. */
static void test_proxy_dies_away_from_home(void)
{
	pool_world_t *world = make_scarce();
	size_t away = find_away(world);

	begin_away(world, away);
	world_kill(world, away);
	world_run(world, 4 * SEC);
	g_assert_false(world_has_transaction(world));
	world_destroy(world);
}

/*
 * What callers see: reads and transactions of one zone take longer for a moment. What happens: the
 * zone's home is frozen. Why they are served all the same: it is passed over after 250 ms without a
 * sign of it, and once it is awake its late answers are nobody's.
 */
static void test_home_is_frozen(void)
{
	pool_world_t *world = world_create(FLEET, NULL);
	size_t away = 0;
	world_caller_t *caller;
	size_t home = 0;

	world_wait_until_ready(world);
	while (strcmp(home_of(world, away), world->nodes[away].name) == 0)
		away++;
	while (strcmp(home_of(world, away), world->nodes[home].name) != 0)
		home++;
	caller = world_open_session_on(world, away, "session");
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
	g_assert_cmpstr(home_of(world, away), ==, world->nodes[home].name);
	world_destroy(world);
}

/*
 * What the callers of a proxy see that is cut off from everybody: for as long as that lasts they
 * are refused, one after the other, since they keep their sessions. Why it suffices to close those
 * that rest: their clients come back through the balancer, which knows who is ready.
 */
static void test_sessions_are_let_go(void)
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

/* A proxy that shuts down takes no statements of others; who asked is not kept waiting. */
static void test_helper_shuts_down(void)
{
	pool_world_t *world = make_scarce();
	size_t away = find_away(world);
	world_caller_t *writer = world_open_session_on(world, away, "strict");

	for (size_t i = 0; i < NODES; i++) {
		if (i != away)
			pooler_drain(world->nodes[i].pooler);
	}
	world_send(writer, "WRITE job-1 a");
	world_run(world, 900 * MSEC);
	g_assert_cmpuint(writer->reply_count, ==, 1);
	g_assert_false(g_str_has_prefix(writer->reply, "ERR INDOUBT"));
	world_destroy(world);
}

/*
 * What callers see: after a planned restart of the home each proxy's next statement waits for 250
 * ms. What happens: the home has declined statements while it shut down, then its process ended,
 * and every proxy finds that out for itself. Why it suffices that the home says so with what it
 * sends: whoever hands it statements hears from it in that time.
 */
static void test_home_shuts_down(void)
{
	pool_world_t *world = make_scarce();
	size_t away = find_away(world);
	world_caller_t *caller = world_open_session(world, away);
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
	/* Its next process is used again. */
	world_start_proxy(world, at);
	world_run(world, 800 * MSEC);
	assert_has_prefix(world_send_and_wait(caller, "READ job-1"), "ROW a");
	g_assert_true(helper_of(world, caller) == home);
	world_destroy(world);
}

/*
 * What callers see: while proxies are restarted one after the other, refusals that no connection
 * came free in time. What happens: a home that shuts down keeps its connections for 2.4 s though
 * it is handed nothing any more, and the member takes none of the next home. Why they can go after
 * a short rest: only its own last callers still use them.
 */
static void test_leaving_home_gives_back_connections(void)
{
	pool_world_t *world = make_scarce();
	size_t away = find_away(world);
	world_caller_t *caller = world_open_session_on(world, away, "strict");
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
 * What the caller sees: its write is refused as aborted, a promise that nothing is kept, and yet it
 * is committed; sent again, it takes effect twice. What happens: the write is in progress at the
 * proxy's home when the proxy comes to the end of its grace and refuses what is unanswered. Why in
 * doubt: the home goes on with the statement, as a member would.
 */
static void test_shutdown_with_a_write_at_home(void)
{
	pool_world_t *world = make_scarce();
	size_t away = find_away(world);
	world_caller_t *caller = world_open_session_on(world, away, "strict");

	fake_leader(world->db)->slow = 600 * MSEC;
	world->nodes[away].pooler->config.grace = 500 * MSEC;
	world_send(caller, "WRITE job-1 a");
	world_run(world, 2 * MSEC);
	g_assert_cmpuint(caller->caller->forward_number, !=, 0);
	pooler_drain(world->nodes[away].pooler);
	world_run(world, SEC);
	g_assert_cmpuint(fake_count(fake_leader(world->db), caller->id), ==, 1);
	assert_has_prefix(caller->reply, "ERR INDOUBT");
	world_destroy(world);
}

/*
 * What callers see: of 100 proxies 29 shut down together, and for three seconds half of all
 * statements are late. What happens: each of the others finds out for each of these homes that it
 * does not answer, by a statement that waits 250 ms. Why it is enough that a proxy that shuts down
 * says so with whatever it sends: for 2.3 s it still answers that it takes no more statements.
 */
static void test_home_leaves(void)
{
	pool_world_t *world = world_create(FLEET, NULL);
	size_t away = 0;
	size_t home = 0;
	world_caller_t *caller;

	world_wait_until_ready(world);
	while (strcmp(home_of(world, away), world->nodes[away].name) == 0)
		away++;
	while (strcmp(home_of(world, away), world->nodes[home].name) != 0)
		home++;
	caller = world_open_session_on(world, away, "session");
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	pooler_drain(world->nodes[home].pooler);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 b"), "DONE core-0");
	world_run(world, 2500 * MSEC);
	world_kill(world, home);
	world_send(caller, "WRITE job-1 c");
	world_run(world, 60 * MSEC);
	g_assert_cmpuint(caller->reply_count, ==, 3);
	assert_has_prefix(caller->reply, "DONE core-0");
	/* The process that takes its place is a home again. */
	world_start_proxy(world, home);
	world_run(world, 2 * SEC);
	g_assert_cmpstr(home_of(world, away), ==, world->nodes[home].name);
	world_destroy(world);
}

/*
 * What callers see: a write in doubt, a read refused, after the whole time-out, though the member
 * has answered. What happens: the home has never sent anything to this proxy; it has no link for
 * the result yet, which is made by the first try. Why it is enough to keep the result for some ms:
 * by then there is a link, or the proxy is gone.
 */
static void test_first_result_waits_for_its_link(void)
{
	pool_world_t *world = make_scarce();
	size_t away = find_away(world);
	world_caller_t *caller = world_open_session(world, away);
	world_node_t *home;

	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	home = helper_of(world, caller);
	world->links_need_setup = true;
	for (size_t i = 0; i < NODES; i++) {
		for (size_t j = 0; j < NODES; j++)
			world->nodes[i].link_ready_at[j] = 1;
	}
	home->link_ready_at[away] = 0;
	world_send(caller, "WRITE job-1 b");
	world_run(world, 60 * MSEC);
	g_assert_cmpuint(caller->reply_count, ==, 2);
	assert_has_prefix(caller->reply, "DONE core-0");
	world_destroy(world);
}

/*
 * Guards against a write in doubt, which its caller can't try again, though no member has seen it:
 * the home refused it in time, and our proxy was late to read that.
 */
static void test_refusal_is_read_late(void)
{
	pool_world_t *world = make_scarce();
	size_t away = find_away(world);
	world_caller_t *writer = world_open_session_on(world, away, "strict");
	const world_node_t *home;

	assert_has_prefix(world_send_and_wait(writer, "WRITE job-1 a"), "DONE");
	home = helper_of(world, writer);
	world->db->members[0].slow = 2 * SEC;
	for (int i = 0; i < 4; i++) {
		world_caller_t *other =
			world_open_session_on(world, (size_t)(home - world->nodes), "strict");

		world_send(other, "WRITE job-2 b");
	}
	world_run(world, 10 * MSEC);
	world_send(writer, "WRITE job-1 c");
	world_run(world, 700 * MSEC);
	world->nodes[away].peer_delay = 100 * MSEC;
	world_run(world, 200 * MSEC);
	assert_has_prefix(writer->reply, "ERR BUSY");
	g_assert_cmpuint(count_runs(world, writer->id), ==, 0);
	world_destroy(world);
}

/* A late result for the process of before answers another statement of the one that follows it. */
static void test_result_for_the_process_before(void)
{
	pool_world_t *world = make_scarce();
	size_t away = find_away(world);
	world_caller_t *caller = world_open_session_on(world, away, "strict");
	forward_result_t late = {
		.raw = {.at = "DONE core-0", .len = 11},
		.is_raw = true,
		.ok = true,
		.member = "core-0",
	};
	peer_message_t message = {.kind = PEER_RESULT, .result = &late};
	const world_node_t *home;

	world->db->members[0].slow = 1 * SEC;
	world_send(caller, "WRITE job-1 a");
	world_run(world, 10 * MSEC);
	late.number = caller->caller->forward_number;
	g_assert_cmpuint(late.number, !=, 0);
	world_kill(world, away);
	world_start_proxy(world, away);
	world_run(world, 2 * SEC);
	caller = world_open_session_on(world, away, "strict");
	world_send(caller, "WRITE job-2 b");
	world_run(world, 10 * MSEC);
	home = helper_of(world, caller);
	message.from = home->name;
	message.address = home->address;
	message.incarnation = home->incarnation;
	pooler_on_message(world->nodes[away].pooler, &message);
	g_assert_cmpuint(caller->reply_count, ==, 0);
	world_destroy(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/all-are-served", test_statements_of_all_are_served);
	g_test_add_func("/forward/helper-dies", test_helper_dies);
	g_test_add_func("/forward/answer-after-freeze", test_answer_after_a_freeze);
	g_test_add_func("/forward/answer-after-permission", test_answer_after_the_permission);
	g_test_add_func("/forward/other-configuration", test_helper_has_another_configuration);
	g_test_add_func("/forward/transactions", test_transactions);
	g_test_add_func("/forward/helper-shuts-down", test_helper_shuts_down);
	g_test_add_func("/forward/shutdown-with-a-write", test_shutdown_with_a_write_at_home);
	g_test_add_func("/home/dies-in-transaction", test_home_dies_in_a_transaction);
	g_test_add_func("/home/dies-with-commit", test_home_dies_with_a_commit);
	g_test_add_func("/home/restarts-in-transaction", test_home_restarts_in_a_transaction);
	g_test_add_func("/home/caller-leaves", test_caller_leaves_its_home);
	g_test_add_func("/home/proxy-dies", test_proxy_dies_away_from_home);
	g_test_add_func("/home/shuts-down", test_home_shuts_down);
	g_test_add_func("/home/gives-back", test_leaving_home_gives_back_connections);
	g_test_add_func("/forward/refusal-is-read-late", test_refusal_is_read_late);
	g_test_add_func("/forward/result-for-the-process-before",
			test_result_for_the_process_before);
	g_test_add_func("/forward/first-result", test_first_result_waits_for_its_link);
	g_test_add_func("/home/leaves", test_home_leaves);
	g_test_add_func("/home/frozen", test_home_is_frozen);
	g_test_add_func("/home/sessions-let-go", test_sessions_are_let_go);
	return g_test_run();
}
