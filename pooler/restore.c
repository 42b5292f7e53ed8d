#include "restore.h"

#include <talloc.h>

#include "adopt.h"
#include "leader.h"
#include "permit.h"
#include "sync.h"

#define LOG_MODULE "restore"
#include "counter.h"
#include "log.h"

COUNTER_DEFINE(backups_total, "store_copies_total", COUNTER_SUM,
	       "Times that the store held an older roster in a new era.");

bool restore_is_pending(const pooler_t *pooler)
{
	return pooler->sync.backup_revision != 0;
}

/*
 * True if this proxy holds the newest groups: it was the leader, and no other proxy can have become
 * the leader before the era ended, since our lease had not run out when we noticed the era's end.
 */
static bool groups_are_current(const pooler_t *pooler, usec_t now)
{
	const sync_t *sync = &pooler->sync;

	return sync->own_token != 0 && sync->own_token == sync->fencing_token &&
	       now < sync->lost_lease_until;
}

void restore_on_lease_ended(pooler_t *pooler)
{
	pooler->sync.lost_lease_until = pooler->sync.lease_until;
}

void restore_on_backup(pooler_t *pooler, roster_t *backup, int64_t revision)
{
	sync_t *sync = &pooler->sync;
	usec_t now = now_of(pooler);

	if (sync->backup_revision == revision) {
		talloc_free(backup);
		return;
	}
	counter_add(&backups_total, 1);
	sync->backup_revision = revision;
	if (leader_is_self(pooler, now))
		sync->lost_lease_until = sync->lease_until;
	sync->groups_current = groups_are_current(pooler, now);
	LOG_EVENT(LOG_WARN, "store was restored from a backup with an older roster",
		  LOG_INT("era", kv_era(revision)), LOG_INT("written_in", backup->era),
		  LOG_INT("copy", kv_revision_in_era(revision)),
		  LOG_INT("ours", kv_revision_in_era(sync->roster->revision)),
		  LOG_INT("groups_known", sync->groups_current));
	leader_step_down(pooler, "the store was restored from a backup");
	/*
	 * A process that has just started has no roster. It adopts the backup, which lists the
	 * other proxies, under a revision of the backup's era.
	 */
	if (sync->roster->revision == 0) {
		backup->revision = kv_make_revision(backup->era, kv_revision_in_era(revision));
		adopt_roster(pooler, backup);
	} else {
		talloc_free(backup);
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

		/*
		 * No leader has this fencing token, so the change counts as one of an earlier
		 * leader.
		 */
		roster_put_group(roster, group->service, group->primary, true, group->term,
				 (uint64_t)pooler->sync.backup_revision);
	}
}

static void on_written(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;
	sync_t *sync = &pooler->sync;

	sync->rewriting_roster = false;
	LOG_EVENT(LOG_WARN, "roster written in the new era", LOG_INT("status", result->status),
		  LOG_INT("era", kv_era(sync->roster->revision)),
		  LOG_INT("groups_known", sync->groups_current),
		  LOG_INT("proxies", (int64_t)sync->proxy_count));
}

void restore_write_roster(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	roster_t *roster;

	if (!restore_is_pending(pooler) || sync->rewriting_roster || !leader_is_self(pooler, now))
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
