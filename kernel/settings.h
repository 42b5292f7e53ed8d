/*
 * Checked settings. A const table describes every key: type, default, range
 * and meaning. Anything unknown or out of range is an error that gives file,
 * line, key, value and what was expected.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "err.h"

typedef enum {
	SETTING_STRING,
	SETTING_INT,
	SETTING_BOOL,
	SETTING_LIST,
	SETTING_NUMBER
} setting_type_t;

typedef struct setting {
	const char *key; /* "table.key" */
	setting_type_t type;
	size_t offset;		  /* of the field in the settings structure */
	const char *default_text; /* default as text; NULL: the key is required */
	int64_t min;		  /* integers and numbers */
	int64_t max;
	const char *unit; /* "" where none applies */
	const char *help;
	bool reloadable; /* takes effect on a reload; else needs a restart */
} setting_t;

/* A list setting: a talloc array of strings. */
typedef struct string_list {
	char **items;
	size_t len;
} string_list_t;

/*
 * Read path into out (a talloc context; strings become its children). Fields:
 * char * for strings, int64_t, bool, string_list_t, double for numbers.
 */
int settings_load(const char *path, const setting_t *specs, size_t len, void *out, err_t *err);

/* The same from a text; path is used in messages only. */
int settings_parse(const char *text, const char *path, const setting_t *specs, size_t len,
		   void *out, err_t *err);

/* One line a setting: key, type, unit, default, meaning. */
void settings_describe(const setting_t *specs, size_t len, FILE *out);
