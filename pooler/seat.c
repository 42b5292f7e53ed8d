#include "seat.h"

#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "bucket.h"
#include "permit.h"

#define LOG_MODULE "seat"
#include "counter.h"
#include "log.h"

/*
 * So long after a proxy became the keeper of a seat it gives nothing: who was it before may not
 * have heard, and goes on until its permission for the older roster has ended, or a majority knows
 * the newer one and prolongs it no more.
 */
#define VACANT_FOR (PERMIT_ALONE + 2200 * USEC_PER_MSEC)
/*
 * Questions in vain a second that a seat's keeper has to answer for a customer that sends far
 * beyond its limit, whose proxies would else ask for every operation.
 */
#define DENIED_PER_S 40

COUNTER_DEFINE(granted_total, "limit_tokens_total", COUNTER_SUM,
	       "Operations of customers let through by this proxy as their keeper.");
COUNTER_DEFINE(denied_total, "limit_denied_total", COUNTER_SUM,
	       "Questions to this proxy as a keeper that found no token.");

typedef struct seat {
	UT_hash_handle hh; /* in seats_t.by_name */
	char *name;	   /* "NUMBER CUSTOMER" */
	usec_t since;	   /* keepers_since() when it was last looked at */
	bucket_t bucket;
	unsigned denied;    /* questions in vain */
	usec_t denied_from; /* in the second that began then */
} seat_t;

struct seats {
	pooler_t *pooler;
	seat_t *by_name;
};

static int seats_destructor(seats_t *seats)
{
	HASH_CLEAR(hh, seats->by_name);
	return 0;
}

seats_t *seats_create(void *parent, pooler_t *pooler)
{
	seats_t *seats = talloc_zero(parent, seats_t);

	seats->pooler = pooler;
	talloc_set_destructor(seats, seats_destructor);
	return seats;
}

/* What a seat has, counted from when this process began to count. */
static void start_counting(const seats_t *seats, seat_t *seat, const limit_share_t *share,
			   usec_t since, usec_t now)
{
	usec_t from = since + VACANT_FOR;

	if (since == 0)
		from = seats->pooler->started;
	seat->since = since;
	bucket_init(&seat->bucket, share->rate, share->burst, share->initial,
		    from < now ? from : now);
}

static seat_t *get_seat(seats_t *seats, const quota_request_t *request, const limit_share_t *share,
			usec_t since, usec_t now)
{
	char *name = talloc_asprintf(seats, "%u %s", request->seat, request->customer);
	seat_t *seat;

	HASH_FIND_STR(seats->by_name, name, seat);
	if (seat == NULL) {
		seat = talloc_zero(seats, seat_t);
		seat->name = talloc_steal(seat, name);
		HASH_ADD_KEYPTR(hh, seats->by_name, seat->name, strlen(seat->name), seat);
		start_counting(seats, seat, share, since, now);
		return seat;
	}
	talloc_free(name);
	if (seat->since != since)
		start_counting(seats, seat, share, since, now);
	else
		bucket_set(&seat->bucket, share->rate, share->burst, now);
	return seat;
}

/* True if this proxy may use the seat's share now. */
static bool is_kept(const pooler_t *pooler, usec_t since, usec_t now)
{
	if (since == USEC_NEVER || now >= permit_end(pooler) || !permit_is_registered(pooler))
		return false;
	return since == 0 || now >= since + VACANT_FOR;
}

/* When a proxy that found no token is to ask again. */
static usec_t wait_of(seat_t *seat, usec_t now)
{
	usec_t wait = bucket_wait(&seat->bucket, now);
	usec_t spread;

	if (now >= seat->denied_from + USEC_PER_SEC) {
		seat->denied_from = now;
		seat->denied = 0;
	}
	seat->denied++;
	counter_add(&denied_total, 1);
	spread = seat->denied * USEC_PER_SEC / DENIED_PER_S;
	return wait > spread ? wait : spread;
}

quota_answer_t seats_take(seats_t *seats, const quota_request_t *request, usec_t now)
{
	const pooler_t *pooler = seats->pooler;
	const customer_t *customer =
		pooler->routes != NULL
			? customers_by_name(pooler->routes->customers, request->customer)
			: NULL;
	quota_answer_t answer = {.number = request->number, .customer = request->customer};
	usec_t since;
	limit_share_t share;
	seat_t *seat;

	since = request->seat < LIMIT_SEATS ? keepers_since(pooler->keepers, pooler->config.name,
							    request->customer, request->seat)
					    : USEC_NEVER;
	answer.vacant = customer == NULL || !is_kept(pooler, since, now);
	if (answer.vacant)
		return answer;
	share = limit_share(customer, &pooler->config.slack);
	seat = get_seat(seats, request, &share, since, now);
	answer.granted = bucket_take(&seat->bucket, request->wanted, now);
	counter_add(&granted_total, answer.granted);
	if (answer.granted < request->wanted)
		answer.wait = wait_of(seat, now);
	return answer;
}
