#include "opening_rule.h"

#include <stdbool.h>

/* Slot time of the member that an opening takes. */
#define OPENING_TIME (12 * USEC_PER_MSEC)
/*
 * Part of the slots that openings may take while statements use all. With half, a member whose
 * every statement needs a connection of its own still runs as much as it opens.
 */
#define OPENING_SLOTS_PART 0.5
/*
 * Part of its objective that a caller waits for a connection in use instead of opening another one
 * while the member's slots are used. A wait of a sixteenth still leaves a statement as good as all
 * of its time; callers with a short objective wait less than an opening takes.
 */
#define PATIENCE_DIVISOR 16

const char *const opening_verdict_names[OPENING_VERDICTS] = {
	[OPENING_NOW] = "now",	   [OPENING_UNDER_WAY] = "under_way", [OPENING_IN_VAIN] = "in_vain",
	[OPENING_PACED] = "paced", [OPENING_CAN_WAIT] = "can_wait",
};

usec_t opening_patience(usec_t objective)
{
	return objective / PATIENCE_DIVISOR;
}

/*
 * True if the caller will be gone when it could be served. The usual response time counts only for
 * a caller that has waited for over half of its time-out: it changes by replies alone, so without
 * an opening that of a member without connections would stay as it is.
 */
static bool is_in_vain(const opening_case_t *c)
{
	if (c->time_left <= OPENING_TIME)
		return true;
	return c->waited > c->time_left && c->time_left <= OPENING_TIME + c->response_time;
}

opening_verdict_t opening_decide(const opening_case_t *c)
{
	size_t opening = c->opening + c->overdue;
	bool slots_used = c->slots > 0 && (double)(c->running + opening) >= c->slots;

	if (c->own_opening >= c->own_waiting)
		return OPENING_UNDER_WAY;
	if (is_in_vain(c))
		return OPENING_IN_VAIN;
	if (!slots_used)
		return OPENING_NOW;
	/* One at a time goes on beside overdue ones, which may be lost. */
	if (c->opening != 0 && (double)(opening + 1) > c->slots * OPENING_SLOTS_PART)
		return OPENING_PACED;
	if (c->own_in_use != 0 && c->waited < opening_patience(c->objective))
		return OPENING_CAN_WAIT;
	return OPENING_NOW;
}
