/*
 * What a keeper has let through of customers' limits: a token bucket for each seat that this proxy
 * keeps; see keepers.h and quota.h.
 */
#pragma once

#include "state.h"

typedef struct seats seats_t;

seats_t *seats_create(void *parent, pooler_t *pooler);

/* Tokens for another proxy, or for this one. */
quota_answer_t seats_take(seats_t *seats, const quota_request_t *request, usec_t now);
