#include "sweep.h"

#include <string.h>

#include <talloc.h>

#include "exchange.h"
#include "permit.h"
#include "sync.h"

#define LOG_MODULE "sweep"
#include "log.h"

/*
 * A proxy not heard of for so long is marked as gone. Proxies ask the holder every 0.25 s, and
 * a process that was killed is back on the users' platform after 1.5 s; one that was marked by
 * mistake registers itself again.
 */
#define NODE_SILENT (4 * USEC_PER_SEC)
/* Marked for so long, it is taken off the roster. */
#define NODE_REMOVE (2 * PERMIT_LEASE_MAX)

static void on_swept(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;

	(void)result; /* looked at again with the next tick */
	pooler->sweeping = false;
}

typedef enum { ENTRY_STAYS, ENTRY_GONE, ENTRY_REMOVED } entry_end_t;

/* What is to become of a proxy's entry. */
static entry_end_t judge(pooler_t *pooler, const roster_node_t *node, usec_t now)
{
	peer_report_t *report = exchange_get_report(pooler, node->name);
	usec_t heard = report->heard_at;

	if (strcmp(node->name, pooler->config.name) == 0)
		return ENTRY_STAYS;
	if (!node->gone) {
		report->gone_seen = 0;
		if (heard < pooler->sync.held_since)
			heard = pooler->sync.held_since;
		/* A proxy that was cut off may be back in the store before its messages come. */
		if (heard < report->entered_at)
			heard = report->entered_at;
		return now < heard + NODE_SILENT ? ENTRY_STAYS : ENTRY_GONE;
	}
	if (report->gone_seen == 0) {
		report->gone_seen = now;
		report->gone_revision = pooler->sync.roster->revision;
		report->gone_known = 0;
	}
	if (report->gone_known == 0 && permit_quorum_has_revision(pooler, report->gone_revision))
		report->gone_known = now;
	return now < report->gone_seen + NODE_REMOVE ? ENTRY_STAYS : ENTRY_REMOVED;
}

static void change_entry(roster_t *roster, const char *name, entry_end_t end)
{
	if (end == ENTRY_REMOVED) {
		roster_remove_node(roster, name);
		return;
	}
	LOG_EVENT(LOG_WARN, "proxy is gone", LOG_STR("proxy", name));
	roster_node(roster, name)->gone = true;
}

bool sweep_permission_ended(const pooler_t *pooler, const peer_report_t *report)
{
	usec_t now = now_of(pooler);

	if (report->gone_seen == 0)
		return false;
	return now >= report->gone_seen + PERMIT_LEASE_MAX ||
	       (report->gone_known != 0 && now >= report->gone_known + PERMIT_LEASE_TIME);
}

void sweep_tick(pooler_t *pooler, usec_t now)
{
	roster_t *changed = NULL;

	if (pooler->sweeping)
		return;
	list_for_each (it, &pooler->sync.roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);
		entry_end_t end = judge(pooler, node, now);

		if (end == ENTRY_STAYS)
			continue;
		if (changed == NULL)
			changed = roster_copy(NULL, pooler->sync.roster);
		change_entry(changed, node->name, end);
	}
	if (changed == NULL)
		return;
	pooler->sweeping = true;
	sync_commit(pooler, changed, on_swept, pooler);
	talloc_free(changed);
}
