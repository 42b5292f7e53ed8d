#include "home.h"

#include <stdlib.h>
#include <string.h>

#include <talloc.h>
#include <xxhash.h>

#include "exchange.h"
#include "permit.h"
#include "room.h"
#include "upstream.h"

#define LOG_MODULE "home"
#include "counter.h"
#include "log.h"

/*
 * Homes are used when the fleet has more proxies than this percentage of the connections that a
 * member accepts. Below it every proxy can have a connection of its own, and forwarding gains
 * nothing: 9 proxies with 16 connections and 7 with 55 serve as many statements in time either way.
 * Of 75 proxies sharing 36 connections half of the statements needed a new connection: 54,664 for
 * 137,050 statements, and 2,998 with homes.
 */
#define MAX_DIRECT_PERCENT 50
/*
 * Connections to a member that each home must be able to have; if they don't suffice there are
 * fewer homes.
 */
#define MIN_CONNS_PER_HOME 2
/*
 * A home that has not answered a statement after this time, which is longer than usual work takes,
 * is pinged.
 */
#define PING_AFTER (100 * USEC_PER_MSEC)
/*
 * Time between two pings of a peer: half of the time since the peer last answered, within these
 * bounds.
 */
#define PING_INTERVAL	  (100 * USEC_PER_MSEC)
#define PING_INTERVAL_MAX (400 * USEC_PER_MSEC)
/*
 * New links to homes per tick. Each takes some 10 ms on a VM with an eighth of a core: connecting
 * to all homes of a zone at once would block the event loop for 100 to 260 ms, just when callers
 * wait after a loss of power.
 */
#define NEW_LINKS_PER_TICK 4
/* Time between two checks for homes without a link, once all have one. */
#define PRECONNECT_INTERVAL (1 * USEC_PER_SEC)
/*
 * With up to this many services links to the homes of all services are made ahead of use. With
 * more, most links would never be used by this proxy's callers, and a link costs memory at
 * both ends.
 */
#define PRECONNECT_SERVICES_MAX 32
/*
 * A peer that has sent nothing for this long since a statement was forwarded to it is suspect;
 * enough for a ping, its answer and a tick.
 */
#define SUSPECT_AFTER (250 * USEC_PER_MSEC)
/* Home candidates in this proxy's zone; see compute_homes(). */
#define HOMES_IN_ZONE 2
/*
 * How long a peer gets no statements after it declined one, because it shuts down or has another
 * configuration.
 */
#define DECLINED_TIME (100 * USEC_PER_MSEC)
/* How long a proxy keeps its connections after another proxy forwarded a statement to it. */
#define KEEP_CONNS_TIME (2 * USEC_PER_SEC)

COUNTER_DEFINE(suspected_total, "homes_suspected_total", COUNTER_SUM,
	       "Times that a home of this proxy's services did not answer.");

bool home_is_needed(const service_t *service)
{
	return !service->pooler->config.no_homes &&
	       service->pooler->sync.proxy_count * 100 >
		       (size_t)service->max_connections * MAX_DIRECT_PERCENT;
}

/* --- the order of the candidates --- */

/* The two proxies of a zone that come first for a service by hash. */
typedef struct zone_homes {
	const char *zone;
	const roster_node_t *first;
	const roster_node_t *second; /* NULL: the zone has only one proxy */
	uint64_t first_hash;
	uint64_t second_hash;
} zone_homes_t;

static int compare_by_hash(const void *a, const void *b)
{
	const zone_homes_t *x = a;
	const zone_homes_t *y = b;

	return (x->first_hash > y->first_hash) - (x->first_hash < y->first_hash);
}

static zone_homes_t *get_zone(zone_homes_t *ranked, size_t *count, const char *zone)
{
	for (size_t i = 0; i < *count; i++) {
		if (strcmp(ranked[i].zone, zone) == 0)
			return &ranked[i];
	}
	ranked[*count] = (zone_homes_t){.zone = zone, .first_hash = UINT64_MAX};
	return &ranked[(*count)++];
}

static void rank_proxy(zone_homes_t *zone_homes, const roster_node_t *node, uint64_t hash)
{
	if (zone_homes->first == NULL || hash < zone_homes->first_hash) {
		zone_homes->second = zone_homes->first;
		zone_homes->second_hash = zone_homes->first_hash;
		zone_homes->first = node;
		zone_homes->first_hash = hash;
	} else if (zone_homes->second == NULL || hash < zone_homes->second_hash) {
		zone_homes->second = node;
		zone_homes->second_hash = hash;
	}
}

/*
 * The zones of the roster with their first two proxies, sorted by hash; a talloc child of parent.
 * One pass over the proxies, for each service in use after each change of the fleet.
 */
static zone_homes_t *rank_zones(const service_t *service, void *parent, size_t *count)
{
	const pooler_t *pooler = service->pooler;
	zone_homes_t *ranked = talloc_array(parent, zone_homes_t, pooler->sync.proxy_count);
	uint64_t hash = XXH64(service->name, strlen(service->name), 0);

	*count = 0;
	list_for_each (it, &pooler->sync.roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		if (!node->gone)
			rank_proxy(get_zone(ranked, count, node->zone), node,
				   upstream_hash(node, hash));
	}
	qsort(ranked, *count, sizeof(*ranked), compare_by_hash);
	return ranked;
}

/* Number of homes: one per zone, or fewer if each would have too few connections. */
static size_t limit_homes(const service_t *service, size_t zone_count)
{
	size_t max_homes =
		(size_t)service->max_connections / ROOM_SHARED_DIVISOR / MIN_CONNS_PER_HOME;

	if (max_homes == 0)
		max_homes = 1;
	return zone_count < max_homes ? zone_count : max_homes;
}

static void add_candidate(homes_t *homes, const roster_node_t *node)
{
	if (node != NULL && homes->len < HOME_CANDIDATES)
		homes->names[homes->len++] = talloc_strdup(homes->parent, node->name);
}

/* This proxy's zone if the service has a home there, else NULL. */
static const zone_homes_t *find_own_zone(const service_t *service, const zone_homes_t *ranked)
{
	for (size_t i = 0; i < service->homes.fleet_count; i++) {
		if (strcmp(ranked[i].zone, service->pooler->config.zone) == 0)
			return &ranked[i];
	}
	return NULL;
}

static void compute_homes(service_t *service)
{
	homes_t *homes = &service->homes;
	size_t count;
	zone_homes_t *ranked = rank_zones(service, NULL, &count);
	const zone_homes_t *own_zone;

	talloc_free(homes->parent);
	homes->parent = talloc_new(service);
	homes->nodes_revision = service->pooler->sync.roster->nodes_revision;
	homes->len = 0;
	homes->fleet_count = limit_homes(service, count);
	/* This zone's home and its substitute, then the homes of the other zones. */
	own_zone = find_own_zone(service, ranked);
	if (own_zone != NULL) {
		add_candidate(homes, own_zone->first);
		add_candidate(homes, own_zone->second);
	}
	for (size_t i = 0; i < count; i++) {
		if (&ranked[i] != own_zone)
			add_candidate(homes, ranked[i].first);
	}
	talloc_free(ranked);
}

/* Pings a peer unless it was pinged within the interval; without an answer it becomes suspect. */
static void ping(pooler_t *pooler, const char *name, usec_t now, usec_t interval)
{
	const roster_node_t *node = roster_find_node(pooler->sync.roster, name);
	peer_report_t *report;

	if (node == NULL || strcmp(name, pooler->config.name) == 0)
		return;
	home_on_sent(pooler, name, now);
	report = exchange_get_report(pooler, name);
	if (now < report->pinged_at + interval)
		return;
	report->pinged_at = now;
	exchange_send_ping(pooler, node);
}

static const homes_t *get_homes(service_t *service)
{
	if (service->homes.parent == NULL ||
	    service->homes.nodes_revision != service->pooler->sync.roster->nodes_revision)
		compute_homes(service);
	return &service->homes;
}

/*
 * Connects to a service's home ahead of use. Making a link takes some milliseconds, so it is made
 * before the first caller needs it; the home has to answer, so that the link back is made too.
 * Without this a tenth of the statements in the first two seconds of a large fleet would be late.
 * True if the home has answered. *links_left: links that may still be made in this tick.
 */
static bool preconnect(service_t *service, usec_t now, int *links_left)
{
	pooler_t *pooler = service->pooler;
	const homes_t *homes;
	const char *name;
	const roster_node_t *node;
	peer_report_t *report;

	if (!home_is_needed(service))
		return true;
	homes = get_homes(service);
	name = homes->len != 0 ? homes->names[0] : NULL;
	node = name != NULL ? roster_find_node(pooler->sync.roster, name) : NULL;
	if (node == NULL || strcmp(name, pooler->config.name) == 0)
		return true;
	report = exchange_get_report(pooler, name);
	if (!report->ping_answered && *links_left > 0 &&
	    now >= report->pinged_at + PING_INTERVAL_MAX) {
		(*links_left)--;
		/*
		 * The first ping only makes the link from here; the one that arrives makes the
		 * home's link back.
		 */
		if (exchange_send_ping(pooler, node))
			report->pinged_at = now;
		else
			report->pinged_at = now + PING_INTERVAL - PING_INTERVAL_MAX;
	}
	return report->ping_answered;
}

/*
 * Connects to the homes of all services, or of the active ones. Once all links exist this only runs
 * when the fleet or the configuration has changed, and every PRECONNECT_INTERVAL.
 */
static void preconnect_all(pooler_t *pooler, usec_t now)
{
	int64_t fleet = pooler->sync.roster->nodes_revision;
	int links_left = NEW_LINKS_PER_TICK;
	bool done = true;

	if (!permit_is_registered(pooler) ||
	    (fleet == pooler->connected_homes_revision && now < pooler->next_home_connect_at))
		return;
	if (HASH_COUNT(pooler->services_by_name) <= PRECONNECT_SERVICES_MAX) {
		list_for_each (it, &pooler->services)
			done &= preconnect(list_entry(it, service_t, node), now, &links_left);
	} else {
		list_for_each (it, &pooler->active_services)
			done &= preconnect(list_entry(it, service_t, active), now, &links_left);
	}
	pooler->connected_homes_revision = fleet;
	pooler->next_home_connect_at = done ? now + PRECONNECT_INTERVAL : now;
}

static bool has_name(const homes_t *homes, const char *name)
{
	for (size_t i = 0; i < homes->len; i++) {
		if (strcmp(homes->names[i], name) == 0)
			return true;
	}
	return false;
}

bool home_self_is_candidate(service_t *service)
{
	return has_name(get_homes(service), service->pooler->config.name);
}

size_t home_count(service_t *service)
{
	return get_homes(service)->fleet_count;
}

/* --- choice of the home --- */

/*
 * True if the process that the roster lists is shutting down, or has left the roster, so that no
 * statement has to find that out by waiting for SUSPECT_AFTER.
 */
static bool is_leaving(const pooler_t *pooler, const peer_report_t *report)
{
	const roster_node_t *node = roster_find_node(pooler->sync.roster, report->name);

	return node == NULL || node->incarnation <= report->drained_incarnation;
}

static bool is_usable(const pooler_t *pooler, const char *name, usec_t now)
{
	const peer_report_t *report = exchange_find_report(pooler, name);

	return report == NULL ||
	       (now >= report->declined_until && !home_is_suspect(pooler, name, now) &&
		!is_leaving(pooler, report));
}

const roster_node_t *home_find(service_t *service, usec_t now)
{
	const pooler_t *pooler = service->pooler;
	const homes_t *homes = get_homes(service);

	for (size_t i = 0; i < homes->len; i++) {
		if (strcmp(homes->names[i], pooler->config.name) == 0 ||
		    is_usable(pooler, homes->names[i], now))
			return roster_find_node(pooler->sync.roster, homes->names[i]);
	}
	return NULL;
}

size_t home_list_others(service_t *service, usec_t now, const roster_node_t **others, size_t max)
{
	const pooler_t *pooler = service->pooler;
	const homes_t *homes = get_homes(service);
	size_t count = 0;

	/* The candidates of other zones are in the order of the homes. */
	for (size_t i = 0; i < homes->len && count < max && count + 1 < homes->fleet_count; i++) {
		const roster_node_t *node = roster_find_node(pooler->sync.roster, homes->names[i]);

		if (node != NULL && strcmp(node->zone, pooler->config.zone) != 0 &&
		    is_usable(pooler, node->name, now))
			others[count++] = node;
	}
	return count;
}

bool home_holds_conns(service_t *service, usec_t now)
{
	const roster_node_t *home;

	if (service->last_forward_at != 0 && now < service->last_forward_at + KEEP_CONNS_TIME)
		return true;
	home = home_find(service, now);
	return home != NULL && strcmp(home->name, service->pooler->config.name) == 0;
}

/* --- availability of peers --- */

void home_on_sent(pooler_t *pooler, const char *name, usec_t now)
{
	peer_report_t *report = exchange_get_report(pooler, name);

	if (report->unanswered_since == 0)
		report->unanswered_since = now;
	if (list_empty(&report->unanswered_node))
		list_add_tail(&pooler->sync.unanswered_reports, &report->unanswered_node);
	pooler_hasten_tick(pooler);
}

void home_on_received(pooler_t *pooler, const char *name, size_t outstanding, usec_t now)
{
	peer_report_t *report = exchange_get_report(pooler, name);

	if (report->suspected)
		LOG_EVENT(LOG_INFO, "home answers again", LOG_STR("proxy", name));
	report->suspected = false;
	report->unanswered_since = outstanding != 0 ? now : 0;
}

void home_on_declined(pooler_t *pooler, const char *name, usec_t now)
{
	exchange_get_report(pooler, name)->declined_until = now + DECLINED_TIME;
}

bool home_is_suspect(const pooler_t *pooler, const char *name, usec_t now)
{
	const peer_report_t *report = exchange_find_report(pooler, name);

	return report != NULL && report->unanswered_since != 0 &&
	       now >= report->unanswered_since + SUSPECT_AFTER &&
	       now >= pooler->resumed_at + SUSPECT_AFTER;
}

/* Index of the first home candidate that is not suspect; their number if all are. */
static size_t first_not_suspect(const pooler_t *pooler, const homes_t *homes, usec_t now)
{
	size_t next = 0;

	while (next < homes->len && home_is_suspect(pooler, homes->names[next], now))
		next++;
	return next;
}

/*
 * Pings the next candidate of all active services that have the suspect peer among theirs, since it
 * may be unreachable too, and statements would find that out by waiting in vain. If both candidates
 * of this zone are suspect, this proxy itself may be cut off, so all remaining candidates are
 * pinged at the same time. Before that they are not, since the other candidates of one home's
 * services are spread over the whole fleet.
 */
static void ping_next_candidates(pooler_t *pooler, const char *suspected, usec_t now)
{
	list_for_each (it, &pooler->active_services) {
		const homes_t *homes = &list_entry(it, service_t, active)->homes;
		size_t next;
		size_t end;

		if (!has_name(homes, suspected))
			continue;
		next = first_not_suspect(pooler, homes, now);
		end = next < HOMES_IN_ZONE ? next + 1 : homes->len;
		for (size_t i = next; i < end && i < homes->len; i++)
			ping(pooler, homes->names[i], now, PING_INTERVAL);
	}
}

/* The longer a peer is silent, the less often it is pinged. */
static usec_t ping_interval(const peer_report_t *report, usec_t now)
{
	return usec_clamp((now - report->unanswered_since) / 2, PING_INTERVAL, PING_INTERVAL_MAX);
}

static void check_suspect(pooler_t *pooler, peer_report_t *report, usec_t now)
{
	if (report->suspected || !home_is_suspect(pooler, report->name, now))
		return;
	report->suspected = true;
	counter_add(&suspected_total, 1);
	LOG_EVENT(
		LOG_WARN, "home does not answer", LOG_STR("proxy", report->name),
		LOG_INT("silent_ms", (int64_t)((now - report->unanswered_since) / USEC_PER_MSEC)));
	ping_next_candidates(pooler, report->name, now);
}

void home_tick(pooler_t *pooler, usec_t now)
{
	preconnect_all(pooler, now);
	list_for_each_safe (it, &pooler->sync.unanswered_reports) {
		peer_report_t *report = list_entry(it, peer_report_t, unanswered_node);
		const roster_node_t *node;

		if (report->unanswered_since == 0) {
			list_del(&report->unanswered_node);
			continue;
		}
		if (now < report->unanswered_since + PING_AFTER)
			continue;
		check_suspect(pooler, report, now);
		node = roster_find_node(pooler->sync.roster, report->name);
		if (node == NULL || node->gone)
			report->unanswered_since = 0;
		else
			ping(pooler, report->name, now, ping_interval(report, now));
	}
}
