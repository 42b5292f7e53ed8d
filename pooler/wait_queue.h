/*
 * The order in which the waiting statements of a service are served, when its members can't serve
 * all of them at once. The queue holds no statements itself: a waiter_t is embedded in its owner.
 *
 * Waiters that can still be answered within their objective come before those that can't. Among
 * them the higher priority goes first, with a floor for the lower ones. Within a priority the
 * customers take turns by deficit round robin on work, so a customer that sends many times its
 * usual waits for itself. Within a customer the earliest objective goes first; among waiters that
 * will miss it, the newest, which has the most time left to be answered at all.
 */
#pragma once

#include <stddef.h>
#include <stdint.h>

#include "clock.h"
#include "list.h"

typedef struct wait_queue wait_queue_t;

typedef struct waiter {
	/* Set by the owner before wait_queue_add(). */
	const void *customer; /* identifies the customer; NULL: none */
	int64_t priority;     /* 0 is the highest */
	usec_t arrived_at;
	usec_t objective; /* response time objective, counted from arrived_at */
	usec_t deadline;
	usec_t work;	 /* expected time that a member spends on the statement */
	usec_t response; /* expected time from sending the statement until its answer */
	/* Used by the queue only. */
	struct wait_flow *flow; /* NULL: not in the queue */
	list_t node;
} waiter_t;

wait_queue_t *wait_queue_create(void *parent);

void wait_queue_add(wait_queue_t *queue, waiter_t *waiter);

/* Removes the waiter, if it is in the queue. */
void wait_queue_remove(wait_queue_t *queue, waiter_t *waiter);

/*
 * The waiters in the order of service at that time. The second function returns the one that
 * follows, for a waiter that can't be served now since its members are full; NULL: none.
 */
waiter_t *wait_queue_first(wait_queue_t *queue, usec_t now);
waiter_t *wait_queue_next(wait_queue_t *queue, const waiter_t *waiter, usec_t now);

/* Charges the waiter's work to its customer; to be called when it is sent to a member. */
void wait_queue_on_served(wait_queue_t *queue, waiter_t *waiter);

/* Number of waiters. */
size_t wait_queue_len(const wait_queue_t *queue);

/* Expected work of all waiters that would be served before this one if nothing else arrived. */
usec_t wait_queue_work_ahead(wait_queue_t *queue, const waiter_t *waiter, usec_t now);
