#include "session.h"

#include <stdlib.h>
#include <string.h>

#define MAX_WORDS 16

typedef struct play {
	const char *path;
	int line;
	world_config_t config;
	world_t *world;
	usec_t at;
} play_t;

static usec_t msec(const char *text)
{
	return (usec_t)(g_ascii_strtod(text, NULL) * 1000.0);
}

static const char *option(char **words, const char *name)
{
	size_t len = strlen(name);

	for (int i = 0; words[i] != NULL; i++) {
		if (strncmp(words[i], name, len) == 0 && words[i][len] == '=')
			return words[i] + len + 1;
	}
	return NULL;
}

static bool flag(char **words, const char *name)
{
	return g_strv_contains((const gchar *const *)words, name);
}

static const result_t *find_result(const play_t *play, const char *name)
{
	const result_t *found = name != NULL ? world_result(play->world, name) : NULL;

	if (name != NULL && found == NULL)
		g_error("%s:%d: no request %s", play->path, play->line, name);
	return found;
}

/* A transaction that did not begin has no handle: its statements are refused, not malformed. */
static const char *handle_of(const result_t *tx)
{
	return tx->tx != NULL ? tx->tx : "nobody:0:0";
}

/* words: VERB NAME PROXY [CLASS] [KEY] [VALUE] options; what stands where depends on the verb. */
static void ask(play_t *play, verb_t verb, char **words, int class_at, int key_at, int value_at)
{
	const result_t *session = find_result(play, option(words, "session"));
	const result_t *tx = find_result(play, option(words, "tx"));
	const char *deadline = option(words, "deadline");
	const char *forged = option(words, "token");
	world_request_t request = {
		.name = words[1],
		.proxy = world_node(words[2]),
		.class_name = class_at > 0 ? words[class_at] : "assign",
		.verb = verb,
		.key = key_at > 0 ? words[key_at] : NULL,
		.value = value_at > 0 ? words[value_at] : NULL,
		.request_id = option(words, "id"),
		.token = session != NULL ? session->token : forged,
		.tx = tx != NULL ? handle_of(tx) : NULL,
		.repeatable = flag(words, "repeatable"),
		.resend = flag(words, "resend"),
		.token_lost = flag(words, "continued"),
		.deadline = deadline != NULL ? msec(deadline) : 0,
	};

	world_request(play->world, &request);
}

static void do_write(play_t *play, char **words)
{
	ask(play, VERB_STATEMENT, words, 0, 3, 4);
}

static void do_read(play_t *play, char **words)
{
	ask(play, VERB_STATEMENT, words, 3, 4, 0);
}

static void do_begin(play_t *play, char **words)
{
	ask(play, VERB_BEGIN, words, 0, 0, 0);
}

static void do_put(play_t *play, char **words)
{
	ask(play, VERB_TX_STATEMENT, words, 0, 3, 4);
}

static void do_commit(play_t *play, char **words)
{
	ask(play, VERB_COMMIT, words, 0, 0, 0);
}

static void do_rollback(play_t *play, char **words)
{
	ask(play, VERB_ROLLBACK, words, 0, 0, 0);
}

static void do_edit(play_t *play, char **words)
{
	const char *base = option(words, "base");

	world_edit(play->world, world_node(words[2]), words[1], words[3], words[4],
		   base != NULL ? (uint64_t)atoi(base) : 1);
}

static void do_kill(play_t *play, char **words)
{
	world_kill(play->world, world_node(words[1]));
}

static void do_vanish(play_t *play, char **words)
{
	world_vanish(play->world, world_node(words[1]));
}

static void do_freeze(play_t *play, char **words)
{
	world_freeze(play->world, world_node(words[1]), msec(words[2]));
}

static void do_cut(play_t *play, char **words)
{
	for (int i = 2; words[i] != NULL; i++)
		world_cut(play->world, world_node(words[1]), world_node(words[i]), true);
}

static void do_heal(play_t *play, char **words)
{
	for (int i = 2; words[i] != NULL; i++)
		world_cut(play->world, world_node(words[1]), world_node(words[i]), false);
}

static void do_stall(play_t *play, char **words)
{
	world_delay_messages(play->world, world_node(words[1]), world_node(words[2]),
			     msec(words[3]));
}

static void do_unlink(play_t *play, char **words)
{
	world_disconnect(play->world, world_node(words[1]), world_node(words[2]), msec(words[3]));
}

static void do_lag(play_t *play, char **words)
{
	world_set_lag(play->world, msec(words[1]));
}

static void do_lose(play_t *play, char **words)
{
	world_lose_answers(play->world, atoi(words[1]));
}

static void do_leave(play_t *play, char **words)
{
	world_leave(play->world, world_node(words[1]));
}

static void do_drain(play_t *play, char **words)
{
	world_drain(play->world, world_node(words[1]));
}

static void do_nothing(play_t *play, char **words)
{
	(void)play;
	(void)words;
}

/* expect NAME OUTCOME [value=V] [member=M] [not-member=M] [refusal=R] [within=MS] [repeated] */
static void do_expect(play_t *play, char **words)
{
	const result_t *got = find_result(play, words[1]);
	const char *value = option(words, "value");
	const char *member = option(words, "member");
	const char *spared = option(words, "not-member");
	const char *refusal = option(words, "refusal");
	const char *within = option(words, "within");

	if (!got->answered)
		g_error("%s:%d: %s has no answer", play->path, play->line, words[1]);
	if (strcmp(outcome_name(got->outcome), words[2]) != 0)
		g_error("%s:%d: %s is %s (%s)", play->path, play->line, words[1],
			outcome_name(got->outcome), refusal_name(got->refusal));
	if (value != NULL && g_strcmp0(got->value, value) != 0)
		g_error("%s:%d: %s read %s", play->path, play->line, words[1], got->value);
	if (member != NULL && g_strcmp0(got->member, member) != 0)
		g_error("%s:%d: %s was served by %s", play->path, play->line, words[1],
			got->member);
	if (spared != NULL && g_strcmp0(got->member, spared) == 0)
		g_error("%s:%d: %s was served by %s", play->path, play->line, words[1], spared);
	if (refusal != NULL && strcmp(refusal_name(got->refusal), refusal) != 0)
		g_error("%s:%d: %s refused for %s", play->path, play->line, words[1],
			refusal_name(got->refusal));
	if (within != NULL && got->answered_at - got->requested_at > msec(within))
		g_error("%s:%d: %s took %.1f ms", play->path, play->line, words[1],
			(double)(got->answered_at - got->requested_at) / 1000.0);
	if (flag(words, "repeated") && !got->repeated)
		g_error("%s:%d: %s is not the answer of an earlier attempt", play->path, play->line,
			words[1]);
}

static void do_expect_edit(play_t *play, char **words)
{
	const char *got = world_edit_outcome(play->world, words[1]);

	if (g_strcmp0(got, words[2]) != 0)
		g_error("%s:%d: edit %s is %s", play->path, play->line, words[1], got);
}

static void do_expect_version(play_t *play, char **words)
{
	uint64_t got = world_table_version(play->world, world_node(words[1]));

	if (got != (uint64_t)atoi(words[2]))
		g_error("%s:%d: %s has version %d", play->path, play->line, words[1], (int)got);
}

static void do_expect_value(play_t *play, char **words)
{
	const char *got = world_value(play->world, words[1]);

	if (g_strcmp0(got, strcmp(words[2], "none") == 0 ? NULL : words[2]) != 0)
		g_error("%s:%d: %s is %s", play->path, play->line, words[1], got);
}

static void do_expect_runs(play_t *play, char **words)
{
	int got = world_count_request_id(play->world, words[1]);

	if (got != atoi(words[2]))
		g_error("%s:%d: %s ran %d times", play->path, play->line, words[1], got);
}

static const struct {
	const char *word;
	int min_words;
	void (*run)(play_t *play, char **words);
} words_known[] = {
	{"write", 5, do_write},
	{"read", 5, do_read},
	{"begin", 3, do_begin},
	{"put", 5, do_put},
	{"commit", 3, do_commit},
	{"rollback", 3, do_rollback},
	{"edit", 5, do_edit},
	{"kill", 2, do_kill},
	{"vanish", 2, do_vanish},
	{"freeze", 3, do_freeze},
	{"cut", 3, do_cut},
	{"heal", 3, do_heal},
	{"stall", 4, do_stall},
	{"unlink", 4, do_unlink},
	{"lag", 2, do_lag},
	{"lose-answers", 2, do_lose},
	{"leave", 2, do_leave},
	{"drain", 2, do_drain},
	{"end", 1, do_nothing},
	{"expect", 3, do_expect},
	{"expect-edit", 3, do_expect_edit},
	{"expect-version", 3, do_expect_version},
	{"expect-value", 3, do_expect_value},
	{"expect-runs", 3, do_expect_runs},
};

static void set_config(play_t *play, char **words)
{
	world_config_t *config = &play->config;

	if (strcmp(words[1], "proxies") == 0)
		config->proxies = atoi(words[2]);
	else if (strcmp(words[1], "lag") == 0)
		config->replication_lag = msec(words[2]);
	else if (strcmp(words[1], "service") == 0)
		config->service_time = msec(words[2]);
	else if (strcmp(words[1], "max-age") == 0)
		config->max_age = msec(words[2]);
	else if (strcmp(words[1], "small-fleet") == 0)
		config->small_fleet = atoi(words[2]);
	else if (strcmp(words[1], "seed") == 0)
		config->seed = (uint64_t)atoi(words[2]);
	else if (strcmp(words[1], "fixed-detection") == 0)
		config->fixed_detection = strcmp(words[2], "on") == 0;
	else
		g_error("%s:%d: no setting %s", play->path, play->line, words[1]);
}

/* "at MS WORD ...", or "WORD ..." at the time of the line before. */
static void play_line(play_t *play, int count, char **words)
{
	if (strcmp(words[0], "set") == 0) {
		set_config(play, words);
		return;
	}
	if (play->world == NULL)
		play->world = world_create(&play->config);
	if (strcmp(words[0], "at") == 0) {
		play->at = msec(words[1]);
		words += 2;
		count -= 2;
	}
	world_run(play->world, play->at);
	if (strcmp(words[0], "end") == 0 && g_getenv("SESSION_TRACE") != NULL)
		g_printerr("%s", world_timeline(play->world));
	for (size_t i = 0; i < G_N_ELEMENTS(words_known); i++) {
		if (strcmp(words_known[i].word, words[0]) == 0 &&
		    count >= words_known[i].min_words) {
			words_known[i].run(play, words);
			return;
		}
	}
	g_error("%s:%d: don't understand %s", play->path, play->line, words[0]);
}

world_t *session_play(const char *path)
{
	play_t play = {.path = path, .config = world_config_default()};
	gchar *text = NULL;
	gchar **lines;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		g_error("%s: can't be read", path);
	lines = g_strsplit(text, "\n", -1);
	for (int i = 0; lines[i] != NULL; i++) {
		gint count = 0;
		gchar **words = NULL;

		play.line = i + 1;
		g_strstrip(lines[i]);
		if (lines[i][0] == '\0' || lines[i][0] == '#')
			continue;
		if (!g_shell_parse_argv(lines[i], &count, &words, NULL))
			g_error("%s:%d: quotes", path, play.line);
		play_line(&play, count, words);
		g_strfreev(words);
	}
	g_strfreev(lines);
	g_free(text);
	return play.world;
}
