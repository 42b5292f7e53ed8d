/*
 * The table in the store: keys and values as etcd's JSON gateway has them.
 *
 * Under the prefix, "head" holds the table's version and the ids of the last
 * edits; "item/KEY" holds one entry with the version of its last change;
 * "history/VERSION" holds who changed what.
 */
#pragma once

#include <jansson.h>

#include "event.h"

/* What head says. */
typedef struct etcd_head {
	uint64_t version;
	int64_t revision; /* 0: there is no head yet */
	json_t *edits;	  /* ids of the last edits; owned */
} etcd_head_t;

/* A key under the prefix, encoded. */
json_t *etcd_encode_key(const char *prefix, const char *key);

/* A decoded field as a child of parent, NULL if there is none. */
char *etcd_decode_text(void *parent, const json_t *field);

/* A number, which the gateway writes as a string when it has 64 bits. */
int64_t etcd_read_number(const json_t *object, const char *key);

void etcd_read_head(const json_t *kv, etcd_head_t *head);

/* The readable ones among stored entries, as a child of parent; returns how many. */
size_t etcd_read_entries(const char *prefix, void *parent, const json_t *kvs, table_entry_t **out);

/* The transaction that puts an edit on top of the head that the action names. */
json_t *etcd_commit_request(const char *prefix, const commit_action_t *commit, const json_t *edits);
