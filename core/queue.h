/*
 * The queue of a group, ordered by weight, then by deadline. A request whose expected
 * wait does not fit its deadline is refused on arrival, with a time after which to
 * retry, instead of being queued until its deadline passes.
 */
#pragma once

#include "state.h"

/* Admit a request; false if it was refused, and thereby freed. */
bool queue_admit(request_t *request, const row_t *row);

/* Insert an admitted request, or one that is retried, at its place in the order. */
void queue_insert(request_t *request);

/* Expected wait: the work queued before the request, over the runs that go in parallel. */
usec_t queue_wait(const group_t *group, const request_t *request);
