#include "loop.h"

#include <errno.h>
#include <fcntl.h>
#include <stdbool.h>
#include <unistd.h>

#include "list.h"
#include "log.h"

/* Longest wait in h2o's loop; bounds the time until flags set by signal handlers are checked. */
#define MAX_WAIT_MS 100
/*
 * If a timer is overdue by more than this, all sockets are polled once more before it runs. Timers
 * are usually late by less than 1 ms, since h2o waits for whole milliseconds, and by tens of
 * milliseconds on a busy VM.
 */
#define LATE_TIMER_USEC (10 * USEC_PER_MSEC)

static void on_timers_timeout(h2o_timeout_entry_t *entry)
{
	loop_t *loop = list_entry(entry, loop_t, timers_timeout_entry);

	timers_expire(&loop->timers, clock_now(loop->clock));
}

/*
 * Runs the timers as a timeout of h2o, because h2o then runs all pending socket callbacks directly
 * after them. A socket that a timer writes to is in h2o's list of pending callbacks. If the timer
 * also closes the socket and the callbacks run later, h2o frees the socket at the start of its next
 * iteration, while the socket is still in that list, and may reuse its memory for a connection that
 * it accepts in that iteration. The list then has a cycle, and the process hangs.
 */
static void run_due_timers(loop_t *loop)
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
	loop->timers_timeout_entry = (h2o_timeout_entry_t){.cb = on_timers_timeout};
	return 0;
}

void loop_destroy(loop_t *loop)
{
	h2o_timeout_dispose(loop->h2o, &loop->timers_timeout);
	timers_destroy(&loop->timers);
	/* h2o 2.2 can't destroy its loop completely. The exit of the process frees the rest. */
}

static int32_t next_wait_ms(const loop_t *loop)
{
	usec_t next = timers_next_due(&loop->timers);
	usec_t now = clock_now(loop->clock);
	usec_t msec;

	if (next == USEC_NEVER)
		return MAX_WAIT_MS;
	if (next <= now)
		return 0;
	msec = (next - now + USEC_PER_MSEC - 1) / USEC_PER_MSEC;
	return msec < MAX_WAIT_MS ? (int32_t)msec : MAX_WAIT_MS;
}

/*
 * Waits for sockets and runs their callbacks. A signal, or the continuation of a stopped process,
 * interrupts the wait, and h2o then reads no socket. The wait is repeated in that case, since
 * timers that ran next would act on outdated state: a statement would time out although its answer
 * is in the socket, or a listener would be closed with connections in its queue.
 */
static void poll_sockets(loop_t *loop, int32_t wait_ms)
{
	while (h2o_evloop_run(loop->h2o, wait_ms) != 0 && errno == EINTR)
		wait_ms = 0;
}

/* True if a timer is overdue, because the callbacks of this iteration took long. */
static bool has_late_timer(const loop_t *loop)
{
	usec_t next = timers_next_due(&loop->timers);

	return next != USEC_NEVER && clock_now(loop->clock) > next + LATE_TIMER_USEC;
}

void loop_run(loop_t *loop)
{
	while (!loop->stopping) {
		poll_sockets(loop, next_wait_ms(loop));
		if (has_late_timer(loop))
			poll_sockets(loop, 0);
		run_due_timers(loop);
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

	(void)err; /* the library that owns the descriptor detects the error itself */
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
	int duplicate = fcntl(fd, F_DUPFD_CLOEXEC, 0);

	if (duplicate < 0)
		return -errno;
	watch->sock = h2o_evloop_socket_create(loop->h2o, duplicate, H2O_SOCKET_FLAG_DONT_READ);
	if (watch->sock == NULL) {
		close(duplicate);
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
