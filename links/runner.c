/*
 * Pooled backend connections: each connects, claims a slot of its row's limit,
 * then carries out one run at a time. A write's commit is sent only after its
 * statement has succeeded, so a connection lost before that proves "not run".
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>
#include <uthash.h>
#include <xxhash.h>

#include "adapter.h"
#include "counter.h"
#include "pgio.h"
#include "sql.h"

#define LOG_MODULE "runner"
#include "log.h"

/*
 * A proxy that vanishes or is stopped keeps its connections open at the server,
 * and with them its slots of the row's limit: the next home would find none free
 * for as long as TCP takes to notice, or for good. So the server ends sessions
 * that are idle for longer than a living proxy lets them be (core closes its own
 * after conn_idle and rolls back transactions after tx_idle).
 */
#define SESSION_OPTIONS "-c idle_session_timeout=3000 -c idle_in_transaction_session_timeout=12000"

#define MAX_STEPS  6
#define MAX_PARAMS 64

COUNTER_DEFINE(connects_total, "backend_connects_total", COUNTER_SUM, "Connections opened.");
COUNTER_DEFINE(no_slot_total, "backend_no_slot_total", COUNTER_SUM,
	       "Connections given back because the row's limit was taken by others.");
COUNTER_DEFINE(evictions_total, "backend_evictions_total", COUNTER_SUM,
	       "Sessions of a silent home ended to free their slots.");
COUNTER_DEFINE(runs_total, "backend_runs_total", COUNTER_SUM, "Runs started.");
COUNTER_DEFINE(lost_total, "backend_lost_total", COUNTER_SUM, "Runs whose connection was lost.");
COUNTER_DEFINE(conns_open, "backend_connections", COUNTER_GAUGE, "Pooled connections.");

typedef enum {
	STEP_END,
	STEP_BEGIN,
	STEP_BEGIN_READ,
	STEP_INSERT_ID, /* left out when the query has no request id */
	STEP_STATEMENT,
	STEP_STORE_ANSWER, /* likewise */
	STEP_COMMIT,
	STEP_ROLLBACK,
	STEP_FIND_ANSWER,
	STEP_REPORT_BEFORE,
	STEP_REPORT_AFTER,
} step_t;

/* Parts of a run, each sent as one pipeline and judged at its end. */
typedef enum {
	PART_READ,
	PART_WRITE,
	PART_WRITE_COMMIT,
	PART_BEGIN,
	PART_STATEMENT,
	PART_COMMIT,
	PART_ROLLBACK,
	PART_CLEAN_UP, /* roll back after an error */
	PART_FIND_ANSWER,
} part_t;

static const step_t part_steps[][MAX_STEPS] = {
	[PART_READ] = {STEP_BEGIN_READ, STEP_REPORT_BEFORE, STEP_STATEMENT, STEP_REPORT_AFTER,
		       STEP_COMMIT},
	[PART_WRITE] = {STEP_BEGIN, STEP_INSERT_ID, STEP_STATEMENT},
	[PART_WRITE_COMMIT] = {STEP_STORE_ANSWER, STEP_COMMIT, STEP_REPORT_AFTER},
	[PART_BEGIN] = {STEP_BEGIN, STEP_REPORT_AFTER},
	[PART_STATEMENT] = {STEP_STATEMENT, STEP_REPORT_AFTER},
	[PART_COMMIT] = {STEP_INSERT_ID, STEP_COMMIT, STEP_REPORT_AFTER},
	[PART_ROLLBACK] = {STEP_ROLLBACK},
	[PART_CLEAN_UP] = {STEP_ROLLBACK},
	[PART_FIND_ANSWER] = {STEP_FIND_ANSWER, STEP_REPORT_AFTER},
};

static const part_t first_part[RUN_COUNT] = {
	[RUN_READ] = PART_READ,	    [RUN_WRITE] = PART_WRITE,
	[RUN_BEGIN] = PART_BEGIN,   [RUN_STATEMENT] = PART_STATEMENT,
	[RUN_COMMIT] = PART_COMMIT, [RUN_ROLLBACK] = PART_ROLLBACK,
};

typedef struct run {
	query_t *query;
	part_t part;
	step_t sent[MAX_STEPS]; /* steps of this part, in the order of their results */
	size_t sent_len;
	size_t next_result;
	bool commit_sent;
	bool committed;
	bool failed;	  /* some step of this part failed */
	bool id_is_known; /* the request id was there already */
	bool not_primary;
	bool commit_in_doubt; /* the server ended the session instead of answering */
	run_result_t result;
} run_t;

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
	bool evict;	  /* may end a session that holds a slot */
	bool skip_result; /* the next result is the eviction's, not the claim's */
	run_t *run;	  /* NULL between runs */
} runner_conn_t;

typedef struct runner {
	plugin_t base;
	adapter_t *adapter;
	loop_t *loop;
	const conf_t *conf;
	char *password;
	runner_conn_t *conns;
} runner_t;

/* --- sending --- */

static int read_params(void *parent, const char *text, const char **out)
{
	json_t *list = text != NULL ? json_loads(text, 0, NULL) : NULL;
	int count = (int)json_array_size(list);

	for (int i = 0; i < count && i < MAX_PARAMS; i++) {
		const json_t *item = json_array_get(list, (size_t)i);
		char *shown;

		if (json_is_null(item)) {
			out[i] = NULL;
		} else if (json_is_string(item)) {
			out[i] = talloc_strdup(parent, json_string_value(item));
		} else {
			shown = json_dumps(item, JSON_ENCODE_ANY);
			out[i] = talloc_strdup(parent, shown);
			free(shown);
		}
	}
	json_decref(list);
	return count < MAX_PARAMS ? count : MAX_PARAMS;
}

static void send_statement(runner_conn_t *conn)
{
	const query_t *query = conn->run->query;
	const char *params[MAX_PARAMS];
	void *scratch = talloc_new(NULL);
	int count = read_params(scratch, query->params, params);

	pgio_send(&conn->io, query->text, count, params);
	talloc_free(scratch);
}

/*
 * What the request is, apart from its id. Two callers that chose the same id must
 * not get each other's answers: a stored answer starts with this.
 */
static char *fingerprint(void *parent, const query_t *query)
{
	const char *const parts[] = {query->service, query->class_name, query->text, query->params};
	uint64_t hash = 0;

	for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
		const char *part = parts[i] != NULL ? parts[i] : "";

		hash = XXH64(part, strlen(part), hash + i);
	}
	return talloc_asprintf(parent, "%016llx ", (unsigned long long)hash);
}

static char *stored_answer(void *parent, const run_t *run)
{
	const char *rows = run->result.rows != NULL ? run->result.rows : "";

	return talloc_asprintf_append(fingerprint(parent, run->query), "%s", rows);
}

static void send_step(runner_conn_t *conn, step_t step)
{
	run_t *run = conn->run;
	const char *id_and_answer[] = {run->query->request_id, NULL};

	switch (step) {
	case STEP_BEGIN:
		pgio_send(&conn->io, "BEGIN", 0, NULL);
		break;
	case STEP_BEGIN_READ:
		pgio_send(&conn->io, "BEGIN READ ONLY", 0, NULL);
		break;
	case STEP_INSERT_ID:
		pgio_send(&conn->io, SQL_INSERT_ID, 1, id_and_answer);
		break;
	case STEP_STATEMENT:
		send_statement(conn);
		break;
	case STEP_STORE_ANSWER:
		id_and_answer[1] = stored_answer(run, run);
		pgio_send(&conn->io, SQL_STORE_ANSWER, 2, id_and_answer);
		break;
	case STEP_COMMIT:
		run->commit_sent = true;
		pgio_send(&conn->io, "COMMIT", 0, NULL);
		break;
	case STEP_ROLLBACK:
		pgio_send(&conn->io, "ROLLBACK", 0, NULL);
		break;
	case STEP_FIND_ANSWER:
		pgio_send(&conn->io, SQL_FIND_ANSWER, 1, id_and_answer);
		break;
	case STEP_REPORT_BEFORE:
	case STEP_REPORT_AFTER:
		pgio_send(&conn->io, SQL_REPORT, 0, NULL);
		break;
	case STEP_END:
		return;
	}
	run->sent[run->sent_len++] = step;
}

static bool needs_id(step_t step)
{
	return step == STEP_INSERT_ID || step == STEP_STORE_ANSWER;
}

static void send_part(runner_conn_t *conn, part_t part)
{
	run_t *run = conn->run;

	run->part = part;
	run->sent_len = 0;
	run->next_result = 0;
	run->failed = false;
	for (size_t i = 0; i < MAX_STEPS && part_steps[part][i] != STEP_END; i++) {
		step_t step = part_steps[part][i];

		if (needs_id(step) && run->query->request_id == NULL)
			continue;
		send_step(conn, step);
	}
	pgio_sync(&conn->io);
}

/* --- ends --- */

static void finish(runner_conn_t *conn, run_status_t status)
{
	run_t *run = conn->run;
	event_t event = {.kind = EVENT_RUN_DONE, .id = conn->id, .run = {.result = &run->result}};

	if (status == RUN_LOST_AT_COMMIT || status == RUN_LOST_BEFORE_COMMIT)
		counter_add(&lost_total, 1);
	run->result.status = status;
	conn->run = NULL;
	/* What core decides next may close and free the connection. */
	talloc_steal(NULL, run);
	adapter_submit(conn->runner->adapter, &event);
	talloc_free(run);
}

static void unlist(runner_conn_t *conn)
{
	HASH_DEL(conn->runner->conns, conn);
	counter_add(&conns_open, -1);
	pgio_close(&conn->io);
}

static void set_detail(run_t *run, const char *detail)
{
	if (run->result.detail == NULL)
		run->result.detail = talloc_strdup(run, detail);
}

/* Tell core how a run ended whose connection is gone, then that the connection is. */
static void lost(runner_conn_t *conn, const char *why)
{
	event_t event = {.kind = EVENT_CONN_DOWN, .id = conn->id, .conn_down = {.detail = why}};
	adapter_t *adapter = conn->runner->adapter;
	run_t *run = conn->run;

	unlist(conn); /* first, so that a close decided meanwhile finds nothing */
	if (run != NULL) {
		set_detail(run, why);
		/* Once committed the answer may be lost, but the commit is not in doubt. */
		finish(conn, run->commit_sent ? RUN_LOST_AT_COMMIT : RUN_LOST_BEFORE_COMMIT);
	}
	adapter_submit(adapter, &event);
	talloc_free(conn);
}

/* --- results --- */

static void take_report(run_t *run, step_t step, const PGresult *result)
{
	report_t *out = step == STEP_REPORT_BEFORE ? &run->result.before : &run->result.after;
	bool accepted;

	if (sql_read_report(result, &accepted, out) < 0) {
		run->failed = true;
		set_detail(run, "the member's report could not be read");
	}
}

/* A commit stores no answer: its id alone says that it took. */
static bool is_own_answer(const run_t *run, const char *stored, const char *mark)
{
	if (run->query->verb == VERB_COMMIT)
		return stored[0] == '\0';
	return strncmp(stored, mark, strlen(mark)) == 0;
}

static void take_answer(run_t *run, const PGresult *result)
{
	char *mark = fingerprint(run, run->query);
	const char *stored;

	if (PQntuples(result) != 1)
		return;
	stored = PQgetvalue(result, 0, 0);
	if (!is_own_answer(run, stored, mark)) {
		set_detail(run, "the request id was used for another request");
		return;
	}
	talloc_free(run->result.rows);
	run->result.rows = stored[0] != '\0' ? talloc_strdup(run, stored + strlen(mark)) : NULL;
	run->result.repeated = true;
}

static void take_error(run_t *run, step_t step, const PGresult *result)
{
	run->failed = true;
	if (PQresultStatus(result) == PGRES_PIPELINE_ABORTED)
		return; /* an earlier step has said why */
	if (step == STEP_INSERT_ID && sql_has_state(result, SQLSTATE_UNIQUE_VIOLATION)) {
		run->id_is_known = true;
		return;
	}
	run->not_primary = sql_has_state(result, SQLSTATE_READ_ONLY) && run->part != PART_READ;
	run->commit_in_doubt = step == STEP_COMMIT && sql_is_fatal(result);
	talloc_free(run->result.detail);
	run->result.detail = sql_error_text(run, result);
}

static void take_step(run_t *run, step_t step, const PGresult *result)
{
	if (sql_is_error(result)) {
		take_error(run, step, result);
		return;
	}
	switch (step) {
	case STEP_STATEMENT:
		run->result.rows = sql_rows_to_json(run, result);
		break;
	case STEP_REPORT_BEFORE:
	case STEP_REPORT_AFTER:
		take_report(run, step, result);
		break;
	case STEP_FIND_ANSWER:
		take_answer(run, result);
		break;
	case STEP_COMMIT:
		/* The server answers the commit of a failed transaction with ROLLBACK. */
		run->committed = strcmp(PQcmdStatus((PGresult *)result), "COMMIT") == 0;
		if (!run->committed) {
			run->failed = true;
			set_detail(run, "the transaction had failed and was rolled back");
		}
		break;
	default:
		break;
	}
}

static void part_ok(runner_conn_t *conn)
{
	run_t *run = conn->run;

	switch (run->part) {
	case PART_WRITE:
		send_part(conn, PART_WRITE_COMMIT);
		break;
	case PART_CLEAN_UP:
		if (run->id_is_known)
			send_part(conn, PART_FIND_ANSWER);
		else
			finish(conn, run->not_primary ? RUN_NOT_PRIMARY : RUN_REJECTED);
		break;
	case PART_FIND_ANSWER:
		if (run->result.repeated) {
			finish(conn, RUN_OK);
			break;
		}
		/* Another request's; or its attempt was rolled back a moment ago. */
		set_detail(run, "an attempt with the same request id had just ended");
		finish(conn, RUN_REJECTED);
		break;
	default:
		finish(conn, RUN_OK);
		break;
	}
}

/* A failed step must not leave a half-done transaction for the next user of the connection. */
static void part_failed(runner_conn_t *conn)
{
	run_t *run = conn->run;

	if (run->part == PART_CLEAN_UP || run->part == PART_FIND_ANSWER) {
		lost(conn, "the connection could not be cleaned up");
		return;
	}
	if (run->commit_in_doubt) {
		lost(conn, "the server ended the session during the commit");
		return;
	}
	if (run->committed) {
		/* Done, but where in the log is not known: it can't be confirmed from here. */
		lost(conn, "committed, but the member did not report its position");
		return;
	}
	if (run->part == PART_STATEMENT) {
		finish(conn, RUN_REJECTED);
		return;
	}
	run->commit_sent = false; /* answered: it did not take */
	send_part(conn, PART_CLEAN_UP);
}

static void part_done(runner_conn_t *conn)
{
	if (conn->run->failed)
		part_failed(conn);
	else
		part_ok(conn);
}

/* --- claiming a slot --- */

static void send_claim(runner_conn_t *conn)
{
	char limit[24];
	const char *params[] = {conn->row, limit};

	snprintf(limit, sizeof(limit), "%lld", (long long)conn->limit);
	pgio_send(&conn->io, SQL_CLAIM, 2, params);
	pgio_sync(&conn->io);
}

/* Once a connection: make room, then claim again. */
static void evict_and_claim(runner_conn_t *conn)
{
	const char *params[] = {conn->row};

	conn->evict = false;
	conn->skip_result = true;
	counter_add(&evictions_total, 1);
	pgio_send(&conn->io, SQL_EVICT, 1, params);
	send_claim(conn);
}

static void take_claim(runner_conn_t *conn, const PGresult *result)
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

static void claim_done(runner_conn_t *conn)
{
	event_t event = {.kind = EVENT_CONN_UP, .id = conn->id, .conn_up = {.slot = conn->slot}};

	if (!conn->claimed && conn->evict) {
		evict_and_claim(conn);
		return;
	}
	if (!conn->claimed) {
		counter_add(&no_slot_total, 1);
		lost(conn, "no slot of the row's limit is free at the member");
		return;
	}
	adapter_submit(conn->runner->adapter, &event);
}

/* --- callbacks of the connection --- */

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
			take_claim(conn, result);
		else
			claim_done(conn);
		return;
	}
	if (result == NULL)
		part_done(conn);
	else if (run->next_result < run->sent_len)
		take_step(run, run->sent[run->next_result++], result);
}

static void on_lost(pgio_t *io, bool refused, const char *why)
{
	(void)refused;
	lost(list_entry(io, runner_conn_t, io), why);
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
	send_part(conn, first_part[action->run.kind]);
}

static void on_close(void *data, action_t *action)
{
	runner_conn_t *conn = find_conn(data, action->id);

	if (conn != NULL)
		lost(conn, "closed by this proxy");
}

static int start(plugin_t *plugin, kernel_t *kernel, err_t *err)
{
	runner_t *self = (runner_t *)plugin;
	int rc;

	self->adapter = adapter_of(kernel);
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
		unlist(conn);
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
