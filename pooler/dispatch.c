#include "dispatch.h"

#include <string.h>

#include "active.h"
#include "caller.h"
#include "conn.h"
#include "duty.h"
#include "forward.h"
#include "member.h"
#include "permit.h"

/*
 * Penalties of a member for a read, as time added to its expected answer.
 * Another zone: the two ways of 1.4 ms between zones on the users' sites, and its bytes cost.
 */
#define OTHER_ZONE (3 * USEC_PER_MSEC)
/* The primary has the writes to serve, which nobody else can. */
#define IS_PRIMARY (8 * USEC_PER_MSEC)
/* A member that failed this read a moment ago, or gets no reads, serves it if nobody else can. */
#define LAST_CHOICE (1 * USEC_PER_SEC)
/*
 * Who has waited for this part of its objective for members that are well is given to one that
 * fails statements: it may be served there, and nowhere else in time.
 */
#define WAIT_FOR_WELL(objective) ((objective) / 4)
/* A connection that must first be made takes 12 ms of a slot. */
#define NO_CONNECTION (15 * USEC_PER_MSEC)
/* A wait that justifies a connection beyond our share: the time that one takes to make. */
#define BORROW_AFTER (15 * USEC_PER_MSEC)
/*
 * Who has waited for so long takes the connection of another customer though that one's callers
 * would use it: or a large customer, whose callers always wait, would never leave one to the
 * others. Twice the time in which a new one is made, so that it is made where it saves time.
 */
#define TAKE_AFTER (30 * USEC_PER_MSEC)
/*
 * A transaction without a statement for so long rests, and gives way to whoever waits for its
 * connection. Ten times the pauses of the users' applications inside transactions (7 to 10 ms), and
 * short enough that who waits is still served within the strictest objectives (100 to 150 ms), or
 * soon after.
 */
#define RESTS_AFTER (100 * USEC_PER_MSEC)
/* From a caller to us and back, on the users' sites, with some room. */
#define CALLER_WAYS (10 * USEC_PER_MSEC)
/* After a replica lacked a position, how long its lag is believed to be what it was. */
#define LAG_BELIEVED (300 * USEC_PER_MSEC)
/* Added to it: the samples of the primary's position are so far apart. */
#define LAG_MARGIN FRESHNESS_SPACING
/* From the first sign of a failed primary to the marking. */
#define DETECTION_USUAL (700 * USEC_PER_MSEC)
/* A primary that is leaving is used for this part of the users' bound: 5 of 7 s. */
#define LEAVING_USE_PERCENT 70
/*
 * While the store is away a new roster is agreed on within this: a question to all and its answers,
 * over connections that may have to be made, and a tick.
 */
#define AGREE_USUAL (150 * USEC_PER_MSEC)
/* A proxy that has just started gets on the roster within this. */
#define REGISTER_USUAL (200 * USEC_PER_MSEC)
/* A process that has just started expects the roster with its next reading: a call, its back-off.
 */
#define FIRST_READ_USUAL (300 * USEC_PER_MSEC)
/* After so long without it the store is away: three such attempts and some room. */
#define FIRST_READ_LONGEST (1200 * USEC_PER_MSEC)
/* What is left of a change that takes longer than expected. */
#define OVERDUE_CHANGE (300 * USEC_PER_MSEC)
/* A link to a home is made within some ms; it is looked at again after this. */
#define HOME_RETRY (10 * USEC_PER_MSEC)
/* When to come back after a wait in vain: about when the queue has changed. */
#define RETRY_LATE (50 * USEC_PER_MSEC)
/* When to come back if the end of the trouble isn't known. */
#define UNKNOWN_RETRY (1 * USEC_PER_SEC)
/*
 * A change of primary that waits for silent proxies may take 13 s, and ends at once when they are
 * back: a caller that is told to come back after its deadline gives up instead.
 */
#define RETRY_MOST (1500 * USEC_PER_MSEC)

/* --- what a replica must hold --- */

/* Returns false if no position is known to be fresh enough for the caller's read. */
static bool position_for(const caller_t *caller, sample_t *wanted)
{
	const freshness_t *freshness = caller->service->freshness;

	if (!freshness_position(freshness, caller->received_at, caller->max_age, wanted))
		return false;
	if (caller->reads == READS_SESSION && caller->has_commit &&
	    !position_covers(wanted->position, caller->commit)) {
		wanted->position = position_max(wanted->position, caller->commit);
		wanted->sent_at = caller->committed_at;
	}
	return true;
}

/* --- choosing a member for a read --- */

static usec_t cost_of(const member_t *member, const caller_t *caller, bool primary)
{
	usec_t cost = member->response * (1 + member_load(member));

	if (strcmp(member->zone, caller->pooler->config.zone) != 0)
		cost += OTHER_ZONE;
	if (primary)
		cost += IS_PRIMARY;
	if (conn_find_idle(member, caller) == NULL)
		cost += NO_CONNECTION;
	if (!outlier_takes(&member->outlier, member_load(member), now_of(caller->pooler)) ||
	    (caller->attempts != 0 && caller->failed_member == member))
		cost += LAST_CHOICE;
	return cost;
}

/* True if the caller may be served by members that fail part of their statements. */
static bool takes_any(const caller_t *caller, usec_t now)
{
	return now >= caller->received_at + WAIT_FOR_WELL(caller->objective);
}

static bool may_read_at(const member_t *member, const caller_t *caller, usec_t now)
{
	return outlier_takes(&member->outlier, member_load(member), now) || takes_any(caller, now);
}

/* True if the caller has waited long enough for a connection beyond our share. */
static bool may_borrow(const caller_t *caller, usec_t now)
{
	return now >= caller->received_at + BORROW_AFTER;
}

/* An idle connection that may give way to one of the caller's customer, or NULL. */
static conn_t *find_spare(const member_t *member, const caller_t *caller, usec_t now)
{
	if (now < member->open_after || member_share(member) == 0)
		return NULL;
	return conn_find_evictable(member, caller, now >= caller->received_at + TAKE_AFTER);
}

static bool can_open(const member_t *member, const caller_t *caller, usec_t now)
{
	return member_can_open(member, now, may_borrow(caller, now)) ||
	       find_spare(member, caller, now) != NULL;
}

static bool can_serve(const member_t *member, const caller_t *caller, usec_t now)
{
	return member_is_usable(member) && member_has_room(member) &&
	       (conn_find_idle(member, caller) != NULL || can_open(member, caller, now));
}

/*
 * True if the replica probably has applied what the read wants, judged by how far behind it was
 * with its last reply. A wrong guess costs a round trip; asking in vain all the time, while the
 * replicas are seconds behind, made a third of all reads that much later.
 */
static bool replica_fits(member_t *replica, const sample_t *wanted, usec_t now)
{
	usec_t caught_up_to;

	if (position_covers(replica->applied, wanted->position) ||
	    now >= replica->lagged_at + LAG_BELIEVED)
		return true;
	caught_up_to = freshness_time_of(replica->service->freshness, replica->applied);
	return caught_up_to != 0 &&
	       wanted->sent_at + (replica->applied_at - caught_up_to) + LAG_MARGIN <= now;
}

/* The member to serve a read now; NULL: none can. *open: some member may serve it at all. */
static member_t *choose_reader(caller_t *caller, usec_t now, bool *open)
{
	member_t *primary = permit_primary(caller->service, now);
	sample_t wanted;
	bool fresh = position_for(caller, &wanted) && !caller->primary_only;
	member_t *best = NULL;
	usec_t best_cost = USEC_NEVER;

	*open = false;
	list_for_each (it, &caller->service->members) {
		member_t *member = list_entry(it, member_t, in_service);
		usec_t cost;

		if (member != primary && (!fresh || !replica_fits(member, &wanted, now)))
			continue;
		*open = *open || member_is_usable(member);
		if (!may_read_at(member, caller, now) || !can_serve(member, caller, now))
			continue;
		cost = cost_of(member, caller, member == primary);
		if (cost < best_cost) {
			best = member;
			best_cost = cost;
		}
	}
	caller->has_after = best != primary;
	if (caller->has_after)
		caller->after = wanted.position;
	return best;
}

static member_t *choose_primary(caller_t *caller, usec_t now, bool *open)
{
	member_t *primary = permit_primary(caller->service, now);
	usec_t leaving_use = caller->pooler->config.leaving_bound * LEAVING_USE_PERCENT / 100;

	caller->has_after = false;
	*open = primary != NULL && !primary->down && now < primary->leaving_since + leaving_use;
	if (!*open || !member_has_room(primary) ||
	    (conn_find_idle(primary, caller) == NULL && !can_open(primary, caller, now)))
		return NULL;
	return primary;
}

/* Connections that are being made there for the customer's callers. */
static size_t opening(const member_t *member, const customer_pool_t *line)
{
	size_t count = 0;

	list_for_each (it, &member->conns) {
		const conn_t *conn = list_entry(it, conn_t, node);

		count += conn->state == CONN_OPENING && conn->customer_pool == line;
	}
	return count;
}

static member_t *choose(caller_t *caller, usec_t now, bool *open)
{
	if (caller->target == TARGET_PRIMARY)
		return choose_primary(caller, now, open);
	return choose_reader(caller, now, open);
}

/* A connection for the caller's customer; within our share rather in place of an unused one. */
static void open_for(member_t *member, const caller_t *caller, usec_t now)
{
	conn_t *spare;

	if (!member_can_open(member, now, false)) {
		spare = find_spare(member, caller, now);
		if (spare != NULL)
			conn_close(spare, "another customer needs its place");
	}
	conn_open(member, caller->customer_pool);
}

/* Returns true if the caller is served, and waits no more. */
static bool place(caller_t *caller, usec_t now)
{
	bool open;
	member_t *member;
	conn_t *conn;

	switch (forward_to_home(caller, now)) {
	case FORWARD_SENT:
		dispatch_dequeue(caller);
		return true;
	case FORWARD_WAIT:
		caller->next_attempt_at = now + HOME_RETRY;
		return false;
	case FORWARD_LOCAL:
		break;
	}
	member = choose(caller, now, &open);
	if (member == NULL)
		return false;
	conn = conn_find_idle(member, caller);
	if (conn != NULL) {
		dispatch_dequeue(caller);
		conn_run(conn, caller);
		return true;
	}
	/* One new connection for each that waits is enough. */
	if (opening(member, caller->customer_pool) < caller->customer_pool->waiting)
		open_for(member, caller, now);
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

static void insert(service_t *service, caller_t *caller)
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
	dispatch_run(list_entry(timer, service_t, retry));
}

static void arm_retry(service_t *service, usec_t at)
{
	if (at == USEC_NEVER)
		return;
	timers_arm(service->pooler->timers, &service->retry, at, on_retry);
}

/* How long the members that may serve the caller take of late. */
static usec_t expected_response(const caller_t *caller, usec_t now)
{
	const member_t *primary = permit_primary(caller->service, now);
	usec_t least = primary != NULL ? primary->response : USEC_NEVER;

	list_for_each (it, &caller->service->members) {
		const member_t *member = list_entry(it, member_t, in_service);

		if (caller->target == TARGET_ANY && member_is_usable(member) &&
		    member->response < least)
			least = member->response;
	}
	return least != USEC_NEVER ? least : 0;
}

/*
 * True if the caller will probably not be answered within its route's objective. While members
 * have more to do than they can, serving in order of arrival makes everybody late: all wait as
 * long as the queue is. Those that can still be served in time go first, the late ones get what
 * is left. With a third more than a primary can do for 4 s (test_pooler_load), 399 of 534
 * statements are served in time; in order of arrival 70.
 */
static bool is_late(const caller_t *caller, usec_t now)
{
	return !caller->pooler->config.serve_in_arrival_order &&
	       now + expected_response(caller, now) + CALLER_WAYS >=
		       caller->received_at + caller->objective;
}

/*
 * True if there is too little time left for the caller's statement to run. A write that is sent
 * all the same ends in doubt; refused now, it has certainly not run. Half of all answers take
 * longer than usual, so a write is given twice that time: under three times the load that a primary
 * can take (test_pooler_load) 64 of 910 writes were in doubt without this, now none. Whoever has
 * most of its time left is tried in any case, or a member that was slow once would never be seen to
 * be quick again.
 */
static bool is_too_late(const caller_t *caller, usec_t now)
{
	usec_t needed = expected_response(caller, now) * (caller_may_commit(caller) ? 2 : 1);

	return now - caller->received_at > caller->timeout / 2 && now + needed >= caller->deadline;
}

/* Serve one of the callers that are late, or are not; false if there is none that can be. */
static bool serve_one_of(service_t *service, bool late, usec_t now, usec_t *next)
{
	list_for_each (it, &service->waiting) {
		caller_t *caller = list_entry(it, caller_t, queue_node);

		if (is_late(caller, now) != late || is_too_late(caller, now))
			continue;
		if (caller->next_attempt_at > now) {
			*next = caller->next_attempt_at < *next ? caller->next_attempt_at : *next;
			continue;
		}
		if (place(caller, now))
			return true;
		if (caller->next_attempt_at > now && caller->next_attempt_at < *next)
			*next = caller->next_attempt_at;
		if (!may_borrow(caller, now) && caller->received_at + BORROW_AFTER < *next)
			*next = caller->received_at + BORROW_AFTER;
		if (caller->target == TARGET_ANY && !takes_any(caller, now) &&
		    caller->received_at + WAIT_FOR_WELL(caller->objective) < *next)
			*next = caller->received_at + WAIT_FOR_WELL(caller->objective);
	}
	return false;
}

static bool serve_one(service_t *service, usec_t now, usec_t *next)
{
	*next = USEC_NEVER;
	return serve_one_of(service, false, now, next) || serve_one_of(service, true, now, next);
}

void dispatch_run(service_t *service)
{
	usec_t now = now_of(service->pooler);
	usec_t next = USEC_NEVER;

	/* Serving one can end a connection, which calls back here. */
	if (service->dispatching) {
		service->dispatch_again = true;
		return;
	}
	service->dispatching = true;
	do {
		service->dispatch_again = false;
		while (!list_empty(&service->waiting) && serve_one(service, now, &next))
			;
	} while (service->dispatch_again);
	service->dispatching = false;
	arm_retry(service, next);
}

/* When the service's primary is expected back, USEC_NEVER if that can't be told. */
static usec_t expected_end(const service_t *service, usec_t now)
{
	const sync_t *sync = &service->pooler->sync;
	const roster_group_t *group;
	const member_t *primary;

	if (service->changing_since != USEC_NEVER)
		return service->change_end > now ? service->change_end : now + OVERDUE_CHANGE;
	if (sync->confirmed_at == USEC_NEVER && now < service->pooler->started + FIRST_READ_LONGEST)
		return now + FIRST_READ_USUAL;
	if (now >= permit_end(service->pooler))
		return now < sync->adopted_at + AGREE_USUAL ? sync->adopted_at + AGREE_USUAL
							    : USEC_NEVER;
	if (!permit_is_registered(service->pooler))
		return now + REGISTER_USUAL;
	group = roster_group(sync->roster, service->name);
	primary = group != NULL ? member_find(service->pooler, group->primary) : NULL;
	if (primary != NULL && primary->down)
		return primary->silent_since + DETECTION_USUAL + CHANGE_USUAL;
	return USEC_NEVER;
}

/* Refuse the caller if nothing can serve it before its deadline. */
static void refuse_hopeless(caller_t *caller, usec_t now)
{
	usec_t end = expected_end(caller->service, now);
	bool open;
	usec_t back;

	if (is_too_late(caller, now)) {
		caller_refuse(caller, CODE_BUSY, REASON_NO_CONNECTION, RETRY_LATE);
		return;
	}
	choose(caller, now, &open);
	if (open || (end != USEC_NEVER && end < caller->deadline))
		return;
	back = end != USEC_NEVER && end > now ? end - now : UNKNOWN_RETRY;
	if (back > RETRY_MOST)
		back = RETRY_MOST;
	caller_refuse(caller, CODE_BUSY, REASON_NO_MEMBER, back);
}

/* --- transactions that rest --- */

/* True if nothing but a connection to the member is missing. */
static bool lacks_connection(const member_t *member, const caller_t *caller, usec_t now)
{
	return member_has_room(member) && conn_find_idle(member, caller) == NULL &&
	       !can_open(member, caller, now);
}

/* The connection that has rested longest where the waiting caller may be served, or NULL. */
static conn_t *find_resting(const caller_t *caller, usec_t now)
{
	const member_t *primary = permit_primary(caller->service, now);
	conn_t *longest = NULL;

	list_for_each (it, &caller->service->members) {
		member_t *member = list_entry(it, member_t, in_service);
		conn_t *conn = member_longest_held(member);

		if (conn == NULL || now < conn->state_since + RESTS_AFTER ||
		    (caller->target == TARGET_PRIMARY && member != primary) ||
		    !lacks_connection(member, caller, now))
			continue;
		if (longest == NULL || conn->state_since < longest->state_since)
			longest = conn;
	}
	return longest;
}

/*
 * Clients that begin, write and rest could hold all connections that this proxy has to the primary,
 * and its other callers would not be served until the limit of idle transactions. One at a time is
 * enough, since one connection serves many statements; who rested is told that nothing is kept.
 */
static void end_resting(service_t *service, usec_t now)
{
	list_for_each (it, &service->waiting) {
		const caller_t *caller = list_entry(it, caller_t, queue_node);
		conn_t *conn;

		if (!may_borrow(caller, now))
			continue;
		conn = find_resting(caller, now);
		if (conn != NULL) {
			conn_reclaim(conn, "transaction rests while others wait");
			return;
		}
	}
}

void dispatch_tick(service_t *service, usec_t now)
{
	/* A process that was paused has not read what its callers have sent since. */
	if (now != service->pooler->resumed_at)
		end_resting(service, now);
	list_for_each_safe (it, &service->waiting)
		refuse_hopeless(list_entry(it, caller_t, queue_node), now);
}

void dispatch_enqueue(caller_t *caller)
{
	usec_t now = now_of(caller->pooler);
	service_t *service = caller->service;

	insert(service, caller);
	active_add_service(service);
	dispatch_run(service);
	if (caller->is_waiting)
		refuse_hopeless(caller, now);
}
