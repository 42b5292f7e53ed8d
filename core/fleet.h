/*
 * The fleet: which proxies there are, which of them can be reached, and which
 * ones serve and watch a group. Ranks come from rendezvous hashing over the
 * names, so that proxies with the same list agree without talking. Being wrong
 * about a rank costs time only: safety rests on the group members.
 *
 * Three witnesses of unequal age: the platform's list (slow), heartbeats
 * between neighbours, and whether forwarded requests are accepted (fast).
 */
#pragma once

#include <uthash.h>

#include "clock.h"
#include "event.h"

/* Proxies that watch a group: the first serves it, the others stand by. */
#define FLEET_RANKS 3

typedef struct proxy {
	char *name;
	char *zone;
	char *address;
	bool self;
	bool listed;  /* on the platform's list, or in the settings */
	bool leaving; /* final for this incarnation */
	bool suspect; /* does not answer; cleared by the next message */
	usec_t suspected_at;
	bool sends_heartbeats; /* it sends us heartbeats regularly, so its silence means something
				*/
	uint64_t incarnation;
	usec_t added_at;
	usec_t last_received; /* last message, 0 never */
	usec_t peer_clock;    /* its clock in its last message, for our echo */
	usec_t last_echo;     /* our clock as it last saw it: bounds the age of its messages */
	uint64_t table_version;
	UT_hash_handle hh;
} proxy_t;

typedef enum { FLEET_JOINED, FLEET_LEFT, FLEET_MOVED } fleet_change_kind_t;

/* A change that can move ranks. The proxy may be gone: only its address in memory counts. */
typedef struct fleet_change {
	fleet_change_kind_t kind;
	const proxy_t *proxy;
} fleet_change_t;

/* Changes remembered, so that ranks are worked out anew only where they can have moved. */
#define FLEET_CHANGES 64

typedef struct fleet {
	proxy_t *proxies;
	proxy_t *self;
	uint64_t epoch; /* number of changes so far; the last ones are in changes[] */
	fleet_change_t changes[FLEET_CHANGES];
} fleet_t;

typedef struct ranks {
	proxy_t *proxies[FLEET_RANKS];
	size_t len;
	uint64_t lowest_score; /* score of the worst ranked: a newcomer below it changes nothing */
	uint64_t epoch;	       /* of the fleet when it was worked out */
} ranks_t;

fleet_t *fleet_create(void *parent, const char *name, const char *zone, const char *address);

proxy_t *fleet_find(const fleet_t *fleet, const char *name);

/* Add a proxy or update where it is. Returns it. */
proxy_t *fleet_add(fleet_t *fleet, usec_t now, const char *name, const char *zone,
		   const char *address, bool listed);

/* Take the platform's list. What is no longer listed and silent for forget_after goes. */
void fleet_apply_list(fleet_t *fleet, usec_t now, const vm_t *vms, size_t count,
		      usec_t forget_after);

/* Note a message of a peer; a later incarnation starts with a clean slate. */
void fleet_on_message(fleet_t *fleet, proxy_t *proxy, usec_t now, const message_t *message);

void fleet_set_leaving(fleet_t *fleet, proxy_t *proxy);
void fleet_set_suspect(proxy_t *proxy, usec_t now);

/*
 * Suspect the expected peers that were silent for allowed. One that is not
 * expected was suspected because it did not accept a request; it sends nothing
 * that could clear it, so it gets another chance after a while.
 */
void fleet_suspect_silent(fleet_t *fleet, usec_t now, usec_t allowed);

/* After a pause of this process: judge nobody on what was missed meanwhile. */
void fleet_reset_health(fleet_t *fleet);

/* Work out who serves key, unless *ranks is of the current epoch. Leaving proxies have no rank. */
void fleet_rank(const fleet_t *fleet, const char *key, ranks_t *ranks);

/* This proxy's place among ranks that are not suspect, -1 if it has none. */
int fleet_acting_rank(const ranks_t *ranks);

/* True if a proxy ranked before this one is suspect: we act in its place. */
bool fleet_replaces_suspect(const ranks_t *ranks);

/*
 * True if more than half of the fleet, self included, is known to have been alive since then: its
 * messages echo a time of our clock that is no earlier.
 */
bool fleet_majority_is_alive(const fleet_t *fleet, usec_t since);
