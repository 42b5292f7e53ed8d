#include "group_write.h"

#include <talloc.h>

#include "active.h"
#include "failover.h"
#include "push.h"
#include "sync.h"

static void on_groups_written(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;

	(void)result; /* the roster, read again, shows which groups are in force */
	pooler->sync.writing_groups = false;
	list_for_each (it, &pooler->active_services) {
		service_t *service = list_entry(it, service_t, active);

		if (service->write_in_flight) {
			service->write_in_flight = false;
			service->change.write_pending = service->pending_write.primary != NULL;
		}
	}
	failover_tick(pooler, now_of(pooler));
}

/*
 * Writes all queued groups to the roster, one write at a time. When each service wrote on its own,
 * of N services that started or lost their primaries together, one write succeeded and N - 1
 * conflicted: 30 first primaries took 465 writes of the whole roster, and a fleet with 100
 * databases never became ready.
 */
void group_write_send(pooler_t *pooler, usec_t now)
{
	roster_t *roster = NULL;

	if (pooler->sync.writing_groups || now < pooler->sync.groups_write_next)
		return;
	list_for_each (it, &pooler->active_services) {
		service_t *service = list_entry(it, service_t, active);

		if (service->pending_write.primary == NULL)
			continue;
		if (roster == NULL)
			roster = roster_copy(NULL, pooler->sync.roster);
		roster_put_group(roster, service->name, service->pending_write.primary,
				 service->pending_write.changing, service->pending_write.term,
				 pooler->sync.own_token);
		group_write_cancel(service);
		service->write_in_flight = true;
	}
	if (roster == NULL)
		return;
	pooler->sync.writing_groups = true;
	/* Every write is sent to the whole fleet. */
	pooler->sync.groups_write_next = now + push_interval(pooler);
	sync_commit_roster(pooler, roster, on_groups_written, pooler);
	talloc_free(roster);
}

void group_write_queue(service_t *service, const char *primary, bool changing, uint64_t term)
{
	service->change.write_pending = true;
	active_add_service(service);
	group_write_cancel(service);
	service->pending_write.primary = talloc_strdup(service, primary);
	service->pending_write.changing = changing;
	service->pending_write.term = term;
}

void group_write_cancel(service_t *service)
{
	talloc_free(service->pending_write.primary);
	service->pending_write.primary = NULL;
}
