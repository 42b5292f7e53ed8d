/*
 * The order in which the waiting statements of a service are served, when its members can't serve
 * all of them at once. The queue holds no statements itself: a waiter_t is embedded in its owner.
 *
 * Waiters that can still be answered within their objective come before those that can't. Among
 * them the higher priority goes first, with a floor for the lower ones. Within a priority the
 * customers take turns by deficit round robin on work, so a customer that sends many times its
 * usual waits for itself. Within a customer the one that has to be sent first to meet its objective
 * goes first; among waiters that will miss it, the newest, which has the most time left to be
 * answered at all.
 *
 * Bounds: while waiters of lower priorities can meet their objective, work for them is at least a
 * tenth of that for higher ones (1 / WAIT_QUEUE_FLOOR_DIVISOR), divided evenly among these
 * priorities, to within 100 ms of work and the work of one statement. Of the work of
 * a priority, each of N customers with waiters gets a share of 1 / N, to within WAIT_QUEUE_QUANTUM
 * and the work of one statement.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clock.h"
#include "list.h"

#define WAIT_QUEUE_FLOOR_DIVISOR 10
/* Work that a customer may have served in one turn: some statements. */
#define WAIT_QUEUE_QUANTUM (20 * USEC_PER_MSEC)
/* Upper bound of the work that a waiter counts for. */
#define WAIT_QUEUE_WORK_MAX (1 * USEC_PER_SEC)

typedef struct wait_queue wait_queue_t;

typedef struct waiter {
	/* Set by the owner before wait_queue_add(). */
	const void *customer; /* identifies the customer; NULL: none */
	usec_t usage;	      /* work that was lately done for the customer */
	int64_t priority;     /* 0 is the highest */
	usec_t arrived_at;
	usec_t objective;  /* response time objective, counted from arrived_at */
	usec_t work;	   /* expected time that a member spends on the statement */
	usec_t response;   /* time from sending the statement in which it is probably answered */
	bool primary_only; /* no other member can serve it */
	/* Used by the queue only. */
	struct wait_flow *flow; /* NULL: not in the queue */
	bool late;		/* it will miss its objective */
	bool charged;		/* the following charges were made when it was sent */
	int64_t floor_charge;	/* to its priority */
	int64_t turn_charge;	/* to its customer */
	list_t node;
} waiter_t;

/* Expected work of a part of the queue. */
typedef struct wait_work {
	usec_t all;
	usec_t primary; /* the part that only the primary can serve */
} wait_work_t;

wait_queue_t *wait_queue_create(void *parent);

void wait_queue_add(wait_queue_t *queue, waiter_t *waiter, usec_t now);

/* Sorts a waiter of the queue anew, with other expectations. */
void wait_queue_update(wait_queue_t *queue, waiter_t *waiter, usec_t work, usec_t response,
		       bool primary_only, usec_t now);

/* Removes the waiter, if it is in the queue. */
void wait_queue_remove(wait_queue_t *queue, waiter_t *waiter);

/*
 * The waiters in the order of service at that time. The second function returns the one that
 * follows, for a waiter that can't be served now since its members are full; NULL: none. No waiter
 * may be added or removed between the calls.
 */
waiter_t *wait_queue_first(wait_queue_t *queue, usec_t now);
waiter_t *wait_queue_next(wait_queue_t *queue, const waiter_t *waiter);

/*
 * Charges the waiter's work to its customer; to be called when it is sent to a member, while it is
 * still in the queue.
 */
void wait_queue_on_served(wait_queue_t *queue, waiter_t *waiter);

/*
 * Takes the charge, if any, back; to be called when it turns out that the statement has not run.
 * The waiter need not be in the queue any more.
 */
void wait_queue_on_refused(wait_queue_t *queue, waiter_t *waiter);

/*
 * The waiter that gives way if the queue is too long with this one: the last on time of the
 * customer with most work in its priority, if that is another customer; else NULL.
 */
waiter_t *wait_queue_displaced_by(wait_queue_t *queue, const waiter_t *waiter, usec_t now);

/* Number of waiters. */
size_t wait_queue_len(const wait_queue_t *queue);

/* True if a waiter can still be answered within its objective. */
bool wait_queue_has_on_time(wait_queue_t *queue, usec_t now);

/*
 * Since when waiters of this priority, or of one of the higher ones, that can meet their objective
 * have been in the queue without interruption; USEC_NEVER: none are.
 */
usec_t wait_queue_on_time_since(wait_queue_t *queue, int64_t priority, usec_t now);

/* Expected work of all waiters. */
wait_work_t wait_queue_work(const wait_queue_t *queue);

/* Expected work of all waiters that would be served before this one if nothing else arrived. */
wait_work_t wait_queue_work_ahead(wait_queue_t *queue, const waiter_t *waiter, usec_t now);

/* One priority of the queue, for metrics. */
typedef struct wait_priority {
	int64_t priority;
	size_t waiting;
	usec_t work; /* of its waiters and of those of higher priorities */
} wait_priority_t;

/* Fills in the priorities that have waiters, the highest first; returns their number, up to max. */
size_t wait_queue_priorities(const wait_queue_t *queue, wait_priority_t *priorities, size_t max);
