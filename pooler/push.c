#include "push.h"

#include <string.h>

#include "exchange.h"
#include "leader.h"
#include "refresh.h"
#include "upstream.h"

/*
 * Between two pushes of news, for each proxy of the fleet, since all of them are told with each.
 * The first primaries of many services come in as many writes within seconds.
 */
#define SPACING_EACH 100 /* us */
/* A tick: what would wait for less is pushed at once. */
#define SPACING_LEAST (50 * USEC_PER_MSEC)

static void push_to(pooler_t *pooler, const roster_node_t *peer, void *data)
{
	(void)data;
	exchange_tell(pooler, peer->name, peer->address);
}

static void tell_listeners(pooler_t *pooler)
{
	upstream_each_listener(pooler, now_of(pooler), push_to, NULL);
}

static void tell_all(pooler_t *pooler)
{
	if (upstream_applies(pooler)) {
		upstream_each_hub(pooler, push_to, NULL);
		tell_listeners(pooler);
		return;
	}
	list_for_each (it, &pooler->sync.roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		if (strcmp(node->name, pooler->config.name) != 0)
			exchange_tell(pooler, node->name, node->address);
	}
}

static void push_now(pooler_t *pooler)
{
	sync_t *sync = &pooler->sync;
	usec_t now = now_of(pooler);
	push_t wanted = sync->push_wanted;

	if (wanted == PUSH_NONE || now < sync->push_next)
		return;
	sync->push_wanted = PUSH_NONE;
	sync->push_next = now + push_spacing(pooler);
	if (wanted == PUSH_ALL)
		tell_all(pooler);
	else
		tell_listeners(pooler);
}

usec_t push_spacing(const pooler_t *pooler)
{
	usec_t spacing = pooler->sync.proxies * SPACING_EACH;

	return spacing >= SPACING_LEAST ? spacing : 0;
}

void push_fleet(pooler_t *pooler)
{
	pooler->sync.push_wanted = PUSH_ALL;
	push_now(pooler);
}

void push_listeners(pooler_t *pooler)
{
	if (pooler->sync.push_wanted == PUSH_NONE)
		pooler->sync.push_wanted = PUSH_LISTENERS;
	push_now(pooler);
}

/* A new configuration, once all of the reading that brought it was taken. */
static void push_config(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;

	if (!sync->config_news || (sync->config_pushed_at != 0 &&
				   now < sync->config_pushed_at + refresh_config_spacing(pooler)))
		return;
	sync->config_news = false;
	sync->config_pushed_at = now;
	if (leader_is_self(pooler, now))
		push_fleet(pooler);
	else if (upstream_is_hub(pooler))
		push_listeners(pooler);
}

void push_tick(pooler_t *pooler, usec_t now)
{
	push_config(pooler, now);
	push_now(pooler);
}
