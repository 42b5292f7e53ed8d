#include "dispatch.h"

#include <string.h>

#include "active.h"
#include "caller.h"
#include "conn.h"
#include "failover.h"
#include "forward.h"
#include "member.h"
#include "permit.h"

/*
 * Penalties of a member for a read, as time added to its expected response time.
 * Another zone: a message between zones takes 1.4 ms each way, and the traffic is charged.
 */
#define OTHER_ZONE_COST (3 * USEC_PER_MSEC)
/* The primary: it alone can serve the writes. */
#define PRIMARY_COST (8 * USEC_PER_MSEC)
/* A member that has just failed this read, or is ejected as an outlier: chosen if no other can. */
#define LAST_RESORT_COST (1 * USEC_PER_SEC)
/*
 * A read waits for a healthy member for this part of its objective. Then a member that fails some
 * of its statements may serve it too, since no other would answer within the objective.
 */
#define HEALTHY_ONLY_WAIT(objective) ((objective) / 4)
/* No idle connection: a new one occupies a slot of the member for 12 ms. */
#define CONNECT_COST (15 * USEC_PER_MSEC)
/* Wait after which a caller may use more connections than this proxy's share: one connect time. */
#define EXCEED_SHARE_WAIT (15 * USEC_PER_MSEC)
/*
 * Wait after which a caller may evict an idle connection of another customer whose own callers
 * wait too. Otherwise a large customer, whose callers always wait, would keep all connections.
 * Twice the connect time, so that a new connection still saves time.
 */
#define EVICT_WAIT (30 * USEC_PER_MSEC)
/*
 * Idle time after which a transaction is rolled back if other callers wait for its connection. Ten
 * times the usual pauses of applications inside transactions (7 to 10 ms), and short enough that
 * the waiting callers are served within the strictest objectives (100 to 150 ms) or soon after.
 */
#define TX_IDLE_RECLAIM (100 * USEC_PER_MSEC)
/* Round trip between a caller and this proxy, with some margin. */
#define CALLER_ROUND_TRIP (10 * USEC_PER_MSEC)
/* How long after a refusal for lag the replica's last measured lag is assumed to be unchanged. */
#define LAG_CACHE_TIME (300 * USEC_PER_MSEC)
/* Added to that lag: the interval between samples of the primary's position. */
#define LAG_MARGIN FRESHNESS_SPACING
/* Usual time from the first sign of a failed primary until its replacement is announced. */
#define DETECTION_TIME (700 * USEC_PER_MSEC)
/* Part of the platform's bound for leaving members in which a primary is still used: 5 of 7 s. */
#define LEAVING_USABLE_PERCENT 70
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

/* --- log position that a replica must have applied --- */

/*
 * Sets the log position that a replica must have applied for the caller's read. Returns false if
 * no sample of the primary's position is recent enough.
 */
static bool required_position(const caller_t *caller, sample_t *required)
{
	const freshness_t *freshness = caller->service->freshness;

	if (!freshness_min_position(freshness, caller->received_at, caller->max_age, required))
		return false;
	if (caller->reads == READS_SESSION && caller->has_commit &&
	    !position_covers(required->position, caller->commit)) {
		required->position = position_max(required->position, caller->commit);
		required->sent_at = caller->committed_at;
	}
	return true;
}

/* --- choosing a member for a read --- */

static usec_t cost_of(const member_t *member, const caller_t *caller, bool primary)
{
	usec_t cost = member->response_time * (1 + member_load(member));

	if (strcmp(member->zone, caller->pooler->config.zone) != 0)
		cost += OTHER_ZONE_COST;
	if (primary)
		cost += PRIMARY_COST;
	if (conn_find_idle(member, caller) == NULL)
		cost += CONNECT_COST;
	if (!outlier_accepts_read(&member->outlier, member_load(member), now_of(caller->pooler)) ||
	    (caller->attempts != 0 && caller->failed_member == member))
		cost += LAST_RESORT_COST;
	return cost;
}

/* True if the caller has waited long enough to accept a member that fails some statements. */
static bool accepts_failing_member(const caller_t *caller, usec_t now)
{
	return now >= caller->received_at + HEALTHY_ONLY_WAIT(caller->objective);
}

static bool can_read_at(const member_t *member, const caller_t *caller, usec_t now)
{
	return outlier_accepts_read(&member->outlier, member_load(member), now) ||
	       accepts_failing_member(caller, now);
}

/* True if the caller has waited long enough for a connection beyond this proxy's share. */
static bool can_exceed_share(const caller_t *caller, usec_t now)
{
	return now >= caller->received_at + EXCEED_SHARE_WAIT;
}

/* Returns another customer's idle connection that may be closed for the caller, or NULL. */
static conn_t *find_evictable(const member_t *member, const caller_t *caller, usec_t now)
{
	if (now < member->connect_not_before || member_share(member) == 0)
		return NULL;
	return conn_find_evictable(member, caller, now >= caller->received_at + EVICT_WAIT);
}

static bool can_open(const member_t *member, const caller_t *caller, usec_t now)
{
	return member_can_open(member, now, can_exceed_share(caller, now)) ||
	       find_evictable(member, caller, now) != NULL;
}

static bool can_serve(const member_t *member, const caller_t *caller, usec_t now)
{
	return member_is_usable(member) && member_has_room(member) &&
	       (conn_find_idle(member, caller) != NULL || can_open(member, caller, now));
}

/*
 * True if the replica has probably applied the position that the read requires, estimated from its
 * lag at its last reply. A wrong estimate costs one round trip. Without the estimate, while the
 * replicas lagged by seconds, a third of all reads took that extra round trip.
 */
static bool replica_probably_current(member_t *replica, const sample_t *required, usec_t now)
{
	usec_t caught_up_to;

	if (position_covers(replica->applied, required->position) ||
	    now >= replica->lagged_at + LAG_CACHE_TIME)
		return true;
	caught_up_to = freshness_position_time(replica->service->freshness, replica->applied);
	return caught_up_to != 0 &&
	       required->sent_at + (replica->applied_at - caught_up_to) + LAG_MARGIN <= now;
}

/*
 * Returns the member that serves the caller's read now, or NULL if none can. *servable is set if
 * some member can serve it once it has a free connection.
 */
static member_t *choose_read_member(caller_t *caller, usec_t now, bool *servable)
{
	member_t *primary = permit_primary(caller->service, now);
	sample_t required;
	bool fresh = required_position(caller, &required) && !caller->primary_only;
	member_t *best = NULL;
	usec_t best_cost = USEC_NEVER;

	*servable = false;
	list_for_each (it, &caller->service->members) {
		member_t *member = list_entry(it, member_t, in_service);
		usec_t cost;

		if (member != primary &&
		    (!fresh || !replica_probably_current(member, &required, now)))
			continue;
		*servable = *servable || member_is_usable(member);
		if (!can_read_at(member, caller, now) || !can_serve(member, caller, now))
			continue;
		cost = cost_of(member, caller, member == primary);
		if (cost < best_cost) {
			best = member;
			best_cost = cost;
		}
	}
	caller->has_after = best != primary;
	if (caller->has_after)
		caller->after = required.position;
	return best;
}

static member_t *choose_primary(caller_t *caller, usec_t now, bool *servable)
{
	member_t *primary = permit_primary(caller->service, now);
	usec_t leaving_use = caller->pooler->config.leaving_bound * LEAVING_USABLE_PERCENT / 100;

	caller->has_after = false;
	*servable = primary != NULL && !primary->down && now < primary->leaving_since + leaving_use;
	if (!*servable || !member_has_room(primary) ||
	    (conn_find_idle(primary, caller) == NULL && !can_open(primary, caller, now)))
		return NULL;
	return primary;
}

/* Counts the connections to the member that are being opened for the customer. */
static size_t count_opening(const member_t *member, const customer_pool_t *customer_pool)
{
	size_t count = 0;

	list_for_each (it, &member->conns) {
		const conn_t *conn = list_entry(it, conn_t, node);

		count += conn->state == CONN_OPENING && conn->customer_pool == customer_pool;
	}
	return count;
}

static member_t *choose_member(caller_t *caller, usec_t now, bool *servable)
{
	if (caller->target == TARGET_PRIMARY)
		return choose_primary(caller, now, servable);
	return choose_read_member(caller, now, servable);
}

/*
 * Opens a connection for the caller's customer. If this proxy's share is used up, an evictable
 * connection is closed for it; without one, the new connection goes beyond the share.
 */
static void open_connection(member_t *member, const caller_t *caller, usec_t now)
{
	conn_t *evicted;

	if (!member_can_open(member, now, false)) {
		evicted = find_evictable(member, caller, now);
		if (evicted != NULL)
			conn_close(evicted, "evicted for another customer");
	}
	conn_open(member, caller->customer_pool);
}

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
	member = choose_member(caller, now, &servable);
	if (member == NULL)
		return false;
	conn = conn_find_idle(member, caller);
	if (conn != NULL) {
		dispatch_dequeue(caller);
		conn_run(conn, caller);
		return true;
	}
	/* Opens at most one connection for each waiting caller. */
	if (count_opening(member, caller->customer_pool) < caller->customer_pool->waiting)
		open_connection(member, caller, now);
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
			*next = caller->next_attempt_at < *next ? caller->next_attempt_at : *next;
			continue;
		}
		if (try_to_place(caller, now))
			return true;
		if (caller->next_attempt_at > now && caller->next_attempt_at < *next)
			*next = caller->next_attempt_at;
		if (!can_exceed_share(caller, now) &&
		    caller->received_at + EXCEED_SHARE_WAIT < *next)
			*next = caller->received_at + EXCEED_SHARE_WAIT;
		if (caller->target == TARGET_ANY && !accepts_failing_member(caller, now) &&
		    caller->received_at + HEALTHY_ONLY_WAIT(caller->objective) < *next)
			*next = caller->received_at + HEALTHY_ONLY_WAIT(caller->objective);
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
	choose_member(caller, now, &servable);
	if (servable || (end != USEC_NEVER && end < caller->deadline))
		return;
	retry_after = end != USEC_NEVER && end > now ? end - now : DEFAULT_RETRY_AFTER;
	if (retry_after > RETRY_AFTER_MAX)
		retry_after = RETRY_AFTER_MAX;
	caller_refuse(caller, CODE_BUSY, REASON_NO_MEMBER, retry_after);
}

/* --- idle transactions --- */

/* True if the member could serve the caller now, but has no connection free for it. */
static bool lacks_only_connection(const member_t *member, const caller_t *caller, usec_t now)
{
	return member_has_room(member) && conn_find_idle(member, caller) == NULL &&
	       !can_open(member, caller, now);
}

/* Returns the connection with the longest idle transaction that could serve the caller, or NULL. */
static conn_t *find_idle_tx(const caller_t *caller, usec_t now)
{
	const member_t *primary = permit_primary(caller->service, now);
	conn_t *longest = NULL;

	list_for_each (it, &caller->service->members) {
		member_t *member = list_entry(it, member_t, in_service);
		conn_t *conn = member_longest_held_conn(member);

		if (conn == NULL || now < conn->state_since + TX_IDLE_RECLAIM ||
		    (caller->target == TARGET_PRIMARY && member != primary) ||
		    !lacks_only_connection(member, caller, now))
			continue;
		if (longest == NULL || conn->state_since < longest->state_since)
			longest = conn;
	}
	return longest;
}

/*
 * Rolls back one idle transaction whose connection other callers wait for. Clients that begin,
 * write and then pause could hold all connections of this proxy to the primary, and other callers
 * would wait until the time-out of idle transactions. One at a time is enough, since a connection
 * serves many statements; the next statement of the rolled-back transaction is refused as aborted.
 */
static void reclaim_idle_tx(service_t *service, usec_t now)
{
	list_for_each (it, &service->waiting) {
		const caller_t *caller = list_entry(it, caller_t, queue_node);
		conn_t *conn;

		if (!can_exceed_share(caller, now))
			continue;
		conn = find_idle_tx(caller, now);
		if (conn != NULL) {
			conn_reclaim(conn, "idle transaction reclaimed for waiting callers");
			return;
		}
	}
}

void dispatch_tick(service_t *service, usec_t now)
{
	/*
	 * After a pause of this process, the next statements of these transactions may lie unread
	 * in the socket buffers.
	 */
	if (now != service->pooler->resumed_at)
		reclaim_idle_tx(service, now);
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
