/*
 * A run: the execution of one query on a backend connection. A run consists of parts, each of which
 * is sent as one pipeline; a part consists of steps, each of which is one SQL command.
 */
#pragma once

#include "event.h"
#include "pgio.h"

#define RUN_STEPS_MAX 6
/* Most parameters of a statement; a request with more is rejected. */
#define RUN_PARAMS_MAX 64

typedef enum {
	STEP_END,
	STEP_BEGIN,
	STEP_BEGIN_READ,
	STEP_INSERT_ID, /* skipped if the query has no request id */
	STEP_STATEMENT,
	STEP_STORE_ANSWER, /* skipped if the query has no request id */
	STEP_COMMIT,
	STEP_ROLLBACK,
	STEP_FIND_ANSWER,
	STEP_REPORT_BEFORE,
	STEP_REPORT_AFTER,
} run_step_t;

/* Parts of a run. The results of a part decide which part follows. */
typedef enum {
	PART_READ,
	PART_WRITE,
	PART_WRITE_COMMIT,
	PART_BEGIN,
	PART_STATEMENT,
	PART_COMMIT,
	PART_ROLLBACK,
	PART_CLEAN_UP, /* roll back after a failed step */
	PART_FIND_ANSWER,
} run_part_t;

typedef struct run {
	query_t *query;
	run_part_t part;
	/* steps of this part, in the order of their results */
	run_step_t sent_steps[RUN_STEPS_MAX];
	size_t sent_count;
	size_t next_result;
	bool commit_sent;
	bool committed;
	bool failed;	   /* a step of this part failed */
	bool is_duplicate; /* the request id is stored already */
	bool not_primary;
	bool commit_unknown; /* the server closed the session instead of confirming the commit */
	run_result_t result;
} run_t;

/* The first part of a run of this kind. */
run_part_t run_first_part(run_kind_t kind);

/* Send the steps of a part as one pipeline; pass each result to run_handle_result(). */
void run_send_part(run_t *run, pgio_t *io, run_part_t part);

/* Process the next result of the part. Results beyond the last step are ignored. */
void run_handle_result(run_t *run, const PGresult *result);

/* Set the reason of a failure unless one is set already. */
void run_set_detail(run_t *run, const char *detail);
