/*
 * Failover without a coordinator and without the store. The group's members act as
 * the acceptors of a consensus round. A takeover orders them to seal a higher term,
 * which is a promise to obey no lower one; a member refuses a term that is not above
 * its own. Once a majority has sealed the term, the sealed member with the longest
 * log is promoted. A term can be sealed by one majority only, so concurrent
 * takeovers are safe. A majority holds every acknowledged write, so the longest log
 * of any sealed majority contains it.
 */
#pragma once

#include "state.h"

/* Start a takeover if the primary counts as failed and this proxy's rank is due to act. */
void takeover_start_if_due(group_t *group);

/* When a pending report makes the primary count as silent; USEC_NEVER if none is pending. */
usec_t takeover_silence_deadline(const group_t *group);

void takeover_order_done(group_t *group, member_t *member, uint64_t id, const order_event_t *event);
