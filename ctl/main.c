/* cyclamenctl: the command-line tool of the operators. */
#include <errno.h>
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>
#include <sodium.h>
#include <talloc.h>

#include "command.h"
#include "conf.h"

static const command_t commands[] = {
	{"table", "get", 0, 1, NEEDS_TOKEN, run_table_get, "[KEY]",
	 "print the table, or one entry"},
	{"table", "diff", 1, 1, NEEDS_TOKEN, run_table_diff, "FILE",
	 "print the entries that applying FILE would change"},
	{"table", "apply", 1, 1, NEEDS_TOKEN, run_table_apply, "FILE",
	 "apply the entries of FILE (- for standard input)"},
	{"table", "set", 2, 64, NEEDS_TOKEN, run_table_set, "KEY FIELD=VALUE...",
	 "change fields of one entry"},
	{"table", "delete", 1, 1, NEEDS_TOKEN, run_table_delete, "KEY", "delete one entry"},
	{"table", "history", 0, 0, NEEDS_TOKEN, run_table_history, "",
	 "print the last edits, newest first"},
	{"table", "status", 0, 0, NEEDS_TOKEN, run_table_status, "",
	 "print the table version in force at each proxy"},
	{"fleet", NULL, 0, 0, NEEDS_TOKEN, run_fleet, "",
	 "print proxies, table versions, groups and primaries"},
	{"state", NULL, 0, 0, NEEDS_TOKEN, run_state, "", "print the state of the proxy as JSON"},
	{"metrics", NULL, 0, 0, NEEDS_TOKEN, run_metrics, "",
	 "print the metrics of the proxy in Prometheus text format"},
	{"drain", NULL, 0, 0, NEEDS_TOKEN, run_drain, "", "shut the proxy down gracefully"},
	{"pooler", NULL, 0, 0, NEEDS_ENDPOINT, run_pooler, "",
	 "print the services, primaries and roster of a pooler (no token needed)"},
	{"explain", NULL, 1, 64, NEEDS_NO_OPTION, run_explain, "ID [LOG]...",
	 "print the log lines of poolers (files, or standard input) that relate to a request"},
	{"changes", NULL, 0, 64, NEEDS_NO_OPTION, run_changes, "[LOG]...",
	 "print the primary changes in those logs, with the duration of each phase"},
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

static void print_help(FILE *out)
{
	fprintf(out,
		"Usage: cyclamenctl [--endpoint URL] [--token-file FILE] [OPTION]... COMMAND\n\n"
		"  -e, --endpoint URL      operators' address of a proxy, http://IP:PORT\n"
		"  -k, --token-file FILE   file with the bearer token\n"
		"  -a, --author NAME       author of the edit (default: $USER)\n"
		"  -b, --base VERSION      table version that the edit is based on (default: current)\n"
		"  -j, --json              JSON output\n"
		"  -h, --help              print this help\n"
		"  -v, --version           print the version\n\nCommands:\n");
	for (size_t i = 0; i < COMMAND_COUNT; i++)
		fprintf(out, "  %s %s %s: %s\n", commands[i].group,
			commands[i].name != NULL ? commands[i].name : "", commands[i].args,
			commands[i].help);
	fprintf(out, "\nExit codes: 0 done, 1 local error, 2 usage, 3 refused, 4 unknown,\n"
		     "5 proxy unreachable, 6 wrong token.\n");
}

static const command_t *find_command(int argc, char **argv, int *used)
{
	for (size_t i = 0; i < COMMAND_COUNT; i++) {
		const command_t *command = &commands[i];

		if (argc < 1 || strcmp(argv[0], command->group) != 0)
			continue;
		*used = 1;
		if (command->name == NULL)
			return command;
		*used = 2;
		if (argc >= 2 && strcmp(argv[1], command->name) == 0)
			return command;
	}
	return NULL;
}

/* Returns an exit code. The token file is read only for commands that need a token. */
static int run_command(ctl_t *ctl, const char *token_file, int argc, char **argv)
{
	int used = 0;
	const command_t *command = find_command(argc, argv, &used);
	err_t err = {0};

	argc -= used;
	argv += used;
	if (command == NULL || argc < command->min_args || argc > command->max_args ||
	    (command->needs != NEEDS_NO_OPTION && ctl->client.endpoint == NULL) ||
	    (command->needs == NEEDS_TOKEN && token_file == NULL)) {
		print_help(stderr);
		return CTL_USAGE;
	}
	if (command->needs == NEEDS_TOKEN) {
		ctl->client.token = conf_read_secret(NULL, token_file, &err);
		if (ctl->client.token == NULL) {
			command_print_error(&err);
			return CTL_LOCAL_ERROR;
		}
	}
	return command->run(ctl, argc, argv);
}

static int parse_options(int argc, char **argv, ctl_t *ctl, const char **token_file)
{
	static const struct option longopts[] = {
		{"endpoint", required_argument, NULL, 'e'},
		{"token-file", required_argument, NULL, 'k'},
		{"author", required_argument, NULL, 'a'},
		{"base", required_argument, NULL, 'b'},
		{"json", no_argument, NULL, 'j'},
		{"help", no_argument, NULL, 'h'},
		{"version", no_argument, NULL, 'v'},
		{NULL, 0, NULL, 0},
	};
	int opt;

	while ((opt = getopt_long(argc, argv, "+e:k:a:b:jhv", longopts, NULL)) != -1) {
		switch (opt) {
		case 'e':
			ctl->client.endpoint = optarg;
			break;
		case 'k':
			*token_file = optarg;
			break;
		case 'a':
			ctl->author = optarg;
			break;
		case 'b':
			ctl->base_version = strtoll(optarg, NULL, 10);
			break;
		case 'j':
			ctl->json = true;
			break;
		case 'h':
			print_help(stdout);
			exit(CTL_OK);
		case 'v':
			printf("cyclamenctl %s\n", CYCLAMENSPAN_VERSION);
			exit(CTL_OK);
		default:
			return CTL_USAGE;
		}
	}
	return CTL_OK;
}

int main(int argc, char **argv)
{
	const char *user = getenv("USER");
	ctl_t ctl = {.author = user != NULL ? user : "operator", .base_version = -1};
	const char *token_file = NULL;
	int status = parse_options(argc, argv, &ctl, &token_file);

	if (status != CTL_OK)
		return status;
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK)
		return CTL_LOCAL_ERROR;
	status = run_command(&ctl, token_file, argc - optind, argv + optind);
	talloc_free(ctl.client.token);
	curl_global_cleanup();
	return status;
}
