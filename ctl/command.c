#include "command.h"

#include <stdio.h>
#include <talloc.h>

void command_print_error(const err_t *err)
{
	char line[512];

	err_format(err, line, sizeof(line));
	fprintf(stderr, "cyclamenctl: %s\n", line);
}

json_t *command_call(ctl_t *ctl, const char *path, const json_t *body, int *status)
{
	char *text = NULL;
	long http_status = 0;
	err_t err = {0};
	json_t *response;

	*status = CTL_OK;
	if (client_call(&ctl->client, path, body, &http_status, &text, &err) < 0) {
		command_print_error(&err);
		*status = CTL_UNREACHABLE;
		talloc_free(text);
		return NULL;
	}
	response = json_loads(text, 0, NULL);
	talloc_free(text);
	if (http_status == 200 && response != NULL)
		return response;
	fprintf(stderr, "cyclamenctl: the proxy answered %ld: %s\n", http_status,
		json_string_value(json_object_get(response, "error")) != NULL
			? json_string_value(json_object_get(response, "error"))
			: "no reason given");
	*status = http_status == 401 ? CTL_DENIED : CTL_REFUSED;
	json_decref(response);
	return NULL;
}

void command_print_json(const json_t *value)
{
	json_dumpf(value, stdout, JSON_INDENT(2) | JSON_SORT_KEYS | JSON_ENCODE_ANY);
	putchar('\n');
}
