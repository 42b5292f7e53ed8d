/*
 * Proxies in pooler mode as processes, while another writer leaves odd entries among those of the
 * members, with real bytes: no process ends, the others stay in use, and what changes after the odd
 * entry arrives.
 */
#include <signal.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "harness.h"
#include "odd_entry.h"
#include "site.h"

#define PROXIES 2
/* Time within which a change in the store is known to all proxies, seconds. */
#define KNOWN_WITHIN 5
/* Two intervals between full reads of the members. */
#define TWO_READS_USEC 5000000

#define ENTRY_START "{\"service\":\"core\",\"zone\":\"plateau\",\"state\":\"draining\","
#define ENTRY_END   "\"dbRole\":\"replica\",\"seq\":1}"
/* Draining, so that no statement is sent to it. */
#define VALID_ENTRY ENTRY_START "\"addr\":\"127.0.0.1:9\",\"slots\":2," ENTRY_END

static site_harness_t *site;

/* An entry under a key that sorts before, among or after those of the members. */
typedef struct odd_entry {
	const char *id;
	const char *bytes;
} odd_entry_t;

/* Fewer than a call site may log in a second. */
static odd_entry_t odd_entries[] = {
	{"aa-port-99999", ENTRY_START "\"addr\":\"127.0.0.1:99999\",\"slots\":2," ENTRY_END},
	{"ab-port-65536", ENTRY_START "\"addr\":\"127.0.0.1:65536\",\"slots\":2," ENTRY_END},
	{"ac-port-0", ENTRY_START "\"addr\":\"127.0.0.1:0\",\"slots\":2," ENTRY_END},
	{"ad-no-address", ENTRY_START "\"slots\":2," ENTRY_END},
	{"core-00-2-to-63",
	 ENTRY_START "\"addr\":\"127.0.0.1:9\",\"slots\":9223372036854775808," ENTRY_END},
	{"core-01-1e400", ENTRY_START "\"addr\":\"127.0.0.1:9\",\"slots\":1e400," ENTRY_END},
	{"core-02-exponent", ENTRY_START "\"addr\":\"127.0.0.1:9\",\"slots\":2e0," ENTRY_END},
	{"core-03-null", ENTRY_START "\"addr\":null,\"slots\":2," ENTRY_END},
	{"core-04-array", ENTRY_START "\"addr\":[],\"slots\":[2]," ENTRY_END},
	{"core-05-text", ENTRY_START "\"addr\":\"127.0.0.1:9\",\"slots\":\"2\"," ENTRY_END},
	{"core-06-negative", ENTRY_START "\"addr\":\"127.0.0.1:9\",\"slots\":-2," ENTRY_END},
	{"core-07-utf8", "{\"service\":\"\xff\xfe\"}"},
	{"core-08-base64", "raw:no*base64"},
	{"zy-empty", ""},
	{"zz-deep", NULL},
	{"zz-long-name", NULL},
};

/* Makes the bytes that are too long for the table. */
static void fill_table(void)
{
	char *name = repeat_text("n", 1 << 19);

	odd_entries[G_N_ELEMENTS(odd_entries) - 2].bytes = repeat_text("{\"a\":", ODD_DEPTH);
	odd_entries[G_N_ELEMENTS(odd_entries) - 1].bytes =
		g_strdup_printf("{\"service\":\"%s\",\"addr\":\"127.0.0.1:9\"," ENTRY_END, name);
	g_free(name);
}

static void write_key(const char *key, const char *bytes)
{
	char *path = g_strdup_printf("/foreign-write?key=%s", key);
	long status = 0;

	json_decref(harness_post_raw(site->ports.first, path, bytes, &status));
	g_assert_cmpint(status, ==, 200);
	g_free(path);
}

static void write_entry(const char *id, const char *bytes)
{
	char *key = g_strdup_printf("servers/%s", id);

	write_key(key, bytes);
	g_free(key);
}

static void write_odd_entries(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(odd_entries); i++)
		write_entry(odd_entries[i].id, odd_entries[i].bytes);
}

/* Counts the lines of the proxy's log that hold both texts. */
static size_t count_lines(int proxy, const char *text, const char *other)
{
	char *log = site_read_log(site, proxy);
	char **lines = g_strsplit(log, "\n", -1);
	size_t count = 0;

	for (char **line = lines; *line != NULL; line++)
		count += strstr(*line, text) != NULL && strstr(*line, other) != NULL;
	g_strfreev(lines);
	g_free(log);
	return count;
}

/* Lines about an invalid entry under that id. */
static size_t count_invalid(int proxy, const char *id)
{
	char *key = g_strdup_printf("servers/%s", id);
	size_t count = count_lines(proxy, "invalid member entry ignored", key);

	g_free(key);
	return count;
}

static void wait_until_invalid(int proxy, const char *id, size_t count)
{
	for (int i = 0; i < KNOWN_WITHIN * 20 && count_invalid(proxy, id) < count; i++)
		g_usleep(50000);
	g_assert_cmpuint(count_invalid(proxy, id), ==, count);
}

/* Value of a metric of the proxy; -1: it has none of that name. */
static double metric(int proxy, const char *name)
{
	GString *body = g_string_new(NULL);
	char *start = g_strdup_printf("\ncyclamenspan_%s ", name);
	double value = -1;
	const char *at;

	site_http_get(site, proxy, false, "/metrics", body);
	at = strstr(body->str, start);
	if (at != NULL)
		value = g_ascii_strtod(at + strlen(start), NULL);
	g_free(start);
	g_string_free(body, TRUE);
	return value;
}

/* The member as the proxy knows it, or NULL; the caller frees it. */
static json_t *find_member(int proxy, const char *id)
{
	GString *body = g_string_new(NULL);
	json_t *found = NULL;
	json_t *state;
	json_t *service;
	json_t *member;
	size_t i;
	size_t j;

	g_assert_cmpint(site_http_get(site, proxy, false, "/state", body), ==, 200);
	state = json_loads(body->str, 0, NULL);
	json_array_foreach (json_object_get(json_object_get(state, "pooler"), "services"), i,
			    service) {
		json_array_foreach (json_object_get(service, "members"), j, member) {
			if (g_strcmp0(json_string_value(json_object_get(member, "id")), id) == 0)
				found = json_incref(member);
		}
	}
	json_decref(state);
	g_string_free(body, TRUE);
	return found;
}

static bool is_listed(int proxy, const char *id)
{
	json_t *member = find_member(proxy, id);
	bool listed = member != NULL && json_is_false(json_object_get(member, "gone"));

	json_decref(member);
	return listed;
}

static void wait_until_listed(int proxy, const char *id, bool listed)
{
	for (int i = 0; i < KNOWN_WITHIN * 20 && is_listed(proxy, id) != listed; i++)
		g_usleep(50000);
	g_assert_true(is_listed(proxy, id) == listed);
}

/* The processes run, the members are listed and serve. */
static void check_others(void)
{
	for (int i = 0; i < PROXIES; i++) {
		site_caller_t *caller = site_open_session(site, i, "jobs");
		char *written = site_query(caller, "WRITE a one");
		char *read = site_query(caller, "READ a");

		g_assert_cmpint(kill(site->proxies[i], 0), ==, 0);
		g_assert_true(g_str_has_prefix(written, "DONE core-"));
		g_assert_true(g_str_has_prefix(read, "ROW one"));
		for (int j = 0; j < 3; j++) {
			char *id = g_strdup_printf("core-%d", j);

			g_assert_true(is_listed(i, id));
			g_free(id);
		}
		g_free(written);
		g_free(read);
		site_disconnect(caller);
	}
}

/* Guards against processes that end, or follow no more, at an odd entry that comes as a change. */
static void test_as_a_change(void)
{
	write_odd_entries();
	for (int i = 0; i < PROXIES; i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(odd_entries); j++) {
			wait_until_invalid(i, odd_entries[j].id, 1);
			g_assert_null(find_member(i, odd_entries[j].id));
		}
	}
	check_others();
	/* A change after the odd entries. */
	write_entry("core-later", VALID_ENTRY);
	for (int i = 0; i < PROXIES; i++)
		wait_until_listed(i, "core-later", true);
	/* Full reads of the members bring the same entries. */
	g_usleep(TWO_READS_USEC);
	for (int i = 0; i < PROXIES; i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(odd_entries); j++)
			g_assert_cmpuint(count_invalid(i, odd_entries[j].id), ==, 1);
		g_assert_cmpuint(count_lines(i, "invalid item in the store's answer", ""), ==, 0);
	}
	check_others();
}

/* Writes an entry for each field with each odd value, and returns their number. */
static size_t write_each_field(const char *valid)
{
	size_t count = 0;

	for (size_t i = 0; i < entry_field_count; i++) {
		for (size_t j = 0; j < odd_value_count; j++) {
			char *id = g_strdup_printf("core-f%zu-%zu", i, j);
			char *odd = entry_with(entry_fields[i][0], odd_values[j]);

			write_entry(id, valid != NULL ? valid : odd);
			count++;
			g_free(odd);
			g_free(id);
		}
	}
	return count;
}

static bool any_field_is_listed(int proxy, bool all)
{
	size_t listed = 0;

	for (size_t i = 0; i < entry_field_count; i++) {
		for (size_t j = 0; j < odd_value_count; j++) {
			char *id = g_strdup_printf("core-f%zu-%zu", i, j);

			listed += is_listed(proxy, id);
			g_free(id);
		}
	}
	return all ? listed == entry_field_count * odd_value_count : listed != 0;
}

/* Guards against an odd value of any field: as a change, at the first read, and once it is valid.
 */
static void test_each_field(void)
{
	double before[PROXIES];
	size_t count;

	for (int i = 0; i < PROXIES; i++)
		before[i] = metric(i, "member_entries_invalid_total");
	count = write_each_field(NULL);
	write_entry("core-last", VALID_ENTRY);
	for (int i = 0; i < PROXIES; i++) {
		wait_until_listed(i, "core-last", true);
		g_assert_false(any_field_is_listed(i, false));
	}
	check_others();
	/* They are not decoded again with each full read. */
	g_usleep(TWO_READS_USEC);
	for (int i = 0; i < PROXIES; i++)
		g_assert_cmpfloat(metric(i, "member_entries_invalid_total") - before[i], ==,
				  (double)count);
	harness_kill(&site->proxies[1]);
	site_restart_proxy(site, 1);
	site_wait_until_ready(site, 1);
	wait_until_listed(1, "core-last", true);
	g_assert_false(any_field_is_listed(1, false));
	check_others();
	write_each_field(VALID_ENTRY);
	for (int i = 0; i < PROXIES; i++) {
		for (int j = 0; j < KNOWN_WITHIN * 20 && !any_field_is_listed(i, true); j++)
			g_usleep(50000);
		g_assert_true(any_field_is_listed(i, true));
	}
	check_others();
}

/* Guards against processes that end, or get no list, at odd entries that are there at their start.
 */
static void test_at_the_first_read(void)
{
	harness_kill(&site->proxies[1]);
	site_restart_proxy(site, 1);
	site_wait_until_ready(site, 1);
	for (size_t j = 0; j < G_N_ELEMENTS(odd_entries); j++)
		wait_until_invalid(1, odd_entries[j].id, 2);
	wait_until_listed(1, "core-later", true);
	check_others();
}

/* Guards against an entry whose member stays out of use once it is valid. */
static void test_entries_become_valid(void)
{
	for (size_t j = 0; j < G_N_ELEMENTS(odd_entries); j++)
		write_entry(odd_entries[j].id, VALID_ENTRY);
	for (int i = 0; i < PROXIES; i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(odd_entries); j++)
			wait_until_listed(i, odd_entries[j].id, true);
	}
	check_others();
}

/* An odd entry takes the place of a member's own, and that comes back. */
static void test_in_place_of_a_member(void)
{
	json_t *member = find_member(0, "core-2");
	char *valid =
		g_strdup_printf("{\"service\":\"core\",\"zone\":\"plateau\",\"state\":\"ready\","
				"\"addr\":\"%s\",\"slots\":2," ENTRY_END,
				json_string_value(json_object_get(member, "address")));

	for (size_t j = 0; j < G_N_ELEMENTS(odd_entries); j += 4) {
		write_entry("core-2", odd_entries[j].bytes);
		for (int i = 0; i < PROXIES; i++)
			wait_until_listed(i, "core-2", false);
		for (int i = 0; i < PROXIES; i++) {
			g_assert_true(is_listed(i, "core-0"));
			g_assert_true(is_listed(i, "core-1"));
		}
		write_entry("core-2", valid);
		for (int i = 0; i < PROXIES; i++)
			wait_until_listed(i, "core-2", true);
	}
	check_others();
	json_decref(member);
	g_free(valid);
}

/*
 * Guards against a list of members that can't be read while there is a key with a NUL, or in which
 * such a key passes for the one that ends there.
 */
static void test_key_with_nul(void)
{
	write_entry("core-0~x", VALID_ENTRY);
	write_entry("core-after", VALID_ENTRY);
	for (int i = 0; i < PROXIES; i++)
		wait_until_listed(i, "core-after", true);
	g_usleep(TWO_READS_USEC);
	harness_kill(&site->proxies[1]);
	site_restart_proxy(site, 1);
	site_wait_until_ready(site, 1);
	check_others();
	write_entry("core-0~x", "");
	for (int i = 0; i < PROXIES; i++) {
		json_t *member = find_member(i, "core-0");

		g_assert_cmpstr(json_string_value(json_object_get(member, "address")), !=,
				"127.0.0.1:9");
		g_assert_false(json_is_true(json_object_get(member, "leaving")));
		json_decref(member);
	}
}

/* Guards against a configuration that ends processes, or that keeps the next one from its effect.
 */
static void test_configuration(void)
{
	static const char *const odd[] = {
		"",
		"raw:no*base64",
		"[]",
		"{\"version\":1e400}",
		"{\"version\":\"9\",\"routes\":7,\"services\":[null,{\"name\":[]}]}",
		"\xff\xfe",
	};
	char *deep = repeat_text("[", ODD_DEPTH);
	int before = (int)metric(0, "config_version");

	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++)
		write_key("op/config", odd[i]);
	write_key("op/config", deep);
	g_usleep(1000000);
	for (int i = 0; i < PROXIES; i++)
		g_assert_cmpint((int)metric(i, "config_version"), ==, before);
	check_others();
	write_key("op/config",
		  "{\"version\":99,\"routes\":[{\"host\":\"jobs\",\"service\":\"core\","
		  "\"kind\":\"session\",\"maxStaleMs\":1500,\"timeoutMs\":2000,\"sloMs\":200,"
		  "\"priority\":0}],\"services\":[{\"name\":\"core\",\"maxConns\":16}],"
		  "\"limits\":{\"txIdleMs\":3000}}");
	for (int i = 0; i < PROXIES; i++) {
		for (int j = 0; j < KNOWN_WITHIN * 20 && (int)metric(i, "config_version") != 99;
		     j++)
			g_usleep(50000);
		g_assert_cmpint((int)metric(i, "config_version"), ==, 99);
	}
	check_others();
	g_free(deep);
}

int main(int argc, char **argv)
{
	int rc;

	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	fill_table();
	site = site_start(PROXIES);
	g_test_add_func("/odd-entries/as-a-change", test_as_a_change);
	g_test_add_func("/odd-entries/at-the-first-read", test_at_the_first_read);
	g_test_add_func("/odd-entries/become-valid", test_entries_become_valid);
	g_test_add_func("/odd-entries/each-field", test_each_field);
	g_test_add_func("/odd-entries/in-place-of-a-member", test_in_place_of_a_member);
	g_test_add_func("/odd-entries/key-with-nul", test_key_with_nul);
	g_test_add_func("/odd-entries/configuration", test_configuration);
	rc = g_test_run();
	site_stop(site);
	return rc;
}
