/* The commands on the operators' table. */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sodium.h>
#include <talloc.h>

#include "command.h"

/* Fetches the table as an object {KEY: value, ...}, the form of the files that operators edit. */
static json_t *fetch_table(ctl_t *ctl, int64_t *version, int *status)
{
	json_t *response = command_call(ctl, "/v1/table", NULL, status);
	json_t *out = json_object();
	const char *key;
	json_t *entry;

	if (response == NULL) {
		json_decref(out);
		return NULL;
	}
	*version = json_integer_value(json_object_get(response, "version"));
	json_object_foreach (json_object_get(response, "entries"), key, entry)
		json_object_set(out, key, json_object_get(entry, "value"));
	json_decref(response);
	return out;
}

int run_table_get(ctl_t *ctl, int argc, char **argv)
{
	int64_t version;
	int status;
	json_t *table = fetch_table(ctl, &version, &status);
	const json_t *entry = argc > 0 ? json_object_get(table, argv[0]) : NULL;

	if (table == NULL)
		return status;
	if (argc > 0 && entry == NULL) {
		fprintf(stderr, "cyclamenctl: no %s in table version %lld\n", argv[0],
			(long long)version);
		status = CTL_REFUSED;
	} else {
		command_print_json(argc > 0 ? entry : table);
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

static int edit_exit_code(const char *edit_status)
{
	if (edit_status != NULL && strcmp(edit_status, "accepted") == 0)
		return CTL_OK;
	if (edit_status != NULL && strcmp(edit_status, "refused") == 0)
		return CTL_REFUSED;
	return CTL_UNKNOWN;
}

/*
 * Prints how many live proxies have the version in force. Queries the proxy until all of them do,
 * for two seconds at most.
 */
static void print_activation(ctl_t *ctl, int64_t version)
{
	for (int attempt = 0; attempt < 10; attempt++) {
		int status;
		json_t *state = command_call(ctl, "/v1/state", NULL, &status);
		json_t *fleet = json_object_get(json_object_get(state, "core"), "fleet");
		const char *name;
		json_t *proxy;
		int proxy_count = 0;
		int current_count = 0;

		json_object_foreach (fleet, name, proxy) {
			proxy_count++;
			current_count +=
				json_integer_value(json_object_get(proxy, "table_version")) >=
				version;
		}
		json_decref(state);
		if (state == NULL || current_count == proxy_count || attempt == 9) {
			printf("in force on %d of %d proxies\n", current_count, proxy_count);
			return;
		}
		usleep(200000);
	}
}

static int submit_edit(ctl_t *ctl, json_t *entries, int64_t base)
{
	char edit_id[25];
	int status;
	json_t *body;
	json_t *response;
	const char *edit_status;

	make_edit_id(edit_id, sizeof(edit_id));
	body = json_pack("{s:s, s:s, s:I, s:O}", "edit_id", edit_id, "author", ctl->author,
			 "base_version", (json_int_t)base, "entries", entries);
	response = command_call(ctl, "/v1/table", body, &status);
	json_decref(body);
	if (response == NULL) {
		/*
		 * The proxy may have received the edit before the connection failed; only the table
		 * shows whether it was applied.
		 */
		if (status == CTL_UNREACHABLE)
			fprintf(stderr, "cyclamenctl: edit %s: unknown\n", edit_id);
		return status == CTL_UNREACHABLE ? CTL_UNKNOWN : status;
	}
	edit_status = json_string_value(json_object_get(response, "status"));
	status = edit_exit_code(edit_status);
	if (ctl->json)
		command_print_json(response);
	else
		printf("%s, edit %s, table version %lld: %s\n", edit_status, edit_id,
		       (long long)json_integer_value(json_object_get(response, "version")),
		       json_string_value(json_object_get(response, "detail")));
	if (status == CTL_OK && !ctl->json)
		print_activation(ctl, json_integer_value(json_object_get(response, "version")));
	json_decref(response);
	return status;
}

static int64_t choose_base_version(const ctl_t *ctl, int64_t read_version)
{
	return ctl->base_version >= 0 ? ctl->base_version : read_version;
}

/* Returns the wanted entries that differ from the table in force; only these are sent. */
static json_t *changed_entries(const json_t *wanted, const json_t *table)
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

static json_t *read_table_file(const char *path)
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

int run_table_apply(ctl_t *ctl, int argc, char **argv)
{
	json_t *wanted = read_table_file(argv[0]);
	int64_t version = 0;
	int status = CTL_LOCAL_ERROR;
	json_t *table = wanted != NULL ? fetch_table(ctl, &version, &status) : NULL;
	json_t *changes;

	(void)argc;
	if (table == NULL) {
		json_decref(wanted);
		return status;
	}
	changes = changed_entries(wanted, table);
	if (json_object_size(changes) == 0)
		printf("nothing to change, table version %lld\n", (long long)version);
	else
		status = submit_edit(ctl, changes, choose_base_version(ctl, version));
	json_decref(changes);
	json_decref(table);
	json_decref(wanted);
	return status;
}

int run_table_diff(ctl_t *ctl, int argc, char **argv)
{
	json_t *wanted = read_table_file(argv[0]);
	int64_t version;
	int status = CTL_LOCAL_ERROR;
	json_t *table = wanted != NULL ? fetch_table(ctl, &version, &status) : NULL;
	json_t *changes = changed_entries(wanted, table);

	(void)argc;
	if (table != NULL)
		command_print_json(changes);
	json_decref(changes);
	json_decref(table);
	json_decref(wanted);
	return status;
}

/* Applies FIELD=VALUE to the row; a value that is not valid JSON is stored as a string. */
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

int run_table_set(ctl_t *ctl, int argc, char **argv)
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
		status = submit_edit(ctl, changes, choose_base_version(ctl, version));
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

int run_table_history(ctl_t *ctl, int argc, char **argv)
{
	int status;
	json_t *response = command_call(ctl, "/v1/history", NULL, &status);
	const json_t *edits = json_object_get(response, "edits");

	(void)argc;
	(void)argv;
	if (ctl->json && response != NULL)
		command_print_json(edits);
	for (size_t i = 0; !ctl->json && i < json_array_size(edits); i++)
		print_edit(json_array_get(edits, i));
	json_decref(response);
	return status;
}

int run_table_status(ctl_t *ctl, int argc, char **argv)
{
	int status;
	json_t *state = command_call(ctl, "/v1/state", NULL, &status);
	json_t *core = json_object_get(state, "core");

	(void)argc;
	(void)argv;
	if (state == NULL)
		return status;
	if (ctl->json) {
		command_print_json(json_object_get(core, "fleet"));
	} else {
		printf("table version %lld here, %s\n",
		       (long long)json_integer_value(json_object_get(core, "table_version")),
		       json_is_true(json_object_get(core, "table_current"))
			       ? "known to be current"
			       : "not known to be current: requests are refused");
		command_print_proxies(json_object_get(core, "fleet"));
	}
	json_decref(state);
	return status;
}

int run_table_delete(ctl_t *ctl, int argc, char **argv)
{
	int64_t version;
	int status;
	json_t *table = fetch_table(ctl, &version, &status);
	json_t *changes = json_object();

	(void)argc;
	json_object_set_new(changes, argv[0], json_null());
	if (table != NULL)
		status = submit_edit(ctl, changes, choose_base_version(ctl, version));
	json_decref(changes);
	json_decref(table);
	return status;
}
