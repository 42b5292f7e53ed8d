/*
 * Basic types of the core: reports of group members, requests, answers with their
 * outcomes, and the reasons for refusals.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "position.h"

/* The state that a group member reports of itself, taken at one instant. */
typedef struct report {
	uint64_t sealed; /* highest sealed term: the member obeys no lower one */
	position_t log;	 /* term and position of its last log entry */
	bool primary;	 /* the member was promoted for the term that it has sealed */
} report_t;

typedef enum { OUTCOME_DONE, OUTCOME_NOT_RUN, OUTCOME_UNKNOWN } outcome_t;

typedef enum {
	REFUSAL_NONE,
	REFUSAL_BAD_REQUEST,   /* the request itself is wrong */
	REFUSAL_BAD_TOKEN,     /* the session token is not authentic */
	REFUSAL_UNKNOWN_ROW,   /* the table has no such service and class */
	REFUSAL_NO_TABLE,      /* there is no table yet, or it may be outdated */
	REFUSAL_NO_PRIMARY,    /* no usable primary within the deadline */
	REFUSAL_NO_MAJORITY,   /* no majority of the group confirmed the run in time */
	REFUSAL_OVERLOAD,      /* the request would not finish by its deadline */
	REFUSAL_DEADLINE,      /* the deadline passed */
	REFUSAL_NO_HOME,       /* no proxy that serves the group can be reached */
	REFUSAL_STALE_MESSAGE, /* a forwarded request that may have passed its deadline */
	REFUSAL_SHUTDOWN,      /* this proxy is shutting down */
	REFUSAL_SQL,	       /* the backend server rejected the statement */
	REFUSAL_TX_LOST,       /* the transaction no longer exists; it was rolled back */
	REFUSAL_TX_BUSY,       /* a statement of the transaction is still running */
	REFUSAL_CONN_LOST,     /* the backend connection broke */
	REFUSAL_RETRY_BUDGET,  /* the group's retry budget is used up */
	REFUSAL_COUNT,
} refusal_t;

/* Names in answers, logs and dumps, such as "not_run" and "no_primary". */
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
	char *group; /* of which min_position is; set by the proxy that received the request */
	char *text;
	char *params;	  /* JSON array, passed to the backend server as parameters */
	char *request_id; /* stored with a write, which makes resends idempotent */
	char *tx;	  /* handle of an open transaction */
	bool repeatable;  /* running the statement twice does no harm */
	bool resend;	  /* the caller has sent it before and has not received the outcome */
	bool token_lost;  /* the caller has a session but has lost its token */
	position_t min_position; /* a read must include the group's log up to here */
	usec_t time_left; /* time until the deadline, as of when the query was received or sent */
} query_t;

/* The one final answer to a query. */
typedef struct answer {
	outcome_t outcome;
	refusal_t refusal;
	usec_t retry_after; /* for refusals: time after which a retry makes sense */
	usec_t age;	    /* for reads: upper bound on the age of the data */
	bool repeated;	    /* this is the stored answer of an earlier attempt */
	position_t position;
	char *detail; /* for refusals: the step, the peer and its error text */
	char *rows;   /* JSON object with columns, rows and affected */
	char *member; /* the member that ran the query */
	char *group;
	char *tx;
} answer_t;

/* Deep copies, as talloc children of parent. */
query_t *query_copy(void *parent, const query_t *query);
answer_t *answer_copy(void *parent, const answer_t *answer);
