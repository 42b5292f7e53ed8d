#include "cache_validity.h"

/* Expires a little early, since the clocks of two VMs run at slightly different speeds. */
#define VALID_PERCENT 97
/* Early enough for the load balancer, which takes up to 2 s to direct callers to another proxy. */
#define NEAR_EXPIRY_PERCENT 60
/*
 * The last confirmation is usually younger than a fifth of max_age. To request one at 40 percent
 * leaves time for requests that fail.
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
