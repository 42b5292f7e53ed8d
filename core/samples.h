/*
 * The age of replica data without comparing clocks. If the primary stood at
 * position p when it was asked at our time t, a replica known to be at or past p
 * is at most now - t old.
 */
#pragma once

#include "state.h"

/* Where the primary's log stood when it was asked at sent. */
void samples_add(group_t *group, const report_t *report, usec_t sent);

/* New reports may confirm samples, and so make the members' data younger. */
void samples_confirm(group_t *group);
void samples_refresh_ages(group_t *group);

/* Forget all: another term, or nothing can be known of the time between. */
void samples_clear(group_t *group);

/*
 * The time at which the primary's log stood no further than lsn, as a bound on
 * the age of data read there; 0 if none is known.
 */
usec_t samples_time_of(const group_t *group, uint64_t lsn);
