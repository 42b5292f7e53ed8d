#include "faults.h"

#include <stdlib.h>

#define PROXIES	    3
#define MEMBERS	    3
#define SESSIONS    4
#define KEYS	    3
#define STEPS	    400
#define STEP_TIME   (25 * USEC_PER_MSEC)
#define FAULT_EVERY 40 /* steps */
#define SETTLE_TIME (15 * USEC_PER_SEC)
#define DEADLINE    (3 * USEC_PER_SEC)
#define START	    USEC_PER_SEC

typedef struct client {
	char *last; /* name of the request in flight, NULL if none */
	char *token;
	char *seen[KEYS]; /* last value that the client has written or read, by key */
} client_t;

typedef struct run {
	world_t *world;
	GRand *rand;
	client_t clients[SESSIONS];
	GPtrArray *names;
	int next_value;
	bool alive[PROXIES];
} faults_run_t;

static int random_below(faults_run_t *run, int limit)
{
	return g_rand_int_range(run->rand, 0, limit);
}

static const char *const keys[KEYS] = {"job-1", "job-2", "job-3"};

static int key_index(const char *key)
{
	for (int i = 0; i < KEYS; i++) {
		if (g_strcmp0(keys[i], key) == 0)
			return i;
	}
	return 0;
}

/* Update the client's state from the answer to its last request. */
static void apply_result(faults_run_t *run, client_t *client)
{
	const result_t *answer =
		client->last != NULL ? world_result(run->world, client->last) : NULL;
	const char *value;
	char **seen;

	if (answer == NULL || !answer->answered || answer->outcome != OUTCOME_DONE)
		return;
	g_free(client->token);
	client->token = g_strdup(answer->token);
	value = answer->written_value != NULL ? answer->written_value : answer->value;
	seen = &client->seen[key_index(answer->key)];
	if (value != NULL) {
		g_free(*seen);
		*seen = g_strdup(value);
	}
	g_clear_pointer(&client->last, g_free);
}

static int random_live_proxy(faults_run_t *run)
{
	int proxy = random_below(run, PROXIES);

	while (!run->alive[proxy])
		proxy = (proxy + 1) % PROXIES;
	return proxy;
}

static void send_random_request(faults_run_t *run, client_t *client)
{
	static const char *const classes[] = {"assign", "assignment", "status"};
	const char *class_name = classes[random_below(run, 3)];
	bool is_write = class_name == classes[0];
	int key = random_below(run, KEYS);
	int number = ++run->next_value;
	char *name = g_strdup_printf("r%05d", number);
	char *value = g_strdup_printf("v%05d", number);
	world_request_t request = {
		.name = name,
		.proxy = random_live_proxy(run),
		.class_name = class_name,
		.key = keys[key],
		.value = is_write ? value : NULL,
		/* Some writes have no request id: no proxy may run them twice. */
		.request_id = is_write && random_below(run, 4) != 0 ? name : NULL,
		.token = client->token,
		.deadline = DEADLINE,
		.floor = is_write ? NULL : client->seen[key],
	};

	world_request(run->world, &request);
	client->last = name;
	g_ptr_array_add(run->names, g_strdup(name));
	g_free(value);
}

static void stop_one_proxy(faults_run_t *run)
{
	int proxy = random_live_proxy(run);
	int alive_count = 0;

	for (int i = 0; i < PROXIES; i++)
		alive_count += run->alive[i];
	if (alive_count < PROXIES)
		return; /* at most one, so that callers still have proxies to send requests to */
	run->alive[proxy] = false;
	if (random_below(run, 2) == 0)
		world_kill(run->world, proxy);
	else
		world_vanish(run->world, proxy);
}

static void inject_random_fault(faults_run_t *run)
{
	int member = world_node("m0") + random_below(run, MEMBERS);
	int proxy = random_below(run, PROXIES);
	world_t *world = run->world;

	switch (random_below(run, 10)) {
	case 0:
		world_kill(world, member);
		break;
	case 1:
		world_vanish(world, member);
		break;
	case 2:
		world_freeze(world, member,
			     (usec_t)(200 + random_below(run, 3000)) * USEC_PER_MSEC);
		break;
	case 3:
		world_freeze(world, proxy, (usec_t)(200 + random_below(run, 4000)) * USEC_PER_MSEC);
		break;
	case 4:
		world_cut(world, member, world_node("m0") + random_below(run, MEMBERS), true);
		break;
	case 5:
		world_cut(world, proxy, member, true);
		break;
	case 6:
		world_cut(world, proxy, random_below(run, PROXIES), true);
		break;
	case 7:
		world_vanish(world, WORLD_STORE);
		break;
	case 8:
		world_set_lag(world, (usec_t)random_below(run, 800) * USEC_PER_MSEC);
		break;
	default:
		stop_one_proxy(run);
		break;
	}
}

static void run_step(faults_run_t *run, int number)
{
	for (int i = 0; i < SESSIONS; i++) {
		client_t *client = &run->clients[i];

		apply_result(run, client);
		if (client->last == NULL)
			send_random_request(run, client);
		else if (world_result(run->world, client->last)->answered ||
			 world_now(run->world) >
				 world_result(run->world, client->last)->requested_at +
					 2 * DEADLINE)
			g_clear_pointer(&client->last, g_free);
	}
	if (number % FAULT_EVERY == FAULT_EVERY - 1)
		inject_random_fault(run);
	else if (number % FAULT_EVERY == FAULT_EVERY / 2 && random_below(run, 2) == 0)
		world_heal(run->world);
	world_run(run->world, world_now(run->world) + STEP_TIME);
}

static void count_results(faults_run_t *run, faults_result_t *result)
{
	for (guint i = 0; i < run->names->len; i++) {
		const result_t *answer = world_result(run->world, run->names->pdata[i]);

		result->requests++;
		if (!answer->answered)
			continue;
		result->answered++;
		result->done += answer->outcome == OUTCOME_DONE;
		result->not_run += answer->outcome == OUTCOME_NOT_RUN;
		result->unknown += answer->outcome == OUTCOME_UNKNOWN;
	}
}

static void free_faults_run(faults_run_t *run)
{
	for (int i = 0; i < SESSIONS; i++) {
		g_free(run->clients[i].last);
		g_free(run->clients[i].token);
		for (int k = 0; k < KEYS; k++)
			g_free(run->clients[i].seen[k]);
	}
	g_ptr_array_unref(run->names);
	g_rand_free(run->rand);
	world_destroy(run->world);
}

faults_result_t faults_play(uint64_t seed, char **timeline)
{
	world_config_t config = world_config_default();
	faults_result_t result = {0};
	faults_run_t run = {.rand = g_rand_new_with_seed((guint32)seed)};

	config.proxies = PROXIES;
	config.seed = seed;
	config.quiet = timeline == NULL;
	run.world = world_create(&config);
	run.names = g_ptr_array_new_with_free_func(g_free);
	for (int i = 0; i < PROXIES; i++)
		run.alive[i] = true;
	world_run(run.world, START);
	for (int i = 0; i < STEPS; i++)
		run_step(&run, i);
	world_heal(run.world);
	world_run(run.world, world_now(run.world) + SETTLE_TIME);
	count_results(&run, &result);
	result.violations = g_strdup(world_violations(run.world));
	if (timeline != NULL)
		*timeline = g_strdup(world_timeline(run.world));
	free_faults_run(&run);
	return result;
}
