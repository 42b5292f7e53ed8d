/* Applies the faults of a plan to a fleet. */
#pragma once

#include "fleet.h"
#include "plan.h"

typedef struct inject {
	fleet_t *fleet;
	const plan_t *plan;
	guint next;	   /* index of the plan's next fault */
	usec_t started_at; /* start of the plan, 0: not started */
	list_t followups;
	unsigned replacement_count; /* numbers the replaced members, so that their ids differ */
	bool verbose;		    /* print each fault when it begins */
} inject_t;

/* Returns a child of parent. verbose: print each fault when it begins. */
inject_t *inject_create(void *parent, fleet_t *fleet, const plan_t *plan, bool verbose);

/* Starts the plan; its times count from now. */
void inject_start(inject_t *inject, usec_t now);

/* Begins the faults that are due, and ends those whose duration is over. */
void inject_tick(inject_t *inject, usec_t now);

/* Returns true when the length of the plan is over and all faults have begun and ended. */
bool inject_is_over(const inject_t *inject, usec_t now);

/*
 * Cancels the faults that count statements or calls: the answers that the store and the members
 * would still lose, reset or refuse.
 */
void inject_clear_pending(inject_t *inject);
