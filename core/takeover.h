/*
 * Failover without a coordinator. The group's members are the acceptors: a
 * takeover asks them to seal a higher term (each refuses a term not above its
 * own); with a majority sealed, the sealed member with the longest log is
 * promoted. One term gets one majority, so two takeovers at once are safe, and
 * every acknowledged write is held by a majority, so the longest log of any
 * sealed majority contains it. No store is needed.
 */
#pragma once

#include "state.h"

/* Start a takeover if there is reason to and it is our turn. */
void takeover_consider(group_t *group);

/* When the primary's silence would become evidence; USEC_NEVER if it owes no answer. */
usec_t takeover_silence_deadline(const group_t *group);

void takeover_order_done(group_t *group, member_t *member, uint64_t id, const order_event_t *event);
