/*
 * The link to the platform: the store, through etcd's JSON gateway, and the list of VMs. Each edit
 * of the table is one transaction that compares the mod revision of the key "head", so that of two
 * edits based on the same version of the table only one succeeds.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>

#include "adapter.h"
#include "counter.h"
#include "etcd.h"
#include "httpc.h"
#include "platform.h"

#define LOG_MODULE "platform"
#include "log.h"

#define HTTP_OK 200

COUNTER_DEFINE(calls_total, "platform_calls_total", COUNTER_SUM,
	       "Calls on the platform, a watch counted as one.");
COUNTER_DEFINE(failed_total, "platform_calls_failed_total", COUNTER_SUM,
	       "Calls on the platform without a usable answer.");

typedef struct platform {
	plugin_t base;
	adapter_t *adapter;
	loop_t *loop;
	const conf_t *conf;
	httpc_t httpc;
	httpc_call_t *watch;
	char *watch_buffer;
} platform_t;

/* A load of the table or a commit of an edit, in progress. */
typedef struct store_op {
	platform_t *platform;
	uint64_t id;
	event_kind_t event_kind;
	store_status_t status;
	uint64_t core_version; /* version of the table in core */
	/* store revision at which the table had that version, or an earlier one */
	int64_t since_revision;
	etcd_head_t head;
	char *edit_id;
	table_entry_t *entries; /* of a commit */
	size_t entry_count;
	uint64_t version;
} store_op_t;

static const char *key_prefix(const platform_t *self)
{
	return self->conf->platform_prefix;
}

static size_t decode_entries(const platform_t *self, void *parent, const json_t *kvs,
			     table_entry_t **out)
{
	size_t count = etcd_read_entries(key_prefix(self), parent, kvs, out);

	if (count < json_array_size(kvs))
		LOG_WARNING("%zu malformed entries of the table skipped",
			    json_array_size(kvs) - count);
	return count;
}

static httpc_call_t *post_call(platform_t *self, const char *path, json_t *body,
			       httpc_done_t on_done, httpc_data_t on_data, void *data)
{
	char *url = talloc_asprintf(NULL, "%s%s", self->conf->platform_url, path);
	char *text = json_dumps(body, JSON_COMPACT);
	httpc_request_t request = {
		.url = url,
		.body = text,
		.timeout_ms = on_data != NULL ? 0 : self->conf->platform_timeout_ms,
		.on_done = on_done,
		.on_data = on_data,
		.data = data,
	};
	httpc_call_t *call;

	counter_add(&calls_total, 1);
	call = httpc_start(&self->httpc, &request);
	free(text);
	json_decref(body);
	talloc_free(url);
	return call;
}

static json_t *parse_response(bool ok, long status, const char *body)
{
	json_t *response = ok && status == HTTP_OK ? json_loads(body, 0, NULL) : NULL;

	if (response == NULL)
		counter_add(&failed_total, 1);
	return response;
}

/* --- load: read head, then the changed entries if core has an older version --- */

static void store_op_free(store_op_t *op)
{
	json_decref(op->head.edits);
	talloc_free(op);
}

static void report_result(store_op_t *op, const table_entry_t *entries, size_t count)
{
	event_t event = {
		.kind = op->event_kind,
		.id = op->id,
		.store = {.status = op->status,
			  .entries = entries,
			  .entry_count = count,
			  .table_version = op->head.version,
			  .head_revision = op->head.revision,
			  .edit_found = etcd_head_has_edit(&op->head, op->edit_id)},
	};

	adapter_submit(op->platform->adapter, &event);
	store_op_free(op);
}

static void report_failure(store_op_t *op)
{
	op->status = STORE_FAILED;
	report_result(op, NULL, 0);
}

static void on_entries_read(httpc_call_t *call, bool ok, long status, const char *body, size_t len)
{
	store_op_t *op = call->data;
	json_t *response = parse_response(ok, status, body);
	table_entry_t *entries;
	size_t count;

	(void)len;
	if (response == NULL) {
		report_failure(op);
		return;
	}
	count = decode_entries(op->platform, op, json_object_get(response, "kvs"), &entries);
	json_decref(response);
	report_result(op, entries, count);
}

/* Read the entries that changed after core's version, as of the revision of the head just read. */
static void read_changed_entries(store_op_t *op)
{
	platform_t *self = op->platform;
	json_t *body =
		json_pack("{s:o, s:o, s:I}", "key", etcd_encode_key(key_prefix(self), "item/"),
			  "range_end", etcd_encode_key(key_prefix(self), "item0"), "revision",
			  (json_int_t)op->head.revision);

	if (op->since_revision > 0)
		json_object_set_new(body, "min_mod_revision", json_integer(op->since_revision + 1));
	post_call(self, "/v3/kv/range", body, on_entries_read, NULL, op);
}

static void on_head_read(httpc_call_t *call, bool ok, long status, const char *body, size_t len)
{
	store_op_t *op = call->data;
	json_t *response = parse_response(ok, status, body);
	const json_t *kv = json_array_get(json_object_get(response, "kvs"), 0);

	(void)len;
	if (response == NULL) {
		report_failure(op);
		return;
	}
	if (kv != NULL)
		etcd_read_head(kv, &op->head);
	json_decref(response);
	if (op->head.version <= op->core_version)
		report_result(op, NULL, 0);
	else
		read_changed_entries(op);
}

static void read_head(store_op_t *op)
{
	json_t *body = json_pack("{s:o}", "key", etcd_encode_key(key_prefix(op->platform), "head"));

	post_call(op->platform, "/v3/kv/range", body, on_head_read, NULL, op);
}

static store_op_t *store_op_create(platform_t *self, uint64_t id, event_kind_t event_kind)
{
	store_op_t *op = talloc_zero(NULL, store_op_t);

	op->platform = self;
	op->id = id;
	op->event_kind = event_kind;
	op->status = STORE_OK;
	return op;
}

static void on_load(void *data, action_t *action)
{
	store_op_t *op = store_op_create(data, action->id, EVENT_STORE_LOADED);

	op->core_version = action->load.table_version;
	op->since_revision = action->load.head_revision;
	read_head(op);
}

/* --- commit --- */

static void on_commit_done(httpc_call_t *call, bool ok, long status, const char *body, size_t len)
{
	store_op_t *op = call->data;
	json_t *response = parse_response(ok, status, body);

	(void)len;
	if (response == NULL) {
		report_failure(op);
		return;
	}
	if (json_is_true(json_object_get(response, "succeeded"))) {
		op->head.revision =
			etcd_read_number(json_object_get(response, "header"), "revision");
		op->head.version = op->version;
		json_decref(response);
		report_result(op, op->entries, op->entry_count);
		return;
	}
	json_decref(response);
	op->status = STORE_CONFLICT;
	read_head(op);
}

static void copy_entries(store_op_t *op, const commit_action_t *action)
{
	op->version = action->table_version;
	op->entry_count = action->entry_count;
	op->entries = talloc_zero_array(op, table_entry_t, action->entry_count + 1);
	for (size_t i = 0; i < action->entry_count; i++) {
		op->entries[i].key = talloc_strdup(op, action->entries[i].key);
		op->entries[i].value = talloc_strdup(op, action->entries[i].value);
		op->entries[i].version = action->entries[i].version;
	}
}

/*
 * A commit first reads head for the ids of the latest edits, since the new value of head must
 * contain them too.
 */
typedef struct pending_commit {
	store_op_t *op;
	commit_action_t action;
} pending_commit_t;

static void on_commit_head_read(httpc_call_t *call, bool ok, long status, const char *body,
				size_t len)
{
	pending_commit_t *commit = call->data;
	store_op_t *op = commit->op;
	platform_t *self = op->platform;
	json_t *response = parse_response(ok, status, body);
	const json_t *kv = json_array_get(json_object_get(response, "kvs"), 0);
	etcd_head_t head = {0};

	(void)len;
	if (response == NULL) {
		talloc_free(commit);
		report_failure(op);
		return;
	}
	if (kv != NULL)
		etcd_read_head(kv, &head);
	post_call(self, "/v3/kv/txn",
		  etcd_commit_request(key_prefix(self), &commit->action, head.edits),
		  on_commit_done, NULL, op);
	json_decref(head.edits);
	json_decref(response);
	talloc_free(commit);
}

static void on_commit(void *data, action_t *action)
{
	platform_t *self = data;
	const commit_action_t *requested = &action->commit;
	store_op_t *op = store_op_create(self, action->id, EVENT_STORE_DONE);
	pending_commit_t *commit = talloc_zero(op, pending_commit_t);
	json_t *body = json_pack("{s:o}", "key", etcd_encode_key(key_prefix(self), "head"));

	copy_entries(op, requested);
	op->core_version = requested->table_version - 1;
	op->since_revision = requested->head_revision;
	op->edit_id = talloc_strdup(op, requested->edit_id);
	commit->op = op;
	commit->action = (commit_action_t){
		.head_revision = requested->head_revision,
		.table_version = requested->table_version,
		.edit_id = op->edit_id,
		.author = talloc_strdup(commit, requested->author),
		.entries = op->entries,
		.entry_count = op->entry_count,
	};
	post_call(self, "/v3/kv/range", body, on_commit_head_read, NULL, commit);
}

/* --- history --- */

#define HISTORY_LIMIT 50

typedef struct history_call {
	platform_t *platform;
	platform_history_cb_t done;
	void *data;
} history_call_t;

static json_t *decode_history(const json_t *kvs)
{
	json_t *edits = json_array();

	for (size_t i = 0; i < json_array_size(kvs); i++) {
		char *text =
			etcd_decode_text(NULL, json_object_get(json_array_get(kvs, i), "value"));
		json_t *edit = text != NULL ? json_loads(text, 0, NULL) : NULL;

		if (edit != NULL)
			json_array_append_new(edits, edit);
		talloc_free(text);
	}
	return edits;
}

static void on_history_read(httpc_call_t *call, bool ok, long status, const char *body, size_t len)
{
	history_call_t *history = call->data;
	json_t *response = parse_response(ok, status, body);

	(void)len;
	history->done(history->data,
		      response != NULL ? decode_history(json_object_get(response, "kvs")) : NULL);
	json_decref(response);
	talloc_free(history);
}

void platform_read_history(struct platform *self, platform_history_cb_t done, void *data)
{
	history_call_t *history = talloc_zero(NULL, history_call_t);
	json_t *body = json_pack("{s:o, s:o, s:s, s:s, s:i}", "key",
				 etcd_encode_key(key_prefix(self), "history/"), "range_end",
				 etcd_encode_key(key_prefix(self), "history0"), "sort_order",
				 "DESCEND", "sort_target", "KEY", "limit", HISTORY_LIMIT);

	history->platform = self;
	history->done = done;
	history->data = data;
	post_call(self, "/v3/kv/range", body, on_history_read, NULL, history);
}

/* --- watch --- */

static void report_watch_down(platform_t *self)
{
	event_t event = {.kind = EVENT_WATCH_DOWN};

	adapter_submit(self->adapter, &event);
}

static void on_watch_done(httpc_call_t *call, bool ok, long status, const char *body, size_t len)
{
	platform_t *self = call->data;

	(void)ok;
	(void)status;
	(void)body;
	(void)len;
	self->watch = NULL;
	report_watch_down(self);
}

static bool has_prefix(const char *key, const char *prefix)
{
	return strncmp(key, prefix, strlen(prefix)) == 0;
}

/*
 * Submit the changes of one watch message to core. An edit changes head and its entries in one
 * revision, and thus in one message.
 */
static void apply_watch_events(platform_t *self, const json_t *events)
{
	const char *prefix = self->conf->platform_prefix;
	void *scratch = talloc_new(NULL);
	json_t *items = json_array();
	etcd_head_t head = {0};
	table_entry_t *entries;
	event_t event = {.kind = EVENT_STORE_LOADED, .store = {.status = STORE_OK}};

	for (size_t i = 0; i < json_array_size(events); i++) {
		json_t *kv = json_object_get(json_array_get(events, i), "kv");
		char *key = etcd_decode_text(scratch, json_object_get(kv, "key"));

		if (key == NULL || !has_prefix(key, prefix))
			continue;
		key += strlen(prefix);
		if (strcmp(key, "head") == 0) {
			json_decref(head.edits);
			etcd_read_head(kv, &head);
		} else if (has_prefix(key, "item/")) {
			json_array_append(items, kv);
		}
	}
	event.store.entry_count = decode_entries(self, scratch, items, &entries);
	event.store.entries = entries;
	event.store.table_version = head.version;
	event.store.head_revision = head.revision;
	json_decref(items);
	json_decref(head.edits);
	if (head.version != 0)
		adapter_submit(self->adapter, &event);
	talloc_free(scratch);
}

static void apply_watch_line(platform_t *self, const char *line)
{
	json_t *message = json_loads(line, 0, NULL);

	apply_watch_events(self, json_object_get(json_object_get(message, "result"), "events"));
	json_decref(message);
}

static void on_watch_data(httpc_call_t *call, const char *data, size_t len)
{
	platform_t *self = call->data;
	char *end;

	self->watch_buffer = talloc_strndup_append_buffer(self->watch_buffer, data, len);
	while ((end = strchr(self->watch_buffer, '\n')) != NULL) {
		char *remainder = talloc_strdup(NULL, end + 1);

		*end = '\0';
		apply_watch_line(self, self->watch_buffer);
		talloc_free(self->watch_buffer);
		self->watch_buffer = remainder;
	}
}

static void on_watch(void *data, action_t *action)
{
	platform_t *self = data;
	json_t *create = json_pack("{s:o, s:o, s:I}", "key", etcd_encode_key(key_prefix(self), ""),
				   "range_end", etcd_encode_key(key_prefix(self), "\x7f"),
				   "start_revision", (json_int_t)action->load.head_revision + 1);

	talloc_free(self->watch_buffer);
	self->watch_buffer = talloc_strdup(NULL, "");
	self->watch = post_call(self, "/v3/watch", json_pack("{s:o}", "create_request", create),
				on_watch_done, on_watch_data, self);
}

/* --- list of VMs --- */

static bool decode_vm(const json_t *item, vm_t *vm)
{
	const char *role = json_string_value(json_object_get(item, "role"));
	const char *state = json_string_value(json_object_get(item, "state"));

	vm->name = (char *)json_string_value(json_object_get(item, "name"));
	vm->zone = (char *)json_string_value(json_object_get(item, "zone"));
	vm->address = (char *)json_string_value(json_object_get(item, "address"));
	vm->backend = role != NULL && strcmp(role, "backend") == 0;
	vm->leaving = state != NULL && strcmp(state, "leaving") == 0;
	return vm->name != NULL && vm->zone != NULL && vm->address != NULL;
}

static void on_vms_done(httpc_call_t *call, bool ok, long status, const char *body, size_t len)
{
	platform_t *self = call->data;
	json_t *response = parse_response(ok, status, body);
	const json_t *list = json_object_get(response, "vms");
	vm_t *vms = talloc_zero_array(NULL, vm_t, json_array_size(list) + 1);
	event_t event = {
		.kind = EVENT_VMS,
		.id = call->id,
		.vms = {.status = json_is_array(list) ? STORE_OK : STORE_FAILED, .vms = vms},
	};

	(void)len;
	for (size_t i = 0; i < json_array_size(list); i++)
		event.vms.count += decode_vm(json_array_get(list, i), &vms[event.vms.count]);
	adapter_submit(self->adapter, &event);
	talloc_free(vms);
	json_decref(response);
}

static void on_vms(void *data, action_t *action)
{
	platform_t *self = data;
	char *url = talloc_asprintf(NULL, "%s/v1/vms", self->conf->platform_url);
	httpc_request_t request = {
		.url = url,
		.timeout_ms = self->conf->platform_timeout_ms,
		.on_done = on_vms_done,
		.data = self,
	};

	counter_add(&calls_total, 1);
	httpc_start(&self->httpc, &request)->id = action->id;
	talloc_free(url);
}

static int start(plugin_t *plugin, kernel_t *kernel, err_t *err)
{
	platform_t *self = (platform_t *)plugin;
	int rc;

	self->adapter = adapter_from_kernel(kernel);
	self->loop = &kernel->loop;
	self->conf = kernel->settings;
	((context_t *)kernel->context)->platform = self;
	rc = httpc_init(&self->httpc, &kernel->loop);
	if (rc < 0)
		return err_set(err, rc, "start platform link", self->conf->platform_url,
			       "can't create the HTTP client");
	adapter_register(self->adapter, ACTION_STORE_LOAD, on_load, self);
	adapter_register(self->adapter, ACTION_STORE_COMMIT, on_commit, self);
	adapter_register(self->adapter, ACTION_STORE_WATCH, on_watch, self);
	adapter_register(self->adapter, ACTION_VMS, on_vms, self);
	return 0;
}

static json_t *dump(const plugin_t *plugin)
{
	const platform_t *self = (const platform_t *)plugin;

	return json_pack("{s:s, s:b, s:I}", "url", self->conf->platform_url, "watching",
			 self->watch != NULL, "calls", (json_int_t)calls_total.value);
}

static void destroy(plugin_t *plugin)
{
	platform_t *self = (platform_t *)plugin;

	if (self->watch != NULL)
		httpc_cancel(self->watch);
	talloc_free(self->watch_buffer);
	httpc_destroy(&self->httpc);
}

static const plugin_ops_t ops = {
	.name = "platform",
	.order = 10,
	.start = start,
	.dump = dump,
	.destroy = destroy,
};

static platform_t instance = {.base = {.ops = &ops}};

PLUGIN_REGISTER(&instance.base);
