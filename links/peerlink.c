/* The link to peers: sends and receives core's messages between proxies. */
#include <errno.h>

#include <talloc.h>

#include "adapter.h"
#include "counter.h"
#include "wire.h"
#include "zmqlink.h"

COUNTER_DEFINE(bad_total, "peer_messages_bad_total", COUNTER_SUM,
	       "Malformed messages received from peers.");

typedef struct peerlink {
	plugin_t base;
	adapter_t *adapter;
	const conf_t *conf;
	char *secret_key;
	zmqlink_t zmq;
} peerlink_t;

static void on_frame(zmqlink_t *zmq, const void *data, size_t len)
{
	peerlink_t *self = list_entry(zmq, peerlink_t, zmq);
	char *from = NULL;
	message_t *message = wire_decode(NULL, data, len, &from);
	event_t event = {.kind = EVENT_MESSAGE, .message = {.peer = from, .message = message}};

	if (message == NULL) {
		counter_add(&bad_total, 1);
		return;
	}
	adapter_submit(self->adapter, &event);
	talloc_free(message);
}

static void report_unsent(peerlink_t *self, const action_t *action)
{
	event_t event = {.kind = EVENT_UNSENT, .id = action->id};

	if (action->send.message->kind == MESSAGE_EXECUTE)
		adapter_submit(self->adapter, &event);
}

static void on_send(void *data, action_t *action)
{
	peerlink_t *self = data;
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	wire_encode(&buffer, self->conf->node_name, action->send.message);
	if (zmqlink_send(&self->zmq, action->send.peer, action->send.address, buffer.data,
			 buffer.size) < 0)
		report_unsent(self, action);
	msgpack_sbuffer_destroy(&buffer);
}

static int read_keys(peerlink_t *self, err_t *err)
{
	if (self->conf->peers_public_key[0] == '\0')
		return 0;
	self->secret_key = conf_read_secret(NULL, self->conf->peers_secret_key_file, err);
	if (self->secret_key == NULL)
		return -ENOENT;
	self->zmq.secret_key = self->secret_key;
	self->zmq.public_key = self->conf->peers_public_key;
	return 0;
}

static int start(plugin_t *plugin, kernel_t *kernel, err_t *err)
{
	peerlink_t *self = (peerlink_t *)plugin;
	int rc;

	self->adapter = adapter_from_kernel(kernel);
	self->conf = kernel->settings;
	self->zmq.on_frame = on_frame;
	rc = read_keys(self, err);
	if (rc == 0)
		rc = zmqlink_start(&self->zmq, &kernel->loop, self->conf->peers_listen, err);
	if (rc == 0)
		adapter_register(self->adapter, ACTION_SEND, on_send, self);
	return rc;
}

static json_t *dump(const plugin_t *plugin)
{
	const peerlink_t *self = (const peerlink_t *)plugin;

	return json_pack("{s:i, s:b}", "sockets", (int)list_length(&self->zmq.peers),
			 "authenticated", self->secret_key != NULL);
}

/* Handle the messages that have arrived; the process would lose them at its exit. */
static bool close_idle(plugin_t *plugin)
{
	zmqlink_receive_all(&((peerlink_t *)plugin)->zmq);
	return true;
}

static void destroy(plugin_t *plugin)
{
	peerlink_t *self = (peerlink_t *)plugin;

	zmqlink_stop(&self->zmq);
	talloc_free(self->secret_key);
}

static const plugin_ops_t ops = {
	.name = "peers",
	.order = 30,
	.start = start,
	.dump = dump,
	.close_idle = close_idle,
	.destroy = destroy,
};

static peerlink_t instance = {.base = {.ops = &ops}};

PLUGIN_REGISTER(&instance.base);
