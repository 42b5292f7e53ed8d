/*
 * Stand-in for the users' platform as one process: the metadata store, the promotion interface and
 * three members of each service, each over the platform's protocol.
 *
 * Usage: standin_site [--services N] [--slots N] [--connections N] [--control]
 *                     [--link-offset N] BASE_PORT
 *
 * Ports from BASE_PORT on: the store; the promotion interface; a store that refuses every call; the
 * members. --link-offset is added to the ports that the members' entries in the store name, for
 * proxies that shall connect through links in between. SIGUSR1 crashes the primary of the first
 * service, SIGUSR2 starts every stopped member. With --control, commands are read from standard
 * input.
 */
#include "standin_site.h"

#include <getopt.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <sodium.h>
#include <talloc.h>

#include "names.h"

#define BODY_MAX      (2 * 1024 * 1024)
#define LIST_INTERVAL (50 * USEC_PER_MSEC)
/* Changes that the store keeps for watches; a busy fleet makes as many in a minute. */
#define HISTORY 2000
/* A stored value that begins with this is sent as it is, in place of its base64. */
#define RAW_MARK "raw:"
/* A character of a key that is sent as a NUL. */
#define NUL_MARK '~'
#define ERA_TEXT 24

/* Set by SIGUSR1 and SIGUSR2; handled by the next run of the list timer. */
static volatile sig_atomic_t crash_asked;
static volatile sig_atomic_t return_asked;

static const char *const service_names[SITE_SERVICES_MAX] = {"core",  "ledger", "fleet", "stock",
							     "depot", "crew",	"rota",	 "map"};

static void on_list_timer(run_timer_t *timer, usec_t now)
{
	site_t *site = list_entry(timer, site_t, list_timer);

	if (crash_asked)
		members_crash(site, fake_db_primary(site->services[0]));
	crash_asked = 0;
	for (size_t i = 0; return_asked && i < site->service_count * SITE_MEMBERS; i++) {
		if (site->listeners[i].member->stopped)
			fake_member_start(site->listeners[i].member);
	}
	return_asked = 0;
	members_update_entries(site);
	control_flush();
	timers_arm(&site->loop.timers, timer, now + LIST_INTERVAL, on_list_timer);
}

/* --- the store --- */

/* A request that the store answers later; req is NULL once its connection has closed. */
typedef struct pending {
	h2o_req_t *req;
	site_t *site;
	bool is_watch;
} pending_request_t;

/* Lives in the pool of the request and resets pending->req when the request is disposed of. */
typedef struct guard {
	pending_request_t *pending;
} request_guard_t;

static void on_req_disposed(void *data)
{
	request_guard_t *guard = data;

	if (guard->pending != NULL)
		guard->pending->req = NULL;
}

static pending_request_t *pending_request_create(site_t *site, h2o_req_t *req)
{
	pending_request_t *pending = talloc_zero(site->kv, pending_request_t);
	request_guard_t *guard = h2o_mem_alloc_shared(&req->pool, sizeof(*guard), on_req_disposed);

	pending->req = req;
	pending->site = site;
	guard->pending = pending;
	return pending;
}

/*
 * In this process a revision contains the era of the store. On the wire it does not, so a restored
 * store can use the same revision again.
 */
static json_int_t revision_to_wire(int64_t number)
{
	return kv_revision_in_era(number);
}

static int64_t revision_from_wire(const site_t *site, int64_t number)
{
	return kv_make_revision(kv_era(site->kv->revision), number);
}

static json_t *encode_key(const char *key)
{
	size_t len = strlen(key);
	char *copy = talloc_strdup(NULL, key);
	json_t *out;

	for (size_t i = 0; i < len; i++)
		copy[i] = copy[i] == NUL_MARK ? '\0' : copy[i];
	out = json_stringn(copy, len);
	talloc_free(copy);
	return out;
}

static json_t *encode_item(const kv_item_t *item)
{
	size_t size = sodium_base64_encoded_len(item->len, sodium_base64_VARIANT_ORIGINAL);
	char *text;
	json_t *object;

	if (item->value == NULL)
		return json_pack("{s:o, s:I, s:b}", "key", encode_key(item->key), "rev",
				 revision_to_wire(item->revision), "tombstone", 1);
	text = talloc_size(NULL, size);
	if (strncmp(item->value, RAW_MARK, strlen(RAW_MARK)) == 0)
		memcpy(text, item->value + strlen(RAW_MARK), item->len + 1 - strlen(RAW_MARK));
	else
		sodium_bin2base64(text, size, (const unsigned char *)item->value, item->len,
				  sodium_base64_VARIANT_ORIGINAL);
	object = json_pack("{s:o, s:s, s:I, s:I, s:I}", "key", encode_key(item->key), "value", text,
			   "rev", revision_to_wire(item->revision), "createdRev",
			   revision_to_wire(item->create_revision), "lease",
			   (json_int_t)item->lease);
	talloc_free(text);
	return object;
}

static int get_http_status(kv_status_t status)
{
	static const int codes[] = {
		[KV_OK] = 200,	      [KV_CONFLICT] = 412, [KV_NOT_FOUND] = 404,
		[KV_COMPACTED] = 410, [KV_REFUSED] = 503,  [KV_OUTCOME_UNKNOWN] = 503,
	};

	return codes[status];
}

/* Adds the store's era, on the wire counted from 1, to the reply. */
static void add_era_header(const site_t *site, h2o_req_t *req)
{
	char *text = h2o_mem_alloc_pool(&req->pool, ERA_TEXT);
	int len = snprintf(text, ERA_TEXT, "%" PRId64, kv_era(site->kv->revision) + 1);

	h2o_add_header_by_str(&req->pool, &req->res.headers, H2O_STRLIT("store-era"), 0, NULL, text,
			      (size_t)len);
}

static void send_result(void *data, const kv_result_t *result)
{
	pending_request_t *pending = data;
	json_t *items = json_array();
	json_t *body;

	for (size_t i = 0; i < result->count; i++)
		json_array_append_new(items, encode_item(&result->items[i]));
	body = json_pack("{s:o, s:b, s:I, s:I, s:I}", pending->is_watch ? "events" : "items", items,
			 "truncated", result->truncated, "asOf", revision_to_wire(result->as_of),
			 "lease", (json_int_t)result->lease, "ttlMs", (json_int_t)result->ttl_ms);
	if (pending->req != NULL) {
		add_era_header(pending->site, pending->req);
		httpd_send_json(pending->req, get_http_status(result->status), body, 0);
		body = NULL;
	}
	json_decref(body);
	/* Not freed: the guard may refer to it until the request is disposed of. */
	pending->req = NULL;
}

/* Value of a parameter of the URL's query, allocated below parent; "" if it is missing. */
static char *get_query_parameter(void *parent, const h2o_req_t *req, const char *name)
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
	/* The only character in a key that the proxies escape. */
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

static bool contains_key(const json_t *keys, const char *key)
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
 * Commits a transaction. "expected" holds a row with the expected revision for each key; a key that
 * is neither in "writes" nor in "deletes" is only compared.
 */
static void handle_txn(site_t *site, h2o_req_t *req, const json_t *body)
{
	const json_t *expected = json_object_get(body, "expected");
	size_t count = json_array_size(expected);
	pending_request_t *pending = pending_request_create(site, req);
	kv_write_t *writes = talloc_zero_array(pending, kv_write_t, count);

	for (size_t i = 0; i < count; i++) {
		const json_t *row = json_array_get(expected, i);
		size_t index;
		json_t *write;

		writes[i].key = json_string_value(json_object_get(row, "key"));
		writes[i].expected =
			revision_from_wire(site, json_integer_value(json_object_get(row, "rev")));
		writes[i].check_only =
			!contains_key(json_object_get(body, "deletes"), writes[i].key);
		json_array_foreach (json_object_get(body, "writes"), index, write) {
			if (strcmp(json_string_value(json_object_get(write, "key")),
				   writes[i].key) != 0)
				continue;
			writes[i].check_only = false;
			writes[i].value = decode_value(
				writes, json_string_value(json_object_get(write, "value")));
			writes[i].lease =
				(uint64_t)json_integer_value(json_object_get(write, "lease"));
		}
	}
	site->client.kv.ops->commit(&site->client.kv, writes, count, send_result, pending);
}

static bool path_has_prefix(const h2o_req_t *req, const char *path)
{
	size_t len = strlen(path);

	return req->path_normalized.len >= len && memcmp(req->path_normalized.base, path, len) == 0;
}

static void handle_lease(site_t *site, h2o_req_t *req, const char *path,
			 void (*call)(kv_t *kv, uint64_t lease, kv_done_t done, void *data))
{
	uint64_t id = strtoull(req->path_normalized.base + strlen(path), NULL, 10);

	call(&site->client.kv, id, send_result, pending_request_create(site, req));
}

/* Writes the body under a key, as any other program may that writes to the store. */
static void handle_foreign_write(site_t *site, h2o_req_t *req, const char *key)
{
	char *value = talloc_strndup(NULL, req->entity.base, req->entity.len);

	fake_kv_put(site->kv, key, value);
	httpd_send_json(req, STATUS_OK, json_object(), 0);
	talloc_free(value);
}

static int handle_store(httpd_t *httpd, h2o_req_t *req)
{
	site_t *site = httpd->data;
	kv_t *kv = &site->client.kv;
	json_t *body = json_loadb(req->entity.base, req->entity.len, 0, NULL);
	void *scratch = talloc_new(NULL);
	pending_request_t *pending;
	int rc = 0;

	if (path_has_prefix(req, "/foreign-write")) {
		handle_foreign_write(site, req, get_query_parameter(scratch, req, "key"));
	} else if (path_has_prefix(req, "/kv-range")) {
		kv->ops->range(kv, get_query_parameter(scratch, req, "prefix"),
			       get_query_parameter(scratch, req, "after"), send_result,
			       pending_request_create(site, req));
	} else if (path_has_prefix(req, "/kv-watch")) {
		pending = pending_request_create(site, req);
		pending->is_watch = true;
		kv->ops->watch(
			kv, get_query_parameter(scratch, req, "prefix"),
			revision_from_wire(site, strtoll(get_query_parameter(scratch, req, "after"),
							 NULL, 10)),
			strtoll(get_query_parameter(scratch, req, "waitMs"), NULL, 10), send_result,
			pending);
	} else if (path_has_prefix(req, "/kv-txn")) {
		handle_txn(site, req, body);
	} else if (path_has_prefix(req, "/kv-keep/")) {
		handle_lease(site, req, "/kv-keep/", kv->ops->lease_keep);
	} else if (path_has_prefix(req, "/kv-lease-end/")) {
		handle_lease(site, req, "/kv-lease-end/", kv->ops->lease_end);
	} else if (path_has_prefix(req, "/kv-lease")) {
		kv->ops->lease_create(kv, json_integer_value(json_object_get(body, "ttlMs")),
				      send_result, pending_request_create(site, req));
	} else {
		rc = -1;
	}
	json_decref(body);
	talloc_free(scratch);
	return rc;
}

/* Refuses a call of the store without any effect. */
static int refuse_request(httpd_t *httpd, h2o_req_t *req)
{
	(void)httpd;
	httpd_send_json(req, STATUS_UNAVAILABLE, json_object(), 0);
	return 0;
}

void site_restore(site_t *site)
{
	char *newest = talloc_strdup(NULL, fake_kv_get(site->kv, KEY_CONFIG));

	fake_kv_restore_backup(site->kv);
	fake_kv_put(site->kv, KEY_CONFIG, newest);
	fake_kv_delete_prefix(site->kv, PREFIX_MEMBERS);
	for (size_t i = 0; i < G_N_ELEMENTS(site->listeners); i++)
		site->listeners[i].listed_entry[0] = '\0';
	talloc_free(newest);
}

/* --- the promotion interface --- */

static fake_member_t *find_member(site_t *site, const char *id)
{
	fake_member_t *member = NULL;

	for (size_t i = 0; id != NULL && member == NULL && i < site->service_count; i++)
		member = fake_db_find_member(site->services[i], id);
	return member;
}

static char *get_header(void *parent, const h2o_req_t *req, const char *name)
{
	char *lower = g_ascii_strdown(name, -1);
	ssize_t index = h2o_find_header_by_str(&req->headers, lower, strlen(lower), -1);

	g_free(lower);
	if (index < 0)
		return talloc_strdup(parent, "");
	return talloc_strndup(parent, req->headers.entries[index].value.base,
			      req->headers.entries[index].value.len);
}

static int handle_promotion(httpd_t *httpd, h2o_req_t *req)
{
	site_t *site = httpd->data;
	json_t *body = json_loadb(req->entity.base, req->entity.len, 0, NULL);
	const char *id = json_string_value(json_object_get(body, "id"));
	fake_member_t *member = find_member(site, id);
	void *scratch = talloc_new(NULL);
	bool done = site->promotion_state != PROMOTION_REFUSE && member != NULL &&
		    fake_db_promote(member->db, member);

	control_record_promote(get_header(scratch, req, HEADER_LEADER),
			       get_header(scratch, req, HEADER_FENCING_TOKEN),
			       member != NULL ? member->db->config.service : "", id, done);
	talloc_free(scratch);
	json_decref(body);
	if (site->promotion_state == PROMOTION_REFUSE)
		httpd_send_json(req, STATUS_UNAVAILABLE, json_object(), 0);
	else if (site->promotion_state == PROMOTION_NORMAL)
		httpd_send_json(req, done ? STATUS_OK : 409, json_object(), 0);
	return 0;
}

/* --- start --- */

static const char initial_config[] =
	"{\"version\":3,\"routes\":["
	"{\"name\":\"r1\",\"host\":\"jobs\",\"kind\":\"primary\",\"timeoutMs\":800,\"sloMs\":100,"
	"\"priority\":1,\"service\":\"core\"},"
	"{\"name\":\"r2\",\"host\":\"lookups\",\"kind\":\"bounded\",\"timeoutMs\":1200,\"sloMs\":300,"
	"\"priority\":2,\"service\":\"core\",\"maxStaleMs\":1500},"
	"{\"name\":\"r3\",\"host\":\"updates\",\"kind\":\"session\",\"timeoutMs\":800,\"sloMs\":200,"
	"\"priority\":2,\"service\":\"core\",\"maxStaleMs\":2500}],"
	"\"services\":[{\"name\":\"core\",\"maxConns\":16,\"syncReplicas\":0}],"
	"\"limits\":{\"txIdleMs\":3000}}";

typedef struct options {
	int base;
	size_t services;
	size_t slots;
	size_t connections;
	int listed_port_offset;
	bool control;
} options_t;

static void on_signal(int signo)
{
	if (signo == SIGUSR1)
		crash_asked = 1;
	else
		return_asked = 1;
}

static void create_services(site_t *site, const options_t *options)
{
	for (size_t i = 0; i < options->services; i++) {
		const fake_db_config_t db_config = {
			.service = service_names[i],
			.members = SITE_MEMBERS,
			.slots = options->slots,
			.max_connections = options->connections,
			.service_time = 2 * USEC_PER_MSEC,
			.receive_delay = 1 * USEC_PER_MSEC,
			.lag = 20 * USEC_PER_MSEC,
			.promote_delay = 300 * USEC_PER_MSEC,
			.numbered_signatures = options->control,
		};

		site->services[i] =
			fake_db_create(NULL, &db_config, site->loop.clock, &site->loop.timers);
	}
	site->service_count = options->services;
}

static int listen_http(site_t *site, httpd_t *httpd, int port, httpd_handler_t handle, err_t *err)
{
	char address[32];

	snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	return httpd_start(httpd, &site->loop, address, BODY_MAX, handle, site, err);
}

static int start_site(site_t *site, const options_t *options, err_t *err)
{
	int rc;

	site->kv = fake_kv_create(NULL, site->loop.clock, &site->loop.timers);
	site->kv->history_max = HISTORY;
	fake_kv_client_init(&site->client, site->kv);
	site->listed_port_offset = options->listed_port_offset;
	create_services(site, options);
	list_init(&site->links);
	fake_kv_put(site->kv, KEY_CONFIG, initial_config);
	rc = listen_http(site, &site->store, options->base, handle_store, err);
	if (rc == 0)
		rc = listen_http(site, &site->promotion, options->base + 1, handle_promotion, err);
	if (rc == 0)
		rc = listen_http(site, &site->refusing_store, options->base + 2, refuse_request,
				 err);
	if (rc == 0)
		rc = members_listen(site, options->base + SITE_FIRST_MEMBER_PORT, err);
	if (rc == 0 && options->control)
		rc = control_start(site);
	if (rc == 0)
		on_list_timer(&site->list_timer, clock_now(site->loop.clock));
	return rc;
}

static bool parse_options(options_t *options, int argc, char **argv)
{
	static const struct option longopts[] = {
		{"services", required_argument, NULL, 's'},
		{"slots", required_argument, NULL, 'w'},
		{"connections", required_argument, NULL, 'n'},
		{"link-offset", required_argument, NULL, 'l'},
		{"control", no_argument, NULL, 'c'},
		{NULL, 0, NULL, 0},
	};
	int opt;

	while ((opt = getopt_long(argc, argv, "", longopts, NULL)) != -1) {
		if (opt == 's')
			options->services = strtoul(optarg, NULL, 10);
		else if (opt == 'w')
			options->slots = strtoul(optarg, NULL, 10);
		else if (opt == 'n')
			options->connections = strtoul(optarg, NULL, 10);
		else if (opt == 'l')
			options->listed_port_offset = (int)strtol(optarg, NULL, 10);
		else if (opt == 'c')
			options->control = true;
		else
			return false;
	}
	options->base = optind == argc - 1 ? (int)strtol(argv[optind], NULL, 10) : 0;
	return options->base > 0 && options->base <= 65000 && options->services > 0 &&
	       options->services <= SITE_SERVICES_MAX;
}

int main(int argc, char **argv)
{
	static site_t site;
	options_t options = {.services = 1, .slots = 2, .connections = 16};
	err_t err = {0};

	if (!parse_options(&options, argc, argv)) {
		fprintf(stderr, "usage: standin_site [--services N] [--slots N] [--connections N] "
				"[--control] [--link-offset N] BASE_PORT\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGUSR1, on_signal);
	signal(SIGUSR2, on_signal);
	if (sodium_init() < 0 || loop_init(&site.loop, clock_system()) < 0)
		return 1;
	if (start_site(&site, &options, &err) < 0) {
		char line[256];

		err_format(&err, line, sizeof(line));
		fprintf(stderr, "standin_site: %s\n", line);
		return 1;
	}
	loop_run(&site.loop);
	return 0;
}
