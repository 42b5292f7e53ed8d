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
	char *address; /* for messages between proxies */
	char *zone;
	uint64_t incarnation; /* of its process */
	bool gone;	      /* not heard of: it may use no primary, and is removed later */
} roster_node_t;

typedef struct roster_group {
	list_t node;
	char *service;
	char *primary;	/* id of the member that may be written to */
	bool changing;	/* another member is about to be promoted */
	uint64_t term;	/* that it leads; 0: the first primary, whose term was not asked */
	uint64_t fence; /* of the holder that wrote this */
} roster_group_t;

typedef struct roster {
	int64_t revision; /* in the store; 0: not there yet */
	list_t nodes;
	roster_node_t *by_name;
	list_t groups;
	char *writer; /* the proxy that wrote this; NULL: unknown */
	char *text;   /* encoded; NULL until it is asked for */
} roster_t;

roster_t *roster_create(void *parent);
roster_t *roster_copy(void *parent, const roster_t *roster);

roster_node_t *roster_node(const roster_t *roster, const char *name);
roster_group_t *roster_group(const roster_t *roster, const char *service);

/* Add or replace. */
roster_node_t *roster_put_node(roster_t *roster, const char *name, const char *address,
			       const char *zone, uint64_t incarnation);
void roster_remove_node(roster_t *roster, const char *name);
void roster_put_group(roster_t *roster, const char *service, const char *primary, bool changing,
		      uint64_t term, uint64_t fence);

void roster_set_writer(roster_t *roster, const char *name);

/* As JSON text. It is kept, since a whole fleet is told the same; no change may follow. */
const char *roster_text(roster_t *roster);

/* NULL if text is no roster. */
roster_t *roster_decode(void *parent, const char *text, size_t len, int64_t revision);
