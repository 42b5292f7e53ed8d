/*
 * What each customer uses of a member's connections: how often, for how long at a time, and why the
 * last connection ended. Kept in this process only; a new process starts without it.
 */
#pragma once

#include <stddef.h>

#include <uthash.h>

#include "clock.h"

/* Why a connection ended; CONN_END_NONE: none has ended since the last one was opened. */
typedef enum {
	CONN_END_NONE,
	CONN_END_EVICTED, /* closed for another customer */
	CONN_END_IDLE,	  /* closed since nobody used it */
	CONN_END_LOST,	  /* broken, refused, or closed with its member */
} conn_end_t;

/* Why a connection is opened. */
typedef enum {
	CONN_CAUSE_FIRST,   /* the customer had none at this member */
	CONN_CAUSE_BUSY,    /* all that the customer has are in use */
	CONN_CAUSE_EVICTED, /* its last one was evicted */
	CONN_CAUSE_IDLE,    /* its last one was closed as idle */
	CONN_CAUSE_LOST,    /* its last one was lost */
	CONN_CAUSE_COUNT,
} conn_cause_t;

/* Names of the causes for logs, such as "evicted". */
extern const char *const conn_cause_names[CONN_CAUSE_COUNT];

/* One customer's use of one member. */
typedef struct conn_use {
	UT_hash_handle hh; /* in the member's table */
	const void *owner; /* the customer's pool at the service; the key */
	size_t count;	   /* connections of the customer to the member, also those being opened */
	double rate;	   /* uses per second of late, as of rated_at */
	usec_t rated_at;
	double hold; /* seconds that a use lasts on the average */
	conn_end_t last_end;
	usec_t ended_at; /* when a connection last ended; 0: none did */
} conn_use_t;

/* Returns the entry of the owner, created in the table with the parent if there is none. */
conn_use_t *conn_use_get(void *parent, conn_use_t **table, const void *owner);

/* Counts a connection that is being opened and returns why it is. */
conn_cause_t conn_use_on_open(conn_use_t *use);
void conn_use_on_closed(conn_use_t *use, conn_end_t end, usec_t now);

/* A statement or transaction takes a connection; and gives it back after held. */
void conn_use_on_taken(conn_use_t *use, usec_t now);
void conn_use_on_returned(conn_use_t *use, usec_t held);

/* Uses per second of late: each counts less and less with time. */
double conn_use_rate(const conn_use_t *use, usec_t now);
