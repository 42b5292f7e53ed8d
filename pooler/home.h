/*
 * Homes: the proxies that hold the connections to a service's members.
 *
 * A member takes few connections, and each new one costs a slot's time. Where the fleet is larger
 * than that, one proxy in each zone holds them for good, and all others hand their statements to
 * it (forward.h). A zone's home is the first of its proxies by a hash of their names and the
 * service's, so that everybody names the same one without asking, and the services' homes lie
 * on different proxies. In a small fleet every proxy is its own home.
 *
 * A home that does not answer is passed over for the next in order: a second one in the zone, then
 * those of other zones. If none answers, a proxy connects by itself.
 */
#pragma once

#include "state.h"

/* True if the fleet is too large for connections of every proxy to the service's members. */
bool home_is_needed(const service_t *service);

/* True if this proxy is the service's home in its zone, or the next one. */
bool home_self_is_candidate(service_t *service);

/* The homes of the service in the fleet. */
size_t home_count(service_t *service);

/* The home for our callers, which may be this proxy itself; NULL: none answers. */
const roster_node_t *home_find(service_t *service, usec_t now);

/* True if this proxy keeps connections to the service's members: for its zone, or for whom asks. */
bool home_holds_conns(service_t *service, usec_t now);

/* --- what is known of a peer that statements are handed to --- */

/* A statement was handed to it. */
void home_on_sent(pooler_t *pooler, const char *name, usec_t now);

/* Any message of it has come; outstanding: statements that it has not answered. */
void home_on_received(pooler_t *pooler, const char *name, size_t outstanding, usec_t now);

/* It does not take statements now. */
void home_on_declined(pooler_t *pooler, const char *name, usec_t now);

/* True if it has not answered for too long. */
bool home_is_suspect(const pooler_t *pooler, const char *name, usec_t now);

/* Ask those whose answers are overdue whether they live. */
void home_tick(pooler_t *pooler, usec_t now);
