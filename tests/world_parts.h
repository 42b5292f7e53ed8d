/* Shared by the modules of the simulated environment (world.h); private to them. */
#pragma once

#include "world.h"

/* Latency to the store, one way. */
#define STORE_LATENCY (2 * USEC_PER_MSEC)

typedef struct log_entry {
	uint64_t term;
	char *key;
	char *value;
	char *request_id;
} log_entry_t;

typedef struct fake_member {
	uint64_t sealed;
	bool primary;
	int upstream; /* number of the member it replicates from, -1 none */
	GPtrArray *log;
	GHashTable *by_key; /* indexes of the log: the last entry of a key */
	GHashTable *by_id;
	guint indexed;
	int conns;	      /* open or being opened, with a claimed slot or not */
	GHashTable *claims;   /* "row/slot" */
	GArray *slot_free_at; /* of usec_t: when each slot is free again */
} fake_member_t;

typedef struct fake_proxy {
	core_t *core;
	bool started;
	usec_t next_tick; /* time of the next scheduled tick, USEC_NEVER if none */
} fake_proxy_t;

/* A pooled connection, with the state of both ends. */
typedef struct fake_conn {
	int proxy;
	uint64_t id;
	int member;
	char *claim;
	bool counted;	    /* included in the member's conns */
	bool session_ended; /* by the member, which ignores what still arrives */
	bool open;
	bool running;
	bool commit_sent;
	run_kind_t kind;
	query_t *query;
	report_t before;
	GPtrArray *tx; /* log_entry_t of an open transaction */
	char *key;     /* in world_t.conns */
	int refs;
} fake_conn_t;

typedef struct store_item {
	char *value;
	uint64_t version;
} store_item_t;

struct world {
	world_config_t config;
	usec_t now;
	uint64_t seq;
	uint64_t rng;
	GSequence *events;
	fake_proxy_t proxies[WORLD_MAX_PROXIES];
	fake_member_t members[WORLD_MAX_MEMBERS];
	bool dead[WORLD_NODES];	    /* the process has ended */
	bool vanished[WORLD_NODES]; /* the VM has stopped */
	bool leaving[WORLD_NODES];
	usec_t frozen_until[WORLD_NODES];
	bool cut[WORLD_NODES][WORLD_NODES];
	usec_t delayed_until[WORLD_NODES]
			    [WORLD_NODES]; /* messages sent before this time arrive then */
	usec_t disconnected_until[WORLD_NODES][WORLD_NODES];
	GHashTable *conns; /* "proxy:id" */
	GHashTable *results;
	GHashTable *caller_names; /* "proxy:caller" to name */
	GHashTable *edit_outcomes;
	GHashTable *edit_names;
	GHashTable *acknowledged; /* key to the newest acknowledged value */
	GHashTable *floors; /* request name to the value that its answer must not be older than */
	uint64_t next_caller;
	uint64_t store_version;
	GTree *store;
	GPtrArray *store_edits;
	int answers_to_lose;
	GString *timeline;
	GString *violations;
	world_counts_t counts;
	world_marks_t marks;
	bool ending;
};

typedef void (*callback_t)(world_t *world, void *data);

typedef struct scheduled {
	usec_t at;
	uint64_t seq;
	int node; /* the node concerned, which delays the event while frozen; -1: none */
	callback_t callback;
	void *data;
} scheduled_t;

/* --- time, nodes and the links between them --- */

void world_schedule(world_t *world, usec_t at, int node, callback_t run, void *data);
bool world_is_down(const world_t *world, int node);
uint64_t world_random(world_t *world, uint64_t limit);
int world_member_node(int member);
int world_zone(const world_t *world, int node);
usec_t world_latency(world_t *world, int a, int b);
bool world_is_cut(const world_t *world, int a, int b);
void world_trace(world_t *world, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

/* --- members of the group, and orders to them --- */

void log_entry_free(void *ptr);
log_entry_t *log_entry_new(uint64_t term, const char *key, const char *value, const char *id);
report_t fake_member_report(const fake_member_t *member);
const char *log_find_value(const GPtrArray *log, const char *key);
const char *fake_member_value(fake_member_t *member, const char *key);
const log_entry_t *log_find_request(const GPtrArray *log, const char *id);
const log_entry_t *fake_member_request(fake_member_t *member, const char *id);
void fake_member_append(world_t *world, int m, log_entry_t *entry);
void fake_member_on_catch_up(world_t *world, void *data);
int fake_member_at(const char *address);
void world_start_order(world_t *world, int proxy, action_t *action);

/* --- pooled connections, both ends --- */

char *world_conn_key(int proxy, uint64_t id);
void fake_conn_unref(fake_conn_t *conn);
void world_start_run(world_t *world, int proxy, action_t *action);
void fake_conn_drop(world_t *world, fake_conn_t *conn);
void fake_conn_send_reset(world_t *world, fake_conn_t *conn);
void fake_conn_end_session(world_t *world, fake_conn_t *conn);
void world_start_connect(world_t *world, int proxy, action_t *action);
void world_close_conn(world_t *world, int proxy, action_t *action);

/* --- the platform's store and its list of VMs --- */

gint store_compare_keys(gconstpointer a, gconstpointer b, gpointer data);
void store_item_free(gpointer ptr);
void store_put(world_t *world, const char *key, const char *value);
void world_start_store_call(world_t *world, int proxy, action_t *action);
void world_on_list_vms(world_t *world, void *data);

/* --- proxies: events and actions of their cores --- */

void result_free(gpointer ptr);
void world_add_violation(world_t *world, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void world_on_tick(world_t *world, void *data);
void world_deliver(world_t *world, int proxy, const event_t *event);

/* --- faults --- */

void world_for_each_conn(world_t *world, int node, void (*call)(world_t *, fake_conn_t *));
void fake_conn_abandon(world_t *world, fake_conn_t *conn);
