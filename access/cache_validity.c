#include "cache_validity.h"

/* Percent of max_age at which the cache expires: the clocks of two VMs differ slightly in speed. */
#define VALID_PERCENT 97
/*
 * Percent of max_age from which callers are sent elsewhere. The load balancer needs up to 2 s to
 * direct callers to another proxy.
 */
#define NEAR_EXPIRY_PERCENT 60
/*
 * Percent of max_age at which a confirmation is requested. The last one is usually younger than 20
 * percent; the time left until the cache expires is for requests that fail.
 */
#define REFRESH_PERCENT 40

static bool is_younger_than(const cache_validity_t *validity, usec_t now, unsigned percent)
{
	return validity->max_age == 0 ||
	       cache_validity_age(validity, now) < validity->max_age / 100 * percent;
}

void cache_validity_confirm(cache_validity_t *validity, usec_t at)
{
	if (at > validity->confirmed_at)
		validity->confirmed_at = at;
}

usec_t cache_validity_age(const cache_validity_t *validity, usec_t now)
{
	return validity->confirmed_at != 0 && validity->confirmed_at <= now
		       ? now - validity->confirmed_at
		       : USEC_NEVER;
}

bool cache_is_valid(const cache_validity_t *validity, usec_t now)
{
	return is_younger_than(validity, now, VALID_PERCENT);
}

bool cache_is_near_expiry(const cache_validity_t *validity, usec_t now)
{
	return !is_younger_than(validity, now, NEAR_EXPIRY_PERCENT);
}

bool cache_needs_refresh(const cache_validity_t *validity, usec_t now)
{
	return !is_younger_than(validity, now, REFRESH_PERCENT);
}
