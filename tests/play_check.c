/* The checks of the guarantees of a play. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "play.h"

static ssize_t index_in_log(const fake_member_t *member, const char *id)
{
	for (size_t i = 0; i < member->log_len; i++) {
		if (strcmp(member->log[i].id, id) == 0)
			return (ssize_t)i;
	}
	return -1;
}

void play_check_acknowledged(play_t *play, write_record_t *write)
{
	const fake_member_t *leader = fake_db_primary(play->world->db);

	write->outcome = WRITE_ACKNOWLEDGED;
	write->acked_at = play_now(play);
	if (leader == NULL || index_in_log(leader, write->id) < 0) {
		play_describe(play);
		play_fail(play, "acknowledged, but the primary lacks it", write->id);
	}
}

/* Finds a write by its data, which are "v" and the index of the write. */
static const write_record_t *find_data(const play_t *play, const char *data)
{
	size_t index = data[0] == 'v' ? strtoul(data + 1, NULL, 10) : SIZE_MAX;

	return index < play->write_count ? &play->writes[index] : NULL;
}

static bool must_be_visible(const play_t *play, const client_t *client, const write_record_t *write)
{
	bool own = client->route == ROUTE_SESSION && write->session == client->caller;
	usec_t before = client->began;

	if (client->route != ROUTE_STRICT && !own)
		before -= play->world->max_age;
	return write->outcome == WRITE_ACKNOWLEDGED && write->acked_at < before;
}

/* Returns the index in the primary's log of the newest commit that the read must show, or -1. */
static ssize_t required_index(const play_t *play, const client_t *client,
			      const fake_member_t *leader)
{
	char item[16];

	snprintf(item, sizeof(item), "i%d", client->item);
	for (size_t i = leader->log_len; i > 0; i--) {
		const fake_entry_t *entry = &leader->log[i - 1];
		const write_record_t *write;

		if (strcmp(entry->item, item) != 0)
			continue;
		write = find_data(play, entry->data);
		if (write != NULL && must_be_visible(play, client, write))
			return (ssize_t)i - 1;
	}
	return -1;
}

void play_check_read(play_t *play, const client_t *client, const char *reply)
{
	const fake_member_t *leader = fake_db_primary(play->world->db);
	char data[32] = "";
	const write_record_t *shown;
	ssize_t index;
	ssize_t required;

	sscanf(reply, "ROW %31s", data);
	shown = find_data(play, data);
	index = shown != NULL ? index_in_log(leader, shown->id) : -1;
	/* The read shows a write that a later promotion has rolled back: valid when it ran. */
	if (shown != NULL && index < 0)
		return;
	required = required_index(play, client, leader);
	if (index < required) {
		const fake_run_t *run = play_find_last_run(play, client->caller->id);
		char detail[400];

		snprintf(detail, sizeof(detail),
			 "%s by p%zu on %s shows %s, entry %zd, expected %zd %s; sent %.3f s, run "
			 "%.3f s by %s after \"%s\"; promoted %.3f s",
			 client->caller->id, client->node, play_databases[client->route], data,
			 index, required, leader->log[required].id, play_seconds(client->began),
			 run != NULL ? play_seconds(run->at) : 0,
			 run != NULL ? run->member : "nobody", run != NULL ? run->min_position : "",
			 play_seconds(play->world->db->promoted_at));
		play_describe(play);
		play_fail(play, "stale read", detail);
	}
}

void play_check_sessions(play_t *play)
{
	const char *problem = NULL;

	if (play->request_rand != NULL)
		problem = session_check_runs(&play->check);
	if (problem != NULL)
		play_fail(play, "run in another session", problem);
}

void play_check_end(play_t *play)
{
	fake_member_t *leader = fake_db_primary(play->world->db);

	for (size_t i = 0; i < play->write_count; i++) {
		const write_record_t *write = &play->writes[i];
		size_t count = fake_member_count_commits(leader, write->id);

		if (count > 1)
			play_fail(play, "committed twice", write->id);
		if (write->outcome == WRITE_REFUSED && count != 0)
			play_fail(play, "refused with a promise, but committed", write->id);
	}
}
