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
	usec_t rest; /* between two operations of a session, on average */
} clients_options_t;

typedef struct clients {
	clients_options_t options;
	fleet_t *fleet;
	ledger_t *ledger;
	struct session *sessions;
	bool counting;	   /* operations that fail are findings */
	usec_t late_until; /* this process itself was late, so that its times are not to be used */
	size_t statements;
	size_t fates[FATE_UNSURE + 1];
	size_t opened;
	GPtrArray *answered; /* statement_t that wait to be checked */
} clients_t;

/* A child of parent; its sessions start at once. */
clients_t *clients_create(void *parent, fleet_t *fleet, ledger_t *ledger,
			  const clients_options_t *options);

/* Every database was written or read through every proxy since the last call of clients_mark(). */
bool clients_all_served(const clients_t *clients);

/* Start to count anew for clients_all_served(). */
void clients_mark(clients_t *clients);

/* Close all sessions. */
void clients_stop(clients_t *clients);
