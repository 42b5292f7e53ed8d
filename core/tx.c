#include "tx.h"

#include <stdlib.h>
#include <string.h>

#include <talloc.h>

#include "confirm.h"
#include "exec.h"
#include "group.h"
#include "pool.h"
#include "request.h"

/* Handle: PROXY:INCARNATION:NUMBER */
static char *make_handle(const core_t *core, tx_t *tx)
{
	return talloc_asprintf(tx, "%s:%llx:%llx", core->name,
			       (unsigned long long)core->config.incarnation,
			       (unsigned long long)tx->seq);
}

char *tx_home(void *parent, const char *handle)
{
	const char *colon = strchr(handle, ':');

	if (colon == NULL || colon == handle)
		return NULL;
	return talloc_strndup(parent, handle, (size_t)(colon - handle));
}

static tx_t *find_tx(const core_t *core, const char *handle)
{
	const char *last = strrchr(handle, ':');
	uint64_t seq = last != NULL ? strtoull(last + 1, NULL, 16) : 0;
	tx_t *tx;

	HASH_FIND(hh, core->txs, &seq, sizeof(seq), tx);
	/* Compare the whole handle: the number may be of an earlier incarnation. */
	return tx != NULL && strcmp(tx->handle, handle) == 0 ? tx : NULL;
}

static void open_tx(request_t *request, conn_t *conn)
{
	core_t *core = request->core;
	tx_t *tx = talloc_zero(core, tx_t);

	tx->seq = core_next_id(core);
	tx->handle = make_handle(core, tx);
	tx->conn = conn;
	tx->group = request->group;
	tx->last_used = core->now;
	HASH_ADD(hh, core->txs, seq, sizeof(tx->seq), tx);
	conn->tx = tx;
	conn->state = CONN_IN_TX;
	request->tx = tx;
}

static void free_tx(core_t *core, tx_t *tx)
{
	if (tx->current != NULL)
		tx->current->tx = NULL;
	HASH_DEL(core->txs, tx);
	talloc_free(tx);
}

/* The transaction has ended: free it and make its connection idle. */
static void end_tx(core_t *core, tx_t *tx)
{
	conn_t *conn = tx->conn;

	free_tx(core, tx);
	pool_release(conn);
}

void tx_lost(tx_t *tx)
{
	core_t *core = tx->group->core;

	core_log(core, true, "transaction lost handle=%s group=%s: it was rolled back", tx->handle,
		 tx->group->name);
	tx->conn->tx = NULL;
	free_tx(core, tx);
}

static run_kind_t run_kind(verb_t verb)
{
	switch (verb) {
	case VERB_COMMIT:
		return RUN_COMMIT;
	case VERB_ROLLBACK:
		return RUN_ROLLBACK;
	default:
		return RUN_STATEMENT;
	}
}

void tx_submit(request_t *request)
{
	core_t *core = request->core;
	tx_t *tx = find_tx(core, request->query->tx);

	if (tx == NULL) {
		/* The handle may be that of a transaction whose successful commit is sent again. */
		if (request->query->verb == VERB_COMMIT && request->query->request_id == NULL)
			request->maybe_ran = request->query->resend;
		request_refuse(request, REFUSAL_TX_LOST, 0,
			       "no open transaction %s: it ended or was rolled back",
			       request->query->tx);
		return;
	}
	if (tx->current != NULL) {
		request_refuse(request, REFUSAL_TX_BUSY, tx->group->service_time[ROW_WRITE],
			       "a statement of %s is still running", tx->handle);
		return;
	}
	tx->current = request;
	tx->last_used = core->now;
	request->tx = tx;
	request->group = tx->group;
	request->group_name = talloc_strdup(request, tx->group->name);
	request->kind = ROW_WRITE;
	exec_start(request, tx->conn, run_kind(request->query->verb));
}

static void refuse_lost(request_t *request, const run_result_t *result)
{
	request->maybe_ran = result->status == RUN_LOST_AT_COMMIT;
	request_refuse(request, REFUSAL_TX_LOST, 0, "%s",
		       result->detail != NULL ? result->detail : "the connection broke");
}

static void answer_rejected(request_t *request, const run_result_t *result)
{
	answer_t answer = {
		.outcome = OUTCOME_NOT_RUN,
		.refusal = REFUSAL_SQL,
		.detail = result->detail,
		.member = request->run_member->spec.name,
		.group = request->group_name,
		.tx = request->tx != NULL ? request->tx->handle : NULL,
	};

	request_finish(request, &answer);
}

static void answer_rolled_back(request_t *request)
{
	answer_t answer = {
		.outcome = OUTCOME_DONE,
		.member = request->run_member->spec.name,
		.group = request->group_name,
	};

	request_finish(request, &answer);
}

/*
 * A statement of an open transaction must not return stale data, so it waits for a
 * majority like a linearizable read; a commit waits like a write.
 */
static void confirm_or_supersede(request_t *request)
{
	const report_t *after = &request->result->after;

	request->linearizable = request->query->verb != VERB_COMMIT;
	request->maybe_ran = request->query->verb == VERB_COMMIT;
	if (after->primary && after->sealed == request->group->term)
		confirm_add(request);
	else
		tx_superseded(request);
}

void tx_superseded(request_t *request)
{
	tx_t *tx = request->tx;

	/* An open transaction on a superseded primary can never be confirmed: abort it. */
	if (tx != NULL) {
		conn_t *conn = tx->conn;

		conn->tx = NULL;
		free_tx(request->core, tx);
		pool_close_conn(conn);
	}
	request_refuse(request, REFUSAL_TX_LOST, 0, "the primary was superseded");
}

static void handle_run_ok(request_t *request, conn_t *conn)
{
	core_t *core = request->core;

	switch (request->query->verb) {
	case VERB_BEGIN:
		open_tx(request, conn);
		request->tx->current = request;
		confirm_or_supersede(request);
		break;
	case VERB_COMMIT:
		end_tx(core, request->tx);
		confirm_or_supersede(request);
		break;
	case VERB_ROLLBACK:
		end_tx(core, request->tx);
		answer_rolled_back(request);
		break;
	default:
		confirm_or_supersede(request);
		break;
	}
}

void tx_run_done(request_t *request, conn_t *conn, bool usable)
{
	verb_t verb = request->query->verb;

	if (!usable) {
		refuse_lost(request, request->result);
		return;
	}
	if (request->result->status == RUN_OK) {
		handle_run_ok(request, conn);
		return;
	}
	if (request->result->status == RUN_NOT_PRIMARY)
		group_on_not_primary(request->run_member);
	/* A failed statement leaves the transaction open but aborted; a failed commit ends it. */
	if (request->tx == NULL) {
		pool_release(conn);
	} else if (verb == VERB_COMMIT || verb == VERB_ROLLBACK) {
		end_tx(request->core, request->tx);
	} else {
		request->tx->current = NULL;
	}
	answer_rejected(request, request->result);
}

void tx_close_idle(core_t *core)
{
	tx_t *tx;
	tx_t *next;

	HASH_ITER (hh, core->txs, tx, next) {
		conn_t *conn = tx->conn;

		if (tx->current != NULL || core->now - tx->last_used < core->config.timings.tx_idle)
			continue;
		core_log(core, true, "transaction idle too long handle=%s group=%s", tx->handle,
			 tx->group->name);
		conn->tx = NULL;
		free_tx(core, tx);
		pool_close_conn(conn);
	}
}
