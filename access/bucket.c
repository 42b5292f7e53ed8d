#include "bucket.h"

static double min_double(double a, double b)
{
	return a < b ? a : b;
}

static void refill(bucket_t *bucket, usec_t now)
{
	if (now <= bucket->updated_at)
		return;
	bucket->tokens += bucket->rate * (double)(now - bucket->updated_at) / (double)USEC_PER_SEC;
	bucket->tokens = min_double(bucket->tokens, bucket->burst);
	bucket->updated_at = now;
}

void bucket_init(bucket_t *bucket, double rate, double burst, double initial, usec_t now)
{
	*bucket = (bucket_t){
		.rate = rate,
		.burst = burst,
		.tokens = min_double(initial, burst),
		.updated_at = now,
	};
}

void bucket_set_limit(bucket_t *bucket, double rate, double burst, usec_t now)
{
	refill(bucket, now);
	bucket->rate = rate;
	bucket->burst = burst;
	bucket->tokens = min_double(bucket->tokens, burst);
}

unsigned bucket_take(bucket_t *bucket, unsigned wanted, usec_t now)
{
	unsigned count;

	refill(bucket, now);
	count = bucket->tokens < wanted ? (unsigned)bucket->tokens : wanted;
	bucket->tokens -= count;
	return count;
}

usec_t bucket_wait_time(bucket_t *bucket, usec_t now)
{
	refill(bucket, now);
	if (bucket->tokens >= 1)
		return 0;
	if (bucket->rate <= 0 || bucket->burst < 1)
		return USEC_NEVER;
	return (usec_t)((1 - bucket->tokens) / bucket->rate * (double)USEC_PER_SEC) + 1;
}
