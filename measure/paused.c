/*
 * Measurements in paused time, on the fakes of world.h: what ./dev/measure
 * failover, reads and load print. The same seeds give the same figures on every
 * machine. Each run also checks what must always hold.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

/* --- percentiles --- */

static gint compare_usec(gconstpointer a, gconstpointer b)
{
	usec_t x = *(const usec_t *)a;
	usec_t y = *(const usec_t *)b;

	return x < y ? -1 : x > y;
}

static double percentile(GArray *values, double part)
{
	g_array_sort(values, compare_usec);
	return (double)g_array_index(values, usec_t, (guint)(part * (values->len - 1))) / 1000.0;
}

static void print_spread(const char *name, GArray *values)
{
	if (values->len == 0) {
		printf("  %-18s no run came to an end\n", name);
		return;
	}
	printf("  %-18s min %8.1f  median %8.1f  p95 %8.1f  max %8.1f ms\n", name,
	       percentile(values, 0), percentile(values, 0.5), percentile(values, 0.95),
	       percentile(values, 1));
}

/* --- the two deployments --- */

typedef struct deployment {
	const char *name;
	int zones;
	usec_t zone_latency;
	int slots;
	int max_conns;
	int row_conns;
} deployment_t;

static const deployment_t deployments[] = {
	{"Dakar", 3, 1500, 2, 15, 4},
	{"Wales", 4, 500, 5, 55, 17},
};

static world_config_t config_for(const deployment_t *deployment, uint64_t seed)
{
	world_config_t config = world_config_default();

	config.proxies = 7;
	config.zones = deployment->zones;
	config.zone_latency = deployment->zone_latency;
	config.slots = deployment->slots;
	config.max_conns = deployment->max_conns;
	config.row_conns = deployment->row_conns;
	config.seed = seed;
	config.quiet = true;
	return config;
}

static int failures;

static void check(world_t *world, const char *where, uint64_t seed)
{
	const char *violations = world_violations(world);

	if (violations[0] == '\0')
		return;
	printf("VIOLATION %s seed %d:\n%s", where, (int)seed, violations);
	failures++;
}

/* --- failover --- */

#define FAILOVER_RUNS 60
#define WRITE_EVERY   (5 * USEC_PER_MSEC)
#define FAULT_AT      (2 * USEC_PER_SEC)

typedef struct fault {
	const char *name;
	void (*inject)(world_t *world);
} fault_t;

static void kill_primary(world_t *world)
{
	world_kill(world, world_node("m0"));
}

static void vanish_primary(world_t *world)
{
	world_vanish(world, world_node("m0"));
}

static void freeze_primary(world_t *world)
{
	world_freeze(world, world_node("m0"), 20 * USEC_PER_SEC);
}

static void cut_primary(world_t *world)
{
	world_cut(world, world_node("m0"), world_node("m1"), true);
	world_cut(world, world_node("m0"), world_node("m2"), true);
}

static void vanish_both(world_t *world)
{
	/* With seven proxies and this group's name the home is p2. */
	json_t *dump = world_dump(world, 0);
	json_t *groups = json_object_get(dump, "groups");
	json_t *ranks = json_object_get(json_object_get(groups, "callout-1"), "served_by");

	world_vanish(world, world_node(json_string_value(json_array_get(ranks, 0))));
	json_decref(dump);
	world_vanish(world, world_node("m0"));
}

static const fault_t faults[] = {
	{"process killed", kill_primary},
	{"VM vanished", vanish_primary},
	{"frozen", freeze_primary},
	{"cut from its peers", cut_primary},
	{"VM and its home proxy vanished", vanish_both},
};

typedef struct gaps {
	GArray *detect;
	GArray *seal;
	GArray *promote;
	GArray *resume;
	GArray *whole;
	int unfinished;
} gaps_t;

/* Writes every few milliseconds through all proxies; the first that is sent after the fault and
 * done ends the gap. */
static void run_failover(const deployment_t *deployment, const fault_t *fault, bool fixed,
			 uint64_t seed, gaps_t *gaps)
{
	world_config_t config = config_for(deployment, seed);
	world_t *world;
	usec_t fault_at = FAULT_AT + seed * 7919 % 100000;
	usec_t first_done = 0;
	world_marks_t marks;
	int number = 0;

	config.fixed_detection = fixed;
	world = world_create(&config);
	world_run(world, USEC_PER_SEC);
	while (world_now(world) < fault_at + 12 * USEC_PER_SEC) {
		char *name = g_strdup_printf("w%06d", ++number);
		world_request_t request = {.name = name,
					   .proxy = number % config.proxies,
					   .class_name = "assign",
					   .key = "job-1",
					   .value = name,
					   .request_id = name,
					   .deadline = 10 * USEC_PER_SEC};
		usec_t next = world_now(world) + WRITE_EVERY;

		/* Enough to find the moment, not so many that the queue of a gap matters. */
		if (number % 8 == 0 || world_now(world) < fault_at)
			world_request(world, &request);
		g_free(name);
		if (world_now(world) < fault_at && next >= fault_at) {
			world_run(world, fault_at);
			world_clear_marks(world);
			fault->inject(world);
		}
		world_run(world, next);
	}
	for (int i = 1; i <= number; i++) {
		char *name = g_strdup_printf("w%06d", i);
		const result_t *told = world_result(world, name);

		if (told != NULL && told->answered && told->outcome == OUTCOME_DONE &&
		    told->requested_at >= fault_at &&
		    (first_done == 0 || told->answered_at < first_done))
			first_done = told->answered_at;
		g_free(name);
	}
	marks = world_marks(world);
	if (first_done == 0 || marks.promoted == 0) {
		gaps->unfinished++;
	} else {
		usec_t parts[] = {marks.seal_sent - fault_at, marks.promote_sent - marks.seal_sent,
				  marks.promoted - marks.promote_sent,
				  first_done > marks.promoted ? first_done - marks.promoted : 0,
				  first_done - fault_at};

		g_array_append_val(gaps->detect, parts[0]);
		g_array_append_val(gaps->seal, parts[1]);
		g_array_append_val(gaps->promote, parts[2]);
		g_array_append_val(gaps->resume, parts[3]);
		g_array_append_val(gaps->whole, parts[4]);
	}
	check(world, fault->name, seed);
	world_destroy(world);
}

static GArray *usecs(void)
{
	return g_array_new(FALSE, FALSE, sizeof(usec_t));
}

static void measure_gap(const deployment_t *deployment, const fault_t *fault, bool fixed, int runs)
{
	gaps_t gaps = {usecs(), usecs(), usecs(), usecs(), usecs(), 0};

	for (int i = 0; i < runs; i++)
		run_failover(deployment, fault, fixed, (uint64_t)i + 1, &gaps);
	printf("%s, %s%s: %d runs, %d without an end\n", deployment->name, fault->name,
	       fixed ? ", baseline (fixed 3 s time-out, one watcher)" : "", runs, gaps.unfinished);
	print_spread("detection", gaps.detect);
	print_spread("sealing", gaps.seal);
	print_spread("promotion", gaps.promote);
	print_spread("callers resumed", gaps.resume);
	print_spread("whole gap", gaps.whole);
	g_array_unref(gaps.detect);
	g_array_unref(gaps.seal);
	g_array_unref(gaps.promote);
	g_array_unref(gaps.resume);
	g_array_unref(gaps.whole);
}

static void measure_failover(int runs)
{
	printf("Gap: from the fault to the first write asked after it that is done; a caller asks "
	       "every %d ms.\n",
	       (int)(8 * WRITE_EVERY / USEC_PER_MSEC));
	for (gsize d = 0; d < G_N_ELEMENTS(deployments); d++) {
		for (gsize f = 0; f < G_N_ELEMENTS(faults); f++) {
			measure_gap(&deployments[d], &faults[f], false, runs);
			measure_gap(&deployments[d], &faults[f], true, runs / 6 + 1);
		}
	}
}

/* --- reads --- */

#define READ_SECONDS 20

typedef struct variant {
	const char *name;
	int replica_lean;
	bool zone_blind;
} variant_t;

static const variant_t variants[] = {
	{"cyclamenspan", 100, false},
	{"zone-blind", 100, true},
	{"primary only", 0, false},
};

typedef struct mix {
	int asked;
	int done;
	GArray *read_times;
} mix_t;

static void ask_mixed(world_t *world, int number, const char *token)
{
	static const char *const classes[] = {"status", "status", "status", "status", "assignment",
					      "status", "status", "status", "assign", "assign"};
	const char *class_name = classes[number % 10];
	bool is_write = strcmp(class_name, "assign") == 0;
	char *name = g_strdup_printf("r%06d", number);
	char *key = g_strdup_printf("job-%d", number % 50);
	world_request_t request = {.name = name,
				   .proxy = number % 7,
				   .class_name = class_name,
				   .key = key,
				   .value = is_write ? name : NULL,
				   .request_id = is_write ? name : NULL,
				   .token = token,
				   .deadline = 2 * USEC_PER_SEC};

	world_request(world, &request);
	g_free(key);
	g_free(name);
}

static void collect(world_t *world, int number, mix_t *mix)
{
	for (int i = 1; i <= number; i++) {
		char *name = g_strdup_printf("r%06d", i);
		const result_t *told = world_result(world, name);
		usec_t took = told->answered_at - told->requested_at;

		mix->asked++;
		if (told->answered && told->outcome == OUTCOME_DONE) {
			mix->done++;
			if (told->written_value == NULL)
				g_array_append_val(mix->read_times, took);
		}
		g_free(name);
	}
}

/* Each session carries the token of its last write or read along, as callers do. */
static void measure_reads_one(const deployment_t *deployment, usec_t lag, const variant_t *variant,
			      usec_t every)
{
	world_config_t config = config_for(deployment, 1);
	world_counts_t counts;
	mix_t mix = {.read_times = usecs()};
	int number = 0;
	uint64_t reads;
	world_t *world;

	config.replication_lag = lag;
	config.replica_share = variant->replica_lean;
	config.ignore_zones = variant->zone_blind;
	world = world_create(&config);
	world_run(world, 3 * USEC_PER_SEC);
	while (world_now(world) < (3 + READ_SECONDS) * USEC_PER_SEC) {
		char *before = g_strdup_printf("r%06d", number - 200);
		const result_t *told = number > 200 ? world_result(world, before) : NULL;

		ask_mixed(world, ++number, told != NULL ? told->token : NULL);
		g_free(before);
		world_run(world, world_now(world) + every);
	}
	world_run(world, world_now(world) + 5 * USEC_PER_SEC);
	collect(world, number, &mix);
	counts = world_counts(world);
	reads = counts.reads_replica + counts.reads_primary;
	printf("%-6s lag %5.0f ms  %-13s replica share %5.1f%%  done %5.1f%%  read median %6.2f p95 "
	       "%7.2f ms\n",
	       deployment->name, (double)lag / 1000.0, variant->name,
	       reads > 0 ? 100.0 * (double)counts.reads_replica / (double)reads : 0,
	       100.0 * mix.done / mix.asked, percentile(mix.read_times, 0.5),
	       percentile(mix.read_times, 0.95));
	check(world, variant->name, 1);
	g_array_unref(mix.read_times);
	world_destroy(world);
}

static void measure_reads(void)
{
	static const usec_t lags[] = {1000, 50000, 250000, 800000, 2000000};

	printf("Mix: 70%% reads of at most 1 s of age with session tokens 200 requests old, 10%% "
	       "strict reads, 20%% writes; seven proxies; %d s.\n",
	       READ_SECONDS);
	for (gsize d = 0; d < G_N_ELEMENTS(deployments); d++) {
		usec_t every = d == 0 ? 5000 : 2500;

		for (gsize l = 0; l < G_N_ELEMENTS(lags); l++) {
			for (gsize v = 0; v < G_N_ELEMENTS(variants); v++)
				measure_reads_one(&deployments[d], lags[l], &variants[v], every);
		}
	}
}

/* --- load --- */

#define LOAD_SECONDS  10
#define LOAD_DEADLINE (300 * USEC_PER_MSEC)
#define LOAD_SERVICE  (5 * USEC_PER_MSEC)

typedef struct load_result {
	int asked;
	int in_time;
	int refused;
	int unknown;
	int late;
	int writes;
	int writes_in_time;
} load_result_t;

static void count_load(world_t *world, int number, load_result_t *result)
{
	for (int i = 1; i <= number; i++) {
		char *name = g_strdup_printf("r%06d", i);
		const result_t *told = world_result(world, name);
		bool in_time = told->answered && told->outcome == OUTCOME_DONE &&
			       told->answered_at - told->requested_at <= LOAD_DEADLINE;

		result->asked++;
		result->in_time += in_time;
		result->late +=
			!told->answered || told->answered_at - told->requested_at > LOAD_DEADLINE;
		result->refused += told->answered && told->outcome == OUTCOME_NOT_RUN;
		result->unknown += told->answered && told->outcome == OUTCOME_UNKNOWN;
		if (told->written_value != NULL) {
			result->writes++;
			result->writes_in_time += in_time;
		}
		g_free(name);
	}
}

/* Callers come through the balancer unevenly: most through two proxies. */
static int uneven_proxy(GRand *rand)
{
	int draw = g_rand_int_range(rand, 0, 10);

	return draw < 4 ? 0 : draw < 7 ? 1 : g_rand_int_range(rand, 2, 7);
}

static void ask_load(world_t *world, GRand *rand, int number, int searches)
{
	bool is_search = g_rand_int_range(rand, 0, 100) < searches;
	char *name = g_strdup_printf("r%06d", number);
	char *key = g_strdup_printf("job-%d", number % 500);
	world_request_t request = {.name = name,
				   .proxy = uneven_proxy(rand),
				   .class_name = is_search ? "status" : "assign",
				   .key = key,
				   .value = is_search ? NULL : name,
				   .request_id = is_search ? NULL : name,
				   .deadline = LOAD_DEADLINE};

	world_request(world, &request);
	g_free(key);
	g_free(name);
}

/* Capacity: every slot of every member busy with searches; writes use the primary twice. */
static void measure_load_one(const deployment_t *deployment, bool equal_shares, double load,
			     int searches)
{
	world_config_t config = config_for(deployment, 1);
	double capacity = 3.0 * deployment->slots / ((double)LOAD_SERVICE / USEC_PER_SEC);
	GRand *rand = g_rand_new_with_seed(42);
	load_result_t result = {0};
	world_counts_t counts;
	world_t *world;
	int number = 0;

	config.equal_shares = equal_shares;
	config.service_time = LOAD_SERVICE;
	world = world_create(&config);
	world_run(world, 2 * USEC_PER_SEC);
	while (world_now(world) < (2 + LOAD_SECONDS) * USEC_PER_SEC) {
		double gap = -log(1.0 - g_rand_double(rand)) * USEC_PER_SEC / (capacity * load);

		ask_load(world, rand, ++number, searches);
		world_run(world, world_now(world) + (usec_t)gap + 1);
	}
	world_run(world, world_now(world) + 3 * USEC_PER_SEC);
	count_load(world, number, &result);
	counts = world_counts(world);
	printf("%-6s load %3.0f%%  %-12s in time %5.1f%%  writes in time %5.1f%%  refused %5.1f%%  in "
	       "doubt %4.1f%%  late %4.1f%%  peak connections %d of %d, over the limit %d\n",
	       deployment->name, load * 100, equal_shares ? "equal shares" : "cyclamenspan",
	       100.0 * result.in_time / result.asked,
	       100.0 * result.writes_in_time / MAX(result.writes, 1),
	       100.0 * result.refused / result.asked, 100.0 * result.unknown / result.asked,
	       100.0 * result.late / result.asked, counts.peak_conns, deployment->max_conns,
	       MAX(counts.peak_conns - deployment->max_conns, 0));
	check(world, "load", 1);
	g_rand_free(rand);
	world_destroy(world);
}

static void measure_load(void)
{
	static const double loads[] = {0.3, 0.6, 0.9, 1.2, 2.0};

	printf("Open load, 85%% searches (age 1 s) and 15%% writes, deadline %d ms, service %d ms; "
	       "seven proxies, two of which get 70%% of the callers; %d s.\n",
	       (int)(LOAD_DEADLINE / USEC_PER_MSEC), (int)(LOAD_SERVICE / USEC_PER_MSEC),
	       LOAD_SECONDS);
	for (gsize d = 0; d < G_N_ELEMENTS(deployments); d++) {
		for (gsize l = 0; l < G_N_ELEMENTS(loads); l++) {
			measure_load_one(&deployments[d], false, loads[l], 85);
			measure_load_one(&deployments[d], true, loads[l], 85);
		}
	}
}

int main(int argc, char **argv)
{
	const char *what = argc > 1 ? argv[1] : "";
	int runs = argc > 2 ? atoi(argv[2]) : FAILOVER_RUNS;

	if (strcmp(what, "failover") == 0) {
		measure_failover(runs);
	} else if (strcmp(what, "reads") == 0) {
		measure_reads();
	} else if (strcmp(what, "load") == 0) {
		measure_load();
	} else {
		fprintf(stderr, "usage: measure failover [RUNS] | reads | load\n");
		return 2;
	}
	return failures > 0;
}
