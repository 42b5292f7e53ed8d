#include "metrics.h"

#include <inttypes.h>

#include "member.h"
#include "permit.h"
#include "state.h"

static void head(FILE *out, const char *name, const char *help)
{
	fprintf(out, "# HELP cyclamenspan_%s %s\n# TYPE cyclamenspan_%s gauge\n", name, help, name);
}

static double seconds(usec_t time)
{
	return (double)time / (double)USEC_PER_SEC;
}

static void write_fleet(const pooler_t *pooler, FILE *out, usec_t now)
{
	const sync_t *sync = &pooler->sync;
	usec_t end = permit_end(pooler);

	head(out, "roster_proxies", "Proxies on the roster.");
	fprintf(out, "cyclamenspan_roster_proxies %zu\n", sync->proxies);
	head(out, "permission_seconds", "Time for which primaries may still be used.");
	fprintf(out, "cyclamenspan_permission_seconds %g\n", now < end ? seconds(end - now) : 0.0);
	/* Without a first confirmation there is no age. */
	if (sync->confirmed_at != USEC_NEVER) {
		head(out, "roster_age_seconds", "Since the store was known to hold this roster.");
		fprintf(out, "cyclamenspan_roster_age_seconds %g\n",
			seconds(now - sync->confirmed_at));
	}
	if (proof_age(&pooler->config_validity, now) != USEC_NEVER) {
		head(out, "config_age_seconds",
		     "Since the configuration in force was known to be the newest.");
		fprintf(out, "cyclamenspan_config_age_seconds %g\n",
			seconds(proof_age(&pooler->config_validity, now)));
	}
}

static void write_services(const pooler_t *pooler, FILE *out)
{
	head(out, "service_waiting", "Statements that wait for a connection.");
	list_for_each (it, &pooler->services) {
		const service_t *service = list_entry(it, service_t, node);

		fprintf(out, "cyclamenspan_service_waiting{service=\"%s\"} %zu\n", service->name,
			list_length(&service->waiting));
	}
	head(out, "service_changing", "1 while the primary is being replaced.");
	list_for_each (it, &pooler->services) {
		const service_t *service = list_entry(it, service_t, node);

		fprintf(out, "cyclamenspan_service_changing{service=\"%s\"} %d\n", service->name,
			service->changing_since != USEC_NEVER);
	}
}

typedef double (*figure_t)(const member_t *member);

static double connections(const member_t *member)
{
	return (double)member->conn_count;
}

static double busy(const member_t *member)
{
	return (double)member_load(member);
}

static double response(const member_t *member)
{
	return seconds(member->response);
}

static double down(const member_t *member)
{
	return member->down;
}

static void write_members(const pooler_t *pooler, FILE *out, const char *name, const char *help,
			  figure_t figure)
{
	head(out, name, help);
	list_for_each (it, &pooler->members) {
		const member_t *member = list_entry(it, member_t, node);

		if (!list_empty(&member->conns) || member->down)
			fprintf(out, "cyclamenspan_%s{service=\"%s\",member=\"%s\"} %g\n", name,
				member->service->name, member->id, figure(member));
	}
}

void metrics_write(const pooler_t *pooler, FILE *out)
{
	write_fleet(pooler, out, now_of(pooler));
	write_services(pooler, out);
	write_members(pooler, out, "member_connections_open", "Connections to the member.",
		      connections);
	write_members(pooler, out, "member_statements_running", "Statements at the member.", busy);
	write_members(pooler, out, "member_response_seconds",
		      "Usual time from a statement to the member's answer.", response);
	write_members(pooler, out, "member_down", "1 if the member does not answer.", down);
}
