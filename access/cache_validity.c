#include "cache_validity.h"

/* Clocks of two VMs don't run at quite the same speed. */
#define HOLDS_PERCENT 97
/* The balancer needs up to two seconds to send callers elsewhere. */
#define OLD_PERCENT 60
/* A proof usually is a fifth of the lifetime old; what is left is for tries that fail. */
#define NEWS_PERCENT 40

static bool is_within(const cache_validity_t *proof, usec_t now, unsigned percent)
{
	return proof->max_age == 0 ||
	       cache_validity_age(proof, now) < proof->max_age / 100 * percent;
}

void cache_validity_confirm(cache_validity_t *proof, usec_t at)
{
	if (at > proof->confirmed_at)
		proof->confirmed_at = at;
}

usec_t cache_validity_age(const cache_validity_t *proof, usec_t now)
{
	return proof->confirmed_at != 0 && proof->confirmed_at <= now ? now - proof->confirmed_at
								      : USEC_NEVER;
}

bool cache_is_valid(const cache_validity_t *proof, usec_t now)
{
	return is_within(proof, now, HOLDS_PERCENT);
}

bool cache_is_near_expiry(const cache_validity_t *proof, usec_t now)
{
	return !is_within(proof, now, OLD_PERCENT);
}

bool cache_needs_refresh(const cache_validity_t *proof, usec_t now)
{
	return !is_within(proof, now, NEWS_PERCENT);
}
