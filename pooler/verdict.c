#include "verdict.h"

#include <string.h>

#include <talloc.h>

#include "exchange.h"
#include "hold.h"
#include "home.h"
#include "member.h"
#include "sync.h"

/* A report that a primary is down counts for so long: three questions' intervals. */
#define REPORT_VALID (1 * USEC_PER_SEC)
/* One that it is alive: an interval and a half, since it can have died just after. */
#define ALIVE_VALID (450 * USEC_PER_MSEC)
/* Between two questions to a primary that nobody uses. */
#define UNUSED_CHECK (1 * USEC_PER_SEC)
/* The same if another proxy says that it is down. */
#define DOUBTED_CHECK (200 * USEC_PER_MSEC)
/* A member's entry may come so much later than the change that it tells of. */
#define LIST_LAG (3 * USEC_PER_SEC)

/*
 * Proxies that must find a primary down, unless the fleet has one only. A single one's own word
 * proves nothing: its link or its processor may be what fails. On links of 2 Mbit/s the holder of
 * the duty replaced 34 primaries that were well before the first caller came, and nobody was served
 * for the next 8 s.
 */
#define WITNESSES_LEAST 2
/* A doubt that the holder told counts for so long: two of the answers that bring it. */
#define DOUBT_VALID (600 * USEC_PER_MSEC)

const char *const verdict_failing = "primary fails statements";

typedef struct votes {
	size_t down;
	size_t alive;
	size_t failing; /* it answers, and fails a good part of the statements */
	size_t well;	/* alive, and does not */
} votes_t;

/*
 * From the begin of our hold, for a primary that this process has never heard of: members' entries
 * lapse while the store is away, and are back within 2 s of its return.
 */
#define UNLISTED_TIME (3 * USEC_PER_SEC)

roster_group_t *verdict_group(const service_t *service)
{
	return roster_group(service->pooler->sync.roster, service->name);
}

member_t *verdict_primary(const service_t *service)
{
	const roster_group_t *group = verdict_group(service);

	return group != NULL ? member_find(service->pooler, group->primary) : NULL;
}

/* What the proxies, this one included, see of the primary. */
static votes_t count_votes(const service_t *service, const member_t *primary, usec_t now)
{
	const pooler_t *pooler = service->pooler;
	votes_t votes = {0};

	if (primary->down)
		votes.down++;
	else if (primary->last_reply + ALIVE_WITHIN > now)
		votes.alive++;
	votes.failing = outlier_is_failing(&primary->outlier, now);
	votes.well = votes.alive > votes.failing;
	list_for_each (it, &pooler->sync.reports) {
		const peer_report_t *report = list_entry(it, peer_report_t, node);
		bool failing = exchange_lists(report->failing, service->name);
		bool alive = exchange_lists(report->alive, service->name);

		/* A proxy that did not know this primary yet spoke of the one before. */
		if (report->heard_at + REPORT_VALID < now ||
		    report->revision < service->settled_revision)
			continue;
		votes.down += exchange_lists(report->down, service->name);
		votes.failing += failing;
		if (report->heard_at + ALIVE_VALID > now) {
			votes.alive += alive;
			votes.well += alive && !failing;
		}
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

/* True if the roster has another proxy that may live. */
static bool others_live(const pooler_t *pooler)
{
	list_for_each (it, &pooler->sync.roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		if (!node->gone && strcmp(node->name, pooler->config.name) != 0)
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
	size_t proxies = service->pooler->sync.proxies;

	if (votes.down < WITNESSES_LEAST && others_live(service->pooler))
		return false;
	return votes.down * 2 > proxies || (primary->down && votes.down > votes.alive);
}

/*
 * Callers are told that their writes failed, while the health check is good: more than half of
 * the proxies that use the primary see it. A change costs them a second without writes, in which
 * most only wait. One that followed from failing statements is not made again soon, since the
 * next primary that fails them too shows that the statements are at fault.
 */
static bool is_failing(const service_t *service, votes_t votes, usec_t now)
{
	if (service->change.step == CHANGE_NONE && now < service->failing_until)
		return false;
	if (votes.failing < WITNESSES_LEAST && others_live(service->pooler))
		return false;
	return votes.failing > votes.well;
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

static bool is_doubted(const service_t *service, usec_t now)
{
	const member_t *primary = verdict_primary(service);

	if (primary != NULL && hold_is_ours(service->pooler, now))
		return primary->down;
	return service->doubted_at != 0 && now < service->doubted_at + DOUBT_VALID;
}

char *verdict_doubts(const pooler_t *pooler, usec_t now, void *parent)
{
	char *doubts = talloc_strdup(parent, "");

	list_for_each (it, &pooler->services) {
		const service_t *service = list_entry(it, service_t, node);

		if (is_doubted(service, now))
			doubts = talloc_asprintf_append(doubts, "%s ", service->name);
	}
	return doubts;
}

/*
 * Those that have connections to it in normal times, or come next: the holder may be the only home.
 * All others would make as many new connections.
 */
static bool is_witness(service_t *service, usec_t now)
{
	return !home_applies(service) || home_serves(service, now) || home_is_candidate(service);
}

void verdict_on_doubts(pooler_t *pooler, const char *doubts, usec_t now)
{
	list_for_each (it, &pooler->services) {
		service_t *service = list_entry(it, service_t, node);
		member_t *primary;

		if (!exchange_lists(doubts, service->name))
			continue;
		service->doubted_at = now;
		primary = verdict_primary(service);
		if (primary != NULL && !primary->down && is_witness(service, now) &&
		    now >= primary->last_reply + ALIVE_WITHIN)
			check_unused(primary, now, DOUBTED_CHECK);
	}
}

const char *verdict_reason(const service_t *service, usec_t now)
{
	member_t *primary = verdict_primary(service);
	votes_t votes;

	if (primary == NULL)
		return now >= service->pooler->sync.held_since + UNLISTED_TIME
			       ? "primary is not listed"
			       : NULL;
	if (primary->gone)
		return "primary is no longer listed";
	if (primary->leaving)
		return "primary is leaving";
	if (!primary->says_primary && other_says_primary(service, primary))
		return "another member leads";
	votes = count_votes(service, primary, now);
	if (is_lost(service, primary, votes))
		return "primary does not answer";
	if (is_failing(service, votes, now))
		return verdict_failing;
	if (votes.alive == 0 || votes.down != 0)
		check_unused(primary, now, votes.down != 0 ? DOUBTED_CHECK : UNUSED_CHECK);
	return NULL;
}
