#include "survey.h"

#include <string.h>

#include "member.h"
#include "verdict.h"

/* Members that have not reported their position by then are left out. */
#define SURVEY_TIMEOUT (350 * USEC_PER_MSEC)
/*
 * How long a service with synchronous replicas waits for a member that may be the only one with the
 * last commits. This is how long a member without an entry is kept: one that was away for longer
 * can't have acknowledged what was committed since.
 */
#define SYNC_WAIT_MAX (30 * USEC_PER_SEC)
/*
 * With synchronous replicas any one of the members may be the only one with the last commit, so
 * they get more time to answer.
 */
#define SURVEY_TIMEOUT_SYNC (3 * USEC_PER_SEC)
/* A member this many times faster than another is not so by chance, as they share the reads. */
#define MUCH_FASTER_FACTOR 4

void survey_begin(service_t *service)
{
	list_for_each (it, &service->members)
		list_entry(it, member_t, in_service)->survey_answered = false;
}

bool survey_is_ahead(position_t a, position_t b)
{
	return a.term != b.term ? a.term > b.term : a.lsn > b.lsn;
}

/*
 * Finds the member that is the primary already in the newest term, which is newer than the
 * roster's. A superseded primary that is cut off also reports itself as primary: accepting it would
 * restore rolled-back writes and lose all writes since then.
 */
member_t *survey_newer_primary(const service_t *service, const member_t *old)
{
	uint64_t term = service_roster_group(service)->term;
	member_t *newest = NULL;

	if (old != NULL && old->survey_answered && old->status.term > term)
		term = old->status.term;
	list_for_each (it, &service->members) {
		member_t *member = list_entry(it, member_t, in_service);

		if (!member->survey_answered || !member->status.primary || term == 0 ||
		    member->status.term <= term)
			continue;
		newest = member;
		term = member->status.term;
	}
	return newest;
}

static bool have_all_answered(const service_t *service)
{
	list_for_each (it, &service->members) {
		const member_t *member = list_entry(it, member_t, in_service);

		if (!member->unlisted && !member->down && !member->survey_answered)
			return false;
	}
	return true;
}

/*
 * True if the member has restarted: it then has another id, but the same address and the same log.
 */
static bool is_listed_again(const member_t *member)
{
	list_for_each (it, &member->service->members) {
		const member_t *other = list_entry(it, member_t, in_service);

		if (other != member && !other->unlisted &&
		    strcmp(other->address, member->address) == 0)
			return true;
	}
	return false;
}

/*
 * True if the member is no longer listed, did not announce that it leaves, and no new entry has its
 * address, so that its log may be out of reach.
 */
static bool is_log_missing(const member_t *member)
{
	return member->unlisted && !member->leaving && !is_listed_again(member);
}

static bool has_sync_replicas(const service_t *service)
{
	const routes_t *routes = service->pooler->routes;
	const service_limits_t *limits =
		routes != NULL ? routes_find_service(routes, service->name) : NULL;

	return limits != NULL && limits->sync_replicas;
}

void survey_query_members(service_t *service, usec_t now)
{
	if (now < service->change.next_probe)
		return;
	service->change.next_probe = now + SURVEY_INTERVAL;
	list_for_each (it, &service->members) {
		member_t *member = list_entry(it, member_t, in_service);

		/*
		 * An unlisted member may still be running; its entry may have been lost at the
		 * store only.
		 */
		if (!member->unlisted || (has_sync_replicas(service) && is_log_missing(member)))
			member_query_status(member);
	}
}

/* True if the member is listed and is not about to leave. */
static bool is_staying(const member_t *member)
{
	return !member->unlisted && !member->leaving;
}

/*
 * True if member a serves callers far better than b, as this proxy observes it. A primary that
 * fails statements or is slow would be replaced in turn, and callers would wait twice.
 */
static bool is_healthier(const member_t *a, const member_t *b)
{
	if (a->outlier.ejected != b->outlier.ejected)
		return b->outlier.ejected;
	return a->response_time * MUCH_FASTER_FACTOR <= b->response_time;
}

/*
 * The better candidate is further ahead in the newest term; a member that missed a change of
 * primary has an older term.
 */
static bool is_better_candidate(const member_t *a, const member_t *b)
{
	if (a->status.term != b->status.term)
		return a->status.term > b->status.term;
	if (survey_is_ahead(a->status.received, b->status.received))
		return true;
	if (survey_is_ahead(b->status.received, a->status.received))
		return false;
	return is_staying(a) != is_staying(b) ? is_staying(a) : is_healthier(a, b);
}

/*
 * With synchronous replicas members that are leaving are eligible too, since one of them may be the
 * only one with the last commits.
 */
member_t *survey_best_candidate(const service_t *service, const member_t *old)
{
	bool sync = has_sync_replicas(service);
	member_t *best = NULL;

	list_for_each (it, &service->members) {
		member_t *member = list_entry(it, member_t, in_service);

		if (member == old || !member->survey_answered || (!sync && !is_staying(member)))
			continue;
		if (best == NULL || is_better_candidate(member, best))
			best = member;
	}
	return best;
}

bool survey_is_complete(const service_t *service, usec_t now)
{
	usec_t timeout = has_sync_replicas(service) ? SURVEY_TIMEOUT_SYNC : SURVEY_TIMEOUT;

	return have_all_answered(service) || now >= service->change.step_since + timeout;
}

/* True if the member has not answered, and may have commits that no other member has. */
static bool may_have_unseen_commits(const member_t *member)
{
	return !member->survey_answered && (!member->unlisted || is_log_missing(member));
}

/* Counts the members that may have such commits, the old primary included. */
static size_t count_unseen(const service_t *service)
{
	size_t unseen = 0;

	list_for_each (it, &service->members) {
		const member_t *member = list_entry(it, member_t, in_service);

		unseen += may_have_unseen_commits(member);
	}
	return unseen;
}

bool survey_has_acknowledged_commits(const service_t *service, const member_t *best,
				     const member_t *old, usec_t now)
{
	size_t unseen;

	if (!has_sync_replicas(service) || now >= service->change.started + SYNC_WAIT_MAX)
		return true;
	if (old != NULL && old->survey_answered &&
	    !survey_is_ahead(old->status.received, best->status.received))
		return true;
	/* Every commit that the old primary acknowledged is on a replica too. */
	unseen = count_unseen(service);
	if (old != NULL && may_have_unseen_commits(old))
		unseen--;
	return unseen == 0;
}
