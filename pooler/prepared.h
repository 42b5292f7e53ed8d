/*
 * The prepared statements of a session, by the names that its caller gave them. Callers' names
 * collide, so members see a name that follows from kind and shape alone.
 */
#pragma once

#include "list.h"
#include "statement.h"

typedef struct prepared {
	list_t node;
	char *name;  /* the caller's */
	char *shape; /* what it stands for */
	char *alias; /* the name that members know */
	bool writes;
} prepared_t;

prepared_t *prepared_find(const list_t *names, slice_t name);

/* Add a name, in place of one that is the same; memory hangs on parent. */
void prepared_put(list_t *names, void *parent, slice_t name, slice_t shape, bool writes);

void prepared_remove(prepared_t *prepared);
