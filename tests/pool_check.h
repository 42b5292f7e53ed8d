/* Checks that the tests of poolers on a manual clock share. */
#pragma once

#include "pool_world.h"

#define MSEC USEC_PER_MSEC
#define SEC  USEC_PER_SEC

/* Fails the test, and prints both texts, if text does not begin with prefix. */
void assert_has_prefix(const char *text, const char *prefix);

/* Returns the last run of the statement with that id at any member, or NULL. */
const fake_run_t *find_last_run(const pool_world_t *world, const char *id);

/* True if the proxy holds the leader lease. */
bool is_leader(const pool_world_t *world, size_t node);

/* Returns the first proxy that is the leader, or that is not. */
size_t find_leader(const pool_world_t *world);
size_t find_non_leader(const pool_world_t *world);

/* Returns the number of proxies that are on the roster that they hold themselves. */
size_t count_registered_proxies(const pool_world_t *world);

/* Returns how often the statement with that id ran, at all members together. */
size_t count_runs(const pool_world_t *world, const char *id);
