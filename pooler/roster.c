#include "roster.h"

#include <string.h>

#include <jansson.h>
#include <talloc.h>

static int roster_destructor(roster_t *roster)
{
	HASH_CLEAR(hh, roster->by_name);
	return 0;
}

roster_t *roster_create(void *parent)
{
	roster_t *roster = talloc_zero(parent, roster_t);

	list_init(&roster->nodes);
	list_init(&roster->groups);
	talloc_set_destructor(roster, roster_destructor);
	return roster;
}

roster_node_t *roster_node(const roster_t *roster, const char *name)
{
	roster_node_t *node;

	HASH_FIND_STR(roster->by_name, name, node);
	return node;
}

roster_group_t *roster_group(const roster_t *roster, const char *service)
{
	list_for_each (it, &roster->groups) {
		roster_group_t *group = list_entry(it, roster_group_t, node);

		if (strcmp(group->service, service) == 0)
			return group;
	}
	return NULL;
}

void roster_remove_node(roster_t *roster, const char *name)
{
	roster_node_t *node = roster_node(roster, name);

	if (node == NULL)
		return;
	list_del(&node->node);
	HASH_DEL(roster->by_name, node);
	talloc_free(node);
}

roster_node_t *roster_put_node(roster_t *roster, const char *name, const char *address,
			       const char *zone, uint64_t incarnation)
{
	roster_node_t *node = talloc_zero(roster, roster_node_t);

	roster_remove_node(roster, name);
	node->name = talloc_strdup(node, name);
	node->address = talloc_strdup(node, address);
	node->zone = talloc_strdup(node, zone);
	node->incarnation = incarnation;
	list_add_tail(&roster->nodes, &node->node);
	HASH_ADD_KEYPTR(hh, roster->by_name, node->name, strlen(node->name), node);
	return node;
}

void roster_put_group(roster_t *roster, const char *service, const char *primary, bool changing,
		      uint64_t term, uint64_t fence)
{
	roster_group_t *group = roster_group(roster, service);
	char *copy;

	if (group == NULL) {
		group = talloc_zero(roster, roster_group_t);
		group->service = talloc_strdup(group, service);
		list_add_tail(&roster->groups, &group->node);
	}
	/* primary may be the old one itself. */
	copy = talloc_strdup(group, primary);
	talloc_free(group->primary);
	group->primary = copy;
	group->changing = changing;
	group->term = term;
	group->fence = fence;
}

roster_t *roster_copy(void *parent, const roster_t *roster)
{
	roster_t *copy = roster_create(parent);

	copy->revision = roster->revision;
	list_for_each (it, &roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		roster_put_node(copy, node->name, node->address, node->zone, node->incarnation)
			->gone = node->gone;
	}
	list_for_each (it, &roster->groups) {
		const roster_group_t *group = list_entry(it, roster_group_t, node);

		roster_put_group(copy, group->service, group->primary, group->changing, group->term,
				 group->fence);
	}
	return copy;
}

void roster_set_writer(roster_t *roster, const char *name)
{
	talloc_free(roster->writer);
	roster->writer = talloc_strdup(roster, name);
}

const char *roster_text(roster_t *roster)
{
	json_t *nodes;
	json_t *groups;
	json_t *root;
	char *text;

	if (roster->text != NULL)
		return roster->text;
	nodes = json_object();
	groups = json_object();
	list_for_each (it, &roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		json_object_set_new(nodes, node->name,
				    json_pack("{s:s, s:s, s:I, s:b}", "address", node->address,
					      "zone", node->zone, "incarnation",
					      (json_int_t)node->incarnation, "gone", node->gone));
	}
	list_for_each (it, &roster->groups) {
		const roster_group_t *group = list_entry(it, roster_group_t, node);

		json_object_set_new(groups, group->service,
				    json_pack("{s:s, s:b, s:I, s:I}", "primary", group->primary,
					      "changing", group->changing, "term",
					      (json_int_t)group->term, "fence",
					      (json_int_t)group->fence));
	}
	root = json_pack("{s:o, s:o, s:s}", "nodes", nodes, "groups", groups, "writer",
			 roster->writer != NULL ? roster->writer : "");
	text = json_dumps(root, JSON_COMPACT);
	roster->text = talloc_strdup(roster, text);
	free(text);
	json_decref(root);
	return roster->text;
}

static int decode_nodes(roster_t *roster, json_t *nodes)
{
	const char *name;
	json_t *value;

	json_object_foreach (nodes, name, value) {
		const char *address;
		const char *zone;
		json_int_t incarnation;
		int gone;

		if (json_unpack(value, "{s:s, s:s, s:I, s:b}", "address", &address, "zone", &zone,
				"incarnation", &incarnation, "gone", &gone) != 0)
			return -1;
		roster_put_node(roster, name, address, zone, (uint64_t)incarnation)->gone =
			gone != 0;
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
		json_int_t fence;

		if (json_unpack(value, "{s:s, s:b, s:I, s:I}", "primary", &primary, "changing",
				&changing, "term", &term, "fence", &fence) != 0)
			return -1;
		roster_put_group(roster, service, primary, changing != 0, (uint64_t)term,
				 (uint64_t)fence);
	}
	return 0;
}

roster_t *roster_decode(void *parent, const char *text, size_t len, int64_t revision)
{
	json_t *root = json_loadb(text, len, 0, NULL);
	roster_t *roster = roster_create(parent);

	const char *writer = json_string_value(json_object_get(root, "writer"));

	roster->revision = revision;
	if (writer != NULL)
		roster_set_writer(roster, writer);
	if (root == NULL || decode_nodes(roster, json_object_get(root, "nodes")) < 0 ||
	    decode_groups(roster, json_object_get(root, "groups")) < 0) {
		talloc_free(roster);
		roster = NULL;
	}
	json_decref(root);
	return roster;
}
