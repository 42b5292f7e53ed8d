/* cyclamenctl: the operators' command. */
#include <errno.h>
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>
#include <sodium.h>
#include <talloc.h>

#include "client.h"
#include "conf.h"

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
	int64_t base_version; /* -1: the version read just before */
	bool json;
} ctl_t;

typedef struct command {
	const char *group;
	const char *name;
	int min_args;
	int max_args;
	int (*run)(ctl_t *ctl, int argc, char **argv);
	const char *args;
	const char *help;
} command_t;

static void print_error(const err_t *err)
{
	char line[512];

	err_format(err, line, sizeof(line));
	fprintf(stderr, "cyclamenctl: %s\n", line);
}

/* The answer as JSON, or NULL with *status set to the exit code. */
static json_t *call(ctl_t *ctl, const char *path, const json_t *body, int *status)
{
	char *text = NULL;
	long http = 0;
	err_t err = {0};
	json_t *answer;

	*status = CTL_OK;
	if (client_call(&ctl->client, path, body, &http, &text, &err) < 0) {
		print_error(&err);
		*status = CTL_UNREACHABLE;
		talloc_free(text);
		return NULL;
	}
	answer = json_loads(text, 0, NULL);
	talloc_free(text);
	if (http == 200 && answer != NULL)
		return answer;
	fprintf(stderr, "cyclamenctl: the proxy answered %ld: %s\n", http,
		json_string_value(json_object_get(answer, "error")) != NULL
			? json_string_value(json_object_get(answer, "error"))
			: "no reason given");
	*status = http == 401 ? CTL_DENIED : CTL_REFUSED;
	json_decref(answer);
	return NULL;
}

static void print_json(const json_t *value)
{
	json_dumpf(value, stdout, JSON_INDENT(2) | JSON_SORT_KEYS | JSON_ENCODE_ANY);
	putchar('\n');
}

static int show(ctl_t *ctl, const char *path)
{
	int status;
	json_t *answer = call(ctl, path, NULL, &status);

	if (answer != NULL)
		print_json(answer);
	json_decref(answer);
	return status;
}

static int run_state(ctl_t *ctl, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return show(ctl, "/v1/state");
}

static int run_metrics(ctl_t *ctl, int argc, char **argv)
{
	char *text = NULL;
	long http = 0;
	err_t err = {0};
	int status = CTL_OK;

	(void)argc;
	(void)argv;
	if (client_call(&ctl->client, "/v1/metrics", NULL, &http, &text, &err) < 0) {
		print_error(&err);
		status = CTL_UNREACHABLE;
	} else if (http != 200) {
		fprintf(stderr, "cyclamenctl: the proxy answered %ld\n", http);
		status = http == 401 ? CTL_DENIED : CTL_REFUSED;
	} else {
		fputs(text, stdout);
	}
	talloc_free(text);
	return status;
}

static int run_drain(ctl_t *ctl, int argc, char **argv)
{
	int status;
	json_t *empty = json_object();
	json_t *answer = call(ctl, "/v1/drain", empty, &status);

	(void)argc;
	(void)argv;
	json_decref(empty);
	if (answer != NULL)
		printf("draining\n");
	json_decref(answer);
	return status;
}

/* --- fleet --- */

static const char *liveness(const json_t *proxy)
{
	if (json_is_true(json_object_get(proxy, "leaving")))
		return "leaving";
	if (json_is_true(json_object_get(proxy, "suspect")))
		return "suspect";
	return "alive";
}

static void print_proxies(const json_t *fleet)
{
	const char *name;
	json_t *proxy;

	printf("%-16s %-16s %-22s %-8s %s\n", "PROXY", "ZONE", "ADDRESS", "STATE", "TABLE");
	json_object_foreach ((json_t *)fleet, name, proxy)
		printf("%-16s %-16s %-22s %-8s %lld\n", name,
		       json_string_value(json_object_get(proxy, "zone")),
		       json_string_value(json_object_get(proxy, "address")), liveness(proxy),
		       (long long)json_integer_value(json_object_get(proxy, "table_version")));
}

static void print_groups(const char *says, const json_t *groups)
{
	const char *name;
	json_t *group;

	printf("\n%-16s %-8s %-16s %-16s %s\n", "GROUP", "TERM", "PRIMARY", "SERVED BY", "SAYS");
	json_object_foreach ((json_t *)groups, name, group) {
		const char *primary = json_string_value(json_object_get(group, "primary"));
		const char *home =
			json_string_value(json_array_get(json_object_get(group, "served_by"), 0));
		bool watched = json_integer_value(json_object_get(group, "rank")) >= 0;

		printf("%-16s %-8lld %-16s %-16s %s\n", name,
		       (long long)json_integer_value(json_object_get(group, "term")),
		       primary != NULL ? primary : (watched ? "none" : "(not watched here)"),
		       home != NULL ? home : "nobody", says);
	}
}

static int run_fleet(ctl_t *ctl, int argc, char **argv)
{
	int status;
	json_t *state = call(ctl, "/v1/state", NULL, &status);
	const json_t *core = json_object_get(state, "core");

	(void)argc;
	(void)argv;
	if (state == NULL)
		return status;
	if (ctl->json) {
		print_json(json_object_get(core, "fleet"));
	} else {
		print_proxies(json_object_get(core, "fleet"));
		print_groups(json_string_value(json_object_get(core, "name")),
			     json_object_get(core, "groups"));
	}
	json_decref(state);
	return status;
}

/* --- table --- */

/* The table as it is edited: {KEY: value, ...}, with its version. */
static json_t *fetch_table(ctl_t *ctl, int64_t *version, int *status)
{
	json_t *answer = call(ctl, "/v1/table", NULL, status);
	json_t *out = json_object();
	const char *key;
	json_t *entry;

	if (answer == NULL) {
		json_decref(out);
		return NULL;
	}
	*version = json_integer_value(json_object_get(answer, "version"));
	json_object_foreach (json_object_get(answer, "entries"), key, entry)
		json_object_set(out, key, json_object_get(entry, "value"));
	json_decref(answer);
	return out;
}

static int run_table_get(ctl_t *ctl, int argc, char **argv)
{
	int64_t version;
	int status;
	json_t *table = fetch_table(ctl, &version, &status);
	const json_t *one = argc > 0 ? json_object_get(table, argv[0]) : NULL;

	if (table == NULL)
		return status;
	if (argc > 0 && one == NULL) {
		fprintf(stderr, "cyclamenctl: no %s in table version %lld\n", argv[0],
			(long long)version);
		status = CTL_REFUSED;
	} else {
		print_json(argc > 0 ? one : table);
	}
	json_decref(table);
	return status;
}

static void make_edit_id(char *out, size_t len)
{
	unsigned char raw[12];

	randombytes_buf(raw, sizeof(raw));
	sodium_bin2hex(out, len, raw, sizeof(raw));
}

static int exit_of(const char *edit_status)
{
	if (edit_status != NULL && strcmp(edit_status, "accepted") == 0)
		return CTL_OK;
	if (edit_status != NULL && strcmp(edit_status, "refused") == 0)
		return CTL_REFUSED;
	return CTL_UNKNOWN;
}

/* Which live proxies have the version in force, asked until all do or two seconds are over. */
static void print_in_force(ctl_t *ctl, int64_t version)
{
	for (int attempt = 0; attempt < 10; attempt++) {
		int status;
		json_t *state = call(ctl, "/v1/state", NULL, &status);
		json_t *fleet = json_object_get(json_object_get(state, "core"), "fleet");
		const char *name;
		json_t *proxy;
		int all = 0;
		int have = 0;

		json_object_foreach (fleet, name, proxy) {
			all++;
			have += json_integer_value(json_object_get(proxy, "table_version")) >=
				version;
		}
		json_decref(state);
		if (state == NULL || have == all || attempt == 9) {
			printf("in force on %d of %d proxies\n", have, all);
			return;
		}
		usleep(200000);
	}
}

static int submit(ctl_t *ctl, json_t *entries, int64_t base)
{
	char edit_id[25];
	int status;
	json_t *body;
	json_t *answer;
	const char *edit_status;

	make_edit_id(edit_id, sizeof(edit_id));
	body = json_pack("{s:s, s:s, s:I, s:O}", "edit_id", edit_id, "author", ctl->author,
			 "base_version", (json_int_t)base, "entries", entries);
	answer = call(ctl, "/v1/table", body, &status);
	json_decref(body);
	if (answer == NULL) {
		/* The proxy may have got it: only the table itself can tell. */
		if (status == CTL_UNREACHABLE)
			fprintf(stderr, "cyclamenctl: edit %s: unknown\n", edit_id);
		return status == CTL_UNREACHABLE ? CTL_UNKNOWN : status;
	}
	edit_status = json_string_value(json_object_get(answer, "status"));
	status = exit_of(edit_status);
	if (ctl->json)
		print_json(answer);
	else
		printf("%s, edit %s, table version %lld: %s\n", edit_status, edit_id,
		       (long long)json_integer_value(json_object_get(answer, "version")),
		       json_string_value(json_object_get(answer, "detail")));
	if (status == CTL_OK && !ctl->json)
		print_in_force(ctl, json_integer_value(json_object_get(answer, "version")));
	json_decref(answer);
	return status;
}

static int64_t base_of(const ctl_t *ctl, int64_t read_version)
{
	return ctl->base_version >= 0 ? ctl->base_version : read_version;
}

/* Only what differs from the table in force is sent. */
static json_t *differences(const json_t *wanted, const json_t *table)
{
	json_t *out = json_object();
	const char *key;
	json_t *value;

	json_object_foreach ((json_t *)wanted, key, value) {
		if (!json_equal(value, json_object_get(table, key)))
			json_object_set(out, key, value);
	}
	return out;
}

static json_t *read_file(const char *path)
{
	json_error_t error;
	json_t *wanted = strcmp(path, "-") == 0
				 ? json_loadf(stdin, JSON_REJECT_DUPLICATES, &error)
				 : json_load_file(path, JSON_REJECT_DUPLICATES, &error);

	if (json_is_object(wanted))
		return wanted;
	fprintf(stderr, "cyclamenctl: %s: line %d: %s\n", path, error.line,
		wanted == NULL ? error.text : "expected an object of keys");
	json_decref(wanted);
	return NULL;
}

static int run_table_apply(ctl_t *ctl, int argc, char **argv)
{
	json_t *wanted = read_file(argv[0]);
	int64_t version = 0;
	int status = CTL_LOCAL_ERROR;
	json_t *table = wanted != NULL ? fetch_table(ctl, &version, &status) : NULL;
	json_t *changes;

	(void)argc;
	if (table == NULL) {
		json_decref(wanted);
		return status;
	}
	changes = differences(wanted, table);
	if (json_object_size(changes) == 0)
		printf("nothing to change, table version %lld\n", (long long)version);
	else
		status = submit(ctl, changes, base_of(ctl, version));
	json_decref(changes);
	json_decref(table);
	json_decref(wanted);
	return status;
}

static int run_table_diff(ctl_t *ctl, int argc, char **argv)
{
	json_t *wanted = read_file(argv[0]);
	int64_t version;
	int status = CTL_LOCAL_ERROR;
	json_t *table = wanted != NULL ? fetch_table(ctl, &version, &status) : NULL;
	json_t *changes = differences(wanted, table);

	(void)argc;
	if (table != NULL)
		print_json(changes);
	json_decref(changes);
	json_decref(table);
	json_decref(wanted);
	return status;
}

/* FIELD=VALUE; a value that is no JSON is taken as a string. */
static bool set_field(json_t *row, const char *assignment)
{
	const char *equals = strchr(assignment, '=');
	char *name;
	json_t *value;

	if (equals == NULL || equals == assignment) {
		fprintf(stderr, "cyclamenctl: %s: expected FIELD=VALUE\n", assignment);
		return false;
	}
	name = strndup(assignment, (size_t)(equals - assignment));
	value = json_loads(equals + 1, JSON_DECODE_ANY, NULL);
	json_object_set_new(row, name, value != NULL ? value : json_string(equals + 1));
	free(name);
	return true;
}

static int run_table_set(ctl_t *ctl, int argc, char **argv)
{
	int64_t version;
	int status;
	json_t *table = fetch_table(ctl, &version, &status);
	const json_t *old = json_object_get(table, argv[0]);
	json_t *row = old != NULL ? json_deep_copy(old) : json_object();
	json_t *changes = json_object();

	for (int i = 1; i < argc && table != NULL; i++) {
		if (!set_field(row, argv[i])) {
			status = CTL_USAGE;
			goto out;
		}
	}
	json_object_set(changes, argv[0], row);
	if (table != NULL)
		status = submit(ctl, changes, base_of(ctl, version));
out:
	json_decref(changes);
	json_decref(row);
	json_decref(table);
	return status;
}

static void print_edit(const json_t *edit)
{
	const char *key;
	json_t *change;

	printf("version %lld by %s, edit %s\n",
	       (long long)json_integer_value(json_object_get(edit, "version")),
	       json_string_value(json_object_get(edit, "author")),
	       json_string_value(json_object_get(edit, "edit")));
	json_object_foreach (json_object_get(edit, "changes"), key, change) {
		char *value = json_dumps(json_object_get(change, "value"),
					 JSON_COMPACT | JSON_ENCODE_ANY);

		printf("  %s = %s\n", key, value);
		free(value);
	}
}

static int run_table_history(ctl_t *ctl, int argc, char **argv)
{
	int status;
	json_t *answer = call(ctl, "/v1/history", NULL, &status);
	const json_t *edits = json_object_get(answer, "edits");

	(void)argc;
	(void)argv;
	if (ctl->json && answer != NULL)
		print_json(edits);
	for (size_t i = 0; !ctl->json && i < json_array_size(edits); i++)
		print_edit(json_array_get(edits, i));
	json_decref(answer);
	return status;
}

static int run_table_status(ctl_t *ctl, int argc, char **argv)
{
	int status;
	json_t *state = call(ctl, "/v1/state", NULL, &status);
	json_t *core = json_object_get(state, "core");

	(void)argc;
	(void)argv;
	if (state == NULL)
		return status;
	if (ctl->json) {
		print_json(json_object_get(core, "fleet"));
	} else {
		printf("table version %lld here, %s\n",
		       (long long)json_integer_value(json_object_get(core, "table_version")),
		       json_is_true(json_object_get(core, "table_current"))
			       ? "known to be current"
			       : "not known to be current: requests are refused");
		print_proxies(json_object_get(core, "fleet"));
	}
	json_decref(state);
	return status;
}

static int run_table_delete(ctl_t *ctl, int argc, char **argv)
{
	int64_t version;
	int status;
	json_t *table = fetch_table(ctl, &version, &status);
	json_t *changes = json_object();

	(void)argc;
	json_object_set_new(changes, argv[0], json_null());
	if (table != NULL)
		status = submit(ctl, changes, base_of(ctl, version));
	json_decref(changes);
	json_decref(table);
	return status;
}

static const command_t commands[] = {
	{"table", "get", 0, 1, run_table_get, "[KEY]", "print the table, or one entry"},
	{"table", "diff", 1, 1, run_table_diff, "FILE", "what applying FILE would change"},
	{"table", "apply", 1, 1, run_table_apply, "FILE",
	 "apply the entries of FILE (- for input)"},
	{"table", "set", 2, 64, run_table_set, "KEY FIELD=VALUE...", "change fields of one entry"},
	{"table", "delete", 1, 1, run_table_delete, "KEY", "delete one entry"},
	{"table", "history", 0, 0, run_table_history, "", "the last edits, newest first"},
	{"table", "status", 0, 0, run_table_status, "",
	 "which proxies have which version in force"},
	{"fleet", NULL, 0, 0, run_fleet, "", "proxies, table versions, groups and primaries"},
	{"state", NULL, 0, 0, run_state, "", "state of the proxy, JSON"},
	{"metrics", NULL, 0, 0, run_metrics, "", "its counters, Prometheus text"},
	{"drain", NULL, 0, 0, run_drain, "", "shut the proxy down gracefully"},
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

static void print_help(FILE *out)
{
	fprintf(out,
		"Usage: cyclamenctl --endpoint URL --token-file FILE [OPTION]... COMMAND\n\n"
		"  -e, --endpoint URL      operators' address of a proxy, http://IP:PORT\n"
		"  -k, --token-file FILE   file with the bearer token\n"
		"  -a, --author NAME       who edits (default: $USER)\n"
		"  -b, --base VERSION      table version the edit is based on (default: current)\n"
		"  -j, --json              JSON output\n"
		"  -h, --help              this help\n"
		"  -v, --version           the version\n\nCommands:\n");
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

static int run_command(ctl_t *ctl, int argc, char **argv)
{
	int used = 0;
	const command_t *command = find_command(argc, argv, &used);

	argc -= used;
	argv += used;
	if (command != NULL && argc >= command->min_args && argc <= command->max_args)
		return command->run(ctl, argc, argv);
	print_help(stderr);
	return CTL_USAGE;
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
	if (ctl->client.endpoint != NULL && *token_file != NULL)
		return CTL_OK;
	print_help(stderr);
	return CTL_USAGE;
}

int main(int argc, char **argv)
{
	const char *user = getenv("USER");
	ctl_t ctl = {.author = user != NULL ? user : "operator", .base_version = -1};
	const char *token_file = NULL;
	err_t err = {0};
	int status = parse_options(argc, argv, &ctl, &token_file);

	if (status != CTL_OK)
		return status;
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK)
		return CTL_LOCAL_ERROR;
	ctl.client.token = conf_read_secret(NULL, token_file, &err);
	if (ctl.client.token == NULL) {
		print_error(&err);
		status = CTL_LOCAL_ERROR;
	} else {
		status = run_command(&ctl, argc - optind, argv + optind);
	}
	talloc_free(ctl.client.token);
	curl_global_cleanup();
	return status;
}
