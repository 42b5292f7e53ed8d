#include "confirm.h"

#include "exec.h"
#include "group.h"

/* Weight of a new value in the moving average, as a shift. */
#define AVERAGE_SHIFT 3
/* Part of the peak that decays with each confirmation, as a shift. */
#define PEAK_DECAY_SHIFT 6

/*
 * Within a term only the primary writes, and replicas receive its log in order. So
 * the primary holds every entry of its term that a replica holds.
 */
static bool holds_position(const request_t *request, const member_t *member)
{
	const group_t *group = request->group;
	bool is_primary = member == group->primary && member->report.sealed == group->term;

	if (member == request->run_member)
		return true;
	if (is_primary && request->position.term == group->term)
		return true;
	return member->has_report && member->report.log.term == request->position.term &&
	       member->report.log.lsn >= request->position.lsn;
}

/*
 * By a report requested after the run, the member had not sealed a later term. A
 * majority of such members rules out that another primary had superseded the one of
 * the run.
 */
static bool still_obeys_term(const request_t *request, const member_t *member)
{
	if (member == request->run_member)
		return request->result->after.sealed == request->position.term;
	return member->has_report && member->reported_as_of >= request->ran_at &&
	       member->report.sealed == request->position.term;
}

static bool is_confirmed(const request_t *request)
{
	const group_t *group = request->group;
	size_t holders = 0;
	size_t fresh = 0;

	for (size_t i = 0; i < group->member_count; i++) {
		holders += holds_position(request, &group->members[i]);
		fresh += still_obeys_term(request, &group->members[i]);
	}
	if (holders < group_majority(group))
		return false;
	return !request->linearizable || fresh >= group_majority(group);
}

static void update_average(usec_t *mean, usec_t value)
{
	*mean += (value >> AVERAGE_SHIFT) - (*mean >> AVERAGE_SHIFT);
}

/* Recent maximum of confirmation times: a delay that is usual for lagging replicas is no stall. */
static void update_peak(usec_t *peak, usec_t value)
{
	*peak -= *peak >> PEAK_DECAY_SHIFT;
	if (value > *peak)
		*peak = value;
}

static void finish_confirmed(request_t *request)
{
	group_t *group = request->group;
	usec_t took = group->core->now - request->ran_at;

	list_del(&request->node);
	update_average(&group->confirm_time, took);
	update_peak(&group->confirm_peak, took);
	group->takeover.stall_backoff = 0;
	exec_confirmed(request);
}

void confirm_add(request_t *request)
{
	group_t *group = request->group;

	request->state = REQUEST_CONFIRMING;
	list_add_tail(&group->confirming, &request->node);
	if (is_confirmed(request))
		finish_confirmed(request);
	else if (group->core->now >= request->deadline)
		exec_deadline(request); /* the timer of the deadline fired during the run */
	else
		group_request_reports(group);
}

void confirm_answer_ready(group_t *group)
{
	list_for_each_safe (it, &group->confirming) {
		request_t *request = list_entry(it, request_t, node);

		if (is_confirmed(request))
			finish_confirmed(request);
	}
}

void confirm_term_changed(group_t *group)
{
	list_for_each_safe (it, &group->confirming) {
		request_t *request = list_entry(it, request_t, node);

		if (request->position.term >= group->term)
			continue;
		list_del(&request->node);
		exec_superseded(request);
	}
}

usec_t confirm_oldest_wait(const group_t *group)
{
	const request_t *first;

	if (list_empty(&group->confirming))
		return 0;
	first = list_entry(group->confirming.next, request_t, node);
	return group->core->now - first->ran_at;
}
