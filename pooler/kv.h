/*
 * Interface of the key-value store that the pooler uses: revisions, leases and watches. Every call
 * ends in exactly one callback, within the time-out of the implementation.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * A store that is restored from a backup assigns revisions a second time. It counts its restores,
 * and the count, its era, forms the upper bits of each revision in this interface. So revisions,
 * and the fencing tokens made of them, only rise. An implementation ends a call that rests on an
 * earlier era as if its keys had changed (KV_CONFLICT) or its history was compacted (KV_COMPACTED).
 * Leases of an earlier era have ended. Era 0: the store counts no restores.
 */
#define KV_ERA_SHIFT 40

static inline int64_t kv_era(int64_t revision)
{
	return revision >> KV_ERA_SHIFT;
}

/* The revision as the store itself counts it. */
static inline int64_t kv_revision_in_era(int64_t revision)
{
	return revision & (((int64_t)1 << KV_ERA_SHIFT) - 1);
}

/* Revision 0 stands for no revision and is 0 in every era. */
static inline int64_t kv_make_revision(int64_t era, int64_t number)
{
	return number != 0 ? (era << KV_ERA_SHIFT) | number : 0;
}

typedef struct kv_item {
	const char *key;
	const char *value; /* NULL in an event for a deletion */
	size_t len;
	int64_t revision;	 /* of its last change */
	int64_t create_revision; /* revision at which the key was created */
	uint64_t lease;		 /* lease that the key is attached to; 0: none, or not reported */
} kv_item_t;

typedef enum {
	KV_OK,
	/*
	 * A condition did not hold and nothing was done; items may hold the current state of the
	 * keys.
	 */
	KV_CONFLICT,
	KV_NOT_FOUND,	    /* the lease does not exist */
	KV_COMPACTED,	    /* the history from the watch's revision on was dropped */
	KV_REFUSED,	    /* the store rejected the call; nothing was done */
	KV_OUTCOME_UNKNOWN, /* no answer: the call may have taken effect, or still may */
} kv_status_t;

typedef struct kv_result {
	kv_status_t status;
	int64_t as_of; /* revision of the store at the time of the answer */
	const kv_item_t *items;
	size_t count;
	bool truncated; /* more items follow after the key of the last one */
	uint64_t lease;
	int64_t ttl_ms;
	int64_t era; /* newest era seen when the call ended; 0: not reported */
} kv_result_t;

/* What result points to is valid only during the callback. */
typedef void (*kv_done_t)(void *data, const kv_result_t *result);

typedef struct kv_write {
	const char *key;
	const char *value; /* NULL: the key is deleted */
	int64_t expected;  /* revision that the key must have; 0: it must not exist */
	uint64_t lease;	   /* lease to attach the key to; 0: none */
	bool check_only;   /* nothing is written; only expected is checked */
} kv_write_t;

typedef struct kv {
	const struct kv_ops *ops;
	int64_t timeout_ms; /* time-out of calls other than watches; 0: the implementation's default
			     */
} kv_t;

typedef struct kv_ops {
	/*
	 * Reads a page of the items whose keys begin with prefix and sort after the key after ("":
	 * from the first).
	 */
	void (*range)(kv_t *kv, const char *prefix, const char *after, kv_done_t done, void *data);
	/* Waits for changes under prefix after the given revision, for at most wait_ms. */
	void (*watch)(kv_t *kv, const char *prefix, int64_t after, int64_t wait_ms, kv_done_t done,
		      void *data);
	/* Makes all writes or none. */
	void (*commit)(kv_t *kv, const kv_write_t *writes, size_t count, kv_done_t done,
		       void *data);
	void (*lease_create)(kv_t *kv, int64_t ttl_ms, kv_done_t done, void *data);
	void (*lease_keep)(kv_t *kv, uint64_t lease, kv_done_t done, void *data);
	void (*lease_end)(kv_t *kv, uint64_t lease, kv_done_t done, void *data);
} kv_ops_t;
