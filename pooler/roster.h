/*
 * The fleet's roster: one document in the store that lists the proxies and the primary of each
 * service. It changes only by compare-and-swap, so its revision orders all its states.
 *
 * Before a primary is replaced, the change is written to the roster (changing). A proxy that has
 * received this roster stops using the old primary; a proxy that has not may use it until its
 * permission ends; see permit.h.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "clock.h"
#include "list.h"

typedef struct roster_node {
	list_t node;
	UT_hash_handle hh; /* in roster_t.by_name; the sender of every message is looked up */
	char *name;
	uint64_t hash; /* hash of name */
	char *address; /* for messages from other proxies */
	char *zone;
	uint64_t incarnation; /* of the proxy's process */
	bool gone;	  /* declared gone: the proxy is silent and may use no primary; its entry is
			     removed later */
	int64_t capacity; /* processor share of its VM in percent of a core; 0: not reported */
	int64_t changed_revision; /* revision of a roster that is no older than the entry's last
				     change */
} roster_node_t;

typedef struct roster_group {
	list_t node;
	UT_hash_handle hh; /* in roster_t.by_service */
	char *service;
	char *primary; /* id of the service's primary */
	bool changing; /* the primary is about to be replaced */
	uint64_t term; /* term in which it is primary; 0: the service's first primary, whose term is
			  unknown */
	uint64_t fencing_token; /* fencing token of the leader that wrote the entry */
	int64_t changed_revision;
} roster_group_t;

/* A proxy that was removed from the roster. */
typedef struct roster_removal {
	list_t node;
	char *name;
	int64_t removed_revision;
} roster_removal_t;

typedef struct roster {
	int64_t revision; /* revision in the store; 0: not written yet */
	list_t nodes;
	roster_node_t *by_name;
	list_t groups;
	roster_group_t *by_service;
	int64_t era;  /* era of the store in which the roster was written; see kv.h */
	char *writer; /* proxy that wrote the roster; NULL: unknown */
	char *text;   /* cached encoding, by roster_encode(); NULL: none */
	size_t node_count;
	size_t changing_count; /* number of groups with a change in progress */
	/* History of the roster in this process; not part of the document. */
	int64_t changes_complete_since; /* all changes since that revision are recorded in
					   changed_revision and removals; 0: none are */
	int64_t nodes_revision;		/* revision since which the live proxies and their zones are
					   unchanged */
	list_t removals;		/* roster_removal_t */
	char *changes; /* cached text of the last roster_encode_changes(); NULL: none */
	int64_t changes_since;
} roster_t;

roster_t *roster_create(void *parent);
roster_t *roster_copy(void *parent, const roster_t *roster);

roster_node_t *roster_find_node(const roster_t *roster, const char *name);
roster_group_t *roster_find_group(const roster_t *roster, const char *service);

/* Add or replace an entry. */
roster_node_t *roster_put_node(roster_t *roster, const char *name, const char *address,
			       const char *zone, uint64_t incarnation);
void roster_remove_node(roster_t *roster, const char *name);
void roster_put_group(roster_t *roster, const char *service, const char *primary, bool changing,
		      uint64_t term, uint64_t fencing_token);

void roster_set_writer(roster_t *roster, const char *name);

/*
 * Returns the roster as JSON text, compressed if it is large (see pack.h). The text is cached,
 * since many proxies receive the same one; the roster must not be changed afterwards.
 */
const char *roster_encode(roster_t *roster);

/* Returns NULL if text is not a roster. */
roster_t *roster_decode(void *parent, const char *text, size_t len, int64_t revision);

/*
 * Returns the changes since that revision as JSON text for roster_apply_text(), or the whole roster
 * if this roster does not record all of them. The text is cached, since many proxies receive the
 * same one. A roster of 295 proxies has 32 KB, a change of primary 150 bytes.
 */
const char *roster_encode_changes(roster_t *roster, int64_t since);

typedef struct roster_node_change {
	const roster_node_t *node;
	bool registered; /* a live proxy whose entry is new or of another process than before */
} roster_node_change_t;

typedef struct roster_group_change {
	roster_group_t *group;
	char *was_primary; /* NULL: the group is new */
	bool was_changing;
} roster_group_change_t;

/* What an update has changed; the arrays are talloc arrays. */
typedef struct roster_diff {
	roster_node_change_t *nodes;
	size_t node_count;
	char **removed_nodes; /* names */
	size_t removed_node_count;
	roster_group_change_t *groups;
	size_t group_count;
	char **removed_groups; /* services */
	size_t removed_group_count;
} roster_diff_t;

/*
 * Turns roster into newer, with its revision, and leaves entries that stay the same untouched.
 * Returns the difference, as a child of parent.
 */
roster_diff_t *roster_update(void *parent, roster_t *roster, const roster_t *newer);

/*
 * The same from the text of a roster or of changes. Returns NULL and leaves roster as it is if text
 * is invalid or holds changes since a later revision than roster's.
 */
roster_diff_t *roster_apply_text(void *parent, roster_t *roster, const char *text, size_t len,
				 int64_t revision);
