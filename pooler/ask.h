/*
 * Queries to other proxies: they report what this proxy sees of the primaries, and ask for updates.
 * The states that answer them are in exchange.h.
 */
#pragma once

#include "state.h"

/* Interval between two regular queries. */
#define ASK_QUERY_INTERVAL (250 * USEC_PER_MSEC)

/* Sends a query to one proxy; false if there is no link to it yet. */
bool ask_send_query(const pooler_t *pooler, const char *name, const char *address);

/*
 * True if the store last confirmed our roster so long ago that the permission can only be extended
 * by agreement with the other proxies.
 */
bool ask_roster_is_unconfirmed(const pooler_t *pooler, usec_t now);

/*
 * True if others must be notified at once that this proxy holds a new roster: a change of primary
 * waits for that, or the fleet agrees on the roster without the store. Otherwise the next regular
 * query reports the revision, so that proxies that join a large fleet don't make all others send a
 * query each time.
 */
bool ask_must_report_revision(const pooler_t *pooler);

/* Sends the queries that are due. */
void ask_tick(pooler_t *pooler, usec_t now);
