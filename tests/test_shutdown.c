/*
 * Requests that a proxy has received but not read when it shuts down. Every caller that has sent a
 * complete request must get an answer, be it a refusal.
 */
#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness.h"
#include "site.h"

/* More connections than the loop serves in one iteration. */
#define OPEN_CONNS 300
/* Few enough connections to fit into the queue of a listener. */
#define NEW_CONNS	    40
#define ANSWER_TIMEOUT_MSEC 5000
/* Time between sending requests and resuming the proxy, so that they arrive before any close. */
#define ARRIVAL_WAIT_USEC 250000
/* Longest wait for the exit of a proxy, or for a line of its log. */
#define EXIT_TIMEOUT_MSEC 10000
#define ANSWER_BYTES_MAX  4096

static int connect_to(int port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), ==, 0);
	return fd;
}

static void send_text(int fd, const char *text)
{
	g_assert_cmpint(send(fd, text, strlen(text), MSG_NOSIGNAL), ==, (ssize_t)strlen(text));
}

/* An answer ends by its Content-Length, by an empty chunk, or by the close of the connection. */
static bool is_complete(const char *answer, bool at_end)
{
	const char *body = strstr(answer, "\r\n\r\n");
	const char *length = strcasestr(answer, "\r\ncontent-length: ");

	if (body == NULL)
		return false;
	if (length != NULL)
		return strlen(body + 4) == strtoul(strchr(length, ':') + 1, NULL, 10);
	if (strstr(answer, "\r\nConnection: close\r\n") != NULL)
		return at_end && g_str_has_suffix(answer, "}");
	return g_str_has_suffix(answer, "\r\n0\r\n\r\n");
}

/* Receive an answer; returns its status, or 0 if the connection ends before it is complete. */
static long receive_status(int fd)
{
	struct pollfd ready = {.fd = fd, .events = POLLIN};
	char answer[ANSWER_BYTES_MAX] = "";
	size_t len = 0;
	ssize_t n = 1;

	while (!is_complete(answer, n == 0)) {
		if (n <= 0 || poll(&ready, 1, ANSWER_TIMEOUT_MSEC) != 1)
			return 0;
		n = recv(fd, answer + len, sizeof(answer) - 1 - len, 0);
		len += n > 0 ? (size_t)n : 0;
	}
	return strtol(answer + strlen("HTTP/1.1 "), NULL, 10);
}

static void connect_all(int *conns, int count, int port)
{
	for (int i = 0; i < count; i++)
		conns[i] = connect_to(port);
}

static void send_all(const int *conns, int count, const char *request)
{
	for (int i = 0; i < count; i++)
		send_text(conns[i], request);
}

/* Receive from and close all connections; returns how many got no complete answer. */
static int count_unanswered(const int *conns, int count)
{
	int unanswered = 0;

	for (int i = 0; i < count; i++) {
		unanswered += receive_status(conns[i]) == 0;
		close(conns[i]);
	}
	return unanswered;
}

static char *statement_request(void)
{
	static const char body[] = "{\"service\": \"dispatch\", \"class\": \"assignment\", "
				   "\"statement\": \"SELECT value FROM records WHERE key = $1\", "
				   "\"params\": [\"harness\"]}";

	return g_strdup_printf("POST /v1/statement HTTP/1.1\r\nHost: x\r\n"
			       "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
			       strlen(body), body);
}

/*
 * Wait until the proxy logs text. The log is checked every millisecond, so that the caller can act
 * in the 100 ms between the line and the exit.
 */
static void wait_for_log_line(const char *path, const char *text)
{
	gint64 end = g_get_monotonic_time() + EXIT_TIMEOUT_MSEC * 1000;
	bool found = false;

	while (!found) {
		char *log = NULL;

		g_assert_cmpint(g_get_monotonic_time(), <, end);
		found = g_file_get_contents(path, &log, NULL, NULL) && strstr(log, text) != NULL;
		g_free(log);
		g_usleep(1000);
	}
}

/*
 * Guards against connections that are reset although their requests were sent long before. The
 * proxy's loop is late: requests are unread in its sockets, new connections are in the listener's
 * queue, and the proxy handles SIGTERM first. It must accept the queued connections before it
 * closes the listener, and answer the received requests before it exits.
 */
static void test_late_loop(void)
{
	harness_t *h = harness_start_fleet(2, 5);
	char *request = statement_request();
	int old_conns[OPEN_CONNS];
	int new_conns[NEW_CONNS];

	connect_all(old_conns, OPEN_CONNS, harness_caller_port(h, 0));
	send_all(old_conns, 1, request);
	g_assert_cmpint(receive_status(old_conns[0]), ==, 200);
	kill(h->proxies[0], SIGSTOP);
	connect_all(new_conns, NEW_CONNS, harness_caller_port(h, 0));
	send_all(new_conns, NEW_CONNS, request);
	send_all(old_conns, OPEN_CONNS, request);
	g_usleep(ARRIVAL_WAIT_USEC);
	kill(h->proxies[0], SIGTERM);
	kill(h->proxies[0], SIGCONT);
	g_assert_cmpint(count_unanswered(old_conns, OPEN_CONNS), ==, 0);
	g_assert_cmpint(count_unanswered(new_conns, NEW_CONNS), ==, 0);
	g_assert_cmpint(harness_wait_exit(&h->proxies[0], EXIT_TIMEOUT_MSEC), ==, 0);
	g_free(request);
	harness_stop(h);
}

/*
 * Guards against requests on open connections that get no answer. After the last answer the proxy
 * waits until it is written, and is paused just then. When it resumes, the wait is over, and it
 * would exit with new requests unread. It must close a connection only right after a check that
 * nothing is unread on it.
 */
static void test_paused_before_exit(void)
{
	harness_t *h = harness_start_fleet(2, 5);
	char *log = g_build_filename(h->dir, "p0.log", NULL);
	char *request = statement_request();
	int old_conns[OPEN_CONNS];

	connect_all(old_conns, OPEN_CONNS, harness_caller_port(h, 0));
	for (int i = 0; i < OPEN_CONNS; i++) {
		send_text(old_conns[i], request);
		g_assert_cmpint(receive_status(old_conns[i]), ==, 200);
	}
	kill(h->proxies[0], SIGTERM);
	wait_for_log_line(log, "all requests are finished");
	kill(h->proxies[0], SIGSTOP);
	send_all(old_conns, OPEN_CONNS, request);
	g_usleep(ARRIVAL_WAIT_USEC);
	kill(h->proxies[0], SIGCONT);
	g_assert_cmpint(count_unanswered(old_conns, OPEN_CONNS), ==, 0);
	g_assert_cmpint(harness_wait_exit(&h->proxies[0], EXIT_TIMEOUT_MSEC), ==, 0);
	g_free(request);
	g_free(log);
	harness_stop(h);
}

/* The same for the operators' address, which accepts connections until the exit. */
static void test_operator_paused(void)
{
	static const char request[] = "GET /v1/state HTTP/1.1\r\nHost: x\r\n\r\n"; /* no token */
	harness_t *h = harness_start_fleet(2, 5);
	char *log = g_build_filename(h->dir, "p0.log", NULL);
	int old_conns[NEW_CONNS];
	int new_conns[NEW_CONNS];

	connect_all(old_conns, NEW_CONNS, harness_operator_port(h, 0));
	kill(h->proxies[0], SIGTERM);
	wait_for_log_line(log, "all requests are finished");
	kill(h->proxies[0], SIGSTOP);
	connect_all(new_conns, NEW_CONNS, harness_operator_port(h, 0));
	send_all(old_conns, NEW_CONNS, request);
	send_all(new_conns, NEW_CONNS, request);
	g_usleep(ARRIVAL_WAIT_USEC);
	kill(h->proxies[0], SIGCONT);
	g_assert_cmpint(count_unanswered(old_conns, NEW_CONNS), ==, 0);
	g_assert_cmpint(count_unanswered(new_conns, NEW_CONNS), ==, 0);
	g_assert_cmpint(harness_wait_exit(&h->proxies[0], EXIT_TIMEOUT_MSEC), ==, 0);
	g_free(log);
	harness_stop(h);
}

/* The same for the load balancer's probes and operators' requests in pooler mode. */
static void test_pooler_paused(void)
{
	static const char ready[] = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
	static const char state[] = "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n";
	site_harness_t *site = site_start(2);
	char *log = g_build_filename(site->dir, "p0.log", NULL);
	int probe_conns[NEW_CONNS];
	int operator_conns[NEW_CONNS];

	kill(site->proxies[0], SIGTERM);
	wait_for_log_line(log, "all requests are finished");
	kill(site->proxies[0], SIGSTOP);
	connect_all(probe_conns, NEW_CONNS, site_probe_port(site, 0));
	connect_all(operator_conns, NEW_CONNS, site_operators_port(site, 0));
	send_all(probe_conns, NEW_CONNS, ready);
	send_all(operator_conns, NEW_CONNS, state);
	g_usleep(ARRIVAL_WAIT_USEC);
	kill(site->proxies[0], SIGCONT);
	g_assert_cmpint(count_unanswered(probe_conns, NEW_CONNS), ==, 0);
	g_assert_cmpint(count_unanswered(operator_conns, NEW_CONNS), ==, 0);
	g_assert_cmpint(harness_wait_exit(&site->proxies[0], EXIT_TIMEOUT_MSEC), ==, 0);
	g_free(log);
	site_stop(site);
}

/* Receive from and close all sessions; returns how many got no answer and no refusal. */
static int count_unanswered_sessions(site_caller_t **callers, int count)
{
	int unanswered = 0;

	for (int i = 0; i < count; i++) {
		char *reply = site_receive_reply(callers[i]);

		unanswered += strstr(reply, "READY ") == NULL && strstr(reply, "ERR ") == NULL;
		g_free(reply);
		site_disconnect(callers[i]);
	}
	return unanswered;
}

/*
 * Guards against statements on open sessions that get neither an answer nor a refusal. The proxy's
 * loop is late: statements are unread in its sockets, and the proxy handles SIGTERM first, which
 * closes idle sessions. It must check each session for unread data right before it closes it.
 */
static void test_sessions_late_loop(void)
{
	static const char statement[] = "QUERY late READ nothing\r\n";
	site_harness_t *site = site_start(2);
	site_caller_t *callers[OPEN_CONNS];

	for (int i = 0; i < OPEN_CONNS; i++)
		callers[i] = site_open_session(site, 0, "jobs");
	g_usleep(2 * ARRIVAL_WAIT_USEC);
	kill(site->proxies[0], SIGSTOP);
	for (int i = 0; i < OPEN_CONNS; i++)
		site_send(callers[i], statement, strlen(statement));
	g_usleep(ARRIVAL_WAIT_USEC);
	kill(site->proxies[0], SIGTERM);
	kill(site->proxies[0], SIGCONT);
	g_assert_cmpint(count_unanswered_sessions(callers, OPEN_CONNS), ==, 0);
	g_assert_cmpint(harness_wait_exit(&site->proxies[0], EXIT_TIMEOUT_MSEC), ==, 0);
	site_stop(site);
}

/*
 * Guards against new sessions that are reset without a refusal. The load balancer still sends
 * callers to a proxy that shuts down; the proxy is paused until it stops accepting sessions, and
 * would close its listener with connections in the queue. It must refuse them, so that the callers
 * connect to another proxy at once.
 */
static void test_sessions_in_the_queue(void)
{
	static const char start[] = "START jobs x\r\n";
	/* The proxy accepts new sessions for 2.3 s after SIGTERM; the grace is 4 s. */
	static const gulong accepting_usec = 2000000;
	static const gulong paused_usec = 600000;
	site_harness_t *site = site_start(2);
	site_caller_t *callers[NEW_CONNS];

	kill(site->proxies[0], SIGTERM);
	g_usleep(accepting_usec);
	kill(site->proxies[0], SIGSTOP);
	for (int i = 0; i < NEW_CONNS; i++) {
		callers[i] = site_connect(site, 0);
		site_send(callers[i], start, strlen(start));
	}
	g_usleep(paused_usec);
	kill(site->proxies[0], SIGCONT);
	g_assert_cmpint(count_unanswered_sessions(callers, NEW_CONNS), ==, 0);
	g_assert_cmpint(harness_wait_exit(&site->proxies[0], EXIT_TIMEOUT_MSEC), ==, 0);
	site_stop(site);
}

/* A caller that never reads its answers must not delay the exit of the process. */
static void test_caller_that_does_not_read(void)
{
	harness_t *h = harness_start_fleet(2, 5);
	char *request = statement_request();
	int conn = connect_to(harness_caller_port(h, 0));

	/* One request whose answer stays unread, and one that is never sent to the end. */
	send_all(&conn, 1, request);
	send_text(conn, "POST /v1/statement HTTP/1.1\r\nHost: x\r\nContent-Le");
	kill(h->proxies[0], SIGTERM);
	g_assert_cmpint(harness_wait_exit(&h->proxies[0], EXIT_TIMEOUT_MSEC), ==, 0);
	close(conn);
	g_free(request);
	harness_stop(h);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/shutdown/late-loop", test_late_loop);
	g_test_add_func("/shutdown/held-up-at-the-end", test_paused_before_exit);
	g_test_add_func("/shutdown/operator-held-up", test_operator_paused);
	g_test_add_func("/shutdown/pooler-held-up", test_pooler_paused);
	g_test_add_func("/shutdown/caller-that-does-not-read", test_caller_that_does_not_read);
	g_test_add_func("/shutdown/sessions-late-loop", test_sessions_late_loop);
	g_test_add_func("/shutdown/sessions-in-the-queue", test_sessions_in_the_queue);
	return g_test_run();
}
