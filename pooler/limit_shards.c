#include "limit_shards.h"

#include <string.h>

#include <talloc.h>

#include "bucket.h"
#include "exchange.h"
#include "permit.h"

#define LOG_MODULE "seat"
#include "counter.h"
#include "log.h"

/*
 * A new owner of a shard whose predecessor does not answer grants nothing for this long: the
 * predecessor may not have received the new roster, and keeps granting until its permission by the
 * older roster has ended. By then more than half of the fleet have the new roster and no longer
 * extend that permission.
 */
#define TAKEOVER_DELAY (PERMIT_LEASE_TIME + 700 * USEC_PER_MSEC)
/* Time between two release requests to a predecessor. */
#define RELEASE_INTERVAL (100 * USEC_PER_MSEC)
/*
 * Requests without result per second that a shard owner answers for a customer far beyond its
 * limit; without this bound the customer's proxies would send a request for every operation.
 */
#define MAX_DENIALS_PER_S 40

COUNTER_DEFINE(granted_total, "limit_tokens_total", COUNTER_SUM,
	       "Operations of customers admitted by this proxy as the owner of a limit shard.");
COUNTER_DEFINE(denied_total, "limit_denied_total", COUNTER_SUM,
	       "Requests to this proxy as the owner of a limit shard that found no token.");

static const char *const priority_names[TOKEN_PRIORITIES] = {"0", "1", "2", "3"};
static const char *const outcome_names[] = {"granted", "denied"};

COUNTER_GRID_DEFINE(asked_total, "limit_asked_total", "priority", priority_names, "outcome",
		    outcome_names,
		    "Tokens that this proxy was asked for as the owner of a limit shard, by the "
		    "priority of the route (3: and all lower ones) and the outcome.");

typedef struct limit_shard {
	UT_hash_handle hh;  /* in limit_shards_t.by_name */
	char *name;	    /* "NUMBER CUSTOMER" */
	usec_t owned_since; /* shard_owners_owned_since() at the last request */
	bucket_t bucket;
	token_order_t order;
	usec_t last_owned_at;	  /* when this proxy was last seen to be the owner */
	bool granting;		  /* tokens were granted since owned_since */
	bool released;		  /* released to a successor since owned_since */
	int64_t release_revision; /* revision of the roster that made the successor the owner */
	bool taken_over;	  /* the predecessor has released the shard since owned_since */
	uint64_t release_request; /* number of the current release request; 0: none */
	usec_t release_sent_at;
	/* Requests that found no token since denied_window_start, by priority. */
	unsigned denied[TOKEN_PRIORITIES];
	usec_t denied_window_start; /* start of the second in which they are counted */
} limit_shard_t;

struct limit_shards {
	pooler_t *pooler;
	limit_shard_t *by_name;
};

static int limit_shards_destructor(limit_shards_t *shards)
{
	HASH_CLEAR(hh, shards->by_name);
	return 0;
}

limit_shards_t *limit_shards_create(void *parent, pooler_t *pooler)
{
	limit_shards_t *shards = talloc_zero(parent, limit_shards_t);

	shards->pooler = pooler;
	talloc_set_destructor(shards, limit_shards_destructor);
	return shards;
}

/* Begins a period of ownership: from the start, or after other proxies owned the shard. */
static void start_ownership(limit_shard_t *shard, usec_t since)
{
	shard->owned_since = since;
	shard->granting = false;
	shard->released = false;
	shard->taken_over = false;
	shard->release_request = 0;
}

static limit_shard_t *get_shard(limit_shards_t *shards, const quota_request_t *request,
				usec_t since, usec_t now)
{
	char *name = talloc_asprintf(shards, "%u %s", request->shard, request->customer);
	limit_shard_t *shard;

	HASH_FIND_STR(shards->by_name, name, shard);
	if (shard != NULL) {
		talloc_free(name);
		/*
		 * Earlier states of the fleet are dropped over time, so since may rise for a shard
		 * that this proxy owned all along.
		 */
		if (since != USEC_NEVER && since > shard->last_owned_at)
			start_ownership(shard, since);
		if (since != USEC_NEVER)
			shard->last_owned_at = now;
		return shard;
	}
	shard = talloc_zero(shards, limit_shard_t);
	shard->name = talloc_steal(shard, name);
	shard->owned_since = since;
	shard->last_owned_at = since != USEC_NEVER ? now : 0;
	HASH_ADD_KEYPTR(hh, shards->by_name, shard->name, strlen(shard->name), shard);
	return shard;
}

/*
 * True if this proxy may grant tokens of the shard now: it is the owner by its roster, and the
 * roster is confirmed to be in force. Whether the roster lists this process or an earlier one of
 * the same name makes no difference, since the earlier one has ended.
 */
static bool may_grant(const pooler_t *pooler, const limit_shard_t *shard, usec_t now)
{
	if (now >= permit_expires_at(pooler) || shard->released)
		return false;
	return shard->owned_since == 0 || shard->taken_over ||
	       now >= shard->owned_since + TAKEOVER_DELAY;
}

/*
 * Tokens are granted from now on, beginning with the initial amount of a bucket whose earlier use
 * is unknown.
 */
static void start_granting(const pooler_t *pooler, limit_shard_t *shard, const shard_limit_t *limit,
			   usec_t now)
{
	usec_t from =
		shard->owned_since == 0 ? pooler->started : shard->owned_since + TAKEOVER_DELAY;

	if (shard->granting) {
		bucket_set_limit(&shard->bucket, limit->rate, limit->burst, now);
		return;
	}
	shard->granting = true;
	shard->order = (token_order_t){0};
	bucket_init(&shard->bucket, limit->rate, limit->burst, limit->initial,
		    from < now ? from : now);
}

static void request_release(limit_shards_t *shards, limit_shard_t *shard,
			    const quota_request_t *from, usec_t now)
{
	pooler_t *pooler = shards->pooler;
	const char *name = shard_owners_predecessor(pooler->shard_owners, pooler->config.name,
						    from->customer, from->shard);
	const roster_node_t *node =
		name != NULL ? roster_find_node(pooler->sync.roster, name) : NULL;
	quota_request_t request = {
		.customer = from->customer,
		.shard = from->shard,
		.release = true,
	};
	peer_message_t message = {.kind = PEER_QUOTA_REQUEST, .quota_request = &request};

	if (node == NULL || node->gone || now < shard->release_sent_at + RELEASE_INTERVAL)
		return;
	request.number = pooler_next_number(pooler);
	exchange_fill_sender(pooler, &message);
	if (!pooler->env->ops->peer_send(pooler->env, node->name, node->address, &message))
		return;
	shard->release_request = request.number;
	shard->release_sent_at = now;
}

quota_answer_t limit_shards_release(limit_shards_t *shards, const quota_request_t *request,
				    int64_t revision)
{
	limit_shard_t *shard = get_shard(shards, request, USEC_NEVER, 0);
	quota_answer_t answer = {
		.number = request->number,
		.customer = request->customer,
		.release = true,
		.not_owner = true,
		/* Only a proxy that granted tokens is certain that no other proxy still does. */
		.released = shard->granting,
	};

	if (answer.released) {
		shard->released = true;
		shard->release_revision = revision;
	}
	return answer;
}

/*
 * Reclaims a released shard. The successor owned it for a short time only, and this proxy has
 * received only the rosters before and after: it is still the owner by both, and would never grant
 * again. Another proxy may have granted tokens meanwhile, so the shard is taken over like a new
 * one.
 */
static void reclaim(const pooler_t *pooler, limit_shard_t *shard, usec_t now)
{
	if (shard->released && pooler->sync.roster->revision >= shard->release_revision)
		start_ownership(shard, now);
}

void limit_shards_on_released(limit_shards_t *shards, const quota_answer_t *answer, usec_t now)
{
	for (limit_shard_t *shard = shards->by_name; shard != NULL; shard = shard->hh.next) {
		if (shard->release_request == 0 || shard->release_request != answer->number)
			continue;
		shard->release_request = 0;
		shard->taken_over = answer->released;
		LOG_EVENT(
			LOG_INFO, "limit shard taken over", LOG_STR("customer", answer->customer),
			LOG_STR("seat", shard->name), LOG_INT("released", answer->released),
			LOG_INT("after_ms", (int64_t)((now - shard->owned_since) / USEC_PER_MSEC)));
		return;
	}
}

/*
 * Delay after which a proxy that got no token may send the next request, however soon a token is
 * free: the customer's proxies send no more than MAX_DENIALS_PER_S of a priority in vain, or each
 * of them one in the time for which it refuses operations without a request.
 */
static usec_t least_retry_delay(limit_shard_t *shard, unsigned priority, usec_t now)
{
	usec_t delay;

	if (now >= shard->denied_window_start + USEC_PER_SEC) {
		shard->denied_window_start = now;
		memset(shard->denied, 0, sizeof(shard->denied));
	}
	shard->denied[priority]++;
	delay = shard->denied[priority] * USEC_PER_SEC / MAX_DENIALS_PER_S;
	return delay < PLACE_TIME_MAX ? delay : PLACE_TIME_MAX;
}

/*
 * The wanted operations by priority. Those whose priority the request does not tell count as of the
 * lowest; counts beyond the number wanted are left out, the lowest priorities first.
 */
static token_counts_t counts_of(const quota_request_t *request)
{
	token_counts_t wanted = request->by_priority;
	unsigned left = request->wanted;

	for (unsigned i = 0; i < TOKEN_PRIORITIES; i++) {
		if (wanted.by_priority[i] > left)
			wanted.by_priority[i] = left;
		left -= wanted.by_priority[i];
	}
	wanted.by_priority[TOKEN_PRIORITIES - 1] += left;
	return wanted;
}

/* Sets when each priority that got too few tokens may be asked for again. */
static void set_waits(limit_shard_t *shard, const token_counts_t *wanted,
		      const token_counts_t *granted, quota_answer_t *answer, usec_t now)
{
	counter_add(&denied_total, 1);
	answer->has_waits = true;
	answer->retry_after = USEC_NEVER;
	for (unsigned i = 0; i < TOKEN_PRIORITIES; i++) {
		unsigned lacking = wanted->by_priority[i] - granted->by_priority[i];
		usec_t wait;
		usec_t least;

		if (lacking == 0)
			continue;
		wait = token_order_place(&shard->order, &shard->bucket, i,
					 (double)lacking / LIMIT_SHARDS, now);
		least = least_retry_delay(shard, i, now);
		answer->waits[i] = wait > least ? wait : least;
		if (answer->waits[i] < answer->retry_after)
			answer->retry_after = answer->waits[i];
	}
}

static void count_outcomes(unsigned priority, unsigned wanted, unsigned granted)
{
	for (unsigned i = 0; i < wanted; i++)
		counter_grid_increment(&asked_total, priority, i < granted ? 0 : 1);
}

/* Grants tokens in the order of priorities. */
static void grant(limit_shard_t *shard, const quota_request_t *request, quota_answer_t *answer,
		  usec_t now)
{
	token_counts_t wanted = counts_of(request);
	token_counts_t granted;

	answer->granted = token_order_take(&shard->order, &shard->bucket, &wanted, &granted, now);
	answer->granted_to = granted;
	counter_add(&granted_total, answer->granted);
	for (unsigned i = 0; i < TOKEN_PRIORITIES; i++)
		count_outcomes(i, wanted.by_priority[i], granted.by_priority[i]);
	if (answer->granted < request->wanted)
		set_waits(shard, &wanted, &granted, answer, now);
}

/* Since when this proxy has owned the requested shard; USEC_NEVER: it does not own it. */
static usec_t owned_since(const pooler_t *pooler, const quota_request_t *request)
{
	if (request->shard >= LIMIT_SHARDS)
		return USEC_NEVER;
	return shard_owners_owned_since(pooler->shard_owners, pooler->config.name,
					request->customer, request->shard);
}

quota_answer_t limit_shards_take(limit_shards_t *shards, const quota_request_t *request, usec_t now)
{
	const pooler_t *pooler = shards->pooler;
	const customer_t *customer =
		pooler->routes != NULL
			? customers_find_by_name(pooler->routes->customers, request->customer)
			: NULL;
	quota_answer_t answer = {.number = request->number, .customer = request->customer};
	usec_t since = owned_since(pooler, request);
	shard_limit_t limit;
	limit_shard_t *shard;

	answer.not_owner = true;
	if (customer == NULL || since == USEC_NEVER)
		return answer;
	shard = get_shard(shards, request, since, now);
	reclaim(pooler, shard, now);
	if (!may_grant(pooler, shard, now)) {
		if (!shard->released && shard->owned_since != 0)
			request_release(shards, shard, request, now);
		return answer;
	}
	answer.not_owner = false;
	limit = shard_limit_compute(customer, &pooler->config.slack);
	start_granting(pooler, shard, &limit, now);
	grant(shard, request, &answer, now);
	return answer;
}
