/*
 * The link to operators: an HTTP server on its own address that requires a bearer token. It serves
 * the state dump, the metrics, the table, edits of the table and their history, and shutdown.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <talloc.h>
#include <uthash.h>

#include "adapter.h"
#include "counter.h"
#include "httpd.h"
#include "platform.h"

#define LOG_MODULE "operators"
#include "log.h"

#define MAX_BODY (2 * 1024 * 1024)
#define BEARER	 "Bearer "

COUNTER_DEFINE(denied_total, "operator_denied_total", COUNTER_SUM,
	       "Operators' requests without the right token.");

/* A request whose response needs a call on the store: an edit, or a query of the history. */
typedef struct pending_request {
	uint64_t id;
	h2o_req_t *req;
	struct operators *operators; /* NULL once the response is sent */
	UT_hash_handle hh;
} pending_request_t;

typedef struct operators {
	plugin_t base;
	httpd_t httpd;
	kernel_t *kernel;
	adapter_t *adapter;
	char *token;
	pending_request_t *pending;
	uint64_t next_id;
} operators_t;

typedef void (*endpoint_t)(operators_t *self, h2o_req_t *req);

static void send_error(h2o_req_t *req, int status, const char *text)
{
	httpd_send_json(req, status, json_pack("{s:s}", "error", text), 0);
}

/* The token is compared in constant time, so that response times don't reveal parts of it. */
static bool is_authorized(const operators_t *self, const h2o_req_t *req)
{
	ssize_t at = h2o_find_header(&req->headers, H2O_TOKEN_AUTHORIZATION, -1);
	size_t skip = strlen(BEARER);
	h2o_iovec_t value;

	if (at < 0)
		return false;
	value = req->headers.entries[at].value;
	if (value.len != skip + strlen(self->token) || memcmp(value.base, BEARER, skip) != 0)
		return false;
	return sodium_memcmp(value.base + skip, self->token, strlen(self->token)) == 0;
}

static void get_state(operators_t *self, h2o_req_t *req)
{
	httpd_send_json(req, 200, kernel_dump(self->kernel), 0);
}

static void get_metrics(operators_t *self, h2o_req_t *req)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);

	(void)self;
	counters_write(out);
	fclose(out);
	req->res.status = 200;
	req->res.reason = "OK";
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
		       H2O_STRLIT("text/plain; version=0.0.4"));
	h2o_send_inline(req, text, len);
	free(text);
}

static void get_table(operators_t *self, h2o_req_t *req)
{
	httpd_send_json(req, 200, core_dump_table(self->adapter->core), 0);
}

static void post_drain(operators_t *self, h2o_req_t *req)
{
	httpd_send_json(req, 200, json_pack("{s:b}", "draining", 1), 0);
	LOG_INFORM("shutdown requested by an operator");
	kernel_drain(self->kernel);
}

/* --- requests that need the store --- */

static void on_pending_dispose(void *ptr)
{
	pending_request_t *pending = *(pending_request_t **)ptr;

	/* The response was sent, or the operator has closed the connection before. */
	if (pending->operators != NULL)
		HASH_DEL(pending->operators->pending, pending);
	talloc_free(pending);
}

static pending_request_t *add_pending(operators_t *self, h2o_req_t *req)
{
	pending_request_t *pending = talloc_zero(NULL, pending_request_t);
	pending_request_t **slot =
		h2o_mem_alloc_shared(&req->pool, sizeof(*slot), on_pending_dispose);

	*slot = pending;
	pending->id = ++self->next_id;
	pending->req = req;
	pending->operators = self;
	HASH_ADD(hh, self->pending, id, sizeof(pending->id), pending);
	return pending;
}

/* Remove the pending request with this id; returns NULL if its connection was closed before. */
static h2o_req_t *remove_pending(operators_t *self, uint64_t id)
{
	pending_request_t *pending;

	HASH_FIND(hh, self->pending, &id, sizeof(id), pending);
	if (pending == NULL)
		return NULL;
	HASH_DEL(self->pending, pending);
	pending->operators = NULL;
	return pending->req;
}

typedef struct history_request {
	operators_t *self;
	uint64_t id;
} history_request_t;

static void on_history_read(void *data, json_t *edits)
{
	history_request_t *history_request = data;
	h2o_req_t *req = remove_pending(history_request->self, history_request->id);

	talloc_free(history_request);
	if (req == NULL)
		json_decref(edits);
	else if (edits == NULL)
		send_error(req, 503, "the store did not answer");
	else
		httpd_send_json(req, 200, json_pack("{s:o}", "edits", edits), 0);
}

static void get_history(operators_t *self, h2o_req_t *req)
{
	history_request_t *history_request = talloc_zero(NULL, history_request_t);

	history_request->self = self;
	history_request->id = add_pending(self, req)->id;
	platform_read_history(((context_t *)self->kernel->context)->platform, on_history_read,
			      history_request);
}

static size_t parse_entries(void *parent, const json_t *object, table_entry_t **out)
{
	size_t count = 0;
	const char *key;
	json_t *value;

	*out = talloc_zero_array(parent, table_entry_t, json_object_size(object) + 1);
	json_object_foreach ((json_t *)object, key, value) {
		char *text = json_is_null(value) ? NULL : json_dumps(value, JSON_ENCODE_ANY);

		(*out)[count].key = talloc_strdup(*out, key);
		(*out)[count].value = talloc_strdup(*out, text);
		free(text);
		count++;
	}
	return count;
}

static void submit_edit(operators_t *self, h2o_req_t *req, json_t *body, const char *edit_id,
			const char *author)
{
	void *scratch = talloc_new(NULL);
	table_entry_t *entries;
	event_t event = {.kind = EVENT_EDIT, .edit = {.edit_id = edit_id, .author = author}};

	event.edit.entry_count = parse_entries(scratch, json_object_get(body, "entries"), &entries);
	event.edit.entries = entries;
	event.edit.base_version =
		(uint64_t)json_integer_value(json_object_get(body, "base_version"));
	event.id = add_pending(self, req)->id;
	adapter_submit(self->adapter, &event);
	talloc_free(scratch);
}

static void post_edit(operators_t *self, h2o_req_t *req)
{
	json_t *body = json_loadb(req->entity.base, req->entity.len, JSON_REJECT_DUPLICATES, NULL);
	const char *edit_id = json_string_value(json_object_get(body, "edit_id"));
	const char *author = json_string_value(json_object_get(body, "author"));
	const json_t *entries = json_object_get(body, "entries");

	if (edit_id == NULL || edit_id[0] == '\0' || author == NULL ||
	    !json_is_integer(json_object_get(body, "base_version")) ||
	    json_object_size(entries) == 0)
		send_error(req, 400,
			   "expected an object with edit_id, author, base_version and entries");
	else
		submit_edit(self, req, body, edit_id, author);
	json_decref(body);
}

static void on_edit_done(void *data, action_t *action)
{
	static const char *const names[] = {
		[EDIT_ACCEPTED] = "accepted",
		[EDIT_REFUSED] = "refused",
		[EDIT_UNKNOWN] = "unknown",
	};
	h2o_req_t *req = remove_pending(data, action->id);

	if (req == NULL)
		return;
	httpd_send_json(req, 200,
			json_pack("{s:s, s:I, s:s}", "status", names[action->edit.status],
				  "version", (json_int_t)action->edit.table_version, "detail",
				  action->edit.text),
			0);
}

static const struct {
	const char *method;
	const char *path;
	endpoint_t handle;
} endpoints[] = {
	{"GET", "/v1/state", get_state},   {"GET", "/v1/metrics", get_metrics},
	{"GET", "/v1/table", get_table},   {"POST", "/v1/table", post_edit},
	{"POST", "/v1/drain", post_drain}, {"GET", "/v1/history", get_history},
};

static int on_req(httpd_t *httpd, h2o_req_t *req)
{
	operators_t *self = httpd->data;

	if (!is_authorized(self, req)) {
		counter_add(&denied_total, 1);
		send_error(req, 401, "the bearer token is missing or wrong");
		return 0;
	}
	for (size_t i = 0; i < sizeof(endpoints) / sizeof(endpoints[0]); i++) {
		if (httpd_request_matches(req, endpoints[i].method, endpoints[i].path)) {
			endpoints[i].handle(self, req);
			return 0;
		}
	}
	send_error(req, 404,
		   "expected GET /v1/state, metrics, table or history, or POST /v1/table or drain");
	return 0;
}

static int start(plugin_t *plugin, kernel_t *kernel, err_t *err)
{
	operators_t *self = (operators_t *)plugin;
	const conf_t *conf = kernel->settings;

	self->kernel = kernel;
	self->adapter = adapter_from_kernel(kernel);
	self->token = conf_read_secret(NULL, conf->operators_token_file, err);
	if (self->token == NULL)
		return -ENOENT;
	if (self->token[0] == '\0')
		return err_set(err, -EINVAL, "read secret", conf->operators_token_file,
			       "the file is empty");
	adapter_register(self->adapter, ACTION_EDIT_DONE, on_edit_done, self);
	return httpd_start(&self->httpd, &kernel->loop, conf->operators_listen, MAX_BODY, on_req,
			   self, err);
}

static bool close_idle(plugin_t *plugin)
{
	operators_t *self = (operators_t *)plugin;

	return self->pending == NULL && httpd_close_idle(&self->httpd);
}

static void destroy(plugin_t *plugin)
{
	operators_t *self = (operators_t *)plugin;

	talloc_free(self->token);
}

static const plugin_ops_t ops = {
	.name = "operators",
	.order = 40,
	.start = start,
	.close_idle = close_idle,
	.destroy = destroy,
};

static operators_t instance = {.base = {.ops = &ops}};

PLUGIN_REGISTER(&instance.base);
