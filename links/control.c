/*
 * Control connections: one to each group member that this proxy watches, for reports and for the
 * orders of a takeover. The orders of a connection are sent one at a time. If an order gets no
 * answer before its deadline, the connection is closed and all its orders fail.
 */
#include <string.h>

#include <talloc.h>
#include <uthash.h>

#include "adapter.h"
#include "counter.h"
#include "pgio.h"
#include "sql.h"

#define LOG_MODULE "control"
#include "log.h"

/* A connection without orders for this time is closed: its member is no longer watched. */
#define IDLE_TIMEOUT (10 * USEC_PER_SEC)

#define REPORT_STATEMENT "report"

COUNTER_DEFINE(orders_total, "control_orders_total", COUNTER_SUM,
	       "Orders sent to group members, reports included.");
COUNTER_DEFINE(failed_total, "control_failed_total", COUNTER_SUM, "Orders without an answer.");

struct control;

typedef struct order {
	list_t node;
	uint64_t id;
	order_kind_t kind;
	uint64_t term;
	char *target;
	usec_t deadline;
	bool answered;
	bool accepted;
	report_t report;
} order_t;

typedef struct control_conn {
	pgio_t io;
	struct control *control;
	char *key; /* GROUP/MEMBER */
	char *group;
	char *member;
	char *address;
	UT_hash_handle hh;
	list_t orders; /* order_t; the first one may be in progress */
	bool awaiting_result;
	bool preparing;
	bool open;
	run_timer_t timer;
} control_conn_t;

typedef struct control {
	plugin_t base;
	adapter_t *adapter;
	loop_t *loop;
	const conf_t *conf;
	char *password;
	control_conn_t *conns;
	void *conns_ctx; /* parent of the connections */
} control_t;

static void arm_timer(control_conn_t *conn);

static const char *const order_sql[ORDER_COUNT] = {
	[ORDER_REPORT] = SQL_REPORT,
	[ORDER_SEAL] = SQL_SEAL,
	[ORDER_PROMOTE] = SQL_PROMOTE,
	[ORDER_FOLLOW] = SQL_FOLLOW,
};

static const int order_param_count[ORDER_COUNT] = {
	[ORDER_REPORT] = 0,
	[ORDER_SEAL] = 1,
	[ORDER_PROMOTE] = 1,
	[ORDER_FOLLOW] = 2,
};

static order_t *first_order(const control_conn_t *conn)
{
	return list_empty(&conn->orders) ? NULL : list_entry(conn->orders.next, order_t, node);
}

static void finish_order(control_conn_t *conn, order_t *order, order_status_t status)
{
	event_t event = {
		.kind = EVENT_ORDER_DONE,
		.id = order->id,
		.order = {.group = conn->group,
			  .member = conn->member,
			  .status = status,
			  .report = order->report},
	};

	if (status == ORDER_TIMED_OUT || status == ORDER_UNREACHABLE)
		counter_add(&failed_total, 1);
	list_del(&order->node);
	adapter_submit(conn->control->adapter, &event);
	talloc_free(order);
}

static void send_next_order(control_conn_t *conn)
{
	order_t *order = first_order(conn);
	char term[24];
	const char *params[] = {term, order != NULL ? order->target : NULL};

	if (order == NULL || conn->awaiting_result || conn->preparing || !conn->io.ready)
		return;
	conn->awaiting_result = true;
	snprintf(term, sizeof(term), "%llu", (unsigned long long)order->term);
	if (order->kind == ORDER_REPORT)
		pgio_send_prepared(&conn->io, REPORT_STATEMENT);
	else
		pgio_send(&conn->io, order_sql[order->kind], order_param_count[order->kind],
			  params);
	pgio_sync(&conn->io);
}

static void fail_orders(control_conn_t *conn, order_status_t status)
{
	order_t *order;

	while ((order = first_order(conn)) != NULL)
		finish_order(conn, order, status);
}

static void close_conn(control_conn_t *conn, order_status_t status)
{
	pgio_close(&conn->io);
	conn->awaiting_result = false;
	conn->preparing = false;
	conn->open = false;
	fail_orders(conn, status);
}

static void on_timer(run_timer_t *timer, usec_t now)
{
	control_conn_t *conn = list_entry(timer, control_conn_t, timer);
	const order_t *order = first_order(conn);

	/* Without an order, the timer is the idle time-out. */
	if (order == NULL || order->deadline <= now)
		close_conn(conn, ORDER_TIMED_OUT);
	else
		arm_timer(conn);
}

static void arm_timer(control_conn_t *conn)
{
	const order_t *order = first_order(conn);
	usec_t at = order != NULL ? order->deadline
				  : clock_now(conn->control->loop->clock) + IDLE_TIMEOUT;

	timers_arm(&conn->control->loop->timers, &conn->timer, at, on_timer);
}

/*
 * Prepare the statement for reports, which are most of the traffic: executing a prepared statement
 * sends a third of the bytes.
 */
static void on_ready(pgio_t *io)
{
	control_conn_t *conn = list_entry(io, control_conn_t, io);

	conn->preparing = true;
	pgio_prepare(io, REPORT_STATEMENT, SQL_REPORT);
	pgio_sync(io);
}

static void handle_prepare_end(control_conn_t *conn)
{
	conn->preparing = false;
	send_next_order(conn);
}

static void on_result(pgio_t *io, const PGresult *result)
{
	control_conn_t *conn = list_entry(io, control_conn_t, io);
	order_t *order = first_order(conn);

	if (conn->preparing) {
		if (result == NULL)
			handle_prepare_end(conn);
		return;
	}
	if (order == NULL)
		return;
	if (result != NULL) {
		order->answered = sql_read_report(result, &order->accepted, &order->report) == 0;
		return;
	}
	conn->awaiting_result = false;
	if (!order->answered)
		finish_order(conn, order, ORDER_TIMED_OUT);
	else
		finish_order(conn, order, order->accepted ? ORDER_OK : ORDER_REFUSED);
	arm_timer(conn);
	send_next_order(conn);
}

static void on_lost(pgio_t *io, bool refused, const char *why)
{
	control_conn_t *conn = list_entry(io, control_conn_t, io);
	event_t event = {.kind = EVENT_CONTROL_DOWN,
			 .control = {.group = conn->group, .member = conn->member}};

	LOG_DEBUG("control connection lost group=%s member=%s: %s", conn->group, conn->member, why);
	conn->awaiting_result = false;
	conn->preparing = false;
	conn->open = false;
	fail_orders(conn, refused ? ORDER_UNREACHABLE : ORDER_TIMED_OUT);
	if (!refused)
		adapter_submit(conn->control->adapter, &event);
}

static const pgio_ops_t io_ops = {
	.on_ready = on_ready,
	.on_result = on_result,
	.on_lost = on_lost,
};

static control_conn_t *get_or_create_conn(control_t *self, const action_t *action)
{
	char *key = talloc_asprintf(NULL, "%s/%s", action->order.group, action->order.member);
	control_conn_t *conn;

	HASH_FIND_STR(self->conns, key, conn);
	if (conn != NULL) {
		talloc_free(key);
		return conn;
	}
	conn = talloc_zero(self->conns_ctx, control_conn_t);
	conn->control = self;
	conn->key = talloc_steal(conn, key);
	conn->group = talloc_strdup(conn, action->order.group);
	conn->member = talloc_strdup(conn, action->order.member);
	conn->address = talloc_strdup(conn, action->order.address);
	conn->io.ops = &io_ops;
	conn->io.loop = self->loop;
	list_init(&conn->orders);
	HASH_ADD_KEYPTR(hh, self->conns, conn->key, strlen(conn->key), conn);
	return conn;
}

static void update_address(control_conn_t *conn, const char *address)
{
	if (strcmp(conn->address, address) == 0)
		return;
	close_conn(conn, ORDER_TIMED_OUT);
	talloc_free(conn->address);
	conn->address = talloc_strdup(conn, address);
}

static void on_order(void *data, action_t *action)
{
	control_t *self = data;
	control_conn_t *conn = get_or_create_conn(self, action);
	order_t *order = talloc_zero(conn, order_t);

	counter_add(&orders_total, 1);
	update_address(conn, action->order.address);
	order->id = action->id;
	order->kind = action->order.kind;
	order->term = action->order.term;
	order->target = talloc_strdup(order, action->order.target);
	order->deadline = clock_now(self->loop->clock) + action->order.timeout;
	list_add_tail(&conn->orders, &order->node);
	if (!conn->open) {
		conn->open = true;
		pgio_connect(&conn->io, self->loop, self->conf, self->password, conn->address);
	}
	arm_timer(conn);
	send_next_order(conn);
}

static int start(plugin_t *plugin, kernel_t *kernel, err_t *err)
{
	control_t *self = (control_t *)plugin;
	int rc;

	self->adapter = adapter_from_kernel(kernel);
	self->loop = &kernel->loop;
	self->conf = kernel->settings;
	self->conns_ctx = talloc_new(NULL);
	rc = conf_read_password(NULL, self->conf, &self->password, err);
	if (rc < 0)
		return rc;
	adapter_register(self->adapter, ACTION_ORDER, on_order, self);
	return 0;
}

static json_t *dump(const plugin_t *plugin)
{
	const control_t *self = (const control_t *)plugin;
	json_t *out = json_object();
	control_conn_t *conn;
	control_conn_t *next;

	HASH_ITER (hh, self->conns, conn, next)
		json_object_set_new(out, conn->key,
				    json_pack("{s:b, s:i}", "connected", conn->io.ready, "orders",
					      (int)list_length(&conn->orders)));
	return out;
}

static void destroy(plugin_t *plugin)
{
	control_t *self = (control_t *)plugin;
	control_conn_t *conn;
	control_conn_t *next;

	HASH_ITER (hh, self->conns, conn, next) {
		timers_cancel(&self->loop->timers, &conn->timer);
		pgio_close(&conn->io);
	}
	HASH_CLEAR(hh, self->conns);
	talloc_free(self->conns_ctx);
	talloc_free(self->password);
}

static const plugin_ops_t ops = {
	.name = "control",
	.order = 21,
	.start = start,
	.dump = dump,
	.destroy = destroy,
};

static control_t instance = {.base = {.ops = &ops}};

PLUGIN_REGISTER(&instance.base);
