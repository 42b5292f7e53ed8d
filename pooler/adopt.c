#include "adopt.h"

#include <string.h>

#include <talloc.h>

#include "active.h"
#include "ask.h"
#include "caller.h"
#include "conn.h"
#include "duty.h"
#include "exchange.h"
#include "quota.h"

#define LOG_MODULE "adopt"
#include "counter.h"
#include "log.h"

COUNTER_DEFINE(roster_revision, "roster_revision", COUNTER_GAUGE,
	       "Store revision of the roster in use.");

static void revoke(service_t *service)
{
	list_for_each (it, &service->members) {
		member_t *member = list_entry(it, member_t, in_service);

		list_for_each_safe (jt, &member->conns) {
			conn_t *conn = list_entry(jt, conn_t, node);

			if (conn->caller == NULL || !caller_may_write(conn->caller))
				continue;
			/* A commit under way may still be answered before all have let go. */
			if (conn->state == CONN_RUNNING && caller_may_commit(conn->caller))
				continue;
			conn_close(conn, "the primary is being replaced");
		}
	}
}

static void on_group(pooler_t *pooler, const roster_group_change_t *change)
{
	roster_group_t *is = change->group;
	service_t *service = service_get(pooler, is->service);
	bool moved = change->was_primary == NULL || strcmp(change->was_primary, is->primary) != 0;

	if (!moved && change->was_changing == is->changing)
		return;
	LOG_EVENT(LOG_INFO, is->changing ? "primary is about to change" : "primary in use",
		  LOG_STR("service", is->service), LOG_STR("member", is->primary),
		  LOG_INT("roster", pooler->sync.roster->revision),
		  LOG_INT("fence", (int64_t)is->fence));
	if (is->fence != pooler->sync.own_fence)
		pooler->sync.foreign_change = now_of(pooler);
	if (moved) {
		service->settled_at = now_of(pooler);
		service->settled_revision = pooler->sync.roster->revision;
	}
	service->changing_since = is->changing ? now_of(pooler) : USEC_NEVER;
	if (is->changing)
		active_add_service(service);
	service->change_end = now_of(pooler) + CHANGE_USUAL;
	if (moved || is->changing)
		revoke(service);
}

/* Who agreed with the roster before says nothing of this one. */
static void forget_agreement(sync_t *sync)
{
	sync->agreed_at = 0;
	sync->agreed_told = 0;
	list_for_each (it, &sync->reports)
		list_entry(it, peer_report_t, node)->agreed_at = 0;
}

static void note_listed(pooler_t *pooler, const roster_diff_t *diff)
{
	for (size_t i = 0; i < diff->removed_node_count; i++)
		exchange_get_report(pooler, diff->removed_nodes[i])->listed_since = 0;
	for (size_t i = 0; i < diff->node_count; i++) {
		const roster_node_change_t *change = &diff->nodes[i];
		peer_report_t *report = exchange_get_report(pooler, change->node->name);

		if (report->listed_since == 0)
			report->listed_since = now_of(pooler);
		if (change->entered)
			report->entered_at = now_of(pooler);
	}
}

static void note_groups(pooler_t *pooler, const roster_diff_t *diff)
{
	for (size_t i = 0; i < diff->removed_group_count; i++)
		service_set_group(service_get(pooler, diff->removed_groups[i]), NULL);
	/* All of them first: a connection that is closed may have another caller placed. */
	for (size_t i = 0; i < diff->group_count; i++)
		service_set_group(service_get(pooler, diff->groups[i].group->service),
				  diff->groups[i].group);
	for (size_t i = 0; i < diff->group_count; i++)
		on_group(pooler, &diff->groups[i]);
}

void adopt_era(sync_t *sync, int64_t revision)
{
	if (kv_era(revision) > sync->era)
		sync->era = kv_era(revision);
}

/* Takes the difference over, and frees it. */
static void on_adopted(pooler_t *pooler, roster_diff_t *diff)
{
	sync_t *sync = &pooler->sync;

	sync->proxies = sync->roster->node_count;
	sync->adopted_at = now_of(pooler);
	sync->changing = sync->roster->changing_count != 0;
	sync->groups_changed = diff->group_count != 0;
	counter_set(&roster_revision, sync->roster->revision);
	if (sync->roster->revision > sync->restored)
		sync->restored = 0;
	adopt_era(sync, sync->roster->revision);
	forget_agreement(sync);
	note_listed(pooler, diff);
	quota_on_roster(pooler);
	note_groups(pooler, diff);
	talloc_free(diff);
	/* Whoever waits for us to let go hears it at once. */
	if (ask_tells_revision(pooler))
		sync->ask_next = 0;
}

void adopt_roster(pooler_t *pooler, roster_t *newer)
{
	on_adopted(pooler, roster_merge(pooler, pooler->sync.roster, newer));
	talloc_free(newer);
}

bool adopt_text(pooler_t *pooler, const char *text, size_t len, int64_t revision)
{
	roster_diff_t *diff = roster_take(pooler, pooler->sync.roster, text, len, revision);

	if (diff == NULL)
		return false;
	on_adopted(pooler, diff);
	return true;
}
