/*
 * The queue of a group: by weight, then by deadline. A request whose expected
 * wait does not fit its deadline is refused when it arrives, with the time to
 * come back, rather than kept until it dies.
 */
#pragma once

#include "state.h"

/* Admit a request; false if it was refused, and thereby freed. */
bool queue_admit(request_t *request, const row_t *row);

/* Put an admitted request (back) in its place. */
void queue_insert(request_t *request);

/* How long until request would be run, by what is queued before it and what serves its kind. */
usec_t queue_wait(const group_t *group, const request_t *request);
