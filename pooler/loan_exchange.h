/*
 * Requests for loans between the homes of a service (loan.h). A home whose callers wait while it
 * may send a member no more statements asks the homes of the other zones. Each decides alone, by
 * its own present use of the member, and answers if it lends something. Nothing is sent while
 * nobody waits.
 */
#pragma once

#include "state.h"

/* Asks for loans for the services with waiting callers. */
void loan_exchange_tick(pooler_t *pooler, usec_t now);

/* Handles another home's request for a loan. */
void loan_exchange_on_request(pooler_t *pooler, const peer_message_t *message);

/* Handles an answer to a request of ours; waiting callers use the loan at once. */
void loan_exchange_on_answer(pooler_t *pooler, const peer_message_t *message);
