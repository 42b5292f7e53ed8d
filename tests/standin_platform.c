/*
 * Stand-in for the platform: a key-value store that speaks etcd's JSON gateway
 * (range, put, txn, watch, leases) and a list of VMs. It counts every call, a waiting
 * watch as one, and can be down, slow, or lose answers after they took effect:
 *
 *   POST /control {"down": bool, "slow_ms": n, "lose_answers": n}
 *   GET  /control the counts; POST /control/vms {"vms": [...]}
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
	char *value; /* base64, as it came */
	gint64 mod_revision;
	gint64 create_revision;
	gint64 lease; /* 0 none */
} item_t;

typedef struct lease {
	gint64 id;
	gint64 ttl_sec;
	run_timer_t timer;
} lease_t;

typedef struct watcher {
	h2o_generator_t generator;
	h2o_req_t *req;
	char *from; /* decoded */
	char *to;
	GString *waiting;
	gboolean sending;
} watcher_t;

/* An answer held back to be slow. */
typedef struct held {
	run_timer_t timer;
	h2o_req_t *req; /* NULL once the client has gone */
	json_t *body;
} held_t;

static struct {
	loop_t loop;
	httpd_t httpd;
	GTree *items; /* by decoded key */
	gint64 revision;
	GPtrArray *watchers;
	GPtrArray *leases;
	json_t *vms;
	gboolean down;
	gint64 slow_ms;
	gint64 lose_answers;
	gint64 calls;
	gint64 writes;
	gint64 watches;
} me = {.revision = 1};

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

static char *decode(const json_t *field)
{
	const char *text = json_string_value(field);
	gsize len;
	guchar *raw = g_base64_decode(text != NULL ? text : "", &len);
	char *copy = g_strndup((char *)raw, len);

	g_free(raw);
	return copy;
}

static json_t *encode(const char *text)
{
	gchar *base64 = g_base64_encode((const guchar *)text, strlen(text));
	json_t *out = json_string(base64);

	g_free(base64);
	return out;
}

/* The gateway writes 64-bit numbers as strings. */
static json_t *number(gint64 value)
{
	char text[24];

	snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, value);
	return json_string(text);
}

static gint64 read_number(const json_t *field)
{
	return json_is_integer(field)
		       ? json_integer_value(field)
		       : g_ascii_strtoll(json_string_value(field) != NULL ? json_string_value(field)
									  : "0",
					 NULL, 10);
}

static json_t *header(void)
{
	return json_pack("{s:o}", "revision", number(me.revision));
}

static json_t *kv_json(const char *key, const item_t *item)
{
	return json_pack("{s:o, s:s, s:o, s:o}", "key", encode(key), "value", item->value,
			 "mod_revision", number(item->mod_revision), "create_revision",
			 number(item->create_revision));
}

static void item_free(gpointer ptr)
{
	item_t *item = ptr;

	g_free(item->value);
	g_free(item);
}

/* --- range --- */

typedef struct range {
	const char *from;
	const char *to; /* "" for one key */
	gint64 min_mod;
	json_t *out;
} range_t;

static gboolean collect(gpointer key, gpointer value, gpointer data)
{
	range_t *range = data;
	const item_t *item = value;
	gboolean inside = range->to[0] == '\0'
				  ? strcmp(key, range->from) == 0
				  : strcmp(key, range->from) >= 0 && strcmp(key, range->to) < 0;

	if (inside && item->mod_revision >= range->min_mod)
		json_array_append_new(range->out, kv_json(key, item));
	return FALSE;
}

/* Descending order and a limit, where asked for. */
static void shape(const json_t *request, json_t **kvs)
{
	const char *order = json_string_value(json_object_get(request, "sort_order"));
	gint64 limit = read_number(json_object_get(request, "limit"));
	size_t count = json_array_size(*kvs);
	json_t *out = json_array();

	for (size_t i = 0; i < count && (limit == 0 || (gint64)i < limit); i++)
		json_array_append(
			out,
			json_array_get(*kvs, g_strcmp0(order, "DESCEND") == 0 ? count - 1 - i : i));
	json_decref(*kvs);
	*kvs = out;
}

static json_t *do_range(const json_t *request)
{
	char *from = decode(json_object_get(request, "key"));
	char *to = decode(json_object_get(request, "range_end"));
	range_t range = {from, to, read_number(json_object_get(request, "min_mod_revision")),
			 json_array()};

	g_tree_foreach(me.items, collect, &range);
	g_free(from);
	g_free(to);
	shape(request, &range.out);
	return json_pack("{s:o, s:o, s:o}", "header", header(), "count",
			 number((gint64)json_array_size(range.out)), "kvs", range.out);
}

/* --- watch --- */

static void push(watcher_t *watcher)
{
	h2o_iovec_t buf;

	if (watcher->sending || watcher->waiting->len == 0)
		return;
	buf = h2o_strdup(&watcher->req->pool, watcher->waiting->str, watcher->waiting->len);
	g_string_truncate(watcher->waiting, 0);
	watcher->sending = TRUE;
	h2o_send(watcher->req, &buf, 1, H2O_SEND_STATE_IN_PROGRESS);
}

static void on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
	watcher_t *watcher = (watcher_t *)generator;

	(void)req;
	watcher->sending = FALSE;
	push(watcher);
}

static void on_watcher_gone(void *ptr)
{
	watcher_t *watcher = ptr;

	g_ptr_array_remove(me.watchers, watcher);
	me.watches--;
	g_string_free(watcher->waiting, TRUE);
	g_free(watcher->from);
	g_free(watcher->to);
}

static void add_line(watcher_t *watcher, json_t *result)
{
	json_t *line = json_pack("{s:o}", "result", result);
	char *text = json_dumps(line, JSON_COMPACT);

	g_string_append(watcher->waiting, text);
	g_string_append_c(watcher->waiting, '\n');
	free(text);
	json_decref(line);
}

/* Put what changed at or after this revision in the watcher's line. */
static void add_changes(watcher_t *watcher, gint64 revision)
{
	json_t *kvs = json_array();
	json_t *events = json_array();
	range_t range = {watcher->from, watcher->to, revision, kvs};

	g_tree_foreach(me.items, collect, &range);
	for (size_t k = 0; k < json_array_size(kvs); k++)
		json_array_append_new(events, json_pack("{s:O}", "kv", json_array_get(kvs, k)));
	json_decref(kvs);
	if (json_array_size(events) > 0)
		add_line(watcher, json_pack("{s:o, s:O}", "header", header(), "events", events));
	json_decref(events);
}

/* Tell watchers of what was written at this revision. */
static void notify(gint64 revision)
{
	for (guint i = 0; i < me.watchers->len; i++) {
		add_changes(me.watchers->pdata[i], revision);
		push(me.watchers->pdata[i]);
	}
}

static void start_watch(h2o_req_t *req, const json_t *body)
{
	const json_t *create = json_object_get(body, "create_request");
	gint64 start = read_number(json_object_get(create, "start_revision"));
	watcher_t *watcher = h2o_mem_alloc_shared(&req->pool, sizeof(*watcher), on_watcher_gone);

	*watcher = (watcher_t){
		.generator = {on_proceed, NULL},
		.req = req,
		.from = decode(json_object_get(create, "key")),
		.to = decode(json_object_get(create, "range_end")),
		.waiting = g_string_new(NULL),
	};
	me.watches++;
	g_ptr_array_add(me.watchers, watcher);
	add_line(watcher, json_pack("{s:o, s:b}", "header", header(), "created", 1));
	if (start > 0 && start <= me.revision)
		add_changes(watcher, start);
	req->res.status = 200;
	req->res.reason = "OK";
	h2o_start_response(req, &watcher->generator);
	push(watcher);
}

/* --- writes --- */

static void put(const json_t *request, gint64 revision)
{
	char *key = decode(json_object_get(request, "key"));
	const item_t *old = g_tree_lookup(me.items, key);
	item_t *item = g_new0(item_t, 1);

	item->value = g_strdup(json_string_value(json_object_get(request, "value")));
	item->mod_revision = revision;
	item->lease = read_number(json_object_get(request, "lease"));
	item->create_revision = old != NULL ? old->create_revision : revision;
	g_tree_replace(me.items, key, item);
}

static gboolean holds(const json_t *compare)
{
	char *key = decode(json_object_get(compare, "key"));
	const item_t *item = g_tree_lookup(me.items, key);
	const char *target = json_string_value(json_object_get(compare, "target"));
	gint64 want;
	gint64 have;

	if (g_strcmp0(target, "CREATE") == 0) {
		want = read_number(json_object_get(compare, "create_revision"));
		have = item != NULL ? item->create_revision : 0;
	} else {
		want = read_number(json_object_get(compare, "mod_revision"));
		have = item != NULL ? item->mod_revision : 0;
	}
	g_free(key);
	return want == have;
}

static void apply(const json_t *operation, gint64 revision)
{
	const json_t *request = json_object_get(operation, "requestPut");

	if (request != NULL) {
		put(request, revision);
		return;
	}
	request = json_object_get(operation, "requestDeleteRange");
	if (request != NULL) {
		char *key = decode(json_object_get(request, "key"));

		g_tree_remove(me.items, key);
		g_free(key);
	}
}

static json_t *do_txn(const json_t *request)
{
	const json_t *compare = json_object_get(request, "compare");
	const json_t *success = json_object_get(request, "success");
	gboolean ok = TRUE;

	me.writes++;
	for (size_t i = 0; i < json_array_size(compare); i++)
		ok = ok && holds(json_array_get(compare, i));
	if (ok) {
		me.revision++;
		for (size_t i = 0; i < json_array_size(success); i++)
			apply(json_array_get(success, i), me.revision);
		notify(me.revision);
	}
	return json_pack("{s:o, s:b}", "header", header(), "succeeded", ok);
}

static json_t *do_put(const json_t *request)
{
	me.writes++;
	me.revision++;
	put(request, me.revision);
	notify(me.revision);
	return json_pack("{s:o}", "header", header());
}

/* --- leases --- */

static lease_t *find_lease(gint64 id)
{
	for (guint i = 0; i < me.leases->len; i++) {
		lease_t *lease = me.leases->pdata[i];

		if (lease->id == id)
			return lease;
	}
	return NULL;
}

static gboolean collect_leased(gpointer key, gpointer value, gpointer data)
{
	GPtrArray *out = ((gpointer *)data)[0];
	const lease_t *lease = ((gpointer *)data)[1];

	if (((const item_t *)value)->lease == lease->id)
		g_ptr_array_add(out, g_strdup(key));
	return FALSE;
}

/* The keys of a lease that lapses go with it. */
static void on_lease_lapsed(run_timer_t *timer, usec_t now)
{
	lease_t *lease = list_entry(timer, lease_t, timer);
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	gpointer data[] = {keys, lease};

	(void)now;
	g_tree_foreach(me.items, collect_leased, data);
	for (guint i = 0; i < keys->len; i++)
		g_tree_remove(me.items, keys->pdata[i]);
	me.revision += keys->len > 0;
	g_ptr_array_unref(keys);
	g_ptr_array_remove(me.leases, lease);
	g_free(lease);
}

static void arm_lease(lease_t *lease)
{
	timers_arm(&me.loop.timers, &lease->timer,
		   clock_now(me.loop.clock) + (usec_t)lease->ttl_sec * USEC_PER_SEC,
		   on_lease_lapsed);
}

static json_t *do_grant(const json_t *request)
{
	lease_t *lease = g_new0(lease_t, 1);

	lease->id = ++me.revision + 1000000;
	lease->ttl_sec = read_number(json_object_get(request, "TTL"));
	g_ptr_array_add(me.leases, lease);
	arm_lease(lease);
	return json_pack("{s:o, s:o, s:o}", "header", header(), "ID", number(lease->id), "TTL",
			 number(lease->ttl_sec));
}

static json_t *do_keepalive(const json_t *request)
{
	gint64 id = read_number(json_object_get(request, "ID"));
	lease_t *lease = find_lease(id);

	if (lease != NULL)
		arm_lease(lease);
	return json_pack("{s:{s:o, s:o, s:o}}", "result", "header", header(), "ID", number(id),
			 "TTL", number(lease != NULL ? lease->ttl_sec : 0));
}

/* --- answering, with faults --- */

static void on_held_due(run_timer_t *timer, usec_t now)
{
	held_t *held = list_entry(timer, held_t, timer);

	(void)now;
	httpd_send_json(held->req, 200, json_incref(held->body), 0);
}

static void on_held_gone(void *ptr)
{
	held_t *held = ptr;

	timers_cancel(&me.loop.timers, &held->timer);
	json_decref(held->body);
}

static void answer(h2o_req_t *req, json_t *body)
{
	held_t *held;

	if (me.lose_answers > 0) {
		me.lose_answers--;
		json_decref(body);
		return; /* took effect; the client never hears */
	}
	if (me.slow_ms == 0) {
		httpd_send_json(req, 200, body, 0);
		return;
	}
	held = h2o_mem_alloc_shared(&req->pool, sizeof(*held), on_held_gone);
	*held = (held_t){.req = req, .body = body};
	timers_arm(&me.loop.timers, &held->timer,
		   clock_now(me.loop.clock) + (usec_t)me.slow_ms * USEC_PER_MSEC, on_held_due);
}

/* An outage ends the waiting watches too. */
static void end_watches(void)
{
	for (guint i = 0; i < me.watchers->len; i++) {
		watcher_t *watcher = me.watchers->pdata[i];

		if (watcher->sending)
			continue;
		watcher->sending = TRUE;
		h2o_send(watcher->req, NULL, 0, H2O_SEND_STATE_FINAL);
	}
}

static void control(h2o_req_t *req, const json_t *body)
{
	if (json_is_boolean(json_object_get(body, "down")))
		me.down = json_is_true(json_object_get(body, "down"));
	if (me.down)
		end_watches();
	if (json_is_integer(json_object_get(body, "slow_ms")))
		me.slow_ms = json_integer_value(json_object_get(body, "slow_ms"));
	if (json_is_integer(json_object_get(body, "lose_answers")))
		me.lose_answers = json_integer_value(json_object_get(body, "lose_answers"));
	httpd_send_json(req, 200,
			json_pack("{s:I, s:I, s:I, s:I}", "calls", (json_int_t)me.calls, "writes",
				  (json_int_t)me.writes, "watches", (json_int_t)me.watches,
				  "revision", (json_int_t)me.revision),
			0);
}

static void set_vms(h2o_req_t *req, json_t *body)
{
	json_decref(me.vms);
	me.vms = json_incref(body);
	httpd_send_json(req, 200, json_object(), 0);
}

static void serve_store(h2o_req_t *req, json_t *body)
{
	if (httpd_request_matches(req, "POST", "/v3/kv/range"))
		answer(req, do_range(body));
	else if (httpd_request_matches(req, "POST", "/v3/kv/put"))
		answer(req, do_put(body));
	else if (httpd_request_matches(req, "POST", "/v3/kv/txn"))
		answer(req, do_txn(body));
	else if (httpd_request_matches(req, "POST", "/v3/lease/grant"))
		answer(req, do_grant(body));
	else if (httpd_request_matches(req, "POST", "/v3/lease/keepalive"))
		answer(req, do_keepalive(body));
	else if (httpd_request_matches(req, "POST", "/v3/watch"))
		start_watch(req, body);
	else if (httpd_request_matches(req, "GET", "/v1/vms"))
		answer(req, json_incref(me.vms));
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
		set_vms(req, body);
	} else if (httpd_request_matches(req, "POST", "/control") ||
		   httpd_request_matches(req, "GET", "/control")) {
		control(req, body);
	} else {
		me.calls++;
		if (!me.down) /* down: the request hangs and has no effect */
			serve_store(req, body);
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
	me.items = g_tree_new_full(compare_keys, NULL, g_free, item_free);
	me.watchers = g_ptr_array_new();
	me.leases = g_ptr_array_new();
	me.vms = json_pack("{s:[]}", "vms");
	loop_init(&me.loop, clock_system());
	if (httpd_start(&me.httpd, &me.loop, address, 16 * 1024 * 1024, on_req, NULL, &err) < 0) {
		fprintf(stderr, "standin_platform: %s: %s\n", err.peer, err.text);
		return 1;
	}
	loop_run(&me.loop);
	return 0;
}
