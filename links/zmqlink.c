#include "zmqlink.h"

#include <errno.h>
#include <string.h>

#include <talloc.h>
#include <uthash.h>
#include <zmq.h>

#define LOG_MODULE "zmq"
#include "counter.h"
#include "list.h"
#include "log.h"

#define HIGH_WATER_MARK 1000
#define RECONNECT_MSEC	50
/*
 * A connection attempt that was started during a network partition has lost its first packet, which
 * TCP retransmits after 1 s at the earliest. Short attempts at short intervals thus connect sooner
 * after the partition, or after the start of a machine that was off. 300 ms is longer than the
 * round-trip time between most regions.
 */
#define RECONNECT_MAX_MSEC   250
#define CONNECT_TIMEOUT_MSEC 300
/*
 * Time-outs after which a silent connection is closed and opened again: UNACKED_TIMEOUT_MSEC if
 * sent data is not acknowledged, and the heartbeat of the sending end if the connection is idle.
 * The receiving end sends no heartbeat of its own. With a heartbeat every 500 ms from both ends,
 * 295 proxies with links to 20 homes each exchange some 94,000 heartbeats per second by
 * calculation; with one per second from one end, 24,000.
 */
#define HEARTBEAT_MSEC	       1000
#define HEARTBEAT_TIMEOUT_MSEC 1200
#define UNACKED_TIMEOUT_MSEC   1200
/*
 * TCP keep-alive at the receiving end, which sends no heartbeat: the connection of a peer that lost
 * power is closed after 5 s of silence and three probes 2 s apart.
 */
#define KEEPALIVE_IDLE_SEC     5
#define KEEPALIVE_INTERVAL_SEC 2
#define KEEPALIVE_PROBES       3
#define CURVE_KEY_CHARS	       40
#define RECHECK_INTERVAL       (250 * USEC_PER_MSEC)
/* A link unused for this time is closed: each needs memory and heartbeats at both ends. */
#define LINK_IDLE_TIMEOUT (20 * USEC_PER_SEC)
/*
 * Time for ZeroMQ's thread to write queued messages when the process stops. Otherwise the last
 * answers to other proxies are lost, and those proxies can't tell whether their requests were run.
 * An open connection needs some milliseconds; a peer that is not connected has no queue
 * (ZMQ_IMMEDIATE). A peer that has stopped reading delays the exit by 500 ms, which is much less
 * than a supervisor waits between SIGTERM and SIGKILL.
 */
#define LINGER_MSEC 500
/*
 * Messages handled in a row before timers and other sockets are served: 80 ms on the slowest VMs.
 * Without a limit, the 1,800 messages that arrive after a power failure would keep the leader from
 * renewing its leader lease for over 4 s.
 */
#define RECEIVE_BATCH_MAX 32
/*
 * Batches handled at the end of the process: as many messages as a peer can have queued. Peers may
 * send faster than a slow VM handles, or answer what was sent to them meanwhile.
 */
#define RECEIVE_ALL_BATCHES (HIGH_WATER_MARK / RECEIVE_BATCH_MAX)
#define ZAP_ENDPOINT	    "inproc://zeromq.zap.01"
#define ZAP_FRAMES	    7

COUNTER_DEFINE(sent_total, "peer_messages_sent_total", COUNTER_SUM, "Messages sent to peers.");
COUNTER_DEFINE(sent_bytes, "peer_bytes_sent_total", COUNTER_SUM, "Bytes sent to peers.");
COUNTER_DEFINE(received_total, "peer_messages_received_total", COUNTER_SUM,
	       "Messages received from peers.");
COUNTER_DEFINE(unsent_total, "peer_messages_unsent_total", COUNTER_SUM,
	       "Messages dropped because the peer can't be reached.");
COUNTER_DEFINE(links_open, "peer_links_open", COUNTER_GAUGE,
	       "Open links from this process to peers.");
COUNTER_DEFINE(denied_total, "peer_denied_total", COUNTER_SUM,
	       "Connections refused for a wrong key.");

typedef struct peer {
	list_t node;	   /* in zmqlink_t.peers, the least recently used first */
	UT_hash_handle hh; /* in zmqlink_t.by_name */
	char *name;
	char *address;
	void *socket;
	usec_t used_at;
} peer_t;

static void set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void set_keys(const zmqlink_t *self, void *socket, bool server)
{
	if (self->secret_key == NULL)
		return;
	/* All proxies of a fleet share one key pair, which authenticates a peer as a proxy. */
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, self->secret_key, CURVE_KEY_CHARS);
	zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, self->public_key, CURVE_KEY_CHARS);
	if (server)
		set_int(socket, ZMQ_CURVE_SERVER, 1);
	else
		zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, self->public_key, CURVE_KEY_CHARS);
}

static void set_heartbeat(void *socket)
{
	set_int(socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_MSEC);
	set_int(socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MSEC);
	set_int(socket, ZMQ_TCP_MAXRT, UNACKED_TIMEOUT_MSEC);
}

static void set_keepalive(void *socket)
{
	set_int(socket, ZMQ_TCP_KEEPALIVE, 1);
	set_int(socket, ZMQ_TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_SEC);
	set_int(socket, ZMQ_TCP_KEEPALIVE_INTVL, KEEPALIVE_INTERVAL_SEC);
	set_int(socket, ZMQ_TCP_KEEPALIVE_CNT, KEEPALIVE_PROBES);
}

/* --- receiving --- */

/*
 * Handle one message, which has two frames: the sender's routing id, added by the ROUTER socket,
 * and the payload. Returns false if there is none.
 */
static bool receive_message(zmqlink_t *self)
{
	zmq_msg_t frame;
	bool more = true;
	int index = 0;

	while (more) {
		zmq_msg_init(&frame);
		if (zmq_msg_recv(&frame, self->router, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&frame);
			return false;
		}
		more = zmq_msg_more(&frame);
		if (index++ == 1) {
			counter_add(&received_total, 1);
			self->on_frame(self, zmq_msg_data(&frame), zmq_msg_size(&frame));
		}
		zmq_msg_close(&frame);
	}
	return true;
}

static void on_recheck_timer(run_timer_t *timer, usec_t now);

/* Handle up to RECEIVE_BATCH_MAX messages; returns true if there may be more. */
static bool receive_batch(zmqlink_t *self)
{
	for (int i = 0; i < RECEIVE_BATCH_MAX; i++) {
		if (!receive_message(self))
			return false;
	}
	return true;
}

void zmqlink_receive_all(zmqlink_t *self)
{
	for (int i = 0; i < RECEIVE_ALL_BATCHES; i++) {
		if (!receive_batch(self))
			return;
	}
}

/* ZeroMQ's descriptor is edge-triggered, so read in batches until no message is left. */
static void on_router_readable(loop_watch_t *watch)
{
	zmqlink_t *self = list_entry(watch, zmqlink_t, router_watch);
	/* An edge can be missed between two checks of the socket; the timer limits the delay. */
	usec_t interval = RECHECK_INTERVAL;

	/* With 0, the timer would expire in the same iteration of the loop. */
	if (receive_batch(self))
		interval = 1;
	timers_arm(&self->loop->timers, &self->recheck_timer,
		   clock_now(self->loop->clock) + interval, on_recheck_timer);
}

static void on_recheck_timer(run_timer_t *timer, usec_t now)
{
	(void)now;
	on_router_readable(&list_entry(timer, zmqlink_t, recheck_timer)->router_watch);
}

/* --- authentication (ZAP, ZeroMQ RFC 27) --- */

static void send_zap_reply(zmqlink_t *self, const char *request_id, size_t len, bool allowed)
{
	zmq_send(self->zap, "1.0", 3, ZMQ_SNDMORE);
	zmq_send(self->zap, request_id, len, ZMQ_SNDMORE);
	zmq_send(self->zap, allowed ? "200" : "400", 3, ZMQ_SNDMORE);
	zmq_send(self->zap, "", 0, ZMQ_SNDMORE);
	zmq_send(self->zap, "", 0, ZMQ_SNDMORE);
	zmq_send(self->zap, "", 0, 0);
}

/* Frames: version, request id, domain, address, identity, mechanism, client key. */
static bool handle_zap_request(zmqlink_t *self)
{
	char frames[ZAP_FRAMES][256];
	int lens[ZAP_FRAMES] = {0};
	char key[CURVE_KEY_CHARS + 1] = "";
	bool allowed;

	for (int i = 0; i < ZAP_FRAMES; i++) {
		int more = 0;
		size_t size = sizeof(more);

		lens[i] = zmq_recv(self->zap, frames[i], sizeof(frames[i]), ZMQ_DONTWAIT);
		if (lens[i] < 0)
			return false;
		zmq_getsockopt(self->zap, ZMQ_RCVMORE, &more, &size);
		if (!more)
			break;
	}
	if (lens[6] == 32)
		zmq_z85_encode(key, (const uint8_t *)frames[6], 32);
	allowed = strcmp(key, self->public_key) == 0;
	if (!allowed) {
		counter_add(&denied_total, 1);
		LOG_WARNING("peer refused address=%.*s: its key is not the fleet's", lens[3],
			    frames[3]);
	}
	send_zap_reply(self, frames[1], (size_t)lens[1], allowed);
	return true;
}

static void on_zap_readable(loop_watch_t *watch)
{
	zmqlink_t *self = list_entry(watch, zmqlink_t, zap_watch);

	while (handle_zap_request(self))
		;
}

/* --- sending --- */

static void close_peer(zmqlink_t *self, peer_t *peer)
{
	if (self->by_name != NULL)
		HASH_DEL(self->by_name, peer);
	counter_add(&links_open, -1);
	list_del(&peer->node);
	zmq_close(peer->socket);
	talloc_free(peer);
}

static peer_t *open_peer(zmqlink_t *self, const char *name, const char *address)
{
	char *endpoint = talloc_asprintf(NULL, "tcp://%s", address);
	peer_t *peer = talloc_zero(NULL, peer_t);

	peer->name = talloc_strdup(peer, name);
	peer->address = talloc_strdup(peer, address);
	peer->socket = zmq_socket(self->zmq, ZMQ_DEALER);
	set_int(peer->socket, ZMQ_LINGER, 0);
	/* Fail the send if the peer is not connected; by default ZeroMQ queues the message. */
	set_int(peer->socket, ZMQ_IMMEDIATE, 1);
	set_int(peer->socket, ZMQ_SNDHWM, HIGH_WATER_MARK);
	set_int(peer->socket, ZMQ_RECONNECT_IVL, RECONNECT_MSEC);
	set_int(peer->socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MSEC);
	set_int(peer->socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MSEC);
	set_heartbeat(peer->socket);
	set_keys(self, peer->socket, false);
	if (zmq_connect(peer->socket, endpoint) < 0)
		LOG_WARNING("can't connect peer=%s address=%s: %s", name, address,
			    zmq_strerror(errno));
	talloc_free(endpoint);
	list_add_tail(&self->peers, &peer->node);
	HASH_ADD_KEYPTR(hh, self->by_name, peer->name, strlen(peer->name), peer);
	counter_add(&links_open, 1);
	return peer;
}

static peer_t *find_peer(const zmqlink_t *self, const char *name)
{
	peer_t *peer;

	HASH_FIND_STR(self->by_name, name, peer);
	return peer;
}

static peer_t *get_or_open_peer(zmqlink_t *self, const char *name, const char *address)
{
	peer_t *peer = find_peer(self, name);

	if (peer != NULL && address != NULL && strcmp(peer->address, address) != 0) {
		close_peer(self, peer); /* a new VM has the same name */
		peer = NULL;
	}
	if (peer == NULL && address != NULL)
		peer = open_peer(self, name, address);
	return peer;
}

/* Called with each send. Closing at most one link each time spreads the work over the sends. */
static void close_idle_peer(zmqlink_t *self, usec_t now)
{
	peer_t *oldest;

	if (list_empty(&self->peers))
		return;
	oldest = list_entry(self->peers.next, peer_t, node);
	if (now >= oldest->used_at + LINK_IDLE_TIMEOUT)
		close_peer(self, oldest);
}

static void mark_used(zmqlink_t *self, peer_t *peer, usec_t now)
{
	peer->used_at = now;
	list_del(&peer->node);
	list_add_tail(&self->peers, &peer->node);
}

int zmqlink_send(zmqlink_t *self, const char *name, const char *address, const void *data,
		 size_t len)
{
	peer_t *peer = get_or_open_peer(self, name, address);
	usec_t now = clock_now(self->loop->clock);

	if (peer != NULL)
		mark_used(self, peer, now);
	close_idle_peer(self, now);
	if (peer == NULL || zmq_send(peer->socket, data, len, ZMQ_DONTWAIT) < 0) {
		counter_add(&unsent_total, 1);
		return -EHOSTUNREACH;
	}
	counter_add(&sent_total, 1);
	counter_add(&sent_bytes, (int64_t)len);
	return 0;
}

/* --- start and stop --- */

static int watch_socket(zmqlink_t *self, void *socket, loop_watch_t *watch, loop_watch_cb_t cb)
{
	int fd;
	size_t size = sizeof(fd);

	zmq_getsockopt(socket, ZMQ_FD, &fd, &size);
	return loop_watch_start(self->loop, watch, fd, cb);
}

static int start_zap(zmqlink_t *self, err_t *err)
{
	if (strlen(self->secret_key) != CURVE_KEY_CHARS ||
	    strlen(self->public_key) != CURVE_KEY_CHARS)
		return err_set(err, -EINVAL, "read settings", "peers.public_key",
			       "both keys: expected %d characters of Z85", CURVE_KEY_CHARS);
	self->zap = zmq_socket(self->zmq, ZMQ_REP);
	set_int(self->zap, ZMQ_LINGER, 0);
	if (zmq_bind(self->zap, ZAP_ENDPOINT) < 0)
		return err_set(err, -errno, "authenticate peers", "", "can't bind the ZAP socket");
	return watch_socket(self, self->zap, &self->zap_watch, on_zap_readable);
}

static int bind_router(zmqlink_t *self, const char *address, err_t *err)
{
	char *endpoint = talloc_asprintf(NULL, "tcp://%s", address);
	int rc = 0;

	self->router = zmq_socket(self->zmq, ZMQ_ROUTER);
	set_int(self->router, ZMQ_LINGER, 0);
	set_int(self->router, ZMQ_RCVHWM, HIGH_WATER_MARK);
	set_keepalive(self->router);
	set_keys(self, self->router, true);
	if (zmq_bind(self->router, endpoint) < 0)
		rc = err_set(err, -errno, "listen", address, "can't bind");
	talloc_free(endpoint);
	return rc;
}

int zmqlink_start(zmqlink_t *self, loop_t *loop, const char *address, err_t *err)
{
	int rc = 0;

	self->loop = loop;
	list_init(&self->peers);
	self->zmq = zmq_ctx_new();
	if (self->secret_key != NULL)
		rc = start_zap(self, err);
	if (rc == 0)
		rc = bind_router(self, address, err);
	if (rc == 0)
		rc = watch_socket(self, self->router, &self->router_watch, on_router_readable);
	if (rc < 0)
		return rc;
	timers_arm(&loop->timers, &self->recheck_timer, clock_now(loop->clock), on_recheck_timer);
	return 0;
}

void zmqlink_stop(zmqlink_t *self)
{
	timers_cancel(&self->loop->timers, &self->recheck_timer);
	loop_watch_stop(&self->router_watch);
	loop_watch_stop(&self->zap_watch);
	list_for_each_safe (it, &self->peers) {
		peer_t *peer = list_entry(it, peer_t, node);

		set_int(peer->socket, ZMQ_LINGER, LINGER_MSEC);
		close_peer(self, peer);
	}
	zmq_close(self->router);
	if (self->zap != NULL)
		zmq_close(self->zap);
	/* A signal interrupts the wait for the sockets; ZeroMQ's thread then still has to write. */
	while (zmq_ctx_term(self->zmq) < 0 && errno == EINTR)
		;
}
