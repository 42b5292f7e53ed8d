#include "standin_site.h"

#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "protocol.h"
#include "stream.h"

/* Time for which the store keeps the entry of a stopped member. */
#define ENTRY_LIFETIME (3600 * USEC_PER_MSEC)

/* A connection from a proxy to a member. */
typedef struct link {
	list_t node;
	stream_t stream;
	fake_session_t *session;
	fake_member_t *member;
} link_t;

static void free_link(link_t *link)
{
	list_del(&link->node);
	talloc_free(link);
}

static void on_member_reply(void *data, const char *text, size_t len)
{
	link_t *link = data;

	if (text != NULL) {
		stream_send(&link->stream, text, len);
		return;
	}
	link->session = NULL;
	stream_flush_and_close(&link->stream);
}

static size_t on_line(stream_t *stream, const char *data, size_t len)
{
	link_t *link = list_entry(stream, link_t, stream);
	size_t line = protocol_line_length(data, len, 0);

	if (line != 0 && link->session != NULL)
		fake_session_receive_line(link->session, data, line - 2);
	return line;
}

static void on_link_close(stream_t *stream, const char *reason)
{
	link_t *link = list_entry(stream, link_t, stream);

	(void)reason;
	if (link->session != NULL)
		fake_session_close(link->session);
	free_link(link);
}

static const stream_ops_t link_ops = {.on_data = on_line, .on_close = on_link_close};

static void on_accept(h2o_socket_t *sock, const char *err)
{
	listener_t *listener = sock->data;
	h2o_socket_t *accepted;

	if (err != NULL)
		return;
	while ((accepted = h2o_evloop_socket_accept(sock)) != NULL) {
		link_t *link = talloc_zero(NULL, link_t);

		link->member = listener->member;
		link->session = fake_session_open(listener->member, on_member_reply, link);
		link->stream.ops = &link_ops;
		list_add_tail(&listener->site->links, &link->node);
		stream_accept(&link->stream, &listener->site->loop, accepted, 5000);
		if (link->session == NULL)
			stream_flush_and_close(&link->stream);
	}
}

static void remove_entry(site_t *site, listener_t *listener)
{
	char key[64];

	if (listener->listed_entry[0] == '\0')
		return;
	snprintf(key, sizeof(key), "servers/%s", listener->listed_id);
	fake_kv_put(site->kv, key, NULL);
	listener->listed_entry[0] = '\0';
}

static void expire_entry(site_t *site, listener_t *listener)
{
	usec_t now = clock_now(site->loop.clock);

	if (listener->stopped_at == 0)
		listener->stopped_at = now;
	if (now >= listener->stopped_at + ENTRY_LIFETIME)
		remove_entry(site, listener);
}

static void update_entry(site_t *site, listener_t *listener)
{
	const fake_member_t *member = listener->member;
	char key[64];
	char value[512];

	if (member->stopped) {
		expire_entry(site, listener);
		return;
	}
	listener->stopped_at = 0;
	if (strcmp(listener->listed_id, member->id) != 0)
		remove_entry(site, listener);
	snprintf(key, sizeof(key), "servers/%s", member->id);
	snprintf(
		value, sizeof(value),
		"{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"plateau\",\"slots\":%zu,\"state\":\"%s\","
		"\"dbRole\":\"%s\",\"seq\":1}",
		member->db->config.service, listener->address, member->db->config.slots,
		member->leaving ? "draining" : "ready", member->primary ? "primary" : "replica");
	if (strcmp(value, listener->listed_entry) == 0)
		return;
	memcpy(listener->listed_entry, value, sizeof(value));
	memcpy(listener->listed_id, member->id, sizeof(member->id));
	fake_kv_put(site->kv, key, value);
}

void members_update_entries(site_t *site)
{
	for (size_t i = 0; i < site->service_count * SITE_MEMBERS; i++)
		update_entry(site, &site->listeners[i]);
}

void members_crash(site_t *site, fake_member_t *member)
{
	fake_member_stop(member);
	list_for_each_safe (it, &site->links) {
		link_t *link = list_entry(it, link_t, node);

		if (link->member != member)
			continue;
		if (link->session != NULL)
			fake_session_close(link->session);
		stream_close(&link->stream);
		free_link(link);
	}
}

static int listen_member(site_t *site, size_t index, int port, err_t *err)
{
	listener_t *listener = &site->listeners[index];
	char address[32];
	int fd;

	listener->site = site;
	listener->member = &site->services[index / SITE_MEMBERS]->members[index % SITE_MEMBERS];
	snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	snprintf(listener->address, sizeof(listener->address), "127.0.0.1:%d",
		 port + site->listed_port_offset);
	fd = stream_listen(address, err);
	if (fd < 0)
		return fd;
	listener->sock = h2o_evloop_socket_create(site->loop.h2o, fd, H2O_SOCKET_FLAG_DONT_READ);
	listener->sock->data = listener;
	h2o_socket_read_start(listener->sock, on_accept);
	return 0;
}

int members_listen(site_t *site, int base, err_t *err)
{
	int rc = 0;

	for (size_t i = 0; rc == 0 && i < site->service_count * SITE_MEMBERS; i++)
		rc = listen_member(site, i, base + (int)i, err);
	return rc;
}
