#include "dispatch.h"

#include <string.h>

#include "active.h"
#include "caller.h"
#include "choice.h"
#include "conn.h"
#include "expect.h"
#include "forward.h"
#include "home.h"
#include "opening.h"
#include "overload.h"
#include "permit.h"
#include "recovery.h"
#include "room.h"
#include "shed.h"

/* Delay before a home without a link is tried again; the link is made within some ms. */
#define HOME_RETRY_INTERVAL (10 * USEC_PER_MSEC)
/* Retry-after if no time of recovery can be estimated. */
#define DEFAULT_RETRY_AFTER (1 * USEC_PER_SEC)

/* Objective of callers that are served in order of arrival. */
#define NEVER_LATE (3600 * USEC_PER_SEC)

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
		waiter->work = expect_work(caller, now);
		waiter->response = expect_answer_within(caller, now);
		waiter->primary_only = shed_capacity_for(caller, now).primary_only;
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
	response = expect_response(caller, now);
	return now + overload_response_bound(response.mean, response.deviation,
					     caller_may_commit(caller)) >=
	       caller->deadline;
}

static usec_t earlier(usec_t a, usec_t b)
{
	return a < b ? a : b;
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
	if (!choice_has_room(service, now) && !forwards(service, now))
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
	shed_update_busy(service, now);
	arm_retry(service, next);
}

/* Refuses the caller if no member is expected to serve it before its deadline. */
static void refuse_if_unservable(caller_t *caller, bool arriving, usec_t now)
{
	usec_t end;
	bool servable;
	usec_t retry_after;

	if (lacks_time_to_run(caller, now)) {
		caller_refuse(caller, CODE_BUSY, REASON_NO_CONNECTION, SHED_RETRY_AFTER_MIN);
		return;
	}
	choice_find(caller, now, &servable);
	if (servable) {
		if (!caller->pooler->config.serve_in_arrival_order && !awaits_home(caller, now))
			shed_if_overloaded(caller, arriving, now);
		return;
	}
	end = recovery_expected_at(caller->service, now);
	if (end != USEC_NEVER && end < caller->deadline)
		return;
	retry_after = end != USEC_NEVER && end > now ? end - now : DEFAULT_RETRY_AFTER;
	if (retry_after > SHED_RETRY_AFTER_MAX)
		retry_after = SHED_RETRY_AFTER_MAX;
	caller_refuse(caller, CODE_BUSY, REASON_NO_MEMBER, retry_after);
}

/* Sorts the caller anew, since what is expected of its statement has changed. */
static void update_in_queue(caller_t *caller, usec_t now)
{
	if (!caller->pooler->config.serve_in_arrival_order)
		wait_queue_update(caller->service->queue, &caller->waiter, expect_work(caller, now),
				  expect_answer_within(caller, now),
				  shed_capacity_for(caller, now).primary_only, now);
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
	shed_update_busy(service, now);
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
		shed_on_served(service);
}
