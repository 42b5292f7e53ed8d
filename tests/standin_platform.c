/*
 * Stand-in for the platform: a key-value store with the JSON gateway of etcd (range, put, txn,
 * watch, leases) and the list of VMs. Every call is counted; a watch is one call however long it
 * stays open. Tests control faults and the list over HTTP:
 *
 *   POST /control {"down": bool, "slow_ms": n, "lose_answers": n}
 *       down: calls get no reply and have no effect, open watches end; slow_ms: delay of each
 *       reply except events; lose_answers: the next n calls take effect, but get no reply
 *   GET /control
 *       returns the counts
 *   POST /control/vms {"vms": [...]}
 *       sets the list of VMs
 */
#include <getopt.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <h2o.h>
#include <jansson.h>

#include "httpd.h"
#include "list.h"
#include "loop.h"

typedef struct item {
	char *value; /* base64, as received */
	gint64 mod_revision;
	gint64 create_revision;
	gint64 lease; /* 0: none */
} item_t;

typedef struct lease {
	gint64 id;
	gint64 ttl_sec;
	run_timer_t timer;
} lease_t;

typedef struct watcher {
	h2o_generator_t generator;
	h2o_req_t *req;
	char *first_key;
	char *end_key;	  /* exclusive; "" for one key */
	GString *output;  /* not sent yet */
	gboolean sending; /* h2o has not taken the last output yet */
} watcher_t;

/* A reply that is delayed by delay_ms. */
typedef struct delayed {
	run_timer_t timer;
	h2o_req_t *req; /* the reply is freed with its pool, if the client goes first */
	json_t *body;
} delayed_reply_t;

static struct {
	loop_t loop;
	httpd_t httpd;
	GTree *items; /* item_t by key, not base64 */
	gint64 revision;
	GPtrArray *watchers;
	GPtrArray *leases;
	json_t *vms;
	gboolean is_down;
	gint64 delay_ms;
	gint64 lose_answers;
	gint64 calls;
	gint64 writes;
	gint64 watches;
} self = {.revision = 1};

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

static char *decode_base64(const json_t *field)
{
	const char *text = json_string_value(field);
	gsize len;
	guchar *raw = g_base64_decode(text != NULL ? text : "", &len);
	char *copy = g_strndup((char *)raw, len);

	g_free(raw);
	return copy;
}

static json_t *encode_base64(const char *text)
{
	gchar *base64 = g_base64_encode((const guchar *)text, strlen(text));
	json_t *out = json_string(base64);

	g_free(base64);
	return out;
}

/* etcd's JSON gateway writes 64-bit numbers as strings. */
static json_t *encode_number(gint64 value)
{
	char text[24];

	snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, value);
	return json_string(text);
}

static gint64 decode_number(const json_t *field)
{
	return json_is_integer(field)
		       ? json_integer_value(field)
		       : g_ascii_strtoll(json_string_value(field) != NULL ? json_string_value(field)
									  : "0",
					 NULL, 10);
}

static json_t *header_json(void)
{
	return json_pack("{s:o}", "revision", encode_number(self.revision));
}

static json_t *kv_json(const char *key, const item_t *item)
{
	return json_pack("{s:o, s:s, s:o, s:o}", "key", encode_base64(key), "value", item->value,
			 "mod_revision", encode_number(item->mod_revision), "create_revision",
			 encode_number(item->create_revision));
}

static void item_free(gpointer ptr)
{
	item_t *item = ptr;

	g_free(item->value);
	g_free(item);
}

/* --- range --- */

typedef struct range {
	const char *first_key;
	const char *end_key; /* exclusive; "" for one key */
	gint64 min_mod_revision;
	json_t *out;
} range_t;

static gboolean collect_in_range(gpointer key, gpointer value, gpointer data)
{
	range_t *range = data;
	const item_t *item = value;
	gboolean inside = range->end_key[0] == '\0' ? strcmp(key, range->first_key) == 0
						    : strcmp(key, range->first_key) >= 0 &&
							      strcmp(key, range->end_key) < 0;

	if (inside && item->mod_revision >= range->min_mod_revision)
		json_array_append_new(range->out, kv_json(key, item));
	return FALSE;
}

/* Applies the sort order and the limit of the request, if any. */
static void sort_and_limit(const json_t *request, json_t **kvs)
{
	const char *order = json_string_value(json_object_get(request, "sort_order"));
	gint64 limit = decode_number(json_object_get(request, "limit"));
	size_t count = json_array_size(*kvs);
	json_t *out = json_array();

	for (size_t i = 0; i < count && (limit == 0 || (gint64)i < limit); i++)
		json_array_append(
			out,
			json_array_get(*kvs, g_strcmp0(order, "DESCEND") == 0 ? count - 1 - i : i));
	json_decref(*kvs);
	*kvs = out;
}

static json_t *handle_range(const json_t *request)
{
	char *first_key = decode_base64(json_object_get(request, "key"));
	char *end_key = decode_base64(json_object_get(request, "range_end"));
	range_t range = {first_key, end_key,
			 decode_number(json_object_get(request, "min_mod_revision")), json_array()};

	g_tree_foreach(self.items, collect_in_range, &range);
	g_free(first_key);
	g_free(end_key);
	sort_and_limit(request, &range.out);
	return json_pack("{s:o, s:o, s:o}", "header", header_json(), "count",
			 encode_number((gint64)json_array_size(range.out)), "kvs", range.out);
}

/* --- watch --- */

static void flush_watcher(watcher_t *watcher)
{
	h2o_iovec_t buf;

	if (watcher->sending || watcher->output->len == 0)
		return;
	buf = h2o_strdup(&watcher->req->pool, watcher->output->str, watcher->output->len);
	g_string_truncate(watcher->output, 0);
	watcher->sending = TRUE;
	h2o_send(watcher->req, &buf, 1, H2O_SEND_STATE_IN_PROGRESS);
}

static void on_watcher_writable(h2o_generator_t *generator, h2o_req_t *req)
{
	watcher_t *watcher = (watcher_t *)generator;

	(void)req;
	watcher->sending = FALSE;
	flush_watcher(watcher);
}

static void free_watcher(void *ptr)
{
	watcher_t *watcher = ptr;

	g_ptr_array_remove(self.watchers, watcher);
	self.watches--;
	g_string_free(watcher->output, TRUE);
	g_free(watcher->first_key);
	g_free(watcher->end_key);
}

static void append_result(watcher_t *watcher, json_t *result)
{
	json_t *line = json_pack("{s:o}", "result", result);
	char *text = json_dumps(line, JSON_COMPACT);

	g_string_append(watcher->output, text);
	g_string_append_c(watcher->output, '\n');
	free(text);
	json_decref(line);
}

/*
 * Adds an event for each item of the range that was written at this revision or later. Removed keys
 * cause no event.
 */
static void append_changes(watcher_t *watcher, gint64 revision)
{
	json_t *kvs = json_array();
	json_t *events = json_array();
	range_t range = {watcher->first_key, watcher->end_key, revision, kvs};

	g_tree_foreach(self.items, collect_in_range, &range);
	for (size_t k = 0; k < json_array_size(kvs); k++)
		json_array_append_new(events, json_pack("{s:O}", "kv", json_array_get(kvs, k)));
	json_decref(kvs);
	if (json_array_size(events) > 0)
		append_result(watcher,
			      json_pack("{s:o, s:O}", "header", header_json(), "events", events));
	json_decref(events);
}

/* Sends the items that were modified at this revision or later to their watchers. */
static void notify_watchers(gint64 revision)
{
	for (guint i = 0; i < self.watchers->len; i++) {
		append_changes(self.watchers->pdata[i], revision);
		flush_watcher(self.watchers->pdata[i]);
	}
}

static void start_watch(h2o_req_t *req, const json_t *body)
{
	const json_t *create = json_object_get(body, "create_request");
	gint64 start = decode_number(json_object_get(create, "start_revision"));
	watcher_t *watcher = h2o_mem_alloc_shared(&req->pool, sizeof(*watcher), free_watcher);

	*watcher = (watcher_t){
		.generator = {on_watcher_writable, NULL},
		.req = req,
		.first_key = decode_base64(json_object_get(create, "key")),
		.end_key = decode_base64(json_object_get(create, "range_end")),
		.output = g_string_new(NULL),
	};
	self.watches++;
	g_ptr_array_add(self.watchers, watcher);
	append_result(watcher, json_pack("{s:o, s:b}", "header", header_json(), "created", 1));
	if (start > 0 && start <= self.revision)
		append_changes(watcher, start);
	req->res.status = 200;
	req->res.reason = "OK";
	h2o_start_response(req, &watcher->generator);
	flush_watcher(watcher);
}

/* --- writes --- */

static void put_item(const json_t *request, gint64 revision)
{
	char *key = decode_base64(json_object_get(request, "key"));
	const item_t *old = g_tree_lookup(self.items, key);
	item_t *item = g_new0(item_t, 1);

	item->value = g_strdup(json_string_value(json_object_get(request, "value")));
	item->mod_revision = revision;
	item->lease = decode_number(json_object_get(request, "lease"));
	item->create_revision = old != NULL ? old->create_revision : revision;
	g_tree_replace(self.items, key, item);
}

static gboolean is_condition_met(const json_t *compare)
{
	char *key = decode_base64(json_object_get(compare, "key"));
	const item_t *item = g_tree_lookup(self.items, key);
	const char *target = json_string_value(json_object_get(compare, "target"));
	gint64 expected;
	gint64 actual;

	if (g_strcmp0(target, "CREATE") == 0) {
		expected = decode_number(json_object_get(compare, "create_revision"));
		actual = item != NULL ? item->create_revision : 0;
	} else {
		expected = decode_number(json_object_get(compare, "mod_revision"));
		actual = item != NULL ? item->mod_revision : 0;
	}
	g_free(key);
	return expected == actual;
}

static void apply_operation(const json_t *operation, gint64 revision)
{
	const json_t *request = json_object_get(operation, "requestPut");

	if (request != NULL) {
		put_item(request, revision);
		return;
	}
	request = json_object_get(operation, "requestDeleteRange");
	if (request != NULL) {
		char *key = decode_base64(json_object_get(request, "key"));

		g_tree_remove(self.items, key);
		g_free(key);
	}
}

static json_t *handle_txn(const json_t *request)
{
	const json_t *compare = json_object_get(request, "compare");
	const json_t *success = json_object_get(request, "success");
	gboolean ok = TRUE;

	self.writes++;
	for (size_t i = 0; i < json_array_size(compare); i++)
		ok = ok && is_condition_met(json_array_get(compare, i));
	if (ok) {
		self.revision++;
		for (size_t i = 0; i < json_array_size(success); i++)
			apply_operation(json_array_get(success, i), self.revision);
		notify_watchers(self.revision);
	}
	return json_pack("{s:o, s:b}", "header", header_json(), "succeeded", ok);
}

static json_t *handle_put(const json_t *request)
{
	self.writes++;
	self.revision++;
	put_item(request, self.revision);
	notify_watchers(self.revision);
	return json_pack("{s:o}", "header", header_json());
}

/* --- leases --- */

static lease_t *find_lease(gint64 id)
{
	for (guint i = 0; i < self.leases->len; i++) {
		lease_t *lease = self.leases->pdata[i];

		if (lease->id == id)
			return lease;
	}
	return NULL;
}

static gboolean collect_leased_keys(gpointer key, gpointer value, gpointer data)
{
	GPtrArray *out = ((gpointer *)data)[0];
	const lease_t *lease = ((gpointer *)data)[1];

	if (((const item_t *)value)->lease == lease->id)
		g_ptr_array_add(out, g_strdup(key));
	return FALSE;
}

/* Removes the keys that are attached to an expired lease. */
static void on_lease_expired(run_timer_t *timer, usec_t now)
{
	lease_t *lease = list_entry(timer, lease_t, timer);
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	gpointer data[] = {keys, lease};

	(void)now;
	g_tree_foreach(self.items, collect_leased_keys, data);
	for (guint i = 0; i < keys->len; i++)
		g_tree_remove(self.items, keys->pdata[i]);
	self.revision += keys->len > 0;
	g_ptr_array_unref(keys);
	g_ptr_array_remove(self.leases, lease);
	g_free(lease);
}

static void arm_lease_timer(lease_t *lease)
{
	timers_arm(&self.loop.timers, &lease->timer,
		   clock_now(self.loop.clock) + (usec_t)lease->ttl_sec * USEC_PER_SEC,
		   on_lease_expired);
}

static json_t *handle_lease_grant(const json_t *request)
{
	lease_t *lease = g_new0(lease_t, 1);

	lease->id = ++self.revision + 1000000;
	lease->ttl_sec = decode_number(json_object_get(request, "TTL"));
	g_ptr_array_add(self.leases, lease);
	arm_lease_timer(lease);
	return json_pack("{s:o, s:o, s:o}", "header", header_json(), "ID", encode_number(lease->id),
			 "TTL", encode_number(lease->ttl_sec));
}

static json_t *handle_lease_keepalive(const json_t *request)
{
	gint64 id = decode_number(json_object_get(request, "ID"));
	lease_t *lease = find_lease(id);

	if (lease != NULL)
		arm_lease_timer(lease);
	return json_pack("{s:{s:o, s:o, s:o}}", "result", "header", header_json(), "ID",
			 encode_number(id), "TTL",
			 encode_number(lease != NULL ? lease->ttl_sec : 0));
}

/* --- replies, with faults --- */

static void send_delayed_reply(run_timer_t *timer, usec_t now)
{
	delayed_reply_t *delayed = list_entry(timer, delayed_reply_t, timer);

	(void)now;
	httpd_send_json(delayed->req, 200, json_incref(delayed->body), 0);
}

static void free_delayed_reply(void *ptr)
{
	delayed_reply_t *delayed = ptr;

	timers_cancel(&self.loop.timers, &delayed->timer);
	json_decref(delayed->body);
}

static void send_reply(h2o_req_t *req, json_t *body)
{
	delayed_reply_t *delayed;

	if (self.lose_answers > 0) {
		self.lose_answers--;
		json_decref(body);
		return; /* the call took effect, the client gets no reply */
	}
	if (self.delay_ms == 0) {
		httpd_send_json(req, 200, body, 0);
		return;
	}
	delayed = h2o_mem_alloc_shared(&req->pool, sizeof(*delayed), free_delayed_reply);
	*delayed = (delayed_reply_t){.req = req, .body = body};
	timers_arm(&self.loop.timers, &delayed->timer,
		   clock_now(self.loop.clock) + (usec_t)self.delay_ms * USEC_PER_MSEC,
		   send_delayed_reply);
}

/* Ends the open watches, as an outage does. */
static void end_watches(void)
{
	for (guint i = 0; i < self.watchers->len; i++) {
		watcher_t *watcher = self.watchers->pdata[i];

		if (watcher->sending)
			continue;
		watcher->sending = TRUE;
		h2o_send(watcher->req, NULL, 0, H2O_SEND_STATE_FINAL);
	}
}

static void handle_control(h2o_req_t *req, const json_t *body)
{
	if (json_is_boolean(json_object_get(body, "down")))
		self.is_down = json_is_true(json_object_get(body, "down"));
	if (self.is_down)
		end_watches();
	if (json_is_integer(json_object_get(body, "slow_ms")))
		self.delay_ms = json_integer_value(json_object_get(body, "slow_ms"));
	if (json_is_integer(json_object_get(body, "lose_answers")))
		self.lose_answers = json_integer_value(json_object_get(body, "lose_answers"));
	httpd_send_json(req, 200,
			json_pack("{s:I, s:I, s:I, s:I}", "calls", (json_int_t)self.calls, "writes",
				  (json_int_t)self.writes, "watches", (json_int_t)self.watches,
				  "revision", (json_int_t)self.revision),
			0);
}

static void handle_set_vms(h2o_req_t *req, json_t *body)
{
	json_decref(self.vms);
	self.vms = json_incref(body);
	httpd_send_json(req, 200, json_object(), 0);
}

static void handle_request(h2o_req_t *req, json_t *body)
{
	if (httpd_request_matches(req, "POST", "/v3/kv/range"))
		send_reply(req, handle_range(body));
	else if (httpd_request_matches(req, "POST", "/v3/kv/put"))
		send_reply(req, handle_put(body));
	else if (httpd_request_matches(req, "POST", "/v3/kv/txn"))
		send_reply(req, handle_txn(body));
	else if (httpd_request_matches(req, "POST", "/v3/lease/grant"))
		send_reply(req, handle_lease_grant(body));
	else if (httpd_request_matches(req, "POST", "/v3/lease/keepalive"))
		send_reply(req, handle_lease_keepalive(body));
	else if (httpd_request_matches(req, "POST", "/v3/watch"))
		start_watch(req, body);
	else if (httpd_request_matches(req, "GET", "/v1/vms"))
		send_reply(req, json_incref(self.vms));
	else
		httpd_send_json(req, 404, json_object(), 0);
}

static int on_req(httpd_t *httpd, h2o_req_t *req)
{
	json_t *body = req->entity.base != NULL
			       ? json_loadb(req->entity.base, req->entity.len, 0, NULL)
			       : NULL;

	(void)httpd;
	if (httpd_request_matches(req, "POST", "/control/vms")) {
		handle_set_vms(req, body);
	} else if (httpd_request_matches(req, "POST", "/control") ||
		   httpd_request_matches(req, "GET", "/control")) {
		handle_control(req, body);
	} else {
		self.calls++;
		if (!self.is_down) /* else the call gets no reply and has no effect */
			handle_request(req, body);
	}
	json_decref(body);
	return 0;
}

int main(int argc, char **argv)
{
	static const struct option longopts[] = {{"listen", required_argument, NULL, 'l'},
						 {NULL, 0, NULL, 0}};
	const char *address = NULL;
	err_t err = {0};
	int opt;

	signal(SIGPIPE, SIG_IGN);
	while ((opt = getopt_long(argc, argv, "", longopts, NULL)) != -1) {
		if (opt != 'l')
			return 2;
		address = optarg;
	}
	if (address == NULL)
		return 2;
	self.items = g_tree_new_full(compare_keys, NULL, g_free, item_free);
	self.watchers = g_ptr_array_new();
	self.leases = g_ptr_array_new();
	self.vms = json_pack("{s:[]}", "vms");
	loop_init(&self.loop, clock_system());
	if (httpd_start(&self.httpd, &self.loop, address, 16 * 1024 * 1024, on_req, NULL, &err) <
	    0) {
		fprintf(stderr, "standin_platform: %s: %s\n", err.peer, err.text);
		return 1;
	}
	loop_run(&self.loop);
	return 0;
}
