/*
 * A TCP connection on the loop: connect or take over, read into one buffer,
 * write without blocking. It notices a peer that has gone silent, and bounds
 * what waits for a peer that does not read.
 */
#pragma once

#include <stdbool.h>

#include "err.h"
#include "loop.h"

/* Output that may wait for the peer, bytes: two messages of the largest size. */
#define STREAM_OUTPUT_MAX (2 * 1024 * 1024)

struct stream;

typedef struct stream_ops {
	/* An outgoing connection is made; may be NULL. */
	void (*on_connect)(struct stream *stream);
	/* Input; returns how many bytes were used up. The rest comes again with more. */
	size_t (*on_data)(struct stream *stream, const char *data, size_t len);
	/* All output has left; may be NULL. */
	void (*on_flushed)(struct stream *stream);
	/* The connection is gone, by the peer or an error; the stream is closed already. */
	void (*on_close)(struct stream *stream, const char *reason);
} stream_ops_t;

/* What came of stream_close_if_idle(). */
typedef enum {
	STREAM_CLOSED,		 /* it is closed */
	STREAM_UNREAD_INPUT,	 /* there is input that on_data has not seen */
	STREAM_UNCONSUMED_INPUT, /* on_data has seen all input, and left some */
	STREAM_UNSENT_OUTPUT,	 /* there is output that has not left */
} stream_close_result_t;

typedef struct stream {
	const stream_ops_t *ops;
	loop_t *loop;
	h2o_socket_t *sock; /* NULL when closed */
	bool connected;
	bool closing;
	size_t discarded; /* bytes of input that came after stream_flush_and_close() */
	run_timer_t close_timer;
	bool *closed_flag; /* set by stream_close() for a callback that is running */
	char *writing;	   /* handed to the socket */
	char *pending;	   /* waits for it */
	size_t pending_len;
	size_t pending_size;
} stream_t;

/*
 * Connect to address, IP:PORT. silence_ms: sent data unacknowledged for so long
 * ends the connection. Returns 0, or a negative errno with err filled in.
 */
int stream_connect(stream_t *stream, loop_t *loop, const char *address, int silence_ms, err_t *err);

/* Take over an accepted socket. */
void stream_accept(stream_t *stream, loop_t *loop, h2o_socket_t *sock, int silence_ms);

/* Returns 0, -ENOTCONN, or -ENOBUFS when the peer does not read. */
int stream_send(stream_t *stream, const char *data, size_t len);

/* Look at the input again that on_data has left. */
void stream_resume(stream_t *stream);

/* Close at once, without a callback. */
void stream_close(stream_t *stream);

/* Close when all output has left; input is thrown away, on_down is called in the end. */
void stream_flush_and_close(stream_t *stream);

/*
 * Close the connection unless there is input to handle or output to send. The look and the close
 * are one step: if the close waited for a later turn of the loop, what comes in between would be
 * thrown away, and its sender would get neither an answer nor a refusal. Only what is on its way
 * right now can still cross the close. on_down is not called; if the connection stays open because
 * of STREAM_UNREAD_INPUT or STREAM_UNSENT_OUTPUT, on_data or on_sent follows (after
 * stream_flush_and_close() on_down).
 */
stream_close_result_t stream_close_if_idle(stream_t *stream);

/* Open a listening socket on address. Returns its descriptor or a negative errno. */
int stream_listen(const char *address, err_t *err);

/* Split IP:PORT; host needs 64 bytes. Returns 0 or -EINVAL. */
int stream_split_address(const char *address, char *host, uint16_t *port);
