#include "shed.h"

#include "caller.h"
#include "expect.h"
#include "overload.h"
#include "permit.h"
#include "room.h"

#define LOG_MODULE "shed"
#include "counter.h"
#include "histogram.h"
#include "log.h"

/*
 * A member that runs statements and has sent no reply for this many usual responses, and for this
 * time at least, counts as paused: what waits for it can be served after the pause.
 */
#define SILENT_RESPONSES 4
#define SILENT_MIN	 (50 * USEC_PER_MSEC)
/* Each arrival counts for a 16th of the part that is refused. */
#define REFUSED_SMOOTHING 16
/* Jitter of the retry-after time, as a part of it: callers refused together don't return together.
 */
#define RETRY_JITTER_DIVISOR 2

static const char *const verdict_names[OVERLOAD_VERDICTS] = {
	[OVERLOAD_ADMIT] = "admitted",
	[OVERLOAD_REFUSE_WAIT] = "queue_too_long",
	[OVERLOAD_REFUSE_TIME] = "no_time_to_run",
	[OVERLOAD_REFUSE_LATE] = "too_late",
};
static const char *const moment_names[] = {"arrival", "later"};

HISTOGRAM_DEFINE(expected_wait_seconds, "statement_expected_wait_seconds", "",
		 "Expected wait of statements that found no free slot on arrival.");
COUNTER_GRID_DEFINE(refused_total, "overload_refusals_total", "verdict", verdict_names, "moment",
		    moment_names, "Statements refused for overload, by verdict and moment.");

/* --- what the members can do --- */

double shed_slots(const service_t *service)
{
	usec_t now = now_of(service->pooler);
	double slots = 0;

	list_for_each (it, &service->members) {
		const member_t *member = list_entry(it, member_t, in_service);

		if (choice_may_take_statements(member, now))
			slots += room_slots(member);
	}
	return slots;
}

choice_capacity_t shed_capacity_for(const caller_t *caller, usec_t now)
{
	choice_capacity_t capacity = choice_capacity(caller, now);
	usec_t end = caller->received_at + caller->objective;

	if (!capacity.primary_only) {
		capacity.replica_at = USEC_NEVER;
	} else if (capacity.replica_at < end &&
		   end - capacity.replica_at > expect_answer_within(caller, now)) {
		capacity.slots = shed_slots(caller->service);
		capacity.primary_only = false;
	}
	return capacity;
}

/* Keeps *since, when a state began that lasts; 0: it does not last now. */
static void update_since(usec_t *since, bool lasts, usec_t now)
{
	if (!lasts)
		*since = 0;
	else if (*since == 0)
		*since = now;
}

/*
 * True if the member is probably paused: it runs statements, and none was answered for several
 * times the usual time.
 */
static bool is_silent(const member_t *member, usec_t now)
{
	usec_t usual = member->response_time * SILENT_RESPONSES;

	if (member->suspect_since != USEC_NEVER)
		return true;
	return room_used(member) != 0 &&
	       now >= member->last_reply_at + (usual > SILENT_MIN ? usual : SILENT_MIN);
}

/* True if the member works through the statements that keep its slots busy. */
static bool is_busy(const member_t *member, usec_t now)
{
	return !room_is_free(member) && !is_silent(member, now);
}

/* True if no member has room, and at least one is not merely silent. */
static bool members_are_busy(const service_t *service, usec_t now)
{
	bool busy = false;

	list_for_each (it, &service->members) {
		const member_t *member = list_entry(it, member_t, in_service);

		busy = busy || (choice_may_take_statements(member, now) && is_busy(member, now));
	}
	return busy && !choice_has_room(service, now);
}

void shed_update_busy(service_t *service, usec_t now)
{
	const member_t *primary = permit_primary(service, now);
	bool on_time = wait_queue_has_on_time(service->queue, now);

	update_since(&service->members_busy_since, on_time && members_are_busy(service, now), now);
	update_since(&service->primary_busy_since,
		     on_time && primary != NULL && is_busy(primary, now), now);
}

/* --- admission --- */

/* Work in the queue and the slots that do it. */
typedef struct backlog {
	usec_t ahead;
	usec_t total;
	double slots;
} backlog_t;

/* True if a member serves statements that only the primary can serve. */
static bool has_servable_primary(const service_t *service, usec_t now)
{
	const member_t *primary = permit_primary(service, now);

	return primary != NULL && choice_may_take_statements(primary, now);
}

/* The backlog that the caller waits for: that of all members, or that of the primary if longer. */
static backlog_t backlog_of(const caller_t *caller, choice_capacity_t capacity, usec_t now)
{
	service_t *service = caller->service;
	wait_work_t ahead = wait_queue_work_ahead(service->queue, &caller->waiter, now);
	wait_work_t total = wait_queue_work(service->queue);
	double slots = shed_slots(service);

	if (capacity.primary_only &&
	    (double)ahead.primary * slots > (double)ahead.all * capacity.slots)
		return (backlog_t){ahead.primary, total.primary, capacity.slots};
	/* What waits for the next primary is in nobody's way at the replicas. */
	if (!capacity.primary_only && !has_servable_primary(service, now)) {
		ahead.all -= ahead.primary;
		total.all -= total.primary;
	}
	/* Until a replica has caught up, its slots are of no use. */
	if (!capacity.primary_only && capacity.replica_at != USEC_NEVER &&
	    capacity.replica_at > now) {
		usec_t until = (usec_t)((double)(capacity.replica_at - now) * slots);

		ahead.all = ahead.all > until ? ahead.all : until;
	}
	return (backlog_t){ahead.all, total.all, slots};
}

/*
 * Adds jitter, and leaves the caller as much time for its return as it waits until then. One that
 * is refused at its deadline may return as well, if it waits for longer than this proxy knows.
 */
static usec_t limit_retry_after(const caller_t *caller, usec_t retry_after, usec_t now)
{
	usec_t left = caller->deadline > now ? caller->deadline - now : 0;
	usec_t max = usec_clamp(left / 2, SHED_RETRY_AFTER_MIN, SHED_RETRY_AFTER_MAX);

	retry_after += pooler_random(caller->pooler, retry_after / RETRY_JITTER_DIVISOR + 1);
	return retry_after < max ? retry_after : max;
}

static const reason_t refusal_reasons[OVERLOAD_VERDICTS] = {
	[OVERLOAD_REFUSE_WAIT] = REASON_QUEUE_TOO_LONG,
	[OVERLOAD_REFUSE_TIME] = REASON_NO_CONNECTION,
	[OVERLOAD_REFUSE_LATE] = REASON_TOO_LATE,
};

static int64_t msec(usec_t duration)
{
	return (int64_t)(duration / USEC_PER_MSEC);
}

/* 0 if to is before from: the time of a tick is older than what has happened since in it. */
static int64_t msec_between(usec_t from, usec_t to)
{
	return from < to ? msec(to - from) : 0;
}

/* gave_way: it is refused in favour of another customer's statement, and would not be late. */
static void refuse_for_overload(caller_t *caller, const overload_input_t *input,
				const overload_decision_t *decision, bool arriving, bool gave_way)
{
	reason_t reason = refusal_reasons[decision->verdict];

	counter_grid_increment(&refused_total, decision->verdict, arriving ? 0 : 1);
	LOG_EVENT(LOG_INFO, arriving ? "refused at arrival" : "refused while waiting",
		  LOG_SLICE("request", caller->statement.id.at, caller->statement.id.len),
		  LOG_STR("service", caller->service->name),
		  LOG_STR("reason", reason_names[reason]), LOG_INT("priority", caller->priority),
		  LOG_INT("work_ahead_ms", msec(input->work_ahead)),
		  LOG_INT("slots_percent", (int64_t)(input->slots * 100)),
		  LOG_INT("expected_wait_ms", msec(decision->expected_wait)),
		  LOG_INT("counted_wait_ms", msec(decision->counted_wait)),
		  LOG_INT("response_ms", msec(input->response)),
		  LOG_INT("spread_ms", msec(input->spread)),
		  LOG_INT("waited_ms", msec_between(input->arrived_at, input->now)),
		  LOG_INT("objective_ms", msec(input->objective)),
		  LOG_INT("left_ms", msec_between(input->now, input->deadline)),
		  LOG_INT("busy_ms",
			  input->busy_since != 0 ? msec_between(input->busy_since, input->now) : 0),
		  LOG_INT("waiting", (int64_t)wait_queue_len(caller->service->queue)),
		  LOG_INT("gave_way", gave_way));
	caller_refuse(caller, CODE_BUSY, reason,
		      limit_retry_after(caller, decision->retry_after, input->now));
}

/*
 * Since when no capacity is left for the caller: for one that is late already, beside all on time;
 * for others, beside those of its own and higher priorities.
 */
static usec_t busy_since(const caller_t *caller, choice_capacity_t capacity, usec_t now)
{
	const service_t *service = caller->service;
	usec_t members =
		capacity.primary_only ? service->primary_busy_since : service->members_busy_since;
	usec_t waiters = wait_queue_on_time_since(service->queue, caller->priority, now);

	if (members == 0 || caller->waiter.late)
		return members;
	if (waiters == USEC_NEVER)
		return 0;
	return waiters > members ? waiters : members;
}

static overload_input_t overload_input(const caller_t *caller, bool arriving, usec_t now)
{
	const service_t *service = caller->service;
	choice_capacity_t capacity = shed_capacity_for(caller, now);
	backlog_t backlog = backlog_of(caller, capacity, now);
	estimate_t response = expect_response(caller, now);

	return (overload_input_t){
		.now = now,
		.arrived_at = caller->received_at,
		.objective = caller->objective,
		.deadline = caller->deadline,
		.work_ahead = backlog.ahead,
		.work = backlog.total,
		.slots = backlog.slots,
		.response = response.mean + EXPECT_CALLER_ROUND_TRIP,
		.spread = response.deviation,
		.arriving = arriving,
		.refused_part = service->refused_part,
		.may_commit = caller_may_commit(caller),
		.busy_since = busy_since(caller, capacity, now),
	};
}

/*
 * Refuses a waiter of the customer with most waiting work instead of the caller, which has just
 * arrived. Returns false if there is none, or if the caller itself would be late.
 */
static bool displace_another(caller_t *caller, overload_input_t input)
{
	waiter_t *waiter;
	overload_decision_t decision;

	input.arriving = false;
	if (overload_decide(&input).verdict != OVERLOAD_ADMIT)
		return false;
	waiter = wait_queue_displaced_by(caller->service->queue, &caller->waiter, input.now);
	if (waiter == NULL)
		return false;
	caller = list_entry(waiter, caller_t, waiter);
	input = overload_input(caller, false, input.now);
	decision = overload_decide(&input);
	decision.verdict = OVERLOAD_REFUSE_LATE;
	refuse_for_overload(caller, &input, &decision, false, true);
	return true;
}

static void count_refused(service_t *service, bool refused)
{
	service->refused_part += (refused - service->refused_part) / REFUSED_SMOOTHING;
}

void shed_if_overloaded(caller_t *caller, bool arriving, usec_t now)
{
	overload_input_t input = overload_input(caller, arriving, now);
	overload_decision_t decision = overload_decide(&input);

	if (arriving) {
		count_refused(caller->service, decision.verdict != OVERLOAD_ADMIT);
		histogram_add(&expected_wait_seconds, decision.expected_wait);
	}
	if (decision.verdict == OVERLOAD_ADMIT || (decision.verdict == OVERLOAD_REFUSE_LATE &&
						   arriving && displace_another(caller, input)))
		return;
	refuse_for_overload(caller, &input, &decision, arriving, false);
}

void shed_on_served(service_t *service)
{
	count_refused(service, false);
}
