/*
 * Keeps the operators' table current. The store watchers, FLEET_RANKS proxies chosen
 * by rendezvous hashing, watch the store. Heartbeats carry the table version; a proxy
 * that receives a newer one pulls the changes from the sender. So the number of store
 * calls does not grow with the fleet.
 */
#pragma once

#include "state.h"

void tablesync_start(core_t *core);

/* Messages from peers: heartbeat (the table's part), pull, push. */
void tablesync_on_heartbeat(core_t *core, proxy_t *from, const message_t *message);
void tablesync_on_pull(core_t *core, proxy_t *from, const message_t *message);
void tablesync_on_push(core_t *core, proxy_t *from, const message_t *message);

/* Events of the store and of the platform. */
void tablesync_on_load(core_t *core, uint64_t id, const store_event_t *event);
void tablesync_on_watch_down(core_t *core);
void tablesync_on_vms(core_t *core, const vms_event_t *event);

/* Merge entries into the table, adapt the groups, and announce a new version to the neighbours. */
int tablesync_merge(core_t *core, const table_entry_t *entries, size_t count, uint64_t version,
		    const char *source);

/* Record that the version held here was the store's at that time. */
void tablesync_set_current_at(core_t *core, usec_t at);

/* True if more than half of the fleet was alive within the last table_max_age. */
bool tablesync_reaches_majority(const core_t *core);

/*
 * True if the table is certainly current: it was the store's within the last
 * table_max_age, or more than half of the fleet is reached. A proxy accepts an edit
 * only while it reaches more than half of the fleet too, and any two majorities have
 * a proxy in common, which has received the edit.
 */
bool table_is_current(const core_t *core);
