#include "outlier.h"

#include "counter.h"

/* What is older says nothing of now: members recover within seconds. */
#define EVIDENCE_AGE (2 * USEC_PER_SEC)
/* A single lost answer, or two, happen to every member. */
#define BAD_LEAST 3
/* In percent. Under a quarter a caller's second attempt nearly always goes well. */
#define BAD_PERCENT 25
/* Statements at the others that show how well those do: eight that go well are no chance. */
#define OTHERS_LEAST 8
/*
 * For a primary a cumulative sum of what went wrong: up by five with each bad statement, down by
 * two with each good one, so that it grows from three bad ones in ten on. A change of primary costs
 * a second to one and a half without writes, and troubles last some five: a primary that fails four
 * in ten for that long costs more than its change, one that fails a fifth costs less. From
 * FAILING_SUM on, which three bad ones in a row reach, it counts as failing: in a fleet that is
 * large for its load a proxy sends a primary only one a second. But not within FAILING_LASTS of the
 * first: a proxy that sends thirty a second sees three in a row where a fifth fails, too.
 */
#define FAILING_UP    5
#define FAILING_DOWN  2
#define FAILING_SUM   15
#define FAILING_LASTS (500 * USEC_PER_MSEC)
/* Nothing went wrong for so long: the sum starts anew. */
#define FAILING_FORGET (3 * USEC_PER_SEC)
/* As bad as the others together so many times: less is the statements' own doing, or the load's. */
#define WORSE_THAN_OTHERS 2
/*
 * Out for so long at first, and at most. A member that is well again is missed no longer than its
 * trouble lasted; one that fails for minutes costs a retried read in eight seconds.
 */
#define OUT_FIRST (1 * USEC_PER_SEC)
#define OUT_MOST  (8 * USEC_PER_SEC)
/* In use for so long, it starts with the shortest time again. */
#define OUT_FORGET (10 * USEC_PER_SEC)
/* Good reads in a row before it is in use again: one that fails half of them passes once in eight.
 */
#define TRIALS 3
/*
 * A primary that fails is believed to for so long: without statements, while it is being replaced,
 * nothing new is seen of it, and it would be kept halfway through. A change takes up to 2 s.
 */
#define FAILING_HELD (3 * USEC_PER_SEC)

/*
 * Found down twice within this time, whatever it answers in between: the change that follows the
 * first time ends with an answer to one probe, after a second, and begins anew a second later.
 */
#define DOWN_AGAIN (5 * USEC_PER_SEC)

COUNTER_DEFINE(out_total, "members_taken_out_total", COUNTER_SUM,
	       "Times that a member got no reads for a while since it failed statements.");

void outlier_count_recent(const outlier_t *outlier, usec_t now, tally_t *tally)
{
	for (size_t i = 0; i < OUTLIER_WINDOW; i++) {
		if (outlier->recent[i].at == 0 || outlier->recent[i].at + EVIDENCE_AGE < now)
			continue;
		tally->total++;
		tally->refused += outlier->recent[i].outcome == STATEMENT_REFUSED;
		tally->failed += outlier->recent[i].outcome == STATEMENT_FAILED;
	}
}

void outlier_mark_failing(outlier_t *outlier, usec_t now)
{
	outlier->failing_until = now + FAILING_HELD;
}

static void sum_up(outlier_t *outlier, statement_outcome_t outcome, usec_t now)
{
	if (outcome == STATEMENT_GOOD) {
		outlier->failure_sum -=
			outlier->failure_sum < FAILING_DOWN ? outlier->failure_sum : FAILING_DOWN;
		return;
	}
	if (outlier->failure_sum == 0 || now >= outlier->last_failure_at + FAILING_FORGET) {
		outlier->failure_sum = 0;
		outlier->failures_since = now;
	}
	outlier->last_failure_at = now;
	outlier->failure_sum += FAILING_UP;
	if (outlier->failure_sum > 2 * FAILING_SUM)
		outlier->failure_sum = 2 * FAILING_SUM;
	if (outlier->failure_sum >= FAILING_SUM && now >= outlier->failures_since + FAILING_LASTS)
		outlier_mark_failing(outlier, now);
}

static void forget(outlier_t *outlier)
{
	for (size_t i = 0; i < OUTLIER_WINDOW; i++)
		outlier->recent[i].at = 0;
}

/* A statement while it is out and its time is over: a trial. */
static void on_trial(outlier_t *outlier, statement_outcome_t outcome, usec_t now)
{
	if (outcome != STATEMENT_GOOD) {
		outlier_eject(outlier, now);
		return;
	}
	outlier->trials_left--;
	if (outlier->trials_left != 0)
		return;
	outlier->ejected = false;
	forget(outlier);
}

void outlier_record(outlier_t *outlier, statement_outcome_t outcome, usec_t now)
{
	outlier->recent[outlier->next].at = now;
	outlier->recent[outlier->next].outcome = outcome;
	outlier->next = (outlier->next + 1) % OUTLIER_WINDOW;
	sum_up(outlier, outcome, now);
	/* What was sent before it was taken out is no trial. */
	if (outlier->ejected && now >= outlier->ejected_until)
		on_trial(outlier, outcome, now);
}

void outlier_on_down(outlier_t *outlier, usec_t now)
{
	if (outlier->down_at != 0 && now < outlier->down_at + DOWN_AGAIN)
		outlier_mark_failing(outlier, now);
	outlier->down_at = now;
}

bool outlier_is_worse(const outlier_t *outlier, const tally_t *others, usec_t now)
{
	tally_t own = {0};
	size_t bad;

	outlier_count_recent(outlier, now, &own);
	bad = own.failed + own.refused;
	/* Without a few at others nothing shows that those would do better. */
	return others->total >= OTHERS_LEAST && bad >= BAD_LEAST &&
	       bad * 100 >= own.total * BAD_PERCENT &&
	       bad * others->total >=
		       WORSE_THAN_OTHERS * (others->failed + others->refused) * own.total;
}

void outlier_eject(outlier_t *outlier, usec_t now)
{
	if (outlier->ejection_time == 0 ||
	    (!outlier->ejected && now >= outlier->ejected_until + OUT_FORGET))
		outlier->ejection_time = OUT_FIRST;
	else if (outlier->ejection_time < OUT_MOST)
		outlier->ejection_time *= 2;
	outlier->ejected = true;
	outlier->ejected_until = now + outlier->ejection_time;
	outlier->trials_left = TRIALS;
	counter_add(&out_total, 1);
}

bool outlier_accepts_read(const outlier_t *outlier, size_t load, usec_t now)
{
	return !outlier->ejected || (now >= outlier->ejected_until && load == 0);
}

bool outlier_is_failing(const outlier_t *outlier, usec_t now)
{
	return now < outlier->failing_until;
}
