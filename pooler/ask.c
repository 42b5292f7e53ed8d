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

/*
 * Age of the last confirmation of the roster after which many peers are queried, so that the
 * permission lasts while the store is unreachable.
 */
#define ASK_ALL_AFTER (1000 * USEC_PER_MSEC)
/*
 * Rounds of queries that reach the whole fleet. Two of them reach more than half, within 0.5 s of
 * the 0.8 s left until the permission ends.
 */
#define ASK_ROUNDS 3
/* Least number of proxies queried in a round: all of a small fleet. */
#define ASK_ROUND_MIN 12
/*
 * Number of proxies of a large fleet that are queried in turn while neither hubs nor the leader
 * answer.
 */
#define ASK_OTHERS 16
/* A link to a live proxy is established within this many ticks. */
#define LINK_TRIES 3

bool ask_roster_is_unconfirmed(const pooler_t *pooler, usec_t now)
{
	const sync_t *sync = &pooler->sync;

	return sync->confirmed_at == USEC_NEVER || now >= sync->confirmed_at + ASK_ALL_AFTER;
}

bool ask_must_report_revision(const pooler_t *pooler)
{
	return !upstream_uses_hubs(pooler) || pooler->sync.primary_changing ||
	       ask_roster_is_unconfirmed(pooler, now_of(pooler));
}

/* --- reports in a query --- */

static char *append_word(char *list, const char *word)
{
	return talloc_asprintf_append(list, "%s%s", *list != '\0' ? " " : "", word);
}

/* What this proxy sees of a service's primary. */
typedef struct primary_view {
	bool down;
	bool alive;
	bool failing; /* the primary answers, but fails many statements; see outlier.h */
	bool in_use;  /* this proxy has work on the primary though it is about to change */
} primary_view_t;

static primary_view_t get_primary_view(const service_t *service, usec_t now)
{
	const roster_group_t *group = service->group;
	const member_t *primary = service->primary;

	return (primary_view_t){
		.down = primary != NULL && primary->down,
		.alive = primary != NULL && !primary->down &&
			 primary->last_reply_at + ALIVE_WITHIN > now,
		.failing = primary != NULL && outlier_is_failing(&primary->outlier, now),
		.in_use = group != NULL && group->changing && permit_is_in_use(service),
	};
}

/*
 * Digest that changes as soon as the leader must receive a report at once. It is compared in each
 * tick, so it is computed without the lists of fill_report().
 */
static uint64_t compute_report_digest(const pooler_t *pooler, usec_t now)
{
	uint64_t digest =
		ask_must_report_revision(pooler) ? (uint64_t)pooler->sync.roster->revision : 0;

	list_for_each (it, &pooler->active_services) {
		const service_t *service = list_entry(it, service_t, active);
		primary_view_t view = get_primary_view(service, now);

		if (view.down || view.failing || view.in_use)
			digest ^= XXH64(service->name, strlen(service->name),
					view.down * 4u + view.failing * 2u + view.in_use);
	}
	return digest;
}

/* Fills in what this proxy reports of the primaries to the leader. */
static void fill_report(const pooler_t *pooler, usec_t now, peer_message_t *message, void *parent)
{
	char *down = talloc_strdup(parent, "");
	char *alive = talloc_strdup(parent, "");
	char *failing = talloc_strdup(parent, "");
	char *in_use = talloc_strdup(parent, "");

	list_for_each (it, &pooler->active_services) {
		const service_t *service = list_entry(it, service_t, active);
		primary_view_t view = get_primary_view(service, now);

		if (view.down)
			down = append_word(down, service->name);
		if (view.alive)
			alive = append_word(alive, service->name);
		if (view.failing)
			failing = append_word(failing, service->name);
		if (view.in_use)
			in_use = append_word(in_use, service->name);
	}
	message->down = down;
	message->alive = alive;
	message->failing = failing;
	message->in_use = in_use;
	message->fleet_size = (int64_t)permit_count_listed(pooler);
	message->members_digest = refresh_members_digest(pooler);
	message->config_as_of = pooler->config_follow != NULL ? pooler->config_follow->as_of : 0;
	message->members_as_of = pooler->members_follow != NULL ? pooler->members_follow->as_of : 0;
}

/* --- receivers of queries --- */

bool ask_send_query(const pooler_t *pooler, const char *name, const char *address)
{
	peer_message_t message = {.kind = PEER_QUERY, .echo = now_of(pooler)};
	void *parent = talloc_new(NULL);
	bool sent;

	exchange_fill_sender(pooler, &message);
	fill_report(pooler, message.echo, &message, parent);
	sent = exchange_send(pooler, name, address, &message);
	talloc_free(parent);
	return sent;
}

static const roster_node_t *next_peer(pooler_t *pooler)
{
	const roster_t *roster = pooler->sync.roster;
	size_t count = pooler->sync.proxy_count;
	size_t index = count != 0 ? pooler->sync.next_peer_index++ % count : 0;

	list_for_each (it, &roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		if (index-- == 0)
			return strcmp(node->name, pooler->config.name) != 0 ? node : NULL;
	}
	return NULL;
}

/*
 * The store seems to be unreachable, so the permission can only be extended by agreement. Each
 * proxy has to be reached within PERMIT_LEASE_TIME, so a part is queried in each round: if each
 * queried all others, the number of messages would grow with the square of the fleet.
 */
static void query_round(pooler_t *pooler, const peer_message_t *message)
{
	size_t proxies = pooler->sync.proxy_count;
	size_t part = (proxies + ASK_ROUNDS - 1) / ASK_ROUNDS;

	if (part < ASK_ROUND_MIN)
		part = ASK_ROUND_MIN;
	for (size_t i = 0; i < part && i < proxies; i++) {
		const roster_node_t *peer = next_peer(pooler);

		if (peer != NULL)
			exchange_send(pooler, peer->name, peer->address, message);
	}
}

/* Adds the reports of the downstream proxies of this hub to its own query. */
static void add_reports(const pooler_t *pooler, usec_t now, peer_message_t *message, void *parent)
{
	peer_message_t *reports =
		talloc_zero_array(parent, peer_message_t,
				  list_length(&pooler->sync.reports) + join_pending_count(pooler));

	message->reports = reports;
	message->report_count = join_fill_reports(pooler, reports);
	list_for_each (it, &pooler->sync.reports) {
		const peer_report_t *report = list_entry(it, peer_report_t, node);

		if (!upstream_has_recent_query(report, now))
			continue;
		reports[message->report_count++] = (peer_message_t){
			.from = report->name,
			.incarnation = report->incarnation,
			.revision = report->revision,
			.fleet_size = report->fleet_size,
			.down = report->down,
			.alive = report->alive,
			.failing = report->failing,
			.in_use = report->in_use,
			.report_age = now - report->last_query_at,
		};
	}
}

static void send_query_to(pooler_t *pooler, const roster_node_t *peer, void *data)
{
	exchange_send(pooler, peer->name, peer->address, data);
}

/*
 * Queries for an agreement without the store. In a large fleet a hub queries its downstream
 * proxies, and the other hubs for what theirs have reported.
 */
static void query_for_agreement(pooler_t *pooler, usec_t now, peer_message_t *message)
{
	if (!upstream_uses_hubs(pooler)) {
		query_round(pooler, message);
		return;
	}
	/* Past queries of the downstream proxies do not show which roster they hold now. */
	upstream_for_each_downstream(pooler, now, send_query_to, message);
	upstream_for_each_hub(pooler, send_query_to, message);
}

/* False if this proxy leaves the agreement without the store to the hubs of a large fleet. */
static bool takes_part_in_agreement(pooler_t *pooler, usec_t now)
{
	return !upstream_uses_hubs(pooler) || upstream_is_hub(pooler) ||
	       leader_is_self(pooler, now);
}

static size_t find_roster_index(const pooler_t *pooler, const char *name)
{
	size_t index = 0;

	list_for_each (it, &pooler->sync.roster->nodes) {
		if (strcmp(list_entry(it, roster_node_t, node)->name, name) == 0)
			return index;
		index++;
	}
	return 0;
}

/* Returns the first proxy from that index on, cyclically, that is not declared gone; or NULL. */
static const roster_node_t *find_node_from(const pooler_t *pooler, size_t index)
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
 * Returns one of ASK_OTHERS proxies in turn, so that there are few links whatever the size of the
 * fleet. They are spread over the roster, since neighbours on the roster may be in one zone.
 */
static const roster_node_t *next_spread_peer(pooler_t *pooler)
{
	sync_t *sync = &pooler->sync;
	size_t step = sync->proxy_count / (ASK_OTHERS + 1);
	size_t turn = 1 + sync->next_peer_index++ % ASK_OTHERS;
	size_t index = find_roster_index(pooler, pooler->config.name) + turn * step;
	const roster_node_t *node = find_node_from(pooler, index % sync->proxy_count);

	return node != NULL && strcmp(node->name, pooler->config.name) != 0 ? node : NULL;
}

static void query_other(pooler_t *pooler, const peer_message_t *message)
{
	const roster_node_t *peer =
		upstream_uses_hubs(pooler) ? next_spread_peer(pooler) : next_peer(pooler);

	if (peer != NULL)
		exchange_send(pooler, peer->name, peer->address, message);
}

/*
 * Sends a query and repeats it with the next ticks, LINK_TRIES times at most, if there was no link:
 * the first message only establishes the link.
 */
static void send_or_retry(pooler_t *pooler, usec_t now, const char *name, const char *address,
			  const peer_message_t *message)
{
	sync_t *sync = &pooler->sync;

	if (exchange_send(pooler, name, address, message))
		sync->queries_unsent = 0;
	else if (sync->queries_unsent++ < LINK_TRIES && !ask_roster_is_unconfirmed(pooler, now))
		sync->query_next = now;
}

/* Sends the queries that are due now. */
static void send_due_queries(pooler_t *pooler, usec_t now, peer_message_t *message, void *parent)
{
	const sync_t *sync = &pooler->sync;
	const char *name;
	const char *address;

	if (ask_roster_is_unconfirmed(pooler, now) && takes_part_in_agreement(pooler, now))
		query_for_agreement(pooler, now, message);
	else if (sync->leader == NULL || now >= sync->leader_seen_at + LEADER_SILENT_AFTER)
		query_other(pooler, message);
	if (!upstream_find(pooler, now, &name, &address))
		return;
	if (upstream_is_hub(pooler))
		add_reports(pooler, now, message, parent);
	upstream_on_query_sent(pooler, name, now);
	send_or_retry(pooler, now, name, address, message);
}

static void query_if_due(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	peer_message_t message = {.kind = PEER_QUERY, .echo = now};
	uint64_t digest = compute_report_digest(pooler, now);
	void *parent;

	if (now < sync->query_next && digest == sync->reported_digest)
		return;
	sync->reported_digest = digest;
	sync->query_next = now + ASK_QUERY_INTERVAL;
	parent = talloc_new(NULL);
	exchange_fill_sender(pooler, &message);
	fill_report(pooler, now, &message, parent);
	send_due_queries(pooler, now, &message, parent);
	talloc_free(parent);
}

void ask_tick(pooler_t *pooler, usec_t now)
{
	/* The leader does not need the updates that the other proxies query it for. */
	if (!leader_is_self(pooler, now) || ask_roster_is_unconfirmed(pooler, now))
		query_if_due(pooler, now);
}
