#include "core.h"

#include <stdarg.h>
#include <string.h>

#include <talloc.h>

#include "edit.h"
#include "exec.h"
#include "group.h"
#include "peers.h"
#include "placement.h"
#include "pool.h"
#include "request.h"
#include "router.h"
#include "state.h"
#include "tablesync.h"
#include "watch.h"

#define MSEC USEC_PER_MSEC

core_timings_t core_timings_default(void)
{
	return (core_timings_t){
		.heartbeat_interval = 200 * MSEC,
		.suspect_after = 1000 * MSEC,
		.ack_timeout = 250 * MSEC,
		.poll_interval = 100 * MSEC,
		.standby_poll_interval = 500 * MSEC,
		.order_timeout = 300 * MSEC,
		.detect_floor = 100 * MSEC,
		.stagger = 1500 * MSEC,
		.seal_timeout = 300 * MSEC,
		.confirm_poll_interval = 2 * MSEC,
		.stall_after = 500 * MSEC,
		.pause_threshold = 500 * MSEC,
		.table_max_age = 3000 * MSEC,
		.tx_idle = 10000 * MSEC,
		.conn_idle = 2000 * MSEC,
		.store_retry_interval = 300 * MSEC,
		.store_check_interval = 1000 * MSEC,
		.vm_poll_interval = 2000 * MSEC,
		.forget_after = 10000 * MSEC,
		.edit_timeout = 4000 * MSEC,
	};
}

action_t *core_add_action(core_t *core, action_kind_t kind)
{
	action_t *action = talloc_zero(NULL, action_t);

	action->kind = kind;
	list_add_tail(&core->actions, &action->node);
	return action;
}

void core_log(core_t *core, bool warning, const char *fmt, ...)
{
	action_t *action = core_add_action(core, ACTION_LOG);
	va_list ap;

	va_start(ap, fmt);
	action->log.text = talloc_vasprintf(action, fmt, ap);
	va_end(ap);
	action->log.warning = warning;
}

uint64_t core_next_id(core_t *core)
{
	return ++core->next_id;
}

/* splitmix64: the golden tests need the same sequence on every VM. */
uint64_t core_random(core_t *core, uint64_t limit)
{
	uint64_t z = core->rng += 0x9e3779b97f4a7c15u;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return (z ^ (z >> 31)) % limit;
}

static int core_destructor(core_t *core)
{
	action_t *action;

	while ((action = core_pop_action(core)) != NULL)
		talloc_free(action);
	timers_destroy(&core->timers);
	HASH_CLEAR(hh, core->groups);
	HASH_CLEAR(hh, core->requests);
	HASH_CLEAR(hh, core->conns);
	HASH_CLEAR(hh, core->txs);
	return 0;
}

core_t *core_create(void *parent, const core_config_t *config)
{
	core_t *core = talloc_zero(parent, core_t);

	core->config = *config;
	core->name = talloc_strdup(core, config->name);
	core->rng = config->seed;
	if (core->config.small_fleet == 0)
		core->config.small_fleet = CORE_SMALL_FLEET;
	core->placement = config->equal_shares ? &placement_equal_shares : &placement_home;
	list_init(&core->actions);
	list_init(&core->edits);
	timers_init(&core->timers);
	core->fleet = fleet_create(core, config->name, config->zone, config->address);
	core->fleet->self->incarnation = config->incarnation;
	core->table = table_create(core);
	talloc_set_destructor(core, core_destructor);
	return core;
}

void core_add_configured_proxy(core_t *core, const vm_t *vm)
{
	fleet_add(core->fleet, core->now, vm->name, vm->zone, vm->address, true);
}

action_t *core_pop_action(core_t *core)
{
	action_t *action;

	if (list_empty(&core->actions))
		return NULL;
	action = list_entry(core->actions.next, action_t, node);
	list_del(&action->node);
	return action;
}

usec_t core_next_tick(const core_t *core)
{
	return timers_next_due(&core->timers);
}

/*
 * A process can be stopped for a minute and continue without noticing: its state
 * about peers and members is then outdated although none of its timers has fired.
 * A gap between two events that exceeds pause_threshold invalidates that state, so
 * that no peer or member counts as silent because of the pause.
 */
static void detect_pause(core_t *core, usec_t now)
{
	group_t *group;
	group_t *next;

	if (core->last_event_at != 0 &&
	    now - core->last_event_at > core->config.timings.pause_threshold) {
		core->pauses++;
		core->resumed_at = now;
		core->table_current_at = 0;
		core->load_id = 0;
		fleet_reset_health(core->fleet);
		HASH_ITER (hh, core->groups, group, next)
			group_reset_health(group);
		router_after_pause(core);
		core_log(core, true, "this process was paused for %llu ms",
			 (unsigned long long)((now - core->last_event_at) / MSEC));
	}
	core->last_event_at = now;
}

static void start_timers(core_t *core)
{
	core->resumed_at = core->now;
	peers_start(core);
	tablesync_start(core);
}

static bool has_no_work(const core_t *core)
{
	return HASH_COUNT(core->requests) == 0 && HASH_COUNT(core->txs) == 0;
}

static void start_draining(core_t *core)
{
	if (core->draining)
		return;
	core->draining = true;
	core_log(core, false, "shutting down: %u requests and %u transactions to finish",
		 HASH_COUNT(core->requests), HASH_COUNT(core->txs));
	fleet_set_leaving(core->fleet, core->fleet->self);
	watch_update_groups(core);
	peers_send_heartbeats(core);
}

static void check_drained(core_t *core)
{
	if (!core->draining || core->drained || !has_no_work(core))
		return;
	core->drained = true;
	core_add_action(core, ACTION_DRAINED);
}

static void dispatch_event(core_t *core, const event_t *event)
{
	switch (event->kind) {
	case EVENT_TICK:
		break;
	case EVENT_QUERY:
		router_query(core, event->id, &event->query);
		break;
	case EVENT_CALLER_GONE:
		request_caller_gone(core, event->id);
		break;
	case EVENT_MESSAGE:
		peers_receive(core, event->message.peer, event->message.message);
		break;
	case EVENT_UNSENT:
		router_unsent(core, event->id);
		break;
	case EVENT_CONN_UP:
		pool_conn_up(core, event->id, &event->conn_up);
		break;
	case EVENT_CONN_DOWN:
		pool_conn_down(core, event->id, &event->conn_down);
		break;
	case EVENT_RUN_DONE:
		exec_run_done(core, event->id, &event->run);
		break;
	case EVENT_ORDER_DONE:
		group_order_done(core, event->id, &event->order);
		break;
	case EVENT_CONTROL_DOWN:
		group_control_down(core, &event->control);
		break;
	case EVENT_STORE_LOADED:
		tablesync_on_load(core, event->id, &event->store);
		break;
	case EVENT_STORE_DONE:
		edit_store_done(core, event->id, &event->store);
		break;
	case EVENT_WATCH_DOWN:
		tablesync_on_watch_down(core);
		break;
	case EVENT_VMS:
		tablesync_on_vms(core, &event->vms);
		break;
	case EVENT_EDIT:
		edit_start(core, event->id, &event->edit);
		break;
	case EVENT_DRAIN:
		start_draining(core);
		break;
	case EVENT_COUNT:
		break;
	}
}

void core_handle(core_t *core, usec_t now, const event_t *event)
{
	bool first = core->now == 0;

	core->now = now;
	detect_pause(core, now);
	if (first)
		start_timers(core);
	dispatch_event(core, event);
	timers_expire(&core->timers, now);
	if (core->fleet_epoch != core->fleet->epoch)
		watch_update_groups(core);
	check_drained(core);
}
