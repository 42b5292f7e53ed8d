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
typedef struct customer_pool {
	UT_hash_handle hh; /* in service_t.lines */
	char *customer;
	size_t waiting; /* callers in service_t.waiting */
} customer_pool_t;

/* --- connections to members --- */

typedef enum {
	CONN_OPENING,
	CONN_IDLE,
	CONN_PREPARING,	   /* values, prepared names and BEGIN are being set up for a caller */
	CONN_RUNNING,	   /* the caller's statement is at the member */
	CONN_HELD,	   /* in the caller's transaction, the caller is thinking */
	CONN_ROLLING_BACK, /* our ROLLBACK is at the member */
	CONN_ORPHANED,	   /* the caller is gone or answered, the member is still at work */
	CONN_PROBING,	   /* asks for the member's status */
} conn_state_t;

/* Values that a session may set; far more than the users' applications do. */
#define VARIABLES_MAX 48
/* Requests of our own in one flight before a statement: RESET, values, a name, BEGIN. */
#define CONN_SETUP_MAX (VARIABLES_MAX + 3)

typedef struct conn {
	list_t node; /* in member_t.conns */
	struct member *member;
	customer_pool_t *customer_pool; /* NULL: a probe's, which runs no statement */
	void *link;			/* the environment's; NULL when gone */
	conn_state_t state;
	bool probe;
	bool has_served;    /* it has served a statement */
	usec_t state_since; /* of the state */
	usec_t ready_at;    /* when it was first ready */
	usec_t sent_at;	    /* of the last request */
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

typedef enum { TARGET_NONE, TARGET_PRIMARY, TARGET_ANY } statement_target_t;

/* What a caller that stands for another proxy's statement was asked for; see forward.h. */
typedef struct job {
	char *origin; /* the proxy */
	char *origin_address;
	uint64_t origin_incarnation;
	uint64_t request_number;
	uint64_t tx_number; /* its number of the transaction; 0: a lone statement */
	usec_t time_left;   /* from the job's arrival */
	bool done;	    /* the last result was sent */
} job_t;

typedef struct caller {
	list_t node; /* in pooler_t.callers */
	struct pooler *pooler;
	void *link; /* NULL: gone */
	char *database;
	key_digest_t key; /* with which the session began */
	char *customer;	  /* of the operation in progress; NULL: none was admitted yet */
	customer_pool_t *customer_pool; /* of the same */
	bool keyless;			/* its operation needs no key */
	bool key_revoked;		/* its key is no customer's any more, or another one's */
	list_t quota_node;		/* in allowance_t.waiting */
	variables_t variables;
	list_t prepared;
	bool has_commit;
	position_t commit; /* the session's last one */
	usec_t committed_at;
	/* Transaction. */
	tx_state_t tx;
	bool tx_read_only;
	bool tx_has_run; /* a statement of it has run at the member */
	bool tx_wrote;
	bool tx_lost;		    /* the connection was lost while the caller was thinking */
	bool closing;		    /* close it when its transaction ends */
	bool served_while_draining; /* a statement was answered since the shutdown began */
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
	list_t queue_node; /* in service_t.waiting */
	bool is_waiting;
	statement_target_t target;
	bool primary_only; /* a replica lacked the position */
	/* What the log of a replica must hold, decided when the statement was placed. */
	bool has_after;
	position_t after;
	unsigned attempts;
	const struct member *failed_member; /* of the last attempt; for comparison only */
	usec_t next_attempt_at;		    /* of the next attempt */
	prepared_t *exec;		    /* of an EXEC */
	/* While another proxy runs the statement. */
	list_t forwarded_node;	 /* in pooler_t.forwarded */
	uint64_t forward_number; /* 0: it is not */
	usec_t forwarded_at;
	char *helper;	    /* that proxy, or the last one that did */
	uint64_t remote_tx; /* number of the transaction that is at the helper; 0: none is */
	job_t *job;	    /* NULL: a caller of our own */
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
	follow_t *config_follow; /* NULL: the directory is kept elsewhere */
	follow_t *members_follow;
	int64_t newest_config_version; /* newest version that another proxy has in force */
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
	list_t forwarded;     /* caller_t.forwarded */
	uint64_t last_number; /* the last of pooler_next_number() */
	sync_t sync;
	proof_t config_validity; /* when routes was last known to be the newest; its keys count for
				 a time */
	keepers_t *shard_owners; /* who counts customers' operations */
	int64_t shard_owners_revision; /* roster_t.nodes_revision that it follows */
	struct quota *quota;
	struct relay *relay; /* to the store */
	outbox_t outbox;
	run_timer_t tick;
	run_timer_t hangup_timer; /* sessions that are still to be closed */
	usec_t last_tick;
	usec_t tick_due; /* the next */
	usec_t started;
	usec_t last_permitted; /* 0: never */
	usec_t resumed_at;     /* this process was found late at its timers; see on_tick() */
	summary_t summary;
	int64_t connected_homes_revision; /* roster_t.nodes_revision whose homes there are links to
					   */
	usec_t next_home_connect_at;	  /* look for homes without a link again */
	bool sweeping;			  /* the roster is being rid of proxies that are gone */
	bool draining;
	usec_t drain_started;
	bool accept_stopped; /* no new callers are taken */
	bool drained_reported;
	uint64_t random;
};

static inline usec_t now_of(const pooler_t *pooler)
{
	return clock_now(pooler->clock);
}

/* What has begun needs a look soon; see active_needs_fast_tick(). */
void pooler_hasten_tick(pooler_t *pooler);

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
customer_pool_t *service_customer_pool(service_t *service, const char *customer);

/* The member of this id, or NULL. */
member_t *member_find(const pooler_t *pooler, const char *id);
