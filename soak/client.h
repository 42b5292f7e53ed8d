/*
 * Callers: sessions that ask statements and transactions, keep their connection
 * until the proxy closes it, and then open another one elsewhere. What each one
 * asks next follows from the seed and its number.
 */
#pragma once

#include "fleet.h"
#include "ledger.h"
#include "stream.h"

typedef struct clients_options {
	unsigned seed;
	unsigned sessions;
	usec_t mean_idle_time; /* between two operations of a session, on average */
} clients_options_t;

typedef struct clients {
	clients_options_t options;
	fleet_t *fleet;
	ledger_t *ledger;
	struct session *sessions;
	bool failures_are_findings;    /* operations that fail are findings */
	usec_t clock_unreliable_until; /* this process itself was late, so that its times are not to
					  be used */
	size_t statements_sent;
	size_t status_counts[STATEMENT_UNKNOWN + 1];
	size_t sessions_opened;
	GPtrArray *unchecked; /* statement_t that wait to be checked */
} clients_t;

/* A child of parent; its sessions start at once. */
clients_t *clients_create(void *parent, fleet_t *fleet, ledger_t *ledger,
			  const clients_options_t *options);

/* Every database was written or read through every proxy since the last call of clients_mark(). */
bool clients_served_by_all(const clients_t *clients);

/* Start to count anew for clients_all_served(). */
void clients_reset_counts(clients_t *clients);

/* Close all sessions. */
void clients_stop(clients_t *clients);
