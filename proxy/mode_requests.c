#include "mode.h"

#include <errno.h>
#include <stdio.h>

#include <talloc.h>

#include "adapter.h"

#define LOG_MODULE "main"
#include "log.h"

static context_t shared;
static void (*tell_drained)(void);

int mode_apply_log(const char *name, bool json, int target, err_t *err)
{
	log_level_t level;

	if (log_level_parse(name, &level) < 0)
		return err_set(err, -EINVAL, "read settings", "log.level",
			       "\"%s\": expected error, warning, info or debug", name);
	log_init(level, json, (log_target_t)target);
	return 0;
}

static void *load(const char *path, usec_t *grace, err_t *err)
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

static int reload(const char *path, usec_t *grace, char *effect, size_t len, err_t *err)
{
	conf_t *fresh = load(path, grace, err);

	if (fresh == NULL)
		return -EINVAL;
	snprintf(effect, len, "log.level=%s log.json=%d shutdown.grace_ms=%lld", fresh->log_level,
		 fresh->log_json, (long long)fresh->shutdown_grace_ms);
	talloc_free(fresh);
	return 0;
}

static void on_drained(context_t *context)
{
	(void)context;
	tell_drained();
}

static void *make_context(kernel_t *kernel, const void *settings, void (*drained)(void))
{
	tell_drained = drained;
	shared.conf = settings;
	shared.kernel = kernel;
	shared.on_drained = on_drained;
	return &shared;
}

static void started(void)
{
	event_t first = {.kind = EVENT_TICK};

	adapter_submit(shared.adapter, &first);
}

static const char *node_name(const void *settings)
{
	return ((const conf_t *)settings)->node_name;
}

const run_mode_t mode_requests = {
	.settings = conf_settings,
	.settings_len = &conf_settings_len,
	.load = load,
	.reload = reload,
	.create_context = make_context,
	.on_started = started,
	.node_name = node_name,
};
