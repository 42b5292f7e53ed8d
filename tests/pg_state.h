/*
 * What the stand-in for a backend server holds: its log and records, its
 * connections, whom it follows. One process is one member, so there is one.
 */
#pragma once

#include <glib.h>

#define PG_MAX_PARAMS 8
/* The first message's code of a peer that wants our log; our own, outside the protocol. */
#define PG_CODE_REPLICA	   12648430
#define PG_RETRY_FOLLOW_MS 50

/* One committed transaction: its writes, as key and value in turn. */
typedef struct entry {
	guint64 term;
	GPtrArray *writes;
} entry_t;

typedef enum { PEER_NEW, PEER_SQL, PEER_REPLICA } peer_kind_t;

typedef struct conn {
	int fd;
	peer_kind_t kind;
	GByteArray *in;
	GByteArray *out;
	gint64 ready_at; /* when a new connection is let in */
	gboolean dead;
	gboolean blocked;  /* waits for a lock of another transaction */
	gboolean skipping; /* after an error, until sync */
	char state;	   /* 'I' idle, 'T' in transaction, 'E' failed */
	gboolean read_only;
	char *sql;
	GHashTable *prepared; /* name to text */
	char *params[PG_MAX_PARAMS];
	gint64 last_active;
	gint64 idle_limit; /* microseconds; 0 none */
	gint64 idle_tx_limit;
	gint64 sleep_until;
	gboolean in_slot;  /* its statement has taken a slot and its service time */
	GPtrArray *writes; /* of the open transaction */
	char *claim;	   /* "row/slot" */
	guint64 sent_lsn;  /* to a replica */
} conn_t;

/* An entry received from upstream, applied when its lag is over. */
typedef struct pending {
	gint64 at;
	entry_t entry;
} pending_t;

typedef struct member {
	const char *name;
	int listener;
	guint64 sealed;
	gboolean primary;
	char *upstream; /* host:port we follow */
	int up_fd;
	GByteArray *up_in;
	gint64 up_retry;
	GQueue pending;
	GPtrArray *log;
	GHashTable *records;
	GPtrArray *conns;
	gint64 lag_us;
	gint64 connect_us;
	int slots; /* statements at once; matters when they take time */
	int busy_slots;
	gint64 service_us;
	int max_conns;
	int peak_conns;
	gboolean cut;
	guint64 bytes;	    /* to and from SQL clients */
	gboolean unblocked; /* somebody can go on at once */
} member_t;

extern member_t me;

static inline gint64 pg_now_us(void)
{
	return g_get_monotonic_time();
}
