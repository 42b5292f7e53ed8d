/* Unit tests: the ranking of a zone's proxies as homes, and the round-trip time of a peer. */
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "home_rank.h"
#include "rtt.h"
#include "upstream.h"

#define MSEC	 USEC_PER_MSEC
#define PROXIES	 36
#define SERVICES 8
/* Processor shares in percent of a core. */
#define LARGE 50
#define SMALL 8

/* A zone whose proxies register in the order of their numbers. */
typedef struct zone {
	roster_node_t nodes[PROXIES];
	const roster_node_t *proxies[PROXIES];
	size_t len;
	uint64_t services[SERVICES];
} zone_t;

static uint64_t hash_of(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

static int compare_numbers(const void *a, const void *b)
{
	const uint64_t *x = a;
	const uint64_t *y = b;

	return (*x > *y) - (*x < *y);
}

static void init_zone(zone_t *zone)
{
	*zone = (zone_t){0};
	for (size_t i = 0; i < SERVICES; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "service-%zu", i);
		zone->services[i] = hash_of(name);
	}
	qsort(zone->services, SERVICES, sizeof(uint64_t), compare_numbers);
}

static void add_proxy(zone_t *zone, int64_t share)
{
	roster_node_t *node = &zone->nodes[zone->len];
	char name[16];

	g_snprintf(name, sizeof(name), "proxy-%zu", zone->len);
	node->hash = hash_of(name);
	node->capacity = share;
	zone->proxies[zone->len++] = node;
}

static void add_proxies(zone_t *zone, size_t count, int64_t share)
{
	for (size_t i = 0; i < count; i++)
		add_proxy(zone, share);
}

static home_rank_t find(const zone_t *zone, size_t service)
{
	return home_rank_find(zone->proxies, zone->len, zone->services, SERVICES,
			      zone->services[service]);
}

static size_t count_homes(const zone_t *zone, const roster_node_t *node)
{
	size_t count = 0;

	for (size_t i = 0; i < SERVICES; i++)
		count += find(zone, i).home == node;
	return count;
}

/*
 * Guards against a service that is served by a machine of .08 of a core beside idle ones of .5, and
 * against one of two large machines that is home of nearly all services.
 */
static void test_large_machines_are_homes(void)
{
	zone_t zone;

	for (size_t large = 1; large <= 4; large++) {
		size_t total = 0;

		init_zone(&zone);
		add_proxies(&zone, 30, SMALL);
		add_proxies(&zone, large, LARGE);
		for (size_t i = 0; i < large; i++) {
			size_t homes = count_homes(&zone, &zone.nodes[30 + i]);

			g_assert_cmpuint(homes, <=, (SERVICES + large - 1) / large);
			total += homes;
		}
		g_assert_cmpuint(total, ==, SERVICES);
		for (size_t i = 0; i < SERVICES; i++)
			g_assert_cmpint(find(&zone, i).substitute->capacity, ==,
					large > 1 ? LARGE : SMALL);
	}
}

/* Guards against a machine of half the share that is home of as many services as a full one. */
static void test_bound_follows_share(void)
{
	zone_t zone;

	init_zone(&zone);
	add_proxies(&zone, 10, SMALL);
	add_proxy(&zone, LARGE);
	add_proxy(&zone, LARGE / 2);
	g_assert_cmpuint(count_homes(&zone, &zone.nodes[10]), <=, 6);
	g_assert_cmpuint(count_homes(&zone, &zone.nodes[11]), <=, 3);
}

/* Guards against homes that move, by an update of the software, where all machines are alike. */
static void test_equal_shares_keep_order_of_hash(void)
{
	static const int64_t shares[] = {0, SMALL, 100};

	for (size_t s = 0; s < G_N_ELEMENTS(shares); s++) {
		zone_t zone;

		init_zone(&zone);
		add_proxies(&zone, PROXIES, shares[s]);
		for (size_t i = 0; i < SERVICES; i++) {
			home_rank_t rank = find(&zone, i);
			uint64_t hash = upstream_hash(rank.home, zone.services[i]);
			size_t before = 0;

			for (size_t p = 0; p < PROXIES; p++)
				before += upstream_hash(zone.proxies[p], zone.services[i]) <
					  upstream_hash(rank.substitute, zone.services[i]);
			g_assert_cmpuint(before, ==, 1);
			g_assert_cmpuint(hash, <, upstream_hash(rank.substitute, zone.services[i]));
		}
	}
}

static void test_small_zones(void)
{
	zone_t zone;

	init_zone(&zone);
	g_assert_null(find(&zone, 0).home);
	add_proxy(&zone, SMALL);
	g_assert_true(find(&zone, 0).home == &zone.nodes[0]);
	g_assert_null(find(&zone, 0).substitute);
	/* A service that the configuration does not list still has a home. */
	add_proxy(&zone, LARGE);
	g_assert_true(home_rank_find(zone.proxies, zone.len, NULL, 0, 1).home == &zone.nodes[1]);
	g_assert_true(home_rank_find(zone.proxies, zone.len, NULL, 0, 1).substitute ==
		      &zone.nodes[0]);
}

/* Guards against a zone without homes after its large machines have gone. */
static void test_next_class_follows(void)
{
	zone_t zone;

	init_zone(&zone);
	add_proxies(&zone, 3, SMALL);
	add_proxies(&zone, 2, LARGE / 2);
	add_proxies(&zone, 2, 2 * LARGE);
	g_assert_cmpint(find(&zone, 0).home->capacity, ==, 2 * LARGE);
	zone.len = 5;
	g_assert_cmpint(find(&zone, 0).home->capacity, ==, LARGE / 2);
	zone.len = 3;
	g_assert_cmpint(find(&zone, 0).home->capacity, ==, SMALL);
}

/*
 * Guards against homes that move with each proxy that registers after a loss of power: they move
 * when a large machine registers, and never for a small one.
 */
static void test_moves_while_roster_fills(void)
{
	zone_t zone;
	const roster_node_t *homes[SERVICES] = {0};
	size_t moves = 0;

	init_zone(&zone);
	for (size_t p = 0; p < PROXIES; p++) {
		size_t moved = 0;

		add_proxy(&zone, p == 0 || p == 20 ? LARGE : SMALL);
		for (size_t i = 0; i < SERVICES; i++) {
			const roster_node_t *home = find(&zone, i).home;

			moved += homes[i] != NULL && homes[i] != home;
			homes[i] = home;
		}
		if (p != 20)
			g_assert_cmpuint(moved, ==, 0);
		moves += moved;
	}
	g_assert_cmpuint(moves, ==, SERVICES / 2);
}

/* Guards against a division by zero if no processor share is positive, and one is negative. */
static void test_shares_without_a_sum(void)
{
	zone_t zone;

	init_zone(&zone);
	add_proxies(&zone, 2, 0);
	add_proxy(&zone, -LARGE);
	for (size_t i = 0; i < SERVICES; i++)
		g_assert_nonnull(find(&zone, i).home);
}

/* --- round trips --- */

/* Guards against a slow peer that is taken for dead, and a fast one that is waited for too long. */
static void test_timeout_follows_round_trips(void)
{
	rtt_t rtt = {0};

	g_assert_cmpuint(rtt_timeout(&rtt), ==, 0);
	for (int i = 0; i < 50; i++)
		rtt_add(&rtt, 2 * MSEC);
	g_assert_cmpuint(rtt_timeout(&rtt), >=, 2 * MSEC);
	g_assert_cmpuint(rtt_timeout(&rtt), <, 3 * MSEC);
	for (int i = 0; i < 50; i++)
		rtt_add(&rtt, (i % 2 == 0 ? 40 : 160) * MSEC);
	g_assert_cmpuint(rtt_timeout(&rtt), >, 160 * MSEC);
	for (int i = 0; i < 100; i++)
		rtt_add(&rtt, 2 * MSEC);
	g_assert_cmpuint(rtt_timeout(&rtt), <, 10 * MSEC);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/home-rank/large-machines", test_large_machines_are_homes);
	g_test_add_func("/home-rank/bound-follows-share", test_bound_follows_share);
	g_test_add_func("/home-rank/equal-shares", test_equal_shares_keep_order_of_hash);
	g_test_add_func("/home-rank/small-zones", test_small_zones);
	g_test_add_func("/home-rank/next-class", test_next_class_follows);
	g_test_add_func("/home-rank/roster-fills", test_moves_while_roster_fills);
	g_test_add_func("/home-rank/shares-without-a-sum", test_shares_without_a_sum);
	g_test_add_func("/rtt/timeout", test_timeout_follows_round_trips);
	return g_test_run();
}
