/*
 * A randomized soak: runs proxies as separate processes on loopback, injects faults from outside,
 * and checks the promises during the run against what callers and members see. The seed determines
 * the faults and the load.
 */
#include <getopt.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <glib/gstdio.h>
#include <talloc.h>

#include "check.h"
#include "client.h"
#include "finding.h"
#include "fleet.h"
#include "inject.h"
#include "plan.h"
#include "probe.h"

#define TICK (10 * USEC_PER_MSEC)
/* The soak itself was delayed if two ticks are further apart than this. */
#define LATE_TICK_INTERVAL (60 * USEC_PER_MSEC)
/* Time after a delayed tick during which time stamps of the soak are not used for findings. */
#define CLOCK_UNRELIABLE_TIME (300 * USEC_PER_MSEC)
/* Interval of the marks that the stand-in writes to its record; see ledger_t.complete_until. */
#define SYNC_INTERVAL (200 * USEC_PER_MSEC)
/* Time in each tick for checks of answers; the callers and their time-outs wait meanwhile. */
#define CHECK_TIME (2 * USEC_PER_MSEC)
/* At its first start a fleet has to find its primaries. */
#define START_TIMEOUT (25 * USEC_PER_SEC)
/* All callers must be served again this long after the last fault. */
#define RECOVERY_TIME (12 * USEC_PER_SEC)
/* Time after the recovery during which every failure is a finding. */
#define SERVED_TIME (3 * USEC_PER_SEC)
/* Time-out for the rest of the members' record at the end of the run. */
#define RECORD_TIMEOUT (5 * USEC_PER_SEC)

#define DIR_TEMPLATE "cyclamenspan-soak-XXXXXX"
/* A file system in memory. */
#define MEMORY_DIR "/dev/shm"

typedef enum { STAGE_START, STAGE_FAULTS, STAGE_RECOVER, STAGE_SERVED, STAGE_RECORD } stage_t;

typedef struct soak {
	loop_t loop;
	fleet_t *fleet;
	ledger_t *ledger;
	clients_t *clients;
	probes_t *probes;
	plan_t *plan;
	inject_t *inject;
	stage_t stage;
	usec_t stage_until;
	usec_t next_sync;
	usec_t last_tick;
	size_t late_ticks;
	usec_t longest_tick; /* longest time between two ticks */
	usec_t last_late_at; /* time of the last delayed tick */
	run_timer_t tick;
} soak_t;

typedef struct options {
	unsigned seed;
	unsigned seconds;
	unsigned proxies;
	unsigned services;
	unsigned sessions;
	bool keep;
	bool verbose;
	bool only_plan;
} options_t;

static volatile sig_atomic_t stop_asked;

static void on_stop_signal(int signo)
{
	(void)signo;
	stop_asked = 1;
}

/* --- stages --- */

static void enter_stage(soak_t *soak, stage_t stage, usec_t now)
{
	soak->stage = stage;
	switch (stage) {
	case STAGE_START:
		soak->stage_until = now + START_TIMEOUT;
		break;
	case STAGE_FAULTS:
		inject_start(soak->inject, now);
		break;
	case STAGE_RECOVER:
		inject_clear_pending(soak->inject);
		soak->stage_until = now + RECOVERY_TIME;
		break;
	case STAGE_SERVED:
		clients_reset_counts(soak->clients);
		soak->clients->failures_are_findings = true;
		soak->stage_until = now + SERVED_TIME;
		break;
	case STAGE_RECORD:
		soak->clients->failures_are_findings = false;
		clients_stop(soak->clients);
		fleet_send_command(soak->fleet, "sync end");
		soak->stage_until = now + RECORD_TIMEOUT;
		break;
	}
}

static void advance_start(soak_t *soak, usec_t now)
{
	if (clients_served_by_all(soak->clients)) {
		enter_stage(soak, STAGE_FAULTS, now);
	} else if (now >= soak->stage_until) {
		finding_add(PROMISE_RECOVERY, "start",
			    "a proxy has served no operation after %.0f s",
			    (double)START_TIMEOUT / USEC_PER_SEC);
		enter_stage(soak, STAGE_RECORD, now);
	}
}

static void advance_served(soak_t *soak, usec_t now)
{
	if (now < soak->stage_until)
		return;
	for (unsigned i = 0; i < soak->fleet->options.proxies; i++) {
		const proxy_t *proxy = &soak->fleet->proxies[i];

		/* With few callers a proxy may have received no statement in this time. */
		if (proxy->operations_done == 0 && proxy->statements_sent != 0)
			finding_add(
				PROMISE_RECOVERY, proxy->name,
				"has served no operation after the last fault; it was sent %zu "
				"statements, %zu of them to set up a session, the first %.0f ms ago",
				proxy->statements_sent, proxy->setups_sent,
				(double)(now - proxy->first_sent_at) / USEC_PER_MSEC);
	}
	enter_stage(soak, STAGE_RECORD, now);
}

static void advance_stage(soak_t *soak, usec_t now)
{
	switch (soak->stage) {
	case STAGE_START:
		advance_start(soak, now);
		break;
	case STAGE_FAULTS:
		if (inject_is_over(soak->inject, now))
			enter_stage(soak, STAGE_RECOVER, now);
		break;
	case STAGE_RECOVER:
		if (now >= soak->stage_until)
			enter_stage(soak, STAGE_SERVED, now);
		break;
	case STAGE_SERVED:
		advance_served(soak, now);
		break;
	case STAGE_RECORD:
		/*
		 * After a second no statement that was sent before the clients stopped is still
		 * running.
		 */
		if (now >= soak->stage_until - RECORD_TIMEOUT + USEC_PER_SEC &&
		    soak->ledger->complete_until + USEC_PER_SEC / 2 > now)
			loop_stop(&soak->loop);
		else if (now >= soak->stage_until)
			finding_add(PROMISE_PROCESS, "platform",
				    "the end of the record has not arrived in time"),
				loop_stop(&soak->loop);
		break;
	}
}

/* Returns the time by which the tick is late. */
static usec_t record_late_tick(soak_t *soak, usec_t now)
{
	usec_t interval = soak->last_tick != 0 ? now - soak->last_tick : 0;

	if (interval > LATE_TICK_INTERVAL) {
		soak->clients->clock_unreliable_until = now + CLOCK_UNRELIABLE_TIME;
		soak->late_ticks++;
		soak->longest_tick = MAX(soak->longest_tick, interval);
		soak->last_late_at = now;
	}
	soak->last_tick = now;
	return interval > TICK ? interval - TICK : 0;
}

static void on_tick(run_timer_t *timer, usec_t now)
{
	soak_t *soak = list_entry(timer, soak_t, tick);

	probes_tick(soak->probes, now, record_late_tick(soak, now));
	inject_tick(soak->inject, now);
	fleet_tick(soak->fleet, now);
	if (now >= soak->next_sync) {
		fleet_send_command(soak->fleet, "sync now");
		soak->next_sync = now + SYNC_INTERVAL;
	}
	fleet_check_bounds(soak->fleet, now);
	check_answers(soak->clients, clock_now(soak->loop.clock) + CHECK_TIME);
	advance_stage(soak, now);
	if (stop_asked)
		loop_stop(&soak->loop);
	timers_arm(&soak->loop.timers, timer, now + TICK, on_tick);
}

/* --- the run --- */

static void print_report(const soak_t *soak, const options_t *options, usec_t duration)
{
	const clients_t *clients = soak->clients;
	char names[256];
	long kb = 0;
	long fds = 0;

	for (unsigned i = 0; i < options->proxies; i++) {
		kb = MAX(kb, soak->fleet->proxies[i].peak_kb);
		fds = MAX(fds, soak->fleet->proxies[i].peak_fds);
	}
	finding_summary(names, sizeof(names));
	printf("seed %u, %u proxies, %.0f s: broken promises: %s; %u faults, %zu promotes, %zu sessions, "
	       "%zu statements (%zu done, %zu refused, %zu unsure), at most %ld KB and %ld descriptors, "
	       "soak late %zu times, by %.0f ms at most, last %.1f s before its end\n",
	       options->seed, options->proxies, (double)duration / USEC_PER_SEC, names,
	       soak->inject->next, soak->ledger->promote_count, clients->sessions_opened,
	       clients->statements_sent, clients->status_counts[STATUS_DONE],
	       clients->status_counts[STATUS_REFUSED], clients->status_counts[STATUS_UNKNOWN], kb,
	       fds, soak->late_ticks, (double)soak->longest_tick / USEC_PER_MSEC,
	       soak->late_ticks != 0
		       ? (double)(clock_now(soak->loop.clock) - soak->last_late_at) / USEC_PER_SEC
		       : 0.0);
}

/*
 * Creates the directory of the run. It is in memory if it can be, so that neither the soak nor a
 * proxy that logs waits for a busy disk, which can take seconds. Returns NULL on an error.
 */
static char *create_dir(void)
{
	char *path = g_build_filename(MEMORY_DIR, DIR_TEMPLATE, NULL);

	if (g_mkdtemp(path) != NULL)
		return path;
	g_free(path);
	return g_dir_make_tmp(DIR_TEMPLATE, NULL);
}

/* Copies a file to a directory on disk. */
static void keep_file(const char *path, const char *name, const char *kept_dir)
{
	char *copy = g_build_filename(kept_dir, name, NULL);
	char *text = NULL;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, NULL) ||
	    !g_file_set_contents_full(copy, text, (gssize)len, G_FILE_SET_CONTENTS_NONE, 0600,
				      NULL))
		fprintf(stderr, "soak: %s can't be kept in %s\n", path, kept_dir);
	g_free(text);
	g_free(copy);
}

/* Removes the directory. Its files are copied to kept_dir before, if this is not NULL. */
static void remove_dir(const char *path, const char *kept_dir)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		char *file = g_build_filename(path, name, NULL);

		if (kept_dir != NULL)
			keep_file(file, name, kept_dir);
		g_unlink(file);
		g_free(file);
	}
	if (dir != NULL)
		g_dir_close(dir);
	g_rmdir(path);
}

/* Ends the use of the directory of the run, and prints where the logs are if they are kept. */
static void finish_dir(const char *path, bool keep)
{
	char *kept_dir = keep ? g_dir_make_tmp(DIR_TEMPLATE, NULL) : NULL;

	if (keep && kept_dir == NULL) {
		printf("logs are in %s\n", path);
		return;
	}
	remove_dir(path, kept_dir);
	if (keep)
		printf("logs are in %s: cyclamenctl explain ID %s/p*.log\n", kept_dir, kept_dir);
	g_free(kept_dir);
}

static int start_soak(soak_t *soak, void *parent, const options_t *options, const char *dir)
{
	const fleet_options_t fleet_options = {
		.proxies = options->proxies,
		.services = options->services,
		.member_connections = 32,
		.member_slots = 4,
		.dir = dir,
	};
	const clients_options_t client_options = {
		.seed = options->seed,
		.sessions = options->sessions,
		.mean_idle_time = 150 * USEC_PER_MSEC,
	};
	usec_t now;

	if (loop_init(&soak->loop, clock_system()) < 0)
		return -1;
	soak->ledger = ledger_create(parent);
	soak->fleet = fleet_create(parent, &soak->loop, soak->ledger, &fleet_options);
	if (soak->fleet == NULL)
		return -1;
	soak->clients = clients_create(parent, soak->fleet, soak->ledger, &client_options);
	soak->probes = probes_create(parent, soak->fleet);
	soak->inject = inject_create(parent, soak->fleet, soak->plan, options->verbose);
	now = clock_now(soak->loop.clock);
	enter_stage(soak, STAGE_START, now);
	timers_arm(&soak->loop.timers, &soak->tick, now, on_tick);
	return 0;
}

static int run_soak(const options_t *options, void *parent, plan_t *plan)
{
	static soak_t soak;
	char *dir = create_dir();
	usec_t started_at = clock_now(clock_system());

	soak.plan = plan;
	if (dir == NULL || start_soak(&soak, parent, options, dir) < 0) {
		fprintf(stderr, "soak: the processes can't be started\n");
		return 2;
	}
	loop_run(&soak.loop);
	probes_stop(soak.probes);
	fleet_stop(soak.fleet);
	/* The record of an interrupted run is incomplete. */
	if (!stop_asked)
		check_whole_run(soak.clients);
	print_report(&soak, options, clock_now(soak.loop.clock) - started_at);
	finish_dir(dir, finding_count() != 0 || options->keep);
	g_free(dir);
	talloc_free(soak.fleet);
	/* One more iteration of the event loop frees the closed sockets. */
	h2o_evloop_run(soak.loop.h2o, 0);
	if (stop_asked)
		return 2;
	return finding_count() != 0 ? 1 : 0;
}

/* --- the command line --- */

static const char usage[] =
	"usage: soak --seed N [--seconds S] [--proxies P] [--services N] [--sessions N]\n"
	"            [--keep-logs] [--verbose] [--plan]\n"
	"Faults last for S seconds, then everything must be served again.\n";

static bool read_options(options_t *options, int argc, char **argv)
{
	static const struct option longopts[] = {
		{"seed", required_argument, NULL, 's'},
		{"seconds", required_argument, NULL, 't'},
		{"proxies", required_argument, NULL, 'p'},
		{"services", required_argument, NULL, 'n'},
		{"sessions", required_argument, NULL, 'c'},
		{"keep-logs", no_argument, NULL, 'k'},
		{"verbose", no_argument, NULL, 'v'},
		{"plan", no_argument, NULL, 'l'},
		{NULL, 0, NULL, 0},
	};
	unsigned *const numbers[] = {
		['s'] = &options->seed,	    ['t'] = &options->seconds,	['p'] = &options->proxies,
		['n'] = &options->services, ['c'] = &options->sessions,
	};
	bool has_seed = false;
	int opt;

	while ((opt = getopt_long(argc, argv, "", longopts, NULL)) != -1) {
		has_seed = has_seed || opt == 's';
		if (opt == 'k')
			options->keep = true;
		else if (opt == 'v')
			options->verbose = true;
		else if (opt == 'l')
			options->only_plan = true;
		else if (opt == '?')
			return false;
		else
			*numbers[opt] = (unsigned)strtoul(optarg, NULL, 10);
	}
	if (options->sessions == 0)
		options->sessions = 8 * options->proxies;
	return has_seed && optind == argc && options->proxies > 0 && options->services > 0 &&
	       options->services <= SERVICES_MAX && options->seconds > 0;
}

int main(int argc, char **argv)
{
	options_t options = {.seconds = 25, .proxies = 6, .services = 2};
	void *parent = talloc_new(NULL);
	plan_t *plan;
	int rc = 0;

	if (!read_options(&options, argc, argv)) {
		fputs(usage, stderr);
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGINT, on_stop_signal);
	signal(SIGTERM, on_stop_signal);
	finding_start(options.seed);
	plan = plan_create(parent, options.seed, options.seconds * USEC_PER_SEC, options.proxies);
	if (options.only_plan)
		plan_print(plan);
	else
		rc = run_soak(&options, parent, plan);
	talloc_free(parent);
	return rc;
}
