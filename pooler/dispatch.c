#include "dispatch.h"

#include "active.h"
#include "caller.h"
#include "choice.h"
#include "conn.h"
#include "failover.h"
#include "forward.h"
#include "member.h"
#include "opening.h"
#include "permit.h"

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
		dispatch_dequeue(caller);
		conn_run(conn, caller);
		return true;
	}
	opening_open(member, caller, now);
	return false;
}

/* --- the queue --- */

void dispatch_dequeue(caller_t *caller)
{
	if (!caller->is_waiting)
		return;
	list_del(&caller->queue_node);
	caller->customer_pool->waiting--;
	caller->is_waiting = false;
}

static void insert_by_priority(service_t *service, caller_t *caller)
{
	list_t *pos = &service->waiting;

	list_for_each (it, &service->waiting) {
		if (list_entry(it, caller_t, queue_node)->priority > caller->priority) {
			pos = it;
			break;
		}
	}
	list_add_before(pos, &caller->queue_node);
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

/* Returns the shortest recent response time of the members that may serve the caller. */
static usec_t expected_response(const caller_t *caller, usec_t now)
{
	const member_t *primary = permit_primary(caller->service, now);
	usec_t least = primary != NULL ? primary->response_time : USEC_NEVER;

	list_for_each (it, &caller->service->members) {
		const member_t *member = list_entry(it, member_t, in_service);

		if (caller->target == TARGET_ANY && member_is_usable(member) &&
		    member->response_time < least)
			least = member->response_time;
	}
	return least != USEC_NEVER ? least : 0;
}

/*
 * True if the caller will probably not be answered within its route's objective. Such callers are
 * served after the others. Under overload, serving in order of arrival would make all callers wait
 * for the whole queue and miss their objective. At 133 % of a primary's capacity for 4 s
 * (test_pooler_load), 399 of 534 statements meet the objective, against 70 in order of arrival.
 */
static bool will_miss_objective(const caller_t *caller, usec_t now)
{
	return !caller->pooler->config.serve_in_arrival_order &&
	       now + expected_response(caller, now) + CALLER_ROUND_TRIP >=
		       caller->received_at + caller->objective;
}

/*
 * True if the statement would probably not complete before its deadline. A write that is sent in
 * spite of that ends in doubt, whereas a write refused now has certainly not run. Half of all
 * responses take longer than the expected time, so a write needs twice that: at three times a
 * primary's capacity (test_pooler_load) 64 of 910 writes ended in doubt without this check, and
 * none with it. The check applies only in the second half of the time-out: if all callers were
 * refused at once, a member that was slow for a while would never be measured as fast again.
 */
static bool lacks_time_to_run(const caller_t *caller, usec_t now)
{
	usec_t needed = expected_response(caller, now) * (caller_may_commit(caller) ? 2 : 1);

	return now - caller->received_at > caller->timeout / 2 && now + needed >= caller->deadline;
}

static usec_t earlier(usec_t a, usec_t b)
{
	return a < b ? a : b;
}

/*
 * Serves the first caller that can be served among those that will miss their objective (late) or
 * those that will not. Returns false if there is none; *next is then when to try again.
 */
static bool serve_first(service_t *service, bool late, usec_t now, usec_t *next)
{
	list_for_each (it, &service->waiting) {
		caller_t *caller = list_entry(it, caller_t, queue_node);

		if (will_miss_objective(caller, now) != late || lacks_time_to_run(caller, now))
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

static bool serve_next(service_t *service, usec_t now, usec_t *next)
{
	*next = USEC_NEVER;
	return serve_first(service, false, now, next) || serve_first(service, true, now, next);
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

/* Refuses the caller if no member is expected to serve it before its deadline. */
static void refuse_if_unservable(caller_t *caller, usec_t now)
{
	usec_t end = expected_recovery(caller->service, now);
	bool servable;
	usec_t retry_after;

	if (lacks_time_to_run(caller, now)) {
		caller_refuse(caller, CODE_BUSY, REASON_NO_CONNECTION, QUEUE_RETRY_AFTER);
		return;
	}
	choice_find(caller, now, &servable);
	if (servable || (end != USEC_NEVER && end < caller->deadline))
		return;
	retry_after = end != USEC_NEVER && end > now ? end - now : DEFAULT_RETRY_AFTER;
	if (retry_after > RETRY_AFTER_MAX)
		retry_after = RETRY_AFTER_MAX;
	caller_refuse(caller, CODE_BUSY, REASON_NO_MEMBER, retry_after);
}

void dispatch_tick(service_t *service, usec_t now)
{
	/*
	 * After a pause of this process, the next statements of these transactions may lie unread
	 * in the socket buffers.
	 */
	if (now != service->pooler->resumed_at)
		opening_reclaim_idle_tx(service, now);
	list_for_each_safe (it, &service->waiting)
		refuse_if_unservable(list_entry(it, caller_t, queue_node), now);
}

void dispatch_enqueue(caller_t *caller)
{
	usec_t now = now_of(caller->pooler);
	service_t *service = caller->service;

	insert_by_priority(service, caller);
	active_add_service(service);
	dispatch_run(service);
	if (caller->is_waiting)
		refuse_if_unservable(caller, now);
}
