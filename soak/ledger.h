/*
 * The ledger: what callers sent and received, and what members ran and committed. It holds each
 * statement with its attempt, answer, runs and commits.
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

/*
 * What the answer to a statement says about it. Without an answer, or with an error after which a
 * write may be kept, the status is unknown.
 */
typedef enum {
	STATUS_PENDING,
	STATUS_DONE,
	STATUS_REFUSED, /* an error that promises that nothing of the attempt is kept */
	STATUS_UNKNOWN,
} statement_status_t;

/* A position in a member's log; 0.0 is before the first entry. */
typedef struct position {
	uint64_t term;
	uint64_t number;
} position_t;

typedef struct run {
	struct run *next;
	usec_t at;
	uint64_t signature_number; /* number in the signature that the member sent */
	char member[48];
	char row[64];
	position_t log_position; /* end of the member's log at the time of the run */
} run_t;

typedef struct commit {
	struct commit *next;
	usec_t at;
	position_t position;
} commit_t;

/* One try of an operation: a lone statement, or a transaction. */
typedef struct attempt {
	struct attempt *next; /* next attempt in the ledger */
	unsigned service;
	read_kind_t reads;
	usec_t max_age;
	usec_t began_at; /* when its first statement was sent */
	bool in_tx;
	bool commit_requested;
	bool refused;
	uint64_t tx_number; /* the member's transaction number, 0: not recorded yet */
	struct statement *first;
	struct statement *last;
	const struct statement *previous_commit; /* the session's last write or commit before it */
} attempt_t;

typedef struct statement {
	struct statement *next; /* next statement of the attempt */
	attempt_t *attempt;
	char id[24];
	char text[TEXT_MAX];
	char prepared_shape[24];       /* what PREPARE defined, for a prepared statement */
	char session_values[TEXT_MAX]; /* values set by the session and acknowledged */
	statement_kind_t kind;
	unsigned proxy;
	usec_t sent_at;
	usec_t ended_at; /* time of the answer, or of the close */
	statement_status_t status;
	char error_code[16]; /* code of an error answer */
	char row[64];
	char signature[80];
	run_t *runs;
	commit_t *commits;
	guint ack_number; /* of the acknowledgement that names this write, from 1 on; 0: none */
} statement_t;

/* An acknowledged write. */
typedef struct ack {
	const statement_t *statement; /* the write itself, or the COMMIT of its transaction */
	const statement_t *write;     /* of a transaction, its last write */
	position_t newest;	      /* the highest commit of this write and of those before it */
} ack_t;

/* The log branch that a promote started, when the member applied it. */
typedef struct branch {
	position_t base; /* last entry shared with the previous branch */
	usec_t at;
	char member[48];
} branch_t;

typedef struct ledger_service {
	GArray *branches;  /* branch_t; index: term - 2; at is 0 for unknown terms */
	GArray *acks;	   /* ack_t, in order of acknowledgement */
	guint ranked_acks; /* number of acks, from the first on, whose newest is valid */
} ledger_service_t;

typedef struct ledger {
	GHashTable *statements;	  /* statement_t by id */
	GHashTable *transactions; /* attempt_t by "SERVICE TX_NUMBER" */
	attempt_t *attempts;
	ledger_service_t services[SERVICES_MAX];
	usec_t complete_until;	/* the members' record is complete up to this time */
	uint64_t fencing_token; /* highest fencing token of a promote call */
	char leader[64];	/* name of the proxy that used it */
	size_t promote_count;
	char line[2048];
	size_t line_len;
	uint64_t last_id;
} ledger_t;

/* Returns a child of parent; the attempts and statements are children of the ledger. */
ledger_t *ledger_create(void *parent);

/* Adds an attempt. max_age is the greatest age of its reads, 0 for reads of the primary. */
attempt_t *ledger_add_attempt(ledger_t *ledger, unsigned service, read_kind_t reads,
			      usec_t max_age);

/* Adds a statement with a new id to the attempt; the caller fills in its text. */
statement_t *ledger_add_statement(ledger_t *ledger, attempt_t *attempt, statement_kind_t kind);

/*
 * Records the complete answer, or the lack of one. Reads that begin from now on must show what a
 * done statement has acknowledged.
 */
void ledger_record_answer(ledger_t *ledger, statement_t *statement, statement_status_t status,
			  usec_t now);

/* Parses a part of the stand-in's output; it may end within a line. */
void ledger_parse_output(ledger_t *ledger, const char *data, size_t len);

/*
 * Returns the write that a success of the statement acknowledges: the statement itself, or the last
 * successful write of the transaction that it commits. Returns NULL if it acknowledges none.
 */
statement_t *ledger_find_acknowledged_write(const statement_t *statement);

/* Returns how many writes of the service were acknowledged before the given time. */
guint ledger_count_acks(const ledger_t *ledger, unsigned service, usec_t before);

/*
 * Returns the highest position at which any of the first count acknowledged writes was committed,
 * as far as the record has arrived; 0.0 if none was.
 */
position_t ledger_newest_commit(ledger_t *ledger, unsigned service, guint count);

/* Returns the first statement of the attempt that a member has committed, or NULL. */
const statement_t *ledger_find_committed_write(const attempt_t *attempt);

/*
 * Returns the branch that the term started, NULL for the first term and for a term without a
 * recorded promote.
 */
const branch_t *ledger_find_branch(const ledger_t *ledger, unsigned service, uint64_t term);

/* Returns the newest term of the service. */
uint64_t ledger_newest_term(const ledger_t *ledger, unsigned service);

/* Returns true if a member's log that ends at position log contains the commit at position. */
bool ledger_log_includes(const ledger_t *ledger, unsigned service, position_t log,
			 position_t position);

/*
 * Returns true if a later promote left the commit at position out of the log; *at is then the time
 * of that promote.
 */
bool ledger_was_rolled_back(const ledger_t *ledger, unsigned service, position_t position,
			    usec_t *at);

/* Returns the number of a service by its name or by the id of one of its members. */
unsigned ledger_service_number(const char *name);

/* Returns the name of the service with this number. */
const char *ledger_service_name(unsigned service);
