/* HTTP client for the operator endpoint of a proxy. */
#pragma once

#include <jansson.h>

#include "err.h"

typedef struct client {
	const char *endpoint; /* http://IP:PORT */
	char *token;
} client_t;

/*
 * Sends GET path, or POST path with body as JSON if body is not NULL. Returns 0 with the HTTP
 * status and the response body, or -EHOSTUNREACH. The caller frees *response with talloc_free() in
 * both cases.
 */
int client_call(const client_t *client, const char *path, const json_t *body, long *status,
		char **response, err_t *err);
