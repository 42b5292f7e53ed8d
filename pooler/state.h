/* Internal structures of the pooler; only its own modules include this header. */
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
 * The waiting callers and the connections of one customer at one service. A connection names its
 * customer to the member when it is opened, so it belongs to one customer pool for good and never
 * runs statements of another customer.
 */
typedef struct customer_pool {
	UT_hash_handle hh; /* in service_t.lines */
	char *customer;
	size_t waiting; /* callers in service_t.waiting */
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
} conn_state_t;

/* Maximum number of values that a session may set; applications set far fewer. */
#define VARIABLES_MAX 48
/* Maximum number of set-up requests before a statement: RESET, values, one PREPARE, BEGIN. */
#define CONN_SETUP_MAX (VARIABLES_MAX + 3)

typedef struct conn {
	list_t node; /* in member_t.conns */
	struct member *member;
	customer_pool_t *customer_pool; /* NULL for a probe, which runs no statements */
	void *link;			/* connection handle of the environment (env_t) */
	conn_state_t state;
	bool probe;
	bool has_served;    /* has run at least one statement */
	usec_t state_since; /* when the present state began */
	usec_t ready_at;    /* when the member accepted the connection */
	usec_t sent_at;	    /* when the last request was sent */
	struct caller *caller;
	variables_t variables;
	char **prepared; /* talloc array: aliases prepared on this connection */
	size_t prepared_count;
	request_kind_t setup[CONN_SETUP_MAX]; /* set-up requests sent, in order */
	size_t setup_len;
	size_t setup_done;
	code_t setup_code; /* first error among the set-up replies */
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

/* Which members may run a statement; TARGET_NONE: the proxy answers it itself. */
typedef enum { TARGET_NONE, TARGET_PRIMARY, TARGET_ANY } statement_target_t;

/* A request of another proxy to run a statement or transaction for its caller; see job.h. */
typedef struct job {
	char *origin; /* name of the proxy that sent the request */
	char *origin_address;
	uint64_t origin_incarnation;
	uint64_t request_number;
	uint64_t tx_number; /* transaction number chosen by the origin; 0: no transaction */
	usec_t time_left;   /* until the statement's deadline, counted from arrival here */
	bool done;	    /* the result that ends the job was sent */
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
	list_t quota_node;		/* in allowance_t.waiting */
	variables_t variables;
	list_t prepared;
	bool has_commit;
	position_t commit; /* log position of the session's last commit */
	usec_t committed_at;
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
	bool is_waiting;
	statement_target_t target;
	bool primary_only; /* a replica refused: its log lacked the position in after */
	/* Position that a replica must have applied, set when a member is chosen. */
	bool has_after;
	position_t after;
	unsigned attempts;
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
	void *parent;		/* of the names; NULL: not worked out yet */
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
	customer_pool_t *lines; /* by customer */
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

/* A proxy was told to read from the store what it lacks. */
typedef struct reading_hint {
	usec_t at;     /* the first time; 0: it was not */
	int64_t since; /* what it knew then, see peer_report_t.config_at */
} reading_hint_t;

typedef struct peer_report {
	list_t node;
	UT_hash_handle hh; /* in sync_t.by_name */
	char *name;
	uint64_t incarnation;
	usec_t heard_at;
	int64_t revision; /* of the roster it holds */
	int64_t fleet;	  /* proxies on it for PERMIT_TOGETHER, as that proxy knows */
	char *down;
	char *alive;
	char *failing;
	char *in_use;
	uint64_t drained_as;	 /* its last process that said it shuts down; 0: none did */
	bool cut_off;		 /* the store does not serve it, as it said */
	usec_t access_at;	 /* when it said so, or the contrary; 0: never */
	usec_t unanswered_since; /* it was handed a statement, and not heard since; 0: none */
	list_t awaited;		 /* in sync_t.awaited, since then */
	usec_t pinged_at;
	bool ponged; /* it has answered, so there are links both ways */
	usec_t declined_until;
	bool suspected;	       /* as was logged */
	usec_t listed_since;   /* when the roster was first seen to name it */
	usec_t entered_at;     /* when it was last seen to have put itself there */
	usec_t agreed_at;      /* when it was asked and knew no newer roster than ours */
	usec_t gone_seen;      /* when the roster was first seen to call it gone; 0: it does not */
	int64_t gone_revision; /* of the roster seen then */
	usec_t asked_us_at;    /* its last question to this proxy; see upstream.h */
	usec_t asked_us_from;  /* the first of a row of them; 0: it need not be called */
	bool called;	       /* since it fell silent */
	int64_t config_at;     /* what it has been told of the directory, as it said then */
	int64_t members_at;
	usec_t config_told_at; /* when it was last told a configuration */
	reading_hint_t config_hint;
	reading_hint_t members_hint;
	usec_t members_packed_at; /* when it was last told all members as one text; 0: never */
	int64_t roster_told;	  /* the revision of the roster that it was last told */
	usec_t roster_told_at;	  /* when */
	usec_t asked_since;	  /* the first question to it that it has not answered; 0: none */
	usec_t avoided_until;	  /* as a hub */
	usec_t passed_over_until; /* as a keeper; see quota.h */
	usec_t gone_known;	  /* when enough proxies knew that roster; 0: not yet */
} peer_report_t;

/* The hubs of the fleet; see upstream.h. */
typedef struct hubs {
	void *parent; /* of the names; NULL: not worked out yet */
	int64_t nodes_revision;
	const char **names;
	size_t len;
	bool is_hub; /* this proxy is one */
} hubs_t;

/* Who is to be told news at once. */
typedef enum { PUSH_NONE, PUSH_LISTENERS, PUSH_ALL } push_t;

typedef struct sync {
	roster_t *roster;    /* the newest known */
	size_t proxies;	     /* on it */
	bool changing;	     /* it has a primary that is about to change */
	usec_t adopted_at;   /* when it came */
	bool groups_changed; /* by it */
	usec_t agreed_at;    /* enough proxies knew no newer roster then; see permit_on_agreed() */
	usec_t agreed_told;  /* the same, as another proxy knows it */
	usec_t confirmed_at; /* the store held it when asked at this time; USEC_NEVER: never */
	bool reading;
	usec_t read_sent;
	usec_t read_after; /* back-off */
	bool behind;	   /* the store may hold a newer roster than ours */
	int64_t era;	   /* newest of the store that is known */
	int64_t restored;  /* revision of the copy that the store holds; 0: none; see restore.h */
	bool restoring;	   /* the roster is being written in the new era */
	bool groups_known; /* no other proxy can know newer ones */
	usec_t led_until;  /* when our lease would have ended that went with its era */
	usec_t last_read_ok;
	usec_t read_jitter;
	bool registering;
	bool join_asked; /* the holder was asked to add us, and our own write comes next */
	usec_t join_began;
	bool join_failed; /* our own write to get on the roster met another one */
	usec_t join_asked_at;
	char *join_asked_of;
	bool join_answered;  /* by that proxy, since then */
	unsigned join_tries; /* proxies asked since our last own write */
	bool storing;	     /* groups are being written */
	usec_t store_next;   /* the next such write */
	bool adding;	     /* others to the roster */
	list_t joiners;	     /* that have asked for it; see join.c */
	size_t joiner_count;
	usec_t ask_next;
	unsigned ask_unsent; /* questions in a row that were not sent, for want of a link */
	uint64_t told; /* digest of what the last question reported, to report changes at once */
	char *holder;  /* who holds the duty */
	char *holder_address;
	uint64_t fence;
	usec_t holder_heard; /* its last answer */
	unsigned next_peer;
	char *contact; /* who was heard last while no roster is known; NULL: nobody */
	char *contact_address;
	usec_t call_next; /* to listeners that have fallen silent; see upstream.h */
	hubs_t hubs;
	usec_t config_pushed_at;
	push_t push_wanted;
	usec_t push_next;
	bool config_news;    /* those that ask this proxy are to be told at once */
	char *upstream;	     /* who was asked last */
	usec_t directory_at; /* configuration and members were known to be current then */
	/* Our own hold on the duty. */
	bool acquiring;
	uint64_t lease;
	int64_t lease_era;     /* of the store that granted it */
	uint64_t former_lease; /* of an earlier life of this process, that was ended; 0: none */
	bool holding;
	uint64_t own_fence;    /* of our hold */
	uint64_t past_fence;   /* of our hold before */
	usec_t foreign_change; /* when another holder last wrote a group to the roster */
	usec_t hold_until;     /* by our clock, from the sending of the last renewal */
	usec_t held_since;
	usec_t unused_next; /* when one more primary that nobody uses may be asked; see verdict.c */
	uint64_t votes_count; /* counts of votes so far */
	usec_t votes_due;     /* the next one */
	bool votes_differ;    /* it is due now, since somebody reports trouble */
	list_t *watched_last; /* of the services, by the holder; see duty.c */
	bool renewing;
	usec_t renew_next;
	usec_t acquire_after;
	list_t reports; /* peer_report_t */
	list_t awaited; /* of these, those with unanswered statements */
	peer_report_t *by_name;
	/* Reading the directory again, since a watch can miss changes without a sign. */
	usec_t config_due;
	usec_t members_due;
	unsigned members_differ; /* answers in a row with another list than ours */
} sync_t;

struct pooler {
	follow_t *config_follow; /* NULL: this pooler does not follow the directory itself */
	follow_t *members_follow;
	int64_t newest_config_version; /* newest version that another proxy reported */
	const run_clock_t *clock;
	timer_set_t *timers;
	env_t *env;
	pooler_config_t config;
	routes_t *routes; /* in force; NULL before the first */
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
	proof_t config_validity;
	keepers_t *shard_owners;       /* proxies that count the customers' operations */
	int64_t shard_owners_revision; /* roster_t.nodes_revision that shard_owners is made from */
	struct quota *quota;
	struct relay *relay; /* access to the store, directly or through a peer */
	outbox_t outbox;
	run_timer_t tick;
	run_timer_t hangup_timer; /* closes the next batch of sessions */
	usec_t last_tick;
	usec_t tick_due; /* when the next tick is due */
	usec_t started;
	usec_t last_permitted; /* when a permission was last in force; 0: never */
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
