/* Plays a plan's faults on a fleet. */
#pragma once

#include "fleet.h"
#include "plan.h"

typedef struct inject {
	fleet_t *fleet;
	const plan_t *plan;
	guint next;	   /* fault of the plan */
	usec_t started_at; /* 0: not yet */
	list_t followups;
	unsigned replacement_count; /* members so far, so that ids differ */
	bool verbose;		    /* tell each fault as it comes */
} inject_t;

/* A child of parent. verbose: tell each fault as it comes. */
inject_t *inject_create(void *parent, fleet_t *fleet, const plan_t *plan, bool verbose);

/* The plan's times count from now. */
void inject_start(inject_t *inject, usec_t now);

/* Play what is due, and undo what has lasted long enough. */
void inject_tick(inject_t *inject, usec_t now);

/* All faults were played and undone. */
bool inject_is_over(const inject_t *inject, usec_t now);

/* Take back what waits for its occasion: answers to be lost, statements to be refused. */
void inject_clear_pending(inject_t *inject);
