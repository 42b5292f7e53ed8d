#include "world_parts.h"

#include <stdlib.h>
#include <string.h>

/* Time-out after which a server ends the sessions of a silent proxy. */
#define IDLE_SESSION_TIME (3 * USEC_PER_SEC)

int world_node(const char *name)
{
	if (strcmp(name, "store") == 0)
		return WORLD_STORE;
	if (name[0] == 'p')
		return atoi(name + 1);
	return name[0] == 'm' ? world_member_node(atoi(name + 1)) : -1;
}

void world_for_each_conn(world_t *world, int node, void (*call)(world_t *, fake_conn_t *))
{
	GList *all = g_hash_table_get_values(world->conns);

	for (GList *it = all; it != NULL; it = it->next) {
		fake_conn_t *conn = it->data;

		if (world_member_node(conn->member) == node || conn->proxy == node)
			call(world, conn);
	}
	g_list_free(all);
}

/* The proxy's process has ended: the kernel resets its connections at once. */
void fake_conn_abandon(world_t *world, fake_conn_t *conn)
{
	conn->open = false;
	fake_conn_drop(world, conn);
}

/* The proxy was silent for IDLE_SESSION_TIME: the servers end its sessions. */
static void on_idle_sessions(world_t *world, void *data)
{
	int proxy = GPOINTER_TO_INT(data);

	if (!world->ending && (world->vanished[proxy] || world->frozen_until[proxy] > world->now))
		world_for_each_conn(world, proxy, fake_conn_end_session);
}

static void schedule_idle_sessions(world_t *world, int node)
{
	if (node < WORLD_MAX_PROXIES)
		world_schedule(world, world->now + IDLE_SESSION_TIME, -1, on_idle_sessions,
			       GINT_TO_POINTER(node));
}

void world_kill(world_t *world, int node)
{
	world_trace(world, "-- killed %s%d", node < WORLD_MAX_PROXIES ? "p" : "m",
		    node < WORLD_MAX_PROXIES ? node : node - WORLD_MAX_PROXIES);
	world->dead[node] = true;
	world_for_each_conn(world, node,
			    node < WORLD_MAX_PROXIES ? fake_conn_abandon : fake_conn_send_reset);
	for (int i = 0; i < world->config.proxies && node >= WORLD_MAX_PROXIES; i++) {
		char name[24];
		event_t event = {.kind = EVENT_CONTROL_DOWN,
				 .control = {.group = "callout-1", .member = name}};

		snprintf(name, sizeof(name), "m%d", node - WORLD_MAX_PROXIES);
		if (node != WORLD_STORE && !world_is_cut(world, i, node))
			world_deliver(world, i, &event);
	}
}

void world_vanish(world_t *world, int node)
{
	world_trace(world, "-- vanished %s%d", node < WORLD_MAX_PROXIES ? "p" : "m",
		    node < WORLD_MAX_PROXIES ? node : node - WORLD_MAX_PROXIES);
	world->vanished[node] = true;
	schedule_idle_sessions(world, node);
}

void world_freeze(world_t *world, int node, usec_t duration)
{
	world_trace(world, "-- froze node %d for %.0f ms", node, (double)duration / 1000.0);
	world->frozen_until[node] = world->now + duration;
	schedule_idle_sessions(world, node);
}

void world_cut(world_t *world, int a, int b, bool cut)
{
	world_trace(world, "-- %s %d and %d", cut ? "cut" : "healed", a, b);
	world->cut[a][b] = cut;
	world->cut[b][a] = cut;
}

void world_delay_messages(world_t *world, int a, int b, usec_t duration)
{
	world_trace(world, "-- stalled %d to %d for %.0f ms", a, b, (double)duration / 1000.0);
	world->delayed_until[a][b] = world->now + duration;
}

void world_disconnect(world_t *world, int a, int b, usec_t duration)
{
	world_trace(world, "-- unlinked %d from %d for %.0f ms", a, b, (double)duration / 1000.0);
	world->disconnected_until[a][b] = world->now + duration;
}

void world_lose_answers(world_t *world, int count)
{
	world->answers_to_lose = count;
}

void world_set_lag(world_t *world, usec_t lag)
{
	world->config.replication_lag = lag;
}

void world_leave(world_t *world, int node)
{
	world->leaving[node] = true;
}

void world_drain(world_t *world, int node)
{
	event_t event = {.kind = EVENT_DRAIN};

	world_deliver(world, node, &event);
}

void world_heal(world_t *world)
{
	memset(world->cut, 0, sizeof(world->cut));
	for (int i = 0; i < WORLD_NODES; i++) {
		bool is_proxy = i < WORLD_MAX_PROXIES;

		if (world->frozen_until[i] > world->now)
			world->frozen_until[i] = world->now;
		/* A proxy that ended is not restarted; a member keeps its log on disk. */
		if (!is_proxy) {
			world->vanished[i] = false;
			world->dead[i] = false;
		}
	}
}
