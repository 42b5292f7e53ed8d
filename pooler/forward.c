#include "forward.h"

#include <string.h>

#include <talloc.h>

#include "caller.h"
#include "conn.h"
#include "dispatch.h"
#include "exchange.h"
#include "home.h"
#include "lend.h"
#include "permit.h"

#define LOG_MODULE "forward"
#include "counter.h"
#include "log.h"

/* What a proxy says of its connections counts for so long: it is asked each 250 ms. */
#define SPARE_VALID (400 * USEC_PER_MSEC)
/*
 * Statements at one helper at a time. It has one connection to the member, and each statement
 * needs the ways between proxies besides its work: three keep that connection busy.
 */
#define AT_HELPER_MAX 3
/* A read that is not answered by then is tried again: several times what a loaded member takes. */
#define READ_PATIENCE (300 * USEC_PER_MSEC)

/* Of a result from its proxy to us, with what both need to get to it under load. */
#define RESULT_WAYS (20 * USEC_PER_MSEC)

COUNTER_DEFINE(forwarded_total, "statements_forwarded_total", COUNTER_SUM,
	       "Statements handed to another proxy.");
COUNTER_DEFINE(unanswered_total, "statements_forwarded_unanswered_total", COUNTER_SUM,
	       "Of these, reads that were tried again without an answer.");

/* --- handing on --- */

static size_t count_at(const pooler_t *pooler, const char *helper)
{
	size_t count = 0;

	list_for_each (it, &pooler->forwarded)
		count += strcmp(list_entry(it, caller_t, forwarded)->helper, helper) == 0;
	return count;
}

/* The proxy with a connection to the member that has least to do for us, or NULL. */
static const roster_node_t *find_helper(const pooler_t *pooler, const member_t *member, usec_t now)
{
	const roster_node_t *best = NULL;
	size_t least = AT_HELPER_MAX;

	list_for_each (it, &pooler->sync.reports) {
		const peer_report_t *report = list_entry(it, peer_report_t, node);
		const roster_node_t *node = roster_node(pooler->sync.roster, report->name);
		size_t count;

		if (node == NULL || node->gone || now >= report->spare_at + SPARE_VALID ||
		    !exchange_lists(report->spare, member->id))
			continue;
		count = count_at(pooler, report->name);
		if (count < least) {
			best = node;
			least = count;
		}
	}
	return best;
}

/* False if it was certainly not sent. */
static bool send_request(caller_t *caller, const roster_node_t *helper,
			 const statement_t *statement, usec_t now)
{
	pooler_t *pooler = caller->pooler;
	usec_t left = caller->deadline > now ? caller->deadline - now : 0;
	forward_request_t request = {
		.number = caller->forward_number,
		.database = caller->database,
		/* So that a refusal, which promises something, comes before we give up. */
		.left = left > RESULT_WAYS ? left - RESULT_WAYS : left,
		.statement = statement,
		.variables = &caller->variables,
		.has_commit = caller->has_commit,
		.commit = caller->commit,
		.session = caller->remote,
		.begins = !caller->tx_ran,
		.read_only = caller->tx_read_only,
	};
	peer_message_t message = {.kind = PEER_REQUEST, .request = &request};

	if (caller->exec != NULL)
		request.shape = slice_of(caller->exec->shape, strlen(caller->exec->shape));
	exchange_fill(pooler, &message);
	return pooler->env->ops->peer_send(pooler->env, helper->name, helper->address, &message);
}

/* The statement is at the helper from now on; false if there is no link to that one yet. */
static bool hand_over(caller_t *caller, const roster_node_t *helper, usec_t now)
{
	pooler_t *pooler = caller->pooler;

	caller->forward_number = ++pooler->forward_count;
	if (!send_request(caller, helper, &caller->statement, now)) {
		caller->forward_number = 0;
		return false;
	}
	caller->forwarded_at = now;
	caller->placed_at = now;
	list_add_tail(&pooler->forwarded, &caller->forwarded);
	counter_add(&forwarded_total, 1);
	home_on_sent(pooler, helper->name, now);
	return true;
}

static void set_helper(caller_t *caller, const char *name)
{
	char *copy = talloc_strdup(caller, name);

	talloc_free(caller->helper);
	caller->helper = copy;
}

bool forward_to_home(caller_t *caller, usec_t now)
{
	pooler_t *pooler = caller->pooler;
	const roster_node_t *home;

	if (caller->job != NULL || !home_applies(caller->service) ||
	    permit_primary(caller->service, now) == NULL)
		return false;
	home = home_find(caller->service, now);
	if (home == NULL || strcmp(home->name, pooler->config.name) == 0)
		return false;
	if (caller->tx == TX_OPEN)
		caller->remote = ++pooler->forward_count;
	set_helper(caller, home->name);
	if (!hand_over(caller, home, now))
		caller->remote = 0;
	return caller->forward_number != 0;
}

bool forward_try(caller_t *caller, usec_t now)
{
	pooler_t *pooler = caller->pooler;
	const member_t *primary = permit_primary(caller->service, now);
	const roster_node_t *helper;

	if (pooler->config.alone || caller->tx != TX_NONE || caller->job != NULL ||
	    primary == NULL || !lend_lacks(primary, now))
		return false;
	helper = find_helper(pooler, primary, now);
	if (helper == NULL)
		return false;
	set_helper(caller, helper->name);
	return hand_over(caller, helper, now);
}

bool forward_go_on(caller_t *caller, usec_t now)
{
	const pooler_t *pooler = caller->pooler;
	const roster_node_t *helper = roster_node(pooler->sync.roster, caller->helper);

	if (helper == NULL || helper->gone || home_is_suspect(pooler, caller->helper, now))
		return false;
	return hand_over(caller, helper, now);
}

void forward_end(caller_t *caller)
{
	static const statement_t rollback = {
		.kind = STATEMENT_ROLLBACK,
		.id = {.at = "end", .len = 3},
		.text = {.at = "ROLLBACK", .len = 8},
	};
	const roster_node_t *helper;

	if (caller->remote == 0)
		return;
	helper = roster_node(caller->pooler->sync.roster, caller->helper);
	/* If this is lost, the transaction ends by the limit for idle ones. */
	if (helper != NULL)
		send_request(caller, helper, &rollback, now_of(caller->pooler));
	caller->remote = 0;
}

void forward_forget(caller_t *caller)
{
	if (caller->forward_number == 0)
		return;
	list_del(&caller->forwarded);
	caller->forward_number = 0;
}

static caller_t *find_forwarded(const pooler_t *pooler, uint64_t number)
{
	list_for_each (it, &pooler->forwarded) {
		caller_t *caller = list_entry(it, caller_t, forwarded);

		if (caller->forward_number == number)
			return caller;
	}
	return NULL;
}

void forward_on_result(pooler_t *pooler, const peer_message_t *message)
{
	caller_t *caller = find_forwarded(pooler, message->result->number);

	/* Given up meanwhile, or asked of somebody else since. */
	if (caller != NULL && strcmp(caller->helper, message->from) == 0)
		forward_forget(caller);
	else
		caller = NULL;
	forward_on_heard(pooler, message->from);
	if (message->result->declined)
		home_on_declined(pooler, message->from, now_of(pooler));
	if (caller != NULL)
		caller_on_forwarded(caller, message->result);
}

void forward_on_heard(pooler_t *pooler, const char *peer)
{
	const peer_report_t *report = exchange_report(pooler, peer);

	if (report != NULL && report->unanswered_since != 0)
		home_on_heard(pooler, peer, count_at(pooler, peer), now_of(pooler));
}

/* Nothing more is expected of the helper for what the caller has asked. */
static bool is_given_up(const caller_t *caller, usec_t now)
{
	if (caller_may_keep(caller))
		return false;
	if (home_applies(caller->service))
		return home_is_suspect(caller->pooler, caller->helper, now);
	return now >= caller->forwarded_at + READ_PATIENCE;
}

void forward_tick(pooler_t *pooler, usec_t now)
{
	list_for_each_safe (it, &pooler->forwarded) {
		caller_t *caller = list_entry(it, caller_t, forwarded);

		if (!is_given_up(caller, now))
			continue;
		forward_forget(caller);
		counter_add(&unanswered_total, 1);
		caller_on_conn_lost(caller, true, "no answer of the proxy that helps");
	}
}

char *forward_spare(const pooler_t *pooler, const char *members, void *parent)
{
	char *spare = talloc_strdup(parent, "");

	if (pooler->draining)
		return spare;
	list_for_each (it, &pooler->members) {
		const member_t *member = list_entry(it, member_t, node);

		if (exchange_lists(members, member->id) && lend_has_any(member))
			spare = talloc_asprintf_append(spare, "%s%s", *spare != '\0' ? " " : "",
						       member->id);
	}
	return spare;
}
