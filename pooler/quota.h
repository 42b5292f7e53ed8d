/*
 * Enforces customers' operation limits over the whole fleet. A proxy runs an operation of a
 * customer with a limit only with a token from one of the customer's shard owners (shard_owners.h),
 * and a shard owner grants no more tokens than its share of the limit. So the limit holds without
 * any message having to arrive: a proxy that reaches no shard owner runs nothing.
 *
 * A token is requested after the client sent its operation, and is used at once or never: so
 * whatever a member receives from a customer within some time was granted within that time.
 *
 * The alternative, a share for each proxy by its need, was rejected: with 80 proxies most have less
 * than one operation of a customer per second, and nearly all of their shares would be unused.
 */
#pragma once

#include "state.h"

typedef struct quota quota_t;

quota_t *quota_create(pooler_t *pooler);
void quota_destroy(quota_t *quota);

/*
 * Requests admission for the caller's next operation. True if the operation may begin at once;
 * otherwise caller_on_admitted() or caller_refuse() follows within QUOTA_WAIT_MAX.
 */
bool quota_admit(caller_t *caller);

/* Removes the caller from the queue of those that wait for admission. */
void quota_cancel(caller_t *caller);

/* Handles another proxy's request for tokens. */
void quota_on_request(pooler_t *pooler, const peer_message_t *message);

/* Handles a shard owner's answer to a request. */
void quota_on_answer(pooler_t *pooler, const peer_message_t *message);

/* Computes the shard owners again after the roster was replaced. */
void quota_on_roster(pooler_t *pooler);
