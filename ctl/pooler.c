/* The command pooler: prints the state of a pooler as text. */
#include <stdio.h>

#include "command.h"

static const char *get_text(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text != NULL && *text != '\0' ? text : "-";
}

static long long get_number(const json_t *object, const char *key)
{
	return (long long)json_integer_value(json_object_get(object, key));
}

static const char *member_status(const json_t *member)
{
	if (json_is_true(json_object_get(member, "gone")))
		return "gone";
	if (json_is_true(json_object_get(member, "down")))
		return "down";
	return json_is_true(json_object_get(member, "leaving")) ? "leaving" : "up";
}

static void print_service(const json_t *service)
{
	size_t index;
	json_t *member;

	printf("service %s primary %s waiting %lld positions %lld change step %lld\n",
	       get_text(service, "name"), get_text(service, "primary"),
	       get_number(service, "waiting"), get_number(service, "samples"),
	       get_number(service, "change_step"));
	json_array_foreach (json_object_get(service, "members"), index, member) {
		printf("  %-16s %-8s zone %-12s calls itself %-8s connections %lld load %lld "
		       "response %.1f ms last reply %lld ms ago\n",
		       get_text(member, "id"), member_status(member), get_text(member, "zone"),
		       json_is_true(json_object_get(member, "says_primary")) ? "primary"
									     : "replica",
		       get_number(member, "connections"), get_number(member, "load"),
		       (double)get_number(member, "response_usec") / 1000.0,
		       get_number(member, "last_reply_ms"));
	}
}

int run_pooler(ctl_t *ctl, int argc, char **argv)
{
	int status;
	json_t *state = command_call(ctl, "/state", NULL, &status);
	const json_t *pooler = json_object_get(state, "pooler");
	size_t index;
	json_t *service;

	(void)argc;
	(void)argv;
	if (state == NULL)
		return status;
	if (ctl->json) {
		command_print_json(pooler);
		json_decref(state);
		return CTL_OK;
	}
	printf("proxy %s %s, configuration %lld, roster %lld (%lld ms old), callers %lld\n",
	       get_text(pooler, "name"),
	       json_is_true(json_object_get(pooler, "ready")) ? "ready" : "not ready",
	       get_number(pooler, "config_version"), get_number(pooler, "roster"),
	       get_number(pooler, "roster_age_ms"), get_number(pooler, "callers"));
	printf("duty held by %s, fence %lld%s\n", get_text(pooler, "holder"),
	       get_number(pooler, "fence"),
	       json_is_true(json_object_get(pooler, "holding")) ? " (this proxy)" : "");
	json_array_foreach (json_object_get(pooler, "services"), index, service)
		print_service(service);
	json_decref(state);
	return CTL_OK;
}
