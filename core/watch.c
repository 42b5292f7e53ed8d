#include "watch.h"

#include <string.h>

#include <talloc.h>

#include "group.h"
#include "placement.h"
#include "pool.h"
#include "retry.h"
#include "samples.h"

/* Start values of the moving averages of a new group. */
#define INITIAL_SERVICE_TIME (5 * USEC_PER_MSEC)
#define INITIAL_CONFIRM_TIME (5 * USEC_PER_MSEC)

static void copy_member_spec(member_t *member, const member_spec_t *spec)
{
	member->spec = *spec;
	member->spec.name = talloc_strdup(member->group->members, spec->name);
	member->spec.zone = talloc_strdup(member->group->members, spec->zone);
	member->spec.address = talloc_strdup(member->group->members, spec->address);
}

static void start_watching(group_t *group, const group_spec_t *spec)
{
	core_t *core = group->core;

	group->members = talloc_zero_array(group, member_t, spec->member_count);
	group->member_count = spec->member_count;
	group->samples = talloc_zero_array(group->members, sample_t, GROUP_SAMPLES);
	group->primary_lost_at = core->now;
	group->watched_since = core->now;
	for (size_t i = 0; i < spec->member_count; i++) {
		member_t *member = &group->members[i];

		member->group = group;
		member->reported_as_of = core->now;
		list_init(&member->pools);
		copy_member_spec(member, &spec->members[i]);
	}
	group_request_reports(group);
	group_arm_timer(group);
}

static void stop_watching(group_t *group)
{
	if (group->members == NULL)
		return;
	timers_cancel(&group->core->timers, &group->timer);
	timers_cancel(&group->core->timers, &group->takeover.timer);
	group->takeover.state = TAKEOVER_NONE;
	pool_close_all(group);
	talloc_free(group->members);
	group->members = NULL;
	group->samples = NULL;
	group->member_count = 0;
	group->primary = NULL;
	group->term = 0;
	samples_clear(group);
}

static group_t *group_create(core_t *core, const char *name)
{
	group_t *group = talloc_zero(core, group_t);

	group->name = talloc_strdup(group, name);
	group->core = core;
	group->rank = -1;
	group->service_time[ROW_READ] = INITIAL_SERVICE_TIME;
	group->service_time[ROW_WRITE] = INITIAL_SERVICE_TIME;
	group->confirm_time = INITIAL_CONFIRM_TIME;
	retry_budget_init(group);
	list_init(&group->queue);
	list_init(&group->confirming);
	HASH_ADD_KEYPTR(hh, core->groups, group->name, strlen(group->name), group);
	return group;
}

static bool has_runs(const group_t *group)
{
	if (!list_empty(&group->confirming))
		return true;
	for (size_t i = 0; i < group->member_count; i++) {
		if (member_has_busy_conn(&group->members[i]))
			return true;
	}
	return false;
}

static bool has_same_members(const group_t *group, const group_spec_t *spec)
{
	if (group->member_count != spec->member_count)
		return false;
	for (size_t i = 0; i < spec->member_count; i++) {
		const member_spec_t *have = &group->members[i].spec;

		if (strcmp(have->name, spec->members[i].name) != 0 ||
		    strcmp(have->address, spec->members[i].address) != 0)
			return false;
	}
	return true;
}

static void update_member_limits(group_t *group, const group_spec_t *spec)
{
	for (size_t i = 0; i < spec->member_count; i++) {
		group->members[i].spec.slots = spec->members[i].slots;
		group->members[i].spec.connections = spec->members[i].connections;
	}
}

/*
 * Stop watching once nothing runs on the members. Until then members_changing holds
 * back new runs, so that a new list of members takes effect in a busy group too.
 */
static void stop_watching_if_unused(group_t *group)
{
	bool moved = group->rank < 0;

	group->members_changing = !moved;
	if (has_runs(group) || (moved && !list_empty(&group->queue)))
		return;
	stop_watching(group);
	group->members_changing = false;
}

static void refresh_group(group_t *group, const table_item_t *item)
{
	core_t *core = group->core;

	fleet_rank(core->fleet, group->name, &group->ranks);
	group->rank = core->placement->rank(core, &group->ranks);
	if (group->members != NULL) {
		if (item->group == NULL)
			group->rank = -1;
		if (group->rank >= 0 && has_same_members(group, item->group))
			update_member_limits(group, item->group);
		else
			stop_watching_if_unused(group);
	}
	if (group->members == NULL && group->rank >= 0 && item->group != NULL)
		start_watching(group, item->group);
	core->refresh_pending |=
		group->members != NULL && (group->members_changing || group->rank < 0);
}

void watch_update_groups(core_t *core)
{
	table_item_t *item;
	table_item_t *next;

	core->refresh_pending = false;
	HASH_ITER (hh, core->table->items, item, next) {
		const char *name = item->entry.key + strlen("group/");
		group_t *group;

		if (strncmp(item->entry.key, "group/", strlen("group/")) != 0)
			continue;
		group = group_find(core, name);
		if (group == NULL && item->group != NULL)
			group = group_create(core, name);
		if (group != NULL)
			refresh_group(group, item);
	}
	core->fleet_epoch = core->fleet->epoch;
}
