/*
 * Compares what members ran with what the callers' sessions held when they sent it: the values of
 * the session, its transaction, the statement behind a prepared name.
 */
#pragma once

#include <glib.h>

#include "fake_db.h"

#define SESSION_VALUES_MAX 96

typedef struct session_check {
	const fake_db_t *db;
	GHashTable *expected;  /* by the statement's id */
	GHashTable *member_tx; /* number of a transaction at the member, by the caller's number */
	uint64_t last_tx;
	size_t checked; /* runs that have been checked */
	char problem[256];
} session_check_t;

void session_check_init(session_check_t *check, const fake_db_t *db);
void session_check_destroy(session_check_t *check);

/* Returns the number of a new transaction of a caller, from 1. */
uint64_t session_check_begin_tx(session_check_t *check);

/*
 * Records a statement that was sent, before any of it runs. values: of its session, "name value;"
 * in any order; tx: number of its transaction, 0: none; shape: of the prepared statement, "": none.
 */
void session_check_add(session_check_t *check, const char *id, const char *values, uint64_t tx,
		       const char *shape);

/* Checks the runs since the last call; returns what is wrong with the first one, or NULL. */
const char *session_check_runs(session_check_t *check);

/* Adds a value that was set to the values of a session, in place of the one of the same name. */
void session_values_set(char *values, const char *value);
