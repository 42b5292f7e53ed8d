/*
 * The fleet: which proxies exist, which of them can be reached, and which ones watch
 * a group. The proxies of a group are ranked by rendezvous hashing of their names, so
 * that proxies with the same list agree without communication. A wrong rank costs
 * time only: safety depends on the group's members (takeover.h).
 *
 * Sources are the platform's list, heartbeats between neighbours, and whether
 * forwarded requests are accepted, from the slowest to the fastest.
 */
#pragma once

#include <uthash.h>

#include "clock.h"
#include "event.h"

/* Number of proxies that watch a group: the first is its home, the others are standbys. */
#define FLEET_RANKS 3

typedef struct proxy {
	char *name;
	char *zone;
	char *address;
	bool self;
	bool listed;  /* in the platform's list or in the settings */
	bool leaving; /* shutting down; never reset for this incarnation */
	bool suspect; /* does not respond; cleared by its next message */
	usec_t suspected_at;
	bool sends_heartbeats; /* regularly, to this proxy: silence means a failure */
	uint64_t incarnation;
	usec_t added_at;
	usec_t last_received; /* time of its last message, 0 none */
	usec_t peer_clock; /* its clock in its last message; the next message to it echoes this */
	usec_t last_echo;  /* latest reading of this proxy's clock that it echoed */
	uint64_t table_version;
	UT_hash_handle hh;
} proxy_t;

typedef enum { FLEET_JOINED, FLEET_LEFT, FLEET_MOVED } fleet_change_kind_t;

/* A change that can move ranks. The proxy may have been freed: compare the pointer only. */
typedef struct fleet_change {
	fleet_change_kind_t kind;
	const proxy_t *proxy;
} fleet_change_t;

/* Size of the history of changes by which fleet_rank() avoids needless recomputation. */
#define FLEET_CHANGES 64

typedef struct fleet {
	proxy_t *proxies;
	proxy_t *self;
	uint64_t epoch; /* number of changes so far; changes[] is a ring of the last ones */
	fleet_change_t changes[FLEET_CHANGES];
} fleet_t;

typedef struct ranks {
	proxy_t *proxies[FLEET_RANKS];
	size_t len;
	uint64_t lowest_score; /* of the ranked proxies; below it a new proxy gets no rank */
	uint64_t epoch;	       /* the fleet's epoch for which the ranks were computed */
} ranks_t;

fleet_t *fleet_create(void *parent, const char *name, const char *zone, const char *address);

proxy_t *fleet_find(const fleet_t *fleet, const char *name);

/* Add a proxy, or update the zone and address of an existing one. Returns the proxy. */
proxy_t *fleet_add(fleet_t *fleet, usec_t now, const char *name, const char *zone,
		   const char *address, bool listed);

/* Apply the platform's list. Proxies no longer listed and silent for forget_after are removed. */
void fleet_apply_list(fleet_t *fleet, usec_t now, const vm_t *vms, size_t count,
		      usec_t forget_after);

/* Record a message of a peer; a later incarnation resets the peer's state. */
void fleet_on_message(fleet_t *fleet, proxy_t *proxy, usec_t now, const message_t *message);

void fleet_set_leaving(fleet_t *fleet, proxy_t *proxy);
void fleet_set_suspect(proxy_t *proxy, usec_t now);

/*
 * Mark peers as suspect that send heartbeats and were silent for longer than allowed.
 * Another peer becomes suspect only by not accepting a request, and may send no
 * message that would clear it, so its suspicion expires after a while.
 */
void fleet_suspect_silent(fleet_t *fleet, usec_t now, usec_t allowed);

/* After a pause of this process: messages may have been missed, so discard all observations. */
void fleet_reset_health(fleet_t *fleet);

/* Compute the ranks for key, unless *ranks is up to date. Leaving proxies have no rank. */
void fleet_rank(const fleet_t *fleet, const char *key, ranks_t *ranks);

/* This proxy's rank without the suspect proxies, -1 if it has none. */
int fleet_acting_rank(const ranks_t *ranks);

/* True if a proxy ranked before this one is suspect, so that this one acts in its place. */
bool fleet_replaces_suspect(const ranks_t *ranks);

/*
 * True if more than half of the fleet, self included, was certainly alive at since or
 * later: their messages echo a reading of this proxy's clock that is not earlier.
 */
bool fleet_majority_is_alive(const fleet_t *fleet, usec_t since);
