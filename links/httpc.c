#include "httpc.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include <talloc.h>

#include "list.h"

#define CONNECT_TIMEOUT_MSEC 1000L
/* Idle time of a connection before TCP sends keep-alive probes, and time between the probes. */
#define KEEPALIVE_SEC 5L
/* The same for a connection whose loss must be detected within seconds. */
#define FAST_KEEPALIVE_SEC 1L
/* Together with FAST_KEEPALIVE_SEC: a silent connection is closed after about 3 s. */
#define USER_TIMEOUT_MSEC 2500

/* A socket of libcurl, watched by the event loop. */
typedef struct curl_watch {
	loop_watch_t watch;
	httpc_t *httpc;
	curl_socket_t fd;
	int poll_events;
} curl_watch_t;

static void finish_completed_calls(httpc_t *httpc);

static void run_socket_action(httpc_t *httpc, curl_socket_t fd, int what)
{
	int running;

	curl_multi_socket_action(httpc->multi, fd, what, &running);
	finish_completed_calls(httpc);
}

static void on_readable(loop_watch_t *watch)
{
	curl_watch_t *self = list_entry(watch, curl_watch_t, watch);

	run_socket_action(self->httpc, self->fd, CURL_CSELECT_IN);
}

static void on_writable(loop_watch_t *watch)
{
	curl_watch_t *self = list_entry(watch, curl_watch_t, watch);

	if (self->poll_events & CURL_POLL_OUT)
		run_socket_action(self->httpc, self->fd, CURL_CSELECT_OUT);
}

static curl_watch_t *watch_create(httpc_t *httpc, curl_socket_t fd)
{
	curl_watch_t *self = talloc_zero(NULL, curl_watch_t);

	self->httpc = httpc;
	self->fd = fd;
	if (loop_watch_start(httpc->loop, &self->watch, fd, on_readable) < 0) {
		talloc_free(self);
		return NULL;
	}
	curl_multi_assign(httpc->multi, fd, self);
	return self;
}

static int on_socket_change(CURL *easy, curl_socket_t fd, int what, void *data, void *socket_data)
{
	curl_watch_t *self = socket_data;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (self != NULL) {
			loop_watch_stop(&self->watch);
			talloc_free(self);
		}
		return 0;
	}
	if (self == NULL)
		self = watch_create(data, fd);
	if (self == NULL)
		return -1;
	self->poll_events = what;
	if (what & CURL_POLL_OUT)
		loop_watch_writable_once(&self->watch, on_writable);
	return 0;
}

static void on_timer(run_timer_t *timer, usec_t now)
{
	(void)now;
	run_socket_action(list_entry(timer, httpc_t, timer), CURL_SOCKET_TIMEOUT, 0);
}

static int on_timer_change(CURLM *multi, long msec, void *data)
{
	httpc_t *httpc = data;

	(void)multi;
	if (msec < 0)
		timers_cancel(&httpc->loop->timers, &httpc->timer);
	else
		timers_arm(&httpc->loop->timers, &httpc->timer,
			   clock_now(httpc->loop->clock) + (usec_t)msec * USEC_PER_MSEC, on_timer);
	return 0;
}

int httpc_init(httpc_t *httpc, loop_t *loop)
{
	httpc->loop = loop;
	list_init(&httpc->calls);
	httpc->multi = curl_multi_init();
	if (httpc->multi == NULL)
		return -ENOMEM;
	curl_multi_setopt(httpc->multi, CURLMOPT_SOCKETFUNCTION, on_socket_change);
	curl_multi_setopt(httpc->multi, CURLMOPT_SOCKETDATA, httpc);
	curl_multi_setopt(httpc->multi, CURLMOPT_TIMERFUNCTION, on_timer_change);
	curl_multi_setopt(httpc->multi, CURLMOPT_TIMERDATA, httpc);
	return 0;
}

/*
 * Set the TCP user time-out, which closes a connection whose data is not acknowledged. Keep-alive
 * probes are sent only on an idle connection.
 */
static int on_socket_created(void *data, curl_socket_t fd, curlsocktype purpose)
{
	int msec = USER_TIMEOUT_MSEC;

	(void)data;
	(void)purpose;
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &msec, sizeof(msec));
	return CURL_SOCKOPT_OK;
}

static size_t on_body_chunk(char *data, size_t size, size_t count, void *ptr)
{
	httpc_call_t *call = ptr;
	size_t len = size * count;

	if (call->on_data != NULL)
		call->on_data(call, data, len);
	else
		call->body = talloc_strndup_append_buffer(call->body, data, len);
	return len;
}

static void free_call(httpc_call_t *call)
{
	list_del(&call->node);
	curl_multi_remove_handle(call->httpc->multi, call->easy);
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	talloc_free(call);
}

static void finish_call(httpc_call_t *call, CURLcode code)
{
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	call->on_done(call, code == CURLE_OK, status, call->body, strlen(call->body));
	free_call(call);
}

static void finish_completed_calls(httpc_t *httpc)
{
	CURLMsg *msg;
	int remaining;

	while ((msg = curl_multi_info_read(httpc->multi, &remaining)) != NULL) {
		httpc_call_t *call;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, (char **)&call);
		finish_call(call, msg->data.result);
	}
}

static void set_keepalive(CURL *easy, bool fast_keepalive)
{
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE,
			 fast_keepalive ? FAST_KEEPALIVE_SEC : KEEPALIVE_SEC);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL,
			 fast_keepalive ? FAST_KEEPALIVE_SEC : KEEPALIVE_SEC);
	if (fast_keepalive)
		curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
}

static void set_body(httpc_call_t *call, const char *body)
{
	if (body == NULL) {
		curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE, 0L);
		curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, "");
		return;
	}
	call->headers = curl_slist_append(call->headers, "Content-Type: application/json");
	curl_easy_setopt(call->easy, CURLOPT_COPYPOSTFIELDS, body);
}

static void set_options(httpc_call_t *call, const httpc_request_t *request)
{
	CURL *easy = call->easy;

	curl_easy_setopt(easy, CURLOPT_URL, request->url);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body_chunk);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MSEC);
	set_keepalive(easy, request->fast_keepalive);
	if (request->timeout_ms != 0)
		curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
	if (request->method != NULL || request->body != NULL)
		set_body(call, request->body);
	if (request->method != NULL)
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
	for (size_t i = 0; request->headers != NULL && request->headers[i] != NULL; i++)
		call->headers = curl_slist_append(call->headers, request->headers[i]);
	if (call->headers != NULL)
		curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
}

httpc_call_t *httpc_start(httpc_t *httpc, const httpc_request_t *request)
{
	httpc_call_t *call = talloc_zero(NULL, httpc_call_t);

	call->httpc = httpc;
	call->easy = curl_easy_init();
	call->body = talloc_strdup(call, "");
	call->on_done = request->on_done;
	call->on_data = request->on_data;
	call->data = request->data;
	set_options(call, request);
	list_add_tail(&httpc->calls, &call->node);
	curl_multi_add_handle(httpc->multi, call->easy);
	return call;
}

void httpc_cancel(httpc_call_t *call)
{
	free_call(call);
}

void httpc_destroy(httpc_t *httpc)
{
	while (!list_empty(&httpc->calls))
		free_call(list_entry(httpc->calls.next, httpc_call_t, node));
	timers_cancel(&httpc->loop->timers, &httpc->timer);
	curl_multi_cleanup(httpc->multi);
}

const char *httpc_header(const httpc_call_t *call, const char *name)
{
	struct curl_header *header;

	return curl_easy_header(call->easy, name, 0, CURLH_HEADER, -1, &header) == CURLHE_OK
		       ? header->value
		       : NULL;
}
