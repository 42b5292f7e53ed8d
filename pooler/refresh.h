/*
 * Reading the configuration and the list of members again, since a watch can
 * miss changes without a sign. The holder of the duty does it regularly; the
 * others compare theirs with its.
 */
#pragma once

#include "state.h"

/* Equal for equal lists of members, whatever their order. */
uint64_t refresh_members_digest(const pooler_t *pooler);

/* Another proxy may know more than we do. */
void refresh_compare(pooler_t *pooler, const peer_message_t *message, usec_t now);

void refresh_tick(pooler_t *pooler, usec_t now);
