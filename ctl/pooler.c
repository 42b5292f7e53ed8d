/* The state of a pooler on the platform, for people. */
#include <stdio.h>

#include "command.h"

static const char *text_of(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text != NULL && *text != '\0' ? text : "-";
}

static long long number_of(const json_t *object, const char *key)
{
	return (long long)json_integer_value(json_object_get(object, key));
}

static const char *health_of(const json_t *member)
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
	       text_of(service, "name"), text_of(service, "primary"), number_of(service, "waiting"),
	       number_of(service, "samples"), number_of(service, "change_step"));
	json_array_foreach (json_object_get(service, "members"), index, member) {
		printf("  %-16s %-8s zone %-12s calls itself %-8s connections %lld load %lld "
		       "response %.1f ms last reply %lld ms ago\n",
		       text_of(member, "id"), health_of(member), text_of(member, "zone"),
		       json_is_true(json_object_get(member, "says_primary")) ? "primary"
									     : "replica",
		       number_of(member, "connections"), number_of(member, "load"),
		       (double)number_of(member, "response_usec") / 1000.0,
		       number_of(member, "last_reply_ms"));
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
	       text_of(pooler, "name"),
	       json_is_true(json_object_get(pooler, "ready")) ? "ready" : "not ready",
	       number_of(pooler, "config_version"), number_of(pooler, "roster"),
	       number_of(pooler, "roster_age_ms"), number_of(pooler, "callers"));
	printf("duty held by %s, fence %lld%s\n", text_of(pooler, "holder"),
	       number_of(pooler, "fence"),
	       json_is_true(json_object_get(pooler, "holding")) ? " (this proxy)" : "");
	json_array_foreach (json_object_get(pooler, "services"), index, service)
		print_service(service);
	json_decref(state);
	return CTL_OK;
}
