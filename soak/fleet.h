/*
 * The processes of a soak: the platform's stand-in and the proxies, each proxy
 * with a link of ours on its way to the store, and a link in front of each
 * member. Only processes that it started are signalled, by their ids.
 */
#pragma once

#include <stdbool.h>
#include <sys/types.h>

#include "ledger.h"
#include "link.h"
#include "loop.h"
#include "ports.h"

#define FLEET_MEMBERS 3 /* of a service */
/* As the settings of proxies say. */
#define FLEET_SHUTDOWN_GRACE (4 * USEC_PER_SEC)

typedef struct fleet_options {
	unsigned proxies;
	unsigned services;
	unsigned member_connections; /* that a member allows */
	unsigned member_slots;	     /* of a member */
	const char *dir;	     /* settings and logs */
} fleet_options_t;

/* When something was harmed; the last span may reach into the future. */
typedef struct span {
	usec_t from;
	usec_t to;
} span_t;

typedef enum { PROXY_DOWN, PROXY_RUNNING, PROXY_STOPPING } proxy_state_t;

typedef struct proxy {
	char name[16];
	pid_t pid;
	proxy_state_t state;
	bool killed; /* by us, so that its end is no finding */
	usec_t started_at;
	usec_t sigterm_at;    /* of the SIGTERM under way, 0: none */
	usec_t restart_delay; /* from its end to its next start */
	usec_t restart_at;
	usec_t paused_until;  /* 0: it is not paused */
	GArray *disturbances; /* span_t: paused, killed, its way to the store harmed */
	usec_t exit_deadline; /* it must have ended by then, 0: it need not */
	bool log_verbose;
	link_t *store_link;
	off_t log_start_size; /* size of its log at its start */
	long peak_kb;
	long peak_fds;
	size_t statements_sent; /* statements since the clients' last mark */
	size_t operations_done; /* operations, the same */
} proxy_t;

typedef struct fleet {
	fleet_options_t options;
	loop_t *loop;
	ledger_t *ledger;
	ports_t *port_blocks; /* the platform's and the members' links, then those of a dozen
			    proxies each */
	unsigned port_block_count;
	pid_t platform;
	int command_fd; /* commands to the stand-in */
	int record_fd;	/* its output */
	loop_watch_t record_watch;
	usec_t platform_paused_until;
	proxy_t *proxies;
	link_t **member_links;
	GArray *member_faults[SERVICES_MAX]; /* span_t: of members, or of the ways to them */
	unsigned config_version;
	unsigned timeout_ms; /* of routes */
	bool stopping;
} fleet_t;

/* A child of parent with all processes started, or NULL. */
fleet_t *fleet_create(void *parent, loop_t *loop, ledger_t *ledger, const fleet_options_t *options);

/* End all of its processes. */
void fleet_stop(fleet_t *fleet);

/* Look after processes: ends, restarts, pauses that are over. */
void fleet_tick(fleet_t *fleet, usec_t now);

/* Check what /proc says of each proxy. */
void fleet_check_bounds(fleet_t *fleet, usec_t now);

/* Port on which the proxy takes callers. */
int fleet_caller_port(const fleet_t *fleet, unsigned proxy);

/* Add a span_t to spans. */
void fleet_add_span(GArray *spans, usec_t from, usec_t duration);

/* True if any of the spans touches the time from the first to the second. */
bool fleet_spans_overlap(const GArray *spans, usec_t from, usec_t to);

/* One command to the stand-in. */
void fleet_send_command(fleet_t *fleet, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

/* A new configuration with this timeout of routes. */
void fleet_send_config(fleet_t *fleet, unsigned timeout_ms);

/* SIGSTOP, and SIGCONT at the time given. */
void fleet_pause_proxy(fleet_t *fleet, unsigned proxy, usec_t until);

/* SIGKILL or SIGTERM; it is started again so long after its end. */
void fleet_kill_proxy(fleet_t *fleet, unsigned proxy, usec_t restart_delay);
void fleet_stop_proxy(fleet_t *fleet, unsigned proxy, usec_t restart_delay);

/* SIGHUP with settings that have changed. */
void fleet_reload(fleet_t *fleet, unsigned proxy);

/* The stand-in stands still, with the store and all members. */
void fleet_pause_platform(fleet_t *fleet, usec_t until);

/* Port of the door that turns away calls to the store. */
int fleet_refusing_port(const fleet_t *fleet);

/* Port of the store itself. */
int fleet_store_port(const fleet_t *fleet);
