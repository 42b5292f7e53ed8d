/*
 * Random faults on a fleet of poolers with a manual clock. The tests check these guarantees from
 * what callers and members see:
 *
 * - no write is committed twice, and no write is committed that was refused with a code which
 *   promises that it had no effect;
 * - no write is acknowledged that the primary lacks at that moment;
 * - no read misses a commit that its route promises to show;
 * - no member runs a statement for another customer than the owner of the key.
 *
 * FAULT_SEEDS=N plays N seeds from FAULT_FIRST (default 1), FAULT_SEED=S plays only S.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "permit.h"
#include "pool_world.h"

#define MSEC USEC_PER_MSEC
#define SEC  USEC_PER_SEC

#define DEFAULT_SEEDS 30
#define NODES	      5
/* Seeds from this one on play a fleet that is large enough to have hubs. */
#define LARGE_FIRST 1000000
#define LARGE_SEEDS 6
/* Seeds from this one on play a store that is restored from a backup some seconds old. */
#define RESTORED_FIRST 2000000
#define RESTORED_SEEDS 10
#define LARGE_NODES    20
#define CALLERS	       12
#define ITEMS	       6
#define PLAY_TIME      (20 * SEC)
#define STEP	       (2 * MSEC)
/* Average time between two faults, in ms. */
#define FAULT_EVERY 600
#define WRITES_MAX  20000
/* Tolerance for the transit of an answer from the proxy to its caller. */
#define FREEZE_SLACK (300 * MSEC)

typedef enum { ROUTE_STRICT, ROUTE_BOUNDED, ROUTE_SESSION } route_kind_t;

static const char *const databases[] = {"strict", "bounded", "session"};

typedef enum { WRITE_OPEN, WRITE_ACKNOWLEDGED, WRITE_REFUSED, WRITE_IN_DOUBT } write_outcome_t;

typedef struct write_record {
	char id[40]; /* of the statement that wrote */
	char data[32];
	int item;
	const world_caller_t *session;
	usec_t acked_at;
	write_outcome_t outcome;
} write_record_t;

typedef struct client {
	world_caller_t *caller;
	route_kind_t route;
	char key[WORLD_KEY_MAX];
	size_t node;
	usec_t next; /* when the next operation is sent */
	bool waiting;
	size_t replies;
	/* The operation in progress. */
	int step; /* of a transaction: 0 none, 1 begun, 2 written, 3 committing, 4 rolling back */
	int item;
	bool is_read;
	usec_t began;
	ssize_t write;	/* index of its write, -1: none */
	usec_t read_at; /* when the proxy reads the unread request; 0: there is none */
} client_t;

typedef struct play {
	pool_world_t *world;
	GRand *rand;
	GRand *store_rand; /* for backups and restores of the store; NULL: there are none */
	usec_t next_backup;
	usec_t next_restore;
	usec_t restore_at; /* end of the restore in progress; 0: there is none */
	client_t clients[CALLERS];
	write_record_t *writes;
	size_t write_count;
	usec_t member_repair_at[FAKE_MEMBERS_MAX];
	size_t nodes;
	usec_t node_repair_at[LARGE_NODES];
	bool shutting_down[LARGE_NODES]; /* a planned shutdown is in progress */
	usec_t store_repair_at;
	size_t served;
	uint32_t seed;
} play_t;

static usec_t now_of_play(const play_t *play)
{
	return clock_now(&play->world->clock.base);
}

static bool chance(play_t *play, int one_in)
{
	return g_rand_int_range(play->rand, 0, one_in) == 0;
}

static usec_t random_time(play_t *play, usec_t min, usec_t max)
{
	return min + (usec_t)g_rand_double_range(play->rand, 0, (double)(max - min));
}

/* Converts a time to seconds since the start of the simulation's clock. */
static double to_seconds(usec_t at)
{
	return at > 100 * SEC ? (double)(at - 100 * SEC) / 1e6 : 0;
}

static const fake_run_t *find_last_run(const play_t *play, const char *id)
{
	const fake_db_t *db = play->world->db;

	for (size_t i = db->run_count; i > 0; i--) {
		if (strcmp(db->runs[i - 1].id, id) == 0)
			return &db->runs[i - 1];
	}
	return NULL;
}

static void fail_play(const play_t *play, const char *what, const char *detail)
{
	g_error("seed %u at %.3f s: %s (%s)", play->seed, to_seconds(now_of_play(play)), what,
		detail);
}

/* Prints the state of proxies and members, to find the cause of a failed check. */
static void describe_nodes(const play_t *play)
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
			to_seconds(pooler->sync.confirmed_at),
			to_seconds(permit_expires_at(pooler)), play->world->nodes[i].kv.unreachable,
			play->world->nodes[i].cut_from_peers, play->world->nodes[i].frozen,
			pooler->sync.leading,
			pooler->sync.leader != NULL ? pooler->sync.leader : "none",
			(unsigned long)pooler->sync.fencing_token, permit_is_registered(pooler),
			pooler->sync.registering, pooler->sync.reading);
	}
	for (size_t i = 0; i < play->world->promote_count; i++) {
		const promote_call_t *call = &play->world->promotes[i];

		fprintf(stderr, "promote at %.3f: %s by %s fencing token %lu\n",
			to_seconds(call->called_at), call->member, call->leader,
			(unsigned long)call->fencing_token);
	}
	for (size_t i = 0; i < 3; i++) {
		const fake_member_t *member = &play->world->db->members[i];

		fprintf(stderr, "%s: primary %d, term %lu, entries %zu, stopped %d, deaf %d\n",
			member->id, member->primary, (unsigned long)member->term, member->log_len,
			member->stopped, member->isolated);
	}
}

/* --- checks of the guarantees --- */

static ssize_t index_in_log(const fake_member_t *member, const char *id)
{
	for (size_t i = 0; i < member->log_len; i++) {
		if (strcmp(member->log[i].id, id) == 0)
			return (ssize_t)i;
	}
	return -1;
}

static void check_acknowledged(play_t *play, write_record_t *write)
{
	const fake_member_t *leader = fake_db_primary(play->world->db);

	write->outcome = WRITE_ACKNOWLEDGED;
	write->acked_at = now_of_play(play);
	if (leader == NULL || index_in_log(leader, write->id) < 0) {
		describe_nodes(play);
		fail_play(play, "acknowledged, but the primary lacks it", write->id);
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

static void check_read(play_t *play, const client_t *client, const char *reply)
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
		const fake_run_t *run = find_last_run(play, client->caller->id);
		char detail[400];

		snprintf(detail, sizeof(detail),
			 "%s by p%zu on %s shows %s, entry %zd, expected %zd %s; sent %.3f s, run "
			 "%.3f s by %s after \"%s\"; promoted %.3f s",
			 client->caller->id, client->node, databases[client->route], data, index,
			 required, leader->log[required].id, to_seconds(client->began),
			 run != NULL ? to_seconds(run->at) : 0,
			 run != NULL ? run->member : "nobody", run != NULL ? run->min_position : "",
			 to_seconds(play->world->db->promoted_at));
		describe_nodes(play);
		fail_play(play, "stale read", detail);
	}
}

static void check_end(play_t *play)
{
	fake_member_t *leader = fake_db_primary(play->world->db);

	for (size_t i = 0; i < play->write_count; i++) {
		const write_record_t *write = &play->writes[i];
		size_t count = fake_member_count_commits(leader, write->id);

		if (count > 1)
			fail_play(play, "committed twice", write->id);
		if (write->outcome == WRITE_REFUSED && count != 0)
			fail_play(play, "refused with a promise, but committed", write->id);
	}
}

/* --- callers --- */

static void add_write(play_t *play, client_t *client)
{
	write_record_t *write = &play->writes[play->write_count];

	g_assert_cmpuint(play->write_count, <, WRITES_MAX);
	snprintf(write->data, sizeof(write->data), "v%zu", play->write_count);
	write->item = client->item;
	write->session = client->caller;
	client->write = (ssize_t)play->write_count++;
}

static void send_write(play_t *play, client_t *client)
{
	char text[64];

	add_write(play, client);
	snprintf(text, sizeof(text), "WRITE i%d %s", client->item,
		 play->writes[client->write].data);
	world_send(client->caller, text);
	snprintf(play->writes[client->write].id, 40, "%s", client->caller->id);
}

static void send_read(client_t *client)
{
	char text[32];

	client->is_read = true;
	snprintf(text, sizeof(text), "READ i%d", client->item);
	world_send(client->caller, text);
}

static void begin_operation(play_t *play, client_t *client)
{
	client->item = g_rand_int_range(play->rand, 0, ITEMS);
	client->began = now_of_play(play);
	client->write = -1;
	client->is_read = false;
	client->step = 0;
	client->replies = client->caller->reply_count;
	client->waiting = true;
	if (chance(play, 4)) {
		client->step = 1;
		world_send(client->caller, "BEGIN");
	} else if (chance(play, 3)) {
		send_write(play, client);
	} else {
		send_read(client);
	}
}

static bool promises_no_effect(const char *reply)
{
	static const char *const codes[] = {"BUSY",	"ABORTED",   "LAGGING",
					    "READONLY", "MISROUTED", "TOOMANY"};

	for (size_t i = 0; i < G_N_ELEMENTS(codes); i++) {
		if (strncmp(reply + strlen("ERR "), codes[i], strlen(codes[i])) == 0)
			return true;
	}
	return false;
}

static void set_outcome(play_t *play, client_t *client, const char *reply, bool final)
{
	write_record_t *write;

	if (client->write < 0)
		return;
	write = &play->writes[client->write];
	if (g_str_has_prefix(reply, "ERR "))
		write->outcome = promises_no_effect(reply) ? WRITE_REFUSED : WRITE_IN_DOUBT;
	else if (final)
		check_acknowledged(play, write);
}

static void end_operation(play_t *play, client_t *client)
{
	client->waiting = false;
	client->next = now_of_play(play) + random_time(play, 5 * MSEC, 60 * MSEC);
	play->served++;
}

/* Handles a reply inside a transaction: sends its next statement or ends the operation. */
static void continue_transaction(play_t *play, client_t *client, const char *reply)
{
	client->replies = client->caller->reply_count;
	if (g_str_has_prefix(reply, "ERR ")) {
		set_outcome(play, client, reply, false);
		if (world_reply_has_state(client->caller, "READY I")) {
			end_operation(play, client);
		} else {
			client->step = 4;
			world_send(client->caller, "ROLLBACK");
		}
		return;
	}
	switch (client->step++) {
	case 1:
		send_write(play, client);
		break;
	case 2:
		world_send(client->caller, "COMMIT");
		break;
	case 3:
		set_outcome(play, client, reply, true);
		end_operation(play, client);
		break;
	default:
		end_operation(play, client);
	}
}

static void on_reply(play_t *play, client_t *client)
{
	const char *reply = client->caller->reply;

	if (client->step != 0) {
		continue_transaction(play, client, reply);
		return;
	}
	if (client->is_read && !g_str_has_prefix(reply, "ERR "))
		check_read(play, client, reply);
	set_outcome(play, client, reply, true);
	end_operation(play, client);
}

/* Chosen by the seed and not at random, so that seeds of regressions play as before. */
static bool has_planned_shutdowns(const play_t *play)
{
	return play->seed % 4 == 3;
}

/*
 * In a planned shutdown a proxy must answer the requests of a session before it closes the session;
 * the answer may have come in the same step of the simulation.
 */
static void check_planned_end(play_t *play, client_t *client)
{
	bool answered = client->caller->reply_count != client->replies;

	if (client->read_at != 0)
		fail_play(play, "session closed with a statement unread", client->caller->id);
	if (client->waiting && !answered)
		fail_play(play, "session closed with a statement in progress", client->caller->id);
	if (client->waiting && (client->step == 0 || client->step == 3))
		on_reply(play, client);
}

/* The proxy has closed the session: the outcome of the client's open write is unknown. */
static void on_session_lost(play_t *play, client_t *client)
{
	if (play->shutting_down[client->node])
		check_planned_end(play, client);
	client->read_at = 0;
	if (client->waiting && client->write >= 0 &&
	    play->writes[client->write].outcome == WRITE_OPEN)
		play->writes[client->write].outcome = WRITE_IN_DOUBT;
	client->waiting = false;
	client->caller = NULL;
}

static void open_session(play_t *play, client_t *client)
{
	pool_world_t *world = play->world;

	client->node = (size_t)g_rand_int_range(play->rand, 0, (gint32)play->nodes);
	if (world->nodes[client->node].pooler == NULL || world->nodes[client->node].frozen)
		return;
	client->caller = world_open_session_with_key(world, client->node, databases[client->route],
						     client->key);
	if (client->caller->caller == NULL)
		client->caller = NULL;
}

/* At random, lets the client's next request lie unread, as if the proxy's event loop were late. */
static bool sends_unread(play_t *play, client_t *client)
{
	if (!has_planned_shutdowns(play) || !chance(play, 6))
		return false;
	client->read_at = now_of_play(play) + random_time(play, STEP, 300 * MSEC);
	client->caller->has_unread_input = true;
	return true;
}

static void send_next(play_t *play, client_t *client)
{
	if (client->read_at == 0 && sends_unread(play, client))
		return;
	if (now_of_play(play) < client->read_at)
		return;
	client->read_at = 0;
	client->caller->has_unread_input = false;
	begin_operation(play, client);
}

static void step_client(play_t *play, client_t *client)
{
	if (client->caller != NULL && client->caller->caller == NULL)
		on_session_lost(play, client);
	if (client->caller == NULL) {
		open_session(play, client);
		return;
	}
	if (client->waiting) {
		if (client->caller->reply_count != client->replies)
			on_reply(play, client);
	} else if (now_of_play(play) >= client->next && !play->world->nodes[client->node].frozen) {
		send_next(play, client);
	}
}

/* --- faults --- */

static void fault_member(play_t *play)
{
	size_t at = (size_t)g_rand_int_range(play->rand, 0, 3);
	fake_member_t *member = &play->world->db->members[at];

	if (play->member_repair_at[at] != 0)
		return;
	play->member_repair_at[at] = now_of_play(play) + random_time(play, 500 * MSEC, 5 * SEC);
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
	play->node_repair_at[at] = now_of_play(play) + random_time(play, 100 * MSEC, 2 * SEC);
	world_kill(play->world, at);
}

static void fault_node(play_t *play)
{
	size_t at = (size_t)g_rand_int_range(play->rand, 0, (gint32)play->nodes);
	world_node_t *node = &play->world->nodes[at];

	if (play->node_repair_at[at] != 0)
		return;
	play->node_repair_at[at] = now_of_play(play) + random_time(play, 300 * MSEC, 6 * SEC);
	switch (g_rand_int_range(play->rand, 0, 5)) {
	case 0:
		if (has_planned_shutdowns(play))
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
	play->store_repair_at = now_of_play(play) + random_time(play, 500 * MSEC, 6 * SEC);
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

static usec_t store_time(play_t *play, usec_t min, usec_t max)
{
	return now_of_play(play) +
	       (usec_t)g_rand_double_range(play->store_rand, (double)min, (double)max);
}

/*
 * Backs the store up at random times, and restores it from the last backup after a short outage.
 * restores is false at the end of the play, when no new restore may begin.
 */
static void step_store(play_t *play, bool restores)
{
	fake_kv_t *store = play->world->kv;
	usec_t now = now_of_play(play);

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

static void end_faults(play_t *play, bool all)
{
	pool_world_t *world = play->world;
	usec_t now = now_of_play(play);

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

static void maybe_fault(play_t *play)
{
	end_faults(play, false);
	if (!chance(play, (int)(FAULT_EVERY * MSEC / STEP)))
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

/* --- one seed --- */

/* So few connections that one proxy is the home of all others; used by every fifth seed. */
static const fake_db_config_t few_connections = {
	.service = WORLD_SERVICE,
	.members = 3,
	.slots = 2,
	.max_connections = 2,
	.service_time = 4 * MSEC,
	.receive_delay = 2 * MSEC,
	.lag = 60 * MSEC,
	.promote_delay = 1000 * MSEC,
	.connect_time = 12 * MSEC,
};

/* Connections for two homes among five proxies; used by every fifth seed. */
static const fake_db_config_t two_homes = {
	.service = WORLD_SERVICE,
	.members = 3,
	.slots = 2,
	.max_connections = 8,
	.service_time = 4 * MSEC,
	.receive_delay = 2 * MSEC,
	.lag = 60 * MSEC,
	.promote_delay = 1000 * MSEC,
	.connect_time = 12 * MSEC,
};

static const fake_db_config_t *config_of(uint32_t seed)
{
	if (seed % 5 == 1)
		return &few_connections;
	return seed % 5 == 2 ? &two_homes : NULL;
}

/* The first customer has a limit that its operations nearly reach. */
static const world_customer_t customers[] = {
	{.name = "ada", .rate = 200, .burst = 200}, {.name = "ben"}, {.name = "cy"}};

static bool is_any_shutting_down(const play_t *play)
{
	for (size_t i = 0; i < play->nodes; i++) {
		if (play->shutting_down[i])
			return true;
	}
	return false;
}

static void run_seed(uint32_t seed)
{
	play_t *play = g_new0(play_t, 1);
	usec_t end;

	play->seed = seed;
	play->nodes = seed >= LARGE_FIRST && seed < RESTORED_FIRST ? LARGE_NODES : NODES;
	play->rand = g_rand_new_with_seed(seed);
	play->store_rand = seed >= RESTORED_FIRST ? g_rand_new_with_seed(~seed) : NULL;
	play->world = world_create_with_customers(play->nodes, config_of(seed), customers,
						  G_N_ELEMENTS(customers));
	play->writes = g_new0(write_record_t, WRITES_MAX);
	for (size_t i = 0; i < CALLERS; i++) {
		play->clients[i].route = (route_kind_t)(i % 3);
		snprintf(play->clients[i].key, WORLD_KEY_MAX, "key-%s",
			 customers[i / 3 % G_N_ELEMENTS(customers)].name);
	}
	world_wait_until_ready(play->world);
	end = now_of_play(play) + PLAY_TIME;
	while (now_of_play(play) < end) {
		for (size_t i = 0; i < CALLERS; i++)
			step_client(play, &play->clients[i]);
		maybe_fault(play);
		step_store(play, true);
		world_run(play->world, STEP);
	}
	/* A shutdown takes at most its grace time. */
	while (is_any_shutting_down(play)) {
		for (size_t i = 0; i < CALLERS; i++)
			step_client(play, &play->clients[i]);
		end_faults(play, false);
		step_store(play, false);
		world_run(play->world, STEP);
		g_assert_cmpuint(now_of_play(play), <, end + 8 * SEC);
	}
	while (play->restore_at != 0) {
		step_store(play, false);
		world_run(play->world, STEP);
	}
	end_faults(play, true);
	world_run(play->world, 16 * SEC);
	for (size_t i = 0; i < CALLERS; i++)
		step_client(play, &play->clients[i]);
	check_end(play);
	world_check_customers(play->world);
	if (world_count_permitted(play->world, fake_db_primary(play->world->db)->id) != play->nodes)
		describe_nodes(play);
	/* All proxies may use the primary again, and operations were served during the faults. */
	g_assert_cmpuint(world_count_permitted(play->world, fake_db_primary(play->world->db)->id),
			 ==, play->nodes);
	g_assert_cmpuint(play->served, >, 100);
	g_test_message("seed %u: %zu operations, %zu writes, %zu promotes", seed, play->served,
		       play->write_count, play->world->promote_count);
	world_destroy(play->world);
	g_rand_free(play->rand);
	if (play->store_rand != NULL)
		g_rand_free(play->store_rand);
	g_free(play->writes);
	g_free(play);
}

/* Seeds that have found a fault in the pooler, each with that fault. */
static const uint32_t regressions[] = {
	8,     /* a superseded primary that was cut off was taken for the current one */
	43,    /* a leader was notified of its successor and kept its leadership */
	159,   /* a promoted member crashed unnoticed, and the old primary stayed in use */
	10698, /* a change taken over twice counted as own, its earlier promote call was ignored */
	5063,  /* the last write of a former leader's change arrived late, during the next change */
};

static void test_regressions(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(regressions); i++)
		run_seed(regressions[i]);
}

static uint32_t env_number(const char *name, uint32_t otherwise)
{
	const char *text = getenv(name);

	return text != NULL ? (uint32_t)strtoul(text, NULL, 10) : otherwise;
}

static void test_seeds(void)
{
	uint32_t one = env_number("FAULT_SEED", 0);
	uint32_t first = env_number("FAULT_FIRST", 1);
	uint32_t count = env_number("FAULT_SEEDS", DEFAULT_SEEDS);

	if (one != 0) {
		run_seed(one);
		return;
	}
	g_assert_cmpuint(count, >, 0);
	for (uint32_t seed = first; seed < first + count; seed++)
		run_seed(seed);
}

/* The same faults in a fleet whose proxies receive the leader's updates through hubs. */
static void test_large_seeds(void)
{
	for (uint32_t seed = LARGE_FIRST; seed < LARGE_FIRST + LARGE_SEEDS; seed++)
		run_seed(seed);
}

/* The same faults with a store that is restored from older backups. */
static void test_restored_seeds(void)
{
	uint32_t count = env_number("FAULT_RESTORED_SEEDS", RESTORED_SEEDS);

	for (uint32_t seed = RESTORED_FIRST; seed < RESTORED_FIRST + count; seed++)
		run_seed(seed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/faults/regressions", test_regressions);
	g_test_add_func("/faults/seeds", test_seeds);
	if (env_number("FAULT_SEED", 0) == 0)
		g_test_add_func("/faults/large-seeds", test_large_seeds);
	if (env_number("FAULT_SEED", 0) == 0)
		g_test_add_func("/faults/restored-seeds", test_restored_seeds);
	return g_test_run();
}
