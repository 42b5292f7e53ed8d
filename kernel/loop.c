#include "loop.h"

#include <errno.h>
#include <fcntl.h>
#include <stdbool.h>
#include <unistd.h>

#include "list.h"
#include "log.h"

/* Longest sleep in h2o's loop, milliseconds: bounds the wait for a signal flag. */
#define MAX_WAIT_MSEC 100
/*
 * A timer that is so late is run only after one more look at all sockets. Timers are usually late
 * by less than a millisecond, since h2o waits in whole ones; on a busy VM by tens.
 */
#define LATE_TIMER (10 * USEC_PER_MSEC)

static void on_turn(h2o_timeout_entry_t *entry)
{
	loop_t *loop = list_entry(entry, loop_t, timers_timeout_entry);

	timers_expire(&loop->timers, clock_now(loop->clock));
}

/*
 * A socket that a timer writes to waits in h2o's list of callbacks. If the timer closes it too, h2o
 * would free it at the start of its next turn and give its memory to a connection accepted then,
 * while it is still in that list: the list gets a cycle and the process answers nobody any more.
 * Run as a timeout of h2o, the timers are followed by all waiting callbacks, so that no socket is
 * in the list when it is freed.
 */
static void run_timers(loop_t *loop)
{
	h2o_timeout_link(loop->h2o, &loop->timers_timeout, &loop->timers_timeout_entry);
	h2o_timeout_run(loop->h2o, &loop->timers_timeout, h2o_now(loop->h2o));
}

int loop_init(loop_t *loop, const run_clock_t *clock)
{
	loop->h2o = h2o_evloop_create();
	if (loop->h2o == NULL)
		return -ENOMEM;
	loop->clock = clock;
	loop->stopping = false;
	timers_init(&loop->timers);
	h2o_timeout_init(loop->h2o, &loop->timers_timeout, 0);
	loop->timers_timeout_entry = (h2o_timeout_entry_t){.cb = on_turn};
	return 0;
}

void loop_destroy(loop_t *loop)
{
	h2o_timeout_dispose(loop->h2o, &loop->timers_timeout);
	timers_destroy(&loop->timers);
	/* h2o 2.2's evloop has no complete destructor; the process is about to end. */
}

static int32_t wait_msec(const loop_t *loop)
{
	usec_t next = timers_next_due(&loop->timers);
	usec_t now = clock_now(loop->clock);
	usec_t msec;

	if (next == USEC_NEVER)
		return MAX_WAIT_MSEC;
	if (next <= now)
		return 0;
	msec = (next - now + USEC_PER_MSEC - 1) / USEC_PER_MSEC;
	return msec < MAX_WAIT_MSEC ? (int32_t)msec : MAX_WAIT_MSEC;
}

/*
 * Wait for sockets and read them. A signal, or a process that was stopped and goes on, ends the
 * wait early, and such a turn reads nothing. Timers that ran behind it would judge by what was
 * known before: a statement whose answer lies in the socket would be out of time, a listener closed
 * with callers in its queue.
 */
static void read_all(loop_t *loop, int32_t wait)
{
	while (h2o_evloop_run(loop->h2o, wait) != 0 && errno == EINTR)
		wait = 0;
}

/* The same for timers that are late since the turn itself took long. */
static bool is_late(const loop_t *loop)
{
	usec_t next = timers_next_due(&loop->timers);

	return next != USEC_NEVER && clock_now(loop->clock) > next + LATE_TIMER;
}

void loop_run(loop_t *loop)
{
	while (!loop->stopping) {
		read_all(loop, wait_msec(loop));
		if (is_late(loop))
			read_all(loop, 0);
		run_timers(loop);
		log_flush();
	}
}

void loop_stop(loop_t *loop)
{
	loop->stopping = true;
}

static void on_readable(h2o_socket_t *sock, const char *err)
{
	loop_watch_t *watch = sock->data;

	(void)err; /* the library that owns the descriptor meets the error itself */
	watch->on_readable(watch);
}

static void on_writable(h2o_socket_t *sock, const char *err)
{
	loop_watch_t *watch = sock->data;

	(void)err;
	watch->on_writable(watch);
}

int loop_watch_start(loop_t *loop, loop_watch_t *watch, int fd, loop_watch_cb_t cb)
{
	int copy = fcntl(fd, F_DUPFD_CLOEXEC, 0);

	if (copy < 0)
		return -errno;
	watch->sock = h2o_evloop_socket_create(loop->h2o, copy, H2O_SOCKET_FLAG_DONT_READ);
	if (watch->sock == NULL) {
		close(copy);
		return -ENOMEM;
	}
	watch->sock->data = watch;
	watch->on_readable = cb;
	h2o_socket_read_start(watch->sock, on_readable);
	return 0;
}

void loop_watch_writable_once(loop_watch_t *watch, loop_watch_cb_t cb)
{
	watch->on_writable = cb;
	if (!h2o_socket_is_writing(watch->sock))
		h2o_socket_notify_write(watch->sock, on_writable);
}

void loop_watch_stop(loop_watch_t *watch)
{
	if (watch->sock == NULL)
		return;
	h2o_socket_read_stop(watch->sock);
	h2o_socket_close(watch->sock);
	watch->sock = NULL;
}
