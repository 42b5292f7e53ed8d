/*
 * Histograms of durations. Each one is a static variable that is added to a global list before
 * main(). histograms_write() writes all of them in the Prometheus text format, in seconds.
 */
#pragma once

#include <stdint.h>
#include <stdio.h>

#include "clock.h"
#include "list.h"

/*
 * Bucket i counts durations of up to 2^i ms, so the last but one goes up to 32.8 s. The last bucket
 * counts all longer ones.
 */
#define HISTOGRAM_BUCKETS 17

typedef struct histogram {
	const char *name;   /* without the prefix of the project's metrics */
	const char *labels; /* key="value",...; "": none */
	const char *help;
	uint64_t buckets[HISTOGRAM_BUCKETS]; /* not cumulative */
	uint64_t count;
	usec_t sum;
	list_t node;
} histogram_t;

/* Defines a static histogram and registers it before main(). */
#define HISTOGRAM_DEFINE(var, histogram_name, histogram_labels, histogram_help)                    \
	static histogram_t var = {                                                                 \
		.name = (histogram_name), .labels = (histogram_labels), .help = (histogram_help)}; \
	__attribute__((constructor)) static void var##_register(void)                              \
	{                                                                                          \
		histogram_register(&var);                                                          \
	}                                                                                          \
	_Static_assert(1, "requires a semicolon after the macro")

/* Histograms of one name must be registered in succession: their HELP and TYPE are written once. */
void histogram_register(histogram_t *histogram);

void histogram_add(histogram_t *histogram, usec_t duration);

void histograms_write(FILE *out);
