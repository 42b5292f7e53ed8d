/*
 * Plug-ins. Each outside party (callers, backend servers, platform, peers,
 * operators) is served by one plug-in that registers itself before main().
 * The kernel starts them in order, drains and destroys them in reverse.
 */
#pragma once

#include <jansson.h>

#include "err.h"
#include "list.h"
#include "loop.h"

struct plugin;

/* What a plug-in finds when it starts. */
typedef struct kernel {
	loop_t loop;
	const void *settings; /* the binary's settings structure */
	void *context;	      /* shared by the binary's plug-ins */
	const char *family;   /* of the plug-ins to start */
	list_t started;	      /* of plugin_t, last started first */
} kernel_t;

typedef struct plugin_ops {
	const char *name;
	const char *family; /* of plug-ins that serve together; NULL: the first one */
	int order;	    /* lower starts earlier */
	int (*start)(struct plugin *plugin, kernel_t *kernel, err_t *err);
	void (*drain)(struct plugin *plugin); /* may be NULL */
	/* See kernel_close_idle(); may be NULL. */
	bool (*close_idle)(struct plugin *plugin);
	json_t *(*dump)(const struct plugin *plugin); /* state for operators; may be NULL */
	void (*destroy)(struct plugin *plugin);
} plugin_ops_t;

typedef struct plugin {
	const plugin_ops_t *ops;
	list_t registered;
	list_t started;
} plugin_t;

#define PLUGIN_REGISTER(plugin)                                                                    \
	__attribute__((constructor)) static void plugin_self_register(void)                        \
	{                                                                                          \
		plugin_register(plugin);                                                           \
	}                                                                                          \
	_Static_assert(1, "swallow the semicolon")

void plugin_register(plugin_t *plugin);

/* family: whose plug-ins are to be started, see plugin_ops_t. */
int kernel_init(kernel_t *kernel, const run_clock_t *clock, const char *family,
		const void *settings, void *context);

/* Start every registered plug-in of the family; on an error those started are destroyed. */
int kernel_start(kernel_t *kernel, err_t *err);

/* Tell every plug-in that was started to begin its graceful shutdown. */
void kernel_drain(kernel_t *kernel);

/*
 * After the drain: close connections on which nothing is left to do, and say
 * whether that is all of them. If not, let the loop turn and ask again; a
 * process that ended without asking would reset connections with requests on
 * them that it has not read yet.
 */
bool kernel_close_idle(kernel_t *kernel);

/* One object, a key a plug-in. The caller owns it. */
json_t *kernel_dump(const kernel_t *kernel);

/* Destroy every plug-in that was started, the last one first. */
void kernel_destroy(kernel_t *kernel);
