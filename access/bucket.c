#include "bucket.h"

static double least(double a, double b)
{
	return a < b ? a : b;
}

static void fill(bucket_t *bucket, usec_t now)
{
	if (now <= bucket->updated_at)
		return;
	bucket->tokens += bucket->rate * (double)(now - bucket->updated_at) / (double)USEC_PER_SEC;
	bucket->tokens = least(bucket->tokens, bucket->burst);
	bucket->updated_at = now;
}

void bucket_init(bucket_t *bucket, double rate, double burst, double level, usec_t now)
{
	*bucket = (bucket_t){
		.rate = rate,
		.burst = burst,
		.tokens = least(level, burst),
		.updated_at = now,
	};
}

void bucket_set_limit(bucket_t *bucket, double rate, double burst, usec_t now)
{
	fill(bucket, now);
	bucket->rate = rate;
	bucket->burst = burst;
	bucket->tokens = least(bucket->tokens, burst);
}

unsigned bucket_take(bucket_t *bucket, unsigned wanted, usec_t now)
{
	unsigned taken;

	fill(bucket, now);
	taken = bucket->tokens < wanted ? (unsigned)bucket->tokens : wanted;
	bucket->tokens -= taken;
	return taken;
}

usec_t bucket_wait_time(bucket_t *bucket, usec_t now)
{
	fill(bucket, now);
	if (bucket->tokens >= 1)
		return 0;
	if (bucket->rate <= 0 || bucket->burst < 1)
		return USEC_NEVER;
	return (usec_t)((1 - bucket->tokens) / bucket->rate * (double)USEC_PER_SEC) + 1;
}
