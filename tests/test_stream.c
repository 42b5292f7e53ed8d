/* Streams over loopback connections: closing a stream while its peer may be sending. */
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "clock.h"
#include "list.h"
#include "stream.h"

/* Iterations of the loop in which all data on loopback connections arrives and is handled. */
#define ITERATIONS 20
/* Longest wait of an iteration. */
#define ITERATION_WAIT_MS 10

/* Shared by all cases, since h2o has no function that destroys its loop. */
static loop_t loop;

typedef struct fixture {
	stream_t stream; /* under test */
	int peer;
	GString *received;	 /* input that on_data has received */
	bool close_when_flushed; /* call stream_close_if_idle() when all output is sent */
	bool close_on_data;	 /* call stream_close() when input arrives */
	stream_close_result_t result;
} fixture_t;

static size_t on_data(stream_t *stream, const char *data, size_t len)
{
	fixture_t *f = list_entry(stream, fixture_t, stream);

	g_string_append_len(f->received, data, (gssize)len);
	if (f->close_on_data)
		stream_close(stream);
	return len;
}

static void on_flushed(stream_t *stream)
{
	fixture_t *f = list_entry(stream, fixture_t, stream);

	/* While a request that was received is in progress, the stream stays open. */
	if (f->close_when_flushed && f->received->len == 0)
		f->result = stream_close_if_idle(stream);
}

static void on_close(stream_t *stream, const char *reason)
{
	(void)stream;
	g_error("stream closed unexpectedly: %s", reason);
}

static const stream_ops_t ops = {
	.on_data = on_data, .on_flushed = on_flushed, .on_close = on_close};

static void run_iterations(int count)
{
	for (int i = 0; i < count; i++) {
		h2o_evloop_run(loop.h2o, ITERATION_WAIT_MS);
		timers_expire(&loop.timers, clock_now(loop.clock));
	}
}

static void accept_peer(fixture_t *f, int listener)
{
	int fd = accept(listener, NULL, NULL);
	h2o_socket_t *sock;

	g_assert_cmpint(fd, >=, 0);
	sock = h2o_evloop_socket_create(loop.h2o, fd, H2O_SOCKET_FLAG_IS_ACCEPTED_CONNECTION);
	stream_accept(&f->stream, &loop, sock, 1000);
}

static void connect_peer(fixture_t *f)
{
	struct sockaddr_storage address;
	socklen_t len = sizeof(address);
	int listener = stream_listen("127.0.0.1:0", NULL);

	g_assert_cmpint(listener, >=, 0);
	g_assert_cmpint(getsockname(listener, (struct sockaddr *)&address, &len), ==, 0);
	f->peer = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(connect(f->peer, (struct sockaddr *)&address, len), ==, 0);
	accept_peer(f, listener);
	close(listener);
	run_iterations(2);
}

static fixture_t *setup(void)
{
	fixture_t *f = g_new0(fixture_t, 1);

	f->received = g_string_new(NULL);
	f->stream.ops = &ops;
	connect_peer(f);
	return f;
}

static void teardown(fixture_t *f)
{
	stream_close(&f->stream);
	run_iterations(2); /* h2o frees closed sockets in a later iteration */
	close(f->peer);
	g_string_free(f->received, TRUE);
	g_free(f);
}

/* True if the peer can detect that the connection has ended. */
static bool peer_detects_end(const fixture_t *f)
{
	char byte;
	ssize_t n = recv(f->peer, &byte, 1, MSG_DONTWAIT | MSG_PEEK);

	return n == 0 || (n < 0 && errno != EAGAIN);
}

static void send_from_peer(fixture_t *f, const char *text)
{
	g_assert_cmpint(send(f->peer, text, strlen(text), MSG_NOSIGNAL), ==, (ssize_t)strlen(text));
}

static void receive_at_peer(fixture_t *f, const char *text)
{
	char buffer[64];
	ssize_t n = recv(f->peer, buffer, sizeof(buffer) - 1, 0);

	g_assert_cmpint(n, ==, (ssize_t)strlen(text));
	buffer[n] = '\0';
	g_assert_cmpstr(buffer, ==, text);
}

/* Input that has arrived when the stream is to be closed keeps it open and is passed to on_data. */
static void test_unread_input(void)
{
	fixture_t *f = setup();

	send_from_peer(f, "request");
	g_assert_cmpint(stream_close_if_idle(&f->stream), ==, STREAM_UNREAD_INPUT);
	run_iterations(ITERATIONS);
	g_assert_cmpstr(f->received->str, ==, "request");
	g_assert_false(peer_detects_end(f));
	teardown(f);
}

/*
 * Guards against a request on an open connection that gets neither an answer nor a refusal. A proxy
 * that shuts down checks the socket, finds no input and decides to close it. The request arrives.
 * The next iteration of the loop, tens of milliseconds later on a slow VM, reads all sockets,
 * discards the request because the connection is closing, and only then closes the socket. The
 * fault was that the check and the close were not one step.
 */
static void test_request_after_check(void)
{
	fixture_t *f = setup();

	stream_close_if_idle(&f->stream);
	if (!peer_detects_end(f)) {
		send_from_peer(f, "request");
		run_iterations(ITERATIONS);
		g_assert_cmpstr(f->received->str, ==, "request");
	}
	teardown(f);
}

/*
 * Guards against a second request, sent directly after the answer to the first, that gets neither
 * an answer nor a refusal. A proxy that shuts down closes a session after its answer. The socket
 * accepts the answer at once, but the proxy is notified of this only after all other events of the
 * loop's iteration. It then closes the session and discards input that arrived in between.
 */
static void test_request_after_answer(void)
{
	fixture_t *f = setup();

	g_assert_cmpint(stream_send(&f->stream, "answer", 6), ==, 0);
	stream_close_if_idle(&f->stream);
	receive_at_peer(f, "answer");
	if (!peer_detects_end(f)) {
		send_from_peer(f, "request");
		run_iterations(ITERATIONS);
		g_assert_cmpstr(f->received->str, ==, "request");
	}
	teardown(f);
}

/* A stream that is closed when its last answer has been sent delivers the answer. */
static void test_close_after_answer(void)
{
	fixture_t *f = setup();

	f->close_when_flushed = true;
	g_assert_cmpint(stream_send(&f->stream, "answer", 6), ==, 0);
	g_assert_cmpint(stream_close_if_idle(&f->stream), ==, STREAM_UNSENT_OUTPUT);
	run_iterations(ITERATIONS);
	g_assert_cmpint(f->result, ==, STREAM_CLOSED);
	receive_at_peer(f, "answer");
	g_assert_true(peer_detects_end(f));
	teardown(f);
}

/* A peer that has sent its next request before the close keeps the connection open. */
static void test_open_for_next_request(void)
{
	fixture_t *f = setup();

	f->close_when_flushed = true;
	g_assert_cmpint(stream_send(&f->stream, "answer", 6), ==, 0);
	receive_at_peer(f, "answer");
	send_from_peer(f, "request");
	run_iterations(ITERATIONS);
	g_assert_cmpstr(f->received->str, ==, "request");
	g_assert_false(peer_detects_end(f));
	teardown(f);
}

/*
 * Guards against a write to the stack by a stream that was closed in on_data, connected again, and
 * closed before any input came.
 */
static void test_connected_again(void)
{
	fixture_t *f = setup();

	f->close_on_data = true;
	send_from_peer(f, "answer");
	run_iterations(ITERATIONS);
	g_assert_null(f->stream.sock);
	close(f->peer);
	connect_peer(f);
	g_assert_null(f->stream.closed_flag);
	teardown(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(loop_init(&loop, clock_system()), ==, 0);
	g_test_add_func("/stream/connected-again", test_connected_again);
	g_test_add_func("/stream/unread-input", test_unread_input);
	g_test_add_func("/stream/request-behind-the-look", test_request_after_check);
	g_test_add_func("/stream/request-behind-an-answer", test_request_after_answer);
	g_test_add_func("/stream/leaves-behind-an-answer", test_close_after_answer);
	g_test_add_func("/stream/stays-for-the-next-request", test_open_for_next_request);
	return g_test_run();
}
