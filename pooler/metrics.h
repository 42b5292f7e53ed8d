/*
 * Metrics of a pooler with a label for each service and member. Only members that are down or have
 * connections from this proxy are written, so that the metrics of a large fleet stay small.
 */
#pragma once

#include <stdio.h>

#include "pooler.h"

/* Writes the metrics to out in the Prometheus text format. */
void metrics_write(const pooler_t *pooler, FILE *out);
