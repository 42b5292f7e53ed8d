#include "adapter.h"

#include <errno.h>
#include <string.h>
#include <time.h>

#include <sodium.h>
#include <talloc.h>

#define LOG_MODULE "adapter"
#include "counter.h"
#include "log.h"

COUNTER_DEFINE(events_total, "events_total", COUNTER_SUM, "Events submitted to core.");
COUNTER_DEFINE(actions_total, "actions_total", COUNTER_SUM, "Actions returned by core.");
COUNTER_DEFINE(warnings_total, "notes_warning_total", COUNTER_SUM,
	       "Decisions logged as warnings: takeovers, lost primaries, pauses.");

typedef struct adapter_plugin {
	plugin_t base;
	adapter_t adapter;
	context_t *context;
} adapter_plugin_t;

void adapter_register(adapter_t *adapter, action_kind_t kind, action_handler_t handle, void *data)
{
	adapter->handlers[kind].handle = handle;
	adapter->handlers[kind].data = data;
}

static void on_timer(run_timer_t *timer, usec_t now)
{
	adapter_t *adapter = list_entry(timer, adapter_t, timer);
	event_t event = {.kind = EVENT_TICK};

	(void)now;
	adapter_submit(adapter, &event);
}

static void run_actions(adapter_t *adapter)
{
	action_t *action;

	while ((action = core_pop_action(adapter->core)) != NULL) {
		counter_add(&actions_total, 1);
		if (adapter->handlers[action->kind].handle != NULL)
			adapter->handlers[action->kind].handle(adapter->handlers[action->kind].data,
							       action);
		talloc_free(action);
	}
}

void adapter_submit(adapter_t *adapter, const event_t *event)
{
	counter_add(&events_total, 1);
	core_handle(adapter->core, clock_now(adapter->loop->clock), event);
	/* A handler may submit events itself; only the outermost call runs the actions. */
	if (adapter->running_actions)
		return;
	adapter->running_actions = true;
	run_actions(adapter);
	adapter->running_actions = false;
	timers_arm(&adapter->loop->timers, &adapter->timer, core_next_tick(adapter->core),
		   on_timer);
}

static void on_log_action(void *data, action_t *action)
{
	(void)data;
	if (action->log.warning) {
		counter_add(&warnings_total, 1);
		LOG_WARNING("%s", action->log.text);
	} else {
		LOG_INFORM("%s", action->log.text);
	}
}

static void on_drained(void *data, action_t *action)
{
	context_t *context = data;

	(void)action;
	context->on_drained(context);
}

static uint64_t wall_clock_msec(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static int read_session_key(const conf_t *conf, unsigned char *key, err_t *err)
{
	char *hex = conf_read_secret(NULL, conf->session_key_file, err);
	size_t len = 0;
	int rc;

	if (hex == NULL)
		return -ENOENT;
	rc = sodium_hex2bin(key, SESSION_KEY_BYTES, hex, strlen(hex), NULL, &len, NULL);
	talloc_free(hex);
	if (rc != 0 || len != SESSION_KEY_BYTES)
		return err_set(err, -EINVAL, "read session key", conf->session_key_file,
			       "expected %d hexadecimal digits", 2 * SESSION_KEY_BYTES);
	return 0;
}

static int add_seed(core_t *core, const char *text, err_t *err)
{
	char name[64];
	char zone[64];
	char address[64];
	vm_t vm = {.name = name, .zone = zone, .address = address};

	if (sscanf(text, "%63[^,],%63[^,],%63[^,]", name, zone, address) != 3)
		return err_set(err, -EINVAL, "read settings", text,
			       "peers.seeds: expected NAME,ZONE,IP:PORT");
	core_add_configured_proxy(core, &vm);
	return 0;
}

static core_config_t make_config(const conf_t *conf)
{
	core_config_t config = {
		.name = conf->node_name,
		.zone = conf->node_zone,
		.address = conf->peers_listen,
		/*
		 * The wall clock only orders the incarnations of one proxy; it is never compared
		 * with the clock of another VM.
		 */
		.incarnation = wall_clock_msec(),
		.seed = wall_clock_msec() ^ (uint64_t)(uintptr_t)conf,
		.fixed_detection = conf->failover_fixed,
		.fixed_timeout = (usec_t)conf->failover_fixed_timeout_ms * USEC_PER_MSEC,
		.timings = core_timings_default(),
	};

	config.timings.poll_interval = (usec_t)conf->failover_poll_ms * USEC_PER_MSEC;
	config.timings.detect_floor = (usec_t)conf->failover_detect_floor_ms * USEC_PER_MSEC;
	config.timings.stall_after = (usec_t)conf->failover_stall_ms * USEC_PER_MSEC;
	config.timings.table_max_age = (usec_t)conf->table_stale_ms * USEC_PER_MSEC;
	return config;
}

static int start(plugin_t *plugin, kernel_t *kernel, err_t *err)
{
	adapter_plugin_t *self = (adapter_plugin_t *)plugin;
	context_t *context = kernel->context;
	core_config_t config = make_config(context->conf);
	int rc = read_session_key(context->conf, config.token_key, err);

	if (rc < 0)
		return rc;
	self->context = context;
	self->adapter.loop = &kernel->loop;
	self->adapter.core = core_create(NULL, &config);
	context->adapter = &self->adapter;
	adapter_register(&self->adapter, ACTION_LOG, on_log_action, NULL);
	adapter_register(&self->adapter, ACTION_DRAINED, on_drained, context);
	for (size_t i = 0; i < context->conf->peers_seeds.len; i++) {
		rc = add_seed(self->adapter.core, context->conf->peers_seeds.items[i], err);
		if (rc < 0)
			return rc;
	}
	return 0;
}

static void drain(plugin_t *plugin)
{
	adapter_plugin_t *self = (adapter_plugin_t *)plugin;
	event_t event = {.kind = EVENT_DRAIN};

	adapter_submit(&self->adapter, &event);
}

static json_t *dump(const plugin_t *plugin)
{
	return core_dump(((const adapter_plugin_t *)plugin)->adapter.core);
}

static void destroy(plugin_t *plugin)
{
	adapter_plugin_t *self = (adapter_plugin_t *)plugin;

	timers_cancel(&self->adapter.loop->timers, &self->adapter.timer);
	talloc_free(self->adapter.core);
}

static const plugin_ops_t ops = {
	.name = "core",
	.order = 0,
	.start = start,
	.drain = drain,
	.dump = dump,
	.destroy = destroy,
};

static adapter_plugin_t instance = {.base = {.ops = &ops}};

PLUGIN_REGISTER(&instance.base);
