/*
 * Input (events) and output (actions) of a core. A core does no I/O and reads no
 * clock: an adapter passes it events with their time and carries out its actions.
 * An event need only live during the call; the caller of core_pop_action() owns
 * the action.
 */
#pragma once

#include "list.h"
#include "message.h"
#include "types.h"

/*
 * Orders to a group member over its control connection: report its state, seal a
 * term (promise to obey no lower one), become primary, replicate from a primary.
 */
typedef enum { ORDER_REPORT, ORDER_SEAL, ORDER_PROMOTE, ORDER_FOLLOW, ORDER_COUNT } order_kind_t;

typedef enum {
	ORDER_OK,
	ORDER_REFUSED,	   /* the member declined and sent its report */
	ORDER_UNREACHABLE, /* the connection was refused: the process has ended */
	ORDER_TIMED_OUT,   /* no answer in time */
} order_status_t;

/* Kinds of run: one step of a request on a pooled connection. */
typedef enum {
	RUN_READ,  /* one statement in a read-only transaction */
	RUN_WRITE, /* one statement and its commit, which stores the request id if there is one */
	RUN_BEGIN, /* open a transaction */
	RUN_STATEMENT, /* a statement of the open transaction */
	RUN_COMMIT,    /* commit it, and store the request id if there is one */
	RUN_ROLLBACK,
	RUN_COUNT,
} run_kind_t;

typedef enum {
	RUN_OK,
	RUN_NOT_PRIMARY,	/* the server is read-only; nothing has taken effect */
	RUN_REJECTED,		/* the server returned an error; nothing has taken effect */
	RUN_LOST_BEFORE_COMMIT, /* connection lost before the commit was sent: rolled back */
	RUN_LOST_AT_COMMIT,	/* connection lost after the commit was sent: may have run */
} run_status_t;

typedef struct run_result {
	run_status_t status;
	report_t before; /* the member's report just before the statement */
	report_t after;	 /* and just after the statement or commit */
	bool repeated;	 /* the request id had run before; rows are its stored answer */
	char *rows;
	char *detail; /* for all but RUN_OK */
} run_result_t;

/* A VM in the platform's list. */
typedef struct vm {
	char *name;
	char *zone;
	char *address;
	bool leaving;
	bool backend; /* a backend server, identified by its address, not a proxy */
} vm_t;

typedef enum { STORE_OK, STORE_CONFLICT, STORE_FAILED } store_status_t;

/* The result of an operator's edit. */
typedef enum { EDIT_ACCEPTED, EDIT_REFUSED, EDIT_UNKNOWN } edit_status_t;

typedef enum {
	EVENT_TICK,  /* a timer of the core is due */
	EVENT_QUERY, /* from a caller */
	EVENT_CALLER_GONE,
	EVENT_MESSAGE, /* from a peer */
	EVENT_UNSENT,  /* a message to a peer has certainly not been sent */
	EVENT_CONN_UP,
	EVENT_CONN_DOWN,
	EVENT_RUN_DONE,
	EVENT_ORDER_DONE,
	EVENT_CONTROL_DOWN, /* a member's control connection broke */
	EVENT_STORE_LOADED, /* the result of a load, or a change from the watch */
	EVENT_STORE_DONE,   /* the result of an edit's compare-and-swap */
	EVENT_WATCH_DOWN,
	EVENT_VMS,
	EVENT_EDIT, /* an operator's edit */
	EVENT_DRAIN,
	EVENT_COUNT,
} event_kind_t;

/* EVENT_QUERY; the id is that of the caller. */
typedef struct query_event {
	const query_t *query;
	const char *token;
} query_event_t;

/* EVENT_MESSAGE. */
typedef struct message_event {
	const char *peer;
	const message_t *message;
} message_event_t;

/* EVENT_CONN_UP; the id is the connection. */
typedef struct conn_up_event {
	int64_t slot; /* of the row's limit, which the connection has claimed at the member */
} conn_up_event_t;

/* EVENT_CONN_DOWN; the id is the connection. */
typedef struct conn_down_event {
	const char *detail; /* may be NULL */
} conn_down_event_t;

/* EVENT_RUN_DONE; the id is the connection. */
typedef struct run_event {
	const run_result_t *result;
} run_event_t;

/* EVENT_ORDER_DONE; the id is the order. */
typedef struct order_event {
	const char *group;
	const char *member;
	order_status_t status;
	report_t report; /* valid with ORDER_OK and ORDER_REFUSED */
} order_event_t;

/* EVENT_CONTROL_DOWN. */
typedef struct control_event {
	const char *group;
	const char *member;
} control_event_t;

/* EVENT_STORE_LOADED and EVENT_STORE_DONE; the id is the store operation or the edit. */
typedef struct store_event {
	store_status_t status;
	const table_entry_t *entries;
	size_t entry_count;
	uint64_t table_version;
	int64_t head_revision; /* the store's revision of the key that holds the table version */
	bool edit_found;       /* EVENT_STORE_DONE: the store lists the edit id as committed */
} store_event_t;

/* EVENT_VMS; the id is that of ACTION_VMS. */
typedef struct vms_event {
	store_status_t status;
	const vm_t *vms;
	size_t count;
} vms_event_t;

/* EVENT_EDIT; the id is the operator's request. */
typedef struct edit_event {
	const char *edit_id;
	const char *author;
	uint64_t base_version; /* the table version that the operator edited */
	const table_entry_t *entries;
	size_t entry_count;
} edit_event_t;

typedef struct event {
	event_kind_t kind;
	uint64_t id; /* caller, request, connection, order, edit or store operation */
	union {
		query_event_t query;
		message_event_t message;
		conn_up_event_t conn_up;
		conn_down_event_t conn_down;
		run_event_t run;
		order_event_t order;
		control_event_t control;
		store_event_t store;
		vms_event_t vms;
		edit_event_t edit;
	};
} event_t;

typedef enum {
	ACTION_ANSWER,	/* to a caller */
	ACTION_SEND,	/* to a peer */
	ACTION_CONNECT, /* open a pooled connection and claim a slot of the row's limit */
	ACTION_CLOSE,	/* close a connection; if busy, EVENT_RUN_DONE follows */
	ACTION_RUN,
	ACTION_ORDER,
	ACTION_STORE_LOAD,
	ACTION_STORE_WATCH,
	ACTION_STORE_COMMIT,
	ACTION_VMS, /* query the platform's list of VMs */
	ACTION_EDIT_DONE,
	ACTION_LOG, /* write a log line */
	ACTION_DRAINED,
	ACTION_COUNT,
} action_kind_t;

/* ACTION_ANSWER; the id is the caller. */
typedef struct answer_action {
	answer_t *answer;
	char *token; /* NULL: the session has not changed */
} answer_action_t;

/* ACTION_SEND; the id is the request that the message refers to, or 0. */
typedef struct send_action {
	char *peer;
	char *address; /* NULL: unknown */
	message_t *message;
} send_action_t;

/* ACTION_CONNECT; the id is the connection. */
typedef struct connect_action {
	char *group;
	char *member;
	char *address;
	char *row; /* "SERVICE/CLASS": the connection counts against this row's limit */
	int64_t limit;
	bool evict; /* if no slot is free, terminate the session that holds one */
} connect_action_t;

/* ACTION_RUN; the id is the connection. */
typedef struct run_action {
	char *member;
	run_kind_t kind;
	query_t *query;
	usec_t timeout;
} run_action_t;

/* ACTION_ORDER; the id is the order. */
typedef struct order_action {
	char *group;
	char *member;
	char *address;
	order_kind_t kind;
	uint64_t term;
	char *target; /* ORDER_FOLLOW: address of the new primary */
	usec_t timeout;
} order_action_t;

/* ACTION_STORE_LOAD and ACTION_STORE_WATCH: the version held here, as the starting point. */
typedef struct load_action {
	uint64_t table_version;
	int64_t head_revision;
} load_action_t;

/* ACTION_STORE_COMMIT; the id is the edit. */
typedef struct commit_action {
	int64_t head_revision; /* the swap succeeds only if the head is unchanged */
	uint64_t table_version;
	char *edit_id;
	char *author;
	table_entry_t *entries;
	size_t entry_count;
} commit_action_t;

/* ACTION_EDIT_DONE; the id is the operator's request. */
typedef struct edit_action {
	edit_status_t status;
	uint64_t table_version;
	char *text; /* explains the status */
} edit_action_t;

/* ACTION_LOG. */
typedef struct log_action {
	char *text;
	bool warning;
} log_action_t;

typedef struct action {
	list_t node;
	action_kind_t kind;
	uint64_t id; /* caller, request, connection, order, edit or store operation */
	union {
		answer_action_t answer;
		send_action_t send;
		connect_action_t connect;
		run_action_t run;
		order_action_t order;
		load_action_t load;
		commit_action_t commit;
		edit_action_t edit;
		log_action_t log;
	};
} action_t;

const char *event_kind_name(event_kind_t kind);
const char *action_kind_name(action_kind_t kind);
const char *order_kind_name(order_kind_t kind);
const char *run_kind_name(run_kind_t kind);
