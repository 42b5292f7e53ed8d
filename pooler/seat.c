#include "seat.h"

#include <string.h>

#include <talloc.h>

#include "bucket.h"
#include "exchange.h"
#include "permit.h"

#define LOG_MODULE "seat"
#include "counter.h"
#include "log.h"

/*
 * So long after a proxy became the keeper of a seat, and its predecessor did not answer, it gives
 * nothing: the predecessor may not have heard, and goes on until its permission by the older roster
 * has ended. More than half of the fleet have heard by then and prolong it no more.
 */
#define VACANT_FOR (PERMIT_ALONE + 700 * USEC_PER_MSEC)
/* Between two questions to a predecessor. */
#define RELEASE_INTERVAL (100 * USEC_PER_MSEC)
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
	usec_t kept_at;	     /* when it was last seen to be ours */
	bool in_force;	     /* tokens were given, since then */
	bool released;	     /* to a successor, since then */
	int64_t released_by; /* revision of the roster that made it the keeper */
	bool taken_over;     /* the predecessor has released it, since then */
	uint64_t question;   /* to the predecessor; 0: none */
	usec_t asked_at;
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

/* The seat was ours all the time, or is from now on, or after others have had it. */
static void start_counting(seat_t *seat, usec_t since)
{
	seat->since = since;
	seat->in_force = false;
	seat->released = false;
	seat->taken_over = false;
	seat->question = 0;
}

static seat_t *get_seat(seats_t *seats, const quota_request_t *request, usec_t since, usec_t now)
{
	char *name = talloc_asprintf(seats, "%u %s", request->seat, request->customer);
	seat_t *seat;

	HASH_FIND_STR(seats->by_name, name, seat);
	if (seat != NULL) {
		talloc_free(name);
		/* Old fleets are forgotten: since may grow for a seat that was ours all along. */
		if (since != USEC_NEVER && since > seat->kept_at)
			start_counting(seat, since);
		if (since != USEC_NEVER)
			seat->kept_at = now;
		return seat;
	}
	seat = talloc_zero(seats, seat_t);
	seat->name = talloc_steal(seat, name);
	seat->since = since;
	seat->kept_at = since != USEC_NEVER ? now : 0;
	HASH_ADD_KEYPTR(hh, seats->by_name, seat->name, strlen(seat->name), seat);
	return seat;
}

/*
 * True if this proxy may use the seat's share now. By its roster it is the keeper, and the roster
 * is known to be in force; whether this process or an earlier one of the same name is on it makes
 * no difference, since the earlier one is gone.
 */
static bool is_kept(const pooler_t *pooler, const seat_t *seat, usec_t now)
{
	if (now >= permit_end(pooler) || seat->released)
		return false;
	return seat->since == 0 || seat->taken_over || now >= seat->since + VACANT_FOR;
}

/* Tokens are given from now on: by a share that a process which knows nothing of before may use. */
static void enter_into_force(const pooler_t *pooler, seat_t *seat, const limit_share_t *share,
			     usec_t now)
{
	usec_t from = seat->since == 0 ? pooler->started : seat->since + VACANT_FOR;

	if (seat->in_force) {
		bucket_set(&seat->bucket, share->rate, share->burst, now);
		return;
	}
	seat->in_force = true;
	bucket_init(&seat->bucket, share->rate, share->burst, share->initial,
		    from < now ? from : now);
}

static void ask_predecessor(seats_t *seats, seat_t *seat, const quota_request_t *from, usec_t now)
{
	pooler_t *pooler = seats->pooler;
	const char *name = keepers_before(pooler->shard_owners, pooler->config.name, from->customer,
					  from->seat);
	const roster_node_t *node = name != NULL ? roster_node(pooler->sync.roster, name) : NULL;
	quota_request_t request = {
		.customer = from->customer,
		.seat = from->seat,
		.release = true,
	};
	peer_message_t message = {.kind = PEER_TAKE, .take = &request};

	if (node == NULL || node->gone || now < seat->asked_at + RELEASE_INTERVAL)
		return;
	request.number = pooler_next_number(pooler);
	exchange_fill(pooler, &message);
	if (!pooler->env->ops->peer_send(pooler->env, node->name, node->address, &message))
		return;
	seat->question = request.number;
	seat->asked_at = now;
}

quota_answer_t seats_release(seats_t *seats, const quota_request_t *request, int64_t revision)
{
	seat_t *seat = get_seat(seats, request, USEC_NEVER, 0);
	quota_answer_t answer = {
		.number = request->number,
		.customer = request->customer,
		.release = true,
		.vacant = true,
		/* Only who gave tokens knows that nobody else still does. */
		.released = seat->in_force,
	};

	if (answer.released) {
		seat->released = true;
		seat->released_by = revision;
	}
	return answer;
}

/*
 * The successor was one for a short time, and this proxy has seen only the rosters before and
 * after: the seat is ours still, and would stay vacant for ever. Somebody else may have given
 * tokens meanwhile, so it is taken over anew.
 */
static void take_back(const pooler_t *pooler, seat_t *seat, usec_t now)
{
	if (seat->released && pooler->sync.roster->revision >= seat->released_by)
		start_counting(seat, now);
}

void seats_on_released(seats_t *seats, const quota_answer_t *answer, usec_t now)
{
	for (seat_t *seat = seats->by_name; seat != NULL; seat = seat->hh.next) {
		if (seat->question == 0 || seat->question != answer->number)
			continue;
		seat->question = 0;
		seat->taken_over = answer->released;
		LOG_EVENT(LOG_INFO, "seat taken over", LOG_STR("customer", answer->customer),
			  LOG_STR("seat", seat->name), LOG_INT("released", answer->released),
			  LOG_INT("after_ms", (int64_t)((now - seat->since) / USEC_PER_MSEC)));
		return;
	}
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

/* Since when this proxy keeps the seat that is asked for; USEC_NEVER: it does not. */
static usec_t kept_since(const pooler_t *pooler, const quota_request_t *request)
{
	if (request->seat >= LIMIT_SEATS)
		return USEC_NEVER;
	return keepers_since(pooler->shard_owners, pooler->config.name, request->customer,
			     request->seat);
}

quota_answer_t seats_take(seats_t *seats, const quota_request_t *request, usec_t now)
{
	const pooler_t *pooler = seats->pooler;
	const customer_t *customer =
		pooler->routes != NULL
			? customers_by_name(pooler->routes->customers, request->customer)
			: NULL;
	quota_answer_t answer = {.number = request->number, .customer = request->customer};
	usec_t since = kept_since(pooler, request);
	limit_share_t share;
	seat_t *seat;

	answer.vacant = true;
	if (customer == NULL || since == USEC_NEVER)
		return answer;
	seat = get_seat(seats, request, since, now);
	take_back(pooler, seat, now);
	if (!is_kept(pooler, seat, now)) {
		if (!seat->released && seat->since != 0)
			ask_predecessor(seats, seat, request, now);
		return answer;
	}
	answer.vacant = false;
	share = limit_share(customer, &pooler->config.slack);
	enter_into_force(pooler, seat, &share, now);
	answer.granted = bucket_take(&seat->bucket, request->wanted, now);
	counter_add(&granted_total, answer.granted);
	if (answer.granted < request->wanted)
		answer.wait = wait_of(seat, now);
	return answer;
}
