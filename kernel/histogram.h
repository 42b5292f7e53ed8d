/*
 * Histograms of durations. Each is a static variable that names itself to one
 * list at start; they are read out beside the counters in the Prometheus text
 * format, in seconds.
 */
#pragma once

#include <stdint.h>
#include <stdio.h>

#include "clock.h"
#include "list.h"

/* Bucket i holds durations up to 2^i ms; the last but one 32.8 s, the last one everything. */
#define HISTOGRAM_BUCKETS 17

typedef struct histogram {
	const char *name;   /* without the project's prefix */
	const char *labels; /* key="value",...; "" for none */
	const char *help;
	uint64_t buckets[HISTOGRAM_BUCKETS];
	uint64_t count;
	usec_t sum;
	list_t node;
} histogram_t;

/* Define a histogram of this file and register it before main(). */
#define HISTOGRAM_DEFINE(var, histogram_name, histogram_labels, histogram_help)                    \
	static histogram_t var = {                                                                 \
		.name = (histogram_name), .labels = (histogram_labels), .help = (histogram_help)}; \
	__attribute__((constructor)) static void var##_register(void)                              \
	{                                                                                          \
		histogram_register(&var);                                                          \
	}                                                                                          \
	_Static_assert(1, "swallow the semicolon")

/* Histograms of one name must be registered one after the other. */
void histogram_register(histogram_t *histogram);

void histogram_add(histogram_t *histogram, usec_t duration);

/* Write all histograms to out. */
void histograms_write(FILE *out);
