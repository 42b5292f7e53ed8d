/*
 * Statements of callers and the replies of members, decoded. The text of a
 * statement is kept beside it, since members must get it unchanged.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "clock.h"
#include "position.h"

/* A piece of text owned by somebody else; not terminated. */
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
	bool writes;   /* WRITE; PREPARE and EXEC of a write */
	slice_t id;    /* chosen by the caller, unique to this attempt */
	slice_t text;  /* whole, as it came */
	slice_t name;  /* of the value or the prepared statement */
	slice_t value; /* SET: the value; PREPARE: the shape; EXEC: the arguments */
} statement_t;

typedef enum { TX_NONE, TX_OPEN, TX_FAILED } tx_state_t;

typedef enum {
	CODE_NONE,
	/* Promises: nothing of the attempt is kept. */
	CODE_BUSY,
	CODE_ABORTED,
	CODE_LAGGING,
	CODE_READONLY,
	CODE_MISROUTED,
	CODE_TOO_MANY,
	/* No promise. */
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

/* The names of all codes. */
extern const char *const code_names[CODE_COUNT];

/* Lower-case name of a code for logs and counters. */
const char *code_name(code_t code);

/* True if a member that answers with code has not run the statement. */
bool code_means_not_run(code_t code);

/* A member's whole reply. raw holds it as it came and is valid for the call only. */
typedef struct reply {
	bool ok;
	bool is_signed; /* the member vouches for having run the statement */
	code_t code;
	tx_state_t tx;
	bool has_position;
	position_t position;
	slice_t raw;
	slice_t row; /* of the last row, without its word */
} reply_t;

/* What a member says of itself when asked. */
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
