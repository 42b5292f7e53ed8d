#include "restore.h"

#include <talloc.h>

#include "adopt.h"
#include "leader.h"
#include "permit.h"
#include "sync.h"

#define LOG_MODULE "restore"
#include "counter.h"
#include "log.h"

COUNTER_DEFINE(copies_total, "store_copies_total", COUNTER_SUM,
	       "Times that the store was seen to hold an older roster in a new era.");

bool restore_is_due(const pooler_t *pooler)
{
	return pooler->sync.restored != 0;
}

/*
 * No other proxy can have held the duty before the era ended: our lease had not run out when we saw
 * its end.
 */
static bool knows_groups(const pooler_t *pooler, usec_t now)
{
	const sync_t *sync = &pooler->sync;

	return sync->own_fence != 0 && sync->own_fence == sync->fence && now < sync->led_until;
}

void restore_on_lease_ended(pooler_t *pooler)
{
	pooler->sync.led_until = pooler->sync.hold_until;
}

void restore_on_copy(pooler_t *pooler, roster_t *copy, int64_t revision)
{
	sync_t *sync = &pooler->sync;
	usec_t now = now_of(pooler);

	if (sync->restored == revision) {
		talloc_free(copy);
		return;
	}
	counter_add(&copies_total, 1);
	sync->restored = revision;
	if (leader_is_self(pooler, now))
		sync->led_until = sync->hold_until;
	sync->groups_known = knows_groups(pooler, now);
	LOG_EVENT(LOG_WARN, "store holds a copy of the roster", LOG_INT("era", kv_era(revision)),
		  LOG_INT("written_in", copy->era), LOG_INT("copy", kv_number(revision)),
		  LOG_INT("ours", kv_number(sync->roster->revision)),
		  LOG_INT("groups_known", sync->groups_known));
	leader_step_down(pooler, "the store came back from a copy");
	/* A process that has just started learns who the others are, in the order of that era. */
	if (sync->roster->revision == 0) {
		copy->revision = kv_in_era(copy->era, kv_number(revision));
		adopt_roster(pooler, copy);
	} else {
		talloc_free(copy);
	}
}

bool restore_yields(const pooler_t *pooler)
{
	return restore_is_due(pooler) && !pooler->sync.groups_known;
}

static void mark_groups(const pooler_t *pooler, roster_t *roster)
{
	list_for_each (it, &pooler->sync.roster->groups) {
		const roster_group_t *group = list_entry(it, roster_group_t, node);

		/* No holder has this token, so the change counts as an earlier one's. */
		roster_put_group(roster, group->service, group->primary, true, group->term,
				 (uint64_t)pooler->sync.restored);
	}
}

static void on_written(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;
	sync_t *sync = &pooler->sync;

	sync->restoring = false;
	LOG_EVENT(LOG_WARN, "roster written again", LOG_INT("status", result->status),
		  LOG_INT("era", kv_era(sync->roster->revision)),
		  LOG_INT("groups_known", sync->groups_known),
		  LOG_INT("proxies", (int64_t)sync->proxies));
}

void restore_run(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	roster_t *roster;

	if (!restore_is_due(pooler) || sync->restoring || !leader_is_self(pooler, now))
		return;
	sync->restoring = true;
	roster = roster_copy(NULL, sync->roster);
	if (!permit_is_registered(pooler))
		roster_put_node(roster, pooler->config.name, pooler->config.address,
				pooler->config.zone, pooler->config.incarnation)
			->capacity = pooler->config.capacity;
	if (!sync->groups_known)
		mark_groups(pooler, roster);
	sync_commit(pooler, roster, on_written, pooler);
	talloc_free(roster);
}
