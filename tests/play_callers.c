/* The callers of a play: reads, writes and transactions on routes of each kind. */
#include <stdio.h>
#include <string.h>

#include "play.h"

#define ITEMS 6

static void send_statement(play_t *play, client_t *client, const char *text)
{
	if (g_str_has_prefix(text, "BEGIN"))
		client->tx = session_check_begin_tx(&play->check);
	world_send(client->caller, text);
	if (play->request_rand != NULL)
		session_check_add(&play->check, client->caller->id, client->values, client->tx,
				  g_str_has_prefix(text, "EXEC") ? client->shape : "");
}

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
	snprintf(text, sizeof(text), "%s i%d %s", client->shape[0] != '\0' ? "EXEC w" : "WRITE",
		 client->item, play->writes[client->write].data);
	send_statement(play, client, text);
	snprintf(play->writes[client->write].id, 40, "%s", client->caller->id);
}

static void send_read(play_t *play, client_t *client)
{
	char text[32];

	client->is_read = true;
	snprintf(text, sizeof(text), "READ i%d", client->item);
	send_statement(play, client, text);
}

static void begin_operation(play_t *play, client_t *client)
{
	client->item = g_rand_int_range(play->rand, 0, ITEMS);
	client->began = play_now(play);
	client->write = -1;
	client->is_read = false;
	client->step = 0;
	client->tx = 0;
	client->replies = client->caller->reply_count;
	client->waiting = true;
	if (play_chance(play, 4)) {
		client->step = 1;
		send_statement(play, client, "BEGIN");
	} else if (play_chance(play, 3)) {
		send_write(play, client);
	} else {
		send_read(play, client);
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
		play_check_acknowledged(play, write);
}

static void end_operation(play_t *play, client_t *client)
{
	client->waiting = false;
	client->next = play_now(play) + play_random_time(play, 5 * MSEC, 60 * MSEC);
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
			send_statement(play, client, "ROLLBACK");
		}
		return;
	}
	switch (client->step++) {
	case 1:
		send_write(play, client);
		break;
	case 2:
		send_statement(play, client, "COMMIT");
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
		play_check_read(play, client, reply);
	set_outcome(play, client, reply, true);
	end_operation(play, client);
}

/* Chosen by the seed and not at random, so that seeds of regressions play as before. */
bool play_has_shutdowns(const play_t *play)
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
		play_fail(play, "session closed with a statement unread", client->caller->id);
	if (client->waiting && !answered)
		play_fail(play, "session closed with a statement in progress", client->caller->id);
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

/* Sets up to two values, and prepares a statement in two of three sessions. */
static void set_up_session(play_t *play, client_t *client)
{
	static const char *const names[] = {"lang", "tz"};
	int shape = g_rand_int_range(play->request_rand, 0, 3);

	client->values[0] = '\0';
	client->shape[0] = '\0';
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		char text[32];

		if (g_rand_int_range(play->request_rand, 0, 2) == 0)
			continue;
		snprintf(text, sizeof(text), "SET %s x%d", names[i],
			 g_rand_int_range(play->request_rand, 0, 2));
		world_send(client->caller, text);
		session_values_set(client->values, text + strlen("SET "));
	}
	if (shape == 0)
		return;
	world_send(client->caller, shape == 1 ? "PREPARE w WRITE q1" : "PREPARE w WRITE q2");
	snprintf(client->shape, sizeof(client->shape), "q%d", shape);
}

static void open_session(play_t *play, client_t *client)
{
	pool_world_t *world = play->world;

	client->node = (size_t)g_rand_int_range(play->rand, 0, (gint32)play->nodes);
	if (world->nodes[client->node].pooler == NULL || world->nodes[client->node].frozen)
		return;
	client->caller = world_open_session_with_key(world, client->node,
						     play_databases[client->route], client->key);
	if (client->caller->caller == NULL)
		client->caller = NULL;
	else if (play->request_rand != NULL)
		set_up_session(play, client);
}

/* At random, lets the client's next request lie unread, as if the proxy's event loop were late. */
static bool sends_unread(play_t *play, client_t *client)
{
	if (!play_has_shutdowns(play) || !play_chance(play, 6))
		return false;
	client->read_at = play_now(play) + play_random_time(play, STEP, 300 * MSEC);
	client->caller->has_unread_input = true;
	return true;
}

static void send_next(play_t *play, client_t *client)
{
	if (client->read_at == 0 && sends_unread(play, client))
		return;
	if (play_now(play) < client->read_at)
		return;
	client->read_at = 0;
	client->caller->has_unread_input = false;
	begin_operation(play, client);
}

void play_step_client(play_t *play, client_t *client)
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
	} else if (play_now(play) >= client->next && !play->world->nodes[client->node].frozen) {
		send_next(play, client);
	}
}
