/*
 * What is expected of a caller's statement, by the statements of its database that were answered of
 * late: the time until its answer, and the time that it takes of a member's slots.
 */
#pragma once

#include "state.h"

/* Round trip between a caller and this proxy, with some margin. */
#define EXPECT_CALLER_ROUND_TRIP (10 * USEC_PER_MSEC)

/* Records how long the member took for the caller's statement, which it has just answered. */
void expect_record(const caller_t *caller, const conn_t *conn);

/* Expected time from sending the caller's statement until its answer. */
estimate_t expect_response(const caller_t *caller, usec_t now);

/* Expected time of a member's slots that the statement takes. */
usec_t expect_work(const caller_t *caller, usec_t now);

/* Time in which the statement, sent now, is probably answered to the caller. */
usec_t expect_answer_within(const caller_t *caller, usec_t now);
