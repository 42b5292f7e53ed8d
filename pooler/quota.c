#include "quota.h"

#include <string.h>

#include <talloc.h>
#include <xxhash.h>

#include "bucket.h"
#include "caller.h"
#include "exchange.h"
#include "limit_shards.h"
#include "liveness.h"

#define LOG_MODULE "quota"
#include "counter.h"
#include "log.h"

/*
 * A shard owner that has not answered after this time is passed over; enough for a request and its
 * answer on a busy VM.
 */
#define ANSWER_TIMEOUT (60 * USEC_PER_MSEC)
/*
 * How long an owner that did not answer is passed over for all customers; by then it has answered
 * another message, or is suspect.
 */
#define PASS_OVER_TIME (300 * USEC_PER_MSEC)
/* Time between two rounds of requests while links are being made or shard owners are starting. */
#define ROUND_INTERVAL (15 * USEC_PER_MSEC)
/*
 * How long an operation may wait for the next token when the limit is reached; a refused client
 * would retry after about as long.
 */
#define TOKEN_WAIT_MAX (50 * USEC_PER_MSEC)
/* How long an operation waits for a shard owner that answers. */
#define QUOTA_WAIT_MAX (400 * USEC_PER_MSEC)
/*
 * Longest time for which the operations of a priority are refused without a request to the owner of
 * a shard that has told that it has no token for them. The demand that it told the time by may have
 * ended; a tenth of the longest time that clients are told.
 */
#define UNASKED_MAX (100 * USEC_PER_MSEC)
/* Retry delay for clients if no shard owner answers. */
#define RETRY_NO_OWNER (200 * USEC_PER_MSEC)
/* Shortest retry delay if a limit is reached. */
#define RETRY_MIN (10 * USEC_PER_MSEC)

COUNTER_DEFINE(requests_total, "limit_questions_total", COUNTER_SUM,
	       "Requests to owners of limit shards for tokens.");
COUNTER_DEFINE(refused_total, "limit_refused_total", COUNTER_SUM,
	       "Operations refused since the limit of their customer was reached.");
COUNTER_DEFINE(unanswered_total, "limit_keepers_silent_total", COUNTER_SUM,
	       "Requests that the owner of a limit shard did not answer in time.");

/*
 * The callers of one customer that wait for admission, and the state of the customer's limit shards
 * as received from their owners.
 */
typedef struct quota_queue {
	UT_hash_handle hh; /* in quota_t.by_customer */
	quota_t *quota;
	char *customer;
	list_t waiting;		 /* caller_t.quota_node, by priority, then by arrival */
	uint64_t request_number; /* number of the request in flight; 0: none */
	unsigned shard;		 /* the shard that the request is for */
	unsigned first_shard;	 /* shard to begin with; differs between proxies */
	unsigned tried_shards;	 /* shards already tried in this round, as bits */
	usec_t asked_at;	 /* when the request in flight was sent */
	token_counts_t asked;	 /* the operations that the request in flight is for */
	/* Until when a shard has no token for a priority, as its owner said. */
	usec_t empty_until[LIMIT_SHARDS][TOKEN_PRIORITIES];
	/* Until when it is not asked for the priority; at most UNASKED_MAX after that answer. */
	usec_t unasked_until[LIMIT_SHARDS][TOKEN_PRIORITIES];
	run_timer_t timer; /* time-out of the request, or start of the next round */
} quota_queue_t;

struct quota {
	pooler_t *pooler;
	quota_queue_t *by_customer;
	limit_shards_t *shards;
};

static void request_next(quota_queue_t *queue, usec_t now);

static int queue_destructor(quota_queue_t *queue)
{
	timers_cancel(queue->quota->pooler->timers, &queue->timer);
	return 0;
}

quota_t *quota_create(pooler_t *pooler)
{
	quota_t *quota = talloc_zero(pooler, quota_t);

	quota->pooler = pooler;
	quota->shards = limit_shards_create(quota, pooler);
	return quota;
}

void quota_destroy(quota_t *quota)
{
	HASH_CLEAR(hh, quota->by_customer);
	talloc_free(quota);
}

static quota_queue_t *find_queue(quota_t *quota, const char *customer)
{
	quota_queue_t *queue;

	HASH_FIND_STR(quota->by_customer, customer, queue);
	return queue;
}

static uint64_t hash_own_name(const quota_t *quota, const char *customer)
{
	const char *name = quota->pooler->config.name;

	return XXH64(name, strlen(name), XXH64(customer, strlen(customer), 0));
}

static quota_queue_t *get_queue(quota_t *quota, const char *customer)
{
	quota_queue_t *queue = find_queue(quota, customer);

	if (queue != NULL)
		return queue;
	queue = talloc_zero(quota, quota_queue_t);
	queue->quota = quota;
	queue->customer = talloc_strdup(queue, customer);
	list_init(&queue->waiting);
	queue->first_shard = (unsigned)(hash_own_name(quota, customer) % LIMIT_SHARDS);
	talloc_set_destructor(queue, queue_destructor);
	HASH_ADD_KEYPTR(hh, quota->by_customer, queue->customer, strlen(customer), queue);
	return queue;
}

/* --- waiting callers --- */

static caller_t *first_waiting_caller(const quota_queue_t *queue)
{
	return list_empty(&queue->waiting) ? NULL
					   : list_entry(queue->waiting.next, caller_t, quota_node);
}

void quota_cancel(caller_t *caller)
{
	list_del(&caller->quota_node);
}

static void insert_by_priority(quota_queue_t *queue, caller_t *caller)
{
	list_t *pos = &queue->waiting;

	list_for_each (it, &queue->waiting) {
		if (list_entry(it, caller_t, quota_node)->priority > caller->priority) {
			pos = it;
			break;
		}
	}
	list_add_before(pos, &caller->quota_node);
}

/* Stands for callers of all priorities. */
#define ANY_PRIORITY TOKEN_PRIORITIES

/* Returns the first waiting caller of the priority that the request in flight was for, or NULL. */
static caller_t *first_asked_caller(const quota_queue_t *queue, unsigned priority)
{
	list_for_each (it, &queue->waiting) {
		caller_t *caller = list_entry(it, caller_t, quota_node);

		if (caller->received_at <= queue->asked_at &&
		    (priority == ANY_PRIORITY || token_order_index(caller->priority) == priority))
			return caller;
	}
	return NULL;
}

/* Admits at most count callers of the priority; returns how many. */
static unsigned admit_callers(quota_queue_t *queue, unsigned priority, unsigned count)
{
	unsigned admitted = 0;
	caller_t *caller;

	while (admitted < count && (caller = first_asked_caller(queue, priority)) != NULL) {
		quota_cancel(caller);
		caller_on_admitted(caller);
		admitted++;
	}
	return admitted;
}

/*
 * Admits callers of the priorities that the owner granted tokens to. Tokens without a priority, as
 * of a process of an earlier version, or whose callers are gone, go to the first callers.
 */
static void admit_granted(quota_queue_t *queue, const quota_answer_t *answer)
{
	unsigned left = answer->granted;

	for (unsigned i = 0; i < TOKEN_PRIORITIES; i++) {
		unsigned count = answer->granted_to.by_priority[i];

		left -= admit_callers(queue, i, count < left ? count : left);
	}
	admit_callers(queue, ANY_PRIORITY, left);
}

/*
 * Time until a shard owner may have a token for the priority again, according to the owners' last
 * answers, but at least RETRY_MIN; for a caller that waits here, until one is asked again. A shard
 * whose owner is silent, or may not grant yet, has told no time: a caller that waits here asks it
 * again soon, but one that is told to return (told) would return in vain.
 */
static usec_t time_until_token(const quota_queue_t *queue, unsigned priority, bool told, usec_t now)
{
	usec_t earliest = USEC_NEVER;

	for (unsigned shard = 0; shard < LIMIT_SHARDS; shard++) {
		usec_t until = told ? queue->empty_until[shard][priority]
				    : queue->unasked_until[shard][priority];

		if ((until > now || !told) && until < earliest)
			earliest = until;
	}
	return earliest != USEC_NEVER && earliest > now + RETRY_MIN ? earliest - now : RETRY_MIN;
}

/* True if a shard owner has reported that it has no token for the priority for now. */
static bool is_limit_reached(const quota_queue_t *queue, unsigned priority, usec_t now)
{
	for (unsigned shard = 0; shard < LIMIT_SHARDS; shard++) {
		if (now < queue->empty_until[shard][priority])
			return true;
	}
	return false;
}

static void refuse_caller(caller_t *caller, const quota_queue_t *queue, reason_t reason,
			  usec_t retry_after)
{
	if (reason == REASON_LIMIT_REACHED)
		counter_add(&refused_total, 1);
	LOG_EVENT(LOG_DBG, "operation not admitted", LOG_STR("customer", queue->customer),
		  LOG_SLICE("request", caller->statement.id.at, caller->statement.id.len),
		  LOG_INT("priority", caller->priority), LOG_STR("reason", reason_text(reason)),
		  LOG_INT("back_ms", (int64_t)(retry_after / USEC_PER_MSEC)));
	caller_refuse(caller, reason == REASON_LIMIT_REACHED ? CODE_TOO_MANY : CODE_BUSY, reason,
		      retry_after);
}

/*
 * When a refused caller is to return. Callers that are refused by one answer of the owner are
 * spread over half as much time again, or they would return together for one token.
 */
static usec_t spread_return(quota_queue_t *queue, usec_t wait)
{
	return wait + pooler_random(queue->quota->pooler, wait / 2 + 1);
}

/* --- requests to shard owners --- */

static const char *owner_of(const quota_queue_t *queue, unsigned shard)
{
	return shard_owners_find(queue->quota->pooler->shard_owners, queue->customer, shard);
}

static void on_timer(run_timer_t *timer, usec_t now)
{
	quota_queue_t *queue = list_entry(timer, quota_queue_t, timer);
	const char *name = owner_of(queue, queue->shard);

	if (queue->request_number != 0) {
		counter_add(&unanswered_total, 1);
		LOG_EVENT(LOG_INFO, "owner of a limit shard does not answer",
			  LOG_STR("customer", queue->customer),
			  LOG_STR("proxy", name != NULL ? name : ""),
			  LOG_INT("seat", queue->shard));
		if (name != NULL)
			exchange_get_report(queue->quota->pooler, name)->shard_owner_avoided_until =
				now + PASS_OVER_TIME;
		queue->request_number = 0;
	}
	request_next(queue, now);
}

static void set_timer(quota_queue_t *queue, usec_t until)
{
	timers_arm(queue->quota->pooler->timers, &queue->timer, until, on_timer);
}

/* Counts the waiting callers that the shard may have tokens for, by priority. */
static token_counts_t count_waiting(const quota_queue_t *queue, unsigned shard, usec_t now)
{
	token_counts_t counts = {0};

	list_for_each (it, &queue->waiting) {
		unsigned index = token_order_index(list_entry(it, caller_t, quota_node)->priority);

		if (now >= queue->unasked_until[shard][index])
			counts.by_priority[index]++;
	}
	return counts;
}

/*
 * Requests tokens for the waiting callers from the owner of a shard; if that is this proxy, the
 * answer is handled at once. False if the shard has no owner, or there is no link to it yet.
 */
static bool request_tokens(quota_queue_t *queue, unsigned shard, usec_t now)
{
	quota_t *quota = queue->quota;
	pooler_t *pooler = quota->pooler;
	const char *name = owner_of(queue, shard);
	const roster_node_t *owner =
		name != NULL ? roster_find_node(pooler->sync.roster, name) : NULL;
	quota_request_t request = {
		.number = pooler_next_number(quota->pooler),
		.customer = queue->customer,
		.shard = shard,
	};
	peer_message_t message = {.kind = PEER_QUOTA_REQUEST, .quota_request = &request};
	quota_answer_t answer;

	if (owner == NULL)
		return false;
	request.by_priority = count_waiting(queue, shard, now);
	for (unsigned i = 0; i < TOKEN_PRIORITIES; i++)
		request.wanted += request.by_priority.by_priority[i];
	queue->asked = request.by_priority;
	queue->asked_at = now;
	counter_add(&requests_total, 1);
	queue->shard = shard;
	queue->request_number = request.number;
	if (strcmp(name, pooler->config.name) == 0) {
		answer = limit_shards_take(quota->shards, &request, now);
		message.kind = PEER_QUOTA_ANSWER;
		message.quota_answer = &answer;
		quota_on_answer(pooler, &message);
		return true;
	}
	exchange_fill_sender(pooler, &message);
	if (!pooler->env->ops->peer_send(pooler->env, owner->name, owner->address, &message)) {
		liveness_on_unsent(pooler, owner->name, now);
		queue->request_number = 0;
		return false;
	}
	/*
	 * Detects a silent owner from the requests for all customers together; the owner is then
	 * pinged.
	 */
	liveness_on_sent(pooler, owner->name, now);
	set_timer(queue, now + ANSWER_TIMEOUT);
	return true;
}

static bool is_in_own_zone(const quota_queue_t *queue, unsigned shard)
{
	const pooler_t *pooler = queue->quota->pooler;
	const char *zone = shard_owners_zone(pooler->shard_owners, queue->customer, shard);

	return zone != NULL && strcmp(zone, pooler->config.zone) == 0;
}

static bool is_passed_over(const quota_queue_t *queue, unsigned shard, usec_t now)
{
	const pooler_t *pooler = queue->quota->pooler;
	const char *name = owner_of(queue, shard);
	const peer_report_t *report = name != NULL ? exchange_find_report(pooler, name) : NULL;

	return report != NULL && (now < report->shard_owner_avoided_until ||
				  liveness_is_suspect(pooler, report->name, now));
}

static bool may_request(const quota_queue_t *queue, unsigned shard, usec_t now)
{
	if ((queue->tried_shards & 1u << shard) != 0 || is_passed_over(queue, shard, now))
		return false;
	list_for_each (it, &queue->waiting) {
		const caller_t *caller = list_entry(it, caller_t, quota_node);

		if (now >= queue->unasked_until[shard][token_order_index(caller->priority)])
			return true;
	}
	return false;
}

/*
 * Decides about a caller after a round in which no shard owner had a token for it. If an owner
 * reported so, the limit is reached, and the caller is refused unless the next token is due soon:
 * shards are small, and one without a token now may have one within milliseconds. Otherwise no
 * owner answered, as when all proxies have just started, and all are tried again. Returns when the
 * next round begins for the caller; USEC_NEVER if it was refused.
 */
static usec_t end_round_of(quota_queue_t *queue, caller_t *caller, usec_t now)
{
	unsigned index = token_order_index(caller->priority);
	usec_t wait = time_until_token(queue, index, false, now);

	if (is_limit_reached(queue, index, now)) {
		if (now + wait <= caller->received_at + TOKEN_WAIT_MAX)
			return now + wait;
		quota_cancel(caller);
		wait = time_until_token(queue, index, true, now);
		refuse_caller(caller, queue, REASON_LIMIT_REACHED, spread_return(queue, wait));
		return USEC_NEVER;
	}
	if (now < caller->received_at + QUOTA_WAIT_MAX)
		return now + ROUND_INTERVAL;
	quota_cancel(caller);
	refuse_caller(caller, queue, REASON_LIMIT_UNKNOWN, RETRY_NO_OWNER);
	return USEC_NEVER;
}

/* Ends a round in which no shard owner had a token for the waiting callers. */
static void end_round(quota_queue_t *queue, usec_t now)
{
	usec_t next = USEC_NEVER;

	queue->tried_shards = 0;
	list_for_each_safe (it, &queue->waiting) {
		usec_t at = end_round_of(queue, list_entry(it, caller_t, quota_node), now);

		if (at < next)
			next = at;
	}
	if (next != USEC_NEVER)
		set_timer(queue, next);
}

/*
 * Sends a request to one owner in this proxy's zone, or in another zone; false if there is none to
 * send it to.
 */
static bool request_from_one(quota_queue_t *queue, bool own_zone, usec_t now)
{
	for (unsigned i = 0; i < LIMIT_SHARDS; i++) {
		unsigned shard = (queue->first_shard + i) % LIMIT_SHARDS;

		if (is_in_own_zone(queue, shard) == own_zone && may_request(queue, shard, now) &&
		    request_tokens(queue, shard, now))
			return true;
	}
	return false;
}

/*
 * Sends requests to one shard owner after the other for the waiting callers, owners in this proxy's
 * zone first.
 */
static void request_next(quota_queue_t *queue, usec_t now)
{
	if (list_empty(&queue->waiting) || queue->request_number != 0)
		return;
	if (!request_from_one(queue, true, now) && !request_from_one(queue, false, now))
		end_round(queue, now);
}

bool quota_admit(caller_t *caller)
{
	pooler_t *pooler = caller->pooler;
	const customer_t *customer =
		customers_find_by_name(pooler->routes->customers, caller->customer);
	usec_t now = now_of(pooler);
	quota_queue_t *queue;
	bool may_ask;

	if (customer == NULL || customer->rate <= 0)
		return true;
	queue = get_queue(pooler->quota, caller->customer);
	insert_by_priority(queue, caller);
	/* The others wait for the next round, for which this priority need not wait. */
	may_ask = first_waiting_caller(queue) == caller && queue->request_number == 0;
	if (!may_ask && list_length(&queue->waiting) != 1)
		return false;
	queue->tried_shards = 0;
	timers_cancel(pooler->timers, &queue->timer);
	queue->request_number = 0;
	request_next(queue, now);
	return false;
}

/* Records until when the shard has no token for the priorities that it was asked for. */
static void record_waits(quota_queue_t *queue, const quota_answer_t *answer, usec_t now)
{
	for (unsigned i = 0; i < TOKEN_PRIORITIES; i++) {
		usec_t wait = answer->has_waits ? answer->waits[i] : answer->retry_after;

		if (queue->asked.by_priority[i] == 0)
			continue;
		queue->empty_until[queue->shard][i] = wait != 0 ? now + wait : 0;
		queue->unasked_until[queue->shard][i] =
			now + (wait < UNASKED_MAX ? wait : UNASKED_MAX);
	}
}

static void handle_answer(quota_queue_t *queue, const quota_answer_t *answer, usec_t now)
{
	unsigned shard = queue->shard;

	queue->request_number = 0;
	timers_cancel(queue->quota->pooler->timers, &queue->timer);
	if (answer->granted == 0)
		queue->tried_shards |= 1u << shard;
	if (!answer->not_owner)
		record_waits(queue, answer, now);
	admit_granted(queue, answer);
	/*
	 * A round ends when a caller was admitted: for the remaining callers every shard may be
	 * tried again.
	 */
	if (answer->granted != 0)
		queue->tried_shards = 0;
	request_next(queue, now);
}

void quota_on_answer(pooler_t *pooler, const peer_message_t *message)
{
	const quota_answer_t *answer = message->quota_answer;
	quota_queue_t *queue = find_queue(pooler->quota, answer->customer);

	if (answer->release) {
		limit_shards_on_released(pooler->quota->shards, answer, now_of(pooler));
		return;
	}
	/*
	 * A token that arrives too late is not used: another owner was sent a request for the
	 * operation.
	 */
	if (queue != NULL && queue->request_number == answer->number)
		handle_answer(queue, answer, now_of(pooler));
}

void quota_on_request(pooler_t *pooler, const peer_message_t *message)
{
	limit_shards_t *shards = pooler->quota->shards;
	quota_answer_t answer =
		message->quota_request->release
			? limit_shards_release(shards, message->quota_request, message->revision)
			: limit_shards_take(shards, message->quota_request, now_of(pooler));

	outbox_send_quota_answer(&pooler->outbox, message->from, message->address, &answer);
}

static void update_owners(pooler_t *pooler, usec_t now)
{
	const roster_t *roster = pooler->sync.roster;
	fleet_proxy_t *members = talloc_array(NULL, fleet_proxy_t, list_length(&roster->nodes));
	size_t count = 0;

	list_for_each (it, &roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		if (!node->gone)
			members[count++] = (fleet_proxy_t){.name = node->name, .zone = node->zone};
	}
	shard_owners_set_fleet(pooler->shard_owners, members, count, now);
	talloc_free(members);
}

void quota_on_roster(pooler_t *pooler)
{
	if (pooler->shard_owners_revision == pooler->sync.roster->nodes_revision)
		return;
	pooler->shard_owners_revision = pooler->sync.roster->nodes_revision;
	update_owners(pooler, now_of(pooler));
}
