/*
 * Statements that this proxy runs for others: a caller of ours stands for each, or for each
 * transaction, and is served like one that has connected here.
 */
#pragma once

#include "state.h"

/* Another proxy's statement, or the end of its transaction. */
void job_on_request(pooler_t *pooler, const peer_message_t *message);

/* What came of it; from is the member's reply if it is passed on as it is, else NULL. */
void job_send_result(caller_t *job, const caller_reply_t *reply, const reply_t *from);

/* True if the job is over and its caller can be freed. */
bool job_is_done(const caller_t *job);
