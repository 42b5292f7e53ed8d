/*
 * The limit shards that this proxy owns: a token bucket for each; see shard_owners.h and quota.h.
 *
 * A proxy that becomes a shard's owner asks the previous owner to release the shard, and grants
 * tokens once the previous owner has answered. Without an answer it grants none until the previous
 * owner's permission to grant has certainly ended.
 */
#pragma once

#include "state.h"

typedef struct limit_shards limit_shards_t;

limit_shards_t *limit_shards_create(void *parent, pooler_t *pooler);

/* Grants tokens to another proxy, or to this one. */
quota_answer_t limit_shards_take(limit_shards_t *shards, const quota_request_t *request,
				 usec_t now);

/*
 * Releases a shard to the proxy that owns it by the roster of that revision: this proxy grants no
 * more tokens of the shard.
 */
quota_answer_t limit_shards_release(limit_shards_t *shards, const quota_request_t *request,
				    int64_t revision);

/* Handles the previous owner's answer to a release request, if that request is the current one. */
void limit_shards_on_released(limit_shards_t *shards, const quota_answer_t *answer, usec_t now);
