/*
 * Taking turns at members whose connections don't suffice for the fleet.
 *
 * A member keeps the connections of machines that lost power for 3 s. If the whole fleet lost it,
 * the few connections left go to the proxies that ask first, and the callers of all others are
 * refused until the 3 s are over, although the members are idle. So a proxy that has just started
 * and was refused a connection tells the others, and all that have just started close each
 * connection after a short use and make a new one when they need it.
 *
 * The same holds all the time if there are more proxies than a member takes connections. Then all
 * of its connections go round, so turns are longer: making a connection takes a slot's time too.
 */
#pragma once

#include "state.h"

/* A member of the service refused a connection that is within this proxy's share. */
void lend_on_refused(service_t *service, usec_t now);

/* Another proxy says so; scarce is a list of services. */
void lend_on_heard(pooler_t *pooler, const char *scarce, usec_t now);

/* True if conn, which is idle, has had its turn; the caller closes it by lend_close. */
bool lend_is_due(const conn_t *conn, usec_t now);

/* Close it and leave the member to others for a moment. */
void lend_close(conn_t *conn, usec_t now);
