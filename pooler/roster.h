/*
 * The fleet's roster: one document in the platform's store that says which
 * proxies there are and which member is the primary of each service. It changes
 * only by compare-and-swap, so its revision orders all its states.
 *
 * A change of primary is written down (changing) before it is made. Whoever
 * read the roster after that knows it, whoever read it before may still use the
 * old primary until its permission ends; see permit.h.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "clock.h"
#include "list.h"

typedef struct roster_node {
	list_t node;
	UT_hash_handle hh; /* in roster_t.by_name: every message looks its sender up */
	char *name;
	uint64_t hash; /* of the name */
	char *address; /* for messages between proxies */
	char *zone;
	uint64_t incarnation;	  /* of its process */
	bool gone;		  /* not heard of: it may use no primary, and is removed later */
	int64_t capacity;	  /* its processor share in percent of a core; 0: not told */
	int64_t changed_revision; /* revision of a roster no older than its last change */
} roster_node_t;

typedef struct roster_group {
	list_t node;
	UT_hash_handle hh; /* in roster_t.by_service */
	char *service;
	char *primary;		/* id of the member that may be written to */
	bool changing;		/* another member is about to be promoted */
	uint64_t term;		/* that it leads; 0: the first primary, whose term was not asked */
	uint64_t fencing_token; /* of the holder that wrote this */
	int64_t changed_revision;
} roster_group_t;

/* A proxy that was taken off. */
typedef struct roster_removal {
	list_t node;
	char *name;
	int64_t removed_revision;
} roster_removal_t;

typedef struct roster {
	int64_t revision; /* in the store; 0: not there yet */
	list_t nodes;
	roster_node_t *by_name;
	list_t groups;
	roster_group_t *by_service;
	int64_t era;  /* of the store, in which it was written */
	char *writer; /* the proxy that wrote this; NULL: unknown */
	char *text;   /* encoded; NULL until it is asked for */
	size_t node_count;
	size_t changing_count; /* groups with a change under way */
	/* What this process knows of how it came about; not part of the document. */
	int64_t changes_complete_since; /* every change since that revision is marked; 0: none is */
	int64_t nodes_revision; /* the proxies that live, and their zones, are these since */
	list_t removals;	/* roster_removal_t */
	char *changes;		/* encoded as roster_encode_changes() last was */
	int64_t changes_since;
} roster_t;

roster_t *roster_create(void *parent);
roster_t *roster_copy(void *parent, const roster_t *roster);

roster_node_t *roster_find_node(const roster_t *roster, const char *name);
roster_group_t *roster_find_group(const roster_t *roster, const char *service);

/* Add or replace. */
roster_node_t *roster_put_node(roster_t *roster, const char *name, const char *address,
			       const char *zone, uint64_t incarnation);
void roster_remove_node(roster_t *roster, const char *name);
void roster_put_group(roster_t *roster, const char *service, const char *primary, bool changing,
		      uint64_t term, uint64_t fence);

void roster_set_writer(roster_t *roster, const char *name);

/*
 * As JSON text, packed if it is large (see pack.h). It is kept, since a whole fleet is told the
 * same; no change may follow.
 */
const char *roster_encode(roster_t *roster);

/* NULL if text is no roster. */
roster_t *roster_decode(void *parent, const char *text, size_t len, int64_t revision);

/*
 * What has changed since that revision, as JSON text that roster_apply_text() takes; all of it if
 * that is not known. It is kept, since a whole fleet asks for the same. A roster of 295 proxies has
 * 32 KB, a change of primary 150 bytes.
 */
const char *roster_encode_changes(roster_t *roster, int64_t since);

typedef struct roster_node_change {
	const roster_node_t *node;
	bool registered; /* it lives, and is of another process than the entry before */
} roster_node_change_t;

typedef struct roster_group_change {
	roster_group_t *group;
	char *was_primary; /* NULL: the group is new */
	bool was_changing;
} roster_group_change_t;

/* What an update has changed; talloc arrays. */
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
 * Make roster what newer is, with newer's revision. Entries that stay the same are not touched.
 * Returns the difference, as a child of parent.
 */
roster_diff_t *roster_update(void *parent, roster_t *roster, const roster_t *newer);

/*
 * The same from the text of a whole roster, or of changes. NULL, and roster stays as it was, if
 * text is none or starts later than roster.
 */
roster_diff_t *roster_apply_text(void *parent, roster_t *roster, const char *text, size_t len,
				 int64_t revision);
