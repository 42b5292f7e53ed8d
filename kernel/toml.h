/* The one C++ shim: a TOML text as a flat JSON object with line numbers. */
#pragma once

#include <stddef.h>

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Returns {"table.key": {"value": ..., "line": n}, ...}, or NULL with the line
 * and the reason of the first syntax error.
 */
json_t *toml_parse(const char *text, int *line, char *message, size_t len);

#ifdef __cplusplus
}
#endif
