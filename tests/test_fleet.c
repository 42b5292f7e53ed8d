/* The fleet: ranks by rendezvous hashing, zones, leaving proxies, suspicion, majorities. */
#include <glib.h>
#include <talloc.h>

#include "fleet.h"

#define PROXIES 9

static fleet_t *create_fleet(void)
{
	fleet_t *fleet = fleet_create(NULL, "p0", "z0", "h:0");

	for (int i = 1; i < PROXIES; i++) {
		char *name = g_strdup_printf("p%d", i);
		char *zone = g_strdup_printf("z%d", i % 3);

		fleet_add(fleet, 1, name, zone, "h:1", true);
		g_free(name);
		g_free(zone);
	}
	return fleet;
}

static void compute_ranks(const fleet_t *fleet, int group, ranks_t *ranks)
{
	char *key = g_strdup_printf("group-%d", group);

	*ranks = (ranks_t){0};
	fleet_rank(fleet, key, ranks);
	g_free(key);
}

static void test_zones_differ(void)
{
	fleet_t *fleet = create_fleet();
	int served[PROXIES] = {0};

	for (int group = 0; group < 900; group++) {
		ranks_t ranks;

		compute_ranks(fleet, group, &ranks);
		g_assert_cmpuint(ranks.len, ==, FLEET_RANKS);
		g_assert_cmpstr(ranks.proxies[0]->zone, !=, ranks.proxies[1]->zone);
		g_assert_cmpstr(ranks.proxies[1]->zone, !=, ranks.proxies[2]->zone);
		g_assert_cmpstr(ranks.proxies[0]->zone, !=, ranks.proxies[2]->zone);
		served[ranks.proxies[0]->name[1] - '0']++;
	}
	for (int i = 0; i < PROXIES; i++) {
		g_assert_cmpint(served[i], >, 50); /* 100 each if perfectly even */
		g_assert_cmpint(served[i], <, 160);
	}
	talloc_free(fleet);
}

/* A leaving proxy loses its own groups; no other group moves. */
static void test_leaving_moves_little(void)
{
	fleet_t *fleet = create_fleet();
	ranks_t before[300];

	for (int group = 0; group < 300; group++)
		compute_ranks(fleet, group, &before[group]);
	fleet_set_leaving(fleet, fleet_find(fleet, "p4"));
	for (int group = 0; group < 300; group++) {
		ranks_t after;

		compute_ranks(fleet, group, &after);
		g_assert_cmpstr(after.proxies[0]->name, !=, "p4");
		if (g_strcmp0(before[group].proxies[0]->name, "p4") != 0)
			g_assert_true(after.proxies[0] == before[group].proxies[0]);
	}
	talloc_free(fleet);
}

/* After any change, ranks updated incrementally equal ranks computed from scratch. */
static void test_incremental(void)
{
	enum { GROUPS = 200, CHANGES = 300 };
	static ranks_t kept[GROUPS];
	fleet_t *fleet = create_fleet();
	GRand *rand = g_rand_new_with_seed(7);

	for (int i = 0; i < CHANGES; i++) {
		char *name = g_strdup_printf("p%d", g_rand_int_range(rand, 1, 25));
		char *zone = g_strdup_printf("z%d", g_rand_int_range(rand, 0, 5));
		vm_t only = {.name = "p0", .zone = "z0", .address = "h:0"};
		proxy_t *proxy = fleet_find(fleet, name);

		if (proxy == NULL)
			fleet_add(fleet, (usec_t)i, name, zone, "h:1", true);
		else if (g_rand_boolean(rand))
			fleet_set_leaving(fleet, proxy);
		else if (g_rand_int_range(rand, 0, 40) == 0)
			fleet_apply_list(fleet, (usec_t)i, &only, 1, 20);
		else
			fleet_add(fleet, (usec_t)i, name, zone, "h:2", true);
		for (int group = i % 3; group < GROUPS; group += 1 + i % 4) {
			char *key = g_strdup_printf("group-%d", group);
			ranks_t fresh;

			compute_ranks(fleet, group, &fresh);
			fleet_rank(fleet, key, &kept[group]);
			g_assert_cmpuint(kept[group].len, ==, fresh.len);
			for (size_t r = 0; r < fresh.len; r++)
				g_assert_true(kept[group].proxies[r] == fresh.proxies[r]);
			g_free(key);
		}
		g_free(name);
		g_free(zone);
	}
	g_rand_free(rand);
	talloc_free(fleet);
}

static void receive_heartbeat(fleet_t *fleet, const char *name, usec_t now, uint64_t incarnation,
			      bool leaving)
{
	message_t message = {.kind = MESSAGE_HEARTBEAT,
			     .incarnation = incarnation,
			     .sent_at = now,
			     .leaving = leaving};

	fleet_on_message(fleet, fleet_find(fleet, name), now, &message);
}

/* Leaving is final for an incarnation; a restarted proxy of the same name is new. */
static void test_leaving_is_final(void)
{
	fleet_t *fleet = create_fleet();
	const proxy_t *p1 = fleet_find(fleet, "p1");

	receive_heartbeat(fleet, "p1", 10, 1, true);
	receive_heartbeat(fleet, "p1", 20, 1, false);
	g_assert_true(p1->leaving);
	receive_heartbeat(fleet, "p1", 30, 2, false);
	g_assert_false(p1->leaving);
	receive_heartbeat(fleet, "p1", 40, 1, true); /* late, of the earlier incarnation */
	g_assert_false(p1->leaving);
	talloc_free(fleet);
}

static void test_suspicion(void)
{
	fleet_t *fleet = create_fleet();
	proxy_t *p1 = fleet_find(fleet, "p1");
	proxy_t *p2 = fleet_find(fleet, "p2");
	proxy_t *p3 = fleet_find(fleet, "p3");

	p1->sends_heartbeats = true;
	p2->sends_heartbeats = true;
	receive_heartbeat(fleet, "p1", 100, 1, false);
	receive_heartbeat(fleet, "p3", 100, 1, false);
	fleet_suspect_silent(fleet, 300, 100);
	g_assert_true(p1->suspect);
	g_assert_false(p2->suspect); /* no message received yet */
	g_assert_false(p3->suspect); /* sends no heartbeats: its silence is no evidence */
	receive_heartbeat(fleet, "p1", 300, 1, false);
	g_assert_false(p1->suspect);
	/* After a pause of this process, missed messages are no evidence. */
	fleet_reset_health(fleet);
	fleet_suspect_silent(fleet, 10000, 100);
	g_assert_false(p1->suspect);
	/* A peer that sends no heartbeats can't clear its suspicion, so it expires. */
	fleet_set_suspect(p3, 10000);
	fleet_suspect_silent(fleet, 10400, 100);
	g_assert_true(p3->suspect);
	fleet_suspect_silent(fleet, 10600, 100);
	g_assert_false(p3->suspect);
	talloc_free(fleet);
}

/* A message received at 1000 whose sender had last received this proxy's clock reading echo. */
static void receive_heartbeat_with_echo(fleet_t *fleet, const char *name, usec_t echo)
{
	message_t message = {.kind = MESSAGE_HEARTBEAT, .incarnation = 1, .echo = echo};

	fleet_on_message(fleet, fleet_find(fleet, name), 1000, &message);
}

static void test_majority(void)
{
	fleet_t *fleet = create_fleet();

	receive_heartbeat_with_echo(fleet, "p1", 100);
	receive_heartbeat_with_echo(fleet, "p2", 100);
	receive_heartbeat_with_echo(fleet, "p3", 100);
	g_assert_false(fleet_majority_is_alive(fleet, 100)); /* 4 of 9, self included */
	receive_heartbeat_with_echo(fleet, "p4", 100);
	g_assert_true(fleet_majority_is_alive(fleet, 100));
	g_assert_false(fleet_majority_is_alive(fleet, 101));
	/* Messages may be old, or come without an echo: the time of receipt does not count. */
	for (int i = 1; i < 9; i++) {
		char name[8];

		g_snprintf(name, sizeof(name), "p%d", i);
		receive_heartbeat(fleet, name, 900, 1, false);
		receive_heartbeat_with_echo(fleet, name, 100);
	}
	g_assert_true(fleet_majority_is_alive(fleet, 100));
	g_assert_false(fleet_majority_is_alive(fleet, 101));
	talloc_free(fleet);
}

/* A proxy that is no longer listed is removed, but not while it still sends messages. */
static void test_list(void)
{
	fleet_t *fleet = create_fleet();
	vm_t vms[] = {{.name = "p0", .zone = "z0", .address = "h:0"},
		      {.name = "p7", .zone = "z1", .address = "h:7", .leaving = true}};

	receive_heartbeat(fleet, "p1", 5000, 1, false);
	fleet_apply_list(fleet, 5000, vms, 2, 1000);
	g_assert_nonnull(fleet_find(fleet, "p1"));
	g_assert_null(fleet_find(fleet, "p2"));
	g_assert_true(fleet_find(fleet, "p7")->leaving);
	fleet_apply_list(fleet, 7000, vms, 2, 1000);
	g_assert_null(fleet_find(fleet, "p1"));
	g_assert_nonnull(fleet_find(fleet, "p0"));
	talloc_free(fleet);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fleet/zones", test_zones_differ);
	g_test_add_func("/fleet/leaving-moves-little", test_leaving_moves_little);
	g_test_add_func("/fleet/incremental", test_incremental);
	g_test_add_func("/fleet/leaving-final", test_leaving_is_final);
	g_test_add_func("/fleet/suspicion", test_suspicion);
	g_test_add_func("/fleet/majority", test_majority);
	g_test_add_func("/fleet/list", test_list);
	return g_test_run();
}
