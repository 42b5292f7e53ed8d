/* Removes proxies from the roster that ended without removing themselves from it. */
#pragma once

#include "state.h"

/*
 * For the leader: marks silent proxies as gone, and removes them later, since otherwise they would
 * delay every change of primary.
 */
void sweep_tick(pooler_t *pooler, usec_t now);

/*
 * True if a proxy that the roster marks as gone can no longer have a permission: too few proxies
 * have an older roster to extend it by quorum, and the last one it was granted has ended. Otherwise
 * true PERMIT_LEASE_MAX after it was marked.
 */
bool sweep_permission_ended(const pooler_t *pooler, const peer_report_t *report);
