/*
 * Stand-in for the users' platform as one process: the metadata store, the call
 * to promote, and three members of one service, over their real protocols.
 *
 * Usage: standin_site BASE_PORT; the store listens there, the promote call one
 * above, the members above that. SIGUSR1 crashes the leading member, SIGUSR2
 * brings every member back.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <sodium.h>
#include <talloc.h>

#include "fake_db.h"
#include "fake_kv.h"
#include "httpd.h"
#include "loop.h"
#include "stream.h"
#include "protocol.h"

#define MEMBERS	      3
#define SERVICE	      "core"
#define BODY_MAX      (2 * 1024 * 1024)
#define LIST_INTERVAL (50 * USEC_PER_MSEC)

typedef struct listener {
	struct site *site;
	fake_member_t *member;
	h2o_socket_t *sock;
	char address[32];
	char listed[512]; /* its entry as last written */
} listener_t;

typedef struct site {
	loop_t loop;
	fake_kv_t *kv;
	fake_kv_client_t client;
	fake_db_t *db;
	httpd_t store;
	httpd_t cloud;
	listener_t listeners[MEMBERS];
	list_t links;
	run_timer_t list_timer;
} site_t;

static volatile sig_atomic_t crash_asked;
static volatile sig_atomic_t return_asked;

/* --- members --- */

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
	stream_finish(&link->stream);
}

static size_t on_line(stream_t *stream, const char *data, size_t len)
{
	link_t *link = list_entry(stream, link_t, stream);
	size_t line = protocol_line(data, len, 0);

	if (line != 0 && link->session != NULL)
		fake_line(link->session, data, line - 2);
	return line;
}

static void on_link_down(stream_t *stream, const char *reason)
{
	link_t *link = list_entry(stream, link_t, stream);

	(void)reason;
	if (link->session != NULL)
		fake_close(link->session);
	free_link(link);
}

static const stream_ops_t link_ops = {.on_data = on_line, .on_down = on_link_down};

static void on_accept(h2o_socket_t *sock, const char *err)
{
	listener_t *listener = sock->data;
	h2o_socket_t *accepted;

	if (err != NULL)
		return;
	while ((accepted = h2o_evloop_socket_accept(sock)) != NULL) {
		link_t *link = talloc_zero(NULL, link_t);

		link->member = listener->member;
		link->session = fake_open(listener->member, on_member_reply, link);
		link->stream.ops = &link_ops;
		list_add_tail(&listener->site->links, &link->node);
		stream_accept(&link->stream, &listener->site->loop, accepted, 5000);
		if (link->session == NULL)
			stream_finish(&link->stream);
	}
}

static void list_member(site_t *site, listener_t *listener)
{
	const fake_member_t *member = listener->member;
	char key[64];
	char value[512];

	snprintf(key, sizeof(key), "servers/%s", member->id);
	snprintf(
		value, sizeof(value),
		"{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"plateau\",\"slots\":2,\"state\":\"%s\","
		"\"dbRole\":\"%s\",\"seq\":1}",
		SERVICE, listener->address, member->leaving ? "draining" : "ready",
		member->primary ? "primary" : "replica");
	if (strcmp(value, listener->listed) == 0 || member->stopped)
		return;
	memcpy(listener->listed, value, sizeof(value));
	fake_kv_put(site->kv, key, value);
}

static void crash_leader(site_t *site)
{
	fake_member_t *leader = fake_leader(site->db);

	fake_stop(leader);
	list_for_each_safe (it, &site->links) {
		link_t *link = list_entry(it, link_t, node);

		if (link->member != leader)
			continue;
		if (link->session != NULL)
			fake_close(link->session);
		stream_close(&link->stream);
		free_link(link);
	}
}

static void on_list(run_timer_t *timer, usec_t now)
{
	site_t *site = list_entry(timer, site_t, list_timer);

	if (crash_asked)
		crash_leader(site);
	crash_asked = 0;
	for (size_t i = 0; return_asked && i < MEMBERS; i++) {
		if (site->db->members[i].stopped)
			fake_start(&site->db->members[i]);
	}
	return_asked = 0;
	for (size_t i = 0; i < MEMBERS; i++)
		list_member(site, &site->listeners[i]);
	timers_arm(&site->loop.timers, timer, now + LIST_INTERVAL, on_list);
}

/* --- the store --- */

/* A request whose answer comes later; req is NULL once its connection is gone. */
typedef struct pending {
	h2o_req_t *req;
	site_t *site;
	bool is_watch;
} pending_t;

typedef struct guard {
	pending_t *pending;
} guard_t;

static void on_req_gone(void *data)
{
	guard_t *guard = data;

	if (guard->pending != NULL)
		guard->pending->req = NULL;
}

static pending_t *pending_create(site_t *site, h2o_req_t *req)
{
	pending_t *pending = talloc_zero(site->kv, pending_t);
	guard_t *guard = h2o_mem_alloc_shared(&req->pool, sizeof(*guard), on_req_gone);

	pending->req = req;
	pending->site = site;
	guard->pending = pending;
	return pending;
}

static json_t *encode_item(const kv_item_t *item)
{
	char text[8192];

	if (item->value == NULL)
		return json_pack("{s:s, s:I, s:b}", "key", item->key, "rev",
				 (json_int_t)item->revision, "tombstone", 1);
	sodium_bin2base64(text, sizeof(text), (const unsigned char *)item->value, item->len,
			  sodium_base64_VARIANT_ORIGINAL);
	return json_pack("{s:s, s:s, s:I, s:I, s:i}", "key", item->key, "value", text, "rev",
			 (json_int_t)item->revision, "createdRev", (json_int_t)item->created,
			 "lease", 0);
}

static int http_status(kv_status_t status)
{
	static const int codes[] = {
		[KV_OK] = 200,	      [KV_CONFLICT] = 412, [KV_NOT_FOUND] = 404,
		[KV_COMPACTED] = 410, [KV_REFUSED] = 503,  [KV_LOST] = 503,
	};

	return codes[status];
}

static void on_result(void *data, const kv_result_t *result)
{
	pending_t *pending = data;
	json_t *items = json_array();
	json_t *body;

	for (size_t i = 0; i < result->count; i++)
		json_array_append_new(items, encode_item(&result->items[i]));
	body = json_pack("{s:o, s:b, s:I, s:I, s:I}", pending->is_watch ? "events" : "items", items,
			 "truncated", result->truncated, "asOf", (json_int_t)result->as_of, "lease",
			 (json_int_t)result->lease, "ttlMs", (json_int_t)result->ttl_ms);
	if (pending->req != NULL) {
		httpd_send_json(pending->req, http_status(result->status), body, 0);
		body = NULL;
	}
	json_decref(body);
	/* The guard may outlive it. */
	pending->req = NULL;
}

/* The text of a query's parameter as a child of parent, "" if it is missing. */
static char *parameter(void *parent, const h2o_req_t *req, const char *name)
{
	char *query = talloc_strndup(parent, req->path.base, req->path.len);
	size_t len = strlen(name);
	char *at = strchr(query, '?');

	while (at != NULL && (strncmp(at + 1, name, len) != 0 || at[len + 1] != '='))
		at = strchr(at + 1, '&');
	if (at == NULL)
		return talloc_strdup(parent, "");
	at += len + 2;
	at[strcspn(at, "&")] = '\0';
	/* The only character that our keys have escaped. */
	for (char *slash = strstr(at, "%2F"); slash != NULL; slash = strstr(at, "%2F")) {
		*slash = '/';
		memmove(slash + 1, slash + 3, strlen(slash + 3) + 1);
	}
	return at;
}

static char *decode_value(void *parent, const char *text)
{
	size_t size = strlen(text);
	size_t len = 0;
	char *out = talloc_zero_size(parent, size + 1);

	sodium_base642bin((unsigned char *)out, size, text, size, NULL, &len, NULL,
			  sodium_base64_VARIANT_ORIGINAL);
	return out;
}

static bool lists_key(const json_t *keys, const char *key)
{
	size_t index;
	json_t *value;

	json_array_foreach (keys, index, value) {
		if (strcmp(json_string_value(value), key) == 0)
			return true;
	}
	return false;
}

/*
 * Writes, deletes and mere conditions as the kv interface has them: a row each, with its expected
 * revision.
 */
static void commit(site_t *site, h2o_req_t *req, const json_t *body)
{
	const json_t *expected = json_object_get(body, "expected");
	size_t count = json_array_size(expected);
	pending_t *pending = pending_create(site, req);
	kv_write_t *writes = talloc_zero_array(pending, kv_write_t, count);

	for (size_t i = 0; i < count; i++) {
		const json_t *row = json_array_get(expected, i);
		size_t index;
		json_t *write;

		writes[i].key = json_string_value(json_object_get(row, "key"));
		writes[i].expected = json_integer_value(json_object_get(row, "rev"));
		writes[i].only_check = !lists_key(json_object_get(body, "deletes"), writes[i].key);
		json_array_foreach (json_object_get(body, "writes"), index, write) {
			if (strcmp(json_string_value(json_object_get(write, "key")),
				   writes[i].key) != 0)
				continue;
			writes[i].only_check = false;
			writes[i].value = decode_value(
				writes, json_string_value(json_object_get(write, "value")));
			writes[i].lease =
				(uint64_t)json_integer_value(json_object_get(write, "lease"));
		}
	}
	site->client.kv.ops->commit(&site->client.kv, writes, count, on_result, pending);
}

static bool path_begins(const h2o_req_t *req, const char *path)
{
	size_t len = strlen(path);

	return req->path_normalized.len >= len && memcmp(req->path_normalized.base, path, len) == 0;
}

static void call_lease(site_t *site, h2o_req_t *req, const char *path,
		       void (*call)(kv_t *kv, uint64_t lease, kv_done_t done, void *data))
{
	uint64_t id = strtoull(req->path_normalized.base + strlen(path), NULL, 10);

	call(&site->client.kv, id, on_result, pending_create(site, req));
}

static int handle_store(httpd_t *httpd, h2o_req_t *req)
{
	site_t *site = httpd->data;
	kv_t *kv = &site->client.kv;
	json_t *body = json_loadb(req->entity.base, req->entity.len, 0, NULL);
	void *scratch = talloc_new(NULL);
	pending_t *pending;
	int rc = 0;

	if (path_begins(req, "/kv-range")) {
		kv->ops->range(kv, parameter(scratch, req, "prefix"),
			       parameter(scratch, req, "after"), on_result,
			       pending_create(site, req));
	} else if (path_begins(req, "/kv-watch")) {
		pending = pending_create(site, req);
		pending->is_watch = true;
		kv->ops->watch(kv, parameter(scratch, req, "prefix"),
			       strtoll(parameter(scratch, req, "after"), NULL, 10),
			       strtoll(parameter(scratch, req, "waitMs"), NULL, 10), on_result,
			       pending);
	} else if (path_begins(req, "/kv-txn")) {
		commit(site, req, body);
	} else if (path_begins(req, "/kv-keep/")) {
		call_lease(site, req, "/kv-keep/", kv->ops->lease_keep);
	} else if (path_begins(req, "/kv-lease-end/")) {
		call_lease(site, req, "/kv-lease-end/", kv->ops->lease_end);
	} else if (path_begins(req, "/kv-lease")) {
		kv->ops->lease_create(kv, json_integer_value(json_object_get(body, "ttlMs")),
				      on_result, pending_create(site, req));
	} else {
		rc = -1;
	}
	json_decref(body);
	talloc_free(scratch);
	return rc;
}

/* --- the call to promote --- */

static int handle_cloud(httpd_t *httpd, h2o_req_t *req)
{
	site_t *site = httpd->data;
	json_t *body = json_loadb(req->entity.base, req->entity.len, 0, NULL);
	const char *id = json_string_value(json_object_get(body, "id"));
	fake_member_t *member = id != NULL ? fake_find(site->db, id) : NULL;
	bool done = member != NULL && fake_promote(site->db, member);

	json_decref(body);
	httpd_send_json(req, done ? 200 : 409, json_object(), 0);
	return 0;
}

/* --- start --- */

static const char config[] =
	"{\"version\":3,\"routes\":["
	"{\"name\":\"r1\",\"host\":\"jobs\",\"kind\":\"primary\",\"timeoutMs\":800,\"sloMs\":100,"
	"\"priority\":1,\"service\":\"core\"},"
	"{\"name\":\"r2\",\"host\":\"lookups\",\"kind\":\"bounded\",\"timeoutMs\":1200,\"sloMs\":300,"
	"\"priority\":2,\"service\":\"core\",\"maxStaleMs\":1500},"
	"{\"name\":\"r3\",\"host\":\"updates\",\"kind\":\"session\",\"timeoutMs\":800,\"sloMs\":200,"
	"\"priority\":2,\"service\":\"core\",\"maxStaleMs\":2500}],"
	"\"services\":[{\"name\":\"core\",\"maxConns\":16,\"syncReplicas\":0}],"
	"\"limits\":{\"txIdleMs\":3000}}";

static const fake_db_config_t db_config = {
	.service = SERVICE,
	.members = MEMBERS,
	.slots = 2,
	.max_connections = 16,
	.work = 2 * USEC_PER_MSEC,
	.receive = 1 * USEC_PER_MSEC,
	.lag = 20 * USEC_PER_MSEC,
	.promote = 300 * USEC_PER_MSEC,
};

static void on_signal(int signo)
{
	if (signo == SIGUSR1)
		crash_asked = 1;
	else
		return_asked = 1;
}

static int listen_members(site_t *site, int base, err_t *err)
{
	for (int i = 0; i < MEMBERS; i++) {
		listener_t *listener = &site->listeners[i];
		int fd;

		listener->site = site;
		listener->member = &site->db->members[i];
		snprintf(listener->address, sizeof(listener->address), "127.0.0.1:%d",
			 base + 2 + i);
		fd = stream_listen(listener->address, err);
		if (fd < 0)
			return fd;
		listener->sock =
			h2o_evloop_socket_create(site->loop.h2o, fd, H2O_SOCKET_FLAG_DONT_READ);
		listener->sock->data = listener;
		h2o_socket_read_start(listener->sock, on_accept);
	}
	return 0;
}

static int start(site_t *site, int base, err_t *err)
{
	char address[32];
	int rc;

	site->kv = fake_kv_create(NULL, site->loop.clock, &site->loop.timers);
	fake_kv_client_init(&site->client, site->kv);
	site->db = fake_db_create(NULL, &db_config, site->loop.clock, &site->loop.timers);
	list_init(&site->links);
	fake_kv_put(site->kv, "op/config", config);
	snprintf(address, sizeof(address), "127.0.0.1:%d", base);
	rc = httpd_start(&site->store, &site->loop, address, BODY_MAX, handle_store, site, err);
	snprintf(address, sizeof(address), "127.0.0.1:%d", base + 1);
	if (rc == 0)
		rc = httpd_start(&site->cloud, &site->loop, address, BODY_MAX, handle_cloud, site,
				 err);
	if (rc == 0)
		rc = listen_members(site, base, err);
	if (rc == 0)
		on_list(&site->list_timer, clock_now(site->loop.clock));
	return rc;
}

int main(int argc, char **argv)
{
	static site_t site;
	err_t err = {0};
	int base = argc == 2 ? atoi(argv[1]) : 0;

	if (base <= 0 || base > 65000) {
		fprintf(stderr, "usage: standin_site BASE_PORT\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGUSR1, on_signal);
	signal(SIGUSR2, on_signal);
	if (sodium_init() < 0 || loop_init(&site.loop, clock_system()) < 0)
		return 1;
	if (start(&site, base, &err) < 0) {
		char line[256];

		err_format(&err, line, sizeof(line));
		fprintf(stderr, "standin_site: %s\n", line);
		return 1;
	}
	loop_run(&site.loop);
	return 0;
}
