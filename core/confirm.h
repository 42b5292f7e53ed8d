/*
 * Confirmation: an answer is given only when a majority of the group holds what
 * it rests on. Commit on the primary is not enough, since replication is
 * asynchronous and the primary may be superseded. A strict read needs a
 * majority that still obeyed the term when asked after the read.
 */
#pragma once

#include "state.h"

/* Queue a request whose run has ended well; answers at once if it can. */
void confirm_add(request_t *request);

/* New reports came in: answer what a majority now holds. */
void confirm_check(group_t *group);

/* The group's term rose: what was run in an earlier one can't be confirmed any more. */
void confirm_term_changed(group_t *group);

/* How long the oldest unconfirmed request has waited. */
usec_t confirm_oldest_wait(const group_t *group);
