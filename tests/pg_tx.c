#include "pg_tx.h"

#include <string.h>

#include "pg_log.h"
#include "pg_out.h"

/* Lets all connections that wait for a lock or a slot try again. */
static void unblock_all(void)
{
	for (guint i = 0; i < self.conns->len; i++) {
		conn_t *other = self.conns->pdata[i];

		self.has_unblocked |= other->blocked;
		other->blocked = FALSE;
	}
}

void pg_tx_reset(conn_t *conn)
{
	g_ptr_array_set_size(conn->writes, 0);
	conn->read_only = FALSE;
	unblock_all();
}

gboolean pg_slot_acquire(conn_t *conn)
{
	if (self.service_us == 0 || conn->holds_slot)
		return TRUE;
	conn->blocked = TRUE;
	if (self.busy_slots < self.slots) {
		self.busy_slots++;
		conn->holds_slot = TRUE;
		conn->busy_until = pg_now_us() + self.service_us;
	}
	return FALSE;
}

void pg_slot_release(conn_t *conn)
{
	if (!conn->holds_slot)
		return;
	conn->holds_slot = FALSE;
	conn->busy_until = 0;
	self.busy_slots--;
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

	return own != NULL ? own : g_hash_table_lookup(self.records, key);
}

gboolean pg_tx_is_locked(conn_t *conn, const char *key)
{
	for (guint i = 0; i < self.conns->len; i++) {
		conn_t *other = self.conns->pdata[i];

		if (other != conn && !other->closing && find_write(other->writes, key) != NULL) {
			conn->blocked = TRUE;
			return TRUE;
		}
	}
	return FALSE;
}

gboolean pg_tx_commit(conn_t *conn)
{
	GPtrArray *writes = conn->writes;

	conn->tx_status = 'I';
	if (writes->len == 0) {
		pg_tx_reset(conn);
		return TRUE;
	}
	if (!self.primary) {
		pg_tx_reset(conn);
		pg_send_error(conn, "25006", "this member is no longer primary");
		return FALSE;
	}
	conn->writes = g_ptr_array_new_with_free_func(g_free);
	pg_log_append(self.sealed_term, writes);
	pg_tx_reset(conn);
	return TRUE;
}

gboolean pg_tx_write(conn_t *conn, const char *key, const char *value)
{
	if (!self.primary || conn->read_only) {
		pg_send_error(conn, "25006", "cannot write in a read-only transaction");
		return FALSE;
	}
	if (pg_tx_is_locked(conn, key))
		return FALSE;
	g_ptr_array_add(conn->writes, g_strdup(key));
	g_ptr_array_add(conn->writes, g_strdup(value));
	return conn->tx_status == 'T' || pg_tx_commit(conn);
}
