#include "harness.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib/gstdio.h>
#include <libpq-fe.h>
#include <zmq.h>

#define TOKEN	    "operators-secret"
#define SESSION_KEY "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

int harness_member_max_conns = 15;
gboolean harness_http2;

static const char *const zones[] = {"plateau", "almadies", "pikine"};

char *harness_program_path(const char *name)
{
	const char *build = g_getenv("BUILD_DIR");

	return g_build_filename(build != NULL ? build : "build-test", name, NULL);
}

pid_t harness_spawn(char *const *argv, const int *fds)
{
	sigset_t all;
	sigset_t before;
	pid_t pid;

	/*
	 * Signals stay blocked until exec(), so that none of them runs a handler of this process in
	 * the child.
	 */
	sigfillset(&all);
	sigprocmask(SIG_SETMASK, &all, &before);
	/*
	 * vfork() returns in the parent only after exec(), so a signal that the caller then sends
	 * reaches the new program and not a copy of this process.
	 */
	pid = vfork();
	g_assert_cmpint(pid, >=, 0);
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		signal(SIGTERM, SIG_DFL);
		signal(SIGINT, SIG_DFL);
		sigprocmask(SIG_SETMASK, &before, NULL);
		for (int i = 0; i < 3; i++) {
			if (fds[i] >= 0)
				dup2(fds[i], i);
		}
		execv(argv[0], argv);
		_exit(127);
	}
	sigprocmask(SIG_SETMASK, &before, NULL);
	return pid;
}

static pid_t spawn_with_log(const harness_t *h, const char *log_name, char **argv)
{
	char *log = g_build_filename(h->dir, log_name, NULL);
	int fds[] = {-1, -1, g_open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600)};
	pid_t pid;

	g_assert_cmpint(fds[2], >=, 0);
	pid = harness_spawn(argv, fds);
	close(fds[2]);
	g_free(log);
	return pid;
}

int harness_caller_port(const harness_t *h, int proxy)
{
	return h->ports.first + 10 + 3 * proxy;
}

int harness_operator_port(const harness_t *h, int proxy)
{
	return h->ports.first + 11 + 3 * proxy;
}

static int peer_port(const harness_t *h, int proxy)
{
	return h->ports.first + 12 + 3 * proxy;
}

int harness_member_port(const harness_t *h, int member)
{
	return h->ports.first + 1 + member;
}

static void write_file(const harness_t *h, const char *name, const char *text)
{
	char *path = g_build_filename(h->dir, name, NULL);

	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	g_free(path);
}

static void spawn_platform(harness_t *h)
{
	char *argv[] = {harness_program_path("tests/standin_platform"), "--listen",
			g_strdup_printf("127.0.0.1:%d", h->ports.first), NULL};

	h->platform = spawn_with_log(h, "platform.log", argv);
	g_free(argv[0]);
	g_free(argv[2]);
}

static void spawn_member(harness_t *h, int i)
{
	char *port = g_strdup_printf("%d", harness_member_port(h, i));
	char *name = g_strdup_printf("m%d", i);
	char *lag = g_strdup_printf("%d", h->lag_ms);
	char *conns = g_strdup_printf("%d", harness_member_max_conns);
	char *follow = g_strdup_printf("127.0.0.1:%d", harness_member_port(h, 0));
	char *program = harness_program_path("tests/standin_pg");
	char *argv[] = {program,
			"--name",
			name,
			"--port",
			port,
			"--lag-ms",
			lag,
			"--max-conns",
			conns,
			i == 0 ? "--primary" : "--follow",
			i == 0 ? NULL : follow,
			NULL};

	h->members[i] = spawn_with_log(h, name, argv);
	g_free(program);
	g_free(port);
	g_free(name);
	g_free(lag);
	g_free(conns);
	g_free(follow);
}

harness_t *harness_start(int lag_ms)
{
	harness_t *h = g_new0(harness_t, 1);
	char secret_key[41];
	GError *error = NULL;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	h->dir = g_dir_make_tmp("cyclamenspan-XXXXXX", &error);
	g_assert_no_error(error);
	ports_reserve(&h->ports);
	h->lag_ms = lag_ms;
	write_file(h, "token", TOKEN "\n");
	write_file(h, "session.key", SESSION_KEY "\n");
	zmq_curve_keypair(h->public_key, secret_key);
	write_file(h, "peers.key", secret_key);
	spawn_platform(h);
	for (int i = 0; i < HARNESS_MEMBERS; i++)
		spawn_member(h, i);
	return h;
}

static char *format_seeds(const harness_t *h)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i < h->proxy_count; i++)
		g_string_append_printf(text, "%s\"p%d,%s,127.0.0.1:%d\"", i > 0 ? ", " : "", i,
				       zones[i % 3], peer_port(h, i));
	return g_string_free(text, FALSE);
}

void harness_start_proxy(harness_t *h, int i, const char *extra_settings)
{
	char *list = format_seeds(h);
	char *name = g_strdup_printf("p%d.toml", i);
	char *log = g_strdup_printf("p%d.log", i);
	char *path = g_build_filename(h->dir, name, NULL);
	char *program = harness_program_path("proxy/cyclamenspan");
	char *argv[] = {program, "--config", path, NULL};
	char *text = g_strdup_printf(
		"[node]\nname = \"p%d\"\nzone = \"%s\"\n"
		"[callers]\nlisten = \"127.0.0.1:%d\"\n"
		"[operators]\nlisten = \"127.0.0.1:%d\"\ntoken_file = \"%s/token\"\n"
		"[peers]\nlisten = \"127.0.0.1:%d\"\nseeds = [%s]\n"
		"public_key = \"%s\"\nsecret_key_file = \"%s/peers.key\"\n"
		"[platform]\nurl = \"http://127.0.0.1:%d\"\n"
		"[session]\nkey_file = \"%s/session.key\"\n%s",
		i, zones[i % 3], harness_caller_port(h, i), harness_operator_port(h, i), h->dir,
		peer_port(h, i), list, h->public_key, h->dir, h->ports.first, h->dir,
		extra_settings != NULL ? extra_settings : "");

	write_file(h, name, text);
	h->proxies[i] = spawn_with_log(h, log, argv);
	g_free(text);
	g_free(program);
	g_free(path);
	g_free(log);
	g_free(name);
	g_free(list);
}

/* --- HTTP calls --- */

static size_t append_body(char *data, size_t size, size_t count, void *ptr)
{
	g_string_append_len(ptr, data, (gssize)(size * count));
	return size * count;
}

static json_t *send_http_request(int port, const char *path, const char *text, const char *token,
				 long *http_status)
{
	CURL *easy = curl_easy_init();
	char *url = g_strdup_printf("http://127.0.0.1:%d%s", port, path);
	GString *body = g_string_new(NULL);
	struct curl_slist *headers = NULL;
	json_t *answer = NULL;

	if (token != NULL)
		headers = curl_slist_append(headers, token);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 30000L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, body);
	if (text != NULL)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, text);
	if (harness_http2)
		curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
				 (long)CURL_HTTP_VERSION_2_PRIOR_KNOWLEDGE);
	if (curl_easy_perform(easy) == CURLE_OK)
		answer = json_loads(body->str, 0, NULL);
	if (http_status != NULL)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, http_status);
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	g_string_free(body, TRUE);
	g_free(url);
	return answer;
}

json_t *harness_post_raw(int port, const char *path, const char *text, long *http_status)
{
	return send_http_request(port, path, text, NULL, http_status);
}

static json_t *call_with_token(int port, const char *path, json_t *body, const char *token,
			       long *status)
{
	char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
	json_t *answer = send_http_request(port, path, text, token, status);

	free(text);
	json_decref(body);
	return answer;
}

json_t *harness_call(int port, const char *path, json_t *body, long *http_status)
{
	return call_with_token(port, path, body, NULL, http_status);
}

json_t *harness_call_operator(const harness_t *h, int proxy, const char *path, json_t *body)
{
	return call_with_token(harness_operator_port(h, proxy), path, body,
			       "Authorization: Bearer " TOKEN, NULL);
}

char *harness_run_sql(const harness_t *h, int member, const char *sql, const char *param)
{
	char *info = g_strdup_printf("hostaddr=127.0.0.1 port=%d user=test dbname=test "
				     "sslmode=disable connect_timeout=5",
				     harness_member_port(h, member));
	PGconn *pg = PQconnectdb(info);
	PGresult *result =
		PQexecParams(pg, sql, param != NULL ? 1 : 0, NULL, &param, NULL, NULL, 0);
	char *value = NULL;

	if (PQresultStatus(result) == PGRES_TUPLES_OK && PQntuples(result) > 0)
		value = g_strdup(PQgetvalue(result, 0, 0));
	PQclear(result);
	PQfinish(pg);
	g_free(info);
	return value;
}

int harness_run_ctl(const harness_t *h, int proxy, char **output, ...)
{
	GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
	gchar *out = NULL;
	gint status = 0;
	const char *word;
	va_list ap;

	g_ptr_array_add(argv, harness_program_path("ctl/cyclamenctl"));
	g_ptr_array_add(argv, g_strdup("--endpoint"));
	g_ptr_array_add(argv,
			g_strdup_printf("http://127.0.0.1:%d", harness_operator_port(h, proxy)));
	g_ptr_array_add(argv, g_strdup("--token-file"));
	g_ptr_array_add(argv, g_build_filename(h->dir, "token", NULL));
	va_start(ap, output);
	while ((word = va_arg(ap, const char *)) != NULL)
		g_ptr_array_add(argv, g_strdup(word));
	va_end(ap);
	g_ptr_array_add(argv, NULL);
	g_spawn_sync(NULL, (gchar **)argv->pdata, NULL, G_SPAWN_DEFAULT, NULL, NULL, &out, NULL,
		     &status, NULL);
	g_ptr_array_unref(argv);
	if (output != NULL)
		*output = out;
	else
		g_free(out);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/* --- processes --- */

void harness_kill(pid_t *pid)
{
	if (*pid <= 0)
		return;
	kill(*pid, SIGKILL);
	kill(*pid, SIGCONT);
	waitpid(*pid, NULL, 0);
	*pid = 0;
}

int harness_wait_exit(pid_t *pid, int timeout_ms)
{
	gint64 end = g_get_monotonic_time() + (gint64)timeout_ms * 1000;
	int status;

	while (g_get_monotonic_time() < end) {
		if (waitpid(*pid, &status, WNOHANG) == *pid) {
			*pid = 0;
			return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
		}
		g_usleep(10000);
	}
	return -1;
}

void harness_stop(harness_t *h)
{
	char *remove[] = {"/bin/rm", "-rf", h->dir, NULL};

	for (int i = 0; i < HARNESS_MAX_PROXIES; i++)
		harness_kill(&h->proxies[i]);
	for (int i = 0; i < HARNESS_MEMBERS; i++)
		harness_kill(&h->members[i]);
	harness_kill(&h->platform);
	ports_release(&h->ports);
	if (g_getenv("KEEP_LOGS") != NULL)
		g_printerr("logs are kept in %s\n", h->dir);
	else
		g_spawn_sync(NULL, remove, NULL, G_SPAWN_DEFAULT, NULL, NULL, NULL, NULL, NULL,
			     NULL);
	g_free(h->dir);
	g_free(h);
}

/* --- the fleet --- */

const char *harness_text_field(const json_t *answer, const char *key)
{
	const char *text = json_string_value(json_object_get(answer, key));

	return text != NULL ? text : "";
}

static char *format_table(const harness_t *h)
{
	return g_strdup_printf(
		"{\"group/callout-1\": {\"members\": ["
		"{\"name\": \"m0\", \"zone\": \"plateau\", \"address\": \"127.0.0.1:%d\"},"
		"{\"name\": \"m1\", \"zone\": \"almadies\", \"address\": \"127.0.0.1:%d\"},"
		"{\"name\": \"m2\", \"zone\": \"pikine\", \"address\": \"127.0.0.1:%d\"}]},"
		"\"row/dispatch/assign\": {\"group\": \"callout-1\", \"kind\": \"write\","
		" \"connections\": 3, \"weight\": 90},"
		"\"row/dispatch/assignment\": {\"group\": \"callout-1\", \"kind\": \"read\","
		" \"connections\": 3, \"weight\": 80},"
		"\"row/dispatch/status\": {\"group\": \"callout-1\", \"kind\": \"read\","
		" \"connections\": 3, \"weight\": 50, \"max_age_ms\": 2000}}\n",
		harness_member_port(h, 0), harness_member_port(h, 1), harness_member_port(h, 2));
}

static json_t *build_statement(const char *class_name, const char *text, json_t *params,
			       const char *request_id, const char *token)
{
	json_t *body =
		json_pack("{s:s, s:s, s:s, s:o, s:i}", "service", "dispatch", "class", class_name,
			  "statement", text, "params", params, "deadline_ms", 5000);

	if (request_id != NULL)
		json_object_set_new(body, "request_id", json_string(request_id));
	if (token != NULL && token[0] != '\0')
		json_object_set_new(body, "token", json_string(token));
	return body;
}

json_t *harness_write(const harness_t *h, int proxy, const char *key, const char *value,
		      const char *request_id, const char *token)
{
	return harness_call(harness_caller_port(h, proxy), "/v1/statement",
			    build_statement("assign",
					    "INSERT INTO records (key, value) VALUES ($1, $2) "
					    "ON CONFLICT (key) DO UPDATE SET value = $2",
					    json_pack("[s, s]", key, value), request_id, token),
			    NULL);
}

json_t *harness_read(const harness_t *h, int proxy, const char *class_name, const char *key,
		     const char *token)
{
	return harness_call(harness_caller_port(h, proxy), "/v1/statement",
			    build_statement(class_name, "SELECT value FROM records WHERE key = $1",
					    json_pack("[s]", key), NULL, token),
			    NULL);
}

static void wait_for_operator_port(const harness_t *h, int proxy)
{
	for (int i = 0; i < 200; i++) {
		json_t *state = harness_call_operator(h, proxy, "/v1/state", NULL);

		json_decref(state);
		if (state != NULL)
			return;
		g_usleep(50000);
	}
	g_error("proxy %d did not answer at its operators' port after 200 attempts", proxy);
}

void harness_set_vms(const harness_t *h, int leaving_member)
{
	json_t *vms = json_array();

	for (int i = 0; i < h->proxy_count; i++) {
		char *name = g_strdup_printf("p%d", i);
		char *address = g_strdup_printf("127.0.0.1:%d", peer_port(h, i));

		json_array_append_new(vms, json_pack("{s:s, s:s, s:s, s:s, s:s}", "name", name,
						     "zone", zones[i % 3], "address", address,
						     "role", "entry", "state", "live"));
		g_free(name);
		g_free(address);
	}
	for (int i = 0; i < HARNESS_MEMBERS; i++) {
		char *name = g_strdup_printf("m%d", i);
		char *address = g_strdup_printf("127.0.0.1:%d", harness_member_port(h, i));

		json_array_append_new(vms,
				      json_pack("{s:s, s:s, s:s, s:s, s:s}", "name", name, "zone",
						zones[i % 3], "address", address, "role", "backend",
						"state", i == leaving_member ? "leaving" : "live"));
		g_free(name);
		g_free(address);
	}
	json_decref(
		harness_call(h->ports.first, "/control/vms", json_pack("{s:o}", "vms", vms), NULL));
}

static void wait_for_writes(const harness_t *h, int proxy)
{
	for (int i = 0; i < 100; i++) {
		json_t *answer = harness_write(h, proxy, "harness", "ready", NULL, NULL);
		gboolean done = strcmp(harness_text_field(answer, "outcome"), "done") == 0;

		json_decref(answer);
		if (done)
			return;
		g_usleep(50000);
	}
	g_error("no write succeeded through proxy %d after 100 attempts", proxy);
}

harness_t *harness_start_fleet(int proxies, int lag_ms)
{
	harness_t *h = harness_start(lag_ms);
	char *table = format_table(h);
	char *path = g_build_filename(h->dir, "table.json", NULL);
	char *printed = NULL;
	int code = -1;

	h->proxy_count = proxies;
	for (int i = 0; i < proxies; i++)
		harness_start_proxy(h, i, NULL);
	for (int i = 0; i < proxies; i++)
		wait_for_operator_port(h, i);
	harness_set_vms(h, -1);
	write_file(h, "table.json", table);
	/* Proxy 0 refuses the edit until it has received messages from most of the fleet. */
	for (int i = 0; i < 50 && code != 0; i++) {
		g_free(printed);
		code = harness_run_ctl(h, 0, &printed, "table", "apply", path, NULL);
		if (code != 0)
			g_usleep(100000);
	}
	g_assert_cmpint(code, ==, 0);
	for (int i = 0; i < proxies; i++)
		wait_for_writes(h, i);
	g_free(printed);
	g_free(path);
	g_free(table);
	return h;
}

static json_t *get_group_state(const harness_t *h, int proxy)
{
	json_t *state = harness_call_operator(h, proxy, "/v1/state", NULL);
	json_t *core = json_object_get(state, "core");
	json_t *group = json_object_get(json_object_get(core, "groups"), "callout-1");

	json_incref(group);
	json_decref(state);
	return group;
}

int harness_find_home(const harness_t *h, int proxy)
{
	json_t *group = get_group_state(h, proxy);
	const char *name =
		json_string_value(json_array_get(json_object_get(group, "served_by"), 0));
	int home = name != NULL ? atoi(name + 1) : -1;

	json_decref(group);
	return home;
}

int harness_find_primary(const harness_t *h)
{
	json_t *answer = harness_read(h, 0, "assignment", "harness", NULL);
	const char *member = harness_text_field(answer, "member");
	int primary = member[0] == 'm' ? atoi(member + 1) : -1;

	json_decref(answer);
	return primary;
}
