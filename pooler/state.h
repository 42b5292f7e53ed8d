/* Internal structures of the pooler; only its own modules include this header. */
#pragma once

#include "own_commits.h"
#include "conn_use.h"
#include "follow.h"
#include "estimate.h"
#include "freshness.h"
#include "shard_owners.h"
#include "loan.h"
#include "outbox.h"
#include "outlier.h"
#include "pooler.h"
#include "prepared.h"
#include "cache_validity.h"
#include "reason.h"
#include "retry_budget.h"
#include "roster.h"
#include "rtt.h"
#include "setup.h"
#include "startup.h"
#include "summary.h"
#include "variables.h"
#include "wait_queue.h"

struct member;
struct service;

/* --- customers --- */

/*
 * The waiting callers and the connections of one customer at one service. A connection names its
 * customer to the member when it is opened, so it belongs to one customer pool for good and never
 * runs statements of another customer.
 */
typedef struct customer_pool {
	UT_hash_handle hh; /* in service_t.customer_pools */
	char *customer;
	size_t waiting; /* callers in service_t.waiting */
	usage_t usage;	/* work that members have done for it through this proxy */
} customer_pool_t;

/* --- connections to members --- */

typedef enum {
	CONN_OPENING,
	CONN_IDLE,
	CONN_PREPARING,	   /* session values, a prepared name or BEGIN are being set up */
	CONN_RUNNING,	   /* the caller's statement is at the member */
	CONN_HELD,	   /* reserved for an open transaction between two statements */
	CONN_ROLLING_BACK, /* a ROLLBACK sent by this proxy is at the member */
	CONN_ORPHANED,	   /* caller gone or answered; the member still runs its statement */
	CONN_PROBING,	   /* a status query is at the member */
	CONN_STATES,	   /* number of states */
} conn_state_t;

typedef struct conn {
	list_t node; /* in member_t.conns */
	struct member *member;
	uint64_t number;		/* of those opened to the member, from 1 */
	customer_pool_t *customer_pool; /* NULL for a probe, which runs no statements */
	conn_use_t *use;		/* that customer's use of the member; NULL for a probe */
	void *link;			/* connection handle of the environment (env_t) */
	conn_state_t state;
	bool probe;
	bool has_served;    /* has run at least one statement */
	bool marked;	    /* conn_close_marked() is about to close it; it serves no caller */
	conn_end_t end;	    /* why it is closed; CONN_END_NONE: it was lost */
	usec_t taken_at;    /* when a caller last took it; 0: it is not in use */
	usec_t state_since; /* when the present state began */
	usec_t ready_at;    /* when the member accepted the connection */
	usec_t sent_at;	    /* when the last request was sent */
	struct caller *caller;
	variables_t variables;
	char **prepared; /* talloc array: aliases prepared on this connection */
	size_t prepared_count;
	setup_t setup;
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
	int64_t slots; /* statements that the member runs at a time */
	bool leaving;
	usec_t leaving_since; /* USEC_NEVER / 2 while the member is not leaving */
	bool unlisted;	      /* the platform's list no longer has the member */
	usec_t unlisted_since;
	usec_t invalid_since; /* when its entry became invalid; 0: it is valid */
	int64_t started_at;   /* start time of its process from the member's entry; 0: unknown */
	int64_t revision;     /* of the member's entry in the store */
	bool claims_primary;
	usec_t claim_changed_at; /* when the member's entry last changed claims_primary */
	list_t conns;
	uint64_t last_conn_number; /* of the connection that was opened last */
	size_t conn_count;	   /* without probe connections */
	conn_use_t *conn_uses;	   /* by customer pool */
	usec_t no_borrow_until;	   /* after the member refused a connection, this proxy opens none
				      beyond its share until then */
	usec_t connect_not_before; /* back-off after a failed connection attempt */
	usec_t opening_timeout;	   /* time that the member has for accepting a connection; see
				      member.c */
	/* Health as this proxy observes it. */
	usec_t last_reply_at;
	usec_t suspect_since; /* first sign of failure since the last reply; USEC_NEVER: none */
	bool down;	      /* a probe found that the member does not answer */
	conn_t *probe_conn;
	/* For the placement of reads. */
	usec_t response_time;	   /* smoothed time from sending a statement until its reply */
	usec_t response_deviation; /* its smoothed deviation */
	position_t applied; /* log position that the member has applied, from its last reply */
	usec_t applied_at;  /* when that reply arrived */
	usec_t lagged_at; /* when the member last had not applied the position that a read needed */
	outlier_t outlier;
	usec_t conn_lost_at; /* when a connection last broke while a statement ran on it */
	/* For changes of primary. */
	bool survey_answered;
	usec_t unused_probed_at; /* when verdict.c last had the member probed, because the member
				    had no traffic or other proxies suspect it */
	member_status_t status;
	loan_book_t *loans;    /* see room.h; NULL: none were made yet */
	usec_t room_lacked_at; /* when callers last waited at a tick while this proxy might send the
				  member no more statements; 0: never */
} member_t;

/* --- callers --- */

/* Which members may run a statement; TARGET_NONE: the proxy answers it itself. */
typedef enum { TARGET_NONE, TARGET_PRIMARY, TARGET_ANY } statement_target_t;

/* A request of another proxy to run a statement or transaction for its caller; see job.h. */
typedef struct job {
	char *origin; /* name of the proxy that sent the request */
	char *origin_address;
	uint64_t origin_incarnation;
	uint64_t request_number;
	uint64_t tx_number;	 /* transaction number chosen by the origin; 0: no transaction */
	struct service *service; /* where the origin has it run; NULL: the origin did not say */
	usec_t time_left;	 /* until the statement's deadline, counted from arrival here */
	bool done;		 /* the result that ends the job was sent */
} job_t;

typedef struct caller {
	list_t node; /* in pooler_t.callers */
	struct pooler *pooler;
	void *link; /* connection handle of the environment (env_t), or the job */
	char *database;
	key_digest_t key; /* digest of the key that the session began with */
	char *customer;	  /* of the last admitted operation; NULL: none was admitted yet */
	customer_pool_t *customer_pool; /* of that customer at the route's service */
	bool keyless;			/* the route of the last operation requires no key */
	bool key_revoked;		/* the key now belongs to no customer, or to another one */
	list_t quota_node;		/* in quota_queue_t.waiting */
	variables_t variables;
	list_t prepared;
	own_commits_t own_commits;
	/* Transaction. */
	tx_state_t tx;
	bool tx_read_only;
	bool tx_has_run; /* a statement of the transaction has run at the member */
	bool tx_wrote;
	bool tx_lost;		    /* the connection was lost between two statements */
	bool closing;		    /* the session is closed when its transaction ends */
	bool served_while_draining; /* the last operation was answered during the shutdown */
	conn_t *conn;
	/*
	 * Copy of the route of the current transaction or statement: a new configuration applies
	 * to the next one.
	 */
	struct service *service;
	reads_t reads;
	usec_t max_age;
	usec_t timeout;
	usec_t objective;
	int64_t priority;
	/* Statement in progress. */
	bool busy;
	statement_t statement;
	char *text; /* buffer that the slices of statement point into */
	usec_t received_at;
	usec_t placed_at; /* when a connection or another proxy was found for the statement */
	usec_t deadline;
	run_timer_t timer;
	usec_t idle_since;
	list_t queue_node; /* in service_t.waiting */
	waiter_t waiter;   /* in service_t.queue */
	bool is_waiting;
	statement_target_t target;
	bool primary_only; /* a replica refused: its log lacked the position in after */
	/* Position that a replica must have applied, set when a member is chosen. */
	bool has_after;
	position_t after;
	unsigned attempts;
	bool retry_denied;		    /* counted and logged for this statement */
	const struct member *failed_member; /* where it last failed; only compared, never read */
	usec_t next_attempt_at;		    /* earliest time of the next attempt */
	prepared_t *exec;		    /* the prepared statement that an EXEC names */
	/* While another proxy runs the statement. */
	list_t forwarded_node;	 /* in pooler_t.forwarded */
	uint64_t forward_number; /* number of the request; 0: not forwarded */
	usec_t forwarded_at;
	char *helper;	    /* proxy that runs, or last ran, a statement of this session */
	uint64_t remote_tx; /* number of the transaction open at the helper; 0: none */
	job_t *job;	    /* set if the caller serves another proxy; NULL: connected here */
} caller_t;

/* --- services --- */

/* The steps of a change of primary; only the leader carries them out. */
typedef enum {
	CHANGE_NONE,
	CHANGE_MARKING,	   /* writing to the roster that the primary is about to change */
	CHANGE_RELEASING,  /* waiting until every proxy has stopped using the old primary */
	CHANGE_SURVEYING,  /* querying the members for their log positions */
	CHANGE_PROMOTING,  /* a call to the platform to promote the target is in flight */
	CHANGE_VERIFYING,  /* waiting until the target reports that it is the primary */
	CHANGE_COMMITTING, /* writing the new primary to the roster */
} change_step_t;

typedef struct change {
	change_step_t step;
	usec_t started;
	usec_t step_since;
	bool write_pending; /* the roster group is not written yet */
	bool planned;	    /* the old primary still answered when the change began */
	int64_t marked_revision;
	usec_t marked_at;
	usec_t minority_since; /* when the proxies that had not released the primary became too few
				  to extend their permission by quorum */
	char *target;
	uint64_t new_term;	   /* of the target as primary */
	usec_t promote_not_before; /* until then a call by an earlier leader may still take effect;
				      0: no such call */
	bool may_have_promoted;	   /* a call to promote may have taken effect, or still may */
	bool target_was_primary; /* the target reported itself as primary before the call already */
	uint64_t target_old_term; /* the target's term before the call */
	usec_t next_probe;
	usec_t promote_called_at;
	unsigned promote_calls;
	usec_t cooldown_until; /* after a cancelled change */
	bool primary_kept;     /* the change was cancelled: the old primary stays */
	bool due_to_failures;  /* the change began because the primary failed statements */
} change_t;

/* Home candidates of each service: two in this proxy's zone, and the homes of two other zones. */
#define HOME_CANDIDATES 4

/*
 * The proxies that may hold the connections to a service's members, in the order in which this
 * proxy tries them; see home.h.
 */
typedef struct homes {
	void *parent;		/* talloc context of the names; NULL: not computed yet */
	int64_t nodes_revision; /* roster_t.nodes_revision from which the candidates were computed
				 */
	int64_t config_version; /* version of the configuration with whose services they were */
	const char *names[HOME_CANDIDATES];
	int64_t share; /* processor share of the first one in percent of a core; 0: not reported */
	size_t len;    /* number of names */
	size_t fleet_count; /* homes of the service in the whole fleet */
} homes_t;

/* Requests for loans whose answers are awaited, for as long as a loan may be used. */
#define LOAN_REQUESTS_MAX 4

/* Requests for loans of one service; see loan_exchange.h. */
typedef struct loan_requests {
	struct {
		uint64_t number; /* 0: none */
		usec_t sent_at;
	} sent[LOAN_REQUESTS_MAX];
	size_t count;	   /* sent so far */
	usec_t next_at;	   /* when the next one may be sent */
	usec_t spacing;	   /* between the last one and the next */
	bool was_answered; /* something was lent since the last one */
} loan_requests_t;

/* How many proxies report each state of a primary; see verdict_count_votes(). */
typedef struct votes {
	size_t down;
	size_t alive;
	size_t failing; /* the primary answers, but fails a substantial part of the statements */
	size_t healthy; /* alive and not failing */
} votes_t;

typedef struct service {
	list_t node;	     /* in pooler_t.services */
	list_t active;	     /* in pooler_t.active_services; see active.h */
	usec_t active_until; /* active until then at least */
	UT_hash_handle hh;   /* in pooler_t.services_by_name */
	struct pooler *pooler;
	char *name;
	int64_t max_connections;
	list_t members;
	/*
	 * The service's group in the current roster; cached, since every tick and message goes
	 * through all services.
	 */
	roster_group_t *group;	/* NULL: none */
	struct member *primary; /* the primary of that group; NULL: none, or the platform's list
				   does not have it */
	customer_pool_t *customer_pools; /* by customer */
	list_t waiting;			 /* caller_t.queue_node, in order of arrival */
	wait_queue_t *queue;		 /* the same callers in the order of service */
	list_t estimates;		 /* route_estimate_t, by database */
	retry_budget_t retry_budget;
	/*
	 * Since when statements that can meet their objective have been waiting without
	 * interruption while all usable members, or the primary, had no slot left; 0: none wait.
	 */
	usec_t members_busy_since;
	usec_t primary_busy_since;
	double refused_part;	 /* smoothed: of the statements that arrived, those refused */
	run_timer_t retry_timer; /* first delayed attempt of a waiting statement */
	bool dispatching;
	bool dispatch_again;
	freshness_t *freshness;	 /* NULL: no samples yet */
	char *freshness_primary; /* id of the member that the samples are from */
	usec_t changing_since;	 /* when the roster marked the primary as changing; USEC_NEVER: not
				    changing */
	usec_t change_expected_end; /* when the current change is expected to end */
	usec_t primary_since;	    /* when the roster last named a new primary */
	int64_t primary_revision;   /* revision of that roster */
	change_t change;
	homes_t homes;
	loan_requests_t loan_requests;
	struct {
		char *primary; /* NULL: none */
		bool changing;
		uint64_t term;
	} pending_write;	/* the group to be written to the roster */
	bool write_in_flight;	/* a store write that contains this group is in flight */
	votes_t reported_votes; /* reported by other proxies, in the counting round below */
	uint64_t reported_votes_round;
	usec_t suspected_at; /* when the leader last reported that the primary does not answer it */
	usec_t state_logged_at;	       /* when member_state_log() last wrote; 0: never */
	usec_t last_forward_at;	       /* when another proxy last forwarded a statement; 0: never */
	bool change_taken_over;	       /* another leader began the current change */
	usec_t last_promote_call_at;   /* last promote call by this process; 0: none */
	usec_t failing_cooldown_until; /* until then a primary is not replaced for failing
					  statements */
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
	int64_t fleet_size; /* proxies that it has seen on the roster for PERMIT_LEASE_MAX */
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
	usec_t pinged_at;	 /* when a ping was last sent to it */
	usec_t ping_unanswered_since; /* when the first ping that it has not answered was sent; 0:
					 none */
	usec_t awaited_since; /* since when it has answered none of our forwarded statements and no
	ping; 0: none is forwarded */
	usec_t unread_since; /* when the first ping was sent since which it has answered nothing; 0:
				none */
	usec_t unsent_since; /* since when no message to it could be sent; 0: the last one was */
	unsigned unsent_count; /* messages not sent for want of a link, since its last message */
	bool lacks_link;       /* it is pinged as soon as there is a link to it */
	bool link_requested;   /* a link ahead of use is being made; see liveness_connect() */
	bool ping_makes_link;  /* the unanswered ping was the first over a new link */
	rtt_t rtt;	       /* of pings over links that were there */
	usec_t measured_at;    /* when a sample was last added to rtt */
	bool ping_answered;    /* it has answered a ping, so there are links in both directions */
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

/* The hubs of the fleet, computed from the roster; see upstream.h. */
typedef struct hubs {
	void *parent; /* talloc context of the names; NULL: not computed yet */
	int64_t nodes_revision;
	const char **names;
	size_t len;
	bool is_hub; /* this proxy is a hub */
} hubs_t;

/* The proxies to which an update is sent before they query for it; see push.h. */
typedef enum { PUSH_NONE, PUSH_DOWNSTREAM, PUSH_ALL } push_scope_t;

typedef struct sync {
	roster_t *roster;	/* the newest one that this proxy has received */
	size_t proxy_count;	/* proxies on the roster, including those declared gone */
	bool primary_changing;	/* a primary of the roster is about to change */
	usec_t adopted_at;	/* when the roster was received */
	bool groups_changed;	/* the last update of the roster changed a group */
	usec_t agreed_at;	/* when more than half of the fleet held no newer roster; see
				   permit_update_quorum_confirmed() */
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
	bool join_requested; /* another proxy was asked to add us to the roster; if it does not,
				we write our own entry */
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
	unsigned queries_unsent;  /* consecutive queries that were not sent for lack of a link */
	uint64_t reported_digest; /* digest of the reports in our last query, to detect changes */
	char *leader;		  /* the proxy that holds the leader lease; NULL: unknown */
	char *leader_address;
	uint64_t fencing_token;
	usec_t leader_seen_at; /* when the leader's last state arrived, here or at a proxy that
				  reported it */
	unsigned next_peer_index;
	char *contact; /* sender of the last message received while we have no roster; NULL: none */
	char *contact_address;
	usec_t ping_silent_next; /* when silent downstream proxies are pinged next; see
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
	list_t *last_checked_service; /* last service that the leader checked; see failover.c */
	bool renewing;
	usec_t renew_next;
	usec_t acquire_not_before;
	list_t reports;		   /* peer_report_t */
	list_t unanswered_reports; /* reports of proxies with unanswered forwarded statements */
	peer_report_t *reports_by_name;
	/*
	 * Full reads of the directory are repeated, since a watch can miss changes without an
	 * error.
	 */
	usec_t config_read_due;
	usec_t members_read_due;
	unsigned members_mismatches; /* consecutive states with a list of members other than ours */
} sync_t;

struct pooler {
	follow_t *config_follow; /* NULL: this pooler does not follow the directory itself */
	follow_t *members_follow;
	int64_t newest_config_version; /* newest version that another proxy reported */
	const run_clock_t *clock;
	timer_set_t *timers;
	env_t *env;
	pooler_config_t config;
	routes_t *routes; /* configuration in force; NULL: none was received yet */
	list_t services;
	list_t members;
	list_t active_services;
	list_t active_members;
	/* Hashed, since each tick and each peer query looks up the primary of every service. */
	service_t *services_by_name;
	member_t *members_by_id;
	uint64_t members_digest; /* of the listed members; see refresh_member_digest() */
	list_t callers;
	list_t forwarded;     /* callers whose statement another proxy runs */
	uint64_t last_number; /* last value returned by pooler_next_number() */
	sync_t sync;
	/* When routes was last confirmed as the newest; its keys are valid for a limited time. */
	cache_validity_t config_validity;
	shard_owners_t *shard_owners;  /* proxies that count the customers' operations */
	int64_t shard_owners_revision; /* roster_t.nodes_revision that shard_owners is made from */
	struct quota *quota;
	struct relay *relay; /* access to the store, directly or through a peer */
	outbox_t outbox;
	run_timer_t tick;
	run_timer_t join_timer;	  /* repeats a message of join.c that lacked a link */
	run_timer_t link_timer;	  /* pings peers without a link; see liveness.h */
	run_timer_t hangup_timer; /* closes the next batch of sessions */
	usec_t last_tick;
	usec_t tick_due; /* when the next tick is due */
	usec_t started;
	startup_t startup;
	usec_t last_permitted; /* when a permission was last in force; 0: never */
	unsigned late_ticks;   /* in a row, up to the present one */
	usec_t resumed_at;     /* when a tick last ran late, after a stall; see on_tick() */
	summary_t summary;
	int64_t connected_homes_revision; /* nodes_revision at the last connecting to homes */
	usec_t next_home_connect_at;	  /* when to connect to homes without a link */
	bool sweeping; /* proxies marked as gone are being removed from the roster */
	bool draining;
	usec_t drain_started;
	bool accept_stopped; /* new connections of callers are no longer accepted */
	bool drained_reported;
	uint64_t random; /* state of pooler_random() */
};

static inline usec_t now_of(const pooler_t *pooler)
{
	return clock_now(pooler->clock);
}

/* Makes the next tick come within the short interval, since work has begun; see active.h. */
void pooler_hasten_tick(pooler_t *pooler);

/* Returns a pseudo-random number below bound, derived from the pooler's seed. */
uint64_t pooler_random(pooler_t *pooler, uint64_t bound);

/*
 * Returns a number for a request to another proxy; the answer carries the same number. An earlier
 * process of this name never used it, so a late answer to that process matches no request.
 */
uint64_t pooler_next_number(pooler_t *pooler);

/* Returns the service of this name, creating it if needed. */
service_t *service_get(pooler_t *pooler, const char *name);

/* Sets the service's entry in the roster in use; NULL if the roster has none. */
void service_set_group(service_t *service, roster_group_t *group);

/* Returns the customer's pool at the service, creating it if needed. */
customer_pool_t *service_customer_pool(service_t *service, const char *customer);

/* Returns the member of this id, or NULL. */
member_t *member_find(const pooler_t *pooler, const char *id);
