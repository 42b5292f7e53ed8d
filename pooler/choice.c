#include "choice.h"

#include <string.h>

#include "conn.h"
#include "member.h"
#include "opening.h"
#include "permit.h"
#include "room.h"

/*
 * Penalties of a member for a read, as time added to its expected response time.
 * Another zone: a message between zones takes 1.4 ms each way, and the traffic is charged.
 */
#define OTHER_ZONE_COST (3 * USEC_PER_MSEC)
/* The primary: it alone can serve the writes. */
#define PRIMARY_COST (8 * USEC_PER_MSEC)
/* A member that has just failed this read, or is ejected as an outlier: chosen if no other can. */
#define LAST_RESORT_COST (1 * USEC_PER_SEC)
/* No idle connection: until a new one is ready, which occupies a slot of the member for 12 ms. */
#define CONNECT_TIME (15 * USEC_PER_MSEC)
/*
 * How long a read waits for a slot of a member where its customer has an idle connection before one
 * is opened at another member: as long as the opening takes, in which most such slots come free.
 */
#define IDLE_CONN_WAIT CONNECT_TIME
/* How long after a refusal for lag the replica's last measured lag is assumed to be unchanged. */
#define LAG_CACHE_TIME (300 * USEC_PER_MSEC)
/* Added to that lag: the interval between samples of the primary's position. */
#define LAG_MARGIN FRESHNESS_SPACING
/* Part of the platform's bound for leaving members in which a primary is still used: 5 of 7 s. */
#define LEAVING_USABLE_PERCENT 70
/*
 * A read waits for a healthy member for this part of its objective. Then a member that fails some
 * of its statements may serve it too, since no other would answer within the objective.
 */
#define HEALTHY_ONLY_WAIT(objective) ((objective) / 4)

/* --- log position that a replica must have applied --- */

/*
 * Sets the log position that a replica must have applied for the caller's read. Returns false if
 * no sample of the primary's position is recent enough.
 */
static bool required_position(const caller_t *caller, sample_t *required)
{
	const freshness_t *freshness = caller->service->freshness;
	usec_t max_age = caller->max_age;
	own_commit_t commit;
	bool has_commit = caller->reads == READS_SESSION &&
			  own_commits_find(&caller->own_commits, caller->service, &commit);

	/* A sample that was taken after a commit without a position covers it. */
	if (has_commit && !commit.has_position && max_age > caller->received_at - commit.at)
		max_age = caller->received_at - commit.at;
	if (!freshness_min_position(freshness, caller->received_at, max_age, required))
		return false;
	if (has_commit && commit.has_position &&
	    !position_covers(required->position, commit.position)) {
		required->position = position_max(required->position, commit.position);
		required->sent_at = commit.at;
	}
	return true;
}

/* --- choosing a member for a read --- */

/*
 * The time until a connection is ready; and as much again if another one gives way for it, which
 * its owner will have to open again.
 */
static usec_t opening_cost(const member_t *member, const caller_t *caller)
{
	return room_can_open(member, now_of(caller->pooler), false) ? CONNECT_TIME
								    : 2 * CONNECT_TIME;
}

static usec_t cost_of(const member_t *member, const caller_t *caller, bool primary)
{
	usec_t cost = member->response_time * (1 + room_used(member));

	if (strcmp(member->zone, caller->pooler->config.zone) != 0)
		cost += OTHER_ZONE_COST;
	if (primary)
		cost += PRIMARY_COST;
	if (conn_find_idle(member, caller) == NULL)
		cost += opening_cost(member, caller);
	if (!outlier_accepts_read(&member->outlier, room_used(member), now_of(caller->pooler)) ||
	    (caller->attempts != 0 && caller->failed_member == member))
		cost += LAST_RESORT_COST;
	return cost;
}

/* True if the caller has waited long enough to accept a member that fails some statements. */
static bool accepts_failing_member(const caller_t *caller, usec_t now)
{
	return now >= caller->received_at + HEALTHY_ONLY_WAIT(caller->objective);
}

static bool can_read_at(const member_t *member, const caller_t *caller, usec_t now)
{
	return outlier_accepts_read(&member->outlier, room_used(member), now) ||
	       accepts_failing_member(caller, now);
}

static bool can_serve(const member_t *member, const caller_t *caller, usec_t now)
{
	return member_is_usable(member) && room_is_free(member) &&
	       (conn_find_idle(member, caller) != NULL || opening_is_possible(member, caller, now));
}

static bool has_idle_conn(const member_t *member, const caller_t *caller)
{
	return member_is_usable(member) && conn_find_idle(member, caller) != NULL;
}

/* True if the caller would be served sooner without a new connection: see IDLE_CONN_WAIT. */
static bool waits_for_idle_conn(const caller_t *caller, usec_t now)
{
	return now < caller->received_at + IDLE_CONN_WAIT;
}

/*
 * When the replica has probably applied the position that the read requires, by its lag at its last
 * reply; USEC_NEVER: not known.
 */
static usec_t replica_current_at(const member_t *replica, const sample_t *required)
{
	usec_t caught_up_to =
		freshness_position_time(replica->service->freshness, replica->applied);

	return caught_up_to != 0
		       ? required->sent_at + (replica->applied_at - caught_up_to) + LAG_MARGIN
		       : USEC_NEVER;
}

/*
 * True if the replica has probably applied the position that the read requires, estimated from its
 * lag at its last reply. A wrong estimate costs one round trip. Without the estimate, while the
 * replicas lagged by seconds, a third of all reads took that extra round trip.
 */
static bool replica_probably_current(member_t *replica, const sample_t *required, usec_t now)
{
	if (position_covers(replica->applied, required->position) ||
	    now >= replica->lagged_at + LAG_CACHE_TIME)
		return true;
	return replica_current_at(replica, required) <= now;
}

/*
 * Returns the member that serves the caller's read now, or NULL if none can. *servable is set if
 * some member can serve it once it has a free connection.
 */
static member_t *choose_read_member(caller_t *caller, usec_t now, bool *servable)
{
	member_t *primary = permit_primary(caller->service, now);
	sample_t required;
	bool fresh = required_position(caller, &required) && !caller->primary_only;
	member_t *best = NULL;
	usec_t best_cost = USEC_NEVER;
	bool idle_conn_lacks_slot = false;

	*servable = false;
	list_for_each (it, &caller->service->members) {
		member_t *member = list_entry(it, member_t, in_service);
		usec_t cost;

		if (member != primary &&
		    (!fresh || !replica_probably_current(member, &required, now)))
			continue;
		*servable = *servable || member_is_usable(member);
		if (!can_read_at(member, caller, now))
			continue;
		if (!can_serve(member, caller, now)) {
			idle_conn_lacks_slot =
				idle_conn_lacks_slot || has_idle_conn(member, caller);
			continue;
		}
		cost = cost_of(member, caller, member == primary);
		if (cost < best_cost) {
			best = member;
			best_cost = cost;
		}
	}
	caller->has_after = best != primary;
	if (caller->has_after)
		caller->after = required.position;
	if (best != NULL && idle_conn_lacks_slot && !has_idle_conn(best, caller) &&
	    waits_for_idle_conn(caller, now))
		return NULL;
	return best;
}

/* True if the permitted primary is still used: also while it is unlisted, or about to leave. */
static bool primary_is_servable(const member_t *primary, usec_t now)
{
	usec_t leaving_use = primary->pooler->config.leaving_bound * LEAVING_USABLE_PERCENT / 100;

	return !primary->down && now < primary->leaving_since + leaving_use;
}

bool choice_may_take_statements(const member_t *member, usec_t now)
{
	return member_is_usable(member) ||
	       (permit_allows(member, now) && primary_is_servable(member, now));
}

static member_t *choose_primary(caller_t *caller, usec_t now, bool *servable)
{
	member_t *primary = permit_primary(caller->service, now);

	caller->has_after = false;
	*servable = primary != NULL && primary_is_servable(primary, now);
	if (!*servable || !room_is_free(primary) ||
	    (conn_find_idle(primary, caller) == NULL && !opening_is_possible(primary, caller, now)))
		return NULL;
	return primary;
}

member_t *choice_find(caller_t *caller, usec_t now, bool *servable)
{
	if (caller->target == TARGET_PRIMARY)
		return choose_primary(caller, now, servable);
	return choose_read_member(caller, now, servable);
}

usec_t choice_next_change(const caller_t *caller, usec_t now)
{
	if (caller->target != TARGET_ANY)
		return USEC_NEVER;
	if (waits_for_idle_conn(caller, now))
		return caller->received_at + IDLE_CONN_WAIT;
	return accepts_failing_member(caller, now)
		       ? USEC_NEVER
		       : caller->received_at + HEALTHY_ONLY_WAIT(caller->objective);
}

choice_capacity_t choice_capacity(const caller_t *caller, usec_t now)
{
	const member_t *primary = permit_primary(caller->service, now);
	choice_capacity_t capacity = {.primary_only = true, .replica_at = USEC_NEVER};
	sample_t required = {0};
	bool fresh = caller->target == TARGET_ANY && !caller->primary_only &&
		     required_position(caller, &required);

	list_for_each (it, &caller->service->members) {
		member_t *member = list_entry(it, member_t, in_service);
		usec_t at;

		if ((member != primary && !fresh) ||
		    !(caller->target == TARGET_PRIMARY ? choice_may_take_statements(member, now)
						       : member_is_usable(member)))
			continue;
		if (member == primary || replica_probably_current(member, &required, now)) {
			capacity.slots += room_slots(member);
			capacity.primary_only = capacity.primary_only && member == primary;
			continue;
		}
		at = replica_current_at(member, &required);
		if (at < capacity.replica_at)
			capacity.replica_at = at;
	}
	return capacity;
}

bool choice_has_room(const service_t *service, usec_t now)
{
	list_for_each (it, &service->members) {
		const member_t *member = list_entry(it, member_t, in_service);

		if (choice_may_take_statements(member, now) && room_is_free(member))
			return true;
	}
	return false;
}
