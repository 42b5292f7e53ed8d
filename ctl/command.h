/* Types and functions that the commands of cyclamenctl share, and their entry points. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "client.h"

/* Exit codes, for scripts. */
typedef enum {
	CTL_OK,
	CTL_LOCAL_ERROR,
	CTL_USAGE,
	CTL_REFUSED,
	CTL_UNKNOWN,
	CTL_UNREACHABLE,
	CTL_DENIED,
} ctl_exit_t;

typedef struct ctl {
	client_t client;
	const char *author;
	int64_t base_version; /* -1: the version that the command has just read */
	bool json;
} ctl_t;

/* Options that a command requires: token and endpoint, endpoint only, or none. */
typedef enum { NEEDS_TOKEN, NEEDS_ENDPOINT, NEEDS_NO_OPTION } command_needs_t;

typedef struct command {
	const char *group;
	const char *name;
	int min_args;
	int max_args;
	command_needs_t needs;
	int (*run)(ctl_t *ctl, int argc, char **argv);
	const char *args;
	const char *help;
} command_t;

void command_print_error(const err_t *err);

/*
 * Calls path as client_call() does. Returns the response parsed as JSON, or NULL with the error
 * printed and *status set to the exit code.
 */
json_t *command_call(ctl_t *ctl, const char *path, const json_t *body, int *status);

void command_print_json(const json_t *value);

/* Prints the proxies of the fleet with their table versions. */
void command_print_proxies(const json_t *fleet);

/* Each runs one command and returns an exit code; argv holds the arguments after its name. */
int run_table_get(ctl_t *ctl, int argc, char **argv);
int run_table_diff(ctl_t *ctl, int argc, char **argv);
int run_table_apply(ctl_t *ctl, int argc, char **argv);
int run_table_set(ctl_t *ctl, int argc, char **argv);
int run_table_delete(ctl_t *ctl, int argc, char **argv);
int run_table_history(ctl_t *ctl, int argc, char **argv);
int run_table_status(ctl_t *ctl, int argc, char **argv);
int run_fleet(ctl_t *ctl, int argc, char **argv);
int run_state(ctl_t *ctl, int argc, char **argv);
int run_metrics(ctl_t *ctl, int argc, char **argv);
int run_drain(ctl_t *ctl, int argc, char **argv);
int run_pooler(ctl_t *ctl, int argc, char **argv);
int run_explain(ctl_t *ctl, int argc, char **argv);
int run_changes(ctl_t *ctl, int argc, char **argv);
