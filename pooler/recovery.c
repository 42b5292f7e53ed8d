#include "recovery.h"

#include "failover.h"
#include "member.h"
#include "permit.h"

/* Usual time from the first sign of a failed primary until its replacement is announced. */
#define DETECTION_TIME (700 * USEC_PER_MSEC)
/*
 * Usual time for the proxies to agree on a new roster while the store is unreachable: one query to
 * all and its answers, over connections that may have to be made, and one tick.
 */
#define AGREEMENT_TIME (150 * USEC_PER_MSEC)
/* Usual time in which a proxy that has just started is added to the roster. */
#define REGISTRATION_TIME (200 * USEC_PER_MSEC)
/* Usual time to the first read of the roster after the start: one call and its back-off. */
#define FIRST_READ_TIME (300 * USEC_PER_MSEC)
/* Without a read in this time the store counts as unreachable: three attempts and a margin. */
#define FIRST_READ_TIMEOUT (1200 * USEC_PER_MSEC)
/* Assumed remaining time of a change of primary that takes longer than expected. */
#define OVERDUE_CHANGE_TIME (300 * USEC_PER_MSEC)

usec_t recovery_expected_at(const service_t *service, usec_t now)
{
	const sync_t *sync = &service->pooler->sync;
	const roster_group_t *group;
	const member_t *primary;

	if (service->changing_since != USEC_NEVER)
		return service->change_expected_end > now ? service->change_expected_end
							  : now + OVERDUE_CHANGE_TIME;
	if (sync->confirmed_at == USEC_NEVER && now < service->pooler->started + FIRST_READ_TIMEOUT)
		return now + FIRST_READ_TIME;
	if (now >= permit_expires_at(service->pooler))
		return now < sync->adopted_at + AGREEMENT_TIME ? sync->adopted_at + AGREEMENT_TIME
							       : USEC_NEVER;
	if (!permit_is_registered(service->pooler))
		return now + REGISTRATION_TIME;
	group = roster_find_group(sync->roster, service->name);
	primary = group != NULL ? member_find(service->pooler, group->primary) : NULL;
	if (primary != NULL && primary->down)
		return primary->suspect_since + DETECTION_TIME + CHANGE_USUAL_TIME;
	return USEC_NEVER;
}
