#include "settings.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <talloc.h>

#include "toml.h"

static const char *const type_names[] = {
	[SETTING_STRING] = "a string",	  [SETTING_INT] = "an integer",
	[SETTING_BOOL] = "true or false", [SETTING_LIST] = "a list of strings",
	[SETTING_NUMBER] = "a number",
};

static const setting_t *find_spec(const setting_t *specs, size_t len, const char *key)
{
	for (size_t i = 0; i < len; i++) {
		if (strcmp(specs[i].key, key) == 0)
			return &specs[i];
	}
	return NULL;
}

static int set_value_error(err_t *err, const char *path, int line, const char *key,
			   const json_t *value, const char *expected)
{
	char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);

	err_set(err, -EINVAL, "read settings", path, "line %d: %s = %s: expected %s", line, key,
		text, expected);
	free(text);
	return -EINVAL;
}

static int store_list(string_list_t *list, const json_t *value, void *parent)
{
	size_t len = json_array_size(value);

	list->items = talloc_array(parent, char *, len);
	list->len = len;
	for (size_t i = 0; i < len; i++) {
		const char *item = json_string_value(json_array_get(value, i));

		if (item == NULL)
			return -EINVAL;
		list->items[i] = talloc_strdup(list->items, item);
	}
	return 0;
}

/* Returns 0, or -EINVAL if value has another type than spec or is out of its range. */
static int store_value(const setting_t *spec, const json_t *value, void *out)
{
	void *field = (char *)out + spec->offset;

	switch (spec->type) {
	case SETTING_STRING:
		if (!json_is_string(value))
			return -EINVAL;
		*(char **)field = talloc_strdup(out, json_string_value(value));
		return 0;
	case SETTING_INT:
		if (!json_is_integer(value) || json_integer_value(value) < spec->min ||
		    json_integer_value(value) > spec->max)
			return -EINVAL;
		*(int64_t *)field = json_integer_value(value);
		return 0;
	case SETTING_BOOL:
		if (!json_is_boolean(value))
			return -EINVAL;
		*(bool *)field = json_is_true(value);
		return 0;
	case SETTING_LIST:
		return json_is_array(value) ? store_list(field, value, out) : -EINVAL;
	case SETTING_NUMBER:
		if (!json_is_number(value) || json_number_value(value) < (double)spec->min ||
		    json_number_value(value) > (double)spec->max)
			return -EINVAL;
		*(double *)field = json_number_value(value);
		return 0;
	}
	return -EINVAL;
}

static void store_default(const setting_t *spec, void *out)
{
	void *field = (char *)out + spec->offset;

	switch (spec->type) {
	case SETTING_STRING:
		*(char **)field = talloc_strdup(out, spec->default_text);
		break;
	case SETTING_INT:
		*(int64_t *)field = strtoll(spec->default_text, NULL, 10);
		break;
	case SETTING_BOOL:
		*(bool *)field = strcmp(spec->default_text, "true") == 0;
		break;
	case SETTING_LIST:
		*(string_list_t *)field = (string_list_t){0};
		break;
	case SETTING_NUMBER:
		*(double *)field = strtod(spec->default_text, NULL);
		break;
	}
}

static int store_entry(const char *path, const setting_t *spec, const char *key,
		       const json_t *entry, void *out, err_t *err)
{
	const json_t *value = json_object_get(entry, "value");
	int line = (int)json_integer_value(json_object_get(entry, "line"));
	char expected[160];

	if (spec == NULL)
		return set_value_error(err, path, line, key, value,
				       "a known key (see --help-settings)");
	if (store_value(spec, value, out) == 0)
		return 0;
	if (spec->type == SETTING_INT || spec->type == SETTING_NUMBER)
		snprintf(expected, sizeof(expected), "%s from %" PRId64 " to %" PRId64 " %s",
			 type_names[spec->type], spec->min, spec->max, spec->unit);
	else
		snprintf(expected, sizeof(expected), "%s", type_names[spec->type]);
	return set_value_error(err, path, line, key, value, expected);
}

static int store_all(const char *path, const setting_t *specs, size_t len, json_t *flat, void *out,
		     err_t *err)
{
	const char *key;
	json_t *entry;

	json_object_foreach (flat, key, entry) {
		int rc = store_entry(path, find_spec(specs, len, key), key, entry, out, err);

		if (rc < 0)
			return rc;
	}
	for (size_t i = 0; i < len; i++) {
		if (json_object_get(flat, specs[i].key) != NULL)
			continue;
		if (specs[i].default_text == NULL)
			return err_set(err, -EINVAL, "read settings", path,
				       "%s is missing: expected %s", specs[i].key,
				       type_names[specs[i].type]);
		store_default(&specs[i], out);
	}
	return 0;
}

int settings_parse(const char *text, const char *path, const setting_t *specs, size_t len,
		   void *out, err_t *err)
{
	char message[160];
	int line = 0;
	json_t *flat = toml_parse(text, &line, message, sizeof(message));
	int rc;

	if (flat == NULL)
		return err_set(err, -EINVAL, "read settings", path, "line %d: not TOML: %s", line,
			       message);
	rc = store_all(path, specs, len, flat, out, err);
	json_decref(flat);
	return rc;
}

int settings_load(const char *path, const setting_t *specs, size_t len, void *out, err_t *err)
{
	gchar *text = NULL;
	int rc;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return err_set(err, -ENOENT, "read settings", path, "the file can't be read");
	rc = settings_parse(text, path, specs, len, out, err);
	g_free(text);
	return rc;
}

void settings_describe(const setting_t *specs, size_t len, FILE *out)
{
	for (size_t i = 0; i < len; i++) {
		const setting_t *spec = &specs[i];

		fprintf(out, "%-28s %s%s%s, default %s%s: %s\n", spec->key, type_names[spec->type],
			spec->unit[0] != '\0' ? " in " : "", spec->unit,
			spec->default_text != NULL ? spec->default_text : "none (required)",
			spec->reloadable ? ", reloadable" : "", spec->help);
	}
}
