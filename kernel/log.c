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

/* Longer lines are truncated. */
#define LINE_MAX_BYTES 2048
/* Buffer for lines that the reader of the output has not read yet. */
#define BACKLOG_BYTES (64 * 1024)
/* Bytes that a pipe accepts without blocking when it polls as writable (PIPE_BUF). */
#define CHUNK_BYTES 4096

COUNTER_DEFINE(lines_total, "log_lines_total", COUNTER_SUM, "Log lines written.");
COUNTER_DEFINE(limited_total, "log_lines_limited_total", COUNTER_SUM,
	       "Log lines suppressed because their call site exceeded its rate limit.");
COUNTER_DEFINE(dropped_total, "log_lines_dropped_total", COUNTER_SUM,
	       "Log lines dropped because the reader of the output is too slow.");

static const char *const level_names[] = {
	[LOG_ERR] = "error",
	[LOG_WARN] = "warning",
	[LOG_INFO] = "info",
	[LOG_DBG] = "debug",
};

typedef struct log_buffer {
	char bytes[LINE_MAX_BYTES];
	size_t len;
} log_buffer_t;

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

/* Writes as much as the output accepts without blocking; returns the number of bytes. */
static size_t write_ready(const char *bytes, size_t len)
{
	size_t written = 0;

	while (written < len) {
		struct pollfd ready = {.fd = log_fd, .events = POLLOUT};
		size_t rest = len - written;
		ssize_t n;

		if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
			break;
		n = write(log_fd, bytes + written, rest < CHUNK_BYTES ? rest : CHUNK_BYTES);
		if (n <= 0)
			break;
		written += (size_t)n;
	}
	return written;
}

void log_flush(void)
{
	size_t written = write_ready(backlog, backlog_len);

	if (written == 0)
		return;
	backlog_len -= written;
	memmove(backlog, backlog + written, backlog_len);
}

static void enqueue_line(const log_buffer_t *line)
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

/* --- formatting of a line --- */

/* Bytes reserved for the end of the line, so that a truncated line is still valid JSON. */
#define LINE_END_ROOM 4

static void append_char(log_buffer_t *line, char c)
{
	if (line->len < sizeof(line->bytes) - LINE_END_ROOM)
		line->bytes[line->len++] = c;
}

static void append_plain(log_buffer_t *line, const char *text)
{
	for (; *text != '\0'; text++)
		append_char(line, *text);
}

static void append_escaped(log_buffer_t *line, const char *text, size_t len)
{
	for (size_t i = 0; i < len && (len != SIZE_MAX || text[i] != '\0'); i++) {
		unsigned char c = (unsigned char)text[i];
		char code[8];

		/* Stop before a character whose escape sequence would not fit completely. */
		if (line->len + sizeof(code) >= sizeof(line->bytes) - LINE_END_ROOM)
			return;
		if (c == '"' || c == '\\') {
			append_char(line, '\\');
			append_char(line, (char)c);
		} else if (c < 0x20 || c >= 0x7f) {
			snprintf(code, sizeof(code), "\\u%04x", c);
			append_plain(line, code);
		} else {
			append_char(line, (char)c);
		}
	}
}

static void append_text_field(log_buffer_t *line, const char *key, const char *text, size_t len)
{
	/* Skip a field unless its key and its closing quote fit. */
	if (line->len + strlen(key) + 8 >= sizeof(line->bytes) - LINE_END_ROOM)
		return;
	if (log_json) {
		append_plain(line, line->len == 1 ? "\"" : ",\"");
		append_plain(line, key);
		append_plain(line, "\":\"");
		append_escaped(line, text, len);
		line->bytes[line->len++] = '"';
		return;
	}
	append_char(line, ' ');
	if (*key != '\0') {
		append_plain(line, key);
		append_char(line, '=');
	}
	append_escaped(line, text, len);
}

static void append_int_field(log_buffer_t *line, const char *key, int64_t number)
{
	char digits[24];

	snprintf(digits, sizeof(digits), "%" PRId64, number);
	if (line->len + strlen(key) + sizeof(digits) + 8 >= sizeof(line->bytes) - LINE_END_ROOM)
		return;
	append_plain(line, log_json ? ",\"" : " ");
	append_plain(line, key);
	append_plain(line, log_json ? "\":" : "=");
	append_plain(line, digits);
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

static void begin_line(log_buffer_t *line, log_level_t level, const char *module, const char *text)
{
	char timestamp[40];

	format_time(timestamp, sizeof(timestamp));
	line->len = 0;
	if (log_json) {
		append_char(line, '{');
		append_text_field(line, "time", timestamp, SIZE_MAX);
		append_text_field(line, "level", level_names[level], SIZE_MAX);
		append_text_field(line, "module", module, SIZE_MAX);
		append_text_field(line, "text", text, SIZE_MAX);
		return;
	}
	append_plain(line, timestamp);
	append_char(line, ' ');
	append_plain(line, level_names[level]);
	append_char(line, ' ');
	append_plain(line, module);
	append_char(line, ':');
	append_text_field(line, "", text, SIZE_MAX);
}

static void append_fields(log_buffer_t *line, const log_field_t *fields, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		const log_field_t *field = &fields[i];

		if (field->kind == LOG_FIELD_INT)
			append_int_field(line, field->key, field->number);
		else
			append_text_field(line, field->key, field->text != NULL ? field->text : "",
					  field->text != NULL ? field->len : 0);
	}
}

static void finish_line(log_buffer_t *line)
{
	if (log_json)
		line->bytes[line->len++] = '}';
	line->bytes[line->len++] = '\n';
}

/* --- interface --- */

void log_msg(log_level_t level, const char *module, const char *fmt, ...)
{
	char text[1024];
	log_buffer_t line;
	va_list ap;

	if (level > log_level)
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	begin_line(&line, level, module, text);
	finish_line(&line);
	enqueue_line(&line);
}

static int64_t monotonic_seconds(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec;
}

/*
 * Counts a line against the call site's rate limit and returns whether it may be written.
 * suppressed is set to the number of lines to report with it.
 */
static bool admit_line(log_site_t *site, unsigned *suppressed)
{
	int64_t now = monotonic_seconds();

	*suppressed = 0;
	if (site->second != now) {
		site->second = now;
		site->written = 0;
		*suppressed = site->suppressed;
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
	unsigned suppressed;
	log_buffer_t line;

	if (!log_enabled(level) || !admit_line(site, &suppressed))
		return;
	begin_line(&line, level, module, text);
	append_fields(&line, fields, count);
	if (suppressed != 0)
		append_int_field(&line, "left_out", suppressed);
	finish_line(&line);
	enqueue_line(&line);
}

void log_last_event(log_level_t level, const char *module, const char *text,
		    const log_field_t *fields, size_t count)
{
	log_buffer_t line;

	begin_line(&line, level, module, text);
	append_fields(&line, fields, count);
	finish_line(&line);
	write_ready(backlog, backlog_len);
	write_ready(line.bytes, line.len);
}
