/*
 * Whether a connection is opened for a waiting caller now. An opening takes slot time of the member
 * that statements need too, and is of no use to a caller that is served otherwise before.
 */
#pragma once

#include <stddef.h>

#include "clock.h"

typedef enum {
	OPENING_NOW,
	OPENING_UNDER_WAY, /* enough are being opened for the customer's callers */
	OPENING_IN_VAIN,   /* the caller will be gone when the connection is ready */
	OPENING_PACED,	   /* openings have their part of the member's slots */
	OPENING_CAN_WAIT,  /* a connection of the customer comes free soon enough */
	OPENING_VERDICTS,
} opening_verdict_t;

/* Names of the verdicts for counters, such as "paced". */
extern const char *const opening_verdict_names[OPENING_VERDICTS];

typedef struct opening_case {
	usec_t waited;	      /* by the caller */
	usec_t objective;     /* response time objective of its route */
	usec_t time_left;     /* until its deadline */
	usec_t response_time; /* usual one of the member */
	size_t own_waiting;   /* waiting callers of the customer */
	size_t own_opening;   /* connections being opened for them, wherever the caller is served */
	size_t own_in_use;    /* the customer's connections to the member that are in use */
	size_t opening;	      /* connections to the member that this proxy opens */
	size_t overdue;	      /* more of them, whose answer may be late or lost */
	size_t running;	      /* statements that it runs there */
	double slots;	      /* of the member that it can count on; 0: not known */
} opening_case_t;

opening_verdict_t opening_decide(const opening_case_t *c);

/* How long a caller with this objective waits for a connection of its customer in use. */
usec_t opening_patience(usec_t objective);
