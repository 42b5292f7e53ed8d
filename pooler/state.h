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
	UT_hash_handle hh; /* in service_t.customer_pools */
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
	int64_t slots; /* statements that the member runs at a time */
	bool leaving;
	usec_t leaving_since; /* USEC_NEVER / 2 while the member is not leaving */
	bool unlisted;	      /* the platform's list no longer has the member */
	usec_t unlisted_since;
	int64_t started_at; /* start time of its process from the member's entry; 0: unknown */
	bool claims_primary;
	usec_t claim_changed_at; /* when the member's entry last changed claims_primary */
	list_t conns;
	size_t conn_count;	   /* without probe connections */
	usec_t no_borrow_until;	   /* after the member refused a connection, this proxy opens none
				      beyond its share until then */
	usec_t connect_not_before; /* back-off after a failed connection attempt */
	/* Health as this proxy observes it. */
	usec_t last_reply_at;
	usec_t suspect_since; /* first sign of failure since the last reply; USEC_NEVER: none */
	bool down;	      /* a probe found that the member does not answer */
	conn_t *probe_conn;
	/* For the placement of reads. */
	usec_t response_time; /* smoothed time from sending a statement until its reply */
	position_t applied;   /* log position that the member has applied, from its last reply */
	usec_t applied_at;    /* when that reply arrived */
	usec_t lagged_at; /* when the member last had not applied the position that a read needed */
	outlier_t outlier;
	usec_t conn_lost_at; /* when a connection last broke while a statement ran on it */
	/* For changes of primary. */
	bool survey_answered;
	usec_t unused_probed_at; /* when verdict.c last had it probed for want of traffic, or since
				    others suspect it */
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
	list_t admission;   /* in quota_queue_t.waiting */
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
	const char *names[HOME_CANDIDATES];
	size_t len;	    /* number of names */
	size_t fleet_count; /* homes of the service in the whole fleet */
} homes_t;

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
	roster_group_t *group;	 /* NULL: none */
	struct member *primary;	 /* the primary of that group; NULL: none, or the platform's list
				    does not have it */
	line_t *customer_pools;	 /* by customer */
	list_t waiting;		 /* caller_t.waiting, by priority, then by arrival */
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
	struct {
		char *primary; /* NULL: none */
		bool changing;
		uint64_t term;
	} pending_write;	/* the group to be written to the roster */
	bool write_in_flight;	/* a store write that contains this group is in flight */
	votes_t reported_votes; /* reported by other proxies, in the counting round below */
	uint64_t reported_votes_round;
	usec_t suspected_at; /* when the leader last reported that the primary does not answer it */
	usec_t last_forward_at;	       /* when another proxy last forwarded a statement; 0: never */
	bool change_taken_over;	       /* another leader began the current change */
	usec_t last_promote_call_at;   /* last promote call by this process; 0: none */
	usec_t failing_cooldown_until; /* until then a primary is not replaced for failing
					  statements */
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
	int64_t fleet;	  /* proxies on it for PERMIT_LEASE_MAX, as that proxy knows */
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
	usec_t agreed_at;    /* enough proxies knew no newer roster then; see
				permit_update_quorum_confirmed() */
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
	list_t *watched_last; /* of the services, by the holder; see failover.c */
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
