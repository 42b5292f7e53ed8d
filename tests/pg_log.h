/* The log of a stand-in, and the records that come of it. */
#pragma once

#include "pg_state.h"

void pg_log_entry_free(void *ptr);

/* Takes writes over: keys and values in turn. */
void pg_log_append(guint64 term, GPtrArray *writes);

/* 0 if the log is empty. */
guint64 pg_log_last_term(void);

/* Forget what comes behind lsn. */
void pg_log_truncate(guint64 lsn);
