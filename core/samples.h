/*
 * Bounds the age of replica data without comparing clocks. If the primary's log
 * stood at position p when this proxy requested a report at time t, the data of a
 * replica at or past p is at most now - t old.
 */
#pragma once

#include "state.h"

/* Add the position that the primary reported, with the time sent of the request for the report. */
void samples_add(group_t *group, const report_t *report, usec_t sent);

/* After a new report: mark the samples that it confirms, then update the members' data_as_of. */
void samples_confirm(group_t *group);
void samples_update_members(group_t *group);

/* Discard all samples: after a change of term or a pause of this process. */
void samples_clear(group_t *group);

/*
 * The latest time at which the primary's log stood at lsn or before, by a confirmed
 * sample: data read at lsn is at least as new as that. 0 if there is no such sample.
 */
usec_t samples_time_of(const group_t *group, uint64_t lsn);
