#include "member.h"

#include <string.h>

#include <talloc.h>

#include "active.h"
#include "caller.h"
#include "conn.h"
#include "dispatch.h"
#include "room.h"
#include "verdict.h"

#define LOG_MODULE "member"
#include "counter.h"
#include "log.h"

/* Response time assumed for a new member: the mean duration of a statement. */
#define INITIAL_RESPONSE_TIME (10 * USEC_PER_MSEC)
/* Each new response time counts for a fifth of the average. */
#define RESPONSE_SMOOTHING 5
/* How long a connection beyond this proxy's share may be idle before it is closed. */
#define IDLE_EXTRA_TIMEOUT (500 * USEC_PER_MSEC)
/*
 * The same for all connections while this proxy shuts down. It gets no more statements, and the
 * proxies that take over need the connections before this process ends; so only as long as a client
 * may pause between two statements.
 */
#define IDLE_DRAIN_TIMEOUT (100 * USEC_PER_MSEC)
/* Far in the future, but small enough that adding a duration does not overflow. */
#define NOT_LEAVING (USEC_NEVER / 2)
/* A connection on which a reply is overdue for this long is closed. */
#define CONN_SILENCE_TIMEOUT (3 * USEC_PER_SEC)
/*
 * A connection that the member has not accepted after this time is given up, 40 times a handshake;
 * a statement that waits for it still has time for another one. The time doubles with each time-out
 * up to CONN_SILENCE_TIMEOUT until the member accepts a connection: an overloaded member that
 * accepts late must not lose all its connections right before.
 */
#define OPENING_TIMEOUT (500 * USEC_PER_MSEC)
/*
 * A read is overdue after this factor times the usual response time plus this floor: 8 x 15 ms + 50
 * ms.
 */
#define OVERDUE_FACTOR 8
#define OVERDUE_FLOOR  (50 * USEC_PER_MSEC)
/* How long a connection whose caller gave up is kept for a late reply. */
#define ORPHAN_TIMEOUT (150 * USEC_PER_MSEC)

/*
 * After a late tick replies may lie unread, so nothing counts as overdue. A proxy that lacks
 * processor time is late at every tick, though; after so many in a row it gives up at least what it
 * would wait for without an end.
 */
#define LATE_TICKS_MAX 5

COUNTER_DEFINE(opening_timeouts_total, "member_opening_timeouts_total", COUNTER_SUM,
	       "Connections given up since the member did not accept them in time.");

/* Closes the idle connections to a member that is leaving or no longer listed. */
static void close_idle_conns(member_t *member)
{
	list_for_each (it, &member->conns) {
		conn_t *conn = list_entry(it, conn_t, node);

		conn->marked = conn->state == CONN_IDLE && !conn->probe;
	}
	conn_close_marked(member, "member is leaving");
}

/*
 * Resets the state of a member that restarted: another process now runs under the same id. The
 * connections belong to the earlier process, with their session variables and prepared names; its
 * log position and response time say nothing about the new one. With the old position the member
 * would pass for a replica that has caught up.
 */
static void reset_after_restart(member_t *member)
{
	LOG_EVENT(LOG_WARN, "member restarted", LOG_STR("service", member->service->name),
		  LOG_STR("member", member->id), LOG_INT("born", member->started_at));
	list_for_each (it, &member->conns)
		list_entry(it, conn_t, node)->marked = true;
	conn_close_marked(member, "member restarted");
	member->applied = (position_t){0};
	member->applied_at = 0;
	member->lagged_at = 0;
	member->no_borrow_until = 0;
	member->connect_not_before = 0;
	member->opening_timeout = OPENING_TIMEOUT;
	member->response_time = INITIAL_RESPONSE_TIME;
	member->response_deviation = INITIAL_RESPONSE_TIME / 2;
	member->outlier = (outlier_t){0};
	member->survey_answered = false;
	member->status = (member_status_t){0};
	if (service_roster_primary(member->service) == member)
		freshness_reset(member->service->freshness);
}

/*
 * Notes from which process of the member the entry is. The start time only tells two processes
 * apart: the clock of the member's VM may have stepped back between their starts.
 */
static void note_process(member_t *member, int64_t started_at)
{
	bool restarted = started_at != member->started_at && member->started_at != 0;

	if (started_at == 0)
		return;
	member->started_at = started_at;
	if (restarted)
		reset_after_restart(member);
}

/* Entries are ordered by their revision in the store. */
static bool is_older(const member_t *member, const member_entry_t *entry)
{
	if (entry->revision >= member->revision)
		return false;
	LOG_EVENT(LOG_WARN, "older entry of a member ignored",
		  LOG_STR("service", member->service->name), LOG_STR("member", member->id),
		  LOG_INT("revision", entry->revision), LOG_INT("known_revision", member->revision),
		  LOG_INT("born", entry->started), LOG_INT("known_born", member->started_at));
	return true;
}

void member_update(member_t *member, const member_entry_t *entry)
{
	if (is_older(member, entry))
		return;
	member->revision = entry->revision;
	note_process(member, entry->started);
	if (strcmp(member->address, entry->address) != 0) {
		talloc_free(member->address);
		member->address = talloc_strdup(member, entry->address);
	}
	if (strcmp(member->zone, entry->zone) != 0) {
		talloc_free(member->zone);
		member->zone = talloc_strdup(member, entry->zone);
	}
	if (member->slots == 0 || member->leaving != entry->leaving || member->unlisted ||
	    member->claims_primary != entry->primary)
		LOG_EVENT(LOG_INFO, "member listed", LOG_STR("service", member->service->name),
			  LOG_STR("member", member->id), LOG_INT("leaving", entry->leaving),
			  LOG_INT("primary", entry->primary), LOG_INT("born", entry->started),
			  LOG_INT("revision", entry->revision));
	/* The leader checks an active service at its next tick. */
	if (member->slots != 0 &&
	    (member->leaving != entry->leaving || member->claims_primary != entry->primary))
		active_add_service(member->service);
	if (!entry->leaving)
		member->leaving_since = NOT_LEAVING;
	else if (!member->leaving)
		member->leaving_since = now_of(member->pooler);
	if (member->claims_primary != entry->primary)
		member->claim_changed_at = now_of(member->pooler);
	member->leaving = entry->leaving;
	member->claims_primary = entry->primary;
	member->slots = entry->slots;
	member->unlisted = false;
	member->invalid_since = 0;
	if (member->leaving)
		close_idle_conns(member);
}

void member_set_unlisted(member_t *member)
{
	member->unlisted = true;
	member->invalid_since = 0;
	active_add_member(member);
	member->unlisted_since = now_of(member->pooler);
	LOG_EVENT(LOG_INFO, "member no longer listed", LOG_STR("service", member->service->name),
		  LOG_STR("member", member->id));
	close_idle_conns(member);
}

static int member_destructor(member_t *member)
{
	HASH_CLEAR(hh, member->conn_uses);
	return 0;
}

member_t *member_create(pooler_t *pooler, const member_entry_t *entry)
{
	member_t *member = talloc_zero(pooler, member_t);

	member->pooler = pooler;
	member->service = service_get(pooler, entry->service);
	member->id = talloc_strdup(member, entry->id);
	member->address = talloc_strdup(member, entry->address);
	member->zone = talloc_strdup(member, entry->zone);
	member->response_time = INITIAL_RESPONSE_TIME;
	member->opening_timeout = OPENING_TIMEOUT;
	member->response_deviation = INITIAL_RESPONSE_TIME / 2;
	member->suspect_since = USEC_NEVER;
	member->leaving_since = NOT_LEAVING;
	list_init(&member->conns);
	list_init(&member->active);
	talloc_set_destructor(member, member_destructor);
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

void member_on_reply(member_t *member)
{
	member->last_reply_at = now_of(member->pooler);
	member->suspect_since = USEC_NEVER;
	if (!member->down)
		return;
	member->down = false;
	LOG_EVENT(LOG_INFO, "member answers again", LOG_STR("service", member->service->name),
		  LOG_STR("member", member->id));
	dispatch_run(member->service);
}

void member_on_accepted(member_t *member)
{
	member->opening_timeout = OPENING_TIMEOUT;
	member_on_reply(member);
}

void member_probe(member_t *member)
{
	if (member->probe_conn != NULL)
		return;
	member->probe_conn = conn_open(member, NULL);
	/* Not even begun, so nothing will end it; a member that is down is probed again. */
	if (member->probe_conn == NULL)
		member_mark_down(member, "no connection can be opened");
}

void member_query_status(member_t *member)
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

	if (member->suspect_since != USEC_NEVER)
		return;
	member->suspect_since = now;
	LOG_EVENT(
		LOG_INFO, "member is asked whether it lives",
		LOG_STR("service", member->service->name), LOG_STR("member", member->id),
		LOG_STR("reason", reason),
		LOG_INT("last_reply_ms", (int64_t)((now - member->last_reply_at) / USEC_PER_MSEC)));
	member_probe(member);
}

/*
 * Closes at most one connection per call: closing may have another one opened, which changes the
 * list.
 */
static void close_one_idle_conn(member_t *member, usec_t now)
{
	bool draining = member->pooler->draining;
	usec_t idle_timeout = draining ? IDLE_DRAIN_TIMEOUT : IDLE_EXTRA_TIMEOUT;
	size_t kept = draining ? 0 : room_conn_share(member);

	list_for_each_safe (it, &member->conns) {
		conn_t *conn = list_entry(it, conn_t, node);

		if (conn->state == CONN_IDLE && !conn->probe &&
		    now >= conn->state_since + idle_timeout && member->conn_count > kept) {
			conn->end = CONN_END_IDLE;
			conn_close(conn, "idle");
			return;
		}
	}
}

/* The connection that has waited for a reply for the longest time, or NULL. */
static conn_t *longest_waiting_conn(const member_t *member)
{
	conn_t *oldest = NULL;

	list_for_each (it, &member->conns) {
		conn_t *conn = list_entry(it, conn_t, node);
		bool awaits_reply = conn->state == CONN_PREPARING || conn->state == CONN_RUNNING ||
				    conn->state == CONN_ROLLING_BACK ||
				    conn->state == CONN_ORPHANED ||
				    (conn->state == CONN_PROBING && !conn->probe);

		if (awaits_reply && (oldest == NULL || conn->sent_at < oldest->sent_at))
			oldest = conn;
	}
	return oldest;
}

conn_t *member_longest_held_conn(const member_t *member)
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
 * Handles overdue replies: a reply may be lost, so that the member has run the statement and
 * nothing will arrive. A read is tried again once at another member when it has taken far longer
 * than usual, and so is any statement whose set-up is unanswered, since it was not sent yet: an
 * idle connection may have gone silent long before. A connection that no caller waits for is closed
 * sooner, since it takes the place of another one.
 */
static void check_overdue(member_t *member, usec_t now)
{
	list_for_each_safe (it, &member->conns) {
		conn_t *conn = list_entry(it, conn_t, node);
		usec_t usual = member->response_time * OVERDUE_FACTOR + OVERDUE_FLOOR;

		if (conn->state == CONN_ORPHANED && now >= conn->state_since + ORPHAN_TIMEOUT) {
			if (now >= conn->sent_at + usual + ORPHAN_TIMEOUT)
				member_record_outcome(member, STATEMENT_FAILED);
			conn_close(conn, "no reply to an abandoned statement");
			return;
		}
		if (conn->state == CONN_PREPARING && now >= conn->sent_at + usual &&
		    conn->caller != NULL && !conn->in_tx && caller_may_move(conn->caller)) {
			conn->caller->failed_member = member;
			conn_close(conn, "no reply to the set-up");
			return;
		}
		if (conn->state == CONN_PREPARING && conn->caller == NULL &&
		    now >= conn->sent_at + usual + ORPHAN_TIMEOUT) {
			conn_close(conn, "no reply to an abandoned set-up");
			return;
		}
		if (conn->state == CONN_RUNNING && now >= conn->sent_at + usual &&
		    caller_retry_read(conn->caller))
			return;
	}
}

static void check_silence(member_t *member, usec_t now)
{
	conn_t *oldest = longest_waiting_conn(member);

	if (oldest == NULL)
		return;
	if (now >= oldest->sent_at + MEMBER_SILENCE_TIMEOUT &&
	    now >= member->last_reply_at + MEMBER_SILENCE_TIMEOUT)
		member_suspect(member, "silent");
	if (now >= oldest->sent_at + CONN_SILENCE_TIMEOUT) {
		member_record_outcome(member, STATEMENT_FAILED);
		conn_close(oldest, "no reply");
	}
}

int64_t member_last_reply_ms(const member_t *member, usec_t now)
{
	return member->last_reply_at != 0 ? usec_since_ms(member->last_reply_at, now) : -1;
}

/* The connection that has waited for the member's acceptance for the longest time, or NULL. */
static conn_t *longest_opening_conn(const member_t *member)
{
	conn_t *oldest = NULL;

	list_for_each (it, &member->conns) {
		conn_t *conn = list_entry(it, conn_t, node);

		if (conn->state == CONN_OPENING && !conn->probe &&
		    (oldest == NULL || conn->state_since < oldest->state_since))
			oldest = conn;
	}
	return oldest;
}

/*
 * Gives up connections that the member does not accept: the request for one may be lost, so that
 * nothing will arrive. Each takes up one of the connections that this proxy may have, so some of
 * them would end the use of the member for good.
 */
static void check_opening(member_t *member, usec_t now, usec_t timeout)
{
	conn_t *oldest = longest_opening_conn(member);
	size_t closed = 0;

	if (oldest == NULL || now < oldest->state_since + timeout)
		return;
	member->opening_timeout =
		usec_clamp(2 * member->opening_timeout, OPENING_TIMEOUT, CONN_SILENCE_TIMEOUT);
	if (now >= member->last_reply_at + timeout)
		member_suspect(member, "accepts no connection");
	do {
		conn_close(oldest, "not accepted in time");
		closed++;
		oldest = longest_opening_conn(member);
	} while (oldest != NULL && now >= oldest->state_since + timeout);
	counter_add(&opening_timeouts_total, (int64_t)closed);
	LOG_EVENT(LOG_WARN, "connections not accepted in time",
		  LOG_STR("service", member->service->name), LOG_STR("member", member->id),
		  LOG_INT("connections", (int64_t)closed),
		  LOG_INT("after_ms", (int64_t)(timeout / USEC_PER_MSEC)),
		  LOG_INT("last_reply_ms", member_last_reply_ms(member, now)));
}

static void check_probe(member_t *member, usec_t now)
{
	conn_t *probe = member->probe_conn;

	if (probe != NULL && now >= probe->state_since + PROBE_TIMEOUT)
		conn_close(probe, "probe timed out");
	else if (probe == NULL && member->down && now >= member->connect_not_before)
		member_probe(member);
}

void member_tick(member_t *member, usec_t now)
{
	if (now != member->pooler->resumed_at) {
		check_silence(member, now);
		check_opening(member, now, member->opening_timeout);
		check_overdue(member, now);
		check_probe(member, now);
	} else if (member->pooler->late_ticks >= LATE_TICKS_MAX) {
		check_opening(member, now, CONN_SILENCE_TIMEOUT);
	}
	close_one_idle_conn(member, now);
}

void member_record_response_time(member_t *member, usec_t took)
{
	usec_t error = took > member->response_time ? took - member->response_time
						    : member->response_time - took;

	member->response_deviation =
		(member->response_deviation * (RESPONSE_SMOOTHING - 1) + error) /
		RESPONSE_SMOOTHING;
	member->response_time =
		(member->response_time * (RESPONSE_SMOOTHING - 1) + took) / RESPONSE_SMOOTHING;
}

/*
 * True if one more member may be ejected from reads: at least half of the usable members must still
 * get reads.
 */
static bool can_eject_another(const service_t *service)
{
	size_t usable = 0;
	size_t ejected_count = 1;

	list_for_each (it, &service->members) {
		const member_t *member = list_entry(it, member_t, in_service);

		usable += member_is_usable(member);
		ejected_count += member_is_usable(member) && member->outlier.ejected;
	}
	return ejected_count * 2 <= usable;
}

static void count_others_recent(const member_t *self, usec_t now, tally_t *others)
{
	list_for_each (it, &self->service->members) {
		const member_t *member = list_entry(it, member_t, in_service);

		if (member != self)
			outlier_count_recent(&member->outlier, now, others);
	}
}

/* Ejects the member from reads, unless too few members would be left for them. */
static void eject(member_t *member, usec_t now)
{
	tally_t tally = {0};

	if (member->outlier.ejected || !can_eject_another(member->service))
		return;
	outlier_count_recent(&member->outlier, now, &tally);
	outlier_eject(&member->outlier, now);
	LOG_EVENT(LOG_WARN, "member ejected from reads", LOG_STR("service", member->service->name),
		  LOG_STR("member", member->id), LOG_INT("failed", (int64_t)tally.failed),
		  LOG_INT("refused", (int64_t)tally.refused),
		  LOG_INT("statements", (int64_t)tally.total),
		  LOG_INT("for_ms", (int64_t)(member->outlier.ejection_time / USEC_PER_MSEC)));
}

void member_mark_down(member_t *member, const char *reason)
{
	if (member->down)
		return;
	LOG_EVENT(LOG_WARN, "member is down", LOG_STR("service", member->service->name),
		  LOG_STR("member", member->id), LOG_STR("reason", reason));
	member->down = true;
	active_add_member(member);
	outlier_on_down(&member->outlier, now_of(member->pooler));
}

void member_record_outcome(member_t *member, statement_outcome_t outcome)
{
	usec_t now = now_of(member->pooler);
	bool was_ejected = member->outlier.ejected;
	tally_t others = {0};

	outlier_record(&member->outlier, outcome, now);
	if (was_ejected) {
		if (!member->outlier.ejected)
			LOG_EVENT(LOG_INFO, "member readmitted to reads",
				  LOG_STR("service", member->service->name),
				  LOG_STR("member", member->id));
		return;
	}
	if (outcome == STATEMENT_GOOD)
		return;
	count_others_recent(member, now, &others);
	if (outlier_is_worse(&member->outlier, &others, now))
		eject(member, now);
}

bool member_is_usable(const member_t *member)
{
	return !member->unlisted && !member->leaving && !member->down;
}
