#include "upstream.h"

#include <stdlib.h>
#include <string.h>

#include <talloc.h>
#include <xxhash.h>

#include "exchange.h"

#define LOG_MODULE "upstream"
#include "counter.h"
#include "log.h"

/* A hub that was asked and has not answered for so long is passed over: two questions' intervals.
 */
#define HUB_SILENT (500 * USEC_PER_MSEC)
/* For so long; then it is tried again. */
#define HUB_AVOIDED (2 * USEC_PER_SEC)
/* A listener that has fallen silent is called so often, */
#define CALL_INTERVAL (1 * USEC_PER_SEC)
/* for so long after its last question: a restart takes seconds. */
#define CALLED_FOR (30 * USEC_PER_SEC)
/* Percent of a core for each part of the work, and the most parts that one proxy takes. */
#define WEIGHT_UNIT 25
#define WEIGHT_MOST 4
/* Any number: hubs are to differ from the homes of a service. */
#define HUB_SEED 7

COUNTER_DEFINE(avoided_total, "hubs_avoided_total", COUNTER_SUM,
	       "Times that a hub did not answer this proxy and was passed over.");

COUNTER_DEFINE(calls_total, "silent_listeners_called_total", COUNTER_SUM,
	       "Pings to proxies that asked this one regularly and no longer do.");

bool upstream_applies(const pooler_t *pooler)
{
	return pooler->sync.proxies >= UPSTREAM_FLEET;
}

/* --- who is a hub --- */

size_t upstream_weight(const roster_node_t *node)
{
	int64_t weight = node->capacity / WEIGHT_UNIT;

	if (weight < 1)
		return 1;
	return weight < WEIGHT_MOST ? (size_t)weight : WEIGHT_MOST;
}

/* The finalizer of a 64-bit hash. */
static uint64_t mix(uint64_t hash)
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
		uint64_t hash = mix(node->hash ^ mix(seed + i));

		least = hash < least ? hash : least;
	}
	return least;
}

typedef struct ranked {
	const roster_node_t *node;
	uint64_t hash;
} ranked_t;

/* By zone, within a zone those that can do more first, then by hash. */
static int by_zone(const void *a, const void *b)
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

static ranked_t *rank_all(const pooler_t *pooler, size_t *count)
{
	ranked_t *ranked = talloc_array(NULL, ranked_t, pooler->sync.proxies);

	*count = 0;
	list_for_each (it, &pooler->sync.roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		if (!node->gone)
			ranked[(*count)++] = (ranked_t){
				.node = node,
				.hash = XXH64(node->name, strlen(node->name), HUB_SEED),
			};
	}
	qsort(ranked, *count, sizeof(*ranked), by_zone);
	return ranked;
}

static void add_hub(hubs_t *hubs, const roster_node_t *node)
{
	hubs->names = talloc_realloc(hubs->parent, hubs->names, const char *, hubs->len + 1);
	hubs->names[hubs->len++] = talloc_strdup(hubs->parent, node->name);
}

static void work_out(pooler_t *pooler, hubs_t *hubs)
{
	size_t count;
	ranked_t *ranked = rank_all(pooler, &count);
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
			served += UPSTREAM_SPAN * upstream_weight(ranked[i].node);
			add_hub(hubs, ranked[i].node);
			hubs->is_hub |= strcmp(ranked[i].node->name, pooler->config.name) == 0;
		}
		first = end;
	}
	talloc_free(ranked);
}

static const hubs_t *hubs_of(pooler_t *pooler)
{
	hubs_t *hubs = &pooler->sync.hubs;

	if (hubs->parent == NULL || hubs->nodes_revision != pooler->sync.roster->nodes_revision)
		work_out(pooler, hubs);
	return hubs;
}

bool upstream_is_hub(pooler_t *pooler)
{
	return upstream_applies(pooler) && hubs_of(pooler)->is_hub;
}

void upstream_each_hub(pooler_t *pooler,
		       void (*each)(pooler_t *pooler, const roster_node_t *hub, void *data),
		       void *data)
{
	const hubs_t *hubs = hubs_of(pooler);

	for (size_t i = 0; i < hubs->len; i++) {
		const roster_node_t *hub = roster_node(pooler->sync.roster, hubs->names[i]);

		if (hub != NULL && strcmp(hub->name, pooler->config.name) != 0)
			each(pooler, hub, data);
	}
}

/* --- whom to ask --- */

static bool is_avoided(const pooler_t *pooler, const char *name, usec_t now)
{
	const peer_report_t *report = exchange_report(pooler, name);

	return report != NULL && now < report->avoided_until;
}

/*
 * The hub of the zone (NULL: of any) that comes first for this proxy, by hash, and answers; NULL:
 * none does.
 */
static const roster_node_t *find_hub(pooler_t *pooler, const char *zone, usec_t now)
{
	const hubs_t *hubs = hubs_of(pooler);
	uint64_t seed = XXH64(pooler->config.name, strlen(pooler->config.name), HUB_SEED);
	const roster_node_t *best = NULL;
	uint64_t best_hash = UINT64_MAX;

	for (size_t i = 0; i < hubs->len; i++) {
		const roster_node_t *hub = roster_node(pooler->sync.roster, hubs->names[i]);
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

	if (upstream_applies(pooler) && !upstream_is_hub(pooler)) {
		hub = find_hub(pooler, pooler->config.zone, now);
		if (hub == NULL && sync->holder != NULL && is_avoided(pooler, sync->holder, now))
			hub = find_hub(pooler, NULL, now);
	}
	if (hub != NULL) {
		*name = hub->name;
		*address = hub->address;
	} else if (sync->holder != NULL) {
		*name = sync->holder;
		*address = sync->holder_address;
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
		LOG_EVENT(LOG_INFO, "first proxy heard of", LOG_STR("proxy", name),
			  LOG_STR("address", address));
	talloc_free(sync->contact);
	talloc_free(sync->contact_address);
	sync->contact = talloc_strdup(pooler, name);
	sync->contact_address = talloc_strdup(pooler, address);
}

void upstream_on_question(peer_report_t *report, usec_t now)
{
	if (!upstream_listens(report, now))
		report->asked_us_from = now;
	report->asked_us_at = now;
	report->called = false;
}

void upstream_on_pong(peer_report_t *report, usec_t now)
{
	if (!upstream_listens(report, now))
		report->asked_us_from = 0;
}

/* Not who has only tried us in turn, while it had nobody else to ask. */
static bool is_called(const peer_report_t *report, usec_t now)
{
	return report->asked_us_from != 0 && !upstream_listens(report, now) &&
	       report->asked_us_at >= report->asked_us_from + UPSTREAM_LISTENS &&
	       now < report->asked_us_at + CALLED_FOR;
}

static void call_listener(pooler_t *pooler, const roster_node_t *node, peer_report_t *report,
			  usec_t now)
{
	if (!report->called)
		LOG_EVENT(LOG_INFO, "proxy no longer asks us, calling it",
			  LOG_STR("proxy", node->name), LOG_STR("address", node->address),
			  LOG_INT("silent_ms",
				  (int64_t)((now - report->asked_us_at) / USEC_PER_MSEC)));
	report->called = true;
	counter_add(&calls_total, 1);
	exchange_ping(pooler, node);
}

void upstream_tick(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;

	if (now < sync->call_next)
		return;
	sync->call_next = now + CALL_INTERVAL;
	list_for_each (it, &sync->reports) {
		peer_report_t *report = list_entry(it, peer_report_t, node);
		const roster_node_t *node = roster_node(sync->roster, report->name);

		if (node != NULL && is_called(report, now))
			call_listener(pooler, node, report, now);
	}
}

void upstream_avoid(pooler_t *pooler, const char *name, usec_t now)
{
	exchange_get_report(pooler, name)->avoided_until = now + HUB_AVOIDED;
	counter_add(&avoided_total, 1);
	LOG_EVENT(LOG_WARN, "hub does not answer", LOG_STR("proxy", name),
		  LOG_INT("avoided_ms", (int64_t)(HUB_AVOIDED / USEC_PER_MSEC)));
}

static bool is_holder(const sync_t *sync, const char *name)
{
	return sync->holder != NULL && strcmp(sync->holder, name) == 0;
}

void upstream_on_asked(pooler_t *pooler, const char *name, usec_t now)
{
	sync_t *sync = &pooler->sync;
	peer_report_t *report = exchange_get_report(pooler, name);

	if (sync->upstream == NULL || strcmp(sync->upstream, name) != 0) {
		talloc_free(sync->upstream);
		sync->upstream = talloc_strdup(pooler, name);
		report->asked_since = 0;
	}
	if (report->asked_since == 0)
		report->asked_since = now;
	if (now < report->asked_since + HUB_SILENT || now == pooler->resumed_at)
		return;
	report->asked_since = 0;
	/* The holder's silence is noticed by the age of its news; as a hub it has a successor. */
	if (is_holder(sync, name) && (!upstream_applies(pooler) || upstream_is_hub(pooler)))
		return;
	upstream_avoid(pooler, name, now);
}

bool upstream_is(const pooler_t *pooler, const char *name)
{
	const sync_t *sync = &pooler->sync;

	return is_holder(sync, name) ||
	       (sync->upstream != NULL && strcmp(sync->upstream, name) == 0);
}

bool upstream_listens(const peer_report_t *report, usec_t now)
{
	return report->asked_us_at != 0 && now < report->asked_us_at + UPSTREAM_LISTENS;
}

void upstream_each_listener(pooler_t *pooler, usec_t now,
			    void (*each)(pooler_t *pooler, const roster_node_t *peer, void *data),
			    void *data)
{
	list_for_each (it, &pooler->sync.reports) {
		const peer_report_t *report = list_entry(it, peer_report_t, node);
		const roster_node_t *node = roster_node(pooler->sync.roster, report->name);

		if (node != NULL && upstream_listens(report, now))
			each(pooler, node, data);
	}
}
