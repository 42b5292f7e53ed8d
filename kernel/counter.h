/*
 * Counters. Each is a static variable that names itself to one list at start;
 * they are read out in the Prometheus text format.
 */
#pragma once

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "list.h"

typedef enum { COUNTER_SUM, COUNTER_GAUGE } counter_type_t;

typedef struct counter {
	const char *name; /* without the project's prefix */
	const char *help;
	counter_type_t type;
	int64_t value;
	list_t node;
} counter_t;

/* Define a counter of this file and register it before main(). */
#define COUNTER_DEFINE(var, counter_name, counter_type, counter_help)                              \
	static counter_t var = {                                                                   \
		.name = (counter_name), .help = (counter_help), .type = (counter_type)};           \
	__attribute__((constructor)) static void var##_register(void)                              \
	{                                                                                          \
		counter_register(&var);                                                            \
	}                                                                                          \
	_Static_assert(1, "swallow the semicolon")

void counter_register(counter_t *counter);

static inline void counter_add(counter_t *counter, int64_t by)
{
	counter->value += by;
}

static inline void counter_set(counter_t *counter, int64_t value)
{
	counter->value = value;
}

/* Counters of one name, told apart by two labels. */
typedef struct counter_grid {
	const char *name;
	const char *help;
	const char *row_label;
	const char *const *rows; /* its values */
	size_t row_count;
	const char *column_label;
	const char *const *columns;
	size_t column_count;
	int64_t *values; /* row by row */
	list_t node;
} counter_grid_t;

/* Define a grid of this file; its rows and columns are arrays of texts. */
#define COUNTER_GRID_DEFINE(var, grid_name, row_name, row_values, column_name, column_values,      \
			    grid_help)                                                             \
	static int64_t var##_values[COUNTER_LEN(row_values) * COUNTER_LEN(column_values)];         \
	static counter_grid_t var = {.name = (grid_name),                                          \
				     .help = (grid_help),                                          \
				     .row_label = (row_name),                                      \
				     .rows = (row_values),                                         \
				     .row_count = COUNTER_LEN(row_values),                         \
				     .column_label = (column_name),                                \
				     .columns = (column_values),                                   \
				     .column_count = COUNTER_LEN(column_values),                   \
				     .values = var##_values};                                      \
	__attribute__((constructor)) static void var##_register(void)                              \
	{                                                                                          \
		counter_grid_register(&var);                                                       \
	}                                                                                          \
	_Static_assert(1, "swallow the semicolon")

#define COUNTER_LEN(array) (sizeof(array) / sizeof((array)[0]))

void counter_grid_register(counter_grid_t *grid);

static inline void counter_grid_increment(counter_grid_t *grid, size_t row, size_t column)
{
	grid->values[row * grid->column_count + column]++;
}

/* The sum of all counters of that name, whatever their labels; 0 if there is none. */
int64_t counters_total(const char *name);

/* Write all counters to out. */
void counters_write(FILE *out);
