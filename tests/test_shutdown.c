/*
 * What becomes of requests that a proxy has not read yet when it ends. Every
 * caller that had sent its request whole gets an answer, if only a refusal.
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

/* More than the events that one turn of the loop takes from the kernel. */
#define OPEN_CONNS 300
/* Fewer: they wait in a listener's queue. */
#define NEW_CONNS   40
#define ANSWER_MSEC 5000
/* Requests are sent so long before the proxy goes on, microseconds: no close can cross them. */
#define SENT_BEFORE_USEC 250000
/* Longest wait for a proxy's end, or for a line of its log. */
#define END_MSEC     10000
#define ANSWER_BYTES 4096

static int open_conn(int port)
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

/* An answer tells its length, or ends with an empty chunk, or with its connection. */
static bool is_whole(const char *answer, bool at_end)
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

/* The status of the next answer, 0 if the connection ends without a whole one. */
static long receive_status(int fd)
{
	struct pollfd ready = {.fd = fd, .events = POLLIN};
	char answer[ANSWER_BYTES] = "";
	size_t len = 0;
	ssize_t n = 1;

	while (!is_whole(answer, n == 0)) {
		if (n <= 0 || poll(&ready, 1, ANSWER_MSEC) != 1)
			return 0;
		n = recv(fd, answer + len, sizeof(answer) - 1 - len, 0);
		len += n > 0 ? (size_t)n : 0;
	}
	return strtol(answer + strlen("HTTP/1.1 "), NULL, 10);
}

static void open_conns(int *conns, int count, int port)
{
	for (int i = 0; i < count; i++)
		conns[i] = open_conn(port);
}

static void send_all(const int *conns, int count, const char *request)
{
	for (int i = 0; i < count; i++)
		send_text(conns[i], request);
}

/* Receive on all and close them; how many got no whole answer. */
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

/* Wait until the proxy logs text, looking often enough to act within its last 100 ms. */
static void wait_for_line(const char *path, const char *text)
{
	gint64 end = g_get_monotonic_time() + END_MSEC * 1000;
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
 * What callers see: a connection that is reset although the request on it was sent long ago. What
 * happens: the proxy's loop is late, requests wait in its sockets and whole connections in the
 * listener's queue; the order to stop is taken up first. Why taking up what waits suffices: the
 * listener's queue is emptied before it is closed, and what was sent is answered before the end.
 */
static void test_late_loop(void)
{
	harness_t *h = harness_start_fleet(2, 5);
	char *request = statement_request();
	int open[OPEN_CONNS];
	int fresh[NEW_CONNS];

	open_conns(open, OPEN_CONNS, harness_caller_port(h, 0));
	send_all(open, 1, request);
	g_assert_cmpint(receive_status(open[0]), ==, 200);
	kill(h->proxies[0], SIGSTOP);
	open_conns(fresh, NEW_CONNS, harness_caller_port(h, 0));
	send_all(fresh, NEW_CONNS, request);
	send_all(open, OPEN_CONNS, request);
	g_usleep(SENT_BEFORE_USEC);
	kill(h->proxies[0], SIGTERM);
	kill(h->proxies[0], SIGCONT);
	g_assert_cmpint(count_unanswered(open, OPEN_CONNS), ==, 0);
	g_assert_cmpint(count_unanswered(fresh, NEW_CONNS), ==, 0);
	g_assert_cmpint(harness_wait_exit(&h->proxies[0], END_MSEC), ==, 0);
	g_free(request);
	harness_stop(h);
}

/*
 * What callers see: a request on an open connection that ends without an answer. What happens: all
 * requests are answered, the proxy waits for its last words to leave, and is held up just then;
 * when it goes on, the wait is over, and it ends with requests unread. Why a look before the end
 * suffices: a connection is closed in the same moment in which nothing is found on it.
 */
static void test_held_up_at_the_end(void)
{
	harness_t *h = harness_start_fleet(2, 5);
	char *log = g_build_filename(h->dir, "p0.log", NULL);
	char *request = statement_request();
	int open[OPEN_CONNS];

	open_conns(open, OPEN_CONNS, harness_caller_port(h, 0));
	for (int i = 0; i < OPEN_CONNS; i++) {
		send_text(open[i], request);
		g_assert_cmpint(receive_status(open[i]), ==, 200);
	}
	kill(h->proxies[0], SIGTERM);
	wait_for_line(log, "all requests are finished");
	kill(h->proxies[0], SIGSTOP);
	send_all(open, OPEN_CONNS, request);
	g_usleep(SENT_BEFORE_USEC);
	kill(h->proxies[0], SIGCONT);
	g_assert_cmpint(count_unanswered(open, OPEN_CONNS), ==, 0);
	g_assert_cmpint(harness_wait_exit(&h->proxies[0], END_MSEC), ==, 0);
	g_free(request);
	g_free(log);
	harness_stop(h);
}

/* The same for an operator, whose address stays open to the end. */
static void test_operator_held_up(void)
{
	static const char request[] = "GET /v1/state HTTP/1.1\r\nHost: x\r\n\r\n"; /* no token */
	harness_t *h = harness_start_fleet(2, 5);
	char *log = g_build_filename(h->dir, "p0.log", NULL);
	int open[NEW_CONNS];
	int fresh[NEW_CONNS];

	open_conns(open, NEW_CONNS, harness_operator_port(h, 0));
	kill(h->proxies[0], SIGTERM);
	wait_for_line(log, "all requests are finished");
	kill(h->proxies[0], SIGSTOP);
	open_conns(fresh, NEW_CONNS, harness_operator_port(h, 0));
	send_all(open, NEW_CONNS, request);
	send_all(fresh, NEW_CONNS, request);
	g_usleep(SENT_BEFORE_USEC);
	kill(h->proxies[0], SIGCONT);
	g_assert_cmpint(count_unanswered(open, NEW_CONNS), ==, 0);
	g_assert_cmpint(count_unanswered(fresh, NEW_CONNS), ==, 0);
	g_assert_cmpint(harness_wait_exit(&h->proxies[0], END_MSEC), ==, 0);
	g_free(log);
	harness_stop(h);
}

/* The balancer's question and an operator's, to a proxy for sessions that is held up at its end. */
static void test_pooler_held_up(void)
{
	static const char ready[] = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
	static const char state[] = "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n";
	site_harness_t *site = site_start(2);
	char *log = g_build_filename(site->dir, "p0.log", NULL);
	int probes[NEW_CONNS];
	int operators[NEW_CONNS];

	kill(site->proxies[0], SIGTERM);
	wait_for_line(log, "all requests are finished");
	kill(site->proxies[0], SIGSTOP);
	open_conns(probes, NEW_CONNS, site_probe_port(site, 0));
	open_conns(operators, NEW_CONNS, site_operators_port(site, 0));
	send_all(probes, NEW_CONNS, ready);
	send_all(operators, NEW_CONNS, state);
	g_usleep(SENT_BEFORE_USEC);
	kill(site->proxies[0], SIGCONT);
	g_assert_cmpint(count_unanswered(probes, NEW_CONNS), ==, 0);
	g_assert_cmpint(count_unanswered(operators, NEW_CONNS), ==, 0);
	g_assert_cmpint(harness_wait_exit(&site->proxies[0], END_MSEC), ==, 0);
	g_free(log);
	site_stop(site);
}

/* How many sessions got neither the end of an answer nor a refusal; closes them. */
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
 * What callers see: on a session that was open for long, a statement that gets neither an answer
 * nor a refusal. What happens: the proxy's loop is late, the statements wait in its sockets, and
 * the order to stop is taken up first, which closes sessions that rest. Why a look suffices: it is
 * one step with the close.
 */
static void test_sessions_late_loop(void)
{
	static const char statement[] = "QUERY late READ nothing\r\n";
	site_harness_t *site = site_start(2);
	site_caller_t *callers[OPEN_CONNS];

	for (int i = 0; i < OPEN_CONNS; i++)
		callers[i] = site_open_session(site, 0, "jobs");
	g_usleep(2 * SENT_BEFORE_USEC);
	kill(site->proxies[0], SIGSTOP);
	for (int i = 0; i < OPEN_CONNS; i++)
		site_send(callers[i], statement, strlen(statement));
	g_usleep(SENT_BEFORE_USEC);
	kill(site->proxies[0], SIGTERM);
	kill(site->proxies[0], SIGCONT);
	g_assert_cmpint(count_unanswered_sessions(callers, OPEN_CONNS), ==, 0);
	g_assert_cmpint(harness_wait_exit(&site->proxies[0], END_MSEC), ==, 0);
	site_stop(site);
}

/*
 * What callers see: a session that they open is reset without a word. What happens: the balancer
 * still sends callers to a proxy that shuts down; it is held up until the moment in which it takes
 * no new ones, and closes its listener with theirs in the queue. Why a refusal suffices: they go to
 * another proxy at once.
 */
static void test_sessions_in_the_queue(void)
{
	static const char start[] = "START jobs x\r\n";
	/* New callers are taken for 2.3 s, and the grace is 4 s. */
	static const gulong before = 2000000;
	static const gulong held_up = 600000;
	site_harness_t *site = site_start(2);
	site_caller_t *callers[NEW_CONNS];

	kill(site->proxies[0], SIGTERM);
	g_usleep(before);
	kill(site->proxies[0], SIGSTOP);
	for (int i = 0; i < NEW_CONNS; i++) {
		callers[i] = site_connect(site, 0);
		site_send(callers[i], start, strlen(start));
	}
	g_usleep(held_up);
	kill(site->proxies[0], SIGCONT);
	g_assert_cmpint(count_unanswered_sessions(callers, NEW_CONNS), ==, 0);
	g_assert_cmpint(harness_wait_exit(&site->proxies[0], END_MSEC), ==, 0);
	site_stop(site);
}

/* A caller that never reads its answers doesn't keep the process from its end. */
static void test_caller_that_does_not_read(void)
{
	harness_t *h = harness_start_fleet(2, 5);
	char *request = statement_request();
	int conn = open_conn(harness_caller_port(h, 0));

	/* A request of which the rest never comes, and one whose answer stays unread. */
	send_all(&conn, 1, request);
	send_text(conn, "POST /v1/statement HTTP/1.1\r\nHost: x\r\nContent-Le");
	kill(h->proxies[0], SIGTERM);
	g_assert_cmpint(harness_wait_exit(&h->proxies[0], END_MSEC), ==, 0);
	close(conn);
	g_free(request);
	harness_stop(h);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/shutdown/late-loop", test_late_loop);
	g_test_add_func("/shutdown/held-up-at-the-end", test_held_up_at_the_end);
	g_test_add_func("/shutdown/operator-held-up", test_operator_held_up);
	g_test_add_func("/shutdown/pooler-held-up", test_pooler_held_up);
	g_test_add_func("/shutdown/caller-that-does-not-read", test_caller_that_does_not_read);
	g_test_add_func("/shutdown/sessions-late-loop", test_sessions_late_loop);
	g_test_add_func("/shutdown/sessions-in-the-queue", test_sessions_in_the_queue);
	return g_test_run();
}
