/*
 * Pooled connections, with a pool for each member and row. Each connection claims
 * one of the row's slots at the member before it is used. So a row's limit holds
 * for the whole fleet, even while proxies disagree about which one serves a group.
 */
#pragma once

#include "state.h"

/* An idle connection of row at member, marked busy; NULL if there is none. */
conn_t *pool_acquire(member_t *member, const row_t *row);

/* Open one more connection if limits and backoff allow. */
void pool_connect(member_t *member, const row_t *row);

/* Make a connection idle again. Its last answer must have been read completely. */
void pool_release(conn_t *conn);

/* Close a connection in any state; a run on it ends with EVENT_RUN_DONE. */
void pool_close_conn(conn_t *conn);

void pool_conn_up(core_t *core, uint64_t id, const conn_up_event_t *event);
void pool_conn_down(core_t *core, uint64_t id, const conn_down_event_t *event);

/* Close idle connections that are unused for too long or exceed a lowered limit. */
void pool_close_idle(group_t *group);

/* Close all connections to the group's members. */
void pool_close_all(group_t *group);

/*
 * Close the connections with writes, linearizable reads and transactions on a member
 * that is not the primary (any more): the member may never answer, and its answers
 * could not be confirmed.
 */
void pool_close_superseded(member_t *member);

/* Close the connections with reads on a member that does not respond, so that others serve them. */
void pool_close_stuck_reads(member_t *member);

/* True if a request or a transaction uses a connection to the member. */
bool member_has_busy_conn(const member_t *member);
conn_t *pool_find_conn(const core_t *core, uint64_t id);
