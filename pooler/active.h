/*
 * Members and services with something under way.
 *
 * A proxy of a large fleet knows thousands of members and serves callers of a dozen services. The
 * tick, the reports to the holder of the duty and the answers to them look at these lists only, so
 * they cost what the proxy does, whatever the size of the directory.
 */
#pragma once

#include "state.h"

void active_init(pooler_t *pooler);

/* The member has a connection, is down, or is no longer listed; its service is active with it. */
void active_add_member(member_t *member);

/* The service has callers, a change of primary, or a doubt about it. */
void active_add_service(service_t *service);

/*
 * True while something must be looked at soon: statements on their way, changes of primary, common
 * work of the fleet. Without it a proxy need not look around more often than it asks for news.
 */
bool active_needs_fast_tick(pooler_t *pooler, usec_t now);

/* Take off what has nothing under way any more. */
void active_tick(pooler_t *pooler, usec_t now);
