#include "play.h"

#include <stdio.h>
#include <string.h>

#include "permit.h"

const char *const play_databases[] = {"strict", "bounded", "session"};

usec_t play_now(const play_t *play)
{
	return clock_now(&play->world->clock.base);
}

bool play_chance(play_t *play, int one_in)
{
	return g_rand_int_range(play->rand, 0, one_in) == 0;
}

usec_t play_random_time(play_t *play, usec_t min, usec_t max)
{
	return min + (usec_t)g_rand_double_range(play->rand, 0, (double)(max - min));
}

double play_seconds(usec_t at)
{
	return at > 100 * SEC ? (double)(at - 100 * SEC) / 1e6 : 0;
}

const fake_run_t *play_find_last_run(const play_t *play, const char *id)
{
	const fake_db_t *db = play->world->db;

	for (size_t i = db->run_count; i > 0; i--) {
		if (strcmp(db->runs[i - 1].id, id) == 0)
			return &db->runs[i - 1];
	}
	return NULL;
}

void play_fail(const play_t *play, const char *what, const char *detail)
{
	g_error("seed %u at %.3f s: %s (%s)", play->seed, play_seconds(play_now(play)), what,
		detail);
}

void play_describe(const play_t *play)
{
	for (size_t i = 0; i < play->nodes; i++) {
		const pooler_t *pooler = play->world->nodes[i].pooler;
		const roster_group_t *group =
			pooler != NULL ? roster_find_group(pooler->sync.roster, WORLD_SERVICE)
				       : NULL;

		if (group == NULL)
			continue;
		fprintf(stderr,
			"p%zu: roster %ld, primary %s changing %d, confirmed %.3f, permitted to "
			"%.3f, store cut %d, peers cut %d, frozen %d, leading %d, leader %s fencing token %lu, registered %d registering %d reading %d\n",
			i, (long)pooler->sync.roster->revision, group->primary, group->changing,
			play_seconds(pooler->sync.confirmed_at),
			play_seconds(permit_expires_at(pooler)),
			play->world->nodes[i].kv.unreachable, play->world->nodes[i].cut_from_peers,
			play->world->nodes[i].frozen, pooler->sync.leading,
			pooler->sync.leader != NULL ? pooler->sync.leader : "none",
			(unsigned long)pooler->sync.fencing_token, permit_is_registered(pooler),
			pooler->sync.registering, pooler->sync.reading);
	}
	for (size_t i = 0; i < play->world->promote_count; i++) {
		const promote_call_t *call = &play->world->promotes[i];

		fprintf(stderr, "promote at %.3f: %s by %s fencing token %lu\n",
			play_seconds(call->called_at), call->member, call->leader,
			(unsigned long)call->fencing_token);
	}
	for (size_t i = 0; i < 3; i++) {
		const fake_member_t *member = &play->world->db->members[i];

		fprintf(stderr, "%s: primary %d, term %lu, entries %zu, stopped %d, deaf %d\n",
			member->id, member->primary, (unsigned long)member->term, member->log_len,
			member->stopped, member->isolated);
	}
}
