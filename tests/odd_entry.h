/* Odd entries of members, as another writer may leave them in the store. */
#pragma once

#include <stddef.h>

/* Depth of an entry that is nested for no reason. */
#define ODD_DEPTH 10000

/* Fields of an entry, each with a valid value; all but the last one are required. */
extern const char *const entry_fields[][2];
extern const size_t entry_field_count;

/* Values that no field has, as JSON text; some of them are none. */
extern const char *const odd_values[];
extern const size_t odd_value_count;

/*
 * Returns an entry in which the field has that value; value NULL: the field is missing. The caller
 * frees it.
 */
char *entry_with(const char *field, const char *value);

/* Returns the unit so many times in a row, which the caller frees. */
char *repeat_text(const char *unit, size_t count);
