#include "err.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

int err_set(err_t *err, int code, const char *step, const char *peer, const char *fmt, ...)
{
	va_list ap;

	if (err == NULL)
		return code;
	err->code = code;
	err->step = step;
	snprintf(err->peer, sizeof(err->peer), "%s", peer != NULL ? peer : "");
	va_start(ap, fmt);
	vsnprintf(err->text, sizeof(err->text), fmt, ap);
	va_end(ap);
	return code;
}

void err_format(const err_t *err, char *buf, size_t len)
{
	const char *sep = err->peer[0] != '\0' ? ": " : "";

	snprintf(buf, len, "%s: %s%s%s (%s)", err->step, err->peer, sep, err->text,
		 strerror(-err->code));
}
