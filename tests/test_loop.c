/* The loop with real sockets: what timers do with connections. */
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "loop.h"
#include "stream.h"

#define ADDRESS	 "127.0.0.1:19999"
#define STREAMS	 64
#define ROUNDS	 50
#define PATIENCE 30 /* s */

typedef struct peer {
	stream_t stream;
	bool open;
} peer_t;

typedef struct world {
	loop_t loop;
	h2o_socket_t *listener;
	peer_t callers[STREAMS];
	peer_t accepted[STREAMS * 4];
	size_t next;
	run_timer_t timer;
	int rounds;
	size_t served;
} world_t;

static world_t world;

static size_t on_data(stream_t *stream, const char *data, size_t len)
{
	(void)stream;
	(void)data;
	world.served++;
	return len;
}

static void on_down(stream_t *stream, const char *reason)
{
	(void)reason;
	((peer_t *)stream)->open = false;
}

static const stream_ops_t ops = {.on_data = on_data, .on_close = on_down};

static void on_accept(h2o_socket_t *listener, const char *err)
{
	h2o_socket_t *sock;

	g_assert_null(err);
	while ((sock = h2o_evloop_socket_accept(listener)) != NULL) {
		peer_t *peer = &world.accepted[world.next++ % G_N_ELEMENTS(world.accepted)];

		stream_close(&peer->stream);
		*peer = (peer_t){.stream.ops = &ops, .open = true};
		stream_accept(&peer->stream, &world.loop, sock, 5000);
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
		peer_t *caller = &world.callers[i];

		if (caller->open) {
			stream_send(&caller->stream, "last words\r\n", 12);
			stream_close(&caller->stream);
		}
		caller->stream.ops = &ops;
		caller->open =
			stream_connect(&caller->stream, &world.loop, ADDRESS, 5000, &err) == 0;
	}
	timers_arm(&world.loop.timers, timer, now + 5 * USEC_PER_MSEC, on_round);
}

/*
 * What callers see: the process answers nobody any more and uses a whole core. What happens: a
 * timer sends on a connection and closes it in the same turn. The event loop has put the socket
 * that was written to on its list of callbacks to run, frees it at the start of the next turn, and
 * gives its memory to a connection that is accepted then; the list has a cycle from there on.
 * Why running the callbacks right after the timers suffices: no freed socket is on the list then.
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
	alarm(PATIENCE);
	loop_run(&world.loop);
	alarm(0);
	g_assert_cmpuint(world.served, >, ROUNDS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	g_test_add_func("/loop/send-and-close-in-a-timer", test_send_and_close_in_a_timer);
	return g_test_run();
}
