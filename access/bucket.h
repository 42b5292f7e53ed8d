/*
 * A token bucket: it refills at rate tokens per second and holds at most burst tokens. It is filled
 * lazily, when a function of this module is called; the caller passes the current time.
 */
#pragma once

#include "clock.h"

typedef struct bucket {
	double rate;	   /* tokens added per second */
	double burst;	   /* capacity */
	double tokens;	   /* available at updated_at */
	usec_t updated_at; /* time of the last refill */
} bucket_t;

/* Starts with initial tokens, or with burst if that is less. */
void bucket_init(bucket_t *bucket, double rate, double burst, double initial, usec_t now);

/* Changes rate and burst from now on; tokens beyond the new burst are discarded. */
void bucket_set_limit(bucket_t *bucket, double rate, double burst, usec_t now);

/* Takes up to wanted whole tokens, as many as are available; returns how many were taken. */
unsigned bucket_take(bucket_t *bucket, unsigned wanted, usec_t now);

/* Time until a whole token is available; USEC_NEVER if the limit never allows one. */
usec_t bucket_wait_time(bucket_t *bucket, usec_t now);
