#include "stream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "list.h"

#define BACKLOG 1024
/* Probes of an idle connection: first after, then between; after four the peer counts as gone. */
#define KEEPALIVE_IDLE_SEC     5
#define KEEPALIVE_INTERVAL_SEC 2
#define KEEPALIVE_COUNT	       4
#define FIRST_OUTPUT	       512

int stream_split_address(const char *address, char *host, uint16_t *port)
{
	const char *colon = strrchr(address, ':');
	char *end;
	long number;

	if (colon == NULL || colon == address || colon - address > 63)
		return -EINVAL;
	number = strtol(colon + 1, &end, 10);
	if (*end != '\0' || end == colon + 1 || number < 0 || number > 65535)
		return -EINVAL;
	memcpy(host, address, (size_t)(colon - address));
	host[colon - address] = '\0';
	*port = (uint16_t)number;
	return 0;
}

static int parse_address(const char *address, struct sockaddr_in *sin)
{
	char host[64];
	uint16_t port;

	*sin = (struct sockaddr_in){.sin_family = AF_INET};
	if (stream_split_address(address, host, &port) < 0 ||
	    inet_pton(AF_INET, host, &sin->sin_addr) != 1)
		return -EINVAL;
	sin->sin_port = htons(port);
	return 0;
}

int stream_listen(const char *address, err_t *err)
{
	struct sockaddr_in sin;
	int on = 1;
	int fd;

	if (parse_address(address, &sin) < 0)
		return err_set(err, -EINVAL, "listen", address, "expected IP:PORT");
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (fd < 0)
		return err_set(err, -errno, "listen", address, "no socket");
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 || listen(fd, BACKLOG) < 0) {
		int code = -errno;

		close(fd);
		return err_set(err, code, "listen", address, "can't bind");
	}
	return fd;
}

static void set_options(h2o_socket_t *sock, int silence_ms)
{
	int fd = h2o_socket_get_fd(sock);
	int on = 1;
	int idle = KEEPALIVE_IDLE_SEC;
	int interval = KEEPALIVE_INTERVAL_SEC;
	int count = KEEPALIVE_COUNT;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence_ms, sizeof(silence_ms));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
}

void stream_close(stream_t *stream)
{
	if (stream->sock == NULL)
		return;
	timers_cancel(&stream->loop->timers, &stream->close_timer);
	h2o_socket_read_stop(stream->sock);
	h2o_socket_close(stream->sock);
	stream->sock = NULL;
	stream->connected = false;
	free(stream->writing);
	free(stream->pending);
	stream->writing = NULL;
	stream->pending = NULL;
	stream->pending_len = 0;
	stream->pending_size = 0;
	if (stream->closed_flag != NULL)
		*stream->closed_flag = true;
}

static void go_down(stream_t *stream, const char *reason)
{
	stream_close(stream);
	stream->ops->on_close(stream, reason);
}

/* --- input --- */

/* True if the socket holds input that was not read; the end of input does not count. */
static bool has_unread(const stream_t *stream)
{
	char byte;

	return recv(h2o_socket_get_fd(stream->sock), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Hand over what has been read until nothing more of it is used. */
static void deliver(stream_t *stream)
{
	bool closed = false;

	stream->closed_flag = &closed;
	while (stream->sock->input->size != 0) {
		size_t used;

		if (stream->closing) {
			used = stream->sock->input->size;
			stream->discarded += used;
		} else {
			used = stream->ops->on_data(stream, stream->sock->input->bytes,
						    stream->sock->input->size);
			/* The stream, and what holds it, may be gone. */
			if (closed)
				return;
		}
		if (used == 0)
			break;
		h2o_buffer_consume(&stream->sock->input, used);
	}
	stream->closed_flag = NULL;
}

static void on_readable(h2o_socket_t *sock, const char *err)
{
	stream_t *stream = sock->data;

	if (err != NULL) {
		go_down(stream, err);
		return;
	}
	deliver(stream);
}

void stream_resume(stream_t *stream)
{
	if (stream->sock != NULL && stream->closed_flag == NULL)
		deliver(stream);
}

/* --- output --- */

static void write_next(stream_t *stream);

static void on_written(h2o_socket_t *sock, const char *err)
{
	stream_t *stream = sock->data;

	free(stream->writing);
	stream->writing = NULL;
	if (err != NULL)
		go_down(stream, err);
	else if (stream->pending_len != 0)
		write_next(stream);
	else if (stream->closing)
		go_down(stream, "finished");
	else if (stream->ops->on_flushed != NULL)
		stream->ops->on_flushed(stream);
}

static void write_next(stream_t *stream)
{
	h2o_iovec_t vec = h2o_iovec_init(stream->pending, stream->pending_len);

	stream->writing = stream->pending;
	stream->pending = NULL;
	stream->pending_len = 0;
	stream->pending_size = 0;
	h2o_socket_write(stream->sock, &vec, 1, on_written);
}

static int append(stream_t *stream, const char *data, size_t len)
{
	size_t need = stream->pending_len + len;
	size_t size = stream->pending_size != 0 ? stream->pending_size : FIRST_OUTPUT;
	char *grown;

	if (need > STREAM_OUTPUT_MAX)
		return -ENOBUFS;
	while (size < need)
		size *= 2;
	if (size != stream->pending_size) {
		grown = realloc(stream->pending, size);
		if (grown == NULL)
			return -ENOBUFS;
		stream->pending = grown;
		stream->pending_size = size;
	}
	memcpy(stream->pending + stream->pending_len, data, len);
	stream->pending_len = need;
	return 0;
}

int stream_send(stream_t *stream, const char *data, size_t len)
{
	int rc;

	if (stream->sock == NULL || stream->closing)
		return -ENOTCONN;
	rc = append(stream, data, len);
	if (rc == 0 && stream->connected && stream->writing == NULL)
		write_next(stream);
	return rc;
}

static void on_finish(run_timer_t *timer, usec_t now)
{
	(void)now;
	go_down(list_entry(timer, stream_t, close_timer), "finished");
}

void stream_flush_and_close(stream_t *stream)
{
	if (stream->sock == NULL || stream->closing)
		return;
	stream->closing = true;
	/* Ends from the loop, never from within the caller's own call. */
	if (stream->writing == NULL)
		timers_arm(&stream->loop->timers, &stream->close_timer,
			   clock_now(stream->loop->clock), on_finish);
}

stream_close_result_t stream_close_if_idle(stream_t *stream)
{
	if (stream->sock == NULL)
		return STREAM_CLOSED;
	if (has_unread(stream))
		return STREAM_UNREAD_INPUT;
	if (stream->sock->input->size != 0)
		return STREAM_UNCONSUMED_INPUT;
	if (stream->closing || stream->writing != NULL || stream->pending_len != 0)
		return STREAM_UNSENT_OUTPUT;
	stream_close(stream);
	return STREAM_CLOSED;
}

/* --- opening --- */

static void start(stream_t *stream)
{
	stream->connected = true;
	h2o_socket_read_start(stream->sock, on_readable);
	if (stream->pending_len != 0 && stream->writing == NULL)
		write_next(stream);
}

static void on_connected(h2o_socket_t *sock, const char *err)
{
	stream_t *stream = sock->data;

	if (err != NULL) {
		go_down(stream, err);
		return;
	}
	start(stream);
	if (stream->ops->on_connect != NULL)
		stream->ops->on_connect(stream);
}

int stream_connect(stream_t *stream, loop_t *loop, const char *address, int silence_ms, err_t *err)
{
	struct sockaddr_in sin;

	if (parse_address(address, &sin) < 0)
		return err_set(err, -EINVAL, "connect", address, "expected IP:PORT");
	stream->loop = loop;
	stream->closing = false;
	stream->discarded = 0;
	stream->connected = false;
	stream->sock =
		h2o_socket_connect(loop->h2o, (struct sockaddr *)&sin, sizeof(sin), on_connected);
	if (stream->sock == NULL)
		return err_set(err, errno != 0 ? -errno : -ENETUNREACH, "connect", address,
			       "no connection");
	stream->sock->data = stream;
	set_options(stream->sock, silence_ms);
	return 0;
}

void stream_accept(stream_t *stream, loop_t *loop, h2o_socket_t *sock, int silence_ms)
{
	stream->loop = loop;
	stream->sock = sock;
	stream->closing = false;
	stream->discarded = 0;
	sock->data = stream;
	set_options(sock, silence_ms);
	start(stream);
}
