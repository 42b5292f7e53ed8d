/*
 * The age of replica reads, tested with artificial reports to a single core.
 * The group has five members: enough that a superseded primary can keep a replica,
 * whose data then always looks as fresh as that primary's.
 */
#include <string.h>

#include <glib.h>

#include "core_scene.h"

#define MEMBERS 5
#define GROUP	"g"
#define ROW	"{\"group\": \"g\", \"kind\": \"read\", \"max_age_ms\": 400, \"connections\": 2}"

static core_scene_t *create_scene(void)
{
	return core_scene_create(GROUP, MEMBERS, ROW);
}

static const char *member_that_runs_read(core_scene_t *scene)
{
	g_clear_pointer(&scene->ran_on, g_free);
	core_scene_read(scene);
	return scene->ran_on;
}

/* Without faults, a replica that is level with the primary serves the read. */
static void test_level(void)
{
	core_scene_t *scene = create_scene();

	g_assert_cmpstr(member_that_runs_read(scene), !=, "m0");
	core_scene_destroy(scene);
}

/*
 * Members m2 to m4 stop answering, so a later term may have been sealed there. The
 * primary and its replica m1 only agree with each other. A read with max_age 400 ms
 * must not be served by m1 half a second later.
 */
static void test_no_majority(void)
{
	core_scene_t *scene = create_scene();

	for (int i = 2; i < MEMBERS; i++)
		scene->responds[i] = false;
	core_scene_run_for(scene, USEC_PER_SEC / 2);
	g_assert_cmpstr(member_that_runs_read(scene), !=, "m1");
	core_scene_destroy(scene);
}

/* The replicas lag by more than max_age while the primary's log grows. */
static void test_lagging(void)
{
	core_scene_t *scene = create_scene();

	for (int i = 0; i < 60; i++) {
		scene->lsn[0]++;
		core_scene_run_for(scene, SCENE_STEP);
	}
	g_assert_cmpstr(member_that_runs_read(scene), ==, "m0");
	core_scene_destroy(scene);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ages/level", test_level);
	g_test_add_func("/ages/no-majority", test_no_majority);
	g_test_add_func("/ages/lagging", test_lagging);
	return g_test_run();
}
