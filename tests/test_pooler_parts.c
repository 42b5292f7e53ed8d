/* The pooler's small parts: freshness, roster, values, following a prefix of the store. */
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "fake_kv.h"
#include "follow.h"
#include "pack.h"
#include "freshness.h"
#include "roster.h"
#include "variables.h"

#define MSEC USEC_PER_MSEC
#define SEC  USEC_PER_SEC

static slice_t text(const char *value)
{
	return slice_of(value, strlen(value));
}

/* --- freshness --- */

/* The oldest sample that is young enough is taken: replicas are most likely to hold it. */
static void test_oldest_fitting_sample(void)
{
	freshness_t freshness = {0};
	sample_t sample;

	for (uint64_t i = 0; i < 100; i++)
		freshness_add(&freshness, SEC + i * 50 * MSEC, (position_t){.term = 1, .lsn = i});
	/* At 6.0 s, 1.5 s back: the sample of 4.5 s. */
	g_assert_true(freshness_position(&freshness, 6 * SEC, 1500 * MSEC, &sample));
	g_assert_cmpuint(sample.sent_at, ==, 4500 * MSEC);
	g_assert_cmpuint(sample.position.lsn, ==, 70);
	g_assert_false(freshness_position(&freshness, 60 * SEC, 1500 * MSEC, &sample));
	g_assert_cmpuint(freshness_time_of(&freshness, (position_t){.term = 1, .lsn = 70}), ==,
			 4500 * MSEC);
	g_assert_cmpuint(freshness_time_of(&freshness, (position_t){.term = 0, .lsn = 70}), ==, 0);
	freshness_reset(&freshness);
	g_assert_false(freshness_position(&freshness, 6 * SEC, 1500 * MSEC, &sample));
}

static void test_samples_too_close(void)
{
	freshness_t freshness = {0};

	freshness_add(&freshness, SEC, (position_t){.term = 1, .lsn = 1});
	freshness_add(&freshness, SEC + MSEC, (position_t){.term = 1, .lsn = 2});
	freshness_add(&freshness, SEC - MSEC, (position_t){.term = 1, .lsn = 1});
	g_assert_cmpuint(freshness.len, ==, 1);
}

/* --- roster --- */

static void test_roster_round_trip(void)
{
	roster_t *roster = roster_create(NULL);
	roster_t *back;
	const char *encoded;

	roster_put_node(roster, "p1", "10.0.0.1:7", "a", 5)->gone = true;
	roster_put_node(roster, "p2", "10.0.0.2:7", "b", 6);
	roster_set_writer(roster, "p2");
	roster_put_group(roster, "core", "m1", true, 4, 9);
	encoded = roster_text(roster);
	back = roster_decode(roster, encoded, strlen(encoded), 12);
	g_assert_nonnull(back);
	g_assert_cmpint(back->revision, ==, 12);
	g_assert_true(roster_node(back, "p1")->gone);
	g_assert_cmpuint(roster_node(back, "p2")->incarnation, ==, 6);
	g_assert_cmpstr(roster_node(back, "p2")->zone, ==, "b");
	g_assert_cmpstr(back->writer, ==, "p2");
	g_assert_cmpstr(roster_group(back, "core")->primary, ==, "m1");
	g_assert_true(roster_group(back, "core")->changing);
	g_assert_cmpuint(roster_group(back, "core")->term, ==, 4);
	roster_put_group(back, "core", roster_group(back, "core")->primary, false, 4, 10);
	g_assert_cmpstr(roster_group(back, "core")->primary, ==, "m1");
	roster_remove_node(back, "p1");
	g_assert_null(roster_node(back, "p1"));
	g_assert_null(roster_decode(roster, "{\"nodes\":{\"a\":1}}", 17, 1));
	g_assert_null(roster_decode(roster, "junk", 4, 1));
	talloc_free(roster);
}

/* --- values --- */

static void test_variables(void)
{
	void *parent = talloc_new(NULL);
	variables_t a;
	variables_t b;

	variables_init(&a);
	variables_init(&b);
	variables_set(&a, parent, text("x"), text("1"));
	variables_set(&a, parent, text("y"), text("2"));
	variables_set(&b, parent, text("y"), text("9"));
	g_assert_true(variables_within(&b, &a));
	g_assert_false(variables_within(&a, &b));
	variables_set(&b, parent, text("y"), text("2"));
	variables_set(&b, parent, text("x"), text("1"));
	g_assert_true(variables_equal(&a, &b));
	variables_set(&b, parent, text("x"), text("12"));
	g_assert_false(variables_equal(&a, &b));
	variables_clear(&b);
	g_assert_cmpuint(b.count, ==, 0);
	talloc_free(parent);
}

/* --- following --- */

typedef struct followed {
	follow_t follow;
	paused_clock_t clock;
	timer_set_t timers;
	fake_kv_t *store;
	fake_kv_client_t client;
	GHashTable *seen;
	size_t gone;
} followed_t;

static void on_changed(follow_t *follow, const kv_item_t *item)
{
	followed_t *self = (followed_t *)follow;

	g_hash_table_insert(self->seen, g_strdup(item->key), g_strndup(item->value, item->len));
}

static void on_gone(follow_t *follow, const char *key)
{
	followed_t *self = (followed_t *)follow;

	self->gone++;
	g_hash_table_remove(self->seen, key);
}

static const follow_ops_t follow_ops = {.changed = on_changed, .gone = on_gone};

static void pass(followed_t *self, usec_t by)
{
	usec_t end = clock_now(&self->clock.base) + by;

	while (timers_next(&self->timers) <= end) {
		usec_t now = clock_now(&self->clock.base);

		if (timers_next(&self->timers) > now)
			paused_clock_advance(&self->clock, timers_next(&self->timers) - now);
		timers_expire(&self->timers, clock_now(&self->clock.base));
	}
	paused_clock_advance(&self->clock, end - clock_now(&self->clock.base));
}

static followed_t *followed_create(void)
{
	followed_t *self = g_new0(followed_t, 1);

	paused_clock_init(&self->clock, 100 * SEC);
	timers_init(&self->timers);
	self->store = fake_kv_create(NULL, &self->clock.base, &self->timers);
	fake_kv_client_init(&self->client, self->store);
	self->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fake_kv_put(self->store, "servers/a", "1");
	fake_kv_put(self->store, "other", "1");
	self->follow.ops = &follow_ops;
	self->follow.kv = &self->client.kv;
	self->follow.clock = &self->clock.base;
	self->follow.timers = &self->timers;
	self->follow.prefix = "servers/";
	follow_start(&self->follow, NULL);
	pass(self, 100 * MSEC);
	return self;
}

static void followed_destroy(followed_t *self)
{
	follow_stop(&self->follow);
	talloc_free(self->store);
	timers_destroy(&self->timers);
	g_hash_table_destroy(self->seen);
	g_free(self);
}

static const char *seen(followed_t *self, const char *key)
{
	return g_hash_table_lookup(self->seen, key);
}

static void test_follow_changes(void)
{
	followed_t *self = followed_create();

	g_assert_cmpstr(seen(self, "servers/a"), ==, "1");
	g_assert_null(seen(self, "other"));
	fake_kv_put(self->store, "servers/b", "1");
	fake_kv_put(self->store, "servers/a", "2");
	pass(self, 50 * MSEC);
	g_assert_cmpstr(seen(self, "servers/a"), ==, "2");
	g_assert_cmpstr(seen(self, "servers/b"), ==, "1");
	fake_kv_put(self->store, "servers/a", NULL);
	pass(self, SEC);
	g_assert_nonnull(seen(self, "servers/a"));
	pass(self, 2 * SEC);
	g_assert_null(seen(self, "servers/a"));
	g_assert_cmpuint(self->gone, ==, 1);
	followed_destroy(self);
}

/*
 * What the store's other users see: a fleet that starts uses up the rate of its calls. What
 * happens: members register one after another, and each change wakes every watch. Why gathering
 * them is enough: the next call brings all that came meanwhile.
 */
static void test_follow_gathers(void)
{
	followed_t *self = followed_create();
	size_t before;

	self->follow.gather = FOLLOW_GATHER;
	before = self->store->call_count;
	for (int i = 0; i < 20; i++) {
		char *key = g_strdup_printf("servers/m%d", i);

		fake_kv_put(self->store, key, "1");
		pass(self, 20 * MSEC);
		g_free(key);
	}
	pass(self, 300 * MSEC);
	for (int i = 0; i < 20; i++) {
		char *key = g_strdup_printf("servers/m%d", i);

		g_assert_cmpstr(seen(self, key), ==, "1");
		g_free(key);
	}
	g_assert_cmpuint(self->store->call_count - before, <=, 4);
	followed_destroy(self);
}

/* The history is dropped while a watch waits: all is read again, nothing is missed. */
static void test_follow_compaction(void)
{
	followed_t *self = followed_create();

	self->store->watches_stalled = true;
	fake_kv_put(self->store, "servers/b", "1");
	fake_kv_put(self->store, "servers/a", NULL);
	fake_kv_compact(self->store);
	self->store->watches_stalled = false;
	pass(self, 4 * SEC);
	g_assert_cmpstr(seen(self, "servers/b"), ==, "1");
	g_assert_null(seen(self, "servers/a"));
	followed_destroy(self);
}

/* An entry lapses while the store is away and is written again 2 s after its return. */
static void test_follow_lapsed_entry(void)
{
	followed_t *self = followed_create();

	self->store->down = true;
	pass(self, 3 * SEC);
	fake_kv_put(self->store, "servers/a", NULL);
	self->store->down = false;
	pass(self, 2 * SEC);
	fake_kv_put(self->store, "servers/a", "3");
	pass(self, 3 * SEC);
	g_assert_cmpstr(seen(self, "servers/a"), ==, "3");
	g_assert_cmpuint(self->gone, ==, 0);
	followed_destroy(self);
}

/* A watch that hears nothing gives no sign of it: a refresh finds what it missed. */
static void test_follow_refresh(void)
{
	followed_t *self = followed_create();

	self->store->watches_stalled = true;
	fake_kv_put(self->store, "servers/a", "2");
	pass(self, 500 * MSEC);
	g_assert_cmpstr(seen(self, "servers/a"), ==, "1");
	follow_refresh(&self->follow);
	pass(self, 50 * MSEC);
	g_assert_cmpstr(seen(self, "servers/a"), ==, "2");
	followed_destroy(self);
}

static followed_t *followed_create_fed(bool held)
{
	followed_t *self = followed_create();

	follow_stop(&self->follow);
	g_hash_table_remove_all(self->seen);
	self->follow = (follow_t){.ops = &follow_ops,
				  .kv = &self->client.kv,
				  .clock = &self->clock.base,
				  .timers = &self->timers,
				  .prefix = "servers/",
				  .fed = true,
				  .held = held};
	self->store->down = true;
	follow_start(&self->follow, NULL);
	return self;
}

/* A follower that is told of changes keeps them to itself until it has read again what history
 * lost. */
static void test_follow_tells_before_reading(void)
{
	followed_t *self = followed_create();
	const kv_item_t item = {.key = "servers/b", .value = "2", .len = 1, .revision = 50};
	follow_changes_t told = {.as_of = 50, .items = &item, .count = 1};
	void *parent = talloc_new(NULL);
	follow_changes_t changes;
	int64_t known;

	pass(self, 100 * USEC_PER_MSEC);
	known = self->follow.told;
	fake_kv_put(self->store, "servers/a", "2");
	fake_kv_compact(self->store);
	/* The watch has ended, the reading that follows is on its way. */
	pass(self, 2 * USEC_PER_MSEC);
	g_assert_cmpint(self->follow.revision, ==, 0);
	self->client.calls_refused = true;
	follow_set_fed(&self->follow, true);
	pass(self, 1 * SEC);
	follow_take(&self->follow, &told);
	g_assert_cmpint(follow_changes(&self->follow, known, parent, &changes), ==, FOLLOW_CHANGED);
	g_assert_cmpint(changes.as_of, ==, 50);
	g_assert_nonnull(follow_pack(&self->follow, known));
	talloc_free(parent);
	followed_destroy(self);
}

/* A process that is told what changed since its earlier life claims to know all, and is told no
 * more. */
static void test_follow_changes_before_all(void)
{
	followed_t *self = followed_create_fed(true);
	const kv_item_t item = {.key = "servers/b", .value = "2", .len = 1, .revision = 50};
	follow_changes_t told = {.as_of = 50, .items = &item, .count = 1};

	follow_take(&self->follow, &told);
	g_assert_cmpstr(seen(self, "servers/b"), ==, "2");
	g_assert_cmpint(self->follow.told, ==, 0);
	told.whole = true;
	follow_take(&self->follow, &told);
	g_assert_cmpint(self->follow.told, ==, 50);
	followed_destroy(self);
}

/* A holder tells an age of minutes since a reading of its own failed long before it held the duty.
 */
static void test_follow_unanswered(void)
{
	followed_t *self = followed_create();
	const kv_item_t item = {.key = "servers/b", .value = "2", .len = 1, .revision = 50};
	follow_changes_t told = {.whole = true, .as_of = 50, .items = &item, .count = 1};

	pass(self, 100 * USEC_PER_MSEC);
	g_assert_cmpuint(follow_unanswered(&self->follow), ==, 0);
	self->client.calls_refused = true;
	follow_refresh(&self->follow);
	pass(self, 1 * SEC);
	g_assert_cmpuint(follow_unanswered(&self->follow), >=, 900 * USEC_PER_MSEC);
	follow_take(&self->follow, &told);
	g_assert_cmpuint(follow_unanswered(&self->follow), ==, 0);
	followed_destroy(self);
}

/* Changes are never learnt while the store turns watches away and nobody tells. */
static void test_follow_watches_turned_away(void)
{
	followed_t *self = followed_create();

	pass(self, 100 * USEC_PER_MSEC);
	self->client.watches_refused = true;
	/* The watch that waits is answered once more. */
	fake_kv_put(self->store, "servers/a", "1");
	pass(self, 500 * USEC_PER_MSEC);
	for (int i = 2; i < 6; i++) {
		char value[8];

		g_snprintf(value, sizeof(value), "%d", i);
		fake_kv_put(self->store, "servers/a", value);
		/* The longest back-off of a watch. */
		pass(self, 3300 * USEC_PER_MSEC);
		g_assert_cmpstr(seen(self, "servers/a"), ==, value);
	}
	followed_destroy(self);
}

/* Many pages: more items than one answer holds. */
static void test_follow_pages(void)
{
	followed_t *self = followed_create();

	for (int i = 0; i < 1200; i++) {
		char key[32];

		g_snprintf(key, sizeof(key), "servers/x%04d", i);
		fake_kv_put(self->store, key, "1");
	}
	fake_kv_compact(self->store);
	pass(self, SEC);
	g_assert_cmpuint(g_hash_table_size(self->seen), ==, 1201);
	followed_destroy(self);
}

/* One that the store does not answer; a peer tells it what changes. */

/* What the peer has that the other lacks; false if nothing was to be told. */
static bool tell(const followed_t *peer, followed_t *to)
{
	void *parent = talloc_new(NULL);
	follow_changes_t changes;
	bool told =
		follow_changes(&peer->follow, to->follow.told, parent, &changes) == FOLLOW_CHANGED;

	if (told)
		follow_take(&to->follow, &changes);
	talloc_free(parent);
	return told;
}

/* Members of a large deployment, as their entries are. */
#define MEMBERS 3000

static void put_members(fake_kv_t *store)
{
	for (int i = 0; i < MEMBERS; i++) {
		g_autofree char *key = g_strdup_printf("servers/i-%08x", (unsigned)i * 2654435761u);
		g_autofree char *value = g_strdup_printf(
			"{\"service\":\"jobs%d\",\"addr\":\"10.9.%d.%d:9000\",\"zone\":\"plateau\","
			"\"version\":\"1.0\",\"slots\":2,\"state\":\"ready\",\"coldLeftMs\":0,"
			"\"seq\":%d,\"dbRole\":\"%s\",\"born\":1780000000000}",
			i / 3, i / 250, i % 250, i * 7 % 1000, i % 3 == 0 ? "primary" : "replica");

		fake_kv_put(store, key, value);
	}
}

/*
 * Guards against a start in which every proxy of a large fleet reads all members from the store:
 * 985 times 1.3 MB through its one link. A peer tells them as one text, and changes after it.
 */
static void test_follow_packed(void)
{
	followed_t *peer = followed_create();
	followed_t *fed = followed_create_fed(true);
	const char *packed;
	size_t calls;

	put_members(peer->store);
	pass(peer, SEC);
	calls = fed->store->call_count;
	g_assert_false(tell(peer, fed));
	packed = follow_pack(&peer->follow, 0);
	g_test_message("%d members, %zu bytes", MEMBERS, strlen(packed));
	g_assert_cmpuint(strlen(packed), <, 60 * MEMBERS);
	g_assert_true(follow_pack(&peer->follow, 0) == packed);
	g_assert_false(follow_open(&fed->follow, "zlib:9999 AAAA"));
	g_assert_false(follow_open(&fed->follow, "{\"as_of\":7}"));
	g_assert_cmpuint(g_hash_table_size(fed->seen), ==, 0);
	g_assert_true(follow_open(&fed->follow, packed));
	g_assert_cmpuint(g_hash_table_size(fed->seen), ==, MEMBERS + 1);
	follow_release(&fed->follow);
	pass(fed, SEC);
	g_assert_cmpuint(fed->store->call_count, ==, calls);
	fake_kv_put(peer->store, "servers/b", "1");
	pass(peer, 100 * MSEC);
	/* Changes, with what is missing, and not all of it again. */
	fake_kv_put(peer->store, "servers/a", NULL);
	pass(peer, 100 * MSEC);
	packed = follow_pack(&peer->follow, fed->follow.told);
	g_assert_cmpuint(strlen(packed), <, 200);
	g_assert_true(follow_open(&fed->follow, packed));
	g_assert_cmpstr(seen(fed, "servers/b"), ==, "1");
	pass(fed, 3 * SEC);
	g_assert_null(seen(fed, "servers/a"));
	g_assert_cmpint(fed->follow.told, ==, peer->follow.told);
	followed_destroy(fed);
	followed_destroy(peer);
}

static void test_pack_round_trip(void)
{
	GString *text = g_string_new("");
	void *parent = talloc_new(NULL);
	const char *packed;
	const char *opened;
	size_t len;

	g_assert_cmpstr(pack_text(parent, "short", 5), ==, "short");
	g_assert_cmpstr(pack_open(parent, "short", 5, &len), ==, "short");
	while (text->len < 2 * PACK_LEAST)
		g_string_append_printf(text, "{\"entry\":%zu},", text->len);
	packed = pack_text(parent, text->str, text->len);
	g_assert_cmpuint(strlen(packed), <, text->len / 2);
	opened = pack_open(parent, packed, strlen(packed), &len);
	g_assert_cmpuint(len, ==, text->len);
	g_assert_cmpstr(opened, ==, text->str);
	/* Cut off, and with a length that is not the text's. */
	g_assert_null(pack_open(parent, packed, strlen(packed) / 2, &len));
	g_assert_null(pack_open(parent, "zlib:99999999999999 eA==", 24, &len));
	talloc_free(parent);
	g_string_free(text, TRUE);
}

/*
 * What the store saw before: one change of a member cost a call of each proxy, 295 in the largest
 * fleet. One that is told by a peer makes none, learns the same, and is told nothing twice.
 */
static void test_follow_by_a_peer(void)
{
	followed_t *peer = followed_create();
	followed_t *fed = followed_create_fed(false);
	size_t calls;

	g_assert_true(tell(peer, fed));
	g_assert_cmpstr(seen(fed, "servers/a"), ==, "1");
	g_assert_false(tell(peer, fed));
	pass(fed, SEC);
	calls = fed->store->call_count;
	fake_kv_put(peer->store, "servers/b", "1");
	pass(peer, 50 * MSEC);
	g_assert_true(tell(peer, fed));
	g_assert_cmpstr(seen(fed, "servers/b"), ==, "1");
	fake_kv_put(peer->store, "servers/a", NULL);
	pass(peer, 50 * MSEC);
	g_assert_true(tell(peer, fed));
	pass(fed, 3 * SEC);
	g_assert_null(seen(fed, "servers/a"));
	/* Its own first reading is still tried, since it has never succeeded, but nothing more. */
	g_assert_cmpuint(fed->store->call_count, <=, calls + 1);
	followed_destroy(fed);
	followed_destroy(peer);
}

/*
 * What callers would see otherwise: statements for a member that has left. The peer's watch misses
 * its end without a sign, and the peer learns of it by reading everything again, when it has told
 * newer changes already. (If the store has not changed at all since, proxies notice by the digest
 * of their lists.)
 */
static void test_follow_late_discovery(void)
{
	followed_t *peer = followed_create();
	followed_t *fed = followed_create_fed(false);

	tell(peer, fed);
	peer->store->watches_stalled = true;
	fake_kv_put(peer->store, "servers/a", NULL);
	fake_kv_drop_events(peer->store);
	peer->store->watches_stalled = false;
	fake_kv_put(peer->store, "servers/b", "1");
	pass(peer, 50 * MSEC);
	tell(peer, fed);
	g_assert_nonnull(seen(fed, "servers/a"));
	fake_kv_put(peer->store, "other", "2");
	follow_refresh(&peer->follow);
	pass(peer, 50 * MSEC);
	g_assert_true(tell(peer, fed));
	pass(fed, 3 * SEC);
	g_assert_null(seen(fed, "servers/a"));
	g_assert_nonnull(seen(fed, "servers/b"));
	g_assert_false(tell(peer, fed));
	followed_destroy(fed);
	followed_destroy(peer);
}

/* A peer that has read everything only lately tells all of it, and what is not there is gone. */
static void test_follow_whole(void)
{
	followed_t *first = followed_create();
	followed_t *second = followed_create();
	followed_t *fed = followed_create_fed(false);

	fake_kv_put(first->store, "servers/old", "1");
	pass(first, 50 * MSEC);
	tell(first, fed);
	for (int i = 0; i < 10; i++)
		fake_kv_put(second->store, "other", "1");
	fake_kv_put(second->store, "servers/new", "1");
	fake_kv_compact(second->store);
	follow_stop(&second->follow);
	g_hash_table_remove_all(second->seen);
	second->follow.revision = 0;
	second->follow.told = 0;
	second->follow.watching = false;
	follow_start(&second->follow, NULL);
	pass(second, 100 * MSEC);
	g_assert_true(tell(second, fed));
	pass(fed, 3 * SEC);
	g_assert_nonnull(seen(fed, "servers/new"));
	g_assert_null(seen(fed, "servers/old"));
	followed_destroy(fed);
	followed_destroy(second);
	followed_destroy(first);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/freshness/oldest-fitting", test_oldest_fitting_sample);
	g_test_add_func("/freshness/too-close", test_samples_too_close);
	g_test_add_func("/roster/round-trip", test_roster_round_trip);
	g_test_add_func("/variables/sets", test_variables);
	g_test_add_func("/follow/packed", test_follow_packed);
	g_test_add_func("/pack/round-trip", test_pack_round_trip);
	g_test_add_func("/follow/changes", test_follow_changes);
	g_test_add_func("/follow/gathers", test_follow_gathers);
	g_test_add_func("/follow/compaction", test_follow_compaction);
	g_test_add_func("/follow/lapsed-entry", test_follow_lapsed_entry);
	g_test_add_func("/follow/refresh", test_follow_refresh);
	g_test_add_func("/follow/tells-before-reading", test_follow_tells_before_reading);
	g_test_add_func("/follow/changes-before-all", test_follow_changes_before_all);
	g_test_add_func("/follow/unanswered", test_follow_unanswered);
	g_test_add_func("/follow/watches-turned-away", test_follow_watches_turned_away);
	g_test_add_func("/follow/pages", test_follow_pages);
	g_test_add_func("/follow/by-a-peer", test_follow_by_a_peer);
	g_test_add_func("/follow/late-discovery", test_follow_late_discovery);
	g_test_add_func("/follow/whole", test_follow_whole);
	return g_test_run();
}
