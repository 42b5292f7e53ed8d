/*
 * Messages between proxies: heartbeats to neighbours, the header of every message,
 * and dispatch of received ones. Neighbours are the proxies that watch a group
 * together with this one and a few selected by hash, so that their number does not
 * grow with the fleet.
 */
#pragma once

#include "state.h"

/* Fill in the header and send a copy of message. */
void peers_send(core_t *core, const char *peer, const message_t *message);

/* Start the periodic heartbeats. */
void peers_start(core_t *core);

/* Send heartbeats to all neighbours now, as after a change that they need at once. */
void peers_send_heartbeats(core_t *core);

void peers_receive(core_t *core, const char *peer, const message_t *message);
