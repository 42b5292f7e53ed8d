/*
 * Whether the primary of a service must be replaced, judged by the holder of
 * the duty from the list of members and from what the proxies see.
 */
#pragma once

#include "state.h"

/* What the roster says of the service, or NULL. */
roster_group_t *verdict_group(const service_t *service);

/* The primary that the roster names, permitted or not; NULL if it is unknown. */
member_t *verdict_primary(const service_t *service);

/* Why the primary must be replaced, or NULL. */
const char *verdict_reason(const service_t *service, usec_t now);
