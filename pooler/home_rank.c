#include "home_rank.h"

#include <talloc.h>

#include "upstream.h"

/* A candidate's processor share is at least this part of the largest one in its zone. */
#define LEAST_SHARE_DIVISOR 2

/* The candidates of a zone, with the number of services that each is home of so far. */
typedef struct candidates {
	const roster_node_t **proxies;
	size_t *loads;
	size_t len;
	int64_t total_share;
} candidates_t;

bool home_rank_is_candidate(int64_t share, int64_t largest_share)
{
	return share * LEAST_SHARE_DIVISOR >= largest_share;
}

static int64_t find_largest_share(const roster_node_t *const *proxies, size_t count,
				  const roster_node_t *except)
{
	int64_t largest = 0;

	for (size_t i = 0; i < count; i++) {
		if (proxies[i] != except && proxies[i]->capacity > largest)
			largest = proxies[i]->capacity;
	}
	return largest;
}

/* Returns the first candidate by hash among the proxies other than except; NULL: there is none. */
static const roster_node_t *find_first(const roster_node_t *const *proxies, size_t count,
				       const roster_node_t *except, uint64_t service)
{
	int64_t largest = find_largest_share(proxies, count, except);
	const roster_node_t *first = NULL;
	uint64_t first_hash = 0;

	for (size_t i = 0; i < count; i++) {
		uint64_t hash;

		if (proxies[i] == except || !home_rank_is_candidate(proxies[i]->capacity, largest))
			continue;
		hash = upstream_hash(proxies[i], service);
		if (first != NULL && hash >= first_hash)
			continue;
		first = proxies[i];
		first_hash = hash;
	}
	return first;
}

static void collect_candidates(candidates_t *candidates, const roster_node_t *const *proxies,
			       size_t count, void *parent)
{
	int64_t largest = find_largest_share(proxies, count, NULL);

	candidates->proxies = talloc_array(parent, const roster_node_t *, count);
	candidates->loads = talloc_zero_array(parent, size_t, count);
	for (size_t i = 0; i < count; i++) {
		if (!home_rank_is_candidate(proxies[i]->capacity, largest))
			continue;
		candidates->proxies[candidates->len++] = proxies[i];
		candidates->total_share += proxies[i]->capacity;
	}
}

/* Number of services of which the candidate may be home: its part by share, rounded up. */
static size_t max_load(const candidates_t *candidates, size_t index, size_t service_count)
{
	int64_t services = (int64_t)service_count;
	int64_t share = candidates->proxies[index]->capacity;

	return (size_t)((services * share + candidates->total_share - 1) / candidates->total_share);
}

/* Gives the service to the first candidate by hash that may still have one. */
static const roster_node_t *assign(candidates_t *candidates, size_t service_count, uint64_t service)
{
	size_t first = candidates->len;
	uint64_t first_hash = 0;

	for (size_t i = 0; i < candidates->len; i++) {
		uint64_t hash;

		if (candidates->loads[i] >= max_load(candidates, i, service_count))
			continue;
		hash = upstream_hash(candidates->proxies[i], service);
		if (first != candidates->len && hash >= first_hash)
			continue;
		first = i;
		first_hash = hash;
	}
	candidates->loads[first]++;
	return candidates->proxies[first];
}

/*
 * Assigns the services in the order of their hashes, up to the one looked for. Returns NULL if it
 * is not among them, or if no bound applies: all proxies are candidates, or no share is known.
 */
static const roster_node_t *find_bounded(const roster_node_t *const *proxies, size_t count,
					 const uint64_t *services, size_t service_count,
					 uint64_t service)
{
	void *parent = talloc_new(NULL);
	candidates_t candidates = {0};
	const roster_node_t *home = NULL;
	bool is_bounded;

	collect_candidates(&candidates, proxies, count, parent);
	is_bounded = candidates.len < count && candidates.total_share > 0;
	for (size_t i = 0; is_bounded && i < service_count; i++) {
		const roster_node_t *assigned = assign(&candidates, service_count, services[i]);

		if (services[i] != service)
			continue;
		home = assigned;
		break;
	}
	talloc_free(parent);
	return home;
}

home_rank_t home_rank_find(const roster_node_t *const *proxies, size_t proxy_count,
			   const uint64_t *services, size_t service_count, uint64_t service)
{
	home_rank_t rank = {0};

	if (service_count <= HOME_RANK_BOUNDED_SERVICES_MAX)
		rank.home = find_bounded(proxies, proxy_count, services, service_count, service);
	if (rank.home == NULL)
		rank.home = find_first(proxies, proxy_count, NULL, service);
	rank.substitute = find_first(proxies, proxy_count, rank.home, service);
	return rank;
}
