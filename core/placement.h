/*
 * Placement: which proxies run a group's requests, and how many connections
 * each may hold. The product's way is one home a group, to which others
 * forward. The other one, fixed equal shares, is the baseline of the load
 * measurement.
 */
#pragma once

#include "state.h"

typedef struct placement_ops {
	const char *name;
	/* The place of this proxy among those that run the group's requests, -1 if it does not. */
	int (*rank)(const core_t *core, const ranks_t *ranks);
	/* True if every proxy runs what it receives. */
	bool runs_all;
	/* How many of a row's connections on a member this proxy may open. */
	int64_t (*share)(const core_t *core, int64_t limit);
} placement_ops_t;

extern const placement_ops_t placement_home;
extern const placement_ops_t placement_equal_shares;
