/*
 * Stand-in for a backend server: one member of a database group that speaks the
 * PostgreSQL protocol over a small keyed record store, with asynchronous
 * replication, and obeys seal, promote and follow. Started by tests only.
 *
 * Test controls are SQL too: standin_cut($1), standin_lag($1), standin_stats().
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

member_t me = {.up_fd = -1, .connect_us = 10000, .max_conns = 15, .slots = 2};

static void conn_free(void *ptr)
{
	conn_t *conn = ptr;

	pg_slot_leave(conn);
	close(conn->fd);
	g_byte_array_unref(conn->in);
	g_byte_array_unref(conn->out);
	g_ptr_array_unref(conn->writes);
	g_hash_table_unref(conn->prepared);
	for (int i = 0; i < PG_MAX_PARAMS; i++)
		g_free(conn->params[i]);
	g_free(conn->sql);
	g_free(conn->claim);
	g_free(conn);
}

static void accept_conn(void)
{
	int fd = accept4(me.listener, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
	conn_t *conn;
	int on = 1;

	if (fd < 0)
		return;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	conn = g_new0(conn_t, 1);
	conn->fd = fd;
	conn->state = 'I';
	conn->ready_at = pg_now_us() + me.connect_us;
	conn->in = g_byte_array_new();
	conn->out = g_byte_array_new();
	conn->writes = g_ptr_array_new_with_free_func(g_free);
	conn->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_ptr_array_add(me.conns, conn);
}

/* Append what fd has; FALSE at its end. */
static gboolean receive(int fd, GByteArray *in)
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

static void flush(conn_t *conn)
{
	ssize_t n;

	if (conn->out->len == 0)
		return;
	n = send(conn->fd, conn->out->data, conn->out->len, MSG_DONTWAIT | MSG_NOSIGNAL);
	if (n > 0 && conn->kind == PEER_SQL)
		me.bytes += (guint64)n;
	if (n > 0)
		g_byte_array_remove_range(conn->out, 0, (guint)n);
	else if (n < 0 && errno != EAGAIN)
		conn->dead = TRUE;
}

/* A connection that ends takes its transaction with it: nothing half done stays. */
static void bury_dead(void)
{
	for (guint i = 0; i < me.conns->len;) {
		conn_t *conn = me.conns->pdata[i];

		if (!conn->dead) {
			i++;
			continue;
		}
		flush(conn);
		pg_tx_clear(conn);
		g_ptr_array_remove_index(me.conns, i);
	}
}

static void wake_sleepers(void)
{
	for (guint i = 0; i < me.conns->len; i++) {
		conn_t *conn = me.conns->pdata[i];

		if (conn->sleep_until != 0)
			conn->blocked = pg_now_us() < conn->sleep_until;
	}
}

static void end_idle_sessions(void)
{
	for (guint i = 0; i < me.conns->len; i++) {
		conn_t *conn = me.conns->pdata[i];
		gint64 limit = conn->state == 'I' ? conn->idle_limit : conn->idle_tx_limit;

		if (conn->kind == PEER_SQL && limit != 0 && !conn->blocked &&
		    conn->last_active != 0 && pg_now_us() - conn->last_active > limit)
			conn->dead = TRUE;
	}
}

static void work(void)
{
	me.unblocked = FALSE;
	pg_replica_connect();
	pg_replica_apply_due();
	wake_sleepers();
	end_idle_sessions();
	for (guint i = 0; i < me.conns->len; i++) {
		conn_t *conn = me.conns->pdata[i];

		pg_input_take(conn);
		if (conn->kind == PEER_REPLICA)
			pg_replica_feed(conn);
		flush(conn);
	}
	bury_dead();
}

static int wait_ms(void)
{
	if (me.unblocked)
		return 0;
	for (guint i = 0; i < me.conns->len; i++) {
		const conn_t *conn = me.conns->pdata[i];

		if (conn->sleep_until != 0 || (conn->kind == PEER_NEW && conn->in->len > 0))
			return 1;
	}
	if (!g_queue_is_empty(&me.pending))
		return 1;
	return me.upstream != NULL && me.up_fd < 0 ? PG_RETRY_FOLLOW_MS : 200;
}

static void poll_once(void)
{
	guint count = me.conns->len;
	struct pollfd *fds = g_new0(struct pollfd, count + 2);

	for (guint i = 0; i < count; i++) {
		const conn_t *conn = me.conns->pdata[i];

		fds[i].fd = conn->fd;
		fds[i].events = (short)(POLLIN | (conn->out->len > 0 ? POLLOUT : 0));
	}
	fds[count].fd = me.listener;
	fds[count].events = POLLIN;
	fds[count + 1].fd = me.up_fd;
	fds[count + 1].events = POLLIN;
	poll(fds, count + 2, wait_ms());
	for (guint i = 0; i < count; i++) {
		conn_t *conn = me.conns->pdata[i];

		guint before = conn->in->len;

		if (fds[i].revents != 0 && !receive(conn->fd, conn->in))
			conn->dead = TRUE;
		if (conn->kind == PEER_SQL)
			me.bytes += conn->in->len - before;
	}
	if (fds[count].revents != 0)
		accept_conn();
	if (fds[count + 1].revents != 0) {
		if (receive(me.up_fd, me.up_in))
			pg_replica_take();
		else
			pg_replica_drop_upstream();
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
		g_error("can't listen on port %d", port);
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
			me.name = optarg;
			break;
		case 'p':
			port = atoi(optarg);
			break;
		case 'P':
			me.primary = TRUE;
			break;
		case 'f':
			me.upstream = g_strdup(optarg);
			break;
		case 'l':
			me.lag_us = (gint64)atoi(optarg) * 1000;
			break;
		case 's':
			me.slots = atoi(optarg);
			break;
		case 'S':
			me.service_us = atoi(optarg);
			break;
		case 'm':
			me.max_conns = atoi(optarg);
			break;
		case 'c':
			me.connect_us = (gint64)atoi(optarg) * 1000;
			break;
		default:
			return 2;
		}
	}
	me.sealed = 1;
	me.log = g_ptr_array_new_with_free_func(pg_log_entry_free);
	me.records = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	me.conns = g_ptr_array_new_with_free_func(conn_free);
	me.up_in = g_byte_array_new();
	g_queue_init(&me.pending);
	if (me.primary)
		pg_log_append(1, g_ptr_array_new_with_free_func(g_free));
	me.listener = listen_on(port);
	for (;;) {
		poll_once();
		work();
	}
}
