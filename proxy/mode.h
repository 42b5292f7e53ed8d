/*
 * The two modes of the program: requests over HTTP, handled by core (links/), and sessions of the
 * platform's protocol, handled by the pooler (platform/). Each mode has its own settings and its
 * own family of plug-ins.
 */
#pragma once

#include "plugin.h"
#include "settings.h"

typedef struct run_mode {
	const char *family; /* of the plug-ins to start, see plugin_ops_t */
	const setting_t *settings;
	const size_t *settings_len;
	/* Read the settings and set up the log; returns the settings (talloc), or NULL. */
	void *(*load)(const char *path, usec_t *grace, err_t *err);
	/* Read the settings again, apply the reloadable ones and list them in effect. */
	int (*reload)(const char *path, usec_t *grace, char *effect, size_t len, err_t *err);
	/* Set up the context that the plug-ins share. */
	void *(*create_context)(kernel_t *kernel, const void *settings, void (*on_drained)(void));
	/* Called once all plug-ins have started. */
	void (*on_started)(void);
	const char *(*node_name)(const void *settings);
} run_mode_t;

extern const run_mode_t mode_requests;
extern const run_mode_t mode_pooler;

/* Set up the log with the level and the format of the settings; target is a log_target_t. */
int mode_apply_log(const char *level_name, bool json, int target, err_t *err);
