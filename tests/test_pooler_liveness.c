/*
 * Poolers with a manual clock: homes that are slow, whose links are being made, or that are dead,
 * and fleets of unequal machines that start together. Each test guards against the failure that its
 * comment describes.
 */
#include <string.h>

#include <glib.h>

#include "exchange.h"
#include "home.h"
#include "liveness.h"
#include "permit.h"
#include "pool_check.h"

#define FLEET 24
/* Processor shares in percent of a core. */
#define LARGE 50
#define SMALL 8

static service_t *service_of(pool_world_t *world, size_t node)
{
	return service_get(world->nodes[node].pooler, WORLD_SERVICE);
}

static const char *home_of(pool_world_t *world, size_t node)
{
	const roster_node_t *home =
		home_find(service_of(world, node), now_of(world->nodes[node].pooler));

	return home != NULL ? home->name : "";
}

static size_t index_of(const pool_world_t *world, const char *name)
{
	size_t at = 0;

	while (strcmp(world->nodes[at].name, name) != 0)
		at++;
	return at;
}

/* Returns a proxy that forwards to another one. */
static size_t find_origin(pool_world_t *world)
{
	size_t origin = 0;

	while (strcmp(home_of(world, origin), world->nodes[origin].name) == 0)
		origin++;
	return origin;
}

static pool_world_t *create_fleet(void)
{
	pool_world_t *world = world_create(FLEET, NULL);

	world_wait_until_ready(world);
	world_run(world, 2 * SEC);
	return world;
}

/* Runs the world and returns for how long the origin took the home for dead. */
static usec_t run_and_count_suspicion(pool_world_t *world, size_t origin, size_t home, usec_t by)
{
	const pooler_t *pooler = world->nodes[origin].pooler;
	usec_t suspect = 0;

	for (usec_t t = 0; t < by; t += MSEC) {
		world_run(world, MSEC);
		if (liveness_is_suspect(pooler, world->nodes[home].name, now_of(pooler)))
			suspect += MSEC;
	}
	return suspect;
}

/*
 * Guards against a home that is taken for dead while the links to it and back are being made: a
 * ping without a link was not repeated for 100 ms, and its answer was lost if there was no link
 * back.
 */
static void test_links_being_made(void)
{
	pool_world_t *world = create_fleet();
	size_t origin = find_origin(world);
	size_t home = index_of(world, home_of(world, origin));

	world->links_need_setup = true;
	for (size_t i = 0; i < FLEET; i++) {
		for (size_t j = 0; j < FLEET; j++)
			world->nodes[i].link_ready_at[j] = 1;
	}
	world->link_setup_time = 100 * MSEC;
	world->nodes[origin].link_ready_at[home] = 0;
	world->nodes[home].link_ready_at[origin] = 0;
	liveness_on_unsent(world->nodes[origin].pooler, world->nodes[home].name,
			   now_of(world->nodes[origin].pooler));
	g_assert_cmpuint(run_and_count_suspicion(world, origin, home, SEC), ==, 0);
	world_destroy(world);
}

/*
 * Guards against a home that answers slowly and is taken for dead, and against statements that wait
 * in its queue for longer than the time-out while it answers pings.
 */
static void test_slow_home(void)
{
	pool_world_t *world = create_fleet();
	size_t origin = find_origin(world);
	size_t home = index_of(world, home_of(world, origin));
	world_caller_t *caller = world_open_session_on(world, origin, "session");

	world->nodes[home].peer_delay = 150 * MSEC;
	for (int i = 0; i < 10; i++) {
		liveness_ping(world->nodes[origin].pooler, world->nodes[home].name,
			      now_of(world->nodes[origin].pooler));
		world_run(world, 400 * MSEC);
	}
	world->db->members[0].extra_service_time = 300 * MSEC;
	world_send(caller, "WRITE job-1 a");
	g_assert_cmpuint(run_and_count_suspicion(world, origin, home, 700 * MSEC), ==, 0);
	assert_has_prefix(caller->reply, "DONE");
	world_destroy(world);
}

/*
 * Guards against a dead home that is found later than before: callers of a zone wait for it until
 * then. A home with fast links within 250 ms and a tick, one that was slow within 400 ms and a
 * tick.
 */
static void test_dead_home_is_found_in_time(void)
{
	for (int slow = 0; slow < 2; slow++) {
		pool_world_t *world = create_fleet();
		size_t origin = find_origin(world);
		size_t home = index_of(world, home_of(world, origin));
		world_caller_t *caller = world_open_session_on(world, origin, "session");
		usec_t bound = (slow ? 400 : 250) * MSEC;

		world->nodes[home].peer_delay = slow ? 300 * MSEC : 0;
		for (int i = 0; i < 10; i++) {
			liveness_ping(world->nodes[origin].pooler, world->nodes[home].name,
				      now_of(world->nodes[origin].pooler));
			world_run(world, 400 * MSEC);
		}
		world_freeze(world, home);
		world_send(caller, "READ job-1");
		world_run(world, bound - MSEC);
		g_assert_cmpstr(home_of(world, origin), ==, world->nodes[home].name);
		world_run(world, 51 * MSEC);
		g_assert_cmpstr(home_of(world, origin), !=, world->nodes[home].name);
		world_run(world, 100 * MSEC);
		g_assert_cmpuint(caller->reply_count, ==, 1);
		world_destroy(world);
	}
}

/*
 * Guards against a service that waits without an end for a home which sends messages but receives
 * none: its messages counted as answers. There is no link to the home, or the messages are lost.
 */
static void test_one_way_link(void)
{
	for (int lost = 0; lost < 2; lost++) {
		pool_world_t *world = create_fleet();
		size_t origin = find_origin(world);
		size_t home = index_of(world, home_of(world, origin));
		const char *name = world->nodes[home].name;
		const pooler_t *sender = world->nodes[home].pooler;
		world_caller_t *caller = world_open_session_on(world, origin, "session");

		world->links_need_setup = true;
		for (size_t i = 0; i < FLEET; i++) {
			for (size_t j = 0; j < FLEET; j++)
				world->nodes[i].link_ready_at[j] = 1;
		}
		world->link_setup_time = 100 * SEC;
		if (lost)
			world->nodes[home].peer_delay = 100 * SEC;
		else
			world->nodes[origin].link_ready_at[home] = 0;
		world_send(caller, "READ job-1");
		for (int i = 0; i < 70; i++) {
			exchange_send_ping(sender, roster_find_node(sender->sync.roster,
								    world->nodes[origin].name));
			world_run(world, 10 * MSEC);
		}
		g_assert_cmpstr(home_of(world, origin), !=, name);
		g_assert_cmpuint(caller->reply_count, ==, 1);
		world_destroy(world);
	}
}

/*
 * Guards against a round trip of minutes after one lost ping, and against one measured long ago:
 * either made a dead home be found only after 400 ms.
 */
static void test_lost_ping(void)
{
	pool_world_t *world = create_fleet();
	size_t origin = find_origin(world);
	size_t home = index_of(world, home_of(world, origin));
	pooler_t *pooler = world->nodes[origin].pooler;
	const char *name = world->nodes[home].name;
	peer_report_t *report = exchange_get_report(pooler, name);

	world->nodes[home].cut_from_peers = true;
	liveness_ping(pooler, name, now_of(pooler));
	world_run(world, 10 * MSEC);
	world->nodes[home].cut_from_peers = false;
	liveness_on_received(pooler, name, 0, now_of(pooler));
	report->unread_since = 0;
	world_run(world, 40 * SEC);
	report->rtt = (rtt_t){0};
	liveness_ping(pooler, name, now_of(pooler));
	world_run(world, 100 * MSEC);
	g_assert_cmpuint(report->rtt.smoothed, >, 0);
	g_assert_cmpuint(report->rtt.smoothed, <=, 20 * MSEC);

	report->rtt.smoothed = 300 * MSEC;
	world_run(world, 31 * SEC);
	liveness_on_sent(pooler, name, now_of(pooler));
	g_assert_cmpuint(report->rtt.smoothed, <=, 20 * MSEC);
	world_destroy(world);
}

/* Guards against a dead peer to which a link is tried at each tick for ever. */
static void test_attempts_at_a_dead_peer(void)
{
	pool_world_t *world = create_fleet();
	size_t origin = find_origin(world);
	size_t home = index_of(world, home_of(world, origin));
	pooler_t *pooler = world->nodes[origin].pooler;
	const peer_report_t *report = exchange_get_report(pooler, world->nodes[home].name);

	world->links_need_setup = true;
	for (size_t i = 0; i < FLEET; i++) {
		for (size_t j = 0; j < FLEET; j++)
			world->nodes[i].link_ready_at[j] = 1;
	}
	world->link_setup_time = 100 * SEC;
	world->nodes[origin].link_ready_at[home] = 0;
	liveness_on_unsent(pooler, world->nodes[home].name, now_of(pooler));
	world_run(world, SEC);
	g_assert_true(liveness_is_suspect(pooler, world->nodes[home].name, now_of(pooler)));
	g_assert_cmpuint(report->unsent_count, >, 0);
	g_assert_cmpuint(report->unsent_count, <=, 10);
	world_destroy(world);
}

static void restart_all(pool_world_t *world)
{
	for (size_t i = 0; i < world->node_count; i++)
		world_kill(world, i);
	world_run(world, 500 * MSEC);
	for (size_t i = 0; i < world->node_count; i++) {
		memset(world->nodes[i].link_ready_at, 0, sizeof(world->nodes[i].link_ready_at));
		world_start_proxy(world, i);
	}
}

/* Records the home of each proxy, and returns how many of them have moved. */
static size_t count_moves(pool_world_t *world, char *homes[])
{
	size_t moves = 0;

	for (size_t i = 0; i < world->node_count; i++) {
		const char *home = home_of(world, i);

		if (home[0] == '\0' || g_strcmp0(home, homes[i]) == 0)
			continue;
		moves += homes[i] != NULL;
		g_free(homes[i]);
		homes[i] = g_strdup(home);
	}
	return moves;
}

/*
 * Guards against homes that move with each proxy that registers after a loss of power, and against
 * homes that are taken for dead because all make links to them at once. Each zone has two large
 * machines.
 */
static void test_unequal_fleet_starts_together(void)
{
	pool_world_t *world = world_create(WORLD_LARGE_FLEET, NULL);
	char *homes[WORLD_LARGE_FLEET] = {0};
	size_t moves = 0;

	for (size_t i = 0; i < world->node_count; i++)
		world->nodes[i].capacity = i < 6 ? LARGE : SMALL;
	world->links_need_setup = true;
	world->link_setup_time = 15 * MSEC;
	restart_all(world);
	world_run(world, 5 * SEC);
	restart_all(world);
	for (usec_t t = 0; t < SEC; t += MSEC) {
		world_run(world, MSEC);
		moves += count_moves(world, homes);
	}
	g_assert_cmpuint(moves, ==, 0);
	for (size_t i = 0; i < world->node_count; i++) {
		g_assert_cmpuint(index_of(world, homes[i]), <, 6);
		g_free(homes[i]);
	}
	world_destroy(world);
}

/*
 * Guards against callers of a process that has just started who wait for the links to their homes
 * after its registration: they are made meanwhile.
 */
static void test_links_are_made_ahead(void)
{
	pool_world_t *world = create_fleet();
	size_t origin = find_origin(world);
	pooler_t *pooler;
	world_caller_t *caller;
	usec_t registered;

	world->links_need_setup = true;
	for (size_t i = 0; i < FLEET; i++) {
		for (size_t j = 0; j < FLEET; j++)
			world->nodes[i].link_ready_at[j] = i != origin && j != origin;
	}
	world->link_setup_time = 30 * MSEC;
	world_kill(world, origin);
	world_start_proxy(world, origin);
	pooler = world->nodes[origin].pooler;
	caller = world_open_session_on(world, origin, "session");
	world_send(caller, "READ job-1");
	while (!permit_is_registered(pooler))
		world_run(world, MSEC);
	registered = now_of(pooler);
	while (caller->reply_count == 0)
		world_run(world, MSEC);
	g_test_message("%zu ms", (size_t)((now_of(pooler) - registered) / MSEC));
	g_assert_cmpuint(now_of(pooler) - registered, <=, 30 * MSEC);
	world_destroy(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/liveness/links-being-made", test_links_being_made);
	g_test_add_func("/liveness/slow-home", test_slow_home);
	g_test_add_func("/liveness/dead-home", test_dead_home_is_found_in_time);
	g_test_add_func("/liveness/one-way-link", test_one_way_link);
	g_test_add_func("/liveness/lost-ping", test_lost_ping);
	g_test_add_func("/liveness/attempts", test_attempts_at_a_dead_peer);
	g_test_add_func("/home/links-ahead", test_links_are_made_ahead);
	g_test_add_func("/home/start-together", test_unequal_fleet_starts_together);
	return g_test_run();
}
