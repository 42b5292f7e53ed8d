/*
 * Runs requests on the members of a group that this proxy serves: chooses the
 * member, handles failed runs and retries.
 */
#pragma once

#include "state.h"

/* Queue a request of a group that this proxy watches. The request may be freed on return. */
void exec_submit(request_t *request, group_t *group);

/* Start all queued requests that can start now. */
void exec_dispatch(group_t *group);

void exec_run_done(core_t *core, uint64_t id, const run_event_t *event);

/* The request's deadline has passed: answer it. */
void exec_deadline(request_t *request);

/* A majority has confirmed the run: send the answer. */
void exec_confirmed(request_t *request);

/* The primary that ran the request was superseded before a majority confirmed the run. */
void exec_superseded(request_t *request);

/* Start a run of the request on conn. */
void exec_start(request_t *request, conn_t *conn, run_kind_t kind);
