#include "active.h"

#include "leader.h"
#include "permit.h"
#include "relay.h"
#include "upstream.h"

/*
 * Time for which a service stays active after its last use. It must exceed the time for which a
 * reply shows that a member is alive, and that for which a report of failing statements counts.
 */
#define ACTIVE_TIME (4 * USEC_PER_SEC)
/* Usual maximum age of the roster at a proxy that receives its updates through a hub. */
#define ROSTER_AGE_USUAL (900 * USEC_PER_MSEC)

void active_init(pooler_t *pooler)
{
	list_init(&pooler->active_members);
	list_init(&pooler->active_services);
}

void active_add_service(service_t *service)
{
	service->active_until = now_of(service->pooler) + ACTIVE_TIME;
	if (list_empty(&service->active))
		list_add_tail(&service->pooler->active_services, &service->active);
	pooler_hasten_tick(service->pooler);
}

void active_add_member(member_t *member)
{
	active_add_service(member->service);
	if (list_empty(&member->active))
		list_add_tail(&member->pooler->active_members, &member->active);
}

static bool member_is_active(const member_t *member)
{
	return !list_empty(&member->conns) || member->down || member->unlisted ||
	       member->invalid_since != 0;
}

static bool service_is_active(const service_t *service, usec_t now)
{
	return now < service->active_until || !list_empty(&service->waiting) ||
	       service->changing_since != USEC_NEVER || service->change.step != CHANGE_NONE ||
	       service->change.write_pending || service->write_in_flight;
}

static bool member_is_busy(const member_t *member)
{
	if (member->down || member->probe_conn != NULL)
		return true;
	list_for_each (it, &member->conns) {
		if (list_entry(it, conn_t, node)->state != CONN_IDLE)
			return true;
	}
	return false;
}

static bool is_any_busy(const pooler_t *pooler)
{
	list_for_each (it, &pooler->active_services) {
		const service_t *service = list_entry(it, service_t, active);

		if (!list_empty(&service->waiting) || service->changing_since != USEC_NEVER)
			return true;
	}
	list_for_each (it, &pooler->active_members) {
		if (member_is_busy(list_entry(it, member_t, active)))
			return true;
	}
	return false;
}

/* True if this proxy works for the fleet (leader, hub) or is not in regular contact with it. */
static bool is_fleet_busy(pooler_t *pooler, usec_t now)
{
	const sync_t *sync = &pooler->sync;

	return sync->leading || upstream_is_hub(pooler) || !upstream_uses_hubs(pooler) ||
	       !permit_is_registered(pooler) || sync->joiner_count != 0 ||
	       relay_is_cut_off(pooler->relay) || now >= sync->confirmed_at + ROSTER_AGE_USUAL;
}

bool active_needs_fast_tick(pooler_t *pooler, usec_t now)
{
	return pooler->draining || pooler->routes == NULL || !list_empty(&pooler->forwarded) ||
	       !list_empty(&pooler->sync.unanswered_reports) || is_fleet_busy(pooler, now) ||
	       is_any_busy(pooler);
}

void active_tick(pooler_t *pooler, usec_t now)
{
	list_for_each_safe (it, &pooler->active_members) {
		member_t *member = list_entry(it, member_t, active);

		if (member_is_active(member))
			active_add_service(member->service);
		else
			list_del(&member->active);
	}
	list_for_each_safe (it, &pooler->active_services) {
		service_t *service = list_entry(it, service_t, active);

		if (!service_is_active(service, now))
			list_del(&service->active);
	}
}
