/*
 * How long a process may serve callers by its cached configuration, which holds the customers'
 * keys. A revoked key must stop working within a stated time, also at a process that is cut off
 * from all others. So the cache is valid for that time only, counted by the process's own clock
 * from the last moment at which it was confirmed to be the newest version. This is the moment at
 * which the process sent the query whose answer confirmed the version, or earlier. The arrival of
 * the answer doesn't count, since the answer may have been delayed.
 */
#pragma once

#include <stdbool.h>

#include "clock.h"

typedef struct cache_validity {
	usec_t max_age;	     /* of a confirmed cache; 0: unlimited */
	usec_t confirmed_at; /* 0: never */
} cache_validity_t;

/*
 * The cached version was the newest one at that moment. Calls with a moment before the last
 * confirmed one have no effect.
 */
void cache_validity_confirm(cache_validity_t *validity, usec_t at);

/* Time since the last confirmation; USEC_NEVER if there was none. */
usec_t cache_validity_age(const cache_validity_t *validity, usec_t now);

/* True while statements may be served; now: the time when a statement was read, or later. */
bool cache_is_valid(const cache_validity_t *validity, usec_t now);

/* True if the cache is so close to its expiry that callers had better use another proxy. */
bool cache_is_near_expiry(const cache_validity_t *validity, usec_t now);

/* True if the process should request a confirmation itself, rather than wait for an update. */
bool cache_needs_refresh(const cache_validity_t *validity, usec_t now);
