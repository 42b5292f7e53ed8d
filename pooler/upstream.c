#include "upstream.h"

#include <stdlib.h>
#include <string.h>

#include <talloc.h>
#include <xxhash.h>

#include "exchange.h"

#define LOG_MODULE "upstream"
#include "counter.h"
#include "log.h"

/* A hub that has not answered a query for this time is avoided: two query intervals. */
#define HUB_ANSWER_TIMEOUT (500 * USEC_PER_MSEC)
/* Time for which a hub is avoided before it is tried again. */
#define HUB_AVOID_TIME (2 * USEC_PER_SEC)
/* Interval of pings to a downstream proxy that has stopped sending queries. */
#define PING_INTERVAL (1 * USEC_PER_SEC)
/* Time after its last query for which such a proxy is pinged; a restart takes seconds. */
#define PING_DURATION (30 * USEC_PER_SEC)
/* Percent of a core for each unit of weight, and the greatest weight of a proxy. */
#define WEIGHT_UNIT 25
#define WEIGHT_MAX  4
/*
 * Seed of the hashes for hubs; any number for which the chosen proxies differ from the homes of a
 * service.
 */
#define HUB_SEED 7

COUNTER_DEFINE(avoided_total, "hubs_avoided_total", COUNTER_SUM,
	       "Times that a hub did not answer this proxy and was avoided.");

COUNTER_DEFINE(pings_total, "silent_listeners_called_total", COUNTER_SUM,
	       "Pings to proxies that queried this one regularly and no longer do.");

bool upstream_uses_hubs(const pooler_t *pooler)
{
	return pooler->sync.proxy_count >= UPSTREAM_HUBS_FLEET_MIN;
}

/* --- selection of hubs --- */

size_t upstream_weight(const roster_node_t *node)
{
	int64_t weight = node->capacity / WEIGHT_UNIT;

	if (weight < 1)
		return 1;
	return weight < WEIGHT_MAX ? (size_t)weight : WEIGHT_MAX;
}

/* Finalizer of a 64-bit hash function (MurmurHash3). */
static uint64_t finalize_hash(uint64_t hash)
{
	hash ^= hash >> 33;
	hash *= 0xff51afd7ed558ccdull;
	hash ^= hash >> 33;
	hash *= 0xc4ceb9fe1a85ec53ull;
	return hash ^ (hash >> 33);
}

uint64_t upstream_hash(const roster_node_t *node, uint64_t seed)
{
	size_t weight = upstream_weight(node);
	uint64_t least = UINT64_MAX;

	for (size_t i = 0; i < weight; i++) {
		uint64_t hash = finalize_hash(node->hash ^ finalize_hash(seed + i));

		least = hash < least ? hash : least;
	}
	return least;
}

typedef struct ranked {
	const roster_node_t *node;
	uint64_t hash;
} ranked_t;

/* Orders proxies by zone, then by descending weight, then by hash. */
static int compare_ranked(const void *a, const void *b)
{
	const ranked_t *x = a;
	const ranked_t *y = b;
	int zones = strcmp(x->node->zone, y->node->zone);
	size_t weight_x = upstream_weight(x->node);
	size_t weight_y = upstream_weight(y->node);

	if (zones != 0)
		return zones;
	if (weight_x != weight_y)
		return weight_x > weight_y ? -1 : 1;
	return (x->hash > y->hash) - (x->hash < y->hash);
}

static ranked_t *rank_nodes(const pooler_t *pooler, size_t *count)
{
	ranked_t *ranked = talloc_array(NULL, ranked_t, pooler->sync.proxy_count);

	*count = 0;
	list_for_each (it, &pooler->sync.roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		if (!node->gone)
			ranked[(*count)++] = (ranked_t){
				.node = node,
				.hash = XXH64(node->name, strlen(node->name), HUB_SEED),
			};
	}
	qsort(ranked, *count, sizeof(*ranked), compare_ranked);
	return ranked;
}

static void add_hub(hubs_t *hubs, const roster_node_t *node)
{
	hubs->names = talloc_realloc(hubs->parent, hubs->names, const char *, hubs->len + 1);
	hubs->names[hubs->len++] = talloc_strdup(hubs->parent, node->name);
}

static void compute_hubs(pooler_t *pooler, hubs_t *hubs)
{
	size_t count;
	ranked_t *ranked = rank_nodes(pooler, &count);
	size_t first = 0;

	talloc_free(hubs->parent);
	*hubs = (hubs_t){.parent = talloc_new(pooler),
			 .nodes_revision = pooler->sync.roster->nodes_revision};
	while (first < count) {
		size_t end = first;
		size_t served = 0;

		while (end < count && strcmp(ranked[end].node->zone, ranked[first].node->zone) == 0)
			end++;
		for (size_t i = first; i < end && served < end - first; i++) {
			served += UPSTREAM_PROXIES_PER_WEIGHT * upstream_weight(ranked[i].node);
			add_hub(hubs, ranked[i].node);
			hubs->is_hub |= strcmp(ranked[i].node->name, pooler->config.name) == 0;
		}
		first = end;
	}
	talloc_free(ranked);
}

static const hubs_t *get_hubs(pooler_t *pooler)
{
	hubs_t *hubs = &pooler->sync.hubs;

	if (hubs->parent == NULL || hubs->nodes_revision != pooler->sync.roster->nodes_revision)
		compute_hubs(pooler, hubs);
	return hubs;
}

bool upstream_is_hub(pooler_t *pooler)
{
	return upstream_uses_hubs(pooler) && get_hubs(pooler)->is_hub;
}

void upstream_for_each_hub(pooler_t *pooler,
			   void (*each)(pooler_t *pooler, const roster_node_t *hub, void *data),
			   void *data)
{
	const hubs_t *hubs = get_hubs(pooler);

	for (size_t i = 0; i < hubs->len; i++) {
		const roster_node_t *hub = roster_find_node(pooler->sync.roster, hubs->names[i]);

		if (hub != NULL && strcmp(hub->name, pooler->config.name) != 0)
			each(pooler, hub, data);
	}
}

/* --- selection of the proxy to query --- */

static bool is_avoided(const pooler_t *pooler, const char *name, usec_t now)
{
	const peer_report_t *report = exchange_find_report(pooler, name);

	return report != NULL && now < report->hub_avoided_until;
}

/*
 * Returns the hub of the zone (NULL: of any zone) that comes first for this proxy by hash and is
 * not avoided; NULL: there is none.
 */
static const roster_node_t *find_hub(pooler_t *pooler, const char *zone, usec_t now)
{
	const hubs_t *hubs = get_hubs(pooler);
	uint64_t seed = XXH64(pooler->config.name, strlen(pooler->config.name), HUB_SEED);
	const roster_node_t *best = NULL;
	uint64_t best_hash = UINT64_MAX;

	for (size_t i = 0; i < hubs->len; i++) {
		const roster_node_t *hub = roster_find_node(pooler->sync.roster, hubs->names[i]);
		uint64_t hash;

		if (hub == NULL || (zone != NULL && strcmp(hub->zone, zone) != 0) ||
		    is_avoided(pooler, hub->name, now))
			continue;
		hash = upstream_hash(hub, seed);
		if (hash >= best_hash)
			continue;
		best = hub;
		best_hash = hash;
	}
	return best;
}

bool upstream_find(pooler_t *pooler, usec_t now, const char **name, const char **address)
{
	const sync_t *sync = &pooler->sync;
	const roster_node_t *hub = NULL;

	if (upstream_uses_hubs(pooler) && !upstream_is_hub(pooler)) {
		hub = find_hub(pooler, pooler->config.zone, now);
		if (hub == NULL && sync->leader != NULL && is_avoided(pooler, sync->leader, now))
			hub = find_hub(pooler, NULL, now);
	}
	if (hub != NULL) {
		*name = hub->name;
		*address = hub->address;
	} else if (sync->leader != NULL) {
		*name = sync->leader;
		*address = sync->leader_address;
	} else {
		*name = sync->contact;
		*address = sync->contact_address;
	}
	return *name != NULL && strcmp(*name, pooler->config.name) != 0;
}

void upstream_note_contact(pooler_t *pooler, const char *name, const char *address)
{
	sync_t *sync = &pooler->sync;

	if (sync->roster->revision != 0 || name == NULL || address == NULL)
		return;
	if (sync->contact == NULL)
		LOG_EVENT(LOG_INFO, "first contact with another proxy", LOG_STR("proxy", name),
			  LOG_STR("address", address));
	talloc_free(sync->contact);
	talloc_free(sync->contact_address);
	sync->contact = talloc_strdup(pooler, name);
	sync->contact_address = talloc_strdup(pooler, address);
}

void upstream_on_query(peer_report_t *report, usec_t now)
{
	if (!upstream_has_recent_query(report, now))
		report->querying_since = now;
	report->last_query_at = now;
	report->pinged_silent = false;
}

void upstream_on_pong(peer_report_t *report, usec_t now)
{
	if (!upstream_has_recent_query(report, now))
		report->querying_since = 0;
}

/*
 * True if a silent downstream proxy is to be pinged. A proxy that has only queried this one in
 * turn, while it had no other to query, is not pinged.
 */
static bool needs_ping(const peer_report_t *report, usec_t now)
{
	return report->querying_since != 0 && !upstream_has_recent_query(report, now) &&
	       report->last_query_at >= report->querying_since + UPSTREAM_DOWNSTREAM_TIMEOUT &&
	       now < report->last_query_at + PING_DURATION;
}

static void ping_silent(pooler_t *pooler, const roster_node_t *node, peer_report_t *report,
			usec_t now)
{
	if (!report->pinged_silent)
		LOG_EVENT(LOG_INFO, "downstream proxy is silent, pinging it",
			  LOG_STR("proxy", node->name), LOG_STR("address", node->address),
			  LOG_INT("silent_ms",
				  (int64_t)((now - report->last_query_at) / USEC_PER_MSEC)));
	report->pinged_silent = true;
	counter_add(&pings_total, 1);
	exchange_send_ping(pooler, node);
}

void upstream_tick(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;

	if (now < sync->ping_silent_next)
		return;
	sync->ping_silent_next = now + PING_INTERVAL;
	list_for_each (it, &sync->reports) {
		peer_report_t *report = list_entry(it, peer_report_t, node);
		const roster_node_t *node = roster_find_node(sync->roster, report->name);

		if (node != NULL && needs_ping(report, now))
			ping_silent(pooler, node, report, now);
	}
}

void upstream_avoid_hub(pooler_t *pooler, const char *name, usec_t now)
{
	exchange_get_report(pooler, name)->hub_avoided_until = now + HUB_AVOID_TIME;
	counter_add(&avoided_total, 1);
	LOG_EVENT(LOG_WARN, "hub does not answer", LOG_STR("proxy", name),
		  LOG_INT("avoided_ms", (int64_t)(HUB_AVOID_TIME / USEC_PER_MSEC)));
}

static bool is_leader(const sync_t *sync, const char *name)
{
	return sync->leader != NULL && strcmp(sync->leader, name) == 0;
}

void upstream_on_query_sent(pooler_t *pooler, const char *name, usec_t now)
{
	sync_t *sync = &pooler->sync;
	peer_report_t *report = exchange_get_report(pooler, name);

	if (sync->upstream == NULL || strcmp(sync->upstream, name) != 0) {
		talloc_free(sync->upstream);
		sync->upstream = talloc_strdup(pooler, name);
		report->query_unanswered_since = 0;
	}
	if (report->query_unanswered_since == 0)
		report->query_unanswered_since = now;
	if (now < report->query_unanswered_since + HUB_ANSWER_TIMEOUT || now == pooler->resumed_at)
		return;
	report->query_unanswered_since = 0;
	/*
	 * The silence of a leader is detected by the age of its last state. Another proxy can
	 * replace a leader only in its role as a hub.
	 */
	if (is_leader(sync, name) && (!upstream_uses_hubs(pooler) || upstream_is_hub(pooler)))
		return;
	upstream_avoid_hub(pooler, name, now);
}

bool upstream_is_trusted(const pooler_t *pooler, const char *name)
{
	const sync_t *sync = &pooler->sync;

	return is_leader(sync, name) ||
	       (sync->upstream != NULL && strcmp(sync->upstream, name) == 0);
}

bool upstream_has_recent_query(const peer_report_t *report, usec_t now)
{
	return report->last_query_at != 0 &&
	       now < report->last_query_at + UPSTREAM_DOWNSTREAM_TIMEOUT;
}

void upstream_for_each_downstream(pooler_t *pooler, usec_t now,
				  void (*each)(pooler_t *pooler, const roster_node_t *peer,
					       void *data),
				  void *data)
{
	list_for_each (it, &pooler->sync.reports) {
		const peer_report_t *report = list_entry(it, peer_report_t, node);
		const roster_node_t *node = roster_find_node(pooler->sync.roster, report->name);

		if (node != NULL && upstream_has_recent_query(report, now))
			each(pooler, node, data);
	}
}
