#include "world_parts.h"

#include <stdarg.h>

static gint compare_scheduled(gconstpointer a, gconstpointer b, gpointer data)
{
	const scheduled_t *x = a;
	const scheduled_t *y = b;

	(void)data;
	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->seq < y->seq ? -1 : 1;
}

void world_schedule(world_t *world, usec_t at, int node, callback_t run, void *data)
{
	scheduled_t *entry = g_new0(scheduled_t, 1);

	entry->at = at;
	entry->seq = ++world->seq;
	entry->node = node;
	entry->callback = run;
	entry->data = data;
	g_sequence_insert_sorted(world->events, entry, compare_scheduled, NULL);
}

bool world_is_down(const world_t *world, int node)
{
	return node >= 0 && (world->dead[node] || world->vanished[node]);
}

void world_run(world_t *world, usec_t until)
{
	while (!g_sequence_is_empty(world->events)) {
		GSequenceIter *first = g_sequence_get_begin_iter(world->events);
		scheduled_t *entry = g_sequence_get(first);

		if (entry->at > until)
			break;
		g_sequence_remove(first);
		world->now = entry->at;
		/* Input of a frozen process waits in its buffers until the process continues. */
		if (entry->node >= 0 && world->frozen_until[entry->node] > world->now) {
			entry->at = world->frozen_until[entry->node];
			g_sequence_insert_sorted(world->events, entry, compare_scheduled, NULL);
			continue;
		}
		entry->callback(world, entry->data);
		g_free(entry);
	}
	world->now = until;
}

usec_t world_now(const world_t *world)
{
	return world->now;
}

uint64_t world_random(world_t *world, uint64_t limit)
{
	world->rng = world->rng * 6364136223846793005u + 1442695040888963407u;
	return (world->rng >> 33) % limit;
}

int world_member_node(int member)
{
	return WORLD_MAX_PROXIES + member;
}

int world_zone(const world_t *world, int node)
{
	int number = node >= WORLD_MAX_PROXIES ? node - WORLD_MAX_PROXIES : node;

	return number % world->config.zones;
}

usec_t world_latency(world_t *world, int a, int b)
{
	usec_t base = world->config.zone_latency;

	if (a == WORLD_STORE || b == WORLD_STORE)
		return STORE_LATENCY;
	if (world_zone(world, a) == world_zone(world, b))
		base /= 10;
	return base + world_random(world, base / 4 + 1);
}

bool world_is_cut(const world_t *world, int a, int b)
{
	return world->cut[a][b];
}

void world_trace(world_t *world, const char *fmt, ...)
{
	va_list ap;

	if (world->config.quiet)
		return;
	g_string_append_printf(world->timeline, "%9.3f ", (double)world->now / 1000.0);
	va_start(ap, fmt);
	g_string_append_vprintf(world->timeline, fmt, ap);
	va_end(ap);
	g_string_append_c(world->timeline, '\n');
}
