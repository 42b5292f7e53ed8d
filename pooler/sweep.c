#include "sweep.h"

#include <string.h>

#include <talloc.h>

#include "exchange.h"
#include "permit.h"
#include "sync.h"

#define LOG_MODULE "sweep"
#include "log.h"

/*
 * A proxy that has sent nothing for this long is marked as gone. Proxies query the leader every
 * 0.25 s, and a process that was killed is restarted within 1.5 s; a proxy that was marked by
 * mistake registers itself again.
 */
#define NODE_SILENCE_TIMEOUT (4 * USEC_PER_SEC)
/* A proxy is removed from the roster this long after it was marked. */
#define NODE_REMOVE_DELAY (2 * PERMIT_LEASE_MAX)

static void on_roster_written(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;

	(void)result; /* checked again at the next tick */
	pooler->sweeping = false;
}

typedef enum { ENTRY_KEEP, ENTRY_MARK_GONE, ENTRY_REMOVE } entry_action_t;

/* Decides whether a proxy's entry in the roster stays, is marked as gone or is removed. */
static entry_action_t decide_entry(pooler_t *pooler, const roster_node_t *node, usec_t now)
{
	peer_report_t *report = exchange_get_report(pooler, node->name);
	usec_t alive_at = report->received_at;

	if (strcmp(node->name, pooler->config.name) == 0)
		return ENTRY_KEEP;
	if (!node->gone) {
		report->gone_seen_at = 0;
		if (alive_at < pooler->sync.leading_since)
			alive_at = pooler->sync.leading_since;
		/*
		 * A proxy that was cut off may write itself to the roster again before its messages
		 * arrive.
		 */
		if (alive_at < report->registered_at)
			alive_at = report->registered_at;
		return now < alive_at + NODE_SILENCE_TIMEOUT ? ENTRY_KEEP : ENTRY_MARK_GONE;
	}
	if (report->gone_seen_at == 0) {
		report->gone_seen_at = now;
		report->gone_revision = pooler->sync.roster->revision;
		report->gone_agreed_at = 0;
	}
	if (report->gone_agreed_at == 0 &&
	    permit_quorum_has_revision(pooler, report->gone_revision))
		report->gone_agreed_at = now;
	return now < report->gone_seen_at + NODE_REMOVE_DELAY ? ENTRY_KEEP : ENTRY_REMOVE;
}

static void update_entry(roster_t *roster, const char *name, entry_action_t action)
{
	if (action == ENTRY_REMOVE) {
		roster_remove_node(roster, name);
		return;
	}
	LOG_EVENT(LOG_WARN, "proxy marked as gone", LOG_STR("proxy", name));
	roster_find_node(roster, name)->gone = true;
}

bool sweep_permission_ended(const pooler_t *pooler, const peer_report_t *report)
{
	usec_t now = now_of(pooler);

	if (report->gone_seen_at == 0)
		return false;
	return now >= report->gone_seen_at + PERMIT_LEASE_MAX ||
	       (report->gone_agreed_at != 0 && now >= report->gone_agreed_at + PERMIT_LEASE_TIME);
}

void sweep_tick(pooler_t *pooler, usec_t now)
{
	roster_t *changed = NULL;

	if (pooler->sweeping)
		return;
	list_for_each (it, &pooler->sync.roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);
		entry_action_t action = decide_entry(pooler, node, now);

		if (action == ENTRY_KEEP)
			continue;
		if (changed == NULL)
			changed = roster_copy(NULL, pooler->sync.roster);
		update_entry(changed, node->name, action);
	}
	if (changed == NULL)
		return;
	pooler->sweeping = true;
	sync_commit_roster(pooler, changed, on_roster_written, pooler);
	talloc_free(changed);
}
