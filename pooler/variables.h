/*
 * The named values of a session. A caller has the ones that were acknowledged
 * to it, a connection the ones that its member holds; before a statement runs
 * the second are made equal to the first.
 */
#pragma once

#include "list.h"
#include "statement.h"

typedef struct variable {
	list_t node;
	char *name;
	char *value;
} variable_t;

typedef struct variables {
	list_t list;
	size_t count;
	/* Order-free hash of all names and values: equal sets are found without a walk. */
	uint64_t fingerprint;
} variables_t;

void variables_init(variables_t *set);

/* Set name to value; memory hangs on parent. */
void variables_set(variables_t *set, void *parent, slice_t name, slice_t value);
void variables_clear(variables_t *set);
const variable_t *variables_find(const variables_t *set, slice_t name);

static inline bool variables_equal(const variables_t *a, const variables_t *b)
{
	return a->count == b->count && a->fingerprint == b->fingerprint;
}

/* True if every name in have is in want too, so that setting the rest makes them equal. */
bool variables_is_subset(const variables_t *have, const variables_t *want);
