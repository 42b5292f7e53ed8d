/*
 * Errors. A function that can fail returns 0 or a negative errno value, and may also fill in an
 * err_t, which describes the failed operation and the peer or file involved.
 */
#pragma once

#include <stddef.h>

typedef struct err {
	int code;	  /* negative errno, 0: no error */
	const char *step; /* the operation that failed; a static string */
	char peer[64];	  /* the peer or file involved; "" if there is none */
	char text[192];	  /* description of the failure */
} err_t;

/* Fills in err, which may be NULL, and returns code, so that the caller can return it at once. */
int err_set(err_t *err, int code, const char *step, const char *peer, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

/* Writes one line, "step: peer: text (text of errno)", to buf. */
void err_format(const err_t *err, char *buf, size_t len);
