#include "finding.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Findings printed for each promise; one fault breaks the promise for many requests. */
#define PRINTED_MAX 5

static unsigned seed_of_run;
static size_t counts[PROMISE_COUNT];

static const char *const names[PROMISE_COUNT] = {
	[PROMISE_LOST_WRITE] = "lost-write",
	[PROMISE_TWICE] = "twice",
	[PROMISE_REFUSED] = "refused",
	[PROMISE_STALE] = "stale",
	[PROMISE_MIXED] = "mixed",
	[PROMISE_PINNED] = "pinned",
	[PROMISE_UNASKED] = "unasked",
	[PROMISE_SUPERSEDED] = "superseded",
	[PROMISE_ONE_PROMOTE] = "one-promote",
	[PROMISE_SHUTDOWN] = "shutdown",
	[PROMISE_RECOVERY] = "recovery",
	[PROMISE_BOUNDS] = "bounds",
	[PROMISE_PROCESS] = "process",
};

void finding_start(unsigned seed)
{
	seed_of_run = seed;
	memset(counts, 0, sizeof(counts));
}

void finding_add(promise_t promise, const char *id, const char *fmt, ...)
{
	va_list args;

	if (counts[promise]++ >= PRINTED_MAX)
		return;
	printf("seed %u: broken promise %s, %s: ", seed_of_run, names[promise], id);
	va_start(args, fmt);
	vprintf(fmt, args);
	va_end(args);
	printf("\n");
	fflush(stdout);
}

size_t finding_count(void)
{
	size_t sum = 0;

	for (size_t i = 0; i < PROMISE_COUNT; i++)
		sum += counts[i];
	return sum;
}

void finding_summary(char *text, size_t size)
{
	size_t len = 0;

	snprintf(text, size, "none");
	for (size_t i = 0; i < PROMISE_COUNT && len < size; i++) {
		if (counts[i] != 0)
			len += (size_t)snprintf(text + len, size - len, "%s%s %zu",
						len != 0 ? ", " : "", names[i], counts[i]);
	}
}
