#include "expect.h"

#include "member.h"
#include "overload.h"
#include "permit.h"
#include "room.h"

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

void expect_record(const caller_t *caller, const conn_t *conn)
{
	usec_t now = now_of(caller->pooler);
	usec_t took = now - conn->sent_at;
	usec_t work = work_of_response(conn->member, took);
	route_estimate_t *estimate = estimate_of(caller);

	estimate_add(&estimate->response, took, now);
	estimate_add(&estimate->work, work, now);
	usage_add(&caller->customer_pool->usage, work, now);
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

estimate_t expect_response(const caller_t *caller, usec_t now)
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

usec_t expect_work(const caller_t *caller, usec_t now)
{
	const route_estimate_t *estimate = estimate_of(caller);

	return estimate->work.updated_at != 0 ? estimate_at(&estimate->work, now).mean
					      : expect_response(caller, now).mean;
}

usec_t expect_answer_within(const caller_t *caller, usec_t now)
{
	estimate_t response = expect_response(caller, now);

	return EXPECT_CALLER_ROUND_TRIP +
	       overload_response_bound(response.mean, response.deviation, false);
}
