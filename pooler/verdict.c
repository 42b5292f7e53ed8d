#include "verdict.h"

#include <string.h>

#include <talloc.h>

#include "active.h"
#include "exchange.h"
#include "home.h"
#include "leader.h"
#include "member.h"
#include "sync.h"

/* A report that a primary is down counts for so long: three questions' intervals. */
#define REPORT_VALID (1 * USEC_PER_SEC)
/* One that it is alive: an interval and a half, since it can have died just after. */
#define ALIVE_VALID (450 * USEC_PER_MSEC)
/* Between two questions to a primary that nobody uses. */
#define UNUSED_CHECK (1 * USEC_PER_SEC)
/*
 * Between two such questions, whichever primaries they go to; after a rest UNUSED_BURST may come at
 * once. Each is a new connection: 334 at once would keep a holder with an eighth of a core from all
 * else for 2 s, longer than its lease.
 */
#define UNUSED_SPACING (25 * USEC_PER_MSEC)
#define UNUSED_BURST   8
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
/* Between two counts of the votes while nobody reports trouble. */
#define COUNT_INTERVAL (200 * USEC_PER_MSEC)

const char *const verdict_reason_failing = "primary fails statements";

/*
 * From the begin of our hold, for a primary that this process has never heard of: members' entries
 * lapse while the store is away, and are back within 2 s of its return.
 */
#define UNLISTED_TIME (3 * USEC_PER_SEC)

roster_group_t *service_roster_group(const service_t *service)
{
	return service->group;
}

member_t *service_roster_primary(const service_t *service)
{
	return service->primary;
}

typedef void (*add_vote_t)(service_t *service, const peer_report_t *report);

static void add_down(service_t *service, const peer_report_t *report)
{
	(void)report;
	active_add_service(service);
	service->reported_votes.down++;
}

static void add_alive(service_t *service, const peer_report_t *report)
{
	service->reported_votes.alive++;
	service->reported_votes.healthy += !exchange_lists(report->failing, service->name);
}

static void add_failing(service_t *service, const peer_report_t *report)
{
	(void)report;
	active_add_service(service);
	service->reported_votes.failing++;
}

/* Adds a vote to each service that the list names, if the report is not of an earlier primary. */
static void add_votes(pooler_t *pooler, const peer_report_t *report, const char *list,
		      add_vote_t add)
{
	const char *word;
	size_t len;

	while ((word = exchange_next_word(&list, &len)) != NULL) {
		service_t *service;

		HASH_FIND(hh, pooler->services_by_name, word, len, service);
		/* A proxy that did not know this primary yet spoke of the one before. */
		if (service == NULL || report->revision < service->primary_revision)
			continue;
		if (service->reported_votes_round != pooler->sync.votes_count) {
			service->reported_votes_round = pooler->sync.votes_count;
			service->reported_votes = (votes_t){0};
		}
		add(service, report);
	}
}

static bool report_has_trouble(const peer_report_t *report)
{
	return (report->down != NULL && *report->down != '\0') ||
	       (report->failing != NULL && *report->failing != '\0');
}

void verdict_count_votes(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;

	if (!sync->votes_differ && now < sync->votes_due)
		return;
	sync->votes_count++;
	sync->votes_due = now + COUNT_INTERVAL;
	sync->votes_differ = false;
	list_for_each (it, &sync->reports) {
		const peer_report_t *report = list_entry(it, peer_report_t, node);

		if (report->heard_at + REPORT_VALID < now)
			continue;
		sync->votes_differ |= report_has_trouble(report);
		add_votes(pooler, report, report->down, add_down);
		add_votes(pooler, report, report->failing, add_failing);
		if (report->heard_at + ALIVE_VALID > now)
			add_votes(pooler, report, report->alive, add_alive);
	}
}

/* What the proxies, this one included, see of the primary. */
static votes_t all_votes(const service_t *service, const member_t *primary, usec_t now)
{
	votes_t votes = {0};
	bool failing = outlier_is_failing(&primary->outlier, now);
	bool alive = !primary->down && primary->last_reply_at + ALIVE_WITHIN > now;

	if (service->reported_votes_round == service->pooler->sync.votes_count)
		votes = service->reported_votes;
	votes.down += primary->down;
	votes.alive += alive;
	votes.failing += failing;
	votes.healthy += alive && !failing;
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

		if (member != primary && member->claims_primary && !member->unlisted &&
		    member->claim_changed_at > service->primary_since + LIST_LAG)
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
 * Callers are told that their writes failed, while the health check is good. It is replaced when
 * more than half of the proxies that use the primary see it: a change costs callers a second
 * without writes, in which most only wait. It is not replaced for this reason again soon: if the
 * next primary fails the statements too, they are at fault.
 */
static bool is_failing(const service_t *service, votes_t votes, usec_t now)
{
	if (service->change.step == CHANGE_NONE && now < service->failing_cooldown_until)
		return false;
	/* Once its change has begun it gets no statements, so fewer and fewer see it fail. */
	if (service->change.step != CHANGE_NONE && service->change.due_to_failures)
		return votes.failing != 0;
	if (votes.failing < WITNESSES_LEAST && others_live(service->pooler))
		return false;
	return votes.failing > votes.healthy;
}

/*
 * Nobody has used the primary of late, or some proxies can't: ask it, so that its failure is
 * known before it is needed.
 */
static void check_unused(member_t *primary, usec_t now, usec_t interval)
{
	if (now < primary->unused_probed_at + interval)
		return;
	primary->unused_probed_at = now;
	member_probe(primary);
}

/* With more services than can be asked in UNUSED_CHECK each has its turn later. */
static usec_t unused_interval(const pooler_t *pooler)
{
	usec_t round = HASH_COUNT(pooler->services_by_name) * UNUSED_SPACING;

	return round > UNUSED_CHECK ? round : UNUSED_CHECK;
}

/* True if one more may be asked now: a token bucket, which is full after a while of rest. */
static bool take_turn(sync_t *sync, usec_t now)
{
	usec_t rest = UNUSED_BURST * UNUSED_SPACING;

	if (sync->unused_next + rest < now)
		sync->unused_next = now - rest;
	if (sync->unused_next > now)
		return false;
	sync->unused_next += UNUSED_SPACING;
	return true;
}

/* Nobody seems to use the primary. */
static void check_in_turn(pooler_t *pooler, member_t *primary, usec_t now)
{
	usec_t interval = unused_interval(pooler);

	if (now >= primary->unused_probed_at + interval && take_turn(&pooler->sync, now))
		check_unused(primary, now, interval);
}

static bool is_doubted(const service_t *service, usec_t now)
{
	const member_t *primary =
		leader_is_self(service->pooler, now) ? service_roster_primary(service) : NULL;

	if (primary != NULL)
		return primary->down;
	return service->suspected_at != 0 && now < service->suspected_at + DOUBT_VALID;
}

char *verdict_suspects(const pooler_t *pooler, usec_t now, void *parent)
{
	char *doubts = talloc_strdup(parent, "");

	list_for_each (it, &pooler->active_services) {
		const service_t *service = list_entry(it, service_t, active);

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
	return !home_is_needed(service) || home_holds_conns(service, now) ||
	       home_self_is_candidate(service);
}

void verdict_on_suspects(pooler_t *pooler, const char *doubts, usec_t now)
{
	const char *word;
	size_t len;

	while ((word = exchange_next_word(&doubts, &len)) != NULL) {
		service_t *service;
		member_t *primary;

		HASH_FIND(hh, pooler->services_by_name, word, len, service);
		if (service == NULL)
			continue;
		service->suspected_at = now;
		active_add_service(service);
		primary = service_roster_primary(service);
		if (primary != NULL && !primary->down && is_witness(service, now) &&
		    now >= primary->last_reply_at + ALIVE_WITHIN)
			check_unused(primary, now, DOUBTED_CHECK);
	}
}

const char *verdict_replace_reason(const service_t *service, usec_t now)
{
	member_t *primary = service_roster_primary(service);
	votes_t votes;

	if (primary == NULL)
		return now >= service->pooler->sync.held_since + UNLISTED_TIME
			       ? "primary is not listed"
			       : NULL;
	if (primary->unlisted)
		return "primary is no longer listed";
	if (primary->leaving)
		return "primary is leaving";
	if (!primary->claims_primary && other_says_primary(service, primary))
		return "another member leads";
	votes = all_votes(service, primary, now);
	if (is_lost(service, primary, votes))
		return "primary does not answer";
	if (is_failing(service, votes, now))
		return verdict_reason_failing;
	if (votes.down != 0)
		check_unused(primary, now, DOUBTED_CHECK);
	else if (votes.alive == 0)
		check_in_turn(service->pooler, primary, now);
	return NULL;
}
