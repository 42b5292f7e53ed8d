/*
 * Connects core, which does no I/O, to the plug-ins that do (the links). A link submits its input
 * as events; core answers with actions, and each action runs in the link that has registered a
 * handler for its kind.
 */
#pragma once

#include "conf.h"
#include "core.h"
#include "plugin.h"

struct adapter;

typedef void (*action_handler_t)(void *data, action_t *action);

/* State that all plug-ins of the process share. */
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

/* Register the handler for a kind of action. The action is freed when the handler returns. */
void adapter_register(adapter_t *adapter, action_kind_t kind, action_handler_t handle, void *data);

/* Pass an event to core, then run the actions that core returns. */
void adapter_submit(adapter_t *adapter, const event_t *event);

static inline adapter_t *adapter_from_kernel(const kernel_t *kernel)
{
	return ((context_t *)kernel->context)->adapter;
}
