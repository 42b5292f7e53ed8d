#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "pool_parts.h"
#include "protocol.h"

/* Number of ids by which the array of senders grows. */
#define SENDERS_STEP 4096

void callers_reply(env_t *env, void *data, const caller_reply_t *reply)
{
	world_caller_t *caller = data;
	protocol_buffer_t buffer = {0};

	(void)env;
	protocol_encode_reply(&buffer, reply);
	snprintf(caller->reply, sizeof(caller->reply), "%.*s", (int)buffer.len, buffer.data);
	caller->reply_count++;
	protocol_buffer_free(&buffer);
}

void callers_abort(env_t *env, void *data)
{
	(void)env;
	((world_caller_t *)data)->caller = NULL;
}

close_result_t callers_close(env_t *env, void *data)
{
	const world_caller_t *caller = data;

	if (caller->has_unread_input)
		return CLOSE_INPUT_UNREAD;
	if (caller->has_unsent_output)
		return CLOSE_OUTPUT_UNSENT;
	callers_abort(env, data);
	return CLOSE_DONE;
}

world_caller_t *world_open_session(pool_world_t *world, size_t at)
{
	return world_open_session_on(world, at, WORLD_DATABASE);
}

world_caller_t *world_open_session_with_key(pool_world_t *world, size_t at, const char *database,
					    const char *key)
{
	world_node_t *node = &world->nodes[at];
	world_caller_t *caller = talloc_zero(world, world_caller_t);

	caller->proxy = node;
	/* For a key of another form the customer stays empty. */
	sscanf(key, "key-%15s", caller->customer);
	list_add_tail(&node->callers, &caller->node);
	caller->caller = pooler_caller_open(node->pooler, database, slice_of(key, strlen(key)),
					    caller, &caller->refusal_code);
	return caller;
}

world_caller_t *world_open_session_on(pool_world_t *world, size_t at, const char *database)
{
	return world_open_session_with_key(world, at, database, "");
}

static void record_sender(const world_caller_t *caller)
{
	pool_world_t *world = caller->proxy->world;

	if (world->next_id % SENDERS_STEP == 0)
		world->sender_of_id = talloc_realloc(world, world->sender_of_id, const char *,
						     world->next_id + SENDERS_STEP);
	world->sender_of_id[world->next_id] = talloc_strdup(world->sender_of_id, caller->customer);
}

void world_send(world_caller_t *caller, const char *text)
{
	char line[256];
	caller_message_t message;

	g_assert_nonnull(caller->caller);
	g_assert_false(caller_is_busy(caller->caller));
	record_sender(caller);
	snprintf(caller->id, sizeof(caller->id), "q%zu", caller->proxy->world->next_id++);
	snprintf(line, sizeof(line), "QUERY %s %s", caller->id, text);
	protocol_decode_caller_message(line, strlen(line), &message);
	caller->reply[0] = '\0';
	caller_on_statement(caller->caller, &message.statement);
}

const char *world_send_and_wait(world_caller_t *caller, const char *text)
{
	size_t before = caller->reply_count;

	world_send(caller, text);
	for (int i = 0; i < 2000 && caller->reply_count == before; i++)
		world_run(caller->proxy->world, USEC_PER_MSEC);
	return caller->reply;
}

void world_leave(world_caller_t *caller)
{
	struct caller *gone = caller->caller;

	caller->caller = NULL;
	if (gone != NULL)
		caller_on_session_end(gone);
}

bool world_reply_has_state(const world_caller_t *caller, const char *ready)
{
	const char *last = strstr(caller->reply, "READY ");

	return last != NULL && strncmp(last, ready, strlen(ready)) == 0;
}

void world_check_customers(const pool_world_t *world)
{
	for (size_t i = 0; i < world->db->run_count; i++) {
		const fake_run_t *run = &world->db->runs[i];
		const char *sender;

		if (run->id[0] != 'q')
			continue;
		sender = world->sender_of_id[strtoul(run->id + 1, NULL, 10)];
		if (strcmp(run->customer, sender) != 0)
			g_error("%s of %s was run for %s: %s", run->id, sender, run->customer,
				run->text);
	}
}
