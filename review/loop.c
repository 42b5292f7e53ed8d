#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <math.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

typedef struct timer {
	struct timer *next;
	double at;
	timer_fn_t fn;
	void *arg;
} timer_node_t;

typedef struct listener {
	struct listener *next;
	int fd;
	bool dead;
	accept_fn_t fn;
	void *arg;
} listener_t;

static int epoll_fd;
static timer_node_t *timers;
static conn_t *conns;
static listener_t *listeners;
static uint64_t random_state = 1;
static FILE *record_file;
static double record_start;

double now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

void loop_init(void)
{
	epoll_fd = epoll_create1(EPOLL_CLOEXEC);
}

/* --- random numbers --- */

void random_seed(uint64_t seed)
{
	random_state = seed * 2654435769u + 88172645463325252ull;
}

double random_unit(void)
{
	random_state ^= random_state << 13;
	random_state ^= random_state >> 7;
	random_state ^= random_state << 17;
	return (double)(random_state >> 11) / 9007199254740992.0;
}

double random_exponential(double mean)
{
	return -mean * log(1 - random_unit());
}

/* --- record --- */

void record_open(const char *path)
{
	record_file = fopen(path, "w");
	record_start = now_ms();
}

void record(const char *format, ...)
{
	va_list args;

	if (record_file == NULL)
		return;
	fprintf(record_file, "%10.3f ", (now_ms() - record_start) / 1e3);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
}

void record_close(void)
{
	if (record_file != NULL)
		fclose(record_file);
	record_file = NULL;
}

/* --- timers --- */

void after_ms(double ms, timer_fn_t fn, void *arg)
{
	timer_node_t *timer = calloc(1, sizeof(*timer));
	timer_node_t **at = &timers;

	timer->at = now_ms() + ms;
	timer->fn = fn;
	timer->arg = arg;
	while (*at != NULL && (*at)->at <= timer->at)
		at = &(*at)->next;
	timer->next = *at;
	*at = timer;
}

static void run_timers(void)
{
	while (timers != NULL && timers->at <= now_ms()) {
		timer_node_t *timer = timers;

		timers = timer->next;
		timer->fn(timer->arg);
		free(timer);
	}
}

/* --- connections --- */

static conn_t *conn_create(int fd, const conn_ops_t *ops, void *owner)
{
	conn_t *conn = calloc(1, sizeof(*conn));
	struct epoll_event event = {.events = EPOLLIN | EPOLLOUT | EPOLLET, .data.ptr = conn};
	int on = 1;

	conn->fd = fd;
	conn->ops = ops;
	conn->owner = owner;
	conn->next = conns;
	conns = conn;
	fcntl(fd, F_SETFL, O_NONBLOCK);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	epoll_ctl(epoll_fd, EPOLL_CTL_ADD, fd, &event);
	return conn;
}

void conn_close(conn_t *conn)
{
	if (conn->dead)
		return;
	conn->dead = true;
	epoll_ctl(epoll_fd, EPOLL_CTL_DEL, conn->fd, NULL);
	close(conn->fd);
}

static void conn_lost(conn_t *conn)
{
	if (conn->dead)
		return;
	conn_close(conn);
	if (conn->ops != NULL && conn->ops->on_closed != NULL)
		conn->ops->on_closed(conn);
}

static void flush_output(conn_t *conn)
{
	size_t sent = 0;

	while (!conn->dead && sent < conn->out_len) {
		ssize_t n = send(conn->fd, conn->out + sent, conn->out_len - sent, MSG_NOSIGNAL);

		if (n <= 0)
			break;
		sent += (size_t)n;
	}
	memmove(conn->out, conn->out + sent, conn->out_len - sent);
	conn->out_len -= sent;
}

static void append(char **buffer, size_t *len, size_t *size, const char *data, size_t count)
{
	if (*len + count > *size) {
		*size = (*len + count) * 2;
		*buffer = realloc(*buffer, *size);
	}
	memcpy(*buffer + *len, data, count);
	*len += count;
}

void conn_send(conn_t *conn, const char *data, size_t len)
{
	if (conn == NULL || conn->dead)
		return;
	append(&conn->out, &conn->out_len, &conn->out_size, data, len);
	flush_output(conn);
}

void conn_printf(conn_t *conn, const char *format, ...)
{
	char text[4096];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	conn_send(conn, text, strlen(text));
}

void conn_consume(conn_t *conn, size_t len)
{
	memmove(conn->in, conn->in + len, conn->in_len - len);
	conn->in_len -= len;
}

bool conn_line(conn_t *conn, char *line, size_t size)
{
	const char *lf = conn->in_len != 0 ? memchr(conn->in, '\n', conn->in_len) : NULL;
	size_t len;

	if (lf == NULL)
		return false;
	len = (size_t)(lf - conn->in);
	snprintf(line, size, "%.*s", (int)(len != 0 && lf[-1] == '\r' ? len - 1 : len), conn->in);
	conn_consume(conn, len + 1);
	return true;
}

static void read_input(conn_t *conn)
{
	char data[65536];
	ssize_t n = 0;

	while (!conn->dead && (n = recv(conn->fd, data, sizeof(data), 0)) > 0)
		append(&conn->in, &conn->in_len, &conn->in_size, data, (size_t)n);
	if (!conn->dead && conn->in_len != 0 && conn->ops != NULL)
		conn->ops->on_input(conn);
	if (!conn->dead && (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)))
		conn_lost(conn);
}

conn_t *conn_connect(int port, const conn_ops_t *ops, void *owner)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	if (fd < 0)
		return NULL;
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 && errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	return conn_create(fd, ops, owner);
}

/* --- listeners --- */

/* Below the ports that the kernel gives to outgoing connections, which could take one meanwhile. */
#define PORT_FIRST 20000
#define PORT_COUNT 12000

static int try_port(int port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd >= 0 && bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0 && listen(fd, 1024) == 0)
		return fd;
	close(fd);
	return -1;
}

/* 0: any free port. */
static int bind_port(int port)
{
	static int next;
	int fd = -1;

	if (next == 0)
		next = (int)getpid() * 37 % PORT_COUNT;
	for (int i = 0; fd < 0 && i < PORT_COUNT; i++)
		fd = try_port(port != 0 ? port : PORT_FIRST + next++ % PORT_COUNT);
	if (fd < 0) {
		perror("listen");
		exit(2);
	}
	return fd;
}

static int port_of(int fd)
{
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);

	getsockname(fd, (struct sockaddr *)&sin, &len);
	return ntohs(sin.sin_port);
}

int free_port(void)
{
	int fd = bind_port(0);
	int port = port_of(fd);

	close(fd);
	return port;
}

void listen_again(int port, accept_fn_t fn, void *arg, int *fd)
{
	listener_t *listener = calloc(1, sizeof(*listener));
	struct epoll_event event = {.events = EPOLLIN};

	listener->fd = bind_port(port);
	listener->fn = fn;
	listener->arg = arg;
	listener->next = listeners;
	listeners = listener;
	/* The lowest bit tells a listener from a connection. */
	event.data.u64 = (uint64_t)(uintptr_t)listener | 1;
	epoll_ctl(epoll_fd, EPOLL_CTL_ADD, listener->fd, &event);
	*fd = listener->fd;
}

int listen_any(accept_fn_t fn, void *arg, int *fd)
{
	listen_again(0, fn, arg, fd);
	return port_of(*fd);
}

void listen_stop(int fd)
{
	for (listener_t *it = listeners; it != NULL; it = it->next) {
		if (it->fd == fd && !it->dead) {
			it->dead = true;
			close(fd);
		}
	}
}

static void accept_all(listener_t *listener)
{
	int fd;

	while (!listener->dead &&
	       (fd = accept4(listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
		listener->fn(conn_create(fd, NULL, NULL), listener->arg);
}

/* --- the loop --- */

static void free_dead(void)
{
	conn_t **at = &conns;

	while (*at != NULL) {
		conn_t *conn = *at;

		if (!conn->dead) {
			at = &conn->next;
			continue;
		}
		*at = conn->next;
		free(conn->in);
		free(conn->out);
		free(conn);
	}
}

static void handle(const struct epoll_event *event)
{
	conn_t *conn = event->data.ptr;

	if (event->data.u64 & 1) {
		accept_all((listener_t *)(uintptr_t)(event->data.u64 & ~1ull));
		return;
	}
	if (conn->dead)
		return;
	flush_output(conn);
	read_input(conn);
}

void loop_until(double end, const bool *stop)
{
	struct epoll_event events[64];

	while (now_ms() < end && (stop == NULL || !*stop)) {
		double next = timers != NULL && timers->at < end ? timers->at : end;
		double wait = ceil(next - now_ms());
		int count = epoll_wait(epoll_fd, events, 64, wait > 0 ? (int)wait : 0);

		for (int i = 0; i < count; i++)
			handle(&events[i]);
		run_timers();
		free_dead();
	}
}
