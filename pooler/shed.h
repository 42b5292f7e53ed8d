/*
 * Refuses callers for which the members of a service have no capacity: gathers what overload.h
 * decides by, and answers the callers that it refuses.
 */
#pragma once

#include "choice.h"

/* Retry-after for callers that got no connection in time: by then the queue has changed. */
#define SHED_RETRY_AFTER_MIN (50 * USEC_PER_MSEC)
/*
 * Upper bound of the retry-after time. A change of primary that waits for unresponsive proxies may
 * take 13 s, but ends as soon as they answer. A caller whose retry time lies after its own deadline
 * would give up instead of retrying.
 */
#define SHED_RETRY_AFTER_MAX (1500 * USEC_PER_MSEC)

/* Slots of all usable members that this proxy can count on. */
double shed_slots(const service_t *service);

/*
 * What the members can do that may serve the caller. A read for which a replica will be recent
 * enough within its objective counts on the replicas as well.
 */
choice_capacity_t shed_capacity_for(const caller_t *caller, usec_t now);

/*
 * Records since when the members have had no room for what waits; to be called when that may have
 * changed.
 */
void shed_update_busy(service_t *service, usec_t now);

/* Refuses the caller if the queue leaves no time for it; arriving: it has waited for nothing yet.
 */
void shed_if_overloaded(caller_t *caller, bool arriving, usec_t now);

/* Records that a statement that has just arrived was served at once. */
void shed_on_served(service_t *service);
