/*
 * A simulated world around poolers, whose time only advances in world_run(): proxies, one database
 * service, the store, callers, and the links between them, each of which can be cut. Messages are
 * encoded as on the real wire.
 */
#pragma once

#include "env.h"
#include "fake_db.h"
#include "fake_kv.h"
#include "follow.h"
#include "pooler.h"

#define WORLD_NODES_MAX 160
/* Size of a fleet that is large enough to have hubs. */
#define WORLD_LARGE_FLEET 64
#define WORLD_DATABASE	  "jobs"
#define WORLD_SERVICE	  "core"
#define WORLD_REPLY_MAX	  512
/* A database that added_in_version of the configuration adds; its route needs no key. */
#define WORLD_ADDED_DATABASE "added"
/* See world_add_second_service(). */
#define WORLD_SECOND_SERVICE "ledger"
/* A database with session reads whose route world_move_route() sets. */
#define WORLD_MOVED_DATABASE "moved"
/* Response time objective of every route. */
#define WORLD_OBJECTIVE (200 * USEC_PER_MSEC)

struct pool_world;

typedef struct world_node {
	env_t env; /* first member, since callbacks cast their env_t to world_node_t */
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
	int partition; /* proxies of different partitions can't reach each other */
	usec_t link_ready_at[WORLD_NODES_MAX]; /* opening of its link to that proxy; 0: none */
	list_t links;			       /* connections to members */
	list_t callers;			       /* world_caller_t */
	bool drained;
	size_t refresh_requests; /* of the directory, by the pooler */
	follow_t config;	 /* where proxies read the directory from the store */
	follow_t members;
	int64_t members_version; /* of the list of members that it has received; 0: none */
	int64_t capacity;	 /* processor share in percent of a core; 0: not reported */
	usec_t peer_delay;	 /* added to LINK_DELAY for messages to this proxy */
	size_t messages_sent;	 /* to other proxies */
	size_t bytes_sent;	 /* length of these messages */
} world_node_t;

typedef struct world_caller {
	list_t node;
	world_node_t *proxy;
	struct caller *caller; /* NULL: the session was refused or has ended */
	char id[40];	       /* id of the last statement */
	char reply[WORLD_REPLY_MAX];
	size_t reply_count;
	code_t refusal_code;	/* why the session was refused */
	char customer[16];	/* customer whose key opened the session; "": none */
	bool has_unread_input;	/* it has sent input that the proxy has not read */
	bool has_unsent_output; /* it does not read its answers */
} world_caller_t;

/* A customer in the operators' configuration. */
#define WORLD_KEY_MAX 24
typedef struct world_customer {
	char name[16];
	char key[WORLD_KEY_MAX]; /* "": no key */
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
	manual_clock_t clock;
	timer_set_t timers; /* of all parts but the proxies, which have their own */
	fake_kv_t *kv;
	fake_db_t *db;
	fake_db_t *second_db;	 /* of WORLD_SECOND_SERVICE; NULL: there is none */
	const char *moved_route; /* service of WORLD_MOVED_DATABASE; NULL: it has no route */
	world_node_t nodes[WORLD_NODES_MAX];
	size_t node_count;
	usec_t published_at;
	bool directory_is_frozen; /* the list of members is not sent to the proxies regularly */
	size_t next_id;
	const char **sender_of_id; /* talloc array: sender of the statement with each id */
	reads_t reads;		   /* of WORLD_DATABASE's route */
	usec_t max_age;
	int64_t bounded_priority; /* of the route of "bounded" */
	usec_t bounded_objective; /* of that route; 0: as of all */
	int64_t config_version;
	int64_t members_version;  /* that world_write_members() wrote last */
	int64_t added_in_version; /* first version with WORLD_ADDED_DATABASE; 0: none */
	size_t config_bytes;	  /* in the store; 0: the test passes it to the proxies */
	bool links_need_setup;	  /* the first message to a proxy is not sent, but opens the link */
	usec_t link_setup_time;	  /* that this takes; 0: one round trip */
	bool baseline;		/* proxies that start serve in order of arrival and without homes */
	bool drops_unreachable; /* a member ends a session 3 s after its end was lost in a cut */
	bool sync_replicas;	/* what the configuration sets for the service */
	/* If there are any, all routes but "open" and WORLD_ADDED_DATABASE need a key. */
	world_customer_t customers[WORLD_CUSTOMERS_MAX];
	size_t customer_count;
	usec_t revoke_bound; /* applies to proxies that start later */
	limit_slack_t slack;
	promote_call_t *promotes; /* talloc array */
	size_t promote_count;
	unsigned lose_promote_answers; /* next calls to promote that get no answer */
} pool_world_t;

/* Time within which a revoked key must be refused, in worlds with customers. */
#define WORLD_REVOKE_BOUND (5 * USEC_PER_SEC)

/*
 * Starts a world with this number of proxies. config NULL: three members, 2 slots, 16 connections,
 * statements of 4 ms, replicas that lag by 60 ms.
 */
pool_world_t *world_create(size_t nodes, const fake_db_config_t *config);
void world_destroy(pool_world_t *world);

/* Sets whether homes that start later, in any world, lend each other room; at first they don't. */
void world_set_lending(bool lend);

/* As world_create(), with customers; the key of customer NAME is "key-NAME". */
pool_world_t *world_create_with_customers(size_t nodes, const fake_db_config_t *config,
					  const world_customer_t *customers, size_t count);

/*
 * As world_create(), or with count != 0 as world_create_with_customers(), but the proxies read the
 * configuration from the store and send it to each other. bytes: size of the configuration.
 */
pool_world_t *world_create_with_store_config(size_t nodes, const world_customer_t *customers,
					     size_t count, size_t bytes);

/* Writes a new version of the configuration to the store, as operators do. */
void world_write_config(pool_world_t *world);

/* Writes a new version of the list of members, of this size, to the store. */
void world_write_members(pool_world_t *world, size_t bytes);

/* Returns the version of the configuration in force at the proxy; 0: none. */
int64_t world_config_version_at(const pool_world_t *world, size_t node);

/* Advances the time and runs all timers that become due. */
void world_run(pool_world_t *world, usec_t by);

/* Adds a second database service like the first one, whose primary the proxies do not know yet. */
void world_add_second_service(pool_world_t *world);

/*
 * Has the route of WORLD_MOVED_DATABASE lead to the service, by a new configuration that all
 * proxies receive at once. NULL: the configuration has neither this route nor the second service.
 */
void world_move_route(pool_world_t *world, const char *service);

/* Returns the member of that id, of either service, or NULL. */
fake_member_t *world_find_member(const pool_world_t *world, const char *id);

/* Sends the current configuration and list of members to every proxy that reaches the store. */
void world_publish_directory(pool_world_t *world);

/*
 * Runs until every proxy has a permission for the primary, and then 13 s more. Fails the test if
 * that takes over 10 s.
 */
void world_wait_until_ready(pool_world_t *world);

/* --- callers --- */

/* Opens a session with WORLD_DATABASE, without a key. */
world_caller_t *world_open_session(pool_world_t *world, size_t node);

/*
 * Opens a session with another database: "strict", "bounded" and "session" are named after their
 * kind of reads.
 */
world_caller_t *world_open_session_on(pool_world_t *world, size_t node, const char *database);

/* Opens a session with a customer's key. */
world_caller_t *world_open_session_with_key(pool_world_t *world, size_t node, const char *database,
					    const char *key);

/* Sends a statement with a new id. */
void world_send(world_caller_t *caller, const char *text);

/* Sends a statement, waits up to 2 s for the reply and returns it; "" if there is none. */
const char *world_send_and_wait(world_caller_t *caller, const char *text);
void world_leave(world_caller_t *caller);

/* True if the last line of the reply begins with ready. */
bool world_reply_has_state(const world_caller_t *caller, const char *ready);

/* --- faults --- */

/* Ends the proxy's process at once, and closes its connections. */
void world_kill(pool_world_t *world, size_t node);

/* Cuts the power of the proxy's VM: the members notice after 3 s that its connections are gone. */
void world_power_off(pool_world_t *world, size_t node);
void world_start_proxy(pool_world_t *world, size_t node);

/* Stops the proxy's process, as if it got no processor time, or continues it. */
void world_freeze(pool_world_t *world, size_t node);
void world_thaw(pool_world_t *world, size_t node);

/* Ends the member's process; connections to it break. */
void world_crash_member(pool_world_t *world, size_t member);

/* Sets whether packets between this proxy and all members are lost. */
void world_set_members_unreachable(pool_world_t *world, size_t node, bool cut);

/* --- checks --- */

/* True if a connection of any proxy to a member is in a transaction. */
bool world_has_transaction(const pool_world_t *world);

/* Fails the test if a member has run a statement for a customer other than its sender. */
void world_check_customers(const pool_world_t *world);

/* Returns the number of proxies that have a permission for the primary with that id. */
size_t world_count_permitted(pool_world_t *world, const char *member);
