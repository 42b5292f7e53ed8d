/*
 * What callers asked and were told, beside what members ran and committed: each
 * statement with its attempt, its answer, its runs and its commits.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "clock.h"

#define SERVICES_MAX 8
#define TEXT_MAX     96

typedef enum {
	KIND_BEGIN,
	KIND_READ,
	KIND_WRITE,
	KIND_COMMIT,
	KIND_ROLLBACK,
	KIND_SETUP
} statement_kind_t;

typedef enum { READS_PRIMARY, READS_MAX_AGE, READS_OWN_WRITES } read_kind_t;

/* What the answer says of the statement. */
typedef enum {
	STATEMENT_PENDING,
	STATEMENT_DONE,
	STATEMENT_REFUSED, /* with the promise that nothing of the attempt is kept */
	STATEMENT_UNKNOWN,
} statement_status_t;

/* Of a member's log; 0.0: before everything. */
typedef struct position {
	uint64_t term;
	uint64_t number;
} position_t;

typedef struct run {
	struct run *next;
	usec_t at;
	uint64_t signature_number; /* of the signature */
	char member[48];
	char row[64];
	position_t log_position; /* that a read saw */
} run_t;

typedef struct commit {
	struct commit *next;
	usec_t at;
	position_t position;
} commit_t;

/* An operation as its caller tried it once: a statement, or a transaction. */
typedef struct attempt {
	struct attempt *next; /* of the ledger */
	unsigned service;
	read_kind_t reads;
	usec_t max_age;
	usec_t began_at; /* before its first byte left */
	bool in_tx;
	bool commit_requested;
	bool refused;
	uint64_t tx_number; /* at the member, 0: not seen yet */
	struct statement *first;
	struct statement *last;
	const struct statement *previous_commit; /* last one of the session before it */
} attempt_t;

typedef struct statement {
	struct statement *next; /* of the attempt */
	attempt_t *attempt;
	char id[24];
	char text[TEXT_MAX];
	char prepared_shape[24];       /* of a prepared statement */
	char session_values[TEXT_MAX]; /* the session's, as acknowledged */
	statement_kind_t kind;
	unsigned proxy;
	usec_t sent_at;
	usec_t ended_at; /* answer or close */
	statement_status_t status;
	char error_code[16]; /* of an error */
	char row[64];
	char signature[80];
	run_t *runs;
	commit_t *commits;
} statement_t;

/* One promote as the member took it up. */
typedef struct branch {
	position_t base; /* the last entry that it shares with the branch before */
	usec_t at;
	char member[48];
} branch_t;

typedef struct ledger_service {
	GArray *branches; /* branch_t by term less 2; a gap has at 0 */
	GPtrArray
		*acknowledged_writes; /* statement_t whose write was acknowledged, in that order */
} ledger_service_t;

typedef struct ledger {
	GHashTable *statements;	  /* by id */
	GHashTable *transactions; /* "service tx" to its attempt */
	attempt_t *attempts;
	ledger_service_t services[SERVICES_MAX];
	usec_t complete_until;	/* what members did before this is known */
	uint64_t fencing_token; /* highest that was used */
	char leader[64];
	size_t promote_count;
	char line[2048];
	size_t line_len;
	uint64_t last_id;
} ledger_t;

/* A child of parent, as are its records. */
ledger_t *ledger_create(void *parent);

/* A new attempt; max_age: how old its reads may be at most, 0 for those of the primary. */
attempt_t *ledger_add_attempt(ledger_t *ledger, unsigned service, read_kind_t reads,
			      usec_t max_age);

/* A statement of the attempt with a fresh id; its text is the caller's to fill in. */
statement_t *ledger_add_statement(ledger_t *ledger, attempt_t *attempt, statement_kind_t kind);

/* The answer has come whole; what it acknowledges holds from now on. */
void ledger_record_answer(ledger_t *ledger, statement_t *statement, statement_status_t status,
			  usec_t now);

/* Some of the stand-in's output. */
void ledger_parse_output(ledger_t *ledger, const char *data, size_t len);

/* The first write of an attempt that has commits, or NULL. */
const statement_t *ledger_find_committed_write(const attempt_t *attempt);

/* The branch that the term began, NULL for the first term and for one that nobody saw begin. */
const branch_t *ledger_find_branch(const ledger_t *ledger, unsigned service, uint64_t term);

/* The term that is newest in the service. */
uint64_t ledger_newest_term(const ledger_t *ledger, unsigned service);

/* A log that ends at log holds what was committed at position. */
bool ledger_log_includes(const ledger_t *ledger, unsigned service, position_t log,
			 position_t position);

/* A promote left it out: who leads now lacks it. *at: when. */
bool ledger_was_rolled_back(const ledger_t *ledger, unsigned service, position_t position,
			    usec_t *at);

/* The number of a service by its name or by one of its members' ids. */
unsigned ledger_service_number(const char *name);

/* The name of the service of this number. */
const char *ledger_service_name(unsigned service);
