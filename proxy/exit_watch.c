#include "exit_watch.h"

#include <errno.h>
#include <execinfo.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <time.h>
#include <unistd.h>

#define LOG_MODULE "main"
#include "log.h"

/* Unit in which the time is counted; a process that was stopped goes on within the same one. */
#define TICK (50 * USEC_PER_MSEC)
/* Time for the watched thread to write its stack. */
#define STACK_TIME	   (50 * USEC_PER_MSEC)
#define STACK_SIGNAL	   SIGUSR2
#define FRAMES_MAX	   32
#define THREAD_STACK_BYTES (64 * 1024)

typedef struct exit_watch {
	const kernel_t *kernel;
	pthread_t watched;
	atomic_int ticks_left;
	bool started;
} exit_watch_t;

/* The only instance: the signal handler has no argument to find it by. */
static exit_watch_t state;

/* Signals don't shorten the sleep. */
static void sleep_for(usec_t duration)
{
	struct timespec left = {
		.tv_sec = (time_t)(duration / USEC_PER_SEC),
		.tv_nsec = (long)(duration % USEC_PER_SEC * 1000),
	};

	while (nanosleep(&left, &left) < 0 && errno == EINTR)
		;
}

/* May hang if the thread holds a lock that backtrace() needs; the process ends nevertheless. */
static void write_stack(int signo)
{
	void *frames[FRAMES_MAX];

	(void)signo;
	backtrace_symbols_fd(frames, backtrace(frames, FRAMES_MAX), STDERR_FILENO);
}

static void end_process(const exit_watch_t *watch)
{
	const char *call = atomic_load(&watch->kernel->step.call);
	const char *plugin = atomic_load(&watch->kernel->step.plugin);
	const log_field_t fields[] = {
		LOG_STR("call", call),
		LOG_STR("plugin", plugin),
	};

	log_last_event(LOG_ERR, LOG_MODULE, "shutdown did not end in time, exiting", fields,
		       sizeof(fields) / sizeof(fields[0]));
	if (pthread_kill(watch->watched, STACK_SIGNAL) == 0)
		sleep_for(STACK_TIME);
	_exit(EXIT_WATCH_STATUS);
}

static void *run(void *data)
{
	exit_watch_t *watch = data;

	do
		sleep_for(TICK);
	while (atomic_fetch_sub(&watch->ticks_left, 1) > 1);
	end_process(watch);
	return NULL;
}

static int start_thread(exit_watch_t *watch)
{
	pthread_attr_t attr;
	pthread_t thread;
	int rc = pthread_attr_init(&attr);

	if (rc != 0)
		return -rc;
	pthread_attr_setstacksize(&attr, THREAD_STACK_BYTES);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	rc = pthread_create(&thread, &attr, run, watch);
	pthread_attr_destroy(&attr);
	return -rc;
}

int exit_watch_start(const kernel_t *kernel, usec_t within)
{
	const struct sigaction action = {.sa_handler = write_stack, .sa_flags = SA_RESTART};
	exit_watch_t *watch = &state;
	int ticks = (int)((within + TICK - 1) / TICK);
	int rc;

	if (watch->started) {
		if (ticks < atomic_load(&watch->ticks_left))
			atomic_store(&watch->ticks_left, ticks);
		return 0;
	}
	watch->kernel = kernel;
	watch->watched = pthread_self();
	atomic_store(&watch->ticks_left, ticks);
	sigaction(STACK_SIGNAL, &action, NULL);
	rc = start_thread(watch);
	watch->started = rc == 0;
	return rc;
}
