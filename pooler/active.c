#include "active.h"

/*
 * A service stays active for so long after its last use: longer than a reply proves its member
 * alive, and than a member is believed to fail statements.
 */
#define ACTIVE_FOR (4 * USEC_PER_SEC)

void active_init(pooler_t *pooler)
{
	list_init(&pooler->active_members);
	list_init(&pooler->active_services);
}

void active_add_service(service_t *service)
{
	service->active_until = now_of(service->pooler) + ACTIVE_FOR;
	if (list_empty(&service->active))
		list_add_tail(&service->pooler->active_services, &service->active);
}

void active_add_member(member_t *member)
{
	active_add_service(member->service);
	if (list_empty(&member->active))
		list_add_tail(&member->pooler->active_members, &member->active);
}

static bool member_is_active(const member_t *member)
{
	return !list_empty(&member->conns) || member->down || member->gone;
}

static bool service_is_active(const service_t *service, usec_t now)
{
	return now < service->active_until || !list_empty(&service->waiting) ||
	       service->changing_since != USEC_NEVER || service->change.step != CHANGE_NONE ||
	       service->change.busy || service->storing;
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
