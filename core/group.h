/*
 * The state of a database group at a proxy that watches it: polls its members for
 * reports and derives from them the current term and primary.
 */
#pragma once

#include "state.h"

group_t *group_find(const core_t *core, const char *name);
member_t *group_find_member(const group_t *group, const char *name);

/* The least number of members that is more than half. */
size_t group_majority(const group_t *group);

/* Number of members that have answered a recent request for a report. */
size_t group_count_responsive(const group_t *group);

/* Request a report from every member now. */
void group_request_reports(group_t *group);

/* Arm the group's timer for the next poll or for the primary's silence, whichever is earlier. */
void group_arm_timer(group_t *group);

/* Send an order and return its id. target: the new primary, for ORDER_FOLLOW. */
uint64_t member_send_order(member_t *member, order_kind_t kind, uint64_t term,
			   const member_t *target);

/* Apply a report that was requested at sent. */
void group_apply_report(group_t *group, member_t *member, const report_t *report, usec_t sent);

/* Order a member to replicate from the group's primary unless it does already. */
void group_order_follow(member_t *member);

void group_order_done(core_t *core, uint64_t id, const order_event_t *event);
void group_control_down(core_t *core, const control_event_t *event);

/* The member is read-only although it counted as primary: request reports from all members. */
void group_on_not_primary(member_t *member);

/* After a pause of this process: discard what was observed about the members' health. */
void group_reset_health(group_t *group);

/* Mark members as leaving whose VM is leaving by the platform's list. */
void groups_apply_vms(core_t *core, const vm_t *vms, size_t count);

/* True if the member may get new runs: responsive, in the current term and not leaving. */
bool member_is_current(const member_t *member);

/*
 * The maximum of concurrent runs on a member: its slots, plus the runs that are in
 * flight on the network while the slots work, so that no slot is left idle.
 */
int64_t member_run_limit(const member_t *member);
