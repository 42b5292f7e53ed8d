/*
 * Placement policies: which proxies run a group's requests, and how many connections
 * each may open. In normal operation each group has one home to which the others
 * forward. The policy of equal shares is the baseline of the load measurement.
 */
#pragma once

#include "state.h"

typedef struct placement_ops {
	const char *name;
	/* The rank of this proxy among those that run the group's requests, -1 if it has none. */
	int (*rank)(const core_t *core, const ranks_t *ranks);
	/* True if every proxy runs the requests that it receives. */
	bool runs_all;
	/* How many connections of a row to a member this proxy may open. */
	int64_t (*share)(const core_t *core, int64_t limit);
} placement_ops_t;

extern const placement_ops_t placement_home;
extern const placement_ops_t placement_equal_shares;
