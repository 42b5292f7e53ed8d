#include "pool.h"

#include <string.h>

#include <talloc.h>

#include "exec.h"
#include "placement.h"
#include "tx.h"

/* Time until the next attempt to connect after one that failed or found no free slot. */
#define CONNECT_BACKOFF (20 * USEC_PER_MSEC)
/* Idle time-out once another proxy is the group's home and needs the slots. */
#define CONN_IDLE_AFTER_MOVE (200 * USEC_PER_MSEC)

conn_t *pool_find_conn(const core_t *core, uint64_t id)
{
	conn_t *conn;

	HASH_FIND(hh, core->conns, &id, sizeof(id), conn);
	return conn;
}

static pool_t *find_pool(const member_t *member, const char *row)
{
	list_for_each (it, &member->pools) {
		pool_t *pool = list_entry(it, pool_t, node);

		if (strcmp(pool->row, row) == 0)
			return pool;
	}
	return NULL;
}

static pool_t *find_or_create_pool(member_t *member, const char *row)
{
	pool_t *pool = find_pool(member, row);

	if (pool != NULL)
		return pool;
	pool = talloc_zero(member->group->members, pool_t);
	pool->row = talloc_strdup(pool, row);
	pool->member = member;
	list_init(&pool->conns);
	list_add_tail(&member->pools, &pool->node);
	return pool;
}

conn_t *pool_acquire(member_t *member, const row_t *row)
{
	pool_t *pool = find_pool(member, row->name);

	if (pool == NULL)
		return NULL;
	list_for_each (it, &pool->conns) {
		conn_t *conn = list_entry(it, conn_t, node);

		/* A slot above a lowered limit may no longer be used. */
		if (conn->state != CONN_IDLE || conn->slot >= row->connections)
			continue;
		conn->state = CONN_BUSY;
		return conn;
	}
	return NULL;
}

void pool_connect(member_t *member, const row_t *row)
{
	core_t *core = member->group->core;
	pool_t *pool = find_or_create_pool(member, row->name);
	action_t *action;
	conn_t *conn;

	if (pool->dispatch_pass != member->group->dispatch_pass) {
		pool->dispatch_pass = member->group->dispatch_pass;
		pool->wanted = 0;
	}
	pool->wanted++;
	if ((int64_t)pool->conn_count >= core->placement->share(core, row->connections) ||
	    core->now < pool->connect_after || pool->connecting >= pool->wanted)
		return;
	conn = talloc_zero(core, conn_t);
	conn->id = core_next_id(core);
	conn->pool = pool;
	conn->state = CONN_CONNECTING;
	HASH_ADD(hh, core->conns, id, sizeof(conn->id), conn);
	list_add_tail(&pool->conns, &conn->node);
	pool->conn_count++;
	pool->connecting++;
	action = core_add_action(core, ACTION_CONNECT);
	action->id = conn->id;
	action->connect.group = talloc_strdup(action, member->group->name);
	action->connect.member = talloc_strdup(action, member->spec.name);
	action->connect.address = talloc_strdup(action, member->spec.address);
	action->connect.row = talloc_strdup(action, row->name);
	action->connect.limit = row->connections;
	/* The slots of a failed home stay claimed until the server ends its sessions. */
	action->connect.evict = fleet_replaces_suspect(&member->group->ranks);
}

void pool_release(conn_t *conn)
{
	conn->request = NULL;
	conn->tx = NULL;
	conn->state = CONN_IDLE;
	conn->idle_since = conn->pool->member->group->core->now;
}

static void free_conn(core_t *core, conn_t *conn)
{
	pool_t *pool = conn->pool;

	pool->conn_count--;
	if (conn->state == CONN_CONNECTING)
		pool->connecting--;
	list_del(&conn->node);
	HASH_DEL(core->conns, conn);
	talloc_free(conn);
}

void pool_close_conn(conn_t *conn)
{
	core_t *core = conn->pool->member->group->core;
	action_t *action = core_add_action(core, ACTION_CLOSE);

	action->id = conn->id;
	/* A busy one is freed by EVENT_CONN_DOWN, after the result of its run. */
	if (conn->state == CONN_CONNECTING || conn->state == CONN_IDLE)
		free_conn(core, conn);
}

void pool_conn_up(core_t *core, uint64_t id, const conn_up_event_t *event)
{
	conn_t *conn = pool_find_conn(core, id);

	if (conn == NULL)
		return;
	conn->pool->connecting--;
	conn->slot = event->slot;
	pool_release(conn);
	exec_dispatch(conn->pool->member->group);
}

void pool_conn_down(core_t *core, uint64_t id, const conn_down_event_t *event)
{
	conn_t *conn = pool_find_conn(core, id);
	group_t *group;

	if (conn == NULL)
		return;
	group = conn->pool->member->group;
	if (conn->state == CONN_CONNECTING) {
		conn->pool->connect_after = core->now + CONNECT_BACKOFF;
		core_log(core, false, "connect failed group=%s member=%s row=%s: %s", group->name,
			 conn->pool->member->spec.name, conn->pool->row,
			 event->detail != NULL ? event->detail : "");
	}
	if (conn->tx != NULL)
		tx_lost(conn->tx);
	free_conn(core, conn);
	exec_dispatch(group);
}

static bool should_close_idle(const group_t *group, const conn_t *conn)
{
	const core_t *core = group->core;
	const row_t *row = table_find_row_named(core->table, conn->pool->row);
	usec_t allowed = group->rank == 0 ? core->config.timings.conn_idle : CONN_IDLE_AFTER_MOVE;

	if (conn->state != CONN_IDLE)
		return false;
	if (row == NULL || conn->slot >= row->connections)
		return true;
	return core->now - conn->idle_since > allowed;
}

void pool_close_idle(group_t *group)
{
	for (size_t i = 0; i < group->member_count; i++) {
		list_for_each (p, &group->members[i].pools) {
			pool_t *pool = list_entry(p, pool_t, node);

			list_for_each_safe (it, &pool->conns) {
				conn_t *conn = list_entry(it, conn_t, node);

				if (should_close_idle(group, conn))
					pool_close_conn(conn);
			}
		}
	}
}

void pool_close_all(group_t *group)
{
	for (size_t i = 0; i < group->member_count; i++) {
		list_for_each (p, &group->members[i].pools) {
			pool_t *pool = list_entry(p, pool_t, node);

			list_for_each_safe (it, &pool->conns)
				pool_close_conn(list_entry(it, conn_t, node));
		}
	}
}

static bool needs_primary(const conn_t *conn)
{
	if (conn->state == CONN_IN_TX)
		return true;
	return conn->request != NULL &&
	       (conn->request->kind == ROW_WRITE || conn->request->linearizable);
}

/* True if the connection runs a read; without a request the read has been abandoned. */
static bool is_read(const conn_t *conn)
{
	if (conn->state != CONN_BUSY)
		return false;
	return conn->request == NULL || conn->request->kind == ROW_READ;
}

static void close_matching(member_t *member, bool (*matches)(const conn_t *conn))
{
	list_for_each (p, &member->pools) {
		pool_t *pool = list_entry(p, pool_t, node);

		list_for_each_safe (it, &pool->conns) {
			conn_t *conn = list_entry(it, conn_t, node);

			if (matches(conn))
				pool_close_conn(conn);
		}
	}
}

void pool_close_superseded(member_t *member)
{
	close_matching(member, needs_primary);
}

void pool_close_stuck_reads(member_t *member)
{
	close_matching(member, is_read);
}

bool member_has_busy_conn(const member_t *member)
{
	list_for_each (p, &member->pools) {
		const pool_t *pool = list_entry(p, pool_t, node);

		list_for_each (it, &pool->conns) {
			const conn_t *conn = list_entry(it, conn_t, node);

			if (conn->state == CONN_BUSY || conn->state == CONN_IN_TX)
				return true;
		}
	}
	return false;
}
