/* The operators' configuration: sealed, and read. */
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "config_decode.h"
#include "config_hash_keys.h"

#define KEY "rymh2rrytapjsujqurty"

static const char config[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"r1\",\"host\":\"jobs\",\"kind\":\"primary\",\"service\":\"core\",\"public\":false},"
	"{\"name\":\"r2\",\"host\":\"any\",\"kind\":\"bounded\",\"service\":\"core\",\"public\":true}],"
	"\"tenants\":["
	"{\"name\":\"ada\",\"apiKeys\":[\"" KEY "\",\"two\"],\"ratePerS\":185,\"burst\":90.5},"
	"{\"name\":\"ben\",\"apiKeys\":[\"" KEY "\",\"\",7]},"
	"{\"name\":\"two words\",\"apiKeys\":[\"three\"]},"
	"{\"apiKeys\":[\"four\"]},"
	"\"nobody\"]}";

static routes_t *read_config(const char *text)
{
	char *sealed = config_hash_keys(NULL, text, strlen(text));
	routes_t *routes = config_decode(NULL, sealed, strlen(sealed));

	talloc_free(sealed);
	return routes;
}

static const customer_t *holder_of(const routes_t *routes, const char *key)
{
	key_digest_t digest = key_digest(key, strlen(key));

	return customers_by_key(routes->customers, &digest);
}

/* Proxies tell each other the text, and may write it to a log. */
static void test_no_key_is_left(void)
{
	char *sealed = config_hash_keys(NULL, config, strlen(config));
	char *again = config_hash_keys(NULL, "not {\"apiKeys\":[\"" KEY "\"]}", 30);

	g_assert_null(strstr(sealed, KEY));
	g_assert_null(strstr(sealed, "apiKeys"));
	g_assert_cmpstr(again, ==, "");
	talloc_free(sealed);
	talloc_free(again);
}

static void test_customers(void)
{
	routes_t *routes = read_config(config);
	const customer_t *ada = customers_by_name(routes->customers, "ada");

	g_assert_cmpfloat(ada->rate, ==, 185);
	g_assert_cmpfloat(ada->burst, ==, 90.5);
	/* The first that has a key keeps it; what is no key gives no access. */
	g_assert_true(holder_of(routes, KEY) == ada);
	g_assert_true(holder_of(routes, "two") == ada);
	g_assert_null(holder_of(routes, ""));
	g_assert_null(holder_of(routes, "7"));
	/* A name that a member would read as two fields, and none. */
	g_assert_null(holder_of(routes, "three"));
	g_assert_null(holder_of(routes, "four"));
	g_assert_cmpuint(customers_count(routes->customers), ==, 2);
	g_assert_false(routes_find(routes, "jobs")->open);
	g_assert_true(routes_find(routes, "any")->open);
	talloc_free(routes);
}

/* On a platform without customers no route asks for a key. */
static void test_without_customers(void)
{
	routes_t *routes = read_config("{\"version\":1,\"routes\":[{\"host\":\"jobs\",\"kind\":"
				       "\"primary\",\"service\":\"core\"}]}");

	g_assert_true(routes_find(routes, "jobs")->open);
	talloc_free(routes);
}

/* With an empty list of them every route that is not public is closed to all. */
static void test_no_customer_left(void)
{
	routes_t *routes =
		read_config("{\"version\":1,\"tenants\":[],\"routes\":[{\"host\":\"jobs\",\"kind\":"
			    "\"primary\",\"service\":\"core\"}]}");

	g_assert_false(routes_find(routes, "jobs")->open);
	talloc_free(routes);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config/no-key-is-left", test_no_key_is_left);
	g_test_add_func("/config/customers", test_customers);
	g_test_add_func("/config/without-customers", test_without_customers);
	g_test_add_func("/config/no-customer-left", test_no_customer_left);
	return g_test_run();
}
