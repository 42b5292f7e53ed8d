/*
 * A key-value store with revisions, leases and watches, as the pooler uses it.
 * Every call ends in exactly one callback, within the time-out of whoever
 * implements it.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * A store that comes back from a copy gives its revisions out again. It counts these times, and the
 * count, its era, stands above the revision in each number here, so that revisions only rise, and
 * fencing tokens made of them. Whoever implements a store sees to it that a call that rests on an
 * earlier era ends as if its keys had changed (KV_CONFLICT) or its history was gone (KV_COMPACTED).
 * Leases of before are gone. Era 0: the store has none.
 */
#define KV_ERA_SHIFT 40

static inline int64_t kv_era(int64_t revision)
{
	return revision >> KV_ERA_SHIFT;
}

/* The store's own number of a revision. */
static inline int64_t kv_revision_in_era(int64_t revision)
{
	return revision & (((int64_t)1 << KV_ERA_SHIFT) - 1);
}

/* 0, which stands for none, is 0 in every era. */
static inline int64_t kv_make_revision(int64_t era, int64_t number)
{
	return number != 0 ? (era << KV_ERA_SHIFT) | number : 0;
}

typedef struct kv_item {
	const char *key;
	const char *value; /* NULL in an event that tells of a deletion */
	size_t len;
	int64_t revision;	 /* of its last change */
	int64_t create_revision; /* revision of its creation */
	uint64_t lease;		 /* that it ends with; 0: none, or not told */
} kv_item_t;

typedef enum {
	KV_OK,
	/* A condition did not hold; nothing was done. May bring what its keys hold instead. */
	KV_CONFLICT,
	KV_NOT_FOUND,	    /* no such lease */
	KV_COMPACTED,	    /* the history that a watch asked for is gone */
	KV_REFUSED,	    /* turned away; nothing was done */
	KV_OUTCOME_UNKNOWN, /* no answer: it may have been done, or be done later */
} kv_status_t;

typedef struct kv_result {
	kv_status_t status;
	int64_t as_of; /* the store's revision */
	const kv_item_t *items;
	size_t count;
	bool truncated; /* more items follow after the last one's key */
	uint64_t lease;
	int64_t ttl_ms;
	int64_t era; /* the newest that was known when the call ended; 0: not told */
} kv_result_t;

/* What result points to is valid during the call only. */
typedef void (*kv_done_t)(void *data, const kv_result_t *result);

typedef struct kv_write {
	const char *key;
	const char *value; /* NULL: delete the key */
	int64_t expected;  /* revision that it must have; 0: it must not exist */
	uint64_t lease;	   /* 0: none */
	bool check_only;   /* nothing is written, but the key must be as expected */
} kv_write_t;

typedef struct kv {
	const struct kv_ops *ops;
	int64_t timeout_ms; /* of a call that is no watch; 0: the implementation's own */
} kv_t;

typedef struct kv_ops {
	/* A page of the items whose keys begin with prefix, after key after ("" for the first). */
	void (*range)(kv_t *kv, const char *prefix, const char *after, kv_done_t done, void *data);
	/* Changes under prefix after a revision; answers when there is one, or after wait_ms. */
	void (*watch)(kv_t *kv, const char *prefix, int64_t after, int64_t wait_ms, kv_done_t done,
		      void *data);
	/* All writes or none. */
	void (*commit)(kv_t *kv, const kv_write_t *writes, size_t count, kv_done_t done,
		       void *data);
	void (*lease_create)(kv_t *kv, int64_t ttl_ms, kv_done_t done, void *data);
	void (*lease_keep)(kv_t *kv, uint64_t lease, kv_done_t done, void *data);
	void (*lease_end)(kv_t *kv, uint64_t lease, kv_done_t done, void *data);
} kv_ops_t;
