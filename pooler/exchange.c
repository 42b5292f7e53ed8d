#include "exchange.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <talloc.h>

#include "adopt.h"
#include "ask.h"
#include "duty.h"
#include "forward.h"
#include "hold.h"
#include "job.h"
#include "join.h"
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

/* A roster that was told is believed to be on its way for so long. */
#define ROSTER_ON_ITS_WAY (2 * ASK_INTERVAL)

const char *exchange_next_word(const char **list, size_t *len)
{
	const char *word = *list;

	if (word == NULL || *word == '\0')
		return NULL;
	*len = strcspn(word, " ");
	*list = word + *len + (word[*len] == ' ');
	return word;
}

bool exchange_lists(const char *list, const char *word)
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

void exchange_fill(const pooler_t *pooler, peer_message_t *message)
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

/* What the holder knows of the changes under way, for those whose callers wait. */
static char *describe_ends(const pooler_t *pooler, usec_t now, void *parent)
{
	char *ends = talloc_strdup(parent, "");

	list_for_each (it, &pooler->active_services) {
		const service_t *service = list_entry(it, service_t, active);

		if (service->change.step != CHANGE_NONE)
			ends = talloc_asprintf_append(ends, "%s:%" PRIu64 " ", service->name,
						      duty_remaining(service, now) / USEC_PER_MSEC);
	}
	return ends;
}

/* The ends that a list of "SERVICE:MS" names; see describe_ends(). */
static void take_ends(pooler_t *pooler, const char *ends, usec_t now)
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
			service->change_end = now + strtoull(colon + 1, NULL, 10) * USEC_PER_MSEC;
	}
}

static usec_t holder_age(const pooler_t *pooler, usec_t now)
{
	const sync_t *sync = &pooler->sync;

	if (hold_is_ours(pooler, now))
		return 0;
	return sync->holder_heard != 0 ? now - sync->holder_heard : USEC_NEVER;
}

/*
 * Who agrees with the roster, for those that ask this proxy while the store is away. The proxies
 * of one hub are not another one's, so hubs add theirs up.
 */
static void describe_agreement(const pooler_t *pooler, usec_t now, peer_message_t *message,
			       void *parent)
{
	const sync_t *sync = &pooler->sync;
	usec_t at = permit_agreed_at(pooler);
	char *agreed;

	message->quorum_age = at != 0 ? now - at : USEC_NEVER;
	if (!upstream_applies(pooler) || !ask_news_is_old(pooler, now))
		return;
	agreed = talloc_strdup(parent, "");
	list_for_each (it, &sync->reports) {
		const peer_report_t *report = list_entry(it, peer_report_t, node);

		if (upstream_listens(report, now) && report->agreed_at != 0)
			agreed = talloc_asprintf_append(agreed, "%s:%" PRIu64 " ", report->name,
							(now - report->agreed_at) / USEC_PER_MSEC);
	}
	message->agreed = agreed;
}

/*
 * What the proxy lacks of the roster; NULL: nothing. While what it was told last may be on its way,
 * its questions do not know of that yet. To answer each with all of it again would fill our link
 * after a restart of the fleet, when every entry has changed.
 */
static const char *news_of_roster(const pooler_t *pooler, const peer_report_t *report,
				  const peer_message_t *ask, usec_t now)
{
	int64_t known = ask != NULL ? ask->revision : report->revision;

	if (report->roster_told > known && now < report->roster_told_at + ROSTER_ON_ITS_WAY)
		known = report->roster_told;
	if (known >= pooler->sync.roster->revision)
		return NULL;
	return roster_changes(pooler->sync.roster, known);
}

/* ask: what is answered; NULL: nobody has asked. */
static bool send_state(pooler_t *pooler, const char *name, const char *address,
		       const peer_message_t *ask)
{
	peer_report_t *report = exchange_get_report(pooler, name);
	const sync_t *sync = &pooler->sync;
	peer_message_t message = {.kind = PEER_STATE, .echo = ask != NULL ? ask->echo : 0};
	void *parent = talloc_new(NULL);
	usec_t now = now_of(pooler);
	bool sent;

	exchange_fill(pooler, &message);
	message.members_digest = refresh_members_digest(pooler);
	message.age = sync->confirmed_at != USEC_NEVER ? now - sync->confirmed_at : USEC_NEVER;
	message.roster = news_of_roster(pooler, report, ask, now);
	if (hold_is_ours(pooler, now))
		message.ends = describe_ends(pooler, now, parent);
	message.doubted = verdict_doubts(pooler, now, parent);
	message.holder = sync->holder;
	message.holder_address = sync->holder_address;
	message.fence = sync->fence;
	message.holder_age = holder_age(pooler, now);
	describe_agreement(pooler, now, &message, parent);
	refresh_describe(pooler, name, ask, &message, parent);
	sent = exchange_send(pooler, name, address, &message);
	if (sent && message.roster != NULL) {
		report->roster_told = sync->roster->revision;
		report->roster_told_at = now;
	}
	talloc_free(parent);
	return sent;
}

bool exchange_tell(pooler_t *pooler, const char *name, const char *address)
{
	return send_state(pooler, name, address, NULL);
}

bool exchange_ping(const pooler_t *pooler, const roster_node_t *peer)
{
	peer_message_t message = {.kind = PEER_PING};

	exchange_fill(pooler, &message);
	return exchange_send(pooler, peer->name, peer->address, &message);
}

static void on_ping(const pooler_t *pooler, const peer_message_t *message)
{
	peer_message_t pong = {.kind = PEER_PONG};

	exchange_fill(pooler, &pong);
	exchange_send(pooler, message->from, message->address, &pong);
}

static void on_pong(pooler_t *pooler, const peer_message_t *message)
{
	peer_report_t *report = exchange_get_report(pooler, message->from);

	report->ponged = true;
	upstream_on_pong(report, now_of(pooler));
}

peer_report_t *exchange_get_report(pooler_t *pooler, const char *name)
{
	sync_t *sync = &pooler->sync;
	peer_report_t *report;

	HASH_FIND_STR(sync->by_name, name, report);
	if (report != NULL)
		return report;
	report = talloc_zero(pooler, peer_report_t);
	report->name = talloc_strdup(report, name);
	list_init(&report->awaited);
	list_add_tail(&sync->reports, &report->node);
	HASH_ADD_KEYPTR(hh, sync->by_name, report->name, strlen(name), report);
	return report;
}

const peer_report_t *exchange_report(const pooler_t *pooler, const char *name)
{
	const peer_report_t *report;

	HASH_FIND_STR(pooler->sync.by_name, name, report);
	return report;
}

/* True if the text is another one than before. */
static bool replace(peer_report_t *report, char **field, const char *text)
{
	if (text == NULL)
		text = "";
	if (*field != NULL && strcmp(*field, text) == 0)
		return false;
	talloc_free(*field);
	*field = talloc_strdup(report, text);
	return true;
}

static void note_access(peer_report_t *report, const peer_message_t *message, usec_t now)
{
	report->cut_off = message->cut_off;
	report->access_at = now;
}

/*
 * What a proxy has reported, heard from itself or through a hub. True if it is other than before in
 * what a change of primary may wait for.
 */
static bool take_report(pooler_t *pooler, const peer_message_t *message, usec_t heard_at)
{
	peer_report_t *report = exchange_get_report(pooler, message->from);
	bool news;

	/* Of an earlier process of that proxy, or by a slower way than a later one. */
	if (message->incarnation < report->incarnation ||
	    (message->incarnation == report->incarnation && heard_at < report->heard_at))
		return false;
	if (message->incarnation != report->incarnation)
		report->roster_told = 0;
	report->incarnation = message->incarnation;
	report->heard_at = heard_at;
	news = report->revision != message->revision && ask_tells_revision(pooler);
	report->revision = message->revision;
	report->fleet = message->fleet;
	news |= replace(report, &report->down, message->down);
	news |= replace(report, &report->failing, message->failing);
	pooler->sync.votes_differ |= news;
	news |= replace(report, &report->in_use, message->in_use);
	replace(report, &report->alive, message->alive);
	return news;
}

static void note_listener(pooler_t *pooler, const peer_message_t *message, usec_t now)
{
	peer_report_t *report = exchange_get_report(pooler, message->from);

	upstream_on_question(report, now);
	report->config_at = message->config_at;
	report->members_at = message->members_at;
	note_access(report, message, now);
}

static void on_ask(pooler_t *pooler, const peer_message_t *message)
{
	usec_t now = now_of(pooler);
	bool news;

	if (message->incarnation < exchange_get_report(pooler, message->from)->incarnation)
		return;
	news = take_report(pooler, message, now);
	for (size_t i = 0; i < message->report_count; i++) {
		const peer_message_t *report = &message->reports[i];

		join_on_report(pooler, report);
		news |= take_report(pooler, report,
				    now > report->report_age ? now - report->report_age : 0);
	}
	note_listener(pooler, message, now);
	if (message->revision > pooler->sync.roster->revision)
		pooler->sync.behind = true;
	if (join_answers(pooler, message->from))
		send_state(pooler, message->from, message->address, message);
	join_on_ask(pooler, message);
	/* Only what a change may wait for: with 75 proxies four questions a second each come in. */
	if (news && hold_is_ours(pooler, now))
		duty_tick(pooler, now);
	else if (news && upstream_is_hub(pooler))
		pooler->sync.ask_next = 0;
}

/* The agreement of others with our roster, as a hub has heard it after our question. */
static void take_agreement(pooler_t *pooler, const peer_message_t *message)
{
	sync_t *sync = &pooler->sync;
	const char *at = message->agreed != NULL ? message->agreed : "";

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
	if (message->quorum_age < message->echo &&
	    message->echo - message->quorum_age > sync->agreed_told)
		sync->agreed_told = message->echo - message->quorum_age;
	permit_on_agreed(pooler);
}

static void take_holder(pooler_t *pooler, const peer_message_t *message, usec_t now)
{
	sync_t *sync = &pooler->sync;

	if (message->holder != NULL && message->fence > sync->fence)
		sync_set_holder(pooler, message->holder, message->holder_address, message->fence);
	if (sync->holder == NULL)
		return;
	if (strcmp(sync->holder, message->from) == 0)
		sync->holder_heard = now;
	else if (message->fence == sync->fence && message->holder_age < now &&
		 now - message->holder_age > sync->holder_heard)
		sync->holder_heard = now - message->holder_age;
}

static void take_roster(pooler_t *pooler, const peer_message_t *message, usec_t now)
{
	if (message->roster == NULL || message->revision <= pooler->sync.roster->revision ||
	    !adopt_text(pooler, message->roster, strlen(message->roster), message->revision))
		return;
	/* In a large fleet a changed proxy is heard of with the next answer, a primary at once. */
	if (upstream_is_hub(pooler) && (pooler->sync.groups_changed || push_spacing(pooler) == 0))
		push_listeners(pooler);
	/* At once: while the store is away it is agreed on anew. */
	exchange_tick(pooler, now);
}

/* True if it answers this process, and not an earlier one of the same name, by whatever clock. */
static bool answers_us(const pooler_t *pooler, const peer_message_t *message)
{
	return message->echo >= pooler->started && message->echo <= now_of(pooler);
}

static void take_state(pooler_t *pooler, const peer_message_t *message)
{
	sync_t *sync = &pooler->sync;
	usec_t now = now_of(pooler);
	peer_report_t *report = exchange_get_report(pooler, message->from);
	bool agrees;

	note_access(report, message, now);
	report->asked_since = 0;
	join_on_state(pooler, message->from);
	take_holder(pooler, message, now);
	take_roster(pooler, message, now);
	agrees = message->echo != 0 && message->revision == sync->roster->revision;
	/*
	 * The answer was given no earlier than our question was sent, so the peer's read of the
	 * store was sent no earlier than that less its age. Nobody's clock is compared.
	 */
	if (agrees && message->age < message->echo)
		sync_confirm(pooler, message->echo - message->age);
	if (agrees)
		take_agreement(pooler, message);
	if (message->ends != NULL)
		take_ends(pooler, message->ends, now);
	if (message->doubted != NULL && upstream_is(pooler, message->from))
		verdict_on_doubts(pooler, message->doubted, now);
	refresh_on_state(pooler, message, now);
	sync_run_services(pooler);
}

static void on_state(pooler_t *pooler, const peer_message_t *message)
{
	peer_message_t told = *message;

	if (message->echo != 0 && !answers_us(pooler, message)) {
		LOG_EVENT(LOG_INFO, "answer to an earlier process", LOG_STR("proxy", message->from),
			  LOG_INT("echo", (int64_t)message->echo),
			  LOG_INT("started", (int64_t)pooler->started));
		told.echo = 0;
	}
	take_state(pooler, &told);
}

static void note_draining(pooler_t *pooler, const peer_message_t *message)
{
	peer_report_t *report = exchange_get_report(pooler, message->from);

	if (message->incarnation <= report->drained_as)
		return;
	LOG_EVENT(LOG_INFO, "proxy shuts down", LOG_STR("proxy", message->from));
	report->drained_as = message->incarnation;
}

void exchange_on_message(pooler_t *pooler, const peer_message_t *message)
{
	upstream_note_contact(pooler, message->from, message->address);
	if (message->draining)
		note_draining(pooler, message);
	if (message->config_version > pooler->newest_config_version)
		pooler->newest_config_version = message->config_version;
	if (message->kind != PEER_RESULT)
		forward_on_peer_message(pooler, message->from);
	switch (message->kind) {
	case PEER_ASK:
		on_ask(pooler, message);
		break;
	case PEER_STATE:
		on_state(pooler, message);
		break;
	case PEER_REQUEST:
		job_on_request(pooler, message);
		break;
	case PEER_RESULT:
		forward_on_result(pooler, message);
		break;
	case PEER_PING:
		on_ping(pooler, message);
		break;
	case PEER_PONG:
		on_pong(pooler, message);
		break;
	case PEER_STORE:
		relay_on_request(pooler->relay, message);
		break;
	case PEER_STORED:
		relay_on_answer(pooler->relay, message);
		break;
	case PEER_TAKE:
		quota_on_request(pooler, message);
		break;
	case PEER_TAKEN:
		quota_on_answer(pooler, message);
		break;
	}
}

void exchange_tick(pooler_t *pooler, usec_t now)
{
	push_tick(pooler, now);
	ask_tick(pooler, now);
	upstream_tick(pooler, now);
}
