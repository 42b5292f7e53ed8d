/*
 * What went well is not logged line by line: every few seconds one line tells
 * how much of what happened since the last one.
 */
#pragma once

#include "clock.h"

typedef struct summary {
	usec_t next;
	int64_t before[16];
} summary_t;

void summary_tick(summary_t *summary, usec_t now);
