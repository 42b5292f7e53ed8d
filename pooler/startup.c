#include "startup.h"

#define LOG_MODULE "startup"
#include "histogram.h"
#include "log.h"

/*
 * Time after which a start is over, whatever its last answer: callers that have waited since then
 * have reached the longest usual time-outs.
 */
#define STARTUP_TIME (5 * USEC_PER_SEC)

HISTOGRAM_DEFINE(first_answer_seconds, "start_to_first_answer_seconds", "",
		 "Time from the start of the process until its first answer to a caller.");
HISTOGRAM_DEFINE(last_late_seconds, "start_to_last_late_answer_seconds", "",
		 "Time from the start of the process until the last late answer of its first 5 s.");

void startup_begin(startup_t *startup, usec_t now)
{
	*startup = (startup_t){.started = now};
}

/* Time from the start in ms; -1: it has not happened. */
static int64_t elapsed_ms(const startup_t *startup, usec_t at)
{
	return usec_age_ms(at != 0 ? at - startup->started : USEC_NEVER);
}

void startup_on_late_tick(startup_t *startup, usec_t late)
{
	startup->late += late;
	if (late > startup->late_most)
		startup->late_most = late;
}

void startup_on_answer(startup_t *startup, bool late, usec_t now)
{
	if (startup->over)
		return;
	if (late)
		startup->last_late_at = now;
	if (startup->first_answer_at != 0)
		return;
	startup->first_answer_at = now;
	histogram_add(&first_answer_seconds, now - startup->started);
	LOG_EVENT(LOG_INFO, "first answer since the start", LOG_INT("late", late),
		  LOG_INT("registered_ms", elapsed_ms(startup, startup->registered_at)),
		  LOG_INT("permitted_ms", elapsed_ms(startup, startup->permitted_at)),
		  LOG_INT("answered_ms", elapsed_ms(startup, now)),
		  LOG_INT("loop_late_ms", (int64_t)(startup->late / USEC_PER_MSEC)));
}

static void report_end(startup_t *startup)
{
	startup->over = true;
	if (startup->last_late_at != 0)
		histogram_add(&last_late_seconds, startup->last_late_at - startup->started);
	LOG_EVENT(LOG_INFO, "start is over",
		  LOG_INT("registered_ms", elapsed_ms(startup, startup->registered_at)),
		  LOG_INT("permitted_ms", elapsed_ms(startup, startup->permitted_at)),
		  LOG_INT("first_answer_ms", elapsed_ms(startup, startup->first_answer_at)),
		  LOG_INT("last_late_ms", elapsed_ms(startup, startup->last_late_at)),
		  LOG_INT("loop_late_ms", (int64_t)(startup->late / USEC_PER_MSEC)),
		  LOG_INT("loop_late_most_ms", (int64_t)(startup->late_most / USEC_PER_MSEC)));
}

void startup_tick(startup_t *startup, bool registered, bool permitted, usec_t now)
{
	if (startup->over)
		return;
	if (registered && startup->registered_at == 0)
		startup->registered_at = now;
	if (permitted && startup->permitted_at == 0)
		startup->permitted_at = now;
	if (now >= startup->started + STARTUP_TIME)
		report_end(startup);
}
