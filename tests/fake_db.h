/*
 * A database service as the platform's members serve it: a primary, replicas
 * that receive and apply later, slots, a limit of connections, positions. It
 * speaks the members' wire in lines and takes its time from a clock and timers,
 * so that it serves tests in paused time and a stand-in process alike.
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
	size_t slots;
	size_t max_connections;
	usec_t service_time;	  /* of a read, write or commit */
	usec_t receive_delay;	  /* until a replica has a commit */
	usec_t lag;		  /* until it has applied it */
	usec_t promote_delay;	  /* from the call to its effect */
	usec_t connect_time;	  /* of a slot, to take a connection */
	bool numbered_signatures; /* each signature differs: the member's id and the number of the
				     run */
} fake_db_config_t;

typedef struct fake_entry {
	uint64_t term;
	uint64_t number;
	usec_t at;
	char id[40];
	char item[40];
	char data[64];
} fake_entry_t;

struct fake_db;

typedef struct fake_member {
	struct fake_db *db;
	char id[48];
	bool primary;
	bool stopped;  /* its sessions are gone, new ones fail */
	bool isolated; /* receives nothing from the leader, and is not demoted */
	bool unlisted; /* its entry has lapsed with the store; who knows it goes on knowing it */
	bool leaving;
	uint64_t term;
	fake_entry_t *log; /* talloc array */
	size_t log_len;
	size_t applied;	    /* entries that reads have been shown, of a replica */
	usec_t *busy_until; /* a slot each */
	size_t sessions;
	size_t sessions_opened; /* sessions that it ever took */
	unsigned lose_answers;	/* of the next statements that it runs */
	unsigned reset_answers; /* the same, and the connection breaks */
	unsigned refuse_begins; /* so many BEGIN are answered with BUSY */
	unsigned refuse_runs; /* so many statements that would take a slot are answered with BUSY */
	usec_t extra_service_time; /* more work for each statement */
	usec_t extra_lag;	   /* more time until it has applied a commit */
	unsigned fail_percent; /* of statements that are answered with an error, spread evenly */
	const char *fail_code; /* NULL: FAILED */
	unsigned fail_accumulator;
	usec_t demote_at;
} fake_member_t;

/* What a member ran, in order. */
typedef struct fake_run {
	usec_t at;
	char id[40];
	char text[96];
	char member[48];
	char customer[40];     /* the customer that the connection is for */
	char values[96];       /* the session's, "name value;" in order of setting */
	char min_position[24]; /* position that the log had to hold, "" for none */
	uint64_t tx_number;    /* which transaction, 0: none */
	uint64_t run_number;   /* of the run, as in a numbered signature */
	char shape[40];	       /* of a prepared statement, "" for none */
	char row[64];	       /* that it returned, "" for none */
	uint64_t log_term;     /* last entry that it saw, 0.0 for none */
	uint64_t log_number;
} fake_run_t;

struct fake_events;

/* Told as it happens, in place of the record in runs. */
typedef struct fake_events_ops {
	void (*ran)(struct fake_events *events, const fake_run_t *run);
	void (*committed)(struct fake_events *events, const fake_member_t *member,
			  const fake_entry_t *entry);
	/* It leads its new term from the end of its log on. */
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
	fake_run_t *runs; /* talloc array; stays empty with events */
	size_t run_count;
	uint64_t run_number;
	fake_events_t *events; /* NULL: nobody is told */
	run_timer_t promote_timer;
	fake_member_t *promote_target;
	usec_t promoted_at; /* of the last promote's effect */
} fake_db_t;

/* text NULL: the member ended the session. */
typedef void (*fake_reply_t)(void *data, const char *text, size_t len);

typedef struct fake_session fake_session_t;

fake_db_t *fake_db_create(void *parent, const fake_db_config_t *config, const run_clock_t *clock,
			  timer_set_t *timers);

/* A connection; lines follow. NULL: the member is stopped. */
fake_session_t *fake_session_open(fake_member_t *member, fake_reply_t reply, void *data);
void fake_session_receive_line(fake_session_t *session, const char *line, size_t len);

/* True if it has begun a transaction that has not ended. */
bool fake_session_in_transaction(const fake_session_t *session);

/* The other side is gone; what is open is rolled back. */
void fake_session_close(fake_session_t *session);

/* End all sessions and take no new ones; starting again it keeps its log. */
void fake_member_stop(fake_member_t *member);
void fake_member_start(fake_member_t *member);

/* It is gone for good; a new member under another id takes its place and log, not running yet. */
void fake_member_replace(fake_member_t *member, const char *id);

/* The platform's call; takes effect later. Returns false if the member does not run. */
bool fake_db_promote(fake_db_t *db, fake_member_t *member);

fake_member_t *fake_db_primary(fake_db_t *db);
fake_member_t *fake_db_find_member(fake_db_t *db, const char *id);

/* How often the log of member holds a commit of the statement id. */
size_t fake_member_count_commits(fake_member_t *member, const char *id);

/* The last value of item in the whole log of member, or NULL. */
const char *fake_member_last_value(fake_member_t *member, const char *item);
