/*
 * Homes: the proxies that hold the connections to a service's members.
 *
 * A member accepts few connections, and each new one costs it time. In a fleet with too many
 * proxies for that, one proxy in each zone, the home, holds the connections permanently, and all
 * others forward their statements to it (forward.h). The home of a zone is the first of its proxies
 * by processor share and a hash of their names and the service's (home_rank.h), so that all proxies
 * choose the same one without communication, and the homes of different services lie on different
 * proxies. In a small fleet every proxy is its own home.
 *
 * If a home does not answer, the next candidate is used: a second proxy in the zone, then the homes
 * of other zones. If none answers, a proxy connects to the members itself.
 */
#pragma once

#include "state.h"

/* True if the fleet is too large for every proxy to have connections to the service's members. */
bool home_is_needed(const service_t *service);

/* True if this proxy is among the service's home candidates. */
bool home_self_is_candidate(service_t *service);

/* Number of homes of the service in the fleet. */
size_t home_count(service_t *service);

/*
 * Stores the homes of the other zones that are not suspect, at most max; returns their number. Of
 * more than three zones not all are known here.
 */
size_t home_list_others(service_t *service, usec_t now, const roster_node_t **others, size_t max);

/*
 * The home to which this proxy forwards its callers' statements, which may be this proxy itself;
 * NULL: no candidate answers.
 */
const roster_node_t *home_find(service_t *service, usec_t now);

/* True if this proxy itself is the home to which it would forward. */
bool home_is_self(service_t *service, usec_t now);

/*
 * True if this proxy holds connections to the service's members: as its zone's home, or because
 * another proxy recently forwarded a statement to it.
 */
bool home_holds_conns(service_t *service, usec_t now);

/*
 * Connects to homes ahead of use, as soon as roster and configuration were read: a process that has
 * just started makes its links while it waits for its registration.
 */
void home_connect(pooler_t *pooler, usec_t now);

/* Connects to homes, and looks after the liveness of peers (liveness.h). */
void home_tick(pooler_t *pooler, usec_t now);
