/*
 * Whether the primary of a service must be replaced, judged by the holder of
 * the duty from the list of members and from what the proxies see.
 */
#pragma once

#include "state.h"

/* What the roster says of the service, or NULL. */
roster_group_t *service_roster_group(const service_t *service);

/* The primary that the roster names, permitted or not; NULL if it is unknown. */
member_t *service_roster_primary(const service_t *service);

/*
 * What verdict_replace_reason() returns, this pointer itself, for a primary that answers and fails
 * a good part of the statements.
 */
extern const char *const verdict_reason_failing;

/*
 * Counts what other proxies have reported, for verdict_replace_reason() of all services: one pass
 * over the reports, since 100 proxies before 334 services would be searched 33,400 times.
 */
void verdict_count_votes(pooler_t *pooler, usec_t now);

/* Why the primary must be replaced, or NULL. */
const char *verdict_replace_reason(const service_t *service, usec_t now);

/* Services whose primary does not answer the holder, joined by blanks, as a child of parent. */
char *verdict_suspects(const pooler_t *pooler, usec_t now, void *parent);

/*
 * The holder has doubts: whoever has to do with these services asks their primaries, if it has not
 * heard them of late, and reports what it sees with its next question.
 */
void verdict_on_suspects(pooler_t *pooler, const char *doubts, usec_t now);
