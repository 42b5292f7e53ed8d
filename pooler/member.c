#include "member.h"

#include <string.h>

#include <talloc.h>

#include "active.h"
#include "caller.h"
#include "conn.h"
#include "dispatch.h"
#include "home.h"
#include "verdict.h"

#define LOG_MODULE "member"
#include "log.h"

/* Without any, a new member counts as this quick: the mean work on the users' sites. */
#define FIRST_RESPONSE (10 * USEC_PER_MSEC)
/* Smoothing of response times: a fifth of each new one. */
#define RESPONSE_WEIGHT 5
/*
 * Statements at a member for each of its slots: one that runs, and one that is there when it ends.
 * While Welsh replicas stand still (./dev/measure pooler) in aim and in doubt: without a
 * limit 64.3% and 6.7%, five 67.0% and 4.5%, three 68.1% and 4.7%, two 70.8% and 1.7%.
 */
#define STATEMENTS_PER_SLOT 2
/* A connection unused for so long is closed if it is above our share. */
#define IDLE_EXTRA (500 * USEC_PER_MSEC)
/*
 * The same while this proxy shuts down, and for those of our share too. It is handed no more
 * statements, and who takes its place needs the connections before this process ends: so only as
 * long as a client may pause between two statements.
 */
#define IDLE_DRAINING (100 * USEC_PER_MSEC)
/* So far ahead that nothing is added to it beyond the clock's range. */
#define NOT_LEAVING (USEC_NEVER / 2)
/* Our statements unanswered for so long on one connection: it has gone silent. */
#define CONN_SILENCE (3 * USEC_PER_SEC)
/* A read is overdue after so many times the usual response and this: 8 x 15 ms + 50 ms. */
#define OVERDUE_FACTOR 8
#define OVERDUE_FLOOR  (50 * USEC_PER_MSEC)
/* A connection whose caller gave up is kept for a late answer so long. */
#define ORPHAN_TIME (150 * USEC_PER_MSEC)
/*
 * What one proxy may borrow beyond its share. With an eighth a fleet of 12 uses up all connections
 * of a member that takes 16, and after a loss of power none is left for 3 s.
 */
#define BORROWED_PART 16

/* Connections that serve nobody now are not wanted at a member that goes. */
static void close_unused(member_t *member)
{
	list_for_each_safe (it, &member->conns) {
		conn_t *conn = list_entry(it, conn_t, node);

		if (conn->state == CONN_IDLE && !conn->probe)
			conn_close(conn, "member is leaving");
	}
}

/*
 * Its process is another one now, under the same id. The connections are the earlier one's, with
 * what it knew of sessions' values and prepared names; how far it was and how quick says nothing
 * of this one. Read with an old position it would pass for a replica that has caught up.
 */
static void start_again(member_t *member)
{
	LOG_EVENT(LOG_WARN, "member started again", LOG_STR("service", member->service->name),
		  LOG_STR("member", member->id), LOG_INT("born", member->born));
	while (!list_empty(&member->conns))
		conn_close(list_entry(member->conns.next, conn_t, node), "member started again");
	member->applied = (position_t){0};
	member->applied_at = 0;
	member->lagged_at = 0;
	member->full_until = 0;
	member->open_after = 0;
	member->response = FIRST_RESPONSE;
	member->outlier = (outlier_t){0};
	member->survey_done = false;
	member->status = (member_status_t){0};
	if (verdict_primary(member->service) == member)
		freshness_reset(member->service->freshness);
}

/* False if the entry is of an earlier life. */
static bool take_born(member_t *member, int64_t born)
{
	bool again = born > member->born && member->born != 0;

	if (born < member->born)
		return false;
	member->born = born;
	if (again)
		start_again(member);
	return true;
}

void member_update(member_t *member, const member_entry_t *entry)
{
	if (!take_born(member, entry->started))
		return;
	if (strcmp(member->address, entry->address) != 0) {
		talloc_free(member->address);
		member->address = talloc_strdup(member, entry->address);
	}
	if (member->slots == 0 || member->leaving != entry->leaving || member->gone ||
	    member->says_primary != entry->primary)
		LOG_EVENT(LOG_INFO, "member listed", LOG_STR("service", member->service->name),
			  LOG_STR("member", member->id), LOG_INT("leaving", entry->leaving),
			  LOG_INT("primary", entry->primary));
	/* Whoever holds the duty looks at its service now, not when the next round comes to it. */
	if (member->slots != 0 &&
	    (member->leaving != entry->leaving || member->says_primary != entry->primary))
		active_add_service(member->service);
	if (!entry->leaving)
		member->leaving_since = NOT_LEAVING;
	else if (!member->leaving)
		member->leaving_since = now_of(member->pooler);
	if (member->says_primary != entry->primary)
		member->says_since = now_of(member->pooler);
	member->leaving = entry->leaving;
	member->says_primary = entry->primary;
	member->slots = entry->slots;
	member->gone = false;
	if (member->leaving)
		close_unused(member);
}

void member_set_gone(member_t *member)
{
	member->gone = true;
	active_add_member(member);
	member->gone_since = now_of(member->pooler);
	LOG_EVENT(LOG_INFO, "member no longer listed", LOG_STR("service", member->service->name),
		  LOG_STR("member", member->id));
	close_unused(member);
}

member_t *member_create(pooler_t *pooler, const member_entry_t *entry)
{
	member_t *member = talloc_zero(pooler, member_t);

	member->pooler = pooler;
	member->service = service_get(pooler, entry->service);
	member->id = talloc_strdup(member, entry->id);
	member->address = talloc_strdup(member, entry->address);
	member->zone = talloc_strdup(member, entry->zone);
	member->response = FIRST_RESPONSE;
	member->silent_since = USEC_NEVER;
	member->leaving_since = NOT_LEAVING;
	list_init(&member->conns);
	list_init(&member->active);
	list_add_tail(&pooler->members, &member->node);
	list_add_tail(&member->service->members, &member->in_service);
	return member;
}

void member_destroy(member_t *member)
{
	while (!list_empty(&member->conns))
		conn_close(list_entry(member->conns.next, conn_t, node), "member removed");
	list_del(&member->node);
	list_del(&member->active);
	list_del(&member->in_service);
	talloc_free(member);
}

void member_heard(member_t *member)
{
	member->last_reply = now_of(member->pooler);
	member->silent_since = USEC_NEVER;
	if (!member->down)
		return;
	member->down = false;
	LOG_EVENT(LOG_INFO, "member answers again", LOG_STR("service", member->service->name),
		  LOG_STR("member", member->id));
	dispatch_run(member->service);
}

void member_probe(member_t *member)
{
	if (member->probe_conn != NULL)
		return;
	member->probe_conn = conn_open(member, NULL);
}

void member_ask_status(member_t *member)
{
	list_for_each (it, &member->conns) {
		conn_t *conn = list_entry(it, conn_t, node);

		if (conn->state == CONN_PROBING)
			return;
		if (conn->state == CONN_IDLE && !conn->probe) {
			conn_query_status(conn);
			return;
		}
	}
	member_probe(member);
}

void member_suspect(member_t *member, const char *reason)
{
	usec_t now = now_of(member->pooler);

	if (member->silent_since != USEC_NEVER)
		return;
	member->silent_since = now;
	LOG_EVENT(LOG_INFO, "member is asked whether it lives",
		  LOG_STR("service", member->service->name), LOG_STR("member", member->id),
		  LOG_STR("reason", reason),
		  LOG_INT("last_reply_ms", (int64_t)((now - member->last_reply) / USEC_PER_MSEC)));
	member_probe(member);
}

/* One a call: closing it may have another one opened, which changes the list. */
static void close_idle(member_t *member, usec_t now)
{
	bool draining = member->pooler->draining;
	usec_t rest = draining ? IDLE_DRAINING : IDLE_EXTRA;
	size_t kept = draining ? 0 : member_share(member);

	list_for_each_safe (it, &member->conns) {
		conn_t *conn = list_entry(it, conn_t, node);

		if (conn->state == CONN_IDLE && !conn->probe && now >= conn->state_since + rest &&
		    member->conn_count > kept) {
			conn_close(conn, "idle");
			return;
		}
	}
}

/* The connection that has waited longest for a reply, or NULL. */
static conn_t *longest_waiting(const member_t *member)
{
	conn_t *oldest = NULL;

	list_for_each (it, &member->conns) {
		conn_t *conn = list_entry(it, conn_t, node);
		bool waits = conn->state == CONN_PREPARING || conn->state == CONN_RUNNING ||
			     conn->state == CONN_ROLLING_BACK || conn->state == CONN_ORPHANED ||
			     (conn->state == CONN_PROBING && !conn->probe);

		if (waits && (oldest == NULL || conn->sent_at < oldest->sent_at))
			oldest = conn;
	}
	return oldest;
}

conn_t *member_longest_held(const member_t *member)
{
	conn_t *longest = NULL;

	list_for_each (it, &member->conns) {
		conn_t *conn = list_entry(it, conn_t, node);

		if (conn->state == CONN_HELD &&
		    (longest == NULL || conn->state_since < longest->state_since))
			longest = conn;
	}
	return longest;
}

/*
 * Answers get lost: the member has run the statement, and nothing will come. A read is asked
 * once more elsewhere when it has taken far longer than usual. A connection that nobody waits
 * for is given up sooner, since it takes the place of another.
 */
static void check_overdue(member_t *member, usec_t now)
{
	list_for_each_safe (it, &member->conns) {
		conn_t *conn = list_entry(it, conn_t, node);
		usec_t usual = member->response * OVERDUE_FACTOR + OVERDUE_FLOOR;

		if (conn->state == CONN_ORPHANED && now >= conn->state_since + ORPHAN_TIME) {
			if (now >= conn->sent_at + usual + ORPHAN_TIME)
				member_note(member, EVIDENCE_FAILED);
			conn_close(conn, "no answer to what nobody waits for");
			return;
		}
		if (conn->state == CONN_RUNNING && now >= conn->sent_at + usual &&
		    caller_retry_read(conn->caller))
			return;
	}
}

static void check_silence(member_t *member, usec_t now)
{
	conn_t *oldest = longest_waiting(member);

	if (oldest == NULL)
		return;
	if (now >= oldest->sent_at + MEMBER_SILENCE && now >= member->last_reply + MEMBER_SILENCE)
		member_suspect(member, "silent");
	if (now >= oldest->sent_at + CONN_SILENCE) {
		member_note(member, EVIDENCE_FAILED);
		conn_close(oldest, "no reply");
	}
}

static void check_probe(member_t *member, usec_t now)
{
	conn_t *probe = member->probe_conn;

	if (probe != NULL && now >= probe->state_since + PROBE_TIMEOUT)
		conn_close(probe, "probe timed out");
	else if (probe == NULL && member->down && now >= member->open_after)
		member_probe(member);
}

void member_tick(member_t *member, usec_t now)
{
	if (now != member->pooler->resumed_at) {
		check_silence(member, now);
		check_overdue(member, now);
		check_probe(member, now);
	}
	close_idle(member, now);
}

/* Proxies that have connections to the service's members in normal times. */
static size_t sharers(service_t *service)
{
	return home_applies(service) ? home_count(service) : service->pooler->sync.proxies;
}

size_t member_share(const member_t *member)
{
	size_t nodes = sharers(member->service);
	size_t shared = (size_t)member->service->max_connections / MEMBER_SHARED_PART;

	/* What is opened all the same, since no home answers, is closed when it is idle. */
	if (home_applies(member->service) && !home_serves(member->service, now_of(member->pooler)))
		return 0;

	return nodes != 0 && shared > nodes ? shared / nodes : 1;
}

bool member_can_open(const member_t *member, usec_t now, bool borrow)
{
	size_t most = member_share(member);

	if (now < member->open_after)
		return false;
	/* One is enough for a proxy that no home answers: many may be in that state. */
	if (most == 0)
		return borrow && member->conn_count == 0;
	/* Demand differs between proxies, and transactions hold connections while they think. */
	if (borrow && now >= member->full_until)
		most += (size_t)member->service->max_connections / BORROWED_PART;
	return member->conn_count < most;
}

void member_measure(member_t *member, usec_t took)
{
	member->response = (member->response * (RESPONSE_WEIGHT - 1) + took) / RESPONSE_WEIGHT;
}

/* True if one member more may be without reads: half of them carry what is left. */
static bool can_do_without(const service_t *service)
{
	size_t usable = 0;
	size_t out = 1;

	list_for_each (it, &service->members) {
		const member_t *member = list_entry(it, member_t, in_service);

		usable += member_is_usable(member);
		out += member_is_usable(member) && member->outlier.out;
	}
	return out * 2 <= usable;
}

static void count_others(const member_t *self, usec_t now, tally_t *others)
{
	list_for_each (it, &self->service->members) {
		const member_t *member = list_entry(it, member_t, in_service);

		if (member != self)
			outlier_count(&member->outlier, now, others);
	}
}

/* No reads for a while, unless too few members would be left for them. */
static void take_out(member_t *member, usec_t now)
{
	tally_t tally = {0};

	if (member->outlier.out || !can_do_without(member->service))
		return;
	outlier_count(&member->outlier, now, &tally);
	outlier_take_out(&member->outlier, now);
	LOG_EVENT(LOG_WARN, "member gets no reads", LOG_STR("service", member->service->name),
		  LOG_STR("member", member->id), LOG_INT("failed", (int64_t)tally.failed),
		  LOG_INT("refused", (int64_t)tally.refused),
		  LOG_INT("statements", (int64_t)tally.total),
		  LOG_INT("for_ms", (int64_t)(member->outlier.out_for / USEC_PER_MSEC)));
}

void member_found_down(member_t *member, const char *reason)
{
	if (member->down)
		return;
	LOG_EVENT(LOG_WARN, "member is down", LOG_STR("service", member->service->name),
		  LOG_STR("member", member->id), LOG_STR("reason", reason));
	member->down = true;
	active_add_member(member);
	outlier_on_down(&member->outlier, now_of(member->pooler));
}

void member_note(member_t *member, evidence_t evidence)
{
	usec_t now = now_of(member->pooler);
	bool was_out = member->outlier.out;
	tally_t others = {0};

	outlier_note(&member->outlier, evidence, now);
	if (was_out) {
		if (!member->outlier.out)
			LOG_EVENT(LOG_INFO, "member gets reads again",
				  LOG_STR("service", member->service->name),
				  LOG_STR("member", member->id));
		return;
	}
	if (evidence == EVIDENCE_GOOD)
		return;
	count_others(member, now, &others);
	if (outlier_is_worse(&member->outlier, &others, now))
		take_out(member, now);
}

/*
 * What waits at a member is served in the order in which it came there, late or not, and is in
 * doubt if its time runs out; what waits here can be put behind others and be refused with a
 * promise. So a member gets no more at a time, over all proxies, than keeps its slots busy.
 */
bool member_has_room(const member_t *member)
{
	size_t proxies = sharers(member->service);
	size_t most = (size_t)member->slots * STATEMENTS_PER_SLOT;

	/* Rounded up, so that each proxy may have one; an entry without slots tells nothing. */
	return most == 0 || member_load(member) * proxies < most;
}

size_t member_load(const member_t *member)
{
	size_t load = 0;

	list_for_each (it, &member->conns) {
		const conn_t *conn = list_entry(it, conn_t, node);

		load += conn->state == CONN_PREPARING || conn->state == CONN_RUNNING ||
			conn->state == CONN_ORPHANED;
	}
	return load;
}

bool member_is_usable(const member_t *member)
{
	return !member->gone && !member->leaving && !member->down;
}
