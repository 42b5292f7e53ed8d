/*
 * This proxy's part of a member's capacity: how many connections it may have to the member, and how
 * many statements it may have running there. The proxies that have connections to a member divide
 * its slots and its connections among them. Statements that a home has no use for are lent to homes
 * whose callers wait; see loan.h.
 */
#pragma once

#include <jansson.h>

#include "state.h"

/*
 * Half of a member's connections are divided evenly among the proxies. The other half is for uneven
 * demand, and for the restart of the fleet after a loss of power: a member keeps the connections of
 * vanished VMs for 3 s. If those were all that it accepts, no caller could be served during that
 * time.
 */
#define ROOM_SHARED_DIVISOR 2

/* True if one more connection may be opened now; borrow: also beyond this proxy's share. */
bool room_can_open(const member_t *member, usec_t now, bool borrow);

/* Connections to the member that this proxy may always have. */
size_t room_conn_share(const member_t *member);

/* True if one more statement may be sent to the member now. */
bool room_is_free(const member_t *member);

/* Number of statements in progress at the member over all connections of this proxy. */
size_t room_used(const member_t *member);

/* Slots of the member that this proxy can count on; at least a small part of one. */
double room_slots(const member_t *member);

/* Statements at the member that are this proxy's own part; 0: the member's entry sets no limit. */
unsigned room_part(const member_t *member);

/* Loans of statements at the member, given and taken, created on first use. */
loan_book_t *room_loans(member_t *member);

/* Statements that are lent to other homes, and borrowed from them, now. */
unsigned room_lent(const member_t *member, usec_t now);
unsigned room_borrowed(const member_t *member, usec_t now);

/* Adds this proxy's part, what it has lent and what it has borrowed to the member's dump. */
json_t *room_add_to_dump(json_t *dump, const member_t *member, usec_t now);
