/*
 * A fake of the platform's store in the process of the test: items with revisions, leases, watches
 * and a history that can be compacted. Time comes from the test's clock and timers. Its faults: it
 * is down or slow, refuses calls of some clients, or loses its answers to writes.
 */
#pragma once

#include "kv.h"
#include "list.h"
#include "timer.h"

typedef struct fake_kv {
	const run_clock_t *clock;
	timer_set_t *timers;
	int64_t revision;
	int64_t compacted; /* revision up to which the history was compacted */
	uint64_t next_lease;
	list_t items;
	list_t leases;
	list_t events;
	size_t event_count;
	size_t history_max; /* maximum number of events kept; 0: all */
	list_t calls;	    /* calls in flight */
	run_timer_t timer;
	usec_t answer_delay; /* from a call to its answer */
	bool down;
	bool watches_stalled; /* watches report no changes */
	unsigned empty_pages; /* next pages after a first one that hold nothing, though more follow
			       */
	unsigned lose_commit_answers;	  /* next commits that are done, but not answered */
	unsigned lose_lease_keep_answers; /* next renewals that are done, but not answered */
	size_t call_count;
	list_t backup; /* items of the backup, for fake_kv_restore_backup() */
	int64_t backup_revision;
} fake_kv_t;

/* A client of the store: one process. */
typedef struct fake_kv_client {
	kv_t kv;
	fake_kv_t *store;
	bool unreachable;	       /* calls get no answer */
	bool calls_refused;	       /* calls are refused */
	bool watches_refused;	       /* only watches are refused */
	const char *unanswered_prefix; /* reads and watches of it get no answer; NULL: none */
} fake_kv_client_t;

fake_kv_t *fake_kv_create(void *parent, const run_clock_t *clock, timer_set_t *timers);
void fake_kv_client_init(fake_kv_client_t *client, fake_kv_t *store);

/*
 * Ends the client's process: its calls are still carried out, but their callbacks aren't called.
 */
void fake_kv_client_abandon(fake_kv_client_t *client);

/* A write by an operator or a member; value NULL deletes the key. */
void fake_kv_put(fake_kv_t *store, const char *key, const char *value);
const char *fake_kv_get(const fake_kv_t *store, const char *key);

/* Makes a backup of all items, which replaces the previous one. */
void fake_kv_make_backup(fake_kv_t *store);

/*
 * Restores the backup, which begins the next era: later writes, all leases and their keys are lost,
 * and revision numbers are used again.
 */
void fake_kv_restore_backup(fake_kv_t *store);

/* Deletes all keys that begin with prefix. */
void fake_kv_delete_prefix(fake_kv_t *store, const char *prefix);

/* Compacts the history up to now: a watch from an earlier revision fails. */
void fake_kv_compact(fake_kv_t *store);

/* Makes watches miss all changes until now, without an error. */
void fake_kv_drop_events(fake_kv_t *store);

/* Deletes a key although the lease that it is bound to has not ended. */
void fake_kv_delete_key(fake_kv_t *store, const char *key);
