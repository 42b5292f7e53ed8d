/*
 * Settings files, validated. A constant table describes the type, default, range and meaning of
 * each key. An unknown key or a value out of range is an error whose message contains the file, the
 * line, the key, the value and what was expected.
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
	const char *default_text; /* default value as text; NULL: the key is required */
	int64_t min;		  /* of integers and numbers */
	int64_t max;
	const char *unit; /* "": none */
	const char *help;
	bool reloadable; /* a change takes effect on a reload; otherwise at a restart */
} setting_t;

/* The value of a list setting: a talloc array of strings. */
typedef struct string_list {
	char **items;
	size_t len;
} string_list_t;

/*
 * Reads the file at path into the structure out, which is the talloc parent of its strings. The
 * types of the fields are char * for strings, int64_t for integers, bool, string_list_t for lists,
 * and double for numbers.
 */
int settings_load(const char *path, const setting_t *specs, size_t len, void *out, err_t *err);

/* Like settings_load(), from a text; path is used in error messages only. */
int settings_parse(const char *text, const char *path, const setting_t *specs, size_t len,
		   void *out, err_t *err);

/* Writes one line for each setting: key, type, unit, default and meaning. */
void settings_describe(const setting_t *specs, size_t len, FILE *out);
