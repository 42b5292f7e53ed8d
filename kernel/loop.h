/*
 * The event loop of a process: h2o's event loop, timers, and watches on file descriptors that
 * belong to other libraries (libpq, ZeroMQ, curl).
 */
#pragma once

#include <stdbool.h>

#include <h2o.h>

#include "clock.h"
#include "timer.h"

typedef struct loop {
	h2o_loop_t *h2o;
	const run_clock_t *clock;
	timer_set_t timers;
	h2o_timeout_t timers_timeout; /* of 0 ms; runs the timers as a timeout of h2o */
	h2o_timeout_entry_t timers_timeout_entry;
	bool stopping;
} loop_t;

struct loop_watch;

typedef void (*loop_watch_cb_t)(struct loop_watch *watch);

/*
 * A watch on a file descriptor that another library owns. It polls a duplicate of the descriptor,
 * since h2o closes the descriptors that it polls.
 */
typedef struct loop_watch {
	h2o_socket_t *sock; /* NULL while the watch is stopped */
	loop_watch_cb_t on_readable;
	loop_watch_cb_t on_writable;
} loop_watch_t;

int loop_init(loop_t *loop, const run_clock_t *clock);
void loop_destroy(loop_t *loop);

/* Runs until loop_stop() is called. */
void loop_run(loop_t *loop);
void loop_stop(loop_t *loop);

/* Starts to watch fd for input. Returns 0 or a negative errno. */
int loop_watch_start(loop_t *loop, loop_watch_t *watch, int fd, loop_watch_cb_t on_readable);
/* Calls on_writable once, as soon as the descriptor is writable. */
void loop_watch_writable_once(loop_watch_t *watch, loop_watch_cb_t on_writable);
void loop_watch_stop(loop_watch_t *watch);
