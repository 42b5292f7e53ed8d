/*
 * Checks whether an operation of a session may run, and for which customer. The session's key is
 * looked up again for each statement: a session may be open for hours, and meanwhile its key may be
 * revoked or given to another customer.
 *
 * The check is made when a statement has been read, and is not repeated however long the statement
 * waits afterwards: what counts is when the statement was sent, and that was before. So only the
 * customer's name goes along with a statement that is queued or forwarded to a home.
 */
#pragma once

#include "state.h"

/*
 * Returns true if a session with the database may begin with this key; else sets *code to the
 * reason. Counts and logs refused sessions.
 */
bool admission_check_session(const pooler_t *pooler, const char *database, const key_digest_t *key,
			     code_t *code);

/*
 * Returns the code for a caller whose database is not in the configuration in force: no such
 * database, or busy (retry later) if a newer configuration may have it. Sets *reason.
 */
code_t admission_unknown_database(const pooler_t *pooler, reason_t *reason);

/*
 * Returns true, and sets the caller's customer, if an operation on the caller's route may begin;
 * else sets *reason.
 */
bool admission_check_operation(caller_t *caller, const route_t *route, reason_t *reason);

/*
 * Returns true if the caller's open transaction may go on, since its key still belongs to the same
 * customer; else sets *reason.
 */
bool admission_check_transaction(const caller_t *caller, reason_t *reason);

/* Sets the customer that the caller's statements run for, and the customer pool. */
void admission_set_customer(caller_t *caller, const char *customer);

/*
 * To be called when another configuration is in force: marks the sessions whose key it has revoked,
 * and rolls back their idle transactions.
 */
void admission_on_keys_changed(pooler_t *pooler);
