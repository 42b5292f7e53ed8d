/*
 * Prints the log lines that relate to one request: those with its id, and those that any proxy
 * wrote shortly before about its service, its member or the fleet.
 */
#include <stdio.h>
#include <string.h>

#include "command.h"
#include "logs.h"

#define NAMES_MAX 8
/* The cause of a failure may be logged this long before it: a primary change and its detection. */
#define LOOKBACK_MSEC 4000
/* The clocks of two VMs may differ by this much, so that a related line seems to be later. */
#define CLOCK_SKEW_MSEC 500

typedef struct trace {
	logs_t logs;
	const char *request_id;
	/* Services and members named in the lines that have the request's id. */
	const char *names[NAMES_MAX];
	size_t name_count;
	int64_t first_msec;
	int64_t last_msec;
} trace_t;

static bool is_of_request(const trace_t *trace, const log_line_t *line)
{
	return strcmp(log_line_string(line, "request"), trace->request_id) == 0;
}

static void add_name(trace_t *trace, const char *name)
{
	for (size_t i = 0; i < trace->name_count; i++) {
		if (strcmp(trace->names[i], name) == 0)
			return;
	}
	if (*name != '\0' && trace->name_count < NAMES_MAX)
		trace->names[trace->name_count++] = name;
}

/* Collects names and times from the lines of the request. Returns false if there are none. */
static bool find_request(trace_t *trace)
{
	bool found = false;

	for (size_t i = 0; i < trace->logs.count; i++) {
		const log_line_t *line = &trace->logs.lines[i];

		if (!is_of_request(trace, line))
			continue;
		add_name(trace, log_line_string(line, "service"));
		add_name(trace, log_line_string(line, "member"));
		if (!found)
			trace->first_msec = line->msec;
		trace->last_msec = line->msec;
		found = true;
	}
	return found;
}

/*
 * Lines of other requests are not related. Lines without service and member are about a proxy or
 * the fleet and are related.
 */
static bool is_related(const trace_t *trace, const log_line_t *line)
{
	const char *service = log_line_string(line, "service");
	const char *member = log_line_string(line, "member");

	if (is_of_request(trace, line))
		return true;
	if (json_object_get(line->object, "request") != NULL ||
	    strcmp(log_line_string(line, "module"), "summary") == 0)
		return false;
	if (line->msec < trace->first_msec - LOOKBACK_MSEC ||
	    line->msec > trace->last_msec + CLOCK_SKEW_MSEC)
		return false;
	if (*service == '\0' && *member == '\0')
		return true;
	for (size_t i = 0; i < trace->name_count; i++) {
		if (strcmp(trace->names[i], service) == 0 || strcmp(trace->names[i], member) == 0)
			return true;
	}
	return false;
}

static void print_line(const trace_t *trace, const log_line_t *line)
{
	const char *key;
	json_t *value;

	printf("%s %+6lld ms  %s %s: %s", is_of_request(trace, line) ? "*" : " ",
	       (long long)(line->msec - trace->last_msec), line->source,
	       log_line_string(line, "module"), log_line_string(line, "text"));
	json_object_foreach (line->object, key, value) {
		if (strcmp(key, "time") == 0 || strcmp(key, "level") == 0 ||
		    strcmp(key, "module") == 0 || strcmp(key, "text") == 0)
			continue;
		if (json_is_string(value))
			printf(" %s=%s", key, json_string_value(value));
		else
			printf(" %s=%lld", key, (long long)json_integer_value(value));
	}
	putchar('\n');
}

static int print_trace(trace_t *trace)
{
	if (!find_request(trace)) {
		fprintf(stderr,
			"cyclamenctl: no line names the request %s; was it served in time, or did "
			"its connection never get here?\n",
			trace->request_id);
		return CTL_UNKNOWN;
	}
	printf("request %s; times are relative to its last line, marked *\n", trace->request_id);
	for (size_t i = 0; i < trace->logs.count; i++) {
		if (is_related(trace, &trace->logs.lines[i]))
			print_line(trace, &trace->logs.lines[i]);
	}
	return CTL_OK;
}

int run_explain(ctl_t *ctl, int argc, char **argv)
{
	trace_t trace = {.request_id = argv[0]};
	int status;

	(void)ctl;
	status = logs_read(&trace.logs, argc - 1, argv + 1);
	if (status == CTL_OK)
		status = print_trace(&trace);
	logs_free(&trace.logs);
	return status;
}
