#include "pg_tx.h"

#include <string.h>

#include "pg_log.h"
#include "pg_out.h"

/* Whoever waits for a lock or a slot may try again. */
static void unblock_all(void)
{
	for (guint i = 0; i < me.conns->len; i++) {
		conn_t *other = me.conns->pdata[i];

		me.unblocked |= other->blocked;
		other->blocked = FALSE;
	}
}

void pg_tx_clear(conn_t *conn)
{
	g_ptr_array_set_size(conn->writes, 0);
	conn->read_only = FALSE;
	unblock_all();
}

gboolean pg_slot_pass(conn_t *conn)
{
	if (me.service_us == 0 || conn->in_slot)
		return TRUE;
	conn->blocked = TRUE;
	if (me.busy_slots < me.slots) {
		me.busy_slots++;
		conn->in_slot = TRUE;
		conn->sleep_until = pg_now_us() + me.service_us;
	}
	return FALSE;
}

void pg_slot_leave(conn_t *conn)
{
	if (!conn->in_slot)
		return;
	conn->in_slot = FALSE;
	conn->sleep_until = 0;
	me.busy_slots--;
	unblock_all();
}

static const char *find_write(const GPtrArray *writes, const char *key)
{
	for (guint i = writes->len; i >= 2; i -= 2) {
		if (strcmp(writes->pdata[i - 2], key) == 0)
			return writes->pdata[i - 1];
	}
	return NULL;
}

const char *pg_tx_read(conn_t *conn, const char *key)
{
	const char *own = find_write(conn->writes, key);

	return own != NULL ? own : g_hash_table_lookup(me.records, key);
}

gboolean pg_tx_is_locked(conn_t *conn, const char *key)
{
	for (guint i = 0; i < me.conns->len; i++) {
		conn_t *other = me.conns->pdata[i];

		if (other != conn && !other->dead && find_write(other->writes, key) != NULL) {
			conn->blocked = TRUE;
			return TRUE;
		}
	}
	return FALSE;
}

gboolean pg_tx_commit(conn_t *conn)
{
	GPtrArray *writes = conn->writes;

	conn->state = 'I';
	if (writes->len == 0) {
		pg_tx_clear(conn);
		return TRUE;
	}
	if (!me.primary) {
		pg_tx_clear(conn);
		pg_send_error(conn, "25006", "this member is no longer primary");
		return FALSE;
	}
	conn->writes = g_ptr_array_new_with_free_func(g_free);
	pg_log_append(me.sealed, writes);
	pg_tx_clear(conn);
	return TRUE;
}

gboolean pg_tx_write(conn_t *conn, const char *key, const char *value)
{
	if (!me.primary || conn->read_only) {
		pg_send_error(conn, "25006", "cannot write in a read-only transaction");
		return FALSE;
	}
	if (pg_tx_is_locked(conn, key))
		return FALSE;
	g_ptr_array_add(conn->writes, g_strdup(key));
	g_ptr_array_add(conn->writes, g_strdup(value));
	return conn->state == 'T' || pg_tx_commit(conn);
}
