/*
 * Processor time that control of the databases costs a proxy, as the number of databases grows.
 */
#include <time.h>

#include <glib.h>
#include <talloc.h>

#include "adopt.h"
#include "exchange.h"
#include "failover.h"
#include "pool_check.h"
#include "state.h"
#include "sync.h"
#include "verdict.h"

/* Numbers of services. */
#define FEW	100
#define MANY	800
#define MEMBERS 3 /* per service */
/* Number of services whose primary each proxy reports as alive. */
#define SERVICES_EACH 4
/*
 * Number of services whose primaries are unused; 40 of them are checked in a second
 * (UNUSED_PROBE_SPACING).
 */
#define UNUSED_SERVICES 200
/* Number of runs times number of services: with more services there are fewer runs. */
#define TOTAL_RUNS 400000

/* Adds services with their members, and the roster that names the primaries. */
static void add_services(pooler_t *pooler, int count)
{
	roster_t *roster = roster_copy(NULL, pooler->sync.roster);

	for (int i = 0; i < count; i++) {
		g_autofree char *service = g_strdup_printf("orders-replicated-%d", i);

		for (int j = 0; j < MEMBERS; j++) {
			g_autofree char *id = g_strdup_printf("%s-%d", service, j);

			pooler_on_member(pooler, &(member_entry_t){.id = id,
								   .service = service,
								   .address = "10.9.9.9:1",
								   .zone = "a",
								   .slots = 2,
								   .primary = j == 0});
			if (j == 0)
				roster_put_group(roster, service, id, false, 1, 1);
		}
	}
	roster->revision++;
	adopt_roster(pooler, roster);
}

/* Processor time of listing the suspected primaries, for each service. */
static double cost_per_service(int services)
{
	pool_world_t *world = world_create(1, NULL);
	pooler_t *pooler = world->nodes[0].pooler;
	clock_t began;
	double took;

	add_services(pooler, services);
	began = clock();
	for (int i = 0; i < TOTAL_RUNS / services; i++)
		talloc_free(verdict_suspects(pooler, now_of(pooler), NULL));
	took = (double)(clock() - began) / CLOCKS_PER_SEC / TOTAL_RUNS;
	world_destroy(world);
	return took;
}

/*
 * Processor time of a leader's check of all primaries, for each service; each proxy reports on some
 * of them.
 */
static double cost_of_checks(int services)
{
	pool_world_t *world = world_create(1, NULL);
	pooler_t *pooler = world->nodes[0].pooler;
	int work = TOTAL_RUNS / 10 / services;
	clock_t began;
	double took;

	world_wait_until_ready(world);
	add_services(pooler, services);
	for (int i = 0; i < services / SERVICES_EACH; i++) {
		g_autofree char *name = g_strdup_printf("elsewhere-%d", i);
		peer_report_t *report = exchange_get_report(pooler, name);

		report->received_at = now_of(pooler);
		report->revision = pooler->sync.roster->revision;
		report->alive = talloc_strdup(report, "");
		for (int j = 0; j < SERVICES_EACH; j++)
			report->alive =
				talloc_asprintf_append(report->alive, "%sorders-replicated-%d",
						       j != 0 ? " " : "", i * SERVICES_EACH + j);
	}
	failover_tick(pooler, now_of(pooler));
	began = clock();
	for (int i = 0; i < work; i++)
		failover_tick(pooler, now_of(pooler));
	took = (double)(clock() - began) / CLOCKS_PER_SEC / (work * services);
	world_destroy(world);
	return took;
}

/*
 * With 100 proxies in front of 334 databases changes of primary took long, and the leader, which is
 * a home too, served late. For each service it searched the reports of every proxy, 20 times a
 * second. Both numbers grow with a fleet; eight times as many services, and proxies that report on
 * them, are to cost the same for each service.
 */
static void test_checks_cost_the_same_per_service(void)
{
	double few = cost_of_checks(FEW);
	double many = cost_of_checks(MANY);

	g_test_message("%d services: %.0f ns each; %d: %.0f ns", FEW, few * 1e9, MANY, many * 1e9);
	g_assert_cmpfloat(many, <, 4 * few);
}

static size_t count_checked(const pooler_t *pooler)
{
	size_t checked = 0;

	list_for_each (it, &pooler->members)
		checked += list_entry(it, member_t, node)->unused_probed_at != 0;
	return checked;
}

/*
 * After a power failure of 100 proxies in front of 334 databases hardly any caller was served for
 * six seconds. The first leader, which had received no reports of primaries yet, opened a
 * connection to each of them at once, at a home's cost for each. That took all its time for 2 s,
 * its lease ended, and the next leader did the same. A few checks at a time are enough, since the
 * proxies that use a primary detect its failure themselves. All primaries are checked in the end.
 */
static void test_checks_are_spread(void)
{
	pool_world_t *world = world_create(1, NULL);
	pooler_t *pooler = world->nodes[0].pooler;

	world_wait_until_ready(world);
	add_services(pooler, UNUSED_SERVICES);
	world_run(world, SEC);
	g_assert_cmpuint(count_checked(pooler), >=, 20);
	g_assert_cmpuint(count_checked(pooler), <=, 60);
	world_run(world, UNUSED_SERVICES / 40 * SEC);
	g_assert_cmpuint(count_checked(pooler), >=, UNUSED_SERVICES);
	world_destroy(world);
}

/*
 * With 100 proxies in front of 100 databases half of the callers were not served. Each proxy
 * searched all members and all primaries for each service, 20 times a second and with each answer
 * to a query, which took half of its processor time. With eight times the services, each may cost a
 * little more because of caches, not eight times as much.
 */
static void test_cost_per_service_is_constant(void)
{
	double few = cost_per_service(FEW);
	double many = cost_per_service(MANY);

	g_test_message("%d services: %.0f ns each; %d: %.0f ns", FEW, few * 1e9, MANY, many * 1e9);
	g_assert_cmpfloat(many, <, 4 * few);
}

/* Number of proxies on the roster besides the one under test. */
#define PEERS 300

static void add_peers(pooler_t *pooler)
{
	roster_t *roster = roster_copy(NULL, pooler->sync.roster);

	for (int i = 0; i < PEERS; i++) {
		g_autofree char *name = g_strdup_printf("elsewhere-%d", i);

		roster_put_node(roster, name, "10.9.9.8:1", i % 3 == 0 ? "a" : "b", 1);
	}
	roster->revision++;
	adopt_roster(pooler, roster);
}

/* Work of a proxy without callers: what it visits in each tick, and what it computes and keeps. */
typedef struct work {
	size_t members;
	size_t services;
	size_t homes; /* services whose homes it has computed */
	size_t pings; /* peers to which it has established a link */
} work_t;

static work_t count_work(int services)
{
	pool_world_t *world = world_create(2, NULL);
	pooler_t *pooler;
	work_t work = {0};

	world_wait_until_ready(world);
	pooler = world->nodes[find_non_leader(world)].pooler;
	add_services(pooler, services);
	add_peers(pooler);
	world_run(world, 10 * SEC);
	work.members = list_length(&pooler->active_members);
	work.services = list_length(&pooler->active_services);
	list_for_each (it, &pooler->services)
		work.homes += list_entry(it, service_t, node)->homes.parent != NULL;
	list_for_each (it, &pooler->sync.reports)
		work.pings += list_entry(it, peer_report_t, node)->pinged_at != 0;
	world_destroy(world);
	return work;
}

/*
 * Guards against a start that never ends: each of 985 proxies visited all 3,000 members in each
 * tick, computed the homes of all 1,000 services whenever a proxy joined, and established links to
 * them all.
 */
static void test_tick_visits_only_what_is_used(void)
{
	static const int sizes[] = {100, 1000, 2000};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		work_t work = count_work(sizes[i]);

		g_test_message("%d services: %zu members, %zu services, %zu homes, %zu pings",
			       sizes[i], work.members, work.services, work.homes, work.pings);
		g_assert_cmpuint(work.members, <=, 8);
		g_assert_cmpuint(work.services, <=, 8);
		g_assert_cmpuint(work.homes, <=, 8);
		g_assert_cmpuint(work.pings, <=, 8);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/scale/services", test_cost_per_service_is_constant);
	g_test_add_func("/scale/watching", test_checks_cost_the_same_per_service);
	g_test_add_func("/scale/checks-are-spread", test_checks_are_spread);
	g_test_add_func("/scale/tick-looks-at-what-is-used", test_tick_visits_only_what_is_used);
	return g_test_run();
}
