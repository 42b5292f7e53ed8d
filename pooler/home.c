#include "home.h"

#include <stdlib.h>
#include <string.h>

#include <talloc.h>
#include <xxhash.h>

#include "home_rank.h"
#include "liveness.h"
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
/* Home candidates in this proxy's zone; see compute_homes(). */
#define HOMES_IN_ZONE 2
/* How long a proxy keeps its connections after another proxy forwarded a statement to it. */
#define KEEP_CONNS_TIME (2 * USEC_PER_SEC)

COUNTER_DEFINE(moved_total, "homes_moved_total", COUNTER_SUM,
	       "Times that another proxy became the first home of a service for this proxy.");

bool home_is_needed(const service_t *service)
{
	return !service->pooler->config.no_homes &&
	       service->pooler->sync.proxy_count * 100 >
		       (size_t)service->max_connections * MAX_DIRECT_PERCENT;
}

/* --- the order of the candidates --- */

/* A zone with its proxies and the home of a service there. */
typedef struct zone_homes {
	const char *zone;
	const roster_node_t **proxies;
	size_t proxy_count;
	home_rank_t rank;
	uint64_t hash; /* of the home for the service */
} zone_homes_t;

static int compare_by_hash(const void *a, const void *b)
{
	const zone_homes_t *x = a;
	const zone_homes_t *y = b;

	return (x->hash > y->hash) - (x->hash < y->hash);
}

static int compare_numbers(const void *a, const void *b)
{
	const uint64_t *x = a;
	const uint64_t *y = b;

	return (*x > *y) - (*x < *y);
}

static uint64_t hash_service(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

/* The hashes of the configuration's services in ascending order; a talloc child of parent. */
static uint64_t *hash_services(const pooler_t *pooler, void *parent, size_t *count)
{
	uint64_t *hashes;

	*count = 0;
	if (pooler->routes == NULL)
		return NULL;
	hashes = talloc_array(parent, uint64_t, list_length(&pooler->routes->services));
	list_for_each (it, &pooler->routes->services)
		hashes[(*count)++] = hash_service(list_entry(it, service_limits_t, node)->name);
	qsort(hashes, *count, sizeof(*hashes), compare_numbers);
	return hashes;
}

static zone_homes_t *get_zone(zone_homes_t *zones, size_t *count, const char *zone,
			      size_t proxy_count)
{
	for (size_t i = 0; i < *count; i++) {
		if (strcmp(zones[i].zone, zone) == 0)
			return &zones[i];
	}
	zones[*count] = (zone_homes_t){
		.zone = zone,
		.proxies = talloc_array(zones, const roster_node_t *, proxy_count),
	};
	return &zones[(*count)++];
}

/* The zones of the roster with their live proxies; a talloc child of parent. */
static zone_homes_t *collect_zones(const pooler_t *pooler, void *parent, size_t *count)
{
	size_t proxy_count = pooler->sync.proxy_count;
	zone_homes_t *zones = talloc_array(parent, zone_homes_t, proxy_count);

	*count = 0;
	list_for_each (it, &pooler->sync.roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);
		zone_homes_t *zone;

		if (node->gone)
			continue;
		zone = get_zone(zones, count, node->zone, proxy_count);
		zone->proxies[zone->proxy_count++] = node;
	}
	return zones;
}

/*
 * The zones of the roster with the service's home in each, sorted by the homes' hashes; a talloc
 * child of parent. Runs for each service in use after each change of the fleet.
 */
static zone_homes_t *rank_zones(const service_t *service, void *parent, size_t *count)
{
	uint64_t hash = hash_service(service->name);
	zone_homes_t *zones = collect_zones(service->pooler, parent, count);
	size_t service_count;
	const uint64_t *services = hash_services(service->pooler, zones, &service_count);

	for (size_t i = 0; i < *count; i++) {
		zones[i].rank = home_rank_find(zones[i].proxies, zones[i].proxy_count, services,
					       service_count, hash);
		zones[i].hash = upstream_hash(zones[i].rank.home, hash);
	}
	qsort(zones, *count, sizeof(*zones), compare_by_hash);
	return zones;
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

static int64_t get_config_version(const pooler_t *pooler)
{
	return pooler->routes != NULL ? pooler->routes->version : 0;
}

/* Why the former home is not the first candidate any more. */
static const char *reason_of_move(const service_t *service, const homes_t *former)
{
	const roster_node_t *node =
		roster_find_node(service->pooler->sync.roster, former->names[0]);

	if (node == NULL || node->gone)
		return "the former home left";
	if (!home_rank_is_candidate(node->capacity, service->homes.share))
		return "a proxy with more processor share registered";
	if (former->config_version != service->homes.config_version)
		return "the configuration's services changed";
	return "another proxy of its share registered or left";
}

static void report_move(const service_t *service, const homes_t *former)
{
	const homes_t *homes = &service->homes;

	if (former->len == 0 || homes->len == 0 || strcmp(former->names[0], homes->names[0]) == 0)
		return;
	counter_add(&moved_total, 1);
	LOG_EVENT(LOG_INFO, "home moved", LOG_STR("service", service->name),
		  LOG_STR("from", former->names[0]), LOG_STR("to", homes->names[0]),
		  LOG_INT("share_percent", homes->share),
		  LOG_INT("proxies", (int64_t)service->pooler->sync.proxy_count),
		  LOG_STR("reason", reason_of_move(service, former)));
}

static void compute_homes(service_t *service)
{
	homes_t *homes = &service->homes;
	const homes_t former = *homes;
	const pooler_t *pooler = service->pooler;
	const roster_node_t *first;
	size_t count;
	zone_homes_t *ranked = rank_zones(service, NULL, &count);
	const zone_homes_t *own_zone;

	homes->parent = talloc_new(service);
	homes->nodes_revision = pooler->sync.roster->nodes_revision;
	homes->config_version = get_config_version(pooler);
	homes->len = 0;
	homes->fleet_count = limit_homes(service, count);
	/* This zone's home and its substitute, then the homes of the other zones. */
	own_zone = find_own_zone(service, ranked);
	if (own_zone != NULL) {
		add_candidate(homes, own_zone->rank.home);
		add_candidate(homes, own_zone->rank.substitute);
	}
	for (size_t i = 0; i < count; i++) {
		if (&ranked[i] != own_zone)
			add_candidate(homes, ranked[i].rank.home);
	}
	talloc_free(ranked);
	first = homes->len != 0 ? roster_find_node(pooler->sync.roster, homes->names[0]) : NULL;
	homes->share = first != NULL ? first->capacity : 0;
	report_move(service, &former);
	talloc_free(former.parent);
}

static const homes_t *get_homes(service_t *service)
{
	if (service->homes.parent == NULL ||
	    service->homes.nodes_revision != service->pooler->sync.roster->nodes_revision ||
	    service->homes.config_version != get_config_version(service->pooler))
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

	if (!home_is_needed(service))
		return true;
	homes = get_homes(service);
	name = homes->len != 0 ? homes->names[0] : NULL;
	node = name != NULL ? roster_find_node(pooler->sync.roster, name) : NULL;
	if (node == NULL || strcmp(name, pooler->config.name) == 0)
		return true;
	return liveness_connect(pooler, node, now, links_left);
}

/*
 * Connects to the homes of all services, or of the active ones. Once all links exist this only does
 * anything when the fleet or the configuration has changed, and every PRECONNECT_INTERVAL.
 */
void home_connect(pooler_t *pooler, usec_t now)
{
	int64_t fleet = pooler->sync.roster->nodes_revision;
	int links_left = NEW_LINKS_PER_TICK;
	bool done = true;

	if (pooler->routes == NULL || pooler->sync.confirmed_at == USEC_NEVER ||
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

const roster_node_t *home_find(service_t *service, usec_t now)
{
	const pooler_t *pooler = service->pooler;
	const homes_t *homes = get_homes(service);

	for (size_t i = 0; i < homes->len; i++) {
		if (strcmp(homes->names[i], pooler->config.name) == 0 ||
		    liveness_is_usable(pooler, homes->names[i], now))
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
		    liveness_is_usable(pooler, node->name, now))
			others[count++] = node;
	}
	return count;
}

bool home_is_self(service_t *service, usec_t now)
{
	const roster_node_t *home = home_find(service, now);

	return home != NULL && strcmp(home->name, service->pooler->config.name) == 0;
}

bool home_holds_conns(service_t *service, usec_t now)
{
	return (service->last_forward_at != 0 &&
		now < service->last_forward_at + KEEP_CONNS_TIME) ||
	       home_is_self(service, now);
}

/* --- availability of homes --- */

/* Index of the first home candidate that is not suspect; their number if all are. */
static size_t first_not_suspect(const pooler_t *pooler, const homes_t *homes, usec_t now)
{
	size_t next = 0;

	while (next < homes->len && liveness_is_suspect(pooler, homes->names[next], now))
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
			liveness_ping(pooler, homes->names[i], now);
	}
}

void home_tick(pooler_t *pooler, usec_t now)
{
	home_connect(pooler, now);
	liveness_tick(pooler, now, ping_next_candidates);
}
