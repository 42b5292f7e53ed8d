#include "world_parts.h"

#include <talloc.h>

char *world_conn_key(int proxy, uint64_t id)
{
	return g_strdup_printf("%d:%llu", proxy, (unsigned long long)id);
}

void fake_conn_unref(fake_conn_t *conn)
{
	if (--conn->refs > 0)
		return;
	g_free(conn->claim);
	g_free(conn->key);
	talloc_free(conn->query);
	g_ptr_array_unref(conn->tx);
	g_free(conn);
}

static fake_conn_t *find_conn(world_t *world, int proxy, uint64_t id)
{
	char *key = world_conn_key(proxy, id);
	fake_conn_t *conn = g_hash_table_lookup(world->conns, key);

	g_free(key);
	return conn;
}

static void release_claim(world_t *world, fake_conn_t *conn)
{
	fake_member_t *member = &world->members[conn->member];

	if (conn->claim != NULL)
		g_hash_table_remove(member->claims, conn->claim);
	if (conn->counted)
		member->conns--;
	conn->counted = false;
}

/*
 * The proxy's end is lost: report the result of the run and the loss, as
 * links/runner.c does.
 */
static void close_conn_as_lost(world_t *world, fake_conn_t *conn, const char *why)
{
	event_t done = {.kind = EVENT_RUN_DONE, .id = conn->id};
	event_t down = {.kind = EVENT_CONN_DOWN, .id = conn->id, .conn_down = {.detail = why}};
	run_result_t result = {.detail = (char *)why};
	int proxy = conn->proxy;

	if (!g_hash_table_remove(world->conns, conn->key))
		return;
	conn->open = false;
	release_claim(world, conn);
	if (conn->running) {
		conn->running = false;
		result.status = conn->commit_sent ? RUN_LOST_AT_COMMIT : RUN_LOST_BEFORE_COMMIT;
		done.run.result = &result;
		world_deliver(world, proxy, &done);
	}
	world_deliver(world, proxy, &down);
	fake_conn_unref(conn);
}

static void on_reset(world_t *world, void *data)
{
	fake_conn_t *conn = data;

	if (conn->open || conn->claim == NULL)
		close_conn_as_lost(world, conn, "connection reset");
	fake_conn_unref(conn);
}

static void finish_run(world_t *world, fake_conn_t *conn, const run_result_t *result)
{
	event_t event = {.kind = EVENT_RUN_DONE, .id = conn->id, .run = {.result = result}};

	conn->running = false;
	world_deliver(world, conn->proxy, &event);
}

/* A message from a member to the proxy with the result of a run. */
typedef struct reply {
	fake_conn_t *conn;
	run_result_t result;
	bool commit_next; /* the statement succeeded: the proxy's end sends the commit now */
} reply_t;

static void on_commit_arrive(world_t *world, void *data);

static void on_reply_arrive(world_t *world, void *data)
{
	reply_t *reply = data;
	fake_conn_t *conn = reply->conn;
	int node = world_member_node(conn->member);

	if (conn->open && conn->running && !world_is_cut(world, conn->proxy, node)) {
		if (reply->commit_next) {
			conn->commit_sent = true;
			conn->refs++;
			world_schedule(world, world->now + world_latency(world, conn->proxy, node),
				       node, on_commit_arrive, conn);
		} else {
			finish_run(world, conn, &reply->result);
		}
	}
	g_free(reply->result.rows);
	g_free(reply->result.detail);
	g_free(reply);
	fake_conn_unref(conn);
}

static void send_reply(world_t *world, fake_conn_t *conn, const run_result_t *result,
		       bool commit_next)
{
	reply_t *reply = g_new0(reply_t, 1);
	int node = world_member_node(conn->member);

	reply->conn = conn;
	reply->result = *result;
	reply->commit_next = commit_next;
	conn->refs++;
	world_schedule(world, world->now + world_latency(world, node, conn->proxy), conn->proxy,
		       on_reply_arrive, reply);
}

static char *rows_json(const char *value)
{
	return value != NULL ? g_strdup_printf("{\"rows\":[[\"%s\"]]}", value)
			     : g_strdup("{\"rows\":[]}");
}

static void on_commit_arrive(world_t *world, void *data)
{
	fake_conn_t *conn = data;
	fake_member_t *member = &world->members[conn->member];
	run_result_t result = {.status = RUN_OK};
	int node = world_member_node(conn->member);

	if (!world_is_down(world, node) && !world_is_cut(world, conn->proxy, node) &&
	    !conn->session_ended) {
		if (member->primary) {
			for (guint i = 0; i < conn->tx->len; i++) {
				log_entry_t *e = conn->tx->pdata[i];

				fake_member_append(world, conn->member,
						   log_entry_new(member->sealed, e->key, e->value,
								 e->request_id));
			}
			result.rows = rows_json(NULL);
		} else {
			result.status = RUN_NOT_PRIMARY;
			result.detail = g_strdup("read only");
		}
		g_ptr_array_set_size(conn->tx, 0);
		result.after = fake_member_report(member);
		send_reply(world, conn, &result, false);
	}
	fake_conn_unref(conn);
}

static bool id_is_locked(world_t *world, const fake_conn_t *conn, const char *id)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, world->conns);
	while (id != NULL && g_hash_table_iter_next(&iter, NULL, &value)) {
		const fake_conn_t *other = value;

		if (other != conn && other->member == conn->member &&
		    log_find_request(other->tx, id) != NULL)
			return true;
	}
	return false;
}

static void execute_run(world_t *world, fake_conn_t *conn)
{
	fake_member_t *member = &world->members[conn->member];
	const query_t *query = conn->query;
	const char *value = query->params;
	run_result_t result = {
		.status = RUN_OK, .before = conn->before, .after = fake_member_report(member)};
	const log_entry_t *earlier = fake_member_request(member, query->request_id);
	bool writes = conn->kind == RUN_WRITE || (conn->kind == RUN_STATEMENT && value != NULL);

	if (writes && !member->primary) {
		result.status = RUN_NOT_PRIMARY;
		result.detail = g_strdup("read only");
	} else if (earlier != NULL && (conn->kind == RUN_WRITE || conn->kind == RUN_COMMIT)) {
		result.repeated = true;
		result.rows = rows_json(NULL);
		g_ptr_array_set_size(conn->tx, 0);
	} else if (writes) {
		g_ptr_array_add(conn->tx,
				log_entry_new(0, query->text, value,
					      conn->kind == RUN_WRITE ? query->request_id : NULL));
	} else if (conn->kind == RUN_COMMIT) {
		if (query->request_id != NULL)
			g_ptr_array_add(conn->tx, log_entry_new(0, NULL, NULL, query->request_id));
	} else if (conn->kind == RUN_ROLLBACK) {
		g_ptr_array_set_size(conn->tx, 0);
	} else if (query->text != NULL) {
		const char *own = log_find_value(conn->tx, query->text);

		result.rows = rows_json(own != NULL ? own : fake_member_value(member, query->text));
	}
	if (conn->kind == RUN_COMMIT && !result.repeated) {
		conn->refs++;
		on_commit_arrive(world, conn);
		return;
	}
	send_reply(world, conn, &result,
		   conn->kind == RUN_WRITE && result.status == RUN_OK && !result.repeated);
}

static void on_run_end(world_t *world, void *data)
{
	fake_conn_t *conn = data;

	if (conn->open && conn->running && !conn->session_ended &&
	    !world_is_down(world, world_member_node(conn->member))) {
		/*
		 * The first transaction to insert the id locks it; the others wait, as on a
		 * unique index.
		 */
		if (id_is_locked(world, conn, conn->query->request_id)) {
			world_schedule(world, world->now + USEC_PER_MSEC,
				       world_member_node(conn->member), on_run_end, conn);
			return;
		}
		execute_run(world, conn);
	}
	fake_conn_unref(conn);
}

/*
 * A member runs one statement per slot at a time. Reserves a slot and returns when
 * the run starts.
 */
static usec_t reserve_slot(world_t *world, int m)
{
	GArray *free_at = world->members[m].slot_free_at;
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

static void on_run_arrive(world_t *world, void *data)
{
	fake_conn_t *conn = data;
	int node = world_member_node(conn->member);

	if (world_is_down(world, node) || world_is_cut(world, conn->proxy, node) || !conn->open ||
	    conn->session_ended) {
		fake_conn_unref(conn);
		return;
	}
	/* A database blocks on a unique key that another open transaction has inserted. */
	if (id_is_locked(world, conn, conn->query->request_id)) {
		world_schedule(world, world->now + USEC_PER_MSEC, node, on_run_arrive, conn);
		return;
	}
	conn->before = fake_member_report(&world->members[conn->member]);
	world_schedule(world, reserve_slot(world, conn->member) + world->config.service_time, node,
		       on_run_end, conn);
}

void world_start_run(world_t *world, int proxy, action_t *action)
{
	fake_conn_t *conn = find_conn(world, proxy, action->id);
	event_t event = {.kind = EVENT_RUN_DONE, .id = action->id};
	run_result_t result = {.status = RUN_LOST_BEFORE_COMMIT, .detail = "no connection"};

	if (conn == NULL) {
		event.run.result = &result;
		world_deliver(world, proxy, &event);
		return;
	}
	conn->running = true;
	conn->commit_sent = action->run.kind == RUN_COMMIT;
	conn->kind = action->run.kind;
	talloc_free(conn->query);
	conn->query = query_copy(NULL, action->run.query);
	conn->refs++;
	world_schedule(world,
		       world->now + world_latency(world, proxy, world_member_node(conn->member)),
		       world_member_node(conn->member), on_run_arrive, conn);
}

/* The member ends the session of a connection: rolls back its transaction and frees its slot. */
void fake_conn_drop(world_t *world, fake_conn_t *conn)
{
	release_claim(world, conn);
	g_ptr_array_set_size(conn->tx, 0);
	conn->session_ended = true;
}

void fake_conn_send_reset(world_t *world, fake_conn_t *conn)
{
	conn->refs++;
	world_schedule(world,
		       world->now +
			       world_latency(world, world_member_node(conn->member), conn->proxy),
		       conn->proxy, on_reset, conn);
}

void fake_conn_end_session(world_t *world, fake_conn_t *conn)
{
	fake_conn_drop(world, conn);
	if (conn->open)
		fake_conn_send_reset(world, conn);
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
			fake_conn_end_session(world, other);
			break;
		}
	}
	g_free(prefix);
}

static void on_connected(world_t *world, void *data)
{
	connect_step_t *step = data;
	fake_conn_t *conn = step->conn;
	int node = world_member_node(conn->member);
	event_t up = {.kind = EVENT_CONN_UP, .id = conn->id};
	int slot;

	if (world_is_down(world, node) || world_is_cut(world, conn->proxy, node)) {
		close_conn_as_lost(world, conn, "connect failed");
	} else if (!claim_slot(world, step, &slot) &&
		   !(step->evict && (evict(world, step), claim_slot(world, step, &slot)))) {
		close_conn_as_lost(world, conn, "no free slot");
	} else {
		conn->open = true;
		up.conn_up.slot = slot;
		world_deliver(world, conn->proxy, &up);
	}
	fake_conn_unref(conn);
	g_free(step->row);
	g_free(step);
}

void world_start_connect(world_t *world, int proxy, action_t *action)
{
	fake_conn_t *conn = g_new0(fake_conn_t, 1);
	connect_step_t *step = g_new0(connect_step_t, 1);
	int node;

	conn->proxy = proxy;
	conn->id = action->id;
	conn->member = fake_member_at(action->connect.address);
	conn->tx = g_ptr_array_new_with_free_func(log_entry_free);
	conn->refs = 2;
	conn->key = world_conn_key(proxy, action->id);
	g_hash_table_insert(world->conns, conn->key, conn);
	node = world_member_node(conn->member);
	conn->counted = true;
	world->members[conn->member].conns++;
	world->counts.peak_conns =
		MAX(world->counts.peak_conns, world->members[conn->member].conns);
	*step = (connect_step_t){conn, g_strdup(action->connect.row), (int)action->connect.limit,
				 action->connect.evict};
	world_schedule(world,
		       world->now + world->config.connect_time +
			       2 * world_latency(world, proxy, node),
		       proxy, on_connected, step);
}

void world_close_conn(world_t *world, int proxy, action_t *action)
{
	fake_conn_t *conn = find_conn(world, proxy, action->id);

	if (conn != NULL)
		close_conn_as_lost(world, conn, "closed by this proxy");
}
