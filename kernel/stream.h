/*
 * TCP connections on the event loop, outgoing or accepted. Input is read into one buffer; writes
 * never block. A stream detects a peer that no longer responds, and limits the output that is
 * buffered for a peer that does not read.
 */
#pragma once

#include <stdbool.h>

#include "err.h"
#include "loop.h"

/* Most bytes of output that are buffered: two messages of the largest size. */
#define STREAM_OUTPUT_MAX (2 * 1024 * 1024)

struct stream;

typedef struct stream_ops {
	/* An outgoing connection is established; may be NULL. */
	void (*on_connect)(struct stream *stream);
	/*
	 * Input has arrived. Returns how many bytes were consumed; the others are passed again when
	 * more input arrives, or after stream_resume().
	 */
	size_t (*on_data)(struct stream *stream, const char *data, size_t len);
	/* All output has been written to the socket; may be NULL. */
	void (*on_flushed)(struct stream *stream);
	/* The peer or an error has ended the connection; the stream is closed already. */
	void (*on_close)(struct stream *stream, const char *reason);
} stream_ops_t;

/* Result of stream_close_if_idle(). */
typedef enum {
	STREAM_CLOSED,		 /* the stream is closed */
	STREAM_UNREAD_INPUT,	 /* the socket holds input that has not been read */
	STREAM_UNCONSUMED_INPUT, /* on_data has not consumed all input */
	STREAM_UNSENT_OUTPUT,	 /* there is output that has not been sent */
} stream_close_result_t;

typedef struct stream {
	const stream_ops_t *ops;
	loop_t *loop;
	h2o_socket_t *sock; /* NULL when closed */
	bool connected;
	bool closing;		 /* stream_flush_and_close() was called */
	size_t discarded;	 /* bytes of input that arrived after stream_flush_and_close() */
	run_timer_t close_timer; /* closes the stream if stream_flush_and_close() finds no output */
	bool *closed_flag;	 /* set to true by stream_close(); non-NULL while on_data runs */
	char *writing;		 /* output that h2o is writing, or NULL */
	char *pending;		 /* output to write when that is done */
	size_t pending_len;
	size_t pending_size;
} stream_t;

/*
 * Connects to address, IP:PORT. user_timeout_ms: the connection ends if sent data stays
 * unacknowledged for this time. Returns 0, or a negative errno with err filled in.
 */
int stream_connect(stream_t *stream, loop_t *loop, const char *address, int user_timeout_ms,
		   err_t *err);

/* Initialises the stream with an accepted socket, which it owns from then on. */
void stream_accept(stream_t *stream, loop_t *loop, h2o_socket_t *sock, int user_timeout_ms);

/* Returns 0, -ENOTCONN, or -ENOBUFS if too much output is buffered or memory is short. */
int stream_send(stream_t *stream, const char *data, size_t len);

/* Passes the input that on_data has not consumed to on_data again. */
void stream_resume(stream_t *stream);

/* Closes at once, without calling on_close. */
void stream_close(stream_t *stream);

/* Closes when all output has been sent, then calls on_close. Input is discarded until then. */
void stream_flush_and_close(stream_t *stream);

/*
 * Closes the connection unless there is input to handle or output to send. The check and the close
 * are one step: if the close were deferred to a later iteration of the loop, input that arrives in
 * between would be discarded, and its sender would get neither an answer nor a refusal. Only data
 * that is in flight at this moment can still be lost. on_close is not called. If the connection
 * stays open because of STREAM_UNREAD_INPUT or STREAM_UNSENT_OUTPUT, a call of on_data or
 * on_flushed follows (after stream_flush_and_close(): of on_close).
 */
stream_close_result_t stream_close_if_idle(stream_t *stream);

/* Opens a listening socket on address. Returns its descriptor or a negative errno. */
int stream_listen(const char *address, err_t *err);

/* Size of the host that stream_split_address() returns. */
#define STREAM_HOST_SIZE 64

/* Splits IP:PORT; host must have room for STREAM_HOST_SIZE bytes. Returns 0 or -EINVAL. */
int stream_split_address(const char *address, char *host, uint16_t *port);
