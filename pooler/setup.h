/*
 * The set-up of a connection for a caller's statement: the requests that are sent to the member
 * ahead of it (RESET, session values, a prepared name, BEGIN) and the replies to them.
 */
#pragma once

#include "env.h"
#include "variables.h"

/* Maximum number of requests: RESET, values, one PREPARE, BEGIN. */
#define SETUP_MAX (VARIABLES_MAX + 3)

typedef enum {
	SETUP_COMPLETE,	     /* the statement can be sent */
	SETUP_BEGIN_REFUSED, /* values and names are set up, and no transaction is open */
	SETUP_UNCERTAIN,     /* what the member's session holds is not known */
} setup_outcome_t;

typedef struct setup {
	request_kind_t requests[SETUP_MAX]; /* in the order in which they were sent */
	size_t len;
	size_t answered;
	size_t failed;		     /* requests that got an error */
	request_kind_t first_failed; /* valid if failed is not 0 */
	code_t code;		     /* first error; CODE_NONE: none */
	tx_state_t tx;		     /* of the member's session, by the latest reply */
	tx_state_t expected_tx;	     /* that the replies so far should have left */
	bool tx_differs;	     /* a reply has told another state */
} setup_t;

/* Begins a set-up without requests in a session of this state, which is TX_NONE or TX_OPEN. */
void setup_start(setup_t *setup, tx_state_t tx);

/* Adds a request that is about to be sent. */
void setup_add(setup_t *setup, request_kind_t request);

/* Records the reply to the first request that has none yet. */
void setup_on_reply(setup_t *setup, const reply_t *reply);

/* True if each request has its reply. */
bool setup_is_answered(const setup_t *setup);

/* What the replies mean for the connection; each request has its reply. */
setup_outcome_t setup_outcome(const setup_t *setup);

/* True if the set-up begins a transaction; BEGIN is always its last request. */
bool setup_begins_tx(const setup_t *setup);

/* Name of a request for logs and counters, such as "begin". */
const char *request_name(request_kind_t request);
