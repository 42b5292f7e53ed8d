#include "mode.h"

#include <errno.h>
#include <stdio.h>

#include <talloc.h>

#include "deploy.h"

#define LOG_MODULE "main"
#include "log.h"

static deploy_t shared;
static void (*notify_drained)(void);

static void *load_settings(const char *path, usec_t *grace, err_t *err)
{
	platform_conf_t *conf = platform_conf_load(NULL, path, err);

	if (conf == NULL)
		return NULL;
	/* The platform collects standard output. */
	if (mode_apply_log(conf->log_level, conf->log_json, LOG_TO_STDOUT, err) < 0) {
		talloc_free(conf);
		return NULL;
	}
	*grace = (usec_t)(conf->shutdown_grace_s * (double)USEC_PER_SEC);
	return conf;
}

static int reload_settings(const char *path, usec_t *grace, char *effect, size_t len, err_t *err)
{
	platform_conf_t *new_conf = load_settings(path, grace, err);

	if (new_conf == NULL)
		return -EINVAL;
	deploy_set_addresses(&shared, new_conf);
	pooler_set_grace(shared.pooler, *grace);
	snprintf(effect, len,
		 "log.level=%s log.json=%d shutdown.grace_s=%g store.address=%s "
		 "promotion.address=%s",
		 new_conf->log_level, new_conf->log_json, new_conf->shutdown_grace_s,
		 new_conf->store_address, new_conf->promotion_address);
	talloc_free(new_conf);
	return 0;
}

static void on_drained(deploy_t *deploy)
{
	(void)deploy;
	notify_drained();
}

static void *create_context(kernel_t *kernel, const void *settings, void (*drained)(void))
{
	notify_drained = drained;
	shared.env.ops = &shared.ops;
	shared.kernel = kernel;
	shared.conf = settings;
	shared.on_drained = on_drained;
	deploy_set_addresses(&shared, settings);
	return &shared;
}

/* Called after all plug-ins have started, since the pooler's first tick already uses the links. */
static void on_started(void)
{
	pooler_start(shared.pooler);
}

static const char *get_node_name(const void *settings)
{
	return ((const platform_conf_t *)settings)->node_name;
}

const run_mode_t mode_pooler = {
	.family = POOLER_FAMILY,
	.settings = platform_settings,
	.settings_len = &platform_settings_len,
	.load = load_settings,
	.reload = reload_settings,
	.create_context = create_context,
	.on_started = on_started,
	.node_name = get_node_name,
};
