/* Taking proxies off the roster that went without a word. */
#pragma once

#include "state.h"

/* For the holder of the duty: they must not hold up every change of primary for ever. */
void sweep_tick(pooler_t *pooler, usec_t now);

/*
 * True if a proxy that the roster calls gone can't be permitted anything any more: the proxies
 * that may still answer it as if nothing had changed are too few, and its last permission has
 * ended. Else PERMIT_LEASE_MAX after it was marked.
 */
bool sweep_permission_ended(const pooler_t *pooler, const peer_report_t *report);
