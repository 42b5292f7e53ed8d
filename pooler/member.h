/*
 * Members of a service: their connections, their health as seen from
 * here.
 */
#pragma once

#include "state.h"

/*
 * The part of a member's connections that is shared out evenly. The rest is for demand, and
 * for the fleet after a loss of power: a member keeps the connections of VMs that are
 * gone for 3 s, and with all of them in use nobody can be served until then.
 */
#define MEMBER_SHARED_DIVISOR 2

/* A member without any reply for so long while it owes one is asked by a new connection. */
#define MEMBER_SILENCE_TIMEOUT (200 * USEC_PER_MSEC)
/* A probe unanswered for so long means that the member is down: 20 handshakes' time. */
#define PROBE_TIMEOUT (250 * USEC_PER_MSEC)
/* Between probes of a member that is down. */
#define PROBE_INTERVAL (250 * USEC_PER_MSEC)

member_t *member_create(pooler_t *pooler, const member_entry_t *entry);

/* The platform's newest entry of the member. */
void member_update(member_t *member, const member_entry_t *entry);

/* It is no longer listed. */
void member_set_unlisted(member_t *member);

/* Close all connections; callers learn what became of their statements. */
void member_destroy(member_t *member);

/* A reply came: the member lives. */
void member_on_reply(member_t *member);

/* A probe found that it does not answer. */
void member_mark_down(member_t *member, const char *reason);

/* A connection failed or broke: ask again before believing it. */
void member_suspect(member_t *member, const char *reason);

/* Look for silence, repeat probes, close what is idle too long. */
void member_tick(member_t *member, usec_t now);

/* True if a connection more may be opened now; borrow: beyond our share. */
bool member_can_open(const member_t *member, usec_t now, bool borrow);

/* Connections that this proxy may hold for sure. */
size_t member_share(const member_t *member);

/* Ask the member for its status over a connection of its own: it may be down. */
void member_probe(member_t *member);

/* The same over a connection at hand, if there is one: the member may be full. */
void member_query_status(member_t *member);

/* The connection that is in a transaction without a statement for longest, or NULL. */
conn_t *member_longest_held_conn(const member_t *member);

/* A statement was answered after so long. */
void member_record_response_time(member_t *member, usec_t took);

/* True if the member can be given one more statement now. */
bool member_has_room(const member_t *member);

/* Work in progress over all connections. */
size_t member_load(const member_t *member);

/* A statement sent to the member has ended so; may take it out of use for reads. */
void member_record_outcome(member_t *member, statement_outcome_t outcome);

/* Usable for new work. */
bool member_is_usable(const member_t *member);
