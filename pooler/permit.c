#include "permit.h"

#include <string.h>

#include "caller.h"

bool permit_is_registered(const pooler_t *pooler)
{
	const roster_node_t *self = roster_node(pooler->sync.roster, pooler->config.name);

	return self != NULL && !self->gone && self->incarnation == pooler->config.incarnation;
}

member_t *permit_primary(const service_t *service, usec_t now)
{
	const pooler_t *pooler = service->pooler;
	const sync_t *sync = &pooler->sync;
	const roster_group_t *group;

	if (sync->roster == NULL || sync->confirmed_at == USEC_NEVER ||
	    now >= sync->confirmed_at + PERMIT_TTL || !permit_is_registered(pooler))
		return NULL;
	group = roster_group(sync->roster, service->name);
	if (group == NULL || group->changing)
		return NULL;
	return member_find(pooler, group->primary);
}

bool permit_covers(const member_t *member, usec_t now)
{
	return permit_primary(member->service, now) == member;
}

bool permit_in_use(const service_t *service)
{
	list_for_each (it, &service->members) {
		const member_t *member = list_entry(it, member_t, in_service);

		list_for_each (jt, &member->conns) {
			const conn_t *conn = list_entry(jt, conn_t, node);

			if (conn->state == CONN_RUNNING && conn->caller != NULL &&
			    caller_may_keep(conn->caller))
				return true;
		}
	}
	return false;
}
