/*
 * Counters and gauges. Each one is a static variable that is added to a global list before main().
 * counters_write() writes all of them in the Prometheus text format.
 */
#pragma once

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "list.h"

typedef enum { COUNTER_SUM, COUNTER_GAUGE } counter_type_t;

typedef struct counter {
	const char *name; /* without the prefix of the project's metrics */
	const char *help;
	counter_type_t type;
	int64_t value;
	list_t node;
} counter_t;

/* Defines a static counter and registers it before main(). */
#define COUNTER_DEFINE(var, counter_name, counter_type, counter_help)                              \
	static counter_t var = {                                                                   \
		.name = (counter_name), .help = (counter_help), .type = (counter_type)};           \
	__attribute__((constructor)) static void var##_register(void)                              \
	{                                                                                          \
		counter_register(&var);                                                            \
	}                                                                                          \
	_Static_assert(1, "requires a semicolon after the macro")

void counter_register(counter_t *counter);

static inline void counter_add(counter_t *counter, int64_t delta)
{
	counter->value += delta;
}

static inline void counter_set(counter_t *counter, int64_t value)
{
	counter->value = value;
}

/* Counters of one name with two labels: one counter for each pair of label values. */
typedef struct counter_grid {
	const char *name;
	const char *help;
	const char *row_label;	 /* name of the first label */
	const char *const *rows; /* its values */
	size_t row_count;
	const char *column_label; /* name of the second label */
	const char *const *columns;
	size_t column_count;
	int64_t *values; /* row_count * column_count, row by row */
	list_t node;
} counter_grid_t;

/* Defines a static grid and registers it before main(). The values are arrays of strings. */
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
	_Static_assert(1, "requires a semicolon after the macro")

#define COUNTER_LEN(array) (sizeof(array) / sizeof((array)[0]))

void counter_grid_register(counter_grid_t *grid);

static inline void counter_grid_increment(counter_grid_t *grid, size_t row, size_t column)
{
	grid->values[row * grid->column_count + column]++;
}

/* The sum of all counters of that name over all label values; 0 if there is none. */
int64_t counters_total(const char *name);

void counters_write(FILE *out);
