/*
 * Who counts the operations of a customer: for each of its seats one proxy of the fleet, which all
 * proxies work out alike from the fleet's members. The seats of a customer lie in different
 * availability zones as far as there are enough.
 *
 * While the fleet changes two proxies may take themselves for the same seat's keeper, and both
 * would let the seat's share through. So one that becomes a keeper leaves the seat vacant until its
 * predecessor can't be using it any more; shard_owners_owned_since() tells how long it has been the
 * keeper.
 */
#pragma once

#include <stddef.h>

#include "clock.h"

typedef struct fleet_proxy {
	const char *name;
	const char *zone;
} fleet_proxy_t;

typedef struct shard_owners shard_owners_t;

shard_owners_t *shard_owners_create(void *parent);

/* The fleet from now on; the names are copied. */
void shard_owners_set_fleet(shard_owners_t *keepers, const fleet_proxy_t *members, size_t count,
			    usec_t now);

/* The keeper of a customer's seat (0 to LIMIT_SHARDS - 1), or NULL if the fleet is empty. */
const char *shard_owners_find(const shard_owners_t *keepers, const char *customer, unsigned seat);

/* The availability zone of that keeper; NULL if the fleet is empty. */
const char *shard_owners_zone(const shard_owners_t *keepers, const char *customer, unsigned seat);

/*
 * Since when self has been the keeper without a break, USEC_NEVER if it is not. 0: at least since
 * the first fleet that this process has seen.
 */
usec_t shard_owners_owned_since(const shard_owners_t *keepers, const char *self,
				const char *customer, unsigned seat);

/* Who was the keeper before self became it; NULL if that is not remembered. */
const char *shard_owners_predecessor(const shard_owners_t *keepers, const char *self,
				     const char *customer, unsigned seat);
