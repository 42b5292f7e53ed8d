/*
 * Logger. One line an event: time, level, module, text with key=value fields,
 * or the same as a JSON object. Secrets are never passed to it.
 *
 * A module that logs defines LOG_MODULE before it includes this header.
 */
#pragma once

#include <stdbool.h>

typedef enum { LOG_ERR, LOG_WARN, LOG_INFO, LOG_DBG } log_level_t;

/* Send everything up to level to standard error, as JSON lines if json is set. */
void log_init(log_level_t level, bool json);

/* Returns 0, or -EINVAL for a name that is no level. */
int log_level_parse(const char *name, log_level_t *level);

void log_msg(log_level_t level, const char *module, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#define LOG_ERROR(...)	 log_msg(LOG_ERR, LOG_MODULE, __VA_ARGS__)
#define LOG_WARNING(...) log_msg(LOG_WARN, LOG_MODULE, __VA_ARGS__)
#define LOG_INFORM(...)	 log_msg(LOG_INFO, LOG_MODULE, __VA_ARGS__)
#define LOG_DEBUG(...)	 log_msg(LOG_DBG, LOG_MODULE, __VA_ARGS__)
