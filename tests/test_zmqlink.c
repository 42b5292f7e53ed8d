/* Transport of messages between proxies over real sockets: long queues, idle links, the stop. */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include "ports.h"
#include "zmqlink.h"

#define MESSAGES      500
#define MESSAGE_BYTES 4096
#define WAIT_USEC     (10 * G_USEC_PER_SEC)
/* Time in which all messages reach the receiver's queue. */
#define ARRIVAL_WAIT_USEC (300 * 1000)
/* Most messages handled in one iteration of the loop; higher than the limit in zmqlink.c. */
#define BATCH_LIMIT 100

static loop_t loop;

typedef struct receiver {
	zmqlink_t link; /* first, so that on_frame() can cast the link to its receiver */
	int received;
} receiver_t;

static void on_frame(zmqlink_t *link, const void *data, size_t len)
{
	receiver_t *receiver = (receiver_t *)link;

	(void)data;
	g_assert_cmpuint(len, ==, MESSAGE_BYTES);
	receiver->received++;
}

static void ignore_frame(zmqlink_t *link, const void *data, size_t len)
{
	(void)link;
	(void)data;
	(void)len;
}

static void start_link(zmqlink_t *link, zmqlink_frame_t on_message, int port)
{
	char *address = g_strdup_printf("127.0.0.1:%d", port);
	err_t err = {0};

	link->on_frame = on_message;
	g_assert_cmpint(zmqlink_start(link, &loop, address, &err), ==, 0);
	g_free(address);
}

static void run_loop_once(void)
{
	h2o_evloop_run(loop.h2o, 10);
	timers_expire(&loop.timers, clock_now(loop.clock));
}

static void receive_until(receiver_t *receiver, int count)
{
	gint64 end = g_get_monotonic_time() + WAIT_USEC;

	while (receiver->received < count && g_get_monotonic_time() < end)
		run_loop_once();
}

/* Send until the connection is open and the first message has been received. */
static void connect_to(zmqlink_t *sender, receiver_t *receiver, const char *address,
		       const char *message)
{
	gint64 end = g_get_monotonic_time() + WAIT_USEC;

	while (zmqlink_send(sender, "b", address, message, MESSAGE_BYTES) < 0) {
		g_assert_cmpint(g_get_monotonic_time(), <, end);
		run_loop_once();
	}
	receive_until(receiver, 1);
	g_assert_cmpint(receiver->received, ==, 1);
}

/* Two links, the first of which is connected to the second. */
typedef struct pair {
	ports_t ports;
	zmqlink_t sender;
	receiver_t receiver;
	char message[MESSAGE_BYTES];
} pair_t;

static void pair_start(pair_t *pair)
{
	char *address;

	ports_reserve(&pair->ports);
	address = g_strdup_printf("127.0.0.1:%d", pair->ports.first + 1);
	start_link(&pair->receiver.link, on_frame, pair->ports.first + 1);
	start_link(&pair->sender, ignore_frame, pair->ports.first);
	connect_to(&pair->sender, &pair->receiver, address, pair->message);
	g_free(address);
}

/* Send count messages; returns how many zmqlink_send() has accepted. */
static int pair_send(pair_t *pair, int count)
{
	int sent = 0;

	for (int i = 0; i < count; i++)
		sent += zmqlink_send(&pair->sender, "b", NULL, pair->message, MESSAGE_BYTES) == 0;
	return sent;
}

/*
 * Guards against answers lost at the exit of a proxy: ZeroMQ's thread had not written them when the
 * sockets were closed, so callers got outcome unknown for a write that was done, or a refusal after
 * 250 ms. The sockets must linger, which suffices since the peer is connected and reads.
 */
static void test_stop_sends_queue(void)
{
	pair_t pair = {0};

	pair_start(&pair);
	g_assert_cmpint(pair_send(&pair, MESSAGES), ==, MESSAGES);
	zmqlink_stop(&pair.sender);
	receive_until(&pair.receiver, MESSAGES + 1);
	g_assert_cmpint(pair.receiver.received, ==, MESSAGES + 1);
	zmqlink_stop(&pair.receiver.link);
	ports_release(&pair.ports);
}

static void on_alarm(int signo)
{
	(void)signo;
}

/* Send to the receiver on port, and end the process right after a stop that signals interrupt. */
static void send_and_exit(int port)
{
	static const struct itimerval often = {{.tv_usec = 50}, {.tv_usec = 1}};
	static const struct sigaction action = {.sa_handler = on_alarm};
	char *address = g_strdup_printf("127.0.0.1:%d", port);
	pair_t pair = {0};

	g_assert_cmpint(loop_init(&loop, clock_system()), ==, 0);
	start_link(&pair.sender, ignore_frame, port + 1);
	while (zmqlink_send(&pair.sender, "b", address, pair.message, MESSAGE_BYTES) < 0)
		run_loop_once();
	g_assert_cmpint(pair_send(&pair, MESSAGES), ==, MESSAGES);
	sigaction(SIGALRM, &action, NULL);
	setitimer(ITIMER_REAL, &often, NULL);
	zmqlink_stop(&pair.sender);
	_exit(EXIT_SUCCESS);
}

/*
 * Guards against answers lost at the exit of a proxy that gets another signal while it waits until
 * ZeroMQ's thread has written them.
 */
static void test_interrupted_stop(void)
{
	receiver_t receiver = {0};
	ports_t ports;
	pid_t sender;

	ports_reserve(&ports);
	sender = fork();
	if (sender == 0)
		send_and_exit(ports.first);
	start_link(&receiver.link, on_frame, ports.first);
	receive_until(&receiver, MESSAGES + 1);
	g_assert_cmpint(receiver.received, ==, MESSAGES + 1);
	g_assert_cmpint(waitpid(sender, NULL, 0), ==, sender);
	zmqlink_stop(&receiver.link);
	ports_release(&ports);
}

/* Queued messages to a peer that has stopped must not delay the exit of the process. */
static void test_stop_without_peer(void)
{
	pair_t pair = {0};
	gint64 stopped;

	pair_start(&pair);
	zmqlink_stop(&pair.receiver.link);
	pair_send(&pair, MESSAGES);
	stopped = g_get_monotonic_time();
	zmqlink_stop(&pair.sender);
	g_assert_cmpint(g_get_monotonic_time() - stopped, <, 2 * G_USEC_PER_SEC);
	ports_release(&pair.ports);
}

/* Guards against unused links that stay open: each needs memory and heartbeats at both ends. */
static void test_unused_link_is_closed(void)
{
	const run_clock_t *clock = loop.clock;
	manual_clock_t later;
	pair_t pair = {0};

	pair_start(&pair);
	g_assert_cmpuint(list_length(&pair.sender.peers), ==, 1);
	manual_clock_init(&later, clock_now(clock) + 60 * USEC_PER_SEC);
	loop.clock = &later.base;
	zmqlink_send(&pair.sender, "c", "127.0.0.1:9", pair.message, MESSAGE_BYTES);
	loop.clock = clock;
	g_assert_cmpuint(list_length(&pair.sender.peers), ==, 1);
	g_assert_cmpint(zmqlink_send(&pair.sender, "b", NULL, pair.message, MESSAGE_BYTES), <, 0);
	zmqlink_stop(&pair.sender);
	zmqlink_stop(&pair.receiver.link);
	ports_release(&pair.ports);
}

/* zmqlink_receive_all() handles an arrived message that the event loop has not reported yet. */
static void test_receive_all(void)
{
	gint64 end = g_get_monotonic_time() + WAIT_USEC;
	pair_t pair = {0};

	pair_start(&pair);
	g_assert_cmpint(pair_send(&pair, 1), ==, 1);
	while (pair.receiver.received < 2 && g_get_monotonic_time() < end)
		zmqlink_receive_all(&pair.receiver.link);
	g_assert_cmpint(pair.receiver.received, ==, 2);
	zmqlink_stop(&pair.sender);
	zmqlink_stop(&pair.receiver.link);
	ports_release(&pair.ports);
}

/* More messages than a proxy may handle at its exit. */
#define ECHO_MESSAGES 20000

/* A receiver that sends a message to itself for each one that it gets. */
typedef struct echo {
	zmqlink_t link; /* first, so that on_echo() can cast the link to its echo */
	const char *address;
	int received;
} echo_t;

static void on_echo(zmqlink_t *link, const void *data, size_t len)
{
	echo_t *echo = (echo_t *)link;

	if (++echo->received >= ECHO_MESSAGES)
		return;
	zmqlink_send(link, "echo", echo->address, data, len);
	/* The message arrives before the next one is looked for. */
	g_usleep(100);
}

/*
 * Guards against a process that does not exit since messages arrive as fast as it handles those
 * that arrived before its end.
 */
static void test_receive_all_ends(void)
{
	echo_t echo = {0};
	ports_t ports;
	char *address;

	ports_reserve(&ports);
	address = g_strdup_printf("127.0.0.1:%d", ports.first);
	echo.address = address;
	start_link(&echo.link, on_echo, ports.first);
	for (int sent = 0; sent < 64; run_loop_once())
		sent += zmqlink_send(&echo.link, "echo", address, "x", 1) == 0;
	zmqlink_receive_all(&echo.link);
	g_assert_cmpint(echo.received, <, ECHO_MESSAGES);
	zmqlink_stop(&echo.link);
	ports_release(&ports);
	g_free(address);
}

/*
 * Guards against a leader that loses its leader lease although it runs and the store answers: after
 * a power failure 1,813 messages were in its queue, and it took 4.3 s to handle them all before it
 * renewed the lease. Messages must be handled in batches, with timers served in between.
 */
static void test_timers_between_messages(void)
{
	gint64 end = g_get_monotonic_time() + WAIT_USEC;
	pair_t pair = {0};
	int max_batch = 0;

	pair_start(&pair);
	g_assert_cmpint(pair_send(&pair, MESSAGES), ==, MESSAGES);
	g_usleep(ARRIVAL_WAIT_USEC);
	while (pair.receiver.received < MESSAGES + 1 && g_get_monotonic_time() < end) {
		int before = pair.receiver.received;

		run_loop_once();
		max_batch = MAX(max_batch, pair.receiver.received - before);
	}
	g_assert_cmpint(pair.receiver.received, ==, MESSAGES + 1);
	g_assert_cmpint(max_batch, <=, BATCH_LIMIT);
	zmqlink_stop(&pair.sender);
	zmqlink_stop(&pair.receiver.link);
	ports_release(&pair.ports);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(loop_init(&loop, clock_system()), ==, 0);
	g_test_add_func("/zmqlink/unused-link", test_unused_link_is_closed);
	g_test_add_func("/zmqlink/last-messages-arrive", test_stop_sends_queue);
	g_test_add_func("/zmqlink/interrupted-stop", test_interrupted_stop);
	g_test_add_func("/zmqlink/peer-is-gone", test_stop_without_peer);
	g_test_add_func("/zmqlink/receive-before-the-end", test_receive_all);
	g_test_add_func("/zmqlink/receive-before-the-end-is-bounded", test_receive_all_ends);
	g_test_add_func("/zmqlink/timers-between", test_timers_between_messages);
	return g_test_run();
}
