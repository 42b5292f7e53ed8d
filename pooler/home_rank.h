/*
 * Ranks the proxies of a zone as homes of a service (home.h), by what their machines can do. Pure:
 * the result depends only on the arguments, so that all proxies with the same roster and
 * configuration choose the same home without communication.
 *
 * Candidates are the proxies whose processor share is at least half of the largest one in the zone,
 * in the order of rendezvous hashing. If they are only some of the zone's proxies, few machines are
 * homes of all services, and by hash alone one of two may get nearly all of them. So each is home
 * of no more services than its part of the candidates' processor share, rounded up. If all of a
 * zone's processors are alike, or unknown, the order is that of the hash alone.
 *
 * The bound needs the list of services, which comes from the configuration. Proxies with different
 * versions of it may choose different homes for a moment; a home declines statements of another
 * version anyway.
 */
#pragma once

#include "roster.h"

/*
 * Largest number of services that are divided with a bound. More of them are spread evenly enough
 * by hash, and the division takes time in proportion to the square of their number.
 */
#define HOME_RANK_BOUNDED_SERVICES_MAX 32

/* The home of a service in a zone, and the proxy that replaces it if it does not answer. */
typedef struct home_rank {
	const roster_node_t *home;	 /* NULL: the zone has no proxy */
	const roster_node_t *substitute; /* NULL: the zone has only one proxy */
} home_rank_t;

/*
 * Ranks the proxies of one zone for a service. services: the hashes of all services of the
 * configuration in ascending order; if service is not among them, no bound applies.
 */
home_rank_t home_rank_find(const roster_node_t *const *proxies, size_t proxy_count,
			   const uint64_t *services, size_t service_count, uint64_t service);

/* True if a proxy of the share would be a candidate beside one of the largest share. */
bool home_rank_is_candidate(int64_t share, int64_t largest_share);
