/*
 * A run on a connection, step by step: what is sent for it and what its results
 * say. Steps are sent in parts, each as one pipeline.
 */
#pragma once

#include "event.h"
#include "pgio.h"

#define RUN_STEPS_MAX 6
/* Parameters of a statement; callers with more are refused. */
#define RUN_PARAMS_MAX 64

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
} run_step_t;

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
} run_part_t;

typedef struct run {
	query_t *query;
	run_part_t part;
	run_step_t
		sent_steps[RUN_STEPS_MAX]; /* steps of this part, in the order of their results */
	size_t sent_count;
	size_t next_result;
	bool commit_sent;
	bool committed;
	bool failed;	   /* some step of this part failed */
	bool is_duplicate; /* the request id was there already */
	bool not_primary;
	bool commit_unknown; /* the server ended the session instead of answering */
	run_result_t result;
} run_t;

/* The part that a run of this kind begins with. */
run_part_t run_first_part(run_kind_t kind);

/* Send the steps of a part as one pipeline; its results go to run_handle_result(). */
void run_send_part(run_t *run, pgio_t *io, run_part_t part);

/* Take up the next result of the part; further ones than steps are ignored. */
void run_handle_result(run_t *run, const PGresult *result);

/* Note why the run failed; the first reason stays. */
void run_set_detail(run_t *run, const char *detail);
