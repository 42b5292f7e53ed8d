#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "fleet_codec.h"
#include "pool_parts.h"

typedef struct mail {
	run_timer_t timer;
	list_t node;
	pool_world_t *world;
	char to[32];
	int island; /* of the sender */
	const peer_message_t *message;
} mail_t;

static world_node_t *find_node(pool_world_t *world, const char *name)
{
	for (size_t i = 0; i < world->node_count; i++) {
		if (strcmp(world->nodes[i].name, name) == 0)
			return &world->nodes[i];
	}
	return NULL;
}

static void on_mail(run_timer_t *timer, usec_t now)
{
	mail_t *mail = list_entry(timer, mail_t, timer);
	world_node_t *node = find_node(mail->world, mail->to);

	(void)now;
	if (node->pooler != NULL && !node->cut_from_peers && node->partition == mail->island)
		pooler_on_message(node->pooler, mail->message);
	talloc_free(mail);
}

/* A link is made with the first message, which is not sent; it takes a way there and back. */
static bool has_link(world_node_t *from, const world_node_t *to)
{
	usec_t *at = &from->link_ready_at[to - from->world->nodes];

	if (!from->world->links_need_setup)
		return true;
	if (*at == 0)
		*at = world_now(from->world) + 2 * LINK_DELAY;
	return world_now(from->world) >= *at;
}

bool peers_send(env_t *env, const char *name, const char *address, const peer_message_t *message)
{
	world_node_t *from = (world_node_t *)env;
	world_node_t *to = find_node(from->world, name);
	mail_t *mail;
	char *text;

	(void)address;
	if (to == NULL || !has_link(from, to))
		return false;
	if (from->cut_from_peers || to->cut_from_peers)
		return true;
	mail = talloc_zero(from->world, mail_t);
	mail->world = from->world;
	mail->island = from->partition;
	snprintf(mail->to, sizeof(mail->to), "%s", name);
	text = peer_message_encode(message);
	mail->message = peer_message_decode(mail, text, strlen(text));
	g_assert_nonnull(mail->message);
	from->messages_sent++;
	from->bytes_sent += strlen(text);
	free(text);
	timers_arm(&to->timers, &mail->timer, world_now(from->world) + LINK_DELAY + to->peer_delay,
		   on_mail);
	return true;
}
