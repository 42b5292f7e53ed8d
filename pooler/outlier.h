/*
 * Outlier detection: finds members that answer health checks but fail part of their statements.
 *
 * The evidence is the outcome of a member's latest statements. A member that fails a substantial
 * part of them, and far more than the other members of its service, is ejected: it gets no reads
 * for some time, then single trial reads, and all reads again once those succeed. Statements that
 * fail at every member alike are no evidence against one of them.
 *
 * A primary has no substitute, so it keeps its writes; verdict.h decides from the reports of
 * several proxies whether it must be replaced.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "clock.h"

/*
 * Outcomes kept per member: enough to tell a quarter of failures from a single one, few enough that
 * a proxy which sends a member eight statements a second fills the window in two seconds.
 */
#define OUTLIER_WINDOW 16

typedef enum {
	STATEMENT_GOOD,
	STATEMENT_REFUSED, /* the member did not run the statement, possibly for a good reason */
	STATEMENT_FAILED,  /* the statement failed, was interrupted or never answered */
} statement_outcome_t;

typedef struct outlier {
	struct {
		usec_t at; /* 0: unused entry */
		statement_outcome_t outcome;
	} recent[OUTLIER_WINDOW];
	size_t next;
	bool ejected;		/* the member gets no reads, or only trial reads */
	usec_t ejected_until;	/* when trial reads begin */
	usec_t ejection_time;	/* length of the current or last ejection */
	unsigned trials_left;	/* trial reads that must still succeed */
	unsigned failure_sum;	/* weighted count of failures; see FAILING_SUM */
	usec_t failures_since;	/* when failure_sum last rose from zero */
	usec_t last_failure_at; /* when a statement last failed */
	usec_t failing_until;	/* the member counts as failing until then */
	usec_t down_at;		/* when the member was last found down; 0: never */
} outlier_t;

/* Number of recent outcomes by kind. */
typedef struct tally {
	size_t total;
	size_t refused;
	size_t failed;
} tally_t;

/* Records the outcome of a statement at the member. */
void outlier_record(outlier_t *outlier, statement_outcome_t outcome, usec_t now);

/* Makes outlier_is_failing() true for FAILING_HOLD_TIME from now. */
void outlier_mark_failing(outlier_t *outlier, usec_t now);

/*
 * Records that the member was found down. The second time within REPEATED_DOWN_TIME makes it count
 * as failing, since it hangs in between, or keeps going down and up.
 */
void outlier_on_down(outlier_t *outlier, usec_t now);

/* Adds the recent outcomes to tally. */
void outlier_count_recent(const outlier_t *outlier, usec_t now, tally_t *tally);

/*
 * True if the member fails a substantial part of its statements, and far more than the others
 * together.
 */
bool outlier_is_worse(const outlier_t *outlier, const tally_t *others, usec_t now);

/* Ejects the member: no reads for some time, twice as long if it was ejected recently. */
void outlier_eject(outlier_t *outlier, usec_t now);

/* True if the member may get a read; load: statements that it is running now. */
bool outlier_accepts_read(const outlier_t *outlier, size_t load, usec_t now);

/* True if the member fails so many statements that it should be replaced as a primary. */
bool outlier_is_failing(const outlier_t *outlier, usec_t now);
