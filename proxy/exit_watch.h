/*
 * Ends a process whose shutdown does not come to its end, because the event loop does not go on or
 * a library waits without a bound, and logs where it was. A thread of its own counts the time.
 */
#pragma once

#include "clock.h"
#include "plugin.h"

/* Exit status of a process that was ended by the watch; others end with 0, 1 or 2. */
#define EXIT_WATCH_STATUS 3

/*
 * Ends the process with EXIT_WATCH_STATUS unless it exits by itself within that time. Time for
 * which the process is stopped does not count. To be called by the thread that runs the kernel; a
 * further call can shorten the time only. Returns 0 or a negative error number.
 */
int exit_watch_start(const kernel_t *kernel, usec_t within);
