/*
 * Whom a proxy asks for news of the roster, the operators' configuration and the members, and who
 * asks it. In a small fleet all ask the holder of the duty. In a larger one each zone has some
 * hubs: these ask the holder, and the others of the zone ask one of them, which passes on what they
 * report. So the holder hears from one proxy in sixteen, or in 64 where hubs have a core.
 *
 * Everybody works out the hubs from the roster. A hub that does not answer is passed over; without
 * one the holder is asked.
 */
#pragma once

#include "state.h"

/*
 * From so many proxies on there are hubs. Below that the holder has at most 64 questions a second.
 */
#define UPSTREAM_HUBS_FLEET_MIN 17
/*
 * Proxies of a zone for each part of a hub's weight: as many questions as the holder of a small
 * fleet has.
 */
#define UPSTREAM_PROXIES_PER_WEIGHT 16
/* Who has asked within this is told news at once: four questions' intervals. */
#define UPSTREAM_DOWNSTREAM_TIMEOUT (1 * USEC_PER_SEC)

/* True if the fleet is large enough to have hubs. */
bool upstream_uses_hubs(const pooler_t *pooler);

/* True if this proxy is one. */
bool upstream_is_hub(pooler_t *pooler);

/* Whom to ask now; false if nobody is known, or it is this proxy itself. */
bool upstream_find(pooler_t *pooler, usec_t now, const char **name, const char **address);

/* Remember who speaks to a process that knows no roster, and has nobody else to ask. */
void upstream_note_contact(pooler_t *pooler, const char *name, const char *address);

/*
 * Call those that asked this proxy regularly and have fallen silent, until they answer. Their
 * process may have started anew and know nobody, if the store does not serve it.
 */
void upstream_tick(pooler_t *pooler, usec_t now);

/* That proxy has asked us for news. */
void upstream_on_query(peer_report_t *report, usec_t now);

/* It has answered a call. */
void upstream_on_pong(peer_report_t *report, usec_t now);

/* It was asked. */
void upstream_on_query_sent(pooler_t *pooler, const char *name, usec_t now);

/* Parts of the fleet's common work that the proxy takes, by what its VM can do. */
size_t upstream_weight(const roster_node_t *node);

/*
 * For rendezvous hashing: whoever of some proxies has the least is chosen for what seed stands for,
 * as often as its weight says.
 */
uint64_t upstream_hash(const roster_node_t *node, uint64_t seed);

/* It does not answer: another hub is asked for a while. */
void upstream_avoid_hub(pooler_t *pooler, const char *name, usec_t now);

/* True if news of the holder, its doubts for example, may be taken from that proxy. */
bool upstream_is_trusted(const pooler_t *pooler, const char *name);

/* True if that proxy has asked us of late. */
bool upstream_is_downstream(const peer_report_t *report, usec_t now);

/* Calls each with all hubs but this proxy. */
void upstream_for_each_hub(pooler_t *pooler,
			   void (*each)(pooler_t *pooler, const roster_node_t *hub, void *data),
			   void *data);

/* Calls each with all proxies of the roster that ask this one for news. */
void upstream_for_each_downstream(pooler_t *pooler, usec_t now,
				  void (*each)(pooler_t *pooler, const roster_node_t *peer,
					       void *data),
				  void *data);
