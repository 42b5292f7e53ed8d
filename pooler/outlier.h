/*
 * Outlier detection: a member that answers its health check and fails part of its statements.
 *
 * Its last statements are the evidence. A member that fails a good part of them, and far more
 * than the other members of its service, serves no reads for a while, then a few one by one, and
 * all again once those go well. Statements that fail at every member alike prove nothing against
 * one of them.
 *
 * A primary has no substitute: its writes go on, and whether it must be replaced is for verdict.h,
 * by what several proxies see.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "clock.h"

/*
 * Statements that are remembered: enough to tell a quarter of failures from a single one, few
 * enough that a proxy which sends a member eight a second has them within two seconds.
 */
#define OUTLIER_WINDOW 16

typedef enum {
	STATEMENT_GOOD,
	STATEMENT_REFUSED, /* it did not run the statement, and may for a good reason */
	STATEMENT_FAILED,  /* ran badly, broken off or never answered */
} statement_outcome_t;

typedef struct outlier {
	struct {
		usec_t at; /* 0: none */
		statement_outcome_t outcome;
	} recent[OUTLIER_WINDOW];
	size_t next;
	bool ejected;		/* it gets no reads, or only trials */
	usec_t ejected_until;	/* then it is tried */
	usec_t ejection_time;	/* how long it is out this time */
	unsigned trials_left;	/* that must still go well */
	unsigned failure_sum;	/* of what went wrong; see FAILING_SUM */
	usec_t failures_since;	/* when the sum last left zero */
	usec_t last_failure_at; /* when something last went wrong */
	usec_t failing_until;	/* it is believed to fail until then */
	usec_t down_at;		/* when it was last found down; 0: never */
} outlier_t;

/* Outcomes of late, by kind. */
typedef struct tally {
	size_t total;
	size_t refused;
	size_t failed;
} tally_t;

/* A statement at the member has ended so. */
void outlier_record(outlier_t *outlier, statement_outcome_t outcome, usec_t now);

/* For FAILING_HELD from now on outlier_is_failing() is true. */
void outlier_mark_failing(outlier_t *outlier, usec_t now);

/*
 * It was found down. A second time within DOWN_AGAIN makes it count as failing, since it hangs in
 * between, or goes up and down.
 */
void outlier_on_down(outlier_t *outlier, usec_t now);

/* Add the outcomes of late to tally. */
void outlier_count_recent(const outlier_t *outlier, usec_t now, tally_t *tally);

/* True if it fails a good part of its statements, and far more than the others together. */
bool outlier_is_worse(const outlier_t *outlier, const tally_t *others, usec_t now);

/* No reads for a while; longer each time that follows soon after another. */
void outlier_eject(outlier_t *outlier, usec_t now);

/* True if it may be given a read; load: statements that are at it now. */
bool outlier_accepts_read(const outlier_t *outlier, size_t load, usec_t now);

/* True if it fails so much that a primary is better replaced. */
bool outlier_is_failing(const outlier_t *outlier, usec_t now);
