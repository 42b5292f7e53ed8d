#include "mode.h"

#include <errno.h>
#include <stdio.h>

#include <talloc.h>

#include "adapter.h"

#define LOG_MODULE "main"
#include "log.h"

static context_t shared;
static void (*notify_drained)(void);

int mode_apply_log(const char *level_name, bool json, int target, err_t *err)
{
	log_level_t level;

	if (log_level_parse(level_name, &level) < 0)
		return err_set(err, -EINVAL, "read settings", "log.level",
			       "\"%s\": expected error, warning, info or debug", level_name);
	log_init(level, json, (log_target_t)target);
	return 0;
}

static void *load_settings(const char *path, usec_t *grace, err_t *err)
{
	conf_t *conf = conf_load(NULL, path, err);

	if (conf == NULL)
		return NULL;
	if (mode_apply_log(conf->log_level, conf->log_json, LOG_TO_STDERR, err) < 0) {
		talloc_free(conf);
		return NULL;
	}
	*grace = (usec_t)conf->shutdown_grace_ms * USEC_PER_MSEC;
	return conf;
}

static int reload_settings(const char *path, usec_t *grace, char *effect, size_t len, err_t *err)
{
	conf_t *new_conf = load_settings(path, grace, err);

	if (new_conf == NULL)
		return -EINVAL;
	snprintf(effect, len, "log.level=%s log.json=%d shutdown.grace_ms=%lld",
		 new_conf->log_level, new_conf->log_json, (long long)new_conf->shutdown_grace_ms);
	talloc_free(new_conf);
	return 0;
}

static void on_drained(context_t *context)
{
	(void)context;
	notify_drained();
}

static void *create_context(kernel_t *kernel, const void *settings, void (*drained)(void))
{
	notify_drained = drained;
	shared.conf = settings;
	shared.kernel = kernel;
	shared.on_drained = on_drained;
	return &shared;
}

static void on_started(void)
{
	event_t tick = {.kind = EVENT_TICK};

	adapter_submit(shared.adapter, &tick);
}

static const char *get_node_name(const void *settings)
{
	return ((const conf_t *)settings)->node_name;
}

const run_mode_t mode_requests = {
	.settings = conf_settings,
	.settings_len = &conf_settings_len,
	.load = load_settings,
	.reload = reload_settings,
	.create_context = create_context,
	.on_started = on_started,
	.node_name = get_node_name,
};
