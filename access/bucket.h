/* A token bucket: at most burst at once, and rate a second on the average. */
#pragma once

#include "clock.h"

typedef struct bucket {
	double rate;   /* tokens a second */
	double burst;  /* tokens at most */
	double tokens; /* tokens, at the time of */
	usec_t updated_at;
} bucket_t;

void bucket_init(bucket_t *bucket, double rate, double burst, double level, usec_t now);

/* Another limit from now on; what is beyond its burst is lost. */
void bucket_set_limit(bucket_t *bucket, double rate, double burst, usec_t now);

/* Takes as many as there are, up to wanted; returns how many. */
unsigned bucket_take(bucket_t *bucket, unsigned wanted, usec_t now);

/* Time until a whole token is there; USEC_NEVER if there never is one. */
usec_t bucket_wait_time(bucket_t *bucket, usec_t now);
