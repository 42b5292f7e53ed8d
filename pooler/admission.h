/*
 * Whether an operation of a session may run, and for which customer. The key with which the session
 * began is looked up anew for each statement: a session may be open for hours, and its key may be
 * taken away or passed on to another customer meanwhile.
 *
 * The look is made when a statement has been read, and that is enough, however long it waits
 * afterwards: it was sent before it was read, and what counts is when it was sent. So the statement
 * may go on to a home or a queue with the customer's name alone.
 */
#pragma once

#include "state.h"

/*
 * True if a session with the database may begin by the caller's key; else *code says why not.
 * Counts and logs who is turned away.
 */
bool admission_check_session(const pooler_t *pooler, const char *database, const key_digest_t *key,
			     code_t *code);

/*
 * What a caller is told whose database the configuration in force does not name: that there is
 * none, or to come back if a newer configuration may have it.
 */
code_t admission_unknown_database(const pooler_t *pooler, reason_t *reason);

/* True if an operation on the caller's route may begin; sets its customer. Else *reason tells why.
 */
bool admission_check_operation(caller_t *caller, const route_t *route, reason_t *reason);

/* True if a transaction that began so may go on by the same customer's name. */
bool admission_check_transaction(const caller_t *caller, reason_t *reason);

/* Whose statements run there now; line and name follow. */
void admission_set_customer(caller_t *caller, const char *customer);

/* Another table of keys is in force: end what rests on keys that are gone. */
void admission_on_keys_changed(pooler_t *pooler);
