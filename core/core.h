/*
 * The decisions of one proxy, as a deterministic state machine without I/O. It
 * takes events and emits actions: the time comes with each event, random numbers
 * come from a seed. A process can hold any number of cores.
 */
#pragma once

#include <jansson.h>

#include "event.h"
#include "session.h"

/* All intervals and time-outs of a core, in microseconds. */
typedef struct core_timings {
	usec_t heartbeat_interval;
	usec_t suspect_after;	      /* silence after which a peer becomes suspect */
	usec_t ack_timeout;	      /* for a peer to accept a forwarded request */
	usec_t poll_interval;	      /* between requests for reports by a group's home */
	usec_t standby_poll_interval; /* and by the other watchers of the group */
	usec_t order_timeout;	      /* for the answer to one order to a group member */
	usec_t detect_floor; /* lower bound of the time-out for detecting a failed primary */
	usec_t stagger;	     /* between the takeover attempts of successive ranks */
	usec_t seal_timeout; /* for one step of a takeover */
	usec_t confirm_poll_interval; /* between polls while answers wait for a majority */
	usec_t stall_after;	/* lower bound of the wait for a majority that counts as a stall */
	usec_t pause_threshold; /* a gap between events that shows a pause of the process */
	usec_t table_max_age;	/* validity of a confirmation that the table is current */
	usec_t tx_idle;		/* roll back a transaction without statements */
	usec_t conn_idle;	/* close an idle connection; the server closes it a second later */
	usec_t store_retry_interval; /* between attempts to commit an edit to the store */
	usec_t store_check_interval; /* between loads of the table by a store watcher */
	usec_t vm_poll_interval;     /* between queries of the platform's list of VMs */
	usec_t forget_after;	     /* remove a proxy that is unlisted and silent */
	usec_t edit_timeout;	     /* for an edit's result; then it is refused or "unknown" */
} core_timings_t;

typedef struct core_config {
	const char *name;
	const char *zone;
	const char *address; /* where peers reach this proxy */
	uint64_t incarnation;
	uint64_t seed;
	unsigned char token_key[SESSION_KEY_BYTES];
	/* Baseline for measurements: only the home detects failures, by one fixed time-out. */
	bool fixed_detection;
	usec_t fixed_timeout;
	size_t small_fleet; /* up to this many proxies, all exchange heartbeats with each other */
	/*
	 * Baseline for measurements: every proxy runs the requests that it receives, with an
	 * equal share of the connections.
	 */
	bool equal_shares;
	/* Baseline for measurements: the choice of a replica ignores availability zones. */
	bool ignore_zones;
	core_timings_t timings;
} core_config_t;

typedef struct core core_t;

core_timings_t core_timings_default(void);

#define CORE_SMALL_FLEET 12

/* Create a core as a talloc child of parent. It emits its first actions at the first event. */
core_t *core_create(void *parent, const core_config_t *config);

/* Add a proxy listed in the settings, so that a start during an outage finds peers. */
void core_add_configured_proxy(core_t *core, const vm_t *vm);

/* Handle one event. now must not be earlier than in the previous call. */
void core_handle(core_t *core, usec_t now, const event_t *event);

/* Remove and return the oldest action, NULL if none. The caller frees it with talloc_free(). */
action_t *core_pop_action(core_t *core);

/* When the next EVENT_TICK is due; USEC_NEVER if no timer is armed. */
usec_t core_next_tick(const core_t *core);

/* The state as JSON, for operators. */
json_t *core_dump(const core_t *core);

/* The operators' table held here: {"version": n, "entries": {KEY: {"version", "value"}}}. */
json_t *core_dump_table(const core_t *core);
