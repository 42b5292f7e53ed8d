/*
 * The store through a peer. A store may turn single proxies away, or not answer them, and serve
 * the others. A proxy that it does not serve has a peer that reaches it make the call: the same
 * call, the same conditions, one hop. Without this a holder of the duty that is turned away in
 * the middle of a change of primary can neither finish it nor prolong its hold.
 *
 * Nothing rests on the peer's clock: a hold or a permission counts from when the call was made
 * here, which is before it reaches the store by either way. A call that a peer makes late is like
 * one that the store itself carries out late: its condition decides.
 */
#pragma once

#include "env.h"

struct pooler;
typedef struct relay relay_t;

/* direct: this proxy's own access to the store. */
relay_t *relay_create(struct pooler *pooler, kv_t *direct);

/* The store, by either way. Watches are never handed on. */
kv_t *relay_kv(relay_t *relay);

/* True while our own calls to the store fail. */
bool relay_is_cut_off(const relay_t *relay);

/* From a peer: a call that it can't make, and the answer to one of ours. */
void relay_on_request(relay_t *relay, const peer_message_t *message);
void relay_on_answer(relay_t *relay, const peer_message_t *message);

void relay_tick(relay_t *relay, usec_t now);
