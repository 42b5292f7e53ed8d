#include "roster.h"

#include <string.h>

#include <jansson.h>
#include <talloc.h>
#include <xxhash.h>

#include "pack.h"

#define LOG_MODULE "roster"
#include "log.h"

static int roster_destructor(roster_t *roster)
{
	HASH_CLEAR(hh, roster->by_name);
	HASH_CLEAR(hh, roster->by_service);
	return 0;
}

roster_t *roster_create(void *parent)
{
	roster_t *roster = talloc_zero(parent, roster_t);

	list_init(&roster->nodes);
	list_init(&roster->groups);
	list_init(&roster->removals);
	talloc_set_destructor(roster, roster_destructor);
	return roster;
}

roster_node_t *roster_find_node(const roster_t *roster, const char *name)
{
	roster_node_t *node;

	HASH_FIND_STR(roster->by_name, name, node);
	return node;
}

roster_group_t *roster_find_group(const roster_t *roster, const char *service)
{
	roster_group_t *group;

	HASH_FIND_STR(roster->by_service, service, group);
	return group;
}

void roster_remove_node(roster_t *roster, const char *name)
{
	roster_node_t *node = roster_find_node(roster, name);

	if (node == NULL || roster->by_name == NULL)
		return;
	list_del(&node->node);
	HASH_DEL(roster->by_name, node);
	roster->node_count--;
	talloc_free(node);
}

roster_node_t *roster_put_node(roster_t *roster, const char *name, const char *address,
			       const char *zone, uint64_t incarnation)
{
	roster_node_t *node = talloc_zero(roster, roster_node_t);

	node->name = talloc_strdup(node, name);
	node->hash = XXH64(name, strlen(name), 0);
	node->address = talloc_strdup(node, address);
	node->zone = talloc_strdup(node, zone);
	node->incarnation = incarnation;
	roster_remove_node(roster, name);
	list_add_tail(&roster->nodes, &node->node);
	HASH_ADD_KEYPTR(hh, roster->by_name, node->name, strlen(node->name), node);
	roster->node_count++;
	return node;
}

void roster_put_group(roster_t *roster, const char *service, const char *primary, bool changing,
		      uint64_t term, uint64_t fencing_token)
{
	roster_group_t *group = roster_find_group(roster, service);
	char *copy;

	if (group == NULL) {
		group = talloc_zero(roster, roster_group_t);
		group->service = talloc_strdup(group, service);
		list_add_tail(&roster->groups, &group->node);
		HASH_ADD_KEYPTR(hh, roster->by_service, group->service, strlen(service), group);
	}
	/* primary may point to the old value. */
	copy = talloc_strdup(group, primary);
	talloc_free(group->primary);
	group->primary = copy;
	roster->changing_count += (size_t)changing - (size_t)group->changing;
	group->changing = changing;
	group->term = term;
	group->fencing_token = fencing_token;
}

roster_t *roster_copy(void *parent, const roster_t *roster)
{
	roster_t *copy = roster_create(parent);

	copy->revision = roster->revision;
	copy->era = roster->era;
	list_for_each (it, &roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		roster_put_node(copy, node->name, node->address, node->zone, node->incarnation)
			->gone = node->gone;
		roster_find_node(copy, node->name)->capacity = node->capacity;
	}
	list_for_each (it, &roster->groups) {
		const roster_group_t *group = list_entry(it, roster_group_t, node);

		roster_put_group(copy, group->service, group->primary, group->changing, group->term,
				 group->fencing_token);
	}
	return copy;
}

void roster_set_writer(roster_t *roster, const char *name)
{
	talloc_free(roster->writer);
	roster->writer = talloc_strdup(roster, name);
}

static json_t *encode_node(const roster_node_t *node)
{
	json_t *out =
		json_pack("{s:s, s:s, s:I, s:b}", "address", node->address, "zone", node->zone,
			  "incarnation", (json_int_t)node->incarnation, "gone", node->gone);

	if (node->capacity != 0)
		json_object_set_new(out, "capacity", json_integer(node->capacity));
	return out;
}

static json_t *encode_group(const roster_group_t *group)
{
	return json_pack("{s:s, s:b, s:I, s:I}", "primary", group->primary, "changing",
			 group->changing, "term", (json_int_t)group->term, "fence",
			 (json_int_t)group->fencing_token);
}

/* Encodes what has changed after that revision; -1: everything. */
static json_t *encode_changes(const roster_t *roster, int64_t since)
{
	json_t *nodes = json_object();
	json_t *groups = json_object();

	list_for_each (it, &roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		if (node->changed_revision > since)
			json_object_set_new(nodes, node->name, encode_node(node));
	}
	list_for_each (it, &roster->groups) {
		const roster_group_t *group = list_entry(it, roster_group_t, node);

		if (group->changed_revision > since)
			json_object_set_new(groups, group->service, encode_group(group));
	}
	return json_pack("{s:o, s:o, s:s, s:I}", "nodes", nodes, "groups", groups, "writer",
			 roster->writer != NULL ? roster->writer : "", "era",
			 (json_int_t)roster->era);
}

static char *pack_json(void *parent, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);
	char *copy = pack_compress(parent, text, strlen(text));

	free(text);
	json_decref(root);
	return copy;
}

const char *roster_encode(roster_t *roster)
{
	if (roster->text == NULL)
		roster->text = pack_json(roster, encode_changes(roster, -1));
	return roster->text;
}

const char *roster_encode_changes(roster_t *roster, int64_t since)
{
	json_t *root;
	json_t *removed;

	if (roster->changes_complete_since == 0 || since < roster->changes_complete_since)
		return roster_encode(roster);
	if (roster->changes != NULL && roster->changes_since == since)
		return roster->changes;
	removed = json_array();
	list_for_each (it, &roster->removals) {
		const roster_removal_t *removal = list_entry(it, roster_removal_t, node);

		if (removal->removed_revision > since)
			json_array_append_new(removed, json_string(removal->name));
	}
	root = encode_changes(roster, since);
	json_object_set_new(root, "since", json_integer(since));
	json_object_set_new(root, "removed", removed);
	talloc_free(roster->changes);
	roster->changes = pack_json(roster, root);
	roster->changes_since = since;
	return roster->changes;
}

static int decode_nodes(roster_t *roster, json_t *nodes)
{
	const char *name;
	json_t *value;

	json_object_foreach (nodes, name, value) {
		const char *address;
		const char *zone;
		json_int_t incarnation;
		roster_node_t *node;
		int gone;

		if (json_unpack(value, "{s:s, s:s, s:I, s:b}", "address", &address, "zone", &zone,
				"incarnation", &incarnation, "gone", &gone) != 0)
			return -1;
		node = roster_put_node(roster, name, address, zone, (uint64_t)incarnation);
		node->gone = gone != 0;
		node->capacity = json_integer_value(json_object_get(value, "capacity"));
		if (node->capacity < 0)
			node->capacity = 0;
	}
	return 0;
}

static int decode_groups(roster_t *roster, json_t *groups)
{
	const char *service;
	json_t *value;

	json_object_foreach (groups, service, value) {
		const char *primary;
		int changing;
		json_int_t term;
		json_int_t fencing_token;

		if (json_unpack(value, "{s:s, s:b, s:I, s:I}", "primary", &primary, "changing",
				&changing, "term", &term, "fence", &fencing_token) != 0)
			return -1;
		roster_put_group(roster, service, primary, changing != 0, (uint64_t)term,
				 (uint64_t)fencing_token);
	}
	return 0;
}

/* Fills in a roster from the document; -1 if the document is invalid. */
static int decode_document(roster_t *roster, json_t *root)
{
	const char *writer = json_string_value(json_object_get(root, "writer"));
	json_t *nodes = json_object_get(root, "nodes");
	json_t *groups = json_object_get(root, "groups");

	/* Any other JSON object would otherwise be accepted as a roster without proxies. */
	if (!json_is_object(nodes) || !json_is_object(groups))
		return -1;

	if (writer != NULL)
		roster_set_writer(roster, writer);
	roster->era = json_integer_value(json_object_get(root, "era"));
	return decode_nodes(roster, nodes) < 0 || decode_groups(roster, groups) < 0 ? -1 : 0;
}

static json_t *load_json(const char *text, size_t len)
{
	void *parent = talloc_new(NULL);
	size_t plain_len;
	const char *plain = pack_decompress(parent, text, len, &plain_len);
	json_t *root = plain != NULL ? json_loadb(plain, plain_len, 0, NULL) : NULL;

	talloc_free(parent);
	return root;
}

roster_t *roster_decode(void *parent, const char *text, size_t len, int64_t revision)
{
	json_t *root = load_json(text, len);
	roster_t *roster = roster_create(parent);

	roster->revision = revision;
	if (decode_document(roster, root) < 0) {
		talloc_free(roster);
		roster = NULL;
	}
	json_decref(root);
	return roster;
}

/* --- updates --- */

/*
 * Number of removals that are kept; a proxy whose roster is older than the last one dropped is sent
 * the whole roster. More proxies are rarely removed within the few seconds that a proxy is behind.
 */
#define REMOVALS_MAX 64

static bool same_node(const roster_node_t *a, const roster_node_t *b)
{
	return strcmp(a->address, b->address) == 0 && strcmp(a->zone, b->zone) == 0 &&
	       a->incarnation == b->incarnation && a->gone == b->gone && a->capacity == b->capacity;
}

static bool same_group(const roster_group_t *a, const roster_group_t *b)
{
	return strcmp(a->primary, b->primary) == 0 && a->changing == b->changing &&
	       a->term == b->term && a->fencing_token == b->fencing_token;
}

static void drop_removal(roster_removal_t *removal)
{
	list_del(&removal->node);
	talloc_free(removal);
}

static void add_removal(roster_t *roster, const char *name)
{
	roster_removal_t *removal = talloc_zero(roster, roster_removal_t);

	removal->name = talloc_strdup(removal, name);
	removal->removed_revision = roster->revision;
	list_add_tail(&roster->removals, &removal->node);
	if (list_length(&roster->removals) <= REMOVALS_MAX)
		return;
	removal = list_entry(roster->removals.next, roster_removal_t, node);
	roster->changes_complete_since = removal->removed_revision;
	drop_removal(removal);
}

/* Drops the removal of a proxy that is on the roster again. */
static void cancel_removal(roster_t *roster, const char *name)
{
	list_for_each_safe (it, &roster->removals) {
		roster_removal_t *removal = list_entry(it, roster_removal_t, node);

		if (strcmp(removal->name, name) == 0)
			drop_removal(removal);
	}
}

static void merge_node(roster_diff_t *diff, roster_t *roster, const roster_node_t *newer)
{
	const roster_node_t *previous = roster_find_node(roster, newer->name);
	bool same_location = previous != NULL && previous->gone == newer->gone &&
			     previous->capacity == newer->capacity &&
			     strcmp(previous->zone, newer->zone) == 0;
	bool registered = !newer->gone && (previous == NULL || previous->gone ||
					   previous->incarnation != newer->incarnation);
	roster_node_t *node;

	if (previous != NULL && same_node(previous, newer))
		return;
	node = roster_put_node(roster, newer->name, newer->address, newer->zone,
			       newer->incarnation);
	node->gone = newer->gone;
	node->capacity = newer->capacity;
	node->changed_revision = roster->revision;
	if (!same_location)
		roster->nodes_revision = roster->revision;
	cancel_removal(roster, node->name);
	diff->nodes[diff->node_count++] = (roster_node_change_t){node, registered};
}

static void merge_group(roster_diff_t *diff, roster_t *roster, const roster_group_t *newer)
{
	const roster_group_t *previous = roster_find_group(roster, newer->service);
	roster_group_change_t change = {0};

	if (previous != NULL && same_group(previous, newer))
		return;
	if (previous != NULL) {
		change.was_primary = talloc_strdup(diff, previous->primary);
		change.was_changing = previous->changing;
	}
	roster_put_group(roster, newer->service, newer->primary, newer->changing, newer->term,
			 newer->fencing_token);
	change.group = roster_find_group(roster, newer->service);
	change.group->changed_revision = roster->revision;
	diff->groups[diff->group_count++] = change;
}

static void merge_removed_node(roster_diff_t *diff, roster_t *roster, const char *name)
{
	if (roster_find_node(roster, name) == NULL)
		return;
	diff->removed_nodes[diff->removed_node_count++] = talloc_strdup(diff, name);
	roster->nodes_revision = roster->revision;
	add_removal(roster, name);
	roster_remove_node(roster, name);
}

static void merge_removed_group(roster_diff_t *diff, roster_t *roster, roster_group_t *group)
{
	diff->removed_groups[diff->removed_group_count++] = talloc_strdup(diff, group->service);
	roster->changing_count -= group->changing;
	list_del(&group->node);
	if (roster->by_service != NULL)
		HASH_DEL(roster->by_service, group);
	talloc_free(group);
}

/* Removes the entries that newer lacks. */
static void remove_missing(roster_diff_t *diff, roster_t *roster, const roster_t *newer)
{
	list_for_each_safe (it, &roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		if (roster_find_node(newer, node->name) == NULL)
			merge_removed_node(diff, roster, node->name);
	}
	list_for_each_safe (it, &roster->groups) {
		roster_group_t *group = list_entry(it, roster_group_t, node);

		if (roster_find_group(newer, group->service) == NULL)
			merge_removed_group(diff, roster, group);
	}
}

static roster_diff_t *merge_entries(void *parent, roster_t *roster, const roster_t *newer,
				    size_t removals, size_t removed_groups)
{
	roster_diff_t *diff = talloc_zero(parent, roster_diff_t);

	diff->nodes = talloc_array(diff, roster_node_change_t, newer->node_count);
	diff->groups = talloc_array(diff, roster_group_change_t, HASH_COUNT(newer->by_service));
	diff->removed_nodes = talloc_array(diff, char *, removals);
	diff->removed_groups = talloc_array(diff, char *, removed_groups);
	if (roster->revision == 0)
		roster->changes_complete_since = newer->revision;
	roster->revision = newer->revision;
	roster->era = newer->era;
	if (newer->writer != NULL)
		roster_set_writer(roster, newer->writer);
	TALLOC_FREE(roster->text);
	TALLOC_FREE(roster->changes);
	list_for_each (it, &newer->nodes)
		merge_node(diff, roster, list_entry(it, roster_node_t, node));
	list_for_each (it, &newer->groups)
		merge_group(diff, roster, list_entry(it, roster_group_t, node));
	return diff;
}

roster_diff_t *roster_update(void *parent, roster_t *roster, const roster_t *newer)
{
	roster_diff_t *diff = merge_entries(parent, roster, newer, roster->node_count,
					    HASH_COUNT(roster->by_service));

	remove_missing(diff, roster, newer);
	return diff;
}

/* Applies the entries of changes and the names of proxies that were removed. */
static roster_diff_t *merge_changes(void *parent, roster_t *roster, const roster_t *changes,
				    json_t *removed)
{
	roster_diff_t *diff = merge_entries(parent, roster, changes, json_array_size(removed), 0);
	size_t index;
	json_t *value;

	json_array_foreach (removed, index, value) {
		const char *name = json_string_value(value);

		if (name != NULL)
			merge_removed_node(diff, roster, name);
	}
	return diff;
}

roster_diff_t *roster_apply_text(void *parent, roster_t *roster, const char *text, size_t len,
				 int64_t revision)
{
	json_t *root = load_json(text, len);
	json_t *since = json_object_get(root, "since");
	roster_t *newer = roster_create(NULL);
	roster_diff_t *diff = NULL;

	newer->revision = revision;
	if (decode_document(newer, root) < 0)
		LOG_EVENT(LOG_ERR, "roster received from a peer is invalid",
			  LOG_INT("revision", revision));
	else if (since == NULL)
		diff = roster_update(parent, roster, newer);
	else if (json_integer_value(since) <= roster->revision)
		diff = merge_changes(parent, roster, newer, json_object_get(root, "removed"));
	talloc_free(newer);
	json_decref(root);
	return diff;
}
