/*
 * The faults of a run, in order of time. They follow from the seed, the length
 * and the number of proxies alone.
 */
#pragma once

#include <stddef.h>

#include <glib.h>

#include "clock.h"

typedef enum {
	/* Proxies. */
	FAULT_PAUSE,
	FAULT_KILL,
	FAULT_TERM,
	FAULT_ROLLING_RESTART,
	FAULT_HANGUP, /* SIGHUP, with settings that have changed */
	FAULT_POWER_LOSS,
	/* One proxy's way to the store. */
	FAULT_STORE_LINK_CUT,
	FAULT_STORE_LINK_ONE_WAY,
	FAULT_STORE_LINK_DELAY,
	FAULT_STORE_LINK_RESET,
	FAULT_STORE_LINK_SILENCE,
	FAULT_STORE_TURNS_AWAY,
	/* The store, for everyone. */
	FAULT_STORE_DOWN,
	FAULT_STORE_SLOW,
	FAULT_STORE_LOSES,
	FAULT_STORE_FORGETS,
	FAULT_STORE_DEAF,
	FAULT_PLATFORM_PAUSE,
	FAULT_PROMOTE_LOSES,
	FAULT_PROMOTE_REFUSES,
	FAULT_CONFIG,
	/* Members. */
	FAULT_MEMBER_CRASH,
	FAULT_LEADER_CRASH,
	FAULT_MEMBER_REPLACE,
	FAULT_LEADER_REPLACE,
	FAULT_MEMBER_SLOW,
	FAULT_MEMBER_LAG,
	FAULT_MEMBER_LOSES,
	FAULT_MEMBER_RESETS,
	FAULT_MEMBER_GREY,
	FAULT_MEMBER_DEAF,
	/* All proxies' way to a member. */
	FAULT_MEMBER_LINK_CUT,
	FAULT_MEMBER_LINK_ONE_WAY,
	FAULT_MEMBER_LINK_DELAY,
	FAULT_MEMBER_LINK_LIMIT,
	FAULT_MEMBER_LINK_RESET,
	FAULT_MEMBER_LINK_SILENCE,
	/* The store comes back from a copy that was taken when the fault began. */
	FAULT_STORE_RESTORED,
	FAULT_COUNT,
} fault_kind_t;

typedef struct fault {
	usec_t at; /* from the first fault on */
	fault_kind_t kind;
	unsigned target; /* proxy, member or service; the kind says which, modulo their number */
	usec_t duration;
	unsigned amount;
} fault_t;

typedef struct plan {
	GArray *faults; /* fault_t */
	usec_t length;	/* all faults have ended by then */
} plan_t;

/* A child of parent. */
plan_t *plan_create(void *parent, unsigned seed, usec_t length, unsigned proxies);

/* As the plan is printed and faults are told. */
const char *plan_fault_name(fault_kind_t kind);

/* To standard output, a line for each fault. */
void plan_print(const plan_t *plan);
