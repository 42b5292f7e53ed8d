/*
 * Asking the members of a service how far they are, and choosing who is to lead.
 */
#pragma once

#include "state.h"

/* Between two questions to a member. */
#define SURVEY_INTERVAL (60 * USEC_PER_MSEC)

/* Forget earlier answers. */
void survey_begin(service_t *service);

/* Ask all members again if it is time. */
void survey_query_members(service_t *service, usec_t now);

/* True once all that may answer have, or enough time has passed. */
bool survey_is_complete(const service_t *service, usec_t now);

/* True if position a is ahead of b. */
bool survey_is_ahead(position_t a, position_t b);

/* The member that received most, among those that may lead; NULL if none answered. */
member_t *survey_best_candidate(const service_t *service, const member_t *old);

/* A member that leads already, in a newer term than the primary that is written down. */
member_t *survey_newer_primary(const service_t *service, const member_t *old);

/*
 * False if the service waits for a replica to receive each commit and best may lack one that was
 * acknowledged, since a member that may have it has not answered. old: the primary, or NULL.
 */
bool survey_has_acknowledged_commits(const service_t *service, const member_t *best,
				     const member_t *old, usec_t now);
