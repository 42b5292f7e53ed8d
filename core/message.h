/*
 * Messages between proxies, decoded. PROTOCOLS.md specifies the wire format and
 * the compatibility rules.
 */
#pragma once

#include <stddef.h>

#include "types.h"

typedef enum {
	MESSAGE_HEARTBEAT,
	MESSAGE_EXECUTE,    /* run this query for a caller of the sender */
	MESSAGE_ACCEPTED,   /* the execute message has arrived and is being served */
	MESSAGE_ANSWER,	    /* the final answer to an execute */
	MESSAGE_TABLE_PULL, /* request the table's changes since a version */
	MESSAGE_TABLE_PUSH,
	MESSAGE_COUNT,
} message_kind_t;

/* A changed or deleted entry of the operators' table. */
typedef struct table_entry {
	char *key;	  /* "row/SERVICE/CLASS" or "group/NAME" */
	char *value;	  /* JSON, NULL once deleted */
	uint64_t version; /* table version of its last change */
} table_entry_t;

typedef struct message {
	message_kind_t kind;
	/*
	 * The sender's clock, and the last clock reading of the receiver that the sender has
	 * received (0: none). The message was sent after the echoed reading, so the receiver
	 * can bound its age without comparing clocks.
	 */
	usec_t sent_at;
	usec_t echo;
	uint64_t incarnation; /* grows with each start of the sender */

	/* MESSAGE_HEARTBEAT */
	char *zone;
	char *address;
	bool leaving;
	uint64_t table_version;
	usec_t store_age; /* time since the sender's table was confirmed to be the store's */

	/* MESSAGE_EXECUTE, MESSAGE_ACCEPTED, MESSAGE_ANSWER */
	uint64_t request;
	query_t *query;
	answer_t *answer;

	/*
	 * MESSAGE_TABLE_PULL (since); MESSAGE_TABLE_PUSH (entries changed after since, up to
	 * table_version)
	 */
	uint64_t since;
	table_entry_t *entries;
	size_t entry_count;
} message_t;

const char *message_kind_name(message_kind_t kind);

/* A deep copy, as a child of parent. */
message_t *message_copy(void *parent, const message_t *message);
