/*
 * Measurement with the manual clock and the simulated members of pool_world.h; ./dev/measure pooler
 * prints it. Poolers run under the load of two deployments and through a fault, with and without
 * the ordering of callers by lateness and the forwarding to other proxies. The same seeds give the
 * same figures on every machine.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "pool_world.h"

#define MSEC USEC_PER_MSEC
#define SEC  USEC_PER_SEC
/*
 * Times since the start of a run: when the load begins to count, when the fault begins, and when
 * the run ends.
 */
#define WARM_UP	 (1 * SEC)
#define FAULT_AT (3 * SEC)
#define RUN_TIME (9 * SEC)
/* Time from a power loss or the kill of all processes to their restart. */
#define RESTART_DELAY (700 * MSEC)
/* Pause between two statements of a transaction. */
#define STATEMENT_PAUSE (30 * MSEC)
#define STEPS_MAX	4

/* --- the deployments --- */

typedef struct workload {
	const char *database; /* name of a database in the world; one for each kind of reads */
	double traffic_share;
	double write_share; /* share of writes among the statements outside transactions */
	double transaction_share;
	usec_t objective;
} workload_t;

typedef struct deployment {
	const char *name;
	size_t proxies;
	double rate; /* operations a second at the measured service */
	fake_db_config_t db;
	workload_t workloads[3];
} deployment_t;

/*
 * The rate is a third of a deployment's traffic, since the deployment has three services; the work
 * of a statement is the mean over the workloads.
 */
static const deployment_t deployments[] = {
	{.name = "Dakar",
	 .proxies = 12,
	 .rate = 150,
	 .db = {.service = WORLD_SERVICE,
		.members = 3,
		.slots = 2,
		.max_connections = 16,
		.service_time = 9 * MSEC,
		.receive_delay = 2 * MSEC,
		.lag = 60 * MSEC,
		.promote_delay = 1000 * MSEC,
		.connect_time = 12 * MSEC},
	 .workloads = {{"strict", 0.15, 0.35, 0.25, 100 * MSEC},
		       {"bounded", 0.15, 0, 0.10, 300 * MSEC},
		       {"session", 0.70, 0.12, 0.12, 200 * MSEC}}},
	{.name = "Wales",
	 .proxies = 7,
	 .rate = 150,
	 .db = {.service = WORLD_SERVICE,
		.members = 3,
		.slots = 5,
		.max_connections = 55,
		.service_time = 33 * MSEC,
		.receive_delay = 2 * MSEC,
		.lag = 8 * MSEC,
		.promote_delay = 1000 * MSEC,
		.connect_time = 12 * MSEC},
	 .workloads = {{"strict", 0.15, 0.35, 0.40, 200 * MSEC},
		       {"bounded", 0.15, 0, 0.10, 800 * MSEC},
		       {"session", 0.70, 0.12, 0.12, 400 * MSEC}}},
};

typedef enum { FAULT_NONE, FAULT_KILL, FAULT_POWER, FAULT_LAG, FAULT_CRASH, FAULT_COUNT } fault_t;

static const char *const fault_names[FAULT_COUNT] = {
	[FAULT_NONE] = "calm",
	[FAULT_KILL] = "all killed",
	[FAULT_POWER] = "power lost",
	[FAULT_LAG] = "replicas lag",
	[FAULT_CRASH] = "primary crashes",
};

/* --- operations --- */

typedef struct operation {
	world_caller_t *caller;
	const workload_t *workload;
	char texts[STEPS_MAX][32];
	size_t steps;
	size_t step;
	size_t replies; /* number of replies before the statement in progress */
	bool pending;
	usec_t next_at; /* earliest time of the next statement */
	usec_t sent_at;
	usec_t response_time; /* sum of the response times of the statements */
	bool ended;
} operation_t;

typedef enum {
	OPERATION_IN_TIME,
	OPERATION_LATE,
	OPERATION_REFUSED,
	OPERATION_UNKNOWN,
	OPERATION_NO_PROXY,
	OPERATION_OUTCOME_COUNT
} operation_outcome_t;

typedef struct run {
	pool_world_t *world;
	GRand *rand;
	GPtrArray *operations; /* operations in progress */
	size_t started;
	size_t outcomes[OPERATION_OUTCOME_COUNT];
} run_t;

static usec_t run_now(const run_t *run)
{
	return clock_now(&run->world->clock.base);
}

static bool random_chance(run_t *run, double probability)
{
	return g_rand_double(run->rand) < probability;
}

static void choose_steps(run_t *run, operation_t *operation)
{
	static const char *const transaction[STEPS_MAX] = {"BEGIN", "READ i%d", "WRITE i%d a",
							   "COMMIT"};
	const workload_t *workload = operation->workload;
	int item = g_rand_int_range(run->rand, 0, 2000);
	bool is_write = random_chance(run, workload->write_share);

	operation->steps = random_chance(run, workload->transaction_share) ? STEPS_MAX : 1;
	for (size_t i = 0; i < operation->steps; i++) {
		const char *format = operation->steps == STEPS_MAX ? transaction[i]
				     : is_write			   ? "WRITE i%d a"
								   : "READ i%d";

		g_snprintf(operation->texts[i], sizeof(operation->texts[i]), format, item);
	}
}

static const workload_t *pick_workload(run_t *run, const deployment_t *deployment)
{
	double at = g_rand_double(run->rand);

	for (size_t i = 0; i < G_N_ELEMENTS(deployment->workloads); i++) {
		at -= deployment->workloads[i].traffic_share;
		if (at < 0)
			return &deployment->workloads[i];
	}
	return &deployment->workloads[0];
}

static void start_operation(run_t *run, const deployment_t *deployment)
{
	size_t node = (size_t)g_rand_int_range(run->rand, 0, (gint32)deployment->proxies);
	operation_t *operation;

	run->started++;
	if (run->world->nodes[node].pooler == NULL) {
		run->outcomes[OPERATION_NO_PROXY]++;
		return;
	}
	operation = g_new0(operation_t, 1);
	operation->workload = pick_workload(run, deployment);
	operation->caller = world_open_session_on(run->world, node, operation->workload->database);
	operation->next_at = run_now(run);
	choose_steps(run, operation);
	g_ptr_array_add(run->operations, operation);
}

static operation_outcome_t operation_outcome(const operation_t *operation)
{
	const char *reply = operation->caller->reply;

	if (operation->caller->caller == NULL || g_str_has_prefix(reply, "ERR INDOUBT") ||
	    g_str_has_prefix(reply, "ERR TIMEOUT"))
		return OPERATION_UNKNOWN;
	if (g_str_has_prefix(reply, "ERR"))
		return OPERATION_REFUSED;
	return operation->response_time <= operation->workload->objective ? OPERATION_IN_TIME
									  : OPERATION_LATE;
}

static void end_operation(run_t *run, operation_t *operation)
{
	operation->ended = true;
	run->outcomes[operation_outcome(operation)]++;
	world_leave(operation->caller);
}

/* Applies the reply of a statement. Returns true if the operation is over. */
static bool apply_reply(operation_t *operation, usec_t now)
{
	operation->pending = false;
	operation->response_time += now - operation->sent_at;
	operation->next_at = now + STATEMENT_PAUSE;
	operation->step++;
	return g_str_has_prefix(operation->caller->reply, "ERR") ||
	       operation->step == operation->steps;
}

static void advance_operation(run_t *run, operation_t *operation)
{
	usec_t now = run_now(run);
	bool replied = operation->pending && operation->caller->reply_count != operation->replies;

	if (operation->caller->caller == NULL || (replied && apply_reply(operation, now))) {
		end_operation(run, operation);
		return;
	}
	if (operation->pending || now < operation->next_at)
		return;
	operation->replies = operation->caller->reply_count;
	operation->sent_at = now;
	operation->pending = true;
	world_send(operation->caller, operation->texts[operation->step]);
}

static void advance_operations(run_t *run)
{
	for (guint i = run->operations->len; i > 0; i--) {
		operation_t *operation = g_ptr_array_index(run->operations, i - 1);

		advance_operation(run, operation);
		if (operation->ended)
			g_ptr_array_remove_index_fast(run->operations, i - 1);
	}
}

/* --- faults --- */

static void call_for_all_nodes(pool_world_t *world,
			       void (*action)(pool_world_t *world, size_t node))
{
	for (size_t i = 0; i < world->node_count; i++)
		action(world, i);
}

static void inject_fault(pool_world_t *world, fault_t fault)
{
	if (fault == FAULT_KILL)
		call_for_all_nodes(world, world_kill);
	else if (fault == FAULT_POWER)
		call_for_all_nodes(world, world_power_off);
	else if (fault == FAULT_LAG)
		world->db->config.lag = RUN_TIME;
	else if (fault == FAULT_CRASH)
		world_crash_member(world, 0);
}

static void restart_nodes(pool_world_t *world, fault_t fault)
{
	if (fault == FAULT_KILL || fault == FAULT_POWER)
		call_for_all_nodes(world, world_start_proxy);
}

/* --- runs --- */

static size_t count_opened_connections(const pool_world_t *world)
{
	size_t sum = 0;

	for (size_t i = 0; i < world->db->config.members; i++)
		sum += world->db->members[i].sessions_opened;
	return sum;
}

static void run_load(run_t *run, const deployment_t *deployment, fault_t fault)
{
	usec_t start = run_now(run);
	double due = 0;

	for (usec_t at = 0; at < RUN_TIME; at += MSEC) {
		if (at == WARM_UP) {
			run->started = 0;
			memset(run->outcomes, 0, sizeof(run->outcomes));
		}
		if (at == FAULT_AT)
			inject_fault(run->world, fault);
		if (at == FAULT_AT + RESTART_DELAY)
			restart_nodes(run->world, fault);
		due += deployment->rate / 1000;
		while (due >= 1) {
			start_operation(run, deployment);
			due--;
		}
		world_run(run->world, start + at + MSEC - run_now(run));
		advance_operations(run);
	}
}

static void measure_case(const deployment_t *deployment, fault_t fault, bool baseline)
{
	run_t run = {
		.world = world_create(deployment->proxies, &deployment->db),
		.rand = g_rand_new_with_seed(1),
		.operations = g_ptr_array_new_with_free_func(g_free),
	};
	size_t before;

	run.world->baseline = baseline;
	call_for_all_nodes(run.world, world_kill);
	call_for_all_nodes(run.world, world_start_proxy);
	world_wait_until_ready(run.world);
	before = count_opened_connections(run.world);
	run_load(&run, deployment, fault);
	printf("%-6s %-16s %-6s", deployment->name, fault_names[fault], baseline ? "plain" : "");
	for (size_t i = 0; i < OPERATION_OUTCOME_COUNT; i++)
		printf(" %9.1f", 100.0 * (double)run.outcomes[i] / (double)run.started);
	printf(" %9zu\n", count_opened_connections(run.world) - before);
	g_ptr_array_free(run.operations, TRUE);
	g_rand_free(run.rand);
	world_destroy(run.world);
}

int main(void)
{
	/* Discards the poolers' log, which goes to standard error. */
	if (freopen("/dev/null", "w", stderr) == NULL)
		return 1;
	printf("Percent of operations in 8 s, the fault after 2 s. plain: in order of arrival, no\n"
	       "statement forwarded to another proxy. conns: connections opened.\n\n");
	printf("%-6s %-16s %-6s %9s %9s %9s %9s %9s %9s\n", "site", "fault", "", "in aim", "late",
	       "refused", "in doubt", "no proxy", "conns");
	for (size_t d = 0; d < G_N_ELEMENTS(deployments); d++) {
		for (fault_t fault = 0; fault < FAULT_COUNT; fault++) {
			measure_case(&deployments[d], fault, false);
			measure_case(&deployments[d], fault, true);
		}
	}
	return 0;
}
