/*
 * Random faults from fixed seeds: members and proxies are killed, vanish, freeze or
 * are cut off, the store vanishes, replicas lag, several at a time. The invariants
 * of the world must hold. FAULT_SEED=N runs one seed and prints its timeline,
 * FAULT_SEEDS=N runs the first N.
 */
#include <stdlib.h>

#include <glib.h>

#include "faults.h"

#define SEEDS 24

/* Seeds that failed once, each with its cause; they always run. */
static const guint regressions[] = {
	330, /* the simulated member let a commit succeed on a session that it had ended */
};

static void play_seed(gconstpointer data)
{
	uint64_t seed = GPOINTER_TO_UINT(data);
	char *timeline = NULL;
	bool trace = g_getenv("FAULT_SEED") != NULL;
	faults_result_t result = faults_play(seed, trace ? &timeline : NULL);

	if (trace)
		g_printerr("%s", timeline);
	g_assert_cmpstr(result.violations, ==, "");
	/* Faults may cause refusals, but at least a quarter of the requests must succeed. */
	g_assert_cmpint(result.done, >, result.requests / 4);
	g_free(result.violations);
	g_free(timeline);
}

static void add_seed(guint seed)
{
	char *path = g_strdup_printf("/faults/%u", seed);

	g_test_add_data_func(path, GUINT_TO_POINTER(seed), play_seed);
	g_free(path);
}

int main(int argc, char **argv)
{
	const char *only = g_getenv("FAULT_SEED");
	const char *more = g_getenv("FAULT_SEEDS");
	guint seeds = more != NULL ? (guint)atoi(more) : SEEDS;

	g_test_init(&argc, &argv, NULL);
	if (only != NULL) {
		add_seed((guint)atoi(only));
		return g_test_run();
	}
	g_assert_cmpuint(seeds, >, 0);
	for (guint seed = 1; seed <= seeds; seed++)
		add_seed(seed);
	for (gsize i = 0; i < G_N_ELEMENTS(regressions); i++) {
		if (regressions[i] > seeds)
			add_seed(regressions[i]);
	}
	return g_test_run();
}
