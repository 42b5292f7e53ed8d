#include "dispatch.h"

#include <string.h>

#include "active.h"
#include "caller.h"
#include "choice.h"
#include "conn.h"
#include "failover.h"
#include "forward.h"
#include "home.h"
#include "member.h"
#include "opening.h"
#include "overload.h"
#include "permit.h"
#include "room.h"

#define LOG_MODULE "dispatch"
#include "counter.h"
#include "histogram.h"
#include "log.h"

/* Round trip between a caller and this proxy, with some margin. */
#define CALLER_ROUND_TRIP (10 * USEC_PER_MSEC)
/* Usual time from the first sign of a failed primary until its replacement is announced. */
#define DETECTION_TIME (700 * USEC_PER_MSEC)
/*
 * Usual time for the proxies to agree on a new roster while the store is unreachable: one query to
 * all and its answers, over connections that may have to be made, and one tick.
 */
#define AGREEMENT_TIME (150 * USEC_PER_MSEC)
/* Usual time in which a proxy that has just started is added to the roster. */
#define REGISTRATION_TIME (200 * USEC_PER_MSEC)
/* Usual time to the first read of the roster after the start: one call and its back-off. */
#define FIRST_READ_TIME (300 * USEC_PER_MSEC)
/* Without a read in this time the store counts as unreachable: three attempts and a margin. */
#define FIRST_READ_TIMEOUT (1200 * USEC_PER_MSEC)
/* Assumed remaining time of a change of primary that takes longer than expected. */
#define OVERDUE_CHANGE_TIME (300 * USEC_PER_MSEC)
/* Delay before a home without a link is tried again; the link is made within some ms. */
#define HOME_RETRY_INTERVAL (10 * USEC_PER_MSEC)
/* Retry-after for callers that got no connection in time: by then the queue has changed. */
#define QUEUE_RETRY_AFTER (50 * USEC_PER_MSEC)
/* Retry-after if no time of recovery can be estimated. */
#define DEFAULT_RETRY_AFTER (1 * USEC_PER_SEC)
/*
 * Upper bound of the retry-after time. A change of primary that waits for unresponsive proxies may
 * take 13 s, but ends as soon as they answer. A caller whose retry time lies after its own deadline
 * would give up instead of retrying.
 */
#define RETRY_AFTER_MAX (1500 * USEC_PER_MSEC)

/*
 * A member that runs statements and has sent no reply for this many usual responses, and for this
 * time at least, counts as paused: what waits for it can be served after the pause.
 */
#define SILENT_RESPONSES 4
#define SILENT_MIN	 (50 * USEC_PER_MSEC)
/* Objective of callers that are served in order of arrival. */
#define NEVER_LATE (3600 * USEC_PER_SEC)
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

/* Sends the caller's statement to a member or to its home; returns false if it still waits. */
static bool try_to_place(caller_t *caller, usec_t now)
{
	bool servable;
	member_t *member;
	conn_t *conn;

	switch (forward_to_home(caller, now)) {
	case FORWARD_SENT:
		dispatch_dequeue(caller);
		return true;
	case FORWARD_WAIT:
		caller->next_attempt_at = now + HOME_RETRY_INTERVAL;
		return false;
	case FORWARD_LOCAL:
		break;
	}
	member = choice_find(caller, now, &servable);
	if (member == NULL)
		return false;
	conn = conn_find_idle(member, caller);
	if (conn != NULL) {
		wait_queue_on_served(caller->service->queue, &caller->waiter);
		dispatch_dequeue(caller);
		conn_run(conn, caller);
		return true;
	}
	opening_open(member, caller, now);
	return false;
}

/* --- expectations --- */

static route_estimate_t *estimate_of(const caller_t *caller)
{
	return route_estimate_get(&caller->service->estimates, caller->service, caller->database);
}

/*
 * The slots' time that the statement took. Beyond one statement for each slot that this proxy
 * counts on, the response includes time in the member's queue.
 */
static usec_t work_of_response(const member_t *member, usec_t took)
{
	double slots = room_slots(member);
	double used = (double)room_used(member);

	return used > slots ? (usec_t)((double)took * slots / used) : took;
}

void dispatch_record_response(const caller_t *caller, const conn_t *conn)
{
	usec_t now = now_of(caller->pooler);
	usec_t took = now - conn->sent_at;
	route_estimate_t *estimate = estimate_of(caller);

	estimate_add(&estimate->response, took, now);
	estimate_add(&estimate->work, work_of_response(conn->member, took), now);
	usage_add(&caller->customer_pool->usage, work_of_response(conn->member, took), now);
}

/* The quickest member that may serve the caller, or NULL. */
static const member_t *quickest_member(const caller_t *caller, usec_t now)
{
	const member_t *quickest = permit_primary(caller->service, now);

	list_for_each (it, &caller->service->members) {
		const member_t *member = list_entry(it, member_t, in_service);

		if (caller->target == TARGET_ANY && member_is_usable(member) &&
		    (quickest == NULL || member->response_time < quickest->response_time))
			quickest = member;
	}
	return quickest;
}

/* Expected time from sending the caller's statement until its answer. */
static estimate_t expected_response(const caller_t *caller, usec_t now)
{
	const route_estimate_t *estimate = estimate_of(caller);
	const member_t *member;

	if (estimate->response.updated_at != 0)
		return estimate_at(&estimate->response, now);
	member = quickest_member(caller, now);
	return member != NULL ? (estimate_t){.mean = member->response_time,
					     .deviation = member->response_deviation}
			      : (estimate_t){0};
}

static usec_t expected_work(const caller_t *caller, usec_t now)
{
	const route_estimate_t *estimate = estimate_of(caller);

	return estimate->work.updated_at != 0 ? estimate_at(&estimate->work, now).mean
					      : expected_response(caller, now).mean;
}

/* --- the queue --- */

void dispatch_dequeue(caller_t *caller)
{
	if (!caller->is_waiting)
		return;
	list_del(&caller->queue_node);
	wait_queue_remove(caller->service->queue, &caller->waiter);
	caller->customer_pool->waiting--;
	caller->is_waiting = false;
}

/* Time in which the statement is probably answered. */
static usec_t response_bound(const caller_t *caller, usec_t now)
{
	estimate_t response = expected_response(caller, now);

	return CALLER_ROUND_TRIP +
	       overload_response_bound(response.mean, response.deviation, false);
}

/*
 * What the members can do that may serve the caller. A read for which a replica will be recent
 * enough within its objective counts on the replicas as well.
 */
static choice_capacity_t capacity_for(const caller_t *caller, usec_t now)
{
	choice_capacity_t capacity = choice_capacity(caller, now);
	usec_t end = caller->received_at + caller->objective;

	if (!capacity.primary_only) {
		capacity.replica_at = USEC_NEVER;
	} else if (capacity.replica_at < end &&
		   end - capacity.replica_at > response_bound(caller, now)) {
		capacity.slots = dispatch_slots(caller->service);
		capacity.primary_only = false;
	}
	return capacity;
}

/*
 * Under overload, serving in order of arrival would make all callers wait for the whole queue and
 * miss their objective. At 133 % of a primary's capacity for 4 s (test_pooler_load), 399 of 534
 * statements meet the objective, against 70 in order of arrival.
 */
static void add_to_queue(caller_t *caller, usec_t now)
{
	waiter_t *waiter = &caller->waiter;

	*waiter = (waiter_t){.priority = caller->priority,
			     .arrived_at = caller->received_at,
			     .objective = NEVER_LATE};
	if (!caller->pooler->config.serve_in_arrival_order) {
		waiter->customer = caller->customer_pool;
		waiter->usage = usage_at(&caller->customer_pool->usage, now);
		waiter->objective = caller->objective;
		waiter->work = expected_work(caller, now);
		waiter->response = response_bound(caller, now);
		waiter->primary_only = capacity_for(caller, now).primary_only;
	}
	wait_queue_add(caller->service->queue, waiter, now);
}

static void enqueue(caller_t *caller, usec_t now)
{
	list_add_tail(&caller->service->waiting, &caller->queue_node);
	add_to_queue(caller, now);
	caller->customer_pool->waiting++;
	caller->is_waiting = true;
}

static void on_retry(run_timer_t *timer, usec_t now)
{
	(void)now;
	dispatch_run(list_entry(timer, service_t, retry_timer));
}

static void arm_retry(service_t *service, usec_t at)
{
	if (at == USEC_NEVER)
		return;
	timers_arm(service->pooler->timers, &service->retry_timer, at, on_retry);
}

/*
 * True if the statement would probably not complete before its deadline. A write that is sent in
 * spite of that ends in doubt, whereas a write refused now has certainly not run. The check applies
 * only in the second half of the time-out: if all callers were refused at once, a member that was
 * slow for a while would never be measured as fast again.
 */
static bool lacks_time_to_run(const caller_t *caller, usec_t now)
{
	estimate_t response;

	if (now - caller->received_at <= caller->timeout / 2)
		return false;
	response = expected_response(caller, now);
	return now + overload_response_bound(response.mean, response.deviation,
					     caller_may_commit(caller)) >=
	       caller->deadline;
}

static usec_t earlier(usec_t a, usec_t b)
{
	return a < b ? a : b;
}

/* True if a member has room for one more statement. */
static bool has_room(const service_t *service, usec_t now)
{
	list_for_each (it, &service->members) {
		const member_t *member = list_entry(it, member_t, in_service);

		if (choice_may_take_statements(member, now) && room_is_free(member))
			return true;
	}
	return false;
}

/* True if the statements of this proxy's own callers go to another proxy. */
static bool forwards(service_t *service, usec_t now)
{
	const roster_node_t *home;

	if (!home_is_needed(service) || permit_primary(service, now) == NULL)
		return false;
	home = home_find(service, now);
	return home != NULL && strcmp(home->name, service->pooler->config.name) != 0;
}

/* True if the caller waits for the link to its home. */
static bool awaits_home(const caller_t *caller, usec_t now)
{
	return caller->job == NULL && forwards(caller->service, now);
}

/*
 * Serves the first caller in the queue's order that can be served. Returns false if there is none;
 * *next is then when to try again.
 */
static bool serve_next(service_t *service, usec_t now, usec_t *next)
{
	waiter_t *waiter;

	*next = USEC_NEVER;
	/* A reply makes room and calls dispatch_run(). */
	if (!has_room(service, now) && !forwards(service, now))
		return false;
	for (waiter = wait_queue_first(service->queue, now); waiter != NULL;
	     waiter = wait_queue_next(service->queue, waiter)) {
		caller_t *caller = list_entry(waiter, caller_t, waiter);

		if (lacks_time_to_run(caller, now))
			continue;
		if (caller->next_attempt_at > now) {
			*next = earlier(*next, caller->next_attempt_at);
			continue;
		}
		if (try_to_place(caller, now))
			return true;
		if (caller->next_attempt_at > now)
			*next = earlier(*next, caller->next_attempt_at);
		*next = earlier(*next, opening_next_change(caller, now));
		*next = earlier(*next, choice_next_change(caller, now));
	}
	return false;
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
	return busy && !has_room(service, now);
}

static void update_busy(service_t *service, usec_t now)
{
	const member_t *primary = permit_primary(service, now);
	bool on_time = wait_queue_has_on_time(service->queue, now);

	update_since(&service->members_busy_since, on_time && members_are_busy(service, now), now);
	update_since(&service->primary_busy_since,
		     on_time && primary != NULL && is_busy(primary, now), now);
}

void dispatch_run(service_t *service)
{
	usec_t now = now_of(service->pooler);
	usec_t next = USEC_NEVER;

	/* Serving a caller can close a connection, which calls this function again. */
	if (service->dispatching) {
		service->dispatch_again = true;
		return;
	}
	service->dispatching = true;
	do {
		service->dispatch_again = false;
		while (!list_empty(&service->waiting) && serve_next(service, now, &next))
			;
	} while (service->dispatch_again);
	service->dispatching = false;
	update_busy(service, now);
	arm_retry(service, next);
}

/* Returns when the primary is expected to be usable again; USEC_NEVER if there is no estimate. */
static usec_t expected_recovery(const service_t *service, usec_t now)
{
	const sync_t *sync = &service->pooler->sync;
	const roster_group_t *group;
	const member_t *primary;

	if (service->changing_since != USEC_NEVER)
		return service->change_expected_end > now ? service->change_expected_end
							  : now + OVERDUE_CHANGE_TIME;
	if (sync->confirmed_at == USEC_NEVER && now < service->pooler->started + FIRST_READ_TIMEOUT)
		return now + FIRST_READ_TIME;
	if (now >= permit_expires_at(service->pooler))
		return now < sync->adopted_at + AGREEMENT_TIME ? sync->adopted_at + AGREEMENT_TIME
							       : USEC_NEVER;
	if (!permit_is_registered(service->pooler))
		return now + REGISTRATION_TIME;
	group = roster_find_group(sync->roster, service->name);
	primary = group != NULL ? member_find(service->pooler, group->primary) : NULL;
	if (primary != NULL && primary->down)
		return primary->suspect_since + DETECTION_TIME + CHANGE_USUAL_TIME;
	return USEC_NEVER;
}

/* --- admission --- */

/* Work in the queue and the slots that do it. */
typedef struct backlog {
	usec_t ahead;
	usec_t total;
	double slots;
} backlog_t;

double dispatch_slots(const service_t *service)
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
	double slots = dispatch_slots(service);

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
	usec_t max = usec_clamp(left / 2, QUEUE_RETRY_AFTER, RETRY_AFTER_MAX);

	retry_after += pooler_random(caller->pooler, retry_after / RETRY_JITTER_DIVISOR + 1);
	return earlier(retry_after, max);
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

static void refuse_for_overload(caller_t *caller, const overload_input_t *input,
				const overload_decision_t *decision, bool arriving)
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
		  LOG_INT("response_ms", msec(input->response)),
		  LOG_INT("spread_ms", msec(input->spread)),
		  LOG_INT("left_ms",
			  input->deadline > input->now ? msec(input->deadline - input->now) : 0),
		  LOG_INT("busy_ms",
			  input->busy_since != 0 ? msec(input->now - input->busy_since) : 0),
		  LOG_INT("waiting", (int64_t)wait_queue_len(caller->service->queue)));
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
	choice_capacity_t capacity = capacity_for(caller, now);
	backlog_t backlog = backlog_of(caller, capacity, now);
	estimate_t response = expected_response(caller, now);

	return (overload_input_t){
		.now = now,
		.arrived_at = caller->received_at,
		.objective = caller->objective,
		.deadline = caller->deadline,
		.work_ahead = backlog.ahead,
		.work = backlog.total,
		.slots = backlog.slots,
		.response = response.mean + CALLER_ROUND_TRIP,
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
	refuse_for_overload(caller, &input, &decision, false);
	return true;
}

static void count_refused(service_t *service, bool refused)
{
	service->refused_part += (refused - service->refused_part) / REFUSED_SMOOTHING;
}

/* Refuses the caller if the queue leaves no time for it. */
static void refuse_if_overloaded(caller_t *caller, bool arriving, usec_t now)
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
	refuse_for_overload(caller, &input, &decision, arriving);
}

/* Refuses the caller if no member is expected to serve it before its deadline. */
static void refuse_if_unservable(caller_t *caller, bool arriving, usec_t now)
{
	usec_t end;
	bool servable;
	usec_t retry_after;

	if (lacks_time_to_run(caller, now)) {
		caller_refuse(caller, CODE_BUSY, REASON_NO_CONNECTION, QUEUE_RETRY_AFTER);
		return;
	}
	choice_find(caller, now, &servable);
	if (servable) {
		if (!caller->pooler->config.serve_in_arrival_order && !awaits_home(caller, now))
			refuse_if_overloaded(caller, arriving, now);
		return;
	}
	end = expected_recovery(caller->service, now);
	if (end != USEC_NEVER && end < caller->deadline)
		return;
	retry_after = end != USEC_NEVER && end > now ? end - now : DEFAULT_RETRY_AFTER;
	if (retry_after > RETRY_AFTER_MAX)
		retry_after = RETRY_AFTER_MAX;
	caller_refuse(caller, CODE_BUSY, REASON_NO_MEMBER, retry_after);
}

/* Sorts the caller anew, since what is expected of its statement has changed. */
static void update_in_queue(caller_t *caller, usec_t now)
{
	if (!caller->pooler->config.serve_in_arrival_order)
		wait_queue_update(caller->service->queue, &caller->waiter,
				  expected_work(caller, now), response_bound(caller, now),
				  capacity_for(caller, now).primary_only, now);
}

void dispatch_tick(service_t *service, usec_t now)
{
	/*
	 * After a pause of this process, the next statements of these transactions may lie unread
	 * in the socket buffers.
	 */
	if (now != service->pooler->resumed_at)
		opening_reclaim_idle_tx(service, now);
	list_for_each (it, &service->waiting)
		update_in_queue(list_entry(it, caller_t, queue_node), now);
	list_for_each_safe (it, &service->waiting)
		refuse_if_unservable(list_entry(it, caller_t, queue_node), false, now);
	update_busy(service, now);
}

void dispatch_enqueue(caller_t *caller)
{
	usec_t now = now_of(caller->pooler);
	service_t *service = caller->service;

	enqueue(caller, now);
	active_add_service(service);
	dispatch_run(service);
	if (caller->is_waiting)
		refuse_if_unservable(caller, true, now);
	else
		count_refused(service, false);
}
