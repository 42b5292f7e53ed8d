/*
 * Decoded statements of callers and replies of members. A statement keeps its original text, which
 * must reach the member unchanged.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "clock.h"
#include "position.h"

/* A piece of text that is owned elsewhere and is not terminated by a zero byte. */
typedef struct slice {
	const char *at;
	size_t len;
} slice_t;

typedef enum {
	STATEMENT_BEGIN,
	STATEMENT_BEGIN_READ,
	STATEMENT_COMMIT,
	STATEMENT_ROLLBACK,
	STATEMENT_READ,
	STATEMENT_WRITE,
	STATEMENT_SET,
	STATEMENT_PREPARE,
	STATEMENT_EXEC,
	STATEMENT_FORGET,
	STATEMENT_MALFORMED,
} statement_kind_t;

typedef struct statement {
	statement_kind_t kind;
	bool writes;   /* true for WRITE, and for PREPARE and EXEC of a write */
	slice_t id;    /* chosen by the caller, unique to this attempt */
	slice_t text;  /* the whole statement as received */
	slice_t name;  /* name of the value or of the prepared statement */
	slice_t value; /* SET: the value; PREPARE: the shape; EXEC: the arguments */
} statement_t;

typedef enum { TX_NONE, TX_OPEN, TX_FAILED } tx_state_t;

typedef enum {
	CODE_NONE,
	/* These codes promise that the attempt had no effect. */
	CODE_BUSY,
	CODE_ABORTED,
	CODE_LAGGING,
	CODE_READONLY,
	CODE_MISROUTED,
	CODE_TOO_MANY,
	/* These codes promise nothing about the effect. */
	CODE_IN_DOUBT,
	CODE_TIMEOUT,
	CODE_FAILED, /* the member ran the statement and it failed */
	CODE_NO_STATEMENT,
	CODE_MALFORMED,
	CODE_NO_DATABASE,
	CODE_NO_AUTH,
	CODE_OTHER,
	CODE_COUNT,
} code_t;

/* Lower-case names of all codes, for logs and metrics. */
extern const char *const code_names[CODE_COUNT];

const char *code_name(code_t code);

/* Name of the state for logs, such as "open". */
const char *tx_state_name(tx_state_t tx);

/* True if a member that answers with this code has not run the statement. */
bool code_means_not_run(code_t code);

/* A complete reply of a member. raw is the reply as received, valid only during the call. */
typedef struct reply {
	bool ok;
	bool is_signed; /* the reply names the member that has run the statement */
	code_t code;
	tx_state_t tx;
	bool has_position;
	position_t position;
	slice_t raw;
	slice_t row; /* content of the last row, without the keyword */
} reply_t;

/* A member's answer to a status query. */
typedef struct member_status {
	bool primary;
	uint64_t term;
	position_t received;
} member_status_t;

static inline slice_t slice_of(const char *text, size_t len)
{
	return (slice_t){.at = text, .len = len};
}

bool slice_equals(slice_t a, slice_t b);
