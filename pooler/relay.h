/*
 * Relays store calls through a peer. A store may reject calls of single proxies, or not answer
 * them, and serve the others. A proxy that the store does not serve has a peer make the call: the
 * same call, with the same conditions, over one hop. Without this a leader that is rejected during
 * a change of primary could neither finish the change nor renew its lease.
 *
 * No result depends on the peer's clock: leases and permissions count from when the call was made
 * here, which is before it reaches the store by either path. A call that a peer makes late is like
 * one that the store itself executes late: its condition decides.
 */
#pragma once

#include "env.h"

struct pooler;
typedef struct relay relay_t;

/* direct: this proxy's own connection to the store. */
relay_t *relay_create(struct pooler *pooler, kv_t *direct);

/* Returns the store interface that uses either path. Watches are never relayed. */
kv_t *relay_get_kv(relay_t *relay);

/* True while this proxy's own calls to the store fail. */
bool relay_is_cut_off(const relay_t *relay);

/*
 * Handles a peer's call that this proxy is to make, and the answer to a call that a peer has made
 * for this proxy.
 */
void relay_on_request(relay_t *relay, const peer_message_t *message);
void relay_on_answer(relay_t *relay, const peer_message_t *message);

void relay_tick(relay_t *relay, usec_t now);
