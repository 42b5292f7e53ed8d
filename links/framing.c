#include "framing.h"

#include <string.h>
#include <strings.h>

#define LENGTH_FIELD   "content-length"
#define ENCODING_FIELD "transfer-encoding"

typedef struct slice {
	const char *base;
	size_t len;
} slice_t;

/*
 * Read a line without its line end, and advance rest past the line. Returns false if rest has no
 * complete line.
 */
static bool next_line(slice_t *rest, slice_t *line)
{
	const char *lf = memchr(rest->base, '\n', rest->len);

	if (lf == NULL)
		return false;
	*line = (slice_t){rest->base, (size_t)(lf - rest->base)};
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

/* If the line is the header field called name, set value and return true. */
static bool match_field(const slice_t *line, const char *name, slice_t *value)
{
	size_t name_len = strlen(name);

	if (line->len <= name_len || line->base[name_len] != ':' ||
	    strncasecmp(line->base, name, name_len) != 0)
		return false;
	*value = (slice_t){line->base + name_len + 1, line->len - name_len - 1};
	while (value->len > 0 && is_blank(value->base[0])) {
		value->base++;
		value->len--;
	}
	while (value->len > 0 && is_blank(value->base[value->len - 1]))
		value->len--;
	return true;
}

static bool slices_are_equal(const slice_t *a, const slice_t *b)
{
	return a->len == b->len && memcmp(a->base, b->base, a->len) == 0;
}

bool framing_is_ambiguous(const char *head, size_t len)
{
	slice_t rest = {head, len};
	slice_t first_length = {NULL, 0};
	bool is_encoded = false;
	slice_t line;
	slice_t value;

	while (next_line(&rest, &line) && line.len > 0) {
		if (match_field(&line, ENCODING_FIELD, &value))
			is_encoded = true;
		if (!match_field(&line, LENGTH_FIELD, &value))
			continue;
		if (first_length.base != NULL && !slices_are_equal(&first_length, &value))
			return true;
		first_length = value;
	}
	return is_encoded && first_length.base != NULL;
}
