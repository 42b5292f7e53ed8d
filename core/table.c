#include "table.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>

#define STEP		"check table"
#define MAX_CONNECTIONS 100000
#define MAX_MSEC	3600000
/* Control connections to each member: one for each proxy that watches the group. */
#define CONTROL_CONNECTIONS 3

typedef enum { FIELD_INT, FIELD_MSEC, FIELD_KIND, FIELD_TEXT } field_type_t;

/* A field of a row or a member in the JSON that operators write. */
typedef struct field {
	const char *key;
	field_type_t type;
	size_t offset;
	int64_t min;
	int64_t max;
	int64_t initial; /* used when required is false */
	bool required;
} field_t;

/* A number with a range and a default. */
#define FIELD_OPTIONAL(name, kind, where, lowest, highest, preset)                                 \
	{                                                                                          \
		.key = (name), .type = (kind), .offset = (where), .min = (lowest),                 \
		.max = (highest), .initial = (preset)                                              \
	}
#define FIELD_REQUIRED(name, kind, where)                                                          \
	{                                                                                          \
		.key = (name), .type = (kind), .offset = (where), .required = true                 \
	}

static const field_t row_fields[] = {
	FIELD_REQUIRED("group", FIELD_TEXT, offsetof(row_t, group)),
	FIELD_REQUIRED("kind", FIELD_KIND, offsetof(row_t, kind)),
	FIELD_OPTIONAL("max_age_ms", FIELD_MSEC, offsetof(row_t, max_age), 0, MAX_MSEC, 0),
	FIELD_OPTIONAL("connections", FIELD_INT, offsetof(row_t, connections), 1, MAX_CONNECTIONS,
		       2),
	FIELD_OPTIONAL("weight", FIELD_INT, offsetof(row_t, weight), 0, 100, 50),
	FIELD_OPTIONAL("replica_lean", FIELD_INT, offsetof(row_t, replica_share), 0, 100, 100),
	FIELD_OPTIONAL("timeout_ms", FIELD_MSEC, offsetof(row_t, timeout), 1, MAX_MSEC, 5000),
	FIELD_OPTIONAL("queue", FIELD_INT, offsetof(row_t, queue), 1, MAX_CONNECTIONS, 200),
};

static const field_t member_fields[] = {
	FIELD_REQUIRED("name", FIELD_TEXT, offsetof(member_spec_t, name)),
	FIELD_REQUIRED("zone", FIELD_TEXT, offsetof(member_spec_t, zone)),
	FIELD_REQUIRED("address", FIELD_TEXT, offsetof(member_spec_t, address)),
	FIELD_OPTIONAL("slots", FIELD_INT, offsetof(member_spec_t, slots), 1, MAX_CONNECTIONS, 2),
	FIELD_OPTIONAL("connections", FIELD_INT, offsetof(member_spec_t, connections), 1,
		       MAX_CONNECTIONS, 15),
};

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

static int reject_value(err_t *err, const char *key, const char *field, const json_t *value,
			const char *expected)
{
	char *shown = value != NULL ? json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT) : NULL;

	err_set(err, -EINVAL, STEP, key, "%s = %s: expected %s", field,
		shown != NULL ? shown : "(missing)", expected);
	free(shown);
	return -EINVAL;
}

static int read_number(const field_t *spec, const char *key, const json_t *value, void *out,
		       err_t *err)
{
	int64_t number = value != NULL ? json_integer_value(value) : spec->initial;
	char expected[80];

	if (value != NULL &&
	    (!json_is_integer(value) || number < spec->min || number > spec->max)) {
		snprintf(expected, sizeof(expected), "an integer from %lld to %lld",
			 (long long)spec->min, (long long)spec->max);
		return reject_value(err, key, spec->key, value, expected);
	}
	if (spec->type == FIELD_MSEC)
		*(usec_t *)out = (usec_t)number * USEC_PER_MSEC;
	else
		*(int64_t *)out = number;
	return 0;
}

static int read_kind(const field_t *spec, const char *key, const json_t *value, row_kind_t *out,
		     err_t *err)
{
	const char *text = json_string_value(value);

	if (text != NULL && strcmp(text, "read") == 0)
		*out = ROW_READ;
	else if (text != NULL && strcmp(text, "write") == 0)
		*out = ROW_WRITE;
	else
		return reject_value(err, key, spec->key, value, "\"read\" or \"write\"");
	return 0;
}

static int read_text(const field_t *spec, const char *key, const json_t *value, void *parent,
		     char **out, err_t *err)
{
	const char *text = json_string_value(value);

	if (text == NULL || text[0] == '\0')
		return reject_value(err, key, spec->key, value, "a string that is not empty");
	*out = talloc_strdup(parent, text);
	return 0;
}

static int read_field(const field_t *spec, const char *key, const json_t *object, void *parent,
		      void *base, err_t *err)
{
	const json_t *value = json_object_get(object, spec->key);
	void *out = (char *)base + spec->offset;

	if (value == NULL && spec->required)
		return reject_value(err, key, spec->key, NULL, "a value");
	switch (spec->type) {
	case FIELD_INT:
	case FIELD_MSEC:
		return read_number(spec, key, value, out, err);
	case FIELD_KIND:
		return read_kind(spec, key, value, out, err);
	case FIELD_TEXT:
		return read_text(spec, key, value, parent, out, err);
	}
	return -EINVAL;
}

static int check_keys(const field_t *fields, size_t count, const char *key, const json_t *object,
		      const char *also, err_t *err)
{
	const char *name;
	json_t *value;

	json_object_foreach ((json_t *)object, name, value) {
		bool is_defined = also != NULL && strcmp(name, also) == 0;

		for (size_t i = 0; i < count && !is_defined; i++)
			is_defined = strcmp(fields[i].key, name) == 0;
		if (!is_defined)
			return reject_value(err, key, name, value, "no such field");
	}
	return 0;
}

static int read_fields(const field_t *fields, size_t count, const char *key, const json_t *object,
		       void *parent, void *base, err_t *err)
{
	int rc = check_keys(fields, count, key, object, NULL, err);

	for (size_t i = 0; i < count && rc == 0; i++)
		rc = read_field(&fields[i], key, object, parent, base, err);
	return rc;
}

static int read_row(table_item_t *item, const json_t *object, err_t *err)
{
	const char *name = item->entry.key + strlen("row/");
	const char *slash = strchr(name, '/');

	if (slash == NULL || slash == name || slash[1] == '\0' || strchr(slash + 1, '/') != NULL)
		return err_set(err, -EINVAL, STEP, item->entry.key,
			       "expected row/SERVICE/CLASS for a key");
	item->row = talloc_zero(item, row_t);
	item->row->name = talloc_strdup(item->row, name);
	return read_fields(row_fields, COUNT_OF(row_fields), item->entry.key, object, item->row,
			   item->row, err);
}

static int check_member_names(const group_spec_t *group, const char *key, err_t *err)
{
	for (size_t i = 0; i < group->member_count; i++) {
		for (size_t j = 0; j < i; j++) {
			if (strcmp(group->members[i].name, group->members[j].name) == 0)
				return err_set(err, -EINVAL, STEP, key, "member %s stands twice",
					       group->members[i].name);
		}
	}
	return 0;
}

static int read_group(table_item_t *item, const json_t *object, err_t *err)
{
	const json_t *members = json_object_get(object, "members");
	group_spec_t *group = talloc_zero(item, group_spec_t);
	size_t count = json_array_size(members);
	int rc = check_keys(NULL, 0, item->entry.key, object, "members", err);

	if (rc < 0)
		return rc;
	/* An even number of members tolerates no more failures than one member fewer. */
	if (count == 0 || count > GROUP_MAX_MEMBERS || count % 2 == 0)
		return reject_value(err, item->entry.key, "members", members,
				    "a list of 1, 3, 5 or 7 members");
	group->name = talloc_strdup(group, item->entry.key + strlen("group/"));
	group->member_count = count;
	for (size_t i = 0; i < count; i++) {
		rc = read_fields(member_fields, COUNT_OF(member_fields), item->entry.key,
				 json_array_get(members, i), group, &group->members[i], err);
		if (rc < 0)
			return rc;
	}
	item->group = group;
	return check_member_names(group, item->entry.key, err);
}

static int read_value(table_item_t *item, err_t *err)
{
	json_t *object = json_loads(item->entry.value, 0, NULL);
	int rc;

	if (!json_is_object(object))
		rc = err_set(err, -EINVAL, STEP, item->entry.key, "expected a JSON object");
	else if (strncmp(item->entry.key, "row/", strlen("row/")) == 0)
		rc = read_row(item, object, err);
	else if (strncmp(item->entry.key, "group/", strlen("group/")) == 0)
		rc = read_group(item, object, err);
	else
		rc = err_set(err, -EINVAL, STEP, item->entry.key,
			     "expected a key that starts with row/ or group/");
	json_decref(object);
	return rc;
}

static table_item_t *item_create(void *parent, const table_entry_t *entry, err_t *err, int *rc)
{
	table_item_t *item = talloc_zero(parent, table_item_t);

	item->entry.key = talloc_strdup(item, entry->key);
	item->entry.value = talloc_strdup(item, entry->value);
	item->entry.version = entry->version;
	*rc = entry->value != NULL ? read_value(item, err) : 0;
	return item;
}

static int table_destructor(table_t *table)
{
	HASH_CLEAR(hh, table->items);
	return 0;
}

table_t *table_create(void *parent)
{
	table_t *table = talloc_zero(parent, table_t);

	talloc_set_destructor(table, table_destructor);
	return table;
}

static table_item_t *find_item(const table_t *table, const char *key)
{
	table_item_t *item;

	HASH_FIND_STR(table->items, key, item);
	return item;
}

static void put_item(table_t *table, table_item_t *item)
{
	table_item_t *old = find_item(table, item->entry.key);

	if (old != NULL) {
		HASH_DEL(table->items, old);
		talloc_free(old);
	}
	talloc_steal(table, item);
	HASH_ADD_KEYPTR(hh, table->items, item->entry.key, strlen(item->entry.key), item);
}

int table_merge(table_t *table, const table_entry_t *entries, size_t count, uint64_t version,
		err_t *err)
{
	void *scratch = talloc_new(NULL);
	table_item_t **fresh = talloc_zero_array(scratch, table_item_t *, count + 1);
	int changed = 0;
	int rc = 0;

	for (size_t i = 0; i < count && rc == 0; i++) {
		const table_item_t *old = find_item(table, entries[i].key);

		if (old != NULL && old->entry.version >= entries[i].version)
			continue;
		fresh[i] = item_create(scratch, &entries[i], err, &rc);
	}
	for (size_t i = 0; i < count && rc == 0; i++) {
		if (fresh[i] == NULL)
			continue;
		put_item(table, fresh[i]);
		changed++;
	}
	if (rc == 0 && version > table->version)
		table->version = version;
	talloc_free(scratch);
	return rc < 0 ? rc : changed;
}

const table_entry_t *table_find_entry(const table_t *table, const char *key)
{
	const table_item_t *item = find_item(table, key);

	return item != NULL ? &item->entry : NULL;
}

const row_t *table_find_row_named(const table_t *table, const char *name)
{
	char key[256];
	const table_item_t *item;

	snprintf(key, sizeof(key), "row/%s", name);
	item = find_item(table, key);
	return item != NULL ? item->row : NULL;
}

const row_t *table_find_row(const table_t *table, const char *service, const char *class_name)
{
	char name[256 - sizeof("row/") + 1]; /* with the prefix "row/" it fits a key of 256 bytes */

	snprintf(name, sizeof(name), "%s/%s", service, class_name);
	return table_find_row_named(table, name);
}

const group_spec_t *table_find_group(const table_t *table, const char *name)
{
	char key[256];
	const table_item_t *item;

	snprintf(key, sizeof(key), "group/%s", name);
	item = find_item(table, key);
	return item != NULL ? item->group : NULL;
}

table_entry_t *table_changes_since(void *parent, const table_t *table, uint64_t since,
				   size_t *count)
{
	table_entry_t *out = talloc_array(parent, table_entry_t, HASH_COUNT(table->items) + 1);
	table_item_t *item;
	table_item_t *next;

	*count = 0;
	HASH_ITER (hh, table->items, item, next) {
		if (item->entry.version > since)
			out[(*count)++] = item->entry;
	}
	return out;
}

/* The table as it would be after an edit: the entries of edit override those of current. */
typedef struct view {
	const table_t *current;
	const table_t *edit;
} view_t;

static const group_spec_t *view_group(const view_t *view, const char *name)
{
	char key[256];
	const table_item_t *item;

	snprintf(key, sizeof(key), "group/%s", name);
	item = find_item(view->edit, key);
	if (item == NULL)
		item = find_item(view->current, key);
	return item != NULL ? item->group : NULL;
}

typedef int (*view_row_t)(const row_t *row, void *data, err_t *err);

/* Call call() for each row of the group in the view until one call fails. */
static int for_each_view_row(const view_t *view, const char *group, view_row_t call, void *data,
			     err_t *err)
{
	const table_t *tables[] = {view->edit, view->current};
	table_item_t *item;
	table_item_t *next;
	int rc = 0;

	for (int t = 0; t < 2; t++) {
		HASH_ITER (hh, tables[t]->items, item, next) {
			bool covered = t == 1 && find_item(view->edit, item->entry.key) != NULL;

			if (rc == 0 && !covered && item->row != NULL &&
			    strcmp(item->row->group, group) == 0)
				rc = call(item->row, data, err);
		}
	}
	return rc;
}

static int reject_row_without_group(const row_t *row, void *data, err_t *err)
{
	(void)data;
	return err_set(err, -EINVAL, STEP, row->name,
		       "group = \"%s\": expected the name of a group in the table", row->group);
}

static int add_connections(const row_t *row, void *data, err_t *err)
{
	(void)err;
	*(int64_t *)data += row->connections;
	return 0;
}

/* The limits of all rows and the control connections must fit each member's connections. */
static int check_group(const view_t *view, const char *name, err_t *err)
{
	const group_spec_t *group = view_group(view, name);
	int64_t sum = CONTROL_CONNECTIONS;

	if (group == NULL)
		return for_each_view_row(view, name, reject_row_without_group, NULL, err);
	for_each_view_row(view, name, add_connections, &sum, err);
	for (size_t i = 0; i < group->member_count; i++) {
		const member_spec_t *member = &group->members[i];

		if (sum > member->connections)
			return err_set(err, -EINVAL, STEP, member->name,
				       "connections = %lld: expected at least %lld, the sum of "
				       "the group's rows and %d for control",
				       (long long)member->connections, (long long)sum,
				       CONTROL_CONNECTIONS);
	}
	return 0;
}

/* The name of the group that the entry defines or that its row uses; NULL for a deleted row. */
static const char *affected_group(const table_item_t *item)
{
	if (item->row != NULL)
		return item->row->group;
	if (strncmp(item->entry.key, "group/", strlen("group/")) == 0)
		return item->entry.key + strlen("group/");
	return NULL;
}

/* Only the groups affected by the edit are checked: the others were valid and stay so. */
int table_check(const table_t *table, const table_entry_t *entries, size_t count, err_t *err)
{
	void *scratch = talloc_new(NULL);
	view_t view = {.current = table, .edit = table_create(scratch)};
	int rc = table_merge((table_t *)view.edit, entries, count, table->version + 1, err);
	table_item_t *item;
	table_item_t *next;

	HASH_ITER (hh, view.edit->items, item, next) {
		const char *group = affected_group(item);

		if (rc >= 0 && group != NULL)
			rc = check_group(&view, group, err);
	}
	talloc_free(scratch);
	return rc < 0 ? rc : 0;
}
