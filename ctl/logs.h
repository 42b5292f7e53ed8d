/* Log lines of poolers, from files or standard input: JSON objects, a line each. */
#pragma once

#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

typedef struct log_line {
	int64_t msec; /* by the clock of the VM that wrote it */
	char *source; /* what stands before the JSON object, or the file's name */
	json_t *object;
} log_line_t;

typedef struct logs {
	log_line_t *lines; /* talloc array, by time */
	size_t count;
} logs_t;

/*
 * Read the files, or standard input if there are none. Lines that are no log lines are passed
 * over. Returns an exit code; what was read is freed by logs_free in any case.
 */
int logs_read(logs_t *logs, int argc, char **argv);
void logs_free(logs_t *logs);

/* The field's text, "" if it has none. */
const char *logs_text(const log_line_t *line, const char *key);
