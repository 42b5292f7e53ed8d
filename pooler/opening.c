#include "opening.h"

#include "conn.h"
#include "conn_evict.h"
#include "member.h"
#include "opening_rule.h"
#include "permit.h"
#include "room.h"

#define LOG_MODULE "opening"
#include "counter.h"
#include "log.h"

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

/*
 * After this time without an answer of the member an opening no longer stands for a waiting caller,
 * since the answer may be lost. Openings take as long behind the full queue of a member, and a
 * caller still has time for another one within most objectives.
 */
#define OPENING_OVERDUE (150 * USEC_PER_MSEC)

static const char *const target_names[] = {"primary", "any"};

COUNTER_GRID_DEFINE(
	verdicts_total, "opening_verdicts_total", "verdict", opening_verdict_names, "target",
	target_names,
	"Decisions whether to open a connection for a waiting caller, by verdict and by "
	"the members that may serve it.");

/* True if the caller has waited long enough for a connection beyond this proxy's share. */
static bool can_exceed_share(const caller_t *caller, usec_t now)
{
	return now >= caller->received_at + EXCEED_SHARE_WAIT;
}

/*
 * True if the connection may be evicted: no caller of its own customer waits, or the other caller
 * takes precedence (waited). A connection that has served no statement yet was opened for a waiting
 * caller. If it were evicted too, connections would be opened and evicted in turn under load, and
 * no caller would be served.
 */
static bool is_evictable(const conn_t *conn, bool waited)
{
	return conn->customer_pool->waiting == 0 || (waited && conn->has_served);
}

/* True if the connection of another customer may be closed now for the caller. */
static bool may_give_way(const conn_t *conn, const caller_t *caller, usec_t now)
{
	/* The caller has waited so long that it takes precedence over the other's callers. */
	bool waited = now >= caller->received_at + EVICT_WAIT;

	return conn->state == CONN_IDLE && !conn->probe &&
	       conn->customer_pool != caller->customer_pool && is_evictable(conn, waited);
}

/* True if connections of other customers may be closed for callers of this proxy. */
static bool can_evict(const member_t *member, usec_t now)
{
	return now >= member->connect_not_before && room_conn_share(member) != 0;
}

static bool has_evictable(const member_t *member, const caller_t *caller, usec_t now)
{
	if (!can_evict(member, now))
		return false;
	list_for_each (it, &member->conns) {
		if (may_give_way(list_entry(it, conn_t, node), caller, now))
			return true;
	}
	return false;
}

static evict_candidate_t candidate_of(const conn_t *conn, usec_t now)
{
	return (evict_candidate_t){
		.rate = conn_use_rate(conn->use, now),
		.hold = conn->use->hold,
		.count = conn->use->count,
		.idle = now - conn->state_since,
	};
}

/* Returns the idle connection of another customer that gives way to the caller's, or NULL. */
static conn_t *choose_evictable(const member_t *member, const caller_t *caller, usec_t now)
{
	conn_t *best = NULL;
	evict_candidate_t best_candidate;

	if (!can_evict(member, now))
		return NULL;
	list_for_each (it, &member->conns) {
		conn_t *conn = list_entry(it, conn_t, node);
		evict_candidate_t candidate;

		if (!may_give_way(conn, caller, now))
			continue;
		candidate = candidate_of(conn, now);
		if (best != NULL && !conn_evict_before(&candidate, &best_candidate))
			continue;
		best = conn;
		best_candidate = candidate;
	}
	return best;
}

bool opening_is_possible(const member_t *member, const caller_t *caller, usec_t now)
{
	return room_can_open(member, now, can_exceed_share(caller, now)) ||
	       has_evictable(member, caller, now);
}

/*
 * Adds the connections to the member: those that are being opened for the caller's customer and,
 * if it is the member that is to serve the caller, the others that matter. An overdue opening still
 * takes slot time of a member that has replied since it began: it probably waits there. Those to a
 * member that has not replied were probably lost.
 */
static void count_conns(const member_t *member, const caller_t *caller, bool serves, usec_t now,
			opening_case_t *c)
{
	list_for_each (it, &member->conns) {
		const conn_t *conn = list_entry(it, conn_t, node);
		bool own = conn->customer_pool == caller->customer_pool;
		bool opening = conn->state == CONN_OPENING && !conn->probe;
		bool overdue = opening && now >= conn->state_since + OPENING_OVERDUE;

		c->own_opening += opening && !overdue && own;
		if (!serves)
			continue;
		c->opening += opening && !overdue;
		c->overdue += overdue && member->last_reply_at > conn->state_since;
		c->own_in_use +=
			own && (conn->state == CONN_PREPARING || conn->state == CONN_RUNNING);
	}
}

/* Decides whether a connection to the member is opened for the caller now. */
static opening_verdict_t decide(const member_t *member, const caller_t *caller, usec_t now)
{
	opening_case_t c = {
		.waited = now - caller->received_at,
		.objective = caller->objective,
		.time_left = caller->deadline > now ? caller->deadline - now : 0,
		.response_time = member->response_time,
		.own_waiting = caller->customer_pool->waiting,
		.running = room_used(member),
		.slots = room_slots(member),
	};

	list_for_each (it, &caller->service->members) {
		const member_t *other = list_entry(it, member_t, in_service);

		if (other == member || caller->target == TARGET_ANY)
			count_conns(other, caller, other == member, now, &c);
	}
	return opening_decide(&c);
}

/* Closes the connection of another customer for the caller's. */
static void evict(conn_t *conn, const caller_t *caller, usec_t now)
{
	evict_candidate_t candidate = candidate_of(conn, now);

	LOG_EVENT(LOG_DBG, "connection evicted", LOG_STR("member", conn->member->id),
		  LOG_STR("customer", conn->customer_pool->customer),
		  LOG_STR("for_customer", caller->customer_pool->customer),
		  LOG_SLICE("request", caller->statement.id.at, caller->statement.id.len),
		  LOG_INT("idle_ms", (int64_t)(candidate.idle / USEC_PER_MSEC)),
		  LOG_INT("of_customer", (int64_t)candidate.count),
		  LOG_INT("served", conn->has_served));
	conn->end = CONN_END_EVICTED;
	conn_close(conn, "evicted for another customer");
}

/*
 * Opens a connection for the caller's customer. If this proxy's share is used up, an evictable
 * connection is closed for it; without one, the new connection goes beyond the share.
 */
static void open_one(member_t *member, const caller_t *caller, usec_t now)
{
	conn_t *evicted;

	if (!room_can_open(member, now, false)) {
		evicted = choose_evictable(member, caller, now);
		if (evicted != NULL)
			evict(evicted, caller, now);
	}
	conn_open(member, caller->customer_pool);
}

void opening_open(member_t *member, const caller_t *caller, usec_t now)
{
	opening_verdict_t verdict = decide(member, caller, now);

	counter_grid_increment(&verdicts_total, verdict, caller->target == TARGET_ANY);
	if (verdict == OPENING_NOW)
		open_one(member, caller, now);
}

usec_t opening_next_change(const caller_t *caller, usec_t now)
{
	usec_t patience_ends = caller->received_at + opening_patience(caller->objective);
	usec_t overdue = caller->received_at + OPENING_OVERDUE;

	if (!can_exceed_share(caller, now))
		return caller->received_at + EXCEED_SHARE_WAIT;
	if (now < patience_ends)
		return patience_ends;
	return now < overdue ? overdue : USEC_NEVER;
}

/* --- idle transactions --- */

/* True if the member could serve the caller now, but has no connection free for it. */
static bool lacks_only_connection(const member_t *member, const caller_t *caller, usec_t now)
{
	return room_is_free(member) && conn_find_idle(member, caller) == NULL &&
	       !opening_is_possible(member, caller, now);
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
void opening_reclaim_idle_tx(service_t *service, usec_t now)
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
