#include "peers.h"

#include <string.h>

#include <talloc.h>

#include "group.h"
#include "router.h"
#include "tablesync.h"
#include "tx.h"
#include "watch.h"

/*
 * Prefix of the key for which extra neighbours are selected by hash in a large fleet.
 * They connect parts of the fleet that have no group in common.
 */
#define NEIGHBOURS_KEY_PREFIX "neighbours/"

void peers_send(core_t *core, const char *peer, const message_t *message)
{
	const proxy_t *proxy = fleet_find(core->fleet, peer);
	action_t *action = core_add_action(core, ACTION_SEND);

	action->send.peer = talloc_strdup(action, peer);
	action->send.message = message_copy(action, message);
	action->send.message->sent_at = core->now;
	action->send.message->echo = proxy != NULL ? proxy->peer_clock : 0;
	action->send.message->incarnation = core->config.incarnation;
	action->id = message->request;
	if (proxy != NULL)
		action->send.address = talloc_strdup(action, proxy->address);
}

static void send_heartbeat(core_t *core, const proxy_t *to)
{
	/* A peer that has sent a message has this proxy's zone and address already. */
	bool is_known = to->peer_clock != 0;
	message_t message = {
		.kind = MESSAGE_HEARTBEAT,
		.zone = is_known ? NULL : core->fleet->self->zone,
		.address = is_known ? NULL : core->fleet->self->address,
		.leaving = core->draining,
		.table_version = core->table->version,
		.store_age = core->table_current_at != 0 ? core->now - core->table_current_at
							 : USEC_NEVER,
	};

	peers_send(core, to->name, &message);
}

static void add_neighbour(proxy_t **out, size_t *len, size_t max, proxy_t *proxy)
{
	if (proxy->self || *len == max)
		return;
	for (size_t i = 0; i < *len; i++) {
		if (out[i] == proxy)
			return;
	}
	out[(*len)++] = proxy;
}

static void add_ranked_neighbours(proxy_t **out, size_t *len, size_t max, const ranks_t *ranks)
{
	for (size_t i = 0; i < ranks->len; i++)
		add_neighbour(out, len, max, ranks->proxies[i]);
}

/* Record that only these proxies send heartbeats to this one regularly. */
static void set_heartbeat_senders(core_t *core, proxy_t *const *proxies, size_t len)
{
	proxy_t *proxy;
	proxy_t *next;

	HASH_ITER (hh, core->fleet->proxies, proxy, next)
		proxy->sends_heartbeats = false;
	for (size_t i = 0; i < len; i++)
		proxies[i]->sends_heartbeats = true;
}

/* The proxies that watch a group together with this one, and some selected by hash. */
static size_t large_fleet_neighbours(core_t *core, proxy_t **out, size_t max)
{
	size_t len = 0;
	char *key = talloc_asprintf(core, NEIGHBOURS_KEY_PREFIX "%s", core->name);
	ranks_t hash_ranks = {0};
	group_t *group;
	group_t *next;

	HASH_ITER (hh, core->groups, group, next) {
		if (group->rank >= 0)
			add_ranked_neighbours(out, &len, max, &group->ranks);
	}
	set_heartbeat_senders(core, out, len); /* proxies selected by hash need not send any */
	fleet_rank(core->fleet, key, &hash_ranks);
	add_ranked_neighbours(out, &len, max, &hash_ranks);
	talloc_free(key);
	return len;
}

static size_t small_fleet_neighbours(core_t *core, proxy_t **out, size_t max)
{
	size_t len = 0;
	proxy_t *proxy;
	proxy_t *next;

	HASH_ITER (hh, core->fleet->proxies, proxy, next)
		add_neighbour(out, &len, max, proxy);
	set_heartbeat_senders(core, out, len);
	return len;
}

void peers_send_heartbeats(core_t *core)
{
	proxy_t *neighbours[64];
	size_t max = sizeof(neighbours) / sizeof(neighbours[0]);
	size_t len;

	if (HASH_COUNT(core->fleet->proxies) <= core->config.small_fleet)
		len = small_fleet_neighbours(core, neighbours, max);
	else
		len = large_fleet_neighbours(core, neighbours, max);
	for (size_t i = 0; i < len; i++)
		send_heartbeat(core, neighbours[i]);
}

static void on_heartbeat(run_timer_t *timer, usec_t now)
{
	core_t *core = list_entry(timer, core_t, heartbeat_timer);
	usec_t allowed = core->config.timings.suspect_after;

	timers_arm(&core->timers, timer, now + core->config.timings.heartbeat_interval,
		   on_heartbeat);
	peers_send_heartbeats(core);
	if (now - core->resumed_at > allowed) {
		fleet_suspect_silent(core->fleet, now, allowed);
		router_check_homes(core);
	}
	tx_close_idle(core);
	if (core->refresh_pending)
		watch_update_groups(core);
}

void peers_start(core_t *core)
{
	on_heartbeat(&core->heartbeat_timer, core->now);
}

static void receive_heartbeat(core_t *core, proxy_t *from, const message_t *message)
{
	bool should_log = message->leaving && !core->draining;

	fleet_add(core->fleet, core->now, from->name, message->zone, message->address, false);
	from->table_version = message->table_version;
	tablesync_on_heartbeat(core, from, message);
	/*
	 * The sender has received nothing from this proxy yet and may not be one of its
	 * neighbours: answer, so that it gets an echo of its clock.
	 */
	if (message->echo == 0)
		send_heartbeat(core, from);
	if (should_log)
		core_log(core, false, "peer leaving peer=%s", from->name);
}

void peers_receive(core_t *core, const char *peer, const message_t *message)
{
	proxy_t *from = fleet_find(core->fleet, peer);

	if (from == NULL)
		from = fleet_add(core->fleet, core->now, peer, message->zone, message->address,
				 false);
	if (message->incarnation < from->incarnation)
		return; /* a late message of an earlier incarnation */
	fleet_on_message(core->fleet, from, core->now, message);
	switch (message->kind) {
	case MESSAGE_HEARTBEAT:
		receive_heartbeat(core, from, message);
		break;
	case MESSAGE_EXECUTE:
		router_execute(core, from, message);
		break;
	case MESSAGE_ACCEPTED:
		router_accepted(core, message);
		break;
	case MESSAGE_ANSWER:
		router_answer(core, message);
		break;
	case MESSAGE_TABLE_PULL:
		tablesync_on_pull(core, from, message);
		break;
	case MESSAGE_TABLE_PUSH:
		tablesync_on_push(core, from, message);
		break;
	case MESSAGE_COUNT:
		break;
	}
}
