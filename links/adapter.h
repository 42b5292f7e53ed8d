/*
 * The bridge between core and the links: a link submits events, and carries out
 * the kinds of action it has registered for.
 */
#pragma once

#include "conf.h"
#include "core.h"
#include "plugin.h"

struct adapter;

typedef void (*action_handler_t)(void *data, action_t *action);

/* What the binary's plug-ins share. */
typedef struct context {
	const conf_t *conf;
	struct adapter *adapter;
	kernel_t *kernel;
	struct platform *platform;
	void (*on_drained)(struct context *context);
} context_t;

typedef struct adapter {
	core_t *core;
	loop_t *loop;
	run_timer_t timer;
	bool running_actions;
	struct {
		action_handler_t handle;
		void *data;
	} handlers[ACTION_COUNT];
} adapter_t;

/* Let handle carry out actions of this kind. It may not keep the action. */
void adapter_register(adapter_t *adapter, action_kind_t kind, action_handler_t handle, void *data);

/* Give core an event, then carry out what it decides. */
void adapter_submit(adapter_t *adapter, const event_t *event);

static inline adapter_t *adapter_from_kernel(const kernel_t *kernel)
{
	return ((context_t *)kernel->context)->adapter;
}
