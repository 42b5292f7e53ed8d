#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "fleet_codec.h"
#include "pool_parts.h"

typedef struct delivery {
	run_timer_t timer;
	list_t node;
	pool_world_t *world;
	char to[32];
	int partition; /* of the sender when it sent the message */
	const peer_message_t *message;
} delivery_t;

static world_node_t *find_node(pool_world_t *world, const char *name)
{
	for (size_t i = 0; i < world->node_count; i++) {
		if (strcmp(world->nodes[i].name, name) == 0)
			return &world->nodes[i];
	}
	return NULL;
}

static void on_delivery(run_timer_t *timer, usec_t now)
{
	delivery_t *delivery = list_entry(timer, delivery_t, timer);
	world_node_t *node = find_node(delivery->world, delivery->to);

	(void)now;
	if (node->pooler != NULL && !node->cut_from_peers && node->partition == delivery->partition)
		pooler_on_message(node->pooler, delivery->message);
	talloc_free(delivery);
}

/*
 * With links_need_setup the first message to a proxy only opens the link and is not sent. Opening
 * takes one round trip, or link_setup_time.
 */
static bool is_link_ready(world_node_t *from, const world_node_t *to)
{
	usec_t *at = &from->link_ready_at[to - from->world->nodes];

	if (!from->world->links_need_setup)
		return true;
	if (*at == 0)
		*at = world_now(from->world) + (from->world->link_setup_time != 0
							? from->world->link_setup_time
							: 2 * LINK_DELAY);
	return world_now(from->world) >= *at;
}

bool peers_send(env_t *env, const char *name, const char *address, const peer_message_t *message)
{
	world_node_t *from = (world_node_t *)env;
	world_node_t *to = find_node(from->world, name);
	delivery_t *delivery;
	char *text;

	(void)address;
	if (to == NULL || !is_link_ready(from, to))
		return false;
	if (from->cut_from_peers || to->cut_from_peers)
		return true;
	delivery = talloc_zero(from->world, delivery_t);
	delivery->world = from->world;
	delivery->partition = from->partition;
	snprintf(delivery->to, sizeof(delivery->to), "%s", name);
	text = peer_message_encode(message);
	delivery->message = peer_message_decode(delivery, text, strlen(text));
	g_assert_nonnull(delivery->message);
	from->messages_sent++;
	from->bytes_sent += strlen(text);
	free(text);
	timers_arm(&to->timers, &delivery->timer,
		   world_now(from->world) + LINK_DELAY + to->peer_delay, on_delivery);
	return true;
}
