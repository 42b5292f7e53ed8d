/*
 * Message transport between proxies over ZeroMQ. One ROUTER socket receives from all peers; each
 * peer that this process sends to has a DEALER socket. A message that can't be sent at once is
 * dropped and reported to the sender; a message that was sent may still be lost.
 */
#pragma once

#include "err.h"
#include "list.h"
#include "loop.h"

struct zmqlink;

typedef void (*zmqlink_frame_t)(struct zmqlink *link, const void *data, size_t len);

typedef struct zmqlink {
	loop_t *loop;
	const char *secret_key; /* NULL: peers are not authenticated */
	const char *public_key;
	zmqlink_frame_t on_frame;
	void *zmq;
	void *router;
	void *zap;
	loop_watch_t router_watch;
	loop_watch_t zap_watch;
	run_timer_t recheck_timer;
	list_t peers;
	struct peer *by_name; /* hash table: each send looks its peer up */
} zmqlink_t;

/* Start to listen on address, IP:PORT. The caller has set the keys and on_frame before. */
int zmqlink_start(zmqlink_t *link, loop_t *loop, const char *address, err_t *err);

/* Close all sockets; wait up to 500 ms until queued messages to connected peers are written. */
void zmqlink_stop(zmqlink_t *link);

/*
 * Handle the messages that have arrived, without waiting for the event loop to report them; at most
 * as many as one peer can have queued.
 */
void zmqlink_receive_all(zmqlink_t *link);

/*
 * Send a message to the peer called name. address may be NULL if a link to the peer exists. Returns
 * 0, or -EHOSTUNREACH if the message was certainly not sent.
 */
int zmqlink_send(zmqlink_t *link, const char *name, const char *address, const void *data,
		 size_t len);
