/*
 * The one loop of a process: h2o's event loop, the ordered timers, and watches
 * on descriptors that belong to other libraries (libpq, ZeroMQ, curl).
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
	h2o_timeout_t timers_timeout; /* runs the timers within h2o's own loop */
	h2o_timeout_entry_t timers_timeout_entry;
	bool stopping;
} loop_t;

struct loop_watch;

typedef void (*loop_watch_cb_t)(struct loop_watch *watch);

/*
 * A watch on a descriptor owned elsewhere. It works on a duplicate, since h2o
 * closes what it polls. Writability is reported once a request.
 */
typedef struct loop_watch {
	h2o_socket_t *sock; /* NULL when not watching */
	loop_watch_cb_t on_readable;
	loop_watch_cb_t on_writable;
} loop_watch_t;

int loop_init(loop_t *loop, const run_clock_t *clock);
void loop_destroy(loop_t *loop);

/* Run until loop_stop() is called. */
void loop_run(loop_t *loop);
void loop_stop(loop_t *loop);

/* Start to watch fd for input. Returns 0 or a negative errno. */
int loop_watch_start(loop_t *loop, loop_watch_t *watch, int fd, loop_watch_cb_t on_readable);
void loop_watch_writable_once(loop_watch_t *watch, loop_watch_cb_t on_writable);
void loop_watch_stop(loop_watch_t *watch);
