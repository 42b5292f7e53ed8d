/*
 * Running requests on the members of a group that this proxy serves: choice of
 * the member, what a failed run means, retries.
 */
#pragma once

#include "state.h"

/* Take a request whose group we watch; it may be refused and freed at once. */
void exec_submit(request_t *request, group_t *group);

/* Start whatever can start. */
void exec_dispatch(group_t *group);

void exec_run_done(core_t *core, uint64_t id, const run_event_t *event);

/* The request's deadline passed. */
void exec_deadline(request_t *request);

/* A majority holds what the run rests on: answer. */
void exec_confirmed(request_t *request);

/* The run's primary was superseded before a majority held it. */
void exec_superseded(request_t *request);

/* Start request's run on conn. */
void exec_start(request_t *request, conn_t *conn, run_kind_t kind);
