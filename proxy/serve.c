#include "serve.h"

#include <errno.h>
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>

#include <curl/curl.h>
#include <sodium.h>
#include <talloc.h>

#include "exit_watch.h"
#include "mode.h"

#define LOG_MODULE "main"
#include "log.h"

#define EXIT_USAGE 2
/* Interval at which the flags set by signal handlers are checked. */
#define SIGNAL_CHECK_INTERVAL (50 * USEC_PER_MSEC)
/* Interval at which the settings file is checked for a change that no signal has announced. */
#define CONFIG_CHECK_INTERVAL (1 * USEC_PER_SEC)
/* Environment variable with the path of the settings file, used without --config. */
#define CONFIG_ENV "CYCLAMENSPAN_SETTINGS"
/* Time for the last answers to be written to their sockets before the connections are closed. */
#define FLUSH_DELAY (100 * USEC_PER_MSEC)
/*
 * Time from the end of the event loop to the exit: more than the links to other proxies linger.
 * With the grace it is also the longest shutdown.
 */
#define EXIT_TIME (700 * USEC_PER_MSEC)
/* Interval between attempts to close idle connections, in which the loop serves late requests. */
#define CLOSE_IDLE_INTERVAL (10 * USEC_PER_MSEC)

typedef struct options {
	const char *config;
	const run_mode_t *mode;
	bool check_only;
	bool list_settings;
} options_t;

typedef struct process {
	kernel_t kernel;
	const run_mode_t *mode;
	signals_t *signals;
	const char *config_path;
	struct timespec config_mtime;
	off_t config_size;
	usec_t config_checked_at;
	run_timer_t signal_timer;
	run_timer_t grace_timer;
	run_timer_t flush_timer;
	bool draining;
	bool grace_expired;
	usec_t grace;
} process_t;

/* The only instance; on_drained() has no argument to find it by. */
static process_t process_state;

static void print_help(FILE *out)
{
	fprintf(out,
		"Usage: cyclamenspan [--pooler] [--config FILE] [OPTION]...\n"
		"Database proxy with session consistency.\n\n"
		"  -p, --pooler          serve the platform's protocol (default: HTTP, PostgreSQL)\n"
		"  -c, --config FILE     settings file (TOML); default: $" CONFIG_ENV "\n"
		"  -t, --check-config    check the settings and exit\n"
		"  -s, --help-settings   list every setting and exit\n"
		"  -h, --help            print this help and exit\n"
		"  -v, --version         print the version and exit\n\n"
		"Signals: TERM and INT shut down gracefully, HUP reloads the settings,\n"
		"USR1 writes the state as JSON to standard error.\n");
}

/* Returns 0 to continue, or 1 if the process has to exit with *status. */
static int parse_options(int argc, char **argv, options_t *options, int *status)
{
	static const struct option longopts[] = {
		{"config", required_argument, NULL, 'c'},
		{"check-config", no_argument, NULL, 't'},
		{"help-settings", no_argument, NULL, 's'},
		{"help", no_argument, NULL, 'h'},
		{"version", no_argument, NULL, 'v'},
		{"pooler", no_argument, NULL, 'p'},
		{NULL, 0, NULL, 0},
	};
	int opt;

	*status = EXIT_SUCCESS;
	while ((opt = getopt_long(argc, argv, "c:ptshv", longopts, NULL)) != -1) {
		switch (opt) {
		case 'c':
			options->config = optarg;
			break;
		case 't':
			options->check_only = true;
			break;
		case 'p':
			options->mode = &mode_pooler;
			break;
		case 's':
			options->list_settings = true;
			break;
		case 'h':
			print_help(stdout);
			return 1;
		case 'v':
			printf("cyclamenspan %s\n", CYCLAMENSPAN_VERSION);
			return 1;
		default:
			*status = EXIT_USAGE;
			return 1;
		}
	}
	if (options->list_settings) {
		settings_describe(options->mode->settings, *options->mode->settings_len, stdout);
		return 1;
	}
	if (options->config != NULL && optind == argc)
		return 0;
	print_help(stderr);
	*status = EXIT_USAGE;
	return 1;
}

static void print_error(const err_t *err)
{
	char line[512];

	err_format(err, line, sizeof(line));
	fprintf(stderr, "cyclamenspan: %s\n", line);
}

static void on_flush_timer(run_timer_t *timer, usec_t now)
{
	process_t *process = list_entry(timer, process_t, flush_timer);

	if (kernel_close_idle(&process->kernel))
		loop_stop(&process->kernel.loop);
	else
		timers_arm(&process->kernel.loop.timers, timer, now + CLOSE_IDLE_INTERVAL,
			   on_flush_timer);
}

static void on_drained(void)
{
	process_t *process = &process_state;
	loop_t *loop = &process->kernel.loop;

	LOG_INFORM("all requests are finished");
	timers_arm(&loop->timers, &process->flush_timer, clock_now(loop->clock) + FLUSH_DELAY,
		   on_flush_timer);
}

static void on_grace_expired(run_timer_t *timer, usec_t now)
{
	process_t *process = list_entry(timer, process_t, grace_timer);

	(void)now;
	LOG_WARNING("shutdown grace of %llu ms expired with requests in progress",
		    (unsigned long long)(process->grace / USEC_PER_MSEC));
	process->grace_expired = true;
	loop_stop(&process->kernel.loop);
}

/* Logs an error, since the process goes on without the watch. */
static void watch_exit(const process_t *process, usec_t within)
{
	int rc = exit_watch_start(&process->kernel, within);

	if (rc < 0)
		LOG_ERROR("the time of the shutdown can't be limited: %s", strerror(-rc));
}

static void start_drain(process_t *process)
{
	loop_t *loop = &process->kernel.loop;

	if (process->draining)
		return;
	process->draining = true;
	timers_arm(&loop->timers, &process->grace_timer, clock_now(loop->clock) + process->grace,
		   on_grace_expired);
	LOG_INFORM("shutting down, grace %llu ms",
		   (unsigned long long)(process->grace / USEC_PER_MSEC));
	watch_exit(process, process->grace + EXIT_TIME);
	kernel_drain(&process->kernel);
}

static void dump_state(process_t *process)
{
	json_t *state = kernel_dump(&process->kernel);

	json_dumpf(state, stderr, JSON_INDENT(2));
	fputc('\n', stderr);
	json_decref(state);
}

/* Read the settings again and apply the reloadable ones; trigger is for the log. */
static void reload_settings(process_t *process, const char *trigger)
{
	err_t err = {0};
	char new_values[256];
	int rc = process->mode->reload(process->config_path, &process->grace, new_values,
				       sizeof(new_values), &err);

	if (rc < 0) {
		char line[512];

		err_format(&err, line, sizeof(line));
		LOG_ERROR("reload failed, the old settings stay in effect: %s", line);
		return;
	}
	LOG_INFORM("reloaded: %s; the other settings need a restart (%s)", new_values, trigger);
}

/*
 * Record the modification time and the size of the settings file. Returns true if they differ from
 * those recorded before.
 */
static bool update_config_stamp(process_t *process)
{
	struct stat status;
	bool changed;

	if (stat(process->config_path, &status) < 0)
		return false;
	changed = status.st_mtim.tv_sec != process->config_mtime.tv_sec ||
		  status.st_mtim.tv_nsec != process->config_mtime.tv_nsec ||
		  status.st_size != process->config_size;
	process->config_mtime = status.st_mtim;
	process->config_size = status.st_size;
	return changed;
}

static void reload_changed_config(process_t *process, usec_t now)
{
	if (now < process->config_checked_at + CONFIG_CHECK_INTERVAL)
		return;
	process->config_checked_at = now;
	if (update_config_stamp(process))
		reload_settings(process, "the file has changed");
}

static void on_signal_check(run_timer_t *timer, usec_t now)
{
	process_t *process = list_entry(timer, process_t, signal_timer);

	timers_arm(&process->kernel.loop.timers, timer, now + SIGNAL_CHECK_INTERVAL,
		   on_signal_check);
	if (process->signals->stop)
		start_drain(process);
	if (process->signals->dump) {
		process->signals->dump = 0;
		dump_state(process);
	}
	if (process->signals->reload) {
		process->signals->reload = 0;
		update_config_stamp(process);
		reload_settings(process, "requested by SIGHUP");
	}
	reload_changed_config(process, now);
}

static int run_process(process_t *process, const void *settings, err_t *err)
{
	const run_mode_t *mode = process->mode;
	int rc = kernel_init(&process->kernel, clock_system(), mode->family, settings,
			     mode->create_context(&process->kernel, settings, on_drained));

	if (rc < 0)
		return err_set(err, rc, "start", "", "can't create the event loop");
	rc = kernel_start(&process->kernel, err);
	if (rc == 0) {
		LOG_INFORM("started version=%s name=%s", CYCLAMENSPAN_VERSION,
			   mode->node_name(settings));
		on_signal_check(&process->signal_timer, clock_now(clock_system()));
		mode->on_started();
		loop_run(&process->kernel.loop);
		LOG_INFORM("stopped");
	}
	watch_exit(process, EXIT_TIME);
	kernel_destroy(&process->kernel);
	return rc;
}

int cyclamenspan_serve(int argc, char **argv, signals_t *signals)
{
	options_t options = {.config = getenv(CONFIG_ENV), .mode = &mode_requests};
	process_t *process = &process_state;
	err_t err = {0};
	void *settings;
	int status;

	if (parse_options(argc, argv, &options, &status) != 0)
		return status;
	process->signals = signals;
	process->mode = options.mode;
	process->config_path = options.config;
	update_config_stamp(process);
	settings = options.mode->load(options.config, &process->grace, &err);
	if (settings == NULL) {
		print_error(&err);
		return EXIT_USAGE;
	}
	if (options.check_only) {
		printf("%s: the settings are valid\n", options.config);
		talloc_free(settings);
		return EXIT_SUCCESS;
	}
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK)
		return EXIT_FAILURE;
	status = run_process(process, settings, &err) < 0 || process->grace_expired ? EXIT_FAILURE
										    : EXIT_SUCCESS;
	if (err.code < 0)
		print_error(&err);
	talloc_free(settings);
	curl_global_cleanup();
	return status;
}
