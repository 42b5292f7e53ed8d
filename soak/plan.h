/*
 * The plan: the faults of a run, ordered by time. It depends only on the seed, the length and the
 * number of proxies.
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
	FAULT_HANGUP, /* SIGHUP after a change of the settings */
	FAULT_POWER_LOSS,
	/* The link of one proxy to the store. */
	FAULT_STORE_LINK_CUT,
	FAULT_STORE_LINK_ONE_WAY,
	FAULT_STORE_LINK_DELAY,
	FAULT_STORE_LINK_RESET,
	FAULT_STORE_LINK_SILENCE,
	FAULT_STORE_REFUSES_CALLS, /* calls reach a port that refuses them */
	/* The store, the promote call and the configuration, for all proxies. */
	FAULT_STORE_DOWN,
	FAULT_STORE_SLOW,
	FAULT_STORE_ANSWERS_LOST,    /* answers to writes, or to lease renewals, are lost */
	FAULT_STORE_COMPACTED,	     /* the store discards its history of changes */
	FAULT_STORE_WATCHES_STALLED, /* watches receive no events */
	FAULT_PLATFORM_PAUSE,
	FAULT_PROMOTE_ANSWERS_LOST, /* answers of the promote call are lost */
	FAULT_PROMOTE_REFUSED,
	FAULT_CONFIG,
	/* Members. */
	FAULT_MEMBER_CRASH,
	FAULT_PRIMARY_CRASH,
	FAULT_MEMBER_REPLACE,
	FAULT_PRIMARY_REPLACE,
	FAULT_MEMBER_SLOW,
	FAULT_MEMBER_LAG,
	FAULT_MEMBER_ANSWERS_LOST,	 /* answers are lost */
	FAULT_MEMBER_CONNECTIONS_RESET,	 /* connections are reset in place of answers */
	FAULT_MEMBER_REFUSES_STATEMENTS, /* a number of statements is refused */
	/* receives nothing from the primary and is not demoted */
	FAULT_MEMBER_REPLICATION_STALLED,
	/* The link of all proxies to a member. */
	FAULT_MEMBER_LINK_CUT,
	FAULT_MEMBER_LINK_ONE_WAY,
	FAULT_MEMBER_LINK_DELAY,
	FAULT_MEMBER_LINK_LIMIT,
	FAULT_MEMBER_LINK_RESET,
	FAULT_MEMBER_LINK_SILENCE,
	/*
	 * At the end of the fault the store is restored from a backup that was taken at its
	 * beginning.
	 */
	FAULT_STORE_RESTORED,
	FAULT_COUNT,
} fault_kind_t;

typedef struct fault {
	usec_t at; /* time since inject_start() */
	fault_kind_t kind;
	/* index of a proxy, member or service, by kind; taken modulo their number */
	unsigned target;
	usec_t duration;
	unsigned amount;
} fault_t;

typedef struct plan {
	GArray *faults; /* fault_t */
	usec_t length;	/* all faults end within this time */
} plan_t;

/* Returns a child of parent. */
plan_t *plan_create(void *parent, unsigned seed, usec_t length, unsigned proxies);

/* Returns the name of the kind in the output of plan_print() and of --verbose. */
const char *plan_fault_name(fault_kind_t kind);

/* Prints one line for each fault to standard output. */
void plan_print(const plan_t *plan);
