#include "log.h"

#include <errno.h>
#include <inttypes.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "counter.h"

/* Longest line, bytes; longer ones are cut. */
#define LINE_MAX_BYTES 2048
/* Lines that wait for a slow reader, bytes. */
#define BACKLOG_BYTES (64 * 1024)
/* A pipe that is ready takes so much without blocking (PIPE_BUF). */
#define CHUNK_BYTES 4096

COUNTER_DEFINE(lines_total, "log_lines_total", COUNTER_SUM, "Log lines written.");
COUNTER_DEFINE(limited_total, "log_lines_limited_total", COUNTER_SUM,
	       "Log lines left out because one place wrote too many.");
COUNTER_DEFINE(dropped_total, "log_lines_dropped_total", COUNTER_SUM,
	       "Log lines dropped because the output's reader is too slow.");

static const char *const level_names[] = {
	[LOG_ERR] = "error",
	[LOG_WARN] = "warning",
	[LOG_INFO] = "info",
	[LOG_DBG] = "debug",
};

typedef struct line {
	char bytes[LINE_MAX_BYTES];
	size_t len;
} line_t;

static log_level_t log_level = LOG_INFO;
static bool log_json;
static int log_fd = STDERR_FILENO;
static char backlog[BACKLOG_BYTES];
static size_t backlog_len;

void log_init(log_level_t level, bool json, log_target_t target)
{
	static bool registered;

	if (!registered)
		atexit(log_flush);
	registered = true;
	log_level = level;
	log_json = json;
	log_fd = target == LOG_TO_STDOUT ? STDOUT_FILENO : STDERR_FILENO;
}

bool log_enabled(log_level_t level)
{
	return level <= log_level;
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

/* --- output --- */

void log_flush(void)
{
	while (backlog_len != 0) {
		struct pollfd ready = {.fd = log_fd, .events = POLLOUT};
		size_t len = backlog_len < CHUNK_BYTES ? backlog_len : CHUNK_BYTES;
		ssize_t n;

		if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
			return;
		n = write(log_fd, backlog, len);
		if (n <= 0)
			return;
		backlog_len -= (size_t)n;
		memmove(backlog, backlog + n, backlog_len);
	}
}

static void put(const line_t *line)
{
	if (backlog_len + line->len > sizeof(backlog)) {
		log_flush();
		if (backlog_len + line->len > sizeof(backlog)) {
			counter_add(&dropped_total, 1);
			return;
		}
	}
	memcpy(backlog + backlog_len, line->bytes, line->len);
	backlog_len += line->len;
	counter_add(&lines_total, 1);
	if (backlog_len >= CHUNK_BYTES)
		log_flush();
}

/* --- one line --- */

/* Room is kept for the end of the line, so that a cut one is still whole JSON. */
#define LINE_END_ROOM 4

static void add_char(line_t *line, char c)
{
	if (line->len < sizeof(line->bytes) - LINE_END_ROOM)
		line->bytes[line->len++] = c;
}

static void add_plain(line_t *line, const char *text)
{
	for (; *text != '\0'; text++)
		add_char(line, *text);
}

static void add_escaped(line_t *line, const char *text, size_t len)
{
	for (size_t i = 0; i < len && (len != SIZE_MAX || text[i] != '\0'); i++) {
		unsigned char c = (unsigned char)text[i];
		char code[8];

		/* A character that does not fit whole is left out whole. */
		if (line->len + sizeof(code) >= sizeof(line->bytes) - LINE_END_ROOM)
			return;
		if (c == '"' || c == '\\') {
			add_char(line, '\\');
			add_char(line, (char)c);
		} else if (c < 0x20 || c >= 0x7f) {
			snprintf(code, sizeof(code), "\\u%04x", c);
			add_plain(line, code);
		} else {
			add_char(line, (char)c);
		}
	}
}

static void add_text(line_t *line, const char *key, const char *text, size_t len)
{
	/* A field is begun only if its end fits too. */
	if (line->len + strlen(key) + 8 >= sizeof(line->bytes) - LINE_END_ROOM)
		return;
	if (log_json) {
		add_plain(line, line->len == 1 ? "\"" : ",\"");
		add_plain(line, key);
		add_plain(line, "\":\"");
		add_escaped(line, text, len);
		line->bytes[line->len++] = '"';
		return;
	}
	add_char(line, ' ');
	if (*key != '\0') {
		add_plain(line, key);
		add_char(line, '=');
	}
	add_escaped(line, text, len);
}

static void add_number(line_t *line, const char *key, int64_t number)
{
	char digits[24];

	snprintf(digits, sizeof(digits), "%" PRId64, number);
	if (line->len + strlen(key) + sizeof(digits) + 8 >= sizeof(line->bytes) - LINE_END_ROOM)
		return;
	add_plain(line, log_json ? ",\"" : " ");
	add_plain(line, key);
	add_plain(line, log_json ? "\":" : "=");
	add_plain(line, digits);
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

static void begin(line_t *line, log_level_t level, const char *module, const char *text)
{
	char when[40];

	format_time(when, sizeof(when));
	line->len = 0;
	if (log_json) {
		add_char(line, '{');
		add_text(line, "time", when, SIZE_MAX);
		add_text(line, "level", level_names[level], SIZE_MAX);
		add_text(line, "module", module, SIZE_MAX);
		add_text(line, "text", text, SIZE_MAX);
		return;
	}
	add_plain(line, when);
	add_char(line, ' ');
	add_plain(line, level_names[level]);
	add_char(line, ' ');
	add_plain(line, module);
	add_char(line, ':');
	add_text(line, "", text, SIZE_MAX);
}

static void end(line_t *line)
{
	if (log_json)
		line->bytes[line->len++] = '}';
	line->bytes[line->len++] = '\n';
	put(line);
}

/* --- interface --- */

void log_msg(log_level_t level, const char *module, const char *fmt, ...)
{
	char text[1024];
	line_t line;
	va_list ap;

	if (level > log_level)
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	begin(&line, level, module, text);
	end(&line);
}

static int64_t second_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec;
}

/* Returns false if the place has written enough in this second. */
static bool admit(log_site_t *site, unsigned *left_out)
{
	int64_t now = second_now();

	*left_out = 0;
	if (site->second != now) {
		site->second = now;
		site->written = 0;
		*left_out = site->suppressed;
		site->suppressed = 0;
	}
	if (site->written < LOG_SITE_LINES_PER_SEC) {
		site->written++;
		return true;
	}
	site->suppressed++;
	counter_add(&limited_total, 1);
	return false;
}

void log_event(log_site_t *site, log_level_t level, const char *module, const char *text,
	       const log_field_t *fields, size_t count)
{
	unsigned left_out;
	line_t line;

	if (!log_enabled(level) || !admit(site, &left_out))
		return;
	begin(&line, level, module, text);
	for (size_t i = 0; i < count; i++) {
		const log_field_t *field = &fields[i];

		if (field->kind == LOG_FIELD_INT)
			add_number(&line, field->key, field->number);
		else
			add_text(&line, field->key, field->text != NULL ? field->text : "",
				 field->text != NULL ? field->len : 0);
	}
	if (left_out != 0)
		add_number(&line, "left_out", left_out);
	end(&line);
}
