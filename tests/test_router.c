/*
 * Requests between proxies, tested with artificial messages and reports to a single core: what the
 * home of a group runs, and what another proxy sends to it.
 */

#include <glib.h>

#include "core_scene.h"

#define MEMBERS 3
#define PEERS	8
#define GROUP	"orders"
#define ROW	"{\"group\": \"orders\", \"kind\": \"read\", \"max_age_ms\": 400, \"connections\": 2}"

static core_scene_t *create_scene(void)
{
	return core_scene_create(GROUP, MEMBERS, ROW);
}

/* A request of another proxy, whose table has the row at that group. */
static void receive_request(core_scene_t *scene, const char *group)
{
	query_t query = {.verb = VERB_STATEMENT,
			 .service = "s",
			 .class_name = "c",
			 .group = (char *)group,
			 .text = "SELECT 1",
			 .min_position = {.term = SCENE_TERM, .lsn = 5},
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
	core_scene_deliver(scene, &event);
}

static void add_peers(core_scene_t *scene)
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
		core_scene_deliver(scene, &event);
	}
}

/*
 * Guards against a session that misses its own write: its position in the log of one group was
 * compared with the log of another one, to which the home's newer table has moved the row.
 */
static void test_row_at_another_group(void)
{
	core_scene_t *scene = create_scene();

	receive_request(scene, "before");
	g_assert_cmpuint(scene->runs, ==, 0);
	g_assert_cmpint(scene->refusal, ==, REFUSAL_NO_HOME);
	receive_request(scene, GROUP);
	g_assert_cmpuint(scene->runs, ==, 1);
	/* A proxy of an earlier version names no group. */
	receive_request(scene, NULL);
	g_assert_cmpuint(scene->runs, ==, 1);
	core_scene_destroy(scene);
}

/* The request names the group whose position it carries. */
static void test_request_names_group(void)
{
	core_scene_t *scene = create_scene();

	add_peers(scene);
	core_scene_read(scene);
	g_assert_cmpstr(scene->sent_group, ==, GROUP);
	core_scene_destroy(scene);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/router/row-at-another-group", test_row_at_another_group);
	g_test_add_func("/router/request-names-group", test_request_names_group);
	return g_test_run();
}
