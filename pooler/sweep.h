/* Removes proxies from the roster that ended without removing their own entry. */
#pragma once

#include "state.h"

/*
 * For the leader: marks silent proxies as gone, and removes them later, since otherwise they would
 * delay every change of primary.
 */
void sweep_tick(pooler_t *pooler, usec_t now);

/*
 * True if a proxy that the roster marks as gone can no longer have a permission: too few proxies
 * have an older roster to extend its permission by agreement, and its last permission has ended.
 * Otherwise true from PERMIT_LEASE_MAX after the proxy was marked.
 */
bool sweep_permission_ended(const pooler_t *pooler, const peer_report_t *report);
