/*
 * Statements that this proxy runs for other proxies, which have forwarded them (forward.h). A
 * caller_t with a job_t represents each such statement, or each transaction, and is served like a
 * caller that has connected here.
 */
#pragma once

#include "state.h"

/* Runs a statement that another proxy has forwarded, or ends its transaction. */
void job_on_request(pooler_t *pooler, const peer_message_t *message);

/*
 * Sends the result of the job's statement to the proxy that forwarded it. from: the member's reply
 * if it is passed on unchanged, else NULL.
 */
void job_send_result(caller_t *caller, const caller_reply_t *reply, const reply_t *from);

/* True if the caller's job, if it has one, is done, so that the caller can be freed. */
bool job_is_done(const caller_t *caller);
