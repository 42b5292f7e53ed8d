/*
 * The age of replica reads, tested with artificial reports to a single core.
 * The group has five members: enough that a superseded primary can keep a replica,
 * whose data then always looks as fresh as that primary's.
 */
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "core.h"
#include "table.h"

#define MEMBERS	     5
#define GROUP	     "g"
#define ROW	     "{\"group\": \"g\", \"kind\": \"read\", \"max_age_ms\": 400, \"connections\": 2}"
#define TERM	     3
#define STEP	     (10 * USEC_PER_MSEC)
#define ANSWER_AFTER USEC_PER_MSEC

typedef struct scene {
	core_t *core;
	usec_t now;
	uint64_t lsn[MEMBERS];
	bool responds[MEMBERS];
	char *ran_on; /* the first member on which the last read was started */
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
			  .status = scene->responds[m] ? ORDER_OK : ORDER_TIMED_OUT,
			  .report = {.sealed = TERM,
				     .log = {.term = TERM, .lsn = scene->lsn[m]},
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

static void deliver_event(scene_t *scene, const event_t *event)
{
	action_t *action;

	core_handle(scene->core, scene->now, event);
	while ((action = core_pop_action(scene->core)) != NULL) {
		if (action->kind == ACTION_ORDER && action->order.kind == ORDER_REPORT)
			answer_order(scene, action);
		else if (action->kind == ACTION_CONNECT)
			open_connection(scene, action);
		else if (action->kind == ACTION_RUN && scene->ran_on == NULL)
			scene->ran_on = g_strdup(action->run.member);
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
	for (int i = 0; i < MEMBERS; i++) {
		scene->responds[i] = true;
		scene->lsn[i] = 10;
	}
	deliver_event(scene, &loaded);
	run_for(scene, USEC_PER_SEC / 2);
	g_free(group);
	return scene;
}

static const char *member_that_runs_read(scene_t *scene)
{
	query_t query = {.verb = VERB_STATEMENT,
			 .service = "s",
			 .class_name = "c",
			 .text = "SELECT 1",
			 .time_left = USEC_PER_SEC};
	event_t event = {.kind = EVENT_QUERY, .id = 1, .query = {.query = &query}};

	g_clear_pointer(&scene->ran_on, g_free);
	deliver_event(scene, &event);
	return scene->ran_on;
}

static void free_scene(scene_t *scene)
{
	talloc_free(scene->core);
	g_free(scene->ran_on);
	g_free(scene);
}

/* Without faults, a replica that is level with the primary serves the read. */
static void test_level(void)
{
	scene_t *scene = create_scene();

	g_assert_cmpstr(member_that_runs_read(scene), !=, "m0");
	free_scene(scene);
}

/*
 * Members m2 to m4 stop answering, so a later term may have been sealed there. The
 * primary and its replica m1 only agree with each other. A read with max_age 400 ms
 * must not be served by m1 half a second later.
 */
static void test_no_majority(void)
{
	scene_t *scene = create_scene();

	for (int i = 2; i < MEMBERS; i++)
		scene->responds[i] = false;
	run_for(scene, USEC_PER_SEC / 2);
	g_assert_cmpstr(member_that_runs_read(scene), !=, "m1");
	free_scene(scene);
}

/* The replicas lag by more than max_age while the primary's log grows. */
static void test_lagging(void)
{
	scene_t *scene = create_scene();

	for (int i = 0; i < 60; i++) {
		scene->lsn[0]++;
		run_for(scene, STEP);
	}
	g_assert_cmpstr(member_that_runs_read(scene), ==, "m0");
	free_scene(scene);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ages/level", test_level);
	g_test_add_func("/ages/no-majority", test_no_majority);
	g_test_add_func("/ages/lagging", test_lagging);
	return g_test_run();
}
