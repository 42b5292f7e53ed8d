#include "shard_owners.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <talloc.h>
#include <xxhash.h>

#include "list.h"

/*
 * Proxies of a zone that may own shards: enough to share the work, and few enough that every proxy
 * has links to all of them, also in a fleet of hundreds.
 */
#define OWNERS_PER_ZONE 8
/* Fleets that are remembered: those of the last seconds, also while many proxies start and stop. */
#define FLEET_HISTORY_MAX 16

/* A proxy that may own shards. */
typedef struct candidate {
	uint64_t hash; /* of the name */
	const char *name;
} candidate_t;

typedef struct zone {
	const char *name;
	uint64_t hash;
	candidate_t *candidates; /* ordered by hash */
	size_t count;
} zone_t;

typedef struct fleet {
	list_t node;  /* in shard_owners_t.fleets */
	usec_t since; /* when shard_owners_set_fleet() received it */
	zone_t *zones;
	size_t zone_count;
} fleet_t;

struct shard_owners {
	list_t fleets; /* oldest first */
	bool complete; /* true while no fleet has been dropped from the list */
};

static uint64_t hash_text(const char *text, uint64_t seed)
{
	return XXH64(text, strlen(text), seed);
}

shard_owners_t *shard_owners_create(void *parent)
{
	shard_owners_t *owners = talloc_zero(parent, shard_owners_t);

	list_init(&owners->fleets);
	owners->complete = true;
	return owners;
}

/* --- a fleet --- */

static zone_t *get_zone(fleet_t *fleet, const char *name, size_t capacity)
{
	zone_t *zone;

	for (size_t i = 0; i < fleet->zone_count; i++) {
		if (strcmp(fleet->zones[i].name, name) == 0)
			return &fleet->zones[i];
	}
	fleet->zones = talloc_realloc(fleet, fleet->zones, zone_t, fleet->zone_count + 1);
	zone = &fleet->zones[fleet->zone_count++];
	*zone = (zone_t){
		.name = talloc_strdup(fleet, name),
		.hash = hash_text(name, 0),
		.candidates = talloc_array(fleet, candidate_t, capacity),
	};
	return zone;
}

static int compare_hashes(const void *a, const void *b)
{
	const candidate_t *x = a;
	const candidate_t *y = b;

	return (x->hash > y->hash) - (x->hash < y->hash);
}

static int compare_zone_names(const void *a, const void *b)
{
	return strcmp(((const zone_t *)a)->name, ((const zone_t *)b)->name);
}

static fleet_t *create_fleet(shard_owners_t *owners, const fleet_proxy_t *proxies, size_t count)
{
	fleet_t *fleet = talloc_zero(owners, fleet_t);

	for (size_t i = 0; i < count; i++) {
		zone_t *zone = get_zone(fleet, proxies[i].zone, count);

		zone->candidates[zone->count++] = (candidate_t){
			.name = talloc_strdup(fleet, proxies[i].name),
			.hash = hash_text(proxies[i].name, 0),
		};
	}
	for (size_t i = 0; i < fleet->zone_count; i++) {
		zone_t *zone = &fleet->zones[i];

		qsort(zone->candidates, zone->count, sizeof(candidate_t), compare_hashes);
		if (zone->count > OWNERS_PER_ZONE)
			zone->count = OWNERS_PER_ZONE;
	}
	if (fleet->zone_count != 0)
		qsort(fleet->zones, fleet->zone_count, sizeof(zone_t), compare_zone_names);
	return fleet;
}

static bool zones_equal(const zone_t *a, const zone_t *b)
{
	if (strcmp(a->name, b->name) != 0 || a->count != b->count)
		return false;
	for (size_t i = 0; i < a->count; i++) {
		if (strcmp(a->candidates[i].name, b->candidates[i].name) != 0)
			return false;
	}
	return true;
}

/* True if the same proxies may own shards in both fleets. */
static bool fleets_equal(const fleet_t *a, const fleet_t *b)
{
	if (a->zone_count != b->zone_count)
		return false;
	for (size_t i = 0; i < a->zone_count; i++) {
		if (!zones_equal(&a->zones[i], &b->zones[i]))
			return false;
	}
	return true;
}

static const fleet_t *newest_fleet(const shard_owners_t *owners)
{
	if (list_empty(&owners->fleets))
		return NULL;
	return list_entry(owners->fleets.prev, fleet_t, node);
}

static void drop_oldest_fleet(shard_owners_t *owners)
{
	fleet_t *fleet = list_entry(owners->fleets.next, fleet_t, node);

	list_del(&fleet->node);
	talloc_free(fleet);
	owners->complete = false;
}

void shard_owners_set_fleet(shard_owners_t *owners, const fleet_proxy_t *proxies, size_t count,
			    usec_t now)
{
	fleet_t *fleet = create_fleet(owners, proxies, count);

	if (!list_empty(&owners->fleets) && fleets_equal(fleet, newest_fleet(owners))) {
		talloc_free(fleet);
		return;
	}
	fleet->since = now;
	list_add_tail(&owners->fleets, &fleet->node);
	if (list_length(&owners->fleets) > FLEET_HISTORY_MAX)
		drop_oldest_fleet(owners);
}

/* --- shards --- */

/* The zone at position rank when zones are ordered by their hash combined with the customer's. */
static const zone_t *find_zone_by_rank(const fleet_t *fleet, uint64_t customer, size_t rank)
{
	for (size_t i = 0; i < fleet->zone_count; i++) {
		uint64_t hash = fleet->zones[i].hash ^ customer;
		size_t lower = 0;

		for (size_t j = 0; j < fleet->zone_count; j++)
			lower += (fleet->zones[j].hash ^ customer) < hash;
		if (lower == rank)
			return &fleet->zones[i];
	}
	return &fleet->zones[0];
}

/*
 * The candidate with the highest rank below *below, or NULL if there is none. Sets *below to the
 * candidate's rank.
 */
static const candidate_t *next_candidate(const zone_t *zone, uint64_t customer, uint64_t *below)
{
	const candidate_t *best = NULL;
	uint64_t best_rank = 0;

	for (size_t i = 0; i < zone->count; i++) {
		uint64_t rank = (zone->candidates[i].hash ^ customer) * 0x9E3779B97F4A7C15ull;

		if (rank >= *below || (best != NULL && rank <= best_rank))
			continue;
		best = &zone->candidates[i];
		best_rank = rank;
	}
	*below = best_rank;
	return best;
}

/*
 * The proxy whose hash, combined with the customer's, is the greatest. With this rendezvous hashing
 * only the shards of a proxy that leaves the fleet change their owner. position: with fewer zones
 * than shards, the number of the shard among those of the zone; it selects the proxy with the next
 * lower hash. Returns the last candidate if there are too few, NULL if there is none.
 */
static const char *choose_candidate(const zone_t *zone, uint64_t customer, size_t position)
{
	uint64_t below = UINT64_MAX;
	const candidate_t *chosen = NULL;

	for (size_t i = 0; i <= position; i++) {
		const candidate_t *next = next_candidate(zone, customer, &below);

		if (next == NULL)
			break;
		chosen = next;
	}
	return chosen != NULL ? chosen->name : NULL;
}

static const zone_t *zone_of_shard(const fleet_t *fleet, const char *customer, unsigned shard)
{
	if (fleet->zone_count == 0)
		return NULL;
	return find_zone_by_rank(fleet, hash_text(customer, 1), shard % fleet->zone_count);
}

static const char *find_owner_in(const fleet_t *fleet, const char *customer, unsigned shard)
{
	const zone_t *zone = zone_of_shard(fleet, customer, shard);

	if (zone == NULL)
		return NULL;
	return choose_candidate(zone, hash_text(customer, 2), shard / fleet->zone_count);
}

const char *shard_owners_find(const shard_owners_t *owners, const char *customer, unsigned shard)
{
	const fleet_t *fleet = newest_fleet(owners);

	return fleet != NULL ? find_owner_in(fleet, customer, shard) : NULL;
}

const char *shard_owners_zone(const shard_owners_t *owners, const char *customer, unsigned shard)
{
	const fleet_t *fleet = newest_fleet(owners);
	const zone_t *zone = fleet != NULL ? zone_of_shard(fleet, customer, shard) : NULL;

	return zone != NULL ? zone->name : NULL;
}

usec_t shard_owners_owned_since(const shard_owners_t *owners, const char *self,
				const char *customer, unsigned shard)
{
	usec_t since = USEC_NEVER;

	for (const list_t *it = owners->fleets.prev; it != &owners->fleets; it = it->prev) {
		const fleet_t *fleet = list_entry(it, fleet_t, node);
		const char *owner = find_owner_in(fleet, customer, shard);

		if (owner == NULL || strcmp(owner, self) != 0)
			return since;
		since = fleet->since;
	}
	return owners->complete && since != USEC_NEVER ? 0 : since;
}

const char *shard_owners_predecessor(const shard_owners_t *owners, const char *self,
				     const char *customer, unsigned shard)
{
	for (const list_t *it = owners->fleets.prev; it != &owners->fleets; it = it->prev) {
		const char *owner = find_owner_in(list_entry(it, fleet_t, node), customer, shard);

		if (owner != NULL && strcmp(owner, self) != 0)
			return owner;
	}
	return NULL;
}
