/*
 * The duty to replace primaries, held by one proxy at a time: notice that a
 * primary failed or is leaving, have every proxy let go of it, find the member
 * that received most, have it promoted, and write it down.
 */
#pragma once

#include "state.h"

/* From the call to promote until the member is seen to lead: 1 s on the users' sites. */
#define PROMOTE_USUAL_TIME (1150 * USEC_PER_MSEC)
/* All of a change if every proxy lets go at once. */
#define CHANGE_USUAL_TIME (PROMOTE_USUAL_TIME + 100 * USEC_PER_MSEC)

void failover_tick(pooler_t *pooler, usec_t now);
void failover_on_promoted(service_t *service, promote_status_t status);

/* How long the change of primary under way will still take, as the holder knows it. */
usec_t failover_remaining(const service_t *service, usec_t now);

/* The duty was lost: whoever has it now finds the rest in the roster. */
void failover_abandon(pooler_t *pooler);
