/*
 * Taking turns at members whose connections don't suffice for the fleet.
 *
 * A member keeps the connections of machines that lost power for 3 s. If the whole fleet lost it,
 * the few connections left go to the proxies that ask first, and the callers of all others are
 * refused until the 3 s are over, although the members are idle. The same happens for a moment
 * when some proxies have borrowed what others then need. So a proxy without a connection that was
 * refused one tells the others. They close at once what they have beyond their share of that
 * member, and every connection after a short use, to make a new one when they need it. They do so
 * only while somebody lacks one: a new connection takes a slot's time.
 *
 * If there are more proxies than a member takes connections, that is so all the time. Then all
 * of its connections go round, so turns are longer.
 */
#pragma once

#include "state.h"

/* True if this proxy has a connection to the member, probes apart. */
bool lend_has_any(const member_t *member);

/* True if this proxy has no connection to the member, and was refused one just now. */
bool lend_lacks(const member_t *member, usec_t now);

/* What another proxy says that it lacks: ids of members. */
void lend_on_heard(pooler_t *pooler, const char *scarce, usec_t now);

/* True if conn, which is idle, has had its turn; the caller closes it by lend_close. */
bool lend_is_due(const conn_t *conn, usec_t now);

/* Close it and leave the member to others for a moment. */
void lend_close(conn_t *conn, usec_t now);
