/*
 * The state of a core (core.h), private to the modules of this folder.
 *
 * The operators' table (table.h) lists database groups and rows. A group is a
 * set of members, backend servers with one replicated log, of which one is the
 * primary. A row is a service and a class of requests, with its group and limits.
 */
#pragma once

#include <uthash.h>

#include "core.h"
#include "fleet.h"
#include "list.h"
#include "rtt.h"
#include "table.h"
#include "timer.h"

typedef struct group group_t;
struct placement_ops;
typedef struct request request_t;

typedef enum { CONN_CONNECTING, CONN_IDLE, CONN_BUSY, CONN_IN_TX } conn_state_t;

/* The connections to one member for one row. */
typedef struct pool {
	list_t node; /* in member_t.pools */
	char *row;
	struct member *member;
	list_t conns;
	size_t conn_count;
	size_t connecting;
	usec_t connect_after;	/* backoff after a refused or failed connect */
	uint64_t dispatch_pass; /* the group's pass in which wanted was counted */
	size_t wanted;		/* requests that found no idle connection in that pass */
} pool_t;

typedef struct conn {
	uint64_t id;
	UT_hash_handle hh;
	list_t node; /* in pool_t.conns */
	pool_t *pool;
	conn_state_t state;
	int64_t slot;
	usec_t idle_since;
	request_t *request; /* the running request; NULL if idle or if the request was abandoned */
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
	usec_t reported_as_of; /* when the latest report received was requested */
	uint64_t report_order;
	usec_t report_sent;
	usec_t next_report;
	int misses;	   /* consecutive requests for a report without an answer */
	int unreachable;   /* how many of the misses were refused connections */
	rtt_t rtt;	   /* of requests for a report */
	usec_t data_as_of; /* its data is at least as new as the primary's was then; 0: unknown */
	usec_t follow_sent;
	uint64_t follow_order;
	uint64_t followed_term; /* the term in which the member last obeyed ORDER_FOLLOW */
	int64_t running;
	list_t pools;
} member_t;

/* Position of the primary's log, see samples.h. */
typedef struct sample {
	usec_t at; /* when the report with this position was requested */
	uint64_t lsn;
	bool confirmed; /* a majority obeyed the primary's term at that time or later */
} sample_t;

/* The least time between samples, so that the ring spans the lag of slow replicas. */
#define SAMPLE_SPACING (50 * USEC_PER_MSEC)
#define GROUP_SAMPLES  256

typedef enum { TAKEOVER_NONE, TAKEOVER_SEALING, TAKEOVER_PROMOTING } takeover_state_t;

/* A replacement of the group's primary by this proxy, see takeover.h. */
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
	usec_t not_before; /* no new takeover earlier: backoff after a failed one */
	usec_t stall_backoff;
	const char *reason;
	uint64_t count;
} takeover_t;

/*
 * A group of the operators' table. The first FLEET_RANKS proxies by rank watch
 * it: they poll its members and may take over. The first of them, its home, runs
 * the group's requests.
 */
struct group {
	char *name;
	UT_hash_handle hh;
	core_t *core;
	ranks_t ranks;
	int rank;	   /* of this proxy among the watchers, -1 if it is none */
	member_t *members; /* NULL unless watched */
	size_t member_count;
	bool members_changing; /* no run is started until the list of members is replaced */
	uint64_t term;	       /* the highest sealed term that a member has reported */
	member_t *primary; /* the member that reports to be primary of that term, NULL if none */
	usec_t watched_since;
	usec_t primary_lost_at; /* time at which the primary was lost, 0 if there is one */
	sample_t *samples;	/* a ring of GROUP_SAMPLES; NULL unless watched */
	size_t sample_next;
	list_t queue;		/* request_t, by weight and deadline */
	list_t confirming;	/* request_t that wait for a majority, see confirm.h */
	usec_t confirm_time;	/* moving average of the time that a confirmation takes */
	usec_t confirm_peak;	/* slowly decaying maximum of that time */
	usec_t service_time[2]; /* moving average of the time that a run takes, by row_kind_t */
	double retry_tokens;
	takeover_t takeover;
	run_timer_t timer;
	bool dispatching;	/* exec_dispatch() is on the call stack */
	uint64_t dispatch_pass; /* number of calls of exec_dispatch() */
};

typedef enum {
	REQUEST_FORWARDED, /* sent to another proxy, or not routed yet */
	REQUEST_QUEUED,
	REQUEST_RUNNING,
	REQUEST_CONFIRMING, /* has run and waits for a majority of the group */
} request_state_t;

#define REQUEST_MAX_TRIES 4

struct request {
	uint64_t id;
	UT_hash_handle hh;
	core_t *core;
	request_state_t state;
	/* Gets the answer: a caller of this proxy, or the peer that forwarded the request. */
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

	/* Valid in state REQUEST_FORWARDED. */
	char *home;
	char *tried_homes[REQUEST_MAX_TRIES];
	size_t tried_count;
	/*
	 * For a caller's request: the home must accept it by then, or it is routed again. For
	 * a peer's request: when this proxy sends MESSAGE_ACCEPTED.
	 */
	run_timer_t ack_timer;

	/* Valid in the other states, at the proxy that runs the request. */
	group_t *group;
	list_t node; /* in group_t.queue or group_t.confirming */
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
	position_t position; /* the log position that a majority must hold before the answer */
	usec_t ran_at;	     /* when the run ended */
	usec_t data_as_of;   /* the data read is at least as new as the primary's was then */
};

/* An operator's edit of the table that has no final answer yet. */
typedef struct edit {
	list_t node;
	uint64_t id; /* of the operator's call */
	char *edit_id;
	char *author;
	table_entry_t *entries;
	size_t entry_count;
	uint64_t base_version;
	bool commit_sent;
	int64_t expected_head; /* the head revision that the last compare-and-swap expected */
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
	uint64_t fleet_epoch; /* for which the groups' ranks were computed */
	bool refresh_pending; /* a group changes when its runs have ended: check again soon */
	table_t *table;
	int64_t head_revision;	/* of the store's table, as of the version held here */
	ranks_t store_watchers; /* the proxies that watch the store, see tablesync.h */
	bool watching_store;
	uint64_t load_id; /* of the load in flight, 0 if none */
	usec_t load_sent;
	usec_t table_current_at; /* the table held here was the store's at this time, 0 unknown */
	usec_t last_pull;
	group_t *groups;
	request_t *requests;
	conn_t *conns;
	tx_t *txs;
	list_t edits;
	bool draining;
	bool drained;
	usec_t resumed_at; /* end of the last pause of this process, or its start */
	run_timer_t heartbeat_timer;
	run_timer_t store_timer;
	run_timer_t vm_timer;
	uint64_t refusals[REFUSAL_COUNT];
	uint64_t answered;
	uint64_t pauses;
};

/* Append a zeroed action to the queue; the caller fills it in. */
action_t *core_add_action(core_t *core, action_kind_t kind);

/* Emit a log line (ACTION_LOG). */
void core_log(core_t *core, bool warning, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

uint64_t core_next_id(core_t *core);

/* A pseudo-random number below limit, which must not be 0. */
uint64_t core_random(core_t *core, uint64_t limit);
