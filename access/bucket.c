#include "bucket.h"

static double least(double a, double b)
{
	return a < b ? a : b;
}

static void fill(bucket_t *bucket, usec_t now)
{
	if (now <= bucket->at)
		return;
	bucket->level += bucket->rate * (double)(now - bucket->at) / (double)USEC_PER_SEC;
	bucket->level = least(bucket->level, bucket->burst);
	bucket->at = now;
}

void bucket_init(bucket_t *bucket, double rate, double burst, double level, usec_t now)
{
	*bucket = (bucket_t){
		.rate = rate,
		.burst = burst,
		.level = least(level, burst),
		.at = now,
	};
}

void bucket_set_limit(bucket_t *bucket, double rate, double burst, usec_t now)
{
	fill(bucket, now);
	bucket->rate = rate;
	bucket->burst = burst;
	bucket->level = least(bucket->level, burst);
}

unsigned bucket_take(bucket_t *bucket, unsigned wanted, usec_t now)
{
	unsigned taken;

	fill(bucket, now);
	taken = bucket->level < wanted ? (unsigned)bucket->level : wanted;
	bucket->level -= taken;
	return taken;
}

usec_t bucket_wait_time(bucket_t *bucket, usec_t now)
{
	fill(bucket, now);
	if (bucket->level >= 1)
		return 0;
	if (bucket->rate <= 0 || bucket->burst < 1)
		return USEC_NEVER;
	return (usec_t)((1 - bucket->level) / bucket->rate * (double)USEC_PER_SEC) + 1;
}
