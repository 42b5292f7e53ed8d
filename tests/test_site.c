/* Proxies in pooler mode as processes: invalid input, start, shutdown, logs, settings, commands. */
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
	site_caller_t *caller = site_open_session(site, 0, "jobs");

	assert_reply(site_query(caller, "WRITE a one"), "DONE core-0");
	assert_reply(site_query(caller, "READ a"), "ROW one\r\nDONE core-0\r\nREADY I 1.");
	site_disconnect(caller);
}

/* Two requests in one TCP segment, and one request in many. */
static void test_packets(void)
{
	site_caller_t *caller = site_open_session(site, 0, "jobs");
	static const char two[] = "QUERY x1 WRITE b one\r\nQUERY x2 READ b\r\n";
	static const char many[] = "QUERY x3 READ b\r\n";

	site_send(caller, two, strlen(two));
	assert_reply(site_receive_reply(caller), "DONE core-");
	assert_reply(site_receive_reply(caller), "ROW one");
	for (size_t i = 0; i < strlen(many); i++) {
		site_send(caller, many + i, 1);
		g_usleep(1000);
	}
	assert_reply(site_receive_reply(caller), "ROW one");
	site_disconnect(caller);
}

/* Input that is no request gets ERR MALFORMED and ends its connection, but not the process. */
static void test_bad_input(void)
{
	static const char *const inputs[] = {
		"QUERY x READ a\r\n", /* before START */
		"HELLO\r\n",	      "\r\n", "START \r\n", "GET / HTTP/1.1\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(inputs); i++) {
		site_caller_t *caller = site_connect(site, 0);

		site_send(caller, inputs[i], strlen(inputs[i]));
		assert_reply(site_receive_reply(caller), "ERR MALFORMED");
		site_disconnect(caller);
	}
	test_statements();
}

/* An invalid statement is refused, no part of it reaches a member, and the session goes on. */
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
	site_caller_t *caller = site_open_session(site, 0, "jobs");

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		assert_reply(site_query(caller, texts[i]), "ERR MALFORMED");
	assert_reply(site_query(caller, "READ nothing"), "ROW none");
	site_disconnect(caller);
}

static void test_oversize(void)
{
	site_caller_t *caller = site_open_session(site, 0, "jobs");
	size_t len = 1100 * 1024;
	char *big = g_malloc(len);

	memset(big, 'x', len);
	memcpy(big, "QUERY x WRITE a ", 16);
	site_send(caller, big, len);
	/* The proxy closes with input unread, which may reset the connection before the reply. */
	g_free(site_receive_reply(caller));
	g_free(big);
	site_disconnect(caller);
	test_statements();
}

static void test_unknown_database(void)
{
	site_caller_t *caller = site_connect(site, 0);

	site_send(caller, "START nowhere x\r\n", 17);
	assert_reply(site_receive_reply(caller), "ERR NODB");
	site_disconnect(caller);
}

/* Prometheus rejects a whole scrape if the type of a metric is declared twice. */
static void assert_metric_types_unique(const char *metrics)
{
	GHashTable *seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	char **lines = g_strsplit(metrics, "\n", -1);

	for (char **line = lines; *line != NULL; line++) {
		if (g_str_has_prefix(*line, "# TYPE ") && !g_hash_table_add(seen, g_strdup(*line)))
			g_error("metric type declared twice: %s", *line);
	}
	g_strfreev(lines);
	g_hash_table_destroy(seen);
}

static void test_metrics_and_state(void)
{
	GString *body = g_string_new(NULL);
	json_t *state;

	g_assert_cmpint(site_http_get(site, 0, false, "/metrics", body), ==, 200);
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
	assert_metric_types_unique(body->str);
	g_string_truncate(body, 0);
	g_assert_cmpint(site_http_get(site, 0, false, "/state", body), ==, 200);
	state = json_loads(body->str, 0, NULL);
	g_assert_true(json_is_true(json_object_get(json_object_get(state, "pooler"), "ready")));
	json_decref(state);
	g_assert_cmpint(site_http_get(site, 0, false, "/nothing", NULL), ==, 404);
	g_string_free(body, TRUE);
}

/* Each log line is a JSON object with separate keys for the text and the fields. */
static void test_log_lines(void)
{
	char *log = site_read_log(site, 0);
	char **lines = g_strsplit(log, "\n", -1);
	guint count = 0;

	for (char **line = lines; *line != NULL && line[1] != NULL; line++, count++) {
		json_error_t error;
		json_t *object = json_loads(*line, 0, &error);

		if (object == NULL)
			g_error("log line is not JSON: %s (%s)", *line, error.text);
		g_assert_nonnull(json_string_value(json_object_get(object, "text")));
		json_decref(object);
	}
	g_assert_cmpuint(count, >, 5);
	g_assert_nonnull(strstr(log, "\"text\":\"leader changed\",\"holder\":\"p"));
	g_strfreev(lines);
	g_free(log);
}

/*
 * Standard output is a full pipe that nobody reads, and 3000 statements fail. Log lines must be
 * dropped and counted; a blocking write would stop the process and with it all callers.
 */
static void test_log_without_reader(void)
{
	int pipe_fds[2];
	site_caller_t *caller;
	GString *metrics = g_string_new(NULL);
	gint64 started_at;

	g_assert_cmpint(pipe(pipe_fds), ==, 0);
	fcntl(pipe_fds[1], F_SETPIPE_SZ, 4096);
	site_start_proxy(site, 2, pipe_fds[1]);
	site_wait_until_ready(site, 2);
	caller = site_open_session(site, 2, "jobs");
	started_at = g_get_monotonic_time();
	for (int i = 0; i < 3000; i++)
		assert_reply(site_query(caller, "EXEC unknown a"), "ERR NOSTMT");
	g_assert_cmpint(g_get_monotonic_time() - started_at, <, 30 * G_USEC_PER_SEC);
	site_http_get(site, 2, false, "/metrics", metrics);
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

/* "cyclamenctl explain" finds the log line of a failed request by its id; an unknown id fails. */
static void test_explain(void)
{
	char *program = harness_program_path("ctl/cyclamenctl");
	char *log = g_build_filename(site->dir, "p0.log", NULL);
	char *argv[] = {program, "explain", "failed-one", log, NULL};
	char *unknown[] = {program, "explain", "nobody", log, NULL};
	site_caller_t *caller = site_open_session(site, 0, "jobs");
	char *output;
	int status;

	site_send(caller, "QUERY failed-one EXEC none a\r\n", 31);
	assert_reply(site_receive_reply(caller), "ERR NOSTMT");
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

/*
 * "cyclamenctl changes" reports each change of primary from the logs of two proxies; here one
 * change is complete and one is not.
 */
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
	char *program = harness_program_path("ctl/cyclamenctl");
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

/* "cyclamenctl pooler" prints the state of a proxy. */
static void test_ctl_pooler(void)
{
	char *program = harness_program_path("ctl/cyclamenctl");
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
		char *reply = site_query(caller, "WRITE d one");
		bool done = g_str_has_prefix(reply, "DONE core-");

		g_free(reply);
		if (done)
			return;
		g_usleep(100000);
	}
	g_assert_not_reached();
}

/*
 * Guards against sessions being refused with "not ready yet" until their callers give up, when a
 * proxy starts during a short outage of the store. The proxy must hold the START instead and serve
 * it when the store answers again, which is within the time that callers wait for a session.
 */
static void test_start_without_store(void)
{
	site_caller_t *caller;

	kill(site->platform, SIGSTOP);
	site_start_proxy(site, 3, -1);
	while (site_http_get(site, 3, true, "/ready", NULL) != 503)
		g_usleep(10000);
	caller = site_connect(site, 3);
	site_send(caller, "START jobs x\r\n", 14);
	g_usleep(300000);
	kill(site->platform, SIGCONT);
	assert_reply(site_receive_reply(caller), "READY I -");
	/* The members were stopped with the store, so the proxies may be replacing the primary. */
	wait_for_write(caller);
	site_disconnect(caller);
	kill(site->proxies[3], SIGTERM);
	g_assert_cmpint(harness_wait_exit(&site->proxies[3], 10000), ==, 0);
}

/* After SIGTERM the proxy is not ready, lets an open transaction end and exits with 0. */
static void test_shutdown(void)
{
	site_caller_t *caller;

	site_start_proxy(site, 3, -1);
	site_wait_until_ready(site, 3);
	caller = site_open_session(site, 3, "jobs");
	assert_reply(site_query(caller, "BEGIN"), "DONE");
	assert_reply(site_query(caller, "WRITE c one"), "DONE core-");
	kill(site->proxies[3], SIGTERM);
	g_usleep(300000);
	g_assert_cmpint(site_http_get(site, 3, true, "/ready", NULL), ==, 503);
	assert_reply(site_query(caller, "COMMIT"), "DONE core-");
	g_assert_cmpint(harness_wait_exit(&site->proxies[3], 10000), ==, 0);
	site_disconnect(caller);
}

/*
 * Guards against a shutdown that lasts until the end of the grace period and breaks the sessions
 * that were opened meanwhile. A session that has sent half a line must not be kept because of its
 * unread input: there is no complete request to answer.
 */
static void test_shutdown_with_incomplete_request(void)
{
	site_caller_t *caller;

	site_start_proxy(site, 3, -1);
	site_wait_until_ready(site, 3);
	caller = site_open_session(site, 3, "jobs");
	site_send(caller, "QUERY x READ", 12);
	g_usleep(100000);
	kill(site->proxies[3], SIGTERM);
	g_assert_cmpint(harness_wait_exit(&site->proxies[3], 10000), ==, 0);
	site_disconnect(caller);
}

/* Replaces a text that occurs once in the settings file of the proxy. */
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
 * Guards against a statement that gets neither a reply nor a refusal at shutdown. The grace period
 * is stored in two places. When a reload shortened it in only one of them, the process exited after
 * the new period but would have refused unanswered statements only at the end of the old one.
 */
static void test_shutdown_with_a_reloaded_grace(void)
{
	site_caller_t *caller;

	site_start_proxy(site, 3, -1);
	site_wait_until_ready(site, 3);
	replace_setting(3, "grace_s = 4", "grace_s = 0.6");
	kill(site->proxies[3], SIGHUP);
	g_usleep(300000);
	caller = site_open_session(site, 3, "jobs");
	kill(site->platform, SIGSTOP);
	site_send(caller, "QUERY reloaded WRITE e one\r\n", 28);
	g_usleep(20000);
	kill(site->proxies[3], SIGTERM);
	assert_reply(site_receive_reply(caller), "ERR ");
	kill(site->platform, SIGCONT);
	harness_wait_exit(&site->proxies[3], 10000);
	site_disconnect(caller);
	/* The members were stopped with the store, so the proxies may be replacing the primary. */
	caller = site_open_session(site, 0, "jobs");
	wait_for_write(caller);
	site_disconnect(caller);
}

/* A connection beyond callers.max gets ERR TOOMANY; the existing sessions go on. */
static void test_too_many_callers(void)
{
	enum { CALLERS_MAX = 3 };
	site_caller_t *callers[CALLERS_MAX];
	site_caller_t *excess;
	char *reply;

	/* The first start writes the settings file, which the second start reads with the change.
	 */
	site_start_proxy(site, 3, -1);
	site_wait_until_ready(site, 3);
	kill(site->proxies[3], SIGTERM);
	harness_wait_exit(&site->proxies[3], 10000);
	replace_setting(3, "[callers]\n", "[callers]\nmax = 3\n");
	site_restart_proxy(site, 3);
	site_wait_until_ready(site, 3);
	for (int i = 0; i < CALLERS_MAX; i++)
		callers[i] = site_open_session(site, 3, "jobs");
	excess = site_connect(site, 3);
	reply = site_receive_reply(excess);
	g_assert_true(g_str_has_prefix(reply, "ERR TOOMANY"));
	g_free(reply);
	site_disconnect(excess);
	for (int i = 0; i < CALLERS_MAX; i++) {
		assert_reply(site_query(callers[i], "READ nothing"), "ROW none");
		site_disconnect(callers[i]);
	}
	kill(site->proxies[3], SIGTERM);
	g_assert_cmpint(harness_wait_exit(&site->proxies[3], 10000), ==, 0);
}

/*
 * Guards against a reset of a connection that was established shortly before the listener closes in
 * a shutdown. The process is paused around that time. When it resumes, the event loop runs its
 * timers before it reads, because the pause has interrupted its wait; closing the listener then
 * resets the connections that have not been accepted yet.
 */
static void test_connect_before_listener_closes(void)
{
	site_caller_t *caller;
	char *reply;

	site_start_proxy(site, 3, -1);
	site_wait_until_ready(site, 3);
	kill(site->proxies[3], SIGTERM);
	g_usleep(2 * G_USEC_PER_SEC);
	kill(site->proxies[3], SIGSTOP);
	g_usleep(50000);
	caller = site_connect(site, 3);
	site_send(caller, "START jobs x\r\n", 14);
	g_usleep(600000);
	kill(site->proxies[3], SIGCONT);
	reply = site_receive_reply(caller);
	g_assert_cmpstr(reply, !=, "");
	g_free(reply);
	site_disconnect(caller);
	harness_wait_exit(&site->proxies[3], 10000);
}

/*
 * Guards against a read that times out although the member's reply has arrived. The process is
 * paused while the reply comes in. When it resumes, the event loop runs its timers, among them the
 * deadline of the statement, before it reads, because an iteration whose wait was interrupted reads
 * nothing.
 */
static void test_reply_while_proxy_stopped(void)
{
	site_caller_t *caller;

	site_start_proxy(site, 3, -1);
	site_wait_until_ready(site, 3);
	caller = site_open_session(site, 3, "jobs");
	kill(site->platform, SIGSTOP);
	site_send(caller, "QUERY stopped READ warm\r\n", 25);
	g_usleep(100000);
	kill(site->proxies[3], SIGSTOP);
	kill(site->platform, SIGCONT);
	g_usleep(900000);
	kill(site->proxies[3], SIGCONT);
	assert_reply(site_receive_reply(caller), "ROW up");
	site_disconnect(caller);
	kill(site->proxies[3], SIGTERM);
	g_assert_cmpint(harness_wait_exit(&site->proxies[3], 10000), ==, 0);
	/* The members were stopped with the store, so the proxies may be replacing the primary. */
	caller = site_open_session(site, 0, "jobs");
	wait_for_write(caller);
	site_disconnect(caller);
}

/* A setting of the wrong type is refused with its line, its key and the expected type. */
static void test_settings_errors(void)
{
	char *path = g_build_filename(site->dir, "bad.toml", NULL);
	char *program = harness_program_path("proxy/cyclamenspan");
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

/* The settings template of the deployment, deploy/proxy.toml, renders to valid settings. */
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
	char *program = harness_program_path("proxy/cyclamenspan");
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

/* Waits until a process has opened the named pipe for reading; returns the end to write to. */
static int open_pipe_for_writing(const char *path)
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
 * Guards against SIGHUP ending a process that still starts: the settings may change, with SIGHUP as
 * the notification, before the process has read them. The signal must be handled from the first
 * step on; the settings are then read again when the process runs. The settings file is a pipe
 * here, so that the signal arrives during the read, and its content is invalid, so that the process
 * exits with 2 right after it.
 */
static void test_sighup_while_starting(void)
{
	char *path = g_build_filename(site->dir, "pipe.toml", NULL);
	char *program = harness_program_path("proxy/cyclamenspan");
	char *argv[] = {program, "--pooler", "--config", path, NULL};
	pid_t pid;
	int fd;

	g_assert_cmpint(mkfifo(path, 0600), ==, 0);
	pid = harness_spawn(argv, (const int[]){-1, -1, -1});
	fd = open_pipe_for_writing(path);
	kill(pid, SIGHUP);
	g_usleep(50000);
	if (write(fd, "nonsense\n", 9) < 0)
		g_test_message("write to the settings pipe failed: %s", g_strerror(errno));
	close(fd);
	g_assert_cmpint(harness_wait_exit(&pid, 5000), ==, 2);
	g_free(path);
	g_free(program);
}

/* Waits until the number of unread bytes in the pipe is not 0 and no longer changes; returns it. */
static int wait_until_pipe_settles(int fd)
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
 * SIGTERM during the loading of shared libraries ends the process with exit code 0. LD_DEBUG makes
 * the dynamic loader write a line per library to standard error, a small pipe that is read only
 * after the signal, so the loader is blocked in the middle of its work when the signal arrives.
 */
static void test_sigterm_while_loading(void)
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
	g_assert_cmpint(wait_until_pipe_settles(fds[0]), >, 3 * 4096);
	kill(site->proxies[3], SIGTERM);
	reader = g_thread_new("reader", drain_pipe, GINT_TO_POINTER(fds[0]));
	g_assert_cmpint(harness_wait_exit(&site->proxies[3], 20000), ==, 0);
	g_thread_join(reader);
	close(fds[0]);
}

/* SIGTERM must end a process also if its parent has started it with the signal blocked. */
static void test_started_with_signals_blocked(void)
{
	sigset_t blocked;
	sigset_t before;

	sigemptyset(&blocked);
	sigaddset(&blocked, SIGTERM);
	sigprocmask(SIG_BLOCK, &blocked, &before);
	site_start_proxy(site, 3, -1);
	/* Usually arrives before the program has installed its handler. */
	kill(site->proxies[3], SIGTERM);
	sigprocmask(SIG_SETMASK, &before, NULL);
	g_assert_cmpint(harness_wait_exit(&site->proxies[3], 20000), ==, 0);
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
	g_test_add_func("/site/start-without-store", test_start_without_store);
	g_test_add_func("/site/hangup-while-starting", test_sighup_while_starting);
	g_test_add_func("/site/term-while-loading", test_sigterm_while_loading);
	g_test_add_func("/site/started-with-signals-blocked", test_started_with_signals_blocked);
	g_test_add_func("/site/shutdown", test_shutdown);
	g_test_add_func("/site/half-a-line-at-shutdown", test_shutdown_with_incomplete_request);
	g_test_add_func("/site/reloaded-grace", test_shutdown_with_a_reloaded_grace);
	g_test_add_func("/site/too-many-callers", test_too_many_callers);
	g_test_add_func("/site/at-the-listeners-end", test_connect_before_listener_closes);
	g_test_add_func("/site/answer-during-a-stop", test_reply_while_proxy_stopped);
	g_test_add_func("/site/settings-errors", test_settings_errors);
	g_test_add_func("/site/template", test_template);
	rc = g_test_run();
	site_stop(site);
	return rc;
}
