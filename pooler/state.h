/* The pooler's own structures; for its modules only. */
#pragma once

#include "follow.h"
#include "freshness.h"
#include "keepers.h"
#include "outbox.h"
#include "outlier.h"
#include "pooler.h"
#include "prepared.h"
#include "proof.h"
#include "reason.h"
#include "roster.h"
#include "summary.h"
#include "variables.h"

struct member;
struct service;

/* --- customers --- */

/*
 * A customer at a service. A member is told for whom a connection is, so connections are of one
 * line each and never serve another's statements.
 */
typedef struct line {
	UT_hash_handle hh; /* in service_t.lines */
	char *customer;
	size_t waiting; /* callers in service_t.waiting */
} line_t;

/* --- connections to members --- */

typedef enum {
	CONN_OPENING,
	CONN_IDLE,
	CONN_PREPARING, /* values, prepared names and BEGIN are being set up for a caller */
	CONN_RUNNING,	/* the caller's statement is at the member */
	CONN_HELD,	/* in the caller's transaction, the caller is thinking */
	CONN_CLEANING,	/* our ROLLBACK is at the member */
	CONN_ORPHANED,	/* the caller is gone or answered, the member is still at work */
	CONN_PROBING,	/* asks for the member's status */
} conn_state_t;

/* Values that a session may set; far more than the users' applications do. */
#define VARIABLES_MAX 48
/* Requests of our own in one flight before a statement: RESET, values, a name, BEGIN. */
#define CONN_SETUP_MAX (VARIABLES_MAX + 3)

typedef struct conn {
	list_t node; /* in member_t.conns */
	struct member *member;
	line_t *line; /* NULL: a probe's, which runs no statement */
	void *link;   /* the environment's; NULL when gone */
	conn_state_t state;
	bool probe;
	bool used;	/* it has served a statement */
	usec_t since;	/* of the state */
	usec_t opened;	/* when it was first ready */
	usec_t sent_at; /* of the last request */
	struct caller *caller;
	variables_t variables;
	char **prepared; /* talloc array of the names that the member knows */
	size_t prepared_count;
	request_kind_t setup[CONN_SETUP_MAX]; /* sent and unanswered, in order */
	size_t setup_len;
	size_t setup_done;
	code_t setup_code; /* first error among them */
	bool in_tx;
} conn_t;

/* --- members --- */

typedef struct member {
	list_t node;	   /* in pooler_t.members */
	list_t in_service; /* in service_t.members */
	list_t active;	   /* in pooler_t.active_members; see active.h */
	UT_hash_handle hh; /* in pooler_t.members_by_id */
	struct pooler *pooler;
	struct service *service;
	char *id;
	char *address;
	char *zone;
	int64_t slots;
	bool leaving;
	usec_t leaving_since; /* USEC_NEVER less a margin while it is not leaving */
	bool gone;	      /* not listed any more */
	usec_t gone_since;
	int64_t born; /* of its process, as it says; 0: not told */
	bool says_primary;
	usec_t says_since; /* when says_primary was last heard to change */
	list_t conns;
	size_t conn_count; /* without probes */
	usec_t full_until; /* the member refused a connection; no more than our share until then */
	usec_t open_after; /* back-off after a failed connection */
	/* Health by what we see ourselves. */
	usec_t last_reply;
	usec_t silent_since; /* oldest sign of failure without a reply since; USEC_NEVER: none */
	bool down;	     /* it was asked again and did not answer */
	conn_t *probe_conn;
	/* Placement of reads. */
	usec_t response;    /* smoothed time from sending a statement to its reply */
	position_t applied; /* of its log, by its last reply */
	usec_t applied_at;  /* when that came */
	usec_t lagged_at;   /* when it last lacked a position */
	outlier_t outlier;
	usec_t lost_at; /* when a connection last broke under a statement */
	/* Survey by the holder of the duty. */
	bool survey_done;
	usec_t checked_at; /* though nobody used it */
	member_status_t status;
} member_t;

/* --- callers --- */

typedef enum { WANT_NONE, WANT_PRIMARY, WANT_ANY } want_t;

/* What a caller that stands for another proxy's statement was asked for; see forward.h. */
typedef struct job {
	char *from; /* the proxy */
	char *address;
	uint64_t incarnation;
	uint64_t number;
	uint64_t session; /* its number of the transaction; 0: a lone statement */
	usec_t left;	  /* from the job's arrival */
	bool done;	  /* the last result was sent */
} job_t;

typedef struct caller {
	list_t node; /* in pooler_t.callers */
	struct pooler *pooler;
	void *link; /* NULL: gone */
	char *database;
	key_digest_t key;   /* with which the session began */
	char *customer;	    /* of the operation in progress; NULL: none was admitted yet */
	line_t *line;	    /* of the same */
	bool by_open_route; /* its operation needs no key */
	bool barred;	    /* its key is no customer's any more, or another one's */
	list_t admission;   /* in allowance_t.waiting */
	variables_t variables;
	list_t prepared;
	bool has_commit;
	position_t commit; /* the session's last one */
	usec_t committed_at;
	/* Transaction. */
	tx_state_t tx;
	bool tx_read_only;
	bool tx_ran; /* a statement of it has run at the member */
	bool tx_wrote;
	bool tx_lost; /* the connection was lost while the caller was thinking */
	bool leaving; /* close it when its transaction ends */
	bool served;  /* a statement was answered since the shutdown began */
	conn_t *conn;
	/* The route of the current transaction or statement, copied: a change applies later. */
	struct service *service;
	reads_t reads;
	usec_t max_age;
	usec_t timeout;
	usec_t objective;
	int64_t priority;
	/* Statement in progress. */
	bool busy;
	statement_t statement;
	char *text; /* holds what statement's slices point to */
	usec_t received_at;
	usec_t placed_at; /* when it was given a connection */
	usec_t deadline;
	run_timer_t timer;
	usec_t idle_since;
	list_t waiting; /* in service_t.waiting */
	bool is_waiting;
	want_t want;
	bool only_primary; /* a replica lacked the position */
	/* What the log of a replica must hold, decided when the statement was placed. */
	bool has_after;
	position_t after;
	unsigned attempts;
	const struct member *failed_at; /* of the last attempt; for comparison only */
	usec_t not_before;		/* of the next attempt */
	prepared_t *exec;		/* of an EXEC */
	/* While another proxy runs the statement. */
	list_t forwarded;	 /* in pooler_t.forwarded */
	uint64_t forward_number; /* 0: it is not */
	usec_t forwarded_at;
	char *helper;	 /* that proxy, or the last one that did */
	uint64_t remote; /* number of the transaction that is at the helper; 0: none is */
	job_t *job;	 /* NULL: a caller of our own */
} caller_t;

/* --- services --- */

/* The steps of a change of primary, at the holder of the duty. */
typedef enum {
	CHANGE_NONE,
	CHANGE_MARKING,	   /* writing down that the primary is about to change */
	CHANGE_RELEASING,  /* all proxies stop to use it */
	CHANGE_SURVEYING,  /* which member has received most */
	CHANGE_PROMOTING,  /* the platform was asked */
	CHANGE_VERIFYING,  /* the member does not lead yet */
	CHANGE_COMMITTING, /* writing down the new primary */
} change_step_t;

typedef struct change {
	change_step_t step;
	usec_t started;
	usec_t step_since;
	bool busy;    /* a call to the store is under way */
	bool planned; /* the old primary still answers */
	int64_t marked_revision;
	usec_t marked_at;
	usec_t few_since; /* when too few were left to prolong their permission together */
	char *target;
	uint64_t new_term; /* that the target leads */
	usec_t settled_at; /* before that an earlier holder's call may arrive; 0: there is none */
	bool may_have_called; /* a call to promote may have taken effect, now or later */
	bool target_led;      /* before the call the target called itself primary already */
	uint64_t target_term; /* its term then */
	usec_t next_probe;
	usec_t called_at;
	unsigned calls;
	usec_t quiet_until; /* after a change that came to nothing */
	bool kept;	    /* the primary was kept */
	bool failing;	    /* it began since the primary fails statements */
} change_t;

/* Candidates kept for each service: two in our zone, and the homes of two others. */
#define HOME_CANDIDATES 4

/* Who holds a service's connections, in the order in which we ask; see home.h. */
typedef struct homes {
	void *parent;
	int64_t nodes_revision; /* of the roster's proxies that it follows from */
	const char *names[HOME_CANDIDATES];
	size_t len;   /* of names */
	size_t count; /* homes in the fleet */
} homes_t;

/* What the proxies see of a primary; see verdict_count(). */
typedef struct votes {
	size_t down;
	size_t alive;
	size_t failing; /* it answers, and fails a good part of the statements */
	size_t well;	/* alive, and does not */
} votes_t;

typedef struct service {
	list_t node;	     /* in pooler_t.services */
	list_t active;	     /* in pooler_t.active_services; see active.h */
	usec_t active_until; /* at least */
	UT_hash_handle hh;   /* in pooler_t.services_by_name */
	struct pooler *pooler;
	char *name;
	int64_t max_connections;
	list_t members;
	/* What the roster in use says, kept since every tick and message looks at all services. */
	roster_group_t *group;	/* NULL: nothing */
	struct member *primary; /* that it names; NULL: none, or it is not listed */
	line_t *lines;		/* by customer */
	list_t waiting;		/* caller_t.waiting, by priority, then by arrival */
	run_timer_t retry;	/* first attempt that is put off */
	bool dispatching;
	bool dispatch_again;
	freshness_t *freshness;	  /* NULL: no sample was taken yet */
	char *fresh_primary;	  /* the samples were taken there */
	usec_t changing_since;	  /* as the roster told; USEC_NEVER: not changing */
	usec_t change_end;	  /* when the change is expected to be over */
	usec_t settled_at;	  /* when the roster last named another primary */
	int64_t settled_revision; /* of that roster */
	change_t change;
	homes_t homes;
	struct {
		char *primary; /* NULL: nothing */
		bool changing;
		uint64_t term;
	} wanted;	  /* to be written to the roster */
	bool storing;	  /* a write with it is under way */
	votes_t reported; /* by other proxies, in the count of that number */
	uint64_t reported_in;
	usec_t doubted_at;    /* when the holder last said that its primary does not answer */
	usec_t served_others; /* when a statement of another proxy last came; 0: never */
	bool taken_up;	      /* the change under way was begun by another proxy */
	usec_t last_call;     /* to promote, by this process; 0: none */
	usec_t failing_until; /* a primary that fails statements is kept until then */
} service_t;

/* --- the fleet --- */

/* A request to another proxy to read from the store what is too large for a message. */
typedef struct read_hint {
	usec_t first_sent_at; /* when the request was first sent; 0: never */
	int64_t as_of;	      /* revision that the proxy had then; see peer_report_t.config_as_of */
} read_hint_t;

typedef struct peer_report {
	list_t node;
	UT_hash_handle hh; /* in sync_t.reports_by_name */
	char *name;
	uint64_t incarnation;
	usec_t received_at;
	int64_t revision;   /* of the roster that the proxy holds */
	int64_t fleet_size; /* proxies that it has seen on the roster for PERMIT_TOGETHER */
	char *down;
	char *alive;
	char *failing;
	char *in_use;
	uint64_t drained_incarnation; /* of its last process that announced its shutdown; 0: none
					 did */
	bool cut_off;		      /* its own calls to the store fail, as it reported */
	usec_t access_reported_at;    /* when cut_off was last reported; 0: never */
	usec_t unanswered_since; /* since a statement was forwarded to it and no message has come
				    from it; 0: none */
	list_t unanswered_node;	 /* in sync_t.unanswered_reports while unanswered_since is set */
	usec_t pinged_at;
	bool ping_answered; /* it has answered a ping, so there are links in both directions */
	usec_t declined_until;
	bool suspected;	      /* its silence was logged */
	usec_t listed_since;  /* when it first appeared on the roster */
	usec_t registered_at; /* when its latest process was seen to appear on the roster */
	usec_t agreed_at;     /* when a query was sent to which it answered that it holds no newer
				 roster than ours */
	usec_t gone_seen_at; /* when the roster was first seen to declare it gone; 0: it does not */
	int64_t gone_revision; /* of that roster */
	usec_t last_query_at;  /* when its last query to this proxy arrived; see upstream.h */
	usec_t querying_since; /* start of its current series of queries; 0: no need to ping it */
	bool pinged_silent;    /* it was pinged since its last query */
	int64_t config_as_of;  /* revision of the configuration that it has received, by its last
				  query */
	int64_t members_as_of;
	usec_t config_sent_at; /* when a configuration was last sent to it */
	read_hint_t config_hint;
	read_hint_t members_hint;
	usec_t members_sent_at; /* when all members were last sent to it as one text; 0: never */
	int64_t roster_sent_revision; /* revision of the roster last sent to it */
	usec_t roster_sent_at;
	usec_t query_unanswered_since; /* when the first query that it has not answered was sent; 0:
					  none */
	usec_t hub_avoided_until;      /* it is passed over as a hub until then */
	usec_t shard_owner_avoided_until; /* it is passed over as a shard owner until then; see
					     quota.h */
	usec_t gone_agreed_at; /* when enough proxies held the roster that declares it gone; 0: not
				  yet */
} peer_report_t;

/* The hubs of the fleet, worked out from the roster; see upstream.h. */
typedef struct hubs {
	void *parent; /* of the names; NULL: not worked out yet */
	int64_t nodes_revision;
	const char **names;
	size_t len;
	bool is_hub; /* this proxy is a hub */
} hubs_t;

/* The proxies to which an update is sent before they query for it. */
typedef enum { PUSH_NONE, PUSH_DOWNSTREAM, PUSH_ALL } push_scope_t;

typedef struct sync {
	roster_t *roster;	/* the newest that this proxy has received */
	size_t proxy_count;	/* of the roster */
	bool primary_changing;	/* a primary of the roster is about to change */
	usec_t adopted_at;	/* when the roster was received */
	bool groups_changed;	/* the last update of the roster changed a group */
	usec_t agreed_at;	/* when more than half of the fleet held no newer roster; see
				   permit_on_agreed() */
	usec_t peers_agreed_at; /* the same, as reported by another proxy */
	usec_t confirmed_at;	/* the store held this roster when a read sent at that time arrived;
				   USEC_NEVER: never */
	bool reading;
	usec_t read_sent_at;
	usec_t read_not_before;	 /* of the next read, after a failed one */
	bool roster_maybe_stale; /* the store may hold a newer roster than ours */
	int64_t era;		 /* newest era of the store that was seen; see kv.h */
	int64_t backup_revision; /* of the older roster in a store restored from a backup; 0: none;
				    see restore.h */
	bool rewriting_roster;	 /* the roster is being written in the new era */
	bool groups_current;	 /* no other proxy can hold newer groups than ours */
	usec_t lost_lease_until; /* when our lease that ended with its era would have run out */
	usec_t last_read_at;
	usec_t read_jitter;
	bool registering;
	bool join_requested; /* another proxy was asked to add us; if it does not, we write
				ourselves */
	usec_t join_started_at;
	bool join_conflict; /* our own write to join the roster conflicted with another one */
	usec_t join_requested_at;
	char *join_target;
	bool join_target_answered; /* join_target has answered since join_requested_at */
	unsigned join_requests;	   /* proxies asked to add us since our last own write */
	bool writing_groups;
	usec_t groups_write_next; /* when groups may be written next */
	bool adding_joiners;	  /* a write that adds joiners is in flight */
	list_t joiners;		  /* proxies that have asked to be added; see join.c */
	size_t joiner_count;
	usec_t query_next;
	unsigned queries_unsent;  /* queries in a row that were not sent, since there was no link */
	uint64_t reported_digest; /* digest of the reports in our last query, to detect changes */
	char *leader;		  /* the proxy that holds the leader lease; NULL: unknown */
	char *leader_address;
	uint64_t fencing_token;
	usec_t leader_seen_at; /* when the leader's last state arrived, here or at a proxy that
				  reported it */
	unsigned next_peer_index;
	char *contact; /* the proxy last heard from while we have no roster; NULL: none */
	char *contact_address;
	usec_t ping_silent_next; /* when downstream proxies that are silent are pinged next; see
				    upstream.h */
	hubs_t hubs;
	usec_t config_pushed_at;
	push_scope_t push_pending;
	usec_t push_next;
	bool config_push_pending; /* a new configuration is to be pushed */
	char *upstream;		  /* the hub or leader that was queried last */
	usec_t directory_as_of; /* configuration and members were current at that time; 0: never */
	/* Our own leader lease. */
	bool acquiring;
	uint64_t lease;
	int64_t lease_era;     /* era of the store that granted the lease */
	uint64_t former_lease; /* of an earlier process of this proxy, ended by us; 0: none */
	bool leading;
	uint64_t own_token;	      /* fencing token of our leadership */
	uint64_t former_token;	      /* fencing token of our previous leadership */
	usec_t other_leader_wrote_at; /* when a roster with a group written by another leader was
					 last received */
	usec_t lease_until; /* end of the lease by our clock, counted from when the last renewal was
			       sent */
	usec_t leading_since;
	usec_t unused_probe_next; /* when the next primary that nobody uses may be checked; see
				     verdict.c */
	uint64_t vote_round;	  /* number of counts of votes so far */
	usec_t votes_due;	  /* when votes are counted next */
	bool votes_changed; /* votes are counted now, since a proxy has reported another state */
	list_t *last_checked_service; /* last service that the leader checked; see duty.c */
	bool renewing;
	usec_t renew_next;
	usec_t acquire_not_before;
	list_t reports;		   /* peer_report_t */
	list_t unanswered_reports; /* reports of proxies with unanswered forwarded statements */
	peer_report_t *reports_by_name;
	/*
	 * Full reads of the directory are repeated, since a watch can miss changes without a sign.
	 */
	usec_t config_read_due;
	usec_t members_read_due;
	unsigned members_mismatches; /* states in a row whose list of members differs from ours */
} sync_t;

struct pooler {
	follow_t *config_follow; /* NULL: the directory is kept elsewhere */
	follow_t *members_follow;
	int64_t config_heard; /* newest version that another proxy has in force */
	const run_clock_t *clock;
	timer_set_t *timers;
	env_t *env;
	pooler_config_t config;
	routes_t *routes; /* in force; NULL before the first */
	list_t services;
	list_t members;
	list_t active_services;
	list_t active_members;
	/* Each tick and each answer to a question looks up the primary of every service. */
	service_t *services_by_name;
	member_t *members_by_id;
	uint64_t members_digest; /* of those that are listed, see refresh_members_digest() */
	list_t callers;
	list_t forwarded; /* caller_t.forwarded */
	uint64_t numbers; /* the last of pooler_next_number() */
	sync_t sync;
	proof_t config_proof; /* when routes was last known to be the newest; its keys count for a
				 time */
	keepers_t *keepers;   /* who counts customers' operations */
	int64_t keepers_from; /* roster_t.nodes_revision that it follows */
	struct quota *quota;
	struct relay *relay; /* to the store */
	outbox_t outbox;
	run_timer_t tick;
	run_timer_t more_hangups; /* sessions that are still to be closed */
	usec_t last_tick;
	usec_t tick_due; /* the next */
	usec_t started;
	usec_t last_permitted; /* 0: never */
	usec_t awake_since;    /* this process was found late at its timers; see on_tick() */
	summary_t summary;
	int64_t warm_for;    /* roster_t.nodes_revision whose homes there are links to */
	usec_t warm_up_next; /* look for homes without a link again */
	bool sweeping;	     /* the roster is being rid of proxies that are gone */
	bool draining;
	usec_t drain_started;
	bool closed; /* no new callers are taken */
	bool drained_told;
	uint64_t random;
};

static inline usec_t now_of(const pooler_t *pooler)
{
	return clock_now(pooler->clock);
}

/* What has begun needs a look soon; see active_is_busy(). */
void pooler_hasten(pooler_t *pooler);

/* Pseudo-random number below bound, from the pooler's seed. */
uint64_t pooler_random(pooler_t *pooler, uint64_t bound);

/*
 * Number of a question to another proxy, by which its answer is known. Never one of an earlier
 * process of this name, whose answers may still come.
 */
uint64_t pooler_next_number(pooler_t *pooler);

/* The service of this name, made if there is none. */
service_t *service_get(pooler_t *pooler, const char *name);

/* Note what the roster in use says of the service; NULL: nothing. */
void service_set_group(service_t *service, roster_group_t *group);

/* The customer's line at the service, made if there is none. */
line_t *service_line(service_t *service, const char *customer);

/* The member of this id, or NULL. */
member_t *member_find(const pooler_t *pooler, const char *id);
