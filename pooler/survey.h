/*
 * Survey: queries the members of a service for their log positions, and chooses the one to promote.
 */
#pragma once

#include "state.h"

/* Time between two queries to a member. */
#define SURVEY_INTERVAL (60 * USEC_PER_MSEC)

/* Discards earlier answers. */
void survey_begin(service_t *service);

/* Queries all members again when the interval has passed. */
void survey_query_members(service_t *service, usec_t now);

/* True once all members that may answer have done so, or the time limit has passed. */
bool survey_is_complete(const service_t *service, usec_t now);

/* True if log position a is ahead of b: in a newer term, or further in the same term. */
bool survey_is_ahead(position_t a, position_t b);

/* The eligible member, other than old, that has received the most; NULL if none answered. */
member_t *survey_best_candidate(const service_t *service, const member_t *old);

/* The member that reports itself as primary in the newest term after the roster's, or NULL. */
member_t *survey_newer_primary(const service_t *service, const member_t *old);

/*
 * False if the service has synchronous replicas, and best may lack a commit that was acknowledged
 * to a caller, because a member that may have it has not answered; true otherwise, and once
 * SYNC_WAIT_MAX has passed. old: the primary so far, or NULL.
 */
bool survey_has_acknowledged_commits(const service_t *service, const member_t *best,
				     const member_t *old, usec_t now);
