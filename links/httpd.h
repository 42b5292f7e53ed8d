/* An HTTP server on h2o, with one listener, one handler for all paths and JSON responses. */
#pragma once

#include <h2o.h>
#include <jansson.h>

#include "err.h"
#include "list.h"
#include "loop.h"

struct httpd;

/* Handle a request. Returns 0 if the handler responds to it, or -1 to let h2o send 404. */
typedef int (*httpd_handler_t)(struct httpd *httpd, h2o_req_t *req);

typedef struct httpd {
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	h2o_socket_t *listener;
	list_t conns;	    /* open connections, each until h2o closes it */
	int close_attempts; /* calls of httpd_close_idle() */
	httpd_handler_t handle;
	void *data;
} httpd_t;

/* Listen on address, IP:PORT. */
int httpd_start(httpd_t *httpd, loop_t *loop, const char *address, size_t max_body,
		httpd_handler_t handle, void *data, err_t *err);

/*
 * Accept the connections that are pending, then close the listener. Open connections are closed
 * when their requests are finished.
 */
void httpd_drain(httpd_t *httpd);

/*
 * Drain, then shut down the connections that have nothing to read or write. Returns true if no
 * other connection is left, or after CLOSE_ATTEMPTS_MAX calls, which shut down all connections.
 * Call it only when every request has been responded to.
 */
bool httpd_close_idle(httpd_t *httpd);

/* Send a JSON response and release body. retry_after_ms 0: no Retry-After header. */
void httpd_send_json(h2o_req_t *req, int status, json_t *body, uint64_t retry_after_ms);

bool httpd_request_matches(const h2o_req_t *req, const char *method, const char *path);
