/* Unit tests of access/: customers, their keys and their limits. */
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
	key_digest_t parsed;
	char text[KEY_DIGEST_TEXT_SIZE];
	char label[KEY_LABEL_TEXT_SIZE];

	key_digest_format(&digest, text);
	g_assert_true(key_digest_parse(text, &parsed));
	g_assert_cmpmem(&parsed, sizeof(parsed), &digest, sizeof(digest));
	key_label(&digest, label);
	g_assert_true(g_str_has_prefix(text, label));
	text[KEY_DIGEST_TEXT_SIZE - 2] = '\0';
	g_assert_false(key_digest_parse(text, &parsed));
	g_assert_false(key_digest_parse("rymh2rrytapjsujqurty", &parsed));
	g_assert_false(key_digest_parse("", &parsed));
}

static void test_customers(void)
{
	customers_t *customers = customers_create(NULL);
	const customer_t *large = customers_add(customers, "large", 185, 185);
	const customer_t *unlimited = customers_add(customers, "free", -1, 0);
	key_digest_t first = digest_of("one");
	key_digest_t second = digest_of("two");
	key_digest_t none = digest_of("");

	g_assert_null(customers_add(customers, "large", 1, 1));
	g_assert_true(customers_add_key(customers, large, &first));
	g_assert_true(customers_add_key(customers, large, &second));
	g_assert_true(customers_add_key(customers, large, &first));
	/* A key belongs to one customer; adding it to another one fails. */
	g_assert_false(customers_add_key(customers, unlimited, &first));
	g_assert_true(customers_find_by_key(customers, &first) == large);
	g_assert_true(customers_find_by_key(customers, &second) == large);
	g_assert_null(customers_find_by_key(customers, &none));
	g_assert_true(customers_find_by_name(customers, "free") == unlimited);
	g_assert_cmpfloat(unlimited->rate, ==, 0);
	g_assert_cmpuint(customers_count(customers), ==, 2);
	talloc_free(customers);
}

/* --- validity of cached keys --- */

static void test_cache_validity(void)
{
	cache_validity_t validity = {.max_age = 5 * SEC};
	const usec_t start = 100 * SEC;

	/* Nothing is confirmed yet. */
	g_assert_false(cache_is_valid(&validity, start));
	g_assert_true(cache_is_near_expiry(&validity, start));
	cache_validity_confirm(&validity, start);
	g_assert_true(cache_is_valid(&validity, start));
	g_assert_true(cache_is_valid(&validity, start + 4800 * USEC_PER_MSEC));
	g_assert_false(cache_is_valid(&validity, start + 5 * SEC));
	g_assert_true(cache_is_near_expiry(&validity, start + 3 * SEC));
	g_assert_false(cache_is_near_expiry(&validity, start + 2 * SEC));
	/* A late answer to an earlier query does not take the confirmation back. */
	cache_validity_confirm(&validity, start - SEC);
	g_assert_cmpuint(cache_validity_age(&validity, start), ==, 0);
}

static void test_cache_validity_without_bound(void)
{
	cache_validity_t validity = {0};

	g_assert_true(cache_is_valid(&validity, 1000 * SEC));
	g_assert_false(cache_is_near_expiry(&validity, 1000 * SEC));
	g_assert_false(cache_needs_refresh(&validity, 1000 * SEC));
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
	/* A clock that goes backwards adds no tokens. */
	g_assert_cmpuint(bucket_take(&bucket, 1, now), ==, 0);
	bucket_set_limit(&bucket, 1, 2, now + 200 * SEC);
	g_assert_cmpuint(bucket_take(&bucket, 100, now + 200 * SEC), ==, 2);
	bucket_set_limit(&bucket, 0, 2, now + 200 * SEC);
	g_assert_cmpuint(bucket_wait_time(&bucket, now + 200 * SEC), ==, USEC_NEVER);
}

/* The most that all shards admit within a time window in which their owners are restarted once. */
static double max_admitted_within(const shard_limit_t *limit, double window)
{
	return LIMIT_SHARDS * (limit->rate * window + limit->burst + limit->initial);
}

static void test_shard_limits(void)
{
	static const double rates[] = {1, 7, 13, 185, 4000};
	static const double windows[] = {1, 5, 60};
	const limit_slack_t slack = {.fraction = 0.1, .operations = 20};

	for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(windows); j++) {
			const customer_t customer = {.rate = rates[i], .burst = rates[i]};
			shard_limit_t limit = shard_limit_compute(&customer, &slack);
			double allowed = (rates[i] * windows[j] + rates[i]) * 1.1 + 20;

			g_assert_cmpfloat(max_admitted_within(&limit, windows[j]), <=, allowed);
			/* Operations within the limit are admitted. */
			g_assert_cmpfloat(limit.rate * LIMIT_SHARDS, >=, rates[i]);
		}
	}
}

/* --- shard owners --- */

#define FLEET_SIZE 68

static const char *const zones[] = {"plateau", "almadies", "pikine"};

/* Sets a fleet of the proxies with the numbers from "from" to FLEET_SIZE - 1. */
static void set_fleet(shard_owners_t *owners, size_t from, size_t zone_count, usec_t now)
{
	fleet_proxy_t proxies[FLEET_SIZE];
	char names[FLEET_SIZE][16];
	size_t count = 0;

	for (size_t i = from; i < FLEET_SIZE; i++) {
		g_snprintf(names[i], sizeof(names[i]), "front-%zu", i);
		proxies[count++] = (fleet_proxy_t){.name = names[i], .zone = zones[i % zone_count]};
	}
	shard_owners_set_fleet(owners, proxies, count, now);
}

static void test_shards(void)
{
	shard_owners_t *owners = shard_owners_create(NULL);
	GHashTable *found = g_hash_table_new(g_str_hash, g_str_equal);

	g_assert_null(shard_owners_find(owners, "large", 0));
	set_fleet(owners, 0, 3, 1);
	for (size_t i = 0; i < 300; i++) {
		char *customer = g_strdup_printf("customer%zu", i);
		const char *a = shard_owners_zone(owners, customer, 0);
		const char *b = shard_owners_zone(owners, customer, 1);
		const char *c = shard_owners_zone(owners, customer, 2);

		g_assert_cmpstr(a, !=, b);
		g_assert_cmpstr(a, !=, c);
		g_assert_cmpstr(b, !=, c);
		for (unsigned shard = 0; shard < LIMIT_SHARDS; shard++)
			g_hash_table_add(found,
					 (gpointer)shard_owners_find(owners, customer, shard));
		g_free(customer);
	}
	/* All of the eight proxies of each zone that may own shards do own some. */
	g_assert_cmpuint(g_hash_table_size(found), ==, 24);
	g_hash_table_destroy(found);
	talloc_free(owners);
}

static void test_shards_in_one_zone(void)
{
	shard_owners_t *owners = shard_owners_create(NULL);

	set_fleet(owners, FLEET_SIZE - 4, 1, 1);
	g_assert_cmpstr(shard_owners_find(owners, "c", 0), !=, shard_owners_find(owners, "c", 1));
	g_assert_cmpstr(shard_owners_find(owners, "c", 0), !=, shard_owners_find(owners, "c", 2));
	set_fleet(owners, FLEET_SIZE - 1, 1, 2);
	g_assert_cmpstr(shard_owners_find(owners, "c", 0), ==, "front-67");
	g_assert_cmpstr(shard_owners_find(owners, "c", 2), ==, "front-67");
	talloc_free(owners);
}

/*
 * When proxies leave the fleet, a new owner of a shard gets the time of the change and its
 * predecessor; a proxy that stays the owner keeps its old time.
 */
static void test_owned_since(void)
{
	shard_owners_t *owners = shard_owners_create(NULL);
	size_t moved = 0;
	size_t kept = 0;

	set_fleet(owners, 0, 3, 10);
	set_fleet(owners, 4, 3, 20);
	for (size_t i = 0; i < 300; i++) {
		char *customer = g_strdup_printf("customer%zu", i);
		const char *self = shard_owners_find(owners, customer, 0);
		usec_t since = shard_owners_owned_since(owners, self, customer, 0);

		g_assert_true(since == 0 || since == 20);
		g_assert_cmpuint(shard_owners_owned_since(owners, "front-0", customer, 0), ==,
				 USEC_NEVER);
		g_assert_cmpstr(shard_owners_predecessor(owners, self, customer, 0), !=, self);
		g_assert_true(since == 0 ||
			      shard_owners_predecessor(owners, self, customer, 0) != NULL);
		moved += since == 20;
		kept += since == 0;
		g_free(customer);
	}
	g_assert_cmpuint(moved, >, 0);
	g_assert_cmpuint(kept, >, moved);
	talloc_free(owners);
}

/* After more changes than are remembered, no proxy counts as the owner since the start. */
static void test_owned_since_forgotten(void)
{
	shard_owners_t *owners = shard_owners_create(NULL);

	/* Setting the same proxies again is no change. */
	set_fleet(owners, 0, 3, 1);
	set_fleet(owners, 0, 3, 2);
	g_assert_cmpuint(
		shard_owners_owned_since(owners, shard_owners_find(owners, "c", 0), "c", 0), ==, 0);
	for (usec_t now = 3; now <= 41; now++)
		set_fleet(owners, now % 2 * 64, 3, now);
	set_fleet(owners, 0, 3, 42);
	g_assert_cmpuint(
		shard_owners_owned_since(owners, shard_owners_find(owners, "c", 0), "c", 0), >=,
		27);
	talloc_free(owners);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/access/digests", test_digests);
	g_test_add_func("/access/customers", test_customers);
	g_test_add_func("/access/proof", test_cache_validity);
	g_test_add_func("/access/proof-without-bound", test_cache_validity_without_bound);
	g_test_add_func("/access/bucket", test_bucket);
	g_test_add_func("/access/shares", test_shard_limits);
	g_test_add_func("/access/seats", test_shards);
	g_test_add_func("/access/seats-in-one-zone", test_shards_in_one_zone);
	g_test_add_func("/access/since", test_owned_since);
	g_test_add_func("/access/since-forgotten", test_owned_since_forgotten);
	return g_test_run();
}
