/*
 * Decides whether a statement may wait for a member, or is refused at once since it can't be
 * answered in time. Under overload a statement that is held until its time-out costs its caller
 * that time, and one that is answered after its caller has gone costs the member's time as well.
 */
#pragma once

#include <stdbool.h>

#include "clock.h"

typedef struct overload_input {
	usec_t now;
	usec_t arrived_at;
	usec_t objective;    /* response time objective, counted from arrived_at */
	usec_t deadline;     /* the caller stops waiting */
	usec_t work_ahead;   /* expected work of the statements that are served before this one */
	usec_t work;	     /* of all that wait, this one included */
	double slots;	     /* of the members that may serve the statement, this proxy's part */
	usec_t response;     /* expected time from sending the statement until its answer */
	usec_t spread;	     /* mean deviation of that time */
	bool arriving;	     /* it has waited for nothing yet */
	bool may_commit;     /* sent too late, it would end in doubt */
	double refused_part; /* of the statements that arrived lately, those refused */
	usec_t busy_since; /* since when statements that can meet their objective have been waiting
			      without interruption; 0: none wait */
} overload_input_t;

typedef enum {
	OVERLOAD_ADMIT,
	OVERLOAD_REFUSE_WAIT, /* the queue ahead takes longer than the caller waits */
	OVERLOAD_REFUSE_TIME, /* sent now, it would probably be answered too late */
	OVERLOAD_REFUSE_LATE, /* it will miss its objective, and no capacity is left for such ones
			       */
	OVERLOAD_VERDICTS,
} overload_verdict_t;

typedef struct overload_decision {
	overload_verdict_t verdict;
	usec_t expected_wait; /* until the statement would be sent */
	usec_t counted_wait;  /* the same as counted against the objective: with a margin for others
				 of higher priority that arrive meanwhile */
	usec_t retry_after;   /* if refused: when it would probably be admitted, before jitter */
} overload_decision_t;

overload_decision_t overload_decide(const overload_input_t *input);

/* Time in which a statement that is sent is probably answered. */
usec_t overload_response_bound(usec_t response, usec_t spread, bool may_commit);
