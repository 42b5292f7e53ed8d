/* What control costs a proxy, as the databases behind it become more. */
#include <time.h>

#include <glib.h>
#include <talloc.h>

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
	sync_adopt(pooler, roster);
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

	world_settle(world);
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

	world_settle(world);
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

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/scale/services", test_services_cost_the_same_each);
	g_test_add_func("/scale/watching", test_watching_costs_the_same_each);
	g_test_add_func("/scale/checks-are-spread", test_checks_are_spread);
	return g_test_run();
}
