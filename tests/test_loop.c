/* The event loop with real sockets: timers that send on connections and close them. */
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "loop.h"
#include "stream.h"

#define ADDRESS	  "127.0.0.1:19999"
#define STREAMS	  64
#define ROUNDS	  50
#define TIMEOUT_S 30

typedef struct test_stream {
	stream_t stream;
	bool open;
} test_stream_t;

typedef struct world {
	loop_t loop;
	h2o_socket_t *listener;
	test_stream_t clients[STREAMS];
	test_stream_t accepted[STREAMS * 4];
	size_t next_accepted;
	run_timer_t timer;
	int rounds;
	size_t received;
} world_t;

static world_t world;

static size_t on_data(stream_t *stream, const char *data, size_t len)
{
	(void)stream;
	(void)data;
	world.received++;
	return len;
}

static void on_close(stream_t *stream, const char *reason)
{
	(void)reason;
	((test_stream_t *)stream)->open = false;
}

static const stream_ops_t ops = {.on_data = on_data, .on_close = on_close};

static void on_accept(h2o_socket_t *listener, const char *err)
{
	h2o_socket_t *sock;

	g_assert_null(err);
	while ((sock = h2o_evloop_socket_accept(listener)) != NULL) {
		test_stream_t *test_stream =
			&world.accepted[world.next_accepted++ % G_N_ELEMENTS(world.accepted)];

		stream_close(&test_stream->stream);
		*test_stream = (test_stream_t){.stream.ops = &ops, .open = true};
		stream_accept(&test_stream->stream, &world.loop, sock, 5000);
	}
}

static void on_round(run_timer_t *timer, usec_t now)
{
	err_t err = {0};

	if (world.rounds++ == ROUNDS) {
		loop_stop(&world.loop);
		return;
	}
	for (size_t i = 0; i < STREAMS; i++) {
		test_stream_t *client = &world.clients[i];

		if (client->open) {
			stream_send(&client->stream, "last words\r\n", 12);
			stream_close(&client->stream);
		}
		client->stream.ops = &ops;
		client->open =
			stream_connect(&client->stream, &world.loop, ADDRESS, 5000, &err) == 0;
	}
	timers_arm(&world.loop.timers, timer, now + 5 * USEC_PER_MSEC, on_round);
}

/*
 * Guards against a process that stops answering and keeps a CPU busy. A timer sends on a
 * connection and closes it in the same iteration of the loop. The socket is then in h2o's list of
 * pending callbacks. h2o frees the socket at the start of the next iteration and reuses its memory
 * for a connection that it accepts, so that the list has a cycle. The loop therefore runs the
 * pending callbacks directly after the timers; no freed socket is in the list then.
 */
static void test_send_and_close_in_a_timer(void)
{
	err_t err = {0};
	int fd = stream_listen(ADDRESS, &err);

	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(loop_init(&world.loop, clock_system()), ==, 0);
	world.listener = h2o_evloop_socket_create(world.loop.h2o, fd, H2O_SOCKET_FLAG_DONT_READ);
	h2o_socket_read_start(world.listener, on_accept);
	timers_arm(&world.loop.timers, &world.timer, clock_now(world.loop.clock), on_round);
	alarm(TIMEOUT_S);
	loop_run(&world.loop);
	alarm(0);
	g_assert_cmpuint(world.received, >, ROUNDS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	g_test_add_func("/loop/send-and-close-in-a-timer", test_send_and_close_in_a_timer);
	return g_test_run();
}
