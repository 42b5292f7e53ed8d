/* The state of a core, shared by its modules and nobody else. */
#pragma once

#include <uthash.h>

#include "core.h"
#include "fleet.h"
#include "list.h"
#include "table.h"
#include "timer.h"

typedef struct group group_t;
struct placement_ops;
typedef struct request request_t;

/* A pooled connection. */
typedef enum { CONN_CONNECTING, CONN_IDLE, CONN_BUSY, CONN_IN_TX } conn_state_t;

typedef struct pool {
	list_t node; /* in member_t.pools */
	char *row;
	struct member *member;
	list_t conns;
	size_t total;
	size_t connecting;
	usec_t connect_after;	/* backoff after a refused or failed connect */
	uint64_t dispatch_pass; /* of exec_dispatch, in which wanted was counted */
	size_t wanted;		/* requests that found no connection in that pass */
} pool_t;

typedef struct conn {
	uint64_t id;
	UT_hash_handle hh;
	list_t node; /* in pool_t.conns */
	pool_t *pool;
	conn_state_t state;
	int64_t slot;
	usec_t idle_since;
	request_t *request; /* whose run it is busy with, NULL if that was given up on */
	struct tx *tx;
} conn_t;

/* An open transaction, pinned to its connection. */
typedef struct tx {
	uint64_t seq;
	UT_hash_handle hh;
	char *handle;
	conn_t *conn;
	group_t *group;
	request_t *current;
	usec_t last_used;
} tx_t;

typedef struct member {
	group_t *group;
	member_spec_t spec;
	bool leaving;
	bool has_report;
	report_t report;
	usec_t reported_as_of; /* when the last answered report was asked for */
	uint64_t report_order;
	usec_t report_sent;
	usec_t next_report;
	int misses;	 /* reports in a row without an answer */
	int unreachable; /* of these, those at which nobody listened */
	usec_t srtt;
	usec_t rttvar;
	usec_t data_as_of; /* its data is at least as new as the primary's was then, 0 unknown */
	usec_t follow_sent;
	uint64_t follow_order;
	uint64_t followed_term; /* the term in which it has obeyed an order to follow */
	int64_t running;
	list_t pools;
} member_t;

/* Where the primary's log stood at a time; true once a majority confirmed the primary. */
typedef struct sample {
	usec_t at;
	uint64_t lsn;
	bool confirmed;
} sample_t;

/* Samples lie at least this far apart, so that the ring spans the lag of slow replicas. */
#define SAMPLE_SPACING (50 * USEC_PER_MSEC)
#define GROUP_SAMPLES  256

typedef enum { TAKEOVER_NONE, TAKEOVER_SEALING, TAKEOVER_PROMOTING } takeover_state_t;

typedef struct takeover {
	takeover_state_t state;
	uint64_t term;
	usec_t started;
	usec_t sealed_at;
	member_t *candidate;
	uint64_t seal_orders[GROUP_MAX_MEMBERS];
	bool sealed[GROUP_MAX_MEMBERS];
	report_t reports[GROUP_MAX_MEMBERS];
	uint64_t promote_order;
	run_timer_t timer;
	usec_t not_before; /* backoff */
	usec_t stall_backoff;
	const char *reason;
	uint64_t count;
} takeover_t;

struct group {
	char *name;
	UT_hash_handle hh;
	core_t *core;
	ranks_t ranks;
	int rank;	   /* ours among the watchers, -1 if none */
	member_t *members; /* NULL unless watched */
	size_t member_count;
	bool members_changing; /* runs are held back until the list of members is replaced */
	uint64_t term;	       /* highest sealed that was reported */
	member_t *primary;     /* promoted for that term, as far as we know */
	usec_t watched_since;
	usec_t primary_lost_at; /* since when there is no usable one, 0 if there is */
	sample_t *samples;	/* GROUP_SAMPLES of them; NULL unless watched */
	size_t sample_next;
	list_t queue;		/* request_t, by weight and deadline */
	list_t confirms;	/* request_t waiting for a majority */
	usec_t confirm_time;	/* smoothed time that confirmation takes */
	usec_t confirm_peak;	/* the longest of late */
	usec_t service_time[2]; /* smoothed time that a run takes, by row_kind_t */
	double retry_tokens;
	takeover_t takeover;
	run_timer_t timer;
	bool dispatching;
	uint64_t dispatch_pass;
};

typedef enum {
	REQUEST_FORWARDED, /* another proxy is running it */
	REQUEST_QUEUED,
	REQUEST_RUNNING,
	REQUEST_CONFIRMING, /* run; waits for a majority of the group */
} request_state_t;

#define REQUEST_MAX_TRIES 4

struct request {
	uint64_t id;
	UT_hash_handle hh;
	core_t *core;
	request_state_t state;
	/* Who wants the answer: a caller of ours, or a peer that forwarded it. */
	uint64_t caller;
	char *peer;
	uint64_t peer_request;
	query_t *query;
	session_t *session;
	char *row;
	char *group_name;
	usec_t arrived;
	usec_t deadline;
	run_timer_t timer;

	/* while forwarded */
	char *home;
	char *tried_homes[REQUEST_MAX_TRIES];
	size_t tried_count;
	/* For a caller's: the home must accept by then. For a peer's: we tell it that we have. */
	run_timer_t ack_timer;

	/* while run here */
	group_t *group;
	list_t node; /* in group_t.queue or group_t.confirms */
	row_kind_t kind;
	usec_t max_age;
	int64_t weight;
	bool prefers_replica;
	bool linearizable;
	bool maybe_ran;
	int attempts;
	conn_t *conn;
	tx_t *tx;
	member_t *run_member;
	usec_t run_started;
	run_result_t *result;
	position_t position; /* a majority must hold this */
	usec_t ran_at;
	usec_t data_as_of;
};

/* Progress of one operator's edit. */
typedef struct edit {
	list_t node;
	uint64_t id; /* of the operator's call */
	char *edit_id;
	char *author;
	table_entry_t *entries;
	size_t entry_count;
	uint64_t base_version;
	bool commit_sent;
	int64_t sent_head; /* what the last swap was built on */
	uint64_t sent_version;
	run_timer_t timer;
	run_timer_t retry_timer;
	core_t *core;
} edit_t;

struct core {
	core_config_t config;
	const struct placement_ops *placement;
	char *name;
	usec_t now;
	usec_t last_event_at;
	uint64_t next_id;
	uint64_t rng;
	list_t actions;
	timer_set_t timers;
	fleet_t *fleet;
	uint64_t fleet_epoch; /* that the groups' ranks follow */
	bool refresh_pending; /* a group waits for its runs to end before it changes */
	table_t *table;
	int64_t head_revision;	/* of the store, with our table's version */
	ranks_t store_watchers; /* proxies that watch the store */
	bool watching_store;
	uint64_t load_id; /* load in progress, 0 none */
	usec_t load_sent;
	usec_t table_current_at; /* our table was known to be the store's then */
	usec_t last_pull;
	group_t *groups;
	request_t *requests;
	conn_t *conns;
	tx_t *txs;
	list_t edits;
	bool draining;
	bool drained;
	usec_t resumed_at; /* end of the last pause */
	run_timer_t heartbeat_timer;
	run_timer_t store_timer;
	run_timer_t vm_timer;
	uint64_t refusals[REFUSAL_COUNT];
	uint64_t answered;
	uint64_t pauses;
};

/* A fresh action at the end of the queue; the caller fills it in. */
action_t *core_add_action(core_t *core, action_kind_t kind);

/* A line for the log: what was decided, with which step and peer. */
void core_log(core_t *core, bool warning, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

uint64_t core_next_id(core_t *core);

/* A number below limit (which is not 0). */
uint64_t core_random(core_t *core, uint64_t limit);
