/* Links between proxies, over real sockets of this machine. */
#include <string.h>

#include <glib.h>
#include <zmq.h>

#include "zmqlink.h"

#define MESSAGES 1000
/* Long enough for all of them to lie in the receiver's queue. */
#define ARRIVAL_USEC (300 * USEC_PER_MSEC)
/* Messages after which everything else of the process has its turn; with some room. */
#define AT_ONCE_MOST 100

static loop_t loop;
static zmqlink_t receiver;
static zmqlink_t sender;
static run_timer_t turn;
static size_t received;
static size_t since_turn;
static size_t most;

static void on_frame(zmqlink_t *link, const void *data, size_t len)
{
	(void)link;
	(void)data;
	(void)len;
	since_turn++;
	if (since_turn > most)
		most = since_turn;
	if (++received == MESSAGES)
		loop_stop(&loop);
}

static void on_turn(run_timer_t *timer, usec_t now)
{
	since_turn = 0;
	timers_arm(&loop.timers, timer, now + USEC_PER_MSEC, on_turn);
}

/*
 * What callers saw: the holder of the duty lost it, though it lived and the store answered. What
 * happened: after a loss of power 1,813 messages lay in its queue, and 4.3 s went by until it had
 * handled them all and came to renew its lease. Why it suffices to take some at a time: timers have
 * their turn in between, and the queue is read on at once.
 */
static void test_timers_between_messages(void)
{
	err_t err = {0};
	char endpoint[64];
	size_t size = sizeof(endpoint);
	const char *address;

	g_assert_cmpint(loop_init(&loop, clock_system()), ==, 0);
	receiver.on_frame = on_frame;
	sender.on_frame = on_frame;
	g_assert_cmpint(zmqlink_start(&receiver, &loop, "127.0.0.1:*", &err), ==, 0);
	g_assert_cmpint(zmqlink_start(&sender, &loop, "127.0.0.1:*", &err), ==, 0);
	zmq_getsockopt(receiver.router, ZMQ_LAST_ENDPOINT, endpoint, &size);
	address = endpoint + strlen("tcp://");
	for (int i = 0; i < MESSAGES;) {
		if (zmqlink_send(&sender, "receiver", address, "x", 1) == 0)
			i++;
		else
			g_usleep(USEC_PER_MSEC);
	}
	g_usleep(ARRIVAL_USEC);
	on_turn(&turn, clock_now(loop.clock));
	loop_run(&loop);
	g_test_message("%zu messages at once", most);
	g_assert_cmpuint(received, ==, MESSAGES);
	g_assert_cmpuint(most, <=, AT_ONCE_MOST);
	timers_cancel(&loop.timers, &turn);
	zmqlink_stop(&sender);
	zmqlink_stop(&receiver);
	loop_destroy(&loop);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/zmqlink/timers-between", test_timers_between_messages);
	return g_test_run();
}
