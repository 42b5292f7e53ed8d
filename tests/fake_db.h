/*
 * Model of a database service of the users' platform: a primary, replicas that receive and apply
 * its log with delays, slots that run statements, a limit of connections, log positions. Sessions
 * speak the members' line protocol. Time comes from a clock and timers of the user, so that both
 * tests with a manual clock and a stand-in process can run the model.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "list.h"
#include "timer.h"

#define FAKE_MEMBERS_MAX 5

typedef struct fake_db_config {
	const char *service;
	size_t members;
	size_t slots; /* statements that a member runs at the same time */
	size_t max_connections;
	usec_t service_time;	  /* for which a read, write or commit occupies a slot */
	usec_t receive_delay;	  /* from a commit until a replica has received it */
	usec_t lag;		  /* from a commit until a replica has applied it */
	usec_t promote_delay;	  /* from the promotion call to its effect */
	usec_t connect_time;	  /* for which a new connection occupies a slot */
	bool numbered_signatures; /* replies are signed MEMBER.RUN instead of MEMBER */
} fake_db_config_t;

/* A committed write in the log of a member. */
typedef struct fake_entry {
	uint64_t term;
	uint64_t number; /* in the log, from 1 */
	usec_t at;
	char id[40]; /* of the statement that wrote the entry */
	char item[40];
	char data[64];
} fake_entry_t;

/* What happens to the next requests that begin with a word. */
typedef struct fake_fault {
	const char *word; /* such as "SET" or "BEGIN"; NULL: the fault is unused */
	const char *code; /* error code of the reply, and the request does not run; NULL: it runs */
	const char *state; /* transaction state that the reply tells; NULL: the true one */
	bool lost;	   /* the reply is not sent */
	usec_t delay;	/* by which the reply comes later, and all that follow on the connection */
	unsigned count; /* requests left */
} fake_fault_t;

#define FAKE_FAULTS_MAX 4

struct fake_db;

typedef struct fake_member {
	struct fake_db *db;
	char id[48];
	bool primary;
	bool stopped;  /* the process is down: sessions end, new ones fail */
	bool isolated; /* receives nothing from the primary and is not demoted */
	bool unlisted; /* its entry in the store has expired; proxies may still have it cached */
	bool leaving;  /* announced to the proxies as leaving for good */
	uint64_t term;
	fake_entry_t *log; /* talloc array */
	size_t log_len;
	size_t applied;	    /* of a replica: entries that reads have seen */
	usec_t *busy_until; /* per slot */
	size_t sessions;
	size_t sessions_opened;	   /* in total */
	unsigned lose_answers;	   /* the next N statements run, but get no reply */
	unsigned reset_answers;	   /* the next N run, then the connection is closed */
	unsigned refuse_begins;	   /* the next N BEGIN get ERR BUSY */
	unsigned refuse_runs;	   /* the next N statements that take a slot get ERR BUSY */
	usec_t extra_service_time; /* added to the service time */
	usec_t extra_lag;	   /* added to the lag */
	bool hides_position;	   /* its replies tell no position */
	unsigned fail_percent;	   /* percentage of statements that fail, spread evenly */
	const char *fail_code;	   /* error code of these failures; NULL: FAILED */
	fake_fault_t faults[FAKE_FAULTS_MAX];
	unsigned fail_accumulator; /* of fail_percent; a statement fails at 100 */
	usec_t demote_at;	   /* when a superseded primary becomes a replica */
} fake_member_t;

/* A statement that a member ran. */
typedef struct fake_run {
	usec_t at;
	char id[40];
	char text[96];
	char member[48];
	char customer[40];     /* for which the connection was opened */
	char values[96];       /* set in the session, "name value;" in order of SET */
	char min_position[24]; /* position that had to be applied, "" for none */
	uint64_t tx_number;    /* 0: outside a transaction */
	uint64_t run_number;   /* as in a numbered signature */
	char shape[40];	       /* text of the prepared statement, "" for none */
	char row[64];	       /* returned value, "" for none */
	uint64_t log_term;     /* last applied entry, 0.0 for none */
	uint64_t log_number;
} fake_run_t;

struct fake_events;

/* Callbacks for what the members do; with them, fake_db_t.runs stays empty. */
typedef struct fake_events_ops {
	void (*ran)(struct fake_events *events, const fake_run_t *run);
	void (*committed)(struct fake_events *events, const fake_member_t *member,
			  const fake_entry_t *entry);
	/* The member is primary of its new term, which begins after the last entry of its log. */
	void (*promoted)(struct fake_events *events, const fake_member_t *member);
} fake_events_ops_t;

typedef struct fake_events {
	const fake_events_ops_t *ops;
} fake_events_t;

typedef struct fake_db {
	fake_db_config_t config;
	const run_clock_t *clock;
	timer_set_t *timers;
	fake_member_t members[FAKE_MEMBERS_MAX];
	uint64_t term;
	uint64_t next_tx;
	fake_run_t *runs; /* talloc array in order of the runs; empty with events */
	size_t run_count;
	uint64_t run_number;
	fake_events_t *events; /* NULL: no callbacks */
	run_timer_t promote_timer;
	fake_member_t *promote_target;
	usec_t promoted_at; /* when the last promotion took effect; 0: none so far */
} fake_db_t;

/* Receives a reply of the member; text NULL: the member has closed the connection. */
typedef void (*fake_reply_t)(void *data, const char *text, size_t len);

typedef struct fake_session fake_session_t;

fake_db_t *fake_db_create(void *parent, const fake_db_config_t *config, const run_clock_t *clock,
			  timer_set_t *timers);

/* Opens a connection; its first line must be START. Returns NULL if the member is stopped. */
fake_session_t *fake_session_open(fake_member_t *member, fake_reply_t reply, void *data);

/* A line from the client, without its CR LF; the reply comes through the callback. */
void fake_session_receive_line(fake_session_t *session, const char *line, size_t len);

/* True while a transaction is open, also if it has failed. */
bool fake_session_in_transaction(const fake_session_t *session);

/* The client has closed the connection; an open transaction is rolled back. */
void fake_session_close(fake_session_t *session);

/*
 * Until fake_member_start() the member refuses new sessions and ends an open one at its next line.
 * The log is kept.
 */
void fake_member_stop(fake_member_t *member);
void fake_member_start(fake_member_t *member);

/* Stops the member for good; a new one with another id, not yet running, takes over its log. */
void fake_member_replace(fake_member_t *member, const char *id);

/*
 * Promotes the member after the promote delay, unless it is the primary already. Returns false if
 * the member is stopped.
 */
bool fake_db_promote(fake_db_t *db, fake_member_t *member);

/* The primary with the highest term, also if it is stopped; NULL if there is none. */
fake_member_t *fake_db_primary(fake_db_t *db);

/* NULL if the service has no member with this id. */
fake_member_t *fake_db_find_member(fake_db_t *db, const char *id);

/* Number of entries of the statement id in the log of the member. */
size_t fake_member_count_commits(fake_member_t *member, const char *id);

/* The last value of item in the log of the member, applied or not; NULL if there is none. */
const char *fake_member_last_value(fake_member_t *member, const char *item);
