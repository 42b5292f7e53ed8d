/*
 * Pooled connections to backend servers. A connection claims a slot of its table row's limit once
 * it is open, then executes one run at a time. The COMMIT of a write is sent only after its
 * statement has succeeded; if the connection is lost before that, the write was certainly not done.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>
#include <uthash.h>

#include "adapter.h"
#include "counter.h"
#include "pgio.h"
#include "run.h"
#include "sql.h"

#define LOG_MODULE "runner"
#include "log.h"

/*
 * If a proxy's VM fails or the process is suspended, its connections stay open at the server and
 * keep their slots of the row's limit. The next home would find no slot free until TCP detects the
 * loss, which may be never. So the server closes sessions that are idle for longer than a running
 * proxy leaves them: core closes idle connections after conn_idle and rolls back transactions after
 * tx_idle.
 */
#define SESSION_OPTIONS "-c idle_session_timeout=3000 -c idle_in_transaction_session_timeout=12000"

COUNTER_DEFINE(connects_total, "backend_connects_total", COUNTER_SUM, "Connections opened.");
COUNTER_DEFINE(no_slot_total, "backend_no_slot_total", COUNTER_SUM,
	       "Connections given back because the row's limit was taken by others.");
COUNTER_DEFINE(evictions_total, "backend_evictions_total", COUNTER_SUM,
	       "Sessions of a silent home ended to free their slots.");
COUNTER_DEFINE(runs_total, "backend_runs_total", COUNTER_SUM, "Runs started.");
COUNTER_DEFINE(lost_total, "backend_lost_total", COUNTER_SUM, "Runs whose connection was lost.");
COUNTER_DEFINE(conns_open, "backend_connections", COUNTER_GAUGE, "Pooled connections.");

struct runner;

typedef struct runner_conn {
	pgio_t io;
	uint64_t id;
	UT_hash_handle hh;
	struct runner *runner;
	char *row;
	int64_t limit;
	int64_t slot;
	bool claimed;
	bool evict;	  /* may end another session to free a slot */
	bool skip_result; /* the next result is that of SQL_EVICT_SESSION, not of the claim */
	run_t *run;	  /* in progress, or NULL */
} runner_conn_t;

typedef struct runner {
	plugin_t base;
	adapter_t *adapter;
	loop_t *loop;
	const conf_t *conf;
	char *password;
	runner_conn_t *conns;
} runner_t;

/* --- end of runs and connections --- */

static void finish_run(runner_conn_t *conn, run_status_t status)
{
	run_t *run = conn->run;
	event_t event = {.kind = EVENT_RUN_DONE, .id = conn->id, .run = {.result = &run->result}};

	if (status == RUN_LOST_AT_COMMIT || status == RUN_LOST_BEFORE_COMMIT)
		counter_add(&lost_total, 1);
	run->result.status = status;
	conn->run = NULL;
	/* The actions that core returns may close and free the connection. */
	talloc_steal(NULL, run);
	adapter_submit(conn->runner->adapter, &event);
	talloc_free(run);
}

static void remove_conn(runner_conn_t *conn)
{
	HASH_DEL(conn->runner->conns, conn);
	counter_add(&conns_open, -1);
	pgio_close(&conn->io);
}

/* Report to core first how the run in progress ended, then that the connection is closed. */
static void handle_conn_lost(runner_conn_t *conn, const char *why)
{
	event_t event = {.kind = EVENT_CONN_DOWN, .id = conn->id, .conn_down = {.detail = why}};
	adapter_t *adapter = conn->runner->adapter;
	run_t *run = conn->run;

	remove_conn(conn); /* first, so that a close action from core finds no connection */
	if (run != NULL) {
		run_set_detail(run, why);
		/* Once COMMIT is sent, the write may be committed although the answer is lost. */
		finish_run(conn, run->commit_sent ? RUN_LOST_AT_COMMIT : RUN_LOST_BEFORE_COMMIT);
	}
	adapter_submit(adapter, &event);
	talloc_free(conn);
}

/* --- end of a part of a run --- */

static void handle_part_success(runner_conn_t *conn)
{
	run_t *run = conn->run;

	switch (run->part) {
	case PART_WRITE:
		run_send_part(conn->run, &conn->io, PART_WRITE_COMMIT);
		break;
	case PART_CLEAN_UP:
		if (run->is_duplicate)
			run_send_part(conn->run, &conn->io, PART_FIND_ANSWER);
		else
			finish_run(conn, run->not_primary ? RUN_NOT_PRIMARY : RUN_REJECTED);
		break;
	case PART_FIND_ANSWER:
		if (run->result.repeated) {
			finish_run(conn, RUN_OK);
			break;
		}
		/* The id belongs to another request, or its attempt was just rolled back. */
		run_set_detail(run, "an attempt with the same request id had just ended");
		finish_run(conn, RUN_REJECTED);
		break;
	default:
		finish_run(conn, RUN_OK);
		break;
	}
}

/*
 * A step of the part failed: roll back, or close the connection, so that no other run finds an
 * unfinished transaction. A failed statement leaves its caller's transaction open.
 */
static void handle_part_failure(runner_conn_t *conn)
{
	run_t *run = conn->run;

	if (run->part == PART_CLEAN_UP || run->part == PART_FIND_ANSWER) {
		handle_conn_lost(conn, "the connection could not be cleaned up");
		return;
	}
	if (run->commit_unknown) {
		handle_conn_lost(conn, "the server ended the session during the commit");
		return;
	}
	if (run->committed) {
		/* Without the log position core can't confirm that a majority has the commit. */
		handle_conn_lost(conn, "committed, but the member did not report its position");
		return;
	}
	if (run->part == PART_STATEMENT) {
		finish_run(conn, RUN_REJECTED);
		return;
	}
	run->commit_sent = false; /* the server has reported that it did not commit */
	run_send_part(conn->run, &conn->io, PART_CLEAN_UP);
}

static void handle_part_end(runner_conn_t *conn)
{
	if (conn->run->failed)
		handle_part_failure(conn);
	else
		handle_part_success(conn);
}

/* --- claim of a slot --- */

static void send_claim(runner_conn_t *conn)
{
	char limit[24];
	const char *params[] = {conn->row, limit};

	snprintf(limit, sizeof(limit), "%lld", (long long)conn->limit);
	pgio_send(&conn->io, SQL_CLAIM_SLOT, 2, params);
	pgio_sync(&conn->io);
}

/* End another session that holds a slot, then claim again; done once for each connection. */
static void evict_session_and_claim(runner_conn_t *conn)
{
	const char *params[] = {conn->row};

	conn->evict = false;
	conn->skip_result = true;
	counter_add(&evictions_total, 1);
	pgio_send(&conn->io, SQL_EVICT_SESSION, 1, params);
	send_claim(conn);
}

static void read_claim_result(runner_conn_t *conn, const PGresult *result)
{
	if (conn->skip_result) {
		conn->skip_result = false;
		return;
	}
	if (!sql_is_error(result) && PQntuples(result) == 1) {
		conn->slot = strtoll(PQgetvalue(result, 0, 0), NULL, 10);
		conn->claimed = true;
	}
}

static void handle_claim_end(runner_conn_t *conn)
{
	event_t event = {.kind = EVENT_CONN_UP, .id = conn->id, .conn_up = {.slot = conn->slot}};

	if (!conn->claimed && conn->evict) {
		evict_session_and_claim(conn);
		return;
	}
	if (!conn->claimed) {
		counter_add(&no_slot_total, 1);
		handle_conn_lost(conn, "no slot of the row's limit is free at the member");
		return;
	}
	adapter_submit(conn->runner->adapter, &event);
}

/* --- callbacks of pgio --- */

static void on_ready(pgio_t *io)
{
	counter_add(&connects_total, 1);
	send_claim(list_entry(io, runner_conn_t, io));
}

static void on_result(pgio_t *io, const PGresult *result)
{
	runner_conn_t *conn = list_entry(io, runner_conn_t, io);
	run_t *run = conn->run;

	if (run == NULL) {
		if (result != NULL)
			read_claim_result(conn, result);
		else
			handle_claim_end(conn);
		return;
	}
	if (result == NULL)
		handle_part_end(conn);
	else
		run_handle_result(run, result);
}

static void on_lost(pgio_t *io, bool refused, const char *why)
{
	(void)refused;
	handle_conn_lost(list_entry(io, runner_conn_t, io), why);
}

static const pgio_ops_t io_ops = {
	.on_ready = on_ready,
	.on_result = on_result,
	.on_lost = on_lost,
};

/* --- actions --- */

static runner_conn_t *find_conn(runner_t *self, uint64_t id)
{
	runner_conn_t *conn;

	HASH_FIND(hh, self->conns, &id, sizeof(id), conn);
	return conn;
}

static void on_connect(void *data, action_t *action)
{
	runner_t *self = data;
	runner_conn_t *conn = talloc_zero(NULL, runner_conn_t);

	conn->runner = self;
	conn->id = action->id;
	conn->row = talloc_strdup(conn, action->connect.row);
	conn->limit = action->connect.limit;
	conn->evict = action->connect.evict;
	conn->io.ops = &io_ops;
	conn->io.options = SESSION_OPTIONS;
	HASH_ADD(hh, self->conns, id, sizeof(conn->id), conn);
	counter_add(&conns_open, 1);
	pgio_connect(&conn->io, self->loop, self->conf, self->password, action->connect.address);
}

static void on_run(void *data, action_t *action)
{
	runner_conn_t *conn = find_conn(data, action->id);
	event_t event = {.kind = EVENT_RUN_DONE, .id = action->id};
	run_result_t result = {.status = RUN_LOST_BEFORE_COMMIT, .detail = "connection lost"};

	counter_add(&runs_total, 1);
	if (conn == NULL) {
		event.run.result = &result;
		adapter_submit(((runner_t *)data)->adapter, &event);
		return;
	}
	conn->run = talloc_zero(conn, run_t);
	conn->run->query = talloc_steal(conn->run, action->run.query);
	run_send_part(conn->run, &conn->io, run_first_part(action->run.kind));
}

static void on_close(void *data, action_t *action)
{
	runner_conn_t *conn = find_conn(data, action->id);

	if (conn != NULL)
		handle_conn_lost(conn, "closed by this proxy");
}

static int start(plugin_t *plugin, kernel_t *kernel, err_t *err)
{
	runner_t *self = (runner_t *)plugin;
	int rc;

	self->adapter = adapter_from_kernel(kernel);
	self->loop = &kernel->loop;
	self->conf = kernel->settings;
	rc = conf_read_password(NULL, self->conf, &self->password, err);
	if (rc < 0)
		return rc;
	adapter_register(self->adapter, ACTION_CONNECT, on_connect, self);
	adapter_register(self->adapter, ACTION_RUN, on_run, self);
	adapter_register(self->adapter, ACTION_CLOSE, on_close, self);
	return 0;
}

static json_t *dump(const plugin_t *plugin)
{
	const runner_t *self = (const runner_t *)plugin;

	return json_pack("{s:i}", "connections", (int)HASH_COUNT(self->conns));
}

static void destroy(plugin_t *plugin)
{
	runner_t *self = (runner_t *)plugin;
	runner_conn_t *conn;
	runner_conn_t *next;

	HASH_ITER (hh, self->conns, conn, next) {
		remove_conn(conn);
		talloc_free(conn);
	}
	talloc_free(self->password);
}

static const plugin_ops_t ops = {
	.name = "runner",
	.order = 20,
	.start = start,
	.dump = dump,
	.destroy = destroy,
};

static runner_t instance = {.base = {.ops = &ops}};

PLUGIN_REGISTER(&instance.base);
