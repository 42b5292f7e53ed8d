#include "restore.h"

#include <talloc.h>

#include "adopt.h"
#include "hold.h"
#include "permit.h"
#include "sync.h"

#define LOG_MODULE "restore"
#include "counter.h"
#include "log.h"

COUNTER_DEFINE(copies_total, "store_copies_total", COUNTER_SUM,
	       "Times that the store was seen to hold an older roster in a new era.");

bool restore_is_pending(const pooler_t *pooler)
{
	return pooler->sync.backup_revision != 0;
}

/*
 * No other proxy can have held the duty before the era ended: our lease had not run out when we saw
 * its end.
 */
static bool knows_groups(const pooler_t *pooler, usec_t now)
{
	const sync_t *sync = &pooler->sync;

	return sync->own_token != 0 && sync->own_token == sync->fencing_token &&
	       now < sync->lost_lease_until;
}

void restore_on_lease_ended(pooler_t *pooler)
{
	pooler->sync.lost_lease_until = pooler->sync.lease_until;
}

void restore_on_backup(pooler_t *pooler, roster_t *copy, int64_t revision)
{
	sync_t *sync = &pooler->sync;
	usec_t now = now_of(pooler);

	if (sync->backup_revision == revision) {
		talloc_free(copy);
		return;
	}
	counter_add(&copies_total, 1);
	sync->backup_revision = revision;
	if (hold_is_ours(pooler, now))
		sync->lost_lease_until = sync->lease_until;
	sync->groups_current = knows_groups(pooler, now);
	LOG_EVENT(LOG_WARN, "store holds a copy of the roster", LOG_INT("era", kv_era(revision)),
		  LOG_INT("written_in", copy->era), LOG_INT("copy", kv_revision_in_era(revision)),
		  LOG_INT("ours", kv_revision_in_era(sync->roster->revision)),
		  LOG_INT("groups_known", sync->groups_current));
	hold_lose(pooler, "the store came back from a copy");
	/* A process that has just started learns who the others are, in the order of that era. */
	if (sync->roster->revision == 0) {
		copy->revision = kv_make_revision(copy->era, kv_revision_in_era(revision));
		adopt_roster(pooler, copy);
	} else {
		talloc_free(copy);
	}
}

bool restore_must_yield(const pooler_t *pooler)
{
	return restore_is_pending(pooler) && !pooler->sync.groups_current;
}

static void mark_groups(const pooler_t *pooler, roster_t *roster)
{
	list_for_each (it, &pooler->sync.roster->groups) {
		const roster_group_t *group = list_entry(it, roster_group_t, node);

		/* No holder has this token, so the change counts as an earlier one's. */
		roster_put_group(roster, group->service, group->primary, true, group->term,
				 (uint64_t)pooler->sync.backup_revision);
	}
}

static void on_written(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;
	sync_t *sync = &pooler->sync;

	sync->rewriting_roster = false;
	LOG_EVENT(LOG_WARN, "roster written again", LOG_INT("status", result->status),
		  LOG_INT("era", kv_era(sync->roster->revision)),
		  LOG_INT("groups_known", sync->groups_current),
		  LOG_INT("proxies", (int64_t)sync->proxy_count));
}

void restore_write_roster(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	roster_t *roster;

	if (!restore_is_pending(pooler) || sync->rewriting_roster || !hold_is_ours(pooler, now))
		return;
	sync->rewriting_roster = true;
	roster = roster_copy(NULL, sync->roster);
	if (!permit_is_registered(pooler))
		roster_put_node(roster, pooler->config.name, pooler->config.address,
				pooler->config.zone, pooler->config.incarnation)
			->capacity = pooler->config.capacity;
	if (!sync->groups_current)
		mark_groups(pooler, roster);
	sync_commit_roster(pooler, roster, on_written, pooler);
	talloc_free(roster);
}
