/*
 * Keeping the table current. A few proxies (its keepers, by rendezvous hash)
 * watch the store; the others learn from heartbeats that a newer version exists
 * and pull what changed. So calls on the store do not grow with the fleet.
 */
#pragma once

#include "state.h"

void tablesync_start(core_t *core);

/* A heartbeat of a peer told its version. */
void tablesync_on_heartbeat(core_t *core, proxy_t *from, const message_t *message);
void tablesync_on_pull(core_t *core, proxy_t *from, const message_t *message);
void tablesync_on_push(core_t *core, proxy_t *from, const message_t *message);

void tablesync_on_load(core_t *core, uint64_t id, const store_event_t *event);
void tablesync_on_watch_down(core_t *core);
void tablesync_on_vms(core_t *core, const vms_event_t *event);

/* Take entries into the table and let everybody follow. */
int tablesync_merge(core_t *core, const table_entry_t *entries, size_t count, uint64_t version,
		    const char *source);

/* Our version was the store's at that time. */
void tablesync_set_current_at(core_t *core, usec_t at);

/* True if more than half of the fleet was heard within the time that a table stays known. */
bool tablesync_reaches_majority(const core_t *core);

/*
 * True if the table can be known to be current: the store said so lately, or
 * more than half of the fleet is heard. An edit is accepted only by a proxy
 * that hears more than half, so one of those would know of it.
 */
bool table_is_current(const core_t *core);
