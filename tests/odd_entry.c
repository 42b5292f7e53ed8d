#include "odd_entry.h"

#include <stdbool.h>
#include <string.h>

#include <glib.h>

const char *const entry_fields[][2] = {
	{"service", "\"core\""},   {"addr", "\"127.0.0.1:9\""},
	{"zone", "\"a\""},	   {"slots", "2"},
	{"state", "\"draining\""}, {"dbRole", "\"replica\""},
	{"born", "1790000000000"},
};
const size_t entry_field_count = G_N_ELEMENTS(entry_fields);

const char *const odd_values[] = {
	"null",
	"\"\"",
	"[]",
	"{}",
	"true",
	"-1",
	"1e400",
	"-1e400",
	"9223372036854775808",
	"2e0",
	"-9223372036854775809",
	"\"\\u0000\"",
	"0.5",
	"\"\xff\xfe\"",
	"\"\xed\xa0\x80\"",
	"",
	"\"",
	"\"\\ud800\"",
};
const size_t odd_value_count = G_N_ELEMENTS(odd_values);

char *entry_with(const char *field, const char *value)
{
	GString *text = g_string_new("{\"seq\":1");

	for (size_t i = 0; i < entry_field_count; i++) {
		bool changed = strcmp(entry_fields[i][0], field) == 0;

		if (!changed || value != NULL)
			g_string_append_printf(text, ",\"%s\":%s", entry_fields[i][0],
					       changed ? value : entry_fields[i][1]);
	}
	g_string_append_c(text, '}');
	return g_string_free(text, FALSE);
}

char *repeat_text(const char *unit, size_t count)
{
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < count; i++)
		g_string_append(text, unit);
	return g_string_free(text, FALSE);
}
