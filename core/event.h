/*
 * What goes into core (events) and what comes out (actions). Core does no I/O
 * and reads no clock: a harness feeds it timed events and carries out its
 * actions. Events are borrowed for the call; actions belong to who takes them.
 */
#pragma once

#include "list.h"
#include "message.h"
#include "types.h"

/* Orders to a group member over its control connection. */
typedef enum { ORDER_REPORT, ORDER_SEAL, ORDER_PROMOTE, ORDER_FOLLOW, ORDER_COUNT } order_kind_t;

typedef enum {
	ORDER_OK,
	ORDER_REFUSED,	   /* the member declined, and reported why */
	ORDER_UNREACHABLE, /* nobody listens there: the process is gone */
	ORDER_TIMED_OUT,   /* no answer in time */
} order_status_t;

/* Work on a pooled connection. */
typedef enum {
	RUN_READ,      /* one statement in a read-only transaction */
	RUN_WRITE,     /* one statement, committed, with its request id if any */
	RUN_BEGIN,     /* open a transaction */
	RUN_STATEMENT, /* a statement of the open transaction */
	RUN_COMMIT,    /* commit it, with the request id if any */
	RUN_ROLLBACK,
	RUN_COUNT,
} run_kind_t;

typedef enum {
	RUN_OK,
	RUN_NOT_PRIMARY,	/* the server takes no writes (any more), and kept nothing */
	RUN_REJECTED,		/* the server said no and kept nothing */
	RUN_LOST_BEFORE_COMMIT, /* connection gone, commit never sent: rolled back */
	RUN_LOST_AT_COMMIT,	/* connection gone, commit may have taken */
} run_status_t;

typedef struct run_result {
	run_status_t status;
	report_t before; /* the member's report just before the statement */
	report_t after;	 /* and just after the statement or commit */
	bool repeated;	 /* the request id was known; rows are the stored answer */
	char *rows;
	char *detail; /* for all but RUN_OK */
} run_result_t;

/* A VM of the fleet, as the platform lists it. */
typedef struct vm {
	char *name;
	char *zone;
	char *address;
	bool leaving;
	bool backend; /* a backend server, known by its address, not a proxy */
} vm_t;

typedef enum { STORE_OK, STORE_CONFLICT, STORE_FAILED } store_status_t;

/* Where an operator's edit stands. */
typedef enum { EDIT_ACCEPTED, EDIT_REFUSED, EDIT_UNKNOWN } edit_status_t;

typedef enum {
	EVENT_TICK,  /* a timer of core is due */
	EVENT_QUERY, /* from a caller */
	EVENT_CALLER_GONE,
	EVENT_MESSAGE, /* from a peer */
	EVENT_UNSENT,  /* a message to a peer was certainly not sent */
	EVENT_CONN_UP,
	EVENT_CONN_DOWN,
	EVENT_RUN_DONE,
	EVENT_ORDER_DONE,
	EVENT_CONTROL_DOWN, /* a member's control connection broke */
	EVENT_STORE_LOADED, /* the whole table, or what a watch brought */
	EVENT_STORE_DONE,   /* an edit's compare-and-swap ended */
	EVENT_WATCH_DOWN,
	EVENT_VMS,
	EVENT_EDIT, /* an operator's edit */
	EVENT_DRAIN,
	EVENT_COUNT,
} event_kind_t;

typedef struct event {
	event_kind_t kind;
	uint64_t id; /* caller, request, connection, order, edit or store operation */
	const char *peer;
	const query_t *query;
	const char *token;
	const message_t *message;
	const run_result_t *result;
	const char *group;
	const char *member;
	order_status_t order_status;
	report_t report;
	int64_t slot; /* of the row's limit that a new connection has claimed */
	store_status_t store_status;
	const table_entry_t *entries;
	size_t entry_count;
	uint64_t table_version;
	int64_t head_revision; /* the store's, of the table's head */
	const char *edit_id;
	bool edit_found; /* the edit id is among those already taken */
	const char *author;
	uint64_t base_version; /* the table version the operator edited */
	const vm_t *vms;
	size_t vm_count;
	const char *detail;
} event_t;

typedef enum {
	ACTION_ANSWER,	/* to a caller */
	ACTION_SEND,	/* to a peer */
	ACTION_CONNECT, /* open a pooled connection and claim a slot of the row's limit */
	ACTION_CLOSE,	/* a busy connection then reports how its run ended */
	ACTION_RUN,
	ACTION_ORDER,
	ACTION_STORE_LOAD,
	ACTION_STORE_WATCH,
	ACTION_STORE_COMMIT,
	ACTION_VMS, /* ask the platform for its list */
	ACTION_EDIT_DONE,
	ACTION_NOTE, /* a line for the log */
	ACTION_DRAINED,
	ACTION_COUNT,
} action_kind_t;

typedef struct action {
	list_t node;
	action_kind_t kind;
	uint64_t id; /* caller, request, connection, order, edit or store operation */
	char *peer;
	answer_t *answer;
	char *token;
	message_t *message;
	char *group;
	char *member;
	char *target; /* host:port of the member; the new primary for a follow */
	char *row;    /* "SERVICE/CLASS", whose limit the connection counts against */
	int64_t limit;
	bool evict; /* if no slot is free, end a session that holds one */
	run_kind_t run;
	query_t *query;
	order_kind_t order;
	uint64_t term;
	usec_t timeout;
	table_entry_t *entries;
	size_t entry_count;
	uint64_t table_version;
	int64_t head_revision;
	char *edit_id;
	char *author;
	edit_status_t edit_status;
	char *text; /* of a note, or why an edit was refused */
	bool warning;
} action_t;

const char *event_kind_name(event_kind_t kind);
const char *action_kind_name(action_kind_t kind);
const char *order_kind_name(order_kind_t kind);
const char *run_kind_name(run_kind_t kind);
