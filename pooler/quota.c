#include "quota.h"

#include <string.h>

#include <talloc.h>
#include <xxhash.h>

#include "bucket.h"
#include "caller.h"
#include "exchange.h"
#include "home.h"
#include "seat.h"

#define LOG_MODULE "quota"
#include "counter.h"
#include "log.h"

/* A keeper that has not answered for so long is passed over: a question's way to a busy VM. */
#define ANSWER_PATIENCE (60 * USEC_PER_MSEC)
/* For so long by all; by then it has answered something else, or is taken for silent. */
#define PASSED_OVER_FOR (300 * USEC_PER_MSEC)
/* Between two rounds of questions while links are made, and keepers have not started. */
#define ROUND_RETRY (15 * USEC_PER_MSEC)
/* Longest that an operation waits for a token: its client would come again after as long. */
#define TOKEN_PATIENCE (50 * USEC_PER_MSEC)
/* Longest that an operation waits for a keeper that answers. */
#define QUOTA_PATIENCE (400 * USEC_PER_MSEC)
/* When to come back if no keeper answers. */
#define RETRY_UNKNOWN (200 * USEC_PER_MSEC)
/* At the soonest, if a limit is reached. */
#define RETRY_LEAST (10 * USEC_PER_MSEC)

COUNTER_DEFINE(asked_total, "limit_questions_total", COUNTER_SUM,
	       "Questions for operations of customers, to keepers.");
COUNTER_DEFINE(refused_total, "limit_refused_total", COUNTER_SUM,
	       "Operations refused since the limit of their customer was reached.");
COUNTER_DEFINE(silent_total, "limit_keepers_silent_total", COUNTER_SUM,
	       "Questions that a keeper did not answer in time.");

/* What this proxy knows of one customer's keepers. */
typedef struct allowance {
	UT_hash_handle hh; /* in quota_t.by_customer */
	quota_t *quota;
	char *customer;
	list_t waiting;	   /* caller_t.admission, by arrival */
	uint64_t question; /* under way; 0: none */
	unsigned seat;	   /* that it went to */
	unsigned first;	   /* seat to begin with, another one for each proxy */
	unsigned tried;	   /* seats asked for those that wait now, as bits */
	usec_t empty_until[LIMIT_SEATS];
	run_timer_t timer; /* of the question, or until the next round */
} allowance_t;

struct quota {
	pooler_t *pooler;
	allowance_t *by_customer;
	seats_t *seats;
};

static void ask_next(allowance_t *allowance, usec_t now);

static int allowance_destructor(allowance_t *allowance)
{
	timers_cancel(allowance->quota->pooler->timers, &allowance->timer);
	return 0;
}

quota_t *quota_create(pooler_t *pooler)
{
	quota_t *quota = talloc_zero(pooler, quota_t);

	quota->pooler = pooler;
	quota->seats = seats_create(quota, pooler);
	return quota;
}

void quota_destroy(quota_t *quota)
{
	HASH_CLEAR(hh, quota->by_customer);
	talloc_free(quota);
}

static allowance_t *find_allowance(quota_t *quota, const char *customer)
{
	allowance_t *allowance;

	HASH_FIND_STR(quota->by_customer, customer, allowance);
	return allowance;
}

static uint64_t hash_self(const quota_t *quota, const char *customer)
{
	const char *name = quota->pooler->config.name;

	return XXH64(name, strlen(name), XXH64(customer, strlen(customer), 0));
}

static allowance_t *get_allowance(quota_t *quota, const char *customer)
{
	allowance_t *allowance = find_allowance(quota, customer);

	if (allowance != NULL)
		return allowance;
	allowance = talloc_zero(quota, allowance_t);
	allowance->quota = quota;
	allowance->customer = talloc_strdup(allowance, customer);
	list_init(&allowance->waiting);
	allowance->first = (unsigned)(hash_self(quota, customer) % LIMIT_SEATS);
	talloc_set_destructor(allowance, allowance_destructor);
	HASH_ADD_KEYPTR(hh, quota->by_customer, allowance->customer, strlen(customer), allowance);
	return allowance;
}

/* --- those that wait --- */

static caller_t *first_waiting(const allowance_t *allowance)
{
	return list_empty(&allowance->waiting)
		       ? NULL
		       : list_entry(allowance->waiting.next, caller_t, quota_node);
}

void quota_leave(caller_t *caller)
{
	list_del(&caller->quota_node);
}

static void admit(allowance_t *allowance, unsigned count)
{
	caller_t *caller;

	while (count-- != 0 && (caller = first_waiting(allowance)) != NULL) {
		quota_leave(caller);
		caller_on_admitted(caller);
	}
}

/* Until a keeper may have a token again, as far as they have told; RETRY_LEAST at least. */
static usec_t until_token(const allowance_t *allowance, usec_t now)
{
	usec_t least = USEC_NEVER;

	for (unsigned seat = 0; seat < LIMIT_SEATS; seat++) {
		if (allowance->empty_until[seat] < least)
			least = allowance->empty_until[seat];
	}
	return least > now + RETRY_LEAST ? least - now : RETRY_LEAST;
}

/* True if no keeper that was heard of has a token now. */
static bool is_used_up(const allowance_t *allowance, usec_t now)
{
	for (unsigned seat = 0; seat < LIMIT_SEATS; seat++) {
		if (now < allowance->empty_until[seat])
			return true;
	}
	return false;
}

static void refuse_one(caller_t *caller, const allowance_t *allowance, reason_t reason, usec_t back)
{
	if (reason == REASON_LIMIT_REACHED)
		counter_add(&refused_total, 1);
	LOG_EVENT(LOG_DBG, "operation not admitted", LOG_STR("customer", allowance->customer),
		  LOG_STR("reason", reason_text(reason)),
		  LOG_INT("back_ms", (int64_t)(back / USEC_PER_MSEC)));
	caller_refuse(caller, reason == REASON_LIMIT_REACHED ? CODE_TOO_MANY : CODE_BUSY, reason,
		      back);
}

static void refuse_all(allowance_t *allowance, reason_t reason, usec_t back)
{
	caller_t *caller;

	while ((caller = first_waiting(allowance)) != NULL) {
		quota_leave(caller);
		refuse_one(caller, allowance, reason, back);
	}
}

/* --- questions --- */

static const char *keeper_of(const allowance_t *allowance, unsigned seat)
{
	return keepers_find(allowance->quota->pooler->shard_owners, allowance->customer, seat);
}

static void on_timer(run_timer_t *timer, usec_t now)
{
	allowance_t *allowance = list_entry(timer, allowance_t, timer);
	const char *name = keeper_of(allowance, allowance->seat);

	if (allowance->question != 0) {
		counter_add(&silent_total, 1);
		LOG_EVENT(LOG_INFO, "keeper does not answer",
			  LOG_STR("customer", allowance->customer),
			  LOG_STR("proxy", name != NULL ? name : ""),
			  LOG_INT("seat", allowance->seat));
		if (name != NULL)
			exchange_get_report(allowance->quota->pooler, name)->passed_over_until =
				now + PASSED_OVER_FOR;
		allowance->question = 0;
	}
	ask_next(allowance, now);
}

static void wait_for(allowance_t *allowance, usec_t until)
{
	timers_arm(allowance->quota->pooler->timers, &allowance->timer, until, on_timer);
}

/*
 * Ask the keeper of a seat for all that wait; if it is this proxy it has answered. False if there
 * is none, or no link to it yet.
 */
static bool ask(allowance_t *allowance, unsigned seat, usec_t now)
{
	quota_t *quota = allowance->quota;
	pooler_t *pooler = quota->pooler;
	const char *name = keeper_of(allowance, seat);
	const roster_node_t *keeper = name != NULL ? roster_node(pooler->sync.roster, name) : NULL;
	quota_request_t request = {
		.number = pooler_next_number(quota->pooler),
		.customer = allowance->customer,
		.seat = seat,
		.wanted = (unsigned)list_length(&allowance->waiting),
	};
	peer_message_t message = {.kind = PEER_TAKE, .take = &request};
	quota_answer_t answer;

	if (keeper == NULL)
		return false;
	counter_add(&asked_total, 1);
	allowance->seat = seat;
	allowance->question = request.number;
	if (strcmp(name, pooler->config.name) == 0) {
		answer = seats_take(quota->seats, &request, now);
		message.kind = PEER_TAKEN;
		message.taken = &answer;
		quota_on_answer(pooler, &message);
		return true;
	}
	exchange_fill(pooler, &message);
	/* Found to be silent by all customers' questions together, and asked whether it lives. */
	home_on_sent(pooler, keeper->name, now);
	if (!pooler->env->ops->peer_send(pooler->env, keeper->name, keeper->address, &message)) {
		allowance->question = 0;
		return false;
	}
	wait_for(allowance, now + ANSWER_PATIENCE);
	return true;
}

static bool is_near(const allowance_t *allowance, unsigned seat)
{
	const pooler_t *pooler = allowance->quota->pooler;
	const char *zone = keepers_zone(pooler->shard_owners, allowance->customer, seat);

	return zone != NULL && strcmp(zone, pooler->config.zone) == 0;
}

static bool is_passed_over(const allowance_t *allowance, unsigned seat, usec_t now)
{
	const pooler_t *pooler = allowance->quota->pooler;
	const char *name = keeper_of(allowance, seat);
	const peer_report_t *report = name != NULL ? exchange_report(pooler, name) : NULL;

	return report != NULL &&
	       (now < report->passed_over_until || home_is_suspect(pooler, report->name, now));
}

static bool may_ask(const allowance_t *allowance, unsigned seat, usec_t now)
{
	return (allowance->tried & 1u << seat) == 0 && now >= allowance->empty_until[seat] &&
	       !is_passed_over(allowance, seat, now);
}

/*
 * No keeper has a token. If one has said so the limit is reached, and those that wait are refused
 * unless the next token comes soon: shares are small, and one that has none just now may have one
 * in some ms. Else nobody has answered, as when all proxies have just started, and all are asked
 * again.
 */
static void end_round(allowance_t *allowance, const caller_t *oldest, usec_t now)
{
	usec_t wait = until_token(allowance, now);

	if (is_used_up(allowance, now)) {
		allowance->tried = 0;
		if (now + wait <= oldest->received_at + TOKEN_PATIENCE)
			wait_for(allowance, now + wait);
		else
			refuse_all(allowance, REASON_LIMIT_REACHED, wait);
	} else if (now >= oldest->received_at + QUOTA_PATIENCE) {
		refuse_all(allowance, REASON_LIMIT_UNKNOWN, RETRY_UNKNOWN);
	} else {
		allowance->tried = 0;
		wait_for(allowance, now + ROUND_RETRY);
	}
}

/* Ask a keeper of our zone, or of another one; false if there is none to ask. */
static bool ask_one_of(allowance_t *allowance, bool near, usec_t now)
{
	for (unsigned i = 0; i < LIMIT_SEATS; i++) {
		unsigned seat = (allowance->first + i) % LIMIT_SEATS;

		if (is_near(allowance, seat) == near && may_ask(allowance, seat, now) &&
		    ask(allowance, seat, now))
			return true;
	}
	return false;
}

/* Ask one keeper after the other for those that wait, the nearest first. */
static void ask_next(allowance_t *allowance, usec_t now)
{
	const caller_t *oldest = first_waiting(allowance);

	if (oldest == NULL || allowance->question != 0)
		return;
	if (!ask_one_of(allowance, true, now) && !ask_one_of(allowance, false, now))
		end_round(allowance, oldest, now);
}

bool quota_enter(caller_t *caller)
{
	pooler_t *pooler = caller->pooler;
	const customer_t *customer = customers_by_name(pooler->routes->customers, caller->customer);
	usec_t now = now_of(pooler);
	allowance_t *allowance;
	bool alone;

	if (customer == NULL || customer->rate <= 0)
		return true;
	allowance = get_allowance(pooler->quota, caller->customer);
	alone = list_empty(&allowance->waiting);
	list_add_tail(&allowance->waiting, &caller->quota_node);
	if (!alone)
		return false;
	allowance->tried = 0;
	timers_cancel(pooler->timers, &allowance->timer);
	allowance->question = 0;
	ask_next(allowance, now);
	return false;
}

static void take_answer(allowance_t *allowance, const quota_answer_t *answer, usec_t now)
{
	unsigned seat = allowance->seat;

	allowance->question = 0;
	timers_cancel(allowance->quota->pooler->timers, &allowance->timer);
	if (answer->granted == 0)
		allowance->tried |= 1u << seat;
	if (!answer->vacant)
		allowance->empty_until[seat] = answer->wait != 0 ? now + answer->wait : 0;
	admit(allowance, answer->granted);
	/* A round is over when somebody was admitted: the next ones may ask every keeper again. */
	if (answer->granted != 0)
		allowance->tried = 0;
	ask_next(allowance, now);
}

void quota_on_answer(pooler_t *pooler, const peer_message_t *message)
{
	const quota_answer_t *answer = message->taken;
	allowance_t *allowance = find_allowance(pooler->quota, answer->customer);

	if (answer->release) {
		seats_on_released(pooler->quota->seats, answer, now_of(pooler));
		return;
	}
	/* A token that comes too late is not used: another keeper was asked for its operation. */
	if (allowance != NULL && allowance->question == answer->number)
		take_answer(allowance, answer, now_of(pooler));
}

void quota_on_request(pooler_t *pooler, const peer_message_t *message)
{
	seats_t *seats = pooler->quota->seats;
	quota_answer_t answer = message->take->release
					? seats_release(seats, message->take, message->revision)
					: seats_take(seats, message->take, now_of(pooler));

	outbox_send_quota_answer(&pooler->outbox, message->from, message->address, &answer);
}

static void fill_fleet(pooler_t *pooler, usec_t now)
{
	const roster_t *roster = pooler->sync.roster;
	fleet_member_t *members = talloc_array(NULL, fleet_member_t, list_length(&roster->nodes));
	size_t count = 0;

	list_for_each (it, &roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		if (!node->gone)
			members[count++] = (fleet_member_t){.name = node->name, .zone = node->zone};
	}
	keepers_set_fleet(pooler->shard_owners, members, count, now);
	talloc_free(members);
}

void quota_on_roster(pooler_t *pooler)
{
	if (pooler->shard_owners_revision == pooler->sync.roster->nodes_revision)
		return;
	pooler->shard_owners_revision = pooler->sync.roster->nodes_revision;
	fill_fleet(pooler, now_of(pooler));
}
