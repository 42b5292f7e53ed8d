/*
 * Liveness of the proxies to which this one sends messages that they must answer: homes and owners
 * of limit shards. Any message from such a peer shows that it is alive. One that stays silent is
 * pinged, and becomes suspect once an answer to the ping is overdue by the peer's measured round
 * trips, within bounds. A peer that sends messages but does not receive ours becomes suspect too.
 *
 * A link carries messages in one direction and takes a while to make, so a peer without a link to
 * it is pinged as soon as there is one: its answer makes the link back.
 */
#pragma once

#include "state.h"

/* Records that a message was sent to the peer that it must answer. */
void liveness_on_sent(pooler_t *pooler, const char *name, usec_t now);

/* Records that such a message was not sent, since there is no link to the peer yet. */
void liveness_on_unsent(pooler_t *pooler, const char *name, usec_t now);

/*
 * Records that a message from the peer has arrived. outstanding: number of forwarded statements
 * that the peer has not answered yet.
 */
void liveness_on_received(pooler_t *pooler, const char *name, size_t outstanding, usec_t now);

/* Records that the peer has answered a statement, so it receives messages of this proxy. */
void liveness_on_answer(pooler_t *pooler, const char *name);

/* Records that the peer has answered a ping. */
void liveness_on_pong(peer_report_t *report, usec_t now);

/* Records that the peer declined a statement. */
void liveness_on_declined(pooler_t *pooler, const char *name, usec_t now);

/*
 * True if the peer has sent nothing for too long since liveness_on_sent(), or nothing could be sent
 * to it for too long, or it has not answered pings, whatever else it has sent.
 */
bool liveness_is_suspect(const pooler_t *pooler, const char *name, usec_t now);

/*
 * True if statements may be forwarded to the peer: it is not suspect, has declined none just now,
 * and is not shutting down.
 */
bool liveness_is_usable(const pooler_t *pooler, const char *name, usec_t now);

/*
 * Pings a peer of which an answer is expected from now on, unless it was pinged within the usual
 * interval.
 */
void liveness_ping(pooler_t *pooler, const char *name, usec_t now);

/*
 * Sends a ping that makes the links to the peer and back ahead of use; returns true once it has
 * answered one. *links_left: number of links that may still be made now.
 */
bool liveness_connect(pooler_t *pooler, const roster_node_t *peer, usec_t now, int *links_left);

/* Pings peers whose answers are overdue, and calls on_suspect for each that becomes suspect. */
void liveness_tick(pooler_t *pooler, usec_t now,
		   void (*on_suspect)(pooler_t *pooler, const char *name, usec_t now));
