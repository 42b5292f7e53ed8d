#include "shard_owners.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <talloc.h>
#include <xxhash.h>

#include "list.h"

/*
 * Proxies of a zone that may be keepers: enough to share the work, and few enough that everybody
 * has links to all of them also in a fleet of hundreds.
 */
#define ZONE_KEEPERS 8
/* Fleets that are remembered: those of the last seconds, also while many proxies come and go. */
#define FLEETS_MAX 16

typedef struct place {
	uint64_t hash; /* of the name */
	const char *name;
} place_t;

typedef struct zone {
	const char *name;
	uint64_t hash;
	place_t *places; /* who may be a keeper, by hash */
	size_t count;
} zone_t;

typedef struct fleet {
	list_t node; /* in shard_owners_t.fleets */
	usec_t since;
	zone_t *zones;
	size_t zone_count;
} fleet_t;

struct shard_owners {
	list_t fleets; /* oldest first */
	bool complete; /* the oldest is the first that there was */
};

static uint64_t hash_text(const char *text, uint64_t seed)
{
	return XXH64(text, strlen(text), seed);
}

shard_owners_t *shard_owners_create(void *parent)
{
	shard_owners_t *keepers = talloc_zero(parent, shard_owners_t);

	list_init(&keepers->fleets);
	keepers->complete = true;
	return keepers;
}

/* --- a fleet --- */

static zone_t *zone_of(fleet_t *fleet, const char *name, size_t most)
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
		.places = talloc_array(fleet, place_t, most),
	};
	return zone;
}

static int by_hash(const void *a, const void *b)
{
	const place_t *x = a;
	const place_t *y = b;

	return (x->hash > y->hash) - (x->hash < y->hash);
}

static int by_name(const void *a, const void *b)
{
	return strcmp(((const zone_t *)a)->name, ((const zone_t *)b)->name);
}

static fleet_t *make_fleet(shard_owners_t *keepers, const fleet_proxy_t *members, size_t count)
{
	fleet_t *fleet = talloc_zero(keepers, fleet_t);

	for (size_t i = 0; i < count; i++) {
		zone_t *zone = zone_of(fleet, members[i].zone, count);

		zone->places[zone->count++] = (place_t){
			.name = talloc_strdup(fleet, members[i].name),
			.hash = hash_text(members[i].name, 0),
		};
	}
	for (size_t i = 0; i < fleet->zone_count; i++) {
		zone_t *zone = &fleet->zones[i];

		qsort(zone->places, zone->count, sizeof(place_t), by_hash);
		if (zone->count > ZONE_KEEPERS)
			zone->count = ZONE_KEEPERS;
	}
	if (fleet->zone_count != 0)
		qsort(fleet->zones, fleet->zone_count, sizeof(zone_t), by_name);
	return fleet;
}

static bool same_zone(const zone_t *a, const zone_t *b)
{
	if (strcmp(a->name, b->name) != 0 || a->count != b->count)
		return false;
	for (size_t i = 0; i < a->count; i++) {
		if (strcmp(a->places[i].name, b->places[i].name) != 0)
			return false;
	}
	return true;
}

/* True if the same proxies may be keepers. */
static bool same_fleet(const fleet_t *a, const fleet_t *b)
{
	if (a->zone_count != b->zone_count)
		return false;
	for (size_t i = 0; i < a->zone_count; i++) {
		if (!same_zone(&a->zones[i], &b->zones[i]))
			return false;
	}
	return true;
}

static const fleet_t *newest(const shard_owners_t *keepers)
{
	if (list_empty(&keepers->fleets))
		return NULL;
	return list_entry(keepers->fleets.prev, fleet_t, node);
}

static void forget_oldest(shard_owners_t *keepers)
{
	fleet_t *fleet = list_entry(keepers->fleets.next, fleet_t, node);

	list_del(&fleet->node);
	talloc_free(fleet);
	keepers->complete = false;
}

void shard_owners_set_fleet(shard_owners_t *keepers, const fleet_proxy_t *members, size_t count,
			    usec_t now)
{
	fleet_t *fleet = make_fleet(keepers, members, count);

	if (!list_empty(&keepers->fleets) && same_fleet(fleet, newest(keepers))) {
		talloc_free(fleet);
		return;
	}
	fleet->since = now;
	list_add_tail(&keepers->fleets, &fleet->node);
	if (list_length(&keepers->fleets) > FLEETS_MAX)
		forget_oldest(keepers);
}

/* --- seats --- */

/* The zone that comes at rank when all are ordered by a hash of their name and the customer's. */
static const zone_t *ranked_zone(const fleet_t *fleet, uint64_t customer, size_t rank)
{
	for (size_t i = 0; i < fleet->zone_count; i++) {
		uint64_t mine = fleet->zones[i].hash ^ customer;
		size_t before = 0;

		for (size_t j = 0; j < fleet->zone_count; j++)
			before += (fleet->zones[j].hash ^ customer) < mine;
		if (before == rank)
			return &fleet->zones[i];
	}
	return &fleet->zones[0];
}

/* The place that ranks highest among those below a rank, which is set to its own; NULL: none is. */
static const place_t *next_place(const zone_t *zone, uint64_t customer, uint64_t *below)
{
	const place_t *best = NULL;
	uint64_t best_rank = 0;

	for (size_t i = 0; i < zone->count; i++) {
		uint64_t rank = (zone->places[i].hash ^ customer) * 0x9E3779B97F4A7C15ull;

		if (rank >= *below || (best != NULL && rank <= best_rank))
			continue;
		best = &zone->places[i];
		best_rank = rank;
	}
	*below = best_rank;
	return best;
}

/*
 * The proxy whose hash, combined with the customer's, is the greatest: when one goes only its own
 * seats move. turn: with fewer zones than seats, the place's number within the zone. NULL if the
 * zone has no places.
 */
static const char *choose_place(const zone_t *zone, uint64_t customer, size_t turn)
{
	uint64_t below = UINT64_MAX;
	const place_t *chosen = NULL;

	for (size_t i = 0; i <= turn; i++) {
		const place_t *next = next_place(zone, customer, &below);

		if (next == NULL)
			break;
		chosen = next;
	}
	return chosen != NULL ? chosen->name : NULL;
}

static const zone_t *zone_of_seat(const fleet_t *fleet, const char *customer, unsigned seat)
{
	if (fleet->zone_count == 0)
		return NULL;
	return ranked_zone(fleet, hash_text(customer, 1), seat % fleet->zone_count);
}

static const char *keeper_in(const fleet_t *fleet, const char *customer, unsigned seat)
{
	const zone_t *zone = zone_of_seat(fleet, customer, seat);

	if (zone == NULL)
		return NULL;
	return choose_place(zone, hash_text(customer, 2), seat / fleet->zone_count);
}

const char *shard_owners_find(const shard_owners_t *keepers, const char *customer, unsigned seat)
{
	const fleet_t *fleet = newest(keepers);

	return fleet != NULL ? keeper_in(fleet, customer, seat) : NULL;
}

const char *shard_owners_zone(const shard_owners_t *keepers, const char *customer, unsigned seat)
{
	const fleet_t *fleet = newest(keepers);
	const zone_t *zone = fleet != NULL ? zone_of_seat(fleet, customer, seat) : NULL;

	return zone != NULL ? zone->name : NULL;
}

usec_t shard_owners_owned_since(const shard_owners_t *keepers, const char *self,
				const char *customer, unsigned seat)
{
	usec_t since = USEC_NEVER;

	for (const list_t *it = keepers->fleets.prev; it != &keepers->fleets; it = it->prev) {
		const fleet_t *fleet = list_entry(it, fleet_t, node);
		const char *keeper = keeper_in(fleet, customer, seat);

		if (keeper == NULL || strcmp(keeper, self) != 0)
			return since;
		since = fleet->since;
	}
	return keepers->complete && since != USEC_NEVER ? 0 : since;
}

const char *shard_owners_predecessor(const shard_owners_t *keepers, const char *self,
				     const char *customer, unsigned seat)
{
	for (const list_t *it = keepers->fleets.prev; it != &keepers->fleets; it = it->prev) {
		const char *keeper = keeper_in(list_entry(it, fleet_t, node), customer, seat);

		if (keeper != NULL && strcmp(keeper, self) != 0)
			return keeper;
	}
	return NULL;
}
