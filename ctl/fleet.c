/* The commands fleet, state, metrics and drain. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <talloc.h>

#include "command.h"

static int print_response(ctl_t *ctl, const char *path)
{
	int status;
	json_t *response = command_call(ctl, path, NULL, &status);

	if (response != NULL)
		command_print_json(response);
	json_decref(response);
	return status;
}

int run_state(ctl_t *ctl, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return print_response(ctl, "/v1/state");
}

int run_metrics(ctl_t *ctl, int argc, char **argv)
{
	char *text = NULL;
	long http_status = 0;
	err_t err = {0};
	int status = CTL_OK;

	(void)argc;
	(void)argv;
	if (client_call(&ctl->client, "/v1/metrics", NULL, &http_status, &text, &err) < 0) {
		command_print_error(&err);
		status = CTL_UNREACHABLE;
	} else if (http_status != 200) {
		fprintf(stderr, "cyclamenctl: the proxy answered %ld\n", http_status);
		status = http_status == 401 ? CTL_DENIED : CTL_REFUSED;
	} else {
		fputs(text, stdout);
	}
	talloc_free(text);
	return status;
}

int run_drain(ctl_t *ctl, int argc, char **argv)
{
	int status;
	json_t *empty = json_object();
	json_t *response = command_call(ctl, "/v1/drain", empty, &status);

	(void)argc;
	(void)argv;
	json_decref(empty);
	if (response != NULL)
		printf("draining\n");
	json_decref(response);
	return status;
}

static const char *proxy_status(const json_t *proxy)
{
	if (json_is_true(json_object_get(proxy, "leaving")))
		return "leaving";
	if (json_is_true(json_object_get(proxy, "suspect")))
		return "suspect";
	return "alive";
}

void command_print_proxies(const json_t *fleet)
{
	const char *name;
	json_t *proxy;

	printf("%-16s %-16s %-22s %-8s %s\n", "PROXY", "ZONE", "ADDRESS", "STATE", "TABLE");
	json_object_foreach ((json_t *)fleet, name, proxy)
		printf("%-16s %-16s %-22s %-8s %lld\n", name,
		       json_string_value(json_object_get(proxy, "zone")),
		       json_string_value(json_object_get(proxy, "address")), proxy_status(proxy),
		       (long long)json_integer_value(json_object_get(proxy, "table_version")));
}

static void print_groups(const char *proxy_name, const json_t *groups)
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
		       home != NULL ? home : "nobody", proxy_name);
	}
}

int run_fleet(ctl_t *ctl, int argc, char **argv)
{
	int status;
	json_t *state = command_call(ctl, "/v1/state", NULL, &status);
	const json_t *core = json_object_get(state, "core");

	(void)argc;
	(void)argv;
	if (state == NULL)
		return status;
	if (ctl->json) {
		command_print_json(json_object_get(core, "fleet"));
	} else {
		command_print_proxies(json_object_get(core, "fleet"));
		print_groups(json_string_value(json_object_get(core, "name")),
			     json_object_get(core, "groups"));
	}
	json_decref(state);
	return status;
}
