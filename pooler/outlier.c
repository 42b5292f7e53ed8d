#include "outlier.h"

#include "counter.h"

/* What is older says nothing of now: members recover within seconds. */
#define EVIDENCE_AGE (2 * USEC_PER_SEC)
/* A single lost answer, or two, happen to every member. */
#define BAD_LEAST 3
/*
 * In percent of the statements. Under a quarter a caller's second attempt nearly always goes well,
 * and replacing a primary (about a second without writes) costs more than four seconds of that.
 */
#define BAD_PERCENT 25
/*
 * A refused statement is tried again at once, and most callers do not see it: together with
 * failures, refusals need twice as many and four in ten. A member's load is no cause of them,
 * since proxies give it no more statements than keep its slots busy.
 */
#define REFUSED_LEAST	6
#define REFUSED_PERCENT 40
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
/* Of a member that fails half of its statements one in eight gets through so many trials. */
#define TRIALS 3
/*
 * A primary that fails is believed to for so long: without statements, while it is being replaced,
 * nothing new is seen of it, and it would be kept halfway through. A change takes up to 2 s.
 */
#define FAILING_HELD (3 * USEC_PER_SEC)

COUNTER_DEFINE(out_total, "members_taken_out_total", COUNTER_SUM,
	       "Times that a member got no reads for a while since it failed statements.");

static bool is_bad(size_t bad, size_t total)
{
	return bad >= BAD_LEAST && bad * 100 >= total * BAD_PERCENT;
}

/* True if a primary with these outcomes is better replaced. */
static bool is_costly(const tally_t *tally)
{
	size_t bad = tally->failed + tally->refused;

	return is_bad(tally->failed, tally->total) ||
	       (bad >= REFUSED_LEAST && bad * 100 >= tally->total * REFUSED_PERCENT);
}

void outlier_count(const outlier_t *outlier, usec_t now, tally_t *tally)
{
	for (size_t i = 0; i < OUTLIER_WINDOW; i++) {
		if (outlier->last[i].at == 0 || outlier->last[i].at + EVIDENCE_AGE < now)
			continue;
		tally->total++;
		tally->refused += outlier->last[i].evidence == EVIDENCE_REFUSED;
		tally->failed += outlier->last[i].evidence == EVIDENCE_FAILED;
	}
}

static void forget(outlier_t *outlier)
{
	for (size_t i = 0; i < OUTLIER_WINDOW; i++)
		outlier->last[i].at = 0;
}

/* A read that it was given to try it. */
static void on_trial(outlier_t *outlier, evidence_t evidence, usec_t now)
{
	if (evidence != EVIDENCE_GOOD) {
		outlier_take_out(outlier, now);
		return;
	}
	outlier->trials--;
	if (outlier->trials != 0)
		return;
	outlier->out = false;
	forget(outlier);
}

void outlier_believe_failing(outlier_t *outlier, usec_t now)
{
	outlier->failing_until = now + FAILING_HELD;
}

void outlier_note(outlier_t *outlier, evidence_t evidence, usec_t now)
{
	tally_t tally = {0};

	outlier->last[outlier->next].at = now;
	outlier->last[outlier->next].evidence = evidence;
	outlier->next = (outlier->next + 1) % OUTLIER_WINDOW;
	outlier_count(outlier, now, &tally);
	if (evidence != EVIDENCE_GOOD && is_costly(&tally))
		outlier_believe_failing(outlier, now);
	/* What was sent before it was taken out is no trial. */
	if (outlier->out && now >= outlier->out_until)
		on_trial(outlier, evidence, now);
}

bool outlier_is_worse(const outlier_t *outlier, const tally_t *others, usec_t now)
{
	tally_t own = {0};
	size_t bad;

	outlier_count(outlier, now, &own);
	bad = own.failed + own.refused;
	return is_bad(bad, own.total) &&
	       bad * others->total >=
		       WORSE_THAN_OTHERS * (others->failed + others->refused) * own.total;
}

void outlier_take_out(outlier_t *outlier, usec_t now)
{
	if (outlier->out_for == 0 || (!outlier->out && now >= outlier->out_until + OUT_FORGET))
		outlier->out_for = OUT_FIRST;
	else if (outlier->out_for < OUT_MOST)
		outlier->out_for *= 2;
	outlier->out = true;
	outlier->out_until = now + outlier->out_for;
	outlier->trials = TRIALS;
	counter_add(&out_total, 1);
}

bool outlier_takes(const outlier_t *outlier, size_t load, usec_t now)
{
	return !outlier->out || (now >= outlier->out_until && load == 0);
}

bool outlier_is_failing(const outlier_t *outlier, usec_t now)
{
	return now < outlier->failing_until;
}
