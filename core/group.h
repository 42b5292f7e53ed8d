/*
 * A database group as its watchers see it: what its members report and who the
 * primary is.
 */
#pragma once

#include "state.h"

group_t *group_find(const core_t *core, const char *name);
member_t *group_member(const group_t *group, const char *name);

/* The least number of members that is more than half. */
size_t group_majority(const group_t *group);

/* Members that answered lately, by our own clock. */
size_t group_count_responsive(const group_t *group);

/* Ask every member for a report now. */
void group_request_reports(group_t *group);

/* Set the timer of polls and of the primary's silence. */
void group_arm_timer(group_t *group);

/* Send an order; returns its id. */
uint64_t member_send_order(member_t *member, order_kind_t kind, uint64_t term,
			   const member_t *target);

/* Take a report that was asked for at sent. */
void group_apply_report(group_t *group, member_t *member, const report_t *report, usec_t sent);

/* Point a member at the group's primary unless it follows it already. */
void group_order_follow(member_t *member);

void group_order_done(core_t *core, uint64_t id, const order_event_t *event);
void group_control_down(core_t *core, const control_event_t *event);

/* The member takes no writes although we held it for the primary: ask everybody again. */
void group_on_not_primary(member_t *member);

/* Our own pause ended: all we knew of the members' health is void. */
void group_reset_health(group_t *group);

/* The platform says that the VMs at these addresses are leaving. */
void groups_apply_vms(core_t *core, const vm_t *vms, size_t count);

/* Usable for new work: in the current term and not leaving. */
bool member_is_current(const member_t *member);

/*
 * How many runs to have on a member at once: its slots, and as many more as are
 * on their way there or back while the slots work, so that none stands idle.
 */
int64_t member_limit(const member_t *member);
