/* Replication log of the stand-in for a backend server, and the records built from it. */
#pragma once

#include "pg_state.h"

void pg_log_entry_free(void *ptr);

/* Appends an entry and applies it to the records. Takes ownership of writes, as in entry_t. */
void pg_log_append(guint64 term, GPtrArray *writes);

/* Term of the last entry, 0 if the log is empty. */
guint64 pg_log_last_term(void);

/* Removes the entries after the first lsn ones and rebuilds the records. */
void pg_log_truncate(guint64 lsn);
