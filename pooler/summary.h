/*
 * Logs a summary: successful operations are not logged one by one, but every few seconds one line
 * shows by how much the main counters have risen.
 */
#pragma once

#include "clock.h"

typedef struct summary {
	usec_t next;
	int64_t before[16];
} summary_t;

void summary_tick(summary_t *summary, usec_t now);
