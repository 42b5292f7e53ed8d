/*
 * Logger. Each event is one line with time, level, module, text and typed fields, written as a JSON
 * object or as key=value text. Callers must not pass secrets.
 *
 * A source file that logs defines LOG_MODULE before it includes this header. The volume is bounded:
 * each call site may write LOG_SITE_LINES_PER_SEC lines per second. Further lines are suppressed
 * and counted, and the next line from that call site carries their number. Writing never blocks: if
 * the reader of the output is too slow, lines are dropped and counted.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Lines per second and call site; with lines of 400 bytes that is 8 KB/s. */
#define LOG_SITE_LINES_PER_SEC 20

typedef enum { LOG_ERR, LOG_WARN, LOG_INFO, LOG_DBG } log_level_t;

typedef enum { LOG_FIELD_INT, LOG_FIELD_TEXT } log_field_kind_t;

typedef struct log_field {
	const char *key;
	log_field_kind_t kind;
	int64_t number;
	const char *text; /* NULL is logged as "" */
	size_t len;	  /* of text; SIZE_MAX: up to its NUL */
} log_field_t;

/* Rate limit of one call site in the code. */
typedef struct log_site {
	int64_t second; /* of the monotonic clock, to which written refers */
	unsigned written;
	unsigned suppressed; /* lines not yet reported */
} log_site_t;

typedef enum { LOG_TO_STDERR, LOG_TO_STDOUT } log_target_t;

/* Logs events up to level to target, as JSON lines if json is set. */
void log_init(log_level_t level, bool json, log_target_t target);

/* Returns 0, or -EINVAL if name is not the name of a level. */
int log_level_parse(const char *name, log_level_t *level);

/* Logs a formatted text without fields and without a rate limit. */
void log_msg(log_level_t level, const char *module, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* Logs text with fields, unless the call site has exceeded its rate limit. */
void log_event(log_site_t *site, log_level_t level, const char *module, const char *text,
	       const log_field_t *fields, size_t count);

bool log_enabled(log_level_t level);

/*
 * Writes the buffered lines and another one. For a thread that is about to end the process while
 * the thread that logs may be anywhere: a line of the latter may be incomplete, or written twice.
 */
void log_last_event(log_level_t level, const char *module, const char *text,
		    const log_field_t *fields, size_t count);

/* Writes the buffered lines. The event loop calls this function once in each iteration. */
void log_flush(void);

#define LOG_ERROR(...)	 log_msg(LOG_ERR, LOG_MODULE, __VA_ARGS__)
#define LOG_WARNING(...) log_msg(LOG_WARN, LOG_MODULE, __VA_ARGS__)
#define LOG_INFORM(...)	 log_msg(LOG_INFO, LOG_MODULE, __VA_ARGS__)
#define LOG_DEBUG(...)	 log_msg(LOG_DBG, LOG_MODULE, __VA_ARGS__)

#define LOG_STR(name, value)                                                                       \
	((log_field_t){.key = (name), .kind = LOG_FIELD_TEXT, .text = (value), .len = SIZE_MAX})
#define LOG_SLICE(name, value, length)                                                             \
	((log_field_t){.key = (name), .kind = LOG_FIELD_TEXT, .text = (value), .len = (length)})
#define LOG_INT(name, value)                                                                       \
	((log_field_t){.key = (name), .kind = LOG_FIELD_INT, .number = (int64_t)(value)})

/* Like LOG_EVENT, with an array of fields. */
#define LOG_FIELDS(level, what, fields, count)                                                     \
	do {                                                                                       \
		static log_site_t log_site_;                                                       \
		log_event(&log_site_, level, LOG_MODULE, what, fields, count);                     \
	} while (0)

/* Example: LOG_EVENT(LOG_INFO, "what happened", LOG_STR("peer", name), LOG_INT("age_ms", age)); */
#define LOG_EVENT(level, what, ...)                                                                \
	do {                                                                                       \
		static log_site_t log_site_;                                                       \
		if (log_enabled(level)) {                                                          \
			const log_field_t log_fields_[] = {__VA_ARGS__};                           \
			log_event(&log_site_, level, LOG_MODULE, what, log_fields_,                \
				  sizeof(log_fields_) / sizeof(log_fields_[0]));                   \
		}                                                                                  \
	} while (0)
