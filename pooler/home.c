#include "home.h"

#include <stdlib.h>
#include <string.h>

#include <talloc.h>
#include <xxhash.h>

#include "exchange.h"
#include "member.h"
#include "permit.h"
#include "upstream.h"

#define LOG_MODULE "home"
#include "counter.h"
#include "log.h"

/*
 * Proxies for each connection of a member above which homes hold them, in percent. Below that every
 * proxy can have one of its own, and a way more for each statement gains nothing: 9 proxies before
 * 16 connections and 7 before 55 serve as many in time either way. Of 75 proxies before 36
 * connections, by turns, half of the statements needed a new one: 54,664 for 137,050, with homes
 * 2,998.
 */
#define DIRECT_PERCENT 50
/* Connections to a member that make a home worth having; with fewer there are fewer homes. */
#define HOME_LEAST 2
/* A home with a statement unanswered for so long is asked whether it lives: usual work and more. */
#define PING_AFTER (100 * USEC_PER_MSEC)
/* Between two such questions: half of the time for which it is silent, within these. */
#define PING_INTERVAL	   (100 * USEC_PER_MSEC)
#define PING_INTERVAL_MOST (400 * USEC_PER_MSEC)
/*
 * Links that are made with one tick. Each takes some 10 ms on a VM with an eighth of a core: those
 * to all homes of a zone at once would hold up the loop for 100 to 260 ms, just when callers wait
 * after a loss of power.
 */
#define LINKS_AT_ONCE 4
/* Between two looks for a home without a link, when all seem to have one. */
#define WARM_INTERVAL (1 * USEC_PER_SEC)
/*
 * Up to so many services have links to their homes before a caller needs them. With more, most
 * would never be used by this proxy's callers, and a link costs memory at both ends.
 */
#define WARM_SERVICES 32
/* Nothing heard for so long since it was handed a statement: a question, its answer and a tick. */
#define SUSPECT_AFTER (250 * USEC_PER_MSEC)
/* Homes of our own zone among the candidates; see work_out(). */
#define HOMES_NEAR 2
/* One that declined, since it shuts down or has another configuration, is left alone for so long.
 */
#define DECLINED_FOR (100 * USEC_PER_MSEC)
/* Who was handed a statement keeps connections for so long after. */
#define SERVES_FOR (2 * USEC_PER_SEC)

COUNTER_DEFINE(suspected_total, "homes_suspected_total", COUNTER_SUM,
	       "Times that a proxy which holds connections for us did not answer.");

bool home_applies(const service_t *service)
{
	return !service->pooler->config.no_homes &&
	       service->pooler->sync.proxies * 100 >
		       (size_t)service->max_connections * DIRECT_PERCENT;
}

/* --- the order of the candidates --- */

/* The two proxies of a zone that come first for a service, by hash. */
typedef struct zone_pick {
	const char *zone;
	const roster_node_t *first;
	const roster_node_t *second; /* NULL: there is only one */
	uint64_t first_hash;
	uint64_t second_hash;
} zone_pick_t;

static int by_hash(const void *a, const void *b)
{
	const zone_pick_t *x = a;
	const zone_pick_t *y = b;

	return (x->first_hash > y->first_hash) - (x->first_hash < y->first_hash);
}

static zone_pick_t *pick_of(zone_pick_t *picks, size_t *count, const char *zone)
{
	for (size_t i = 0; i < *count; i++) {
		if (strcmp(picks[i].zone, zone) == 0)
			return &picks[i];
	}
	picks[*count] = (zone_pick_t){.zone = zone, .first_hash = UINT64_MAX};
	return &picks[(*count)++];
}

static void offer(zone_pick_t *pick, const roster_node_t *node, uint64_t hash)
{
	if (pick->first == NULL || hash < pick->first_hash) {
		pick->second = pick->first;
		pick->second_hash = pick->first_hash;
		pick->first = node;
		pick->first_hash = hash;
	} else if (pick->second == NULL || hash < pick->second_hash) {
		pick->second = node;
		pick->second_hash = hash;
	}
}

/*
 * The zones of the roster and who comes first there, sorted by hash, as a child of parent. One
 * look at each proxy, for a service in use after each change of the fleet.
 */
static zone_pick_t *pick_zones(const service_t *service, void *parent, size_t *count)
{
	const pooler_t *pooler = service->pooler;
	zone_pick_t *picks = talloc_array(parent, zone_pick_t, pooler->sync.proxies);
	uint64_t hash = XXH64(service->name, strlen(service->name), 0);

	*count = 0;
	list_for_each (it, &pooler->sync.roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		if (!node->gone)
			offer(pick_of(picks, count, node->zone), node, upstream_hash(node, hash));
	}
	qsort(picks, *count, sizeof(*picks), by_hash);
	return picks;
}

/* As many as there are zones, or fewer if each would have too few connections. */
static size_t count_homes(const service_t *service, size_t zones)
{
	size_t most = (size_t)service->max_connections / MEMBER_SHARED_PART / HOME_LEAST;

	if (most == 0)
		most = 1;
	return zones < most ? zones : most;
}

static void keep(homes_t *homes, const roster_node_t *node)
{
	if (node != NULL && homes->len < HOME_CANDIDATES)
		homes->names[homes->len++] = talloc_strdup(homes->parent, node->name);
}

/* Our zone's pick if it has a home of the service, else NULL. */
static const zone_pick_t *find_near(const service_t *service, const zone_pick_t *picks)
{
	for (size_t i = 0; i < service->homes.count; i++) {
		if (strcmp(picks[i].zone, service->pooler->config.zone) == 0)
			return &picks[i];
	}
	return NULL;
}

static void work_out(service_t *service)
{
	homes_t *homes = &service->homes;
	size_t count;
	zone_pick_t *picks = pick_zones(service, NULL, &count);
	const zone_pick_t *near;

	talloc_free(homes->parent);
	homes->parent = talloc_new(service);
	homes->nodes_revision = service->pooler->sync.roster->nodes_revision;
	homes->len = 0;
	homes->count = count_homes(service, count);
	/* Our zone's home, and who takes its place; then the homes of the others. */
	near = find_near(service, picks);
	if (near != NULL) {
		keep(homes, near->first);
		keep(homes, near->second);
	}
	for (size_t i = 0; i < count; i++) {
		if (&picks[i] != near)
			keep(homes, picks[i].first);
	}
	talloc_free(picks);
}

/* Ask a peer whether it lives, if it was not just asked; without an answer it is suspect. */
static void ping(pooler_t *pooler, const char *name, usec_t now, usec_t interval)
{
	const roster_node_t *node = roster_node(pooler->sync.roster, name);
	peer_report_t *report;

	if (node == NULL || strcmp(name, pooler->config.name) == 0)
		return;
	home_on_sent(pooler, name, now);
	report = exchange_get_report(pooler, name);
	if (now < report->pinged_at + interval)
		return;
	report->pinged_at = now;
	exchange_ping(pooler, node);
}

static const homes_t *homes_of(service_t *service)
{
	if (service->homes.parent == NULL ||
	    service->homes.nodes_revision != service->pooler->sync.roster->nodes_revision)
		work_out(service);
	return &service->homes;
}

/*
 * A link takes some ms to be made: so it is made before the first caller needs it, and the one back
 * too, which is why the home has to answer. Without this a tenth of the statements in the first two
 * seconds of a large fleet would be late. True if it has answered. *links: how many may still be
 * made with this tick.
 */
static bool warm_up(service_t *service, usec_t now, int *links)
{
	pooler_t *pooler = service->pooler;
	const homes_t *homes;
	const char *name;
	const roster_node_t *node;
	peer_report_t *report;

	if (!home_applies(service))
		return true;
	homes = homes_of(service);
	name = homes->len != 0 ? homes->names[0] : NULL;
	node = name != NULL ? roster_node(pooler->sync.roster, name) : NULL;
	if (node == NULL || strcmp(name, pooler->config.name) == 0)
		return true;
	report = exchange_get_report(pooler, name);
	if (!report->ponged && *links > 0 && now >= report->pinged_at + PING_INTERVAL_MOST) {
		(*links)--;
		/* The first only makes our link; the one that gets there makes theirs. */
		if (exchange_ping(pooler, node))
			report->pinged_at = now;
		else
			report->pinged_at = now + PING_INTERVAL - PING_INTERVAL_MOST;
	}
	return report->ponged;
}

/*
 * Links to the homes of the services, or of those in use. Once all are there they are only looked
 * for when the fleet or the configuration has changed, and each WARM_INTERVAL.
 */
static void warm_up_all(pooler_t *pooler, usec_t now)
{
	int64_t fleet = pooler->sync.roster->nodes_revision;
	int links = LINKS_AT_ONCE;
	bool done = true;

	if (!permit_is_registered(pooler) ||
	    (fleet == pooler->connected_homes_revision && now < pooler->next_home_connect_at))
		return;
	if (HASH_COUNT(pooler->services_by_name) <= WARM_SERVICES) {
		list_for_each (it, &pooler->services)
			done &= warm_up(list_entry(it, service_t, node), now, &links);
	} else {
		list_for_each (it, &pooler->active_services)
			done &= warm_up(list_entry(it, service_t, active), now, &links);
	}
	pooler->connected_homes_revision = fleet;
	pooler->next_home_connect_at = done ? now + WARM_INTERVAL : now;
}

static bool names(const homes_t *homes, const char *name)
{
	for (size_t i = 0; i < homes->len; i++) {
		if (strcmp(homes->names[i], name) == 0)
			return true;
	}
	return false;
}

bool home_is_candidate(service_t *service)
{
	return names(homes_of(service), service->pooler->config.name);
}

size_t home_count(service_t *service)
{
	return homes_of(service)->count;
}

/* --- who serves --- */

/*
 * The process that the roster names shuts down, or is gone since: nobody has to find that out by a
 * statement that waits for SUSPECT_AFTER.
 */
static bool is_leaving(const pooler_t *pooler, const peer_report_t *report)
{
	const roster_node_t *node = roster_node(pooler->sync.roster, report->name);

	return node == NULL || node->incarnation <= report->drained_as;
}

static bool is_usable(const pooler_t *pooler, const char *name, usec_t now)
{
	const peer_report_t *report = exchange_report(pooler, name);

	return report == NULL ||
	       (now >= report->declined_until && !home_is_suspect(pooler, name, now) &&
		!is_leaving(pooler, report));
}

const roster_node_t *home_find(service_t *service, usec_t now)
{
	const pooler_t *pooler = service->pooler;
	const homes_t *homes = homes_of(service);

	for (size_t i = 0; i < homes->len; i++) {
		if (strcmp(homes->names[i], pooler->config.name) == 0 ||
		    is_usable(pooler, homes->names[i], now))
			return roster_node(pooler->sync.roster, homes->names[i]);
	}
	return NULL;
}

bool home_serves(service_t *service, usec_t now)
{
	const roster_node_t *home;

	if (service->served_others != 0 && now < service->served_others + SERVES_FOR)
		return true;
	home = home_find(service, now);
	return home != NULL && strcmp(home->name, service->pooler->config.name) == 0;
}

/* --- what is known of a peer --- */

void home_on_sent(pooler_t *pooler, const char *name, usec_t now)
{
	peer_report_t *report = exchange_get_report(pooler, name);

	if (report->unanswered_since == 0)
		report->unanswered_since = now;
	if (list_empty(&report->awaited))
		list_add_tail(&pooler->sync.awaited, &report->awaited);
	pooler_hasten_tick(pooler);
}

void home_on_heard(pooler_t *pooler, const char *name, size_t outstanding, usec_t now)
{
	peer_report_t *report = exchange_get_report(pooler, name);

	if (report->suspected)
		LOG_EVENT(LOG_INFO, "home answers again", LOG_STR("proxy", name));
	report->suspected = false;
	report->unanswered_since = outstanding != 0 ? now : 0;
}

void home_on_declined(pooler_t *pooler, const char *name, usec_t now)
{
	exchange_get_report(pooler, name)->declined_until = now + DECLINED_FOR;
}

bool home_is_suspect(const pooler_t *pooler, const char *name, usec_t now)
{
	const peer_report_t *report = exchange_report(pooler, name);

	return report != NULL && report->unanswered_since != 0 &&
	       now >= report->unanswered_since + SUSPECT_AFTER &&
	       now >= pooler->resumed_at + SUSPECT_AFTER;
}

/* The first of the homes that is not suspect; their number if all are. */
static size_t next_in_order(const pooler_t *pooler, const homes_t *homes, usec_t now)
{
	size_t next = 0;

	while (next < homes->len && home_is_suspect(pooler, homes->names[next], now))
		next++;
	return next;
}

/*
 * Who comes next may be out of reach too, and would be found out by statements that wait for it in
 * vain. With both of our zone silent it may be us who are cut off, so all the others are asked at
 * the same time; before that they are not, since the services of one home have their others all
 * over the fleet.
 */
static void ping_next(pooler_t *pooler, const char *suspected, usec_t now)
{
	list_for_each (it, &pooler->active_services) {
		const homes_t *homes = &list_entry(it, service_t, active)->homes;
		size_t next;
		size_t end;

		if (!names(homes, suspected))
			continue;
		next = next_in_order(pooler, homes, now);
		end = next < HOMES_NEAR ? next + 1 : homes->len;
		for (size_t i = next; i < end && i < homes->len; i++)
			ping(pooler, homes->names[i], now, PING_INTERVAL);
	}
}

/* The longer it is silent the less often it is asked. */
static usec_t ping_interval(const peer_report_t *report, usec_t now)
{
	return usec_clamp((now - report->unanswered_since) / 2, PING_INTERVAL, PING_INTERVAL_MOST);
}

static void suspect(pooler_t *pooler, peer_report_t *report, usec_t now)
{
	if (report->suspected || !home_is_suspect(pooler, report->name, now))
		return;
	report->suspected = true;
	counter_add(&suspected_total, 1);
	LOG_EVENT(
		LOG_WARN, "home does not answer", LOG_STR("proxy", report->name),
		LOG_INT("silent_ms", (int64_t)((now - report->unanswered_since) / USEC_PER_MSEC)));
	ping_next(pooler, report->name, now);
}

void home_tick(pooler_t *pooler, usec_t now)
{
	warm_up_all(pooler, now);
	list_for_each_safe (it, &pooler->sync.awaited) {
		peer_report_t *report = list_entry(it, peer_report_t, awaited);
		const roster_node_t *node;

		if (report->unanswered_since == 0) {
			list_del(&report->awaited);
			continue;
		}
		if (now < report->unanswered_since + PING_AFTER)
			continue;
		suspect(pooler, report, now);
		node = roster_node(pooler->sync.roster, report->name);
		if (node == NULL || node->gone)
			report->unanswered_since = 0;
		else
			ping(pooler, report->name, now, ping_interval(report, now));
	}
}
