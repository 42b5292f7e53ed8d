#include "world_parts.h"

#include <stdarg.h>
#include <stdlib.h>

#include <talloc.h>

#define EXIT_TIME (100 * USEC_PER_MSEC)

/* --- messages between proxies --- */

typedef struct delivery {
	int from;
	int to;
	message_t *message;
} delivery_t;

static void on_message_arrive(world_t *world, void *data)
{
	delivery_t *delivery = data;
	char name[24];
	event_t event = {.kind = EVENT_MESSAGE,
			 .message = {.peer = name, .message = delivery->message}};

	snprintf(name, sizeof(name), "p%d", delivery->from);
	if (!world_is_down(world, delivery->to) &&
	    !world_is_cut(world, delivery->from, delivery->to))
		world_deliver(world, delivery->to, &event);
	talloc_free(delivery->message);
	g_free(delivery);
}

static void start_send(world_t *world, int proxy, action_t *action)
{
	delivery_t *delivery = g_new0(delivery_t, 1);
	int to = atoi(action->send.peer + 1);
	event_t unsent = {.kind = EVENT_UNSENT, .id = action->id};

	world->counts.messages++;
	if ((world->dead[to] && !world->vanished[to]) ||
	    world->disconnected_until[proxy][to] > world->now) {
		g_free(delivery);
		if (action->send.message->kind == MESSAGE_EXECUTE)
			world_deliver(world, proxy, &unsent);
		return;
	}
	*delivery = (delivery_t){proxy, to, message_copy(NULL, action->send.message)};
	world_schedule(
		world,
		MAX(world->now + world_latency(world, proxy, to), world->delayed_until[proxy][to]),
		to, on_message_arrive, delivery);
}

/* --- results for callers and operators --- */

void result_free(gpointer ptr)
{
	result_t *result = ptr;

	g_free(result->name);
	g_free(result->key);
	g_free(result->written_value);
	g_free(result->value);
	g_free(result->member);
	g_free(result->token);
	g_free(result->tx);
	g_free(result);
}

static char *first_value(const char *rows)
{
	json_t *result = rows != NULL ? json_loads(rows, 0, NULL) : NULL;
	const json_t *row = json_array_get(json_object_get(result, "rows"), 0);
	char *value = g_strdup(json_string_value(json_array_get(row, 0)));

	json_decref(result);
	return value;
}

void world_add_violation(world_t *world, const char *fmt, ...)
{
	va_list ap;

	g_string_append_printf(world->violations, "%.3f ", (double)world->now / 1000.0);
	va_start(ap, fmt);
	g_string_append_vprintf(world->violations, fmt, ap);
	va_end(ap);
	g_string_append_c(world->violations, '\n');
}

static void record_acknowledged(world_t *world, const result_t *result)
{
	g_hash_table_replace(world->acknowledged, g_strdup(result->key),
			     g_strdup(result->written_value));
}

/* Counts reads by the kind of member that served them. */
static void count_read(world_t *world, const result_t *result)
{
	if (result->outcome != OUTCOME_DONE || result->written_value != NULL ||
	    result->member == NULL)
		return;
	if (fake_member_at(result->member) == world_primary(world))
		world->counts.reads_primary++;
	else
		world->counts.reads_replica++;
}

static void record_answer(world_t *world, int proxy, action_t *action)
{
	char *key = world_conn_key(proxy, action->id);
	const char *name = g_hash_table_lookup(world->caller_names, key);
	result_t *result = g_hash_table_lookup(world->results, name);
	const answer_t *answer = action->answer.answer;

	g_free(key);
	if (result->answered)
		world_add_violation(world, "%s was answered twice", name);
	result->answered = true;
	result->outcome = answer->outcome;
	result->refusal = answer->refusal;
	result->answered_at = world->now;
	result->age = answer->age;
	result->retry_after = answer->retry_after;
	result->repeated = answer->repeated;
	result->value = first_value(answer->rows);
	result->member = g_strdup(answer->member);
	result->token = g_strdup(action->answer.token);
	result->tx = g_strdup(answer->tx);
	world_trace(world, "p%d answer %s %s%s%s%s%s%s%s", proxy, name,
		    outcome_name(answer->outcome), answer->refusal != REFUSAL_NONE ? " " : "",
		    answer->refusal != REFUSAL_NONE ? refusal_name(answer->refusal) : "",
		    result->value != NULL ? " value=" : "",
		    result->value != NULL ? result->value : "",
		    result->member != NULL ? " member=" : "",
		    result->member != NULL ? result->member : "");
	count_read(world, result);
	if (result->outcome == OUTCOME_DONE && result->written_value != NULL)
		record_acknowledged(world, result);
}

static void record_edit_outcome(world_t *world, int proxy, action_t *action)
{
	static const char *const names[] = {"accepted", "refused", "unknown"};
	char *key = world_conn_key(proxy, action->id);
	const char *name = g_hash_table_lookup(world->edit_names, key);

	world_trace(world, "p%d edit %s %s version=%llu: %s", proxy, name,
		    names[action->edit.status], (unsigned long long)action->edit.table_version,
		    action->edit.text);
	g_hash_table_replace(world->edit_outcomes, g_strdup(name),
			     g_strdup(names[action->edit.status]));
	g_free(key);
}

/* --- cores --- */

static void trace_order(world_t *world, int proxy, const order_action_t *order)
{
	if (order->kind == ORDER_REPORT)
		return;
	world_trace(world, "p%d order %s %s term=%llu%s%s", proxy, order_kind_name(order->kind),
		    order->member, (unsigned long long)order->term, order->target ? " target=" : "",
		    order->target ? order->target : "");
}

static void trace_run(world_t *world, int proxy, const run_action_t *run)
{
	const char *text = run->query->text;

	world_trace(world, "p%d run %s %s%s%s", proxy, run_kind_name(run->kind), run->member,
		    text ? " " : "", text ? text : "");
}

static void trace_action(world_t *world, int proxy, const action_t *action)
{
	switch (action->kind) {
	case ACTION_LOG:
		world_trace(world, "p%d note %s", proxy, action->log.text);
		break;
	case ACTION_ORDER:
		trace_order(world, proxy, &action->order);
		break;
	case ACTION_RUN:
		trace_run(world, proxy, &action->run);
		break;
	case ACTION_SEND:
		if (action->send.message->kind != MESSAGE_HEARTBEAT)
			world_trace(world, "p%d send %s to %s", proxy,
				    message_kind_name(action->send.message->kind),
				    action->send.peer);
		break;
	case ACTION_CONNECT:
		world_trace(world, "p%d connect %s %s", proxy, action->connect.member,
			    action->connect.row);
		break;
	case ACTION_ANSWER:
	case ACTION_EDIT_DONE:
	case ACTION_VMS:
	case ACTION_STORE_LOAD:
		break;
	default:
		world_trace(world, "p%d %s", proxy, action_kind_name(action->kind));
		break;
	}
}

/* A process that has drained exits soon after. */
static void on_process_exit(world_t *world, void *data)
{
	if (!world->ending)
		world_kill(world, GPOINTER_TO_INT(data));
}

/* Returns true if the callee has taken ownership of the action. */
static bool execute_action(world_t *world, int proxy, action_t *action)
{
	switch (action->kind) {
	case ACTION_ANSWER:
		record_answer(world, proxy, action);
		return false;
	case ACTION_SEND:
		start_send(world, proxy, action);
		return false;
	case ACTION_CONNECT:
		world_start_connect(world, proxy, action);
		return false;
	case ACTION_CLOSE:
		world_close_conn(world, proxy, action);
		return false;
	case ACTION_RUN:
		world_start_run(world, proxy, action);
		return false;
	case ACTION_ORDER:
		world_start_order(world, proxy, action);
		return true;
	case ACTION_STORE_LOAD:
	case ACTION_STORE_COMMIT:
		world_start_store_call(world, proxy, action);
		return true;
	case ACTION_VMS:
		world->counts.store_calls++;
		world_schedule(world, world->now + 2 * STORE_LATENCY, proxy, world_on_list_vms,
			       GINT_TO_POINTER(proxy));
		return false;
	case ACTION_EDIT_DONE:
		record_edit_outcome(world, proxy, action);
		return false;
	case ACTION_DRAINED:
		world_schedule(world, world->now + EXIT_TIME, -1, on_process_exit,
			       GINT_TO_POINTER(proxy));
		return false;
	default:
		return false;
	}
}

void world_on_tick(world_t *world, void *data)
{
	int proxy = GPOINTER_TO_INT(data);
	event_t event = {.kind = EVENT_TICK};

	world->proxies[proxy].next_tick = USEC_NEVER;
	world_deliver(world, proxy, &event);
}

static void schedule_tick(world_t *world, int proxy)
{
	fake_proxy_t *p = &world->proxies[proxy];
	usec_t wake = core_next_tick(p->core);

	if (wake == USEC_NEVER || p->next_tick <= wake)
		return;
	p->next_tick = wake > world->now ? wake : world->now;
	world_schedule(world, p->next_tick, proxy, world_on_tick, GINT_TO_POINTER(proxy));
}

void world_deliver(world_t *world, int proxy, const event_t *event)
{
	core_t *core = world->proxies[proxy].core;
	action_t *action;

	if (world_is_down(world, proxy))
		return;
	core_handle(core, world->now, event);
	while ((action = core_pop_action(core)) != NULL) {
		trace_action(world, proxy, action);
		if (!execute_action(world, proxy, action))
			talloc_free(action);
	}
	schedule_tick(world, proxy);
}
