/*
 * The callers of a soak: sessions that run statements and transactions. A session keeps its
 * connection for a random number of operations or until the proxy closes it, and then connects to
 * another proxy. The statements of each session depend on the seed and the session's number.
 */
#pragma once

#include "fleet.h"
#include "ledger.h"
#include "stream.h"

typedef struct clients_options {
	unsigned seed;
	unsigned sessions;
	usec_t mean_idle_time; /* mean time between two operations of a session */
} clients_options_t;

typedef struct clients {
	clients_options_t options;
	fleet_t *fleet;
	ledger_t *ledger;
	struct session *sessions;
	bool failures_are_findings; /* each failed operation is a finding */
	/* the soak itself was delayed; its time stamps are not used for findings until then */
	usec_t clock_unreliable_until;
	size_t statements_sent;
	size_t status_counts[STATUS_UNKNOWN + 1];
	size_t sessions_opened;
	GPtrArray *unchecked; /* statement_t that were answered and are not checked yet */
} clients_t;

/* Returns a child of parent. Its sessions start within half a second. */
clients_t *clients_create(void *parent, fleet_t *fleet, ledger_t *ledger,
			  const clients_options_t *options);

/* Returns true if every proxy has completed an operation since clients_reset_counts(). */
bool clients_served_by_all(const clients_t *clients);

/* Resets the statement and operation counts of all proxies. */
void clients_reset_counts(clients_t *clients);

/* Closes all sessions. */
void clients_stop(clients_t *clients);
