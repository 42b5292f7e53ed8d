#include "plan.h"

#include <inttypes.h>
#include <stdio.h>

#include <talloc.h>

#define MSEC USEC_PER_MSEC
/* Average time between two faults or series of faults. */
#define FAULT_INTERVAL (650 * MSEC)
/* Greatest number of faults in a series, and the range of the time between two of them. */
#define SERIES_MAX     5
#define SERIES_GAP_MIN (60 * MSEC)
#define SERIES_GAP_MAX (700 * MSEC)
/*
 * Chance that a kind of fault takes part in a run. Without the kinds that are left out, rare
 * combinations of the others occur more often.
 */
#define KIND_PERCENT 55

/* Range of the time between two restores of the store. */
#define RESTORE_GAP_MIN (5 * USEC_PER_SEC)
#define RESTORE_GAP_MAX (15 * USEC_PER_SEC)

typedef struct fault_shape {
	const char *name;
	unsigned weight;
	unsigned min_ms; /* duration of the fault */
	unsigned max_ms;
	unsigned amount_min;
	unsigned amount_max;
	unsigned series_percent; /* chance that the fault starts a series */
} fault_shape_t;

static const fault_shape_t fault_shapes[FAULT_COUNT] = {
	[FAULT_PAUSE] = {"pause", 10, 50, 4000, 0, 0, 30},
	[FAULT_KILL] = {"kill", 8, 200, 2500, 0, 0, 30},
	[FAULT_TERM] = {"term", 10, 100, 1500, 0, 0, 30},
	[FAULT_ROLLING_RESTART] = {"rolling-restart", 2, 100, 600, 150, 900, 0},
	[FAULT_HANGUP] = {"hangup", 4, 0, 0, 0, 0, 50},
	[FAULT_POWER_LOSS] = {"power-loss", 1, 200, 1500, 0, 0, 0},
	[FAULT_STORE_LINK_CUT] = {"store-link-cut", 4, 200, 6000, 0, 0, 20},
	[FAULT_STORE_LINK_ONE_WAY] = {"store-link-one-way", 3, 200, 5000, 0, 1, 20},
	[FAULT_STORE_LINK_DELAY] = {"store-link-delay", 3, 500, 6000, 20, 900, 20},
	[FAULT_STORE_LINK_RESET] = {"store-link-reset", 4, 0, 0, 0, 0, 50},
	[FAULT_STORE_LINK_SILENCE] = {"store-link-silence", 3, 0, 0, 0, 0, 30},
	[FAULT_STORE_REFUSES_CALLS] = {"store-turns-away", 4, 300, 6000, 0, 0, 20},
	[FAULT_STORE_DOWN] = {"store-down", 3, 200, 6000, 0, 0, 10},
	[FAULT_STORE_SLOW] = {"store-slow", 3, 500, 6000, 40, 500, 0},
	[FAULT_STORE_ANSWERS_LOST] = {"store-loses", 4, 0, 0, 1, 5, 30},
	[FAULT_STORE_COMPACTED] = {"store-forgets", 3, 0, 0, 0, 0, 30},
	[FAULT_STORE_WATCHES_STALLED] = {"store-deaf", 2, 300, 4000, 0, 0, 0},
	[FAULT_PLATFORM_PAUSE] = {"platform-pause", 1, 100, 2500, 0, 0, 0},
	[FAULT_PROMOTE_ANSWERS_LOST] = {"promote-loses", 3, 500, 5000, 0, 0, 0},
	[FAULT_PROMOTE_REFUSED] = {"promote-refuses", 2, 500, 5000, 0, 0, 0},
	[FAULT_CONFIG] = {"config", 5, 0, 0, 500, 1500, 40},
	[FAULT_MEMBER_CRASH] = {"member-crash", 5, 300, 6000, 0, 0, 10},
	[FAULT_PRIMARY_CRASH] = {"leader-crash", 6, 300, 6000, 0, 0, 10},
	[FAULT_MEMBER_REPLACE] = {"member-replace", 3, 2000, 6000, 0, 0, 0},
	[FAULT_PRIMARY_REPLACE] = {"leader-replace", 4, 2000, 6000, 0, 0, 0},
	[FAULT_MEMBER_SLOW] = {"member-slow", 4, 500, 5000, 10, 600, 0},
	[FAULT_MEMBER_LAG] = {"member-lag", 5, 500, 6000, 50, 3500, 0},
	[FAULT_MEMBER_ANSWERS_LOST] = {"member-loses", 5, 0, 0, 1, 20, 20},
	[FAULT_MEMBER_CONNECTIONS_RESET] = {"member-resets", 5, 0, 0, 1, 20, 20},
	[FAULT_MEMBER_REFUSES_STATEMENTS] = {"member-grey", 4, 0, 0, 1, 60, 20},
	[FAULT_MEMBER_REPLICATION_STALLED] = {"member-deaf", 3, 300, 5000, 0, 0, 0},
	[FAULT_MEMBER_LINK_CUT] = {"member-link-cut", 4, 200, 5000, 0, 0, 10},
	[FAULT_MEMBER_LINK_ONE_WAY] = {"member-link-one-way", 4, 200, 5000, 0, 1, 10},
	[FAULT_MEMBER_LINK_DELAY] = {"member-link-delay", 4, 300, 4000, 5, 700, 10},
	[FAULT_MEMBER_LINK_LIMIT] = {"member-link-limit", 2, 300, 4000, 2000, 30000, 0},
	[FAULT_MEMBER_LINK_RESET] = {"member-link-reset", 4, 0, 0, 0, 0, 40},
	[FAULT_MEMBER_LINK_SILENCE] = {"member-link-silence", 4, 0, 0, 0, 0, 20},
	/*
	 * Drawn by a random generator of its own, so that the other faults of a seed stay the same.
	 */
	[FAULT_STORE_RESTORED] = {"store-restored", 0, 300, 5000, 0, 0, 0},
};

const char *plan_fault_name(fault_kind_t kind)
{
	return fault_shapes[kind].name;
}

static unsigned random_between(GRand *rand, unsigned min, unsigned max)
{
	return max > min ? (unsigned)g_rand_int_range(rand, (gint32)min, (gint32)max + 1) : min;
}

static void choose_kinds(GRand *rand, unsigned *weights)
{
	weights[FAULT_STORE_RESTORED] = 0;
	for (size_t i = 0; i < FAULT_STORE_RESTORED; i++)
		weights[i] =
			random_between(rand, 1, 100) <= KIND_PERCENT ? fault_shapes[i].weight : 0;
	/* Every run can restart proxies. */
	weights[FAULT_TERM] = fault_shapes[FAULT_TERM].weight;
}

static fault_kind_t choose_kind(GRand *rand, const unsigned *weights)
{
	unsigned sum = 0;
	unsigned remaining;
	size_t kind = 0;

	for (size_t i = 0; i < FAULT_COUNT; i++)
		sum += weights[i];
	remaining = random_between(rand, 0, sum - 1);
	while (remaining >= weights[kind])
		remaining -= weights[kind++];
	return (fault_kind_t)kind;
}

static void add_fault(plan_t *plan, fault_t fault)
{
	if (fault.at + fault.duration > plan->length) {
		if (fault.at + MSEC > plan->length)
			return;
		fault.duration = plan->length - fault.at;
	}
	g_array_append_val(plan->faults, fault);
}

static void add_series(plan_t *plan, GRand *rand, fault_kind_t kind, usec_t at)
{
	const fault_shape_t *fault_shape = &fault_shapes[kind];
	unsigned count = 1;

	if (random_between(rand, 1, 100) <= fault_shape->series_percent)
		count = random_between(rand, 2, SERIES_MAX);
	for (unsigned i = 0; i < count; i++) {
		fault_t fault = {
			.at = at, .kind = kind, .target = random_between(rand, 0, 1 << 20)};

		fault.duration =
			random_between(rand, fault_shape->min_ms, fault_shape->max_ms) * MSEC;
		fault.amount =
			random_between(rand, fault_shape->amount_min, fault_shape->amount_max);
		add_fault(plan, fault);
		at += random_between(rand, SERIES_GAP_MIN, SERIES_GAP_MAX);
	}
}

static int compare_time(const void *a, const void *b)
{
	const fault_t *left = a;
	const fault_t *right = b;

	if (left->at != right->at)
		return left->at < right->at ? -1 : 1;
	return (int)left->kind - (int)right->kind;
}

static int destructor(plan_t *plan)
{
	g_array_unref(plan->faults);
	return 0;
}

/* Adds restores of the store to the plan if the seed is even. */
static void add_restores(plan_t *plan, unsigned seed)
{
	GRand *rand = g_rand_new_with_seed(~seed);
	usec_t at = random_between(rand, RESTORE_GAP_MIN, RESTORE_GAP_MAX);

	while (seed % 2 == 0 && at < plan->length) {
		add_series(plan, rand, FAULT_STORE_RESTORED, at);
		at += random_between(rand, RESTORE_GAP_MIN, RESTORE_GAP_MAX);
	}
	g_rand_free(rand);
}

plan_t *plan_create(void *parent, unsigned seed, usec_t length, unsigned proxies)
{
	plan_t *plan = talloc_zero(parent, plan_t);
	GRand *rand = g_rand_new_with_seed(seed);
	unsigned weights[FAULT_COUNT];
	usec_t interval = FAULT_INTERVAL;
	usec_t at = 0;

	plan->length = length;
	plan->faults = g_array_new(FALSE, FALSE, sizeof(fault_t));
	talloc_set_destructor(plan, destructor);
	choose_kinds(rand, weights);
	/*
	 * In a large fleet the faults of a small one would hit each proxy too rarely; with as many
	 * faults for each proxy there would be no time without a fault.
	 */
	if (proxies > 24)
		interval /= 3;
	while (at < length) {
		at += random_between(rand, 1, (unsigned)(2 * interval));
		add_series(plan, rand, choose_kind(rand, weights), at);
	}
	add_restores(plan, seed);
	g_array_sort(plan->faults, compare_time);
	g_rand_free(rand);
	return plan;
}

void plan_print(const plan_t *plan)
{
	for (guint i = 0; i < plan->faults->len; i++) {
		const fault_t *fault = &g_array_index(plan->faults, fault_t, i);

		printf("%7.3f %-20s target %u for %" PRIu64 " ms, amount %u\n",
		       (double)fault->at / USEC_PER_SEC, fault_shapes[fault->kind].name,
		       fault->target, fault->duration / MSEC, fault->amount);
	}
}
