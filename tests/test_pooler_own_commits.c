/*
 * Poolers with a manual clock: a session reads its own commits, also where its route moves between
 * two services and where a reply tells no position.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "home.h"
#include "pool_check.h"

/* Lag of the replicas, within max_age of the routes, so that they may serve reads all the while. */
#define LONG_LAG     SEC
#define SLOW_PRIMARY (40 * MSEC)
#define SMALL_FLEET  3
/* Size of a fleet in which only homes connect to members. */
#define FLEET 24
/* Commits at the first service before a test, so that its log is ahead of the second one's. */
#define COMMITS_AHEAD 40

static bool second_service_is_ready(pool_world_t *world)
{
	return world_count_permitted(world, WORLD_SECOND_SERVICE "-0") == world->node_count;
}

/* Sends the same write again and again, so that the proxies have samples of the primary. */
static void write_often(pool_world_t *world, world_caller_t *writer, usec_t by)
{
	usec_t end = clock_now(&world->clock.base) + by;

	while (clock_now(&world->clock.base) < end) {
		assert_has_prefix(world_send_and_wait(writer, "WRITE other x"), "DONE");
		world_run(world, 30 * MSEC);
	}
}

/* Has the replicas lag, and the primary answer so late that reads prefer them. */
static void prefer_lagging_replicas(fake_db_t *db)
{
	db->members[0].extra_service_time = SLOW_PRIMARY;
	for (size_t i = 1; i < db->config.members; i++)
		db->members[i].extra_lag = LONG_LAG;
}

/* Starts two services whose replicas lag. */
static pool_world_t *create_world(size_t nodes)
{
	pool_world_t *world = world_create(nodes, NULL);

	world_add_second_service(world);
	world_wait_until_ready(world);
	for (int i = 0; i < 100 && !second_service_is_ready(world); i++)
		world_run(world, 100 * MSEC);
	g_assert_true(second_service_is_ready(world));
	prefer_lagging_replicas(world->db);
	prefer_lagging_replicas(world->second_db);
	return world;
}

/* A world with two services, and sessions at one of its proxies. */
typedef struct setting {
	pool_world_t *world;
	world_caller_t *caller; /* on the route that moves */
	world_caller_t *writer; /* on the first service */
} setting_t;

/* Returns a proxy that is home of neither service. */
static size_t find_forwarding_proxy(pool_world_t *world)
{
	for (size_t i = 0; i < world->node_count; i++) {
		pooler_t *pooler = world->nodes[i].pooler;
		usec_t now = now_of(pooler);
		const char *first = home_find(service_get(pooler, WORLD_SERVICE), now)->name;
		const char *second =
			home_find(service_get(pooler, WORLD_SECOND_SERVICE), now)->name;

		if (strcmp(first, world->nodes[i].name) != 0 &&
		    strcmp(second, world->nodes[i].name) != 0)
			return i;
	}
	g_assert_not_reached();
}

/* In a large fleet the sessions are at a proxy that forwards their statements to homes. */
static setting_t create_setting(size_t nodes)
{
	setting_t setting = {.world = create_world(nodes)};
	size_t node = nodes == FLEET ? find_forwarding_proxy(setting.world) : 0;

	setting.writer = world_open_session_on(setting.world, node, "strict");
	setting.caller = world_open_session_on(setting.world, node, WORLD_MOVED_DATABASE);
	write_often(setting.world, setting.writer, COMMITS_AHEAD * 40 * MSEC);
	return setting;
}

/* Writes at the first service, then at the second one, and moves the route back. */
static void write_at_both_services(const setting_t *setting)
{
	assert_has_prefix(world_send_and_wait(setting->caller, "WRITE mine first"),
			  "DONE " WORLD_SERVICE "-0");
	world_move_route(setting->world, WORLD_SECOND_SERVICE);
	assert_has_prefix(world_send_and_wait(setting->caller, "WRITE mine second"),
			  "DONE " WORLD_SECOND_SERVICE "-0");
	/* The replicas get older positions, and a sample of the primary comes before the read. */
	write_often(setting->world, setting->writer, 300 * MSEC);
	world_move_route(setting->world, WORLD_SERVICE);
}

/* Guards against a session that misses its own write once its route went elsewhere and back. */
static void test_route_moves_and_returns(void)
{
	setting_t setting = create_setting(SMALL_FLEET);

	write_at_both_services(&setting);
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ROW first\r\n");
	world_move_route(setting.world, WORLD_SECOND_SERVICE);
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ROW second\r\n");
	world_destroy(setting.world);
}

/* The same for the reads of a transaction, whose member is chosen at its first statement. */
static void test_transaction_after_return(void)
{
	setting_t setting = create_setting(SMALL_FLEET);

	write_at_both_services(&setting);
	assert_has_prefix(world_send_and_wait(setting.caller, "BEGIN READ"), "DONE");
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ROW first\r\n");
	assert_has_prefix(world_send_and_wait(setting.caller, "COMMIT"), "DONE");
	world_destroy(setting.world);
}

/* Guards against a commit of a transaction whose position is lost when the route moves in it. */
static void test_route_moves_in_transaction(void)
{
	setting_t setting = create_setting(SMALL_FLEET);

	assert_has_prefix(world_send_and_wait(setting.caller, "BEGIN"), "DONE");
	assert_has_prefix(world_send_and_wait(setting.caller, "WRITE mine first"),
			  "DONE " WORLD_SERVICE "-0");
	world_move_route(setting.world, WORLD_SECOND_SERVICE);
	assert_has_prefix(world_send_and_wait(setting.caller, "COMMIT"),
			  "DONE " WORLD_SERVICE "-0");
	assert_has_prefix(world_send_and_wait(setting.caller, "WRITE mine second"),
			  "DONE " WORLD_SECOND_SERVICE "-0");
	write_often(setting.world, setting.writer, 300 * MSEC);
	world_move_route(setting.world, WORLD_SERVICE);
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ROW first\r\n");
	world_destroy(setting.world);
}

/* Guards against a session that misses its own write once its service was removed and is back. */
static void test_service_is_removed_and_returns(void)
{
	setting_t setting = create_setting(SMALL_FLEET);

	assert_has_prefix(world_send_and_wait(setting.caller, "WRITE mine first"),
			  "DONE " WORLD_SERVICE "-0");
	world_move_route(setting.world, NULL);
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ERR NODB");
	world_move_route(setting.world, WORLD_SECOND_SERVICE);
	assert_has_prefix(world_send_and_wait(setting.caller, "WRITE mine second"),
			  "DONE " WORLD_SECOND_SERVICE "-0");
	world_move_route(setting.world, NULL);
	write_often(setting.world, setting.writer, 300 * MSEC);
	world_move_route(setting.world, WORLD_SERVICE);
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ROW first\r\n");
	world_destroy(setting.world);
}

/* Guards against a home that compares its replicas with the commit at another service. */
static void test_home_after_return(void)
{
	setting_t setting = create_setting(FLEET);

	write_at_both_services(&setting);
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ROW first\r\n");
	g_assert_nonnull(setting.caller->caller->helper);
	world_move_route(setting.world, WORLD_SECOND_SERVICE);
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ROW second\r\n");
	world_destroy(setting.world);
}

/*
 * Guards against a transaction that its home runs at another service than the one for which it was
 * begun: its commit would count for the log of the wrong service.
 */
static void test_route_moves_before_home_is_asked(void)
{
	setting_t setting = create_setting(FLEET);

	assert_has_prefix(world_send_and_wait(setting.caller, "BEGIN"), "DONE");
	world_move_route(setting.world, WORLD_SECOND_SERVICE);
	assert_has_prefix(world_send_and_wait(setting.caller, "WRITE mine first"),
			  "DONE " WORLD_SERVICE "-0");
	assert_has_prefix(world_send_and_wait(setting.caller, "COMMIT"),
			  "DONE " WORLD_SERVICE "-0");
	assert_has_prefix(world_send_and_wait(setting.caller, "WRITE mine second"),
			  "DONE " WORLD_SECOND_SERVICE "-0");
	write_often(setting.world, setting.writer, 300 * MSEC);
	world_move_route(setting.world, WORLD_SERVICE);
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ROW first\r\n");
	world_destroy(setting.world);
}

/* Guards against a session that misses its own write since the reply to it told no position. */
static void test_commit_without_position(void)
{
	setting_t setting = create_setting(SMALL_FLEET);
	fake_member_t *primary = &setting.world->db->members[0];

	primary->hides_position = true;
	assert_has_prefix(world_send_and_wait(setting.caller, "WRITE mine first"),
			  "DONE " WORLD_SERVICE "-0");
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ROW first\r\n");
	primary->hides_position = false;
	/* Samples of the primary that are taken now cover the commit. */
	write_often(setting.world, setting.writer, 300 * MSEC);
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ROW first\r\n");
	world_destroy(setting.world);
}

/* The same where a home runs the read. */
static void test_commit_without_position_at_home(void)
{
	setting_t setting = create_setting(FLEET);

	setting.world->db->members[0].hides_position = true;
	assert_has_prefix(world_send_and_wait(setting.caller, "WRITE mine first"),
			  "DONE " WORLD_SERVICE "-0");
	assert_has_prefix(world_send_and_wait(setting.caller, "READ mine"), "ROW first\r\n");
	g_assert_nonnull(setting.caller->caller->helper);
	world_destroy(setting.world);
}

/* --- random moves --- */

/* Seeds that are played by default; OWN_COMMITS_SEED and OWN_COMMITS_SEEDS choose others. */
#define FIRST_SEED    1
#define DEFAULT_SEEDS 8
#define SESSIONS      5
#define STEPS	      150
/* One in so many plays has a fleet with homes. */
#define HOMES_ONE_IN 4

typedef struct random_session {
	world_caller_t *caller;
	world_caller_t *writer; /* at the same proxy, to bring samples of the primary */
	char item[16];
	unsigned count; /* writes so far */
	/* Its last acknowledged write at each service; "none": none; "": not known. */
	char own[2][16];
} random_session_t;

typedef struct random_play {
	pool_world_t *world;
	GRand *rand;
	uint32_t seed;
	random_session_t sessions[SESSIONS];
	size_t reads; /* that were checked */
} random_play_t;

static bool one_in(random_play_t *play, int n)
{
	return g_rand_int_range(play->rand, 0, n) == 0;
}

/* Returns the service whose member signed the reply, 0 or 1; -1: none did. */
static int service_of_reply(const char *reply)
{
	if (strstr(reply, "DONE " WORLD_SERVICE "-") != NULL)
		return 0;
	return strstr(reply, "DONE " WORLD_SECOND_SERVICE "-") != NULL ? 1 : -1;
}

static void move_at_random(random_play_t *play)
{
	static const char *const services[] = {WORLD_SERVICE, WORLD_SECOND_SERVICE};

	world_move_route(play->world,
			 one_in(play, 12) ? NULL : services[g_rand_int_range(play->rand, 0, 2)]);
}

static void lag_at_random(random_play_t *play)
{
	usec_t lag = (usec_t)g_rand_int_range(play->rand, 0, 1400) * MSEC;

	for (size_t i = 1; i < play->world->db->config.members; i++) {
		play->world->db->members[i].extra_lag = lag;
		play->world->second_db->members[i].extra_lag = lag;
	}
}

/* Notes the write of that value once the reply to it, or to its COMMIT, is there. */
static void note_write(random_session_t *session, const char *reply, const char *value)
{
	int service = service_of_reply(reply);

	if (service >= 0)
		g_strlcpy(session->own[service], value, sizeof(session->own[service]));
	else if (g_str_has_prefix(reply, "ERR INDOUBT"))
		session->own[0][0] = session->own[1][0] = '\0';
}

static void check_read(random_play_t *play, const random_session_t *session, const char *reply)
{
	int service = service_of_reply(reply);
	char expected[32];

	if (service < 0 || session->own[service][0] == '\0')
		return;
	play->reads++;
	g_snprintf(expected, sizeof(expected), "ROW %s\r\n", session->own[service]);
	if (!g_str_has_prefix(reply, expected))
		g_error("seed %u: a session that wrote %s reads %s", play->seed,
			session->own[service], reply);
}

static void run_write(random_play_t *play, random_session_t *session, bool in_transaction)
{
	char value[16];
	char text[48];

	g_snprintf(value, sizeof(value), "v%u", ++session->count);
	g_snprintf(text, sizeof(text), "WRITE %s %s", session->item, value);
	/* Refused if the database has no route; what follows would not be a transaction. */
	if (in_transaction &&
	    !g_str_has_prefix(world_send_and_wait(session->caller, "BEGIN"), "DONE"))
		return;
	if (in_transaction && one_in(play, 3))
		move_at_random(play);
	world_send_and_wait(session->caller, text);
	if (in_transaction && one_in(play, 3))
		move_at_random(play);
	note_write(session,
		   in_transaction ? world_send_and_wait(session->caller, "COMMIT")
				  : session->caller->reply,
		   value);
}

static void run_read(random_play_t *play, random_session_t *session, bool in_transaction)
{
	char text[48];

	g_snprintf(text, sizeof(text), "READ %s", session->item);
	if (in_transaction)
		world_send_and_wait(session->caller, "BEGIN READ");
	check_read(play, session, world_send_and_wait(session->caller, text));
	if (in_transaction)
		world_send_and_wait(session->caller, "COMMIT");
}

static void run_step(random_play_t *play)
{
	random_session_t *session = &play->sessions[g_rand_int_range(play->rand, 0, SESSIONS)];

	if (play->world->moved_route == NULL || one_in(play, 8))
		move_at_random(play);
	if (one_in(play, 15))
		lag_at_random(play);
	world_send_and_wait(session->writer, "WRITE other x");
	if (one_in(play, 3))
		run_write(play, session, one_in(play, 3));
	else
		run_read(play, session, one_in(play, 3));
	world_run(play->world, (usec_t)g_rand_int_range(play->rand, 0, 60) * MSEC);
}

static void open_sessions(random_play_t *play)
{
	for (size_t i = 0; i < SESSIONS; i++) {
		random_session_t *session = &play->sessions[i];
		size_t node =
			(size_t)g_rand_int_range(play->rand, 0, (gint32)play->world->node_count);

		session->caller = world_open_session_on(play->world, node, WORLD_MOVED_DATABASE);
		session->writer = world_open_session_on(play->world, node, "strict");
		g_snprintf(session->item, sizeof(session->item), "mine-%zu", i);
		g_strlcpy(session->own[0], "none", sizeof(session->own[0]));
		g_strlcpy(session->own[1], "none", sizeof(session->own[1]));
	}
}

static void play_random_moves(uint32_t seed)
{
	random_play_t play = {.seed = seed, .rand = g_rand_new_with_seed(seed)};

	play.world = create_world(one_in(&play, HOMES_ONE_IN) ? FLEET : SMALL_FLEET);
	open_sessions(&play);
	for (int i = 0; i < COMMITS_AHEAD; i++)
		world_send_and_wait(play.sessions[0].writer, "WRITE other x");
	for (int i = 0; i < STEPS; i++)
		run_step(&play);
	/* Most steps are reads, and few of them are refused. */
	g_assert_cmpuint(play.reads, >, STEPS / 3);
	g_rand_free(play.rand);
	world_destroy(play.world);
}

static uint32_t number_from_environment(const char *name, uint32_t otherwise)
{
	const char *text = g_getenv(name);

	return text != NULL ? (uint32_t)strtoul(text, NULL, 10) : otherwise;
}

/*
 * Guards against reads that miss a session's own write, in sessions whose route moves at random
 * between two services and away while replicas lag, with transactions, at homes and without.
 */
static void test_random_moves(void)
{
	uint32_t first = number_from_environment("OWN_COMMITS_SEED", FIRST_SEED);
	uint32_t count = number_from_environment("OWN_COMMITS_SEEDS", DEFAULT_SEEDS);

	for (uint32_t i = 0; i < count; i++)
		play_random_moves(first + i);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/moved-route/returns", test_route_moves_and_returns);
	g_test_add_func("/moved-route/transaction", test_transaction_after_return);
	g_test_add_func("/moved-route/moves-in-transaction", test_route_moves_in_transaction);
	g_test_add_func("/moved-route/service-returns", test_service_is_removed_and_returns);
	g_test_add_func("/moved-route/home", test_home_after_return);
	g_test_add_func("/moved-route/moves-before-home-is-asked",
			test_route_moves_before_home_is_asked);
	g_test_add_func("/no-position/member", test_commit_without_position);
	g_test_add_func("/no-position/home", test_commit_without_position_at_home);
	g_test_add_func("/moved-route/seeds", test_random_moves);
	return g_test_run();
}
