#include "mode.h"

#include <errno.h>
#include <stdio.h>

#include <talloc.h>

#include "deploy.h"

#define LOG_MODULE "main"
#include "log.h"

static deploy_t shared;
static void (*tell_drained)(void);

static void *load(const char *path, usec_t *grace, err_t *err)
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

static int reload(const char *path, usec_t *grace, char *effect, size_t len, err_t *err)
{
	platform_conf_t *fresh = load(path, grace, err);

	if (fresh == NULL)
		return -EINVAL;
	deploy_set_addresses(&shared, fresh);
	pooler_set_grace(shared.pooler, *grace);
	snprintf(effect, len,
		 "log.level=%s log.json=%d shutdown.grace_s=%g store.address=%s "
		 "promotion.address=%s",
		 fresh->log_level, fresh->log_json, fresh->shutdown_grace_s, fresh->store_address,
		 fresh->promotion_address);
	talloc_free(fresh);
	return 0;
}

static void on_drained(deploy_t *deploy)
{
	(void)deploy;
	tell_drained();
}

static void *make_context(kernel_t *kernel, const void *settings, void (*drained)(void))
{
	tell_drained = drained;
	shared.env.ops = &shared.ops;
	shared.kernel = kernel;
	shared.conf = settings;
	shared.on_drained = on_drained;
	deploy_set_addresses(&shared, settings);
	return &shared;
}

/* Its first tick already calls the links. */
static void started(void)
{
	pooler_start(shared.pooler);
}

static const char *node_name(const void *settings)
{
	return ((const platform_conf_t *)settings)->node_name;
}

const run_mode_t mode_pooler = {
	.family = POOLER_FAMILY,
	.settings = platform_settings,
	.settings_len = &platform_settings_len,
	.load = load,
	.reload = reload,
	.create_context = make_context,
	.on_started = started,
	.node_name = node_name,
};
