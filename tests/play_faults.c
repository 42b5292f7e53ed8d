/* The faults of a play: of members, proxies and the store. */
#include <stdio.h>
#include <string.h>

#include "play.h"

/* Average time between two faults, in ms. */
#define FAULT_EVERY 600
/* Average time until some more requests of a member fail, in ms. */
#define FAILING_EVERY 100

static void fault_member(play_t *play)
{
	size_t at = (size_t)g_rand_int_range(play->rand, 0, 3);
	fake_member_t *member = &play->world->db->members[at];

	if (play->member_repair_at[at] != 0)
		return;
	play->member_repair_at[at] = play_now(play) + play_random_time(play, 500 * MSEC, 5 * SEC);
	switch (g_rand_int_range(play->rand, 0, 5)) {
	case 0:
	case 1:
		world_crash_member(play->world, at);
		break;
	case 2:
		member->isolated = true;
		break;
	case 3:
		/* Chosen by the seed and not at random, so that earlier seeds play as before. */
		if (play->seed % 7 == 3)
			member->reset_answers = (unsigned)g_rand_int_range(play->rand, 1, 4);
		else
			member->lose_answers = (unsigned)g_rand_int_range(play->rand, 1, 4);
		break;
	default:
		member->leaving = true;
	}
}

static void shut_down(play_t *play, size_t at)
{
	play->shutting_down[at] = true;
	pooler_drain(play->world->nodes[at].pooler);
}

/* Ends a process that has reported itself drained; it is restarted after a while. */
static void end_process(play_t *play, size_t at)
{
	play->shutting_down[at] = false;
	play->node_repair_at[at] = play_now(play) + play_random_time(play, 100 * MSEC, 2 * SEC);
	world_kill(play->world, at);
}

static void fault_node(play_t *play)
{
	size_t at = (size_t)g_rand_int_range(play->rand, 0, (gint32)play->nodes);
	world_node_t *node = &play->world->nodes[at];

	if (play->node_repair_at[at] != 0)
		return;
	play->node_repair_at[at] = play_now(play) + play_random_time(play, 300 * MSEC, 6 * SEC);
	switch (g_rand_int_range(play->rand, 0, 5)) {
	case 0:
		if (play_has_shutdowns(play))
			shut_down(play, at);
		else
			world_kill(play->world, at);
		break;
	case 1:
		world_freeze(play->world, at);
		break;
	case 2:
		node->kv.unreachable = true;
		break;
	case 3:
		node->kv.unreachable = true;
		node->cut_from_peers = true;
		break;
	default:
		world_set_members_unreachable(play->world, at, true);
	}
}

static void fault_store(play_t *play)
{
	fake_kv_t *store = play->world->kv;

	if (play->store_repair_at != 0)
		return;
	play->store_repair_at = play_now(play) + play_random_time(play, 500 * MSEC, 6 * SEC);
	switch (g_rand_int_range(play->rand, 0, 5)) {
	case 0:
		store->down = true;
		break;
	case 1:
		store->answer_delay = 240 * MSEC;
		break;
	case 2:
		store->lose_commit_answers = 3;
		break;
	case 3:
		fake_kv_delete_key(store, "fleet/holder");
		break;
	default:
		fake_kv_compact(store);
	}
}

/* The requests that fail, and how. */
static const char *const failing_words[] = {"RESET", "SET",   "PREPARE", "BEGIN", "ROLLBACK",
					    "READ",  "WRITE", "EXEC",	 "COMMIT"};
static const fake_fault_t failing_ways[] = {
	{.code = "FAILED"}, {.code = "TIMEOUT"},  {.code = "BUSY"},
	{.lost = true},	    {.delay = 20 * MSEC}, {.delay = 400 * MSEC},
};

void play_step_requests(play_t *play, bool end)
{
	GRand *rand = play->request_rand;
	fake_member_t *members = play->world->db->members;
	fake_fault_t *fault;

	for (size_t i = 0; end && i < FAKE_MEMBERS_MAX; i++)
		memset(members[i].faults, 0, sizeof(members[i].faults));
	if (end || rand == NULL ||
	    g_rand_int_range(rand, 0, (gint32)(FAILING_EVERY * MSEC / STEP)) != 0)
		return;
	fault = &members[g_rand_int_range(rand, 0, 3)]
			 .faults[g_rand_int_range(rand, 0, FAKE_FAULTS_MAX)];
	*fault = failing_ways[g_rand_int_range(rand, 0, G_N_ELEMENTS(failing_ways))];
	fault->word = failing_words[g_rand_int_range(rand, 0, G_N_ELEMENTS(failing_words))];
	fault->count = (unsigned)g_rand_int_range(rand, 1, 9);
}

static usec_t store_time(play_t *play, usec_t min, usec_t max)
{
	return play_now(play) +
	       (usec_t)g_rand_double_range(play->store_rand, (double)min, (double)max);
}

/*
 * Backs the store up at random times, and restores it from the last backup after a short outage.
 * restores is false at the end of the play, when no new restore may begin.
 */
void play_step_store(play_t *play, bool restores)
{
	fake_kv_t *store = play->world->kv;
	usec_t now = play_now(play);

	if (play->store_rand == NULL)
		return;
	if (now >= play->next_backup && play->restore_at == 0) {
		play->next_backup = store_time(play, 300 * MSEC, 4 * SEC);
		fake_kv_make_backup(store);
	}
	if (restores && now >= play->next_restore && play->restore_at == 0) {
		play->restore_at = store_time(play, 50 * MSEC, 1500 * MSEC);
		play->next_restore = play->restore_at + store_time(play, 2 * SEC, 10 * SEC) - now;
		store->down = true;
	}
	if (play->restore_at != 0 && now >= play->restore_at) {
		play->restore_at = 0;
		store->down = play->store_repair_at != 0;
		fake_kv_restore_backup(store);
	}
}

void play_end_faults(play_t *play, bool all)
{
	pool_world_t *world = play->world;
	usec_t now = play_now(play);

	for (size_t i = 0; i < 3; i++) {
		if (play->member_repair_at[i] == 0 || (!all && now < play->member_repair_at[i]))
			continue;
		play->member_repair_at[i] = 0;
		world->db->members[i].isolated = false;
		world->db->members[i].leaving = false;
		if (world->db->members[i].stopped)
			fake_member_start(&world->db->members[i]);
	}
	for (size_t i = 0; i < play->nodes; i++) {
		if (play->shutting_down[i] && world->nodes[i].drained)
			end_process(play, i);
		if (play->node_repair_at[i] == 0 || play->shutting_down[i] ||
		    (!all && now < play->node_repair_at[i]))
			continue;
		play->node_repair_at[i] = 0;
		world->nodes[i].kv.unreachable = false;
		world->nodes[i].cut_from_peers = false;
		world_set_members_unreachable(world, i, false);
		world_thaw(world, i);
		if (world->nodes[i].pooler == NULL)
			world_start_proxy(world, i);
	}
	if (play->store_repair_at != 0 && (all || now >= play->store_repair_at)) {
		play->store_repair_at = 0;
		world->kv->down = false;
		world->kv->answer_delay = 4 * MSEC;
		world->kv->lose_commit_answers = 0;
	}
}

void play_maybe_fault(play_t *play)
{
	play_end_faults(play, false);
	if (!play_chance(play, (int)(FAULT_EVERY * MSEC / STEP)))
		return;
	switch (g_rand_int_range(play->rand, 0, 5)) {
	case 0:
		fault_store(play);
		break;
	case 1:
	case 2:
		fault_member(play);
		break;
	default:
		fault_node(play);
	}
}
