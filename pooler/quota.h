/*
 * Customers' limits over the whole fleet. A proxy lets an operation of a customer with a limit run
 * only by a token from one of the customer's keepers (keepers.h), and a keeper gives no more tokens
 * than its share of the limit. So nobody has to be heard by anybody for the limit to hold: a proxy
 * that reaches no keeper lets nothing run.
 *
 * An operation is asked for after it was sent, and its token is used at once or never: so whatever
 * a member sees of a customer within some time was granted within that time.
 *
 * Weighed against shares of proxies by need: with 80 proxies most have less than one operation of a
 * customer in a second, and their shares would lie unused at nearly all of them.
 */
#pragma once

#include "state.h"

typedef struct quota quota_t;

quota_t *quota_create(pooler_t *pooler);
void quota_destroy(quota_t *quota);

/*
 * An operation of the caller is about to begin. True if it may at once; else caller_on_admitted()
 * or caller_refuse() follows, within QUOTA_WAIT_MAX.
 */
bool quota_admit(caller_t *caller);

/* The caller does not wait any more. */
void quota_cancel(caller_t *caller);

/* Another proxy asks for tokens. */
void quota_on_request(pooler_t *pooler, const peer_message_t *message);

/* A keeper answers. */
void quota_on_answer(pooler_t *pooler, const peer_message_t *message);

/* The fleet may be another one: work out the keepers anew. */
void quota_on_roster(pooler_t *pooler);
