#include "world_parts.h"

#include <string.h>

#include <talloc.h>

typedef struct store_call {
	int proxy;
	action_t *action;
	store_status_t status;
} store_call_t;

gint store_compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

typedef struct gather {
	GArray *out;
	uint64_t since;
} gather_t;

static gboolean gather_item(gpointer key, gpointer value, gpointer data)
{
	gather_t *gather = data;
	const store_item_t *item = value;
	table_entry_t entry = {.key = key, .value = item->value, .version = item->version};

	if (item->version > gather->since)
		g_array_append_val(gather->out, entry);
	return FALSE;
}

static bool edit_is_committed(const world_t *world, const char *edit_id)
{
	for (guint i = 0; i < world->store_edits->len; i++) {
		if (g_strcmp0(world->store_edits->pdata[i], edit_id) == 0)
			return true;
	}
	return false;
}

static void send_table(world_t *world, int proxy, event_t *event, uint64_t since)
{
	gather_t gather = {g_array_new(FALSE, FALSE, sizeof(table_entry_t)), since};

	g_tree_foreach(world->store, gather_item, &gather);
	event->store.entries = (table_entry_t *)gather.out->data;
	event->store.entry_count = gather.out->len;
	event->store.table_version = world->store_version;
	event->store.head_revision = (int64_t)world->store_version;
	world_deliver(world, proxy, event);
	g_array_free(gather.out, TRUE);
}

static bool is_store_reachable(const world_t *world, int proxy)
{
	return !world_is_down(world, WORLD_STORE) && !world_is_cut(world, proxy, WORLD_STORE);
}

static void on_store_answer(world_t *world, void *data)
{
	store_call_t *call = data;
	const action_t *action = call->action;
	event_t event = {
		.kind = EVENT_STORE_LOADED, .id = action->id, .store = {.status = call->status}};
	uint64_t since;

	if (action->kind == ACTION_STORE_LOAD) {
		since = action->load.table_version;
	} else {
		event.kind = EVENT_STORE_DONE;
		since = action->commit.table_version - 1;
		event.store.edit_found = edit_is_committed(world, action->commit.edit_id);
	}
	send_table(world, call->proxy, &event, since);
	talloc_free(call->action);
	g_free(call);
}

void store_item_free(gpointer ptr)
{
	store_item_t *item = ptr;

	g_free(item->value);
	g_free(item);
}

void store_put(world_t *world, const char *key, const char *value)
{
	store_item_t *item = g_new0(store_item_t, 1);

	item->value = g_strdup(value);
	item->version = world->store_version;
	g_tree_replace(world->store, g_strdup(key), item);
}

static void on_watch_event(world_t *world, void *data)
{
	int proxy = GPOINTER_TO_INT(data);
	event_t event = {.kind = EVENT_STORE_LOADED, .store = {.status = STORE_OK}};

	if (is_store_reachable(world, proxy))
		send_table(world, proxy, &event, world->store_version - 1);
}

static void store_commit(world_t *world, const action_t *action)
{
	world->store_version++;
	g_ptr_array_add(world->store_edits, g_strdup(action->commit.edit_id));
	for (size_t i = 0; i < action->commit.entry_count; i++)
		store_put(world, action->commit.entries[i].key, action->commit.entries[i].value);
	for (int i = 0; i < world->config.proxies; i++)
		world_schedule(world, world->now + STORE_LATENCY, i, on_watch_event,
			       GINT_TO_POINTER(i));
}

static void on_store_arrive(world_t *world, void *data)
{
	store_call_t *call = data;
	const action_t *action = call->action;
	bool lost = false;

	if (!is_store_reachable(world, call->proxy)) {
		call->status = STORE_FAILED;
	} else if (action->kind == ACTION_STORE_COMMIT) {
		if (action->commit.head_revision == (int64_t)world->store_version)
			store_commit(world, action);
		else
			call->status = STORE_CONFLICT;
		lost = world->answers_to_lose > 0;
		world->answers_to_lose -= lost;
	}
	if (lost)
		call->status = STORE_FAILED;
	world_schedule(world,
		       world->now +
			       (call->status == STORE_FAILED ? 500 * USEC_PER_MSEC : STORE_LATENCY),
		       call->proxy, on_store_answer, call);
}

void world_start_store_call(world_t *world, int proxy, action_t *action)
{
	store_call_t *call = g_new0(store_call_t, 1);

	world->counts.store_calls++;
	call->proxy = proxy;
	call->action = action;
	world_schedule(world, world->now + STORE_LATENCY, WORLD_STORE, on_store_arrive, call);
}

void world_on_list_vms(world_t *world, void *data)
{
	int proxy = GPOINTER_TO_INT(data);
	vm_t vms[WORLD_NODES] = {0};
	event_t event = {.kind = EVENT_VMS, .vms = {.status = STORE_OK, .vms = vms}};
	char *scratch = talloc_strdup(NULL, "");

	if (!is_store_reachable(world, proxy))
		event.vms.status = STORE_FAILED;
	for (int i = 0; i < WORLD_STORE; i++) {
		bool backend = i >= WORLD_MAX_PROXIES;
		int number = backend ? i - WORLD_MAX_PROXIES : i;
		vm_t *vm = &vms[event.vms.count];

		if (number >= (backend ? world->config.members : world->config.proxies))
			continue;
		vm->name = talloc_asprintf(scratch, "%c%d", backend ? 'm' : 'p', number);
		vm->zone = talloc_asprintf(scratch, "z%d", world_zone(world, i));
		vm->address = talloc_asprintf(scratch, "%s:%d", backend ? "m" : "p", number);
		vm->backend = backend;
		vm->leaving = world->leaving[i];
		event.vms.count++;
	}
	world_deliver(world, proxy, &event);
	talloc_free(scratch);
}
