/*
 * The start of a process as callers see it: when it registered, got its first permission and gave
 * its first answer, and when the last answer was late. Times are logged once, and counted.
 */
#pragma once

#include <stdbool.h>

#include "clock.h"

typedef struct startup {
	usec_t started;
	usec_t registered_at; /* 0: not yet; the same for the following */
	usec_t permitted_at;
	usec_t first_answer_at;
	usec_t last_late_at; /* 0: no answer was late */
	usec_t late;	     /* sum of the times that the loop came late to a tick */
	usec_t late_most;    /* the longest of them */
	bool over;	     /* the start was reported */
} startup_t;

void startup_begin(startup_t *startup, usec_t now);

/* Records that the loop came late to a tick: this process lacked processor time. */
void startup_on_late_tick(startup_t *startup, usec_t late);

/* Records an answer to a caller of this proxy; late: it missed the route's objective. */
void startup_on_answer(startup_t *startup, bool late, usec_t now);

/* Records the state of this proxy, and reports the start once it is over. */
void startup_tick(startup_t *startup, bool registered, bool permitted, usec_t now);
