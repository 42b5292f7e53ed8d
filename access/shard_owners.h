/*
 * The owners of the limit shards (shard_limit.h). The owner of a shard is the one proxy of the
 * fleet that counts the shard's operations. Every proxy computes the owners from the list of
 * proxies, by rendezvous hashing, so that all proxies with the same list agree. The shards of a
 * customer are owned in different availability zones, as far as there are enough zones.
 *
 * While the list of proxies changes, two proxies may both consider themselves the owner of a shard,
 * and together would admit twice its operations. So a new owner leaves the shard vacant until its
 * predecessor can no longer be using the shard; shard_owners_owned_since() returns the time since
 * which a proxy has been the owner.
 */
#pragma once

#include <stddef.h>

#include "clock.h"

typedef struct fleet_proxy {
	const char *name;
	const char *zone;
} fleet_proxy_t;

/* The current fleet and the last ones before it. */
typedef struct shard_owners shard_owners_t;

shard_owners_t *shard_owners_create(void *parent);

/* Sets the proxies of the fleet from now on; the names are copied. */
void shard_owners_set_fleet(shard_owners_t *owners, const fleet_proxy_t *proxies, size_t count,
			    usec_t now);

/* The owner of a customer's shard (0 to LIMIT_SHARDS - 1), or NULL if the fleet is empty. */
const char *shard_owners_find(const shard_owners_t *owners, const char *customer, unsigned shard);

/* The availability zone of a shard's owner, or NULL if the fleet is empty. */
const char *shard_owners_zone(const shard_owners_t *owners, const char *customer, unsigned shard);

/*
 * The time since which the proxy self has owned the shard without interruption: USEC_NEVER if self
 * is not the owner, 0 if it has been the owner since the first fleet that this process received.
 */
usec_t shard_owners_owned_since(const shard_owners_t *owners, const char *self,
				const char *customer, unsigned shard);

/* The owner before self, or NULL if no fleet that is remembered has another one. */
const char *shard_owners_predecessor(const shard_owners_t *owners, const char *self,
				     const char *customer, unsigned shard);
