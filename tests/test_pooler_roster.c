/*
 * The roster: changes are sent instead of the whole document.
 */
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "roster.h"

#define FLEET	 295
#define SERVICES 20

/* A fleet of 295 proxies, as adopted at that revision. */
static roster_t *make_fleet(int64_t revision)
{
	static const char *const zones[] = {"plateau", "almadies", "pikine", "rufisque",
					    "guediawaye"};
	roster_t *roster = roster_create(NULL);
	roster_t *adopted = roster_create(NULL);

	for (int i = 0; i < FLEET; i++) {
		char name[32];
		char address[32];

		g_snprintf(name, sizeof(name), "front-%s-%d", zones[i % 5], i / 5);
		g_snprintf(address, sizeof(address), "10.%d.0.%d:7440", i % 5, i / 5);
		roster_put_node(roster, name, address, zones[i % 5], 1000 + (uint64_t)i);
	}
	for (int i = 0; i < SERVICES; i++) {
		char service[16];

		g_snprintf(service, sizeof(service), "callout-%d", i);
		roster_put_group(roster, service, "i-1", false, 3, 9);
	}
	roster->revision = revision;
	talloc_free(roster_update(NULL, adopted, roster));
	talloc_free(roster);
	return adopted;
}

/* Returns a copy with the next revision, which the caller changes before adopt(). */
static roster_t *copy_next(const roster_t *roster)
{
	roster_t *next = roster_copy(NULL, roster);

	next->revision = roster->revision + 1;
	return next;
}

static void adopt(roster_t *roster, roster_t *next)
{
	talloc_free(roster_update(NULL, roster, next));
	talloc_free(next);
}

static bool apply_text(roster_t *roster, const char *text, int64_t revision)
{
	roster_diff_t *diff = roster_apply_text(NULL, roster, text, strlen(text), revision);
	bool applied = diff != NULL;

	talloc_free(diff);
	return applied;
}

/*
 * At the start of an idle day no caller was served for six seconds. Each mark of a change was sent
 * to all proxies as a whole roster. On a link of 2 Mbit/s that took the leader longer than its
 * lease, and its probes of the members timed out in the queue. Bytes of one change of primary for
 * all of 295 proxies: 8,953 kB as whole rosters, 37 kB as changes.
 */
static void test_change_is_small(void)
{
	roster_t *sender = make_fleet(10);
	roster_t *receiver = make_fleet(10);
	roster_t *next = copy_next(sender);
	const char *changes;

	roster_put_group(next, "callout-7", "i-2", true, 3, 9);
	adopt(sender, next);
	changes = roster_encode_changes(sender, 10);
	/* The whole roster has 32 KB, or 4 KB compressed. */
	g_assert_cmpuint(strlen(changes), <=, 150);
	g_assert_cmpuint(strlen(roster_encode(sender)), <=, 8 * 1024);
	g_test_message("changes %zu B, whole %zu B", strlen(changes),
		       strlen(roster_encode(sender)));
	g_assert_true(apply_text(receiver, changes, 11));
	g_assert_cmpstr(roster_encode(receiver), ==, roster_encode(sender));
	talloc_free(receiver);
	talloc_free(sender);
}

/*
 * Every proxy applies each change without visiting the entries that stay the same, so that a change
 * costs the same in a fleet of any size.
 */
static void test_change_touches_only_its_entries(void)
{
	roster_t *sender = make_fleet(10);
	roster_t *receiver = make_fleet(10);
	roster_t *next = copy_next(sender);
	const roster_node_t *other = roster_find_node(receiver, "front-pikine-2");
	int64_t nodes_revision = receiver->nodes_revision;
	const char *changes;
	roster_diff_t *diff;

	roster_put_group(next, "callout-7", "i-2", true, 3, 9);
	roster_put_node(next, "front-pikine-3", "10.2.0.3:7440", "pikine", 77);
	adopt(sender, next);
	changes = roster_encode_changes(sender, 10);
	diff = roster_apply_text(NULL, receiver, changes, strlen(changes), 11);
	g_assert_cmpuint(diff->node_count, ==, 1);
	g_assert_true(diff->nodes[0].registered);
	g_assert_cmpuint(diff->group_count, ==, 1);
	g_assert_cmpstr(diff->groups[0].was_primary, ==, "i-1");
	g_assert_cmpuint(receiver->changing_count, ==, 1);
	g_assert_cmpuint(receiver->node_count, ==, FLEET);
	g_assert_true(roster_find_node(receiver, "front-pikine-2") == other);
	/* A restarted process stays in its zone, so homes and hubs stay the same. */
	g_assert_cmpint(receiver->nodes_revision, ==, nodes_revision);
	talloc_free(diff);
	talloc_free(receiver);
	talloc_free(sender);
}

/*
 * A proxy that was removed stays removed for receivers of changes only. A proxy that was changed
 * twice is sent in its latest state, also to receivers of the first change.
 */
static void test_removal_and_return(void)
{
	roster_t *sender = make_fleet(10);
	roster_t *second = copy_next(sender);
	roster_t *third;

	roster_remove_node(second, "front-pikine-3");
	roster_find_node(second, "front-plateau-0")->gone = true;
	third = copy_next(second);
	roster_put_node(third, "front-plateau-0", "10.0.0.99:7440", "plateau", 5000);
	adopt(sender, roster_copy(NULL, second));
	adopt(sender, third);
	for (int64_t since = 10; since <= 11; since++) {
		roster_t *receiver = make_fleet(10);

		if (since == 11)
			adopt(receiver, roster_copy(NULL, second));
		g_assert_true(apply_text(receiver, roster_encode_changes(sender, since), 12));
		g_assert_null(roster_find_node(receiver, "front-pikine-3"));
		g_assert_false(roster_find_node(receiver, "front-plateau-0")->gone);
		g_assert_cmpstr(roster_find_node(receiver, "front-plateau-0")->address, ==,
				"10.0.0.99:7440");
		g_assert_cmpuint(receiver->node_count, ==, FLEET - 1);
		talloc_free(receiver);
	}
	talloc_free(second);
	talloc_free(sender);
}

/*
 * A write could otherwise be sent to a primary that was replaced long ago. A proxy that has just
 * read the roster lacks the changes before that, so it sends the whole roster to a proxy with an
 * older one; and changes since a later revision than one's own roster are not applied.
 */
static void test_unknown_history(void)
{
	roster_t *sender = make_fleet(10);
	roster_t *older = make_fleet(9);
	roster_t *next = copy_next(sender);

	roster_put_group(next, "callout-7", "i-2", false, 4, 9);
	adopt(sender, next);
	g_assert_cmpstr(roster_encode_changes(sender, 9), ==, roster_encode(sender));
	g_assert_false(apply_text(older, roster_encode_changes(sender, 10), 11));
	g_assert_cmpint(older->revision, ==, 9);
	talloc_free(older);
	talloc_free(sender);
}

/*
 * More proxies are removed than removals are kept, so proxies that are far behind are sent the
 * whole roster.
 */
static void test_many_removals(void)
{
	roster_t *sender = make_fleet(10);
	roster_t *receiver = make_fleet(10);
	roster_t *next = copy_next(sender);

	for (int i = 0; i < 59; i++) {
		char name[32];

		g_snprintf(name, sizeof(name), "front-pikine-%d", i);
		roster_remove_node(next, name);
		g_snprintf(name, sizeof(name), "front-plateau-%d", i);
		roster_remove_node(next, name);
	}
	adopt(sender, next);
	g_assert_cmpstr(roster_encode_changes(sender, 10), ==, roster_encode(sender));
	g_assert_true(apply_text(receiver, roster_encode(sender), 11));
	g_assert_cmpuint(receiver->node_count, ==, FLEET - 2 * 59);
	talloc_free(receiver);
	talloc_free(sender);
}

/* Guards against a negative processor share, by which homes can't be ranked. */
static void test_negative_share(void)
{
	roster_t *roster = make_fleet(2);
	const char *text;
	roster_t *decoded;

	list_for_each (it, &roster->nodes)
		list_entry(it, roster_node_t, node)->capacity = -5;
	text = roster_encode(roster);
	decoded = roster_decode(NULL, text, strlen(text), 1);
	list_for_each (it, &decoded->nodes)
		g_assert_cmpint(list_entry(it, roster_node_t, node)->capacity, ==, 0);
	talloc_free(decoded);
	talloc_free(roster);
}

/* A text that is not a roster is rejected as a whole. */
static void test_broken_text(void)
{
	static const char *const texts[] = {"", "[]", "{\"nodes\":{\"a\":1}}",
					    "{\"groups\":{\"s\":{\"primary\":7}}}"};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		roster_t *roster = make_fleet(10);

		g_assert_null(roster_decode(NULL, texts[i], strlen(texts[i]), 1));
		g_assert_false(apply_text(roster, texts[i], 11));
		g_assert_cmpuint(roster->node_count, ==, FLEET);
		talloc_free(roster);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/roster/change-is-small", test_change_is_small);
	g_test_add_func("/roster/change-touches-little", test_change_touches_only_its_entries);
	g_test_add_func("/roster/removal-and-return", test_removal_and_return);
	g_test_add_func("/roster/unknown-past", test_unknown_history);
	g_test_add_func("/roster/many-removals", test_many_removals);
	g_test_add_func("/roster/negative-share", test_negative_share);
	g_test_add_func("/roster/broken-text", test_broken_text);
	return g_test_run();
}
