/* Parses TOML into a flat JSON object with line numbers, by a C++ library. */
#pragma once

#include <stddef.h>

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Returns {"table.key": {"value": ..., "line": n}, ...}. On a syntax error, returns NULL and sets
 * line and message to the line and the description of the error.
 */
json_t *toml_parse(const char *text, int *line, char *message, size_t len);

#ifdef __cplusplus
}
#endif
