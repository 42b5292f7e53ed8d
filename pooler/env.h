/*
 * What the pooler needs from outside: links to callers and members, messages to
 * other proxies, and the call that promotes a member. Implementations may not
 * call back into the pooler from within these functions.
 */
#pragma once

#include "follow.h"
#include "kv.h"
#include "statement.h"
#include "variables.h"

struct conn;
struct env;

typedef enum { REPLY_DONE, REPLY_ERROR, REPLY_RAW } caller_reply_kind_t;

/* The one answer to a caller's statement. */
typedef struct caller_reply {
	caller_reply_kind_t kind;
	slice_t raw; /* a member's whole reply, passed on as it is */
	code_t code;
	const char *text; /* reason, and when to come back; no line ends */
	tx_state_t tx;
} caller_reply_t;

typedef enum {
	REQUEST_FORWARD, /* a caller's statement, text unchanged */
	REQUEST_EXEC,	 /* a caller's EXEC under the name that the member knows */
	REQUEST_BEGIN,
	REQUEST_BEGIN_READ,
	REQUEST_ROLLBACK,
	REQUEST_SET,
	REQUEST_PREPARE,
	REQUEST_RESET,
	REQUEST_STATUS,
	REQUEST_DEMOTE,
} request_kind_t;

typedef struct member_request {
	request_kind_t kind;
	const statement_t *statement; /* FORWARD, EXEC */
	slice_t name;		      /* EXEC, SET, PREPARE */
	slice_t value;		      /* SET: the value; PREPARE: the shape */
	bool writes;		      /* PREPARE */
	bool has_after;		      /* FORWARD, EXEC, BEGIN_READ: the log must hold after */
	position_t after;
	uint64_t term; /* DEMOTE */
} member_request_t;

typedef enum {
	PEER_ASK,
	PEER_STATE,
	PEER_REQUEST,
	PEER_RESULT,
	PEER_PING,
	PEER_PONG,
	PEER_STORE,
	PEER_STORED,
	PEER_TAKE,
	PEER_TAKEN,
} peer_message_kind_t;

/*
 * PEER_REQUEST: a statement that the sender can't get to a member. In a transaction, ROLLBACK is
 * its end, which has no result.
 */
typedef struct forward_request {
	uint64_t number; /* the sender's, comes back with the result */
	const char *database;
	const char *customer;
	usec_t left; /* until the sender gives up */
	const statement_t *statement;
	slice_t shape; /* EXEC: what its name stands for */
	const variables_t *variables;
	bool has_commit;
	position_t commit; /* the session's last one */
	uint64_t session;  /* the sender's number of the transaction; 0: a lone statement */
	bool begins;	   /* its first statement */
	bool read_only;
} forward_request_t;

/* PEER_RESULT: what came of it. */
typedef struct forward_result {
	uint64_t number;
	bool is_raw; /* a member's reply; else code and text say why there is none */
	slice_t raw;
	bool ok;
	bool has_position;
	position_t position;
	const char *member; /* that ran it, "" if none did */
	code_t code;
	const char *text;
	tx_state_t tx;
	bool declined; /* the receiver did not take it at all */
} forward_result_t;

typedef enum {
	STORE_RANGE,
	STORE_COMMIT,
	STORE_LEASE_CREATE,
	STORE_LEASE_KEEP,
	STORE_LEASE_END,
} store_op_t;

/* PEER_STORE: a call to the store that does not serve the sender. */
typedef struct store_request {
	uint64_t number; /* the sender's, comes back with the answer */
	store_op_t op;
	const char *prefix;	  /* RANGE */
	const char *after;	  /* RANGE */
	const kv_write_t *writes; /* COMMIT */
	size_t count;		  /* COMMIT: of writes */
	uint64_t lease;		  /* LEASE_KEEP, LEASE_END */
	int64_t ttl_ms;		  /* LEASE_CREATE */
} store_request_t;

/* PEER_STORED: the store's answer to it; KV_REFUSED if the receiver can't make the call either. */
typedef struct store_answer {
	uint64_t number;
	kv_result_t result;
} store_answer_t;

/* PEER_TAKE: operations of a customer that are about to begin; see quota.h. */
typedef struct quota_request {
	uint64_t number; /* the sender's, comes back with the answer */
	const char *customer;
	unsigned seat;
	unsigned wanted;
	bool release; /* the sender is the seat's keeper now: give nothing more for it */
} quota_request_t;

/* PEER_TAKEN: how many of them may. */
typedef struct quota_answer {
	uint64_t number;
	const char *customer;
	unsigned granted;
	bool vacant;   /* the sender is not the seat's keeper, or not yet */
	bool release;  /* it answers a request to release the seat */
	bool released; /* to a request for it: the sender was the keeper, and gives nothing more */
	usec_t wait;   /* if there were too few: before that nobody needs to ask again */
} quota_answer_t;

/* Between proxies. Each is complete in itself; any may be lost or repeated. */
typedef struct peer_message {
	peer_message_kind_t kind;
	const char *from;
	const char *address; /* of the sender */
	const char *zone;    /* of the sender */
	int64_t capacity;    /* of the sender; see roster_node_t */
	uint64_t incarnation;
	uint64_t echo;	  /* ASK: when it was sent, by its sender's clock; STATE: the same back */
	int64_t revision; /* of the roster that the sender holds */
	int64_t config_version;
	uint64_t members_digest; /* of the list of members that the sender holds */
	int64_t fleet; /* ASK: proxies that the sender has seen on the roster for PERMIT_LEASE_MAX
			*/
	usec_t age;    /* STATE: since the store was asked, USEC_NEVER: never */
	const char *roster; /* STATE: the roster if the receiver's is older, else NULL */
	const char *holder; /* STATE: who holds the duty to promote, NULL if unknown */
	uint64_t fence;	    /* STATE: the holder's */
	const char *holder_address;
	const char
		*ends; /* STATE of the holder: changes under way, "SERVICE:MS " until their end */
	usec_t holder_age;  /* STATE: since the sender heard the holder; USEC_NEVER: it has not */
	usec_t quorum_age;  /* STATE: since more than half were known to agree; USEC_NEVER: never */
	const char *agreed; /* STATE of a hub: who agrees, and since when, "PROXY:MS " each */
	usec_t directory_age; /* STATE: of what the sender knows of the directory */
	/* ASK: what the sender has been told of configuration and members. */
	int64_t config_at;
	int64_t members_at;
	/* STATE: what it lacks; NULL: nothing. */
	const follow_changes_t *config_changes;
	const follow_changes_t *members_changes;
	/* STATE: the same where it is much, by follow_pack(); NULL: it is not. */
	const char *config_packed;
	const char *members_packed;
	bool read_directory; /* STATE: what the receiver lacks is too much to be told */
	/*
	 * ASK of a hub: the questions of those that ask it, with their age; with address and zone
	 * if they want to be added to the roster.
	 */
	const struct peer_message *reports;
	size_t report_count;
	usec_t report_age;
	const char *doubted; /* STATE: services whose primary does not answer the holder */
	/* ASK: services by name, as lists joined by blanks. */
	const char *down;    /* their primary does not answer the sender */
	const char *alive;   /* their primary answered the sender of late */
	const char *failing; /* their primary fails a good part of the sender's statements */
	const char *in_use;  /* under change, and the sender still has work on the primary */
	const forward_request_t *request;
	const forward_result_t *result;
	const store_request_t *store;
	const store_answer_t *stored;
	const quota_request_t *take;
	const quota_answer_t *taken;
	usec_t keys_age; /* STATE: of the proof that the sender's keys are the newest */
	bool cut_off;	 /* the store does not serve the sender */
	bool draining;	 /* the sender shuts down and takes no statements of others */
} peer_message_t;

typedef enum { PROMOTE_OK, PROMOTE_REFUSED, PROMOTE_LOST } promote_status_t;

/* What came of closing a caller's session. */
typedef enum {
	CLOSE_DONE,
	CLOSE_UNREAD, /* the caller has sent something that was not handed in yet */
	CLOSE_PART,   /* the caller has sent a part of a statement */
	CLOSE_UNSENT, /* an answer to it has not left yet; caller_on_sent() follows */
} close_result_t;

typedef struct env_ops {
	void (*caller_reply)(struct env *env, void *link, const caller_reply_t *reply);
	/* Close now, unless something of the caller is under way: then it stays open. */
	close_result_t (*caller_close)(struct env *env, void *link);
	/* Close now, whatever is under way. */
	void (*caller_abort)(struct env *env, void *link);
	/* NULL if it fails at once; else conn_on_ready or conn_on_down follows. */
	void *(*member_connect)(struct env *env, const char *address, const char *service,
				const char *customer, const char *member, struct conn *conn);
	void (*member_send)(struct env *env, void *link, const member_request_t *requests,
			    size_t count);
	void (*member_close)(struct env *env, void *link);
	/* False: it was certainly not sent. */
	bool (*peer_send)(struct env *env, const char *name, const char *address,
			  const peer_message_t *message);
	/* pooler_on_promoted follows. */
	void (*promote)(struct env *env, const char *service, const char *member,
			const char *holder, uint64_t fence);
	/* Read the configuration or the list of members again; what is new follows. */
	void (*refresh_config)(struct env *env);
	void (*refresh_members)(struct env *env);
	/* Take no new callers. */
	void (*stop_accepting)(struct env *env);
	/* All callers are gone after pooler_drain(). */
	void (*drained)(struct env *env);
} env_ops_t;

typedef struct env {
	const env_ops_t *ops;
	kv_t *kv;
} env_t;
