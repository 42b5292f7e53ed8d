/*
 * Evaluates the changes of primary in the logs of poolers: how long each service had no primary,
 * and how that time divides into phases.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <talloc.h>

#include "command.h"
#include "logs.h"

/*
 * A log line counts as the first sign of a failure if it was written no longer than this before the
 * decision: the time of two suspicions and a probe.
 */
#define DETECTION_LOOKBACK_MSEC 4000
/*
 * Proxies that use the new primary within this time after its promotion is seen count towards the
 * resume phase; a slow store takes 0.5 s of it.
 */
#define RESUME_WINDOW_MSEC 2000
#define TIME_UNSET	   INT64_MIN

typedef enum {
	PHASE_DETECT,
	PHASE_DECIDE,
	PHASE_PROMOTE,
	PHASE_RESUME,
	PHASE_TOTAL,
	PHASE_COUNT
} phase_t;

static const char *const phase_names[PHASE_COUNT] = {
	[PHASE_DETECT] = "detect", /* from the first sign at any proxy to the decision */
	/* release of the old primary and query of the members, until the promote call */
	[PHASE_DECIDE] = "decide",
	[PHASE_PROMOTE] = "promote", /* until the target is seen to be the primary */
	[PHASE_RESUME] = "resume",   /* until the last proxy within RESUME_WINDOW_MSEC uses it */
	[PHASE_TOTAL] = "whole",
};

typedef struct primary_change {
	const char *service;
	const char *reason;
	const char *old_primary;
	const char *new_primary;
	int64_t first_sign_at;
	int64_t decided_at;
	int64_t promote_called_at;
	int64_t new_primary_at;
	int64_t resumed_at;
	json_int_t roster_version; /* version of the roster that announced the new primary */
} primary_change_t;

typedef struct change_list {
	primary_change_t *items; /* talloc array */
	size_t count;
} change_list_t;

static bool has_text(const log_line_t *line, const char *text)
{
	return strcmp(log_line_string(line, "text"), text) == 0;
}

static bool has_service(const log_line_t *line, const char *service)
{
	return strcmp(log_line_string(line, "service"), service) == 0;
}

/* Time of the first sign of the old primary's failure; that of the decision if there is none. */
static int64_t find_first_sign(const logs_t *logs, size_t decision_index)
{
	const log_line_t *decision_line = &logs->lines[decision_index];
	int64_t first_sign_at = decision_line->msec;

	for (size_t i = decision_index;
	     i-- > 0 && logs->lines[i].msec >= decision_line->msec - DETECTION_LOOKBACK_MSEC;) {
		const log_line_t *line = &logs->lines[i];

		if (!has_service(line, log_line_string(decision_line, "service")))
			continue;
		if (has_text(line, "primary in use"))
			break;
		if ((has_text(line, "member is asked whether it lives") ||
		     has_text(line, "member is down")) &&
		    strcmp(log_line_string(line, "member"),
			   log_line_string(decision_line, "member")) == 0)
			first_sign_at = line->msec;
	}
	return first_sign_at;
}

static primary_change_t *find_last_change(change_list_t *list, const char *service)
{
	for (size_t i = list->count; i-- > 0;) {
		if (strcmp(list->items[i].service, service) == 0)
			return &list->items[i];
	}
	return NULL;
}

static void start_change(change_list_t *list, const logs_t *logs, size_t index)
{
	const log_line_t *line = &logs->lines[index];
	primary_change_t *previous = find_last_change(list, log_line_string(line, "service"));

	/* After a loss of leadership the next leader logs the same change again. */
	if (previous != NULL && previous->resumed_at == TIME_UNSET)
		return;
	list->items = talloc_realloc(NULL, list->items, primary_change_t, list->count + 1);
	list->items[list->count++] = (primary_change_t){
		.service = log_line_string(line, "service"),
		.reason = log_line_string(line, "reason"),
		.old_primary = log_line_string(line, "member"),
		.new_primary = "",
		.first_sign_at = find_first_sign(logs, index),
		.decided_at = line->msec,
		.promote_called_at = TIME_UNSET,
		.new_primary_at = TIME_UNSET,
		.resumed_at = TIME_UNSET,
	};
}

/*
 * A proxy that is cut off or starts during the change begins to use the new primary later; its line
 * is not counted.
 */
static void apply_primary_in_use(primary_change_t *change, const log_line_t *line)
{
	json_int_t roster_version = json_integer_value(json_object_get(line->object, "roster"));

	if (change->resumed_at == TIME_UNSET)
		change->roster_version = roster_version;
	if (roster_version == change->roster_version &&
	    line->msec <= change->new_primary_at + RESUME_WINDOW_MSEC)
		change->resumed_at = line->msec;
}

static void apply_line(primary_change_t *change, const log_line_t *line)
{
	const char *step = log_line_string(line, "step");

	if (has_text(line, "change of primary") && strcmp(step, "promoting") == 0) {
		if (change->promote_called_at == TIME_UNSET)
			change->promote_called_at = line->msec;
	} else if (has_text(line, "change of primary") && strcmp(step, "committing") == 0) {
		change->new_primary_at = line->msec;
		change->new_primary = log_line_string(line, "target");
	} else if (has_text(line, "primary in use") && change->new_primary_at != TIME_UNSET) {
		apply_primary_in_use(change, line);
	}
}

static void collect_changes(change_list_t *list, const logs_t *logs)
{
	for (size_t i = 0; i < logs->count; i++) {
		const log_line_t *line = &logs->lines[i];
		primary_change_t *change;

		if (has_text(line, "primary is to be replaced")) {
			start_change(list, logs, i);
			continue;
		}
		change = find_last_change(list, log_line_string(line, "service"));
		if (change != NULL)
			apply_line(change, line);
	}
}

static bool is_complete(const primary_change_t *change)
{
	return change->resumed_at != TIME_UNSET && change->promote_called_at != TIME_UNSET;
}

static int64_t phase_duration(const primary_change_t *change, phase_t phase)
{
	switch (phase) {
	case PHASE_DETECT:
		return change->decided_at - change->first_sign_at;
	case PHASE_DECIDE:
		return change->promote_called_at - change->decided_at;
	case PHASE_PROMOTE:
		return change->new_primary_at - change->promote_called_at;
	case PHASE_RESUME:
		return change->resumed_at - change->new_primary_at;
	default:
		return change->resumed_at - change->first_sign_at;
	}
}

static void print_change(const primary_change_t *change)
{
	printf("%s %s -> %s, %s:", change->service, change->old_primary, change->new_primary,
	       change->reason);
	if (!is_complete(change)) {
		printf(" not ended, or without a promote\n");
		return;
	}
	for (phase_t phase = 0; phase < PHASE_COUNT; phase++)
		printf(" %s %lld", phase_names[phase], (long long)phase_duration(change, phase));
	printf(" ms\n");
}

static int compare_durations(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return (left > right) - (left < right);
}

static void print_statistics(const change_list_t *list)
{
	int64_t *values = talloc_array(NULL, int64_t, list->count);

	for (phase_t phase = 0; phase < PHASE_COUNT; phase++) {
		size_t count = 0;

		for (size_t i = 0; i < list->count; i++) {
			if (is_complete(&list->items[i]))
				values[count++] = phase_duration(&list->items[i], phase);
		}
		if (count == 0)
			break;
		qsort(values, count, sizeof(values[0]), compare_durations);
		printf("%-8s ms: min %lld, median %lld, p95 %lld, most %lld (%zu changes)\n",
		       phase_names[phase], (long long)values[0], (long long)values[count / 2],
		       (long long)values[(count - 1) * 95 / 100], (long long)values[count - 1],
		       count);
	}
	talloc_free(values);
}

int run_changes(ctl_t *ctl, int argc, char **argv)
{
	change_list_t list = {0};
	logs_t logs = {0};
	int status;

	(void)ctl;
	status = logs_read(&logs, argc, argv);
	if (status == CTL_OK) {
		collect_changes(&list, &logs);
		for (size_t i = 0; i < list.count; i++)
			print_change(&list.items[i]);
		print_statistics(&list);
	}
	talloc_free(list.items);
	logs_free(&logs);
	return status;
}
