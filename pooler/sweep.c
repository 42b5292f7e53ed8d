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
#define NODE_REMOVE (2 * PERMIT_TOGETHER)

static void on_swept(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;

	(void)result; /* looked at again with the next tick */
	pooler->sweeping = false;
}

/* What is to become of a proxy's entry: returns true if roster was changed. */
static bool sweep_node(pooler_t *pooler, roster_t *roster, const roster_node_t *node, usec_t now)
{
	peer_report_t *report = exchange_get_report(pooler, node->name);
	usec_t heard = report->heard_at;

	if (strcmp(node->name, pooler->config.name) == 0)
		return false;
	if (!node->gone) {
		report->gone_seen = 0;
		if (heard < pooler->sync.held_since)
			heard = pooler->sync.held_since;
		if (now < heard + NODE_SILENT)
			return false;
		LOG_EVENT(LOG_WARN, "proxy is gone", LOG_STR("proxy", node->name));
		roster_node(roster, node->name)->gone = true;
		return true;
	}
	if (report->gone_seen == 0) {
		report->gone_seen = now;
		report->gone_revision = pooler->sync.roster->revision;
		report->gone_known = 0;
	}
	if (report->gone_known == 0 && permit_is_known(pooler, report->gone_revision))
		report->gone_known = now;
	if (now < report->gone_seen + NODE_REMOVE)
		return false;
	roster_remove_node(roster, node->name);
	return true;
}

bool sweep_has_ended(const pooler_t *pooler, const peer_report_t *report)
{
	usec_t now = now_of(pooler);

	if (report->gone_seen == 0)
		return false;
	return now >= report->gone_seen + PERMIT_TOGETHER ||
	       (report->gone_known != 0 && now >= report->gone_known + PERMIT_ALONE);
}

void sweep_tick(pooler_t *pooler, usec_t now)
{
	roster_t *roster;
	bool changed = false;

	if (pooler->sweeping)
		return;
	roster = roster_copy(NULL, pooler->sync.roster);
	list_for_each (it, &pooler->sync.roster->nodes)
		changed = sweep_node(pooler, roster, list_entry(it, roster_node_t, node), now) ||
			  changed;
	if (changed) {
		pooler->sweeping = true;
		sync_commit(pooler, roster, on_swept, pooler);
	}
	talloc_free(roster);
}
