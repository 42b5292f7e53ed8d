/*
 * Messages between proxies, as core sees them. The peers' link puts them on
 * the wire; PROTOCOLS.md gives the format and the rules for versions.
 */
#pragma once

#include <stddef.h>

#include "types.h"

typedef enum {
	MESSAGE_HEARTBEAT,
	MESSAGE_EXECUTE,    /* run this query for me */
	MESSAGE_ACCEPTED,   /* the execute arrived and is in hand */
	MESSAGE_ANSWER,	    /* the final answer to an execute */
	MESSAGE_TABLE_PULL, /* send me what changed since a version */
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
	 * A clock reading of the sender, and the last such reading of the receiver
	 * that the sender has seen (0: none). The receiver learns from the echo how
	 * old a message can be at most, without comparing clocks.
	 */
	usec_t sent_at;
	usec_t echo;
	uint64_t incarnation; /* grows with each start of the sender */

	/* heartbeat */
	char *zone;
	char *address;
	bool leaving;
	uint64_t table_version;
	usec_t store_age; /* since the sender's table was known to be the store's */

	/* execute, accepted, answer */
	uint64_t request;
	query_t *query;
	answer_t *answer;

	/* table pull (since) and push (entries up to version) */
	uint64_t since;
	table_entry_t *entries;
	size_t entry_count;
} message_t;

const char *message_kind_name(message_kind_t kind);

/* A deep copy, as a child of parent. */
message_t *message_copy(void *parent, const message_t *message);
