#include "overload.h"

/* A fifth of all responses take longer than the mean and its mean deviation. */
#define READ_DEVIATIONS 1
/* A write that is sent too late ends in doubt, so it gets the time that most of them need. */
#define WRITE_DEVIATIONS 3
/* For an arriving statement the queue ahead counts several times. */
#define ARRIVAL_WAIT_FACTOR 2
/* The shortest time after which a return makes sense: some statements have ended by then. */
#define RETRY_AFTER_MIN (20 * USEC_PER_MSEC)
/* Part of the statements that is assumed to be admitted at least. */
#define ADMITTED_PART_MIN 0.05
/* Slots assumed at least, so that a wait is finite. */
#define SLOTS_MIN 0.05
/* Longest wait that is told apart. */
#define WAIT_MAX (60 * USEC_PER_SEC)

usec_t overload_response_bound(usec_t response, usec_t spread, bool may_commit)
{
	return response + spread * (may_commit ? WRITE_DEVIATIONS : READ_DEVIATIONS);
}

/* Time in which the slots get that much work done. */
static usec_t time_for(usec_t work, double slots)
{
	double wait = (double)work / (slots > SLOTS_MIN ? slots : SLOTS_MIN);

	return wait < (double)WAIT_MAX ? (usec_t)wait : WAIT_MAX;
}

/*
 * The wait that is counted against the objective. A statement that has just arrived must probably
 * meet it although others of higher priority arrive while it waits. So the queue stays short enough
 * to empty soon after an overload.
 */
static usec_t counted_wait(const overload_input_t *input, usec_t wait)
{
	return input->arriving ? wait * ARRIVAL_WAIT_FACTOR : wait;
}

/* True if the statement will miss its objective. */
static bool will_be_late(const overload_input_t *input, usec_t wait)
{
	return input->now + counted_wait(input, wait) +
		       overload_response_bound(input->response, input->spread, false) >=
	       input->arrived_at + input->objective;
}

static overload_verdict_t judge(const overload_input_t *input, usec_t wait)
{
	usec_t needed = overload_response_bound(input->response, input->spread, input->may_commit);
	bool busy = input->busy_since != 0 && input->now >= input->busy_since + input->objective;

	/*
	 * Not in the first half of the time: a member that was slow for a while has to get some
	 * statements to be measured as fast again.
	 */
	if (input->now + needed >= input->deadline &&
	    input->now - input->arrived_at > (input->deadline - input->arrived_at) / 2)
		return OVERLOAD_REFUSE_TIME;
	if (wait != 0 && input->now + wait + needed >= input->deadline)
		return OVERLOAD_REFUSE_WAIT;
	if (busy && will_be_late(input, wait))
		return OVERLOAD_REFUSE_LATE;
	return OVERLOAD_ADMIT;
}

/* The longest queue ahead with which a statement that arrives now is admitted under overload. */
static usec_t longest_wait(const overload_input_t *input)
{
	usec_t answered =
		input->now + overload_response_bound(input->response, input->spread, false);
	usec_t end = input->arrived_at + input->objective;

	return answered < end ? (end - answered) / ARRIVAL_WAIT_FACTOR : 0;
}

/*
 * When the statement would probably be admitted: when the queue has become as short as it must be,
 * if it can still meet its objective then, else when the queue has emptied. If many are refused,
 * the room is taken by others, and to return as early would only add to the load.
 */
static usec_t time_until_admitted(const overload_input_t *input, usec_t wait)
{
	usec_t longest = longest_wait(input);
	usec_t excess = wait > longest ? wait - longest : 0;
	usec_t after = excess <= longest ? excess : time_for(input->work, input->slots);
	double admitted_part = 1 - input->refused_part;

	if (after < RETRY_AFTER_MIN)
		after = RETRY_AFTER_MIN;
	if (admitted_part < ADMITTED_PART_MIN)
		admitted_part = ADMITTED_PART_MIN;
	return (usec_t)((double)after / admitted_part);
}

overload_decision_t overload_decide(const overload_input_t *input)
{
	usec_t wait = time_for(input->work_ahead, input->slots);

	return (overload_decision_t){
		.verdict = judge(input, wait),
		.expected_wait = wait,
		.counted_wait = counted_wait(input, wait),
		.retry_after = time_until_admitted(input, wait),
	};
}
