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

#define LISTEN_BACKLOG 1024
/* Probes of an idle connection. The connection ends if none of them is answered. */
#define KEEPALIVE_IDLE_SEC     5
#define KEEPALIVE_INTERVAL_SEC 2
#define KEEPALIVE_COUNT	       4
/* Size of an output buffer at first; it is doubled as needed. */
#define INITIAL_OUTPUT_BYTES 512

int stream_split_address(const char *address, char *host, uint16_t *port)
{
	const char *colon = strrchr(address, ':');
	char *end;
	long number;

	if (colon == NULL || colon == address || colon - address >= STREAM_HOST_SIZE)
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
	char host[STREAM_HOST_SIZE];
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
		return err_set(err, -errno, "listen", address, "cannot create the socket");
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 || listen(fd, LISTEN_BACKLOG) < 0) {
		int code = -errno;

		close(fd);
		return err_set(err, code, "listen", address, "can't bind");
	}
	return fd;
}

static void set_tcp_options(h2o_socket_t *sock, int user_timeout_ms)
{
	int fd = h2o_socket_get_fd(sock);
	int on = 1;
	int idle = KEEPALIVE_IDLE_SEC;
	int interval = KEEPALIVE_INTERVAL_SEC;
	int count = KEEPALIVE_COUNT;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof(user_timeout_ms));
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
	/* The flag is on the stack of deliver_input(); a stream may be connected again later. */
	stream->closed_flag = NULL;
}

static void close_with_reason(stream_t *stream, const char *reason)
{
	stream_close(stream);
	stream->ops->on_close(stream, reason);
}

/* --- input --- */

/* True if the socket holds input that has not been read; the end of the input does not count. */
static bool has_unread_input(const stream_t *stream)
{
	char byte;

	return recv(h2o_socket_get_fd(stream->sock), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Passes the input that has been read to on_data until on_data consumes nothing more. */
static void deliver_input(stream_t *stream)
{
	bool closed = false;

	stream->closed_flag = &closed;
	while (stream->sock->input->size != 0) {
		size_t consumed;

		if (stream->closing) {
			consumed = stream->sock->input->size;
			stream->discarded += consumed;
		} else {
			consumed = stream->ops->on_data(stream, stream->sock->input->bytes,
							stream->sock->input->size);
			/* The stream and the structure that contains it may be freed by now. */
			if (closed)
				return;
		}
		if (consumed == 0)
			break;
		h2o_buffer_consume(&stream->sock->input, consumed);
	}
	stream->closed_flag = NULL;
}

static void on_readable(h2o_socket_t *sock, const char *err)
{
	stream_t *stream = sock->data;

	if (err != NULL) {
		close_with_reason(stream, err);
		return;
	}
	deliver_input(stream);
}

void stream_resume(stream_t *stream)
{
	if (stream->sock != NULL && stream->closed_flag == NULL)
		deliver_input(stream);
}

/* --- output --- */

static void write_pending(stream_t *stream);

static void on_written(h2o_socket_t *sock, const char *err)
{
	stream_t *stream = sock->data;

	free(stream->writing);
	stream->writing = NULL;
	if (err != NULL)
		close_with_reason(stream, err);
	else if (stream->pending_len != 0)
		write_pending(stream);
	else if (stream->closing)
		close_with_reason(stream, "finished");
	else if (stream->ops->on_flushed != NULL)
		stream->ops->on_flushed(stream);
}

static void write_pending(stream_t *stream)
{
	h2o_iovec_t vec = h2o_iovec_init(stream->pending, stream->pending_len);

	stream->writing = stream->pending;
	stream->pending = NULL;
	stream->pending_len = 0;
	stream->pending_size = 0;
	h2o_socket_write(stream->sock, &vec, 1, on_written);
}

static int append_pending(stream_t *stream, const char *data, size_t len)
{
	size_t need = stream->pending_len + len;
	size_t size = stream->pending_size != 0 ? stream->pending_size : INITIAL_OUTPUT_BYTES;
	char *buffer;

	if (need > STREAM_OUTPUT_MAX)
		return -ENOBUFS;
	while (size < need)
		size *= 2;
	if (size != stream->pending_size) {
		buffer = realloc(stream->pending, size);
		if (buffer == NULL)
			return -ENOBUFS;
		stream->pending = buffer;
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
	rc = append_pending(stream, data, len);
	if (rc == 0 && stream->connected && stream->writing == NULL)
		write_pending(stream);
	return rc;
}

static void on_close_timer(run_timer_t *timer, usec_t now)
{
	(void)now;
	close_with_reason(list_entry(timer, stream_t, close_timer), "finished");
}

void stream_flush_and_close(stream_t *stream)
{
	if (stream->sock == NULL || stream->closing)
		return;
	stream->closing = true;
	/* Close from the loop: on_close must not be called from within the caller's call. */
	if (stream->writing == NULL)
		timers_arm(&stream->loop->timers, &stream->close_timer,
			   clock_now(stream->loop->clock), on_close_timer);
}

stream_close_result_t stream_close_if_idle(stream_t *stream)
{
	if (stream->sock == NULL)
		return STREAM_CLOSED;
	if (has_unread_input(stream))
		return STREAM_UNREAD_INPUT;
	if (stream->sock->input->size != 0)
		return STREAM_UNCONSUMED_INPUT;
	if (stream->closing || stream->writing != NULL || stream->pending_len != 0)
		return STREAM_UNSENT_OUTPUT;
	stream_close(stream);
	return STREAM_CLOSED;
}

/* --- opening --- */

static void start_reading(stream_t *stream)
{
	stream->connected = true;
	h2o_socket_read_start(stream->sock, on_readable);
	if (stream->pending_len != 0 && stream->writing == NULL)
		write_pending(stream);
}

static void on_connected(h2o_socket_t *sock, const char *err)
{
	stream_t *stream = sock->data;

	if (err != NULL) {
		close_with_reason(stream, err);
		return;
	}
	start_reading(stream);
	if (stream->ops->on_connect != NULL)
		stream->ops->on_connect(stream);
}

int stream_connect(stream_t *stream, loop_t *loop, const char *address, int user_timeout_ms,
		   err_t *err)
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
			       "cannot start the connection");
	stream->sock->data = stream;
	set_tcp_options(stream->sock, user_timeout_ms);
	return 0;
}

void stream_accept(stream_t *stream, loop_t *loop, h2o_socket_t *sock, int user_timeout_ms)
{
	stream->loop = loop;
	stream->sock = sock;
	stream->closing = false;
	stream->discarded = 0;
	sock->data = stream;
	set_tcp_options(sock, user_timeout_ms);
	start_reading(stream);
}
