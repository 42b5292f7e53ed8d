#include "httpd.h"

#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <talloc.h>

#include "framing.h"
#include "stream.h"

#define HTTP1_TIMEOUT_MSEC 60000
#define JSON_TYPE	   "application/json"
#define HTTP2_VERSION	   0x200 /* h2o_req_t.version from HTTP/2 on */
/*
 * Calls of httpd_close_idle() after which all connections are closed, even those with something to
 * read or write. Between two calls the event loop runs one iteration, which serves 256 connections,
 * so 100 calls suffice for 25,000. A connection that is left then belongs to a client that does not
 * read its response, and must not delay the exit. Calls are counted instead of time since a process
 * that was paused has served no connection in that time.
 */
#define CLOSE_ATTEMPTS_MAX 100

typedef struct handler {
	h2o_handler_t base;
	httpd_t *httpd;
} handler_t;

/* An open connection; removed from httpd_t.conns when h2o closes its socket. */
typedef struct conn {
	list_t node;
	h2o_socket_t *sock;
} conn_t;

static void on_close(void *data)
{
	conn_t *conn = data;

	list_del(&conn->node);
	talloc_free(conn);
}

static void accept_pending(httpd_t *httpd)
{
	h2o_socket_t *sock;

	while ((sock = h2o_evloop_socket_accept(httpd->listener)) != NULL) {
		conn_t *conn = talloc_zero(NULL, conn_t);

		conn->sock = sock;
		sock->on_close.cb = on_close;
		sock->on_close.data = conn;
		list_add_tail(&httpd->conns, &conn->node);
		h2o_accept(&httpd->accept, sock);
	}
}

static void on_accept(h2o_socket_t *listener, const char *err)
{
	if (err == NULL)
		accept_pending(listener->data);
}

/*
 * Check the raw head of an HTTP/1 request, since h2o uses one of several Content-Length fields and
 * drops them all from the parsed request. The head is still at the start of the connection's input
 * buffer: h2o consumes it after the response.
 */
static bool has_ambiguous_length(h2o_req_t *req)
{
	const h2o_buffer_t *input;

	if (req->version >= HTTP2_VERSION)
		return false; /* HTTP/2 frames delimit the body */
	input = req->conn->callbacks->get_socket(req->conn)->input;
	if (input->size < req->method.len ||
	    memcmp(input->bytes, req->method.base, req->method.len) != 0)
		return true;
	return framing_is_ambiguous(input->bytes, input->size);
}

static int on_req(h2o_handler_t *base, h2o_req_t *req)
{
	httpd_t *httpd = ((handler_t *)base)->httpd;

	if (has_ambiguous_length(req)) {
		req->http1_is_persistent = 0;
		httpd_send_json(req, 400,
				json_pack("{s:s, s:s, s:s}", "outcome", "not_run", "reason",
					  "bad_request", "detail",
					  "the length of the body has two readings"),
				0);
		return 0;
	}
	return httpd->handle(httpd, req);
}

int httpd_start(httpd_t *httpd, loop_t *loop, const char *address, size_t max_body,
		httpd_handler_t handle, void *data, err_t *err)
{
	int fd = stream_listen(address, err);
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	handler_t *handler;

	if (fd < 0)
		return fd;
	httpd->handle = handle;
	httpd->data = data;
	list_init(&httpd->conns);
	h2o_config_init(&httpd->config);
	httpd->config.max_request_entity_size = max_body;
	httpd->config.http1.req_timeout = HTTP1_TIMEOUT_MSEC;
	host = h2o_config_register_host(&httpd->config, h2o_iovec_init(H2O_STRLIT("default")),
					65535);
	path = h2o_config_register_path(host, "/", 0);
	handler = (handler_t *)h2o_create_handler(path, sizeof(*handler));
	handler->base.on_req = on_req;
	handler->httpd = httpd;
	h2o_context_init(&httpd->context, loop->h2o, &httpd->config);
	httpd->accept.ctx = &httpd->context;
	httpd->accept.hosts = httpd->config.hosts;
	httpd->listener = h2o_evloop_socket_create(loop->h2o, fd, H2O_SOCKET_FLAG_DONT_READ);
	httpd->listener->data = httpd;
	h2o_socket_read_start(httpd->listener, on_accept);
	return 0;
}

void httpd_drain(httpd_t *httpd)
{
	if (httpd->listener == NULL)
		return;
	/*
	 * If the event loop is late, the kernel holds connections that clients have opened and
	 * sent requests on; closing the listener would reset them.
	 */
	accept_pending(httpd);
	h2o_socket_read_stop(httpd->listener);
	h2o_socket_close(httpd->listener);
	httpd->listener = NULL;
	h2o_context_request_shutdown(&httpd->context);
}

static bool has_unread_data(const conn_t *conn)
{
	int bytes = 0;

	return ioctl(h2o_socket_get_fd(conn->sock), FIONREAD, &bytes) == 0 && bytes > 0;
}

bool httpd_close_idle(httpd_t *httpd)
{
	bool all_closed = true;
	bool close_all = ++httpd->close_attempts >= CLOSE_ATTEMPTS_MAX;

	httpd_drain(httpd);
	list_for_each (it, &httpd->conns) {
		conn_t *conn = list_entry(it, conn_t, node);

		/* Shut down right after the check, so that no request arrives unread in between. */
		if (close_all || (!has_unread_data(conn) && !h2o_socket_is_writing(conn->sock)))
			shutdown(h2o_socket_get_fd(conn->sock), SHUT_RDWR);
		else
			all_closed = false;
	}
	return all_closed;
}

static const char *reason_phrase(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 400:
		return "Bad Request";
	case 401:
		return "Unauthorized";
	case 404:
		return "Not Found";
	case 405:
		return "Method Not Allowed";
	case 409:
		return "Conflict";
	case 422:
		return "Unprocessable Entity";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return "Error";
	}
}

static void add_retry_after(h2o_req_t *req, uint64_t msec)
{
	char *text = h2o_mem_alloc_pool(&req->pool, 24);
	/* The header holds whole seconds, here rounded up; the body has milliseconds. */
	int len = snprintf(text, 24, "%llu", (unsigned long long)((msec + 999) / 1000));

	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_RETRY_AFTER, NULL, text,
		       (size_t)len);
}

void httpd_send_json(h2o_req_t *req, int status, json_t *body, uint64_t retry_after_ms)
{
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	req->res.status = status;
	req->res.reason = reason_phrase(status);
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
		       H2O_STRLIT(JSON_TYPE));
	if (retry_after_ms != 0)
		add_retry_after(req, retry_after_ms);
	h2o_send_inline(req, text, strlen(text));
	free(text);
}

bool httpd_request_matches(const h2o_req_t *req, const char *method, const char *path)
{
	return h2o_memis(req->method.base, req->method.len, method, strlen(method)) &&
	       h2o_memis(req->path_normalized.base, req->path_normalized.len, path, strlen(path));
}
