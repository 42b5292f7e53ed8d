#include "framing.h"

#include <string.h>
#include <strings.h>

#define LENGTH_FIELD   "content-length"
#define ENCODING_FIELD "transfer-encoding"

typedef struct text {
	const char *base;
	size_t len;
} text_t;

/* The next line without its end; the rest moves behind it. False if there is no whole line. */
static bool take_line(text_t *rest, text_t *line)
{
	const char *lf = memchr(rest->base, '\n', rest->len);

	if (lf == NULL)
		return false;
	*line = (text_t){rest->base, (size_t)(lf - rest->base)};
	rest->len -= line->len + 1;
	rest->base = lf + 1;
	if (line->len > 0 && line->base[line->len - 1] == '\r')
		line->len--;
	return true;
}

static bool is_blank(char c)
{
	return c == ' ' || c == '\t';
}

/* The value of the line's field if it is this one. */
static bool read_field(const text_t *line, const char *name, text_t *value)
{
	size_t name_len = strlen(name);

	if (line->len <= name_len || line->base[name_len] != ':' ||
	    strncasecmp(line->base, name, name_len) != 0)
		return false;
	*value = (text_t){line->base + name_len + 1, line->len - name_len - 1};
	while (value->len > 0 && is_blank(value->base[0])) {
		value->base++;
		value->len--;
	}
	while (value->len > 0 && is_blank(value->base[value->len - 1]))
		value->len--;
	return true;
}

static bool same_text(const text_t *a, const text_t *b)
{
	return a->len == b->len && memcmp(a->base, b->base, a->len) == 0;
}

bool framing_is_ambiguous(const char *head, size_t len)
{
	text_t rest = {head, len};
	text_t length = {NULL, 0};
	bool is_encoded = false;
	text_t line;
	text_t value;

	while (take_line(&rest, &line) && line.len > 0) {
		if (read_field(&line, ENCODING_FIELD, &value))
			is_encoded = true;
		if (!read_field(&line, LENGTH_FIELD, &value))
			continue;
		if (length.base != NULL && !same_text(&length, &value))
			return true;
		length = value;
	}
	return is_encoded && length.base != NULL;
}
