/*
 * The set-up of a connection for a statement (setup.h), and members that fail parts of it. What the
 * members ran is compared with what the callers' sessions hold.
 */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "pool_check.h"
#include "session_check.h"
#include "setup.h"

/* --- replies --- */

static reply_t done_in(tx_state_t tx)
{
	return (reply_t){.ok = true, .tx = tx};
}

static reply_t error_in(tx_state_t tx)
{
	return (reply_t){.code = CODE_FAILED, .tx = tx};
}

/* Plays a set-up of SET and BEGIN with these replies and returns its outcome. */
static setup_outcome_t play_set_and_begin(reply_t to_set, reply_t to_begin)
{
	setup_t setup;

	setup_start(&setup, TX_NONE);
	setup_add(&setup, REQUEST_SET);
	setup_add(&setup, REQUEST_BEGIN);
	setup_on_reply(&setup, &to_set);
	g_assert_false(setup_is_answered(&setup));
	setup_on_reply(&setup, &to_begin);
	g_assert_true(setup_is_answered(&setup));
	return setup_outcome(&setup);
}

/* Guards against a set-up that is judged by its last reply alone. */
static void test_outcome(void)
{
	g_assert_cmpint(play_set_and_begin(done_in(TX_NONE), done_in(TX_OPEN)), ==, SETUP_COMPLETE);
	g_assert_cmpint(play_set_and_begin(done_in(TX_NONE), error_in(TX_NONE)), ==,
			SETUP_BEGIN_REFUSED);
	g_assert_cmpint(play_set_and_begin(error_in(TX_NONE), done_in(TX_OPEN)), ==,
			SETUP_UNCERTAIN);
	g_assert_cmpint(play_set_and_begin(error_in(TX_NONE), error_in(TX_NONE)), ==,
			SETUP_UNCERTAIN);
}

/* Guards against a statement sent to a member whose session is in another transaction state. */
static void test_unexpected_state(void)
{
	g_assert_cmpint(play_set_and_begin(done_in(TX_NONE), done_in(TX_NONE)), ==,
			SETUP_UNCERTAIN);
	g_assert_cmpint(play_set_and_begin(done_in(TX_OPEN), done_in(TX_OPEN)), ==,
			SETUP_UNCERTAIN);
	g_assert_cmpint(play_set_and_begin(done_in(TX_NONE), error_in(TX_FAILED)), ==,
			SETUP_UNCERTAIN);
}

/* --- members that fail requests --- */

/* Connections that one proxy shares among all its callers. */
static const fake_db_config_t one_connection = {
	.service = WORLD_SERVICE,
	.members = 1,
	.slots = 2,
	.max_connections = 2,
	.service_time = 4 * MSEC,
	.receive_delay = 2 * MSEC,
	.lag = 60 * MSEC,
	.promote_delay = 1000 * MSEC,
	.connect_time = 12 * MSEC,
};

/* A caller and what its session holds. */
typedef struct client {
	world_caller_t *caller;
	char values[SESSION_VALUES_MAX]; /* acknowledged, "name value;" */
	uint64_t tx;			 /* number of its open transaction; 0: none */
	char written[40]; /* last item and data written in the transaction, "" for none */
} client_t;

typedef struct setup_play {
	pool_world_t *world;
	fake_member_t *member;
	client_t two_values;
	client_t one_value;
	client_t no_values;
	session_check_t check;
	unsigned last_datum; /* data of the last write; each one writes another */
} setup_play_t;

/* The item and data that a successful statement has committed must be the member's last. */
static void check_committed(const setup_play_t *play, const char *written)
{
	char item[20] = "";
	char data[20] = "";

	if (sscanf(written, "%19s %19s", item, data) == 2)
		g_assert_cmpstr(fake_member_last_value(play->member, item), ==, data);
}

static void record_reply(setup_play_t *play, client_t *client, const char *text, const char *reply)
{
	bool done = g_str_has_prefix(reply, "DONE") || g_str_has_prefix(reply, "ROW");
	const char *written = strstr(text, "item ");

	if (done && g_str_has_prefix(text, "SET "))
		session_values_set(client->values, text + strlen("SET "));
	if (done && written != NULL && client->tx != 0)
		g_strlcpy(client->written, written, sizeof(client->written));
	else if (done && written != NULL)
		check_committed(play, written);
	if (done && strcmp(text, "COMMIT") == 0)
		check_committed(play, client->written);
	if (world_reply_has_state(client->caller, "READY I"))
		client->tx = 0;
	if (client->tx == 0)
		client->written[0] = '\0';
}

/* A code that promises that nothing is kept must be true. */
static void check_promise(const setup_play_t *play, const client_t *client, const char *text,
			  const char *reply)
{
	static const char *const promises[] = {"ERR BUSY", "ERR ABORTED", "ERR LAGGING"};
	const char *data = client->tx != 0 ? strchr(client->written, ' ') : strrchr(text, ' ');
	const char *kept = fake_member_last_value(play->member, "item");

	for (size_t i = 0; i < G_N_ELEMENTS(promises); i++) {
		if (g_str_has_prefix(reply, promises[i]) && data != NULL && kept != NULL)
			g_assert_cmpstr(kept, !=, data + 1);
	}
}

/* Each statement is answered, and none is blamed for what the proxy has sent ahead of it. */
static void check_reply(const client_t *client, const char *text, const char *reply)
{
	if (reply[0] == '\0' || g_str_has_prefix(reply, "ERR NOSTMT") ||
	    g_str_has_prefix(reply, "ERR MALFORMED"))
		g_error("%s %s: answered \"%s\"", client->caller->id, text, reply);
}

/*
 * Sends the statement for the client and compares what follows with its session. A "?" at its end
 * stands for data that nothing else writes. Returns false once the transaction has failed.
 */
static bool play_statement(setup_play_t *play, client_t *client, const char *format)
{
	char text[64];
	const char *problem;
	const char *reply;
	bool failed;

	g_strlcpy(text, format, sizeof(text));
	if (strchr(text, '?') != NULL)
		g_snprintf(strchr(text, '?'), 16, "d%u", ++play->last_datum);
	if (g_str_has_prefix(text, "BEGIN"))
		client->tx = session_check_begin_tx(&play->check);
	world_send(client->caller, text);
	session_check_add(&play->check, client->caller->id, client->values, client->tx,
			  g_str_has_prefix(text, "EXEC") ? "shape" : "");
	for (int i = 0; i < 2000 && client->caller->reply[0] == '\0'; i++)
		world_run(play->world, MSEC);
	reply = client->caller->reply;
	check_reply(client, text, reply);
	check_promise(play, client, text, reply);
	failed = client->tx != 0 && g_str_has_prefix(reply, "ERR");
	record_reply(play, client, text, reply);
	problem = session_check_runs(&play->check);
	if (problem != NULL)
		g_error("%s", problem);
	return !failed;
}

#define SCRIPT_MAX 6

static void play_script(setup_play_t *play, client_t *client, const char *const *script)
{
	size_t i = 0;

	while (i < SCRIPT_MAX && script[i] != NULL && play_statement(play, client, script[i]))
		i++;
	if (client->tx != 0)
		play_statement(play, client, "ROLLBACK");
}

static void open_client(setup_play_t *play, client_t *client)
{
	client->caller = world_open_session(play->world, 0);
	assert_has_prefix(world_send_and_wait(client->caller, "PREPARE p WRITE shape"), "DONE -");
}

static void set_value(client_t *client, const char *value)
{
	char text[40];

	g_snprintf(text, sizeof(text), "SET %s", value);
	assert_has_prefix(world_send_and_wait(client->caller, text), "DONE -");
	session_values_set(client->values, value);
}

static void setup_play_init(setup_play_t *play)
{
	*play = (setup_play_t){.world = world_create(1, &one_connection)};
	play->world->reads = READS_PRIMARY;
	play->member = &play->world->db->members[0];
	session_check_init(&play->check, play->world->db);
	world_wait_until_ready(play->world);
	open_client(play, &play->two_values);
	set_value(&play->two_values, "lang cy");
	set_value(&play->two_values, "tz utc");
	open_client(play, &play->one_value);
	set_value(&play->one_value, "lang fr");
	open_client(play, &play->no_values);
}

static void setup_play_destroy(setup_play_t *play)
{
	/* Longer than any connection waits for a reply. */
	world_run(play->world, 4 * SEC);
	g_assert_false(world_has_transaction(play->world));
	world_destroy(play->world);
	session_check_destroy(&play->check);
}

/* Statements before which a connection is set up in different ways. */
static const char *const scripts[][SCRIPT_MAX] = {
	{"READ item"},
	{"WRITE item ?"},
	{"EXEC p item ?"},
	/* PREPARE is the only request ahead of the EXEC and is sent together with it. */
	{"READ item", "EXEC p item ?"},
	{"BEGIN READ", "READ item", "COMMIT"},
	{"BEGIN", "WRITE item ?", "COMMIT"},
	{"BEGIN", "EXEC p item ?", "COMMIT"},
	{"BEGIN", "WRITE item ?", "EXEC p item ?", "COMMIT"},
	{"BEGIN", "WRITE item ?", "SET more x", "WRITE item ?", "COMMIT"},
	{"BEGIN", "WRITE item ?", "ROLLBACK"},
};

/* Requests that fail together. */
static const char *const failing[][2] = {
	{"RESET"},
	{"SET"},
	{"PREPARE"},
	{"BEGIN"},
	{"ROLLBACK"},
	{"RESET", "BEGIN"},
	{"SET", "BEGIN"},
	{"PREPARE", "BEGIN"},
	{"RESET", "PREPARE"},
	{"SET", "ROLLBACK"},
};

/* How they fail: with a code, or their reply is lost or late. */
static const fake_fault_t ways[] = {
	{.code = "FAILED"},    {.code = "TIMEOUT"}, {.code = "BUSY"},	  {.code = "LAGGING"},
	{.code = "MALFORMED"}, {.lost = true},	    {.delay = 20 * MSEC}, {.delay = 400 * MSEC},
};

static void set_faults(fake_member_t *member, const char *const *words, const fake_fault_t *way,
		       unsigned count)
{
	memset(member->faults, 0, sizeof(member->faults));
	for (size_t i = 0; i < 2 && words[i] != NULL; i++) {
		member->faults[i] = *way;
		member->faults[i].word = words[i];
		member->faults[i].count = count;
	}
}

/* One caller's set-up fails on the connection that before has left; then all callers use it. */
static bool play_failing(setup_play_t *play, client_t *before, client_t *client,
			 const char *const *script, const char *const *words,
			 const fake_fault_t *way, unsigned count)
{
	static const char *const lone[SCRIPT_MAX] = {"WRITE item ?"};
	static const char *const in_tx[SCRIPT_MAX] = {"BEGIN", "WRITE item ?", "COMMIT"};
	bool met;

	play_script(play, before, lone);
	set_faults(play->member, words, way, count);
	play_script(play, client, script);
	/* A ROLLBACK is answered before it has reached the member. */
	world_run(play->world, 10 * MSEC);
	met = play->member->faults[0].count != count;
	memset(play->member->faults, 0, sizeof(play->member->faults));
	play_script(play, &play->no_values, lone);
	play_script(play, before, lone);
	play_script(play, &play->one_value, in_tx);
	play_script(play, &play->two_values, lone);
	return met;
}

/* Plays all scripts with these requests failing in this way; returns how many met a failure. */
static size_t play_scripts(const char *const *words, const fake_fault_t *way)
{
	size_t met = 0;
	setup_play_t play;

	setup_play_init(&play);
	for (size_t i = 0; i < G_N_ELEMENTS(scripts); i++) {
		for (unsigned count = 1; count <= 3; count += 2) {
			met += play_failing(&play, &play.two_values, &play.one_value, scripts[i],
					    words, way, count);
			met += play_failing(&play, &play.no_values, &play.two_values, scripts[i],
					    words, way, count);
		}
	}
	setup_play_destroy(&play);
	return met;
}

/*
 * Guards against a connection that goes on to serve callers with an open transaction, or with other
 * values than theirs, after a member has failed a part of a set-up.
 */
static void test_failed_requests(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(failing); i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(ways); k++) {
			size_t met = play_scripts(failing[i], &ways[k]);

			g_test_message("%s %s, %s: met by %zu", failing[i][0],
				       failing[i][1] != NULL ? failing[i][1] : "",
				       ways[k].code != NULL ? ways[k].code
				       : ways[k].lost	    ? "lost"
							    : "late",
				       met);
			g_assert_cmpuint(met, !=, 0);
		}
	}
}

/*
 * Guards against NOSTMT for a name whose PREPARE was acknowledged: the member that runs the
 * transaction does not have it.
 */
static void test_name_unknown_to_member(void)
{
	pool_world_t *world = world_create(1, &one_connection);
	fake_member_t *member = &world->db->members[0];
	world_caller_t *caller;

	world->reads = READS_PRIMARY;
	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	world_send_and_wait(caller, "PREPARE p WRITE shape");
	assert_has_prefix(world_send_and_wait(caller, "BEGIN"), "DONE -");
	assert_has_prefix(world_send_and_wait(caller, "WRITE item d1"), "DONE core-0");
	member->faults[0] = (fake_fault_t){.word = "EXEC", .code = "NOSTMT", .count = 1};
	assert_has_prefix(world_send_and_wait(caller, "EXEC p item d2"), "ERR ABORTED");
	g_assert_true(world_reply_has_state(caller, "READY E"));
	assert_has_prefix(world_send_and_wait(caller, "ROLLBACK"), "DONE -");
	assert_has_prefix(world_send_and_wait(caller, "READ item"), "ROW none");
	world_destroy(world);
}

/* Guards against a success that is passed on for a write in a transaction of somebody else. */
static void test_answered_in_transaction(void)
{
	pool_world_t *world = world_create(1, &one_connection);
	fake_member_t *member = &world->db->members[0];
	world_caller_t *caller;

	world->reads = READS_PRIMARY;
	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	assert_has_prefix(world_send_and_wait(caller, "WRITE item d1"), "DONE core-0");
	member->faults[0] = (fake_fault_t){.word = "WRITE", .state = "T", .count = 1};
	assert_has_prefix(world_send_and_wait(caller, "WRITE item d2"), "ERR INDOUBT");
	/* A read is tried again on another connection. */
	member->faults[0] = (fake_fault_t){.word = "READ", .state = "E", .count = 1};
	assert_has_prefix(world_send_and_wait(caller, "READ item"), "ROW d2");
	g_assert_true(world_reply_has_state(caller, "READY I"));
	world_destroy(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/setup/outcome", test_outcome);
	g_test_add_func("/setup/unexpected-state", test_unexpected_state);
	g_test_add_func("/setup/failed-requests", test_failed_requests);
	g_test_add_func("/setup/name-unknown-to-member", test_name_unknown_to_member);
	g_test_add_func("/setup/answered-in-transaction", test_answered_in_transaction);
	return g_test_run();
}
