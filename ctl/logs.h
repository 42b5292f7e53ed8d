/* Reads the logs of poolers, one JSON object per line, from files or standard input. */
#pragma once

#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

typedef struct log_line {
	int64_t msec; /* since 1970, by the clock of the VM that wrote the line */
	char *source; /* text before the JSON object, or else the file's name */
	json_t *object;
} log_line_t;

typedef struct logs {
	log_line_t *lines; /* talloc array, sorted by time */
	size_t count;
} logs_t;

/*
 * Reads the files in argv, or standard input if argc is 0. Text lines without a JSON object that
 * has a valid time are skipped. Returns an exit code; the caller calls logs_free() also after an
 * error.
 */
int logs_read(logs_t *logs, int argc, char **argv);
void logs_free(logs_t *logs);

/* Returns the string value of a field, "" if the field is missing or not a string. */
const char *log_line_string(const log_line_t *line, const char *key);
