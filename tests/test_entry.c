/* Decoding of member entries in the store, valid ones and those that other programs wrote. */
#include <string.h>

#include <glib.h>

#include "entry.h"
#include "odd_entry.h"

#define VALID_ENTRY                                                                                \
	"{\"service\":\"core\",\"addr\":\"10.0.0.9:8080\",\"zone\":\"a\",\"version\":\"v1\","      \
	"\"slots\":2,\"state\":\"ready\",\"coldLeftMs\":0,\"dbRole\":\"replica\",\"seq\":4,"       \
	"\"born\":1790000000000}"

static bool decode(const char *text, const char *id, member_entry_t *entry)
{
	const char *reason;
	json_t *root = member_entry_decode(text, strlen(text), id, entry, &reason);

	g_assert_true((root != NULL) == (reason == NULL));
	json_decref(root);
	return root != NULL;
}

static void test_valid(void)
{
	member_entry_t entry;
	const char *reason;
	json_t *root =
		member_entry_decode(VALID_ENTRY, strlen(VALID_ENTRY), "i-1", &entry, &reason);

	g_assert_nonnull(root);
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

/* True if the entry is valid with that value of the field. */
static bool decode_with(const char *field, const char *value)
{
	char *text = entry_with(field, value);
	member_entry_t entry;
	bool ok = decode(text, "i-1", &entry);

	g_free(text);
	return ok;
}

static void assert_invalid(const char *field, const char *value)
{
	if (decode_with(field, value))
		g_error("%s: %.60s is taken for valid", field, value != NULL ? value : "missing");
}

/*
 * Guards against an entry of another writer that is used, or that ends the process: values that no
 * field has, in each of them.
 */
static void test_odd_values(void)
{
	char *arrays = repeat_text("[", ODD_DEPTH);
	char *closed = repeat_text("]", ODD_DEPTH);
	char *nested = g_strconcat(arrays, closed, NULL);
	char *objects = repeat_text("{\"a\":", ODD_DEPTH);

	for (size_t i = 0; i < entry_field_count; i++) {
		const char *field = entry_fields[i][0];

		g_assert_true(decode_with(field, entry_fields[i][1]));
		for (size_t j = 0; j < odd_value_count; j++)
			assert_invalid(field, odd_values[j]);
		assert_invalid(field, nested);
		assert_invalid(field, arrays);
		assert_invalid(field, objects);
	}
	for (size_t i = 0; i + 1 < entry_field_count; i++)
		assert_invalid(entry_fields[i][0], NULL);
	g_free(objects);
	g_free(nested);
	g_free(closed);
	g_free(arrays);
}

/* Guards against connections to a port that no member has, or that is cut down to another one. */
static void test_addresses(void)
{
	static const char *const invalid[] = {
		"10.0.0.9",
		"10.0.0.9:",
		"10.0.0.9:0",
		"10.0.0.9:65536",
		"10.0.0.9:99999",
		"10.0.0.9:-1",
		"10.0.0.9:8080x",
		"10.0.0.9:73616",
		"10.0.0.256:8080",
		"10.0.0:8080",
		"member-1:8080",
		":8080",
		"[::1]:8080",
		"10.0.0.9:8e3",
		"10.0.0.9:0x1f90",
		"10.0.0.9:8080:1",
		"10.0.0.9:18446744073709559696",
	};

	g_assert_true(decode_with("addr", "\"10.0.0.9:1\""));
	g_assert_true(decode_with("addr", "\"10.0.0.9:65535\""));
	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		char *value = g_strdup_printf("\"%s\"", invalid[i]);

		assert_invalid("addr", value);
		g_free(value);
	}
}

/*
 * Guards against names that are more than one word on the line that opens a connection, and against
 * names of any length in rosters and logs.
 */
static void test_names(void)
{
	static const char *const invalid[] = {"two words", "core\\r\\nQUERY - STATUS", "\\t",
					      "a\\u007f"};
	static const char *const names[] = {"service", "zone"};
	char *longest = repeat_text("n", 200);
	char *longer = repeat_text("n", 201);
	char *huge = repeat_text("n", 1 << 20);
	member_entry_t entry;

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		const char *const lengths[] = {longer, huge};
		char *value = g_strdup_printf("\"%s\"", longest);

		g_assert_true(decode_with(names[i], value));
		g_free(value);
		for (size_t j = 0; j < G_N_ELEMENTS(invalid); j++) {
			value = g_strdup_printf("\"%s\"", invalid[j]);
			assert_invalid(names[i], value);
			g_free(value);
		}
		for (size_t j = 0; j < G_N_ELEMENTS(lengths); j++) {
			value = g_strdup_printf("\"%s\"", lengths[j]);
			assert_invalid(names[i], value);
			g_free(value);
		}
	}
	g_assert_true(decode(VALID_ENTRY, longest, &entry));
	g_assert_false(decode(VALID_ENTRY, longer, &entry));
	g_assert_false(decode(VALID_ENTRY, "two words", &entry));
	g_assert_false(decode(VALID_ENTRY, "i-1\r\n", &entry));
	g_free(huge);
	g_free(longer);
	g_free(longest);
}

/* Guards against counts that overflow: of the statements that all members run at a time. */
static void test_slots(void)
{
	g_assert_true(decode_with("slots", "0"));
	g_assert_true(decode_with("slots", "1000000"));
	assert_invalid("slots", "1000001");
	assert_invalid("slots", "2147483648");
	assert_invalid("slots", "9223372036854775807");
	assert_invalid("slots", "\"2\"");
	g_assert_true(decode_with("born", "9223372036854775807"));
}

/* Bytes that are no JSON at all, or that end in the middle of it. */
static void test_bytes(void)
{
	static const char nul[] = VALID_ENTRY "\0";
	char *deep = repeat_text("{\"a\":", ODD_DEPTH);
	const char *reason;
	member_entry_t entry;

	for (size_t len = 0; len < strlen(VALID_ENTRY); len++)
		g_assert_null(member_entry_decode(VALID_ENTRY, len, "i-1", &entry, &reason));
	g_assert_null(member_entry_decode(nul, sizeof(nul), "i-1", &entry, &reason));
	g_assert_null(member_entry_decode(deep, strlen(deep), "i-1", &entry, &reason));
	g_assert_null(member_entry_decode(NULL, 0, "i-1", &entry, &reason));
	g_free(deep);
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
	g_test_add_func("/entry/odd-values", test_odd_values);
	g_test_add_func("/entry/addresses", test_addresses);
	g_test_add_func("/entry/names", test_names);
	g_test_add_func("/entry/slots", test_slots);
	g_test_add_func("/entry/bytes", test_bytes);
	return g_test_run();
}
