/*
 * The set-up of a connection for a caller's statement: the requests that are sent to the member
 * ahead of it (RESET, session values, a prepared name, BEGIN) and the replies to them.
 */
#pragma once

#include "env.h"
#include "variables.h"

/* Maximum number of requests: RESET, values, one PREPARE, BEGIN. */
#define SETUP_MAX (VARIABLES_MAX + 3)

typedef struct setup {
	request_kind_t requests[SETUP_MAX]; /* in the order in which they were sent */
	size_t len;
	size_t answered;
	size_t failed;		     /* requests that got an error */
	request_kind_t first_failed; /* valid if failed is not 0 */
	code_t code;		     /* first error; CODE_NONE: none */
	tx_state_t tx;		     /* of the member's session, by the latest reply */
} setup_t;

/* Begins a set-up without requests. */
void setup_start(setup_t *setup);

/* Adds a request that is about to be sent. */
void setup_add(setup_t *setup, request_kind_t request);

/* Records the reply to the first request that has none yet. */
void setup_on_reply(setup_t *setup, const reply_t *reply);

/* True if each request has its reply. */
bool setup_is_answered(const setup_t *setup);

/* True if the set-up begins a transaction; BEGIN is always its last request. */
bool setup_begins_tx(const setup_t *setup);

/* Name of a request for logs and counters, such as "begin". */
const char *request_name(request_kind_t request);
