#include "loan_exchange.h"

#include "dispatch.h"
#include "exchange.h"
#include "home.h"
#include "member.h"
#include "permit.h"
#include "room.h"

#define LOG_MODULE "loan"
#include "counter.h"
#include "log.h"

/*
 * Time between two requests for a service after one that brought nothing. It doubles each time:
 * where all homes are busy, requests would be sent in vain for as long as the load lasts.
 */
#define REQUEST_SPACING	    (100 * USEC_PER_MSEC)
#define REQUEST_SPACING_MAX LOAN_TIME
/* The same after one that was answered: early enough to renew the loan before it ends. */
#define RENEWAL_SPACING (LOAN_TIME / 2)
/*
 * A caller has waited for this long before a loan is requested for it: a statement or two that run
 * before it. Such waits end by themselves, and messages between zones are charged.
 */
#define WAIT_MIN (30 * USEC_PER_MSEC)

COUNTER_DEFINE(requests_total, "loan_requests_total", COUNTER_SUM,
	       "Requests to other homes to lend room at members.");
COUNTER_DEFINE(refused_total, "loan_requests_refused_total", COUNTER_SUM,
	       "Requests of other homes to which nothing was lent.");
COUNTER_DEFINE(given_total, "loans_given_total", COUNTER_SUM,
	       "Loans of room at a member given to other homes.");
COUNTER_DEFINE(taken_total, "loans_taken_total", COUNTER_SUM,
	       "Loans of room at a member taken from other homes.");
COUNTER_DEFINE(late_total, "loan_answers_late_total", COUNTER_SUM,
	       "Loans that arrived after they had ended.");

/* --- requests --- */

/* The waiting callers that the member may serve. */
static unsigned count_waiting_for(const service_t *service, const member_t *member, usec_t now,
				  usec_t min_wait)
{
	bool is_primary = permit_primary(service, now) == member;
	unsigned count = 0;

	list_for_each (it, &service->waiting) {
		const caller_t *caller = list_entry(it, caller_t, queue_node);

		count += (is_primary || (caller->target == TARGET_ANY && !caller->primary_only)) &&
			 now >= caller->received_at + min_wait;
	}
	return count;
}

static bool is_full(const member_t *member)
{
	return member_is_usable(member) && !room_is_free(member);
}

static unsigned count_full(const service_t *service)
{
	unsigned count = 0;

	list_for_each (it, &service->members)
		count += is_full(list_entry(it, member_t, in_service));
	return count;
}

/*
 * Fills in what to borrow: at each full member room for an equal part of those that wait for it,
 * in addition to what is borrowed there already.
 */
static void fill_wanted(service_t *service, loan_terms_t *terms, usec_t now)
{
	unsigned full = count_full(service);

	if (full == 0)
		return;
	list_for_each (it, &service->members) {
		member_t *member = list_entry(it, member_t, in_service);
		unsigned waiting;

		if (!is_full(member) || terms->count == LOAN_MEMBERS_MAX)
			continue;
		waiting = count_waiting_for(service, member, now, WAIT_MIN);
		if (waiting == 0)
			continue;
		terms->members[terms->count].member = member->id;
		terms->members[terms->count++].statements =
			(waiting + full - 1) / full + room_borrowed(member, now);
	}
}

static void record_request(service_t *service, uint64_t number, usec_t now)
{
	loan_requests_t *requests = &service->loan_requests;
	size_t at = requests->count++ % LOAN_REQUESTS_MAX;

	requests->sent[at].number = number;
	requests->sent[at].sent_at = now;
	if (requests->was_answered)
		requests->spacing = RENEWAL_SPACING;
	else
		requests->spacing =
			usec_clamp(requests->spacing * 2, REQUEST_SPACING, REQUEST_SPACING_MAX);
	requests->was_answered = false;
	requests->next_at = now + requests->spacing;
}

static void send_to_others(service_t *service, const loan_terms_t *terms, usec_t now)
{
	pooler_t *pooler = service->pooler;
	const roster_node_t *others[HOME_CANDIDATES];
	size_t count = home_list_others(service, now, others, HOME_CANDIDATES);
	peer_message_t message = {.kind = PEER_LOAN_REQUEST, .loan = terms};

	exchange_fill_sender(pooler, &message);
	for (size_t i = 0; i < count; i++) {
		if (exchange_send(pooler, others[i]->name, others[i]->address, &message))
			counter_add(&requests_total, 1);
	}
}

static void request_loans(service_t *service, usec_t now)
{
	loan_terms_t terms = {.service = service->name};

	if (now < service->loan_requests.next_at || !home_holds_conns(service, now))
		return;
	fill_wanted(service, &terms, now);
	if (terms.count == 0)
		return;
	terms.number = pooler_next_number(service->pooler);
	record_request(service, terms.number, now);
	send_to_others(service, &terms, now);
}

static void note_lack_of_room(service_t *service, usec_t now)
{
	list_for_each (it, &service->members) {
		member_t *member = list_entry(it, member_t, in_service);

		if (is_full(member) && count_waiting_for(service, member, now, 0) != 0)
			member->room_lacked_at = now;
	}
}

void loan_exchange_tick(pooler_t *pooler, usec_t now)
{
	if (!pooler->config.lend_room)
		return;
	list_for_each (it, &pooler->active_services) {
		service_t *service = list_entry(it, service_t, active);

		if (!home_is_needed(service) || list_empty(&service->waiting))
			continue;
		note_lack_of_room(service, now);
		request_loans(service, now);
	}
}

/* --- lending --- */

/* True if this proxy owns a part of the service's members: it is the home of its zone. */
static bool owns_part(service_t *service, usec_t now)
{
	return home_is_needed(service) && permit_is_registered(service->pooler) &&
	       home_is_self(service, now);
}

static member_t *find_member(const service_t *service, const char *id)
{
	member_t *member = member_find(service->pooler, id);

	return member != NULL && member->service == service ? member : NULL;
}

/*
 * What this home needs of its part of the member: all of it if its own callers have waited for room
 * there of late, since they may do so again before a loan ends.
 */
static unsigned get_need(const member_t *member, usec_t now)
{
	if (member->room_lacked_at != 0 && now < member->room_lacked_at + LOAN_TIME)
		return room_part(member);
	return (unsigned)room_used(member) + count_waiting_for(member->service, member, now, 0);
}

static unsigned lend(member_t *member, const char *borrower, unsigned wanted, usec_t now)
{
	loan_book_t *book = room_loans(member);
	unsigned part = room_part(member);
	unsigned need = get_need(member, now);
	unsigned lent_before = loan_book_lent(book, now);
	unsigned amount = loan_book_lend(book, borrower, wanted, part, need, now);

	if (amount != 0)
		counter_add(&given_total, 1);
	/* Loans are renewed several times a second; only changes are logged. */
	if (loan_book_lent(book, now) != lent_before)
		LOG_EVENT(LOG_INFO, "room lent", LOG_STR("service", member->service->name),
			  LOG_STR("member", member->id), LOG_STR("to", borrower),
			  LOG_INT("statements", amount), LOG_INT("wanted", wanted),
			  LOG_INT("part", part), LOG_INT("needed", need),
			  LOG_INT("lent_before", lent_before));
	return amount;
}

void loan_exchange_on_request(pooler_t *pooler, const peer_message_t *message)
{
	const loan_terms_t *wanted = message->loan;
	usec_t now = now_of(pooler);
	loan_terms_t lent = {.number = wanted->number, .service = wanted->service};
	peer_message_t answer = {.kind = PEER_LOAN_ANSWER, .loan = &lent};
	service_t *service;

	HASH_FIND_STR(pooler->services_by_name, wanted->service, service);
	if (!pooler->config.lend_room || service == NULL || !owns_part(service, now) ||
	    roster_find_node(pooler->sync.roster, message->from) == NULL)
		return;
	for (size_t i = 0; i < wanted->count; i++) {
		member_t *member = find_member(service, wanted->members[i].member);
		unsigned amount;

		if (member == NULL)
			continue;
		amount = lend(member, message->from, wanted->members[i].statements, now);
		if (amount == 0)
			continue;
		lent.members[lent.count].member = member->id;
		lent.members[lent.count++].statements = amount;
	}
	if (lent.count == 0) {
		counter_add(&refused_total, 1);
		return;
	}
	exchange_fill_sender(pooler, &answer);
	exchange_send(pooler, message->from, message->address, &answer);
}

/* --- borrowing --- */

/* When the request of that number was sent; 0: by no process of this name since its start. */
static usec_t find_sent_at(const service_t *service, uint64_t number)
{
	for (size_t i = 0; i < LOAN_REQUESTS_MAX; i++) {
		if (number != 0 && service->loan_requests.sent[i].number == number)
			return service->loan_requests.sent[i].sent_at;
	}
	return 0;
}

static void borrow(member_t *member, const char *lender, unsigned amount, usec_t asked_at,
		   usec_t now)
{
	loan_book_t *book = room_loans(member);
	unsigned before = loan_book_taken(book, now);

	loan_book_borrow(book, lender, amount, asked_at, now);
	counter_add(&taken_total, 1);
	if (loan_book_taken(book, now) != before)
		LOG_EVENT(LOG_INFO, "room borrowed", LOG_STR("service", member->service->name),
			  LOG_STR("member", member->id), LOG_STR("from", lender),
			  LOG_INT("statements", amount), LOG_INT("part", room_part(member)),
			  LOG_INT("used", (int64_t)room_used(member)),
			  LOG_INT("borrowed_before", before),
			  LOG_INT("answered_ms", (int64_t)((now - asked_at) / USEC_PER_MSEC)));
}

void loan_exchange_on_answer(pooler_t *pooler, const peer_message_t *message)
{
	const loan_terms_t *lent = message->loan;
	usec_t now = now_of(pooler);
	service_t *service;
	usec_t asked_at;

	HASH_FIND_STR(pooler->services_by_name, lent->service, service);
	if (service == NULL)
		return;
	asked_at = find_sent_at(service, lent->number);
	if (asked_at == 0 || now >= asked_at + LOAN_TIME) {
		counter_add(&late_total, 1);
		return;
	}
	service->loan_requests.was_answered = true;
	for (size_t i = 0; i < lent->count; i++) {
		member_t *member = find_member(service, lent->members[i].member);

		if (member != NULL)
			borrow(member, message->from, lent->members[i].statements, asked_at, now);
	}
	dispatch_run(service);
}
