/*
 * The decisions of one proxy, as a state machine without I/O: events in, actions
 * out. Any number of cores can live in one process; time comes with the event,
 * random numbers from the seed, every effect is an action.
 */
#pragma once

#include <jansson.h>

#include "event.h"
#include "session.h"

/* Every interval of the decisions, microseconds. */
typedef struct core_timings {
	usec_t heartbeat_interval;
	usec_t suspect_after;	      /* silence after which a peer is passed over */
	usec_t ack_timeout;	      /* wait for a peer to accept a forwarded request */
	usec_t poll_interval;	      /* between reports, by the proxy that serves the group */
	usec_t standby_poll_interval; /* and by those that stand by */
	usec_t order_timeout;	      /* of one order to a group member */
	usec_t detect_floor;	      /* silence of a primary, beyond a poll, that is a failure */
	usec_t stagger;		      /* between the ranks that may take over */
	usec_t seal_timeout;	      /* of one step of a takeover */
	usec_t confirm_poll_interval; /* between reports while answers wait for a majority */
	usec_t stall_after;	      /* unconfirmed work after which a primary counts as cut off */
	usec_t pause_threshold;	      /* a gap in our own time that counts as a pause */
	usec_t table_max_age;	      /* longest time without word that the table is current */
	usec_t tx_idle;		      /* an open transaction without statements is rolled back */
	usec_t conn_idle; /* an unused pooled connection is closed; the server does so a second
			     later */
	usec_t store_retry_interval; /* between attempts on the store */
	usec_t store_check_interval; /* between loads by a proxy that watches */
	usec_t vm_poll_interval;     /* between looks at the platform's list */
	usec_t forget_after;	     /* an unlisted silent proxy is dropped */
	usec_t edit_timeout;	     /* an edit whose fate isn't known by then is "unknown" */
} core_timings_t;

typedef struct core_config {
	const char *name;
	const char *zone;
	const char *address; /* where peers reach this proxy */
	uint64_t incarnation;
	uint64_t seed;
	unsigned char token_key[SESSION_KEY_BYTES];
	/* Baseline for measurements: one watcher, one fixed time-out, no other evidence. */
	bool fixed_detection;
	usec_t fixed_timeout;
	size_t small_fleet; /* up to this size everybody is everybody's neighbour */
	/* Baseline: every proxy runs what it receives, with an equal share of the connections. */
	bool equal_shares;
	/* Baseline: the choice of a replica takes no account of availability zones. */
	bool ignore_zones;
	core_timings_t timings;
} core_config_t;

typedef struct core core_t;

core_timings_t core_timings_default(void);

#define CORE_SMALL_FLEET 12

/* A core as a child of parent. It acts first at the event that follows. */
core_t *core_create(void *parent, const core_config_t *config);

/* Add a proxy known from the settings, so that a start during an outage finds peers. */
void core_add_seed(core_t *core, const vm_t *vm);

/* Take one event at now, which never goes back. */
void core_handle(core_t *core, usec_t now, const event_t *event);

/* The next action, or NULL. The caller frees it with talloc_free(). */
action_t *core_pop_action(core_t *core);

/* When the next EVENT_TICK is due. */
usec_t core_next_tick(const core_t *core);

/* The state, for operators. */
json_t *core_dump(const core_t *core);

/* The operators' table in force here: {"version": n, "entries": {KEY: {"version", "value"}}}. */
json_t *core_dump_table(const core_t *core);
