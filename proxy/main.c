/* cyclamenspan: the proxy's process. */
#include <errno.h>
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <sodium.h>
#include <talloc.h>

#include "adapter.h"

#define LOG_MODULE "main"
#include "log.h"

#define EXIT_USAGE 2
/* How often the flags that signals set are looked at. */
#define SIGNAL_CHECK (50 * USEC_PER_MSEC)
/* Between the last answer and the end, so that it leaves the socket. */
#define FLUSH_TIME (100 * USEC_PER_MSEC)

typedef struct options {
	const char *config;
	bool check_only;
} options_t;

typedef struct process {
	kernel_t kernel;
	context_t context;
	const char *config_path;
	run_timer_t signal_timer;
	run_timer_t grace_timer;
	run_timer_t flush_timer;
	bool draining;
	bool cut_short;
	int64_t grace_ms;
} process_t;

static volatile sig_atomic_t stop_asked;
static volatile sig_atomic_t dump_asked;
static volatile sig_atomic_t reload_asked;

static void on_signal(int signo)
{
	if (signo == SIGUSR1)
		dump_asked = 1;
	else if (signo == SIGHUP)
		reload_asked = 1;
	else
		stop_asked = 1;
}

static void print_help(FILE *out)
{
	fprintf(out, "Usage: cyclamenspan --config FILE [OPTION]...\n"
		     "Database proxy with session consistency.\n\n"
		     "  -c, --config FILE     settings, TOML\n"
		     "  -t, --check-config    check the settings and exit\n"
		     "  -s, --help-settings   list every setting and exit\n"
		     "  -h, --help            this help\n"
		     "  -v, --version         the version\n\n"
		     "Signals: TERM and INT shut down gracefully, HUP reloads the settings,\n"
		     "USR1 writes the state as JSON to standard error.\n");
}

/* Returns 0 to go on, or 1 when the process is to end with *status. */
static int parse_options(int argc, char **argv, options_t *options, int *status)
{
	static const struct option longopts[] = {
		{"config", required_argument, NULL, 'c'},  {"check-config", no_argument, NULL, 't'},
		{"help-settings", no_argument, NULL, 's'}, {"help", no_argument, NULL, 'h'},
		{"version", no_argument, NULL, 'v'},	   {NULL, 0, NULL, 0},
	};
	int opt;

	*status = EXIT_SUCCESS;
	while ((opt = getopt_long(argc, argv, "c:tshv", longopts, NULL)) != -1) {
		switch (opt) {
		case 'c':
			options->config = optarg;
			break;
		case 't':
			options->check_only = true;
			break;
		case 's':
			settings_describe(conf_settings, conf_settings_len, stdout);
			return 1;
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
	if (options->config != NULL && optind == argc)
		return 0;
	print_help(stderr);
	*status = EXIT_USAGE;
	return 1;
}

static void report(const err_t *err)
{
	char line[512];

	err_format(err, line, sizeof(line));
	fprintf(stderr, "cyclamenspan: %s\n", line);
}

static int apply_log(const conf_t *conf, err_t *err)
{
	log_level_t level;

	if (log_level_parse(conf->log_level, &level) < 0)
		return err_set(err, -EINVAL, "read settings", "log.level",
			       "\"%s\": expected error, warning, info or debug", conf->log_level);
	log_init(level, conf->log_json);
	return 0;
}

static void on_flushed(run_timer_t *timer, usec_t now)
{
	process_t *process = list_entry(timer, process_t, flush_timer);

	(void)now;
	loop_stop(&process->kernel.loop);
}

static void on_drained(context_t *context)
{
	process_t *process = list_entry(context, process_t, context);
	loop_t *loop = &process->kernel.loop;

	LOG_INFORM("all requests are finished");
	timers_arm(&loop->timers, &process->flush_timer, clock_now(loop->clock) + FLUSH_TIME,
		   on_flushed);
}

static void on_grace_over(run_timer_t *timer, usec_t now)
{
	process_t *process = list_entry(timer, process_t, grace_timer);

	(void)now;
	LOG_WARNING("shutdown cut short after %lld ms: requests were still in progress",
		    (long long)process->grace_ms);
	process->cut_short = true;
	loop_stop(&process->kernel.loop);
}

static void start_drain(process_t *process)
{
	loop_t *loop = &process->kernel.loop;

	if (process->draining)
		return;
	process->draining = true;
	timers_arm(&loop->timers, &process->grace_timer,
		   clock_now(loop->clock) + (usec_t)process->grace_ms * USEC_PER_MSEC,
		   on_grace_over);
	kernel_drain(&process->kernel);
}

static void dump_state(process_t *process)
{
	json_t *state = kernel_dump(&process->kernel);

	json_dumpf(state, stderr, JSON_INDENT(2));
	fputc('\n', stderr);
	json_decref(state);
}

/* Only what is marked reloadable takes effect; the log says so of each. */
static void reload(process_t *process)
{
	err_t err = {0};
	conf_t *fresh = conf_load(NULL, process->config_path, &err);

	if (fresh == NULL || apply_log(fresh, &err) < 0) {
		char line[512];

		err_format(&err, line, sizeof(line));
		LOG_ERROR("reload refused, the old settings stay: %s", line);
	} else {
		process->grace_ms = fresh->shutdown_grace_ms;
		LOG_INFORM("reloaded: log.level=%s log.json=%d shutdown.grace_ms=%lld; the other "
			   "settings need a restart",
			   fresh->log_level, fresh->log_json, (long long)fresh->shutdown_grace_ms);
	}
	talloc_free(fresh);
}

static void on_signal_check(run_timer_t *timer, usec_t now)
{
	process_t *process = list_entry(timer, process_t, signal_timer);

	timers_arm(&process->kernel.loop.timers, timer, now + SIGNAL_CHECK, on_signal_check);
	if (stop_asked)
		start_drain(process);
	if (dump_asked) {
		dump_asked = 0;
		dump_state(process);
	}
	if (reload_asked) {
		reload_asked = 0;
		reload(process);
	}
}

static void catch_signals(void)
{
	struct sigaction action = {.sa_handler = on_signal, .sa_flags = SA_RESTART};

	sigaction(SIGTERM, &action, NULL);
	sigaction(SIGINT, &action, NULL);
	sigaction(SIGUSR1, &action, NULL);
	sigaction(SIGHUP, &action, NULL);
	signal(SIGPIPE, SIG_IGN);
}

static int run(process_t *process, const conf_t *conf, err_t *err)
{
	event_t first = {.kind = EVENT_TICK};
	int rc;

	process->context.conf = conf;
	process->context.kernel = &process->kernel;
	process->context.on_drained = on_drained;
	process->grace_ms = conf->shutdown_grace_ms;
	rc = kernel_init(&process->kernel, clock_system(), conf, &process->context);
	if (rc < 0)
		return err_set(err, rc, "start", "", "no event loop");
	rc = kernel_start(&process->kernel, err);
	if (rc == 0) {
		LOG_INFORM("started version=%s name=%s zone=%s callers=%s", CYCLAMENSPAN_VERSION,
			   conf->node_name, conf->node_zone, conf->callers_listen);
		on_signal_check(&process->signal_timer, clock_now(clock_system()));
		adapter_submit(process->context.adapter, &first);
		loop_run(&process->kernel.loop);
	}
	kernel_destroy(&process->kernel);
	return rc;
}

int main(int argc, char **argv)
{
	options_t options = {0};
	process_t process = {0};
	err_t err = {0};
	conf_t *conf;
	int status;

	if (parse_options(argc, argv, &options, &status) != 0)
		return status;
	conf = conf_load(NULL, options.config, &err);
	if (conf == NULL || apply_log(conf, &err) < 0) {
		report(&err);
		talloc_free(conf);
		return EXIT_USAGE;
	}
	if (options.check_only) {
		printf("%s: the settings are sound\n", options.config);
		talloc_free(conf);
		return EXIT_SUCCESS;
	}
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK)
		return EXIT_FAILURE;
	catch_signals();
	process.config_path = options.config;
	status = run(&process, conf, &err) < 0 || process.cut_short ? EXIT_FAILURE : EXIT_SUCCESS;
	if (err.code < 0)
		report(&err);
	talloc_free(conf);
	curl_global_cleanup();
	return status;
}
