/*
 * The operators' table: rows (one per service and class of requests) and database
 * groups with their members, under one version number that only grows. Each entry
 * keeps the version of its last change, deletions included, so that all changes
 * since version V bring a copy of version V or later up to date.
 */
#pragma once

#include <uthash.h>

#include "clock.h"
#include "err.h"
#include "message.h"

#define GROUP_MAX_MEMBERS 7

typedef enum { ROW_READ, ROW_WRITE } row_kind_t;

typedef struct row {
	char *name; /* "SERVICE/CLASS" */
	char *group;
	row_kind_t kind;
	usec_t max_age;	       /* of the data that reads return, 0: linearizable */
	int64_t connections;   /* limit on each member, for the whole fleet */
	int64_t weight;	       /* a higher one is queued first */
	int64_t replica_share; /* percent of eligible reads sent to replicas */
	usec_t timeout;	       /* upper limit of a request's deadline */
	int64_t queue;	       /* limit of queued requests */
} row_t;

typedef struct member_spec {
	char *name;
	char *zone;
	char *address; /* host:port */
	int64_t slots; /* statements to run concurrently */
	int64_t connections;
} member_spec_t;

typedef struct group_spec {
	char *name;
	member_spec_t members[GROUP_MAX_MEMBERS];
	size_t member_count;
} group_spec_t;

typedef struct table_item {
	table_entry_t entry;
	row_t *row;	     /* for "row/..." entries that are not deleted */
	group_spec_t *group; /* for "group/..." entries that are not deleted */
	UT_hash_handle hh;
} table_item_t;

typedef struct table {
	uint64_t version; /* 0: none yet */
	table_item_t *items;
} table_t;

table_t *table_create(void *parent);

/*
 * Merge entries that bring the table up to version. An entry that is not newer than
 * the one held is ignored, so duplicate and late messages do no harm. Returns the
 * number of changed entries, or a negative errno if an entry is invalid, in which
 * case nothing is merged.
 */
int table_merge(table_t *table, const table_entry_t *entries, size_t count, uint64_t version,
		err_t *err);

/* Lookups; NULL if there is none. The name of a row is "SERVICE/CLASS". */
const row_t *table_find_row_named(const table_t *table, const char *name);
const row_t *table_find_row(const table_t *table, const char *service, const char *class_name);
const group_spec_t *table_find_group(const table_t *table, const char *name);
const table_entry_t *table_find_entry(const table_t *table, const char *key);

/* The entries changed after version since; the table keeps ownership of their strings. */
table_entry_t *table_changes_since(void *parent, const table_t *table, uint64_t since,
				   size_t *count);

/*
 * Check that the table would be valid with these entries merged: every row and
 * group, and that the limits of a group's rows fit its members' connections. Returns
 * 0, or -EINVAL with the key, field, value and what was expected in *err.
 */
int table_check(const table_t *table, const table_entry_t *entries, size_t count, err_t *err);
