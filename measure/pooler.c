/*
 * What ./dev/measure pooler prints: poolers in paused time under the shape of load of the users'
 * platform, through its faults, with and without the order by lateness and the help of other
 * proxies. The same seeds give the same figures on every machine.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "pool_world.h"

#define MSEC USEC_PER_MSEC
#define SEC  USEC_PER_SEC
/* Until the load begins to count, until the fault, and the whole. */
#define WARM_UP	 (1 * SEC)
#define FAULT_AT (3 * SEC)
#define LENGTH	 (9 * SEC)
/* How long machines without power are away, and killed processes. */
#define DOWN_TIME (700 * MSEC)
/* Between the statements of a transaction. */
#define PAUSE (30 * MSEC)
#define STEPS 4

/* --- the deployments --- */

typedef struct kind {
	const char *database; /* of the world, by its kind of reads */
	double share;
	double writes; /* of the lone statements */
	double transactions;
	usec_t objective;
} kind_t;

typedef struct deployment {
	const char *name;
	size_t proxies;
	double rate; /* operations a second at one service */
	fake_db_config_t db;
	kind_t kinds[3];
} deployment_t;

/* A third of each site's traffic, since it has three services; the work is the mean over kinds. */
static const deployment_t deployments[] = {
	{.name = "Dakar",
	 .proxies = 12,
	 .rate = 150,
	 .db = {.service = WORLD_SERVICE,
		.members = 3,
		.slots = 2,
		.max_connections = 16,
		.work = 9 * MSEC,
		.receive = 2 * MSEC,
		.lag = 60 * MSEC,
		.promote = 1000 * MSEC,
		.open = 12 * MSEC},
	 .kinds = {{"strict", 0.15, 0.35, 0.25, 100 * MSEC},
		   {"bounded", 0.15, 0, 0.10, 300 * MSEC},
		   {"session", 0.70, 0.12, 0.12, 200 * MSEC}}},
	{.name = "Wales",
	 .proxies = 7,
	 .rate = 150,
	 .db = {.service = WORLD_SERVICE,
		.members = 3,
		.slots = 5,
		.max_connections = 55,
		.work = 33 * MSEC,
		.receive = 2 * MSEC,
		.lag = 8 * MSEC,
		.promote = 1000 * MSEC,
		.open = 12 * MSEC},
	 .kinds = {{"strict", 0.15, 0.35, 0.40, 200 * MSEC},
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
	const kind_t *kind;
	char texts[STEPS][32];
	size_t steps;
	size_t step;
	size_t replies; /* before the statement in progress */
	bool asked;
	usec_t next; /* statement */
	usec_t sent_at;
	usec_t took; /* without the pauses */
	bool ended;
} operation_t;

typedef enum { IN_AIM, LATE, REFUSED, UNSURE, NO_PROXY, OUTCOME_COUNT } outcome_kind_t;

typedef struct run {
	pool_world_t *world;
	GRand *rand;
	GPtrArray *operations; /* open ones */
	size_t asked;
	size_t outcomes[OUTCOME_COUNT];
} run_t;

static usec_t now_in(const run_t *run)
{
	return clock_now(&run->world->clock.base);
}

static bool chance(run_t *run, double part)
{
	return g_rand_double(run->rand) < part;
}

static void plan_steps(run_t *run, operation_t *operation)
{
	static const char *const transaction[STEPS] = {"BEGIN", "READ i%d", "WRITE i%d a",
						       "COMMIT"};
	const kind_t *kind = operation->kind;
	int item = g_rand_int_range(run->rand, 0, 2000);
	bool writes = chance(run, kind->writes);

	operation->steps = chance(run, kind->transactions) ? STEPS : 1;
	for (size_t i = 0; i < operation->steps; i++) {
		const char *format = operation->steps == STEPS ? transaction[i]
				     : writes		       ? "WRITE i%d a"
							       : "READ i%d";

		g_snprintf(operation->texts[i], sizeof(operation->texts[i]), format, item);
	}
}

static const kind_t *pick_kind(run_t *run, const deployment_t *deployment)
{
	double at = g_rand_double(run->rand);

	for (size_t i = 0; i < G_N_ELEMENTS(deployment->kinds); i++) {
		at -= deployment->kinds[i].share;
		if (at < 0)
			return &deployment->kinds[i];
	}
	return &deployment->kinds[0];
}

static void begin(run_t *run, const deployment_t *deployment)
{
	size_t node = (size_t)g_rand_int_range(run->rand, 0, (gint32)deployment->proxies);
	operation_t *operation;

	run->asked++;
	if (run->world->nodes[node].pooler == NULL) {
		run->outcomes[NO_PROXY]++;
		return;
	}
	operation = g_new0(operation_t, 1);
	operation->kind = pick_kind(run, deployment);
	operation->caller = world_open_session_on(run->world, node, operation->kind->database);
	operation->next = now_in(run);
	plan_steps(run, operation);
	g_ptr_array_add(run->operations, operation);
}

static outcome_kind_t judge(const operation_t *operation)
{
	const char *reply = operation->caller->reply;

	if (operation->caller->caller == NULL || g_str_has_prefix(reply, "ERR INDOUBT") ||
	    g_str_has_prefix(reply, "ERR TIMEOUT"))
		return UNSURE;
	if (g_str_has_prefix(reply, "ERR"))
		return REFUSED;
	return operation->took <= operation->kind->objective ? IN_AIM : LATE;
}

static void end(run_t *run, operation_t *operation)
{
	operation->ended = true;
	run->outcomes[judge(operation)]++;
	world_leave(operation->caller);
}

/* Takes a reply that has come; true if the operation is over. */
static bool take_reply(operation_t *operation, usec_t now)
{
	operation->asked = false;
	operation->took += now - operation->sent_at;
	operation->next = now + PAUSE;
	operation->step++;
	return g_str_has_prefix(operation->caller->reply, "ERR") ||
	       operation->step == operation->steps;
}

static void go_on(run_t *run, operation_t *operation)
{
	usec_t now = now_in(run);
	bool replied = operation->asked && operation->caller->reply_count != operation->replies;

	if (operation->caller->caller == NULL || (replied && take_reply(operation, now))) {
		end(run, operation);
		return;
	}
	if (operation->asked || now < operation->next)
		return;
	operation->replies = operation->caller->reply_count;
	operation->sent_at = now;
	operation->asked = true;
	world_send(operation->caller, operation->texts[operation->step]);
}

static void go_on_all(run_t *run)
{
	for (guint i = run->operations->len; i > 0; i--) {
		operation_t *operation = g_ptr_array_index(run->operations, i - 1);

		go_on(run, operation);
		if (operation->ended)
			g_ptr_array_remove_index_fast(run->operations, i - 1);
	}
}

/* --- faults --- */

static void stop_all(pool_world_t *world, void (*stop)(pool_world_t *world, size_t node))
{
	for (size_t i = 0; i < world->node_count; i++)
		stop(world, i);
}

static void strike(pool_world_t *world, fault_t fault)
{
	if (fault == FAULT_KILL)
		stop_all(world, world_kill);
	else if (fault == FAULT_POWER)
		stop_all(world, world_power_off);
	else if (fault == FAULT_LAG)
		world->db->config.lag = LENGTH;
	else if (fault == FAULT_CRASH)
		world_crash_member(world, 0);
}

static void restart(pool_world_t *world, fault_t fault)
{
	if (fault == FAULT_KILL || fault == FAULT_POWER)
		stop_all(world, world_start_proxy);
}

/* --- runs --- */

static size_t opened(const pool_world_t *world)
{
	size_t sum = 0;

	for (size_t i = 0; i < world->db->config.members; i++)
		sum += world->db->members[i].opened;
	return sum;
}

static void play(run_t *run, const deployment_t *deployment, fault_t fault)
{
	usec_t start = now_in(run);
	double due = 0;

	for (usec_t at = 0; at < LENGTH; at += MSEC) {
		if (at == WARM_UP) {
			run->asked = 0;
			memset(run->outcomes, 0, sizeof(run->outcomes));
		}
		if (at == FAULT_AT)
			strike(run->world, fault);
		if (at == FAULT_AT + DOWN_TIME)
			restart(run->world, fault);
		due += deployment->rate / 1000;
		while (due >= 1) {
			begin(run, deployment);
			due--;
		}
		world_run(run->world, start + at + MSEC - now_in(run));
		go_on_all(run);
	}
}

static void measure(const deployment_t *deployment, fault_t fault, bool plain)
{
	run_t run = {
		.world = world_create(deployment->proxies, &deployment->db),
		.rand = g_rand_new_with_seed(1),
		.operations = g_ptr_array_new_with_free_func(g_free),
	};
	size_t before;

	run.world->baseline = plain;
	stop_all(run.world, world_kill);
	stop_all(run.world, world_start_proxy);
	world_wait_until_ready(run.world);
	before = opened(run.world);
	play(&run, deployment, fault);
	printf("%-6s %-16s %-6s", deployment->name, fault_names[fault], plain ? "plain" : "");
	for (size_t i = 0; i < OUTCOME_COUNT; i++)
		printf(" %9.1f", 100.0 * (double)run.outcomes[i] / (double)run.asked);
	printf(" %9zu\n", opened(run.world) - before);
	g_ptr_array_free(run.operations, TRUE);
	g_rand_free(run.rand);
	world_destroy(run.world);
}

int main(void)
{
	/* The poolers' own log. */
	if (freopen("/dev/null", "w", stderr) == NULL)
		return 1;
	printf("Percent of operations in 8 s, the fault after 2 s. plain: in order of arrival, no\n"
	       "statement handed to another proxy. conns: connections made.\n\n");
	printf("%-6s %-16s %-6s %9s %9s %9s %9s %9s %9s\n", "site", "fault", "", "in aim", "late",
	       "refused", "in doubt", "no proxy", "conns");
	for (size_t d = 0; d < G_N_ELEMENTS(deployments); d++) {
		for (fault_t fault = 0; fault < FAULT_COUNT; fault++) {
			measure(&deployments[d], fault, false);
			measure(&deployments[d], fault, true);
		}
	}
	return 0;
}
