/*
 * Confirmation: an answer is sent only when a majority of the group's members holds
 * the log up to the position that it depends on. A commit on the primary is not
 * enough, since replication is asynchronous and the primary may be superseded. A
 * linearizable read also needs reports, requested after the read, that a majority
 * still obeys the term.
 */
#pragma once

#include "state.h"

/* Add a request whose run has succeeded; answers at once if it is confirmed already. */
void confirm_add(request_t *request);

/* After a new report: answer the requests that a majority now confirms. */
void confirm_answer_ready(group_t *group);

/* After the group's term rose: runs in an earlier term can't be confirmed any more. */
void confirm_term_changed(group_t *group);

/* How long the oldest unconfirmed request has waited, 0 if there is none. */
usec_t confirm_oldest_wait(const group_t *group);
