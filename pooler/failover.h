/*
 * Failover: replaces the primaries of services. Only the leader does this (see leader.h). It
 * notices that a primary failed or is leaving, waits until every proxy has stopped using it
 * (released it), finds the member that has received the most of the log, has the platform promote
 * that one, and writes the new primary to the roster.
 */
#pragma once

#include "state.h"

/*
 * Usual time from the call to promote until the member reports that it is the primary; the
 * promotion takes the platform 1 s.
 */
#define PROMOTE_USUAL_TIME (1150 * USEC_PER_MSEC)
/* Usual time of a whole change of primary if every proxy releases the old one at once. */
#define CHANGE_USUAL_TIME (PROMOTE_USUAL_TIME + 100 * USEC_PER_MSEC)

/* Checks the services and continues their changes of primary, if this proxy is the leader. */
void failover_tick(pooler_t *pooler, usec_t now);
/* Handles the platform's answer to the promote call of the service's change. */
void failover_on_promoted(service_t *service, promote_status_t status);

/* Remaining time of the current change of primary as the leader estimates it. */
usec_t failover_remaining(const service_t *service, usec_t now);

/*
 * Drops all changes of primary when the leadership is lost; the next leader continues them from the
 * roster.
 */
void failover_abandon(pooler_t *pooler);
