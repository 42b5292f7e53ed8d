#include "exchange.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <talloc.h>

#include "adopt.h"
#include "ask.h"
#include "failover.h"
#include "forward.h"
#include "job.h"
#include "join.h"
#include "leader.h"
#include "liveness.h"
#include "loan_exchange.h"
#include "permit.h"
#include "push.h"
#include "quota.h"
#include "refresh.h"
#include "relay.h"
#include "sync.h"
#include "upstream.h"
#include "verdict.h"

#define LOG_MODULE "exchange"
#include "log.h"

/* A roster that was sent counts as in flight for this time. */
#define ROSTER_IN_FLIGHT_TIME (2 * ASK_QUERY_INTERVAL)

const char *exchange_next_word(const char **list, size_t *len)
{
	const char *word = *list;

	if (word == NULL || *word == '\0')
		return NULL;
	*len = strcspn(word, " ");
	*list = word + *len + (word[*len] == ' ');
	return word;
}

bool exchange_list_contains(const char *list, const char *word)
{
	size_t wanted = strlen(word);
	const char *next;
	size_t len;

	while ((next = exchange_next_word(&list, &len)) != NULL) {
		if (len == wanted && memcmp(next, word, len) == 0)
			return true;
	}
	return false;
}

void exchange_fill_sender(const pooler_t *pooler, peer_message_t *message)
{
	message->from = pooler->config.name;
	message->address = pooler->config.address;
	message->zone = pooler->config.zone;
	message->capacity = pooler->config.capacity;
	message->incarnation = pooler->config.incarnation;
	message->revision = pooler->sync.roster->revision;
	message->config_version = pooler->routes != NULL ? pooler->routes->version : 0;
	message->cut_off = relay_is_cut_off(pooler->relay);
	message->draining = pooler->draining;
}

bool exchange_send(const pooler_t *pooler, const char *name, const char *address,
		   const peer_message_t *message)
{
	return pooler->env->ops->peer_send(pooler->env, name, address, message);
}

/*
 * The leader's estimate of when each change of primary ends, for proxies whose callers wait for it.
 */
static char *format_change_ends(const pooler_t *pooler, usec_t now, void *parent)
{
	char *ends = talloc_strdup(parent, "");

	list_for_each (it, &pooler->active_services) {
		const service_t *service = list_entry(it, service_t, active);

		if (service->change.step != CHANGE_NONE)
			ends = talloc_asprintf_append(ends, "%s:%" PRIu64 " ", service->name,
						      failover_remaining(service, now) /
							      USEC_PER_MSEC);
	}
	return ends;
}

/* Applies a list that the leader has made with format_change_ends(). */
static void apply_change_ends(pooler_t *pooler, const char *ends, usec_t now)
{
	const char *word;
	size_t len;

	while ((word = exchange_next_word(&ends, &len)) != NULL) {
		const char *colon = memrchr(word, ':', len);
		service_t *service;

		if (colon == NULL)
			continue;
		HASH_FIND(hh, pooler->services_by_name, word, (size_t)(colon - word), service);
		if (service != NULL && service->changing_since != USEC_NEVER)
			service->change_expected_end =
				now + strtoull(colon + 1, NULL, 10) * USEC_PER_MSEC;
	}
}

static usec_t get_leader_age(const pooler_t *pooler, usec_t now)
{
	const sync_t *sync = &pooler->sync;

	if (leader_is_self(pooler, now))
		return 0;
	return sync->leader_seen_at != 0 ? now - sync->leader_seen_at : USEC_NEVER;
}

/*
 * Fills in which proxies agree on the roster, for downstream proxies while the store is
 * unreachable. Each hub has other downstream proxies, so the hubs add up their agreements.
 */
static void fill_agreement(const pooler_t *pooler, usec_t now, peer_message_t *message,
			   void *parent)
{
	const sync_t *sync = &pooler->sync;
	usec_t at = permit_quorum_confirmed_at(pooler);
	char *agreed;

	message->agreement_age = at != 0 ? now - at : USEC_NEVER;
	if (!upstream_uses_hubs(pooler) || !ask_roster_is_unconfirmed(pooler, now))
		return;
	agreed = talloc_strdup(parent, "");
	list_for_each (it, &sync->reports) {
		const peer_report_t *report = list_entry(it, peer_report_t, node);

		if (upstream_has_recent_query(report, now) && report->agreed_at != 0)
			agreed = talloc_asprintf_append(agreed, "%s:%" PRIu64 " ", report->name,
							(now - report->agreed_at) / USEC_PER_MSEC);
	}
	message->agreements = agreed;
}

/*
 * Returns what the proxy lacks of the roster; NULL: nothing. While the roster sent last may be in
 * flight, the proxy's queries still report an older revision. Answering each of them with all
 * changes again would fill our link after a restart of the fleet, when every entry has changed.
 */
static const char *get_roster_update(const pooler_t *pooler, const peer_report_t *report,
				     const peer_message_t *query, usec_t now)
{
	int64_t receiver_revision = query != NULL ? query->revision : report->revision;

	if (report->roster_sent_revision > receiver_revision &&
	    now < report->roster_sent_at + ROSTER_IN_FLIGHT_TIME)
		receiver_revision = report->roster_sent_revision;
	if (receiver_revision >= pooler->sync.roster->revision)
		return NULL;
	return roster_encode_changes(pooler->sync.roster, receiver_revision);
}

/* Sends our state. query: the query that the state answers; NULL: the state is pushed. */
static bool send_state(pooler_t *pooler, const char *name, const char *address,
		       const peer_message_t *query)
{
	peer_report_t *report = exchange_get_report(pooler, name);
	const sync_t *sync = &pooler->sync;
	peer_message_t message = {.kind = PEER_STATE, .echo = query != NULL ? query->echo : 0};
	void *parent = talloc_new(NULL);
	usec_t now = now_of(pooler);
	bool sent;

	exchange_fill_sender(pooler, &message);
	message.members_digest = refresh_members_digest(pooler);
	message.roster_age =
		sync->confirmed_at != USEC_NEVER ? now - sync->confirmed_at : USEC_NEVER;
	message.roster = get_roster_update(pooler, report, query, now);
	if (leader_is_self(pooler, now))
		message.change_ends = format_change_ends(pooler, now, parent);
	message.suspected_primaries = verdict_suspects(pooler, now, parent);
	message.leader = sync->leader;
	message.leader_address = sync->leader_address;
	message.fencing_token = sync->fencing_token;
	message.leader_age = get_leader_age(pooler, now);
	fill_agreement(pooler, now, &message, parent);
	refresh_fill_state(pooler, name, query, &message, parent);
	sent = exchange_send(pooler, name, address, &message);
	if (sent && message.roster != NULL) {
		report->roster_sent_revision = sync->roster->revision;
		report->roster_sent_at = now;
	}
	talloc_free(parent);
	return sent;
}

bool exchange_send_state(pooler_t *pooler, const char *name, const char *address)
{
	return send_state(pooler, name, address, NULL);
}

bool exchange_send_ping(const pooler_t *pooler, const roster_node_t *peer)
{
	peer_message_t message = {.kind = PEER_PING};

	exchange_fill_sender(pooler, &message);
	return exchange_send(pooler, peer->name, peer->address, &message);
}

static void on_ping(pooler_t *pooler, const peer_message_t *message)
{
	outbox_send_pong(&pooler->outbox, message->from, message->address);
}

static void on_pong(pooler_t *pooler, const peer_message_t *message)
{
	peer_report_t *report = exchange_get_report(pooler, message->from);

	liveness_on_pong(report, now_of(pooler));
	forward_on_peer_message(pooler, message->from);
	upstream_on_pong(report, now_of(pooler));
}

peer_report_t *exchange_get_report(pooler_t *pooler, const char *name)
{
	sync_t *sync = &pooler->sync;
	peer_report_t *report;

	HASH_FIND_STR(sync->reports_by_name, name, report);
	if (report != NULL)
		return report;
	report = talloc_zero(pooler, peer_report_t);
	report->name = talloc_strdup(report, name);
	list_init(&report->unanswered_node);
	list_add_tail(&sync->reports, &report->node);
	HASH_ADD_KEYPTR(hh, sync->reports_by_name, report->name, strlen(name), report);
	return report;
}

const peer_report_t *exchange_find_report(const pooler_t *pooler, const char *name)
{
	const peer_report_t *report;

	HASH_FIND_STR(pooler->sync.reports_by_name, name, report);
	return report;
}

/* Replaces *field; true if the text differs from the previous one. */
static bool replace_text(peer_report_t *report, char **field, const char *text)
{
	if (text == NULL)
		text = "";
	if (*field != NULL && strcmp(*field, text) == 0)
		return false;
	talloc_free(*field);
	*field = talloc_strdup(report, text);
	return true;
}

static void record_store_access(peer_report_t *report, const peer_message_t *message, usec_t now)
{
	report->cut_off = message->cut_off;
	report->access_reported_at = now;
}

/*
 * Stores what a proxy has reported, by its own query or through a hub. True if this differs from
 * its previous report in something that a change of primary may wait for.
 */
static bool save_report(pooler_t *pooler, const peer_message_t *message, usec_t received_at)
{
	peer_report_t *report = exchange_get_report(pooler, message->from);
	bool changed;

	/*
	 * Ignore a report of an earlier process of that proxy, and a report older than one that
	 * arrived by a faster path.
	 */
	if (message->incarnation < report->incarnation ||
	    (message->incarnation == report->incarnation && received_at < report->received_at))
		return false;
	if (message->incarnation != report->incarnation)
		report->roster_sent_revision = 0;
	report->incarnation = message->incarnation;
	report->received_at = received_at;
	changed = report->revision != message->revision && ask_must_report_revision(pooler);
	report->revision = message->revision;
	report->fleet_size = message->fleet_size;
	changed |= replace_text(report, &report->down, message->down);
	changed |= replace_text(report, &report->failing, message->failing);
	pooler->sync.votes_changed |= changed;
	changed |= replace_text(report, &report->in_use, message->in_use);
	replace_text(report, &report->alive, message->alive);
	return changed;
}

static void record_downstream(pooler_t *pooler, const peer_message_t *message, usec_t now)
{
	peer_report_t *report = exchange_get_report(pooler, message->from);

	upstream_on_query(report, now);
	report->config_as_of = message->config_as_of;
	report->members_as_of = message->members_as_of;
	record_store_access(report, message, now);
}

static void on_query(pooler_t *pooler, const peer_message_t *message)
{
	usec_t now = now_of(pooler);
	bool changed;

	if (message->incarnation < exchange_get_report(pooler, message->from)->incarnation)
		return;
	changed = save_report(pooler, message, now);
	for (size_t i = 0; i < message->report_count; i++) {
		const peer_message_t *report = &message->reports[i];

		join_on_report(pooler, report);
		changed |= save_report(pooler, report,
				       now > report->report_age ? now - report->report_age : 0);
	}
	record_downstream(pooler, message, now);
	if (message->revision > pooler->sync.roster->revision)
		pooler->sync.roster_maybe_stale = true;
	if (join_can_answer(pooler, message->from))
		send_state(pooler, message->from, message->address, message);
	join_on_query(pooler, message);
	/*
	 * Only reports that a change of primary may wait for are handled at once: with 75 proxies,
	 * four queries arrive from each of them in a second.
	 */
	if (changed && leader_is_self(pooler, now))
		failover_tick(pooler, now);
	else if (changed && upstream_is_hub(pooler))
		pooler->sync.query_next = 0;
}

/*
 * Applies the agreement of other proxies on our roster, as a hub has received it since our query.
 */
static void apply_agreement(pooler_t *pooler, const peer_message_t *message)
{
	sync_t *sync = &pooler->sync;
	const char *at = message->agreements != NULL ? message->agreements : "";

	exchange_get_report(pooler, message->from)->agreed_at = message->echo;
	while (*at != '\0') {
		size_t len = strcspn(at, ":");
		char *name = talloc_strndup(NULL, at, len);
		usec_t age = strtoull(at + len + (at[len] == ':'), NULL, 10) * USEC_PER_MSEC;
		peer_report_t *report = exchange_get_report(pooler, name);

		talloc_free(name);
		if (age < message->echo && message->echo - age > report->agreed_at)
			report->agreed_at = message->echo - age;
		at += strcspn(at, " ");
		at += strspn(at, " ");
	}
	if (message->agreement_age < message->echo &&
	    message->echo - message->agreement_age > sync->peers_agreed_at)
		sync->peers_agreed_at = message->echo - message->agreement_age;
	permit_update_quorum_confirmed(pooler);
}

static void apply_leader(pooler_t *pooler, const peer_message_t *message, usec_t now)
{
	sync_t *sync = &pooler->sync;

	if (message->leader != NULL && message->fencing_token > sync->fencing_token)
		sync_set_leader(pooler, message->leader, message->leader_address,
				message->fencing_token);
	if (sync->leader == NULL)
		return;
	if (strcmp(sync->leader, message->from) == 0)
		sync->leader_seen_at = now;
	else if (message->fencing_token == sync->fencing_token && message->leader_age < now &&
		 now - message->leader_age > sync->leader_seen_at)
		sync->leader_seen_at = now - message->leader_age;
}

static void apply_roster(pooler_t *pooler, const peer_message_t *message, usec_t now)
{
	if (message->roster == NULL || message->revision <= pooler->sync.roster->revision ||
	    !adopt_roster_text(pooler, message->roster, strlen(message->roster), message->revision))
		return;
	/*
	 * In a large fleet a change of proxies waits for the next query, a change of primary is
	 * pushed at once.
	 */
	if (upstream_is_hub(pooler) && (pooler->sync.groups_changed || push_interval(pooler) == 0))
		push_downstream(pooler);
	/*
	 * Queries are sent at once: while the store is unreachable, the fleet has to agree on the
	 * new roster.
	 */
	exchange_tick(pooler, now);
}

/*
 * True if the state answers a query of this process and not of an earlier one of the same name,
 * which may have used another clock.
 */
static bool is_answer_to_this_process(const pooler_t *pooler, const peer_message_t *message)
{
	return message->echo >= pooler->started && message->echo <= now_of(pooler);
}

static void apply_state(pooler_t *pooler, const peer_message_t *message)
{
	sync_t *sync = &pooler->sync;
	usec_t now = now_of(pooler);
	peer_report_t *report = exchange_get_report(pooler, message->from);
	bool agrees;

	record_store_access(report, message, now);
	report->query_unanswered_since = 0;
	join_on_state(pooler, message->from);
	apply_leader(pooler, message, now);
	apply_roster(pooler, message, now);
	agrees = message->echo != 0 && message->revision == sync->roster->revision;
	/*
	 * The answer was sent after our query, so the peer's read of the store was sent no earlier
	 * than the query less the age of that read. The clocks of the two proxies are never
	 * compared.
	 */
	if (agrees && message->roster_age < message->echo)
		sync_confirm_roster(pooler, message->echo - message->roster_age);
	if (agrees)
		apply_agreement(pooler, message);
	if (message->change_ends != NULL)
		apply_change_ends(pooler, message->change_ends, now);
	if (message->suspected_primaries != NULL && upstream_is_trusted(pooler, message->from))
		verdict_on_suspects(pooler, message->suspected_primaries, now);
	refresh_on_state(pooler, message, now);
	sync_dispatch_waiting(pooler);
}

static void on_state(pooler_t *pooler, const peer_message_t *message)
{
	peer_message_t state = *message;

	if (message->echo != 0 && !is_answer_to_this_process(pooler, message)) {
		LOG_EVENT(LOG_INFO, "state answers a query of an earlier process",
			  LOG_STR("proxy", message->from), LOG_INT("echo", (int64_t)message->echo),
			  LOG_INT("started", (int64_t)pooler->started));
		state.echo = 0;
	}
	apply_state(pooler, &state);
}

static void record_draining(pooler_t *pooler, const peer_message_t *message)
{
	peer_report_t *report = exchange_get_report(pooler, message->from);

	if (message->incarnation <= report->drained_incarnation)
		return;
	LOG_EVENT(LOG_INFO, "proxy shuts down", LOG_STR("proxy", message->from));
	report->drained_incarnation = message->incarnation;
}

void exchange_on_message(pooler_t *pooler, const peer_message_t *message)
{
	upstream_note_contact(pooler, message->from, message->address);
	if (message->draining)
		record_draining(pooler, message);
	if (message->config_version > pooler->newest_config_version)
		pooler->newest_config_version = message->config_version;
	if (message->kind != PEER_FORWARD_RESULT && message->kind != PEER_PONG)
		forward_on_peer_message(pooler, message->from);
	switch (message->kind) {
	case PEER_QUERY:
		on_query(pooler, message);
		break;
	case PEER_STATE:
		on_state(pooler, message);
		break;
	case PEER_FORWARD_REQUEST:
		job_on_request(pooler, message);
		break;
	case PEER_FORWARD_RESULT:
		forward_on_result(pooler, message);
		break;
	case PEER_PING:
		on_ping(pooler, message);
		break;
	case PEER_PONG:
		on_pong(pooler, message);
		break;
	case PEER_STORE_REQUEST:
		relay_on_request(pooler->relay, message);
		break;
	case PEER_STORE_ANSWER:
		relay_on_answer(pooler->relay, message);
		break;
	case PEER_QUOTA_REQUEST:
		quota_on_request(pooler, message);
		break;
	case PEER_QUOTA_ANSWER:
		quota_on_answer(pooler, message);
		break;
	case PEER_LOAN_REQUEST:
		loan_exchange_on_request(pooler, message);
		break;
	case PEER_LOAN_ANSWER:
		loan_exchange_on_answer(pooler, message);
		break;
	}
}

void exchange_tick(pooler_t *pooler, usec_t now)
{
	push_tick(pooler, now);
	ask_tick(pooler, now);
	upstream_tick(pooler, now);
	loan_exchange_tick(pooler, now);
}
