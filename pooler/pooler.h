/*
 * Pooling of statements: sessions of callers in front, connections to the
 * members of the services behind, and in between who may use which member when.
 * No I/O and no clock of its own: links call in, effects go through env_t, time
 * comes from the run-time's clock and timers. Many poolers can live in one process.
 */
#pragma once

#include <jansson.h>

#include "env.h"
#include "routes.h"
#include "share.h"
#include "timer.h"

struct caller;
struct conn;
typedef struct pooler pooler_t;

typedef struct pooler_config {
	const char *name; /* of this proxy, unique in the fleet */
	const char *zone;
	const char *address; /* for messages of other proxies */
	const char *prefix;  /* of our keys in the store */
	int64_t capacity;    /* processor share in percent of a core; 0: unknown */
	int64_t link_rate;   /* bytes a second that the VM can send */
	uint64_t incarnation;
	uint64_t seed;
	usec_t grace; /* from the request to stop to the end */
	/* The platform's bounds. */
	usec_t config_bound;  /* within which a configuration must be in force */
	usec_t leaving_bound; /* within which a leaving member must be left alone */
	usec_t min_lease;     /* shortest lease that the store grants */
	usec_t revoke_bound;  /* within which a key that was taken must be refused; 0: at leisure */
	limit_slack_t slack;  /* by which customers' limits may be exceeded */
	/* Without the safeguards that are measured against this: ./dev/measure pooler. */
	bool serve_in_arrival_order; /* the queue serves in order of arrival, whoever is late */
	bool no_homes;		     /* no homes: every proxy has connections of its own */
} pooler_config_t;

/* A backend server as the platform lists it. */
typedef struct member_entry {
	const char *id;
	const char *service;
	const char *address;
	const char *zone;
	int64_t slots;
	bool leaving;
	bool primary;	 /* how it sees itself */
	int64_t started; /* when its process started, in ms since 1970; 0: not told */
} member_entry_t;

pooler_t *pooler_create(void *parent, const pooler_config_t *config, env_t *env,
			const run_clock_t *clock, timer_set_t *timers);
void pooler_start(pooler_t *pooler);

/* The platform's store, by our own access or through a peer. */
kv_t *pooler_store(pooler_t *pooler);

/* True once the configuration is known and statements can be served. */
bool pooler_is_ready(const pooler_t *pooler);

/* --- callers --- */

/*
 * True while the configuration is not known, but may come any moment since the process has just
 * started: sessions are better kept waiting than refused.
 */
bool pooler_awaits_config(const pooler_t *pooler);

/* A session with database, by a customer's key; NULL with *code set if it is refused. */
struct caller *pooler_caller_open(pooler_t *pooler, const char *database, slice_t key, void *link,
				  code_t *code);

/* True while a statement is unanswered; the next one must wait. */
bool caller_is_busy(const struct caller *caller);
void caller_on_statement(struct caller *caller, const statement_t *statement);

/* All answers to the caller have left. */
void caller_on_sent(struct caller *caller);

/* The session has ended; frees the caller. */
void caller_on_session_end(struct caller *caller);

/* --- members --- */

void conn_on_ready(struct conn *conn);
/* The connection was not made, or is gone; code tells why a member refused it. */
void conn_on_down(struct conn *conn, code_t code, const char *reason);
void conn_on_reply(struct conn *conn, const reply_t *reply, const member_status_t *status);

/* --- the platform --- */

/* Who follows the configuration and the members, so that proxies can tell each other; not owned. */
void pooler_set_directory(pooler_t *pooler, follow_t *config, follow_t *members);

/* A configuration, taken over if newer, else freed. */
void pooler_on_routes(pooler_t *pooler, routes_t *routes);

/* The store was asked then for the configuration, and held none newer than the one in force. */
void pooler_on_config_confirmed(pooler_t *pooler, usec_t asked_at);
void pooler_on_member(pooler_t *pooler, const member_entry_t *entry);
void pooler_on_member_gone(pooler_t *pooler, const char *id);
void pooler_on_promoted(pooler_t *pooler, const char *service, promote_status_t status);

/* --- peers --- */

void pooler_on_message(pooler_t *pooler, const peer_message_t *message);

/* --- operators --- */

/* Finish what is open within the grace time, take nothing that can go elsewhere. */
void pooler_drain(pooler_t *pooler);

/* The operators have changed how long that may take; ignored once a shutdown has begun. */
void pooler_set_grace(pooler_t *pooler, usec_t grace);

/* The state for operators. The caller owns it. */
json_t *pooler_dump(const pooler_t *pooler);
