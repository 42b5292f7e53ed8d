/* Calls on a proxy's operators' endpoint. */
#pragma once

#include <jansson.h>

#include "err.h"

typedef struct client {
	const char *endpoint; /* http://IP:PORT */
	char *token;
} client_t;

/*
 * GET path, or POST body if it is not NULL. Returns 0 with the HTTP status and
 * the answer as text (to be freed), or -EHOSTUNREACH.
 */
int client_call(const client_t *client, const char *path, const json_t *body, long *status,
		char **answer, err_t *err);
