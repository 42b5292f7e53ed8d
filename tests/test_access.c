/* Customers, their keys and their limits: the modules of access/ without a proxy around them. */
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "bucket.h"
#include "customers.h"
#include "shard_owners.h"
#include "cache_validity.h"
#include "shard_limit.h"

#define SEC USEC_PER_SEC

static key_digest_t digest_of(const char *key)
{
	return key_digest(key, strlen(key));
}

/* --- keys --- */

static void test_digests(void)
{
	key_digest_t digest = digest_of("rymh2rrytapjsujqurty");
	key_digest_t back;
	char text[KEY_DIGEST_TEXT_SIZE];
	char label[KEY_LABEL_TEXT_SIZE];

	key_digest_format(&digest, text);
	g_assert_true(key_digest_parse(text, &back));
	g_assert_cmpmem(&back, sizeof(back), &digest, sizeof(digest));
	key_label(&digest, label);
	g_assert_true(g_str_has_prefix(text, label));
	text[KEY_DIGEST_TEXT_SIZE - 2] = '\0';
	g_assert_false(key_digest_parse(text, &back));
	g_assert_false(key_digest_parse("rymh2rrytapjsujqurty", &back));
	g_assert_false(key_digest_parse("", &back));
}

static void test_customers(void)
{
	customers_t *customers = customers_create(NULL);
	const customer_t *large = customers_add(customers, "large", 185, 185);
	const customer_t *free = customers_add(customers, "free", -1, 0);
	key_digest_t first = digest_of("one");
	key_digest_t second = digest_of("two");
	key_digest_t none = digest_of("");

	g_assert_null(customers_add(customers, "large", 1, 1));
	g_assert_true(customers_add_key(customers, large, &first));
	g_assert_true(customers_add_key(customers, large, &second));
	g_assert_true(customers_add_key(customers, large, &first));
	/* A key names one customer, whoever else claims it. */
	g_assert_false(customers_add_key(customers, free, &first));
	g_assert_true(customers_find_by_key(customers, &first) == large);
	g_assert_true(customers_find_by_key(customers, &second) == large);
	g_assert_null(customers_find_by_key(customers, &none));
	g_assert_true(customers_find_by_name(customers, "free") == free);
	g_assert_cmpfloat(free->rate, ==, 0);
	g_assert_cmpuint(customers_count(customers), ==, 2);
	talloc_free(customers);
}

/* --- until when keys count --- */

static void test_proof(void)
{
	cache_validity_t proof = {.max_age = 5 * SEC};
	const usec_t start = 100 * SEC;

	/* Nothing is proved yet. */
	g_assert_false(cache_is_valid(&proof, start));
	g_assert_true(cache_is_near_expiry(&proof, start));
	cache_validity_confirm(&proof, start);
	g_assert_true(cache_is_valid(&proof, start));
	g_assert_true(cache_is_valid(&proof, start + 4800 * USEC_PER_MSEC));
	g_assert_false(cache_is_valid(&proof, start + 5 * SEC));
	g_assert_true(cache_is_near_expiry(&proof, start + 3 * SEC));
	g_assert_false(cache_is_near_expiry(&proof, start + 2 * SEC));
	/* What was asked earlier and answered later takes nothing back. */
	cache_validity_confirm(&proof, start - SEC);
	g_assert_cmpuint(cache_validity_age(&proof, start), ==, 0);
}

static void test_proof_without_bound(void)
{
	cache_validity_t proof = {0};

	g_assert_true(cache_is_valid(&proof, 1000 * SEC));
	g_assert_false(cache_is_near_expiry(&proof, 1000 * SEC));
	g_assert_false(cache_needs_refresh(&proof, 1000 * SEC));
}

/* --- limits --- */

static void test_bucket(void)
{
	bucket_t bucket;
	usec_t now = 100 * SEC;

	bucket_init(&bucket, 10, 5, 8, now);
	g_assert_cmpuint(bucket_take(&bucket, 100, now), ==, 5);
	g_assert_cmpuint(bucket_take(&bucket, 1, now), ==, 0);
	g_assert_cmpuint(bucket_wait_time(&bucket, now), ==, SEC / 10 + 1);
	g_assert_cmpuint(bucket_take(&bucket, 100, now + SEC / 10 + 1), ==, 1);
	g_assert_cmpuint(bucket_take(&bucket, 100, now + 100 * SEC), ==, 5);
	/* A clock that seems to go back gives nothing. */
	g_assert_cmpuint(bucket_take(&bucket, 1, now), ==, 0);
	bucket_set_limit(&bucket, 1, 2, now + 200 * SEC);
	g_assert_cmpuint(bucket_take(&bucket, 100, now + 200 * SEC), ==, 2);
	bucket_set_limit(&bucket, 0, 2, now + 200 * SEC);
	g_assert_cmpuint(bucket_wait_time(&bucket, now + 200 * SEC), ==, USEC_NEVER);
}

/* The most that all seats may let through within a window, one of them being restarted in it. */
static double most_within(const shard_limit_t *share, double window)
{
	return LIMIT_SHARDS * (share->rate * window + share->burst + share->initial);
}

static void test_shares(void)
{
	static const double rates[] = {1, 7, 13, 185, 4000};
	static const double windows[] = {1, 5, 60};
	const limit_slack_t slack = {.fraction = 0.1, .operations = 20};

	for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(windows); j++) {
			const customer_t customer = {.rate = rates[i], .burst = rates[i]};
			shard_limit_t share = shard_limit_compute(&customer, &slack);
			double allowed = (rates[i] * windows[j] + rates[i]) * 1.1 + 20;

			g_assert_cmpfloat(most_within(&share, windows[j]), <=, allowed);
			/* What lies below the limit is let through. */
			g_assert_cmpfloat(share.rate * LIMIT_SHARDS, >=, rates[i]);
		}
	}
}

/* --- keepers --- */

#define FLEET 68

static const char *const zones[] = {"plateau", "almadies", "pikine"};

/* Proxies from to FLEET - 1. */
static void set_fleet(shard_owners_t *keepers, size_t from, size_t zone_count, usec_t now)
{
	fleet_proxy_t members[FLEET];
	char names[FLEET][16];
	size_t count = 0;

	for (size_t i = from; i < FLEET; i++) {
		g_snprintf(names[i], sizeof(names[i]), "front-%zu", i);
		members[count++] = (fleet_proxy_t){.name = names[i], .zone = zones[i % zone_count]};
	}
	shard_owners_set_fleet(keepers, members, count, now);
}

static void test_seats(void)
{
	shard_owners_t *keepers = shard_owners_create(NULL);
	GHashTable *used = g_hash_table_new(g_str_hash, g_str_equal);

	g_assert_null(shard_owners_find(keepers, "large", 0));
	set_fleet(keepers, 0, 3, 1);
	for (size_t i = 0; i < 300; i++) {
		char *customer = g_strdup_printf("customer%zu", i);
		const char *a = shard_owners_zone(keepers, customer, 0);
		const char *b = shard_owners_zone(keepers, customer, 1);
		const char *c = shard_owners_zone(keepers, customer, 2);

		g_assert_cmpstr(a, !=, b);
		g_assert_cmpstr(a, !=, c);
		g_assert_cmpstr(b, !=, c);
		for (unsigned seat = 0; seat < LIMIT_SHARDS; seat++)
			g_hash_table_add(used,
					 (gpointer)shard_owners_find(keepers, customer, seat));
		g_free(customer);
	}
	/* Few proxies, so that all can have links to them, but not just some of these. */
	g_assert_cmpuint(g_hash_table_size(used), ==, 24);
	g_hash_table_destroy(used);
	talloc_free(keepers);
}

static void test_seats_in_one_zone(void)
{
	shard_owners_t *keepers = shard_owners_create(NULL);

	set_fleet(keepers, FLEET - 4, 1, 1);
	g_assert_cmpstr(shard_owners_find(keepers, "c", 0), !=, shard_owners_find(keepers, "c", 1));
	g_assert_cmpstr(shard_owners_find(keepers, "c", 0), !=, shard_owners_find(keepers, "c", 2));
	set_fleet(keepers, FLEET - 1, 1, 2);
	g_assert_cmpstr(shard_owners_find(keepers, "c", 0), ==, "front-67");
	g_assert_cmpstr(shard_owners_find(keepers, "c", 2), ==, "front-67");
	talloc_free(keepers);
}

/* Who takes a seat over is told so, and who keeps it is not disturbed. */
static void test_since(void)
{
	shard_owners_t *keepers = shard_owners_create(NULL);
	size_t moved = 0;
	size_t kept = 0;

	set_fleet(keepers, 0, 3, 10);
	set_fleet(keepers, 4, 3, 20);
	for (size_t i = 0; i < 300; i++) {
		char *customer = g_strdup_printf("customer%zu", i);
		const char *self = shard_owners_find(keepers, customer, 0);
		usec_t since = shard_owners_owned_since(keepers, self, customer, 0);

		g_assert_true(since == 0 || since == 20);
		g_assert_cmpuint(shard_owners_owned_since(keepers, "front-0", customer, 0), ==,
				 USEC_NEVER);
		g_assert_cmpstr(shard_owners_predecessor(keepers, self, customer, 0), !=, self);
		g_assert_true(since == 0 ||
			      shard_owners_predecessor(keepers, self, customer, 0) != NULL);
		moved += since == 20;
		kept += since == 0;
		g_free(customer);
	}
	g_assert_cmpuint(moved, >, 0);
	g_assert_cmpuint(kept, >, moved);
	talloc_free(keepers);
}

/* After more changes than are remembered nobody counts as having always been the keeper. */
static void test_since_forgotten(void)
{
	shard_owners_t *keepers = shard_owners_create(NULL);

	/* The same proxies again are no change. */
	set_fleet(keepers, 0, 3, 1);
	set_fleet(keepers, 0, 3, 2);
	g_assert_cmpuint(
		shard_owners_owned_since(keepers, shard_owners_find(keepers, "c", 0), "c", 0), ==,
		0);
	for (usec_t now = 3; now <= 41; now++)
		set_fleet(keepers, now % 2 * 64, 3, now);
	set_fleet(keepers, 0, 3, 42);
	g_assert_cmpuint(
		shard_owners_owned_since(keepers, shard_owners_find(keepers, "c", 0), "c", 0), >=,
		27);
	talloc_free(keepers);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/access/digests", test_digests);
	g_test_add_func("/access/customers", test_customers);
	g_test_add_func("/access/proof", test_proof);
	g_test_add_func("/access/proof-without-bound", test_proof_without_bound);
	g_test_add_func("/access/bucket", test_bucket);
	g_test_add_func("/access/shares", test_shares);
	g_test_add_func("/access/seats", test_seats);
	g_test_add_func("/access/seats-in-one-zone", test_seats_in_one_zone);
	g_test_add_func("/access/since", test_since);
	g_test_add_func("/access/since-forgotten", test_since_forgotten);
	return g_test_run();
}
