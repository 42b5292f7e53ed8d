#include "pg_log.h"

void pg_log_entry_free(void *ptr)
{
	entry_t *entry = ptr;

	g_ptr_array_unref(entry->writes);
	g_free(entry);
}

static void apply_writes(const GPtrArray *writes)
{
	for (guint i = 0; i + 1 < writes->len; i += 2)
		g_hash_table_replace(self.records, g_strdup(writes->pdata[i]),
				     g_strdup(writes->pdata[i + 1]));
}

void pg_log_append(guint64 term, GPtrArray *writes)
{
	entry_t *entry = g_new0(entry_t, 1);

	entry->term = term;
	entry->writes = writes;
	g_ptr_array_add(self.log, entry);
	apply_writes(writes);
}

guint64 pg_log_last_term(void)
{
	return self.log->len > 0 ? ((entry_t *)self.log->pdata[self.log->len - 1])->term : 0;
}

void pg_log_truncate(guint64 lsn)
{
	if (lsn >= self.log->len)
		return;
	g_ptr_array_set_size(self.log, (gint)lsn);
	g_hash_table_remove_all(self.records);
	for (guint i = 0; i < self.log->len; i++)
		apply_writes(((entry_t *)self.log->pdata[i])->writes);
}
