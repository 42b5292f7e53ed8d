/*
 * The statement pooler: it accepts sessions of callers, keeps connections to the members (backend
 * servers) of the services, and decides which caller may use which member when. The pooler does no
 * I/O itself: links call its functions, it acts through env_t, and time comes from the given clock
 * and timers. A process may contain many poolers.
 */
#pragma once

#include <jansson.h>

#include "env.h"
#include "routes.h"
#include "shard_limit.h"
#include "timer.h"

struct caller;
struct conn;
typedef struct pooler pooler_t;

typedef struct pooler_config {
	const char *name; /* name of this proxy, unique in the fleet */
	const char *zone;
	const char *address; /* where this proxy receives messages of other proxies */
	const char *prefix;  /* prefix of the fleet's keys in the store */
	int64_t capacity;    /* processor share in percent of a core; 0: unknown */
	int64_t link_rate;   /* network bandwidth of the VM in bytes per second */
	uint64_t incarnation;
	uint64_t seed;
	usec_t grace; /* time from the request to stop until the process exits */
	/* Bounds set by the platform. */
	usec_t config_bound;  /* time within which a new configuration must be in force */
	usec_t leaving_bound; /* time within which a leaving member must no longer be used */
	usec_t min_lease;     /* shortest lease that the store grants */
	usec_t revoke_bound;  /* time within which a revoked key must be refused; 0: no bound */
	limit_slack_t slack;  /* tolerance by which customers' limits may be exceeded */
	bool lend_room;	      /* take part in loans between homes; see loan.h */
	/* Switch off safeguards, to measure what they achieve (./dev/measure pooler). */
	bool serve_in_arrival_order; /* callers that will miss their objective are not put last */
	bool no_homes;		     /* every proxy has its own connections to the members */
} pooler_config_t;

/* A member (backend server of a service) as the platform's directory lists it. */
typedef struct member_entry {
	const char *id;
	const char *service;
	const char *address;
	const char *zone;
	int64_t slots;
	bool leaving;
	bool primary;	  /* the member reports that it is the primary */
	int64_t started;  /* start of its process in ms since 1970; 0: unknown */
	int64_t revision; /* of the entry in the store */
} member_entry_t;

pooler_t *pooler_create(void *parent, const pooler_config_t *config, env_t *env,
			const run_clock_t *clock, timer_set_t *timers);
void pooler_start(pooler_t *pooler);

/* Returns the access to the platform's store, directly or through another proxy. */
kv_t *pooler_store(pooler_t *pooler);

/* True once a configuration is in force and statements can be served. */
bool pooler_is_ready(const pooler_t *pooler);

/* --- callers --- */

/*
 * True shortly after the start, while the first configuration has not arrived: new sessions should
 * wait for it rather than be refused.
 */
bool pooler_awaits_config(const pooler_t *pooler);

/* Opens a session with the database by a customer's key; returns NULL and sets *code if refused. */
struct caller *pooler_caller_open(pooler_t *pooler, const char *database, slice_t key, void *link,
				  code_t *code);

/* True while a statement is unanswered; the next one must wait until it is answered. */
bool caller_is_busy(const struct caller *caller);
void caller_on_statement(struct caller *caller, const statement_t *statement);

/* Records that the link has sent all answers to the caller. */
void caller_on_sent(struct caller *caller);

/* Frees the caller after its session has ended, from either side. */
void caller_on_session_end(struct caller *caller);

/* --- members --- */

void conn_on_ready(struct conn *conn);
/*
 * Handles a connection that failed to open or was lost. code: the member's reason if the member has
 * refused the connection.
 */
void conn_on_down(struct conn *conn, code_t code, const char *reason);
void conn_on_reply(struct conn *conn, const reply_t *reply, const member_status_t *status);

/* --- the platform --- */

/*
 * Sets the followers of the configuration and of the members' list in the platform's directory, so
 * that proxies can send each other updates. They are not owned by the pooler.
 */
void pooler_set_directory(pooler_t *pooler, follow_t *config, follow_t *members);

/* Applies a configuration if it is newer than the one in force, else frees it. */
void pooler_on_routes(pooler_t *pooler, routes_t *routes);

/* Handles a query of the store, sent at asked_at, that found no newer configuration than ours. */
void pooler_on_config_confirmed(pooler_t *pooler, usec_t asked_at);
void pooler_on_member(pooler_t *pooler, const member_entry_t *entry);
/*
 * The entry under the member's id can't be used any more: the member counts as gone unless a valid
 * entry follows soon.
 */
void pooler_on_member_invalid(pooler_t *pooler, const char *id);
void pooler_on_member_gone(pooler_t *pooler, const char *id);
void pooler_on_promoted(pooler_t *pooler, const char *service, promote_status_t status);

/* --- peers --- */

void pooler_on_message(pooler_t *pooler, const peer_message_t *message);

/* --- operators --- */

/* Begins the shutdown: open operations may complete within the grace time, sessions are closed. */
void pooler_drain(pooler_t *pooler);

/* Sets the grace time of the shutdown; ignored once a shutdown has begun. */
void pooler_set_grace(pooler_t *pooler, usec_t grace);

/* Returns the pooler's state for operators. The caller owns the reference. */
json_t *pooler_dump(const pooler_t *pooler);
