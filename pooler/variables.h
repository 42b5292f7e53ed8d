/*
 * The named values that a session has set. A caller_t holds the values that were acknowledged to
 * the caller, a conn_t those that are set at its member. Before a statement runs, the values of the
 * connection are made equal to those of the caller.
 */
#pragma once

#include "list.h"
#include "statement.h"

/* Maximum number of values that a session may set; applications set far fewer. */
#define VARIABLES_MAX 48

typedef struct variable {
	list_t node;
	char *name;
	char *value;
} variable_t;

typedef struct variables {
	list_t list;
	size_t count;
	/* Hash of all names and values in any order, to compare sets without walking them. */
	uint64_t fingerprint;
} variables_t;

void variables_init(variables_t *set);

/* Sets name to value; the memory is allocated under the talloc parent. */
void variables_set(variables_t *set, void *parent, slice_t name, slice_t value);
void variables_clear(variables_t *set);
const variable_t *variables_find(const variables_t *set, slice_t name);

static inline bool variables_equal(const variables_t *a, const variables_t *b)
{
	return a->count == b->count && a->fingerprint == b->fingerprint;
}

/* True if every name in have is in want, so that setting values suffices to make them equal. */
bool variables_is_subset(const variables_t *have, const variables_t *want);
