/* The limit of a shutdown's time: processes that don't come to their end by themselves. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "exit_watch.h"

#define LOG_MODULE "test"
#include "log.h"

#define FAMILY "stuck"
/* Enough for the watch on a busy VM, and less than the time that ends a test. */
#define EXIT_TIMEOUT_USEC (20 * G_USEC_PER_SEC)

typedef void (*child_t)(kernel_t *kernel);

static int start_plugin(plugin_t *plugin, kernel_t *kernel, err_t *err)
{
	(void)plugin;
	(void)kernel;
	(void)err;
	return 0;
}

static void destroy_never_returns(plugin_t *plugin)
{
	(void)plugin;
	for (;;)
		pause();
}

static const plugin_ops_t stuck_ops = {
	.name = "stuck-link",
	.family = FAMILY,
	.start = start_plugin,
	.destroy = destroy_never_returns,
};

static plugin_t stuck = {.ops = &stuck_ops};

PLUGIN_REGISTER(&stuck);

/* Runs the child in a process of its own, with its output in the file. */
static pid_t start_child(child_t child, const char *path)
{
	pid_t pid = fork();
	kernel_t kernel;
	err_t err = {0};

	if (pid != 0)
		return pid;
	if (freopen(path, "a", stdout) == NULL || dup2(STDOUT_FILENO, STDERR_FILENO) < 0)
		_exit(2);
	log_init(LOG_INFO, false, LOG_TO_STDOUT);
	if (kernel_init(&kernel, clock_system(), FAMILY, NULL, NULL) < 0 ||
	    kernel_start(&kernel, &err) < 0)
		_exit(2);
	child(&kernel);
	_exit(EXIT_SUCCESS);
}

/* Returns the exit status, or -1 if the process did not exit in time and was killed. */
static int wait_for_exit(pid_t pid)
{
	gint64 end = g_get_monotonic_time() + EXIT_TIMEOUT_USEC;
	int status = 0;

	while (waitpid(pid, &status, WNOHANG) == 0) {
		if (g_get_monotonic_time() > end)
			kill(pid, SIGKILL);
		g_usleep(1000);
	}
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/* Runs the child; returns its exit status, and what it has written in *output. */
static int run_child(child_t child, char **output)
{
	char *path = NULL;
	int fd = g_file_open_tmp("exit-watch-XXXXXX", &path, NULL);
	int status;

	g_assert_cmpint(fd, >=, 0);
	close(fd);
	status = wait_for_exit(start_child(child, path));
	g_assert_true(g_file_get_contents(path, output, NULL, NULL));
	g_unlink(path);
	g_free(path);
	return status;
}

static void destroy_in_time(kernel_t *kernel)
{
	LOG_INFORM("last line");
	exit_watch_start(kernel, 200 * USEC_PER_MSEC);
	kernel_destroy(kernel);
}

/*
 * Guards against a process that doesn't exit although its last request is finished, since a plug-in
 * waits in a library, and against the loss of the log lines that would tell where.
 */
static void test_stuck_plugin(void)
{
	char *output;

	g_assert_cmpint(run_child(destroy_in_time, &output), ==, EXIT_WATCH_STATUS);
	g_assert_nonnull(strstr(output, "last line\n"));
	g_assert_nonnull(strstr(output, "shutdown did not end in time, exiting call=destroy "
					"plugin=stuck-link\n"));
	g_assert_nonnull(strstr(output, "pause"));
	g_free(output);
}

static void loop_forever(kernel_t *kernel)
{
	LOG_INFORM("last line");
	exit_watch_start(kernel, 200 * USEC_PER_MSEC);
	for (;;)
		;
}

/* Guards against the same for an iteration of the event loop that doesn't end. */
static void test_stuck_loop(void)
{
	char *output;

	g_assert_cmpint(run_child(loop_forever, &output), ==, EXIT_WATCH_STATUS);
	g_assert_nonnull(strstr(output, "last line\n"));
	g_assert_nonnull(strstr(output, "shutdown did not end in time"));
	g_free(output);
}

static void shorten(kernel_t *kernel)
{
	exit_watch_start(kernel, 3600 * USEC_PER_SEC);
	exit_watch_start(kernel, 200 * USEC_PER_MSEC);
	exit_watch_start(kernel, 3600 * USEC_PER_SEC);
	for (;;)
		pause();
}

/* Guards against a process that has the whole grace once more after its event loop has ended. */
static void test_shortened(void)
{
	char *output;

	g_assert_cmpint(run_child(shorten, &output), ==, EXIT_WATCH_STATUS);
	g_free(output);
}

static void exit_after_some_work(kernel_t *kernel)
{
	exit_watch_start(kernel, 2 * USEC_PER_SEC);
	for (int i = 0; i < 20; i++)
		g_usleep(10 * 1000);
}

/*
 * Guards against a process that is ended as soon as it goes on after a pause, before it has read
 * the answers and requests that came meanwhile.
 */
static void test_paused_process(void)
{
	pid_t pid = start_child(exit_after_some_work, "/dev/null");

	g_usleep(50 * 1000);
	kill(pid, SIGSTOP);
	g_usleep(3 * G_USEC_PER_SEC);
	kill(pid, SIGCONT);
	g_assert_cmpint(wait_for_exit(pid), ==, EXIT_SUCCESS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/exit-watch/stuck-plugin", test_stuck_plugin);
	g_test_add_func("/exit-watch/stuck-loop", test_stuck_loop);
	g_test_add_func("/exit-watch/shortened", test_shortened);
	g_test_add_func("/exit-watch/paused-process", test_paused_process);
	return g_test_run();
}
