#include "etcd.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

/*
 * Edit ids kept in head. They must cover every edit whose result is still unknown to a proxy, which
 * looks for its id there.
 */
#define KEPT_EDIT_IDS 32
/* Edits whose history is kept in the store. */
#define KEPT_HISTORY 1000

json_t *etcd_encode_key(const char *prefix, const char *key)
{
	char *full = talloc_asprintf(NULL, "%s%s", prefix, key);
	gchar *base64 = g_base64_encode((const guchar *)full, strlen(full));
	json_t *out = json_string(base64);

	g_free(base64);
	talloc_free(full);
	return out;
}

static json_t *encode_text(const char *text)
{
	gchar *base64 = g_base64_encode((const guchar *)text, strlen(text));
	json_t *out = json_string(base64);

	g_free(base64);
	return out;
}

char *etcd_decode_text(void *parent, const json_t *field)
{
	const char *text = json_string_value(field);
	gsize len;
	guchar *raw;
	char *out;

	if (text == NULL)
		return NULL;
	raw = g_base64_decode(text, &len);
	out = talloc_strndup(parent, (const char *)raw, len);
	g_free(raw);
	return out;
}

int64_t etcd_read_number(const json_t *object, const char *key)
{
	const json_t *field = json_object_get(object, key);

	if (json_is_integer(field))
		return json_integer_value(field);
	return json_is_string(field) ? strtoll(json_string_value(field), NULL, 10) : 0;
}

void etcd_read_head(const json_t *kv, etcd_head_t *head)
{
	char *text = etcd_decode_text(NULL, json_object_get(kv, "value"));
	json_t *value = text != NULL ? json_loads(text, 0, NULL) : NULL;

	head->revision = etcd_read_number(kv, "mod_revision");
	head->version = (uint64_t)etcd_read_number(value, "version");
	head->edits = json_incref(json_object_get(value, "edits"));
	json_decref(value);
	talloc_free(text);
}

bool etcd_head_has_edit(const etcd_head_t *head, const char *edit_id)
{
	for (size_t i = 0; edit_id != NULL && i < json_array_size(head->edits); i++) {
		const char *found = json_string_value(json_array_get(head->edits, i));

		if (found != NULL && strcmp(found, edit_id) == 0)
			return true;
	}
	return false;
}

/* Decode a stored entry; returns false if the entry is malformed. */
static bool decode_entry(const char *prefix, void *parent, const json_t *kv, table_entry_t *out)
{
	char *key = etcd_decode_text(parent, json_object_get(kv, "key"));
	char *text = etcd_decode_text(parent, json_object_get(kv, "value"));
	json_t *stored = text != NULL ? json_loads(text, 0, NULL) : NULL;
	size_t skip = strlen(prefix) + strlen("item/");
	const json_t *value = json_object_get(stored, "value");
	bool readable = json_is_object(stored) && key != NULL && strlen(key) > skip;
	char *dumped;

	if (readable) {
		dumped = json_is_object(value) ? json_dumps(value, JSON_COMPACT) : NULL;
		out->key = talloc_strdup(parent, key + skip);
		out->version = (uint64_t)etcd_read_number(stored, "version");
		out->value = talloc_strdup(parent, dumped);
		free(dumped);
	}
	json_decref(stored);
	return readable;
}

size_t etcd_read_entries(const char *prefix, void *parent, const json_t *kvs, table_entry_t **out)
{
	size_t count = json_array_size(kvs);
	size_t decoded = 0;

	*out = talloc_zero_array(parent, table_entry_t, count + 1);
	for (size_t i = 0; i < count; i++) {
		if (decode_entry(prefix, *out, json_array_get(kvs, i), &(*out)[decoded]))
			decoded++;
	}
	return decoded;
}

static json_t *put_request(const char *prefix, const char *key, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);
	json_t *request = json_pack("{s:{s:o, s:o}}", "requestPut", "key",
				    etcd_encode_key(prefix, key), "value", encode_text(text));

	free(text);
	json_decref(value);
	return request;
}

static json_t *head_value(const commit_action_t *commit, const json_t *edits)
{
	json_t *kept_edits = json_array();
	size_t count = json_array_size(edits);
	size_t first = count >= KEPT_EDIT_IDS ? count - KEPT_EDIT_IDS + 1 : 0;

	for (size_t i = first; i < count; i++)
		json_array_append(kept_edits, json_array_get(edits, i));
	json_array_append_new(kept_edits, json_string(commit->edit_id));
	return json_pack("{s:I, s:s, s:s, s:o}", "version", (json_int_t)commit->table_version,
			 "edit", commit->edit_id, "author", commit->author, "edits", kept_edits);
}

static json_t *item_value(const table_entry_t *entry)
{
	json_t *value = entry->value != NULL ? json_loads(entry->value, 0, NULL) : json_null();

	return json_pack("{s:I, s:o}", "version", (json_int_t)entry->version, "value", value);
}

/* The value of a history key: author and changes of one edit. */
static json_t *history_value(const commit_action_t *commit)
{
	json_t *changes = json_object();

	for (size_t i = 0; i < commit->entry_count; i++)
		json_object_set_new(changes, commit->entries[i].key,
				    item_value(&commit->entries[i]));
	return json_pack("{s:I, s:s, s:s, s:o}", "version", (json_int_t)commit->table_version,
			 "edit", commit->edit_id, "author", commit->author, "changes", changes);
}

json_t *etcd_commit_request(const char *prefix, const commit_action_t *commit, const json_t *edits)
{
	json_t *success = json_array();
	json_t *compare = json_pack("{s:o, s:s, s:s, s:s}", "key", etcd_encode_key(prefix, "head"),
				    "target", "MOD", "result", "EQUAL", "mod_revision", "0");
	char key[600];

	json_object_set_new(compare, "mod_revision", json_integer(commit->head_revision));
	json_array_append_new(success, put_request(prefix, "head", head_value(commit, edits)));
	for (size_t i = 0; i < commit->entry_count; i++) {
		snprintf(key, sizeof(key), "item/%s", commit->entries[i].key);
		json_array_append_new(success,
				      put_request(prefix, key, item_value(&commit->entries[i])));
	}
	snprintf(key, sizeof(key), "history/%012llu", (unsigned long long)commit->table_version);
	json_array_append_new(success, put_request(prefix, key, history_value(commit)));
	if (commit->table_version > KEPT_HISTORY) {
		snprintf(key, sizeof(key), "history/%012llu",
			 (unsigned long long)(commit->table_version - KEPT_HISTORY));
		json_array_append_new(success, json_pack("{s:{s:o}}", "requestDeleteRange", "key",
							 etcd_encode_key(prefix, key)));
	}
	return json_pack("{s:[o], s:o}", "compare", compare, "success", success);
}
