/*
 * Invalid input to real processes: each case gets an error that names the fault, and the proxy
 * still serves valid requests afterwards.
 */
#include <arpa/inet.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib/gstdio.h>

#include "harness.h"

static harness_t *h;

static void assert_proxy_serves(void)
{
	json_t *answer = harness_write(h, 0, "after", "bad input", NULL, NULL);

	g_assert_cmpstr(harness_text_field(answer, "outcome"), ==, "done");
	json_decref(answer);
}

typedef struct bad_request {
	const char *path;
	const char *body;
	long status;
	const char *detail;
} bad_request_t;

#define ROW "\"service\": \"dispatch\", \"class\": \"assign\""

#define FIVE	   "1,2,3,4,5"
#define TWENTY	   FIVE "," FIVE "," FIVE "," FIVE
#define SIXTY_FIVE TWENTY "," TWENTY "," TWENTY "," FIVE

static const bad_request_t bad_requests[] = {
	{"/v1/statement", "{", 400, "no JSON object"},
	{"/v1/statement", "[1]", 400, "no JSON object"},
	{"/v1/statement", "{" ROW "}", 400, "statement is missing"},
	{"/v1/statement", "{\"statement\": \"SELECT 1\"}", 400, "service is missing"},
	{"/v1/statement", "{" ROW ", \"statement\": 5}", 400, "statement: expected a string"},
	{"/v1/statement", "{" ROW ", \"statement\": \"SELECT 1\", \"colour\": 1}", 400,
	 "unknown field \"colour\""},
	{"/v1/statement", "{" ROW ", \"statement\": \"SELECT 1\", \"deadline_ms\": 0}", 400,
	 "deadline_ms: expected milliseconds"},
	{"/v1/statement", "{" ROW ", \"statement\": \"SELECT 1\", \"params\": [[1]]}", 400,
	 "params: expected a list"},
	/* Not truncated to 64 parameters: the statement would not be the one that was requested. */
	{"/v1/statement", "{" ROW ", \"statement\": \"SELECT 1\", \"params\": [" SIXTY_FIVE "]}",
	 400, "params: expected a list of at most 64"},
	{"/v1/statement", "{" ROW ", \"statement\": \"COMMIT\"}", 400, "no transaction"},
	{"/v1/statement", "{" ROW ", \"statement\": \"/* x */ COMMIT\"}", 400, "its keyword"},
	{"/v1/statement", "{" ROW ", \"statement\": \"SELECT 1\", \"token\": \"forged\"}", 401,
	 "not this fleet's"},
	{"/v1/statement",
	 "{\"service\": \"dispatch\", \"class\": \"none\", \"statement\": \"SELECT 1\"}", 404,
	 "no row dispatch/none"},
	{"/v1/statement", "{" ROW ", \"statement\": \"FROBNICATE\"}", 422, "42601"},
	{"/v1/commit", "{\"transaction\": \"p0:1:1\"}", 409, "no open transaction"},
	{"/v1/commit", "{\"transaction\": \"nobody\"}", 409, "rolled back"},
	{"/v1/nowhere", "{}", 404, "expected POST"},
};

static void test_bodies(void)
{
	for (gsize i = 0; i < G_N_ELEMENTS(bad_requests); i++) {
		const bad_request_t *bad_request = &bad_requests[i];
		long status = 0;
		json_t *answer = harness_post_raw(harness_caller_port(h, 0), bad_request->path,
						  bad_request->body, &status);

		g_test_message("%s %s", bad_request->path, bad_request->body);
		g_assert_cmpint(status, ==, bad_request->status);
		g_assert_cmpstr(harness_text_field(answer, "outcome"), ==, "not_run");
		g_assert_nonnull(strstr(harness_text_field(answer, "detail"), bad_request->detail));
		json_decref(answer);
	}
	assert_proxy_serves();
}

static void test_oversize(void)
{
	char *body = g_malloc(2 * 1024 * 1024);
	long status = 0;

	memset(body, 'x', 2 * 1024 * 1024 - 1);
	body[2 * 1024 * 1024 - 1] = '\0';
	json_decref(harness_post_raw(harness_caller_port(h, 0), "/v1/statement", body, &status));
	g_assert_cmpint(status, ==, 413);
	g_free(body);
	assert_proxy_serves();
}

/* Requests of operators without the bearer token are rejected. */
static void test_operators_token(void)
{
	long status = 0;

	json_decref(harness_call(harness_operator_port(h, 0), "/v1/state", NULL, &status));
	g_assert_cmpint(status, ==, 401);
	json_decref(harness_call(harness_operator_port(h, 0), "/v1/drain", json_object(), &status));
	g_assert_cmpint(status, ==, 401);
	assert_proxy_serves();
}

static void test_ctl(void)
{
	char *out = NULL;

	g_assert_cmpint(harness_run_ctl(h, 0, NULL, "table", "set", "row/dispatch/status",
					"weight=1000", NULL),
			==, 3);
	g_assert_cmpint(harness_run_ctl(h, 0, NULL, "table", "explode", NULL), ==, 2);
	g_assert_cmpint(harness_run_ctl(h, 0, NULL, "table", "apply", "/nonexistent", NULL), ==, 1);
	g_assert_cmpint(harness_run_ctl(h, 7, NULL, "state", NULL), ==, 5);
	g_assert_cmpint(harness_run_ctl(h, 0, &out, "table", "get", "row/dispatch/status", NULL),
			==, 0);
	g_assert_nonnull(strstr(out, "\"max_age_ms\": 2000"));
	g_free(out);
	g_assert_cmpint(harness_run_ctl(h, 1, &out, "table", "history", NULL), ==, 0);
	g_assert_nonnull(strstr(out, "version 1 by"));
	g_assert_nonnull(strstr(out, "row/dispatch/assign = {"));
	g_free(out);
	g_assert_cmpint(harness_run_ctl(h, 1, &out, "table", "status", NULL), ==, 0);
	g_assert_nonnull(strstr(out, "table version 1 here, known to be current"));
	g_free(out);
}

/* A peer with another key than the fleet's is refused: no proxy lists it as part of the fleet. */
static void test_peer_key(void)
{
	json_t *state;
	const json_t *fleet;
	char *key_path = g_strdup_printf("%s/peers.key", h->dir);
	char *correct_key = NULL;

	g_assert_true(g_file_get_contents(key_path, &correct_key, NULL, NULL));
	g_assert_true(g_file_set_contents(key_path, "0000000000000000000000000000000000000000", -1,
					  NULL));
	harness_start_proxy(h, 5, NULL);
	g_usleep(1500000);
	state = harness_call_operator(h, 0, "/v1/state", NULL);
	fleet = json_object_get(json_object_get(state, "core"), "fleet");
	g_assert_nonnull(json_object_get(fleet, "p0"));
	g_assert_null(json_object_get(fleet, "p5"));
	json_decref(state);
	harness_kill(&h->proxies[5]);
	g_assert_true(g_file_set_contents(key_path, correct_key, -1, NULL));
	g_free(correct_key);
	g_free(key_path);
}

static void test_settings(void)
{
	char *path = g_strdup_printf("%s/bad.toml", h->dir);
	char *program = harness_program_path("proxy/cyclamenspan");
	char *argv[] = {program, "--config", path, "--check-config", NULL};
	char *errors = NULL;
	gint status = 0;

	g_assert_true(g_file_set_contents(path, "[node]\nname = 7\n", -1, NULL));
	g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, NULL, &errors, &status, NULL);
	g_assert_cmpint(WEXITSTATUS(status), ==, 2);
	g_assert_nonnull(strstr(errors, "bad.toml: line 2: node.name = 7: expected a string"));
	g_free(errors);
	g_free(program);
	g_free(path);
}

/*
 * Guards against a start that fails without a hint: the program stands without its module, as where
 * its own directory is hidden from it. The message names the directory and what to check.
 */
static void test_module_missing(void)
{
	char *dir = g_strdup_printf("%s/alone", h->dir);
	char *copy = g_strdup_printf("%s/cyclamenspan", dir);
	char *program = harness_program_path("proxy/cyclamenspan");
	char *argv[] = {copy, "--version", NULL};
	char *data = NULL;
	char *errors = NULL;
	char *searched;
	gsize len = 0;
	gint status = 0;

	g_assert_cmpint(g_mkdir(dir, 0700), ==, 0);
	g_assert_true(g_file_get_contents(program, &data, &len, NULL));
	g_assert_true(g_file_set_contents_full(copy, data, (gssize)len, G_FILE_SET_CONTENTS_NONE,
					       0700, NULL));
	g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, NULL, &errors, &status, NULL);
	g_assert_cmpint(WEXITSTATUS(status), ==, 1);
	searched = g_strdup_printf("searched for in %s, the directory of the program", dir);
	g_assert_nonnull(strstr(errors, searched));
	g_assert_nonnull(strstr(errors, "check that the module is there"));
	g_free(searched);
	g_free(errors);
	g_free(data);
	g_free(program);
	g_free(copy);
	g_free(dir);
}

/*
 * Two callers happen to choose the same request id. The second one's write is not done, and it gets
 * an error instead of the first one's answer. A resend of the first one still gets its answer.
 */
static void test_same_request_id(void)
{
	json_t *first = harness_write(h, 0, "id-1", "mine", "the-id", NULL);
	json_t *second = harness_write(h, 1, "id-2", "yours", "the-id", NULL);
	json_t *resent = harness_write(h, 1, "id-1", "mine", "the-id", NULL);
	json_t *read = harness_read(h, 0, "assignment", "id-2", NULL);

	g_assert_cmpstr(harness_text_field(first, "outcome"), ==, "done");
	g_assert_cmpstr(harness_text_field(second, "outcome"), ==, "not_run");
	g_assert_nonnull(strstr(harness_text_field(second, "detail"), "used for another request"));
	g_assert_cmpstr(harness_text_field(resent, "outcome"), ==, "done");
	g_assert_true(json_is_true(json_object_get(resent, "repeated")));
	g_assert_cmpuint(json_array_size(json_object_get(read, "rows")), ==, 0);
	json_decref(first);
	json_decref(second);
	json_decref(resent);
	json_decref(read);
}

/* Send raw text; returns what is received until the server closes the connection. */
static char *send_raw(int port, const char *text)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct timeval timeout = {.tv_sec = 5};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	GString *reply = g_string_new(NULL);
	char buffer[4096];
	ssize_t n;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	g_assert_cmpint(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), ==, 0);
	g_assert_cmpint(send(fd, text, strlen(text), MSG_NOSIGNAL), ==, (ssize_t)strlen(text));
	while ((n = recv(fd, buffer, sizeof(buffer), 0)) > 0)
		g_string_append_len(reply, buffer, n);
	g_assert_cmpint(n, ==, 0);
	close(fd);
	return g_string_free(reply, FALSE);
}

#define HEAD "POST /v1/statement HTTP/1.1\r\nHost: x\r\n"

/* A request with an unambiguous length, after which the connection stays open. */
static char *unambiguous_request(void)
{
	static const char body[] = "{\"service\": \"dispatch\", \"class\": \"assignment\", "
				   "\"statement\": \"SELECT value FROM records WHERE key = $1\", "
				   "\"params\": [\"harness\"]}";

	return g_strdup_printf(HEAD "Content-Length: %zu\r\n\r\n%s", strlen(body), body);
}

/* Requests whose body has an ambiguous length; a request behind them must not be run. */
static const char *const ambiguous[] = {
	HEAD "Content-Length: 2\r\nContent-Length: 40\r\n\r\n{}",
	HEAD "content-length: 2\r\nX: y\r\nCONTENT-LENGTH:3\r\n\r\n{} ",
	HEAD "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	HEAD "Transfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
};

/*
 * Guards against request smuggling: an intermediary finds the end of a body at another place than
 * the proxy, so that a part of the body is run as a request that no caller has sent. The proxy must
 * reject the request and close the connection, so that no further request is read from it.
 */
static void test_ambiguous_length(void)
{
	char *before = unambiguous_request();

	for (gsize i = 0; i < G_N_ELEMENTS(ambiguous); i++) {
		char *text = g_strconcat(before, ambiguous[i], before, NULL);
		char *reply = send_raw(harness_caller_port(h, 0), text);
		const char *refusal = strstr(reply, "two readings");

		g_test_message("%s", ambiguous[i]);
		g_assert_true(g_str_has_prefix(reply, "HTTP/1.1 200"));
		g_assert_nonnull(strstr(reply, "HTTP/1.1 400"));
		g_assert_nonnull(refusal);
		g_assert_null(strstr(refusal, "HTTP/1.1"));
		g_free(reply);
		g_free(text);
	}
	g_free(before);
	assert_proxy_serves();
}

/* Two equal Content-Length fields are unambiguous, and so is Transfer-Encoding alone. */
static void test_unambiguous_length(void)
{
	static const char *const unambiguous[] = {
		HEAD "Connection: close\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n{}",
		HEAD "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
		     "2\r\n{}\r\n0\r\n\r\n",
	};

	for (gsize i = 0; i < G_N_ELEMENTS(unambiguous); i++) {
		char *reply = send_raw(harness_caller_port(h, 0), unambiguous[i]);

		g_assert_nonnull(strstr(reply, "service is missing"));
		g_free(reply);
	}
}

/* The same over HTTP/2: a write, and an error in the body. */
static void test_http2(void)
{
	long status = 0;

	harness_http2 = TRUE;
	assert_proxy_serves();
	json_decref(harness_post_raw(harness_caller_port(h, 0), "/v1/statement", "{", &status));
	harness_http2 = FALSE;
	g_assert_cmpint(status, ==, 400);
}

static char *wait_for_log(const char *text)
{
	char *path = g_strdup_printf("%s/p1.log", h->dir);
	char *log = NULL;

	for (int i = 0; i < 100; i++) {
		g_clear_pointer(&log, g_free);
		if (g_file_get_contents(path, &log, NULL, NULL) && strstr(log, text) != NULL)
			break;
		g_usleep(20000);
	}
	g_free(path);
	return log;
}

/* SIGHUP logs the settings that took effect; SIGUSR1 dumps each group's primary and its reason. */
static void test_signals(void)
{
	char *log;

	kill(h->proxies[1], SIGHUP);
	log = wait_for_log("reloaded: log.level=info");
	g_assert_nonnull(strstr(log, "the other settings need a restart"));
	g_free(log);
	kill(h->proxies[1], SIGUSR1);
	log = wait_for_log("\"last_takeover_reason\"");
	g_assert_nonnull(strstr(log, "\"primary\": \"m0\""));
	g_free(log);
	assert_proxy_serves();
}

int main(int argc, char **argv)
{
	int rc;

	g_test_init(&argc, &argv, NULL);
	h = harness_start_fleet(2, 5);
	g_test_add_func("/input/bodies", test_bodies);
	g_test_add_func("/input/oversize", test_oversize);
	g_test_add_func("/input/operators-token", test_operators_token);
	g_test_add_func("/input/ctl", test_ctl);
	g_test_add_func("/input/settings", test_settings);
	g_test_add_func("/input/module-missing", test_module_missing);
	g_test_add_func("/input/same-request-id", test_same_request_id);
	g_test_add_func("/input/ambiguous-length", test_ambiguous_length);
	g_test_add_func("/input/clear-length", test_unambiguous_length);
	g_test_add_func("/input/http2", test_http2);
	g_test_add_func("/input/signals", test_signals);
	g_test_add_func("/input/peer-key", test_peer_key);
	rc = g_test_run();
	harness_stop(h);
	return rc;
}
