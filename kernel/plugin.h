/*
 * Plug-ins. Each kind of external party (callers, backend servers, the platform, other proxies,
 * operators) is served by one plug-in, which is registered before main(). The kernel starts the
 * plug-ins in order, and drains and destroys them in the reverse order.
 */
#pragma once

#include <stdatomic.h>

#include <jansson.h>

#include "err.h"
#include "list.h"
#include "loop.h"

struct plugin;

/*
 * Which call of which plug-in is running in a shutdown; another thread may read it. Both are ""
 * between them; the call is "exit" after the last one.
 */
typedef struct kernel_step {
	_Atomic(const char *) call;
	_Atomic(const char *) plugin;
} kernel_step_t;

/* What the plug-ins of a process share. */
typedef struct kernel {
	loop_t loop;
	const void *settings; /* the settings structure of the program */
	void *context;	      /* shared by the program's plug-ins */
	const char *family;   /* of the plug-ins to start; see plugin_ops_t */
	list_t started;	      /* plugin_t, the last started one first */
	kernel_step_t step;
} kernel_t;

typedef struct plugin_ops {
	const char *name;
	const char *family; /* set of plug-ins that a program starts; NULL: the default set */
	int order;	    /* plug-ins with a lower order start earlier */
	int (*start)(struct plugin *plugin, kernel_t *kernel, err_t *err);
	void (*drain)(struct plugin *plugin); /* may be NULL */
	/* Closes idle connections, see kernel_close_idle(); may be NULL. */
	bool (*close_idle)(struct plugin *plugin);
	json_t *(*dump)(const struct plugin *plugin); /* its state, for operators; may be NULL */
	void (*destroy)(struct plugin *plugin);
} plugin_ops_t;

typedef struct plugin {
	const plugin_ops_t *ops;
	list_t registered; /* in the list of all plug-ins */
	list_t started;	   /* in kernel_t.started */
} plugin_t;

/* Registers a plug-in before main(). */
#define PLUGIN_REGISTER(plugin)                                                                    \
	__attribute__((constructor)) static void plugin_self_register(void)                        \
	{                                                                                          \
		plugin_register(plugin);                                                           \
	}                                                                                          \
	_Static_assert(1, "requires a semicolon after the macro")

void plugin_register(plugin_t *plugin);

/* family: the plug-ins to start, see plugin_ops_t. */
int kernel_init(kernel_t *kernel, const run_clock_t *clock, const char *family,
		const void *settings, void *context);

/*
 * Starts every registered plug-in of the family. Stops at the first error; the plug-ins that were
 * started until then are left to kernel_destroy().
 */
int kernel_start(kernel_t *kernel, err_t *err);

/* Makes every started plug-in begin its graceful shutdown. */
void kernel_drain(kernel_t *kernel);

/*
 * Closes the idle connections after a drain. Returns true if no connection is left. Otherwise the
 * caller runs the loop and calls this function again; a process that exited earlier would reset
 * connections that hold requests it has not read yet.
 */
bool kernel_close_idle(kernel_t *kernel);

/* An object with one key for each started plug-in; the caller owns it. */
json_t *kernel_dump(const kernel_t *kernel);

/* Destroys every started plug-in, the last started one first. */
void kernel_destroy(kernel_t *kernel);
