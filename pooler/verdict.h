/*
 * Decides whether the primary of a service must be replaced. The leader decides this from the
 * platform's list of members and from what all proxies report of the primary.
 */
#pragma once

#include "state.h"

/* The service's group in the current roster, or NULL. */
roster_group_t *service_roster_group(const service_t *service);

/*
 * The primary that the roster names, whether or not this proxy may use it now; NULL if the
 * platform's list does not have it.
 */
member_t *service_roster_primary(const service_t *service);

/*
 * The reason, compared by address, that verdict_replace_reason() returns for a primary that answers
 * but fails a substantial part of the statements.
 */
extern const char *const verdict_reason_failing;

/*
 * Counts the states of primaries that other proxies have reported, for all services in one pass
 * over the reports: searching the reports for each service would take 33,400 steps with 100 proxies
 * and 334 services.
 */
void verdict_count_votes(pooler_t *pooler, usec_t now);

/* Returns why the primary must be replaced, or NULL. May start a probe of the primary. */
const char *verdict_replace_reason(const service_t *service, usec_t now);

/*
 * Suspected services: those whose primary does not answer the leader. Names joined by blanks, a
 * talloc child of parent.
 */
char *verdict_suspects(const pooler_t *pooler, usec_t now, void *parent);

/*
 * Handles the list of services whose primaries the leader suspects. A proxy that normally has
 * connections to such a primary probes it, unless the primary replied recently, and includes the
 * result in its next query to the leader.
 */
void verdict_on_suspects(pooler_t *pooler, const char *suspects, usec_t now);
