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

typedef struct seats seats_t;

seats_t *seats_create(void *parent, pooler_t *pooler);

/* Tokens for another proxy, or for this one. */
quota_answer_t seats_take(seats_t *seats, const quota_request_t *request, usec_t now);

/* A seat's keeper by the roster of that revision asks this proxy to give nothing more for it. */
quota_answer_t seats_release(seats_t *seats, const quota_request_t *request, int64_t revision);

/* The predecessor's answer; of one that is not waited for any more nothing follows. */
void seats_on_released(seats_t *seats, const quota_answer_t *answer, usec_t now);
