/*
 * HTTP client on the loop: libcurl's multi interface, which keeps connections
 * open between calls and bounds each in time. h2o's own client opens one a call.
 */
#pragma once

#include <stdbool.h>

#include <curl/curl.h>

#include "list.h"
#include "loop.h"

struct httpc;
struct httpc_call;

/* ok is false when there was no whole answer in time; body is then empty. */
typedef void (*httpc_done_t)(struct httpc_call *call, bool ok, long status, const char *body,
			     size_t len);
/* Part of a streamed answer. */
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
	char *body; /* talloc, grows */
	httpc_done_t on_done;
	httpc_data_t on_data; /* set for a stream: the body is not kept */
	void *data;
	uint64_t id;
} httpc_call_t;

int httpc_init(httpc_t *httpc, loop_t *loop);

/* Ends all calls without their callbacks. */
void httpc_destroy(httpc_t *httpc);

/* What to send. Texts are copied. */
typedef struct httpc_request {
	const char *url;
	const char *method;	    /* NULL: GET without a body, else POST */
	const char *body;	    /* JSON, or NULL for none */
	const char *const *headers; /* "Name: value", NULL at the end; or NULL for none */
	int64_t timeout_ms;	    /* 0: a stream without an end */
	bool fast_keepalive;	    /* a silent connection is noticed within seconds */
	httpc_done_t on_done;
	httpc_data_t on_data; /* set for a stream */
	void *data;
} httpc_request_t;

/* The call is freed after on_done. */
httpc_call_t *httpc_start(httpc_t *httpc, const httpc_request_t *request);

/* A header of the answer, during on_done; NULL if it has none of that name. */
const char *httpc_header(const httpc_call_t *call, const char *name);

/* End a call without its callback. */
void httpc_cancel(httpc_call_t *call);
