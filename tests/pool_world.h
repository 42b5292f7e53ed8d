/*
 * A small world around poolers in paused time: proxies, one database service,
 * the store, callers, and the links between them, any of which can be cut.
 * What goes over a link is the real wire's text.
 */
#pragma once

#include "env.h"
#include "fake_db.h"
#include "fake_kv.h"
#include "follow.h"
#include "pooler.h"

#define WORLD_NODES_MAX 160
/* A fleet whose proxies ask the holder of the duty themselves to be added. */
#define WORLD_LARGE_FLEET 64
#define WORLD_DATABASE	  "jobs"
#define WORLD_SERVICE	  "core"
#define WORLD_REPLY_MAX	  512
/* A database that comes with a version; without a key. */
#define WORLD_ADDED_DATABASE "added"
/* Of every route, for an operation. */
#define WORLD_OBJECTIVE (200 * USEC_PER_MSEC)

struct pool_world;

typedef struct world_node {
	env_t env; /* first member: the pooler hands it back */
	struct pool_world *world;
	char name[32];
	char zone[16];
	char address[48];
	pooler_t *pooler; /* NULL: not running */
	timer_set_t timers;
	fake_kv_client_t kv;
	uint64_t incarnation;
	bool frozen;
	bool cut_from_members;
	bool cut_from_peers;
	int partition;			       /* proxies of another one are out of reach */
	usec_t link_ready_at[WORLD_NODES_MAX]; /* when its link to that proxy is made; 0: not begun
						*/
	list_t links;			       /* to members */
	list_t callers;			       /* world_caller_t */
	bool drained;
	size_t refresh_requests; /* of the directory that the pooler asked for */
	follow_t config;	 /* the directory, in a world that follows the store */
	follow_t members;
	int64_t members_version; /* of the list of members that it knows; 0: none */
	usec_t peer_delay;	 /* of messages to it, beyond the usual */
	size_t messages_sent;	 /* sent to other proxies */
	size_t bytes_sent;	 /* of these */
} world_node_t;

typedef struct world_caller {
	list_t node;
	world_node_t *proxy;
	struct caller *caller; /* NULL: the session ended */
	char id[40];	       /* of the last statement */
	char reply[WORLD_REPLY_MAX];
	size_t reply_count;
	code_t refusal_code;	/* of the session itself */
	char customer[16];	/* whose key it began with; "": none */
	bool has_unread_input;	/* it has sent something that the proxy has not looked at */
	bool has_unsent_output; /* it does not read its answers */
} world_caller_t;

/* What the operators' configuration says of a customer. */
#define WORLD_KEY_MAX 24
typedef struct world_customer {
	char name[16];
	char key[WORLD_KEY_MAX]; /* "": it has none */
	double rate;
	double burst;
} world_customer_t;

#define WORLD_CUSTOMERS_MAX 16

typedef struct promote_call {
	usec_t called_at;
	char member[48];
	char leader[32];
	uint64_t fencing_token;
} promote_call_t;

typedef struct pool_world {
	paused_clock_t clock;
	timer_set_t timers; /* of everything but the proxies */
	fake_kv_t *kv;
	fake_db_t *db;
	world_node_t nodes[WORLD_NODES_MAX];
	size_t node_count;
	usec_t published_at;
	bool directory_is_frozen; /* the list of members is not renewed by itself */
	size_t next_id;
	const char *
		*sender_of_id; /* talloc array: the customer that sent the statement of each id */
	reads_t reads;	       /* of the route */
	usec_t max_age;
	int64_t config_version;
	int64_t members_version;  /* of world_write_members() */
	int64_t added_in_version; /* the version from which on there is WORLD_ADDED_DATABASE; 0:
				     none */
	size_t config_bytes;	  /* of a configuration in the store; 0: proxies are handed it */
	bool links_need_setup; /* a message to a proxy that none was sent to before is not sent */
	bool baseline;	       /* of proxies that start: no order by lateness, no help of others */
	bool sync_replicas;    /* as the configuration says */
	/* With any, routes but "open" ask for a key. */
	world_customer_t customers[WORLD_CUSTOMERS_MAX];
	size_t customer_count;
	usec_t revoke_bound; /* of proxies that start */
	limit_slack_t slack;
	promote_call_t *promotes; /* talloc array */
	size_t promote_count;
	unsigned lose_promote_answers; /* of the next calls: done, not answered */
} pool_world_t;

/* Until when a key that was taken may be served, in worlds with customers. */
#define WORLD_REVOKE_BOUND (5 * USEC_PER_SEC)

/* config NULL: three members, 2 slots, 16 connections, 4 ms of work, 60 ms behind. */
pool_world_t *world_create(size_t nodes, const fake_db_config_t *config);
void world_destroy(pool_world_t *world);

/* The same with customers, each "NAME" with the key "key-NAME". */
pool_world_t *world_create_with_customers(size_t nodes, const fake_db_config_t *config,
					  const world_customer_t *customers, size_t count);

/*
 * The same of proxies that read the configuration from the store and tell each other, instead of
 * being handed it. bytes: of the configuration.
 */
pool_world_t *world_create_with_store_config(size_t nodes, const world_customer_t *customers,
					     size_t count, size_t bytes);

/* The operators write a new version to the store. */
void world_write_config(pool_world_t *world);

/* A new version of the list of members, of so many bytes. */
void world_write_members(pool_world_t *world, size_t bytes);

/* The version in force at the proxy; 0: none. */
int64_t world_config_version_at(const pool_world_t *world, size_t node);

/* Let time pass. */
void world_run(pool_world_t *world, usec_t by);

/* Configuration and members as they are now, to every proxy that reaches the store. */
void world_publish_directory(pool_world_t *world);

/* Until a primary is in use everywhere. */
void world_wait_until_ready(pool_world_t *world);

/* --- callers --- */

world_caller_t *world_open_session(pool_world_t *world, size_t node);

/* The same with one of the databases "strict", "bounded" and "session", by their kind of reads. */
world_caller_t *world_open_session_on(pool_world_t *world, size_t node, const char *database);

/* The same by a customer's key. */
world_caller_t *world_open_session_with_key(pool_world_t *world, size_t node, const char *database,
					    const char *key);

/* Send a statement; the id is made up. */
void world_send(world_caller_t *caller, const char *text);

/* Send it and wait for the reply, a second at most; returns the reply's first line. */
const char *world_send_and_wait(world_caller_t *caller, const char *text);
void world_leave(world_caller_t *caller);

/* The reply's last line begins so. */
bool world_reply_has_state(const world_caller_t *caller, const char *ready);

/* --- trouble --- */

/* The process ends at once; its connections with it. */
void world_kill(pool_world_t *world, size_t node);

/* Its VM loses power: the members keep its connections for 3 s. */
void world_power_off(pool_world_t *world, size_t node);
void world_start_proxy(pool_world_t *world, size_t node);
void world_freeze(pool_world_t *world, size_t node);
void world_thaw(pool_world_t *world, size_t node);

/* The member's process is gone; connections to it break. */
void world_crash_member(pool_world_t *world, size_t member);

/* Packets between this proxy and all members are lost from now on. */
void world_set_members_unreachable(pool_world_t *world, size_t node, bool cut);

/* --- looking --- */

/* True if some connection to a member is in a transaction. */
bool world_has_transaction(const pool_world_t *world);

/* Fails the test if a member has run a statement for another customer than its sender's. */
void world_check_customers(const pool_world_t *world);

/* How many proxies may use the primary of that id now. */
size_t world_count_permitted(pool_world_t *world, const char *member);
