#include "permit.h"

#include <stdlib.h>
#include <string.h>

#include <talloc.h>

#include "caller.h"
#include "exchange.h"

bool permit_is_registered(const pooler_t *pooler)
{
	const roster_node_t *self = roster_find_node(pooler->sync.roster, pooler->config.name);

	return self != NULL && !self->gone && self->incarnation == pooler->config.incarnation;
}

static int compare_latest_first(const void *a, const void *b)
{
	usec_t x = *(const usec_t *)a;
	usec_t y = *(const usec_t *)b;

	return (x < y) - (x > y);
}

void permit_update_quorum_confirmed(pooler_t *pooler)
{
	sync_t *sync = &pooler->sync;
	size_t needed = permit_quorum(sync->proxy_count);
	usec_t *times = talloc_array(NULL, usec_t, sync->proxy_count);
	size_t count = 0;

	list_for_each (it, &sync->roster->nodes) {
		const peer_report_t *report =
			exchange_find_report(pooler, list_entry(it, roster_node_t, node)->name);

		if (report != NULL && report->agreed_at != 0)
			times[count++] = report->agreed_at;
	}
	qsort(times, count, sizeof(*times), compare_latest_first);
	/* This proxy counts itself, so one confirmation fewer is needed. */
	sync->agreed_at = needed >= 2 && count >= needed - 1 ? times[needed - 2] : 0;
	talloc_free(times);
}

usec_t permit_quorum_confirmed_at(const pooler_t *pooler)
{
	const sync_t *sync = &pooler->sync;

	if (permit_quorum(sync->proxy_count) <= 1)
		return now_of(pooler);
	return sync->peers_agreed_at > sync->agreed_at ? sync->peers_agreed_at : sync->agreed_at;
}

usec_t permit_expires_at(const pooler_t *pooler)
{
	const sync_t *sync = &pooler->sync;
	usec_t lease_end;
	usec_t agreement_end;

	if (sync->confirmed_at == USEC_NEVER)
		return 0;
	lease_end = sync->confirmed_at + PERMIT_LEASE_TIME;
	if (now_of(pooler) < lease_end)
		return lease_end;
	agreement_end = permit_quorum_confirmed_at(pooler) + PERMIT_LEASE_TIME;
	if (agreement_end > sync->confirmed_at + PERMIT_LEASE_MAX)
		agreement_end = sync->confirmed_at + PERMIT_LEASE_MAX;
	return agreement_end > lease_end ? agreement_end : lease_end;
}

member_t *permit_primary(const service_t *service, usec_t now)
{
	const pooler_t *pooler = service->pooler;

	if (service->group == NULL || service->group->changing ||
	    now >= permit_expires_at(pooler) || !permit_is_registered(pooler))
		return NULL;
	return service->primary;
}

bool permit_allows(const member_t *member, usec_t now)
{
	return permit_primary(member->service, now) == member;
}

size_t permit_count_listed(const pooler_t *pooler)
{
	usec_t now = now_of(pooler);
	size_t listed = 0;

	list_for_each (it, &pooler->sync.reports) {
		const peer_report_t *report = list_entry(it, peer_report_t, node);

		listed +=
			report->listed_since != 0 && now >= report->listed_since + PERMIT_LEASE_MAX;
	}
	return listed;
}

static bool has_revision(const roster_node_t *node, const peer_report_t *report, int64_t revision)
{
	return report != NULL && report->incarnation == node->incarnation &&
	       report->revision >= revision;
}

size_t permit_fleet_size(const pooler_t *pooler, int64_t revision)
{
	size_t fleet = permit_count_listed(pooler);

	list_for_each (it, &pooler->sync.roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);
		const peer_report_t *report = exchange_find_report(pooler, node->name);

		if (has_revision(node, report, revision) && report->fleet_size > (int64_t)fleet)
			fleet = (size_t)report->fleet_size;
	}
	return fleet;
}

bool permit_quorum_has_revision(const pooler_t *pooler, int64_t revision)
{
	size_t behind = 0;

	list_for_each (it, &pooler->sync.roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);
		const peer_report_t *report = exchange_find_report(pooler, node->name);

		if (strcmp(node->name, pooler->config.name) == 0)
			continue;
		behind += !has_revision(node, report, revision);
	}
	return behind < permit_quorum(permit_fleet_size(pooler, revision));
}

bool permit_is_in_use(const service_t *service)
{
	list_for_each (it, &service->members) {
		const member_t *member = list_entry(it, member_t, in_service);

		list_for_each (jt, &member->conns) {
			const conn_t *conn = list_entry(jt, conn_t, node);

			if (conn->state == CONN_RUNNING && conn->caller != NULL &&
			    caller_may_commit(conn->caller))
				return true;
		}
	}
	return false;
}
