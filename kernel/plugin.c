#include "plugin.h"

#include <string.h>

#define LOG_MODULE "kernel"
#include "log.h"

/* A plug-in that takes longer to be destroyed is logged. */
#define SLOW_DESTROY (100 * USEC_PER_MSEC)

static list_t registered = {.prev = &registered, .next = &registered};

void plugin_register(plugin_t *plugin)
{
	list_t *pos = &registered;

	list_for_each (it, &registered) {
		if (list_entry(it, plugin_t, registered)->ops->order > plugin->ops->order) {
			pos = it;
			break;
		}
	}
	list_add_before(pos, &plugin->registered);
}

static bool is_in_family(const plugin_t *plugin, const char *family)
{
	if (plugin->ops->family == NULL || family == NULL)
		return plugin->ops->family == family;
	return strcmp(plugin->ops->family, family) == 0;
}

static void set_step(kernel_t *kernel, const char *call, const char *plugin)
{
	atomic_store(&kernel->step.call, call);
	atomic_store(&kernel->step.plugin, plugin);
}

int kernel_init(kernel_t *kernel, const run_clock_t *clock, const char *family,
		const void *settings, void *context)
{
	kernel->family = family;
	kernel->settings = settings;
	kernel->context = context;
	list_init(&kernel->started);
	set_step(kernel, "", "");
	return loop_init(&kernel->loop, clock);
}

int kernel_start(kernel_t *kernel, err_t *err)
{
	list_for_each (it, &registered) {
		plugin_t *plugin = list_entry(it, plugin_t, registered);
		int rc;

		if (!is_in_family(plugin, kernel->family))
			continue;
		rc = plugin->ops->start(plugin, kernel, err);
		if (rc < 0)
			return rc;
		list_add_before(kernel->started.next, &plugin->started);
	}
	return 0;
}

void kernel_drain(kernel_t *kernel)
{
	list_for_each (it, &kernel->started) {
		plugin_t *plugin = list_entry(it, plugin_t, started);

		set_step(kernel, "drain", plugin->ops->name);
		if (plugin->ops->drain != NULL)
			plugin->ops->drain(plugin);
	}
	set_step(kernel, "", "");
}

bool kernel_close_idle(kernel_t *kernel)
{
	bool all_closed = true;

	list_for_each (it, &kernel->started) {
		plugin_t *plugin = list_entry(it, plugin_t, started);

		set_step(kernel, "close_idle", plugin->ops->name);
		if (plugin->ops->close_idle != NULL && !plugin->ops->close_idle(plugin))
			all_closed = false;
	}
	set_step(kernel, "", "");
	return all_closed;
}

json_t *kernel_dump(const kernel_t *kernel)
{
	json_t *out = json_object();

	list_for_each (it, &kernel->started) {
		const plugin_t *plugin = list_entry(it, plugin_t, started);

		if (plugin->ops->dump != NULL)
			json_object_set_new(out, plugin->ops->name, plugin->ops->dump(plugin));
	}
	return out;
}

/* Destroys the plug-in. What it and those before it have logged is written, in case it hangs. */
static void destroy_plugin(kernel_t *kernel, plugin_t *plugin)
{
	usec_t began = clock_now(kernel->loop.clock);
	usec_t took;

	log_flush();
	set_step(kernel, "destroy", plugin->ops->name);
	plugin->ops->destroy(plugin);
	took = clock_now(kernel->loop.clock) - began;
	if (took > SLOW_DESTROY)
		LOG_EVENT(LOG_WARN, "plug-in took long to stop",
			  LOG_STR("plugin", plugin->ops->name),
			  LOG_INT("ms", took / USEC_PER_MSEC));
}

void kernel_destroy(kernel_t *kernel)
{
	while (!list_empty(&kernel->started)) {
		plugin_t *plugin = list_entry(kernel->started.next, plugin_t, started);

		list_del(&plugin->started);
		destroy_plugin(kernel, plugin);
	}
	set_step(kernel, "exit", "");
	loop_destroy(&kernel->loop);
	log_flush();
}
