/* The roster: what is told of a change instead of all of it. */
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "roster.h"

#define FLEET	 295
#define SERVICES 20

/* A fleet of the users' largest site, as adopted at that revision. */
static roster_t *make_fleet(int64_t revision)
{
	static const char *const zones[] = {"plateau", "almadies", "pikine", "rufisque",
					    "guediawaye"};
	roster_t *none = roster_create(NULL);
	roster_t *roster = roster_create(NULL);

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
	roster_mark_changes(roster, none);
	talloc_free(none);
	return roster;
}

/* The next roster: as the base but for what the caller changes before roster_mark_changes(). */
static roster_t *next_of(const roster_t *base)
{
	roster_t *next = roster_copy(NULL, base);

	next->revision = base->revision + 1;
	return next;
}

/*
 * What callers saw before: at the start of a quiet day nobody was served for six seconds. Each
 * mark of a change was told to all proxies as a whole roster; on a link of 2 Mbit/s that took the
 * holder of the duty longer than its lease, and its probes of the members timed out in the queue.
 * Bytes of one change of primary, told to all of 295 proxies: 8,953 kB whole, 37 kB as a change.
 */
static void test_change_is_small(void)
{
	roster_t *base = make_fleet(10);
	roster_t *next = next_of(base);
	const char *changes;
	roster_t *applied;

	roster_put_group(next, "callout-7", "i-2", true, 3, 9);
	roster_mark_changes(next, base);
	changes = roster_changes(next, 10);
	g_assert_cmpuint(strlen(changes) * 100, <, strlen(roster_text(next)));
	g_test_message("changes %zu B, whole %zu B", strlen(changes), strlen(roster_text(next)));
	applied = roster_apply(NULL, base, changes, strlen(changes), 11);
	g_assert_cmpstr(roster_text(applied), ==, roster_text(next));
	talloc_free(applied);
	talloc_free(next);
	talloc_free(base);
}

/*
 * A proxy that was taken off stays off at whoever hears of it by changes only; a proxy that was
 * changed twice is told as it is now, also to whoever has heard the first change.
 */
static void test_removal_and_return(void)
{
	roster_t *base = make_fleet(10);
	roster_t *second = next_of(base);
	roster_t *third;
	roster_t *applied;
	const char *changes;

	roster_remove_node(second, "front-pikine-3");
	roster_node(second, "front-plateau-0")->gone = true;
	roster_mark_changes(second, base);
	third = next_of(second);
	roster_put_node(third, "front-plateau-0", "10.0.0.99:7440", "plateau", 5000);
	roster_mark_changes(third, second);
	for (int64_t since = 10; since <= 11; since++) {
		changes = roster_changes(third, since);
		applied = roster_apply(NULL, since == 10 ? base : second, changes, strlen(changes),
				       12);
		g_assert_null(roster_node(applied, "front-pikine-3"));
		g_assert_false(roster_node(applied, "front-plateau-0")->gone);
		g_assert_cmpstr(roster_node(applied, "front-plateau-0")->address, ==,
				"10.0.0.99:7440");
		talloc_free(applied);
	}
	talloc_free(third);
	talloc_free(second);
	talloc_free(base);
}

/*
 * What a caller would see otherwise: a write sent to a primary that was replaced long ago. A proxy
 * that has just read the roster knows nothing of the changes before that, so whoever holds an
 * older one is told all of it; and changes that start later than one's own roster are not taken.
 */
static void test_unknown_past(void)
{
	roster_t *base = make_fleet(10);
	roster_t *next = next_of(base);
	const char *changes;
	roster_t *older;

	roster_put_group(next, "callout-7", "i-2", false, 4, 9);
	roster_mark_changes(next, base);
	g_assert_cmpstr(roster_changes(next, 9), ==, roster_text(next));
	changes = roster_changes(next, 10);
	older = make_fleet(9);
	g_assert_null(roster_apply(NULL, older, changes, strlen(changes), 11));
	talloc_free(older);
	talloc_free(next);
	talloc_free(base);
}

/* More proxies go than removals are kept: those that are far behind are told all of it. */
static void test_many_removals(void)
{
	roster_t *base = make_fleet(10);
	roster_t *next = next_of(base);

	for (int i = 0; i < 59; i++) {
		char name[32];

		g_snprintf(name, sizeof(name), "front-pikine-%d", i);
		roster_remove_node(next, name);
		g_snprintf(name, sizeof(name), "front-plateau-%d", i);
		roster_remove_node(next, name);
	}
	roster_mark_changes(next, base);
	g_assert_cmpstr(roster_changes(next, 10), ==, roster_text(next));
	talloc_free(next);
	talloc_free(base);
}

/* What is not a roster is refused whole. */
static void test_broken_text(void)
{
	static const char *const texts[] = {"", "[]", "{\"nodes\":{\"a\":1}}",
					    "{\"groups\":{\"s\":{\"primary\":7}}}"};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		g_assert_null(roster_decode(NULL, texts[i], strlen(texts[i]), 1));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/roster/change-is-small", test_change_is_small);
	g_test_add_func("/roster/removal-and-return", test_removal_and_return);
	g_test_add_func("/roster/unknown-past", test_unknown_past);
	g_test_add_func("/roster/many-removals", test_many_removals);
	g_test_add_func("/roster/broken-text", test_broken_text);
	return g_test_run();
}
