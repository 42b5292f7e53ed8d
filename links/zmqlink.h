/*
 * Messages between proxies over ZeroMQ. One ROUTER socket takes what others
 * send; to each peer goes a DEALER. A message that can't be sent now is given
 * up, one that was sent may still be lost.
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
	struct peer *by_name; /* each message looks its receiver up */
} zmqlink_t;

/* The keys and on_frame are set by the caller. Listens on address, IP:PORT. */
int zmqlink_start(zmqlink_t *link, loop_t *loop, const char *address, err_t *err);

/* What was sent to peers that are connected still leaves, within half a second. */
void zmqlink_stop(zmqlink_t *link);

/* Handle every message that has come, without waiting for the loop to report it. */
void zmqlink_receive_all(zmqlink_t *link);

/* Returns 0, or -EHOSTUNREACH if it was certainly not sent. address may be NULL for a known peer.
 */
int zmqlink_send(zmqlink_t *link, const char *name, const char *address, const void *data,
		 size_t len);
