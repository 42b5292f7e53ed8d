#include "liveness.h"

#include <string.h>

#include "exchange.h"
#include "sync.h"

#define LOG_MODULE "liveness"
#include "counter.h"
#include "histogram.h"
#include "log.h"

/*
 * A peer that has not answered a statement after this time, which is longer than usual work takes,
 * is pinged.
 */
#define PING_AFTER (100 * USEC_PER_MSEC)
/*
 * Time between two pings of a peer: half of the time since the peer last answered, within these
 * bounds.
 */
#define PING_INTERVAL	  (100 * USEC_PER_MSEC)
#define PING_INTERVAL_MAX (400 * USEC_PER_MSEC)
/* Time between two attempts to ping a peer to which a link is being made. */
#define LINK_RETRY_INTERVAL (20 * USEC_PER_MSEC)
/*
 * A peer that has sent nothing for this long since a statement was forwarded to it is suspect;
 * enough for a ping, its answer and a tick.
 */
#define SUSPECT_AFTER (250 * USEC_PER_MSEC)
/*
 * Longest time for a peer whose measured round trips are slow. A dead one is still passed over
 * before its callers' statements reach the usual time-outs of 800 ms.
 */
#define SUSPECT_AFTER_MAX (400 * USEC_PER_MSEC)
/* A ping that was not answered by then is lost. */
#define PING_LOST_AFTER (2 * SUSPECT_AFTER_MAX)
/* A measured round trip is used for this long after its last sample. */
#define ROUND_TRIP_LIFETIME (30 * USEC_PER_SEC)
/*
 * How long a peer gets no statements after it declined one, because it shuts down or has another
 * configuration.
 */
#define DECLINED_TIME (100 * USEC_PER_MSEC)

COUNTER_DEFINE(suspected_total, "homes_suspected_total", COUNTER_SUM,
	       "Times that a home of this proxy's services did not answer.");
COUNTER_DEFINE(answers_again_total, "homes_answer_again_total", COUNTER_SUM,
	       "Times that a suspected home of this proxy's services answered after all.");
HISTOGRAM_DEFINE(round_trip_seconds, "peer_round_trip_seconds", "",
		 "Time from a ping to a peer until its answer.");

/* Time without a message after which the peer is suspect. */
static usec_t suspect_after(const peer_report_t *report)
{
	return usec_clamp(PING_AFTER + rtt_timeout(&report->rtt), SUSPECT_AFTER, SUSPECT_AFTER_MAX);
}

static bool has_passed(usec_t since, usec_t limit, usec_t now)
{
	return since != 0 && now >= since + limit;
}

/*
 * Messages of the peer show that it is alive, but not that it receives ours, so what could not be
 * sent, and pings that it has not answered, count by their own age.
 */
static bool is_overdue(const pooler_t *pooler, const peer_report_t *report, usec_t now)
{
	usec_t limit = suspect_after(report);

	return now >= pooler->resumed_at + limit &&
	       (has_passed(report->unanswered_since, limit, now) ||
		has_passed(report->unsent_since, limit, now) ||
		has_passed(report->unread_since, SUSPECT_AFTER_MAX, now));
}

static bool is_waited_for(const peer_report_t *report)
{
	return report->unanswered_since != 0 || report->unsent_since != 0 ||
	       report->unread_since != 0;
}

static void forget_old_round_trip(peer_report_t *report, usec_t now)
{
	if (now >= report->measured_at + ROUND_TRIP_LIFETIME)
		report->rtt = (rtt_t){0};
}

static void note_unanswered(pooler_t *pooler, peer_report_t *report, usec_t now)
{
	if (report->unanswered_since == 0) {
		forget_old_round_trip(report, now);
		report->unanswered_since = now;
	}
	if (list_empty(&report->unanswered_node))
		list_add_tail(&pooler->sync.unanswered_reports, &report->unanswered_node);
	pooler_hasten_tick(pooler);
}

void liveness_on_sent(pooler_t *pooler, const char *name, usec_t now)
{
	peer_report_t *report = exchange_get_report(pooler, name);

	report->unsent_since = 0;
	if (report->awaited_since == 0)
		report->awaited_since = now;
	note_unanswered(pooler, report, now);
}

/* --- pings --- */

/* Sends a ping; false if there is no link to the peer yet. */
static bool send_ping(pooler_t *pooler, peer_report_t *report, const roster_node_t *peer,
		      usec_t now)
{
	if (!exchange_send_ping(pooler, peer))
		return false;
	report->pinged_at = now;
	report->unsent_since = 0;
	if (report->unread_since == 0 && report->unanswered_since != 0)
		report->unread_since = now;
	/* A ping or its answer may be lost, so an old one is not waited for. */
	if (report->ping_unanswered_since == 0 ||
	    now >= report->ping_unanswered_since + PING_LOST_AFTER)
		report->ping_unanswered_since = now;
	return true;
}

static void on_link_timer(run_timer_t *timer, usec_t now);

static void arm_link_timer(pooler_t *pooler, usec_t now)
{
	if (!timer_is_armed(&pooler->link_timer))
		timers_arm(pooler->timers, &pooler->link_timer, now + LINK_RETRY_INTERVAL,
			   on_link_timer);
}

/* Pings the peers that lack a link as soon as they have one. */
static void on_link_timer(run_timer_t *timer, usec_t now)
{
	pooler_t *pooler = list_entry(timer, pooler_t, link_timer);
	bool any_sent = false;
	bool any = false;
	bool sent;

	list_for_each (it, &pooler->sync.unanswered_reports) {
		peer_report_t *report = list_entry(it, peer_report_t, unanswered_node);
		const roster_node_t *peer = roster_find_node(pooler->sync.roster, report->name);

		if (!report->lacks_link || peer == NULL)
			continue;
		sent = send_ping(pooler, report, peer, now);
		any_sent |= sent;
		report->ping_makes_link |= sent;
		report->lacks_link = !sent && !is_overdue(pooler, report, now);
		any |= report->lacks_link;
	}
	/* Statements that wait for a link can be forwarded now. */
	if (any_sent)
		sync_dispatch_waiting(pooler);
	if (any)
		arm_link_timer(pooler, now);
}

void liveness_on_unsent(pooler_t *pooler, const char *name, usec_t now)
{
	peer_report_t *report = exchange_get_report(pooler, name);

	note_unanswered(pooler, report, now);
	if (report->unsent_since == 0)
		report->unsent_since = now;
	report->lacks_link = true;
	report->unsent_count++;
	arm_link_timer(pooler, now);
}

static void ping(pooler_t *pooler, peer_report_t *report, usec_t now, usec_t interval)
{
	const roster_node_t *peer = roster_find_node(pooler->sync.roster, report->name);

	if (peer == NULL || strcmp(report->name, pooler->config.name) == 0)
		return;
	note_unanswered(pooler, report, now);
	if (now < report->pinged_at + interval || send_ping(pooler, report, peer, now))
		return;
	/* A link to a dead peer is tried no more often than a ping of it. */
	if (is_overdue(pooler, report, now))
		report->pinged_at = now;
	else
		liveness_on_unsent(pooler, report->name, now);
}

void liveness_ping(pooler_t *pooler, const char *name, usec_t now)
{
	ping(pooler, exchange_get_report(pooler, name), now, PING_INTERVAL);
}

bool liveness_connect(pooler_t *pooler, const roster_node_t *peer, usec_t now, int *links_left)
{
	peer_report_t *report = exchange_get_report(pooler, peer->name);

	if (report->ping_answered || now < report->pinged_at + PING_INTERVAL_MAX)
		return report->ping_answered;
	/*
	 * The first ping only makes the link from here; the one that arrives makes the peer's link
	 * back.
	 */
	if (!report->link_requested && (*links_left)-- <= 0)
		return false;
	report->link_requested = !send_ping(pooler, report, peer, now);
	report->ping_makes_link = true;
	return false;
}

/* The longer a peer is silent, the less often it is pinged. */
static usec_t ping_interval(const peer_report_t *report, usec_t now)
{
	return usec_clamp((now - report->unanswered_since) / 2, PING_INTERVAL, PING_INTERVAL_MAX);
}

/* --- answers --- */

/* Age of the oldest ping that the peer has not answered; -1: there is none. */
static int64_t ping_age_ms(const peer_report_t *report, usec_t now)
{
	return usec_age_ms(report->ping_unanswered_since != 0 ? now - report->ping_unanswered_since
							      : USEC_NEVER);
}

/*
 * The round trip is measured from the first unanswered ping, so that a peer too slow to answer
 * between two pings is measured too. The answer to the first ping over a new link is no sample: it
 * has waited for the link back.
 */
void liveness_on_pong(peer_report_t *report, usec_t now)
{
	usec_t sample = usec_clamp(now - report->ping_unanswered_since, 0, SUSPECT_AFTER_MAX);

	report->ping_answered = true;
	report->unread_since = 0;
	report->awaited_since = 0;
	if (report->ping_unanswered_since == 0)
		return;
	report->ping_unanswered_since = 0;
	histogram_add(&round_trip_seconds, sample);
	if (!report->ping_makes_link) {
		forget_old_round_trip(report, now);
		rtt_add(&report->rtt, sample);
		report->measured_at = now;
	}
	report->ping_makes_link = false;
}

/* Forgets pings that the peer has certainly not read, as it was cut off or not running. */
static void forget_lost_pings(peer_report_t *report, usec_t silent_since, usec_t now)
{
	if (now >= silent_since + PING_LOST_AFTER)
		report->ping_unanswered_since = 0;
}

void liveness_on_received(pooler_t *pooler, const char *name, size_t outstanding, usec_t now)
{
	peer_report_t *report = exchange_get_report(pooler, name);
	usec_t since = report->unanswered_since;

	report->unanswered_since = outstanding != 0 ? now : 0;
	if (outstanding == 0 || report->awaited_since == 0)
		report->awaited_since = report->unanswered_since;
	if (report->suspected && !is_overdue(pooler, report, now)) {
		counter_add(&answers_again_total, 1);
		LOG_EVENT(LOG_INFO, "home answers again", LOG_STR("proxy", name),
			  LOG_INT("silent_ms", (int64_t)((now - since) / USEC_PER_MSEC)),
			  LOG_INT("ping_ms", ping_age_ms(report, now)));
		report->suspected = false;
	}
	forget_lost_pings(report, since, now);
	if (report->unsent_since != 0)
		return;
	report->lacks_link = false;
	report->unsent_count = 0;
}

void liveness_on_answer(pooler_t *pooler, const char *name)
{
	peer_report_t *report = exchange_get_report(pooler, name);

	report->unread_since = 0;
	report->awaited_since = 0;
}

void liveness_on_declined(pooler_t *pooler, const char *name, usec_t now)
{
	exchange_get_report(pooler, name)->declined_until = now + DECLINED_TIME;
}

bool liveness_is_suspect(const pooler_t *pooler, const char *name, usec_t now)
{
	const peer_report_t *report = exchange_find_report(pooler, name);

	return report != NULL && is_overdue(pooler, report, now);
}

/*
 * True if the process that the roster lists is shutting down, or has left the roster, so that no
 * statement has to find that out by waiting for SUSPECT_AFTER.
 */
static bool is_leaving(const pooler_t *pooler, const peer_report_t *report)
{
	const roster_node_t *node = roster_find_node(pooler->sync.roster, report->name);

	return node == NULL || node->incarnation <= report->drained_incarnation;
}

bool liveness_is_usable(const pooler_t *pooler, const char *name, usec_t now)
{
	const peer_report_t *report = exchange_find_report(pooler, name);

	return report == NULL || (now >= report->declined_until &&
				  !is_overdue(pooler, report, now) && !is_leaving(pooler, report));
}

static void check_suspect(pooler_t *pooler, peer_report_t *report, usec_t now,
			  void (*on_suspect)(pooler_t *pooler, const char *name, usec_t now))
{
	if (report->suspected || !is_overdue(pooler, report, now))
		return;
	report->suspected = true;
	counter_add(&suspected_total, 1);
	LOG_EVENT(LOG_WARN, "home does not answer", LOG_STR("proxy", report->name),
		  LOG_INT("silent_ms", (int64_t)((now - report->unanswered_since) / USEC_PER_MSEC)),
		  LOG_INT("unsent", report->unsent_count),
		  LOG_INT("lacks_link", report->lacks_link),
		  LOG_INT("ping_ms", ping_age_ms(report, now)),
		  LOG_INT("round_trip_ms", (int64_t)(report->rtt.smoothed / USEC_PER_MSEC)),
		  LOG_INT("bound_ms", (int64_t)(suspect_after(report) / USEC_PER_MSEC)));
	on_suspect(pooler, report->name, now);
}

static void forget_waiting(peer_report_t *report)
{
	report->unanswered_since = 0;
	report->awaited_since = 0;
	report->unread_since = 0;
	report->unsent_since = 0;
	report->lacks_link = false;
}

void liveness_tick(pooler_t *pooler, usec_t now,
		   void (*on_suspect)(pooler_t *pooler, const char *name, usec_t now))
{
	list_for_each_safe (it, &pooler->sync.unanswered_reports) {
		peer_report_t *report = list_entry(it, peer_report_t, unanswered_node);
		const roster_node_t *peer;

		if (!is_waited_for(report)) {
			list_del(&report->unanswered_node);
			continue;
		}
		if (report->unsent_since == 0 && report->unread_since == 0 &&
		    !has_passed(report->awaited_since, PING_AFTER, now) &&
		    now < report->unanswered_since + PING_AFTER)
			continue;
		check_suspect(pooler, report, now, on_suspect);
		peer = roster_find_node(pooler->sync.roster, report->name);
		if (peer == NULL || peer->gone)
			forget_waiting(report);
		else
			ping(pooler, report, now, ping_interval(report, now));
	}
}
