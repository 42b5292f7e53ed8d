#include "duty.h"

#include <string.h>

#include <talloc.h>

#include "active.h"
#include "conn.h"
#include "exchange.h"
#include "hold.h"
#include "member.h"
#include "permit.h"
#include "push.h"
#include "restore.h"
#include "survey.h"
#include "sweep.h"
#include "sync.h"
#include "verdict.h"

#define LOG_MODULE "duty"
#include "counter.h"
#include "log.h"

/* After the duty was taken over: an earlier holder's call may still be on its way. */
#define SETTLE_TIME (2 * USEC_PER_SEC)
/* How long a planned change waits for a replica to receive all that the primary has. */
#define CATCH_UP_TIME (800 * USEC_PER_MSEC)
/* A promoted member leads after about 1 s on the users' sites. */
#define LEAD_TIME (2500 * USEC_PER_MSEC)
/* A call that has not changed anything by then won't. */
#define EFFECT_TIME (1800 * USEC_PER_MSEC)
/* Calls for one member before another one is tried. */
#define CALLS_MAX 2
/* The first primary is installed without its term if it does not tell it by then. */
#define FIRST_TERM_TIME (500 * USEC_PER_MSEC)
/*
 * After a primary was replaced since it failed statements, until another is for that reason. If the
 * statements are at fault, callers are without writes for a second in thirty.
 */
#define FAILING_PAUSE (30 * USEC_PER_SEC)
/*
 * Services without anything under way that the holder looks at with a tick: all of a small
 * deployment. What makes a change necessary comes as an event, and is looked at with the next tick.
 */
#define WATCHED_AT_ONCE 64
/* After a false alarm. */
#define QUIET_AFTER_CANCEL (1 * USEC_PER_SEC)

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

static void begin_survey(service_t *service, usec_t now)
{
	survey_begin(service);
	set_step(service, CHANGE_SURVEYING, now);
}

static void clear(service_t *service)
{
	talloc_free(service->change.target);
	service->change = (change_t){.step = CHANGE_NONE};
	talloc_free(service->wanted.primary);
	service->wanted.primary = NULL;
}

void duty_abandon(pooler_t *pooler)
{
	list_for_each (it, &pooler->services)
		clear(list_entry(it, service_t, node));
}

/* --- marking --- */

static void on_stored(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;

	(void)result; /* the roster, read again, shows what holds */
	pooler->sync.storing = false;
	list_for_each (it, &pooler->active_services) {
		service_t *service = list_entry(it, service_t, active);

		if (service->storing) {
			service->storing = false;
			service->change.busy = service->wanted.primary != NULL;
		}
	}
	duty_tick(pooler, now_of(pooler));
}

/*
 * One write at a time, with all groups that are to change. When each service wrote for itself, of N
 * that start together, or lose their primaries together, one write succeeded and N - 1 met it: 30
 * first primaries took 465 writes of the whole roster, and a fleet before 100 databases never came
 * to serve.
 */
static void flush(pooler_t *pooler, usec_t now)
{
	roster_t *roster = NULL;

	if (pooler->sync.storing || now < pooler->sync.store_next)
		return;
	list_for_each (it, &pooler->active_services) {
		service_t *service = list_entry(it, service_t, active);

		if (service->wanted.primary == NULL)
			continue;
		if (roster == NULL)
			roster = roster_copy(NULL, pooler->sync.roster);
		roster_put_group(roster, service->name, service->wanted.primary,
				 service->wanted.changing, service->wanted.term,
				 pooler->sync.own_fence);
		talloc_free(service->wanted.primary);
		service->wanted.primary = NULL;
		service->storing = true;
	}
	if (roster == NULL)
		return;
	pooler->sync.storing = true;
	/* Each is told to the whole fleet. */
	pooler->sync.store_next = now + push_spacing(pooler);
	sync_commit(pooler, roster, on_stored, pooler);
	talloc_free(roster);
}

static void store_group(service_t *service, const char *primary, bool changing, uint64_t term)
{
	service->change.busy = true;
	active_add_service(service);
	talloc_free(service->wanted.primary);
	service->wanted.primary = talloc_strdup(service, primary);
	service->wanted.changing = changing;
	service->wanted.term = term;
}

/* Write down who is the primary from now on. */
static void commit_primary(service_t *service, const member_t *primary, uint64_t term, usec_t now)
{
	char *copy = talloc_strdup(service, primary->id);

	talloc_free(service->change.target);
	service->change.target = copy;
	service->change.new_term = term;
	set_step(service, CHANGE_COMMITTING, now);
	store_group(service, copy, false, term);
}

static void start_change(service_t *service, const char *reason, usec_t now)
{
	const member_t *primary = verdict_primary(service);
	change_t *change = &service->change;

	change->started = now;
	change->planned = primary != NULL && !primary->down && !primary->gone;
	LOG_EVENT(LOG_WARN, "primary is to be replaced", LOG_STR("service", service->name),
		  LOG_STR("reason", reason), LOG_STR("member", verdict_group(service)->primary));
	change->failing = reason == verdict_failing;
	set_step(service, CHANGE_MARKING, now);
	store_group(service, verdict_group(service)->primary, true, verdict_group(service)->term);
}

/*
 * The first primary of a service is the one that says so itself. Its term is written down with it:
 * a later one is known by a higher term.
 */
static void install(service_t *service, usec_t now)
{
	change_t *change = &service->change;

	if (change->busy)
		return;
	list_for_each (it, &service->members) {
		member_t *member = list_entry(it, member_t, in_service);

		if (!member->says_primary || member->gone)
			continue;
		if (change->started == 0)
			change->started = now;
		if (member->survey_done || now >= change->started + FIRST_TERM_TIME) {
			store_group(service, member->id, false, member->status.term);
		} else if (now >= change->next_probe) {
			change->next_probe = now + SURVEY_INTERVAL;
			member_ask_status(member);
		}
		return;
	}
}

/* From when no call to promote that was made before our hold can arrive any more. */
static usec_t settled_at(const service_t *service, bool is_own)
{
	if (!is_own)
		return service->pooler->sync.held_since + SETTLE_TIME;
	return service->last_call != 0 ? service->last_call + SETTLE_TIME : 0;
}

/*
 * A change that an earlier holder began. Its write of the end may be on its way to the store
 * still, and could land while another member is being promoted: callers would write to the one
 * and lose it to the other. A write of ours makes that one fail.
 */
static void take_up(service_t *service, usec_t now)
{
	const roster_group_t *group = verdict_group(service);
	change_t *change = &service->change;
	bool is_own;

	if (change->busy)
		return;
	if (change->step == CHANGE_NONE)
		change->started = now;
	/*
	 * Nobody has called since our own mark: who calls has written to the roster before. But a
	 * mark of ours on a change that we took up is no proof that its beginner had not called.
	 */
	is_own = group->fence == service->pooler->sync.past_fence && !service->taken_up;
	service->taken_up = !is_own;
	change->settled_at = settled_at(service, is_own);
	change->may_have_called = !is_own || service->last_call != 0;
	set_step(service, CHANGE_MARKING, now);
	store_group(service, group->primary, true, group->term);
}

/* An entry in the store may name a service that the operators know nothing of. */
static bool is_configured(const service_t *service)
{
	const routes_t *routes = service->pooler->routes;

	return routes != NULL && routes_find_service(routes, service->name) != NULL;
}

static void watch(service_t *service, usec_t now)
{
	const roster_group_t *group = verdict_group(service);
	change_t *change = &service->change;
	const char *reason;

	if (group == NULL) {
		if (is_configured(service))
			install(service, now);
		return;
	}
	if (group->changing && group->fence != service->pooler->sync.own_fence) {
		take_up(service, now);
		return;
	}
	if (group->changing) {
		if (change->step == CHANGE_NONE)
			change->started = now;
		change->marked_at = now;
		change->few_since = USEC_NEVER;
		change->marked_revision = service->pooler->sync.roster->revision;
		set_step(service, CHANGE_RELEASING, now);
		return;
	}
	if (change->busy || now < change->quiet_until)
		return;
	change->step = CHANGE_NONE;
	change->settled_at = 0;
	change->may_have_called = false;
	service->taken_up = false;
	reason = verdict_reason(service, now);
	if (reason != NULL)
		start_change(service, reason, now);
}

/* --- nothing was wrong, or is not any more --- */

/* End the change with the primary that it began with. */
static void keep_primary(service_t *service, const member_t *primary, uint64_t term, usec_t now)
{
	service->change.quiet_until = now + QUIET_AFTER_CANCEL;
	service->change.kept = true;
	commit_primary(service, primary, term, now);
}

/*
 * True if the primary answers again, and nothing but its silence was a reason to replace it.
 * Nobody has been asked to promote another one, so that others still use it does no harm: there
 * is no need to wait until they have let go.
 */
static bool is_back(service_t *service, member_t *primary, usec_t now)
{
	change_t *change = &service->change;

	if (change->may_have_called || primary == NULL || primary->down ||
	    verdict_reason(service, now) != NULL)
		return false;
	if (now < primary->last_reply + ALIVE_WITHIN)
		return true;
	if (now >= change->next_probe) {
		change->next_probe = now + SURVEY_INTERVAL;
		member_ask_status(primary);
	}
	return false;
}

/* --- releasing --- */

static bool has_released(const service_t *service, const roster_node_t *node)
{
	const peer_report_t *report = exchange_report(service->pooler, node->name);

	if (node->gone)
		return report != NULL && sweep_has_ended(service->pooler, report);
	return report != NULL && report->incarnation == node->incarnation &&
	       report->revision >= service->change.marked_revision &&
	       !exchange_lists(report->in_use, service->name);
}

/* Proxies that have not let go yet. */
static size_t count_unreleased(const service_t *service)
{
	const pooler_t *pooler = service->pooler;
	size_t unreleased = permit_in_use(service);

	list_for_each (it, &pooler->sync.roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		unreleased += strcmp(node->name, pooler->config.name) != 0 &&
			      !has_released(service, node);
	}
	return unreleased;
}

static void release(service_t *service, usec_t now)
{
	change_t *change = &service->change;
	size_t total = permit_fleet(service->pooler, change->marked_revision);
	size_t unreleased = count_unreleased(service);
	member_t *primary = verdict_primary(service);

	if (is_back(service, primary, now)) {
		keep_primary(service, primary, verdict_group(service)->term, now);
		return;
	}
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
	change->called_at = now;
	service->last_call = now;
	change->may_have_called = true;
	change->target_led = target->status.primary;
	change->target_term = target->status.term;
	counter_add(&promotes_total, 1);
	set_step(service, CHANGE_PROMOTING, now);
	pooler->env->ops->promote(pooler->env, service->name, target->id, pooler->config.name,
				  pooler->sync.own_fence);
}

/* The old primary leads and has no reason to go. */
static bool can_stay(const service_t *service, const member_t *old, usec_t now)
{
	return old != NULL && old->survey_done && old->status.primary && !old->leaving &&
	       verdict_reason(service, now) == NULL;
}

/*
 * Each holder writes a change to the roster before it calls, so one that had written none lately
 * has called nothing.
 */
static usec_t foreign_settled_at(const service_t *service)
{
	const sync_t *sync = &service->pooler->sync;

	return sync->foreign_change != 0 ? sync->foreign_change + SETTLE_TIME : 0;
}

static void survey(service_t *service, usec_t now)
{
	change_t *change = &service->change;
	member_t *old = verdict_primary(service);
	member_t *leader;
	member_t *best;
	bool stays;

	survey_ask(service, now);
	if (!survey_is_done(service, now))
		return;
	leader = survey_leader(service, old);
	if (leader != NULL) {
		commit_primary(service, leader, leader->status.term, now);
		return;
	}
	stays = can_stay(service, old, now);
	if (stays && !change->may_have_called) {
		keep_primary(service, old, old->status.term, now);
		return;
	}
	/*
	 * A member that was promoted unseen leads a newer term when it comes back. So the old
	 * primary is promoted like any other; if it still leads, the call changes nothing.
	 */
	best = stays ? old : survey_best(service, old);
	if (best == NULL)
		return;
	/* With the writers stopped, a replica soon has all that an old primary still has. */
	if (old != NULL && old->survey_done && now < change->step_since + CATCH_UP_TIME &&
	    survey_is_further(old->status.received, best->status.received))
		return;
	if (now < change->settled_at || now < foreign_settled_at(service) ||
	    !survey_holds_acknowledged(service, best, old, now))
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
		commit_primary(service, target, target->status.term, now);
		return;
	}
	if (now >= change->next_probe) {
		change->next_probe = now + SURVEY_INTERVAL;
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
	const roster_group_t *group = verdict_group(service);
	change_t *change = &service->change;
	usec_t quiet = change->quiet_until;

	if (change->busy)
		return;
	if (group->changing) {
		store_group(service, change->target, false, change->new_term);
		return;
	}
	if (!change->kept)
		counter_add(&changes_total, 1);
	LOG_EVENT(LOG_WARN, change->kept ? "primary kept" : "primary replaced",
		  LOG_STR("service", service->name), LOG_STR("member", group->primary),
		  LOG_INT("took_ms", (int64_t)((now - change->started) / USEC_PER_MSEC)),
		  LOG_INT("roster", service->pooler->sync.roster->revision));
	if (change->failing && !change->kept)
		service->failing_until = now + FAILING_PAUSE;
	clear(service);
	change->quiet_until = quiet;
}

static void step(service_t *service, usec_t now)
{
	if (service->change.step != CHANGE_NONE)
		service->change_end = now + duty_remaining(service, now);
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

/* The next of those that are not active, in turn. */
static void watch_others(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	size_t count = HASH_COUNT(pooler->services_by_name);

	if (sync->watched_last == NULL)
		sync->watched_last = &pooler->services;
	for (size_t i = 0; i < count && i < WATCHED_AT_ONCE; i++) {
		service_t *service;

		sync->watched_last = sync->watched_last->next;
		if (sync->watched_last == &pooler->services)
			sync->watched_last = sync->watched_last->next;
		service = list_entry(sync->watched_last, service_t, node);
		if (list_empty(&service->active))
			step(service, now);
	}
}

void duty_tick(pooler_t *pooler, usec_t now)
{
	if (!hold_is_ours(pooler, now) || restore_is_due(pooler))
		return;
	sweep_tick(pooler, now);
	verdict_count(pooler, now);
	list_for_each (it, &pooler->active_services)
		step(list_entry(it, service_t, active), now);
	watch_others(pooler, now);
	flush(pooler, now);
}

usec_t duty_remaining(const service_t *service, usec_t now)
{
	const change_t *change = &service->change;
	usec_t end = now + CHANGE_USUAL;

	switch (change->step) {
	case CHANGE_RELEASING:
		if (change->few_since != USEC_NEVER)
			end = change->few_since + PERMIT_ALONE + CHANGE_USUAL;
		else
			end = change->marked_at + PERMIT_TOGETHER + CHANGE_USUAL;
		break;
	case CHANGE_PROMOTING:
	case CHANGE_VERIFYING:
		end = change->called_at + PROMOTE_USUAL;
		break;
	case CHANGE_COMMITTING:
		end = now;
		break;
	default:
		break;
	}
	return end > now ? end - now : 0;
}
