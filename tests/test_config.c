/* Decoding of the operators' configuration, after its keys were replaced by digests. */
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "config_decode.h"
#include "config_hash_keys.h"

#define API_KEY "rymh2rrytapjsujqurty"

static const char config[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"r1\",\"host\":\"jobs\",\"kind\":\"primary\",\"service\":\"core\",\"public\":false},"
	"{\"name\":\"r2\",\"host\":\"any\",\"kind\":\"bounded\",\"service\":\"core\",\"public\":true}],"
	"\"tenants\":["
	"{\"name\":\"ada\",\"apiKeys\":[\"" API_KEY "\",\"two\"],\"ratePerS\":185,\"burst\":90.5},"
	"{\"name\":\"ben\",\"apiKeys\":[\"" API_KEY "\",\"\",7]},"
	"{\"name\":\"two words\",\"apiKeys\":[\"three\"]},"
	"{\"apiKeys\":[\"four\"]},"
	"\"nobody\"]}";

static routes_t *hash_and_decode(const char *text)
{
	char *sealed = config_hash_keys(NULL, text, strlen(text));
	routes_t *routes = config_decode(NULL, sealed, strlen(sealed));

	talloc_free(sealed);
	return routes;
}

static const customer_t *find_customer(const routes_t *routes, const char *key)
{
	key_digest_t digest = key_digest(key, strlen(key));

	return customers_find_by_key(routes->customers, &digest);
}

/*
 * Proxies send the text to each other and may log it, so no API key may remain in it, not even in
 * a text that is not JSON.
 */
static void test_keys_are_removed(void)
{
	char *sealed = config_hash_keys(NULL, config, strlen(config));
	char *again = config_hash_keys(NULL, "not {\"apiKeys\":[\"" API_KEY "\"]}", 30);

	g_assert_null(strstr(sealed, API_KEY));
	g_assert_null(strstr(sealed, "apiKeys"));
	g_assert_cmpstr(again, ==, "");
	talloc_free(sealed);
	talloc_free(again);
}

static void test_customers(void)
{
	routes_t *routes = hash_and_decode(config);
	const customer_t *ada = customers_find_by_name(routes->customers, "ada");

	g_assert_cmpfloat(ada->rate, ==, 185);
	g_assert_cmpfloat(ada->burst, ==, 90.5);
	/* Of two customers with the same key the first has it. Invalid keys are ignored. */
	g_assert_true(find_customer(routes, API_KEY) == ada);
	g_assert_true(find_customer(routes, "two") == ada);
	g_assert_null(find_customer(routes, ""));
	g_assert_null(find_customer(routes, "7"));
	/* Customers with a blank in the name, or without a name, are ignored. */
	g_assert_null(find_customer(routes, "three"));
	g_assert_null(find_customer(routes, "four"));
	g_assert_cmpuint(customers_count(routes->customers), ==, 2);
	g_assert_false(routes_find(routes, "jobs")->keyless);
	g_assert_true(routes_find(routes, "any")->keyless);
	talloc_free(routes);
}

/* Without a list of customers no route needs a key. */
static void test_without_customers(void)
{
	routes_t *routes = hash_and_decode("{\"version\":1,\"routes\":[{\"host\":\"jobs\",\"kind\":"
					   "\"primary\",\"service\":\"core\"}]}");

	g_assert_true(routes_find(routes, "jobs")->keyless);
	talloc_free(routes);
}

/* With an empty list of customers every route that is not public refuses all callers. */
static void test_no_customer_left(void)
{
	routes_t *routes = hash_and_decode(
		"{\"version\":1,\"tenants\":[],\"routes\":[{\"host\":\"jobs\",\"kind\":"
		"\"primary\",\"service\":\"core\"}]}");

	g_assert_false(routes_find(routes, "jobs")->keyless);
	talloc_free(routes);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config/no-key-is-left", test_keys_are_removed);
	g_test_add_func("/config/customers", test_customers);
	g_test_add_func("/config/without-customers", test_without_customers);
	g_test_add_func("/config/no-customer-left", test_no_customer_left);
	return g_test_run();
}
