/*
 * What the pooler needs from its environment: connections to callers and members, messages to other
 * proxies, and the call that promotes a member. Implementations must not call back into the pooler
 * from within these functions.
 */
#pragma once

#include "follow.h"
#include "kv.h"
#include "statement.h"
#include "token_order.h"
#include "variables.h"

struct conn;
struct env;

typedef enum { REPLY_DONE, REPLY_ERROR, REPLY_RAW } caller_reply_kind_t;

/* The answer to a caller's statement; each statement gets exactly one. */
typedef struct caller_reply {
	caller_reply_kind_t kind;
	slice_t raw; /* a member's complete reply, passed on unchanged */
	code_t code;
	const char *text; /* reason, and when to retry; no line breaks */
	tx_state_t tx;
} caller_reply_t;

typedef enum {
	REQUEST_FORWARD, /* a caller's statement, text unchanged */
	REQUEST_EXEC,	 /* a caller's EXEC, by the name under which the member has prepared the
			    statement */
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
	slice_t value;		      /* SET: the value; PREPARE: the statement */
	bool writes;		      /* PREPARE */
	bool has_after; /* FORWARD, EXEC, BEGIN_READ: the member's log must have reached the
			   position after */
	position_t after;
	uint64_t term; /* DEMOTE */
} member_request_t;

typedef enum {
	PEER_QUERY,
	PEER_STATE,
	PEER_FORWARD_REQUEST,
	PEER_FORWARD_RESULT,
	PEER_PING,
	PEER_PONG,
	PEER_STORE_REQUEST,
	PEER_STORE_ANSWER,
	PEER_QUOTA_REQUEST,
	PEER_QUOTA_ANSWER,
	PEER_LOAN_REQUEST,
	PEER_LOAN_ANSWER,
} peer_message_kind_t;

/*
 * PEER_FORWARD_REQUEST: a statement for which the sender has no connection to a member. Within a
 * transaction, ROLLBACK ends the transaction and gets no result.
 */
typedef struct forward_request {
	uint64_t number; /* chosen by the sender; the result carries it */
	const char *database;
	const char *service; /* where it is to run; NULL: where the database's route leads */
	const char *customer;
	usec_t time_left; /* time until the sender stops waiting */
	const statement_t *statement;
	slice_t shape; /* EXEC: the statement that its name stands for */
	const variables_t *variables;
	bool has_commit;	  /* the session has committed at the service */
	bool has_commit_position; /* false: it has committed, up to an unknown position */
	position_t commit;	  /* position of its last commit there */
	uint64_t transaction;	  /* the sender's number of the transaction; 0: a single statement
				     outside a transaction */
	bool begins_transaction;  /* this is the transaction's first statement */
	bool read_only;
} forward_request_t;

/* PEER_FORWARD_RESULT: the outcome of a forwarded statement. */
typedef struct forward_result {
	uint64_t number;
	bool is_raw; /* raw holds a member's reply; else code and text say why there is none */
	slice_t raw;
	bool ok;
	bool has_position;
	position_t position;
	const char *member; /* member that ran the statement; "": none */
	code_t code;
	const char *text;
	tx_state_t tx;
	bool declined; /* the receiver did not accept the statement */
} forward_result_t;

typedef enum {
	STORE_RANGE,
	STORE_COMMIT,
	STORE_LEASE_CREATE,
	STORE_LEASE_KEEP,
	STORE_LEASE_END,
} store_op_t;

/*
 * PEER_STORE_REQUEST: a store call that the receiver makes for a sender that cannot reach the
 * store.
 */
typedef struct store_request {
	uint64_t number; /* chosen by the sender; the answer carries it */
	store_op_t op;
	const char *prefix;	  /* RANGE */
	const char *after;	  /* RANGE */
	const kv_write_t *writes; /* COMMIT */
	size_t count;		  /* COMMIT: of writes */
	uint64_t lease;		  /* LEASE_KEEP, LEASE_END */
	int64_t ttl_ms;		  /* LEASE_CREATE */
} store_request_t;

/* PEER_STORE_ANSWER: the store's answer; KV_REFUSED if the receiver cannot make the call either. */
typedef struct store_answer {
	uint64_t number;
	kv_result_t result;
} store_answer_t;

/*
 * PEER_QUOTA_REQUEST: asks the owner of a limit shard for tokens, one for each operation that a
 * customer is about to begin; see quota.h.
 */
typedef struct quota_request {
	uint64_t number; /* chosen by the sender; the answer carries it */
	const char *customer;
	unsigned shard;
	unsigned wanted;
	token_counts_t by_priority; /* the wanted ones by the priority of their routes; what is
				       missing to wanted counts as the lowest */
	bool release; /* the sender owns the shard now; the receiver is to grant no more tokens */
} quota_request_t;

/* PEER_QUOTA_ANSWER: the tokens that were granted. */
typedef struct quota_answer {
	uint64_t number;
	const char *customer;
	unsigned granted;
	token_counts_t granted_to; /* the granted ones by priority; what is missing to granted goes
				      by the order of the callers */
	bool not_owner;		   /* the sender does not own the shard, or not yet */
	bool release;		   /* answers a request with release set */
	bool released; /* answers release: the sender owned the shard and grants no more tokens for
			  it */
	usec_t retry_after; /* with too few tokens: time until another request makes sense */
	bool has_waits;	    /* waits is valid; a process of an earlier version sends none */
	usec_t waits[TOKEN_PRIORITIES]; /* the same for each priority that got too few; 0: others */
} quota_answer_t;

/* Members that one message about loans can name; a service has few. */
#define LOAN_MEMBERS_MAX 16

/*
 * PEER_LOAN_REQUEST: statements in progress that a home would borrow from the receiver at members
 * of a service. PEER_LOAN_ANSWER: those that are lent; see loan.h.
 */
typedef struct loan_terms {
	uint64_t number; /* chosen by the sender of the request; the answer carries it */
	const char *service;
	struct {
		const char *member;
		unsigned statements;
	} members[LOAN_MEMBERS_MAX];
	size_t count;
} loan_terms_t;

/* A message between proxies. Each message is complete in itself; any may be lost or repeated. */
typedef struct peer_message {
	peer_message_kind_t kind;
	const char *from;
	const char *address; /* of the sender */
	const char *zone;    /* of the sender */
	int64_t capacity;    /* of the sender; see roster_node_t.capacity */
	uint64_t incarnation;
	uint64_t echo; /* QUERY: when the query was sent, by its sender's clock; STATE: the query's
			  value, returned */
	int64_t revision; /* of the roster that the sender holds */
	int64_t config_version;
	uint64_t members_digest; /* digest of the sender's list of members */
	int64_t fleet_size;	 /* QUERY: proxies that the sender has seen on the roster for
				    PERMIT_LEASE_MAX */
	usec_t roster_age;  /* STATE: time since the read of the store that confirmed the roster;
			       USEC_NEVER: never */
	const char *roster; /* STATE: the roster, or its changes, if the receiver's is older; else
			       NULL */
	const char *leader; /* STATE: the leader; NULL if unknown */
	uint64_t fencing_token; /* STATE: of the leader */
	const char *leader_address;
	const char *change_ends; /* STATE of the leader: changes of primary in progress and the time
				    left for each, as a list of "SERVICE:MS " */
	usec_t leader_age;	 /* STATE: time since the sender last received the leader's state;
				    USEC_NEVER: never */
	usec_t agreement_age; /* STATE: time since more than half of the fleet was known to agree on
			      the roster; USEC_NEVER: never */
	const char *agreements; /* STATE of a hub: downstream proxies that agree on the roster and
				   for how long, as a list of "PROXY:MS " */
	usec_t directory_age;	/* STATE: age of the sender's directory */
	/* QUERY: revisions of configuration and members that the sender has received. */
	int64_t config_as_of;
	int64_t members_as_of;
	/* STATE: changes that the receiver lacks; NULL: none. */
	const follow_changes_t *config_changes;
	const follow_changes_t *members_changes;
	/*
	 * STATE: the same as compressed text, by follow_pack_changes(), if it is large; else NULL.
	 */
	const char *config_packed;
	const char *members_packed;
	bool read_directory; /* STATE: the receiver lacks more than fits a message, and is to read
				it from the store */
	/*
	 * QUERY of a hub: the latest queries of its downstream proxies, with their age; with
	 * address and zone if these proxies are to be added to the roster.
	 */
	const struct peer_message *reports;
	size_t report_count;
	usec_t report_age;
	const char
		*suspected_primaries; /* STATE: services whose primary does not answer the leader */
	/* QUERY: lists of service names, separated by spaces. */
	const char *down;    /* the primary does not answer the sender */
	const char *alive;   /* the primary has answered the sender within ALIVE_WITHIN */
	const char *failing; /* the primary fails many of the sender's statements; see outlier.h */
	const char *in_use;  /* the primary is being replaced and the sender still has work on it */
	const forward_request_t *request;
	const forward_result_t *result;
	const store_request_t *store_request;
	const store_answer_t *store_answer;
	const quota_request_t *quota_request;
	const quota_answer_t *quota_answer;
	const loan_terms_t *loan;
	usec_t keys_confirmed_age; /* STATE: time since the sender's configuration and keys were
				      confirmed to be current */
	bool cut_off;		   /* the sender's own calls to the store fail */
	bool draining; /* the sender is shutting down and accepts no forwarded statements */
} peer_message_t;

typedef enum { PROMOTE_OK, PROMOTE_REFUSED, PROMOTE_OUTCOME_UNKNOWN } promote_status_t;

/* Result of closing a caller's session. */
typedef enum {
	CLOSE_DONE,
	CLOSE_INPUT_UNREAD,  /* not closed: input from the caller has not been read yet */
	CLOSE_INPUT_PARTIAL, /* not closed: the caller has sent part of a statement */
	CLOSE_OUTPUT_UNSENT, /* not closed: an answer to the caller has not been sent yet;
				caller_on_sent() follows */
} close_result_t;

typedef struct env_ops {
	void (*caller_reply)(struct env *env, void *link, const caller_reply_t *reply);
	/*
	 * Closes the session now, unless input or output of the caller is pending: then it stays
	 * open.
	 */
	close_result_t (*caller_close)(struct env *env, void *link);
	/* Closes the session now, even if input or output is pending. */
	void (*caller_abort)(struct env *env, void *link);
	/*
	 * Returns NULL if the connection fails at once; else conn_on_ready or conn_on_down follows.
	 */
	void *(*member_connect)(struct env *env, const char *address, const char *service,
				const char *customer, const char *member, struct conn *conn);
	void (*member_send)(struct env *env, void *link, const member_request_t *requests,
			    size_t count);
	void (*member_close)(struct env *env, void *link);
	/* Returns false if the message was certainly not sent. */
	bool (*peer_send)(struct env *env, const char *name, const char *address,
			  const peer_message_t *message);
	/* Asks the platform to promote a member; pooler_on_promoted follows. */
	void (*promote)(struct env *env, const char *service, const char *member,
			const char *leader, uint64_t fencing_token);
	/* Reads the whole configuration or list of members again; changes are reported as usual. */
	void (*refresh_config)(struct env *env);
	void (*refresh_members)(struct env *env);
	/* Stops accepting callers. */
	void (*stop_accepting)(struct env *env);
	/* Reports that no callers are left after pooler_drain(). */
	void (*drained)(struct env *env);
} env_ops_t;

typedef struct env {
	const env_ops_t *ops;
	kv_t *kv;
} env_t;
