#include "logs.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <talloc.h>

#include "command.h"

#define LINE_MAX_BYTES 8192

/*
 * Converts an ISO 8601 time such as 2026-01-18T20:17:51.056Z to milliseconds since 1970. Returns -1
 * for any other text.
 */
static int64_t parse_time(const char *text)
{
	struct tm tm = {0};
	const char *rest = text != NULL ? strptime(text, "%Y-%m-%dT%H:%M:%S", &tm) : NULL;

	if (rest == NULL || *rest != '.')
		return -1;
	return (int64_t)timegm(&tm) * 1000 + strtol(rest + 1, NULL, 10);
}

const char *log_line_string(const log_line_t *line, const char *key)
{
	const char *text = json_string_value(json_object_get(line->object, key));

	return text != NULL ? text : "";
}

static void add_line(logs_t *logs, const char *name, char *text)
{
	char *brace = strchr(text, '{');
	log_line_t line = {0};

	if (brace == NULL)
		return;
	line.object = json_loads(brace, 0, NULL);
	line.msec = parse_time(log_line_string(&line, "time"));
	if (line.msec < 0) {
		json_decref(line.object);
		return;
	}
	if ((logs->count & (logs->count - 1)) == 0)
		logs->lines = talloc_realloc(NULL, logs->lines, log_line_t, 2 * logs->count + 1);
	*brace = '\0';
	line.source = talloc_strdup(logs->lines, brace != text ? text : name);
	logs->lines[logs->count++] = line;
}

static void read_lines(logs_t *logs, const char *name, FILE *in)
{
	char text[LINE_MAX_BYTES];

	while (fgets(text, sizeof(text), in) != NULL)
		add_line(logs, name, text);
}

static int compare_time(const void *a, const void *b)
{
	const log_line_t *left = a;
	const log_line_t *right = b;

	return (left->msec > right->msec) - (left->msec < right->msec);
}

int logs_read(logs_t *logs, int argc, char **argv)
{
	if (argc == 0)
		read_lines(logs, "input", stdin);
	for (int i = 0; i < argc; i++) {
		FILE *in = fopen(argv[i], "r");

		if (in == NULL) {
			fprintf(stderr, "cyclamenctl: %s: the file can't be read\n", argv[i]);
			return CTL_LOCAL_ERROR;
		}
		read_lines(logs, argv[i], in);
		fclose(in);
	}
	if (logs->count != 0)
		qsort(logs->lines, logs->count, sizeof(logs->lines[0]), compare_time);
	return CTL_OK;
}

void logs_free(logs_t *logs)
{
	for (size_t i = 0; i < logs->count; i++)
		json_decref(logs->lines[i].object);
	talloc_free(logs->lines);
	*logs = (logs_t){0};
}
