#include "group.h"

#include <string.h>

#include <talloc.h>

#include "confirm.h"
#include "exec.h"
#include "pool.h"
#include "samples.h"
#include "takeover.h"

/* A member is responsive if it answered within this many poll intervals. */
#define RESPONSIVE_POLLS 3
/* Lower bound for the time that a slot works on a run, in member_run_limit(). */
#define MIN_BUSY_TIME USEC_PER_MSEC
/* Interval after a refused connection; a second refusal shows that the process has ended. */
#define UNREACHABLE_RECHECK (10 * USEC_PER_MSEC)
#define FOLLOW_RETRY	    (300 * USEC_PER_MSEC)

static void on_timer(run_timer_t *timer, usec_t now);

group_t *group_find(const core_t *core, const char *name)
{
	group_t *group;

	HASH_FIND_STR(core->groups, name, group);
	return group;
}

member_t *group_find_member(const group_t *group, const char *name)
{
	for (size_t i = 0; i < group->member_count; i++) {
		if (strcmp(group->members[i].spec.name, name) == 0)
			return &group->members[i];
	}
	return NULL;
}

size_t group_majority(const group_t *group)
{
	return group->member_count / 2 + 1;
}

static usec_t poll_interval(const group_t *group)
{
	const core_timings_t *timings = &group->core->config.timings;

	return fleet_acting_rank(&group->ranks) == 0 ? timings->poll_interval
						     : timings->standby_poll_interval;
}

static bool is_responsive(const member_t *member)
{
	const core_t *core = member->group->core;
	usec_t within = RESPONSIVE_POLLS * poll_interval(member->group) +
			core->config.timings.order_timeout;

	return member->has_report && core->now - member->reported_as_of < within;
}

size_t group_count_responsive(const group_t *group)
{
	size_t n = 0;

	for (size_t i = 0; i < group->member_count; i++)
		n += is_responsive(&group->members[i]);
	return n;
}

bool member_is_current(const member_t *member)
{
	return member->has_report && !member->leaving &&
	       member->report.sealed == member->group->term &&
	       member->report.log.term == member->group->term && is_responsive(member);
}

int64_t member_run_limit(const member_t *member)
{
	const group_t *group = member->group;
	usec_t rtt = member->rtt.smoothed;
	usec_t run = group->service_time[ROW_READ];
	usec_t busy = run > rtt + MIN_BUSY_TIME ? run - rtt : MIN_BUSY_TIME;
	int64_t extra = (int64_t)((usec_t)member->spec.slots * rtt / busy);

	return member->spec.slots + (extra < member->spec.slots ? extra : member->spec.slots);
}

uint64_t member_send_order(member_t *member, order_kind_t kind, uint64_t term,
			   const member_t *target)
{
	core_t *core = member->group->core;
	action_t *action = core_add_action(core, ACTION_ORDER);

	action->id = core_next_id(core);
	action->order.group = talloc_strdup(action, member->group->name);
	action->order.member = talloc_strdup(action, member->spec.name);
	action->order.address = talloc_strdup(action, member->spec.address);
	action->order.kind = kind;
	action->order.term = term;
	action->order.timeout = core->config.timings.order_timeout;
	if (target != NULL)
		action->order.target = talloc_strdup(action, target->spec.address);
	return action->id;
}

static void request_report(member_t *member)
{
	core_t *core = member->group->core;

	if (member->report_order != 0)
		return;
	member->report_order = member_send_order(member, ORDER_REPORT, 0, NULL);
	member->report_sent = core->now;
	member->next_report = core->now + poll_interval(member->group);
}

void group_request_reports(group_t *group)
{
	for (size_t i = 0; i < group->member_count; i++)
		request_report(&group->members[i]);
}

/* While answers wait for a majority, request reports more often than poll_interval. */
static void hasten_next_report(member_t *member)
{
	group_t *group = member->group;
	usec_t soon = group->core->now + group->core->config.timings.confirm_poll_interval;

	/* A report of the primary is not needed: the primary holds all that it ran. */
	if (member == group->primary)
		return;
	if (!list_empty(&group->confirming) && member->next_report > soon)
		member->next_report = soon;
}

void group_arm_timer(group_t *group)
{
	core_t *core = group->core;
	usec_t at = core->now + poll_interval(group);
	usec_t due;

	for (size_t i = 0; i < group->member_count; i++) {
		if (group->members[i].report_order == 0 && group->members[i].next_report < at)
			at = group->members[i].next_report;
	}
	due = takeover_silence_deadline(group);
	if (due > core->now && due < at)
		at = due;
	timers_arm(&core->timers, &group->timer, at, on_timer);
}

static void on_timer(run_timer_t *timer, usec_t now)
{
	group_t *group = list_entry(timer, group_t, timer);

	for (size_t i = 0; i < group->member_count; i++) {
		if (group->members[i].next_report <= now)
			request_report(&group->members[i]);
	}
	for (size_t i = 0; i < group->member_count; i++) {
		if (!is_responsive(&group->members[i]))
			pool_close_stuck_reads(&group->members[i]);
	}
	takeover_start_if_due(group);
	pool_close_idle(group);
	exec_dispatch(group);
	group_arm_timer(group);
}

static void set_primary(group_t *group, member_t *primary)
{
	core_t *core = group->core;

	if (group->primary == primary)
		return;
	group->primary = primary;
	group->primary_lost_at = primary == NULL ? core->now : 0;
	for (size_t i = 0; primary != NULL && i < group->member_count; i++) {
		if (&group->members[i] != primary)
			pool_close_superseded(&group->members[i]);
	}
	if (primary != NULL)
		core_log(core, false, "primary group=%s member=%s term=%llu", group->name,
			 primary->spec.name, (unsigned long long)group->term);
	else
		core_log(core, true, "no primary group=%s term=%llu", group->name,
			 (unsigned long long)group->term);
}

static void raise_term(group_t *group, uint64_t term)
{
	if (term <= group->term)
		return;
	group->term = term;
	samples_clear(group);
	set_primary(group, NULL);
	confirm_term_changed(group);
}

/*
 * The order is not repeated to a member that has obeyed it in this term, even if the
 * member lags: it would restart the transfer of the log and might never catch up.
 */
void group_order_follow(member_t *member)
{
	group_t *group = member->group;
	core_t *core = group->core;
	bool obeyed = member->followed_term == group->term && member->report.sealed == group->term;

	if (group->primary == NULL || group->primary == member || obeyed)
		return;
	if (core->now - member->follow_sent < FOLLOW_RETRY)
		return;
	member->follow_sent = core->now;
	member->follow_order = member_send_order(member, ORDER_FOLLOW, group->term, group->primary);
}

/*
 * A member that is behind in term, or still counts itself primary, may not replicate
 * from the primary yet.
 */
static void order_follow_if_behind(member_t *member)
{
	const group_t *group = member->group;
	const report_t *report = &member->report;

	if (report->log.term == group->term && report->sealed == group->term)
		return;
	if (fleet_acting_rank(&group->ranks) == 0)
		group_order_follow(member);
}

void group_apply_report(group_t *group, member_t *member, const report_t *report, usec_t sent)
{
	/* Answers can arrive out of order: ignore one to an earlier request than the last. */
	if (member->has_report && sent < member->reported_as_of)
		return;
	member->has_report = true;
	member->report = *report;
	member->reported_as_of = sent;
	member->misses = 0;
	member->unreachable = 0;
	raise_term(group, report->sealed);
	if (report->primary && report->sealed == group->term) {
		set_primary(group, member);
		samples_add(group, report, sent);
	} else if (group->primary == member) {
		set_primary(group, NULL);
	}
	order_follow_if_behind(member);
	samples_confirm(group);
	samples_update_members(group);
}

static void handle_report_done(group_t *group, member_t *member, const order_event_t *event)
{
	usec_t sent = member->report_sent;

	member->report_order = 0;
	if (event->status == ORDER_OK) {
		rtt_add(&member->rtt, group->core->now - sent);
		group_apply_report(group, member, &event->report, sent);
	} else {
		member->misses++;
		if (event->status == ORDER_UNREACHABLE) {
			member->unreachable++;
			member->next_report = group->core->now + UNREACHABLE_RECHECK;
		}
	}
	confirm_answer_ready(group);
	hasten_next_report(member);
	takeover_start_if_due(group);
	exec_dispatch(group);
	group_arm_timer(group);
}

static void handle_follow_done(member_t *member, const order_event_t *event)
{
	if (event->status == ORDER_OK)
		member->followed_term = event->report.sealed;
}

void group_order_done(core_t *core, uint64_t id, const order_event_t *event)
{
	group_t *group = group_find(core, event->group);
	member_t *member = group != NULL ? group_find_member(group, event->member) : NULL;

	if (member == NULL)
		return;
	if (id == member->report_order)
		handle_report_done(group, member, event);
	else if (id == member->follow_order)
		handle_follow_done(member, event);
	else
		takeover_order_done(group, member, id, event);
}

void group_control_down(core_t *core, const control_event_t *event)
{
	group_t *group = group_find(core, event->group);
	member_t *member = group != NULL ? group_find_member(group, event->member) : NULL;

	if (member == NULL)
		return;
	/* Request a report at once: if the process has ended, the new connection is refused. */
	request_report(member);
	group_arm_timer(group);
}

void group_on_not_primary(member_t *member)
{
	group_t *group = member->group;

	if (group->primary != member)
		return;
	set_primary(group, NULL);
	group_request_reports(group);
	group_arm_timer(group);
}

void group_reset_health(group_t *group)
{
	for (size_t i = 0; i < group->member_count; i++) {
		group->members[i].misses = 0;
		group->members[i].unreachable = 0;
		group->members[i].has_report = false;
		group->members[i].data_as_of = 0;
		group->members[i].reported_as_of = group->core->now;
		group->members[i].next_report = group->core->now;
	}
	samples_clear(group);
	if (group->primary_lost_at != 0)
		group->primary_lost_at = group->core->now;
}

void groups_apply_vms(core_t *core, const vm_t *vms, size_t count)
{
	group_t *group;
	group_t *next;

	HASH_ITER (hh, core->groups, group, next) {
		for (size_t i = 0; i < group->member_count; i++) {
			member_t *member = &group->members[i];

			for (size_t v = 0; v < count; v++) {
				if (vms[v].backend && vms[v].leaving &&
				    strcmp(vms[v].address, member->spec.address) == 0)
					member->leaving = true;
			}
		}
	}
}
