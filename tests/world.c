#include "world.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <talloc.h>

/* After this the server ends the sessions of a proxy that is silent. */
#define IDLE_SESSION_TIME (3 * USEC_PER_SEC)
#define EXIT_TIME	  (100 * USEC_PER_MSEC)
#define STORE_LATENCY	  (2 * USEC_PER_MSEC)

typedef struct log_entry {
	uint64_t term;
	char *key;
	char *value;
	char *request_id;
} log_entry_t;

typedef struct fake_member {
	uint64_t sealed;
	bool primary;
	int upstream; /* member number, -1 none */
	GPtrArray *log;
	GHashTable *by_key; /* the last entry of a key, the entry of a request id; see reindex() */
	GHashTable *by_id;
	guint indexed;
	int conns;	    /* open or being opened, with a slot or not yet */
	GHashTable *claims; /* "row/slot" */
	GArray *free_at;    /* of usec_t: when each slot is free again */
} fake_member_t;

typedef struct fake_proxy {
	core_t *core;
	bool started;
	usec_t ticking; /* when the next tick is planned */
} fake_proxy_t;

/* A pooled connection, seen from both ends. */
typedef struct fake_conn {
	int proxy;
	uint64_t id;
	int member;
	char *claim;
	bool counted; /* in the member's conns */
	bool dropped; /* the member has ended the session; what still arrives finds nobody */
	bool open;
	bool running;
	bool commit_sent;
	run_kind_t kind;
	query_t *query;
	report_t before;
	GPtrArray *tx; /* log_entry_t of an open transaction */
	char *key;     /* in world_t.conns */
	int refs;
} fake_conn_t;

typedef struct store_item {
	char *value;
	uint64_t version;
} store_item_t;

struct world {
	world_config_t config;
	usec_t now;
	uint64_t seq;
	uint64_t rng;
	GSequence *events;
	fake_proxy_t proxies[WORLD_MAX_PROXIES];
	fake_member_t members[WORLD_MAX_MEMBERS];
	bool dead[WORLD_NODES];	    /* process gone */
	bool vanished[WORLD_NODES]; /* VM gone */
	bool leaving[WORLD_NODES];
	usec_t frozen[WORLD_NODES]; /* until */
	bool cut[WORLD_NODES][WORLD_NODES];
	usec_t stalled[WORLD_NODES][WORLD_NODES]; /* messages sent meanwhile arrive then */
	GHashTable *conns;			  /* "proxy:id" */
	GHashTable *told;
	GHashTable *callers; /* "proxy:caller" to name */
	GHashTable *edits;
	GHashTable *edit_ids;
	GHashTable *acked;  /* key to the newest acknowledged value */
	GHashTable *floors; /* request name to the value it must not be older than */
	uint64_t next_caller;
	uint64_t store_version;
	GTree *store;
	GPtrArray *store_edits;
	int lose_answers;
	GString *timeline;
	GString *violations;
	world_counts_t counts;
	world_marks_t marks;
	bool ending;
};

typedef void (*callback_t)(world_t *world, void *data);

typedef struct planned {
	usec_t at;
	uint64_t seq;
	int node; /* where it happens; -1 nowhere in particular */
	callback_t run;
	void *data;
} planned_t;

static void deliver(world_t *world, int proxy, const event_t *event);

/* --- time --- */

static gint compare_planned(gconstpointer a, gconstpointer b, gpointer data)
{
	const planned_t *x = a;
	const planned_t *y = b;

	(void)data;
	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->seq < y->seq ? -1 : 1;
}

static void plan(world_t *world, usec_t at, int node, callback_t run, void *data)
{
	planned_t *planned = g_new0(planned_t, 1);

	planned->at = at;
	planned->seq = ++world->seq;
	planned->node = node;
	planned->run = run;
	planned->data = data;
	g_sequence_insert_sorted(world->events, planned, compare_planned, NULL);
}

static bool is_down(const world_t *world, int node)
{
	return node >= 0 && (world->dead[node] || world->vanished[node]);
}

void world_run(world_t *world, usec_t until)
{
	while (!g_sequence_is_empty(world->events)) {
		GSequenceIter *first = g_sequence_get_begin_iter(world->events);
		planned_t *planned = g_sequence_get(first);

		if (planned->at > until)
			break;
		g_sequence_remove(first);
		world->now = planned->at;
		/* What reaches a stopped process waits in its buffers. */
		if (planned->node >= 0 && world->frozen[planned->node] > world->now) {
			planned->at = world->frozen[planned->node];
			g_sequence_insert_sorted(world->events, planned, compare_planned, NULL);
			continue;
		}
		planned->run(world, planned->data);
		g_free(planned);
	}
	world->now = until;
}

usec_t world_now(const world_t *world)
{
	return world->now;
}

static uint64_t random_below(world_t *world, uint64_t limit)
{
	world->rng = world->rng * 6364136223846793005u + 1442695040888963407u;
	return (world->rng >> 33) % limit;
}

static int member_node(int member)
{
	return WORLD_MAX_PROXIES + member;
}

static int zone_of(const world_t *world, int node)
{
	int number = node >= WORLD_MAX_PROXIES ? node - WORLD_MAX_PROXIES : node;

	return number % world->config.zones;
}

static usec_t latency(world_t *world, int a, int b)
{
	usec_t base = world->config.zone_latency;

	if (a == WORLD_STORE || b == WORLD_STORE)
		return STORE_LATENCY;
	if (zone_of(world, a) == zone_of(world, b))
		base /= 10;
	return base + random_below(world, base / 4 + 1);
}

static bool is_cut(const world_t *world, int a, int b)
{
	return world->cut[a][b];
}

static void say(world_t *world, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

static void say(world_t *world, const char *fmt, ...)
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

/* --- members --- */

static void entry_free(void *ptr)
{
	log_entry_t *entry = ptr;

	g_free(entry->key);
	g_free(entry->value);
	g_free(entry->request_id);
	g_free(entry);
}

static log_entry_t *entry_new(uint64_t term, const char *key, const char *value, const char *id)
{
	log_entry_t *entry = g_new0(log_entry_t, 1);

	entry->term = term;
	entry->key = g_strdup(key);
	entry->value = g_strdup(value);
	entry->request_id = g_strdup(id);
	return entry;
}

static report_t report_of(const fake_member_t *member)
{
	const log_entry_t *last =
		member->log->len > 0 ? member->log->pdata[member->log->len - 1] : NULL;

	return (report_t){
		.sealed = member->sealed,
		.log = {.term = last != NULL ? last->term : 0, .lsn = member->log->len},
		.primary = member->primary,
	};
}

static const char *find_value(const GPtrArray *log, const char *key)
{
	for (guint i = log->len; i > 0; i--) {
		const log_entry_t *entry = log->pdata[i - 1];

		if (g_strcmp0(entry->key, key) == 0)
			return entry->value;
	}
	return NULL;
}

/* Bring the member's indexes up to its log. */
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

static const char *member_value(fake_member_t *member, const char *key)
{
	const log_entry_t *entry;

	reindex(member);
	entry = g_hash_table_lookup(member->by_key, key);
	return entry != NULL ? entry->value : NULL;
}

/* Entries after the cut go, and with them the indexes that point at them. */
static void truncate_log(fake_member_t *member, guint len)
{
	g_hash_table_remove_all(member->by_key);
	g_hash_table_remove_all(member->by_id);
	member->indexed = 0;
	g_ptr_array_set_size(member->log, (gint)len);
}

static const log_entry_t *find_request(const GPtrArray *log, const char *id)
{
	for (guint i = 0; id != NULL && i < log->len; i++) {
		const log_entry_t *entry = log->pdata[i];

		if (g_strcmp0(entry->request_id, id) == 0)
			return entry;
	}
	return NULL;
}

static const log_entry_t *member_request(fake_member_t *member, const char *id)
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

/* The replica's log becomes the primary's as of then, if it still follows it in that term. */
static void do_replicate(world_t *world, void *data)
{
	replicate_t *r = data;
	fake_member_t *from = &world->members[r->from];
	fake_member_t *to = &world->members[r->to];
	guint common = 0;

	if (!is_down(world, member_node(r->to)) && to->upstream == r->from &&
	    to->sealed == r->term && from->sealed == r->term &&
	    !is_cut(world, member_node(r->from), member_node(r->to))) {
		/* Equal terms at one place mean equal logs up to it. */
		common = MIN(to->log->len, r->len);
		while (common > 0 && ((log_entry_t *)to->log->pdata[common - 1])->term !=
					     ((log_entry_t *)from->log->pdata[common - 1])->term)
			common--;
		if (common < to->log->len && common < r->len)
			truncate_log(to, common);
		else if (to->log->len > r->len && common == r->len &&
			 report_of(to).log.term != r->term)
			truncate_log(to, common);
		for (guint i = to->log->len; i < r->len; i++) {
			const log_entry_t *e = from->log->pdata[i];

			g_ptr_array_add(to->log,
					entry_new(e->term, e->key, e->value, e->request_id));
		}
	}
	g_free(r);
}

static void replicate_to(world_t *world, int from, int to)
{
	replicate_t *r = g_new0(replicate_t, 1);

	*r = (replicate_t){from, to, world->members[from].sealed, world->members[from].log->len};
	if (is_cut(world, member_node(from), member_node(to)) ||
	    is_down(world, member_node(from))) {
		g_free(r);
		return;
	}
	plan(world,
	     world->now + latency(world, member_node(from), member_node(to)) +
		     world->config.replication_lag,
	     member_node(to), do_replicate, r);
}

static void append(world_t *world, int m, log_entry_t *entry)
{
	g_ptr_array_add(world->members[m].log, entry);
	for (int i = 0; i < world->config.members; i++) {
		if (i != m)
			replicate_to(world, m, i);
	}
}

/* A replica asks its upstream now and then, as after a reconnect. */
static void on_catch_up(world_t *world, void *data)
{
	int m = GPOINTER_TO_INT(data);
	const fake_member_t *member = &world->members[m];

	if (!is_down(world, member_node(m)) && member->upstream >= 0 &&
	    world->members[member->upstream].primary)
		replicate_to(world, member->upstream, m);
	if (!world->ending)
		plan(world, world->now + 50 * USEC_PER_MSEC, -1, on_catch_up, data);
}

static void seal(fake_member_t *member, uint64_t term)
{
	member->sealed = term;
	member->primary = false;
	member->upstream = -1;
}

/* The number at the end of "m:2" or "m2". */
static int member_at(const char *address)
{
	return address[strlen(address) - 1] - '0';
}

static bool obey(world_t *world, int m, const action_t *action)
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
			append(world, m, entry_new(member->sealed, NULL, NULL, NULL));
		}
		return true;
	case ORDER_FOLLOW:
		if (action->order.term < member->sealed ||
		    (member->primary && action->order.term == member->sealed))
			return false;
		seal(member, action->order.term);
		member->upstream = member_at(action->order.target);
		return true;
	default:
		return true;
	}
}

/* --- orders --- */

typedef struct order {
	int proxy;
	int member;
	action_t *action; /* copied fields */
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

static void order_answer(world_t *world, void *data)
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
		deliver(world, order->proxy, &event);
	}
	order_unref(order);
}

static void order_timeout(world_t *world, void *data)
{
	order_t *order = data;

	if (!order->done)
		order->status = ORDER_TIMED_OUT;
	order_answer(world, order);
}

static void order_arrive(world_t *world, void *data)
{
	order_t *order = data;
	int node = member_node(order->member);

	if (world->vanished[node] || is_cut(world, order->proxy, node) || order->done) {
		order_unref(order);
		return;
	}
	if (world->dead[node])
		order->status = ORDER_UNREACHABLE;
	else
		order->status =
			obey(world, order->member, order->action) ? ORDER_OK : ORDER_REFUSED;
	order->report = report_of(&world->members[order->member]);
	plan(world, world->now + latency(world, node, order->proxy), order->proxy, order_answer,
	     order);
}

static void do_order(world_t *world, int proxy, action_t *action)
{
	order_t *order = g_new0(order_t, 1);

	world->counts.orders++;
	if (action->order.kind == ORDER_SEAL && world->marks.seal_sent == 0)
		world->marks.seal_sent = world->now;
	if (action->order.kind == ORDER_PROMOTE)
		world->marks.promote_sent = world->now;
	order->proxy = proxy;
	order->member = member_at(action->order.address);
	order->action = action;
	order->refs = 2;
	plan(world, world->now + latency(world, proxy, member_node(order->member)),
	     member_node(order->member), order_arrive, order);
	plan(world, world->now + action->order.timeout, proxy, order_timeout, order);
}

/* --- pooled connections --- */

static char *conn_key(int proxy, uint64_t id)
{
	return g_strdup_printf("%d:%llu", proxy, (unsigned long long)id);
}

static void conn_unref(fake_conn_t *conn)
{
	if (--conn->refs > 0)
		return;
	g_free(conn->claim);
	g_free(conn->key);
	talloc_free(conn->query);
	g_ptr_array_unref(conn->tx);
	g_free(conn);
}

static fake_conn_t *conn_find(world_t *world, int proxy, uint64_t id)
{
	char *key = conn_key(proxy, id);
	fake_conn_t *conn = g_hash_table_lookup(world->conns, key);

	g_free(key);
	return conn;
}

static void conn_free_claim(world_t *world, fake_conn_t *conn)
{
	fake_member_t *member = &world->members[conn->member];

	if (conn->claim != NULL)
		g_hash_table_remove(member->claims, conn->claim);
	if (conn->counted)
		member->conns--;
	conn->counted = false;
}

/* The proxy's end of the connection is gone: what ran on it is settled as the link would. */
static void conn_lost(world_t *world, fake_conn_t *conn, const char *why)
{
	event_t done = {.kind = EVENT_RUN_DONE, .id = conn->id};
	event_t down = {.kind = EVENT_CONN_DOWN, .id = conn->id, .conn_down = {.detail = why}};
	run_result_t result = {.detail = (char *)why};
	int proxy = conn->proxy;

	if (!g_hash_table_remove(world->conns, conn->key))
		return;
	conn->open = false;
	conn_free_claim(world, conn);
	if (conn->running) {
		conn->running = false;
		result.status = conn->commit_sent ? RUN_LOST_AT_COMMIT : RUN_LOST_BEFORE_COMMIT;
		done.run.result = &result;
		deliver(world, proxy, &done);
	}
	deliver(world, proxy, &down);
	conn_unref(conn);
}

static void on_reset(world_t *world, void *data)
{
	fake_conn_t *conn = data;

	if (conn->open || conn->claim == NULL)
		conn_lost(world, conn, "connection reset");
	conn_unref(conn);
}

static void run_finish(world_t *world, fake_conn_t *conn, const run_result_t *result)
{
	event_t event = {.kind = EVENT_RUN_DONE, .id = conn->id, .run = {.result = result}};

	conn->running = false;
	deliver(world, conn->proxy, &event);
}

/* A message from a member to the proxy about a run. */
typedef struct reply {
	fake_conn_t *conn;
	run_result_t result;
	bool commit_next; /* the statement succeeded: the link sends the commit now */
} reply_t;

static void run_commit_arrive(world_t *world, void *data);

static void run_reply(world_t *world, void *data)
{
	reply_t *reply = data;
	fake_conn_t *conn = reply->conn;
	int node = member_node(conn->member);

	if (conn->open && conn->running && !is_cut(world, conn->proxy, node)) {
		if (reply->commit_next) {
			conn->commit_sent = true;
			conn->refs++;
			plan(world, world->now + latency(world, conn->proxy, node), node,
			     run_commit_arrive, conn);
		} else {
			run_finish(world, conn, &reply->result);
		}
	}
	g_free(reply->result.rows);
	g_free(reply->result.detail);
	g_free(reply);
	conn_unref(conn);
}

static void send_reply(world_t *world, fake_conn_t *conn, const run_result_t *result,
		       bool commit_next)
{
	reply_t *reply = g_new0(reply_t, 1);
	int node = member_node(conn->member);

	reply->conn = conn;
	reply->result = *result;
	reply->commit_next = commit_next;
	conn->refs++;
	plan(world, world->now + latency(world, node, conn->proxy), conn->proxy, run_reply, reply);
}

static char *rows_of(const char *value)
{
	return value != NULL ? g_strdup_printf("{\"rows\":[[\"%s\"]]}", value)
			     : g_strdup("{\"rows\":[]}");
}

static void run_commit_arrive(world_t *world, void *data)
{
	fake_conn_t *conn = data;
	fake_member_t *member = &world->members[conn->member];
	run_result_t result = {.status = RUN_OK};
	int node = member_node(conn->member);

	if (!is_down(world, node) && !is_cut(world, conn->proxy, node) && !conn->dropped) {
		if (member->primary) {
			for (guint i = 0; i < conn->tx->len; i++) {
				log_entry_t *e = conn->tx->pdata[i];

				append(world, conn->member,
				       entry_new(member->sealed, e->key, e->value, e->request_id));
			}
			result.rows = rows_of(NULL);
		} else {
			result.status = RUN_NOT_PRIMARY;
			result.detail = g_strdup("read only");
		}
		g_ptr_array_set_size(conn->tx, 0);
		result.after = report_of(member);
		send_reply(world, conn, &result, false);
	}
	conn_unref(conn);
}

static bool id_is_locked(world_t *world, const fake_conn_t *conn, const char *id)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, world->conns);
	while (id != NULL && g_hash_table_iter_next(&iter, NULL, &value)) {
		const fake_conn_t *other = value;

		if (other != conn && other->member == conn->member &&
		    find_request(other->tx, id) != NULL)
			return true;
	}
	return false;
}

static void run_serve(world_t *world, fake_conn_t *conn)
{
	fake_member_t *member = &world->members[conn->member];
	const query_t *query = conn->query;
	const char *value = query->params;
	run_result_t result = {
		.status = RUN_OK, .before = conn->before, .after = report_of(member)};
	const log_entry_t *earlier = member_request(member, query->request_id);
	bool writes = conn->kind == RUN_WRITE || (conn->kind == RUN_STATEMENT && value != NULL);

	if (writes && !member->primary) {
		result.status = RUN_NOT_PRIMARY;
		result.detail = g_strdup("read only");
	} else if (earlier != NULL && (conn->kind == RUN_WRITE || conn->kind == RUN_COMMIT)) {
		result.repeated = true;
		result.rows = rows_of(NULL);
		g_ptr_array_set_size(conn->tx, 0);
	} else if (writes) {
		g_ptr_array_add(conn->tx,
				entry_new(0, query->text, value,
					  conn->kind == RUN_WRITE ? query->request_id : NULL));
	} else if (conn->kind == RUN_COMMIT) {
		if (query->request_id != NULL)
			g_ptr_array_add(conn->tx, entry_new(0, NULL, NULL, query->request_id));
	} else if (conn->kind == RUN_ROLLBACK) {
		g_ptr_array_set_size(conn->tx, 0);
	} else if (query->text != NULL) {
		const char *own = find_value(conn->tx, query->text);

		result.rows = rows_of(own != NULL ? own : member_value(member, query->text));
	}
	if (conn->kind == RUN_COMMIT && !result.repeated) {
		conn->refs++;
		run_commit_arrive(world, conn);
		return;
	}
	send_reply(world, conn, &result,
		   conn->kind == RUN_WRITE && result.status == RUN_OK && !result.repeated);
}

static void run_end(world_t *world, void *data)
{
	fake_conn_t *conn = data;

	if (conn->open && conn->running && !conn->dropped &&
	    !is_down(world, member_node(conn->member))) {
		/* Whoever inserted the id first has it; the other waits, as on a unique index. */
		if (id_is_locked(world, conn, conn->query->request_id)) {
			plan(world, world->now + USEC_PER_MSEC, member_node(conn->member), run_end,
			     conn);
			return;
		}
		run_serve(world, conn);
	}
	conn_unref(conn);
}

/* The member runs so many statements at once; the others wait. Returns when this one starts. */
static usec_t take_slot(world_t *world, int m)
{
	GArray *free_at = world->members[m].free_at;
	guint best = 0;
	usec_t start;

	for (guint i = 1; i < free_at->len; i++) {
		if (g_array_index(free_at, usec_t, i) < g_array_index(free_at, usec_t, best))
			best = i;
	}
	start = MAX(world->now, g_array_index(free_at, usec_t, best));
	g_array_index(free_at, usec_t, best) = start + world->config.service_time;
	return start;
}

static void run_arrive(world_t *world, void *data)
{
	fake_conn_t *conn = data;
	int node = member_node(conn->member);

	if (is_down(world, node) || is_cut(world, conn->proxy, node) || !conn->open ||
	    conn->dropped) {
		conn_unref(conn);
		return;
	}
	/* As a database does with a unique key that another open transaction holds. */
	if (id_is_locked(world, conn, conn->query->request_id)) {
		plan(world, world->now + USEC_PER_MSEC, node, run_arrive, conn);
		return;
	}
	conn->before = report_of(&world->members[conn->member]);
	plan(world, take_slot(world, conn->member) + world->config.service_time, node, run_end,
	     conn);
}

static void do_run(world_t *world, int proxy, action_t *action)
{
	fake_conn_t *conn = conn_find(world, proxy, action->id);
	event_t event = {.kind = EVENT_RUN_DONE, .id = action->id};
	run_result_t result = {.status = RUN_LOST_BEFORE_COMMIT, .detail = "no connection"};

	if (conn == NULL) {
		event.run.result = &result;
		deliver(world, proxy, &event);
		return;
	}
	conn->running = true;
	conn->commit_sent = action->run.kind == RUN_COMMIT;
	conn->kind = action->run.kind;
	talloc_free(conn->query);
	conn->query = query_copy(NULL, action->run.query);
	conn->refs++;
	plan(world, world->now + latency(world, proxy, member_node(conn->member)),
	     member_node(conn->member), run_arrive, conn);
}

/* The member drops a connection of a proxy: its transaction is rolled back, its slot free. */
static void drop_at_member(world_t *world, fake_conn_t *conn)
{
	conn_free_claim(world, conn);
	g_ptr_array_set_size(conn->tx, 0);
	conn->dropped = true;
}

static void tell_reset(world_t *world, fake_conn_t *conn)
{
	conn->refs++;
	plan(world, world->now + latency(world, member_node(conn->member), conn->proxy),
	     conn->proxy, on_reset, conn);
}

static void end_session(world_t *world, fake_conn_t *conn)
{
	drop_at_member(world, conn);
	if (conn->open)
		tell_reset(world, conn);
}

typedef struct connect_step {
	fake_conn_t *conn;
	char *row;
	int limit;
	bool evict;
} connect_step_t;

static bool claim_slot(world_t *world, connect_step_t *step, int *slot)
{
	fake_member_t *member = &world->members[step->conn->member];

	for (*slot = 0; *slot < step->limit; (*slot)++) {
		char *claim = g_strdup_printf("%s/%d", step->row, *slot);

		if (g_hash_table_add(member->claims, g_strdup(claim))) {
			step->conn->claim = claim;
			return true;
		}
		g_free(claim);
	}
	return false;
}

/* End one session at the member that holds a slot of the row. */
static void evict(world_t *world, const connect_step_t *step)
{
	char *prefix = g_strdup_printf("%s/", step->row);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, world->conns);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		fake_conn_t *other = value;

		if (other != step->conn && other->member == step->conn->member &&
		    other->claim != NULL && other->counted &&
		    g_str_has_prefix(other->claim, prefix)) {
			end_session(world, other);
			break;
		}
	}
	g_free(prefix);
}

static void on_connected(world_t *world, void *data)
{
	connect_step_t *step = data;
	fake_conn_t *conn = step->conn;
	int node = member_node(conn->member);
	event_t up = {.kind = EVENT_CONN_UP, .id = conn->id};
	int slot;

	if (is_down(world, node) || is_cut(world, conn->proxy, node)) {
		conn_lost(world, conn, "connect failed");
	} else if (!claim_slot(world, step, &slot) &&
		   !(step->evict && (evict(world, step), claim_slot(world, step, &slot)))) {
		conn_lost(world, conn, "no free slot");
	} else {
		conn->open = true;
		up.conn_up.slot = slot;
		deliver(world, conn->proxy, &up);
	}
	conn_unref(conn);
	g_free(step->row);
	g_free(step);
}

static void do_connect(world_t *world, int proxy, action_t *action)
{
	fake_conn_t *conn = g_new0(fake_conn_t, 1);
	connect_step_t *step = g_new0(connect_step_t, 1);
	int node;

	conn->proxy = proxy;
	conn->id = action->id;
	conn->member = member_at(action->connect.address);
	conn->tx = g_ptr_array_new_with_free_func(entry_free);
	conn->refs = 2;
	conn->key = conn_key(proxy, action->id);
	g_hash_table_insert(world->conns, conn->key, conn);
	node = member_node(conn->member);
	conn->counted = true;
	world->members[conn->member].conns++;
	world->counts.peak_conns =
		MAX(world->counts.peak_conns, world->members[conn->member].conns);
	*step = (connect_step_t){conn, g_strdup(action->connect.row), (int)action->connect.limit,
				 action->connect.evict};
	plan(world, world->now + world->config.connect_time + 2 * latency(world, proxy, node),
	     proxy, on_connected, step);
}

static void do_close(world_t *world, int proxy, action_t *action)
{
	fake_conn_t *conn = conn_find(world, proxy, action->id);

	if (conn != NULL)
		conn_lost(world, conn, "closed by this proxy");
}

/* --- messages between proxies --- */

typedef struct mail {
	int from;
	int to;
	message_t *message;
} mail_t;

static void mail_arrive(world_t *world, void *data)
{
	mail_t *mail = data;
	char name[24];
	event_t event = {.kind = EVENT_MESSAGE,
			 .message = {.peer = name, .message = mail->message}};

	snprintf(name, sizeof(name), "p%d", mail->from);
	if (!is_down(world, mail->to) && !is_cut(world, mail->from, mail->to))
		deliver(world, mail->to, &event);
	talloc_free(mail->message);
	g_free(mail);
}

static void do_send(world_t *world, int proxy, action_t *action)
{
	mail_t *mail = g_new0(mail_t, 1);
	int to = atoi(action->send.peer + 1);
	event_t unsent = {.kind = EVENT_UNSENT, .id = action->id};

	world->counts.messages++;
	if (world->dead[to] && !world->vanished[to]) {
		g_free(mail);
		if (action->send.message->kind == MESSAGE_EXECUTE)
			deliver(world, proxy, &unsent);
		return;
	}
	*mail = (mail_t){proxy, to, message_copy(NULL, action->send.message)};
	plan(world, MAX(world->now + latency(world, proxy, to), world->stalled[proxy][to]), to,
	     mail_arrive, mail);
}

/* --- the store --- */

typedef struct store_call {
	int proxy;
	action_t *action;
	store_status_t status;
} store_call_t;

static gint compare_text(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

typedef struct gather {
	GArray *out;
	uint64_t since;
} gather_t;

static gboolean gather_item(gpointer key, gpointer value, gpointer data)
{
	gather_t *gather = data;
	const store_item_t *item = value;
	table_entry_t entry = {.key = key, .value = item->value, .version = item->version};

	if (item->version > gather->since)
		g_array_append_val(gather->out, entry);
	return FALSE;
}

static bool edit_was_taken(const world_t *world, const char *edit_id)
{
	for (guint i = 0; i < world->store_edits->len; i++) {
		if (g_strcmp0(world->store_edits->pdata[i], edit_id) == 0)
			return true;
	}
	return false;
}

static void tell_table(world_t *world, int proxy, event_t *event, uint64_t since)
{
	gather_t gather = {g_array_new(FALSE, FALSE, sizeof(table_entry_t)), since};

	g_tree_foreach(world->store, gather_item, &gather);
	event->store.entries = (table_entry_t *)gather.out->data;
	event->store.entry_count = gather.out->len;
	event->store.table_version = world->store_version;
	event->store.head_revision = (int64_t)world->store_version;
	deliver(world, proxy, event);
	g_array_free(gather.out, TRUE);
}

static bool store_reachable(const world_t *world, int proxy)
{
	return !is_down(world, WORLD_STORE) && !is_cut(world, proxy, WORLD_STORE);
}

static void store_answer(world_t *world, void *data)
{
	store_call_t *call = data;
	const action_t *action = call->action;
	event_t event = {
		.kind = EVENT_STORE_LOADED, .id = action->id, .store = {.status = call->status}};
	uint64_t since;

	if (action->kind == ACTION_STORE_LOAD) {
		since = action->load.table_version;
	} else {
		event.kind = EVENT_STORE_DONE;
		since = action->commit.table_version - 1;
		event.store.edit_found = edit_was_taken(world, action->commit.edit_id);
	}
	tell_table(world, call->proxy, &event, since);
	talloc_free(call->action);
	g_free(call);
}

static void item_free(gpointer ptr)
{
	store_item_t *item = ptr;

	g_free(item->value);
	g_free(item);
}

static void store_put(world_t *world, const char *key, const char *value)
{
	store_item_t *item = g_new0(store_item_t, 1);

	item->value = g_strdup(value);
	item->version = world->store_version;
	g_tree_replace(world->store, g_strdup(key), item);
}

static void on_watch_event(world_t *world, void *data)
{
	int proxy = GPOINTER_TO_INT(data);
	event_t event = {.kind = EVENT_STORE_LOADED, .store = {.status = STORE_OK}};

	if (store_reachable(world, proxy))
		tell_table(world, proxy, &event, world->store_version - 1);
}

static void store_commit(world_t *world, const action_t *action)
{
	world->store_version++;
	g_ptr_array_add(world->store_edits, g_strdup(action->commit.edit_id));
	for (size_t i = 0; i < action->commit.entry_count; i++)
		store_put(world, action->commit.entries[i].key, action->commit.entries[i].value);
	for (int i = 0; i < world->config.proxies; i++)
		plan(world, world->now + STORE_LATENCY, i, on_watch_event, GINT_TO_POINTER(i));
}

static void store_arrive(world_t *world, void *data)
{
	store_call_t *call = data;
	const action_t *action = call->action;
	bool lost = false;

	if (!store_reachable(world, call->proxy)) {
		call->status = STORE_FAILED;
	} else if (action->kind == ACTION_STORE_COMMIT) {
		if (action->commit.head_revision == (int64_t)world->store_version)
			store_commit(world, action);
		else
			call->status = STORE_CONFLICT;
		lost = world->lose_answers > 0;
		world->lose_answers -= lost;
	}
	if (lost)
		call->status = STORE_FAILED;
	plan(world,
	     world->now + (call->status == STORE_FAILED ? 500 * USEC_PER_MSEC : STORE_LATENCY),
	     call->proxy, store_answer, call);
}

static void do_store(world_t *world, int proxy, action_t *action)
{
	store_call_t *call = g_new0(store_call_t, 1);

	world->counts.store_calls++;
	call->proxy = proxy;
	call->action = action;
	plan(world, world->now + STORE_LATENCY, WORLD_STORE, store_arrive, call);
}

static void on_vms(world_t *world, void *data)
{
	int proxy = GPOINTER_TO_INT(data);
	vm_t vms[WORLD_NODES] = {0};
	event_t event = {.kind = EVENT_VMS, .vms = {.status = STORE_OK, .vms = vms}};
	char *scratch = talloc_strdup(NULL, "");

	if (!store_reachable(world, proxy))
		event.vms.status = STORE_FAILED;
	for (int i = 0; i < WORLD_STORE; i++) {
		bool backend = i >= WORLD_MAX_PROXIES;
		int number = backend ? i - WORLD_MAX_PROXIES : i;
		vm_t *vm = &vms[event.vms.count];

		if (number >= (backend ? world->config.members : world->config.proxies))
			continue;
		vm->name = talloc_asprintf(scratch, "%c%d", backend ? 'm' : 'p', number);
		vm->zone = talloc_asprintf(scratch, "z%d", zone_of(world, i));
		vm->address = talloc_asprintf(scratch, "%s:%d", backend ? "m" : "p", number);
		vm->backend = backend;
		vm->leaving = world->leaving[i];
		event.vms.count++;
	}
	deliver(world, proxy, &event);
	talloc_free(scratch);
}

/* --- what callers and operators are told --- */

static void told_free(gpointer ptr)
{
	told_t *told = ptr;

	g_free(told->name);
	g_free(told->key);
	g_free(told->written);
	g_free(told->value);
	g_free(told->member);
	g_free(told->token);
	g_free(told->tx);
	g_free(told);
}

static char *value_in(const char *rows)
{
	json_t *whole = rows != NULL ? json_loads(rows, 0, NULL) : NULL;
	const json_t *row = json_array_get(json_object_get(whole, "rows"), 0);
	char *value = g_strdup(json_string_value(json_array_get(row, 0)));

	json_decref(whole);
	return value;
}

static void violate(world_t *world, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

static void violate(world_t *world, const char *fmt, ...)
{
	va_list ap;

	g_string_append_printf(world->violations, "%.3f ", (double)world->now / 1000.0);
	va_start(ap, fmt);
	g_string_append_vprintf(world->violations, fmt, ap);
	va_end(ap);
	g_string_append_c(world->violations, '\n');
}

static void note_acknowledged(world_t *world, const told_t *told)
{
	g_hash_table_replace(world->acked, g_strdup(told->key), g_strdup(told->written));
}

/* The member's share of reads, for what was served by whom. */
static void count_read(world_t *world, const told_t *told)
{
	if (told->outcome != OUTCOME_DONE || told->written != NULL || told->member == NULL)
		return;
	if (member_at(told->member) == world_primary(world))
		world->counts.reads_primary++;
	else
		world->counts.reads_replica++;
}

static void do_answer(world_t *world, int proxy, action_t *action)
{
	char *key = conn_key(proxy, action->id);
	const char *name = g_hash_table_lookup(world->callers, key);
	told_t *told = g_hash_table_lookup(world->told, name);
	const answer_t *answer = action->answer.answer;

	g_free(key);
	if (told->answered)
		violate(world, "%s was answered twice", name);
	told->answered = true;
	told->outcome = answer->outcome;
	told->refusal = answer->refusal;
	told->at = world->now;
	told->age = answer->age;
	told->retry_after = answer->retry_after;
	told->repeated = answer->repeated;
	told->value = value_in(answer->rows);
	told->member = g_strdup(answer->member);
	told->token = g_strdup(action->answer.token);
	told->tx = g_strdup(answer->tx);
	say(world, "p%d answer %s %s%s%s%s%s%s%s", proxy, name, outcome_name(answer->outcome),
	    answer->refusal != REFUSAL_NONE ? " " : "",
	    answer->refusal != REFUSAL_NONE ? refusal_name(answer->refusal) : "",
	    told->value != NULL ? " value=" : "", told->value != NULL ? told->value : "",
	    told->member != NULL ? " member=" : "", told->member != NULL ? told->member : "");
	count_read(world, told);
	if (told->outcome == OUTCOME_DONE && told->written != NULL)
		note_acknowledged(world, told);
}

static void do_edit_done(world_t *world, int proxy, action_t *action)
{
	static const char *const names[] = {"accepted", "refused", "unknown"};
	char *key = conn_key(proxy, action->id);
	const char *name = g_hash_table_lookup(world->edit_ids, key);

	say(world, "p%d edit %s %s version=%llu: %s", proxy, name, names[action->edit.status],
	    (unsigned long long)action->edit.table_version, action->edit.text);
	g_hash_table_replace(world->edits, g_strdup(name), g_strdup(names[action->edit.status]));
	g_free(key);
}

/* --- cores --- */

static void describe_order(world_t *world, int proxy, const order_action_t *order)
{
	if (order->kind == ORDER_REPORT)
		return;
	say(world, "p%d order %s %s term=%llu%s%s", proxy, order_kind_name(order->kind),
	    order->member, (unsigned long long)order->term, order->target ? " target=" : "",
	    order->target ? order->target : "");
}

static void describe_run(world_t *world, int proxy, const run_action_t *run)
{
	const char *text = run->query->text;

	say(world, "p%d run %s %s%s%s", proxy, run_kind_name(run->kind), run->member,
	    text ? " " : "", text ? text : "");
}

static void describe(world_t *world, int proxy, const action_t *action)
{
	switch (action->kind) {
	case ACTION_NOTE:
		say(world, "p%d note %s", proxy, action->note.text);
		break;
	case ACTION_ORDER:
		describe_order(world, proxy, &action->order);
		break;
	case ACTION_RUN:
		describe_run(world, proxy, &action->run);
		break;
	case ACTION_SEND:
		if (action->send.message->kind != MESSAGE_HEARTBEAT)
			say(world, "p%d send %s to %s", proxy,
			    message_kind_name(action->send.message->kind), action->send.peer);
		break;
	case ACTION_CONNECT:
		say(world, "p%d connect %s %s", proxy, action->connect.member, action->connect.row);
		break;
	case ACTION_ANSWER:
	case ACTION_EDIT_DONE:
	case ACTION_VMS:
	case ACTION_STORE_LOAD:
		break;
	default:
		say(world, "p%d %s", proxy, action_kind_name(action->kind));
		break;
	}
}

/* A process that says it has drained exits soon after. */
static void on_exit_due(world_t *world, void *data)
{
	if (!world->ending)
		world_kill(world, GPOINTER_TO_INT(data));
}

/* Returns true when the action has been kept. */
static bool carry_out(world_t *world, int proxy, action_t *action)
{
	switch (action->kind) {
	case ACTION_ANSWER:
		do_answer(world, proxy, action);
		return false;
	case ACTION_SEND:
		do_send(world, proxy, action);
		return false;
	case ACTION_CONNECT:
		do_connect(world, proxy, action);
		return false;
	case ACTION_CLOSE:
		do_close(world, proxy, action);
		return false;
	case ACTION_RUN:
		do_run(world, proxy, action);
		return false;
	case ACTION_ORDER:
		do_order(world, proxy, action);
		return true;
	case ACTION_STORE_LOAD:
	case ACTION_STORE_COMMIT:
		do_store(world, proxy, action);
		return true;
	case ACTION_VMS:
		world->counts.store_calls++;
		plan(world, world->now + 2 * STORE_LATENCY, proxy, on_vms, GINT_TO_POINTER(proxy));
		return false;
	case ACTION_EDIT_DONE:
		do_edit_done(world, proxy, action);
		return false;
	case ACTION_DRAINED:
		plan(world, world->now + EXIT_TIME, -1, on_exit_due, GINT_TO_POINTER(proxy));
		return false;
	default:
		return false;
	}
}

static void on_tick(world_t *world, void *data)
{
	int proxy = GPOINTER_TO_INT(data);
	event_t event = {.kind = EVENT_TICK};

	world->proxies[proxy].ticking = USEC_NEVER;
	deliver(world, proxy, &event);
}

static void plan_tick(world_t *world, int proxy)
{
	fake_proxy_t *p = &world->proxies[proxy];
	usec_t wake = core_next_wake(p->core);

	if (wake == USEC_NEVER || p->ticking <= wake)
		return;
	p->ticking = wake > world->now ? wake : world->now;
	plan(world, p->ticking, proxy, on_tick, GINT_TO_POINTER(proxy));
}

static void deliver(world_t *world, int proxy, const event_t *event)
{
	core_t *core = world->proxies[proxy].core;
	action_t *action;

	if (is_down(world, proxy))
		return;
	core_handle(core, world->now, event);
	while ((action = core_take_action(core)) != NULL) {
		describe(world, proxy, action);
		if (!carry_out(world, proxy, action))
			talloc_free(action);
	}
	plan_tick(world, proxy);
}

/* --- faults --- */

int world_node(const char *name)
{
	if (strcmp(name, "store") == 0)
		return WORLD_STORE;
	if (name[0] == 'p')
		return atoi(name + 1);
	return name[0] == 'm' ? member_node(atoi(name + 1)) : -1;
}

static void for_conns(world_t *world, int node, void (*call)(world_t *, fake_conn_t *))
{
	GList *all = g_hash_table_get_values(world->conns);

	for (GList *it = all; it != NULL; it = it->next) {
		fake_conn_t *conn = it->data;

		if (member_node(conn->member) == node || conn->proxy == node)
			call(world, conn);
	}
	g_list_free(all);
}

/* The proxy's process is gone: the kernel resets its connections at once. */
static void abandon(world_t *world, fake_conn_t *conn)
{
	conn->open = false;
	drop_at_member(world, conn);
}

/* The proxy has been silent for so long that the servers end its idle sessions. */
static void on_idle_sessions(world_t *world, void *data)
{
	int proxy = GPOINTER_TO_INT(data);

	if (!world->ending && (world->vanished[proxy] || world->frozen[proxy] > world->now))
		for_conns(world, proxy, end_session);
}

static void plan_idle_sessions(world_t *world, int node)
{
	if (node < WORLD_MAX_PROXIES)
		plan(world, world->now + IDLE_SESSION_TIME, -1, on_idle_sessions,
		     GINT_TO_POINTER(node));
}

void world_kill(world_t *world, int node)
{
	say(world, "-- killed %s%d", node < WORLD_MAX_PROXIES ? "p" : "m",
	    node < WORLD_MAX_PROXIES ? node : node - WORLD_MAX_PROXIES);
	world->dead[node] = true;
	for_conns(world, node, node < WORLD_MAX_PROXIES ? abandon : tell_reset);
	for (int i = 0; i < world->config.proxies && node >= WORLD_MAX_PROXIES; i++) {
		char name[24];
		event_t event = {.kind = EVENT_CONTROL_DOWN,
				 .control = {.group = "callout-1", .member = name}};

		snprintf(name, sizeof(name), "m%d", node - WORLD_MAX_PROXIES);
		if (node != WORLD_STORE && !is_cut(world, i, node))
			deliver(world, i, &event);
	}
}

void world_vanish(world_t *world, int node)
{
	say(world, "-- vanished %s%d", node < WORLD_MAX_PROXIES ? "p" : "m",
	    node < WORLD_MAX_PROXIES ? node : node - WORLD_MAX_PROXIES);
	world->vanished[node] = true;
	plan_idle_sessions(world, node);
}

void world_freeze(world_t *world, int node, usec_t for_how_long)
{
	say(world, "-- froze node %d for %.0f ms", node, (double)for_how_long / 1000.0);
	world->frozen[node] = world->now + for_how_long;
	plan_idle_sessions(world, node);
}

void world_cut(world_t *world, int a, int b, bool cut)
{
	say(world, "-- %s %d and %d", cut ? "cut" : "healed", a, b);
	world->cut[a][b] = cut;
	world->cut[b][a] = cut;
}

void world_stall(world_t *world, int a, int b, usec_t for_how_long)
{
	say(world, "-- stalled %d to %d for %.0f ms", a, b, (double)for_how_long / 1000.0);
	world->stalled[a][b] = world->now + for_how_long;
}

void world_lose_answers(world_t *world, int count)
{
	world->lose_answers = count;
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

	deliver(world, node, &event);
}

void world_heal(world_t *world)
{
	memset(world->cut, 0, sizeof(world->cut));
	for (int i = 0; i < WORLD_NODES; i++) {
		bool is_proxy = i < WORLD_MAX_PROXIES;

		if (world->frozen[i] > world->now)
			world->frozen[i] = world->now;
		/* A proxy that died keeps nothing; a member's log is on its disk. */
		if (!is_proxy) {
			world->vanished[i] = false;
			world->dead[i] = false;
		}
	}
}

/* --- requests --- */

void world_request(world_t *world, const world_request_t *request)
{
	uint64_t caller = ++world->next_caller;
	told_t *told = g_new0(told_t, 1);
	query_t query = {
		.verb = request->verb,
		.service = request->tx == NULL ? "dispatch" : NULL,
		.class_name = request->tx == NULL ? (char *)request->class_name : NULL,
		.text = (char *)request->key,
		.params = (char *)request->value,
		.request_id = (char *)request->request_id,
		.tx = (char *)request->tx,
		.repeatable = request->repeatable,
		.resend = request->resend,
		.continued = request->continued,
		.left = request->deadline != 0 ? request->deadline : 2 * USEC_PER_SEC,
	};
	event_t event = {
		.kind = EVENT_QUERY,
		.id = caller,
		.query = {.query = &query, .token = request->token},
	};
	const char *acked =
		request->key != NULL ? g_hash_table_lookup(world->acked, request->key) : NULL;

	told->name = g_strdup(request->name);
	told->key = g_strdup(request->key);
	told->in_tx = request->tx != NULL;
	told->written = g_strdup(request->tx == NULL ? request->value : NULL);
	told->asked = world->now;
	g_hash_table_replace(world->told, g_strdup(request->name), told);
	g_hash_table_replace(world->callers, conn_key(request->proxy, caller),
			     g_strdup(request->name));
	if (g_strcmp0(request->class_name, "assignment") == 0 && acked != NULL)
		g_hash_table_replace(world->floors, g_strdup(request->name), g_strdup(acked));
	if (request->floor != NULL)
		g_hash_table_replace(world->floors, g_strdup(request->name),
				     g_strdup(request->floor));
	say(world, "p%d query %s %s %s%s%s", request->proxy, request->name,
	    request->class_name != NULL ? request->class_name : "tx",
	    request->key != NULL ? request->key : "", request->value != NULL ? "=" : "",
	    request->value != NULL ? request->value : "");
	deliver(world, request->proxy, &event);
}

const told_t *world_told(const world_t *world, const char *name)
{
	return g_hash_table_lookup(world->told, name);
}

void world_edit(world_t *world, int proxy, const char *name, const char *key, const char *value,
		uint64_t base_version)
{
	table_entry_t entry = {.key = (char *)key, .value = (char *)value};
	event_t event = {
		.kind = EVENT_EDIT,
		.id = ++world->next_caller,
		.edit = {.edit_id = name,
			 .author = "operator",
			 .base_version = base_version,
			 .entries = &entry,
			 .entry_count = 1},
	};

	g_hash_table_replace(world->edit_ids, conn_key(proxy, event.id), g_strdup(name));
	deliver(world, proxy, &event);
}

const char *world_edit_outcome(const world_t *world, const char *name)
{
	return g_hash_table_lookup(world->edits, name);
}

uint64_t world_table_version(const world_t *world, int proxy)
{
	json_t *table = core_dump_table(world->proxies[proxy].core);
	uint64_t version = (uint64_t)json_integer_value(json_object_get(table, "version"));

	json_decref(table);
	return version;
}

const char *world_timeline(const world_t *world)
{
	return world->timeline->str;
}

int world_primary(const world_t *world)
{
	int best = -1;

	for (int i = 0; i < world->config.members; i++) {
		const fake_member_t *member = &world->members[i];

		if (member->primary && (best < 0 || member->sealed > world->members[best].sealed))
			best = i;
	}
	return best;
}

const char *world_value(const world_t *world, const char *key)
{
	int primary = world_primary(world);

	return primary >= 0 ? find_value(world->members[primary].log, key) : NULL;
}

int world_count_request_id(const world_t *world, const char *request_id)
{
	int primary = world_primary(world);
	int n = 0;

	for (guint i = 0; primary >= 0 && i < world->members[primary].log->len; i++) {
		const log_entry_t *entry = world->members[primary].log->pdata[i];

		n += g_strcmp0(entry->request_id, request_id) == 0;
	}
	return n;
}

void world_clear_marks(world_t *world)
{
	world->marks = (world_marks_t){0};
}

world_marks_t world_marks(const world_t *world)
{
	return world->marks;
}

json_t *world_dump(const world_t *world, int proxy)
{
	return core_dump(world->proxies[proxy].core);
}

world_counts_t world_counts(const world_t *world)
{
	return world->counts;
}

/* Where a value stands in the history that survives; -1 if it does not. */
static int history_index(const world_t *world, const char *key, const char *value)
{
	const GPtrArray *log = world->members[world_primary(world)].log;

	for (guint i = 0; i < log->len; i++) {
		const log_entry_t *entry = log->pdata[i];

		if (g_strcmp0(entry->key, key) == 0 && g_strcmp0(entry->value, value) == 0)
			return (int)i;
	}
	return -1;
}

/* An acknowledged write must be there for good. */
static void check_acknowledged(world_t *world, const told_t *told)
{
	if (told->written != NULL && history_index(world, told->key, told->written) < 0)
		violate(world, "%s was acknowledged, but %s=%s is missing", told->name, told->key,
			told->written);
}

/* What was read must be there for good too, and not before what the reader had to see. */
static void check_read(world_t *world, const told_t *told)
{
	const char *floor = g_hash_table_lookup(world->floors, told->name);
	int floor_index = floor != NULL ? history_index(world, told->key, floor) : -1;
	int index = told->value != NULL ? history_index(world, told->key, told->value) : -1;

	if (told->written != NULL || told->key == NULL)
		return;
	if (told->value != NULL && index < 0)
		violate(world, "%s read %s=%s, which does not survive", told->name, told->key,
			told->value);
	if (index < floor_index)
		violate(world, "%s read %s, older than %s", told->name,
			told->value != NULL ? told->value : "nothing", floor);
}

static void check_done(world_t *world)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, world->told);
	while (world_primary(world) >= 0 && g_hash_table_iter_next(&iter, NULL, &value)) {
		const told_t *told = value;

		if (!told->answered || told->outcome != OUTCOME_DONE || told->in_tx)
			continue;
		check_acknowledged(world, told);
		check_read(world, told);
	}
}

/* A request id stands at most once in the history that survives. */
static void check_request_ids(world_t *world)
{
	int primary = world_primary(world);
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; primary >= 0 && i < world->members[primary].log->len; i++) {
		const log_entry_t *entry = world->members[primary].log->pdata[i];

		if (entry->request_id != NULL && !g_hash_table_add(seen, entry->request_id))
			violate(world, "request %s ran twice", entry->request_id);
	}
	g_hash_table_unref(seen);
}

/* What was said not to have run must not be found. */
static void check_not_run(world_t *world)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, world->told);
	while (world_primary(world) >= 0 && g_hash_table_iter_next(&iter, NULL, &value)) {
		const told_t *told = value;
		const GPtrArray *log = world->members[world_primary(world)].log;

		if (!told->answered || told->outcome != OUTCOME_NOT_RUN || told->written == NULL)
			continue;
		for (guint i = 0; i < log->len; i++) {
			const log_entry_t *entry = log->pdata[i];

			if (g_strcmp0(entry->key, told->key) == 0 &&
			    g_strcmp0(entry->value, told->written) == 0)
				violate(world, "%s was said not to have run, but did", told->name);
		}
	}
}

const char *world_violations(world_t *world)
{
	check_done(world);
	check_request_ids(world);
	check_not_run(world);
	return world->violations->str;
}

/* --- set-up --- */

world_config_t world_config_default(void)
{
	return (world_config_t){
		.proxies = 3,
		.members = 3,
		.zones = 3,
		.zone_latency = 1500,
		.replication_lag = 2 * USEC_PER_MSEC,
		.service_time = 2 * USEC_PER_MSEC,
		.connect_time = 10 * USEC_PER_MSEC,
		.slots = 2,
		.max_conns = 15,
		.row_conns = 3,
		.seed = 1,
		.replica_lean = 100,
		.max_age = USEC_PER_SEC,
		.row_queue = 200,
		.row_timeout = 5 * USEC_PER_SEC,
	};
}

static void put_row(world_t *world, const char *class_name, const char *kind, int weight,
		    const char *more)
{
	const world_config_t *config = &world->config;
	char *key = g_strdup_printf("row/dispatch/%s", class_name);
	char *row = g_strdup_printf("{\"group\":\"callout-1\",\"kind\":\"%s\",\"connections\":%d,"
				    "\"weight\":%d,\"queue\":%d,\"timeout_ms\":%d%s}",
				    kind, config->row_conns, weight, config->row_queue,
				    (int)(config->row_timeout / USEC_PER_MSEC), more);

	store_put(world, key, row);
	g_free(row);
	g_free(key);
}

static void fill_store(world_t *world)
{
	const world_config_t *config = &world->config;
	GString *members = g_string_new("{\"members\":[");
	char *aged;

	for (int i = 0; i < config->members; i++)
		g_string_append_printf(members,
				       "%s{\"name\":\"m%d\",\"zone\":\"z%d\",\"address\":\"m:%d\","
				       "\"slots\":%d,\"connections\":%d}",
				       i > 0 ? "," : "", i, i % config->zones, i, config->slots,
				       config->max_conns);
	g_string_append(members, "]}");
	world->store_version = 1;
	store_put(world, "group/callout-1", members->str);
	g_string_free(members, TRUE);
	put_row(world, "assign", "write", 90, "");
	put_row(world, "assignment", "read", 80, "");
	aged = g_strdup_printf(",\"max_age_ms\":%d,\"replica_lean\":%d",
			       (int)(config->max_age / USEC_PER_MSEC), config->replica_lean);
	put_row(world, "status", "read", 50, aged);
	g_free(aged);
}

static void create_member(world_t *world, int i)
{
	fake_member_t *member = &world->members[i];

	member->sealed = 1;
	member->primary = i == 0;
	member->upstream = i == 0 ? -1 : 0;
	member->log = g_ptr_array_new_with_free_func(entry_free);
	member->claims = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	member->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	member->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	member->free_at = g_array_new(FALSE, TRUE, sizeof(usec_t));
	g_array_set_size(member->free_at, (guint)world->config.slots);
	g_ptr_array_add(member->log, entry_new(1, NULL, NULL, NULL));
	plan(world, 50 * USEC_PER_MSEC, -1, on_catch_up, GINT_TO_POINTER(i));
}

static void on_start(world_t *world, void *data)
{
	on_tick(world, data);
}

static void create_proxy(world_t *world, int i)
{
	char name[24];
	char zone[24];
	char address[24];
	core_config_t config = {
		.name = name,
		.zone = zone,
		.address = address,
		.incarnation = 1,
		.seed = world->config.seed * 1000 + (uint64_t)i,
		.fixed_detection = world->config.fixed_detection,
		.fixed_timeout = 3 * USEC_PER_SEC,
		.equal_shares = world->config.equal_shares,
		.zone_blind = world->config.zone_blind,
		.small_fleet = (size_t)world->config.small_fleet,
		.timings = core_timings_default(),
	};

	snprintf(name, sizeof(name), "p%d", i);
	snprintf(zone, sizeof(zone), "z%d", i % world->config.zones);
	snprintf(address, sizeof(address), "p:%d", i);
	world->proxies[i].core = core_create(NULL, &config);
	world->proxies[i].ticking = USEC_NEVER;
	for (int j = 0; j < world->config.proxies; j++) {
		vm_t vm = {.name = name, .zone = zone, .address = address};

		snprintf(name, sizeof(name), "p%d", j);
		snprintf(zone, sizeof(zone), "z%d", j % world->config.zones);
		snprintf(address, sizeof(address), "p:%d", j);
		core_add_seed(world->proxies[i].core, &vm);
	}
	plan(world, 1000 + random_below(world, 20000), i, on_start, GINT_TO_POINTER(i));
}

world_t *world_create(const world_config_t *config)
{
	world_t *world = g_new0(world_t, 1);

	world->config = *config;
	world->rng = config->seed;
	world->events = g_sequence_new(NULL);
	world->conns = g_hash_table_new(g_str_hash, g_str_equal);
	world->told = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, told_free);
	world->callers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	world->edits = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	world->edit_ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	world->acked = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	world->floors = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	world->store = g_tree_new_full(compare_text, NULL, g_free, item_free);
	world->store_edits = g_ptr_array_new_with_free_func(g_free);
	world->timeline = g_string_new(NULL);
	world->violations = g_string_new(NULL);
	fill_store(world);
	for (int i = 0; i < config->members; i++)
		create_member(world, i);
	for (int i = 0; i < config->proxies; i++)
		create_proxy(world, i);
	return world;
}

/* Everybody is gone: what is still planned only lets go of its memory. */
static void run_out(world_t *world)
{
	world->ending = true;
	world->config.quiet = true;
	memset(world->frozen, 0, sizeof(world->frozen));
	memset(world->vanished, true, sizeof(world->vanished));
	for (int i = 0; i < world->config.proxies; i++)
		for_conns(world, i, abandon);
	world_run(world, USEC_NEVER - 1);
}

static void free_conns(world_t *world)
{
	GList *all = g_hash_table_get_values(world->conns);

	g_hash_table_steal_all(world->conns);
	g_list_free_full(all, (GDestroyNotify)conn_unref);
}

void world_destroy(world_t *world)
{
	run_out(world);
	free_conns(world);
	g_hash_table_unref(world->conns);
	g_sequence_free(world->events);
	for (int i = 0; i < world->config.proxies; i++)
		talloc_free(world->proxies[i].core);
	for (int i = 0; i < world->config.members; i++) {
		g_ptr_array_unref(world->members[i].log);
		g_hash_table_unref(world->members[i].claims);
		g_array_unref(world->members[i].free_at);
		g_hash_table_unref(world->members[i].by_key);
		g_hash_table_unref(world->members[i].by_id);
	}
	g_hash_table_unref(world->told);
	g_hash_table_unref(world->callers);
	g_hash_table_unref(world->edits);
	g_hash_table_unref(world->edit_ids);
	g_hash_table_unref(world->acked);
	g_hash_table_unref(world->floors);
	g_tree_unref(world->store);
	g_ptr_array_unref(world->store_edits);
	g_string_free(world->timeline, TRUE);
	g_string_free(world->violations, TRUE);
	g_free(world);
}
