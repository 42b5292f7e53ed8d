/*
 * Pooled connections: one pool for each member and row. A row's limit holds
 * over the whole fleet because each connection claims one of the row's slots at
 * the member itself before it is used; proxies that disagree about who serves a
 * group compete for the same slots.
 */
#pragma once

#include "state.h"

/* An idle connection of row at member, marked busy; NULL if there is none. */
conn_t *pool_acquire(member_t *member, const row_t *row);

/* Open one more connection if limits and backoff allow. */
void pool_connect(member_t *member, const row_t *row);

/* Give a connection back for reuse. Only one whose last answer was read whole may come. */
void pool_release(conn_t *conn);

/* Close a connection, whatever it does; a run on it ends with EVENT_RUN_DONE. */
void pool_close_conn(conn_t *conn);

void pool_conn_up(core_t *core, uint64_t id, const conn_up_event_t *event);
void pool_conn_down(core_t *core, uint64_t id, const conn_down_event_t *event);

/* Close connections unused for long or above a lowered limit. */
void pool_close_idle(group_t *group);
void pool_close_all(group_t *group);

/*
 * Close what is busy with work that only a primary can finish, on a member that
 * is not: it may never answer, and could not be confirmed if it did.
 */
void pool_close_superseded(member_t *member);

/* Close the reads that run on a member that has stopped answering: others can serve them. */
void pool_close_stuck_reads(member_t *member);

bool member_has_busy_conn(const member_t *member);
conn_t *pool_find_conn(const core_t *core, uint64_t id);
