/*
 * Runs every tests/golden/NAME.session in simulated time and compares all actions
 * with NAME.golden. GOLDEN_WRITE=1 rewrites the golden files.
 */
#include <string.h>

#include <glib.h>

#include "session.h"

#define GOLDEN_DIR "tests/golden"

static void play_session(gconstpointer data)
{
	const char *name = data;
	char *session = g_strdup_printf(GOLDEN_DIR "/%s.session", name);
	char *golden = g_strdup_printf(GOLDEN_DIR "/%s.golden", name);
	char *expected = NULL;
	world_t *world = session_play(session);

	g_assert_cmpstr(world_violations(world), ==, "");
	if (g_getenv("GOLDEN_WRITE") != NULL)
		g_assert_true(g_file_set_contents(golden, world_timeline(world), -1, NULL));
	g_assert_true(g_file_get_contents(golden, &expected, NULL, NULL));
	g_assert_cmpstr(world_timeline(world), ==, expected);
	world_destroy(world);
	g_free(expected);
	g_free(golden);
	g_free(session);
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

int main(int argc, char **argv)
{
	GDir *dir = g_dir_open(GOLDEN_DIR, 0, NULL);
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	const char *file;
	int rc;

	g_test_init(&argc, &argv, NULL);
	g_assert_nonnull(dir);
	while ((file = g_dir_read_name(dir)) != NULL) {
		if (g_str_has_suffix(file, ".session"))
			g_ptr_array_add(names, g_strndup(file, strlen(file) - strlen(".session")));
	}
	g_dir_close(dir);
	g_ptr_array_sort(names, compare_names);
	g_assert_cmpint(names->len, >, 0);
	for (guint i = 0; i < names->len; i++) {
		char *path = g_strdup_printf("/golden/%s", (char *)names->pdata[i]);

		g_test_add_data_func(path, names->pdata[i], play_session);
		g_free(path);
	}
	rc = g_test_run();
	g_ptr_array_unref(names);
	return rc;
}
