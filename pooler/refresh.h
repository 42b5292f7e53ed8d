/*
 * Keeps the directory, which is the operators' configuration and the list of members, current. The
 * leader watches the store and repeats a full read regularly, since a watch can miss changes
 * without an error. The other proxies receive the changes from the proxy that they query, and read
 * the store themselves when their directory grows too old.
 */
#pragma once

#include "state.h"

/*
 * Contribution of a member to pooler_t.members_digest, combined by exclusive or; 0 if the member is
 * not listed.
 */
uint64_t refresh_member_digest(const member_t *member);

/* Digest of the list of members, whatever their order. */
uint64_t refresh_members_digest(const pooler_t *pooler);

/*
 * Fills in what a state holds of the directory. query: the query that the state answers; NULL: the
 * state is pushed to the proxy of that name.
 */
void refresh_fill_state(pooler_t *pooler, const char *name, const peer_message_t *query,
			peer_message_t *message, void *parent);

/* Least time between two configurations sent to one proxy. */
usec_t refresh_config_send_interval(const pooler_t *pooler);

/* Applies what another proxy's state holds of the directory. */
void refresh_on_state(pooler_t *pooler, const peer_message_t *message, usec_t now);

void refresh_tick(pooler_t *pooler, usec_t now);

/*
 * Starts the first read of the directory, unless this process has just started and may still
 * receive the directory from a hub.
 */
void refresh_start_reading(pooler_t *pooler, usec_t now);
