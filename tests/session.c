#include "session.h"

#include <stdlib.h>
#include <string.h>

#define MAX_WORDS 16

typedef struct player {
	const char *path;
	int line;
	world_config_t config;
	world_t *world;
	usec_t at;
} player_t;

static usec_t parse_msec(const char *text)
{
	return (usec_t)(g_ascii_strtod(text, NULL) * 1000.0);
}

static const char *option_value(char **words, const char *name)
{
	size_t len = strlen(name);

	for (int i = 0; words[i] != NULL; i++) {
		if (strncmp(words[i], name, len) == 0 && words[i][len] == '=')
			return words[i] + len + 1;
	}
	return NULL;
}

static bool has_flag(char **words, const char *name)
{
	return g_strv_contains((const gchar *const *)words, name);
}

static const result_t *find_result(const player_t *player, const char *name)
{
	const result_t *found = name != NULL ? world_result(player->world, name) : NULL;

	if (name != NULL && found == NULL)
		g_error("%s:%d: no request named %s", player->path, player->line, name);
	return found;
}

/*
 * The handle used for a transaction whose BEGIN failed. It is well-formed but was
 * issued by no proxy: its statements are refused as lost, not as malformed.
 */
static const char *tx_handle(const result_t *tx)
{
	return tx->tx != NULL ? tx->tx : "nobody:0:0";
}

/*
 * words: VERB NAME PROXY [CLASS] [KEY] [VALUE] options. The positions of CLASS, KEY
 * and VALUE depend on the verb, 0: none.
 */
static void send_request(player_t *player, verb_t verb, char **words, int class_at, int key_at,
			 int value_at)
{
	const result_t *session = find_result(player, option_value(words, "session"));
	const result_t *tx = find_result(player, option_value(words, "tx"));
	const char *deadline = option_value(words, "deadline");
	const char *forged = option_value(words, "token");
	world_request_t request = {
		.name = words[1],
		.proxy = world_node(words[2]),
		.class_name = class_at > 0 ? words[class_at] : "assign",
		.verb = verb,
		.key = key_at > 0 ? words[key_at] : NULL,
		.value = value_at > 0 ? words[value_at] : NULL,
		.request_id = option_value(words, "id"),
		.token = session != NULL ? session->token : forged,
		.tx = tx != NULL ? tx_handle(tx) : NULL,
		.repeatable = has_flag(words, "repeatable"),
		.resend = has_flag(words, "resend"),
		.token_lost = has_flag(words, "continued"),
		.deadline = deadline != NULL ? parse_msec(deadline) : 0,
	};

	world_request(player->world, &request);
}

static void do_write(player_t *player, char **words)
{
	send_request(player, VERB_STATEMENT, words, 0, 3, 4);
}

static void do_read(player_t *player, char **words)
{
	send_request(player, VERB_STATEMENT, words, 3, 4, 0);
}

static void do_begin(player_t *player, char **words)
{
	send_request(player, VERB_BEGIN, words, 0, 0, 0);
}

static void do_put(player_t *player, char **words)
{
	send_request(player, VERB_TX_STATEMENT, words, 0, 3, 4);
}

static void do_commit(player_t *player, char **words)
{
	send_request(player, VERB_COMMIT, words, 0, 0, 0);
}

static void do_rollback(player_t *player, char **words)
{
	send_request(player, VERB_ROLLBACK, words, 0, 0, 0);
}

static void do_edit(player_t *player, char **words)
{
	const char *base = option_value(words, "base");

	world_edit(player->world, world_node(words[2]), words[1], words[3], words[4],
		   base != NULL ? (uint64_t)atoi(base) : 1);
}

static void do_kill(player_t *player, char **words)
{
	world_kill(player->world, world_node(words[1]));
}

static void do_vanish(player_t *player, char **words)
{
	world_vanish(player->world, world_node(words[1]));
}

static void do_freeze(player_t *player, char **words)
{
	world_freeze(player->world, world_node(words[1]), parse_msec(words[2]));
}

static void do_cut(player_t *player, char **words)
{
	for (int i = 2; words[i] != NULL; i++)
		world_cut(player->world, world_node(words[1]), world_node(words[i]), true);
}

static void do_heal(player_t *player, char **words)
{
	for (int i = 2; words[i] != NULL; i++)
		world_cut(player->world, world_node(words[1]), world_node(words[i]), false);
}

static void do_stall(player_t *player, char **words)
{
	world_delay_messages(player->world, world_node(words[1]), world_node(words[2]),
			     parse_msec(words[3]));
}

static void do_unlink(player_t *player, char **words)
{
	world_disconnect(player->world, world_node(words[1]), world_node(words[2]),
			 parse_msec(words[3]));
}

static void do_lag(player_t *player, char **words)
{
	world_set_lag(player->world, parse_msec(words[1]));
}

static void do_lose(player_t *player, char **words)
{
	world_lose_answers(player->world, atoi(words[1]));
}

static void do_leave(player_t *player, char **words)
{
	world_leave(player->world, world_node(words[1]));
}

static void do_drain(player_t *player, char **words)
{
	world_drain(player->world, world_node(words[1]));
}

static void do_end(player_t *player, char **words)
{
	(void)player;
	(void)words;
}

/* expect NAME OUTCOME [value=V] [member=M] [not-member=M] [refusal=R] [within=MS] [repeated] */
static void do_expect(player_t *player, char **words)
{
	const result_t *got = find_result(player, words[1]);
	const char *value = option_value(words, "value");
	const char *member = option_value(words, "member");
	const char *spared = option_value(words, "not-member");
	const char *refusal = option_value(words, "refusal");
	const char *within = option_value(words, "within");

	if (!got->answered)
		g_error("%s:%d: %s has no answer", player->path, player->line, words[1]);
	if (strcmp(outcome_name(got->outcome), words[2]) != 0)
		g_error("%s:%d: %s is %s (%s)", player->path, player->line, words[1],
			outcome_name(got->outcome), refusal_name(got->refusal));
	if (value != NULL && g_strcmp0(got->value, value) != 0)
		g_error("%s:%d: %s read %s", player->path, player->line, words[1], got->value);
	if (member != NULL && g_strcmp0(got->member, member) != 0)
		g_error("%s:%d: %s was served by %s", player->path, player->line, words[1],
			got->member);
	if (spared != NULL && g_strcmp0(got->member, spared) == 0)
		g_error("%s:%d: %s was served by %s", player->path, player->line, words[1], spared);
	if (refusal != NULL && strcmp(refusal_name(got->refusal), refusal) != 0)
		g_error("%s:%d: %s refused for %s", player->path, player->line, words[1],
			refusal_name(got->refusal));
	if (within != NULL && got->answered_at - got->requested_at > parse_msec(within))
		g_error("%s:%d: %s took %.1f ms", player->path, player->line, words[1],
			(double)(got->answered_at - got->requested_at) / 1000.0);
	if (has_flag(words, "repeated") && !got->repeated)
		g_error("%s:%d: %s is not the answer of an earlier attempt", player->path,
			player->line, words[1]);
}

static void do_expect_edit(player_t *player, char **words)
{
	const char *got = world_edit_outcome(player->world, words[1]);

	if (g_strcmp0(got, words[2]) != 0)
		g_error("%s:%d: edit %s is %s", player->path, player->line, words[1], got);
}

static void do_expect_version(player_t *player, char **words)
{
	uint64_t got = world_table_version(player->world, world_node(words[1]));

	if (got != (uint64_t)atoi(words[2]))
		g_error("%s:%d: %s has version %d", player->path, player->line, words[1], (int)got);
}

static void do_expect_value(player_t *player, char **words)
{
	const char *got = world_value(player->world, words[1]);

	if (g_strcmp0(got, strcmp(words[2], "none") == 0 ? NULL : words[2]) != 0)
		g_error("%s:%d: %s is %s", player->path, player->line, words[1], got);
}

static void do_expect_runs(player_t *player, char **words)
{
	int got = world_count_request_id(player->world, words[1]);

	if (got != atoi(words[2]))
		g_error("%s:%d: %s ran %d times", player->path, player->line, words[1], got);
}

static const struct {
	const char *word;
	int min_words;
	void (*run)(player_t *player, char **words);
} commands[] = {
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
	{"end", 1, do_end},
	{"expect", 3, do_expect},
	{"expect-edit", 3, do_expect_edit},
	{"expect-version", 3, do_expect_version},
	{"expect-value", 3, do_expect_value},
	{"expect-runs", 3, do_expect_runs},
};

static void set_config(player_t *player, char **words)
{
	world_config_t *config = &player->config;

	if (strcmp(words[1], "proxies") == 0)
		config->proxies = atoi(words[2]);
	else if (strcmp(words[1], "lag") == 0)
		config->replication_lag = parse_msec(words[2]);
	else if (strcmp(words[1], "service") == 0)
		config->service_time = parse_msec(words[2]);
	else if (strcmp(words[1], "max-age") == 0)
		config->max_age = parse_msec(words[2]);
	else if (strcmp(words[1], "small-fleet") == 0)
		config->small_fleet = atoi(words[2]);
	else if (strcmp(words[1], "seed") == 0)
		config->seed = (uint64_t)atoi(words[2]);
	else if (strcmp(words[1], "fixed-detection") == 0)
		config->fixed_detection = strcmp(words[2], "on") == 0;
	else
		g_error("%s:%d: unknown setting %s", player->path, player->line, words[1]);
}

/* Runs "at MS COMMAND ...", or "COMMAND ..." at the time of the previous line. */
static void play_line(player_t *player, int count, char **words)
{
	if (strcmp(words[0], "set") == 0) {
		set_config(player, words);
		return;
	}
	if (player->world == NULL)
		player->world = world_create(&player->config);
	if (strcmp(words[0], "at") == 0) {
		player->at = parse_msec(words[1]);
		words += 2;
		count -= 2;
	}
	world_run(player->world, player->at);
	if (strcmp(words[0], "end") == 0 && g_getenv("SESSION_TRACE") != NULL)
		g_printerr("%s", world_timeline(player->world));
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].word, words[0]) == 0 && count >= commands[i].min_words) {
			commands[i].run(player, words);
			return;
		}
	}
	g_error("%s:%d: unknown command, or too few words: %s", player->path, player->line,
		words[0]);
}

world_t *session_play(const char *path)
{
	player_t player = {.path = path, .config = world_config_default()};
	gchar *text = NULL;
	gchar **lines;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		g_error("%s: can't be read", path);
	lines = g_strsplit(text, "\n", -1);
	for (int i = 0; lines[i] != NULL; i++) {
		gint count = 0;
		gchar **words = NULL;

		player.line = i + 1;
		g_strstrip(lines[i]);
		if (lines[i][0] == '\0' || lines[i][0] == '#')
			continue;
		if (!g_shell_parse_argv(lines[i], &count, &words, NULL))
			g_error("%s:%d: unbalanced quotes", path, player.line);
		play_line(&player, count, words);
		g_strfreev(words);
	}
	g_strfreev(lines);
	g_free(text);
	return player.world;
}
