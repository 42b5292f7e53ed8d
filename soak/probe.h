/*
 * Probes: each proxy is asked on its probe address whether its event loop runs. A proxy that is up
 * and does not answer for seconds is a finding.
 */
#pragma once

#include "fleet.h"

typedef struct probes probes_t;

/* Returns a child of parent. */
probes_t *probes_create(void *parent, fleet_t *fleet);

/*
 * Sends the questions that are due, and checks how long ago each proxy answered. late: time by
 * which this tick of the soak was late; it does not count.
 */
void probes_tick(probes_t *probes, usec_t now, usec_t late);

/* Closes all connections. */
void probes_stop(probes_t *probes);
