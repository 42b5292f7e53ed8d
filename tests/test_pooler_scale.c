/* What control costs a proxy, as the databases behind it become more. */
#include <time.h>

#include <glib.h>
#include <talloc.h>

#include "adopt.h"
#include "duty.h"
#include "exchange.h"
#include "pool_check.h"
#include "state.h"
#include "sync.h"
#include "verdict.h"

/* Services. */
#define FEW	100
#define MANY	800
#define MEMBERS 3 /* of a service */
/* Services of which each proxy reports that it sees the primary. */
#define SERVICES_EACH 4
/* Services whose primaries nobody uses; 40 of them are asked a second (UNUSED_SPACING). */
#define UNUSED 200
/* Questions about a service, whatever the number of services. */
#define LOOKS 400000

/* Services with their members, and the roster that names the primaries. */
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

/* Processor time of telling which primaries are doubted, for each service. */
static double cost_each(int services)
{
	pool_world_t *world = world_create(1, NULL);
	pooler_t *pooler = world->nodes[0].pooler;
	clock_t began;
	double took;

	add_services(pooler, services);
	began = clock();
	for (int i = 0; i < LOOKS / services; i++)
		talloc_free(verdict_doubts(pooler, now_of(pooler), NULL));
	took = (double)(clock() - began) / CLOCKS_PER_SEC / LOOKS;
	world_destroy(world);
	return took;
}

/* Processor time of a holder's look at all primaries, for each service; proxies tell of some each.
 */
static double cost_of_watching(int services)
{
	pool_world_t *world = world_create(1, NULL);
	pooler_t *pooler = world->nodes[0].pooler;
	int looks = LOOKS / 10 / services;
	clock_t began;
	double took;

	world_wait_until_ready(world);
	add_services(pooler, services);
	for (int i = 0; i < services / SERVICES_EACH; i++) {
		g_autofree char *name = g_strdup_printf("elsewhere-%d", i);
		peer_report_t *report = exchange_get_report(pooler, name);

		report->heard_at = now_of(pooler);
		report->revision = pooler->sync.roster->revision;
		report->alive = talloc_strdup(report, "");
		for (int j = 0; j < SERVICES_EACH; j++)
			report->alive =
				talloc_asprintf_append(report->alive, "%sorders-replicated-%d",
						       j != 0 ? " " : "", i * SERVICES_EACH + j);
	}
	duty_tick(pooler, now_of(pooler));
	began = clock();
	for (int i = 0; i < looks; i++)
		duty_tick(pooler, now_of(pooler));
	took = (double)(clock() - began) / CLOCKS_PER_SEC / (looks * services);
	world_destroy(world);
	return took;
}

/*
 * What callers saw: with 100 proxies before 334 databases changes of primary took long, and the
 * holder of the duty, which is a home too, served late. For each service it searched what each
 * proxy had reported, 20 times a second. Both grow with a fleet; eight times as many services, and
 * proxies that tell of them, are to cost the same for each service.
 */
static void test_watching_costs_the_same_each(void)
{
	double few = cost_of_watching(FEW);
	double many = cost_of_watching(MANY);

	g_test_message("%d services: %.0f ns each; %d: %.0f ns", FEW, few * 1e9, MANY, many * 1e9);
	g_assert_cmpfloat(many, <, 4 * few);
}

static size_t count_checked(const pooler_t *pooler)
{
	size_t checked = 0;

	list_for_each (it, &pooler->members)
		checked += list_entry(it, member_t, node)->checked_at != 0;
	return checked;
}

/*
 * What callers saw: after a loss of power of 100 proxies before 334 databases hardly anybody was
 * served for six seconds. The first holder of the duty, which had heard of no primary yet, opened a
 * connection to each of them at once, at a home's cost for each; that kept it from all else for 2
 * s, its lease ended, and the next holder did the same. Why a steady few are enough: those that use
 * a primary see its failure themselves. All are asked in the end.
 */
static void test_checks_are_spread(void)
{
	pool_world_t *world = world_create(1, NULL);
	pooler_t *pooler = world->nodes[0].pooler;

	world_wait_until_ready(world);
	add_services(pooler, UNUSED);
	world_run(world, SEC);
	g_assert_cmpuint(count_checked(pooler), >=, 20);
	g_assert_cmpuint(count_checked(pooler), <=, 60);
	world_run(world, UNUSED / 40 * SEC);
	g_assert_cmpuint(count_checked(pooler), >=, UNUSED);
	world_destroy(world);
}

/*
 * What callers saw: half of them were not served by 100 proxies before 100 databases. Each proxy
 * looked through all members and all primaries for each service, 20 times a second and with each
 * answer to a question: half of the processor time that it used went there. With eight times the
 * services, one may cost a little more for caches, not eight times as much.
 */
static void test_services_cost_the_same_each(void)
{
	double few = cost_each(FEW);
	double many = cost_each(MANY);

	g_test_message("%d services: %.0f ns each; %d: %.0f ns", FEW, few * 1e9, MANY, many * 1e9);
	g_assert_cmpfloat(many, <, 4 * few);
}

/* Proxies that the roster names beside the one that is played. */
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

/* What a proxy without callers looks at with each tick, and what it works out and keeps for it. */
typedef struct looks {
	size_t members;
	size_t services;
	size_t homes; /* services whose homes it has worked out */
	size_t pings; /* peers to which it has made a link */
} looks_t;

static looks_t count_looks(int services)
{
	pool_world_t *world = world_create(2, NULL);
	pooler_t *pooler;
	looks_t looks = {0};

	world_wait_until_ready(world);
	pooler = world->nodes[find_non_leader(world)].pooler;
	add_services(pooler, services);
	add_peers(pooler);
	world_run(world, 10 * SEC);
	looks.members = list_length(&pooler->active_members);
	looks.services = list_length(&pooler->active_services);
	list_for_each (it, &pooler->services)
		looks.homes += list_entry(it, service_t, node)->homes.parent != NULL;
	list_for_each (it, &pooler->sync.reports)
		looks.pings += list_entry(it, peer_report_t, node)->pinged_at != 0;
	world_destroy(world);
	return looks;
}

/*
 * Guards against a start that never ends: each of 985 proxies looked at all 3,000 members with each
 * tick, worked out the homes of all 1,000 services with each that joined, and linked to them all.
 */
static void test_tick_looks_at_what_is_used(void)
{
	static const int sizes[] = {100, 1000, 2000};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		looks_t looks = count_looks(sizes[i]);

		g_test_message("%d services: %zu members, %zu services, %zu homes, %zu pings",
			       sizes[i], looks.members, looks.services, looks.homes, looks.pings);
		g_assert_cmpuint(looks.members, <=, 8);
		g_assert_cmpuint(looks.services, <=, 8);
		g_assert_cmpuint(looks.homes, <=, 8);
		g_assert_cmpuint(looks.pings, <=, 8);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/scale/services", test_services_cost_the_same_each);
	g_test_add_func("/scale/watching", test_watching_costs_the_same_each);
	g_test_add_func("/scale/checks-are-spread", test_checks_are_spread);
	g_test_add_func("/scale/tick-looks-at-what-is-used", test_tick_looks_at_what_is_used);
	return g_test_run();
}
