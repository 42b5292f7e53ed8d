#include "room.h"

#include "home.h"

/*
 * Statements sent to a member per slot: one that runs, and one that is queued there when it ends.
 * With replicas of one zone stalled (./dev/measure pooler), statements answered within the
 * objective and statements with unknown outcome: without a limit 64.3% and 6.7%, with five per slot
 * 67.0% and 4.5%, with three 68.1% and 4.7%, with two 70.8% and 1.7%.
 */
#define STATEMENTS_PER_SLOT 2
/*
 * One proxy may have one in this many of a member's connections beyond its share. With an eighth, a
 * fleet of 12 proxies uses up all connections of a member that accepts 16, and after a loss of
 * power none is left for 3 s.
 */
#define BORROW_DIVISOR 16

/* Counts the proxies that have connections to the service's members in normal operation. */
static size_t count_sharing_proxies(service_t *service)
{
	return home_is_needed(service) ? home_count(service) : service->pooler->sync.proxy_count;
}

size_t room_conn_share(const member_t *member)
{
	size_t nodes = count_sharing_proxies(member->service);
	size_t shared = (size_t)member->service->max_connections / ROOM_SHARED_DIVISOR;

	/* Connections that a proxy opens because no home answers are closed once idle. */
	if (home_is_needed(member->service) &&
	    !home_holds_conns(member->service, now_of(member->pooler)))
		return 0;

	return nodes != 0 && shared > nodes ? shared / nodes : 1;
}

bool room_can_open(const member_t *member, usec_t now, bool borrow)
{
	size_t limit = room_conn_share(member);

	if (now < member->connect_not_before)
		return false;
	/*
	 * One connection is enough for a proxy that reaches no home, since many proxies may be in
	 * that state.
	 */
	if (limit == 0)
		return borrow && member->conn_count == 0;
	/* Demand differs between proxies, and idle transactions keep their connections. */
	if (borrow && now >= member->no_borrow_until)
		limit += (size_t)member->service->max_connections / BORROW_DIVISOR;
	return member->conn_count < limit;
}

unsigned room_part(const member_t *member)
{
	size_t proxies = count_sharing_proxies(member->service);
	size_t limit = (size_t)member->slots * STATEMENTS_PER_SLOT;

	/* Rounded up, so that each proxy may have one statement there. */
	return (unsigned)(proxies != 0 ? (limit + proxies - 1) / proxies : limit);
}

/* Loans are only made among homes: with few proxies each one has a part for itself. */
static unsigned available(const member_t *member, unsigned part, usec_t now)
{
	if (!member->pooler->config.lend_room || !home_is_needed(member->service))
		return part;
	if (member->loans == NULL)
		return loan_without_book(part, member->pooler->started, now);
	return loan_book_available(member->loans, part, now);
}

/*
 * A member runs its queued statements in order of arrival, whether or not they are late, and the
 * outcome of one whose time runs out is unknown. A statement that is queued here can be overtaken
 * by others, or refused with the assurance that it has not run. So a member gets, from all proxies
 * together, no more statements at a time than keep its slots busy.
 */
bool room_is_free(const member_t *member)
{
	unsigned part = room_part(member);

	return part == 0 || room_used(member) < available(member, part, now_of(member->pooler));
}

size_t room_used(const member_t *member)
{
	size_t load = 0;

	list_for_each (it, &member->conns) {
		const conn_t *conn = list_entry(it, conn_t, node);

		load += conn->state == CONN_PREPARING || conn->state == CONN_RUNNING ||
			conn->state == CONN_ORPHANED;
	}
	return load;
}

/* A home that lends keeps at least so much of a slot to count on. */
#define SLOTS_MIN 0.1

double room_slots(const member_t *member)
{
	usec_t now = now_of(member->pooler);
	size_t proxies = count_sharing_proxies(member->service);
	/* Without a limit of slots, the connections limit how many statements run at a time. */
	int64_t slots =
		member->slots != 0 ? member->slots : (int64_t)member->service->max_connections;
	double own = (double)slots / (double)(proxies != 0 ? proxies : 1);
	double lent = (double)room_lent(member, now) / STATEMENTS_PER_SLOT;
	double borrowed = (double)room_borrowed(member, now) / STATEMENTS_PER_SLOT;

	return (own > lent + SLOTS_MIN ? own - lent : SLOTS_MIN) + borrowed;
}

/* --- loans --- */

loan_book_t *room_loans(member_t *member)
{
	if (member->loans == NULL)
		member->loans = loan_book_create(member, member->pooler->started);
	return member->loans;
}

unsigned room_lent(const member_t *member, usec_t now)
{
	return member->loans != NULL ? loan_book_lent(member->loans, now) : 0;
}

unsigned room_borrowed(const member_t *member, usec_t now)
{
	return member->loans != NULL ? loan_book_taken(member->loans, now) : 0;
}

json_t *room_add_to_dump(json_t *dump, const member_t *member, usec_t now)
{
	json_object_set_new(dump, "part", json_integer(room_part(member)));
	json_object_set_new(dump, "lent", json_integer(room_lent(member, now)));
	json_object_set_new(dump, "borrowed", json_integer(room_borrowed(member, now)));
	return dump;
}
