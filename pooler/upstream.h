/*
 * Selects the proxy that this proxy queries for updates of the roster, the operators' configuration
 * and the members, and tracks which proxies query this one (its downstream proxies). In a small
 * fleet all proxies query the leader. In a larger one each zone has some hubs: a hub queries the
 * leader, the other proxies of the zone query one of their hubs, and the hub forwards what they
 * report. So the leader receives queries of one proxy in sixteen, or of one in 64 where hubs have a
 * core.
 *
 * Every proxy computes the hubs from the roster. A hub that does not answer is avoided for a while;
 * without one the leader is queried.
 */
#pragma once

#include "state.h"

/*
 * Least fleet size at which there are hubs. Below it the leader receives at most 64 queries a
 * second.
 */
#define UPSTREAM_HUBS_FLEET_MIN 17
/*
 * Number of a zone's proxies that a hub serves for each unit of its weight: this gives a hub as
 * many queries as the leader of a small fleet receives.
 */
#define UPSTREAM_PROXIES_PER_WEIGHT 16
/*
 * A proxy whose last query is no older than this counts as downstream, so updates are pushed to it:
 * four query intervals.
 */
#define UPSTREAM_DOWNSTREAM_TIMEOUT (1 * USEC_PER_SEC)

/* True if the fleet is large enough to have hubs. */
bool upstream_uses_hubs(const pooler_t *pooler);

/* True if this proxy is a hub. */
bool upstream_is_hub(pooler_t *pooler);

/* Finds the proxy to query now; false if there is none, or if it is this proxy itself. */
bool upstream_find(pooler_t *pooler, usec_t now, const char **name, const char **address);

/*
 * Records the sender of a message while this process has no roster, and so no other proxy to query.
 */
void upstream_note_contact(pooler_t *pooler, const char *name, const char *address);

/*
 * Pings the downstream proxies that have fallen silent, until they answer. Their process may have
 * restarted and have no other proxy to query, if the store does not serve it.
 */
void upstream_tick(pooler_t *pooler, usec_t now);

/* Records a query from that proxy. */
void upstream_on_query(peer_report_t *report, usec_t now);

/* Records that the proxy has answered a ping. */
void upstream_on_pong(peer_report_t *report, usec_t now);

/*
 * Records that a query was sent to that proxy, and avoids it as a hub if it has not answered
 * earlier ones.
 */
void upstream_on_query_sent(pooler_t *pooler, const char *name, usec_t now);

/* Weight of a proxy: its share of the fleet's common work, by the processor share of its VM. */
size_t upstream_weight(const roster_node_t *node);

/*
 * Hash for weighted rendezvous hashing: of several proxies, the one with the least hash is chosen.
 * seed identifies what a proxy is chosen for. A proxy is chosen in proportion to its weight.
 */
uint64_t upstream_hash(const roster_node_t *node, uint64_t seed);

/* Avoids a hub that does not answer: another one is queried for a while. */
void upstream_avoid_hub(pooler_t *pooler, const char *name, usec_t now);

/*
 * True if the leader's reports, such as the suspected primaries, may be accepted from that proxy:
 * it is the leader, or the proxy that we query.
 */
bool upstream_is_trusted(const pooler_t *pooler, const char *name);

/* True if that proxy has queried us within UPSTREAM_DOWNSTREAM_TIMEOUT. */
bool upstream_has_recent_query(const peer_report_t *report, usec_t now);

/* Calls each for all hubs except this proxy. */
void upstream_for_each_hub(pooler_t *pooler,
			   void (*each)(pooler_t *pooler, const roster_node_t *hub, void *data),
			   void *data);

/* Calls each for all downstream proxies that are on the roster. */
void upstream_for_each_downstream(pooler_t *pooler, usec_t now,
				  void (*each)(pooler_t *pooler, const roster_node_t *peer,
					       void *data),
				  void *data);
