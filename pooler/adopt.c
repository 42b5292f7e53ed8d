#include "adopt.h"

#include <string.h>

#include <talloc.h>

#include "active.h"
#include "ask.h"
#include "caller.h"
#include "conn.h"
#include "exchange.h"
#include "failover.h"
#include "quota.h"

#define LOG_MODULE "adopt"
#include "counter.h"
#include "log.h"

COUNTER_DEFINE(roster_revision, "roster_revision", COUNTER_GAUGE,
	       "Store revision of the roster in use.");

static void close_primary_connections(service_t *service)
{
	list_for_each (it, &service->members) {
		member_t *member = list_entry(it, member_t, in_service);

		list_for_each (jt, &member->conns) {
			conn_t *conn = list_entry(jt, conn_t, node);

			if (conn->caller == NULL || !caller_may_write(conn->caller))
				continue;
			/*
			 * A commit in flight may still be answered before all proxies have released
			 * the primary.
			 */
			if (conn->state == CONN_RUNNING && caller_may_commit(conn->caller))
				continue;
			conn->marked = true;
		}
		conn_close_marked(member, "the primary is being replaced");
	}
}

static void apply_group_change(pooler_t *pooler, const roster_group_change_t *change)
{
	roster_group_t *group = change->group;
	service_t *service = service_get(pooler, group->service);
	bool primary_changed =
		change->was_primary == NULL || strcmp(change->was_primary, group->primary) != 0;

	if (!primary_changed && change->was_changing == group->changing)
		return;
	LOG_EVENT(LOG_INFO, group->changing ? "primary is about to change" : "primary in use",
		  LOG_STR("service", group->service), LOG_STR("member", group->primary),
		  LOG_INT("roster", pooler->sync.roster->revision),
		  LOG_INT("fence", (int64_t)group->fencing_token));
	if (group->fencing_token != pooler->sync.own_token)
		pooler->sync.other_leader_wrote_at = now_of(pooler);
	if (primary_changed) {
		service->primary_since = now_of(pooler);
		service->primary_revision = pooler->sync.roster->revision;
	}
	service->changing_since = group->changing ? now_of(pooler) : USEC_NEVER;
	if (group->changing)
		active_add_service(service);
	service->change_expected_end = now_of(pooler) + CHANGE_USUAL_TIME;
	if (primary_changed || group->changing)
		close_primary_connections(service);
}

/* Agreements on the previous roster do not count for this one. */
static void clear_agreement(sync_t *sync)
{
	sync->agreed_at = 0;
	sync->peers_agreed_at = 0;
	list_for_each (it, &sync->reports)
		list_entry(it, peer_report_t, node)->agreed_at = 0;
}

static void record_nodes(pooler_t *pooler, const roster_diff_t *diff)
{
	for (size_t i = 0; i < diff->removed_node_count; i++)
		exchange_get_report(pooler, diff->removed_nodes[i])->listed_since = 0;
	for (size_t i = 0; i < diff->node_count; i++) {
		const roster_node_change_t *change = &diff->nodes[i];
		peer_report_t *report = exchange_get_report(pooler, change->node->name);

		if (report->listed_since == 0)
			report->listed_since = now_of(pooler);
		if (change->registered)
			report->registered_at = now_of(pooler);
	}
}

static void apply_groups(pooler_t *pooler, const roster_diff_t *diff)
{
	for (size_t i = 0; i < diff->removed_group_count; i++)
		service_set_group(service_get(pooler, diff->removed_groups[i]), NULL);
	/*
	 * All services get their group before any change is applied, since that may close a
	 * connection and so place another caller.
	 */
	for (size_t i = 0; i < diff->group_count; i++)
		service_set_group(service_get(pooler, diff->groups[i].group->service),
				  diff->groups[i].group);
	for (size_t i = 0; i < diff->group_count; i++)
		apply_group_change(pooler, &diff->groups[i]);
}

void adopt_era(sync_t *sync, int64_t revision)
{
	if (kv_era(revision) > sync->era)
		sync->era = kv_era(revision);
}

/* Applies the difference, and frees it. */
static void apply_diff(pooler_t *pooler, roster_diff_t *diff)
{
	sync_t *sync = &pooler->sync;

	sync->proxy_count = sync->roster->node_count;
	sync->adopted_at = now_of(pooler);
	sync->primary_changing = sync->roster->changing_count != 0;
	sync->groups_changed = diff->group_count != 0;
	counter_set(&roster_revision, sync->roster->revision);
	if (sync->roster->revision > sync->backup_revision)
		sync->backup_revision = 0;
	adopt_era(sync, sync->roster->revision);
	clear_agreement(sync);
	record_nodes(pooler, diff);
	quota_on_roster(pooler);
	apply_groups(pooler, diff);
	talloc_free(diff);
	/* Notifies at once the proxies that wait until we have released a primary. */
	if (ask_must_report_revision(pooler))
		sync->query_next = 0;
}

void adopt_roster(pooler_t *pooler, roster_t *newer)
{
	apply_diff(pooler, roster_update(pooler, pooler->sync.roster, newer));
	talloc_free(newer);
}

bool adopt_roster_text(pooler_t *pooler, const char *text, size_t len, int64_t revision)
{
	roster_diff_t *diff = roster_apply_text(pooler, pooler->sync.roster, text, len, revision);

	if (diff == NULL)
		return false;
	apply_diff(pooler, diff);
	return true;
}
