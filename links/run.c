#include "run.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>
#include <xxhash.h>

#include "sql.h"

static const run_step_t part_steps[][RUN_STEPS_MAX] = {
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

static const run_part_t first_part[RUN_COUNT] = {
	[RUN_READ] = PART_READ,	    [RUN_WRITE] = PART_WRITE,
	[RUN_BEGIN] = PART_BEGIN,   [RUN_STATEMENT] = PART_STATEMENT,
	[RUN_COMMIT] = PART_COMMIT, [RUN_ROLLBACK] = PART_ROLLBACK,
};

run_part_t run_first_part(run_kind_t kind)
{
	return first_part[kind];
}

/* --- sending --- */

static int decode_params(void *parent, const char *text, const char **out)
{
	json_t *list = text != NULL ? json_loads(text, 0, NULL) : NULL;
	int count = (int)json_array_size(list);

	for (int i = 0; i < count && i < RUN_PARAMS_MAX; i++) {
		const json_t *item = json_array_get(list, (size_t)i);
		char *value;

		if (json_is_null(item)) {
			out[i] = NULL;
		} else if (json_is_string(item)) {
			out[i] = talloc_strdup(parent, json_string_value(item));
		} else {
			value = json_dumps(item, JSON_ENCODE_ANY);
			out[i] = talloc_strdup(parent, value);
			free(value);
		}
	}
	json_decref(list);
	return count < RUN_PARAMS_MAX ? count : RUN_PARAMS_MAX;
}

static void send_statement(pgio_t *io, const run_t *run)
{
	const query_t *query = run->query;
	const char *params[RUN_PARAMS_MAX];
	void *scratch = talloc_new(NULL);
	int count = decode_params(scratch, query->params, params);

	pgio_send(io, query->text, count, params);
	talloc_free(scratch);
}

/*
 * Hash of the request without its id, with which a stored answer begins. Callers that happen to
 * choose the same request id must not receive each other's answers.
 */
static char *request_fingerprint(void *parent, const query_t *query)
{
	const char *const parts[] = {query->service, query->class_name, query->text, query->params};
	uint64_t hash = 0;

	for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
		const char *part = parts[i] != NULL ? parts[i] : "";

		hash = XXH64(part, strlen(part), hash + i);
	}
	return talloc_asprintf(parent, "%016llx ", (unsigned long long)hash);
}

static char *format_stored_answer(void *parent, const run_t *run)
{
	const char *rows = run->result.rows != NULL ? run->result.rows : "";

	return talloc_asprintf_append(request_fingerprint(parent, run->query), "%s", rows);
}

static void send_step(pgio_t *io, run_t *run, run_step_t step)
{
	const char *id_params[] = {run->query->request_id, NULL};

	switch (step) {
	case STEP_BEGIN:
		pgio_send(io, "BEGIN", 0, NULL);
		break;
	case STEP_BEGIN_READ:
		pgio_send(io, "BEGIN READ ONLY", 0, NULL);
		break;
	case STEP_INSERT_ID:
		pgio_send(io, SQL_INSERT_ID, 1, id_params);
		break;
	case STEP_STATEMENT:
		send_statement(io, run);
		break;
	case STEP_STORE_ANSWER:
		id_params[1] = format_stored_answer(run, run);
		pgio_send(io, SQL_STORE_ANSWER, 2, id_params);
		break;
	case STEP_COMMIT:
		run->commit_sent = true;
		pgio_send(io, "COMMIT", 0, NULL);
		break;
	case STEP_ROLLBACK:
		pgio_send(io, "ROLLBACK", 0, NULL);
		break;
	case STEP_FIND_ANSWER:
		pgio_send(io, SQL_FIND_ANSWER, 1, id_params);
		break;
	case STEP_REPORT_BEFORE:
	case STEP_REPORT_AFTER:
		pgio_send(io, SQL_REPORT, 0, NULL);
		break;
	case STEP_END:
		return;
	}
	run->sent_steps[run->sent_count++] = step;
}

static bool step_needs_request_id(run_step_t step)
{
	return step == STEP_INSERT_ID || step == STEP_STORE_ANSWER;
}

void run_send_part(run_t *run, pgio_t *io, run_part_t part)
{
	run->part = part;
	run->sent_count = 0;
	run->next_result = 0;
	run->failed = false;
	for (size_t i = 0; i < RUN_STEPS_MAX && part_steps[part][i] != STEP_END; i++) {
		run_step_t step = part_steps[part][i];

		if (step_needs_request_id(step) && run->query->request_id == NULL)
			continue;
		send_step(io, run, step);
	}
	pgio_sync(io);
}

/* --- results --- */

void run_set_detail(run_t *run, const char *detail)
{
	if (run->result.detail == NULL)
		run->result.detail = talloc_strdup(run, detail);
}

static void handle_report(run_t *run, run_step_t step, const PGresult *result)
{
	report_t *out = step == STEP_REPORT_BEFORE ? &run->result.before : &run->result.after;
	bool accepted;

	if (sql_read_report(result, &accepted, out) < 0) {
		run->failed = true;
		run_set_detail(run, "the member's report could not be read");
	}
}

/*
 * True if a stored answer belongs to this request. A commit stores an empty answer: that its
 * request id is stored shows that the transaction was committed.
 */
static bool is_answer_to_query(const run_t *run, const char *stored, const char *prefix)
{
	if (run->query->verb == VERB_COMMIT)
		return stored[0] == '\0';
	return strncmp(stored, prefix, strlen(prefix)) == 0;
}

static void handle_stored_answer(run_t *run, const PGresult *result)
{
	char *prefix = request_fingerprint(run, run->query);
	const char *stored;

	if (PQntuples(result) != 1)
		return;
	stored = PQgetvalue(result, 0, 0);
	if (!is_answer_to_query(run, stored, prefix)) {
		run_set_detail(run, "the request id was used for another request");
		return;
	}
	talloc_free(run->result.rows);
	run->result.rows = stored[0] != '\0' ? talloc_strdup(run, stored + strlen(prefix)) : NULL;
	run->result.repeated = true;
}

static void handle_error(run_t *run, run_step_t step, const PGresult *result)
{
	run->failed = true;
	if (PQresultStatus(result) == PGRES_PIPELINE_ABORTED)
		return; /* the error of an earlier step contains the reason */
	if (step == STEP_INSERT_ID && sql_has_sqlstate(result, SQLSTATE_UNIQUE_VIOLATION)) {
		run->is_duplicate = true;
		return;
	}
	run->not_primary = sql_has_sqlstate(result, SQLSTATE_READ_ONLY) && run->part != PART_READ;
	run->commit_unknown = step == STEP_COMMIT && sql_is_fatal(result);
	talloc_free(run->result.detail);
	run->result.detail = sql_error_text(run, result);
}

static void handle_step_result(run_t *run, run_step_t step, const PGresult *result)
{
	if (sql_is_error(result)) {
		handle_error(run, step, result);
		return;
	}
	switch (step) {
	case STEP_STATEMENT:
		run->result.rows = sql_rows_to_json(run, result);
		break;
	case STEP_REPORT_BEFORE:
	case STEP_REPORT_AFTER:
		handle_report(run, step, result);
		break;
	case STEP_FIND_ANSWER:
		handle_stored_answer(run, result);
		break;
	case STEP_COMMIT:
		/* The server responds to the COMMIT of a failed transaction with ROLLBACK. */
		run->committed = strcmp(PQcmdStatus((PGresult *)result), "COMMIT") == 0;
		if (!run->committed) {
			run->failed = true;
			run_set_detail(run, "the transaction had failed and was rolled back");
		}
		break;
	default:
		break;
	}
}

void run_handle_result(run_t *run, const PGresult *result)
{
	if (run->next_result < run->sent_count)
		handle_step_result(run, run->sent_steps[run->next_result++], result);
}
