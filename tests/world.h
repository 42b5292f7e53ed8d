/*
 * A simulated environment for cores, in simulated time: the members of one group
 * with a replicated log, the store, and the messages between a few cores. It runs
 * complete sessions with faults and checks the invariants, which must hold whatever
 * happens.
 */
#pragma once

#include <glib.h>

#include "core.h"
#include "table.h"

#define WORLD_MAX_PROXIES 9
#define WORLD_MAX_MEMBERS 5
#define WORLD_STORE	  (WORLD_MAX_PROXIES + WORLD_MAX_MEMBERS)
#define WORLD_NODES	  (WORLD_STORE + 1)

typedef struct world_config {
	int proxies;
	int members;
	int zones;
	usec_t zone_latency; /* one way between zones; a tenth of it within a zone */
	usec_t replication_lag;
	usec_t service_time;
	usec_t connect_time;
	int slots;
	int max_conns;
	int row_conns; /* limit of each row */
	uint64_t seed;
	bool fixed_detection;
	int replica_share;
	usec_t max_age; /* of the row "status" */
	bool quiet;	/* record no timeline */
	bool equal_shares;
	int small_fleet; /* 0: the default */
	bool ignore_zones;
	int row_queue;
	usec_t row_timeout;
} world_config_t;

/* The last answer to a request, with the data of the request that the checks need. */
typedef struct result {
	char *name;
	char *key;
	char *written_value; /* value of a write outside a transaction, else NULL */
	bool in_tx;
	bool answered;
	outcome_t outcome;
	refusal_t refusal;
	usec_t requested_at;
	usec_t answered_at;
	usec_t retry_after;
	usec_t age;
	char *value;
	char *member;
	char *token;
	char *tx;
	bool repeated;
} result_t;

typedef struct world world_t;

world_config_t world_config_default(void);
world_t *world_create(const world_config_t *config);
void world_destroy(world_t *world);

usec_t world_now(const world_t *world);
void world_run(world_t *world, usec_t until);

/* Faults. The names of nodes are "p0".., "m0".., "store". */
int world_node(const char *name);	     /* -1 if there is none of that name */
void world_kill(world_t *world, int node);   /* end the process: its connections are reset */
void world_vanish(world_t *world, int node); /* stop the VM: no answers and no resets */
void world_freeze(world_t *world, int node, usec_t duration);
void world_cut(world_t *world, int a, int b, bool cut);
/* Messages of proxy a to b arrive only after this time, as behind a lost packet. */
void world_delay_messages(world_t *world, int a, int b, usec_t duration);

/* Proxy a has no connection to b for this time: its requests are reported as unsent. */
void world_disconnect(world_t *world, int a, int b, usec_t duration);
/* The answers to the next count commits to the store are lost. */
void world_lose_answers(world_t *world, int count);
void world_set_lag(world_t *world, usec_t lag);
void world_leave(world_t *world, int node);
void world_drain(world_t *world, int node);
/* Remove all cuts, unfreeze all nodes, and restart members and the store. */
void world_heal(world_t *world);

/* Requests; name identifies the request in the timeline. */
typedef struct world_request {
	const char *name;
	int proxy;
	/* "assign": write, "assignment": linearizable read, "status": read */
	const char *class_name;
	verb_t verb;
	const char *key;
	const char *value;
	const char *request_id;
	const char *token;
	const char *tx;
	bool repeatable;
	bool resend;
	bool token_lost;
	usec_t deadline;
	const char *floor; /* the value read must not be older than this one; NULL: no check */
} world_request_t;

void world_request(world_t *world, const world_request_t *request);
const result_t *world_result(const world_t *world, const char *name);

/* An operator's edit through a proxy; world_edit_outcome() returns its result by name. */
void world_edit(world_t *world, int proxy, const char *name, const char *key, const char *value,
		uint64_t base_version);
const char *world_edit_outcome(const world_t *world, const char *name);
uint64_t world_table_version(const world_t *world, int proxy);

/* All actions but report orders and heartbeats, with their times. */
const char *world_timeline(const world_t *world);

/* The value of key in the current primary's log, NULL if none. */
const char *world_value(const world_t *world, const char *key);
int world_primary(const world_t *world); /* member number, -1 if none */
int world_count_request_id(const world_t *world, const char *request_id);

/* The violations of the invariants, a line each; empty if there is none. */
const char *world_violations(world_t *world);

/* Counters since the start. */
typedef struct world_counts {
	uint64_t reads_replica;
	uint64_t reads_primary;
	int peak_conns;
	uint64_t store_calls;
	uint64_t messages;
	uint64_t orders;
} world_counts_t;

/* Times of the steps of the last takeover; 0: not yet. */
typedef struct world_marks {
	usec_t seal_sent;
	usec_t promote_sent;
	usec_t promoted;
} world_marks_t;

void world_clear_marks(world_t *world);
world_marks_t world_marks(const world_t *world);

world_counts_t world_counts(const world_t *world);
json_t *world_dump(const world_t *world, int proxy);
