#include "metrics.h"

#include <inttypes.h>

#include "permit.h"
#include "room.h"
#include "shed.h"
#include "state.h"

static void write_header(FILE *out, const char *name, const char *help)
{
	fprintf(out, "# HELP cyclamenspan_%s %s\n# TYPE cyclamenspan_%s gauge\n", name, help, name);
}

static double to_seconds(usec_t time)
{
	return (double)time / (double)USEC_PER_SEC;
}

static void write_fleet(const pooler_t *pooler, FILE *out, usec_t now)
{
	const sync_t *sync = &pooler->sync;
	usec_t end = permit_expires_at(pooler);

	write_header(out, "roster_proxies", "Proxies on the roster.");
	fprintf(out, "cyclamenspan_roster_proxies %zu\n", sync->proxy_count);
	write_header(out, "permission_seconds", "Remaining time in which primaries may be used.");
	fprintf(out, "cyclamenspan_permission_seconds %g\n",
		now < end ? to_seconds(end - now) : 0.0);
	/* Before the first confirmation the roster has no age. */
	if (sync->confirmed_at != USEC_NEVER) {
		write_header(out, "roster_age_seconds",
			     "Time since the store was last confirmed to hold this roster.");
		fprintf(out, "cyclamenspan_roster_age_seconds %g\n",
			to_seconds(now - sync->confirmed_at));
	}
	if (cache_validity_age(&pooler->config_validity, now) != USEC_NEVER) {
		write_header(
			out, "config_age_seconds",
			"Time since the configuration in force was last confirmed to be the newest.");
		fprintf(out, "cyclamenspan_config_age_seconds %g\n",
			to_seconds(cache_validity_age(&pooler->config_validity, now)));
	}
}

/* Priorities of a service that are written; more than operators tell apart. */
#define PRIORITIES_MAX 16

/* Writes one value of each priority with waiters, of all services. */
static void write_queues(const pooler_t *pooler, FILE *out, const char *name, const char *help,
			 double (*value)(service_t *service, const wait_priority_t *priority))
{
	wait_priority_t priorities[PRIORITIES_MAX];

	write_header(out, name, help);
	list_for_each (it, &pooler->services) {
		service_t *service = list_entry(it, service_t, node);
		size_t count = wait_queue_priorities(service->queue, priorities, PRIORITIES_MAX);

		for (size_t i = 0; i < count; i++)
			fprintf(out,
				"cyclamenspan_%s{service=\"%s\",priority=\"%" PRId64 "\"} %g\n",
				name, service->name, priorities[i].priority,
				value(service, &priorities[i]));
	}
}

static double queue_length(service_t *service, const wait_priority_t *priority)
{
	(void)service;
	return (double)priority->waiting;
}

static double queue_wait_seconds(service_t *service, const wait_priority_t *priority)
{
	double slots = shed_slots(service);

	return slots > 0 ? to_seconds(priority->work) / slots : 0;
}

static void write_services(const pooler_t *pooler, FILE *out)
{
	write_header(out, "service_waiting", "Statements waiting for a connection to a member.");
	list_for_each (it, &pooler->services) {
		const service_t *service = list_entry(it, service_t, node);

		fprintf(out, "cyclamenspan_service_waiting{service=\"%s\"} %zu\n", service->name,
			list_length(&service->waiting));
	}
	write_header(out, "service_changing", "1 while the primary is being replaced.");
	list_for_each (it, &pooler->services) {
		const service_t *service = list_entry(it, service_t, node);

		fprintf(out, "cyclamenspan_service_changing{service=\"%s\"} %d\n", service->name,
			service->changing_since != USEC_NEVER);
	}
}

typedef double (*member_value_t)(const member_t *member);

static double connection_count(const member_t *member)
{
	return (double)member->conn_count;
}

static double running_statements(const member_t *member)
{
	return (double)room_used(member);
}

static double room_of_own(const member_t *member)
{
	return (double)room_part(member);
}

static double lent_statements(const member_t *member)
{
	return (double)room_lent(member, now_of(member->pooler));
}

static double borrowed_statements(const member_t *member)
{
	return (double)room_borrowed(member, now_of(member->pooler));
}

static double response_seconds(const member_t *member)
{
	return to_seconds(member->response_time);
}

static double is_down(const member_t *member)
{
	return member->down;
}

static void write_members(const pooler_t *pooler, FILE *out, const char *name, const char *help,
			  member_value_t value)
{
	write_header(out, name, help);
	list_for_each (it, &pooler->members) {
		const member_t *member = list_entry(it, member_t, node);

		if (!list_empty(&member->conns) || member->down)
			fprintf(out, "cyclamenspan_%s{service=\"%s\",member=\"%s\"} %g\n", name,
				member->service->name, member->id, value(member));
	}
}

void metrics_write(const pooler_t *pooler, FILE *out)
{
	write_fleet(pooler, out, now_of(pooler));
	write_services(pooler, out);
	write_queues(pooler, out, "service_queue_length",
		     "Statements waiting for a connection to a member, by priority.", queue_length);
	write_queues(pooler, out, "service_queue_wait_seconds",
		     "Expected time until the waiting statements of the priority are sent.",
		     queue_wait_seconds);
	write_members(pooler, out, "member_connections_open", "Connections to the member.",
		      connection_count);
	write_members(pooler, out, "member_statements_running", "Statements running at the member.",
		      running_statements);
	write_members(pooler, out, "member_statements_part",
		      "Statements that are this proxy's own part at the member.", room_of_own);
	write_members(pooler, out, "member_statements_lent",
		      "Statements of that part that are lent to other homes.", lent_statements);
	write_members(pooler, out, "member_statements_borrowed",
		      "Statements borrowed from other homes.", borrowed_statements);
	write_members(pooler, out, "member_response_seconds",
		      "Smoothed time from a statement to the member's reply.", response_seconds);
	write_members(pooler, out, "member_down", "1 if the member does not answer.", is_down);
}
