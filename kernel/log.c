#include "log.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <jansson.h>

static const char *const level_names[] = {
	[LOG_ERR] = "error",
	[LOG_WARN] = "warning",
	[LOG_INFO] = "info",
	[LOG_DBG] = "debug",
};

static log_level_t log_level = LOG_INFO;
static bool log_json;

void log_init(log_level_t level, bool json)
{
	log_level = level;
	log_json = json;
}

int log_level_parse(const char *name, log_level_t *level)
{
	for (size_t i = 0; i < sizeof(level_names) / sizeof(level_names[0]); i++) {
		if (strcmp(name, level_names[i]) == 0) {
			*level = (log_level_t)i;
			return 0;
		}
	}
	return -EINVAL;
}

static void format_time(char *buf, size_t len)
{
	struct timespec ts;
	struct tm tm;
	size_t n;

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	n = strftime(buf, len, "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(buf + n, len - n, ".%03ldZ", ts.tv_nsec / 1000000);
}

static void write_json(const char *when, log_level_t level, const char *module, const char *text)
{
	json_t *line = json_pack("{s:s, s:s, s:s, s:s}", "time", when, "level", level_names[level],
				 "module", module, "text", text);

	json_dumpf(line, stderr, JSON_COMPACT);
	fputc('\n', stderr);
	json_decref(line);
}

void log_msg(log_level_t level, const char *module, const char *fmt, ...)
{
	char text[1024];
	char when[40];
	va_list ap;

	if (level > log_level)
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	format_time(when, sizeof(when));
	if (log_json)
		write_json(when, level, module, text);
	else
		fprintf(stderr, "%s %s %s: %s\n", when, level_names[level], module, text);
}
