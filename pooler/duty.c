#include "duty.h"

#include <string.h>

#include <talloc.h>

#include "conn.h"
#include "member.h"
#include "permit.h"
#include "sync.h"

#define LOG_MODULE "duty"
#include "counter.h"
#include "log.h"

/* A report that a primary is down counts for so long: three questions' intervals. */
#define REPORT_VALID (1 * USEC_PER_SEC)
/* One that it is alive: an interval and a half, since it can have died just after. */
#define ALIVE_VALID (450 * USEC_PER_MSEC)
/* Between two questions to a primary that nobody uses. */
#define UNUSED_CHECK (1 * USEC_PER_SEC)
/* The same if another proxy says that it is down. */
#define DOUBTED_CHECK (200 * USEC_PER_MSEC)
/* After the duty was taken over: an earlier holder's call may still be on its way. */
#define SETTLE_TIME (2 * USEC_PER_SEC)
/* Members that have not told their position by then are left out. */
#define SURVEY_TIME (350 * USEC_PER_MSEC)
/* With synchronous replicas any one of them may be the only one with the last commit. */
#define SURVEY_TIME_SYNC (3 * USEC_PER_SEC)
/* How long a planned change waits for a replica to receive all that the primary has. */
#define CATCH_UP_TIME (800 * USEC_PER_MSEC)
#define PROBE_AGAIN   (60 * USEC_PER_MSEC)
/* A promoted member leads after about 1 s on the users' sites. */
#define LEAD_TIME (2500 * USEC_PER_MSEC)
/* A call that has not changed anything by then won't. */
#define EFFECT_TIME (1800 * USEC_PER_MSEC)
/* Calls for one member before another one is tried. */
#define CALLS_MAX 2
/* A member's entry may come so much later than the change that it tells of. */
#define LIST_LAG (3 * USEC_PER_SEC)
/* After a false alarm. */
#define QUIET_AFTER_CANCEL (1 * USEC_PER_SEC)
/* A proxy not heard of for so long is marked as gone. */
#define NODE_SILENT (10 * USEC_PER_SEC)
/* Marked for so long, it is taken off the roster. */
#define NODE_REMOVE (2 * PERMIT_TOGETHER)

COUNTER_DEFINE(changes_total, "primary_changes_total", COUNTER_SUM,
	       "Changes of primary that this proxy carried out.");
COUNTER_DEFINE(promotes_total, "promote_calls_total", COUNTER_SUM,
	       "Calls to the platform to promote a member.");

static void set_step(service_t *service, change_step_t step, usec_t now)
{
	static const char *const names[] = {
		[CHANGE_NONE] = "none",
		[CHANGE_MARKING] = "marking",
		[CHANGE_RELEASING] = "releasing",
		[CHANGE_SURVEYING] = "surveying",
		[CHANGE_PROMOTING] = "promoting",
		[CHANGE_VERIFYING] = "verifying",
		[CHANGE_COMMITTING] = "committing",
	};
	change_t *change = &service->change;

	LOG_EVENT(LOG_INFO, "change of primary", LOG_STR("service", service->name),
		  LOG_STR("step", names[step]),
		  LOG_STR("target", change->target != NULL ? change->target : ""),
		  LOG_INT("planned", change->planned),
		  LOG_INT("since_start_ms", (int64_t)((now - change->started) / USEC_PER_MSEC)),
		  LOG_INT("roster", service->pooler->sync.roster->revision),
		  LOG_INT("fence", (int64_t)service->pooler->sync.own_fence));
	change->step = step;
	change->step_since = now;
	change->next_probe = now;
}

static void clear(service_t *service)
{
	talloc_free(service->change.target);
	service->change = (change_t){.step = CHANGE_NONE};
}

void duty_abandon(pooler_t *pooler)
{
	list_for_each (it, &pooler->services)
		clear(list_entry(it, service_t, node));
}

static roster_group_t *group_of(const service_t *service)
{
	return roster_group(service->pooler->sync.roster, service->name);
}

static member_t *old_primary(const service_t *service)
{
	const roster_group_t *group = group_of(service);

	return group != NULL ? member_find(service->pooler, group->primary) : NULL;
}

/* --- is a change needed --- */

typedef struct votes {
	size_t down;
	size_t alive;
} votes_t;

/* What the proxies, this one included, see of the primary. */
static votes_t count_votes(const service_t *service, const member_t *primary, usec_t now)
{
	const pooler_t *pooler = service->pooler;
	votes_t votes = {0};

	if (primary->down)
		votes.down++;
	else if (primary->last_reply + ALIVE_WITHIN > now)
		votes.alive++;
	list_for_each (it, &pooler->sync.reports) {
		const peer_report_t *report = list_entry(it, peer_report_t, node);

		if (report->heard_at + REPORT_VALID < now)
			continue;
		votes.down += sync_lists(report->down, service->name);
		if (report->heard_at + ALIVE_VALID > now)
			votes.alive += sync_lists(report->alive, service->name);
	}
	return votes;
}

/*
 * The list of members lags behind: an old primary still says so after it was replaced. Only
 * what was said since then tells that somebody else has made a change.
 */
static bool other_says_primary(const service_t *service, const member_t *primary)
{
	list_for_each (it, &service->members) {
		const member_t *member = list_entry(it, member_t, in_service);

		if (member != primary && member->says_primary && !member->gone &&
		    member->says_since > service->settled_at + LIST_LAG)
			return true;
	}
	return false;
}

/*
 * Some proxies that can't reach the primary are no reason to replace it: another member may
 * be out of reach for more of them, and the change costs all of them a second.
 */
static bool is_lost(const service_t *service, const member_t *primary, votes_t votes)
{
	size_t proxies = list_length(&service->pooler->sync.roster->nodes);

	return votes.down * 2 > proxies || (primary->down && votes.down > votes.alive);
}

/*
 * Nobody has used the primary of late, or some proxies can't: ask it, so that its failure is
 * known before it is needed.
 */
static void check_unused(member_t *primary, usec_t now, usec_t interval)
{
	if (now < primary->checked_at + interval)
		return;
	primary->checked_at = now;
	member_probe(primary);
}

/* Why the primary must be replaced, or NULL. */
static const char *reason_to_change(const service_t *service, usec_t now)
{
	member_t *primary = old_primary(service);
	votes_t votes;

	if (primary == NULL || primary->gone)
		return "primary is no longer listed";
	if (primary->leaving)
		return "primary is leaving";
	if (!primary->says_primary && other_says_primary(service, primary))
		return "another member leads";
	votes = count_votes(service, primary, now);
	if (is_lost(service, primary, votes))
		return "primary does not answer";
	if (votes.alive == 0 || votes.down != 0)
		check_unused(primary, now, votes.down != 0 ? DOUBTED_CHECK : UNUSED_CHECK);
	return NULL;
}

/* --- marking --- */

static void on_stored(void *data, const kv_result_t *result)
{
	service_t *service = data;

	(void)result; /* the roster, read again, shows what holds */
	service->change.busy = false;
}

static void store_group(service_t *service, const char *primary, bool changing, uint64_t term)
{
	pooler_t *pooler = service->pooler;
	roster_t *roster = roster_copy(NULL, pooler->sync.roster);

	service->change.busy = true;
	roster_put_group(roster, service->name, primary, changing, term, pooler->sync.own_fence);
	sync_commit(pooler, roster, on_stored, service);
	talloc_free(roster);
}

static void start_change(service_t *service, const char *reason, usec_t now)
{
	const member_t *primary = old_primary(service);

	service->change.started = now;
	service->change.planned = primary != NULL && !primary->down && !primary->gone;
	LOG_EVENT(LOG_WARN, "primary is to be replaced", LOG_STR("service", service->name),
		  LOG_STR("reason", reason), LOG_STR("member", group_of(service)->primary));
	set_step(service, CHANGE_MARKING, now);
	store_group(service, group_of(service)->primary, true, group_of(service)->term);
}

/* The first primary of a service is the one that says so itself. */
static void install(service_t *service)
{
	if (service->change.busy)
		return;
	list_for_each (it, &service->members) {
		const member_t *member = list_entry(it, member_t, in_service);

		if (!member->says_primary || member->gone)
			continue;
		store_group(service, member->id, false, 0);
		return;
	}
}

static void begin_survey(service_t *service, usec_t now);

static void watch(service_t *service, usec_t now)
{
	const roster_group_t *group = group_of(service);
	change_t *change = &service->change;
	const char *reason;

	if (group == NULL) {
		install(service);
		return;
	}
	if (group->changing) {
		/* Marked by us just now, or by an earlier holder. */
		if (change->step == CHANGE_NONE) {
			change->started = now;
			change->may_have_called = true;
		}
		change->marked_at = now;
		change->few_since = USEC_NEVER;
		change->marked_revision = service->pooler->sync.roster->revision;
		set_step(service, CHANGE_RELEASING, now);
		return;
	}
	if (change->busy || now < change->quiet_until)
		return;
	change->step = CHANGE_NONE;
	reason = reason_to_change(service, now);
	if (reason != NULL)
		start_change(service, reason, now);
}

/* --- releasing --- */

static bool has_released(const service_t *service, const roster_node_t *node)
{
	const peer_report_t *report = sync_report(service->pooler, node->name);

	/* What it was permitted before it was marked has ended by then. */
	if (node->gone)
		return report != NULL && report->gone_seen != 0 &&
		       now_of(service->pooler) >= report->gone_seen + PERMIT_TOGETHER;
	return report != NULL && report->incarnation == node->incarnation &&
	       report->revision >= service->change.marked_revision &&
	       !sync_lists(report->in_use, service->name);
}

/*
 * Proxies that have not let go yet. total: those that have been on the roster long enough to
 * be on everybody's. Newcomers don't count, or two old ones could be two thirds of a fleet that
 * they remember as smaller.
 */
static size_t count_unreleased(const service_t *service, size_t *total)
{
	const pooler_t *pooler = service->pooler;
	usec_t now = now_of(pooler);
	size_t unreleased = 0;

	*total = 0;
	list_for_each (it, &pooler->sync.roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);
		const peer_report_t *report = sync_report(pooler, node->name);
		bool is_self = strcmp(node->name, pooler->config.name) == 0;

		*total += is_self ||
			  (report != NULL && now >= report->listed_since + PERMIT_TOGETHER);
		unreleased += !is_self && !has_released(service, node);
	}
	return unreleased + permit_in_use(service);
}

static void release(service_t *service, usec_t now)
{
	change_t *change = &service->change;
	size_t total;
	size_t unreleased = count_unreleased(service, &total);

	if (unreleased >= permit_quorum(total))
		change->few_since = USEC_NEVER;
	else if (change->few_since == USEC_NEVER)
		change->few_since = now;
	if (unreleased != 0 && now < change->marked_at + PERMIT_TOGETHER &&
	    (change->few_since == USEC_NEVER || now < change->few_since + PERMIT_ALONE))
		return;
	LOG_EVENT(LOG_INFO, "old primary is released", LOG_STR("service", service->name),
		  LOG_INT("unreleased", (int64_t)unreleased), LOG_INT("proxies", (int64_t)total),
		  LOG_INT("waited_ms", (int64_t)((now - change->marked_at) / USEC_PER_MSEC)));
	begin_survey(service, now);
}

/* --- survey --- */

static void begin_survey(service_t *service, usec_t now)
{
	list_for_each (it, &service->members) {
		member_t *member = list_entry(it, member_t, in_service);

		member->survey_done = false;
	}
	set_step(service, CHANGE_SURVEYING, now);
}

static void probe_all(service_t *service, usec_t now)
{
	if (now < service->change.next_probe)
		return;
	service->change.next_probe = now + PROBE_AGAIN;
	list_for_each (it, &service->members) {
		member_t *member = list_entry(it, member_t, in_service);

		if (!member->gone)
			member_ask_status(member);
	}
}

static bool is_further(position_t a, position_t b)
{
	return a.term != b.term ? a.term > b.term : a.lsn > b.lsn;
}

/* Furthest in the newest term; a member that missed a change has an older term. */
static bool is_better(const member_t *a, const member_t *b)
{
	if (a->status.term != b->status.term)
		return a->status.term > b->status.term;
	return is_further(a->status.received, b->status.received);
}

/* The member that received most, among those that may lead; NULL if none answered. */
static member_t *best_candidate(const service_t *service, const member_t *old)
{
	member_t *best = NULL;

	list_for_each (it, &service->members) {
		member_t *member = list_entry(it, member_t, in_service);

		if (member == old || !member->survey_done || member->gone || member->leaving)
			continue;
		if (best == NULL || is_better(member, best))
			best = member;
	}
	return best;
}

/*
 * A member that leads already, in a newer term than the primary that is written down. A
 * superseded primary that is cut off calls itself primary too: taking it back would bring
 * writes back that were rolled back, and lose those since.
 */
static member_t *leader_already(const service_t *service, const member_t *old)
{
	uint64_t term = group_of(service)->term;

	if (old != NULL && old->survey_done && old->status.term > term)
		term = old->status.term;
	list_for_each (it, &service->members) {
		member_t *member = list_entry(it, member_t, in_service);

		if (member != old && member->survey_done && member->status.primary && term != 0 &&
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

static bool is_sync(const service_t *service)
{
	const routes_t *routes = service->pooler->routes;
	const service_limits_t *limits =
		routes != NULL ? routes_service(routes, service->name) : NULL;

	return limits != NULL && limits->sync_replicas;
}

static void promote(service_t *service, const member_t *target, usec_t now)
{
	pooler_t *pooler = service->pooler;
	change_t *change = &service->change;

	if (change->target == NULL || strcmp(change->target, target->id) != 0) {
		talloc_free(change->target);
		change->target = talloc_strdup(service, target->id);
		change->calls = 0;
	}
	change->calls++;
	change->may_have_called = true;
	change->target_led = target->status.primary;
	change->target_term = target->status.term;
	counter_add(&promotes_total, 1);
	set_step(service, CHANGE_PROMOTING, now);
	pooler->env->ops->promote(pooler->env, service->name, target->id, pooler->config.name,
				  pooler->sync.own_fence);
}

static void commit_target(service_t *service, const member_t *target, usec_t now)
{
	char *copy = talloc_strdup(service, target->id);

	talloc_free(service->change.target);
	service->change.target = copy;
	service->change.new_term = target->status.term;
	set_step(service, CHANGE_COMMITTING, now);
	store_group(service, copy, false, service->change.new_term);
}

/* The alarm was false: the old primary leads and has no reason to go. */
static bool can_stay(const service_t *service, const member_t *old, usec_t now)
{
	return old != NULL && old->survey_done && old->status.primary && !old->leaving &&
	       reason_to_change(service, now) == NULL;
}

static void survey(service_t *service, usec_t now)
{
	change_t *change = &service->change;
	member_t *old = old_primary(service);
	usec_t limit = is_sync(service) ? SURVEY_TIME_SYNC : SURVEY_TIME;
	bool late = now >= change->step_since + limit;
	member_t *leader;
	member_t *best;
	bool stays;

	probe_all(service, now);
	if (!all_answered(service) && !late)
		return;
	leader = leader_already(service, old);
	if (leader != NULL) {
		commit_target(service, leader, now);
		return;
	}
	stays = can_stay(service, old, now);
	if (stays && !change->may_have_called) {
		change->quiet_until = now + QUIET_AFTER_CANCEL;
		commit_target(service, old, now);
		return;
	}
	/*
	 * A member that was promoted unseen leads a newer term when it comes back. So the old
	 * primary is promoted like any other; if it still leads, the call changes nothing.
	 */
	best = stays ? old : best_candidate(service, old);
	if (best == NULL)
		return;
	/* With the writers stopped, a replica soon has all that an old primary still has. */
	if (old != NULL && old->survey_done && now < change->step_since + CATCH_UP_TIME &&
	    is_further(old->status.received, best->status.received))
		return;
	if (now < service->pooler->sync.held_since + SETTLE_TIME)
		return;
	promote(service, best, now);
}

/* --- promoting --- */

void duty_on_promoted(service_t *service, promote_status_t status)
{
	static const char *const names[] = {
		[PROMOTE_OK] = "ok", [PROMOTE_REFUSED] = "refused", [PROMOTE_LOST] = "lost"};
	usec_t now = now_of(service->pooler);
	member_t *target;

	if (service->change.step != CHANGE_PROMOTING)
		return;
	LOG_EVENT(LOG_INFO, "answer to promote", LOG_STR("service", service->name),
		  LOG_STR("member", service->change.target), LOG_STR("outcome", names[status]));
	if (status == PROMOTE_REFUSED) {
		begin_survey(service, now);
		return;
	}
	target = member_find(service->pooler, service->change.target);
	if (target != NULL)
		target->survey_done = false;
	set_step(service, CHANGE_VERIFYING, now);
}

/*
 * A target that called itself primary before the call proves nothing by saying so again,
 * unless its term rose. The call changes nothing only for the member that leads anyway; that
 * is known when nothing has changed for long enough.
 */
static bool leads_now(const service_t *service, const member_t *target, usec_t now)
{
	const change_t *change = &service->change;

	if (!target->survey_done || !target->status.primary)
		return false;
	return !change->target_led || target->status.term > change->target_term ||
	       now >= change->step_since + EFFECT_TIME;
}

static void verify(service_t *service, usec_t now)
{
	change_t *change = &service->change;
	member_t *target = member_find(service->pooler, change->target);

	if (target == NULL || target->gone) {
		begin_survey(service, now);
		return;
	}
	if (leads_now(service, target, now)) {
		commit_target(service, target, now);
		return;
	}
	if (now >= change->next_probe) {
		change->next_probe = now + PROBE_AGAIN;
		member_ask_status(target);
	}
	if (now < change->step_since + LEAD_TIME)
		return;
	if (change->calls < CALLS_MAX && !target->down)
		promote(service, target, now);
	else
		begin_survey(service, now);
}

static void commit(service_t *service, usec_t now)
{
	const roster_group_t *group = group_of(service);
	change_t *change = &service->change;
	usec_t quiet = change->quiet_until;

	if (change->busy)
		return;
	if (group->changing) {
		store_group(service, change->target, false, change->new_term);
		return;
	}
	counter_add(&changes_total, 1);
	LOG_EVENT(LOG_WARN, "primary replaced", LOG_STR("service", service->name),
		  LOG_STR("member", group->primary),
		  LOG_INT("took_ms", (int64_t)((now - change->started) / USEC_PER_MSEC)),
		  LOG_INT("roster", service->pooler->sync.roster->revision));
	clear(service);
	change->quiet_until = quiet;
}

static void step(service_t *service, usec_t now)
{
	switch (service->change.step) {
	case CHANGE_NONE:
	case CHANGE_MARKING:
		watch(service, now);
		break;
	case CHANGE_RELEASING:
		release(service, now);
		break;
	case CHANGE_SURVEYING:
		survey(service, now);
		break;
	case CHANGE_PROMOTING:
		break;
	case CHANGE_VERIFYING:
		verify(service, now);
		break;
	case CHANGE_COMMITTING:
		commit(service, now);
		break;
	}
}

/* --- proxies that are gone --- */

static void on_swept(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;

	(void)result; /* looked at again with the next tick */
	pooler->sweeping = false;
}

/* What is to become of a proxy's entry: returns true if roster was changed. */
static bool sweep_node(pooler_t *pooler, roster_t *roster, const roster_node_t *node, usec_t now)
{
	peer_report_t *report = sync_get_report(pooler, node->name);
	usec_t heard = report->heard_at;

	if (strcmp(node->name, pooler->config.name) == 0)
		return false;
	if (!node->gone) {
		report->gone_seen = 0;
		if (heard < pooler->sync.held_since)
			heard = pooler->sync.held_since;
		if (now < heard + NODE_SILENT)
			return false;
		LOG_EVENT(LOG_WARN, "proxy is gone", LOG_STR("proxy", node->name));
		roster_node(roster, node->name)->gone = true;
		return true;
	}
	if (report->gone_seen == 0)
		report->gone_seen = now;
	if (now < report->gone_seen + NODE_REMOVE)
		return false;
	roster_remove_node(roster, node->name);
	return true;
}

/* Proxies that went without a word must not hold up every change of primary for ever. */
static void sweep(pooler_t *pooler, usec_t now)
{
	roster_t *roster;
	bool changed = false;

	if (pooler->sweeping)
		return;
	roster = roster_copy(NULL, pooler->sync.roster);
	list_for_each (it, &pooler->sync.roster->nodes)
		changed = sweep_node(pooler, roster, list_entry(it, roster_node_t, node), now) ||
			  changed;
	if (changed) {
		pooler->sweeping = true;
		sync_commit(pooler, roster, on_swept, pooler);
	}
	talloc_free(roster);
}

void duty_tick(pooler_t *pooler, usec_t now)
{
	if (!sync_is_holder(pooler, now))
		return;
	sweep(pooler, now);
	list_for_each (it, &pooler->services)
		step(list_entry(it, service_t, node), now);
}
