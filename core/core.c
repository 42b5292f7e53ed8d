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
		.heartbeat = 200 * MSEC,
		.suspect_after = 1000 * MSEC,
		.ack = 250 * MSEC,
		.poll = 100 * MSEC,
		.standby_poll = 500 * MSEC,
		.order_timeout = 300 * MSEC,
		.detect_floor = 100 * MSEC,
		.stagger = 1500 * MSEC,
		.seal_timeout = 300 * MSEC,
		.confirm_poll = 2 * MSEC,
		.stall_after = 500 * MSEC,
		.away_after = 500 * MSEC,
		.table_stale = 3000 * MSEC,
		.tx_idle = 10000 * MSEC,
		.conn_idle = 2000 * MSEC,
		.store_retry = 300 * MSEC,
		.store_check = 1000 * MSEC,
		.vm_poll = 2000 * MSEC,
		.forget_after = 10000 * MSEC,
		.edit_timeout = 4000 * MSEC,
	};
}

action_t *core_act(core_t *core, action_kind_t kind)
{
	action_t *action = talloc_zero(NULL, action_t);

	action->kind = kind;
	list_add_tail(&core->actions, &action->node);
	return action;
}

void core_note(core_t *core, bool warning, const char *fmt, ...)
{
	action_t *action = core_act(core, ACTION_NOTE);
	va_list ap;

	va_start(ap, fmt);
	action->note.text = talloc_vasprintf(action, fmt, ap);
	va_end(ap);
	action->note.warning = warning;
}

uint64_t core_id(core_t *core)
{
	return ++core->next_id;
}

/* splitmix64: small, seeded, and the same on every VM, as golden files need. */
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

	while ((action = core_take_action(core)) != NULL)
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

void core_add_seed(core_t *core, const vm_t *vm)
{
	fleet_add(core->fleet, core->now, vm->name, vm->zone, vm->address, true);
}

action_t *core_take_action(core_t *core)
{
	action_t *action;

	if (list_empty(&core->actions))
		return NULL;
	action = list_entry(core->actions.next, action_t, node);
	list_del(&action->node);
	return action;
}

usec_t core_next_wake(const core_t *core)
{
	return timers_next_due(&core->timers);
}

/*
 * A process can be stopped for a minute and go on unaware: what it believed of
 * others then is old although no timer of its own has fired meanwhile. A big
 * step of the clock voids it all; nobody is judged on what we missed.
 */
static void notice_pause(core_t *core, usec_t now)
{
	group_t *group;
	group_t *next;

	if (core->last_wake != 0 && now - core->last_wake > core->config.timings.away_after) {
		core->pauses++;
		core->awake_since = now;
		core->store_contact = 0;
		core->store_op = 0;
		fleet_forgive(core->fleet);
		HASH_ITER (hh, core->groups, group, next)
			group_forget_health(group);
		router_after_pause(core);
		core_note(core, true, "this process was paused for %llu ms",
			  (unsigned long long)((now - core->last_wake) / MSEC));
	}
	core->last_wake = now;
}

static void start(core_t *core)
{
	core->awake_since = core->now;
	peers_start(core);
	tablesync_start(core);
}

static bool is_idle(const core_t *core)
{
	return HASH_COUNT(core->requests) == 0 && HASH_COUNT(core->txs) == 0;
}

static void drain(core_t *core)
{
	if (core->draining)
		return;
	core->draining = true;
	core_note(core, false, "shutting down: %u requests and %u transactions to finish",
		  HASH_COUNT(core->requests), HASH_COUNT(core->txs));
	fleet_set_leaving(core->fleet, core->fleet->self);
	watch_refresh(core);
	peers_spread(core);
}

static void check_drained(core_t *core)
{
	if (!core->draining || core->drained || !is_idle(core))
		return;
	core->drained = true;
	core_act(core, ACTION_DRAINED);
}

static void handle(core_t *core, const event_t *event)
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
		peers_take(core, event->message.peer, event->message.message);
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
		tablesync_loaded(core, event->id, &event->store);
		break;
	case EVENT_STORE_DONE:
		edit_store_done(core, event->id, &event->store);
		break;
	case EVENT_WATCH_DOWN:
		tablesync_watch_down(core);
		break;
	case EVENT_VMS:
		tablesync_vms(core, &event->vms);
		break;
	case EVENT_EDIT:
		edit_start(core, event->id, &event->edit);
		break;
	case EVENT_DRAIN:
		drain(core);
		break;
	case EVENT_COUNT:
		break;
	}
}

void core_handle(core_t *core, usec_t now, const event_t *event)
{
	bool first = core->now == 0;

	core->now = now;
	notice_pause(core, now);
	if (first)
		start(core);
	handle(core, event);
	timers_expire(&core->timers, now);
	if (core->fleet_epoch != core->fleet->epoch)
		watch_refresh(core);
	check_drained(core);
}
