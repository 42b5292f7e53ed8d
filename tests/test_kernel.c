/* Unit tests of kernel/: timers on a manual clock, settings and their errors, log levels. */
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "clock.h"
#include "list.h"
#include "log.h"
#include "settings.h"
#include "timer.h"

typedef struct ring {
	run_timer_t timer;
	int *order;
	int *next;
	int number;
} ring_t;

static void on_ring(run_timer_t *timer, usec_t now)
{
	ring_t *ring = list_entry(timer, ring_t, timer);

	(void)now;
	ring->order[(*ring->next)++] = ring->number;
}

static void test_timers_in_order(void)
{
	enum { COUNT = 200 };
	static ring_t rings[COUNT];
	int order[COUNT];
	int next = 0;
	manual_clock_t clock;
	timer_set_t set;

	manual_clock_init(&clock, 1000);
	timers_init(&set);
	for (int i = 0; i < COUNT; i++) {
		int due = (i * 37) % COUNT;

		rings[i] = (ring_t){.order = order, .next = &next, .number = due};
		g_assert_cmpint(timers_arm(&set, &rings[i].timer,
					   clock_now(&clock.base) + (usec_t)due, on_ring),
				==, 0);
	}
	timers_cancel(&set, &rings[0].timer); /* the timer that is due first */
	timers_expire(&set, clock_now(&clock.base));
	g_assert_cmpint(next, ==, 0);
	manual_clock_advance(&clock, COUNT);
	timers_expire(&set, clock_now(&clock.base));
	g_assert_cmpint(next, ==, COUNT - 1);
	for (int i = 0; i < next; i++)
		g_assert_cmpint(order[i], ==, i + 1);
	g_assert_cmpuint(timers_next_due(&set), ==, USEC_NEVER);
	timers_destroy(&set);
}

typedef struct sample {
	char *name;
	int64_t count;
	bool flag;
	string_list_t list;
} sample_t;

static const setting_t specs[] = {
	{.key = "a.name", .type = SETTING_STRING, .offset = offsetof(sample_t, name), .unit = ""},
	{.key = "a.count",
	 .type = SETTING_INT,
	 .offset = offsetof(sample_t, count),
	 .default_text = "7",
	 .min = 1,
	 .max = 9,
	 .unit = "pieces"},
	{.key = "b.flag",
	 .type = SETTING_BOOL,
	 .offset = offsetof(sample_t, flag),
	 .default_text = "true",
	 .unit = ""},
	{.key = "b.list",
	 .type = SETTING_LIST,
	 .offset = offsetof(sample_t, list),
	 .default_text = "",
	 .unit = ""},
};

static int parse(const char *text, sample_t **out, err_t *err)
{
	*out = talloc_zero(NULL, sample_t);
	return settings_parse(text, "x.toml", specs, G_N_ELEMENTS(specs), *out, err);
}

static void test_settings_valid(void)
{
	sample_t *sample;
	err_t err = {0};

	g_assert_cmpint(parse("[a]\nname = \"n\"\n[b]\nlist = [\"x\", \"y\"]\n", &sample, &err), ==,
			0);
	g_assert_cmpstr(sample->name, ==, "n");
	g_assert_cmpint(sample->count, ==, 7);
	g_assert_true(sample->flag);
	g_assert_cmpuint(sample->list.len, ==, 2);
	g_assert_cmpstr(sample->list.items[1], ==, "y");
	talloc_free(sample);
}

/* Each error message contains the file, the line, the key, the value and what was expected. */
static void test_settings_errors(void)
{
	static const struct {
		const char *text;
		const char *expected;
	} cases[] = {
		{"[a]\nname = 3\n", "line 2: a.name = 3: expected a string"},
		{"[a]\nname = \"n\"\n\ncount = 12\n",
		 "line 4: a.count = 12: expected an integer from 1 to 9 pieces"},
		{"[a]\nname = \"n\"\nsize = 1\n", "line 3: a.size = 1: expected a known key"},
		{"[b]\nflag = true\n", "a.name is missing: expected a string"},
		{"[a]\nname = \"n\"\n[b]\nlist = [1]\n", "line 4: b.list = [1]: expected a list"},
		{"[a\n", "line 1: not TOML"},
	};

	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		sample_t *sample;
		err_t err = {0};

		g_assert_cmpint(parse(cases[i].text, &sample, &err), ==, -EINVAL);
		g_assert_cmpstr(err.peer, ==, "x.toml");
		g_assert_true(g_str_has_prefix(err.text, cases[i].expected));
		talloc_free(sample);
	}
}

static void test_log_levels(void)
{
	log_level_t level;

	g_assert_cmpint(log_level_parse("debug", &level), ==, 0);
	g_assert_cmpint(level, ==, LOG_DBG);
	g_assert_cmpint(log_level_parse("loud", &level), ==, -EINVAL);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/timer/order", test_timers_in_order);
	g_test_add_func("/settings/sound", test_settings_valid);
	g_test_add_func("/settings/errors", test_settings_errors);
	g_test_add_func("/log/levels", test_log_levels);
	return g_test_run();
}
