#include "cache_validity.h"

/* Clocks of two VMs don't run at quite the same speed. */
#define HOLDS_PERCENT 97
/* The balancer needs up to two seconds to send callers elsewhere. */
#define OLD_PERCENT 60
/* A proof usually is a fifth of the lifetime old; what is left is for tries that fail. */
#define NEWS_PERCENT 40

static bool is_within(const proof_t *proof, usec_t now, unsigned percent)
{
	return proof->lifetime == 0 || proof_age(proof, now) < proof->lifetime / 100 * percent;
}

void proof_extend(proof_t *proof, usec_t at)
{
	if (at > proof->proved_at)
		proof->proved_at = at;
}

usec_t proof_age(const proof_t *proof, usec_t now)
{
	return proof->proved_at != 0 && proof->proved_at <= now ? now - proof->proved_at
								: USEC_NEVER;
}

bool proof_holds(const proof_t *proof, usec_t now)
{
	return is_within(proof, now, HOLDS_PERCENT);
}

bool proof_is_old(const proof_t *proof, usec_t now)
{
	return !is_within(proof, now, OLD_PERCENT);
}

bool proof_wants_news(const proof_t *proof, usec_t now)
{
	return !is_within(proof, now, NEWS_PERCENT);
}
