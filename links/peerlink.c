/*
 * Peers' link: ZeroMQ between proxies. One ROUTER socket takes what others
 * send; to each peer goes a DEALER. ZeroMQ would queue silently for a peer that
 * is away, so ZMQ_IMMEDIATE and a small high-water mark make it say so instead.
 */
#include <errno.h>
#include <string.h>

#include <talloc.h>
#include <uthash.h>
#include <zmq.h>

#include "adapter.h"
#include "counter.h"
#include "wire.h"

#define LOG_MODULE "peers"
#include "log.h"

#define HIGH_WATER_MARK	     1000
#define RECONNECT_MSEC	     50
#define RECONNECT_MAX_MSEC   1000
#define CONNECT_TIMEOUT_MSEC 1000
#define CURVE_KEY_CHARS	     40
#define RECHECK_INTERVAL     (50 * USEC_PER_MSEC)
#define ZAP_ENDPOINT	     "inproc://zeromq.zap.01"
#define ZAP_FRAMES	     7

COUNTER_DEFINE(sent_total, "peer_messages_sent_total", COUNTER_SUM, "Messages sent to peers.");
COUNTER_DEFINE(sent_bytes, "peer_bytes_sent_total", COUNTER_SUM, "Bytes sent to peers.");
COUNTER_DEFINE(received_total, "peer_messages_received_total", COUNTER_SUM,
	       "Messages received from peers.");
COUNTER_DEFINE(unsent_total, "peer_messages_unsent_total", COUNTER_SUM,
	       "Messages given up because the peer can't be reached.");
COUNTER_DEFINE(bad_total, "peer_messages_bad_total", COUNTER_SUM,
	       "Messages that could not be read.");
COUNTER_DEFINE(denied_total, "peer_denied_total", COUNTER_SUM,
	       "Connections refused for a wrong key.");

typedef struct peer {
	char *name;
	char *address;
	void *socket;
	UT_hash_handle hh;
} peer_t;

typedef struct peerlink {
	plugin_t base;
	adapter_t *adapter;
	loop_t *loop;
	const conf_t *conf;
	char *secret_key; /* NULL: peers are not authenticated */
	void *zmq;
	void *router;
	void *zap;
	loop_watch_t router_watch;
	loop_watch_t zap_watch;
	run_timer_t recheck;
	peer_t *peers;
} peerlink_t;

static void set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void set_keys(peerlink_t *self, void *socket, bool server)
{
	if (self->secret_key == NULL)
		return;
	/* All proxies of a fleet share one key pair; who has it is a proxy. */
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, self->secret_key, CURVE_KEY_CHARS);
	zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, self->conf->peers_public_key, CURVE_KEY_CHARS);
	if (server)
		set_int(socket, ZMQ_CURVE_SERVER, 1);
	else
		zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, self->conf->peers_public_key,
			       CURVE_KEY_CHARS);
}

/* --- receiving --- */

static void take_frame(peerlink_t *self, const void *data, size_t len)
{
	char *from = NULL;
	message_t *message = wire_decode(NULL, data, len, &from);
	event_t event = {.kind = EVENT_MESSAGE, .peer = from, .message = message};

	if (message == NULL) {
		counter_add(&bad_total, 1);
		return;
	}
	counter_add(&received_total, 1);
	adapter_submit(self->adapter, &event);
	talloc_free(message);
}

/* One message: the sender's routing frame, then ours. */
static bool receive_one(peerlink_t *self)
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
		if (index++ == 1)
			take_frame(self, zmq_msg_data(&frame), zmq_msg_size(&frame));
		zmq_msg_close(&frame);
	}
	return true;
}

/* The descriptor tells of changes only, so read until nothing is left. */
static void on_router_readable(loop_watch_t *watch)
{
	peerlink_t *self = list_entry(watch, peerlink_t, router_watch);

	while (receive_one(self))
		;
}

static void on_recheck(run_timer_t *timer, usec_t now)
{
	peerlink_t *self = list_entry(timer, peerlink_t, recheck);

	/* An edge can be missed between two looks at the socket; this bounds the delay. */
	on_router_readable(&self->router_watch);
	timers_arm(&self->loop->timers, timer, now + RECHECK_INTERVAL, on_recheck);
}

/* --- authentication (ZAP, ZeroMQ RFC 27) --- */

static void zap_reply(peerlink_t *self, const char *request_id, size_t len, bool allowed)
{
	zmq_send(self->zap, "1.0", 3, ZMQ_SNDMORE);
	zmq_send(self->zap, request_id, len, ZMQ_SNDMORE);
	zmq_send(self->zap, allowed ? "200" : "400", 3, ZMQ_SNDMORE);
	zmq_send(self->zap, "", 0, ZMQ_SNDMORE);
	zmq_send(self->zap, "", 0, ZMQ_SNDMORE);
	zmq_send(self->zap, "", 0, 0);
}

/* Frames: version, request id, domain, address, identity, mechanism, client key. */
static bool zap_one(peerlink_t *self)
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
	allowed = strcmp(key, self->conf->peers_public_key) == 0;
	if (!allowed) {
		counter_add(&denied_total, 1);
		LOG_WARNING("peer refused address=%.*s: its key is not the fleet's", lens[3],
			    frames[3]);
	}
	zap_reply(self, frames[1], (size_t)lens[1], allowed);
	return true;
}

static void on_zap_readable(loop_watch_t *watch)
{
	peerlink_t *self = list_entry(watch, peerlink_t, zap_watch);

	while (zap_one(self))
		;
}

/* --- sending --- */

static void close_peer(peerlink_t *self, peer_t *peer)
{
	HASH_DEL(self->peers, peer);
	zmq_close(peer->socket);
	talloc_free(peer);
}

static peer_t *open_peer(peerlink_t *self, const char *name, const char *address)
{
	char *endpoint = talloc_asprintf(NULL, "tcp://%s", address);
	peer_t *peer = talloc_zero(NULL, peer_t);

	peer->name = talloc_strdup(peer, name);
	peer->address = talloc_strdup(peer, address);
	peer->socket = zmq_socket(self->zmq, ZMQ_DEALER);
	set_int(peer->socket, ZMQ_LINGER, 0);
	set_int(peer->socket, ZMQ_IMMEDIATE, 1);
	set_int(peer->socket, ZMQ_SNDHWM, HIGH_WATER_MARK);
	set_int(peer->socket, ZMQ_RECONNECT_IVL, RECONNECT_MSEC);
	set_int(peer->socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MSEC);
	set_int(peer->socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MSEC);
	set_keys(self, peer->socket, false);
	if (zmq_connect(peer->socket, endpoint) < 0)
		LOG_WARNING("can't connect peer=%s address=%s: %s", name, address,
			    zmq_strerror(errno));
	talloc_free(endpoint);
	HASH_ADD_KEYPTR(hh, self->peers, peer->name, strlen(peer->name), peer);
	return peer;
}

static peer_t *get_peer(peerlink_t *self, const action_t *action)
{
	peer_t *peer;

	HASH_FIND_STR(self->peers, action->peer, peer);
	if (peer != NULL && action->target != NULL && strcmp(peer->address, action->target) != 0) {
		close_peer(self, peer); /* a replaced VM with the same name */
		peer = NULL;
	}
	if (peer == NULL && action->target != NULL)
		peer = open_peer(self, action->peer, action->target);
	return peer;
}

static void tell_unsent(peerlink_t *self, const action_t *action)
{
	event_t event = {.kind = EVENT_UNSENT, .id = action->id, .peer = action->peer};

	counter_add(&unsent_total, 1);
	if (action->message->kind == MESSAGE_EXECUTE)
		adapter_submit(self->adapter, &event);
}

static void on_send(void *data, action_t *action)
{
	peerlink_t *self = data;
	peer_t *peer = get_peer(self, action);
	msgpack_sbuffer buffer;

	if (peer == NULL) {
		tell_unsent(self, action);
		return;
	}
	msgpack_sbuffer_init(&buffer);
	wire_encode(&buffer, self->conf->node_name, action->message);
	if (zmq_send(peer->socket, buffer.data, buffer.size, ZMQ_DONTWAIT) < 0) {
		tell_unsent(self, action);
	} else {
		counter_add(&sent_total, 1);
		counter_add(&sent_bytes, (int64_t)buffer.size);
	}
	msgpack_sbuffer_destroy(&buffer);
}

/* --- start and end --- */

static int watch(peerlink_t *self, void *socket, loop_watch_t *watch, loop_watch_cb_t cb)
{
	int fd;
	size_t size = sizeof(fd);

	zmq_getsockopt(socket, ZMQ_FD, &fd, &size);
	return loop_watch_start(self->loop, watch, fd, cb);
}

static int start_zap(peerlink_t *self, err_t *err)
{
	self->secret_key = conf_read_secret(NULL, self->conf->peers_secret_key_file, err);
	if (self->secret_key == NULL)
		return -ENOENT;
	if (strlen(self->secret_key) != CURVE_KEY_CHARS ||
	    strlen(self->conf->peers_public_key) != CURVE_KEY_CHARS)
		return err_set(err, -EINVAL, "read settings", "peers.public_key",
			       "both keys: expected %d characters of Z85", CURVE_KEY_CHARS);
	self->zap = zmq_socket(self->zmq, ZMQ_REP);
	set_int(self->zap, ZMQ_LINGER, 0);
	if (zmq_bind(self->zap, ZAP_ENDPOINT) < 0)
		return err_set(err, -errno, "authenticate peers", "", "no ZAP socket");
	return watch(self, self->zap, &self->zap_watch, on_zap_readable);
}

static int bind_router(peerlink_t *self, err_t *err)
{
	char *endpoint = talloc_asprintf(NULL, "tcp://%s", self->conf->peers_listen);
	int rc = 0;

	self->router = zmq_socket(self->zmq, ZMQ_ROUTER);
	set_int(self->router, ZMQ_LINGER, 0);
	set_int(self->router, ZMQ_RCVHWM, HIGH_WATER_MARK);
	set_keys(self, self->router, true);
	if (zmq_bind(self->router, endpoint) < 0)
		rc = err_set(err, -errno, "listen", self->conf->peers_listen, "can't bind");
	talloc_free(endpoint);
	return rc;
}

static int start(plugin_t *plugin, kernel_t *kernel, err_t *err)
{
	peerlink_t *self = (peerlink_t *)plugin;
	int rc = 0;

	self->adapter = adapter_of(kernel);
	self->loop = &kernel->loop;
	self->conf = kernel->settings;
	self->zmq = zmq_ctx_new();
	if (self->conf->peers_public_key[0] != '\0')
		rc = start_zap(self, err);
	if (rc == 0)
		rc = bind_router(self, err);
	if (rc == 0)
		rc = watch(self, self->router, &self->router_watch, on_router_readable);
	if (rc < 0)
		return rc;
	adapter_register(self->adapter, ACTION_SEND, on_send, self);
	timers_arm(&self->loop->timers, &self->recheck, clock_now(self->loop->clock), on_recheck);
	return 0;
}

static json_t *dump(const plugin_t *plugin)
{
	const peerlink_t *self = (const peerlink_t *)plugin;

	return json_pack("{s:i, s:b}", "sockets", (int)HASH_COUNT(self->peers), "authenticated",
			 self->secret_key != NULL);
}

static void destroy(plugin_t *plugin)
{
	peerlink_t *self = (peerlink_t *)plugin;
	peer_t *peer;
	peer_t *next;

	timers_cancel(&self->loop->timers, &self->recheck);
	loop_watch_stop(&self->router_watch);
	loop_watch_stop(&self->zap_watch);
	HASH_ITER (hh, self->peers, peer, next)
		close_peer(self, peer);
	zmq_close(self->router);
	if (self->zap != NULL)
		zmq_close(self->zap);
	zmq_ctx_term(self->zmq);
	talloc_free(self->secret_key);
}

static const plugin_ops_t ops = {
	.name = "peers",
	.order = 30,
	.start = start,
	.dump = dump,
	.destroy = destroy,
};

static peerlink_t instance = {.base = {.ops = &ops}};

PLUGIN_REGISTER(&instance.base);
