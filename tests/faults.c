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
	char *last; /* name of its last request */
	char *token;
	char *seen[KEYS]; /* last value it has written or read, by key */
} client_t;

typedef struct play {
	world_t *world;
	GRand *rand;
	client_t clients[SESSIONS];
	GPtrArray *names;
	int next_value;
	bool alive[PROXIES];
} play_t;

static int below(play_t *play, int limit)
{
	return g_rand_int_range(play->rand, 0, limit);
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

/* Take up what the client's last request brought. */
static void learn(play_t *play, client_t *client)
{
	const result_t *answer =
		client->last != NULL ? world_result(play->world, client->last) : NULL;
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

static int living_proxy(play_t *play)
{
	int proxy = below(play, PROXIES);

	while (!play->alive[proxy])
		proxy = (proxy + 1) % PROXIES;
	return proxy;
}

static void ask(play_t *play, client_t *client)
{
	static const char *const classes[] = {"assign", "assignment", "status"};
	const char *class_name = classes[below(play, 3)];
	bool is_write = class_name == classes[0];
	int key = below(play, KEYS);
	int number = ++play->next_value;
	char *name = g_strdup_printf("r%05d", number);
	char *value = g_strdup_printf("v%05d", number);
	world_request_t request = {
		.name = name,
		.proxy = living_proxy(play),
		.class_name = class_name,
		.key = keys[key],
		.value = is_write ? value : NULL,
		/* Some writes have no id and must not be repeated by anybody. */
		.request_id = is_write && below(play, 4) != 0 ? name : NULL,
		.token = client->token,
		.deadline = DEADLINE,
		.floor = is_write ? NULL : client->seen[key],
	};

	world_request(play->world, &request);
	client->last = name;
	g_ptr_array_add(play->names, g_strdup(name));
	g_free(value);
}

static void lose_proxy(play_t *play)
{
	int proxy = living_proxy(play);
	int left = 0;

	for (int i = 0; i < PROXIES; i++)
		left += play->alive[i];
	if (left < PROXIES)
		return; /* one at most: the callers need somebody to ask */
	play->alive[proxy] = false;
	if (below(play, 2) == 0)
		world_kill(play->world, proxy);
	else
		world_vanish(play->world, proxy);
}

static void inject(play_t *play)
{
	int member = world_node("m0") + below(play, MEMBERS);
	int proxy = below(play, PROXIES);
	world_t *world = play->world;

	switch (below(play, 10)) {
	case 0:
		world_kill(world, member);
		break;
	case 1:
		world_vanish(world, member);
		break;
	case 2:
		world_freeze(world, member, (usec_t)(200 + below(play, 3000)) * USEC_PER_MSEC);
		break;
	case 3:
		world_freeze(world, proxy, (usec_t)(200 + below(play, 4000)) * USEC_PER_MSEC);
		break;
	case 4:
		world_cut(world, member, world_node("m0") + below(play, MEMBERS), true);
		break;
	case 5:
		world_cut(world, proxy, member, true);
		break;
	case 6:
		world_cut(world, proxy, below(play, PROXIES), true);
		break;
	case 7:
		world_vanish(world, WORLD_STORE);
		break;
	case 8:
		world_set_lag(world, (usec_t)below(play, 800) * USEC_PER_MSEC);
		break;
	default:
		lose_proxy(play);
		break;
	}
}

static void step(play_t *play, int number)
{
	for (int i = 0; i < SESSIONS; i++) {
		client_t *client = &play->clients[i];

		learn(play, client);
		if (client->last == NULL)
			ask(play, client);
		else if (world_result(play->world, client->last)->answered ||
			 world_now(play->world) >
				 world_result(play->world, client->last)->requested_at +
					 2 * DEADLINE)
			g_clear_pointer(&client->last, g_free);
	}
	if (number % FAULT_EVERY == FAULT_EVERY - 1)
		inject(play);
	else if (number % FAULT_EVERY == FAULT_EVERY / 2 && below(play, 2) == 0)
		world_heal(play->world);
	world_run(play->world, world_now(play->world) + STEP_TIME);
}

static void count(play_t *play, faults_result_t *result)
{
	for (guint i = 0; i < play->names->len; i++) {
		const result_t *answer = world_result(play->world, play->names->pdata[i]);

		result->requests++;
		if (!answer->answered)
			continue;
		result->answered++;
		result->done += answer->outcome == OUTCOME_DONE;
		result->not_run += answer->outcome == OUTCOME_NOT_RUN;
		result->unknown += answer->outcome == OUTCOME_UNKNOWN;
	}
}

static void free_play(play_t *play)
{
	for (int i = 0; i < SESSIONS; i++) {
		g_free(play->clients[i].last);
		g_free(play->clients[i].token);
		for (int k = 0; k < KEYS; k++)
			g_free(play->clients[i].seen[k]);
	}
	g_ptr_array_unref(play->names);
	g_rand_free(play->rand);
	world_destroy(play->world);
}

faults_result_t faults_play(uint64_t seed, char **timeline)
{
	world_config_t config = world_config_default();
	faults_result_t result = {0};
	play_t play = {.rand = g_rand_new_with_seed((guint32)seed)};

	config.proxies = PROXIES;
	config.seed = seed;
	config.quiet = timeline == NULL;
	play.world = world_create(&config);
	play.names = g_ptr_array_new_with_free_func(g_free);
	for (int i = 0; i < PROXIES; i++)
		play.alive[i] = true;
	world_run(play.world, START);
	for (int i = 0; i < STEPS; i++)
		step(&play, i);
	world_heal(play.world);
	world_run(play.world, world_now(play.world) + SETTLE_TIME);
	count(&play, &result);
	result.violations = g_strdup(world_violations(play.world));
	if (timeline != NULL)
		*timeline = g_strdup(world_timeline(play.world));
	free_play(&play);
	return result;
}
