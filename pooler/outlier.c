#include "outlier.h"

#include "counter.h"

/* Older outcomes are ignored, since members recover within seconds. */
#define OUTCOME_MAX_AGE (2 * USEC_PER_SEC)
/* Failures needed for an ejection: one or two lost answers happen to every member. */
#define MIN_FAILURES 3
/*
 * Share of failures needed for an ejection: below a quarter a caller's second attempt nearly always
 * succeeds.
 */
#define FAILURE_PERCENT 25
/* Outcomes needed from the other members to judge them: eight that succeed are not by chance. */
#define MIN_OTHER_OUTCOMES 8
/*
 * A primary's failures are counted in a cumulative sum: each failed statement adds five and each
 * successful one subtracts two, so that the sum rises from three failures in ten on. A change of
 * primary costs one to one and a half seconds without writes, and disturbances last about five: a
 * primary that fails four in ten statements for that long costs more than its replacement, one that
 * fails a fifth costs less. From FAILING_SUM on, which three failures in a row reach, the primary
 * counts as failing: in a fleet that is large for its load a proxy sends a primary only one
 * statement a second. But FAILING_MIN_TIME must have passed since the first failure, since a proxy
 * that sends thirty a second sees three failures in a row at a fifth of failures, too.
 */
#define FAILING_UP	 5
#define FAILING_DOWN	 2
#define FAILING_SUM	 15
#define FAILING_MIN_TIME (500 * USEC_PER_MSEC)
/* The sum restarts at zero after this time without a failure. */
#define FAILURES_RESET_AFTER (3 * USEC_PER_SEC)
/*
 * A member is ejected only if its share of failures is this many times that of the others together;
 * a smaller difference is due to the statements or the load.
 */
#define WORSE_FACTOR 2
/*
 * Length of the first ejection and of the longest. A member that has recovered is missed no longer
 * than its disturbance lasted; one that fails for minutes costs one retried read every eight
 * seconds.
 */
#define EJECTION_TIME_FIRST (1 * USEC_PER_SEC)
#define EJECTION_TIME_MAX   (8 * USEC_PER_SEC)
/* After this time in use the next ejection is of the shortest length again. */
#define EJECTION_RESET_AFTER (10 * USEC_PER_SEC)
/*
 * Successful trial reads in a row that end an ejection: a member that fails half of its reads
 * passes once in eight.
 */
#define TRIAL_READS 3
/*
 * How long a primary counts as failing. While it is being replaced it gets no statements, so there
 * are no new outcomes, and the change would be cancelled halfway. A change takes up to 2 s.
 */
#define FAILING_HOLD_TIME (3 * USEC_PER_SEC)

/*
 * A primary that is found down twice within this time counts as failing, whatever it answers in
 * between: otherwise the change of primary that follows the first time is cancelled after a second,
 * when one probe is answered, and begins again a second later.
 */
#define REPEATED_DOWN_TIME (5 * USEC_PER_SEC)

COUNTER_DEFINE(ejections_total, "members_taken_out_total", COUNTER_SUM,
	       "Times that a member was ejected from reads for failing statements.");

void outlier_count_recent(const outlier_t *outlier, usec_t now, tally_t *tally)
{
	for (size_t i = 0; i < OUTLIER_WINDOW; i++) {
		if (outlier->recent[i].at == 0 || outlier->recent[i].at + OUTCOME_MAX_AGE < now)
			continue;
		tally->total++;
		tally->refused += outlier->recent[i].outcome == STATEMENT_REFUSED;
		tally->failed += outlier->recent[i].outcome == STATEMENT_FAILED;
	}
}

void outlier_mark_failing(outlier_t *outlier, usec_t now)
{
	outlier->failing_until = now + FAILING_HOLD_TIME;
}

static void update_failure_sum(outlier_t *outlier, statement_outcome_t outcome, usec_t now)
{
	if (outcome == STATEMENT_GOOD) {
		outlier->failure_sum -=
			outlier->failure_sum < FAILING_DOWN ? outlier->failure_sum : FAILING_DOWN;
		return;
	}
	if (outlier->failure_sum == 0 || now >= outlier->last_failure_at + FAILURES_RESET_AFTER) {
		outlier->failure_sum = 0;
		outlier->failures_since = now;
	}
	outlier->last_failure_at = now;
	outlier->failure_sum += FAILING_UP;
	if (outlier->failure_sum > 2 * FAILING_SUM)
		outlier->failure_sum = 2 * FAILING_SUM;
	if (outlier->failure_sum >= FAILING_SUM &&
	    now >= outlier->failures_since + FAILING_MIN_TIME)
		outlier_mark_failing(outlier, now);
}

static void clear_window(outlier_t *outlier)
{
	for (size_t i = 0; i < OUTLIER_WINDOW; i++)
		outlier->recent[i].at = 0;
}

/* Handles the outcome of a trial read. */
static void on_trial_outcome(outlier_t *outlier, statement_outcome_t outcome, usec_t now)
{
	if (outcome != STATEMENT_GOOD) {
		outlier_eject(outlier, now);
		return;
	}
	outlier->trials_left--;
	if (outlier->trials_left != 0)
		return;
	outlier->ejected = false;
	clear_window(outlier);
}

void outlier_record(outlier_t *outlier, statement_outcome_t outcome, usec_t now)
{
	outlier->recent[outlier->next].at = now;
	outlier->recent[outlier->next].outcome = outcome;
	outlier->next = (outlier->next + 1) % OUTLIER_WINDOW;
	update_failure_sum(outlier, outcome, now);
	/* Statements that were sent before the ejection are no trial reads. */
	if (outlier->ejected && now >= outlier->ejected_until)
		on_trial_outcome(outlier, outcome, now);
}

void outlier_on_down(outlier_t *outlier, usec_t now)
{
	if (outlier->down_at != 0 && now < outlier->down_at + REPEATED_DOWN_TIME)
		outlier_mark_failing(outlier, now);
	outlier->down_at = now;
}

bool outlier_is_worse(const outlier_t *outlier, const tally_t *others, usec_t now)
{
	tally_t own = {0};
	size_t failures;

	outlier_count_recent(outlier, now, &own);
	failures = own.failed + own.refused;
	/* Without some outcomes at other members nothing shows that those would do better. */
	return others->total >= MIN_OTHER_OUTCOMES && failures >= MIN_FAILURES &&
	       failures * 100 >= own.total * FAILURE_PERCENT &&
	       failures * others->total >=
		       WORSE_FACTOR * (others->failed + others->refused) * own.total;
}

void outlier_eject(outlier_t *outlier, usec_t now)
{
	if (outlier->ejection_time == 0 ||
	    (!outlier->ejected && now >= outlier->ejected_until + EJECTION_RESET_AFTER))
		outlier->ejection_time = EJECTION_TIME_FIRST;
	else if (outlier->ejection_time < EJECTION_TIME_MAX)
		outlier->ejection_time *= 2;
	outlier->ejected = true;
	outlier->ejected_until = now + outlier->ejection_time;
	outlier->trials_left = TRIAL_READS;
	counter_add(&ejections_total, 1);
}

bool outlier_accepts_read(const outlier_t *outlier, size_t load, usec_t now)
{
	return !outlier->ejected || (now >= outlier->ejected_until && load == 0);
}

bool outlier_is_failing(const outlier_t *outlier, usec_t now)
{
	return now < outlier->failing_until;
}
