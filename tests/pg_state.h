/*
 * State of standin_pg, the stand-in for a backend server: its log and records, its connections and
 * its upstream. A process is one member, so the state is a global variable.
 */
#pragma once

#include <glib.h>

#define PG_MAX_PARAMS 8
/* Request code in the startup message of a follower; not part of the PostgreSQL protocol. */
#define PG_CODE_REPLICATION  12648430
#define PG_UPSTREAM_RETRY_MS 50

/* A committed transaction; writes holds key, value, key, value, ... */
typedef struct entry {
	guint64 term;
	GPtrArray *writes;
} entry_t;

typedef enum { CONN_NEW, CONN_SQL, CONN_REPLICA } conn_kind_t;

typedef struct conn {
	int fd;
	conn_kind_t kind;
	GByteArray *in;
	GByteArray *out;
	gint64 accept_at;  /* when the startup message of a new connection is handled */
	gboolean closing;  /* is closed and freed at the end of the loop iteration */
	gboolean blocked;  /* waits for a lock, a slot or the end of its service time */
	gboolean skipping; /* skips messages after an error, up to Sync */
	char tx_status;	   /* as in ReadyForQuery: 'I' idle, 'T' in a transaction, 'E' failed */
	gboolean read_only;
	char *sql;	      /* statement to execute */
	GHashTable *prepared; /* statement name to its SQL */
	char *params[PG_MAX_PARAMS];
	gint64 last_active;	   /* is never set, so neither idle time-out ends a connection */
	gint64 idle_timeout_us;	   /* 0: none */
	gint64 idle_tx_timeout_us; /* while a transaction is open */
	gint64 busy_until;	   /* end of the service time or of pg_sleep(), 0: none */
	gboolean holds_slot;	   /* its statement occupies one of the slots */
	GPtrArray *writes;	   /* of the open transaction */
	char *slot_claim;	   /* "ROW/SLOT" that this connection has claimed, or NULL */
	guint64 sent_lsn;	   /* entries sent to this follower */
} conn_t;

/* An entry received from the upstream, to be applied when the lag has passed. */
typedef struct pending {
	gint64 apply_at;
	entry_t entry;
} pending_entry_t;

typedef struct member {
	const char *name;
	int listener;
	guint64 sealed_term; /* the member obeys no lower term */
	gboolean primary;
	char *upstream; /* host:port of the member that this one follows, or NULL */
	int upstream_fd;
	GByteArray *upstream_in;
	gint64 upstream_retry_at;
	GQueue pending;
	GPtrArray *log;
	GHashTable *records;
	GPtrArray *conns;
	gint64 lag_us;
	gint64 connect_us; /* delay before a new connection is served */
	int slots;	   /* statements that run at the same time, if service_us is not 0 */
	int busy_slots;
	gint64 service_us; /* time for which a statement occupies a slot */
	int max_conns;
	int peak_conns;		/* highest number of SQL connections so far */
	gboolean isolated;	/* no replication from or to this member */
	guint64 bytes;		/* sent to and received from SQL clients */
	gboolean has_unblocked; /* a blocked connection can continue without waiting */
} member_t;

extern member_t self;

static inline gint64 pg_now_us(void)
{
	return g_get_monotonic_time();
}
