/*
 * Stand-in for a backend server, used in tests only: one member of a database group that speaks the
 * PostgreSQL protocol over a key-value table of records. It replicates asynchronously and obeys the
 * control statements seal, promote and follow.
 *
 * Tests control it with SQL as well: standin_cut($1) ends or resumes replication, standin_lag($1)
 * sets the lag in milliseconds, standin_stats() returns counts of bytes and connections.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <getopt.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pg_input.h"
#include "pg_log.h"
#include "pg_replica.h"
#include "pg_tx.h"

member_t self = {.upstream_fd = -1, .connect_us = 10000, .max_conns = 15, .slots = 2};

static void conn_free(void *ptr)
{
	conn_t *conn = ptr;

	pg_slot_release(conn);
	close(conn->fd);
	g_byte_array_unref(conn->in);
	g_byte_array_unref(conn->out);
	g_ptr_array_unref(conn->writes);
	g_hash_table_unref(conn->prepared);
	for (int i = 0; i < PG_MAX_PARAMS; i++)
		g_free(conn->params[i]);
	g_free(conn->sql);
	g_free(conn->slot_claim);
	g_free(conn);
}

static void accept_conn(void)
{
	int fd = accept4(self.listener, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
	conn_t *conn;
	int on = 1;

	if (fd < 0)
		return;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	conn = g_new0(conn_t, 1);
	conn->fd = fd;
	conn->tx_status = 'I';
	conn->accept_at = pg_now_us() + self.connect_us;
	conn->in = g_byte_array_new();
	conn->out = g_byte_array_new();
	conn->writes = g_ptr_array_new_with_free_func(g_free);
	conn->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_ptr_array_add(self.conns, conn);
}

/* Appends the available bytes of fd. Returns FALSE when the peer has closed or on an error. */
static gboolean receive_bytes(int fd, GByteArray *in)
{
	guint8 buffer[65536];
	ssize_t n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);

	if (n < 0)
		return errno == EAGAIN || errno == EINTR;
	if (n == 0)
		return FALSE;
	g_byte_array_append(in, buffer, (guint)n);
	return TRUE;
}

static void flush_output(conn_t *conn)
{
	ssize_t n;

	if (conn->out->len == 0)
		return;
	n = send(conn->fd, conn->out->data, conn->out->len, MSG_DONTWAIT | MSG_NOSIGNAL);
	if (n > 0 && conn->kind == CONN_SQL)
		self.bytes += (guint64)n;
	if (n > 0)
		g_byte_array_remove_range(conn->out, 0, (guint)n);
	else if (n < 0 && errno != EAGAIN)
		conn->closing = TRUE;
}

/* Frees connections that are closing; their open transactions are rolled back. */
static void free_closing_conns(void)
{
	for (guint i = 0; i < self.conns->len;) {
		conn_t *conn = self.conns->pdata[i];

		if (!conn->closing) {
			i++;
			continue;
		}
		flush_output(conn);
		pg_tx_reset(conn);
		g_ptr_array_remove_index(self.conns, i);
	}
}

static void wake_sleeping_conns(void)
{
	for (guint i = 0; i < self.conns->len; i++) {
		conn_t *conn = self.conns->pdata[i];

		if (conn->busy_until != 0)
			conn->blocked = pg_now_us() < conn->busy_until;
	}
}

static void close_idle_sessions(void)
{
	for (guint i = 0; i < self.conns->len; i++) {
		conn_t *conn = self.conns->pdata[i];
		gint64 limit =
			conn->tx_status == 'I' ? conn->idle_timeout_us : conn->idle_tx_timeout_us;

		if (conn->kind == CONN_SQL && limit != 0 && !conn->blocked &&
		    conn->last_active != 0 && pg_now_us() - conn->last_active > limit)
			conn->closing = TRUE;
	}
}

static void process_all(void)
{
	self.has_unblocked = FALSE;
	pg_replica_connect();
	pg_replica_apply_due();
	wake_sleeping_conns();
	close_idle_sessions();
	for (guint i = 0; i < self.conns->len; i++) {
		conn_t *conn = self.conns->pdata[i];

		pg_input_process(conn);
		if (conn->kind == CONN_REPLICA)
			pg_replica_send_entries(conn);
		flush_output(conn);
	}
	free_closing_conns();
}

static int poll_timeout_ms(void)
{
	if (self.has_unblocked)
		return 0;
	for (guint i = 0; i < self.conns->len; i++) {
		const conn_t *conn = self.conns->pdata[i];

		if (conn->busy_until != 0 || (conn->kind == CONN_NEW && conn->in->len > 0))
			return 1;
	}
	if (!g_queue_is_empty(&self.pending))
		return 1;
	return self.upstream != NULL && self.upstream_fd < 0 ? PG_UPSTREAM_RETRY_MS : 200;
}

static void poll_once(void)
{
	guint count = self.conns->len;
	struct pollfd *fds = g_new0(struct pollfd, count + 2);

	for (guint i = 0; i < count; i++) {
		const conn_t *conn = self.conns->pdata[i];

		fds[i].fd = conn->fd;
		fds[i].events = (short)(POLLIN | (conn->out->len > 0 ? POLLOUT : 0));
	}
	fds[count].fd = self.listener;
	fds[count].events = POLLIN;
	fds[count + 1].fd = self.upstream_fd;
	fds[count + 1].events = POLLIN;
	poll(fds, count + 2, poll_timeout_ms());
	for (guint i = 0; i < count; i++) {
		conn_t *conn = self.conns->pdata[i];

		guint before = conn->in->len;

		if (fds[i].revents != 0 && !receive_bytes(conn->fd, conn->in))
			conn->closing = TRUE;
		if (conn->kind == CONN_SQL)
			self.bytes += conn->in->len - before;
	}
	if (fds[count].revents != 0)
		accept_conn();
	if (fds[count + 1].revents != 0) {
		if (receive_bytes(self.upstream_fd, self.upstream_in))
			pg_replica_receive();
		else
			pg_replica_close_upstream();
	}
	g_free(fds);
}

static int listen_on(int port)
{
	struct sockaddr_in sin = {
		.sin_family = AF_INET,
		.sin_port = htons((guint16)port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 || listen(fd, 256) < 0)
		g_error("cannot listen on port %d", port);
	return fd;
}

int main(int argc, char **argv)
{
	static const struct option longopts[] = {
		{"name", required_argument, NULL, 'n'},
		{"port", required_argument, NULL, 'p'},
		{"primary", no_argument, NULL, 'P'},
		{"follow", required_argument, NULL, 'f'},
		{"lag-ms", required_argument, NULL, 'l'},
		{"max-conns", required_argument, NULL, 'm'},
		{"slots", required_argument, NULL, 's'},
		{"service-us", required_argument, NULL, 'S'},
		{"connect-ms", required_argument, NULL, 'c'},
		{NULL, 0, NULL, 0},
	};
	int port = 0;
	int opt;

	signal(SIGPIPE, SIG_IGN);
	while ((opt = getopt_long(argc, argv, "", longopts, NULL)) != -1) {
		switch (opt) {
		case 'n':
			self.name = optarg;
			break;
		case 'p':
			port = atoi(optarg);
			break;
		case 'P':
			self.primary = TRUE;
			break;
		case 'f':
			self.upstream = g_strdup(optarg);
			break;
		case 'l':
			self.lag_us = (gint64)atoi(optarg) * 1000;
			break;
		case 's':
			self.slots = atoi(optarg);
			break;
		case 'S':
			self.service_us = atoi(optarg);
			break;
		case 'm':
			self.max_conns = atoi(optarg);
			break;
		case 'c':
			self.connect_us = (gint64)atoi(optarg) * 1000;
			break;
		default:
			return 2;
		}
	}
	self.sealed_term = 1;
	self.log = g_ptr_array_new_with_free_func(pg_log_entry_free);
	self.records = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	self.conns = g_ptr_array_new_with_free_func(conn_free);
	self.upstream_in = g_byte_array_new();
	g_queue_init(&self.pending);
	if (self.primary)
		pg_log_append(1, g_ptr_array_new_with_free_func(g_free));
	self.listener = listen_on(port);
	for (;;) {
		poll_once();
		process_all();
	}
}
