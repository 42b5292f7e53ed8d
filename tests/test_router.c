/*
 * Requests between proxies, tested with artificial messages and reports to a single core: what the
 * home of a group runs, and what another proxy sends to it.
 */
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "core.h"
#include "table.h"

#define MEMBERS	     3
#define PEERS	     8
#define GROUP	     "orders"
#define ROW	     "{\"group\": \"orders\", \"kind\": \"read\", \"max_age_ms\": 400, \"connections\": 2}"
#define TERM	     3
#define STEP	     (10 * USEC_PER_MSEC)
#define ANSWER_AFTER USEC_PER_MSEC

typedef struct scene {
	core_t *core;
	usec_t now;
	size_t runs;
	refusal_t refusal; /* of the last answer to a peer */
	char *sent_group;  /* group of the last request sent to a peer */
} scene_t;

static void deliver_event(scene_t *scene, const event_t *event);

static void answer_order(scene_t *scene, const action_t *action)
{
	int m = action->order.member[1] - '0';
	event_t event = {
		.kind = EVENT_ORDER_DONE,
		.id = action->id,
		.order = {.group = GROUP,
			  .member = action->order.member,
			  .status = ORDER_OK,
			  .report = {.sealed = TERM,
				     .log = {.term = TERM, .lsn = 10},
				     .primary = m == 0}},
	};

	scene->now += ANSWER_AFTER;
	deliver_event(scene, &event);
}

static void open_connection(scene_t *scene, const action_t *action)
{
	event_t event = {.kind = EVENT_CONN_UP, .id = action->id};

	deliver_event(scene, &event);
}

static void record_message(scene_t *scene, const message_t *message)
{
	if (message->kind == MESSAGE_ANSWER)
		scene->refusal = message->answer->refusal;
	if (message->kind != MESSAGE_EXECUTE)
		return;
	g_free(scene->sent_group);
	scene->sent_group = g_strdup(message->query->group);
}

static void deliver_event(scene_t *scene, const event_t *event)
{
	action_t *action;

	core_handle(scene->core, scene->now, event);
	while ((action = core_pop_action(scene->core)) != NULL) {
		if (action->kind == ACTION_ORDER && action->order.kind == ORDER_REPORT)
			answer_order(scene, action);
		else if (action->kind == ACTION_CONNECT)
			open_connection(scene, action);
		else if (action->kind == ACTION_RUN)
			scene->runs++;
		else if (action->kind == ACTION_SEND)
			record_message(scene, action->send.message);
		talloc_free(action);
	}
}

static void run_for(scene_t *scene, usec_t duration)
{
	event_t tick = {.kind = EVENT_TICK};

	for (usec_t end = scene->now + duration; scene->now < end; scene->now += STEP)
		deliver_event(scene, &tick);
}

static char *group_json(void)
{
	GString *text = g_string_new("{\"members\": [");

	for (int i = 0; i < MEMBERS; i++)
		g_string_append_printf(
			text, "%s{\"name\": \"m%d\", \"zone\": \"z\", \"address\": \"h:%d\"}",
			i > 0 ? ", " : "", i, i);
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

static scene_t *create_scene(void)
{
	scene_t *scene = g_new0(scene_t, 1);
	core_config_t config = {.name = "p0",
				.zone = "z",
				.address = "h:9",
				.incarnation = 1,
				.seed = 1,
				.timings = core_timings_default()};
	char *group = group_json();
	table_entry_t entries[] = {{"group/" GROUP, group, 1}, {"row/s/c", ROW, 1}};
	event_t loaded = {.kind = EVENT_STORE_LOADED,
			  .store = {.status = STORE_OK,
				    .entries = entries,
				    .entry_count = 2,
				    .table_version = 1,
				    .head_revision = 1}};

	scene->core = core_create(NULL, &config);
	scene->now = USEC_PER_SEC;
	deliver_event(scene, &loaded);
	run_for(scene, USEC_PER_SEC / 2);
	g_free(group);
	return scene;
}

/* A request of another proxy, whose table has the row at that group. */
static void receive_request(scene_t *scene, const char *group)
{
	query_t query = {.verb = VERB_STATEMENT,
			 .service = "s",
			 .class_name = "c",
			 .group = (char *)group,
			 .text = "SELECT 1",
			 .min_position = {.term = TERM, .lsn = 5},
			 .time_left = USEC_PER_SEC};
	message_t message = {.kind = MESSAGE_EXECUTE,
			     .incarnation = 1,
			     .sent_at = scene->now,
			     .echo = scene->now,
			     .zone = "z",
			     .address = "h:1",
			     .request = 7,
			     .query = &query};
	event_t event = {.kind = EVENT_MESSAGE, .message = {.peer = "p1", .message = &message}};

	scene->runs = 0;
	scene->refusal = REFUSAL_NONE;
	deliver_event(scene, &event);
}

static void add_peers(scene_t *scene)
{
	for (int i = 1; i <= PEERS; i++) {
		char name[8];
		message_t message = {.kind = MESSAGE_HEARTBEAT,
				     .incarnation = 1,
				     .sent_at = scene->now,
				     .echo = scene->now,
				     .zone = "z",
				     .address = "h:1",
				     .table_version = 1};
		event_t event = {.kind = EVENT_MESSAGE,
				 .message = {.peer = name, .message = &message}};

		g_snprintf(name, sizeof(name), "p%d", i);
		deliver_event(scene, &event);
	}
}

static void free_scene(scene_t *scene)
{
	talloc_free(scene->core);
	g_free(scene->sent_group);
	g_free(scene);
}

/*
 * Guards against a session that misses its own write: its position in the log of one group was
 * compared with the log of another one, to which the home's newer table has moved the row.
 */
static void test_row_at_another_group(void)
{
	scene_t *scene = create_scene();

	receive_request(scene, "before");
	g_assert_cmpuint(scene->runs, ==, 0);
	g_assert_cmpint(scene->refusal, ==, REFUSAL_NO_HOME);
	receive_request(scene, GROUP);
	g_assert_cmpuint(scene->runs, ==, 1);
	/* A proxy of an earlier version names no group. */
	receive_request(scene, NULL);
	g_assert_cmpuint(scene->runs, ==, 1);
	free_scene(scene);
}

/* The request names the group whose position it carries. */
static void test_request_names_group(void)
{
	scene_t *scene = create_scene();
	query_t query = {.verb = VERB_STATEMENT,
			 .service = "s",
			 .class_name = "c",
			 .text = "SELECT 1",
			 .time_left = USEC_PER_SEC};
	event_t event = {.kind = EVENT_QUERY, .id = 1, .query = {.query = &query}};

	add_peers(scene);
	deliver_event(scene, &event);
	g_assert_cmpstr(scene->sent_group, ==, GROUP);
	free_scene(scene);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/router/row-at-another-group", test_row_at_another_group);
	g_test_add_func("/router/request-names-group", test_request_names_group);
	return g_test_run();
}
