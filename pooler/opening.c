#include "opening.h"

#include "conn.h"
#include "member.h"
#include "permit.h"
#include "room.h"

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

/*
 * Returns the connection of another customer that has been idle for longest and may be closed to
 * make room for one of the caller's customer, or NULL. waited: the caller has waited so long that
 * it takes precedence over waiting callers of that other customer.
 */
static conn_t *find_evictable_conn(const member_t *member, const caller_t *caller, bool waited)
{
	conn_t *longest = NULL;

	list_for_each (it, &member->conns) {
		conn_t *conn = list_entry(it, conn_t, node);

		if (conn->state != CONN_IDLE || conn->probe ||
		    conn->customer_pool == caller->customer_pool || !is_evictable(conn, waited))
			continue;
		if (longest == NULL || conn->state_since < longest->state_since)
			longest = conn;
	}
	return longest;
}

/* Returns another customer's idle connection that may be closed for the caller, or NULL. */
static conn_t *find_evictable(const member_t *member, const caller_t *caller, usec_t now)
{
	if (now < member->connect_not_before || room_conn_share(member) == 0)
		return NULL;
	return find_evictable_conn(member, caller, now >= caller->received_at + EVICT_WAIT);
}

bool opening_is_possible(const member_t *member, const caller_t *caller, usec_t now)
{
	return room_can_open(member, now, can_exceed_share(caller, now)) ||
	       find_evictable(member, caller, now) != NULL;
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

/*
 * Opens a connection for the caller's customer. If this proxy's share is used up, an evictable
 * connection is closed for it; without one, the new connection goes beyond the share.
 */
static void open_one(member_t *member, const caller_t *caller, usec_t now)
{
	conn_t *evicted;

	if (!room_can_open(member, now, false)) {
		evicted = find_evictable(member, caller, now);
		if (evicted != NULL)
			conn_close(evicted, "evicted for another customer");
	}
	conn_open(member, caller->customer_pool);
}

void opening_open(member_t *member, const caller_t *caller, usec_t now)
{
	if (count_opening(member, caller->customer_pool) < caller->customer_pool->waiting)
		open_one(member, caller, now);
}

usec_t opening_next_change(const caller_t *caller, usec_t now)
{
	return can_exceed_share(caller, now) ? USEC_NEVER : caller->received_at + EXCEED_SHARE_WAIT;
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
