#include "link.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>

/*
 * A connection ends if sent data stays unacknowledged for this time; longer than any fault of a
 * soak.
 */
#define TCP_USER_TIMEOUT_MS 60000
/* A member drops a connection whose remote end has been unreachable for this time. */
#define DROP_DELAY (3 * USEC_PER_SEC)

typedef struct chunk {
	list_t node;
	usec_t due;
	size_t len;
	char data[];
} chunk_t;

typedef struct flow {
	struct pair *pair;
	stream_t *to;
	list_t chunks;
	usec_t free_at;	    /* with a rate limit: when the next byte may be sent */
	bool sender_closed; /* the receiver's side is closed after the last chunk */
	run_timer_t timer;
} flow_t;

typedef struct pair {
	list_t node;
	link_t *link;
	stream_t caller;
	stream_t target;
	flow_t flows[LINK_DIRECTIONS];
	bool silent;
	run_timer_t drop_timer;
} pair_t;

static usec_t link_now(const link_t *link)
{
	return clock_now(link->loop->clock);
}

static void destroy_pair(pair_t *pair)
{
	for (int i = 0; i < LINK_DIRECTIONS; i++)
		timers_cancel(&pair->link->loop->timers, &pair->flows[i].timer);
	timers_cancel(&pair->link->loop->timers, &pair->drop_timer);
	stream_close(&pair->caller);
	stream_close(&pair->target);
	list_del(&pair->node);
	talloc_free(pair);
}

static void set_reset_on_close(stream_t *stream)
{
	const struct linger now = {.l_onoff = 1, .l_linger = 0};

	if (stream->sock != NULL)
		setsockopt(h2o_socket_get_fd(stream->sock), SOL_SOCKET, SO_LINGER, &now,
			   sizeof(now));
}

static void reset_pair(pair_t *pair)
{
	set_reset_on_close(&pair->caller);
	set_reset_on_close(&pair->target);
	destroy_pair(pair);
}

static bool is_blocked(const flow_t *flow)
{
	const pair_t *pair = flow->pair;

	return pair->silent || pair->link->cut[flow - pair->flows];
}

/* Forwards the chunks that are due. The pair may have been freed afterwards. */
static void forward_due_chunks(flow_t *flow)
{
	pair_t *pair = flow->pair;
	usec_t now = link_now(pair->link);

	while (!is_blocked(flow) && !list_empty(&flow->chunks)) {
		chunk_t *chunk = list_entry(flow->chunks.next, chunk_t, node);

		if (chunk->due > now) {
			timers_arm(&pair->link->loop->timers, &flow->timer, chunk->due,
				   flow->timer.cb);
			return;
		}
		if (stream_send(flow->to, chunk->data, chunk->len) == -ENOBUFS) {
			reset_pair(pair);
			return;
		}
		list_del(&chunk->node);
		talloc_free(chunk);
	}
	if (!is_blocked(flow) && flow->sender_closed)
		stream_flush_and_close(flow->to);
}

static void on_chunk_due(run_timer_t *timer, usec_t now)
{
	(void)now;
	forward_due_chunks(list_entry(timer, flow_t, timer));
}

static usec_t schedule_chunk(flow_t *flow, size_t len)
{
	const link_t *link = flow->pair->link;
	usec_t at = link_now(link) + link->delay;

	if (link->rate == 0)
		return at;
	at = at > flow->free_at ? at : flow->free_at;
	flow->free_at = at + len * USEC_PER_SEC / link->rate;
	return flow->free_at;
}

static size_t queue_chunk(flow_t *flow, const char *data, size_t len)
{
	pair_t *pair = flow->pair;
	chunk_t *chunk = talloc_size(pair, sizeof(*chunk) + len);

	chunk->len = len;
	chunk->due = schedule_chunk(flow, len);
	memcpy(chunk->data, data, len);
	list_add_tail(&flow->chunks, &chunk->node);
	forward_due_chunks(flow);
	return len;
}

static void on_sender_closed(flow_t *flow, const stream_t *other)
{
	flow->sender_closed = true;
	if (other->sock == NULL || flow->pair->silent)
		destroy_pair(flow->pair);
	else
		forward_due_chunks(flow);
}

static size_t on_caller_data(stream_t *stream, const char *data, size_t len)
{
	return queue_chunk(&list_entry(stream, pair_t, caller)->flows[LINK_OUT], data, len);
}

static size_t on_target_data(stream_t *stream, const char *data, size_t len)
{
	return queue_chunk(&list_entry(stream, pair_t, target)->flows[LINK_BACK], data, len);
}

static void on_caller_close(stream_t *stream, const char *reason)
{
	pair_t *pair = list_entry(stream, pair_t, caller);

	(void)reason;
	on_sender_closed(&pair->flows[LINK_OUT], &pair->target);
}

static void on_target_close(stream_t *stream, const char *reason)
{
	pair_t *pair = list_entry(stream, pair_t, target);

	(void)reason;
	on_sender_closed(&pair->flows[LINK_BACK], &pair->caller);
}

static const stream_ops_t caller_ops = {.on_data = on_caller_data, .on_close = on_caller_close};
static const stream_ops_t target_ops = {.on_data = on_target_data, .on_close = on_target_close};

static void init_flow(pair_t *pair, link_direction_t direction, stream_t *to)
{
	flow_t *flow = &pair->flows[direction];

	flow->pair = pair;
	flow->to = to;
	flow->timer.cb = on_chunk_due;
	list_init(&flow->chunks);
}

static void on_accept(h2o_socket_t *listener, const char *err)
{
	link_t *link = listener->data;
	h2o_socket_t *sock;

	if (err != NULL)
		return;
	while ((sock = h2o_evloop_socket_accept(listener)) != NULL) {
		pair_t *pair = talloc_zero(link, pair_t);
		err_t error = {0};

		pair->link = link;
		pair->caller.ops = &caller_ops;
		pair->target.ops = &target_ops;
		init_flow(pair, LINK_OUT, &pair->target);
		init_flow(pair, LINK_BACK, &pair->caller);
		list_add_tail(&link->pairs, &pair->node);
		if (stream_connect(&pair->target, link->loop, link->target, TCP_USER_TIMEOUT_MS,
				   &error) < 0) {
			h2o_socket_close(sock);
			destroy_pair(pair);
			continue;
		}
		stream_accept(&pair->caller, link->loop, sock, TCP_USER_TIMEOUT_MS);
	}
}

static void set_target(link_t *link, int port)
{
	snprintf(link->target, sizeof(link->target), "127.0.0.1:%d", port);
}

static int destructor(link_t *link)
{
	while (!list_empty(&link->pairs))
		destroy_pair(list_entry(link->pairs.next, pair_t, node));
	h2o_socket_read_stop(link->listener);
	h2o_socket_close(link->listener);
	return 0;
}

link_t *link_create(void *parent, loop_t *loop, int port, int target_port)
{
	link_t *link = talloc_zero(parent, link_t);
	err_t err = {0};
	char address[32];
	int fd;

	link->loop = loop;
	list_init(&link->pairs);
	set_target(link, target_port);
	snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	fd = stream_listen(address, &err);
	if (fd < 0) {
		talloc_free(link);
		return NULL;
	}
	link->listener = h2o_evloop_socket_create(loop->h2o, fd, H2O_SOCKET_FLAG_DONT_READ);
	link->listener->data = link;
	h2o_socket_read_start(link->listener, on_accept);
	talloc_set_destructor(link, destructor);
	return link;
}

void link_reset(link_t *link)
{
	while (!list_empty(&link->pairs))
		reset_pair(list_entry(link->pairs.next, pair_t, node));
}

static void on_drop_timer(run_timer_t *timer, usec_t now)
{
	pair_t *pair = list_entry(timer, pair_t, drop_timer);

	(void)now;
	if (pair->silent || pair->link->cut[LINK_OUT] || pair->link->cut[LINK_BACK])
		stream_close(&pair->target);
}

static void arm_drop_timers(link_t *link)
{
	list_for_each (it, &link->pairs)
		timers_arm(&link->loop->timers, &list_entry(it, pair_t, node)->drop_timer,
			   link_now(link) + DROP_DELAY, on_drop_timer);
}

void link_cut(link_t *link, link_direction_t direction)
{
	link->cut[direction] = true;
	arm_drop_timers(link);
}

void link_redirect(link_t *link, int target_port)
{
	set_target(link, target_port);
	link_reset(link);
}

void link_silence(link_t *link)
{
	list_for_each (it, &link->pairs)
		list_entry(it, pair_t, node)->silent = true;
	arm_drop_timers(link);
}

void link_heal(link_t *link)
{
	link->delay = 0;
	link->rate = 0;
	for (int i = 0; i < LINK_DIRECTIONS; i++)
		link->cut[i] = false;
	list_for_each_safe (it, &link->pairs) {
		pair_t *pair = list_entry(it, pair_t, node);

		/*
		 * The target has closed while the link was cut, or on_drop_timer() has closed its
		 * side.
		 */
		if (!pair->silent && pair->target.sock == NULL)
			reset_pair(pair);
	}
	for (int i = 0; i < LINK_DIRECTIONS; i++) {
		/* forward_due_chunks() may free the pair, hence the safe iteration. */
		list_for_each_safe (it, &link->pairs)
			forward_due_chunks(&list_entry(it, pair_t, node)->flows[i]);
	}
}
