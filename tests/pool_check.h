/* What the tests of poolers in paused time look at. */
#pragma once

#include "pool_world.h"

#define MSEC USEC_PER_MSEC
#define SEC  USEC_PER_SEC

/* Fails the test with both texts. */
void assert_has_prefix(const char *text, const char *with);

/* Where the statement of that id ran last, or NULL. */
const fake_run_t *find_last_run(const pool_world_t *world, const char *id);

/* True if the proxy holds the duty to promote. */
bool is_leader(const pool_world_t *world, size_t node);

/* The first proxy that holds the duty, or that does not. */
size_t find_leader(const pool_world_t *world);
size_t find_non_leader(const pool_world_t *world);

/* Proxies that are on the roster that they know. */
size_t count_registered_proxies(const pool_world_t *world);

/* How often the statement of that id ran, at all members. */
size_t run_count(const pool_world_t *world, const char *id);
