/*
 * The processes of a soak run: the stand-in for the platform (store, promote call and members) and
 * the proxies. Each proxy reaches the store through a link of the soak, and there is one link in
 * front of each member. The soak signals only processes that it started, by their ids.
 */
#pragma once

#include <stdbool.h>
#include <sys/types.h>

#include "ledger.h"
#include "link.h"
#include "loop.h"
#include "ports.h"

#define FLEET_MEMBERS 3 /* members of each service */
/* Time that a proxy has to finish after SIGTERM; written to its settings. */
#define FLEET_SHUTDOWN_GRACE (4 * USEC_PER_SEC)

typedef struct fleet_options {
	unsigned proxies;
	unsigned services;
	unsigned member_connections; /* connections that each member allows */
	unsigned member_slots;	     /* statements that each member runs at the same time */
	const char *dir;	     /* directory for settings and logs */
} fleet_options_t;

/* A period during which a fault affected a proxy or a member. It may end in the future. */
typedef struct span {
	usec_t from;
	usec_t to;
} span_t;

typedef enum { PROXY_DOWN, PROXY_RUNNING, PROXY_STOPPING } proxy_state_t;

typedef struct proxy {
	char name[16];
	pid_t pid;
	proxy_state_t state;
	bool killed; /* the soak sent SIGKILL, so that the exit is no finding */
	usec_t started_at;
	usec_t sigterm_at;    /* when SIGTERM was sent to this process, 0: not sent */
	usec_t restart_delay; /* from the exit of the process to its next start */
	usec_t restart_at;
	usec_t paused_until;  /* time of SIGCONT, 0: the process is not stopped */
	GArray *disturbances; /* span_t: paused, killed, or faults of its link to the store */
	usec_t exit_deadline; /* latest time of its exit after SIGTERM, 0: no SIGTERM */
	bool log_verbose;
	link_t *store_link;
	off_t log_start_size; /* size of its log file when the process started */
	long peak_kb;
	long peak_fds;
	size_t statements_sent; /* since the last clients_reset_counts() */
	size_t setups_sent;	/* those of them that set up a session */
	usec_t first_sent_at;	/* time of the first of them, 0: none was sent */
	size_t operations_done; /* successful operations since then */
} proxy_t;

typedef struct fleet {
	fleet_options_t options;
	loop_t *loop;
	ledger_t *ledger;
	/*
	 * the first for the stand-in and the links to members, each other one for a dozen proxies
	 */
	ports_t *port_blocks;
	unsigned port_block_count;
	pid_t platform;
	int command_fd; /* standard input of the stand-in, for commands */
	int record_fd;	/* standard output of the stand-in, its record of statements */
	loop_watch_t record_watch;
	usec_t platform_paused_until;
	proxy_t *proxies;
	link_t **member_links;
	/* span_t: faults of members, or of the links to them */
	GArray *member_faults[SERVICES_MAX];
	unsigned next_bounds;  /* number of the next check of bounds; the proxies take turns */
	usec_t next_bounds_at; /* when that check is due */
	unsigned config_version;
	unsigned timeout_ms; /* time-out of all routes */
	bool stopping;
} fleet_t;

/* Starts all processes. Returns a child of parent, or NULL if a process could not be started. */
fleet_t *fleet_create(void *parent, loop_t *loop, ledger_t *ledger, const fleet_options_t *options);

/* Ends all processes of the fleet. */
void fleet_stop(fleet_t *fleet);

/* Handles exits of processes, restarts them, and resumes those whose pause is over. */
void fleet_tick(fleet_t *fleet, usec_t now);

/*
 * Checks the memory, the descriptors and the log size of the proxies whose turn it is against their
 * bounds; each proxy has its turn once a second.
 */
void fleet_check_bounds(fleet_t *fleet, usec_t now);

/* Returns the port on which the proxy accepts callers. */
int fleet_caller_port(const fleet_t *fleet, unsigned proxy);

/* Returns the port on which the proxy answers health probes. */
int fleet_probe_port(const fleet_t *fleet, unsigned proxy);

/* Appends a span_t to spans. */
void fleet_add_span(GArray *spans, usec_t from, usec_t duration);

/* Returns true if any of the spans overlaps the time between from and to. */
bool fleet_spans_overlap(const GArray *spans, usec_t from, usec_t to);

/* Sends one command line to the stand-in. */
void fleet_send_command(fleet_t *fleet, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

/* Publishes a new configuration version in which all routes have this time-out. */
void fleet_send_config(fleet_t *fleet, unsigned timeout_ms);

/* Sends SIGSTOP now, and SIGCONT at the given time. */
void fleet_pause_proxy(fleet_t *fleet, unsigned proxy, usec_t until);

/* Send SIGKILL or SIGTERM. The proxy starts again restart_delay after its exit. */
void fleet_kill_proxy(fleet_t *fleet, unsigned proxy, usec_t restart_delay);
void fleet_stop_proxy(fleet_t *fleet, unsigned proxy, usec_t restart_delay);

/* Changes the settings of the proxy and sends SIGHUP. */
void fleet_reload(fleet_t *fleet, unsigned proxy);

/* Stops the stand-in by SIGSTOP, and with it the store and all members, until the given time. */
void fleet_pause_platform(fleet_t *fleet, usec_t until);

/* Returns the port of the stand-in that refuses every call to the store. */
int fleet_refusing_port(const fleet_t *fleet);

/* Returns the port of the store. */
int fleet_store_port(const fleet_t *fleet);
