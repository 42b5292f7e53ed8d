/*
 * The age of replica reads, by hand-made reports to one core. The group has five
 * members: enough that a superseded primary can keep a replica of its own, whose
 * data then looks as fresh as that primary for ever.
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
	char *ran_on; /* the first member that a read was started on */
} scene_t;

static void give(scene_t *scene, const event_t *event);

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
	give(scene, &event);
}

static void open_connection(scene_t *scene, const action_t *action)
{
	event_t event = {.kind = EVENT_CONN_UP, .id = action->id};

	give(scene, &event);
}

static void give(scene_t *scene, const event_t *event)
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

static void run(scene_t *scene, usec_t for_how_long)
{
	event_t tick = {.kind = EVENT_TICK};

	for (usec_t end = scene->now + for_how_long; scene->now < end; scene->now += STEP)
		give(scene, &tick);
}

static char *group_text(void)
{
	GString *text = g_string_new("{\"members\": [");

	for (int i = 0; i < MEMBERS; i++)
		g_string_append_printf(
			text, "%s{\"name\": \"m%d\", \"zone\": \"z\", \"address\": \"h:%d\"}",
			i > 0 ? ", " : "", i, i);
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

static scene_t *make(void)
{
	scene_t *scene = g_new0(scene_t, 1);
	core_config_t config = {.name = "p0",
				.zone = "z",
				.address = "h:9",
				.incarnation = 1,
				.seed = 1,
				.timings = core_timings_default()};
	char *group = group_text();
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
	give(scene, &loaded);
	run(scene, USEC_PER_SEC / 2);
	g_free(group);
	return scene;
}

static const char *read_goes_to(scene_t *scene)
{
	query_t query = {.verb = VERB_STATEMENT,
			 .service = "s",
			 .class_name = "c",
			 .text = "SELECT 1",
			 .time_left = USEC_PER_SEC};
	event_t event = {.kind = EVENT_QUERY, .id = 1, .query = {.query = &query}};

	g_clear_pointer(&scene->ran_on, g_free);
	give(scene, &event);
	return scene->ran_on;
}

static void free_scene(scene_t *scene)
{
	talloc_free(scene->core);
	g_free(scene->ran_on);
	g_free(scene);
}

/* All is well: a replica that is level with the primary serves the read. */
static void test_level(void)
{
	scene_t *scene = make();

	g_assert_cmpstr(read_goes_to(scene), !=, "m0");
	free_scene(scene);
}

/*
 * Members m2 to m4 stop answering: a later term may have been sealed there. The
 * primary and its replica m1 agree with each other, and only with each other. A
 * read with a bound of 400 ms must not be served by m1 half a second later.
 */
static void test_no_majority(void)
{
	scene_t *scene = make();

	for (int i = 2; i < MEMBERS; i++)
		scene->responds[i] = false;
	run(scene, USEC_PER_SEC / 2);
	g_assert_cmpstr(read_goes_to(scene), !=, "m1");
	free_scene(scene);
}

/* The replicas lag further than the bound while the primary's log goes on. */
static void test_lagging(void)
{
	scene_t *scene = make();

	for (int i = 0; i < 60; i++) {
		scene->lsn[0]++;
		run(scene, STEP);
	}
	g_assert_cmpstr(read_goes_to(scene), ==, "m0");
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
