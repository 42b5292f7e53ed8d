/*
 * Handles a store that was restored from a backup some seconds old: its roster is not the newest,
 * and only the proxies have what was written since.
 *
 * Each roster names the era of the store in which it was written (see kv.h). A roster that the
 * store holds in a later era is from the backup, and no primary that it names may be used. Proxies
 * that hold a newer roster continue with it as in an outage of the store; the proxy that becomes
 * the leader in the new era writes the newest roster it has. The previous leader holds all groups,
 * since only the leader writes them. Any other proxy marks each group as being changed by an
 * earlier leader, so that the members are queried before one of them is used.
 */
#pragma once

#include "state.h"

/* Handles a roster from a backup, which the store holds under that revision. Frees backup. */
void restore_on_backup(pooler_t *pooler, roster_t *backup, int64_t revision);

/* Handles the end of our leader lease together with the era in which it was granted. */
void restore_on_lease_ended(pooler_t *pooler);

/* True until the roster of the newest era is written; nothing else may be written before. */
bool restore_is_pending(const pooler_t *pooler);

/* True if another proxy should acquire the leadership before this one. */
bool restore_must_yield(const pooler_t *pooler);

/* Writes the roster in the new era, if this proxy is the leader. */
void restore_write_roster(pooler_t *pooler, usec_t now);
