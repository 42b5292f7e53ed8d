/*
 * Figures of a pooler that depend on what there is: services and members, with a label each. Only
 * members that this proxy has connections to are told, so that a large fleet's metrics stay small.
 */
#pragma once

#include <stdio.h>

#include "pooler.h"

/* Write them to out in the Prometheus text format. */
void metrics_write(const pooler_t *pooler, FILE *out);
