/* An HTTP server on h2o: one listener, one handler for all paths, JSON out. */
#pragma once

#include <h2o.h>
#include <jansson.h>

#include "err.h"
#include "list.h"
#include "loop.h"

struct httpd;

/* Handle one request; returns 0 if it will be answered, -1 for h2o's "not found". */
typedef int (*httpd_handler_t)(struct httpd *httpd, h2o_req_t *req);

typedef struct httpd {
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	h2o_socket_t *listener;
	list_t conns;	    /* open connections, each until h2o closes it */
	int close_attempts; /* of httpd_close_idle() */
	httpd_handler_t handle;
	void *data;
} httpd_t;

/* Listen on address, IP:PORT. */
int httpd_start(httpd_t *httpd, loop_t *loop, const char *address, size_t max_body,
		httpd_handler_t handle, void *data, err_t *err);

/* Accept no more than what has connected by now; connections end when their requests have. */
void httpd_drain(httpd_t *httpd);

/*
 * Drain, close the connections that have nothing to read or write, and return
 * true if there are no others. Requests must not be waiting for their answers.
 */
bool httpd_close_idle(httpd_t *httpd);

/* Answer with a JSON body, which is taken over. retry_after_ms 0: none. */
void httpd_send_json(h2o_req_t *req, int status, json_t *body, uint64_t retry_after_ms);

bool httpd_request_matches(const h2o_req_t *req, const char *method, const char *path);
