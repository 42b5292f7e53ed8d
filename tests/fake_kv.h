/*
 * The platform's store: items with revisions, leases, watches, a history that
 * may be dropped. Typed, in one process; time from a clock and timers. Faults:
 * down, turning some callers away, losing answers of writes, slow.
 */
#pragma once

#include "kv.h"
#include "list.h"
#include "timer.h"

typedef struct fake_kv {
	const run_clock_t *clock;
	timer_set_t *timers;
	int64_t revision;
	int64_t compacted; /* events up to here are gone */
	uint64_t next_lease;
	list_t items;
	list_t leases;
	list_t events;
	size_t event_count;
	size_t history_max; /* events that it keeps at most, 0: all */
	list_t calls;	    /* waiting for their answer */
	run_timer_t timer;
	usec_t answer_delay; /* of an answer */
	bool down;
	bool watches_stalled;		  /* watches hear nothing */
	unsigned lose_commit_answers;	  /* of the next writes, which are done */
	unsigned lose_lease_keep_answers; /* the same of the next renewals of leases */
	size_t call_count;
	list_t backup; /* of the items, for fake_kv_restore_backup() */
	int64_t backup_revision;
} fake_kv_t;

/* One caller's access to it. */
typedef struct fake_kv_client {
	kv_t kv;
	fake_kv_t *store;
	bool unreachable;	       /* calls get no answer */
	bool refuses_calls;	       /* calls are turned away */
	bool refuses_watches;	       /* watches are */
	const char *unanswered_prefix; /* readings of these keys get no answer; NULL: of none */
} fake_kv_client_t;

fake_kv_t *fake_kv_create(void *parent, const run_clock_t *clock, timer_set_t *timers);
void fake_kv_client_init(fake_kv_client_t *client, fake_kv_t *store);

/* The caller's process is gone: its calls go on, nobody hears of their ends. */
void fake_kv_client_abandon(fake_kv_client_t *client);

/* The operator's and the members' writes; value NULL deletes. */
void fake_kv_put(fake_kv_t *store, const char *key, const char *value);
const char *fake_kv_get(const fake_kv_t *store, const char *key);

/* Take a copy of what it holds. */
void fake_kv_make_backup(fake_kv_t *store);

/*
 * It comes back from its copy, in the next era: what was written since is gone, leases and their
 * keys are, and its numbers are given out again.
 */
void fake_kv_restore_backup(fake_kv_t *store);

/* Delete all keys that begin so. */
void fake_kv_delete_prefix(fake_kv_t *store, const char *prefix);

/* Drop the history up to now. */
void fake_kv_compact(fake_kv_t *store);

/* Watches miss all changes until now, without a sign. */
void fake_kv_drop_events(fake_kv_t *store);

/* Take the keys under a lease away although the lease lives. */
void fake_kv_delete_key(fake_kv_t *store, const char *key);
