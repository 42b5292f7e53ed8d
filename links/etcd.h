/*
 * Encoding of the operators' table in the store, in the JSON format of etcd's HTTP gateway.
 *
 * Under the prefix, the key "head" holds the table's version and the ids of the latest edits,
 * "item/KEY" holds one entry with the version of its last change, and "history/VERSION" holds the
 * author and the changes of one edit.
 */
#pragma once

#include <jansson.h>

#include "event.h"

/* Decoded value of the key "head". */
typedef struct etcd_head {
	uint64_t version;
	int64_t revision; /* the store's mod revision of the key; 0 if the key does not exist */
	json_t *edits;	  /* ids of the latest edits; owned */
} etcd_head_t;

/* Prepend the prefix to a key and encode the result in base64. */
json_t *etcd_encode_key(const char *prefix, const char *key);

/* Decode a base64 field as a child of parent; returns NULL if the field is no string. */
char *etcd_decode_text(void *parent, const json_t *field);

/* Read a number; the gateway writes 64-bit numbers as strings. Returns 0 if there is none. */
int64_t etcd_read_number(const json_t *object, const char *key);

void etcd_read_head(const json_t *kv, etcd_head_t *head);

/* Return true if the edit is among the latest ones; edit_id NULL: no edit. */
bool etcd_head_has_edit(const etcd_head_t *head, const char *edit_id);

/*
 * Decode stored entries as an array that is a child of parent, and skip malformed ones. Returns the
 * number of entries in the array.
 */
size_t etcd_read_entries(const char *prefix, void *parent, const json_t *kvs, table_entry_t **out);

/*
 * Build the transaction that stores an edit. It succeeds only if the mod revision of "head" is
 * still the one that the action names. edits are the ids of the latest edits, to be kept in "head".
 */
json_t *etcd_commit_request(const char *prefix, const commit_action_t *commit, const json_t *edits);
