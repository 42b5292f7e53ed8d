/*
 * Words shared by all of core: log positions, reports of group members,
 * outcomes, and the reasons for which a request is refused.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "position.h"

/* What a group member says of itself, all of it at one instant. */
typedef struct report {
	uint64_t sealed; /* highest term it has promised to obey */
	position_t log;	 /* term of its last log entry, and its log position */
	bool primary;	 /* it was promoted for the term it has sealed */
} report_t;

typedef enum { OUTCOME_DONE, OUTCOME_NOT_RUN, OUTCOME_UNKNOWN } outcome_t;

typedef enum {
	REFUSAL_NONE,
	REFUSAL_BAD_REQUEST,   /* the request itself is wrong */
	REFUSAL_BAD_TOKEN,     /* the session token is not ours */
	REFUSAL_UNKNOWN_ROW,   /* the table has no such service and class */
	REFUSAL_NO_TABLE,      /* no table yet, or it can't be known to be current */
	REFUSAL_NO_PRIMARY,    /* no usable primary within the deadline */
	REFUSAL_NO_MAJORITY,   /* the group could not confirm what was run */
	REFUSAL_OVERLOAD,      /* the wait would not fit the deadline */
	REFUSAL_DEADLINE,      /* the deadline passed */
	REFUSAL_NO_HOME,       /* no proxy that serves the group can be reached */
	REFUSAL_STALE_MESSAGE, /* a forwarded request that may be old */
	REFUSAL_SHUTDOWN,      /* this proxy is shutting down */
	REFUSAL_SQL,	       /* the backend server rejected the statement */
	REFUSAL_TX_LOST,       /* the transaction is gone; it was rolled back */
	REFUSAL_TX_BUSY,       /* a statement of the transaction is still running */
	REFUSAL_CONN_LOST,     /* the backend connection broke */
	REFUSAL_RETRY_BUDGET,  /* too many retries of late */
	REFUSAL_COUNT,
} refusal_t;

/* Names for answers, logs and dumps, such as "not_run" and "no_primary". */
const char *outcome_name(outcome_t outcome);
const char *refusal_name(refusal_t refusal);

typedef enum {
	VERB_STATEMENT,
	VERB_BEGIN,
	VERB_TX_STATEMENT,
	VERB_COMMIT,
	VERB_ROLLBACK,
	VERB_COUNT,
} verb_t;

/* One request of a caller. Strings are NULL where they do not apply. */
typedef struct query {
	verb_t verb;
	char *service;
	char *class_name;
	char *text;
	char *params;		 /* JSON array, passed to the backend server as parameters */
	char *request_id;	 /* makes a write idempotent */
	char *tx;		 /* handle of an open transaction */
	bool repeatable;	 /* running it twice does no harm */
	bool resend;		 /* the caller sent it before and does not know the outcome */
	bool continued;		 /* the session exists although no token came with it */
	position_t min_position; /* what the session has seen of this group */
	usec_t time_left;	 /* time until the deadline, from when it was received or sent */
} query_t;

/* The one final answer to a query. */
typedef struct answer {
	outcome_t outcome;
	refusal_t refusal;
	usec_t retry_after; /* when to come back, for refusals */
	usec_t age;	    /* how old the data may be at most, for reads */
	bool repeated;	    /* the stored answer of an earlier attempt */
	position_t position;
	char *detail; /* for refusals: which step, which peer, what it said */
	char *rows;   /* JSON object with columns, rows and affected */
	char *member; /* who ran it */
	char *group;
	char *tx;
} answer_t;

/* Deep copies, as children of parent. */
query_t *query_copy(void *parent, const query_t *query);
answer_t *answer_copy(void *parent, const answer_t *answer);
