/*
 * Asynchronous HTTP client on the event loop. It uses libcurl's multi interface, which keeps
 * connections open between calls and has time-outs for each call; h2o's own client opens a
 * connection for each call.
 */
#pragma once

#include <stdbool.h>

#include <curl/curl.h>

#include "list.h"
#include "loop.h"

struct httpc;
struct httpc_call;

/*
 * Called when a call ends. ok is false if the response was not received completely, be it for a
 * time-out or an error; status and body may then hold the part that was received.
 */
typedef void (*httpc_done_t)(struct httpc_call *call, bool ok, long status, const char *body,
			     size_t len);
/* Called for each chunk of a streamed response body. */
typedef void (*httpc_data_t)(struct httpc_call *call, const char *data, size_t len);

typedef struct httpc {
	loop_t *loop;
	CURLM *multi;
	run_timer_t timer;
	list_t calls;
} httpc_t;

typedef struct httpc_call {
	list_t node; /* in httpc_t.calls */
	httpc_t *httpc;
	CURL *easy;
	struct curl_slist *headers;
	char *body; /* talloc; grows with each chunk that is received */
	httpc_done_t on_done;
	httpc_data_t on_data; /* for a streamed response, whose body is not collected; else NULL */
	void *data;
	uint64_t id;
} httpc_call_t;

int httpc_init(httpc_t *httpc, loop_t *loop);

/* Abort all calls without invoking their callbacks. */
void httpc_destroy(httpc_t *httpc);

/* A request to send; httpc_start() copies its strings. */
typedef struct httpc_request {
	const char *url;
	const char *method;	    /* NULL: POST if there is a body, else GET */
	const char *body;	    /* JSON, or NULL for none */
	const char *const *headers; /* "Name: value" strings, ended by NULL; NULL for none */
	int64_t timeout_ms;	    /* for the whole call; 0: none, for a stream */
	bool fast_keepalive;	    /* detect a silent connection within about 3 s */
	httpc_done_t on_done;
	httpc_data_t on_data; /* for a streamed response, else NULL */
	void *data;
} httpc_request_t;

/* Start a call; it is freed after on_done has returned. */
httpc_call_t *httpc_start(httpc_t *httpc, const httpc_request_t *request);

/* Value of a response header, or NULL; valid only while on_done runs. */
const char *httpc_header(const httpc_call_t *call, const char *name);

/* Abort a call without invoking its callback. */
void httpc_cancel(httpc_call_t *call);
