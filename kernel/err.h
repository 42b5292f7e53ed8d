/*
 * Errors. A function that can fail returns 0 or a negative errno value; an
 * err_t beside it carries the step and the peer at which the error arose.
 */
#pragma once

#include <stddef.h>

typedef struct err {
	int code;	  /* negative errno, 0 for none */
	const char *step; /* static string: what was being done */
	char peer[64];	  /* who it was done with, "" for nobody */
	char text[192];	  /* detail in plain words */
} err_t;

/* Fill err (which may be NULL) and return code, so that callers can return it. */
int err_set(err_t *err, int code, const char *step, const char *peer, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

/* One line, "step: peer: text (errno text)", into buf. */
void err_format(const err_t *err, char *buf, size_t len);
