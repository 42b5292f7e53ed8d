/*
 * Lists of the members and services that are in use.
 *
 * A proxy of a large fleet has thousands of members in its directory and serves callers of a dozen
 * services. The tick, the reports to the leader and the answers to them go through these lists
 * only, so their cost depends on the proxy's load and not on the size of the directory.
 */
#pragma once

#include "state.h"

void active_init(pooler_t *pooler);

/*
 * Adds a member that has a connection, is down or is no longer listed, and its service.
 */
void active_add_member(member_t *member);

/* Adds a service that has callers, a change of primary, or a primary suspected to be down. */
void active_add_service(service_t *service);

/*
 * True while the tick must run at its short interval: statements in flight, a change of primary, or
 * work for the fleet. Otherwise the interval at which the proxy queries for updates is enough.
 */
bool active_needs_fast_tick(pooler_t *pooler, usec_t now);

/* Removes members and services that are no longer in use. */
void active_tick(pooler_t *pooler, usec_t now);
