/* Poolers as real processes: bad input, shutdown, logs, metrics, settings. */
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>

#include "harness.h"
#include "site.h"

static site_harness_t *site;

static void assert_reply(char *reply, const char *prefix)
{
	if (!g_str_has_prefix(reply, prefix))
		g_error("expected \"%s...\", got \"%s\"", prefix, reply);
	g_free(reply);
}

static void test_statements(void)
{
	site_caller_t *caller = site_open(site, 0, "jobs");

	assert_reply(site_ask(caller, "WRITE a one"), "DONE core-0");
	assert_reply(site_ask(caller, "READ a"), "ROW one\r\nDONE core-0\r\nREADY I 1.");
	site_disconnect(caller);
}

/* Two messages in one packet, and one message in many. */
static void test_packets(void)
{
	site_caller_t *caller = site_open(site, 0, "jobs");
	static const char two[] = "QUERY x1 WRITE b one\r\nQUERY x2 READ b\r\n";
	static const char many[] = "QUERY x3 READ b\r\n";

	site_send(caller, two, strlen(two));
	assert_reply(site_receive(caller), "DONE core-");
	assert_reply(site_receive(caller), "ROW one");
	for (size_t i = 0; i < strlen(many); i++) {
		site_send(caller, many + i, 1);
		g_usleep(1000);
	}
	assert_reply(site_receive(caller), "ROW one");
	site_disconnect(caller);
}

/* What is no message ends that connection with a clear error; the process lives. */
static void test_bad_input(void)
{
	static const char *const inputs[] = {
		"QUERY x READ a\r\n", /* before START */
		"HELLO\r\n",	      "\r\n", "START \r\n", "GET / HTTP/1.1\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(inputs); i++) {
		site_caller_t *caller = site_connect(site, 0);

		site_send(caller, inputs[i], strlen(inputs[i]));
		assert_reply(site_receive(caller), "ERR MALFORMED");
		site_disconnect(caller);
	}
	test_statements();
}

/* A statement that is broken is refused, and nothing of it reaches a member. */
static void test_bad_statements(void)
{
	static const char *const texts[] = {
		"",
		"READ",
		"WRITE a",
		"DROP a",
		"AFTER 1.1 READ a",
		"STATUS",
		"READ a\nQUERY y READ b",
	};
	site_caller_t *caller = site_open(site, 0, "jobs");

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		assert_reply(site_ask(caller, texts[i]), "ERR MALFORMED");
	assert_reply(site_ask(caller, "READ nothing"), "ROW none");
	site_disconnect(caller);
}

static void test_oversize(void)
{
	site_caller_t *caller = site_open(site, 0, "jobs");
	size_t len = 1100 * 1024;
	char *big = g_malloc(len);

	memset(big, 'x', len);
	memcpy(big, "QUERY x WRITE a ", 16);
	site_send(caller, big, len);
	/* The rest is unread at the close, which may reset the connection before the answer. */
	g_free(site_receive(caller));
	g_free(big);
	site_disconnect(caller);
	test_statements();
}

static void test_unknown_database(void)
{
	site_caller_t *caller = site_connect(site, 0);

	site_send(caller, "START nowhere x\r\n", 17);
	assert_reply(site_receive(caller), "ERR NODB");
	site_disconnect(caller);
}

/* A reader of metrics rejects all of them if one is described twice. */
static void assert_described_once(const char *metrics)
{
	GHashTable *seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	char **lines = g_strsplit(metrics, "\n", -1);

	for (char **line = lines; *line != NULL; line++) {
		if (g_str_has_prefix(*line, "# TYPE ") && !g_hash_table_add(seen, g_strdup(*line)))
			g_error("described twice: %s", *line);
	}
	g_strfreev(lines);
	g_hash_table_destroy(seen);
}

static void test_metrics_and_state(void)
{
	GString *body = g_string_new(NULL);
	json_t *state;

	g_assert_cmpint(site_get(site, 0, false, "/metrics", body), ==, 200);
	g_assert_nonnull(strstr(body->str, "cyclamenspan_statements_done_total "));
	g_assert_nonnull(strstr(body->str, "cyclamenspan_config_version 3"));
	g_assert_nonnull(strstr(body->str, "cyclamenspan_statement_seconds_bucket{"
					   "reads=\"primary\",outcome=\"done\",le=\"0.064\"} "));
	g_assert_nonnull(strstr(body->str, "cyclamenspan_store_calls_total{"
					   "call=\"range\",result=\"ok\"} "));
	g_assert_nonnull(strstr(body->str, "cyclamenspan_statements_not_served_total{"
					   "reason=\"unknown_statement\",outcome=\"malformed\"} "));
	g_assert_nonnull(strstr(body->str, "cyclamenspan_member_connections_open{service="));
	g_assert_nonnull(strstr(body->str, "cyclamenspan_roster_age_seconds "));
	assert_described_once(body->str);
	g_string_truncate(body, 0);
	g_assert_cmpint(site_get(site, 0, false, "/state", body), ==, 200);
	state = json_loads(body->str, 0, NULL);
	g_assert_true(json_is_true(json_object_get(json_object_get(state, "pooler"), "ready")));
	json_decref(state);
	g_assert_cmpint(site_get(site, 0, false, "/nothing", NULL), ==, 404);
	g_string_free(body, TRUE);
}

/* Each line of the log is a JSON object with its fields apart. */
static void test_log_lines(void)
{
	char *log = site_log(site, 0);
	char **lines = g_strsplit(log, "\n", -1);
	guint count = 0;

	for (char **line = lines; *line != NULL && line[1] != NULL; line++, count++) {
		json_error_t error;
		json_t *object = json_loads(*line, 0, &error);

		if (object == NULL)
			g_error("not JSON: %s (%s)", *line, error.text);
		g_assert_nonnull(json_string_value(json_object_get(object, "text")));
		json_decref(object);
	}
	g_assert_cmpuint(count, >, 5);
	g_assert_nonnull(strstr(log, "\"text\":\"leader changed\",\"holder\":\"p"));
	g_strfreev(lines);
	g_free(log);
}

/*
 * Nobody reads the log, and failures come in a flood. Callers are served as
 * before: lines are dropped and counted, the process never waits for them.
 */
static void test_log_without_reader(void)
{
	int pipe_fds[2];
	site_caller_t *caller;
	GString *metrics = g_string_new(NULL);
	gint64 began;

	g_assert_cmpint(pipe(pipe_fds), ==, 0);
	fcntl(pipe_fds[1], F_SETPIPE_SZ, 4096);
	site_start_proxy(site, 2, pipe_fds[1]);
	site_wait_ready(site, 2);
	caller = site_open(site, 2, "jobs");
	began = g_get_monotonic_time();
	for (int i = 0; i < 3000; i++)
		assert_reply(site_ask(caller, "EXEC unknown a"), "ERR NOSTMT");
	g_assert_cmpint(g_get_monotonic_time() - began, <, 30 * G_USEC_PER_SEC);
	site_get(site, 2, false, "/metrics", metrics);
	g_assert_null(strstr(metrics->str, "cyclamenspan_log_lines_limited_total 0\n"));
	g_string_free(metrics, TRUE);
	site_disconnect(caller);
	harness_kill(&site->proxies[2]);
	close(pipe_fds[0]);
	close(pipe_fds[1]);
}

static char *run_ctl(char **argv, int *status)
{
	char *output = NULL;

	g_assert_true(g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, &output, NULL,
				   status, NULL));
	return output;
}

/* A failed request's id is enough: the command finds its line, and what came before it. */
static void test_explain(void)
{
	char *program = harness_program("ctl/cyclamenctl");
	char *log = g_build_filename(site->dir, "p0.log", NULL);
	char *argv[] = {program, "explain", "failed-one", log, NULL};
	char *unknown[] = {program, "explain", "nobody", log, NULL};
	site_caller_t *caller = site_open(site, 0, "jobs");
	char *output;
	int status;

	site_send(caller, "QUERY failed-one EXEC none a\r\n", 31);
	assert_reply(site_receive(caller), "ERR NOSTMT");
	g_usleep(200000);
	output = run_ctl(argv, &status);
	g_assert_cmpint(status, ==, 0);
	g_assert_nonnull(strstr(output, "* "));
	g_assert_nonnull(strstr(output, "outcome=no_statement"));
	g_free(output);
	g_free(run_ctl(unknown, &status));
	g_assert_cmpint(status, !=, 0);
	site_disconnect(caller);
	g_free(log);
	g_free(program);
}

/* Changes of primary out of the logs of two proxies, one change left unfinished. */
static void test_changes(void)
{
	static const char text[] =
		"{\"time\":\"2026-01-01T00:00:01.000Z\",\"text\":\"member is asked whether it lives\","
		"\"service\":\"core\",\"member\":\"core-0\"}\n"
		"{\"time\":\"2026-01-01T00:00:01.300Z\",\"text\":\"primary is to be replaced\","
		"\"service\":\"core\",\"member\":\"core-0\",\"reason\":\"silent\"}\n"
		"no log line\n"
		"{\"time\":\"2026-01-01T00:00:03.000Z\",\"text\":\"primary in use\","
		"\"service\":\"core\",\"member\":\"core-1\"}\n"
		"p1 {\"time\":\"2026-01-01T00:00:01.500Z\",\"text\":\"change of primary\","
		"\"service\":\"core\",\"step\":\"promoting\",\"target\":\"core-1\"}\n"
		"p1 {\"time\":\"2026-01-01T00:00:02.600Z\",\"text\":\"change of primary\","
		"\"service\":\"core\",\"step\":\"committing\",\"target\":\"core-1\"}\n"
		"{\"time\":\"2026-01-01T00:00:09.000Z\",\"text\":\"primary is to be replaced\","
		"\"service\":\"core\",\"member\":\"core-1\",\"reason\":\"leaving\"}\n";
	char *program = harness_program("ctl/cyclamenctl");
	char *log = g_build_filename(site->dir, "changes.log", NULL);
	char *argv[] = {program, "changes", log, NULL};
	char *output;
	int status;

	g_assert_true(g_file_set_contents(log, text, -1, NULL));
	output = run_ctl(argv, &status);
	g_assert_cmpint(status, ==, 0);
	g_assert_nonnull(strstr(output, "core core-0 -> core-1, silent: detect 300 decide 200 "
					"promote 1100 resume 400 whole 2000 ms\n"));
	g_assert_nonnull(strstr(output, "core core-1 -> , leaving: not ended"));
	g_assert_nonnull(strstr(output, "whole    ms: min 2000, median 2000"));
	g_free(output);
	g_free(log);
	g_free(program);
}

/* The state of a pooler for people. */
static void test_ctl_pooler(void)
{
	char *program = harness_program("ctl/cyclamenctl");
	char *endpoint = g_strdup_printf("http://127.0.0.1:%d", site_operators_port(site, 0));
	char *argv[] = {program, "-e", endpoint, "pooler", NULL};
	int status;
	char *output = run_ctl(argv, &status);

	g_assert_cmpint(status, ==, 0);
	g_assert_nonnull(strstr(output, "proxy p0 ready, configuration 3"));
	g_assert_nonnull(strstr(output, "service core primary core-0"));
	g_free(output);
	g_free(endpoint);
	g_free(program);
}

static void wait_for_write(site_caller_t *caller)
{
	for (int i = 0; i < 100; i++) {
		char *reply = site_ask(caller, "WRITE d one");
		bool done = g_str_has_prefix(reply, "DONE core-");

		g_free(reply);
		if (done)
			return;
		g_usleep(100000);
	}
	g_assert_not_reached();
}

/*
 * What callers see: a session refused with "not ready yet", and again, until they give up. What
 * happens: the proxy starts while the store is away for a moment. Why waiting suffices: it serves
 * as soon as the store is back, within the time that callers wait for a session.
 */
static void test_start_while_the_store_is_away(void)
{
	site_caller_t *caller;

	kill(site->platform, SIGSTOP);
	site_start_proxy(site, 3, -1);
	while (site_get(site, 3, true, "/ready", NULL) != 503)
		g_usleep(10000);
	caller = site_connect(site, 3);
	site_send(caller, "START jobs x\r\n", 14);
	g_usleep(300000);
	kill(site->platform, SIGCONT);
	assert_reply(site_receive(caller), "READY I -");
	/* The members stood still with the store, so their primary may be about to change. */
	wait_for_write(caller);
	site_disconnect(caller);
	kill(site->proxies[3], SIGTERM);
	g_assert_cmpint(harness_wait(&site->proxies[3], 10000), ==, 0);
}

/* SIGTERM: not ready at once, an open transaction may end, then the process ends by itself. */
static void test_shutdown(void)
{
	site_caller_t *caller;

	site_start_proxy(site, 3, -1);
	site_wait_ready(site, 3);
	caller = site_open(site, 3, "jobs");
	assert_reply(site_ask(caller, "BEGIN"), "DONE");
	assert_reply(site_ask(caller, "WRITE c one"), "DONE core-");
	kill(site->proxies[3], SIGTERM);
	g_usleep(300000);
	g_assert_cmpint(site_get(site, 3, true, "/ready", NULL), ==, 503);
	assert_reply(site_ask(caller, "COMMIT"), "DONE core-");
	g_assert_cmpint(harness_wait(&site->proxies[3], 10000), ==, 0);
	site_disconnect(caller);
}

/*
 * What callers see: those that open a session until the last moment are told that it is ready, and
 * then cut off; operators see a shutdown that was cut short. What happens: one caller has sent half
 * a line, and its session is kept for unread input until the process is stopped by its grace. Why
 * it may be closed: it has sent no whole request, so there is nothing to answer.
 */
static void test_half_a_line_at_shutdown(void)
{
	site_caller_t *caller;

	site_start_proxy(site, 3, -1);
	site_wait_ready(site, 3);
	caller = site_open(site, 3, "jobs");
	site_send(caller, "QUERY x READ", 12);
	g_usleep(100000);
	kill(site->proxies[3], SIGTERM);
	g_assert_cmpint(harness_wait(&site->proxies[3], 10000), ==, 0);
	site_disconnect(caller);
}

/* In the settings of the proxy. */
static void replace_setting(int proxy, const char *from, const char *to)
{
	char *name = g_strdup_printf("p%d.toml", proxy);
	char *path = g_build_filename(site->dir, name, NULL);
	char *text = NULL;
	char **parts;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	parts = g_strsplit(text, from, -1);
	g_assert_cmpuint(g_strv_length(parts), ==, 2);
	g_free(text);
	text = g_strjoinv(to, parts);
	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	g_strfreev(parts);
	g_free(text);
	g_free(path);
	g_free(name);
}

/*
 * What the caller sees: its statement gets neither an answer nor a refusal. What happens: operators
 * have shortened the grace with a reload, and the proxy shuts down; the process ends with the new
 * grace, but refuses what is unanswered as if it had the old one. Why: there are two copies of it.
 */
static void test_shutdown_with_a_reloaded_grace(void)
{
	site_caller_t *caller;

	site_start_proxy(site, 3, -1);
	site_wait_ready(site, 3);
	replace_setting(3, "grace_s = 4", "grace_s = 0.6");
	kill(site->proxies[3], SIGHUP);
	g_usleep(300000);
	caller = site_open(site, 3, "jobs");
	kill(site->platform, SIGSTOP);
	site_send(caller, "QUERY reloaded WRITE e one\r\n", 28);
	g_usleep(20000);
	kill(site->proxies[3], SIGTERM);
	assert_reply(site_receive(caller), "ERR ");
	kill(site->platform, SIGCONT);
	harness_wait(&site->proxies[3], 10000);
	site_disconnect(caller);
	/* The members stood still with the store, so their primary may be about to change. */
	caller = site_open(site, 0, "jobs");
	wait_for_write(caller);
	site_disconnect(caller);
}

/* A caller beyond the limit is told so, and those that are there go on. */
static void test_too_many_callers(void)
{
	enum { MOST = 3 };
	site_caller_t *callers[MOST];
	site_caller_t *late;
	char *reply;

	/* Written with the first start, read with the next. */
	site_start_proxy(site, 3, -1);
	site_wait_ready(site, 3);
	kill(site->proxies[3], SIGTERM);
	harness_wait(&site->proxies[3], 10000);
	replace_setting(3, "[callers]\n", "[callers]\nmax = 3\n");
	site_restart_proxy(site, 3);
	site_wait_ready(site, 3);
	for (int i = 0; i < MOST; i++)
		callers[i] = site_open(site, 3, "jobs");
	late = site_connect(site, 3);
	reply = site_receive(late);
	g_assert_true(g_str_has_prefix(reply, "ERR TOOMANY"));
	g_free(reply);
	site_disconnect(late);
	for (int i = 0; i < MOST; i++) {
		assert_reply(site_ask(callers[i], "READ nothing"), "ROW none");
		site_disconnect(callers[i]);
	}
	kill(site->proxies[3], SIGTERM);
	g_assert_cmpint(harness_wait(&site->proxies[3], 10000), ==, 0);
}

/*
 * What the caller sees: its connection is made, it sends START, and the connection is reset. What
 * happens: the proxy is stopped for a moment when it is to close its listener in a shutdown, and
 * closes it before it has taken what waits there. Why: awake again the loop runs its timers before
 * it reads, as the stop has interrupted its wait; closing a listener resets what it holds.
 */
static void test_connection_at_the_listeners_end(void)
{
	site_caller_t *caller;
	char *reply;

	site_start_proxy(site, 3, -1);
	site_wait_ready(site, 3);
	kill(site->proxies[3], SIGTERM);
	g_usleep(2 * G_USEC_PER_SEC);
	kill(site->proxies[3], SIGSTOP);
	g_usleep(50000);
	caller = site_connect(site, 3);
	site_send(caller, "START jobs x\r\n", 14);
	g_usleep(600000);
	kill(site->proxies[3], SIGCONT);
	reply = site_receive(caller);
	g_assert_cmpstr(reply, !=, "");
	g_free(reply);
	site_disconnect(caller);
	harness_wait(&site->proxies[3], 10000);
}

/*
 * What the caller sees: its read has no answer in time, though the member gave one in time. What
 * happens: the proxy is stopped for a moment while the answer comes in, and awake again it runs its
 * timers, with them the statement's deadline, before it reads. Why: the stop has interrupted its
 * wait, and a turn that was interrupted reads nothing.
 */
static void test_answer_during_a_stop(void)
{
	site_caller_t *caller;

	site_start_proxy(site, 3, -1);
	site_wait_ready(site, 3);
	caller = site_open(site, 3, "jobs");
	kill(site->platform, SIGSTOP);
	site_send(caller, "QUERY stopped READ warm\r\n", 25);
	g_usleep(100000);
	kill(site->proxies[3], SIGSTOP);
	kill(site->platform, SIGCONT);
	g_usleep(900000);
	kill(site->proxies[3], SIGCONT);
	assert_reply(site_receive(caller), "ROW up");
	site_disconnect(caller);
	kill(site->proxies[3], SIGTERM);
	g_assert_cmpint(harness_wait(&site->proxies[3], 10000), ==, 0);
	/* The members stood still with the store, so their primary may be about to change. */
	caller = site_open(site, 0, "jobs");
	wait_for_write(caller);
	site_disconnect(caller);
}

/* A key that nobody knows: the settings are refused with file, line, key and what was expected. */
static void test_settings_errors(void)
{
	char *path = g_build_filename(site->dir, "bad.toml", NULL);
	char *program = harness_program("proxy/cyclamenspan");
	char *argv[] = {program, "--pooler", "--check-config", "--config", path, NULL};
	char *errors = NULL;
	int status;

	g_file_set_contents(path, "[node]\nname = \"p\"\nzone = 7\n", -1, NULL);
	g_assert_true(g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, NULL, &errors,
				   &status, NULL));
	g_assert_cmpint(status, !=, 0);
	g_assert_nonnull(strstr(errors, "line 3: node.zone = 7: expected a string"));
	g_free(errors);
	g_free(path);
	g_free(program);
}

/* The template of the deployment renders to settings that are accepted. */
static void test_template(void)
{
	static const char *const fields[][2] = {
		{"{{nodeName|json}}", "\"front-plateau-1\""},
		{"{{zone|json}}", "\"plateau\""},
		{"{{#limits.cpuShare}}", ""},
		{"{{limits.cpuShare|json}}", "0.12"},
		{"{{/limits.cpuShare}}", ""},
		{"{{#limits.linkMbps}}", ""},
		{"{{limits.linkMbps|json}}", "20.0"},
		{"{{/limits.linkMbps}}", ""},
		{"{{listen.front|json}}", "\"10.1.0.8:8784\""},
		{"{{listen.ready|json}}", "\"10.1.0.8:8785\""},
		{"{{ip}}", "10.1.0.8"},
		{"{{internalPorts.0}}", "7440"},
		{"{{internalPorts.1}}", "7455"},
		{"{{platform.addr|json}}", "\"10.200.1.7:8783\""},
		{"{{cloudApi.addr|json}}", "\"10.200.0.160:8783\""},
		{"{{bounds.graceS|json}}", "6.5"},
		{"{{#platform.ttlMinMs}}", ""},
		{"{{platform.ttlMinMs|json}}", "1000"},
		{"{{/platform.ttlMinMs}}", ""},
		{"{{#bounds.configApplyMs}}", ""},
		{"{{bounds.configApplyMs|json}}", "3000"},
		{"{{/bounds.configApplyMs}}", ""},
		{"{{#bounds.drainMs}}", ""},
		{"{{bounds.drainMs|json}}", "7000"},
		{"{{/bounds.drainMs}}", ""},
		{"{{#bounds.revokeStrict}}", ""},
		{"{{bounds.revokeMs|json}}", "5000"},
		{"{{/bounds.revokeStrict}}", ""},
		{"{{#bounds.quotaExcess}}", ""},
		{"{{bounds.quotaExcess|json}}", "0.1"},
		{"{{/bounds.quotaExcess}}", ""},
		{"{{#bounds.quotaSlack}}", ""},
		{"{{bounds.quotaSlack|json}}", "20"},
		{"{{/bounds.quotaSlack}}", ""},
	};
	char *text = NULL;
	char *path = g_build_filename(site->dir, "rendered.toml", NULL);
	char *program = harness_program("proxy/cyclamenspan");
	char *argv[] = {program, "--pooler", "--check-config", "--config", path, NULL};
	int status;

	g_assert_true(g_file_get_contents("deploy/proxy.toml", &text, NULL, NULL));
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		char **parts = g_strsplit(text, fields[i][0], -1);

		g_free(text);
		text = g_strjoinv(fields[i][1], parts);
		g_strfreev(parts);
	}
	g_assert_null(strstr(text, "{{"));
	g_file_set_contents(path, text, -1, NULL);
	g_assert_true(g_spawn_sync(NULL, argv, NULL, G_SPAWN_STDOUT_TO_DEV_NULL, NULL, NULL, NULL,
				   NULL, &status, NULL));
	g_assert_cmpint(status, ==, 0);
	g_free(text);
	g_free(path);
	g_free(program);
}

/* Wait until somebody reads from the pipe; the end to write to. */
static int open_pipe(const char *path)
{
	for (int i = 0; i < 500; i++) {
		int fd = open(path, O_WRONLY | O_NONBLOCK);

		if (fd >= 0)
			return fd;
		g_usleep(10000);
	}
	g_assert_not_reached();
}

/*
 * What callers see: a proxy that has just been started is gone again, for the time of a restart.
 * What happens: its settings change while it is about to read them, and SIGHUP, which tells it so,
 * ends a process that does not handle it yet. Why handling it from the first step on suffices: the
 * signal is noted, and the settings are read again once the process runs. Here the settings are a
 * pipe, so that the signal comes while they are read, and they are bad, so that it ends at once.
 */
static void test_hangup_while_starting(void)
{
	char *path = g_build_filename(site->dir, "pipe.toml", NULL);
	char *program = harness_program("proxy/cyclamenspan");
	char *argv[] = {program, "--pooler", "--config", path, NULL};
	pid_t pid;
	int fd;

	g_assert_cmpint(mkfifo(path, 0600), ==, 0);
	pid = harness_spawn(argv, (const int[]){-1, -1, -1});
	fd = open_pipe(path);
	kill(pid, SIGHUP);
	g_usleep(50000);
	if (write(fd, "nonsense\n", 9) < 0)
		g_test_message("the pipe is closed: %s", g_strerror(errno));
	close(fd);
	g_assert_cmpint(harness_wait(&pid, 5000), ==, 2);
	g_free(path);
	g_free(program);
}

/* Bytes that lie in a pipe, once that does not change any more. */
static int wait_until_full(int fd)
{
	int before = 0;
	int now = 0;

	do {
		before = now;
		g_usleep(100000);
		g_assert_cmpint(ioctl(fd, FIONREAD, &now), ==, 0);
	} while (now == 0 || now != before);
	return now;
}

static void *drain_pipe(void *fd)
{
	char buffer[4096];

	while (read(GPOINTER_TO_INT(fd), buffer, sizeof(buffer)) > 0)
		continue;
	return NULL;
}

/*
 * SIGTERM ends a process that loads its libraries. The loader tells of each here, in a pipe that
 * nobody reads until the signal was sent, so that it is stopped in the middle of them.
 */
static void test_term_while_loading(void)
{
	int out = dup(STDERR_FILENO);
	int fds[2];
	GThread *reader;

	g_assert_cmpint(pipe2(fds, O_CLOEXEC), ==, 0);
	fcntl(fds[1], F_SETPIPE_SZ, 4 * 4096);
	g_setenv("LD_DEBUG", "files", TRUE);
	dup2(fds[1], STDERR_FILENO);
	site_start_proxy(site, 3, -1);
	dup2(out, STDERR_FILENO);
	g_unsetenv("LD_DEBUG");
	close(fds[1]);
	close(out);
	g_assert_cmpint(wait_until_full(fds[0]), >, 3 * 4096);
	kill(site->proxies[3], SIGTERM);
	reader = g_thread_new("reader", drain_pipe, GINT_TO_POINTER(fds[0]));
	g_assert_cmpint(harness_wait(&site->proxies[3], 20000), ==, 0);
	g_thread_join(reader);
	close(fds[0]);
}

/* A process whose starter blocked its signals until it handles them never hears of them. */
static void test_started_with_signals_blocked(void)
{
	sigset_t blocked;
	sigset_t before;

	sigemptyset(&blocked);
	sigaddset(&blocked, SIGTERM);
	sigprocmask(SIG_BLOCK, &blocked, &before);
	site_start_proxy(site, 3, -1);
	/* It comes before the program handles it, as a rule. */
	kill(site->proxies[3], SIGTERM);
	sigprocmask(SIG_SETMASK, &before, NULL);
	g_assert_cmpint(harness_wait(&site->proxies[3], 20000), ==, 0);
}

int main(int argc, char **argv)
{
	int rc;

	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	site = site_start(2);
	g_test_add_func("/site/statements", test_statements);
	g_test_add_func("/site/packets", test_packets);
	g_test_add_func("/site/bad-input", test_bad_input);
	g_test_add_func("/site/bad-statements", test_bad_statements);
	g_test_add_func("/site/oversize", test_oversize);
	g_test_add_func("/site/unknown-database", test_unknown_database);
	g_test_add_func("/site/metrics-and-state", test_metrics_and_state);
	g_test_add_func("/site/log-lines", test_log_lines);
	g_test_add_func("/site/log-without-reader", test_log_without_reader);
	g_test_add_func("/site/explain", test_explain);
	g_test_add_func("/site/changes", test_changes);
	g_test_add_func("/site/ctl-pooler", test_ctl_pooler);
	g_test_add_func("/site/start-without-store", test_start_while_the_store_is_away);
	g_test_add_func("/site/hangup-while-starting", test_hangup_while_starting);
	g_test_add_func("/site/term-while-loading", test_term_while_loading);
	g_test_add_func("/site/started-with-signals-blocked", test_started_with_signals_blocked);
	g_test_add_func("/site/shutdown", test_shutdown);
	g_test_add_func("/site/half-a-line-at-shutdown", test_half_a_line_at_shutdown);
	g_test_add_func("/site/reloaded-grace", test_shutdown_with_a_reloaded_grace);
	g_test_add_func("/site/too-many-callers", test_too_many_callers);
	g_test_add_func("/site/at-the-listeners-end", test_connection_at_the_listeners_end);
	g_test_add_func("/site/answer-during-a-stop", test_answer_during_a_stop);
	g_test_add_func("/site/settings-errors", test_settings_errors);
	g_test_add_func("/site/template", test_template);
	rc = g_test_run();
	site_stop(site);
	return rc;
}
