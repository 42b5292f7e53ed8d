#include "forward.h"

#include <string.h>

#include <talloc.h>

#include "caller.h"
#include "conn.h"
#include "dispatch.h"
#include "exchange.h"
#include "home.h"
#include "liveness.h"
#include "permit.h"

#define LOG_MODULE "forward"
#include "counter.h"
#include "log.h"

/* Time for a result to get from the helper to this proxy, with scheduling delays of both. */
#define RESULT_TRANSIT_TIME (60 * USEC_PER_MSEC)

COUNTER_DEFINE(forwarded_total, "statements_forwarded_total", COUNTER_SUM,
	       "Statements forwarded to another proxy.");
COUNTER_DEFINE(unanswered_total, "statements_forwarded_unanswered_total", COUNTER_SUM,
	       "Forwarded reads that got no answer and were retried.");

/* --- sending --- */

static size_t count_forwarded_to(const pooler_t *pooler, const char *helper)
{
	size_t count = 0;

	list_for_each (it, &pooler->forwarded)
		count += strcmp(list_entry(it, caller_t, forwarded_node)->helper, helper) == 0;
	return count;
}

/* Sends the statement to the helper; returns false if it was certainly not sent. */
static bool send_request(caller_t *caller, const roster_node_t *helper,
			 const statement_t *statement, usec_t now)
{
	pooler_t *pooler = caller->pooler;
	usec_t left = caller->deadline > now ? caller->deadline - now : 0;
	forward_request_t request = {
		.number = caller->forward_number,
		.database = caller->database,
		.service = caller->service->name,
		.customer = caller->customer,
		/*
		 * The helper's deadline is earlier, so that its refusal, which promises that the
		 * statement did not run, arrives before the caller's own deadline.
		 */
		.time_left = left > RESULT_TRANSIT_TIME ? left - RESULT_TRANSIT_TIME : left,
		.statement = statement,
		.variables = &caller->variables,
		.transaction = caller->remote_tx,
		.begins_transaction = !caller->tx_has_run,
		.read_only = caller->tx_read_only,
	};
	peer_message_t message = {.kind = PEER_FORWARD_REQUEST, .request = &request};
	own_commit_t commit;

	if (own_commits_find(&caller->own_commits, caller->service, &commit)) {
		request.has_commit = true;
		request.has_commit_position = commit.has_position;
		request.commit = commit.position;
	}
	if (caller->exec != NULL)
		request.shape = slice_of(caller->exec->shape, strlen(caller->exec->shape));
	exchange_fill_sender(pooler, &message);
	return pooler->env->ops->peer_send(pooler->env, helper->name, helper->address, &message);
}

/* Forwards the caller's statement to the helper; returns false if there is no link to it yet. */
static bool forward_to(caller_t *caller, const roster_node_t *helper, usec_t now)
{
	pooler_t *pooler = caller->pooler;

	caller->forward_number = pooler_next_number(pooler);
	if (!send_request(caller, helper, &caller->statement, now)) {
		caller->forward_number = 0;
		return false;
	}
	caller->forwarded_at = now;
	caller->placed_at = now;
	list_add_tail(&pooler->forwarded, &caller->forwarded_node);
	counter_add(&forwarded_total, 1);
	liveness_on_sent(pooler, helper->name, now);
	return true;
}

static void set_helper(caller_t *caller, const char *name)
{
	char *copy = talloc_strdup(caller, name);

	talloc_free(caller->helper);
	caller->helper = copy;
}

forward_status_t forward_to_home(caller_t *caller, usec_t now)
{
	pooler_t *pooler = caller->pooler;
	const roster_node_t *home;

	if (caller->job != NULL || !home_is_needed(caller->service) ||
	    permit_primary(caller->service, now) == NULL)
		return FORWARD_LOCAL;
	home = home_find(caller->service, now);
	if (home == NULL || strcmp(home->name, pooler->config.name) == 0)
		return FORWARD_LOCAL;
	if (caller->tx == TX_OPEN)
		caller->remote_tx = pooler_next_number(pooler);
	set_helper(caller, home->name);
	if (forward_to(caller, home, now))
		return FORWARD_SENT;
	/*
	 * The link to the home is being made, or the home has ended. In the latter case the request
	 * stays unanswered, and the next candidate is chosen soon.
	 */
	caller->remote_tx = 0;
	liveness_on_unsent(pooler, home->name, now);
	return FORWARD_WAIT;
}

bool forward_next_statement(caller_t *caller, usec_t now)
{
	const pooler_t *pooler = caller->pooler;
	const roster_node_t *helper = roster_find_node(pooler->sync.roster, caller->helper);

	if (helper == NULL || helper->gone || liveness_is_suspect(pooler, caller->helper, now))
		return false;
	return forward_to(caller, helper, now);
}

void forward_end_tx(caller_t *caller)
{
	static const statement_t rollback = {
		.kind = STATEMENT_ROLLBACK,
		.id = {.at = "end", .len = 3},
		.text = {.at = "ROLLBACK", .len = 8},
	};
	const roster_node_t *helper;

	if (caller->remote_tx == 0)
		return;
	helper = roster_find_node(caller->pooler->sync.roster, caller->helper);
	/* If this message is lost, the time-out of idle transactions ends the transaction. */
	if (helper != NULL)
		send_request(caller, helper, &rollback, now_of(caller->pooler));
	caller->remote_tx = 0;
}

void forward_cancel(caller_t *caller)
{
	if (caller->forward_number == 0)
		return;
	list_del(&caller->forwarded_node);
	caller->forward_number = 0;
}

static caller_t *find_forwarded(const pooler_t *pooler, uint64_t number)
{
	list_for_each (it, &pooler->forwarded) {
		caller_t *caller = list_entry(it, caller_t, forwarded_node);

		if (caller->forward_number == number)
			return caller;
	}
	return NULL;
}

void forward_on_result(pooler_t *pooler, const peer_message_t *message)
{
	caller_t *caller = find_forwarded(pooler, message->result->number);

	/* No caller waits for this result any more, or it waits for another proxy now. */
	if (caller != NULL && strcmp(caller->helper, message->from) == 0)
		forward_cancel(caller);
	else
		caller = NULL;
	liveness_on_answer(pooler, message->from);
	forward_on_peer_message(pooler, message->from);
	if (message->result->declined)
		liveness_on_declined(pooler, message->from, now_of(pooler));
	if (caller != NULL)
		caller_on_forward_result(caller, message->result);
}

void forward_on_peer_message(pooler_t *pooler, const char *peer)
{
	const peer_report_t *report = exchange_find_report(pooler, peer);

	if (report != NULL && (report->unanswered_since != 0 || report->suspected))
		liveness_on_received(pooler, peer, count_forwarded_to(pooler, peer),
				     now_of(pooler));
}

/*
 * True if the helper is suspected to be dead and the statement may be retried. Statements that may
 * commit wait for their deadline instead.
 */
static bool is_unanswered(const caller_t *caller, usec_t now)
{
	if (caller_may_commit(caller))
		return false;
	return liveness_is_suspect(caller->pooler, caller->helper, now);
}

void forward_tick(pooler_t *pooler, usec_t now)
{
	list_for_each_safe (it, &pooler->forwarded) {
		caller_t *caller = list_entry(it, caller_t, forwarded_node);

		if (!is_unanswered(caller, now))
			continue;
		forward_cancel(caller);
		counter_add(&unanswered_total, 1);
		caller_on_conn_lost(caller, true, "no answer from the helper");
	}
}
