/*
 * The operators' table as a proxy holds it: rows (one per service and class of
 * request) and groups (their members), under one version number that only
 * grows. Each entry keeps the version of its last change, deletions included,
 * so that "all that changed since version V" makes any older copy equal.
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
	usec_t max_age;	       /* of data read, 0 for strict */
	int64_t connections;   /* at most so many on each member, over the whole fleet */
	int64_t weight;	       /* higher goes first */
	int64_t replica_share; /* percent of eligible reads sent to replicas */
	usec_t timeout;	       /* longest deadline a request may ask for */
	int64_t queue;	       /* requests waiting at most */
} row_t;

typedef struct member_spec {
	char *name;
	char *zone;
	char *address; /* host:port */
	int64_t slots; /* statements that it runs at once */
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
 * Take in entries that bring the table up to version. An entry older than the
 * one held is passed over, so repeats and late messages do no harm. Returns the
 * number of entries that changed, or a negative errno for an unreadable entry,
 * in which case nothing is taken.
 */
int table_merge(table_t *table, const table_entry_t *entries, size_t count, uint64_t version,
		err_t *err);

/* The row of that "SERVICE/CLASS". */
const row_t *table_find_row_named(const table_t *table, const char *name);
const row_t *table_find_row(const table_t *table, const char *service, const char *class_name);
const group_spec_t *table_find_group(const table_t *table, const char *name);
const table_entry_t *table_find_entry(const table_t *table, const char *key);

/* Entries changed after since; their strings stay the table's. */
table_entry_t *table_changes(void *parent, const table_t *table, uint64_t since, size_t *count);

/*
 * Would the table still be sound with these entries in it? Checks every row and
 * group, and that the rows of a group fit its members' connections. Returns 0
 * or -EINVAL with key, field, value and what was expected.
 */
int table_check(const table_t *table, const table_entry_t *entries, size_t count, err_t *err);
