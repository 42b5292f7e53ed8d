/*
 * Members: the backend servers of a service, its primary and its replicas. This module keeps their
 * connections, and their health as this proxy observes it.
 */
#pragma once

#include "state.h"

/*
 * A member with an unanswered request that has sent no reply at all for this long is probed over a
 * new connection.
 */
#define MEMBER_SILENCE_TIMEOUT (200 * USEC_PER_MSEC)
/* A probe that is unanswered for this long means that the member is down; 20 times a handshake. */
#define PROBE_TIMEOUT (250 * USEC_PER_MSEC)
/* Time between two probes of a member that is down. */
#define PROBE_INTERVAL (250 * USEC_PER_MSEC)

member_t *member_create(pooler_t *pooler, const member_entry_t *entry);

/* Updates the member from its newest entry in the platform's list. */
void member_update(member_t *member, const member_entry_t *entry);

/* Marks the member as no longer on the platform's list. */
void member_set_unlisted(member_t *member);

/* Closes all connections of the member, whose callers are answered, and frees it. */
void member_destroy(member_t *member);

/* Records that the member has sent a reply, so that it counts as alive. */
void member_on_reply(member_t *member);

/* As member_on_reply(), for the reply that accepts a connection. */
void member_on_accepted(member_t *member);

/* Time since the member's last reply in ms, for logs; -1: there was none. */
int64_t member_last_reply_ms(const member_t *member, usec_t now);

/* Marks the member as down, after a probe that it did not answer. */
void member_mark_down(member_t *member, const char *reason);

/* Probes the member after a connection to it failed, broke or got no reply. */
void member_suspect(member_t *member, const char *reason);

/*
 * Checks for overdue replies and connections not accepted in time, repeats probes, and closes
 * connections that have been idle for too long.
 */
void member_tick(member_t *member, usec_t now);

/* Probes the member: queries its status over a new connection, since it may be down. */
void member_probe(member_t *member);

/*
 * Queries the member's status over an idle connection, since the member may accept no more of them;
 * if there is none, probes it.
 */
void member_query_status(member_t *member);

/* The connection whose transaction has been idle for the longest time, or NULL. */
conn_t *member_longest_held_conn(const member_t *member);

/* Adds the response time of a statement to the member's average. */
void member_record_response_time(member_t *member, usec_t took);

/* Records the outcome of a statement at the member; may eject the member from reads. */
void member_record_outcome(member_t *member, statement_outcome_t outcome);

/* True if the member may get new statements. */
bool member_is_usable(const member_t *member);
