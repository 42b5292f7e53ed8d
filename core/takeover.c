#include "takeover.h"

#include <talloc.h>

#include "confirm.h"
#include "exec.h"
#include "group.h"
#include "pool.h"

/* Consecutive refused connections that show that the member's process has ended. */
#define UNREACHABLE_THRESHOLD 2
/* Backoff after a failed takeover: a random time from this to twice this. */
#define RETRY_BACKOFF (50 * USEC_PER_MSEC)
/* A confirmation this many times slower than the recent peak is a stall. */
#define STALL_FACTOR 2
/*
 * After the first takeover for a stall, the next one waits this many times stall_after,
 * then twice as long each time, up to the maximum, until a confirmation succeeds.
 */
#define STALL_BACKOFF_FACTOR 10
#define STALL_BACKOFF_MAX    (60 * USEC_PER_SEC)

static void on_step_timeout(run_timer_t *timer, usec_t now);

/*
 * Time-out for an answer of the member: longer than its answers usually take, computed
 * as for TCP retransmission (RFC 6298).
 */
static usec_t answer_timeout(const member_t *member)
{
	usec_t floor = member->group->core->config.timings.detect_floor;
	usec_t usual_time = rtt_timeout(&member->rtt);

	return usual_time > floor ? usual_time : floor;
}

/*
 * Only an unanswered request for a report counts. The age of the last report does
 * not: a proxy that has just become the group's home polled less often before.
 */
static bool is_silent(const member_t *member)
{
	const core_t *core = member->group->core;

	if (member->misses > member->unreachable)
		return true;
	return member->report_order != 0 &&
	       core->now - member->report_sent > answer_timeout(member);
}

usec_t takeover_silence_deadline(const group_t *group)
{
	const member_t *primary = group->primary;

	if (primary == NULL || primary->report_order == 0)
		return USEC_NEVER;
	return primary->report_sent + answer_timeout(primary) + 1;
}

/*
 * A primary cut off from its replicas still accepts writes, but none is confirmed.
 * Replicas that merely lag look the same for a while, and a takeover would not help
 * then; hence the wide margin and the growing backoff.
 */
static bool is_stalled(const group_t *group)
{
	const core_timings_t *timings = &group->core->config.timings;
	usec_t limit = timings->stall_after;

	if (STALL_FACTOR * group->confirm_peak > limit)
		limit = STALL_FACTOR * group->confirm_peak;
	if (group->takeover.stall_backoff > limit)
		limit = group->takeover.stall_backoff;
	return confirm_oldest_wait(group) > limit;
}

/* The reason for which this proxy regards the primary as failed; NULL if it does not. */
static const char *find_failure(const group_t *group)
{
	const member_t *primary = group->primary;
	const core_timings_t *timings = &group->core->config.timings;

	if (primary == NULL) {
		usec_t lost_for = group->core->now - group->primary_lost_at;

		return lost_for > timings->detect_floor ? "no member is primary" : NULL;
	}
	if (primary->unreachable >= UNREACHABLE_THRESHOLD)
		return "its process is gone";
	if (is_silent(primary))
		return "it does not answer";
	if (primary->leaving)
		return "its VM is leaving";
	if (is_stalled(group))
		return "it is cut off from its peers";
	return NULL;
}

/* The baseline for measurements: the home uses one fixed time-out and nothing else. */
static const char *find_failure_fixed(const group_t *group)
{
	const core_t *core = group->core;
	usec_t since =
		group->primary != NULL ? group->primary->reported_as_of : group->primary_lost_at;

	if (group->rank != 0 || core->now - since < core->config.fixed_timeout)
		return NULL;
	return "fixed time-out";
}

/* Each rank waits one stagger longer than the rank before it, so that one watcher acts first. */
static bool is_our_turn(const group_t *group)
{
	const core_t *core = group->core;
	int rank = fleet_acting_rank(&group->ranks);
	usec_t since =
		group->primary != NULL ? group->primary->reported_as_of : group->primary_lost_at;

	if (rank < 0)
		return false;
	if (rank == 0)
		return true;
	return core->now - since > (usec_t)rank * core->config.timings.stagger;
}

static uint64_t highest_term(const group_t *group)
{
	uint64_t term = group->term;

	for (size_t i = 0; i < group->member_count; i++) {
		const takeover_t *takeover = &group->takeover;

		if (takeover->reports[i].sealed > term)
			term = takeover->reports[i].sealed;
	}
	return term > group->takeover.term ? term : group->takeover.term;
}

static void arm_step_timer(group_t *group)
{
	core_t *core = group->core;

	timers_arm(&core->timers, &group->takeover.timer,
		   core->now + core->config.timings.seal_timeout, on_step_timeout);
}

static void raise_stall_backoff(group_t *group)
{
	takeover_t *takeover = &group->takeover;

	if (!is_stalled(group))
		return;
	takeover->stall_backoff =
		takeover->stall_backoff == 0
			? STALL_BACKOFF_FACTOR * group->core->config.timings.stall_after
			: 2 * takeover->stall_backoff;
	if (takeover->stall_backoff > STALL_BACKOFF_MAX)
		takeover->stall_backoff = STALL_BACKOFF_MAX;
}

/*
 * A primary that is leaving or cut off from its replicas can still answer, and its
 * log is the longest: if it were sealed with the others it would be promoted again.
 * So the others must form the majority, which holds all acknowledged writes.
 * ORDER_FOLLOW seals the old primary afterwards.
 */
static bool is_excluded_from_sealing(const member_t *member)
{
	const group_t *group = member->group;

	return member->leaving || (member == group->primary && is_stalled(group));
}

static void start_takeover(group_t *group, const char *reason)
{
	takeover_t *takeover = &group->takeover;
	core_t *core = group->core;

	takeover->term = highest_term(group) + 1;
	takeover->state = TAKEOVER_SEALING;
	takeover->started = core->now;
	takeover->reason = reason;
	takeover->candidate = NULL;
	takeover->count++;
	core_log(core, true, "takeover started group=%s term=%llu primary=%s because %s",
		 group->name, (unsigned long long)takeover->term,
		 group->primary != NULL ? group->primary->spec.name : "none", reason);
	for (size_t i = 0; i < group->member_count; i++) {
		takeover->sealed[i] = false;
		takeover->seal_orders[i] = 0;
		if (!is_excluded_from_sealing(&group->members[i]))
			takeover->seal_orders[i] = member_send_order(&group->members[i], ORDER_SEAL,
								     takeover->term, NULL);
	}
	raise_stall_backoff(group);
	arm_step_timer(group);
}

static size_t count_recent_reports(const group_t *group)
{
	const core_t *core = group->core;
	size_t n = 0;

	for (size_t i = 0; i < group->member_count; i++) {
		const member_t *member = &group->members[i];

		n += member->has_report &&
		     core->now - member->reported_as_of <= core->config.timings.order_timeout / 2;
	}
	return n;
}

void takeover_start_if_due(group_t *group)
{
	const core_t *core = group->core;
	const char *reason;

	if (group->takeover.state != TAKEOVER_NONE || core->now < group->takeover.not_before)
		return;
	reason = core->config.fixed_detection ? find_failure_fixed(group) : find_failure(group);
	if (reason == NULL || !is_our_turn(group))
		return;
	/* Without a majority in reach, this proxy itself may be the one that is cut off. */
	if (group_count_responsive(group) < group_majority(group))
		return;
	/* A standby polls rarely: another proxy may have taken over since its last reports. */
	if (count_recent_reports(group) < group_majority(group)) {
		group_request_reports(group);
		return;
	}
	start_takeover(group, reason);
}

static void abort_takeover(group_t *group, const char *why)
{
	takeover_t *takeover = &group->takeover;
	core_t *core = group->core;

	timers_cancel(&core->timers, &takeover->timer);
	takeover->state = TAKEOVER_NONE;
	/* Randomised, so that two proxies that collided do not collide again. */
	takeover->not_before = core->now + RETRY_BACKOFF + core_random(core, RETRY_BACKOFF);
	core_log(core, true, "takeover failed group=%s term=%llu: %s", group->name,
		 (unsigned long long)takeover->term, why);
}

static void on_step_timeout(run_timer_t *timer, usec_t now)
{
	takeover_t *takeover = list_entry(timer, takeover_t, timer);
	group_t *group = list_entry(takeover, group_t, takeover);

	(void)now;
	abort_takeover(group, takeover->state == TAKEOVER_SEALING
				      ? "no majority sealed in time"
				      : "promotion not answered in time");
}

static bool is_longer_log(position_t a, position_t b)
{
	return a.term != b.term ? a.term > b.term : a.lsn > b.lsn;
}

static void choose_and_promote(group_t *group)
{
	takeover_t *takeover = &group->takeover;
	member_t *best = NULL;
	size_t sealed = 0;
	position_t best_log = {0};

	for (size_t i = 0; i < group->member_count; i++) {
		if (!takeover->sealed[i])
			continue;
		sealed++;
		if (best == NULL || is_longer_log(takeover->reports[i].log, best_log)) {
			best = &group->members[i];
			best_log = takeover->reports[i].log;
		}
	}
	if (sealed < group_majority(group))
		return;
	takeover->state = TAKEOVER_PROMOTING;
	takeover->sealed_at = group->core->now;
	takeover->candidate = best;
	takeover->promote_order = member_send_order(best, ORDER_PROMOTE, takeover->term, NULL);
	/* A sealed majority never confirms runs on the old primary: end them for a retry. */
	if (group->primary != NULL && group->primary != best)
		pool_close_superseded(group->primary);
	exec_dispatch(group);
	arm_step_timer(group);
}

static void finish_takeover(group_t *group, const report_t *report, usec_t sent)
{
	takeover_t *takeover = &group->takeover;
	core_t *core = group->core;

	timers_cancel(&core->timers, &takeover->timer);
	takeover->state = TAKEOVER_NONE;
	core_log(core, true,
		 "takeover done group=%s term=%llu primary=%s sealed_after_us=%llu "
		 "promoted_after_us=%llu",
		 group->name, (unsigned long long)takeover->term, takeover->candidate->spec.name,
		 (unsigned long long)(takeover->sealed_at - takeover->started),
		 (unsigned long long)(core->now - takeover->started));
	group_apply_report(group, takeover->candidate, report, sent);
	for (size_t i = 0; i < group->member_count; i++)
		group_order_follow(&group->members[i]);
	exec_dispatch(group);
}

static void handle_seal_done(group_t *group, size_t i, const order_event_t *event)
{
	takeover_t *takeover = &group->takeover;

	takeover->seal_orders[i] = 0;
	if (event->status == ORDER_REFUSED) {
		takeover->reports[i] = event->report;
		group_apply_report(group, &group->members[i], &event->report, takeover->started);
		abort_takeover(group, "a member has sealed a later term");
		return;
	}
	if (event->status != ORDER_OK)
		return;
	takeover->sealed[i] = true;
	takeover->reports[i] = event->report;
	choose_and_promote(group);
}

void takeover_order_done(group_t *group, member_t *member, uint64_t id, const order_event_t *event)
{
	takeover_t *takeover = &group->takeover;
	size_t i = (size_t)(member - group->members);

	if (takeover->state == TAKEOVER_SEALING && takeover->seal_orders[i] == id) {
		handle_seal_done(group, i, event);
	} else if (takeover->state == TAKEOVER_PROMOTING && takeover->promote_order == id) {
		if (event->status == ORDER_OK) {
			finish_takeover(group, &event->report, takeover->sealed_at);
		} else {
			abort_takeover(group, "the chosen member was not promoted");
		}
	}
}
