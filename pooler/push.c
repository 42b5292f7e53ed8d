#include "push.h"

#include <string.h>

#include "exchange.h"
#include "leader.h"
#include "refresh.h"
#include "upstream.h"

/*
 * Least time between two pushes for each proxy of the fleet, since a push goes to all of them. The
 * first primaries of many services come in as many writes within seconds.
 */
#define INTERVAL_PER_PROXY_USEC 100
/* Interval of the tick; shorter intervals between pushes count as none. */
#define INTERVAL_MIN (50 * USEC_PER_MSEC)

static void push_state(pooler_t *pooler, const roster_node_t *peer, void *data)
{
	(void)data;
	exchange_send_state(pooler, peer->name, peer->address);
}

static void push_to_downstream(pooler_t *pooler)
{
	upstream_for_each_downstream(pooler, now_of(pooler), push_state, NULL);
}

static void push_to_all(pooler_t *pooler)
{
	if (upstream_uses_hubs(pooler)) {
		upstream_for_each_hub(pooler, push_state, NULL);
		push_to_downstream(pooler);
		return;
	}
	list_for_each (it, &pooler->sync.roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		if (strcmp(node->name, pooler->config.name) != 0)
			exchange_send_state(pooler, node->name, node->address);
	}
}

static void push_if_due(pooler_t *pooler)
{
	sync_t *sync = &pooler->sync;
	usec_t now = now_of(pooler);
	push_scope_t wanted = sync->push_pending;

	if (wanted == PUSH_NONE || now < sync->push_next)
		return;
	sync->push_pending = PUSH_NONE;
	sync->push_next = now + push_interval(pooler);
	if (wanted == PUSH_ALL)
		push_to_all(pooler);
	else
		push_to_downstream(pooler);
}

usec_t push_interval(const pooler_t *pooler)
{
	usec_t interval = pooler->sync.proxy_count * INTERVAL_PER_PROXY_USEC;

	return interval >= INTERVAL_MIN ? interval : 0;
}

void push_fleet(pooler_t *pooler)
{
	pooler->sync.push_pending = PUSH_ALL;
	push_if_due(pooler);
}

void push_downstream(pooler_t *pooler)
{
	if (pooler->sync.push_pending == PUSH_NONE)
		pooler->sync.push_pending = PUSH_DOWNSTREAM;
	push_if_due(pooler);
}

/* Pushes a new configuration, after the read that brought it was applied completely. */
static void push_config(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;

	if (!sync->config_push_pending ||
	    (sync->config_pushed_at != 0 &&
	     now < sync->config_pushed_at + refresh_config_send_interval(pooler)))
		return;
	sync->config_push_pending = false;
	sync->config_pushed_at = now;
	if (leader_is_self(pooler, now))
		push_fleet(pooler);
	else if (upstream_is_hub(pooler))
		push_downstream(pooler);
}

void push_tick(pooler_t *pooler, usec_t now)
{
	push_config(pooler, now);
	push_if_due(pooler);
}
