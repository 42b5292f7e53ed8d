#include "forward.h"

#include <string.h>

#include <talloc.h>

#include "caller.h"
#include "conn.h"
#include "dispatch.h"
#include "exchange.h"
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

COUNTER_DEFINE(forwarded_total, "statements_forwarded_total", COUNTER_SUM,
	       "Statements handed to another proxy.");
COUNTER_DEFINE(unanswered_total, "statements_forwarded_unanswered_total", COUNTER_SUM,
	       "Of these, reads that were tried again without an answer.");
COUNTER_DEFINE(jobs_total, "statements_run_for_others_total", COUNTER_SUM,
	       "Statements run for another proxy.");

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

static void send_request(caller_t *caller, const roster_node_t *helper, usec_t now)
{
	pooler_t *pooler = caller->pooler;
	forward_request_t request = {
		.number = caller->forward_number,
		.database = caller->database,
		.left = caller->deadline > now ? caller->deadline - now : 0,
		.statement = &caller->statement,
		.variables = &caller->variables,
		.has_commit = caller->has_commit,
		.commit = caller->commit,
	};
	peer_message_t message = {.kind = PEER_REQUEST, .request = &request};

	if (caller->exec != NULL)
		request.shape = slice_of(caller->exec->shape, strlen(caller->exec->shape));
	exchange_fill(pooler, &message);
	pooler->env->ops->peer_send(pooler->env, helper->name, helper->address, &message);
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
	caller->forward_number = ++pooler->forward_count;
	caller->forwarded_at = now;
	caller->placed_at = now;
	talloc_free(caller->helper);
	caller->helper = talloc_strdup(caller, helper->name);
	list_add_tail(&pooler->forwarded, &caller->forwarded);
	counter_add(&forwarded_total, 1);
	send_request(caller, helper, now);
	return true;
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
	if (caller == NULL || strcmp(caller->helper, message->from) != 0)
		return;
	forward_forget(caller);
	caller_on_forwarded(caller, message->result);
}

void forward_tick(pooler_t *pooler, usec_t now)
{
	list_for_each_safe (it, &pooler->forwarded) {
		caller_t *caller = list_entry(it, caller_t, forwarded);

		if (caller_may_keep(caller) || now < caller->forwarded_at + READ_PATIENCE)
			continue;
		forward_forget(caller);
		counter_add(&unanswered_total, 1);
		caller_on_conn_lost(caller, true, "no answer of the proxy that helps");
	}
}

/* --- running for others --- */

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

static void send_result(const pooler_t *pooler, const char *to, const char *address,
			const forward_result_t *result)
{
	peer_message_t message = {.kind = PEER_RESULT, .result = result};

	exchange_fill(pooler, &message);
	pooler->env->ops->peer_send(pooler->env, to, address, &message);
}

static void refuse(const pooler_t *pooler, const peer_message_t *message)
{
	forward_result_t result = {
		.number = message->request->number,
		.member = "",
		.code = CODE_BUSY,
		.text = "the proxy that helps can't",
	};

	send_result(pooler, message->from, message->address, &result);
}

/* The session as far as its statement needs it. */
static void give_session(caller_t *caller, const forward_request_t *request)
{
	const statement_t *statement = request->statement;

	list_for_each (it, &request->variables->list) {
		const variable_t *variable = list_entry(it, variable_t, node);

		variables_set(&caller->variables, caller,
			      slice_of(variable->name, strlen(variable->name)),
			      slice_of(variable->value, strlen(variable->value)));
	}
	if (statement->kind == STATEMENT_EXEC)
		prepared_put(&caller->prepared, caller, statement->name, request->shape,
			     statement->writes);
	caller->has_commit = request->has_commit;
	caller->commit = request->commit;
	caller->committed_at = now_of(caller->pooler);
}

void forward_on_request(pooler_t *pooler, const peer_message_t *message)
{
	const forward_request_t *request = message->request;
	caller_t *caller;
	code_t code;
	job_t *job;

	/* By an older one the sender would fall back behind what it has shown its callers. */
	if (pooler->draining || pooler->routes == NULL ||
	    pooler->routes->version != message->config_version) {
		refuse(pooler, message);
		return;
	}
	job = talloc_zero(pooler, job_t);
	caller = pooler_caller_open(pooler, request->database, job, &code);
	if (caller == NULL) {
		talloc_free(job);
		refuse(pooler, message);
		return;
	}
	counter_add(&jobs_total, 1);
	caller->job = talloc_steal(caller, job);
	job->from = talloc_strdup(job, message->from);
	job->address = talloc_strdup(job, message->address);
	job->number = request->number;
	job->left = request->left;
	give_session(caller, request);
	caller_on_statement(caller, request->statement);
}

void forward_answer(caller_t *caller, const caller_reply_t *reply, const reply_t *from)
{
	job_t *job = caller->job;
	forward_result_t result = {
		.number = job->number,
		.is_raw = from != NULL,
		.member = caller->conn != NULL ? caller->conn->member->id : "",
		.code = reply->code,
		.text = reply->text != NULL ? reply->text : "",
	};

	if (from != NULL) {
		result.raw = from->raw;
		result.ok = from->ok;
		result.code = from->code;
		result.has_position = from->has_position;
		result.position = from->position;
	}
	job->done = true;
	send_result(caller->pooler, job->from, job->address, &result);
}
