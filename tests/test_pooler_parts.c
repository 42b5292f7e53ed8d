/* Unit tests: freshness samples, roster, session values, packing, followers of the store. */
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

/* The oldest sample that is recent enough is used, since replicas most likely have applied it. */
static void test_oldest_fitting_sample(void)
{
	freshness_t freshness = {0};
	sample_t sample;

	for (uint64_t i = 0; i < 100; i++)
		freshness_add(&freshness, SEC + i * 50 * MSEC, (position_t){.term = 1, .lsn = i});
	/* At 6.0 s with a maximum age of 1.5 s: the sample taken at 4.5 s. */
	g_assert_true(freshness_min_position(&freshness, 6 * SEC, 1500 * MSEC, &sample));
	g_assert_cmpuint(sample.sent_at, ==, 4500 * MSEC);
	g_assert_cmpuint(sample.position.lsn, ==, 70);
	g_assert_false(freshness_min_position(&freshness, 60 * SEC, 1500 * MSEC, &sample));
	g_assert_cmpuint(freshness_position_time(&freshness, (position_t){.term = 1, .lsn = 70}),
			 ==, 4500 * MSEC);
	g_assert_cmpuint(freshness_position_time(&freshness, (position_t){.term = 0, .lsn = 70}),
			 ==, 0);
	freshness_reset(&freshness);
	g_assert_false(freshness_min_position(&freshness, 6 * SEC, 1500 * MSEC, &sample));
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
	encoded = roster_encode(roster);
	back = roster_decode(roster, encoded, strlen(encoded), 12);
	g_assert_nonnull(back);
	g_assert_cmpint(back->revision, ==, 12);
	g_assert_true(roster_find_node(back, "p1")->gone);
	g_assert_cmpuint(roster_find_node(back, "p2")->incarnation, ==, 6);
	g_assert_cmpstr(roster_find_node(back, "p2")->zone, ==, "b");
	g_assert_cmpstr(back->writer, ==, "p2");
	g_assert_cmpstr(roster_find_group(back, "core")->primary, ==, "m1");
	g_assert_true(roster_find_group(back, "core")->changing);
	g_assert_cmpuint(roster_find_group(back, "core")->term, ==, 4);
	roster_put_group(back, "core", roster_find_group(back, "core")->primary, false, 4, 10);
	g_assert_cmpstr(roster_find_group(back, "core")->primary, ==, "m1");
	roster_remove_node(back, "p1");
	g_assert_null(roster_find_node(back, "p1"));
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
	g_assert_true(variables_is_subset(&b, &a));
	g_assert_false(variables_is_subset(&a, &b));
	variables_set(&b, parent, text("y"), text("2"));
	variables_set(&b, parent, text("x"), text("1"));
	g_assert_true(variables_equal(&a, &b));
	variables_set(&b, parent, text("x"), text("12"));
	g_assert_false(variables_equal(&a, &b));
	variables_clear(&b);
	g_assert_cmpuint(b.count, ==, 0);
	talloc_free(parent);
}

/* --- followers of the store --- */

typedef struct follower {
	follow_t follow;
	manual_clock_t clock;
	timer_set_t timers;
	fake_kv_t *store;
	fake_kv_client_t client;
	GHashTable *seen;
	size_t removed_count;
} follower_t;

static void on_changed(follow_t *follow, const kv_item_t *item)
{
	follower_t *self = (follower_t *)follow;

	g_hash_table_insert(self->seen, g_strdup(item->key), g_strndup(item->value, item->len));
}

static void on_removed(follow_t *follow, const char *key)
{
	follower_t *self = (follower_t *)follow;

	self->removed_count++;
	g_hash_table_remove(self->seen, key);
}

static const follow_ops_t follow_ops = {.on_changed = on_changed, .on_removed = on_removed};

static void run_for(follower_t *self, usec_t by)
{
	usec_t end = clock_now(&self->clock.base) + by;

	while (timers_next_due(&self->timers) <= end) {
		usec_t now = clock_now(&self->clock.base);

		if (timers_next_due(&self->timers) > now)
			manual_clock_advance(&self->clock, timers_next_due(&self->timers) - now);
		timers_expire(&self->timers, clock_now(&self->clock.base));
	}
	manual_clock_advance(&self->clock, end - clock_now(&self->clock.base));
}

static follower_t *follower_create(void)
{
	follower_t *self = g_new0(follower_t, 1);

	manual_clock_init(&self->clock, 100 * SEC);
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
	run_for(self, 100 * MSEC);
	return self;
}

static void follower_destroy(follower_t *self)
{
	follow_stop(&self->follow);
	talloc_free(self->store);
	timers_destroy(&self->timers);
	g_hash_table_destroy(self->seen);
	g_free(self);
}

static const char *seen(follower_t *self, const char *key)
{
	return g_hash_table_lookup(self->seen, key);
}

static void test_follow_changes(void)
{
	follower_t *self = follower_create();

	g_assert_cmpstr(seen(self, "servers/a"), ==, "1");
	g_assert_null(seen(self, "other"));
	fake_kv_put(self->store, "servers/b", "1");
	fake_kv_put(self->store, "servers/a", "2");
	run_for(self, 50 * MSEC);
	g_assert_cmpstr(seen(self, "servers/a"), ==, "2");
	g_assert_cmpstr(seen(self, "servers/b"), ==, "1");
	fake_kv_put(self->store, "servers/a", NULL);
	run_for(self, SEC);
	g_assert_nonnull(seen(self, "servers/a"));
	run_for(self, 2 * SEC);
	g_assert_null(seen(self, "servers/a"));
	g_assert_cmpuint(self->removed_count, ==, 1);
	follower_destroy(self);
}

/*
 * Guards against a starting fleet that uses up the store's rate limit: members register one after
 * another, and each change wakes every watch. A follower that delays its next call gets all changes
 * of that time with one call.
 */
static void test_follow_batches_changes(void)
{
	follower_t *self = follower_create();
	size_t before;

	self->follow.coalesce_time = FOLLOW_COALESCE_TIME;
	before = self->store->call_count;
	for (int i = 0; i < 20; i++) {
		char *key = g_strdup_printf("servers/m%d", i);

		fake_kv_put(self->store, key, "1");
		run_for(self, 20 * MSEC);
		g_free(key);
	}
	run_for(self, 300 * MSEC);
	for (int i = 0; i < 20; i++) {
		char *key = g_strdup_printf("servers/m%d", i);

		g_assert_cmpstr(seen(self, key), ==, "1");
		g_free(key);
	}
	g_assert_cmpuint(self->store->call_count - before, <=, 4);
	follower_destroy(self);
}

/*
 * If the store compacts its history while a watch is open, all items are read again and no change
 * is lost.
 */
static void test_follow_compaction(void)
{
	follower_t *self = follower_create();

	self->store->watches_stalled = true;
	fake_kv_put(self->store, "servers/b", "1");
	fake_kv_put(self->store, "servers/a", NULL);
	fake_kv_compact(self->store);
	self->store->watches_stalled = false;
	run_for(self, 4 * SEC);
	g_assert_cmpstr(seen(self, "servers/b"), ==, "1");
	g_assert_null(seen(self, "servers/a"));
	follower_destroy(self);
}

/*
 * An entry that expires in an outage of the store and returns 2 s later must not count as removed.
 */
static void test_follow_expired_entry(void)
{
	follower_t *self = follower_create();

	self->store->down = true;
	run_for(self, 3 * SEC);
	fake_kv_put(self->store, "servers/a", NULL);
	self->store->down = false;
	run_for(self, 2 * SEC);
	fake_kv_put(self->store, "servers/a", "3");
	run_for(self, 3 * SEC);
	g_assert_cmpstr(seen(self, "servers/a"), ==, "3");
	g_assert_cmpuint(self->removed_count, ==, 0);
	follower_destroy(self);
}

/* A watch may miss changes without an error; a refresh reads what the watch has missed. */
static void test_follow_refresh(void)
{
	follower_t *self = follower_create();

	self->store->watches_stalled = true;
	fake_kv_put(self->store, "servers/a", "2");
	run_for(self, 500 * MSEC);
	g_assert_cmpstr(seen(self, "servers/a"), ==, "1");
	follow_refresh(&self->follow);
	run_for(self, 50 * MSEC);
	g_assert_cmpstr(seen(self, "servers/a"), ==, "2");
	follower_destroy(self);
}

/* Creates a follower that receives updates from a peer, while the store is down. */
static follower_t *follower_create_fed(bool read_deferred)
{
	follower_t *self = follower_create();

	follow_stop(&self->follow);
	g_hash_table_remove_all(self->seen);
	self->follow = (follow_t){.ops = &follow_ops,
				  .kv = &self->client.kv,
				  .clock = &self->clock.base,
				  .timers = &self->timers,
				  .prefix = "servers/",
				  .from_peer = true,
				  .read_deferred = read_deferred};
	self->store->down = true;
	follow_start(&self->follow, NULL);
	return self;
}

/*
 * Guards against a follower that receives updates from a peer but does not pass them on until it
 * has read the store again after a compaction.
 */
static void test_follow_passes_on_before_reading(void)
{
	follower_t *self = follower_create();
	const kv_item_t item = {.key = "servers/b", .value = "2", .len = 1, .revision = 50};
	follow_changes_t update = {.as_of = 50, .items = &item, .count = 1};
	void *parent = talloc_new(NULL);
	follow_changes_t changes;
	int64_t as_of;

	run_for(self, 100 * USEC_PER_MSEC);
	as_of = self->follow.as_of;
	fake_kv_put(self->store, "servers/a", "2");
	fake_kv_compact(self->store);
	/* The watch has ended, and the read that follows is in flight. */
	run_for(self, 2 * USEC_PER_MSEC);
	g_assert_cmpint(self->follow.revision, ==, 0);
	self->client.calls_refused = true;
	follow_set_from_peer(&self->follow, true);
	run_for(self, 1 * SEC);
	follow_apply_changes(&self->follow, &update);
	g_assert_cmpint(follow_collect_changes(&self->follow, as_of, parent, &changes), ==,
			FOLLOW_HAS_CHANGES);
	g_assert_cmpint(changes.as_of, ==, 50);
	g_assert_nonnull(follow_pack_changes(&self->follow, as_of));
	talloc_free(parent);
	follower_destroy(self);
}

/*
 * Guards against a restarted process that receives only the changes since its earlier run, and then
 * reports that it has all items, so that peers send it no more.
 */
static void test_follow_partial_before_whole(void)
{
	follower_t *self = follower_create_fed(true);
	const kv_item_t item = {.key = "servers/b", .value = "2", .len = 1, .revision = 50};
	follow_changes_t update = {.as_of = 50, .items = &item, .count = 1};

	follow_apply_changes(&self->follow, &update);
	g_assert_cmpstr(seen(self, "servers/b"), ==, "2");
	g_assert_cmpint(self->follow.as_of, ==, 0);
	update.complete = true;
	follow_apply_changes(&self->follow, &update);
	g_assert_cmpint(self->follow.as_of, ==, 50);
	follower_destroy(self);
}

/*
 * Guards against a leader that reports its directory as minutes old, because a read of its own
 * failed long before it became the leader.
 */
static void test_follow_unanswered(void)
{
	follower_t *self = follower_create();
	const kv_item_t item = {.key = "servers/b", .value = "2", .len = 1, .revision = 50};
	follow_changes_t update = {.complete = true, .as_of = 50, .items = &item, .count = 1};

	run_for(self, 100 * USEC_PER_MSEC);
	g_assert_cmpuint(follow_unanswered_time(&self->follow), ==, 0);
	self->client.calls_refused = true;
	follow_refresh(&self->follow);
	run_for(self, 1 * SEC);
	g_assert_cmpuint(follow_unanswered_time(&self->follow), >=, 900 * USEC_PER_MSEC);
	follow_apply_changes(&self->follow, &update);
	g_assert_cmpuint(follow_unanswered_time(&self->follow), ==, 0);
	follower_destroy(self);
}

/* A follower must receive changes even if the store refuses watches and no peer sends updates. */
static void test_follow_watches_refused(void)
{
	follower_t *self = follower_create();

	run_for(self, 100 * USEC_PER_MSEC);
	self->client.watches_refused = true;
	/* The watch that is already open is answered once more. */
	fake_kv_put(self->store, "servers/a", "1");
	run_for(self, 500 * USEC_PER_MSEC);
	for (int i = 2; i < 6; i++) {
		char value[8];

		g_snprintf(value, sizeof(value), "%d", i);
		fake_kv_put(self->store, "servers/a", value);
		/* The longest back-off before a refused watch is retried. */
		run_for(self, 3300 * USEC_PER_MSEC);
		g_assert_cmpstr(seen(self, "servers/a"), ==, value);
	}
	follower_destroy(self);
}

/* Reads more items than one answer of the store holds. */
static void test_follow_pages(void)
{
	follower_t *self = follower_create();

	for (int i = 0; i < 1200; i++) {
		char key[32];

		g_snprintf(key, sizeof(key), "servers/x%04d", i);
		fake_kv_put(self->store, key, "1");
	}
	fake_kv_compact(self->store);
	run_for(self, SEC);
	g_assert_cmpuint(g_hash_table_size(self->seen), ==, 1201);
	follower_destroy(self);
}

/*
 * Guards against members that count as gone since a page of the list could not be used, so that no
 * key is known after which the next one begins.
 */
static void test_follow_unusable_page(void)
{
	follower_t *self = follower_create();

	for (int i = 0; i < 1200; i++) {
		char key[32];

		g_snprintf(key, sizeof(key), "servers/x%04d", i);
		fake_kv_put(self->store, key, "1");
	}
	run_for(self, SEC);
	g_assert_cmpuint(g_hash_table_size(self->seen), ==, 1201);
	self->store->empty_pages = 3;
	follow_refresh(&self->follow);
	run_for(self, 8 * SEC);
	g_assert_cmpuint(self->removed_count, ==, 0);
	g_assert_cmpuint(self->store->empty_pages, ==, 0);
	g_assert_false(self->follow.reading);
	follower_destroy(self);
}

/* --- updates from a peer, for a follower that does not read the store itself --- */

/* Sends the peer's newer changes to the other follower; returns false if there are none. */
static bool send_changes(const follower_t *peer, follower_t *to)
{
	void *parent = talloc_new(NULL);
	follow_changes_t changes;
	bool has_changes = follow_collect_changes(&peer->follow, to->follow.as_of, parent,
						  &changes) == FOLLOW_HAS_CHANGES;

	if (has_changes)
		follow_apply_changes(&to->follow, &changes);
	talloc_free(parent);
	return has_changes;
}

/* Number of members in a large deployment; put_members() writes entries as members do. */
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
 * 985 times 1.3 MB over the store's one link. A peer sends all members as one packed text instead,
 * and then changes.
 */
static void test_follow_packed(void)
{
	follower_t *peer = follower_create();
	follower_t *fed = follower_create_fed(true);
	const char *packed;
	size_t calls;

	put_members(peer->store);
	run_for(peer, SEC);
	calls = fed->store->call_count;
	g_assert_false(send_changes(peer, fed));
	packed = follow_pack_changes(&peer->follow, 0);
	g_test_message("%d members, %zu bytes", MEMBERS, strlen(packed));
	g_assert_cmpuint(strlen(packed), <, 60 * MEMBERS);
	g_assert_true(follow_pack_changes(&peer->follow, 0) == packed);
	g_assert_false(follow_apply_packed(&fed->follow, "zlib:9999 AAAA"));
	g_assert_false(follow_apply_packed(&fed->follow, "{\"as_of\":7}"));
	g_assert_cmpuint(g_hash_table_size(fed->seen), ==, 0);
	g_assert_true(follow_apply_packed(&fed->follow, packed));
	g_assert_cmpuint(g_hash_table_size(fed->seen), ==, MEMBERS + 1);
	follow_start_deferred(&fed->follow);
	run_for(fed, SEC);
	g_assert_cmpuint(fed->store->call_count, ==, calls);
	fake_kv_put(peer->store, "servers/b", "1");
	run_for(peer, 100 * MSEC);
	/* The next packed text holds only changes, removals included. */
	fake_kv_put(peer->store, "servers/a", NULL);
	run_for(peer, 100 * MSEC);
	packed = follow_pack_changes(&peer->follow, fed->follow.as_of);
	g_assert_cmpuint(strlen(packed), <, 200);
	g_assert_true(follow_apply_packed(&fed->follow, packed));
	g_assert_cmpstr(seen(fed, "servers/b"), ==, "1");
	run_for(fed, 3 * SEC);
	g_assert_null(seen(fed, "servers/a"));
	g_assert_cmpint(fed->follow.as_of, ==, peer->follow.as_of);
	follower_destroy(fed);
	follower_destroy(peer);
}

/*
 * Guards against proxies that disagree on the list of members for good: an entry whose bytes are no
 * UTF-8 is not among those that a peer sends, so the receiver takes its member for gone.
 */
static void test_follow_packed_invalid_text(void)
{
	follower_t *peer = follower_create();
	follower_t *fed = follower_create_fed(true);

	fake_kv_put(peer->store, "servers/b", "1");
	fake_kv_put(peer->store, "servers/c", "1");
	run_for(peer, 100 * MSEC);
	g_assert_true(follow_apply_packed(&fed->follow, follow_pack_changes(&peer->follow, 0)));
	g_assert_cmpstr(seen(fed, "servers/b"), ==, "1");
	fake_kv_put(peer->store, "servers/b", "\xff\xfe");
	fake_kv_put(peer->store, "servers/c", "2");
	run_for(peer, 100 * MSEC);
	g_assert_true(follow_apply_packed(&fed->follow, follow_pack_changes(&peer->follow, 0)));
	g_assert_cmpstr(seen(fed, "servers/b"), ==, "");
	g_assert_cmpstr(seen(fed, "servers/c"), ==, "2");
	run_for(fed, 3 * SEC);
	g_assert_cmpuint(fed->removed_count, ==, 0);
	fake_kv_put(peer->store, "servers/b", "3");
	run_for(peer, 100 * MSEC);
	g_assert_true(follow_apply_packed(&fed->follow, follow_pack_changes(&peer->follow, 0)));
	g_assert_cmpstr(seen(fed, "servers/b"), ==, "3");
	follower_destroy(fed);
	follower_destroy(peer);
}

static void test_pack_round_trip(void)
{
	GString *text = g_string_new("");
	void *parent = talloc_new(NULL);
	const char *packed;
	const char *opened;
	size_t len;

	g_assert_cmpstr(pack_compress(parent, "short", 5), ==, "short");
	g_assert_cmpstr(pack_decompress(parent, "short", 5, &len), ==, "short");
	while (text->len < 2 * PACK_MIN_BYTES)
		g_string_append_printf(text, "{\"entry\":%zu},", text->len);
	packed = pack_compress(parent, text->str, text->len);
	g_assert_cmpuint(strlen(packed), <, text->len / 2);
	opened = pack_decompress(parent, packed, strlen(packed), &len);
	g_assert_cmpuint(len, ==, text->len);
	g_assert_cmpstr(opened, ==, text->str);
	/* Truncated text, and a header with a wrong length. */
	g_assert_null(pack_decompress(parent, packed, strlen(packed) / 2, &len));
	g_assert_null(pack_decompress(parent, "zlib:99999999999999 eA==", 24, &len));
	talloc_free(parent);
	g_string_free(text, TRUE);
}

/*
 * Guards against one call to the store by each proxy (295 in the largest fleet) for every change of
 * a member. A follower with a peer gets the same changes without calls, and each only once.
 */
static void test_follow_by_a_peer(void)
{
	follower_t *peer = follower_create();
	follower_t *fed = follower_create_fed(false);
	size_t calls;

	g_assert_true(send_changes(peer, fed));
	g_assert_cmpstr(seen(fed, "servers/a"), ==, "1");
	g_assert_false(send_changes(peer, fed));
	run_for(fed, SEC);
	calls = fed->store->call_count;
	fake_kv_put(peer->store, "servers/b", "1");
	run_for(peer, 50 * MSEC);
	g_assert_true(send_changes(peer, fed));
	g_assert_cmpstr(seen(fed, "servers/b"), ==, "1");
	fake_kv_put(peer->store, "servers/a", NULL);
	run_for(peer, 50 * MSEC);
	g_assert_true(send_changes(peer, fed));
	run_for(fed, 3 * SEC);
	g_assert_null(seen(fed, "servers/a"));
	/* The only call left is the retry of the follower's first read, which has never succeeded.
	 */
	g_assert_cmpuint(fed->store->call_count, <=, calls + 1);
	follower_destroy(fed);
	follower_destroy(peer);
}

/*
 * Guards against statements sent to a member that was removed. The peer's watch misses the removal
 * without an error. The peer detects it with a full read, after it has already sent newer changes,
 * and must send the removal all the same. (If the store has no newer change, proxies detect the
 * difference by the digests of their lists.)
 */
static void test_follow_late_discovery(void)
{
	follower_t *peer = follower_create();
	follower_t *fed = follower_create_fed(false);

	send_changes(peer, fed);
	peer->store->watches_stalled = true;
	fake_kv_put(peer->store, "servers/a", NULL);
	fake_kv_drop_events(peer->store);
	peer->store->watches_stalled = false;
	fake_kv_put(peer->store, "servers/b", "1");
	run_for(peer, 50 * MSEC);
	send_changes(peer, fed);
	g_assert_nonnull(seen(fed, "servers/a"));
	fake_kv_put(peer->store, "other", "2");
	follow_refresh(&peer->follow);
	run_for(peer, 50 * MSEC);
	g_assert_true(send_changes(peer, fed));
	run_for(fed, 3 * SEC);
	g_assert_null(seen(fed, "servers/a"));
	g_assert_nonnull(seen(fed, "servers/b"));
	g_assert_false(send_changes(peer, fed));
	follower_destroy(fed);
	follower_destroy(peer);
}

/* A peer that has just read all items sends all of them; missing items count as removed. */
static void test_follow_whole(void)
{
	follower_t *first = follower_create();
	follower_t *second = follower_create();
	follower_t *fed = follower_create_fed(false);

	fake_kv_put(first->store, "servers/old", "1");
	run_for(first, 50 * MSEC);
	send_changes(first, fed);
	for (int i = 0; i < 10; i++)
		fake_kv_put(second->store, "other", "1");
	fake_kv_put(second->store, "servers/new", "1");
	fake_kv_compact(second->store);
	follow_stop(&second->follow);
	g_hash_table_remove_all(second->seen);
	second->follow.revision = 0;
	second->follow.as_of = 0;
	second->follow.watching = false;
	follow_start(&second->follow, NULL);
	run_for(second, 100 * MSEC);
	g_assert_true(send_changes(second, fed));
	run_for(fed, 3 * SEC);
	g_assert_nonnull(seen(fed, "servers/new"));
	g_assert_null(seen(fed, "servers/old"));
	follower_destroy(fed);
	follower_destroy(second);
	follower_destroy(first);
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
	g_test_add_func("/follow/gathers", test_follow_batches_changes);
	g_test_add_func("/follow/compaction", test_follow_compaction);
	g_test_add_func("/follow/lapsed-entry", test_follow_expired_entry);
	g_test_add_func("/follow/refresh", test_follow_refresh);
	g_test_add_func("/follow/tells-before-reading", test_follow_passes_on_before_reading);
	g_test_add_func("/follow/changes-before-all", test_follow_partial_before_whole);
	g_test_add_func("/follow/unanswered", test_follow_unanswered);
	g_test_add_func("/follow/watches-turned-away", test_follow_watches_refused);
	g_test_add_func("/follow/pages", test_follow_pages);
	g_test_add_func("/follow/unusable-page", test_follow_unusable_page);
	g_test_add_func("/follow/packed-invalid-text", test_follow_packed_invalid_text);
	g_test_add_func("/follow/by-a-peer", test_follow_by_a_peer);
	g_test_add_func("/follow/late-discovery", test_follow_late_discovery);
	g_test_add_func("/follow/whole", test_follow_whole);
	return g_test_run();
}
