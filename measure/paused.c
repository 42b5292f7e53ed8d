/*
 * Measurements with the manual clock and the simulated processes of world.h; ./dev/measure
 * failover, reads and load print them. The same seeds give the same figures on every machine. Each
 * run also checks the invariants of the world.
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

static double percentile_msec(GArray *values, double fraction)
{
	g_array_sort(values, compare_usec);
	return (double)g_array_index(values, usec_t, (guint)(fraction * (values->len - 1))) /
	       1000.0;
}

static void print_percentiles(const char *name, GArray *values)
{
	if (values->len == 0) {
		printf("  %-18s no run came to an end\n", name);
		return;
	}
	printf("  %-18s min %8.1f  median %8.1f  p95 %8.1f  max %8.1f ms\n", name,
	       percentile_msec(values, 0), percentile_msec(values, 0.5),
	       percentile_msec(values, 0.95), percentile_msec(values, 1));
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

static world_config_t make_config(const deployment_t *deployment, uint64_t seed)
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

static void check_violations(world_t *world, const char *where, uint64_t seed)
{
	const char *violations = world_violations(world);

	if (violations[0] == '\0')
		return;
	printf("VIOLATION %s seed %d:\n%s", where, (int)seed, violations);
	failures++;
}

/* --- failover --- */

#define FAILOVER_RUNS  60
#define WRITE_INTERVAL (5 * USEC_PER_MSEC)
#define FAULT_AT       (2 * USEC_PER_SEC)

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

static void partition_primary(world_t *world)
{
	world_cut(world, world_node("m0"), world_node("m1"), true);
	world_cut(world, world_node("m0"), world_node("m2"), true);
}

static void vanish_primary_and_home(world_t *world)
{
	/* The first proxy in served_by is the home of the group. */
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
	{"cut from its peers", partition_primary},
	{"VM and its home proxy vanished", vanish_primary_and_home},
};

typedef struct gaps {
	GArray *detect;
	GArray *seal;
	GArray *promote;
	GArray *resume;
	GArray *total;
	int unfinished;
} gaps_t;

/*
 * Sends writes at a fixed interval through all proxies in turn. The gap ends with the first done
 * write that was sent after the fault.
 */
static void run_failover(const deployment_t *deployment, const fault_t *fault, bool fixed,
			 uint64_t seed, gaps_t *gaps)
{
	world_config_t config = make_config(deployment, seed);
	world_t *world;
	usec_t fault_at = FAULT_AT + seed * 7919 % 100000;
	usec_t first_done_at = 0;
	world_marks_t phase_marks;
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
		usec_t next = world_now(world) + WRITE_INTERVAL;

		/*
		 * After the fault only every eighth write is sent: enough to find the end of the
		 * gap, and few enough that the writes queued during the gap do not delay it.
		 */
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
		const result_t *answer = world_result(world, name);

		if (answer != NULL && answer->answered && answer->outcome == OUTCOME_DONE &&
		    answer->requested_at >= fault_at &&
		    (first_done_at == 0 || answer->answered_at < first_done_at))
			first_done_at = answer->answered_at;
		g_free(name);
	}
	phase_marks = world_marks(world);
	if (first_done_at == 0 || phase_marks.promoted == 0) {
		gaps->unfinished++;
	} else {
		usec_t phases[] = {phase_marks.seal_sent - fault_at,
				   phase_marks.promote_sent - phase_marks.seal_sent,
				   phase_marks.promoted - phase_marks.promote_sent,
				   first_done_at > phase_marks.promoted
					   ? first_done_at - phase_marks.promoted
					   : 0,
				   first_done_at - fault_at};

		g_array_append_val(gaps->detect, phases[0]);
		g_array_append_val(gaps->seal, phases[1]);
		g_array_append_val(gaps->promote, phases[2]);
		g_array_append_val(gaps->resume, phases[3]);
		g_array_append_val(gaps->total, phases[4]);
	}
	check_violations(world, fault->name, seed);
	world_destroy(world);
}

static GArray *usec_array_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(usec_t));
}

static void measure_gap(const deployment_t *deployment, const fault_t *fault, bool fixed, int runs)
{
	gaps_t gaps = {usec_array_new(), usec_array_new(), usec_array_new(),
		       usec_array_new(), usec_array_new(), 0};

	for (int i = 0; i < runs; i++)
		run_failover(deployment, fault, fixed, (uint64_t)i + 1, &gaps);
	printf("%s, %s%s: %d runs, %d without an end\n", deployment->name, fault->name,
	       fixed ? ", baseline (fixed 3 s time-out, one watcher)" : "", runs, gaps.unfinished);
	print_percentiles("detection", gaps.detect);
	print_percentiles("sealing", gaps.seal);
	print_percentiles("promotion", gaps.promote);
	print_percentiles("callers resumed", gaps.resume);
	print_percentiles("whole gap", gaps.total);
	g_array_unref(gaps.detect);
	g_array_unref(gaps.seal);
	g_array_unref(gaps.promote);
	g_array_unref(gaps.resume);
	g_array_unref(gaps.total);
}

static void measure_failover(int runs)
{
	printf("Gap: from the fault to the first done write that was sent after it; a caller sends "
	       "one every %d ms.\n",
	       (int)(8 * WRITE_INTERVAL / USEC_PER_MSEC));
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
	int replica_share;
	bool zone_blind;
} variant_t;

static const variant_t variants[] = {
	{"cyclamenspan", 100, false},
	{"zone-blind", 100, true},
	{"primary only", 0, false},
};

typedef struct mix {
	int sent;
	int done;
	GArray *read_times;
} mix_t;

static void send_mixed_request(world_t *world, int number, const char *token)
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

static void collect_answers(world_t *world, int number, mix_t *mix)
{
	for (int i = 1; i <= number; i++) {
		char *name = g_strdup_printf("r%06d", i);
		const result_t *answer = world_result(world, name);
		usec_t took = answer->answered_at - answer->requested_at;

		mix->sent++;
		if (answer->answered && answer->outcome == OUTCOME_DONE) {
			mix->done++;
			if (answer->written_value == NULL)
				g_array_append_val(mix->read_times, took);
		}
		g_free(name);
	}
}

/*
 * Measures the reads of one variant. Each request carries the session token of the request 200
 * before it, as the requests of a caller's session do.
 */
static void measure_reads_case(const deployment_t *deployment, usec_t lag, const variant_t *variant,
			       usec_t interval)
{
	world_config_t config = make_config(deployment, 1);
	world_counts_t counts;
	mix_t mix = {.read_times = usec_array_new()};
	int number = 0;
	uint64_t reads;
	world_t *world;

	config.replication_lag = lag;
	config.replica_share = variant->replica_share;
	config.ignore_zones = variant->zone_blind;
	world = world_create(&config);
	world_run(world, 3 * USEC_PER_SEC);
	while (world_now(world) < (3 + READ_SECONDS) * USEC_PER_SEC) {
		char *earlier = g_strdup_printf("r%06d", number - 200);
		const result_t *answer = number > 200 ? world_result(world, earlier) : NULL;

		send_mixed_request(world, ++number, answer != NULL ? answer->token : NULL);
		g_free(earlier);
		world_run(world, world_now(world) + interval);
	}
	world_run(world, world_now(world) + 5 * USEC_PER_SEC);
	collect_answers(world, number, &mix);
	counts = world_counts(world);
	reads = counts.reads_replica + counts.reads_primary;
	printf("%-6s lag %5.0f ms  %-13s replica share %5.1f%%  done %5.1f%%  read median %6.2f p95 "
	       "%7.2f ms\n",
	       deployment->name, (double)lag / 1000.0, variant->name,
	       reads > 0 ? 100.0 * (double)counts.reads_replica / (double)reads : 0,
	       100.0 * mix.done / mix.sent, percentile_msec(mix.read_times, 0.5),
	       percentile_msec(mix.read_times, 0.95));
	check_violations(world, variant->name, 1);
	g_array_unref(mix.read_times);
	world_destroy(world);
}

static void measure_reads(void)
{
	static const usec_t lags[] = {1000, 50000, 250000, 800000, 2000000};

	printf("Mix: 70%% reads of at most 1 s of age with session tokens 200 requests old, 10%% "
	       "linearizable reads, 20%% writes; seven proxies; %d s.\n",
	       READ_SECONDS);
	for (gsize d = 0; d < G_N_ELEMENTS(deployments); d++) {
		usec_t interval = d == 0 ? 5000 : 2500;

		for (gsize l = 0; l < G_N_ELEMENTS(lags); l++) {
			for (gsize v = 0; v < G_N_ELEMENTS(variants); v++)
				measure_reads_case(&deployments[d], lags[l], &variants[v],
						   interval);
		}
	}
}

/* --- load --- */

#define LOAD_SECONDS	  10
#define LOAD_DEADLINE	  (300 * USEC_PER_MSEC)
#define LOAD_SERVICE_TIME (5 * USEC_PER_MSEC)

typedef struct load_result {
	int sent;
	int within_deadline;
	int refused;
	int unknown;
	int late;
	int writes;
	int writes_within_deadline;
} load_result_t;

static void count_load(world_t *world, int number, load_result_t *result)
{
	for (int i = 1; i <= number; i++) {
		char *name = g_strdup_printf("r%06d", i);
		const result_t *answer = world_result(world, name);
		bool within_deadline = answer->answered && answer->outcome == OUTCOME_DONE &&
				       answer->answered_at - answer->requested_at <= LOAD_DEADLINE;

		result->sent++;
		result->within_deadline += within_deadline;
		result->late += !answer->answered ||
				answer->answered_at - answer->requested_at > LOAD_DEADLINE;
		result->refused += answer->answered && answer->outcome == OUTCOME_NOT_RUN;
		result->unknown += answer->answered && answer->outcome == OUTCOME_UNKNOWN;
		if (answer->written_value != NULL) {
			result->writes++;
			result->writes_within_deadline += within_deadline;
		}
		g_free(name);
	}
}

/* Distributes callers unevenly, as a load balancer may: 70 percent go to two of seven proxies. */
static int pick_proxy(GRand *rand)
{
	int draw = g_rand_int_range(rand, 0, 10);

	return draw < 4 ? 0 : draw < 7 ? 1 : g_rand_int_range(rand, 2, 7);
}

static void send_load_request(world_t *world, GRand *rand, int number, int search_percent)
{
	bool is_search = g_rand_int_range(rand, 0, 100) < search_percent;
	char *name = g_strdup_printf("r%06d", number);
	char *key = g_strdup_printf("job-%d", number % 500);
	world_request_t request = {.name = name,
				   .proxy = pick_proxy(rand),
				   .class_name = is_search ? "status" : "assign",
				   .key = key,
				   .value = is_search ? NULL : name,
				   .request_id = is_search ? NULL : name,
				   .deadline = LOAD_DEADLINE};

	world_request(world, &request);
	g_free(key);
	g_free(name);
}

/*
 * Measures one load. The load is relative to the capacity, at which every slot of every member runs
 * searches; a write uses the primary twice.
 */
static void measure_load_case(const deployment_t *deployment, bool equal_shares, double load,
			      int search_percent)
{
	world_config_t config = make_config(deployment, 1);
	double capacity = 3.0 * deployment->slots / ((double)LOAD_SERVICE_TIME / USEC_PER_SEC);
	GRand *rand = g_rand_new_with_seed(42);
	load_result_t result = {0};
	world_counts_t counts;
	world_t *world;
	int number = 0;

	config.equal_shares = equal_shares;
	config.service_time = LOAD_SERVICE_TIME;
	world = world_create(&config);
	world_run(world, 2 * USEC_PER_SEC);
	while (world_now(world) < (2 + LOAD_SECONDS) * USEC_PER_SEC) {
		double gap = -log(1.0 - g_rand_double(rand)) * USEC_PER_SEC / (capacity * load);

		send_load_request(world, rand, ++number, search_percent);
		world_run(world, world_now(world) + (usec_t)gap + 1);
	}
	world_run(world, world_now(world) + 3 * USEC_PER_SEC);
	count_load(world, number, &result);
	counts = world_counts(world);
	printf("%-6s load %3.0f%%  %-12s in time %5.1f%%  writes in time %5.1f%%  refused %5.1f%%  in "
	       "doubt %4.1f%%  late %4.1f%%  peak connections %d of %d, over the limit %d\n",
	       deployment->name, load * 100, equal_shares ? "equal shares" : "cyclamenspan",
	       100.0 * result.within_deadline / result.sent,
	       100.0 * result.writes_within_deadline / MAX(result.writes, 1),
	       100.0 * result.refused / result.sent, 100.0 * result.unknown / result.sent,
	       100.0 * result.late / result.sent, counts.peak_conns, deployment->max_conns,
	       MAX(counts.peak_conns - deployment->max_conns, 0));
	check_violations(world, "load", 1);
	g_rand_free(rand);
	world_destroy(world);
}

static void measure_load(void)
{
	static const double loads[] = {0.3, 0.6, 0.9, 1.2, 2.0};

	printf("Open load, 85%% searches (age 1 s) and 15%% writes, deadline %d ms, service %d ms; "
	       "seven proxies, two of which get 70%% of the callers; %d s.\n",
	       (int)(LOAD_DEADLINE / USEC_PER_MSEC), (int)(LOAD_SERVICE_TIME / USEC_PER_MSEC),
	       LOAD_SECONDS);
	for (gsize d = 0; d < G_N_ELEMENTS(deployments); d++) {
		for (gsize l = 0; l < G_N_ELEMENTS(loads); l++) {
			measure_load_case(&deployments[d], false, loads[l], 85);
			measure_load_case(&deployments[d], true, loads[l], 85);
		}
	}
}

int main(int argc, char **argv)
{
	const char *measurement = argc > 1 ? argv[1] : "";
	int runs = argc > 2 ? atoi(argv[2]) : FAILOVER_RUNS;

	if (strcmp(measurement, "failover") == 0) {
		measure_failover(runs);
	} else if (strcmp(measurement, "reads") == 0) {
		measure_reads();
	} else if (strcmp(measurement, "load") == 0) {
		measure_load();
	} else {
		fprintf(stderr, "usage: measure failover [RUNS] | reads | load\n");
		return 2;
	}
	return failures > 0;
}
