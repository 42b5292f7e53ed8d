#include "failover.h"

#include <string.h>

#include <talloc.h>

#include "active.h"
#include "conn.h"
#include "exchange.h"
#include "group_write.h"
#include "leader.h"
#include "member.h"
#include "permit.h"
#include "restore.h"
#include "survey.h"
#include "sweep.h"
#include "sync.h"
#include "verdict.h"

#define LOG_MODULE "duty"
#include "counter.h"
#include "log.h"

/* How long after a change of leader a promote call by the earlier leader may still be in flight. */
#define EARLIER_CALLS_TIME (2 * USEC_PER_SEC)
/* How long a planned change waits until a replica has received all that the old primary has. */
#define CATCH_UP_TIME (800 * USEC_PER_MSEC)
/*
 * How long the promoted member may take to report that it is the primary; the promotion itself
 * takes about 1 s.
 */
#define VERIFY_TIMEOUT (2500 * USEC_PER_MSEC)
/* A promote call that has had no effect by then will have none. */
#define CALL_EFFECT_TIME (1800 * USEC_PER_MSEC)
/* Promote calls for one member before another one is tried. */
#define PROMOTE_CALLS_MAX 2
/*
 * How long a service's first primary may take to report its term; after that it is written to the
 * roster without one.
 */
#define FIRST_TERM_TIMEOUT (500 * USEC_PER_MSEC)
/*
 * After a primary was replaced because it failed statements, no other one is replaced for that
 * reason within this time. If the statements themselves are at fault, callers are without writes
 * for one second in thirty.
 */
#define FAILING_COOLDOWN (30 * USEC_PER_SEC)
/*
 * Inactive services that the leader checks per tick; enough for every service of a small
 * deployment. Whatever makes a change necessary arrives as an event, makes its service active, and
 * is checked at the next tick.
 */
#define INACTIVE_PER_TICK 64
/* How long after a cancelled change no new one begins. */
#define CANCEL_COOLDOWN (1 * USEC_PER_SEC)

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
		  LOG_INT("fence", (int64_t)service->pooler->sync.own_token));
	change->step = step;
	change->step_since = now;
	change->next_probe = now;
}

static void begin_survey(service_t *service, usec_t now)
{
	survey_begin(service);
	set_step(service, CHANGE_SURVEYING, now);
}

static void reset_change(service_t *service)
{
	talloc_free(service->change.target);
	service->change = (change_t){.step = CHANGE_NONE};
	group_write_cancel(service);
}

void failover_abandon(pooler_t *pooler)
{
	list_for_each (it, &pooler->services)
		reset_change(list_entry(it, service_t, node));
}

/* --- marking the change in the roster --- */

/* Ends the change with this primary: queues the roster write that names it. */
static void commit_primary(service_t *service, const member_t *primary, uint64_t term, usec_t now)
{
	char *copy = talloc_strdup(service, primary->id);

	talloc_free(service->change.target);
	service->change.target = copy;
	service->change.new_term = term;
	set_step(service, CHANGE_COMMITTING, now);
	group_write_queue(service, copy, false, term);
}

static void start_change(service_t *service, const char *reason, usec_t now)
{
	const member_t *primary = service_roster_primary(service);
	change_t *change = &service->change;

	change->started = now;
	change->planned = primary != NULL && !primary->down && !primary->unlisted;
	LOG_EVENT(LOG_WARN, "primary is to be replaced", LOG_STR("service", service->name),
		  LOG_STR("reason", reason),
		  LOG_STR("member", service_roster_group(service)->primary));
	change->due_to_failures = reason == verdict_reason_failing;
	set_step(service, CHANGE_MARKING, now);
	group_write_queue(service, service_roster_group(service)->primary, true,
			  service_roster_group(service)->term);
}

/*
 * Writes the first primary of a service to the roster: the member that claims to be the primary.
 * Its term is stored with it, since later primaries are recognized by a higher term.
 */
static void install_first_primary(service_t *service, usec_t now)
{
	change_t *change = &service->change;

	if (change->write_pending)
		return;
	list_for_each (it, &service->members) {
		member_t *member = list_entry(it, member_t, in_service);

		if (!member->claims_primary || member->unlisted)
			continue;
		if (change->started == 0)
			change->started = now;
		if (member->survey_answered || now >= change->started + FIRST_TERM_TIMEOUT) {
			group_write_queue(service, member->id, false, member->status.term);
		} else if (now >= change->next_probe) {
			change->next_probe = now + SURVEY_INTERVAL;
			member_query_status(member);
		}
		return;
	}
}

/*
 * The time from which no promote call made before this leadership can take effect; 0: there was no
 * such call. is_own: this proxy began the change, so that only its own last call counts.
 */
static usec_t earlier_calls_expiry(const service_t *service, bool is_own)
{
	if (!is_own)
		return service->pooler->sync.leading_since + EARLIER_CALLS_TIME;
	return service->last_promote_call_at != 0
		       ? service->last_promote_call_at + EARLIER_CALLS_TIME
		       : 0;
}

/*
 * Takes over a change that an earlier leader began. That leader's write that ends the change may
 * still be in flight to the store. If it arrived while another member is being promoted, callers
 * would write to the member that it names and lose those writes. Rewriting the group makes the late
 * write conflict.
 */
static void take_over_change(service_t *service, usec_t now)
{
	const roster_group_t *group = service_roster_group(service);
	change_t *change = &service->change;
	bool is_own;

	if (change->write_pending)
		return;
	if (change->step == CHANGE_NONE)
		change->started = now;
	/*
	 * A leader writes to the roster before it calls the platform, so no other leader can have
	 * called since this proxy marked the change. But if this proxy had taken the change over,
	 * its mark does not show that the leader which began the change made no call.
	 */
	is_own = group->fencing_token == service->pooler->sync.former_token &&
		 !service->change_taken_over;
	service->change_taken_over = !is_own;
	change->promote_not_before = earlier_calls_expiry(service, is_own);
	change->may_have_promoted = !is_own || service->last_promote_call_at != 0;
	set_step(service, CHANGE_MARKING, now);
	group_write_queue(service, group->primary, true, group->term);
}

/*
 * True if the configuration has the service. A member's entry in the store may name one that it
 * does not have.
 */
static bool is_configured(const service_t *service)
{
	const routes_t *routes = service->pooler->routes;

	return routes != NULL && routes_find_service(routes, service->name) != NULL;
}

static void check_primary(service_t *service, usec_t now)
{
	const roster_group_t *group = service_roster_group(service);
	change_t *change = &service->change;
	const char *reason;

	if (group == NULL) {
		if (is_configured(service))
			install_first_primary(service, now);
		return;
	}
	if (group->changing && group->fencing_token != service->pooler->sync.own_token) {
		take_over_change(service, now);
		return;
	}
	if (group->changing) {
		if (change->step == CHANGE_NONE)
			change->started = now;
		change->marked_at = now;
		change->minority_since = USEC_NEVER;
		change->marked_revision = service->pooler->sync.roster->revision;
		set_step(service, CHANGE_RELEASING, now);
		return;
	}
	if (change->write_pending || now < change->cooldown_until)
		return;
	change->step = CHANGE_NONE;
	change->promote_not_before = 0;
	change->may_have_promoted = false;
	service->change_taken_over = false;
	reason = verdict_replace_reason(service, now);
	if (reason != NULL)
		start_change(service, reason, now);
}

/* --- cancelling a change --- */

/* Ends the change with the primary that it began with. */
static void keep_primary(service_t *service, const member_t *primary, uint64_t term, usec_t now)
{
	service->change.cooldown_until = now + CANCEL_COOLDOWN;
	service->change.primary_kept = true;
	commit_primary(service, primary, term, now);
}

/*
 * True if the primary answers again, and its silence was the only reason to replace it. No promote
 * call was made, so it does no harm that other proxies still use the primary, and there is no need
 * to wait until they have released it.
 */
static bool has_recovered(service_t *service, member_t *primary, usec_t now)
{
	change_t *change = &service->change;

	if (change->may_have_promoted || primary == NULL || primary->down ||
	    verdict_replace_reason(service, now) != NULL)
		return false;
	if (now < primary->last_reply_at + ALIVE_WITHIN)
		return true;
	if (now >= change->next_probe) {
		change->next_probe = now + SURVEY_INTERVAL;
		member_query_status(primary);
	}
	return false;
}

/* --- waiting until all proxies have released the old primary --- */

static bool has_released(const service_t *service, const roster_node_t *node)
{
	const peer_report_t *report = exchange_find_report(service->pooler, node->name);

	if (node->gone)
		return report != NULL && sweep_permission_ended(service->pooler, report);
	return report != NULL && report->incarnation == node->incarnation &&
	       report->revision >= service->change.marked_revision &&
	       !exchange_list_contains(report->in_use, service->name);
}

/* Number of proxies that have not released the old primary yet. */
static size_t count_unreleased(const service_t *service)
{
	const pooler_t *pooler = service->pooler;
	size_t unreleased = permit_is_in_use(service);

	list_for_each (it, &pooler->sync.roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		unreleased += strcmp(node->name, pooler->config.name) != 0 &&
			      !has_released(service, node);
	}
	return unreleased;
}

static void await_release(service_t *service, usec_t now)
{
	change_t *change = &service->change;
	size_t total = permit_fleet_size(service->pooler, change->marked_revision);
	size_t unreleased = count_unreleased(service);
	member_t *primary = service_roster_primary(service);

	if (has_recovered(service, primary, now)) {
		keep_primary(service, primary, service_roster_group(service)->term, now);
		return;
	}
	if (unreleased >= permit_quorum(total))
		change->minority_since = USEC_NEVER;
	else if (change->minority_since == USEC_NEVER)
		change->minority_since = now;
	if (unreleased != 0 && now < change->marked_at + PERMIT_LEASE_MAX &&
	    (change->minority_since == USEC_NEVER ||
	     now < change->minority_since + PERMIT_LEASE_TIME))
		return;
	LOG_EVENT(LOG_INFO, "old primary released", LOG_STR("service", service->name),
		  LOG_INT("unreleased", (int64_t)unreleased), LOG_INT("proxies", (int64_t)total),
		  LOG_INT("waited_ms", (int64_t)((now - change->marked_at) / USEC_PER_MSEC)));
	begin_survey(service, now);
}

/* --- choosing the member to promote --- */

static void promote_member(service_t *service, const member_t *target, usec_t now)
{
	pooler_t *pooler = service->pooler;
	change_t *change = &service->change;

	if (change->target == NULL || strcmp(change->target, target->id) != 0) {
		talloc_free(change->target);
		change->target = talloc_strdup(service, target->id);
		change->promote_calls = 0;
	}
	change->promote_calls++;
	change->promote_called_at = now;
	service->last_promote_call_at = now;
	change->may_have_promoted = true;
	change->target_was_primary = target->status.primary;
	change->target_old_term = target->status.term;
	counter_add(&promotes_total, 1);
	set_step(service, CHANGE_PROMOTING, now);
	pooler->env->ops->promote(pooler->env, service->name, target->id, pooler->config.name,
				  pooler->sync.own_token);
}

/* True if the old primary still is the primary, and there is no reason left to replace it. */
static bool can_keep_old(const service_t *service, const member_t *old, usec_t now)
{
	return old != NULL && old->survey_answered && old->status.primary && !old->leaving &&
	       verdict_replace_reason(service, now) == NULL;
}

/*
 * The time from which no promote call of another leader can take effect; 0: there was none. Each
 * leader writes a change to the roster before it calls the platform, so a leader without a recent
 * write has made no call.
 */
static usec_t other_leader_calls_expiry(const service_t *service)
{
	const sync_t *sync = &service->pooler->sync;

	return sync->other_leader_wrote_at != 0 ? sync->other_leader_wrote_at + EARLIER_CALLS_TIME
						: 0;
}

static void run_survey(service_t *service, usec_t now)
{
	change_t *change = &service->change;
	member_t *old = service_roster_primary(service);
	member_t *newer;
	member_t *best;
	bool can_stay;

	survey_query_members(service, now);
	if (!survey_is_complete(service, now))
		return;
	newer = survey_newer_primary(service, old);
	if (newer != NULL) {
		commit_primary(service, newer, newer->status.term, now);
		return;
	}
	can_stay = can_keep_old(service, old, now);
	if (can_stay && !change->may_have_promoted) {
		keep_primary(service, old, old->status.term, now);
		return;
	}
	/*
	 * If an earlier promote call took effect unnoticed, the promoted member comes back with a
	 * newer term than the old primary. So the old primary is promoted like any other member; if
	 * it still is the primary, the call has no effect.
	 */
	best = can_stay ? old : survey_best_candidate(service, old);
	if (best == NULL)
		return;
	/*
	 * Since proxies no longer send writes, a replica soon has received all that a live old
	 * primary has.
	 */
	if (old != NULL && old->survey_answered && now < change->step_since + CATCH_UP_TIME &&
	    survey_is_ahead(old->status.received, best->status.received))
		return;
	if (now < change->promote_not_before || now < other_leader_calls_expiry(service) ||
	    !survey_has_acknowledged_commits(service, best, old, now))
		return;
	promote_member(service, best, now);
}

/* --- promoting that member --- */

void failover_on_promoted(service_t *service, promote_status_t status)
{
	static const char *const names[] = {[PROMOTE_OK] = "ok",
					    [PROMOTE_REFUSED] = "refused",
					    [PROMOTE_OUTCOME_UNKNOWN] = "lost"};
	usec_t now = now_of(service->pooler);
	member_t *target;

	if (service->change.step != CHANGE_PROMOTING)
		return;
	LOG_EVENT(LOG_INFO, "promote call answered", LOG_STR("service", service->name),
		  LOG_STR("member", service->change.target), LOG_STR("outcome", names[status]));
	if (status == PROMOTE_REFUSED) {
		begin_survey(service, now);
		return;
	}
	target = member_find(service->pooler, service->change.target);
	if (target != NULL)
		target->survey_answered = false;
	set_step(service, CHANGE_VERIFYING, now);
}

/*
 * True if the target is the primary after the promote call. If the target reported itself as
 * primary before the call already, another such report proves nothing unless its term rose. A call
 * has no effect only on a member that is the primary anyway, which is certain when nothing has
 * changed for CALL_EFFECT_TIME.
 */
static bool was_promoted(const service_t *service, const member_t *target, usec_t now)
{
	const change_t *change = &service->change;

	if (!target->survey_answered || !target->status.primary)
		return false;
	return !change->target_was_primary || target->status.term > change->target_old_term ||
	       now >= change->step_since + CALL_EFFECT_TIME;
}

static void verify_target(service_t *service, usec_t now)
{
	change_t *change = &service->change;
	member_t *target = member_find(service->pooler, change->target);

	if (target == NULL || target->unlisted) {
		begin_survey(service, now);
		return;
	}
	if (was_promoted(service, target, now)) {
		commit_primary(service, target, target->status.term, now);
		return;
	}
	if (now >= change->next_probe) {
		change->next_probe = now + SURVEY_INTERVAL;
		member_query_status(target);
	}
	if (now < change->step_since + VERIFY_TIMEOUT)
		return;
	if (change->promote_calls < PROMOTE_CALLS_MAX && !target->down)
		promote_member(service, target, now);
	else
		begin_survey(service, now);
}

static void finish_commit(service_t *service, usec_t now)
{
	const roster_group_t *group = service_roster_group(service);
	change_t *change = &service->change;
	usec_t cooldown = change->cooldown_until;

	if (change->write_pending)
		return;
	if (group->changing) {
		group_write_queue(service, change->target, false, change->new_term);
		return;
	}
	if (!change->primary_kept)
		counter_add(&changes_total, 1);
	LOG_EVENT(LOG_WARN, change->primary_kept ? "primary kept" : "primary replaced",
		  LOG_STR("service", service->name), LOG_STR("member", group->primary),
		  LOG_INT("took_ms", (int64_t)((now - change->started) / USEC_PER_MSEC)),
		  LOG_INT("roster", service->pooler->sync.roster->revision));
	if (change->due_to_failures && !change->primary_kept)
		service->failing_cooldown_until = now + FAILING_COOLDOWN;
	reset_change(service);
	change->cooldown_until = cooldown;
}

static void run_step(service_t *service, usec_t now)
{
	if (service->change.step != CHANGE_NONE)
		service->change_expected_end = now + failover_remaining(service, now);
	switch (service->change.step) {
	case CHANGE_NONE:
	case CHANGE_MARKING:
		check_primary(service, now);
		break;
	case CHANGE_RELEASING:
		await_release(service, now);
		break;
	case CHANGE_SURVEYING:
		run_survey(service, now);
		break;
	case CHANGE_PROMOTING:
		break;
	case CHANGE_VERIFYING:
		verify_target(service, now);
		break;
	case CHANGE_COMMITTING:
		finish_commit(service, now);
		break;
	}
}

/* Checks the next INACTIVE_PER_TICK services in turn, leaving out the active ones. */
static void check_inactive_services(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	size_t count = HASH_COUNT(pooler->services_by_name);

	if (sync->last_checked_service == NULL)
		sync->last_checked_service = &pooler->services;
	for (size_t i = 0; i < count && i < INACTIVE_PER_TICK; i++) {
		service_t *service;

		sync->last_checked_service = sync->last_checked_service->next;
		if (sync->last_checked_service == &pooler->services)
			sync->last_checked_service = sync->last_checked_service->next;
		service = list_entry(sync->last_checked_service, service_t, node);
		if (list_empty(&service->active))
			run_step(service, now);
	}
}

void failover_tick(pooler_t *pooler, usec_t now)
{
	if (!leader_is_self(pooler, now) || restore_is_pending(pooler))
		return;
	sweep_tick(pooler, now);
	verdict_count_votes(pooler, now);
	list_for_each (it, &pooler->active_services)
		run_step(list_entry(it, service_t, active), now);
	check_inactive_services(pooler, now);
	group_write_send(pooler, now);
}

usec_t failover_remaining(const service_t *service, usec_t now)
{
	const change_t *change = &service->change;
	usec_t end = now + CHANGE_USUAL_TIME;

	switch (change->step) {
	case CHANGE_RELEASING:
		if (change->minority_since != USEC_NEVER)
			end = change->minority_since + PERMIT_LEASE_TIME + CHANGE_USUAL_TIME;
		else
			end = change->marked_at + PERMIT_LEASE_MAX + CHANGE_USUAL_TIME;
		break;
	case CHANGE_PROMOTING:
	case CHANGE_VERIFYING:
		end = change->promote_called_at + PROMOTE_USUAL_TIME;
		break;
	case CHANGE_COMMITTING:
		end = now;
		break;
	default:
		break;
	}
	return end > now ? end - now : 0;
}
