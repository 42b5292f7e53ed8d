/*
 * Counters. Each is a static variable that names itself to one list at start;
 * they are read out in the Prometheus text format.
 */
#pragma once

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

/* The counter of that name, or NULL. */
const counter_t *counter_find(const char *name);

/* Write all counters to out. */
void counters_write(FILE *out);
