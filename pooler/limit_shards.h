/*
 * What a keeper has let through of customers' limits: a token bucket for each seat that this proxy
 * keeps; see keepers.h and quota.h.
 *
 * A proxy that takes a seat over asks its predecessor to give nothing more for it, and begins with
 * the answer. Without one it leaves the seat vacant until the predecessor can't hold the right any
 * more.
 */
#pragma once

#include "state.h"

typedef struct seats limit_shards_t;

limit_shards_t *limit_shards_create(void *parent, pooler_t *pooler);

/* Tokens for another proxy, or for this one. */
quota_answer_t limit_shards_take(limit_shards_t *seats, const quota_request_t *request, usec_t now);

/* A seat's keeper by the roster of that revision asks this proxy to give nothing more for it. */
quota_answer_t limit_shards_release(limit_shards_t *seats, const quota_request_t *request,
				    int64_t revision);

/* The predecessor's answer; of one that is not waited for any more nothing follows. */
void limit_shards_on_released(limit_shards_t *seats, const quota_answer_t *answer, usec_t now);
