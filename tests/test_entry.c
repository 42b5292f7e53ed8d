/* Decoding of member entries in the store, valid ones and those that other programs wrote. */
#include <string.h>

#include <glib.h>

#include "entry.h"

#define VALID_ENTRY                                                                                \
	"{\"service\":\"core\",\"addr\":\"10.0.0.9:8080\",\"zone\":\"a\",\"version\":\"v1\","      \
	"\"slots\":2,\"state\":\"ready\",\"coldLeftMs\":0,\"dbRole\":\"replica\",\"seq\":4,"       \
	"\"born\":1790000000000}"

static bool decode(const char *text, const char *id, member_entry_t *entry)
{
	json_t *root = json_loads(text, JSON_DECODE_ANY, NULL);
	const char *reason;
	bool ok = member_entry_decode(root, id, entry, &reason);

	g_assert_true(ok == (reason == NULL));
	json_decref(root);
	return ok;
}

static void test_valid(void)
{
	json_t *root = json_loads(VALID_ENTRY, 0, NULL);
	member_entry_t entry;
	const char *reason;

	g_assert_true(member_entry_decode(root, "i-1", &entry, &reason));
	g_assert_cmpstr(entry.service, ==, "core");
	g_assert_cmpstr(entry.address, ==, "10.0.0.9:8080");
	g_assert_cmpint(entry.slots, ==, 2);
	g_assert_cmpint(entry.started, ==, 1790000000000);
	g_assert_false(entry.leaving);
	g_assert_false(entry.primary);
	json_decref(root);
}

/*
 * Another program writes under the members' prefix: bytes, fields of other types, unknown words.
 * Each such entry is rejected as a whole. Otherwise statements would be sent to an address at which
 * there is no member, or a primary would be listed that does not exist.
 */
static void test_invalid(void)
{
	static const struct {
		const char *was;
		const char *is;
	} changes[] = {
		{"\"core\"", "7"},
		{"\"core\"", "\"\""},
		{"\"10.0.0.9:8080\"", "null"},
		{"\"10.0.0.9:8080\"", "\"somewhere\""},
		{"\"zone\":\"a\",", ""},
		{"\"slots\":2", "\"slots\":\"2\""},
		{"\"slots\":2", "\"slots\":2.5"},
		{"\"slots\":2", "\"slots\":-1"},
		{"\"ready\"", "\"resting\""},
		{"\"ready\"", "true"},
		{"\"replica\"", "\"witness\""},
		{"\"dbRole\":\"replica\",", ""},
		{"1790000000000", "\"1790000000000\""},
		{"1790000000000", "1.5"},
		{"1790000000000", "0"},
	};
	member_entry_t entry;

	for (size_t i = 0; i < G_N_ELEMENTS(changes); i++) {
		gchar **parts = g_strsplit(VALID_ENTRY, changes[i].was, 2);
		gchar *text = g_strjoinv(changes[i].is, parts);

		g_assert_nonnull(parts[1]);
		g_assert_false(decode(text, "i-1", &entry));
		g_free(text);
		g_strfreev(parts);
	}
	g_assert_false(decode("[]", "i-1", &entry));
	g_assert_false(decode("7", "i-1", &entry));
	g_assert_false(decode("\xff\xfe", "i-1", &entry));
	g_assert_false(decode(VALID_ENTRY, "", &entry));
}

/* An entry without a start time is valid. */
static void test_without_start_time(void)
{
	gchar **parts = g_strsplit(VALID_ENTRY, ",\"born\":1790000000000", 2);
	gchar *text = g_strjoinv("", parts);
	member_entry_t entry;

	g_assert_true(decode(text, "i-1", &entry));
	g_assert_cmpint(entry.started, ==, 0);
	g_free(text);
	g_strfreev(parts);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/whole", test_valid);
	g_test_add_func("/entry/foreign", test_invalid);
	g_test_add_func("/entry/without-born", test_without_start_time);
	return g_test_run();
}
