#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "pool_parts.h"
#include "protocol.h"

typedef struct world_link {
	list_t node;
	world_node_t *from;
	fake_member_t *member;
	struct conn *conn; /* the pooler's side; NULL: it has closed the connection */
	fake_session_t *session;
	bool started;
	bool ended;
	list_t posts;	  /* of post_t, in flight in either direction */
	usec_t last_post; /* delivery time of the latest; a connection delivers in order */
} world_link_t;

/* A line, or the end of the connection, in flight. */
typedef struct post {
	run_timer_t timer;
	list_t node;
	timer_set_t *timers;
	world_link_t *link;
	char *text; /* NULL: the end of the connection */
	size_t len;
	bool unreachable; /* the member drops the connection, since its remote end is unreachable */
} post_t;

static void free_unused_link(world_link_t *link)
{
	if (link->conn != NULL || link->session != NULL || !list_empty(&link->posts))
		return;
	list_del(&link->node);
	talloc_free(link);
}

static post_t *schedule_post(world_link_t *link, timer_set_t *timers, const char *text, size_t len,
			     timer_cb_t cb)
{
	pool_world_t *world = link->from->world;
	post_t *item = talloc_zero(world, post_t);

	item->timers = timers;
	item->link = link;
	item->text = text != NULL ? talloc_strndup(item, text, len) : NULL;
	item->len = len;
	list_add_tail(&link->posts, &item->node);
	if (link->last_post < world_now(world) + LINK_DELAY)
		link->last_post = world_now(world) + LINK_DELAY;
	/* Distinct times, since timers that are due at the same time may fire in any order. */
	timers_arm(timers, &item->timer, link->last_post++, cb);
	return item;
}

/* Whatever is sent from now on arrives no sooner than that. */
static void delay_link(world_link_t *link, usec_t by)
{
	usec_t until = world_now(link->from->world) + by;

	if (link->last_post < until)
		link->last_post = until;
}

static void on_delivery_to_member(run_timer_t *timer, usec_t now);

static void deliver_to_pooler(world_link_t *link, const char *text, size_t len)
{
	reply_scan_t scan = {0};
	reply_progress_t progress = protocol_scan_reply(&scan, text, len);
	member_status_t status;
	struct conn *conn = link->conn;

	if (!link->started && scan.has_result && !scan.reply.ok) {
		link->conn = NULL;
		conn_on_down(conn, scan.reply.code, "refused");
		schedule_post(link, &link->from->world->timers, NULL, 0, on_delivery_to_member);
		return;
	}
	g_assert_cmpint(progress, ==, REPLY_COMPLETE);
	g_assert_cmpuint(scan.reply.raw.len, ==, len);
	if (!link->started) {
		link->started = true;
		conn_on_ready(conn);
		return;
	}
	conn_on_reply(conn, &scan.reply,
		      scan.reply.ok && protocol_decode_status(scan.reply.row, &status) ? &status
										       : NULL);
}

static bool is_lost(const world_link_t *link)
{
	/* A listed member that does not exist: nothing answers at its address. */
	if (link->member == NULL)
		return true;
	return link->from->cut_from_members;
}

/* Delivers a line, or the end of the connection, to the proxy. */
static void on_delivery_to_proxy(run_timer_t *timer, usec_t now)
{
	post_t *item = list_entry(timer, post_t, timer);
	world_link_t *link = item->link;
	struct conn *conn = link->conn;

	(void)now;
	list_del(&item->node);
	if (conn != NULL && !is_lost(link)) {
		if (item->text != NULL) {
			deliver_to_pooler(link, item->text, item->len);
		} else {
			link->conn = NULL;
			conn_on_down(conn, CODE_NONE, "closed");
		}
	}
	talloc_free(item);
	free_unused_link(link);
}

static void on_member_reply(void *data, const char *text, size_t len)
{
	world_link_t *link = data;

	if (text == NULL)
		link->session = NULL;
	schedule_post(link, &link->from->timers, text, len, on_delivery_to_proxy);
}

/* True if the member has to notice by itself that the connection has ended. */
static bool is_end_lost(const world_link_t *link, const post_t *item)
{
	return link->from->world->drops_unreachable && item->text == NULL && !item->unreachable &&
	       link->session != NULL && is_lost(link);
}

/*
 * Delivers a line, or the end of the connection, to the member; the first line opens its session.
 */
static void on_delivery_to_member(run_timer_t *timer, usec_t now)
{
	post_t *item = list_entry(timer, post_t, timer);
	world_link_t *link = item->link;

	(void)now;
	list_del(&item->node);
	if (is_end_lost(link, item)) {
		delay_link(link, DEAD_CONN_TIMEOUT);
		schedule_post(link, &link->from->world->timers, NULL, 0, on_delivery_to_member)
			->unreachable = true;
	}
	if (link->session == NULL && !link->ended && !is_lost(link) && item->text != NULL) {
		link->session = fake_session_open(link->member, on_member_reply, link);
		if (link->session == NULL) {
			link->ended = true;
			schedule_post(link, &link->from->timers, NULL, 0, on_delivery_to_proxy);
		}
	}
	if (link->session != NULL && (!is_lost(link) || item->unreachable)) {
		if (item->text != NULL) {
			fake_session_receive_line(link->session, item->text, item->len);
		} else {
			fake_session_close(link->session);
			link->session = NULL;
			link->ended = true;
		}
	}
	talloc_free(item);
	free_unused_link(link);
}

static void send_lines(world_link_t *link, const char *text, size_t len)
{
	size_t done = 0;

	while (done < len) {
		size_t line = protocol_line_length(text + done, len - done, 0);

		schedule_post(link, &link->from->world->timers, text + done, line - 2,
			      on_delivery_to_member);
		done += line;
	}
}

void *links_connect(env_t *env, const char *address, const char *service, const char *customer,
		    const char *member, struct conn *conn)
{
	world_node_t *node = (world_node_t *)env;
	world_link_t *link = talloc_zero(node->world, world_link_t);
	protocol_buffer_t buffer = {0};

	(void)address;
	link->from = node;
	link->conn = conn;
	link->member = world_find_member(node->world, member);
	list_init(&link->posts);
	list_add_tail(&node->links, &link->node);
	protocol_encode_start(&buffer, service, customer, member);
	send_lines(link, buffer.data, buffer.len);
	protocol_buffer_free(&buffer);
	return link;
}

void links_send(env_t *env, void *data, const member_request_t *requests, size_t count)
{
	protocol_buffer_t buffer = {0};

	(void)env;
	for (size_t i = 0; i < count; i++)
		protocol_encode_request(&buffer, &requests[i]);
	send_lines(data, buffer.data, buffer.len);
	protocol_buffer_free(&buffer);
}

void links_close(env_t *env, void *data)
{
	world_link_t *link = data;

	(void)env;
	link->conn = NULL;
	schedule_post(link, &link->from->world->timers, NULL, 0, on_delivery_to_member);
}

void links_close_all(world_node_t *node)
{
	list_for_each_safe (it, &node->links) {
		world_link_t *link = list_entry(it, world_link_t, node);

		if (link->conn != NULL)
			links_close(&node->env, link);
	}
}

void links_delay_delivery(world_node_t *node, usec_t by)
{
	list_for_each (it, &node->links)
		delay_link(list_entry(it, world_link_t, node), by);
}

bool world_has_transaction(const pool_world_t *world)
{
	for (size_t i = 0; i < world->node_count; i++) {
		list_for_each (it, &world->nodes[i].links) {
			const world_link_t *link = list_entry(it, world_link_t, node);

			if (link->session != NULL && fake_session_in_transaction(link->session))
				return true;
		}
	}
	return false;
}

void world_crash_member(pool_world_t *world, size_t at)
{
	fake_member_t *member = &world->db->members[at];

	fake_member_stop(member);
	for (size_t i = 0; i < world->node_count; i++) {
		list_for_each (it, &world->nodes[i].links) {
			world_link_t *link = list_entry(it, world_link_t, node);

			if (link->member != member || link->session == NULL)
				continue;
			fake_session_close(link->session);
			link->session = NULL;
			link->ended = true;
			schedule_post(link, &link->from->timers, NULL, 0, on_delivery_to_proxy);
		}
	}
}
