#include "fleet.h"

#include <string.h>

#include <talloc.h>
#include <xxhash.h>

/* Suspicion of a peer without heartbeats expires after this many times the allowed silence. */
#define SUSPICION_EXPIRY_FACTOR 5

static void record_change(fleet_t *fleet, fleet_change_kind_t kind, const proxy_t *proxy)
{
	fleet->changes[fleet->epoch % FLEET_CHANGES] = (fleet_change_t){kind, proxy};
	fleet->epoch++;
}

static proxy_t *proxy_create(fleet_t *fleet, const char *name, const char *zone)
{
	proxy_t *proxy = talloc_zero(fleet, proxy_t);

	proxy->name = talloc_strdup(proxy, name);
	proxy->zone = talloc_strdup(proxy, zone);
	HASH_ADD_KEYPTR(hh, fleet->proxies, proxy->name, strlen(proxy->name), proxy);
	record_change(fleet, FLEET_JOINED, proxy);
	return proxy;
}

static int fleet_destructor(fleet_t *fleet)
{
	HASH_CLEAR(hh, fleet->proxies);
	return 0;
}

fleet_t *fleet_create(void *parent, const char *name, const char *zone, const char *address)
{
	fleet_t *fleet = talloc_zero(parent, fleet_t);

	talloc_set_destructor(fleet, fleet_destructor);
	fleet->self = fleet_add(fleet, 0, name, zone, address, true);
	fleet->self->self = true;
	return fleet;
}

proxy_t *fleet_find(const fleet_t *fleet, const char *name)
{
	proxy_t *proxy;

	HASH_FIND_STR(fleet->proxies, name, proxy);
	return proxy;
}

/* Replace *field if text is given and differs; true if replaced. */
static bool update_text(proxy_t *proxy, char **field, const char *text)
{
	if (text == NULL || (*field != NULL && strcmp(*field, text) == 0))
		return false;
	talloc_free(*field);
	*field = talloc_strdup(proxy, text);
	return true;
}

proxy_t *fleet_add(fleet_t *fleet, usec_t now, const char *name, const char *zone,
		   const char *address, bool listed)
{
	proxy_t *proxy = fleet_find(fleet, name);

	if (proxy == NULL) {
		proxy = proxy_create(fleet, name, zone);
		proxy->added_at = now;
	}
	if (update_text(proxy, &proxy->zone, zone))
		record_change(fleet, FLEET_MOVED, proxy);
	update_text(proxy, &proxy->address, address);
	proxy->listed |= listed;
	return proxy;
}

static void remove_unlisted(fleet_t *fleet, usec_t now, usec_t forget_after)
{
	proxy_t *proxy;
	proxy_t *next;

	HASH_ITER (hh, fleet->proxies, proxy, next) {
		usec_t last;

		if (proxy->added_at == 0)
			proxy->added_at =
				now; /* from the settings, before the first event brought a time */
		last = proxy->last_received > proxy->added_at ? proxy->last_received
							      : proxy->added_at;
		if (proxy->self || proxy->listed || now - last < forget_after)
			continue;
		HASH_DEL(fleet->proxies, proxy);
		record_change(fleet, FLEET_LEFT, proxy);
		talloc_free(proxy);
	}
}

void fleet_apply_list(fleet_t *fleet, usec_t now, const vm_t *vms, size_t count,
		      usec_t forget_after)
{
	proxy_t *proxy;
	proxy_t *next;

	HASH_ITER (hh, fleet->proxies, proxy, next)
		proxy->listed = false;
	for (size_t i = 0; i < count; i++) {
		proxy = fleet_add(fleet, now, vms[i].name, vms[i].zone, vms[i].address, true);
		if (vms[i].leaving)
			fleet_set_leaving(fleet, proxy);
	}
	remove_unlisted(fleet, now, forget_after);
}

static void start_incarnation(fleet_t *fleet, proxy_t *proxy, uint64_t incarnation)
{
	proxy->incarnation = incarnation;
	proxy->leaving = false;
	proxy->last_echo = 0;
	proxy->peer_clock = 0;
	proxy->table_version = 0;
	record_change(fleet, FLEET_JOINED, proxy);
}

void fleet_on_message(fleet_t *fleet, proxy_t *proxy, usec_t now, const message_t *message)
{
	if (message->incarnation < proxy->incarnation)
		return;
	if (message->incarnation > proxy->incarnation)
		start_incarnation(fleet, proxy, message->incarnation);
	proxy->last_received = now;
	if (message->sent_at > proxy->peer_clock)
		proxy->peer_clock = message->sent_at;
	if (message->echo > proxy->last_echo)
		proxy->last_echo = message->echo;
	proxy->suspect = false;
	if (message->leaving)
		fleet_set_leaving(fleet, proxy);
}

void fleet_set_leaving(fleet_t *fleet, proxy_t *proxy)
{
	if (proxy->leaving)
		return;
	proxy->leaving = true;
	record_change(fleet, FLEET_LEFT, proxy);
}

void fleet_set_suspect(proxy_t *proxy, usec_t now)
{
	/* Ranks do not change: users of ranks skip suspect proxies. */
	if (proxy->self)
		return;
	proxy->suspect = true;
	proxy->suspected_at = now;
}

void fleet_suspect_silent(fleet_t *fleet, usec_t now, usec_t allowed)
{
	proxy_t *proxy;
	proxy_t *next;

	HASH_ITER (hh, fleet->proxies, proxy, next) {
		if (!proxy->sends_heartbeats) {
			if (proxy->suspect &&
			    now - proxy->suspected_at > SUSPICION_EXPIRY_FACTOR * allowed)
				proxy->suspect = false;
			continue;
		}
		/* A peer that has sent nothing yet is new: requests show if it is down. */
		if (proxy->last_received != 0 && now - proxy->last_received > allowed)
			fleet_set_suspect(proxy, now);
	}
}

void fleet_reset_health(fleet_t *fleet)
{
	proxy_t *proxy;
	proxy_t *next;

	HASH_ITER (hh, fleet->proxies, proxy, next) {
		proxy->last_received = 0;
		proxy->last_echo = 0;
	}
}

static uint64_t hash_score(const proxy_t *proxy, const char *key)
{
	uint64_t seed = XXH64(key, strlen(key), 0);

	return XXH64(proxy->name, strlen(proxy->name), seed);
}

typedef struct scored {
	proxy_t *proxy;
	uint64_t score;
} scored_proxy_t;

#define MAX_ZONES 16

/* The best proxy of each zone, and the best of all, found in one pass over the fleet. */
typedef struct best {
	scored_proxy_t by_zone[MAX_ZONES];
	size_t zones;
	scored_proxy_t overall[FLEET_RANKS];
	size_t count;
} best_t;

/* Keep list sorted by falling score, with at most max entries. */
static void insert_scored(scored_proxy_t *list, size_t *len, size_t max, scored_proxy_t entry)
{
	size_t i = *len;

	if (*len == max && list[max - 1].score >= entry.score)
		return;
	if (*len < max)
		(*len)++;
	else
		i = max - 1;
	for (; i > 0 && list[i - 1].score < entry.score; i--)
		list[i] = list[i - 1];
	list[i] = entry;
}

static bool is_same_zone(const proxy_t *a, const proxy_t *b)
{
	return a->zone != NULL && b->zone != NULL && strcmp(a->zone, b->zone) == 0;
}

static void update_zone_best(best_t *best, scored_proxy_t entry)
{
	for (size_t i = 0; i < best->zones; i++) {
		if (!is_same_zone(best->by_zone[i].proxy, entry.proxy))
			continue;
		if (entry.score > best->by_zone[i].score)
			best->by_zone[i] = entry;
		return;
	}
	if (best->zones < MAX_ZONES)
		best->by_zone[best->zones++] = entry;
}

static void find_best(const fleet_t *fleet, const char *key, best_t *best)
{
	proxy_t *proxy;
	proxy_t *next;

	best->zones = 0;
	best->count = 0;
	HASH_ITER (hh, fleet->proxies, proxy, next) {
		scored_proxy_t entry = {proxy, hash_score(proxy, key)};

		if (proxy->leaving)
			continue;
		update_zone_best(best, entry);
		insert_scored(best->overall, &best->count, FLEET_RANKS, entry);
	}
}

static bool is_ranked(const ranks_t *ranks, const proxy_t *proxy)
{
	for (size_t i = 0; i < ranks->len; i++) {
		if (ranks->proxies[i] == proxy)
			return true;
	}
	return false;
}

static bool has_zone_twice(const ranks_t *ranks)
{
	for (size_t i = 1; i < ranks->len; i++) {
		for (size_t j = 0; j < i; j++) {
			if (is_same_zone(ranks->proxies[i], ranks->proxies[j]))
				return true;
		}
	}
	return false;
}

/* True if the change may have moved these ranks. A false positive only costs time. */
static bool may_affect_ranks(const ranks_t *ranks, const char *key, const fleet_change_t *change)
{
	switch (change->kind) {
	case FLEET_JOINED:
		/* With too few zones, a proxy in a new zone is ranked whatever its score. */
		return ranks->len < FLEET_RANKS || has_zone_twice(ranks) ||
		       hash_score(change->proxy, key) > ranks->lowest_score;
	case FLEET_LEFT:
		return is_ranked(ranks, change->proxy);
	case FLEET_MOVED:
		break;
	}
	return true;
}

/* True if the proxy left at a later epoch. It may be freed: its score can't be computed. */
static bool left_since(const fleet_t *fleet, uint64_t since, const proxy_t *proxy)
{
	for (uint64_t e = since; e < fleet->epoch; e++) {
		const fleet_change_t *change = &fleet->changes[e % FLEET_CHANGES];

		if (change->kind == FLEET_LEFT && change->proxy == proxy)
			return true;
	}
	return false;
}

static bool ranks_still_hold(const fleet_t *fleet, const char *key, const ranks_t *ranks)
{
	if (ranks->epoch == 0 || fleet->epoch - ranks->epoch > FLEET_CHANGES)
		return false;
	/* First look for ranked proxies that left, since they may be freed. */
	for (uint64_t e = ranks->epoch; e < fleet->epoch; e++) {
		const fleet_change_t *change = &fleet->changes[e % FLEET_CHANGES];

		if (change->kind == FLEET_LEFT && is_ranked(ranks, change->proxy))
			return false;
	}
	for (uint64_t e = ranks->epoch; e < fleet->epoch; e++) {
		const fleet_change_t *change = &fleet->changes[e % FLEET_CHANGES];

		if (change->kind == FLEET_JOINED && left_since(fleet, e, change->proxy))
			continue;
		if (may_affect_ranks(ranks, key, change))
			return false;
	}
	return true;
}

/* Ranks the best proxies of different zones first, then the best of the others. */
void fleet_rank(const fleet_t *fleet, const char *key, ranks_t *ranks)
{
	scored_proxy_t zone_winners[FLEET_RANKS];
	size_t winners = 0;
	best_t best;

	if (ranks->epoch == fleet->epoch)
		return;
	if (ranks_still_hold(fleet, key, ranks)) {
		ranks->epoch = fleet->epoch;
		return;
	}
	find_best(fleet, key, &best);
	for (size_t i = 0; i < best.zones; i++)
		insert_scored(zone_winners, &winners, FLEET_RANKS, best.by_zone[i]);
	ranks->len = 0;
	for (size_t i = 0; i < winners; i++)
		ranks->proxies[ranks->len++] = zone_winners[i].proxy;
	for (size_t i = 0; i < best.count && ranks->len < FLEET_RANKS; i++) {
		if (!is_ranked(ranks, best.overall[i].proxy))
			ranks->proxies[ranks->len++] = best.overall[i].proxy;
	}
	ranks->lowest_score = UINT64_MAX;
	for (size_t i = 0; i < ranks->len; i++) {
		uint64_t proxy_score = hash_score(ranks->proxies[i], key);

		if (proxy_score < ranks->lowest_score)
			ranks->lowest_score = proxy_score;
	}
	ranks->epoch = fleet->epoch;
}

int fleet_acting_rank(const ranks_t *ranks)
{
	int rank = 0;

	for (size_t i = 0; i < ranks->len; i++) {
		if (ranks->proxies[i]->self)
			return rank;
		if (!ranks->proxies[i]->suspect)
			rank++;
	}
	return -1;
}

bool fleet_replaces_suspect(const ranks_t *ranks)
{
	for (size_t i = 0; i < ranks->len && !ranks->proxies[i]->self; i++) {
		if (ranks->proxies[i]->suspect)
			return true;
	}
	return false;
}

bool fleet_majority_is_alive(const fleet_t *fleet, usec_t since)
{
	size_t all = 0;
	size_t alive = 0;
	proxy_t *proxy;
	proxy_t *next;

	HASH_ITER (hh, fleet->proxies, proxy, next) {
		all++;
		/*
		 * proxy->last_received does not show that the peer is alive: a message received now
		 * may have waited in a buffer while this process was paused.
		 */
		if (proxy->self || (proxy->last_echo != 0 && proxy->last_echo >= since))
			alive++;
	}
	return 2 * alive > all;
}
