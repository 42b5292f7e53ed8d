/*
 * What the process serves: requests over HTTP with core behind (links/), or the
 * platform's wire with the pooler behind (platform/). Each brings its settings
 * and the family of its plug-ins.
 */
#pragma once

#include "plugin.h"
#include "settings.h"

typedef struct run_mode {
	const char *family;
	const setting_t *settings;
	const size_t *settings_len;
	/* Read the settings and set up the log; the result is a talloc context, or NULL. */
	void *(*load)(const char *path, usec_t *grace, err_t *err);
	/* Read them again; what is reloadable takes effect and is named in effect. */
	int (*reload)(const char *path, usec_t *grace, char *effect, size_t len, err_t *err);
	/* The context that the plug-ins share. */
	void *(*create_context)(kernel_t *kernel, const void *settings, void (*on_drained)(void));
	/* All plug-ins are there. */
	void (*on_started)(void);
	const char *(*node_name)(const void *settings);
} run_mode_t;

extern const run_mode_t mode_requests;
extern const run_mode_t mode_pooler;

/* Set up the log as the settings say, to target. */
int mode_apply_log(const char *level, bool json, int target, err_t *err);
