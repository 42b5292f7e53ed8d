/*
 * Until when what a process knows of the keys counts. A key that was taken away must not be served
 * for longer than a stated time, by a process that nobody can reach either. So its knowledge counts
 * for that time from the moment at which it was last proved to be the newest: a moment before the
 * question was sent whose answer showed so, by the process's own clock. The time of an answer's
 * arrival proves nothing, since the answer may have waited.
 */
#pragma once

#include <stdbool.h>

#include "clock.h"

typedef struct cache_validity {
	usec_t max_age;	     /* of what is proved; 0: it counts for ever */
	usec_t confirmed_at; /* 0: never */
} cache_validity_t;

/* Nothing newer was in force at that moment. Older moments than known ones change nothing. */
void cache_validity_confirm(cache_validity_t *proof, usec_t at);

/* USEC_NEVER: nothing is proved yet. */
usec_t cache_validity_age(const cache_validity_t *proof, usec_t now);

/* True while statements may be served by it; at the time at which a statement was read or later. */
bool cache_is_valid(const cache_validity_t *proof, usec_t now);

/* True if it has used so much of its lifetime that callers do better elsewhere. */
bool cache_is_near_expiry(const cache_validity_t *proof, usec_t now);

/* True if it is time to look for a newer one, whoever usually tells it. */
bool cache_needs_refresh(const cache_validity_t *proof, usec_t now);
