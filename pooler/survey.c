#include "survey.h"

#include <string.h>

#include "member.h"
#include "verdict.h"

/* Members that have not told their position by then are left out. */
#define SURVEY_TIME (350 * USEC_PER_MSEC)
/*
 * What a service with synchronous replicas waits for a member that may alone have the last
 * commits. As long as a member without an entry is remembered: one that has been away for longer
 * can't have acknowledged what came after.
 */
#define SYNC_PATIENCE (30 * USEC_PER_SEC)
/* With synchronous replicas any one of them may be the only one with the last commit. */
#define SURVEY_TIME_SYNC (3 * USEC_PER_SEC)
/* A member so many times as quick as another is not so by chance: they share the reads. */
#define FAR_QUICKER 4

void survey_begin(service_t *service)
{
	list_for_each (it, &service->members)
		list_entry(it, member_t, in_service)->survey_done = false;
}

bool survey_is_further(position_t a, position_t b)
{
	return a.term != b.term ? a.term > b.term : a.lsn > b.lsn;
}

/*
 * A member that leads already, in a newer term than the primary that is written down. A
 * superseded primary that is cut off calls itself primary too: taking it back would bring
 * writes back that were rolled back, and lose those since.
 */
member_t *survey_leader(const service_t *service, const member_t *old)
{
	uint64_t term = verdict_group(service)->term;

	if (old != NULL && old->survey_done && old->status.term > term)
		term = old->status.term;
	list_for_each (it, &service->members) {
		member_t *member = list_entry(it, member_t, in_service);

		if (member->survey_done && member->status.primary && term != 0 &&
		    member->status.term > term)
			return member;
	}
	return NULL;
}

static bool all_answered(const service_t *service)
{
	list_for_each (it, &service->members) {
		const member_t *member = list_entry(it, member_t, in_service);

		if (!member->gone && !member->down && !member->survey_done)
			return false;
	}
	return true;
}

/* A member that starts again has another id, the same address and its log. */
static bool is_back(const member_t *member)
{
	list_for_each (it, &member->service->members) {
		const member_t *other = list_entry(it, member_t, in_service);

		if (other != member && !other->gone && strcmp(other->address, member->address) == 0)
			return true;
	}
	return false;
}

/* True if nobody else has the log of a member that is not listed any more. */
static bool log_is_missing(const member_t *member)
{
	return member->gone && !member->leaving && !is_back(member);
}

static bool is_sync(const service_t *service)
{
	const routes_t *routes = service->pooler->routes;
	const service_limits_t *limits =
		routes != NULL ? routes_find_service(routes, service->name) : NULL;

	return limits != NULL && limits->sync_replicas;
}

void survey_ask(service_t *service, usec_t now)
{
	if (now < service->change.next_probe)
		return;
	service->change.next_probe = now + SURVEY_INTERVAL;
	list_for_each (it, &service->members) {
		member_t *member = list_entry(it, member_t, in_service);

		/* The store alone may have lost it. */
		if (!member->gone || (is_sync(service) && log_is_missing(member)))
			member_ask_status(member);
	}
}

/* True if the member is to stay. */
static bool stays(const member_t *member)
{
	return !member->gone && !member->leaving;
}

/*
 * True if a serves callers far better than b, as seen from here. One that fails or is slow as well
 * would be replaced in turn, and callers would wait twice.
 */
static bool is_healthier(const member_t *a, const member_t *b)
{
	if (a->outlier.out != b->outlier.out)
		return b->outlier.out;
	return a->response * FAR_QUICKER <= b->response;
}

/* Furthest in the newest term; a member that missed a change has an older term. */
static bool is_better(const member_t *a, const member_t *b)
{
	if (a->status.term != b->status.term)
		return a->status.term > b->status.term;
	if (survey_is_further(a->status.received, b->status.received))
		return true;
	if (survey_is_further(b->status.received, a->status.received))
		return false;
	return stays(a) != stays(b) ? stays(a) : is_healthier(a, b);
}

/* A member that leaves may be the only one that has the last commits of a synchronous service. */
member_t *survey_best(const service_t *service, const member_t *old)
{
	bool sync = is_sync(service);
	member_t *best = NULL;

	list_for_each (it, &service->members) {
		member_t *member = list_entry(it, member_t, in_service);

		if (member == old || !member->survey_done || (!sync && !stays(member)))
			continue;
		if (best == NULL || is_better(member, best))
			best = member;
	}
	return best;
}

bool survey_is_done(const service_t *service, usec_t now)
{
	usec_t limit = is_sync(service) ? SURVEY_TIME_SYNC : SURVEY_TIME;

	return all_answered(service) || now >= service->change.step_since + limit;
}

/* True if the member has not answered, and may have what nobody else has. */
static bool is_missing(const member_t *member)
{
	return !member->survey_done && (!member->gone || log_is_missing(member));
}

/* Members, the old primary included. */
static size_t count_missing(const service_t *service)
{
	size_t missing = 0;

	list_for_each (it, &service->members) {
		const member_t *member = list_entry(it, member_t, in_service);

		missing += is_missing(member);
	}
	return missing;
}

bool survey_holds_acknowledged(const service_t *service, const member_t *best, const member_t *old,
			       usec_t now)
{
	size_t missing;

	if (!is_sync(service) || now >= service->change.started + SYNC_PATIENCE)
		return true;
	if (old != NULL && old->survey_done &&
	    !survey_is_further(old->status.received, best->status.received))
		return true;
	/* What the old primary has acknowledged, a replica has too. */
	missing = count_missing(service);
	if (old != NULL && is_missing(old))
		missing--;
	return missing == 0;
}
