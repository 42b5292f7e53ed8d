#include "world_parts.h"

#include <string.h>

#include <talloc.h>

/* --- members --- */

void log_entry_free(void *ptr)
{
	log_entry_t *entry = ptr;

	g_free(entry->key);
	g_free(entry->value);
	g_free(entry->request_id);
	g_free(entry);
}

log_entry_t *log_entry_new(uint64_t term, const char *key, const char *value, const char *id)
{
	log_entry_t *entry = g_new0(log_entry_t, 1);

	entry->term = term;
	entry->key = g_strdup(key);
	entry->value = g_strdup(value);
	entry->request_id = g_strdup(id);
	return entry;
}

report_t fake_member_report(const fake_member_t *member)
{
	const log_entry_t *last =
		member->log->len > 0 ? member->log->pdata[member->log->len - 1] : NULL;

	return (report_t){
		.sealed = member->sealed,
		.log = {.term = last != NULL ? last->term : 0, .lsn = member->log->len},
		.primary = member->primary,
	};
}

const char *log_find_value(const GPtrArray *log, const char *key)
{
	for (guint i = log->len; i > 0; i--) {
		const log_entry_t *entry = log->pdata[i - 1];

		if (g_strcmp0(entry->key, key) == 0)
			return entry->value;
	}
	return NULL;
}

/* Update the member's indexes to its log. */
static void reindex(fake_member_t *member)
{
	if (member->indexed > member->log->len) {
		g_hash_table_remove_all(member->by_key);
		g_hash_table_remove_all(member->by_id);
		member->indexed = 0;
	}
	for (; member->indexed < member->log->len; member->indexed++) {
		log_entry_t *entry = member->log->pdata[member->indexed];

		if (entry->key != NULL)
			g_hash_table_replace(member->by_key, entry->key, entry);
		if (entry->request_id != NULL)
			g_hash_table_replace(member->by_id, entry->request_id, entry);
	}
}

const char *fake_member_value(fake_member_t *member, const char *key)
{
	const log_entry_t *entry;

	reindex(member);
	entry = g_hash_table_lookup(member->by_key, key);
	return entry != NULL ? entry->value : NULL;
}

/* Drop the entries from len on, and the indexes, which point to them. */
static void truncate_log(fake_member_t *member, guint len)
{
	g_hash_table_remove_all(member->by_key);
	g_hash_table_remove_all(member->by_id);
	member->indexed = 0;
	g_ptr_array_set_size(member->log, (gint)len);
}

const log_entry_t *log_find_request(const GPtrArray *log, const char *id)
{
	for (guint i = 0; id != NULL && i < log->len; i++) {
		const log_entry_t *entry = log->pdata[i];

		if (g_strcmp0(entry->request_id, id) == 0)
			return entry;
	}
	return NULL;
}

const log_entry_t *fake_member_request(fake_member_t *member, const char *id)
{
	reindex(member);
	return id != NULL ? g_hash_table_lookup(member->by_id, id) : NULL;
}

typedef struct replicate {
	int from;
	int to;
	uint64_t term;
	guint len;
} replicate_t;

/* Update the replica's log to the primary's as sent, if the replica still follows that primary. */
static void on_replicate_arrive(world_t *world, void *data)
{
	replicate_t *r = data;
	fake_member_t *from = &world->members[r->from];
	fake_member_t *to = &world->members[r->to];
	guint common = 0;

	if (!world_is_down(world, world_member_node(r->to)) && to->upstream == r->from &&
	    to->sealed == r->term && from->sealed == r->term &&
	    !world_is_cut(world, world_member_node(r->from), world_member_node(r->to))) {
		/* Equal terms at a position mean equal logs up to it. */
		common = MIN(to->log->len, r->len);
		while (common > 0 && ((log_entry_t *)to->log->pdata[common - 1])->term !=
					     ((log_entry_t *)from->log->pdata[common - 1])->term)
			common--;
		if (common < to->log->len && common < r->len)
			truncate_log(to, common);
		else if (to->log->len > r->len && common == r->len &&
			 fake_member_report(to).log.term != r->term)
			truncate_log(to, common);
		for (guint i = to->log->len; i < r->len; i++) {
			const log_entry_t *e = from->log->pdata[i];

			g_ptr_array_add(to->log,
					log_entry_new(e->term, e->key, e->value, e->request_id));
		}
	}
	g_free(r);
}

static void start_replication(world_t *world, int from, int to)
{
	replicate_t *r = g_new0(replicate_t, 1);

	*r = (replicate_t){from, to, world->members[from].sealed, world->members[from].log->len};
	if (world_is_cut(world, world_member_node(from), world_member_node(to)) ||
	    world_is_down(world, world_member_node(from))) {
		g_free(r);
		return;
	}
	world_schedule(
		world,
		world->now + world_latency(world, world_member_node(from), world_member_node(to)) +
			world->config.replication_lag,
		world_member_node(to), on_replicate_arrive, r);
}

void fake_member_append(world_t *world, int m, log_entry_t *entry)
{
	g_ptr_array_add(world->members[m].log, entry);
	for (int i = 0; i < world->config.members; i++) {
		if (i != m)
			start_replication(world, m, i);
	}
}

/* A replica fetches the log of its upstream every 50 ms, as after a reconnect. */
void fake_member_on_catch_up(world_t *world, void *data)
{
	int m = GPOINTER_TO_INT(data);
	const fake_member_t *member = &world->members[m];

	if (!world_is_down(world, world_member_node(m)) && member->upstream >= 0 &&
	    world->members[member->upstream].primary)
		start_replication(world, member->upstream, m);
	if (!world->ending)
		world_schedule(world, world->now + 50 * USEC_PER_MSEC, -1, fake_member_on_catch_up,
			       data);
}

static void seal(fake_member_t *member, uint64_t term)
{
	member->sealed = term;
	member->primary = false;
	member->upstream = -1;
}

/* The number at the end of "m:2" or "m2". */
int fake_member_at(const char *address)
{
	return address[strlen(address) - 1] - '0';
}

static bool apply_order(world_t *world, int m, const action_t *action)
{
	fake_member_t *member = &world->members[m];

	switch (action->order.kind) {
	case ORDER_SEAL:
		if (action->order.term <= member->sealed)
			return false;
		seal(member, action->order.term);
		return true;
	case ORDER_PROMOTE:
		if (action->order.term != member->sealed)
			return false;
		if (!member->primary) {
			member->primary = true;
			fake_member_append(world, m,
					   log_entry_new(member->sealed, NULL, NULL, NULL));
		}
		return true;
	case ORDER_FOLLOW:
		if (action->order.term < member->sealed ||
		    (member->primary && action->order.term == member->sealed))
			return false;
		seal(member, action->order.term);
		member->upstream = fake_member_at(action->order.target);
		return true;
	default:
		return true;
	}
}

/* --- orders --- */

typedef struct order {
	int proxy;
	int member;
	action_t *action; /* owned */
	bool done;
	int refs;
	report_t report;
	order_status_t status;
} order_t;

static void order_unref(order_t *order)
{
	if (--order->refs > 0)
		return;
	talloc_free(order->action);
	g_free(order);
}

static void on_order_answer(world_t *world, void *data)
{
	order_t *order = data;
	event_t event = {
		.kind = EVENT_ORDER_DONE,
		.id = order->action->id,
		.order = {.group = order->action->order.group,
			  .member = order->action->order.member,
			  .status = order->status,
			  .report = order->report},
	};

	if (!order->done) {
		if (order->action->order.kind == ORDER_PROMOTE && order->status == ORDER_OK)
			world->marks.promoted = world->now;
		order->done = true;
		world_deliver(world, order->proxy, &event);
	}
	order_unref(order);
}

static void on_order_timeout(world_t *world, void *data)
{
	order_t *order = data;

	if (!order->done)
		order->status = ORDER_TIMED_OUT;
	on_order_answer(world, order);
}

static void on_order_arrive(world_t *world, void *data)
{
	order_t *order = data;
	int node = world_member_node(order->member);

	if (world->vanished[node] || world_is_cut(world, order->proxy, node) || order->done) {
		order_unref(order);
		return;
	}
	if (world->dead[node])
		order->status = ORDER_UNREACHABLE;
	else
		order->status =
			apply_order(world, order->member, order->action) ? ORDER_OK : ORDER_REFUSED;
	order->report = fake_member_report(&world->members[order->member]);
	world_schedule(world, world->now + world_latency(world, node, order->proxy), order->proxy,
		       on_order_answer, order);
}

void world_start_order(world_t *world, int proxy, action_t *action)
{
	order_t *order = g_new0(order_t, 1);

	world->counts.orders++;
	if (action->order.kind == ORDER_SEAL && world->marks.seal_sent == 0)
		world->marks.seal_sent = world->now;
	if (action->order.kind == ORDER_PROMOTE)
		world->marks.promote_sent = world->now;
	order->proxy = proxy;
	order->member = fake_member_at(action->order.address);
	order->action = action;
	order->refs = 2;
	world_schedule(world,
		       world->now + world_latency(world, proxy, world_member_node(order->member)),
		       world_member_node(order->member), on_order_arrive, order);
	world_schedule(world, world->now + action->order.timeout, proxy, on_order_timeout, order);
}
