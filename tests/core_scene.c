#include "core_scene.h"

#include <glib.h>
#include <talloc.h>

#include "table.h"

#define ANSWER_AFTER USEC_PER_MSEC

static void answer_order(core_scene_t *scene, const action_t *action)
{
	int m = action->order.member[1] - '0';
	event_t event = {
		.kind = EVENT_ORDER_DONE,
		.id = action->id,
		.order = {.group = (char *)scene->group,
			  .member = action->order.member,
			  .status = scene->responds[m] ? ORDER_OK : ORDER_TIMED_OUT,
			  .report = {.sealed = SCENE_TERM,
				     .log = {.term = SCENE_TERM, .lsn = scene->lsn[m]},
				     .primary = m == 0}},
	};

	scene->now += ANSWER_AFTER;
	core_scene_deliver(scene, &event);
}

static void open_connection(core_scene_t *scene, const action_t *action)
{
	event_t event = {.kind = EVENT_CONN_UP, .id = action->id};

	core_scene_deliver(scene, &event);
}

static void record_run(core_scene_t *scene, const action_t *action)
{
	scene->runs++;
	if (scene->ran_on == NULL)
		scene->ran_on = g_strdup(action->run.member);
}

static void record_message(core_scene_t *scene, const message_t *message)
{
	if (message->kind == MESSAGE_ANSWER)
		scene->refusal = message->answer->refusal;
	if (message->kind != MESSAGE_EXECUTE)
		return;
	g_free(scene->sent_group);
	scene->sent_group = g_strdup(message->query->group);
}

void core_scene_deliver(core_scene_t *scene, const event_t *event)
{
	action_t *action;

	core_handle(scene->core, scene->now, event);
	while ((action = core_pop_action(scene->core)) != NULL) {
		if (action->kind == ACTION_ORDER && action->order.kind == ORDER_REPORT)
			answer_order(scene, action);
		else if (action->kind == ACTION_CONNECT)
			open_connection(scene, action);
		else if (action->kind == ACTION_RUN)
			record_run(scene, action);
		else if (action->kind == ACTION_SEND)
			record_message(scene, action->send.message);
		talloc_free(action);
	}
}

void core_scene_run_for(core_scene_t *scene, usec_t duration)
{
	event_t tick = {.kind = EVENT_TICK};

	for (usec_t end = scene->now + duration; scene->now < end; scene->now += SCENE_STEP)
		core_scene_deliver(scene, &tick);
}

static char *group_json(int members)
{
	GString *text = g_string_new("{\"members\": [");

	for (int i = 0; i < members; i++)
		g_string_append_printf(
			text, "%s{\"name\": \"m%d\", \"zone\": \"z\", \"address\": \"h:%d\"}",
			i > 0 ? ", " : "", i, i);
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

core_scene_t *core_scene_create(const char *group, int members, const char *row)
{
	core_scene_t *scene = g_new0(core_scene_t, 1);
	core_config_t config = {.name = "p0",
				.zone = "z",
				.address = "h:9",
				.incarnation = 1,
				.seed = 1,
				.timings = core_timings_default()};
	char *key = g_strdup_printf("group/%s", group);
	char *value = group_json(members);
	table_entry_t entries[] = {{key, value, 1}, {"row/s/c", (char *)row, 1}};
	event_t loaded = {.kind = EVENT_STORE_LOADED,
			  .store = {.status = STORE_OK,
				    .entries = entries,
				    .entry_count = 2,
				    .table_version = 1,
				    .head_revision = 1}};

	scene->core = core_create(NULL, &config);
	scene->now = USEC_PER_SEC;
	scene->group = group;
	scene->members = members;
	for (int i = 0; i < members; i++) {
		scene->responds[i] = true;
		scene->lsn[i] = 10;
	}
	core_scene_deliver(scene, &loaded);
	core_scene_run_for(scene, USEC_PER_SEC / 2);
	g_free(value);
	g_free(key);
	return scene;
}

void core_scene_destroy(core_scene_t *scene)
{
	talloc_free(scene->core);
	g_free(scene->ran_on);
	g_free(scene->sent_group);
	g_free(scene);
}

void core_scene_read(core_scene_t *scene)
{
	query_t query = {.verb = VERB_STATEMENT,
			 .service = "s",
			 .class_name = "c",
			 .text = "SELECT 1",
			 .time_left = USEC_PER_SEC};
	event_t event = {.kind = EVENT_QUERY, .id = 1, .query = {.query = &query}};

	core_scene_deliver(scene, &event);
}
