#include "exec.h"

#include <string.h>

#include <talloc.h>

#include "confirm.h"
#include "group.h"
#include "pool.h"
#include "queue.h"
#include "request.h"
#include "retry.h"
#include "samples.h"
#include "takeover.h"
#include "tx.h"

#define MAX_ATTEMPTS  5
#define AVERAGE_SHIFT 3
#define PERCENT	      100
/* The least retry_after of refusals while a group has no primary. */
#define FAILOVER_RETRY_AFTER (300 * USEC_PER_MSEC)

static usec_t request_now(const request_t *request)
{
	return request->core->now;
}

/* --- choice of a member --- */

static bool has_free_slot(const member_t *member, int64_t kept_free)
{
	return member->running + kept_free < member_run_limit(member);
}

static bool replica_is_eligible(const request_t *request, const member_t *member)
{
	const group_t *group = request->group;

	if (member == group->primary || !member_is_current(member) || member->data_as_of == 0)
		return false;
	if (!position_covers(member->report.log, request->query->min_position))
		return false;
	return request_now(request) - member->data_as_of <= request->max_age;
}

static bool is_in_own_zone(const core_t *core, const member_t *member)
{
	return !core->config.ignore_zones &&
	       strcmp(member->spec.zone, core->fleet->self->zone) == 0;
}

/* True if a is less loaded than b or, with equal loads, only a is in this proxy's zone. */
static bool is_preferred_replica(const core_t *core, const member_t *a, const member_t *b)
{
	int64_t load_a = a->running * b->spec.slots;
	int64_t load_b = b->running * a->spec.slots;

	if (load_a != load_b)
		return load_a < load_b;
	return is_in_own_zone(core, a) && !is_in_own_zone(core, b);
}

/* The best eligible replica with a free slot. *any: whether any replica is eligible. */
static member_t *choose_replica(const request_t *request, bool *any)
{
	group_t *group = request->group;
	member_t *best = NULL;

	*any = false;
	for (size_t i = 0; i < group->member_count; i++) {
		member_t *member = &group->members[i];

		if (!replica_is_eligible(request, member))
			continue;
		*any = true;
		if (has_free_slot(member, 0) &&
		    (best == NULL || is_preferred_replica(group->core, member, best)))
			best = member;
	}
	return best;
}

/* Reads leave one slot of the primary free, so that long reads can't block all writes. */
static member_t *choose_primary(const request_t *request)
{
	const group_t *group = request->group;
	member_t *primary = group->primary;
	int64_t kept_free = 0;

	if (primary == NULL || group->takeover.state != TAKEOVER_NONE)
		return NULL;
	if (request->query->min_position.term > group->term)
		return NULL;
	if (request->kind == ROW_READ && primary->spec.slots > 1)
		kept_free = 1;
	return has_free_slot(primary, kept_free) ? primary : NULL;
}

static bool is_idle_with_spare_slot(const member_t *member)
{
	return member != NULL && member->running == 0 && member->spec.slots > 1;
}

static member_t *choose_member(const request_t *request)
{
	bool any;
	member_t *replica;

	if (request->linearizable || request->kind == ROW_WRITE || !request->prefers_replica)
		return choose_primary(request);
	replica = choose_replica(request, &any);
	if (replica != NULL || !any)
		return replica != NULL ? replica : choose_primary(request);
	/* All eligible replicas are busy: use the primary only if it is idle. */
	return is_idle_with_spare_slot(request->group->primary) ? choose_primary(request) : NULL;
}

/* --- start --- */

void exec_start(request_t *request, conn_t *conn, run_kind_t kind)
{
	core_t *core = request->core;
	action_t *action = core_add_action(core, ACTION_RUN);

	request->state = REQUEST_RUNNING;
	request->conn = conn;
	request->run_member = conn->pool->member;
	request->run_started = core->now;
	request->run_member->running++;
	conn->request = request;
	action->id = conn->id;
	action->run.member = talloc_strdup(action, request->run_member->spec.name);
	action->run.kind = kind;
	action->run.query = query_copy(action, request->query);
	action->run.timeout = request->deadline - core->now;
}

static run_kind_t run_kind(const request_t *request)
{
	if (request->query->verb == VERB_BEGIN)
		return RUN_BEGIN;
	return request->kind == ROW_READ ? RUN_READ : RUN_WRITE;
}

/* Connect to the takeover's candidate early for requests that wait for a primary. */
static void connect_to_candidate(const request_t *request, const row_t *row)
{
	const takeover_t *takeover = &request->group->takeover;

	if (takeover->state != TAKEOVER_PROMOTING)
		return;
	if (request->kind == ROW_WRITE || request->linearizable)
		pool_connect(takeover->candidate, row);
}

/* A run that can't finish by its deadline would only occupy a slot. */
static bool refuse_if_too_late(request_t *request)
{
	const group_t *group = request->group;

	if (request_now(request) + group->service_time[request->kind] / 2 <= request->deadline)
		return false;
	list_del(&request->node);
	request_refuse(request, REFUSAL_OVERLOAD, queue_wait(group, request),
		       "a run takes %llu ms, the deadline is nearer",
		       (unsigned long long)(group->service_time[request->kind] / USEC_PER_MSEC));
	return true;
}

static void try_start(request_t *request)
{
	core_t *core = request->core;
	const row_t *row =
		table_find_row(core->table, request->query->service, request->query->class_name);
	member_t *member = choose_member(request);
	conn_t *conn;

	if (row == NULL || refuse_if_too_late(request))
		return;
	if (member == NULL) {
		connect_to_candidate(request, row);
		return;
	}
	conn = pool_acquire(member, row);
	if (conn == NULL) {
		pool_connect(member, row);
		return;
	}
	list_del(&request->node);
	request->attempts++;
	/* The primary may be superseded, so a read from it is confirmed like a linearizable one. */
	request->linearizable |= request->kind == ROW_READ && member == request->group->primary;
	exec_start(request, conn, run_kind(request));
}

void exec_dispatch(group_t *group)
{
	/* try_start() may refuse or answer requests, which can call this function again. */
	if (group->dispatching || group->members_changing)
		return;
	group->dispatching = true;
	group->dispatch_pass++;
	list_for_each_safe (it, &group->queue)
		try_start(list_entry(it, request_t, node));
	group->dispatching = false;
}

/* --- arrival --- */

static void apply_row_settings(request_t *request, const row_t *row)
{
	core_t *core = request->core;

	request->kind = row->kind;
	request->max_age = row->max_age;
	request->weight = row->weight;
	request->prefers_replica = (int64_t)core_random(core, PERCENT) < row->replica_share;
	/* A session that lost its token may have written anything, so only the primary is safe. */
	request->linearizable =
		row->kind == ROW_READ && (row->max_age == 0 || request->query->token_lost);
	/* A transaction may write even if its row is for reads, so it needs the primary. */
	if (request->query->verb == VERB_BEGIN)
		request->kind = ROW_WRITE;
}

void exec_submit(request_t *request, group_t *group)
{
	const row_t *row = table_find_row(request->core->table, request->query->service,
					  request->query->class_name);

	request->group = group;
	request->group_name = talloc_strdup(request, group->name);
	apply_row_settings(request, row);
	if (queue_admit(request, row))
		exec_dispatch(group);
}

/* --- results of runs --- */

static void detach_conn(request_t *request)
{
	conn_t *conn = request->conn;

	request->run_member->running--;
	request->conn = NULL;
	conn->request = NULL;
}

static usec_t retry_after_failure(const group_t *group)
{
	usec_t wait =
		group->service_time[ROW_WRITE] * list_length(&group->queue) / group->member_count;

	return wait > FAILOVER_RETRY_AFTER ? wait : FAILOVER_RETRY_AFTER;
}

/* Queue the request again if that is safe, in time and within the retry budget, else refuse it. */
static void retry_or_refuse(request_t *request, refusal_t refusal, const char *why)
{
	group_t *group = request->group;

	if (request->maybe_ran && !request_is_repeatable(request)) {
		request_refuse(request, refusal, retry_after_failure(group), "%s", why);
		return;
	}
	if (request->attempts >= MAX_ATTEMPTS || request_now(request) >= request->deadline) {
		request_refuse(request, refusal, retry_after_failure(group),
			       "%s, after %d attempts", why, request->attempts);
		return;
	}
	if (!retry_budget_spend(group)) {
		request_refuse(request, REFUSAL_RETRY_BUDGET, retry_after_failure(group),
			       "%s; too many retries of late", why);
		return;
	}
	queue_insert(request);
}

static void send_answer(request_t *request)
{
	answer_t answer = {
		.outcome = OUTCOME_DONE,
		.position = request->position,
		.repeated = request->result->repeated,
		.rows = request->result->rows,
		.member = request->run_member->spec.name,
		.group = request->group_name,
		.tx = request->tx != NULL ? request->tx->handle : NULL,
	};

	if (!request->linearizable && request->kind == ROW_READ)
		answer.age = request_now(request) - request->data_as_of;
	retry_budget_credit(request->group);
	request_finish(request, &answer);
}

void exec_confirmed(request_t *request)
{
	send_answer(request);
}

static void handle_run_lost(request_t *request, bool at_commit, const char *detail)
{
	/* If the commit was not sent, the server rolls back when the connection is lost. */
	request->maybe_ran |= at_commit;
	retry_or_refuse(request, REFUSAL_CONN_LOST, detail);
}

static void handle_run_rejected(request_t *request, const char *detail)
{
	answer_t answer = {
		.outcome = OUTCOME_NOT_RUN,
		.refusal = REFUSAL_SQL,
		.detail = (char *)detail,
		.member = request->run_member->spec.name,
		.group = request->group_name,
	};

	/*
	 * With a request id, the server has checked for an earlier attempt before it
	 * rejected this one. Without one, an earlier attempt may have taken effect.
	 */
	if (request->maybe_ran && request->query->request_id == NULL)
		answer.outcome = OUTCOME_UNKNOWN;
	request_finish(request, &answer);
}

static bool ran_on_current_primary(const request_t *request)
{
	const report_t *after = &request->result->after;

	return after->primary && after->sealed == request->group->term;
}

/* The replica may have been reset since its last report: check its report from the run itself. */
static bool replica_was_eligible(request_t *request)
{
	const report_t *before = &request->result->before;

	if (before->log.term != request->group->term ||
	    !position_covers(before->log, request->query->min_position))
		return false;
	request->data_as_of = samples_time_of(request->group, before->log.lsn);
	return request->data_as_of != 0 &&
	       request_now(request) - request->data_as_of <= request->max_age;
}

static void handle_read_done(request_t *request)
{
	if (request->linearizable ? ran_on_current_primary(request)
				  : replica_was_eligible(request)) {
		confirm_add(request);
		return;
	}
	/* Retry on the primary, whose data is never too old. */
	request->prefers_replica = false;
	retry_or_refuse(request, REFUSAL_NO_PRIMARY, "the member was no longer fit for the read");
}

static void handle_write_done(request_t *request)
{
	request->maybe_ran = true;
	if (ran_on_current_primary(request))
		confirm_add(request);
	else
		exec_superseded(request);
}

void exec_superseded(request_t *request)
{
	if (request->tx != NULL) {
		tx_superseded(request);
		return;
	}
	request->maybe_ran |= request->kind == ROW_WRITE;
	retry_or_refuse(request, REFUSAL_NO_MAJORITY,
			"the primary was superseded before a majority held it");
}

static void update_service_time(group_t *group, row_kind_t kind, usec_t took)
{
	usec_t *mean = &group->service_time[kind];

	*mean += (took >> AVERAGE_SHIFT) - (*mean >> AVERAGE_SHIFT);
}

static void copy_result(request_t *request, const run_result_t *result)
{
	run_result_t *copy = talloc(request, run_result_t);

	*copy = *result;
	copy->rows = talloc_strdup(copy, result->rows);
	copy->detail = talloc_strdup(copy, result->detail);
	request->result = copy;
	request->position = copy->after.log;
	request->ran_at = request->core->now;
}

static void handle_statement_done(request_t *request, const run_result_t *result)
{
	switch (result->status) {
	case RUN_OK:
		if (request->kind == ROW_READ)
			handle_read_done(request);
		else
			handle_write_done(request);
		break;
	case RUN_NOT_PRIMARY:
		group_on_not_primary(request->run_member);
		retry_or_refuse(request, REFUSAL_NO_PRIMARY, result->detail);
		break;
	case RUN_REJECTED:
		handle_run_rejected(request, result->detail);
		break;
	case RUN_LOST_BEFORE_COMMIT:
		handle_run_lost(request, false, result->detail);
		break;
	case RUN_LOST_AT_COMMIT:
		handle_run_lost(request, true, result->detail);
		break;
	}
}

/*
 * The run of a read has ended after its request was answered at the deadline: the
 * result is dropped and the connection reused.
 */
static void handle_abandoned_run(conn_t *conn, const run_result_t *result)
{
	member_t *member = conn->pool->member;

	if (conn->state != CONN_BUSY)
		return;
	member->running--;
	if (result->status == RUN_OK || result->status == RUN_REJECTED)
		pool_release(conn);
	exec_dispatch(member->group);
}

void exec_run_done(core_t *core, uint64_t id, const run_event_t *event)
{
	conn_t *conn = pool_find_conn(core, id);
	request_t *request = conn != NULL ? conn->request : NULL;
	const run_result_t *result = event->result;
	group_t *group;
	bool usable;

	if (conn == NULL)
		return;
	if (request == NULL) {
		handle_abandoned_run(conn, result);
		return;
	}
	group = request->group;
	usable = result->status == RUN_OK || result->status == RUN_REJECTED ||
		 result->status == RUN_NOT_PRIMARY;
	detach_conn(request);
	if (usable)
		update_service_time(group, request->kind, core->now - request->run_started);
	copy_result(request, result);
	if (request->query->verb != VERB_STATEMENT) {
		tx_run_done(request, conn, usable);
	} else {
		if (usable)
			pool_release(conn);
		handle_statement_done(request, result);
	}
	exec_dispatch(group);
}

/* --- deadline --- */

/*
 * A read changes nothing, so its outcome need not be determined by closing the
 * connection. A new connection would be costly, most of all while the group is
 * overloaded. So the request is refused and the connection stays busy until the
 * server has answered.
 */
static void abandon_read(request_t *request)
{
	request->conn->request = NULL;
	request->conn = NULL;
	request->maybe_ran = true;
	request_refuse(request, REFUSAL_DEADLINE, retry_after_failure(request->group),
		       "still running on %s at the deadline", request->run_member->spec.name);
}

void exec_deadline(request_t *request)
{
	group_t *group = request->group;

	switch (request->state) {
	case REQUEST_QUEUED:
		list_del(&request->node);
		if (group->primary == NULL)
			request_refuse(request, REFUSAL_NO_PRIMARY, retry_after_failure(group),
				       "group %s has no primary", group->name);
		else
			request_refuse(request, REFUSAL_DEADLINE, retry_after_failure(group),
				       "still queued at the deadline");
		break;
	case REQUEST_RUNNING:
		if (request->kind == ROW_READ) {
			abandon_read(request);
			break;
		}
		/*
		 * Closing determines the outcome: the EVENT_RUN_DONE that follows at once reports
		 * whether the commit was sent; if not, the server rolls back.
		 */
		pool_close_conn(request->conn);
		break;
	case REQUEST_CONFIRMING:
		list_del(&request->node);
		request->maybe_ran = true;
		request_refuse(request, REFUSAL_NO_MAJORITY, retry_after_failure(group),
			       "no majority of group %s held it in time", group->name);
		break;
	case REQUEST_FORWARDED:
		break;
	}
}
