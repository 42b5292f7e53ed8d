#include "verdict.h"

#include <string.h>

#include <talloc.h>

#include "active.h"
#include "exchange.h"
#include "home.h"
#include "leader.h"
#include "member.h"
#include "sync.h"

/* How long a report that a primary is down counts: three query intervals. */
#define DOWN_REPORT_VALID (1 * USEC_PER_SEC)
/*
 * How long a report that a primary is alive counts: one and a half query intervals. Less than
 * DOWN_REPORT_VALID, since the primary may have failed right after the report.
 */
#define ALIVE_REPORT_VALID (450 * USEC_PER_MSEC)
/* Time between two probes of a primary that no proxy uses. */
#define UNUSED_PROBE_INTERVAL (1 * USEC_PER_SEC)
/*
 * Time between any two probes of unused primaries; after a pause UNUSED_PROBE_BURST of them may be
 * sent at once. Each probe is a new connection: 334 at once would keep a leader with an eighth of a
 * core busy for 2 s, which is longer than its lease.
 */
#define UNUSED_PROBE_SPACING (25 * USEC_PER_MSEC)
#define UNUSED_PROBE_BURST   8
/* Time between two probes of a primary that the leader or another proxy reports as down. */
#define SUSPECT_PROBE_INTERVAL (200 * USEC_PER_MSEC)
/* How long after a change of primary a member's entry may still show the state before it. */
#define MEMBER_LIST_LAG (3 * USEC_PER_SEC)

/*
 * Proxies that must find a primary down, unless the fleet has only one. A single proxy's finding
 * proves nothing, since its own link or processor may be at fault: on links of 2 Mbit/s the leader
 * replaced 34 healthy primaries before the first caller connected, and nobody was served for the
 * next 8 s.
 */
#define MIN_REPORTERS 2
/* How long a suspicion sent by the leader counts: two intervals of the answers that carry it. */
#define SUSPICION_VALID (600 * USEC_PER_MSEC)
/* Time between two counts of the votes while no proxy reports trouble. */
#define COUNT_INTERVAL (200 * USEC_PER_MSEC)

const char *const verdict_reason_failing = "primary fails statements";

/*
 * How long after this proxy became the leader a primary may be missing from the platform's list:
 * members' entries expire while the store is unavailable, and are back within 2 s of its return.
 */
#define UNLISTED_GRACE (3 * USEC_PER_SEC)

roster_group_t *service_roster_group(const service_t *service)
{
	return service->group;
}

member_t *service_roster_primary(const service_t *service)
{
	return service->primary;
}

typedef void (*add_vote_fn_t)(service_t *service, const peer_report_t *report);

static void add_down(service_t *service, const peer_report_t *report)
{
	(void)report;
	active_add_service(service);
	service->reported_votes.down++;
}

static void add_alive(service_t *service, const peer_report_t *report)
{
	service->reported_votes.alive++;
	service->reported_votes.healthy += !exchange_list_contains(report->failing, service->name);
}

static void add_failing(service_t *service, const peer_report_t *report)
{
	(void)report;
	active_add_service(service);
	service->reported_votes.failing++;
}

/* Adds a vote to each service in the list, unless the report is about an earlier primary. */
static void add_votes(pooler_t *pooler, const peer_report_t *report, const char *list,
		      add_vote_fn_t add)
{
	const char *name;
	size_t len;

	while ((name = exchange_next_word(&list, &len)) != NULL) {
		service_t *service;

		HASH_FIND(hh, pooler->services_by_name, name, len, service);
		/*
		 * A proxy that had not received this roster yet reported on the primary before it.
		 */
		if (service == NULL || report->revision < service->primary_revision)
			continue;
		if (service->reported_votes_round != pooler->sync.vote_round) {
			service->reported_votes_round = pooler->sync.vote_round;
			service->reported_votes = (votes_t){0};
		}
		add(service, report);
	}
}

static bool reports_trouble(const peer_report_t *report)
{
	return (report->down != NULL && *report->down != '\0') ||
	       (report->failing != NULL && *report->failing != '\0');
}

void verdict_count_votes(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;

	if (!sync->votes_changed && now < sync->votes_due)
		return;
	sync->vote_round++;
	sync->votes_due = now + COUNT_INTERVAL;
	sync->votes_changed = false;
	list_for_each (it, &sync->reports) {
		const peer_report_t *report = list_entry(it, peer_report_t, node);

		if (report->received_at + DOWN_REPORT_VALID < now)
			continue;
		sync->votes_changed |= reports_trouble(report);
		add_votes(pooler, report, report->down, add_down);
		add_votes(pooler, report, report->failing, add_failing);
		if (report->received_at + ALIVE_REPORT_VALID > now)
			add_votes(pooler, report, report->alive, add_alive);
	}
}

/* Votes of all proxies on the primary, including this one's. */
static votes_t count_all_votes(const service_t *service, const member_t *primary, usec_t now)
{
	votes_t votes = {0};
	bool failing = outlier_is_failing(&primary->outlier, now);
	bool alive = !primary->down && primary->last_reply_at + ALIVE_WITHIN > now;

	if (service->reported_votes_round == service->pooler->sync.vote_round)
		votes = service->reported_votes;
	votes.down += primary->down;
	votes.alive += alive;
	votes.failing += failing;
	votes.healthy += alive && !failing;
	return votes;
}

/*
 * True if another member has become the primary without this leader. The platform's list lags
 * behind: an old primary still claims to be one after its replacement, so only a claim made later
 * than that counts.
 */
static bool other_claims_primary(const service_t *service, const member_t *primary)
{
	list_for_each (it, &service->members) {
		const member_t *member = list_entry(it, member_t, in_service);

		if (member != primary && member->claims_primary && !member->unlisted &&
		    member->claim_changed_at > service->primary_since + MEMBER_LIST_LAG)
			return true;
	}
	return false;
}

/* True if the roster has another proxy that is not marked as gone. */
static bool has_other_proxies(const pooler_t *pooler)
{
	list_for_each (it, &pooler->sync.roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		if (!node->gone && strcmp(node->name, pooler->config.name) != 0)
			return true;
	}
	return false;
}

/*
 * True if the primary is unreachable for enough proxies. It is not replaced when only some can't
 * reach it: the next primary may be out of reach for more of them, and the change costs all of them
 * one second.
 */
static bool is_unreachable(const service_t *service, const member_t *primary, votes_t votes)
{
	size_t proxies = service->pooler->sync.proxy_count;

	if (votes.down < MIN_REPORTERS && has_other_proxies(service->pooler))
		return false;
	return votes.down * 2 > proxies || (primary->down && votes.down > votes.alive);
}

/*
 * True if the primary must be replaced for failing statements while it answers health checks. It is
 * replaced when more than half of the proxies that use it see it fail, since a change costs callers
 * one second without writes, in which most of them only wait. Within FAILING_COOLDOWN it is not
 * replaced for this reason again: if the next primary fails the statements too, the statements are
 * at fault.
 */
static bool is_failing(const service_t *service, votes_t votes, usec_t now)
{
	if (service->change.step == CHANGE_NONE && now < service->failing_cooldown_until)
		return false;
	/*
	 * Once its change has begun the primary gets no statements, so ever fewer proxies see it
	 * fail.
	 */
	if (service->change.step != CHANGE_NONE && service->change.due_to_failures)
		return votes.failing != 0;
	if (votes.failing < MIN_REPORTERS && has_other_proxies(service->pooler))
		return false;
	return votes.failing > votes.healthy;
}

/*
 * Probes a primary that no proxy has used recently, or that some proxies can't reach, so that its
 * failure is noticed before the primary is needed.
 */
static void probe_if_due(member_t *primary, usec_t now, usec_t interval)
{
	if (now < primary->unused_probed_at + interval)
		return;
	primary->unused_probed_at = now;
	member_probe(primary);
}

/*
 * The interval grows with the number of services if they can't all be probed in
 * UNUSED_PROBE_INTERVAL.
 */
static usec_t unused_probe_interval(const pooler_t *pooler)
{
	usec_t round = HASH_COUNT(pooler->services_by_name) * UNUSED_PROBE_SPACING;

	return round > UNUSED_PROBE_INTERVAL ? round : UNUSED_PROBE_INTERVAL;
}

/*
 * True if one more unused primary may be probed now. A token bucket, which is full again after a
 * pause.
 */
static bool take_probe_token(sync_t *sync, usec_t now)
{
	usec_t full_after = UNUSED_PROBE_BURST * UNUSED_PROBE_SPACING;

	if (sync->unused_probe_next + full_after < now)
		sync->unused_probe_next = now - full_after;
	if (sync->unused_probe_next > now)
		return false;
	sync->unused_probe_next += UNUSED_PROBE_SPACING;
	return true;
}

/* Probes a primary that no proxy seems to use. */
static void probe_unused(pooler_t *pooler, member_t *primary, usec_t now)
{
	usec_t interval = unused_probe_interval(pooler);

	if (now >= primary->unused_probed_at + interval && take_probe_token(&pooler->sync, now))
		probe_if_due(primary, now, interval);
}

static bool is_suspected(const service_t *service, usec_t now)
{
	const member_t *primary =
		leader_is_self(service->pooler, now) ? service_roster_primary(service) : NULL;

	if (primary != NULL)
		return primary->down;
	return service->suspected_at != 0 && now < service->suspected_at + SUSPICION_VALID;
}

char *verdict_suspects(const pooler_t *pooler, usec_t now, void *parent)
{
	char *suspects = talloc_strdup(parent, "");

	list_for_each (it, &pooler->active_services) {
		const service_t *service = list_entry(it, service_t, active);

		if (is_suspected(service, now))
			suspects = talloc_asprintf_append(suspects, "%s ", service->name);
	}
	return suspects;
}

/*
 * True if this proxy should probe a suspected primary: if it has connections to the service's
 * members in normal operation, or is the next to have them, since the leader may be the only home.
 * All other proxies would have to open new connections.
 */
static bool should_probe_suspect(service_t *service, usec_t now)
{
	return !home_is_needed(service) || home_holds_conns(service, now) ||
	       home_self_is_candidate(service);
}

void verdict_on_suspects(pooler_t *pooler, const char *suspects, usec_t now)
{
	const char *name;
	size_t len;

	while ((name = exchange_next_word(&suspects, &len)) != NULL) {
		service_t *service;
		member_t *primary;

		HASH_FIND(hh, pooler->services_by_name, name, len, service);
		if (service == NULL)
			continue;
		service->suspected_at = now;
		active_add_service(service);
		primary = service_roster_primary(service);
		if (primary != NULL && !primary->down && should_probe_suspect(service, now) &&
		    now >= primary->last_reply_at + ALIVE_WITHIN)
			probe_if_due(primary, now, SUSPECT_PROBE_INTERVAL);
	}
}

const char *verdict_replace_reason(const service_t *service, usec_t now)
{
	member_t *primary = service_roster_primary(service);
	votes_t votes;

	if (primary == NULL)
		return now >= service->pooler->sync.leading_since + UNLISTED_GRACE
			       ? "primary is not listed"
			       : NULL;
	if (primary->unlisted)
		return "primary is no longer listed";
	if (primary->leaving)
		return "primary is leaving";
	if (!primary->claims_primary && other_claims_primary(service, primary))
		return "another member is the primary";
	votes = count_all_votes(service, primary, now);
	if (is_unreachable(service, primary, votes))
		return "primary does not answer";
	if (is_failing(service, votes, now))
		return verdict_reason_failing;
	if (votes.down != 0)
		probe_if_due(primary, now, SUSPECT_PROBE_INTERVAL);
	else if (votes.alive == 0)
		probe_unused(service->pooler, primary, now);
	return NULL;
}
