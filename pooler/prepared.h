/*
 * The prepared statements of a session, by the caller's names for them. Names of different callers
 * may collide on a shared connection, so members get an alias instead, which is a hash of the kind
 * and the shape of the statement.
 */
#pragma once

#include "list.h"
#include "statement.h"

typedef struct prepared {
	list_t node;
	char *name;  /* chosen by the caller */
	char *shape; /* the prepared statement's text */
	char *alias; /* name under which members prepare the statement */
	bool writes;
} prepared_t;

prepared_t *prepared_find(const list_t *names, slice_t name);

/* Adds a name, replacing an earlier one; the memory is allocated under the talloc parent. */
void prepared_put(list_t *names, void *parent, slice_t name, slice_t shape, bool writes);

void prepared_remove(prepared_t *prepared);
