/*
 * A play: one seed of random faults on a fleet of poolers, see test_pooler_faults.c. Its parts are
 * the play itself, the callers, the faults, and the checks of what callers and members see.
 */
#pragma once

#include <glib.h>

#include "pool_world.h"
#include "session_check.h"

#define MSEC USEC_PER_MSEC
#define SEC  USEC_PER_SEC

/* Number of callers of a play, and of proxies of a play with a large fleet. */
#define CALLERS	    12
#define LARGE_NODES 20
/* Simulated time between two steps of the callers and the faults. */
#define STEP	   (2 * MSEC)
#define WRITES_MAX 20000

typedef enum { ROUTE_STRICT, ROUTE_BOUNDED, ROUTE_SESSION } route_kind_t;

/* The names of the databases, by route_kind_t. */
extern const char *const play_databases[];

typedef enum { WRITE_OPEN, WRITE_ACKNOWLEDGED, WRITE_REFUSED, WRITE_IN_DOUBT } write_outcome_t;

typedef struct write_record {
	char id[40]; /* of the statement that wrote */
	char data[32];
	int item;
	const world_caller_t *session;
	usec_t acked_at;
	write_outcome_t outcome;
} write_record_t;

typedef struct client {
	world_caller_t *caller;
	route_kind_t route;
	char key[WORLD_KEY_MAX];
	size_t node;
	usec_t next; /* when the next operation is sent */
	bool waiting;
	size_t replies;
	/* The operation in progress. */
	int step; /* of a transaction: 0 none, 1 begun, 2 written, 3 committing, 4 rolling back */
	int item;
	bool is_read;
	usec_t began;
	ssize_t write;	/* index of its write, -1: none */
	usec_t read_at; /* when the proxy reads the unread request; 0: there is none */
	/* Only in plays with failing requests. */
	char values[SESSION_VALUES_MAX]; /* of its session */
	char shape[16];			 /* of its prepared statement, "": none */
	uint64_t tx;			 /* number of its transaction; 0: none */
} client_t;

typedef struct play {
	pool_world_t *world;
	GRand *rand;
	GRand *store_rand; /* for backups and restores of the store; NULL: there are none */
	usec_t next_backup;
	usec_t next_restore;
	usec_t restore_at;   /* end of the restore in progress; 0: there is none */
	GRand *request_rand; /* for failing requests, values and names of sessions; NULL: there are
				none */
	session_check_t check; /* only used with request_rand */
	client_t clients[CALLERS];
	write_record_t *writes;
	size_t write_count;
	usec_t member_repair_at[FAKE_MEMBERS_MAX];
	size_t nodes;
	usec_t node_repair_at[LARGE_NODES];
	bool shutting_down[LARGE_NODES]; /* a planned shutdown is in progress */
	usec_t store_repair_at;
	size_t served;
	uint32_t seed;
} play_t;

/* --- the play --- */

usec_t play_now(const play_t *play);

/* True once in one_in times on average. */
bool play_chance(play_t *play, int one_in);

usec_t play_random_time(play_t *play, usec_t min, usec_t max);

/* Converts a time to seconds since the start of the simulation's clock. */
double play_seconds(usec_t at);

/* Returns the last run of the statement at a member; NULL: it did not run. */
const fake_run_t *play_find_last_run(const play_t *play, const char *id);

/* Ends the test with the seed, the time and what is wrong. */
void play_fail(const play_t *play, const char *what, const char *detail);

/* Prints the state of proxies and members, to find the cause of a failed check. */
void play_describe(const play_t *play);

/* --- checks --- */

/* Checks at its acknowledgement that the primary has the write. */
void play_check_acknowledged(play_t *play, write_record_t *write);

/* Checks that the answer to a read shows all commits that its route promises to show. */
void play_check_read(play_t *play, const client_t *client, const char *reply);

/* Checks that members ran the statements in the sessions of their callers. */
void play_check_sessions(play_t *play);

/* Checks all writes after the end of the play. */
void play_check_end(play_t *play);

/* --- callers --- */

/* Takes a caller's replies, and sends its next statement when it is due. */
void play_step_client(play_t *play, client_t *client);

/* True if proxies of this play are shut down as planned. */
bool play_has_shutdowns(const play_t *play);

/* --- faults --- */

/* Begins a fault at random times. */
void play_maybe_fault(play_t *play);

/* Lets members fail requests of each kind at random; end: ends that. */
void play_step_requests(play_t *play, bool end);

/* Ends the faults that are over, or all of them. */
void play_end_faults(play_t *play, bool all);

/* Takes and restores backups of the store; restores: also begins to restore. */
void play_step_store(play_t *play, bool restores);
