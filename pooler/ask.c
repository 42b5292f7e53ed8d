#include "ask.h"

#include <string.h>

#include <talloc.h>
#include <xxhash.h>

#include "exchange.h"
#include "join.h"
#include "leader.h"
#include "permit.h"
#include "refresh.h"
#include "upstream.h"

/* With news this old peers are asked, so that the permission lasts while the store is away. */
#define ASK_ALL_AFTER (1000 * USEC_PER_MSEC)
/* In so many times everybody is asked, and more than half in two: 0.5 s of the 0.8 s that are left.
 */
#define ASK_ROUNDS 3
/* So many are asked each time in any case: all of a small fleet. */
#define ASK_LEAST 12
/* Proxies of a large fleet that are asked in turn when neither hubs nor holder are heard. */
#define ASK_OTHERS 16
/* Ticks within which a link to a proxy that lives is made. */
#define LINK_TRIES 3

/* With news so old the permission is prolonged only by agreement with the other proxies. */
bool ask_news_is_old(const pooler_t *pooler, usec_t now)
{
	const sync_t *sync = &pooler->sync;

	return sync->confirmed_at == USEC_NEVER || now >= sync->confirmed_at + ASK_ALL_AFTER;
}

bool ask_tells_revision(const pooler_t *pooler)
{
	return !upstream_applies(pooler) || pooler->sync.changing ||
	       ask_news_is_old(pooler, now_of(pooler));
}

/* --- what a question reports --- */

static char *add_word(char *list, const char *word)
{
	return talloc_asprintf_append(list, "%s%s", *list != '\0' ? " " : "", word);
}

/* What this proxy sees of a service's primary. */
typedef struct sight {
	bool down;
	bool alive;
	bool failing; /* it answers, and fails a good part of the statements */
	bool in_use;  /* though it is about to change */
} sight_t;

static sight_t look_at(const service_t *service, usec_t now)
{
	const roster_group_t *group = service->group;
	const member_t *primary = service->primary;

	return (sight_t){
		.down = primary != NULL && primary->down,
		.alive = primary != NULL && !primary->down &&
			 primary->last_reply_at + ALIVE_WITHIN > now,
		.failing = primary != NULL && outlier_is_failing(&primary->outlier, now),
		.in_use = group != NULL && group->changing && permit_is_in_use(service),
	};
}

/*
 * Changes as soon as there is something that the holder must hear at once. It is compared with each
 * tick, so it is made without the lists of describe().
 */
static uint64_t news_digest(const pooler_t *pooler, usec_t now)
{
	uint64_t digest = ask_tells_revision(pooler) ? (uint64_t)pooler->sync.roster->revision : 0;

	list_for_each (it, &pooler->active_services) {
		const service_t *service = list_entry(it, service_t, active);
		sight_t sight = look_at(service, now);

		if (sight.down || sight.failing || sight.in_use)
			digest ^= XXH64(service->name, strlen(service->name),
					sight.down * 4u + sight.failing * 2u + sight.in_use);
	}
	return digest;
}

/* What this proxy knows of the primaries, for the holder. */
static void describe(const pooler_t *pooler, usec_t now, peer_message_t *message, void *parent)
{
	char *down = talloc_strdup(parent, "");
	char *alive = talloc_strdup(parent, "");
	char *failing = talloc_strdup(parent, "");
	char *in_use = talloc_strdup(parent, "");

	list_for_each (it, &pooler->active_services) {
		const service_t *service = list_entry(it, service_t, active);
		sight_t sight = look_at(service, now);

		if (sight.down)
			down = add_word(down, service->name);
		if (sight.alive)
			alive = add_word(alive, service->name);
		if (sight.failing)
			failing = add_word(failing, service->name);
		if (sight.in_use)
			in_use = add_word(in_use, service->name);
	}
	message->down = down;
	message->alive = alive;
	message->failing = failing;
	message->in_use = in_use;
	message->fleet = (int64_t)permit_count_listed(pooler);
	message->members_digest = refresh_members_digest(pooler);
	message->config_at = pooler->config_follow != NULL ? pooler->config_follow->told : 0;
	message->members_at = pooler->members_follow != NULL ? pooler->members_follow->told : 0;
}

/* --- who is asked --- */

bool ask_peer(const pooler_t *pooler, const char *name, const char *address)
{
	peer_message_t message = {.kind = PEER_ASK, .echo = now_of(pooler)};
	void *parent = talloc_new(NULL);
	bool sent;

	exchange_fill(pooler, &message);
	describe(pooler, message.echo, &message, parent);
	sent = exchange_send(pooler, name, address, &message);
	talloc_free(parent);
	return sent;
}

static const roster_node_t *other_peer(pooler_t *pooler)
{
	const roster_t *roster = pooler->sync.roster;
	size_t count = pooler->sync.proxies;
	size_t index = count != 0 ? pooler->sync.next_peer++ % count : 0;

	list_for_each (it, &roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		if (index-- == 0)
			return strcmp(node->name, pooler->config.name) != 0 ? node : NULL;
	}
	return NULL;
}

/*
 * The news is old: the store seems to be away, and the permission can only be prolonged together.
 * Everybody has to be heard within PERMIT_LEASE_TIME, so a part is asked each time: if all asked
 * all, the messages would grow with the square of the fleet.
 */
static void ask_part(pooler_t *pooler, const peer_message_t *message)
{
	size_t proxies = pooler->sync.proxies;
	size_t part = (proxies + ASK_ROUNDS - 1) / ASK_ROUNDS;

	if (part < ASK_LEAST)
		part = ASK_LEAST;
	for (size_t i = 0; i < part && i < proxies; i++) {
		const roster_node_t *other = other_peer(pooler);

		if (other != NULL)
			exchange_send(pooler, other->name, other->address, message);
	}
}

/* What those that ask this hub have reported, for whom it asks itself. */
static void add_reports(const pooler_t *pooler, usec_t now, peer_message_t *message, void *parent)
{
	peer_message_t *reports = talloc_zero_array(
		parent, peer_message_t, list_length(&pooler->sync.reports) + join_count(pooler));

	message->reports = reports;
	message->report_count = join_describe(pooler, reports);
	list_for_each (it, &pooler->sync.reports) {
		const peer_report_t *report = list_entry(it, peer_report_t, node);

		if (!upstream_listens(report, now))
			continue;
		reports[message->report_count++] = (peer_message_t){
			.from = report->name,
			.incarnation = report->incarnation,
			.revision = report->revision,
			.fleet = report->fleet,
			.down = report->down,
			.alive = report->alive,
			.failing = report->failing,
			.in_use = report->in_use,
			.report_age = now - report->asked_us_at,
		};
	}
}

static void put_question(pooler_t *pooler, const roster_node_t *peer, void *data)
{
	exchange_send(pooler, peer->name, peer->address, data);
}

/*
 * Without the store. In a large fleet hubs ask those that ask them, and each other for what they
 * have heard.
 */
static void ask_together(pooler_t *pooler, usec_t now, peer_message_t *message)
{
	if (!upstream_applies(pooler)) {
		ask_part(pooler, message);
		return;
	}
	/* A question that they asked proves nothing of now. */
	upstream_each_listener(pooler, now, put_question, message);
	upstream_each_hub(pooler, put_question, message);
}

/* False if it leaves the agreement without the store to the hubs of a large fleet. */
static bool agrees_by_itself(pooler_t *pooler, usec_t now)
{
	return !upstream_applies(pooler) || upstream_is_hub(pooler) || leader_is_self(pooler, now);
}

static size_t index_on_roster(const pooler_t *pooler, const char *name)
{
	size_t index = 0;

	list_for_each (it, &pooler->sync.roster->nodes) {
		if (strcmp(list_entry(it, roster_node_t, node)->name, name) == 0)
			return index;
		index++;
	}
	return 0;
}

/* The first of the roster from that place on that is not gone, or NULL. */
static const roster_node_t *node_from(const pooler_t *pooler, size_t index)
{
	const roster_node_t *first = NULL;
	size_t i = 0;

	list_for_each (it, &pooler->sync.roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		if (!node->gone && i >= index)
			return node;
		if (!node->gone && first == NULL)
			first = node;
		i++;
	}
	return first;
}

/*
 * One of a few proxies, in turn: links to few, whatever the size of the fleet. They are spread over
 * the roster, since those that follow each other may be of one zone.
 */
static const roster_node_t *spread_peer(pooler_t *pooler)
{
	sync_t *sync = &pooler->sync;
	size_t step = sync->proxies / (ASK_OTHERS + 1);
	size_t turn = 1 + sync->next_peer++ % ASK_OTHERS;
	size_t index = index_on_roster(pooler, pooler->config.name) + turn * step;
	const roster_node_t *node = node_from(pooler, index % sync->proxies);

	return node != NULL && strcmp(node->name, pooler->config.name) != 0 ? node : NULL;
}

static void ask_other(pooler_t *pooler, const peer_message_t *message)
{
	const roster_node_t *other =
		upstream_applies(pooler) ? spread_peer(pooler) : other_peer(pooler);

	if (other != NULL)
		exchange_send(pooler, other->name, other->address, message);
}

/* The first message only makes the link, so it is repeated with the next tick; not for long. */
static void put_first_question(pooler_t *pooler, usec_t now, const char *name, const char *address,
			       const peer_message_t *message)
{
	sync_t *sync = &pooler->sync;

	if (exchange_send(pooler, name, address, message))
		sync->ask_unsent = 0;
	else if (sync->ask_unsent++ < LINK_TRIES && !ask_news_is_old(pooler, now))
		sync->ask_next = now;
}

/* Ask those that are to be asked now. */
static void ask_now(pooler_t *pooler, usec_t now, peer_message_t *message, void *parent)
{
	const sync_t *sync = &pooler->sync;
	const char *name;
	const char *address;

	if (ask_news_is_old(pooler, now) && agrees_by_itself(pooler, now))
		ask_together(pooler, now, message);
	else if (sync->holder == NULL || now >= sync->holder_heard + HOLDER_SILENT)
		ask_other(pooler, message);
	if (!upstream_find(pooler, now, &name, &address))
		return;
	if (upstream_is_hub(pooler))
		add_reports(pooler, now, message, parent);
	upstream_on_asked(pooler, name, now);
	put_first_question(pooler, now, name, address, message);
}

static void ask(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	peer_message_t message = {.kind = PEER_ASK, .echo = now};
	uint64_t news = news_digest(pooler, now);
	void *parent;

	if (now < sync->ask_next && news == sync->told)
		return;
	sync->told = news;
	sync->ask_next = now + ASK_INTERVAL;
	parent = talloc_new(NULL);
	exchange_fill(pooler, &message);
	describe(pooler, now, &message, parent);
	ask_now(pooler, now, &message, parent);
	talloc_free(parent);
}

void ask_tick(pooler_t *pooler, usec_t now)
{
	/* The holder knows what the others ask it for. */
	if (!leader_is_self(pooler, now) || ask_news_is_old(pooler, now))
		ask(pooler, now);
}
