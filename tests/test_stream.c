/* Connections on the loop, over loopback: how one is ended while its peer may be sending. */
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "clock.h"
#include "list.h"
#include "stream.h"

/* Turns of the loop that are enough for anything on loopback to arrive and be handled. */
#define TURNS 20
/* Longest wait of a turn, milliseconds. */
#define TURN_WAIT 10

/* One for all cases: h2o's loop can't be taken down again. */
static loop_t loop;

typedef struct fixture {
	stream_t stream; /* ours */
	int peer;
	GString *given; /* input that on_data was given */
	bool leaves;	/* as soon as all output has left */
	stream_close_result_t left;
} fixture_t;

static size_t on_data(stream_t *stream, const char *data, size_t len)
{
	fixture_t *f = list_entry(stream, fixture_t, stream);

	g_string_append_len(f->given, data, (gssize)len);
	return len;
}

static void on_sent(stream_t *stream)
{
	fixture_t *f = list_entry(stream, fixture_t, stream);

	/* A request that was handed in is in progress. */
	if (f->leaves && f->given->len == 0)
		f->left = stream_close_if_idle(stream);
}

static void on_down(stream_t *stream, const char *reason)
{
	(void)stream;
	g_error("went down: %s", reason);
}

static const stream_ops_t ops = {.on_data = on_data, .on_flushed = on_sent, .on_close = on_down};

static void turn(int turns)
{
	for (int i = 0; i < turns; i++) {
		h2o_evloop_run(loop.h2o, TURN_WAIT);
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

static fixture_t *setup(void)
{
	fixture_t *f = g_new0(fixture_t, 1);
	struct sockaddr_storage address;
	socklen_t len = sizeof(address);
	int listener = stream_listen("127.0.0.1:0", NULL);

	g_assert_cmpint(listener, >=, 0);
	f->given = g_string_new(NULL);
	f->stream.ops = &ops;
	g_assert_cmpint(getsockname(listener, (struct sockaddr *)&address, &len), ==, 0);
	f->peer = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(connect(f->peer, (struct sockaddr *)&address, len), ==, 0);
	accept_peer(f, listener);
	close(listener);
	turn(2);
	return f;
}

static void teardown(fixture_t *f)
{
	stream_close(&f->stream);
	turn(2); /* h2o frees what was closed in a later turn */
	close(f->peer);
	g_string_free(f->given, TRUE);
	g_free(f);
}

/* True if the peer can see by now that the connection has ended. */
static bool peer_sees_end(const fixture_t *f)
{
	char byte;
	ssize_t n = recv(f->peer, &byte, 1, MSG_DONTWAIT | MSG_PEEK);

	return n == 0 || (n < 0 && errno != EAGAIN);
}

static void peer_sends(fixture_t *f, const char *text)
{
	g_assert_cmpint(send(f->peer, text, strlen(text), MSG_NOSIGNAL), ==, (ssize_t)strlen(text));
}

static void peer_receives(fixture_t *f, const char *text)
{
	char buffer[64];
	ssize_t n = recv(f->peer, buffer, sizeof(buffer) - 1, 0);

	g_assert_cmpint(n, ==, (ssize_t)strlen(text));
	buffer[n] = '\0';
	g_assert_cmpstr(buffer, ==, text);
}

/* What has arrived when the connection is to end keeps it open, and is handed in. */
static void test_unread_input(void)
{
	fixture_t *f = setup();

	peer_sends(f, "request");
	g_assert_cmpint(stream_close_if_idle(&f->stream), ==, STREAM_UNREAD_INPUT);
	turn(TURNS);
	g_assert_cmpstr(f->given->str, ==, "request");
	g_assert_false(peer_sees_end(f));
	teardown(f);
}

/*
 * What the caller sees: its request, sent whole on a connection that was still open, gets neither
 * an answer nor a refusal. What happens: the proxy shuts down, looks at the socket, finds nothing
 * and decides to close; the request arrives; the next turn of the loop, tens of milliseconds later
 * on a slow VM, reads all sockets, throws the request away since the connection is ending, and only
 * then closes. Why: the look and the close were not one step.
 */
static void test_request_behind_the_look(void)
{
	fixture_t *f = setup();

	stream_close_if_idle(&f->stream);
	if (!peer_sees_end(f)) {
		peer_sends(f, "request");
		turn(TURNS);
		g_assert_cmpstr(f->given->str, ==, "request");
	}
	teardown(f);
}

/*
 * What the caller sees: it gets an answer, sends its next request at once, and gets neither an
 * answer nor a refusal to that. What happens: while shutting down the proxy closes a session behind
 * its answer; the socket takes the answer at once, but the proxy learns of that, and closes, after
 * all else that is ready in this turn of the loop, and throws away what came in between.
 */
static void test_request_behind_an_answer(void)
{
	fixture_t *f = setup();

	g_assert_cmpint(stream_send(&f->stream, "answer", 6), ==, 0);
	stream_close_if_idle(&f->stream);
	peer_receives(f, "answer");
	if (!peer_sees_end(f)) {
		peer_sends(f, "request");
		turn(TURNS);
		g_assert_cmpstr(f->given->str, ==, "request");
	}
	teardown(f);
}

/* Behind the last answer the connection ends, and the answer arrives. */
static void test_leaves_behind_an_answer(void)
{
	fixture_t *f = setup();

	f->leaves = true;
	g_assert_cmpint(stream_send(&f->stream, "answer", 6), ==, 0);
	g_assert_cmpint(stream_close_if_idle(&f->stream), ==, STREAM_UNSENT_OUTPUT);
	turn(TURNS);
	g_assert_cmpint(f->left, ==, STREAM_CLOSED);
	peer_receives(f, "answer");
	g_assert_true(peer_sees_end(f));
	teardown(f);
}

/* A peer that has sent its next request by then keeps it. */
static void test_stays_for_the_next_request(void)
{
	fixture_t *f = setup();

	f->leaves = true;
	g_assert_cmpint(stream_send(&f->stream, "answer", 6), ==, 0);
	peer_receives(f, "answer");
	peer_sends(f, "request");
	turn(TURNS);
	g_assert_cmpstr(f->given->str, ==, "request");
	g_assert_false(peer_sees_end(f));
	teardown(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(loop_init(&loop, clock_system()), ==, 0);
	g_test_add_func("/stream/unread-input", test_unread_input);
	g_test_add_func("/stream/request-behind-the-look", test_request_behind_the_look);
	g_test_add_func("/stream/request-behind-an-answer", test_request_behind_an_answer);
	g_test_add_func("/stream/leaves-behind-an-answer", test_leaves_behind_an_answer);
	g_test_add_func("/stream/stays-for-the-next-request", test_stays_for_the_next_request);
	return g_test_run();
}
