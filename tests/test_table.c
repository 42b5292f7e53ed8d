/* The operators' table: validation and its errors, late and duplicate updates. */
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "table.h"

#define GROUP                                                                                      \
	"{\"members\": [{\"name\": \"m0\", \"zone\": \"z0\", \"address\": \"h:1\"},"               \
	"{\"name\": \"m1\", \"zone\": \"z1\", \"address\": \"h:2\"},"                              \
	"{\"name\": \"m2\", \"zone\": \"z2\", \"address\": \"h:3\"}]}"
#define ROW "{\"group\": \"g\", \"kind\": \"read\", \"max_age_ms\": 500, \"connections\": 4}"

static table_t *create_table(void)
{
	table_t *table = table_create(NULL);
	table_entry_t entries[] = {{"group/g", GROUP, 1}, {"row/s/c", ROW, 1}};
	err_t err = {0};

	g_assert_cmpint(table_merge(table, entries, 2, 1, &err), ==, 2);
	return table;
}

static void test_lookup(void)
{
	table_t *table = create_table();
	const row_t *row = table_find_row(table, "s", "c");

	g_assert_nonnull(row);
	g_assert_cmpuint(row->max_age, ==, 500 * USEC_PER_MSEC);
	g_assert_cmpint(row->connections, ==, 4);
	g_assert_null(table_find_row(table, "s", "other"));
	g_assert_cmpuint(table_find_group(table, "g")->member_count, ==, 3);
	talloc_free(table);
}

/* Updates may arrive late, twice and out of order: the newest version of an entry must stay. */
static void test_never_reverts(void)
{
	table_t *table = create_table();
	table_entry_t newer = {"row/s/c", "{\"group\": \"g\", \"kind\": \"write\"}", 5};
	table_entry_t older = {"row/s/c", ROW, 3};
	table_entry_t deleted = {"row/s/c", NULL, 6};

	g_assert_cmpint(table_merge(table, &newer, 1, 5, NULL), ==, 1);
	g_assert_cmpint(table_merge(table, &older, 1, 3, NULL), ==, 0);
	g_assert_cmpint(table_find_row(table, "s", "c")->kind, ==, ROW_WRITE);
	g_assert_cmpuint(table->version, ==, 5);
	g_assert_cmpint(table_merge(table, &deleted, 1, 6, NULL), ==, 1);
	g_assert_cmpint(table_merge(table, &newer, 1, 5, NULL), ==, 0);
	g_assert_null(table_find_row(table, "s", "c"));
	talloc_free(table);
}

typedef struct bad_case {
	const char *key;
	const char *value;
	const char *where;    /* the error's peer */
	const char *expected; /* part of its text */
} bad_case_t;

static const bad_case_t bad_cases[] = {
	{"row/s/d", "not json", "row/s/d", "expected a JSON object"},
	{"row/s/d", "{\"kind\": \"read\"}", "row/s/d", "group = (missing)"},
	{"row/s/d", "{\"group\": \"g\", \"kind\": \"both\"}", "row/s/d", "\"read\" or \"write\""},
	{"row/s/d", "{\"group\": \"g\", \"kind\": \"read\", \"weight\": 101}", "row/s/d",
	 "an integer from 0 to 100"},
	{"row/s/d", "{\"group\": \"g\", \"kind\": \"read\", \"max_age_ms\": \"1\"}", "row/s/d",
	 "an integer from 0"},
	{"row/s/d", "{\"group\": \"g\", \"kind\": \"read\", \"colour\": 1}", "row/s/d",
	 "no such field"},
	{"row/s/d", "{\"group\": \"nowhere\", \"kind\": \"read\"}", "s/d", "name of a group"},
	{"row/s", "{\"group\": \"g\", \"kind\": \"read\"}", "row/s", "row/SERVICE/CLASS"},
	{"table/x", "{}", "table/x", "starts with row/ or group/"},
	{"group/h", "{\"members\": []}", "group/h", "1, 3, 5 or 7 members"},
	{"row/s/d", "{\"group\": \"g\", \"kind\": \"read\", \"connections\": 9}", "m0",
	 "expected at least 16"},
	{"group/g", NULL, "s/c", "name of a group"},
};

static void test_refused(void)
{
	for (gsize i = 0; i < G_N_ELEMENTS(bad_cases); i++) {
		const bad_case_t *bad = &bad_cases[i];
		table_t *table = create_table();
		table_entry_t entry = {(char *)bad->key, (char *)bad->value, 0};
		err_t err = {0};

		g_assert_cmpint(table_check(table, &entry, 1, &err), <, 0);
		g_assert_cmpstr(err.peer, ==, bad->where);
		g_assert_nonnull(strstr(err.text, bad->expected));
		/* The rejected entry has changed nothing. */
		g_assert_cmpuint(table->version, ==, 1);
		g_assert_nonnull(table_find_row(table, "s", "c"));
		talloc_free(table);
	}
}

static void test_changes_since(void)
{
	table_t *table = create_table();
	table_entry_t entry = {"row/s/d", ROW, 2};
	size_t count;
	table_entry_t *changes;

	g_assert_cmpint(table_merge(table, &entry, 1, 2, NULL), ==, 1);
	changes = table_changes_since(table, table, 1, &count);
	g_assert_cmpuint(count, ==, 1);
	g_assert_cmpstr(changes[0].key, ==, "row/s/d");
	table_changes_since(table, table, 0, &count);
	g_assert_cmpuint(count, ==, 3);
	talloc_free(table);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/table/lookup", test_lookup);
	g_test_add_func("/table/never-reverts", test_never_reverts);
	g_test_add_func("/table/refused", test_refused);
	g_test_add_func("/table/changes", test_changes_since);
	return g_test_run();
}
