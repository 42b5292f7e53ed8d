/*
 * What the logs tell of the changes of primary: how long callers of a service
 * had none, and what the time went into.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <talloc.h>

#include "command.h"
#include "logs.h"

/* How long before the decision a sign of the failure may be: two suspicions and a probe. */
#define SIGN_MSEC 4000
/* From the new primary seen to lead to its use; a slow store takes 0.5 s of it. */
#define AT_ONCE_MSEC 2000
#define NOT_YET	     INT64_MIN

typedef enum { PART_DETECT, PART_DECIDE, PART_PROMOTE, PART_RESUME, PART_WHOLE, PART_COUNT } part_t;

static const char *const part_names[PART_COUNT] = {
	[PART_DETECT] = "detect",   /* first sign at any proxy, to the decision */
	[PART_DECIDE] = "decide",   /* marked, released, members asked, to the promote */
	[PART_PROMOTE] = "promote", /* to the new primary seen to lead */
	[PART_RESUME] = "resume",   /* to the last proxy that heard of it at once */
	[PART_WHOLE] = "whole",
};

typedef struct primary_change {
	const char *service;
	const char *reason;
	const char *old;
	const char *new;
	int64_t sign;
	int64_t begun;
	int64_t promoted;
	int64_t seen;
	int64_t resumed;
	json_int_t roster; /* with which the proxies heard of it */
} primary_change_t;

typedef struct change_list {
	primary_change_t *items; /* talloc array */
	size_t count;
} change_list_t;

static bool says(const log_line_t *line, const char *text)
{
	return strcmp(logs_text(line, "text"), text) == 0;
}

static bool is_about(const log_line_t *line, const char *service)
{
	return strcmp(logs_text(line, "service"), service) == 0;
}

/* The first sign of the old primary's failure; the decision itself if there is none before. */
static int64_t find_sign(const logs_t *logs, size_t decision)
{
	const log_line_t *made = &logs->lines[decision];
	int64_t sign = made->msec;

	for (size_t i = decision; i-- > 0 && logs->lines[i].msec >= made->msec - SIGN_MSEC;) {
		const log_line_t *line = &logs->lines[i];

		if (!is_about(line, logs_text(made, "service")))
			continue;
		if (says(line, "primary in use"))
			break;
		if ((says(line, "member is asked whether it lives") ||
		     says(line, "member is down")) &&
		    strcmp(logs_text(line, "member"), logs_text(made, "member")) == 0)
			sign = line->msec;
	}
	return sign;
}

static primary_change_t *last_of(change_list_t *list, const char *service)
{
	for (size_t i = list->count; i-- > 0;) {
		if (strcmp(list->items[i].service, service) == 0)
			return &list->items[i];
	}
	return NULL;
}

static void begin(change_list_t *list, const logs_t *logs, size_t at)
{
	const log_line_t *line = &logs->lines[at];
	primary_change_t *last = last_of(list, logs_text(line, "service"));

	/* A holder that lost the duty in between; its successor goes on with the same change. */
	if (last != NULL && last->resumed == NOT_YET)
		return;
	list->items = talloc_realloc(NULL, list->items, primary_change_t, list->count + 1);
	list->items[list->count++] = (primary_change_t){
		.service = logs_text(line, "service"),
		.reason = logs_text(line, "reason"),
		.old = logs_text(line, "member"),
		.new = "",
		.sign = find_sign(logs, at),
		.begun = line->msec,
		.promoted = NOT_YET,
		.seen = NOT_YET,
		.resumed = NOT_YET,
	};
}

/* Proxies that are cut off or start meanwhile hear of it later; not counted. */
static void note_use(primary_change_t *change, const log_line_t *line)
{
	json_int_t roster = json_integer_value(json_object_get(line->object, "roster"));

	if (change->resumed == NOT_YET)
		change->roster = roster;
	if (roster == change->roster && line->msec <= change->seen + AT_ONCE_MSEC)
		change->resumed = line->msec;
}

static void take(primary_change_t *change, const log_line_t *line)
{
	const char *step = logs_text(line, "step");

	if (says(line, "change of primary") && strcmp(step, "promoting") == 0) {
		if (change->promoted == NOT_YET)
			change->promoted = line->msec;
	} else if (says(line, "change of primary") && strcmp(step, "committing") == 0) {
		change->seen = line->msec;
		change->new = logs_text(line, "target");
	} else if (says(line, "primary in use") && change->seen != NOT_YET) {
		note_use(change, line);
	}
}

static void gather(change_list_t *list, const logs_t *logs)
{
	for (size_t i = 0; i < logs->count; i++) {
		const log_line_t *line = &logs->lines[i];
		primary_change_t *change;

		if (says(line, "primary is to be replaced")) {
			begin(list, logs, i);
			continue;
		}
		change = last_of(list, logs_text(line, "service"));
		if (change != NULL)
			take(change, line);
	}
}

static bool is_whole(const primary_change_t *change)
{
	return change->resumed != NOT_YET && change->promoted != NOT_YET;
}

static int64_t part_of(const primary_change_t *change, part_t part)
{
	switch (part) {
	case PART_DETECT:
		return change->begun - change->sign;
	case PART_DECIDE:
		return change->promoted - change->begun;
	case PART_PROMOTE:
		return change->seen - change->promoted;
	case PART_RESUME:
		return change->resumed - change->seen;
	default:
		return change->resumed - change->sign;
	}
}

static void print_change(const primary_change_t *change)
{
	printf("%s %s -> %s, %s:", change->service, change->old, change->new, change->reason);
	if (!is_whole(change)) {
		printf(" not ended, or without a promote\n");
		return;
	}
	for (part_t part = 0; part < PART_COUNT; part++)
		printf(" %s %lld", part_names[part], (long long)part_of(change, part));
	printf(" ms\n");
}

static int compare(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return (left > right) - (left < right);
}

static void print_sums(const change_list_t *list)
{
	int64_t *values = talloc_array(NULL, int64_t, list->count);

	for (part_t part = 0; part < PART_COUNT; part++) {
		size_t count = 0;

		for (size_t i = 0; i < list->count; i++) {
			if (is_whole(&list->items[i]))
				values[count++] = part_of(&list->items[i], part);
		}
		if (count == 0)
			break;
		qsort(values, count, sizeof(values[0]), compare);
		printf("%-8s ms: min %lld, median %lld, p95 %lld, most %lld (%zu changes)\n",
		       part_names[part], (long long)values[0], (long long)values[count / 2],
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
		gather(&list, &logs);
		for (size_t i = 0; i < list.count; i++)
			print_change(&list.items[i]);
		print_sums(&list);
	}
	talloc_free(list.items);
	logs_free(&logs);
	return status;
}
