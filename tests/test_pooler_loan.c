/*
 * Poolers with a manual clock whose homes lend each other room at the members. Each test plays an
 * uneven load and checks what callers get, or who may use what.
 */
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "counter.h"
#include "home.h"
#include "loan.h"
#include "pool_check.h"
#include "room.h"
#include "state.h"

/* Size of a fleet in which only homes connect to members; every third proxy is in zone a. */
#define FLEET 24
#define ZONES 3

/* One member with four slots and a capacity of 266 statements per second, of which a home's part is
 * 89. */
static const fake_db_config_t one_member = {
	.service = WORLD_SERVICE,
	.members = 1,
	.slots = 4,
	.max_connections = 36,
	.service_time = 15 * MSEC,
	.connect_time = 12 * MSEC,
	.promote_delay = 1000 * MSEC,
};
/* Between two statements: at the home's part, at 2.5 times that, and at more than the member's. */
#define PART_INTERVAL	  (11 * MSEC)
#define HEAVY_INTERVAL	  ((usec_t)4500)
#define OVERLOAD_INTERVAL (3 * MSEC)

typedef struct sent {
	world_caller_t *caller;
	usec_t sent_at;
	size_t zone;
	usec_t took; /* 0: not answered yet */
} sent_t;

typedef struct load {
	pool_world_t *world;
	sent_t *sent; /* talloc array */
	size_t count;
	size_t in_time;
	bool skips_sum; /* a home may have two processes that use its part */
} load_t;

static usec_t now_in(const load_t *load)
{
	return clock_now(&load->world->clock.base);
}

static load_t create_load(void)
{
	load_t load = {.world = world_create(FLEET, &one_member)};

	world_wait_until_ready(load.world);
	return load;
}

/* The proxy that is home for this zone, as its proxies see it. */
static pooler_t *home_of_zone(const load_t *load, size_t zone)
{
	for (size_t i = zone; i < FLEET; i += ZONES) {
		pooler_t *pooler = load->world->nodes[i].pooler;
		const roster_node_t *home;

		if (pooler == NULL)
			continue;
		home = home_find(service_get(pooler, WORLD_SERVICE), now_of(pooler));
		for (size_t j = 0; j < FLEET; j++) {
			if (strcmp(load->world->nodes[j].name, home->name) == 0)
				return load->world->nodes[j].pooler;
		}
	}
	g_assert_not_reached();
}

static size_t index_of(const load_t *load, const pooler_t *pooler)
{
	for (size_t i = 0; i < FLEET; i++) {
		if (load->world->nodes[i].pooler == pooler)
			return i;
	}
	g_assert_not_reached();
}

static const member_t *member_at(const pooler_t *pooler)
{
	return member_find(pooler, "core-0");
}

static unsigned lent_by(const load_t *load, size_t zone)
{
	return room_lent(member_at(home_of_zone(load, zone)), now_in(load));
}

static unsigned borrowed_by(const load_t *load, size_t zone)
{
	return room_borrowed(member_at(home_of_zone(load, zone)), now_in(load));
}

/* Fails the test if the homes together may use more than their parts. */
static void check_sum(const load_t *load)
{
	unsigned sum = 0;
	unsigned parts = 0;

	for (size_t zone = 0; zone < ZONES; zone++) {
		const member_t *member = member_at(home_of_zone(load, zone));

		parts += room_part(member);
		sum += room_part(member) - room_lent(member, now_in(load)) +
		       room_borrowed(member, now_in(load));
	}
	g_assert_cmpuint(sum, <=, parts);
}

static void send_one(load_t *load, size_t zone)
{
	size_t node = zone + ZONES * (load->count % (FLEET / ZONES));
	sent_t *sent;

	while (load->world->nodes[node].pooler == NULL)
		node = (node + ZONES) % FLEET;
	load->sent = talloc_realloc(load->world, load->sent, sent_t, load->count + 1);
	sent = &load->sent[load->count++];
	*sent = (sent_t){.caller = world_open_session_on(load->world, node, "strict"),
			 .sent_at = now_in(load),
			 .zone = zone};
	world_send(sent->caller, "READ job-1");
}

static void collect_replies(load_t *load)
{
	for (size_t i = 0; i < load->count; i++) {
		sent_t *sent = &load->sent[i];

		if (sent->took != 0 || sent->caller->reply_count == 0)
			continue;
		sent->took = now_in(load) - sent->sent_at;
		load->in_time += sent->took <= WORLD_OBJECTIVE &&
				 g_str_has_prefix(sent->caller->reply, "ROW");
	}
}

static void step(load_t *load, usec_t by)
{
	world_run(load->world, by);
	collect_replies(load);
	if (!load->skips_sum)
		check_sum(load);
}

static void play(load_t *load, size_t zone, usec_t interval, usec_t length)
{
	usec_t end = now_in(load) + length;

	while (now_in(load) < end) {
		send_one(load, zone);
		step(load, interval);
	}
}

/* Forgets the statements that were sent so far, after they have been answered. */
static void start_count(load_t *load)
{
	load->count = 0;
	load->in_time = 0;
}

static int64_t requests_sent(void)
{
	return counters_total("loan_requests_total");
}

/*
 * Guards against late answers in one zone, at 2.5 times its part of the member, while the parts of
 * the others are unused; and against messages about loans while nobody waits.
 */
static void test_one_zone_uses_idle_parts(void)
{
	load_t load = create_load();
	int64_t requests = requests_sent();

	play(&load, 0, PART_INTERVAL, 2 * SEC);
	g_assert_cmpint(requests_sent(), ==, requests);
	step(&load, SEC);
	start_count(&load);
	play(&load, 0, HEAVY_INTERVAL, 4 * SEC);
	step(&load, SEC);
	g_test_message("%zu of %zu in time, %d requests", load.in_time, load.count,
		       (int)(requests_sent() - requests));
	g_assert_cmpuint(load.in_time * 100, >=, load.count * 95);
	requests = requests_sent();
	step(&load, 2 * SEC);
	g_assert_cmpint(requests_sent(), ==, requests);
	g_assert_cmpuint(lent_by(&load, 1) + lent_by(&load, 2), ==, 0);
	world_destroy(load.world);
}

/*
 * Guards against a lender whose own callers wait for longer than a loan lasts: from then on they
 * get what they are owed, though the borrower's callers still wait.
 */
static void test_lender_gets_its_part_back(void)
{
	load_t load = create_load();
	usec_t end;

	play(&load, 0, OVERLOAD_INTERVAL, SEC);
	g_assert_cmpuint(lent_by(&load, 1), >, 0);
	end = now_in(&load) + 50 * MSEC + LOAN_TIME + LOAN_MARGIN;
	while (now_in(&load) < end) {
		send_one(&load, 0);
		send_one(&load, 1);
		send_one(&load, 1);
		step(&load, OVERLOAD_INTERVAL);
	}
	g_assert_cmpuint(lent_by(&load, 1), ==, 0);
	step(&load, SEC);
	world_destroy(load.world);
}

/* Guards against a home that goes on to use the loan of one that has died. */
static void test_lender_dies(void)
{
	load_t load = create_load();
	unsigned from_other;

	play(&load, 0, OVERLOAD_INTERVAL, SEC);
	from_other = lent_by(&load, 1);
	g_assert_cmpuint(borrowed_by(&load, 0), >, from_other);
	load.skips_sum = true;
	world_kill(load.world, index_of(&load, home_of_zone(&load, 2)));
	play(&load, 0, OVERLOAD_INTERVAL, LOAN_TIME);
	g_assert_cmpuint(borrowed_by(&load, 0), <=, from_other);
	world_destroy(load.world);
}

/* Guards against a lender that misses its part after the borrower has died. */
static void test_borrower_dies(void)
{
	load_t load = create_load();

	play(&load, 0, OVERLOAD_INTERVAL, SEC);
	g_assert_cmpuint(lent_by(&load, 1), >, 0);
	load.skips_sum = true;
	world_kill(load.world, index_of(&load, home_of_zone(&load, 0)));
	step(&load, LOAN_TIME + LOAN_MARGIN);
	g_assert_cmpuint(lent_by(&load, 1) + lent_by(&load, 2), ==, 0);
	world_destroy(load.world);
}

/* Guards against a process that uses what the one before it may have lent: one of three. */
static void test_lender_starts_anew(void)
{
	load_t load = create_load();
	size_t lender;
	const member_t *member;

	play(&load, 0, OVERLOAD_INTERVAL, SEC);
	g_assert_cmpuint(lent_by(&load, 1), >, 0);
	lender = index_of(&load, home_of_zone(&load, 1));
	load.skips_sum = true;
	world_kill(load.world, lender);
	world_start_proxy(load.world, lender);
	for (usec_t past = 0; past < LOAN_TIME; past += 20 * MSEC) {
		for (size_t i = 0; i < 4; i++)
			send_one(&load, 1);
		step(&load, 20 * MSEC);
		member = member_at(load.world->nodes[lender].pooler);
		g_assert_cmpuint(room_used(member), <=, 2);
	}
	world_destroy(load.world);
}

/* --- a link that loses what is sent in one direction --- */

static bool drops_all;

static bool lossy_peer_send(env_t *env, const char *name, const char *address,
			    const peer_message_t *message)
{
	const world_node_t *from = (const world_node_t *)env;

	if (message->kind == PEER_LOAN_ANSWER || drops_all)
		return true;
	return from->world->nodes[(FLEET - 1)].env.ops->peer_send(env, name, address, message);
}

/* Loses the answers of the zone's home about loans, or all its messages. */
static void cut_one_way(const load_t *load, size_t zone, bool all)
{
	static env_ops_t lossy_ops;
	world_node_t *node = &load->world->nodes[index_of(load, home_of_zone(load, zone))];

	g_assert_true(node != &load->world->nodes[FLEET - 1]);
	lossy_ops = *node->env.ops;
	lossy_ops.peer_send = lossy_peer_send;
	drops_all = all;
	node->env.ops = &lossy_ops;
}

/*
 * Guards against loans that are used or missed for good when answers are lost: the borrower has
 * none, the lender has its part again once the borrower's callers no longer wait.
 */
static void test_answers_lost(void)
{
	load_t load = create_load();

	cut_one_way(&load, 1, false);
	play(&load, 0, OVERLOAD_INTERVAL, SEC);
	g_assert_cmpuint(lent_by(&load, 1), >, 0);
	g_assert_cmpuint(borrowed_by(&load, 0), <=, lent_by(&load, 2));
	step(&load, SEC + LOAN_TIME + LOAN_MARGIN);
	g_assert_cmpuint(lent_by(&load, 1), ==, 0);
	world_destroy(load.world);
}

/* Guards against the use of a loan after the lender is heard no more. */
static void test_lender_cut_one_way(void)
{
	load_t load = create_load();

	play(&load, 0, OVERLOAD_INTERVAL, SEC);
	g_assert_cmpuint(borrowed_by(&load, 0), >, lent_by(&load, 2));
	cut_one_way(&load, 1, true);
	load.skips_sum = true;
	play(&load, 0, OVERLOAD_INTERVAL, LOAN_TIME);
	g_assert_cmpuint(borrowed_by(&load, 0), <=, lent_by(&load, 2));
	world_destroy(load.world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	world_set_lending(true);
	g_test_add_func("/pooler-loan/one-zone", test_one_zone_uses_idle_parts);
	g_test_add_func("/pooler-loan/part-back", test_lender_gets_its_part_back);
	g_test_add_func("/pooler-loan/lender-dies", test_lender_dies);
	g_test_add_func("/pooler-loan/borrower-dies", test_borrower_dies);
	g_test_add_func("/pooler-loan/lender-starts-anew", test_lender_starts_anew);
	g_test_add_func("/pooler-loan/answers-lost", test_answers_lost);
	g_test_add_func("/pooler-loan/lender-cut-one-way", test_lender_cut_one_way);
	return g_test_run();
}
