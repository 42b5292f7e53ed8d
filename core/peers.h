/*
 * Talk between proxies: heartbeats to neighbours, and the header of every
 * message. Neighbours are those that watch a group with us and a few more by
 * hash, so that their number does not grow with the fleet.
 */
#pragma once

#include "state.h"

/* Fill in the header and send a copy of message. */
void peers_send(core_t *core, const char *peer, const message_t *message);

/* Start sending heartbeats. */
void peers_start(core_t *core);

/* Tell the neighbours at once, after news that can't wait. */
void peers_send_heartbeats(core_t *core);

void peers_receive(core_t *core, const char *peer, const message_t *message);
