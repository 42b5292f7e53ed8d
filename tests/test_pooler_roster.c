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

/* The next roster: as this one but for what the caller changes before adopt(). */
static roster_t *next_of(const roster_t *roster)
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

static bool take(roster_t *roster, const char *text, int64_t revision)
{
	roster_diff_t *diff = roster_apply_text(NULL, roster, text, strlen(text), revision);
	bool taken = diff != NULL;

	talloc_free(diff);
	return taken;
}

/*
 * What callers saw before: at the start of a quiet day nobody was served for six seconds. Each
 * mark of a change was told to all proxies as a whole roster; on a link of 2 Mbit/s that took the
 * holder of the duty longer than its lease, and its probes of the members timed out in the queue.
 * Bytes of one change of primary, told to all of 295 proxies: 8,953 kB whole, 37 kB as a change.
 */
static void test_change_is_small(void)
{
	roster_t *teller = make_fleet(10);
	roster_t *listener = make_fleet(10);
	roster_t *next = next_of(teller);
	const char *changes;

	roster_put_group(next, "callout-7", "i-2", true, 3, 9);
	adopt(teller, next);
	changes = roster_encode_changes(teller, 10);
	/* The whole is 32 KB, or 4 KB as it travels. */
	g_assert_cmpuint(strlen(changes), <=, 150);
	g_assert_cmpuint(strlen(roster_encode(teller)), <=, 8 * 1024);
	g_test_message("changes %zu B, whole %zu B", strlen(changes),
		       strlen(roster_encode(teller)));
	g_assert_true(take(listener, changes, 11));
	g_assert_cmpstr(roster_encode(listener), ==, roster_encode(teller));
	talloc_free(listener);
	talloc_free(teller);
}

/*
 * Every proxy takes each change over: what stays the same is not looked at, so that a change costs
 * the same in a fleet of any size.
 */
static void test_change_touches_little(void)
{
	roster_t *teller = make_fleet(10);
	roster_t *listener = make_fleet(10);
	roster_t *next = next_of(teller);
	const roster_node_t *other = roster_find_node(listener, "front-pikine-2");
	int64_t nodes_revision = listener->nodes_revision;
	const char *changes;
	roster_diff_t *diff;

	roster_put_group(next, "callout-7", "i-2", true, 3, 9);
	roster_put_node(next, "front-pikine-3", "10.2.0.3:7440", "pikine", 77);
	adopt(teller, next);
	changes = roster_encode_changes(teller, 10);
	diff = roster_apply_text(NULL, listener, changes, strlen(changes), 11);
	g_assert_cmpuint(diff->node_count, ==, 1);
	g_assert_true(diff->nodes[0].registered);
	g_assert_cmpuint(diff->group_count, ==, 1);
	g_assert_cmpstr(diff->groups[0].was_primary, ==, "i-1");
	g_assert_cmpuint(listener->changing_count, ==, 1);
	g_assert_cmpuint(listener->node_count, ==, FLEET);
	g_assert_true(roster_find_node(listener, "front-pikine-2") == other);
	/* A process that started again is no other place: homes and hubs stay. */
	g_assert_cmpint(listener->nodes_revision, ==, nodes_revision);
	talloc_free(diff);
	talloc_free(listener);
	talloc_free(teller);
}

/*
 * A proxy that was taken off stays off at whoever hears of it by changes only; a proxy that was
 * changed twice is told as it is now, also to whoever has heard the first change.
 */
static void test_removal_and_return(void)
{
	roster_t *teller = make_fleet(10);
	roster_t *second = next_of(teller);
	roster_t *third;

	roster_remove_node(second, "front-pikine-3");
	roster_find_node(second, "front-plateau-0")->gone = true;
	third = next_of(second);
	roster_put_node(third, "front-plateau-0", "10.0.0.99:7440", "plateau", 5000);
	adopt(teller, roster_copy(NULL, second));
	adopt(teller, third);
	for (int64_t since = 10; since <= 11; since++) {
		roster_t *listener = make_fleet(10);

		if (since == 11)
			adopt(listener, roster_copy(NULL, second));
		g_assert_true(take(listener, roster_encode_changes(teller, since), 12));
		g_assert_null(roster_find_node(listener, "front-pikine-3"));
		g_assert_false(roster_find_node(listener, "front-plateau-0")->gone);
		g_assert_cmpstr(roster_find_node(listener, "front-plateau-0")->address, ==,
				"10.0.0.99:7440");
		g_assert_cmpuint(listener->node_count, ==, FLEET - 1);
		talloc_free(listener);
	}
	talloc_free(second);
	talloc_free(teller);
}

/*
 * What a caller would see otherwise: a write sent to a primary that was replaced long ago. A proxy
 * that has just read the roster knows nothing of the changes before that, so whoever holds an
 * older one is told all of it; and changes that start later than one's own roster are not taken.
 */
static void test_unknown_past(void)
{
	roster_t *teller = make_fleet(10);
	roster_t *older = make_fleet(9);
	roster_t *next = next_of(teller);

	roster_put_group(next, "callout-7", "i-2", false, 4, 9);
	adopt(teller, next);
	g_assert_cmpstr(roster_encode_changes(teller, 9), ==, roster_encode(teller));
	g_assert_false(take(older, roster_encode_changes(teller, 10), 11));
	g_assert_cmpint(older->revision, ==, 9);
	talloc_free(older);
	talloc_free(teller);
}

/* More proxies go than removals are kept: those that are far behind are told all of it. */
static void test_many_removals(void)
{
	roster_t *teller = make_fleet(10);
	roster_t *listener = make_fleet(10);
	roster_t *next = next_of(teller);

	for (int i = 0; i < 59; i++) {
		char name[32];

		g_snprintf(name, sizeof(name), "front-pikine-%d", i);
		roster_remove_node(next, name);
		g_snprintf(name, sizeof(name), "front-plateau-%d", i);
		roster_remove_node(next, name);
	}
	adopt(teller, next);
	g_assert_cmpstr(roster_encode_changes(teller, 10), ==, roster_encode(teller));
	g_assert_true(take(listener, roster_encode(teller), 11));
	g_assert_cmpuint(listener->node_count, ==, FLEET - 2 * 59);
	talloc_free(listener);
	talloc_free(teller);
}

/* What is not a roster is refused whole. */
static void test_broken_text(void)
{
	static const char *const texts[] = {"", "[]", "{\"nodes\":{\"a\":1}}",
					    "{\"groups\":{\"s\":{\"primary\":7}}}"};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		roster_t *roster = make_fleet(10);

		g_assert_null(roster_decode(NULL, texts[i], strlen(texts[i]), 1));
		g_assert_false(take(roster, texts[i], 11));
		g_assert_cmpuint(roster->node_count, ==, FLEET);
		talloc_free(roster);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/roster/change-is-small", test_change_is_small);
	g_test_add_func("/roster/change-touches-little", test_change_touches_little);
	g_test_add_func("/roster/removal-and-return", test_removal_and_return);
	g_test_add_func("/roster/unknown-past", test_unknown_past);
	g_test_add_func("/roster/many-removals", test_many_removals);
	g_test_add_func("/roster/broken-text", test_broken_text);
	return g_test_run();
}
