#include "histogram.h"

#include <inttypes.h>
#include <string.h>

static list_t histograms = {.prev = &histograms, .next = &histograms};

void histogram_register(histogram_t *histogram)
{
	list_add_tail(&histograms, &histogram->node);
}

void histogram_add(histogram_t *histogram, usec_t duration)
{
	size_t i = 0;

	while (i < HISTOGRAM_BUCKETS - 1 && duration > (USEC_PER_MSEC << i))
		i++;
	histogram->buckets[i]++;
	histogram->count++;
	histogram->sum += duration;
}

static void write_buckets(const histogram_t *histogram, FILE *out)
{
	const char *comma = histogram->labels[0] != '\0' ? "," : "";
	uint64_t total = 0;

	for (size_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
		total += histogram->buckets[i];
		fprintf(out, "cyclamenspan_%s_bucket{%s%sle=\"", histogram->name, histogram->labels,
			comma);
		if (i < HISTOGRAM_BUCKETS - 1)
			fprintf(out, "%g", (double)(USEC_PER_MSEC << i) / (double)USEC_PER_SEC);
		else
			fprintf(out, "+Inf");
		fprintf(out, "\"} %" PRIu64 "\n", total);
	}
}

void histograms_write(FILE *out)
{
	const char *last = "";

	list_for_each (it, &histograms) {
		const histogram_t *histogram = list_entry(it, histogram_t, node);

		if (strcmp(histogram->name, last) != 0) {
			fprintf(out, "# HELP cyclamenspan_%s %s\n", histogram->name,
				histogram->help);
			fprintf(out, "# TYPE cyclamenspan_%s histogram\n", histogram->name);
		}
		last = histogram->name;
		write_buckets(histogram, out);
		fprintf(out, "cyclamenspan_%s_sum{%s} %g\n", histogram->name, histogram->labels,
			(double)histogram->sum / (double)USEC_PER_SEC);
		fprintf(out, "cyclamenspan_%s_count{%s} %" PRIu64 "\n", histogram->name,
			histogram->labels, histogram->count);
	}
}
